"""HTTP server of an emulated weight store, and its client."""

import ssl

import msgspec
from tornado.iostream import StreamClosedError

from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import ExchangeBrokenError
from drumbay.backends.responses import raise_for_status
from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.emulator_server import EmulatorServer, JsonHandler
from drumbay.standins.weight_store_model import (
    UnknownVersionError,
    VersionConflictError,
    WeightStoreModel,
)

HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
READER_HEADER = "X-Reader"
ADMIN_TIMEOUT_SECONDS = 5.0
FETCH_TIMEOUT_SECONDS = 600.0
MAX_LIST_BYTES = 4 << 20


class VersionList(msgspec.Struct, frozen=True, kw_only=True):
    """Response with the versions of a model, oldest first."""

    model: str
    versions: tuple[WeightVersion, ...]


class StoreHandler(JsonHandler):
    """Base class of the store's request handlers."""

    def initialize(self, store: WeightStoreModel) -> None:
        """Set the weight store model."""
        self.store = store

    def send_store_error(self, error: DrumbayError) -> None:
        """Send an error of the store."""
        status = HTTP_UNAVAILABLE
        if isinstance(error, UnknownVersionError):
            status = HTTP_NOT_FOUND
        elif isinstance(error, VersionConflictError):
            status = HTTP_CONFLICT
        self.send_error_body(status, error.code, str(error))


class VersionListHandler(StoreHandler):
    """``GET /v1/models/MODEL/versions``."""

    def get(self, model: str) -> None:
        """Return the versions of a model."""
        try:
            self.send(VersionList(model=model, versions=self.store.versions(model)))
        except DrumbayError as error:
            self.send_store_error(error)


class VersionHandler(StoreHandler):
    """``PUT`` and ``GET /v1/models/MODEL/versions/VERSION``."""

    def put(self, model: str, version: str) -> None:
        """Publish a version; publishing the latest one again has no effect."""
        number = WeightVersion(int(version))
        try:
            published = self.store.versions(model)
            if not published or published[-1] != number:
                self.store.publish(model, number)
            self.send(VersionList(model=model, versions=self.store.versions(model)))
        except DrumbayError as error:
            self.send_store_error(error)

    async def get(self, model: str, version: str) -> None:
        """Stream the weights of a version with limited bandwidth."""
        number = WeightVersion(int(version))
        parameters = self.store.parameters
        remaining = parameters.version_bytes
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(remaining))
        try:
            while remaining > 0:
                self.store.check_version(model, number)
                part_bytes = min(remaining, parameters.part_bytes)
                await self.store.reserve_bandwidth(part_bytes)
                self.write(bytes(part_bytes))
                await self.flush()
                remaining -= part_bytes
        except StreamClosedError:
            return
        except DrumbayError as error:
            self._send_fetch_error(error, remaining < parameters.version_bytes)
            return
        reader = BackendId(self.request.headers.get(READER_HEADER, ""))
        self.store.record_fetched(model, number, reader)

    def _send_fetch_error(self, error: DrumbayError, started: bool) -> None:
        if started:
            self.drop_connection()
            return
        self.clear_header("Content-Length")
        self.send_store_error(error)


class WeightStoreServer:
    """HTTP server of one emulated weight store."""

    def __init__(
        self,
        store: WeightStoreModel,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 selects a free port."""
        arguments = {"store": store}
        self._server = EmulatorServer(
            store,
            [
                (r"/v1/models/([^/]+)/versions", VersionListHandler, arguments),
                (r"/v1/models/([^/]+)/versions/([0-9]+)", VersionHandler, arguments),
            ],
            clock,
            host=host,
            port=port,
            ssl_context=ssl_context,
        )

    @property
    def base_url(self) -> str:
        """Base URL of the store."""
        return self._server.base_url

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()


class HttpWeightStore:
    """HTTP client of the weight store."""

    def __init__(self, connector: HttpConnector, base_url: str) -> None:
        """Create a client for the store at ``base_url``."""
        self._connector = connector
        self._base_url = base_url

    async def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the versions of a model, oldest first.

        Raises:
            UnavailableError: The store did not respond.
        """
        call = HttpCall(
            method="GET",
            url=f"{self._base_url}/v1/models/{model}/versions",
            headers={},
            timeout_seconds=ADMIN_TIMEOUT_SECONDS,
        )
        return (await self._request_versions(call)).versions

    async def publish(self, model: str, version: WeightVersion) -> None:
        """Make a version available; publishing the latest one again has no effect.

        Raises:
            UnavailableError: The store did not respond or refused the version.
        """
        call = HttpCall(
            method="PUT",
            url=self._version_url(model, version),
            headers={},
            body=b"{}",
            timeout_seconds=ADMIN_TIMEOUT_SECONDS,
        )
        await self._request_versions(call)

    async def fetch(self, model: str, version: WeightVersion, reader: BackendId) -> None:
        """Read all weights of a version and discard them.

        Raises:
            UnavailableError: The weights did not arrive completely.
        """
        call = HttpCall(
            method="GET",
            url=self._version_url(model, version),
            headers={READER_HEADER: reader},
            timeout_seconds=FETCH_TIMEOUT_SECONDS,
        )
        response = await self._connector.exchange(call)
        await raise_for_status(response)
        async for _part in response.body_parts():
            continue

    async def _request_versions(self, call: HttpCall) -> VersionList:
        response = await self._connector.exchange(call)
        await raise_for_status(response)
        try:
            return msgspec.json.decode(await response.body(MAX_LIST_BYTES), type=VersionList)
        except msgspec.DecodeError as error:
            raise ExchangeBrokenError(str(error)) from error

    def _version_url(self, model: str, version: WeightVersion) -> str:
        return f"{self._base_url}/v1/models/{model}/versions/{version}"
