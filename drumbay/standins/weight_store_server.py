"""An emulated weight store as an HTTP server, and the clients of it."""

import ssl

import msgspec
from tornado.iostream import StreamClosedError

from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import ExchangeBrokenError
from drumbay.backends.responses import raise_for_status
from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.http_shell import EmulatorServer, JsonHandler
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
    """Versions of one model, oldest first."""

    model: str
    versions: tuple[WeightVersion, ...]


class StoreHandler(JsonHandler):
    """Base class of the store's handlers."""

    def initialize(self, store: WeightStoreModel) -> None:
        """Store the model of the weight store."""
        self.store = store

    def send_store_error(self, error: DrumbayError) -> None:
        """Answer a failure of the store."""
        status = HTTP_UNAVAILABLE
        if isinstance(error, UnknownVersionError):
            status = HTTP_NOT_FOUND
        elif isinstance(error, VersionConflictError):
            status = HTTP_CONFLICT
        self.send_error_body(status, error.code, str(error))


class VersionListHandler(StoreHandler):
    """``GET /v1/models/MODEL/versions``."""

    def get(self, model: str) -> None:
        """Answer with the versions."""
        try:
            self.send(VersionList(model=model, versions=self.store.versions(model)))
        except DrumbayError as error:
            self.send_store_error(error)


class VersionHandler(StoreHandler):
    """``PUT`` and ``GET /v1/models/MODEL/versions/VERSION``."""

    def put(self, model: str, version: str) -> None:
        """Publish a version; publishing the newest one again changes nothing."""
        number = WeightVersion(int(version))
        try:
            published = self.store.versions(model)
            if not published or published[-1] != number:
                self.store.publish(model, number)
            self.send(VersionList(model=model, versions=self.store.versions(model)))
        except DrumbayError as error:
            self.send_store_error(error)

    async def get(self, model: str, version: str) -> None:
        """Send the weights at the limited rate."""
        number = WeightVersion(int(version))
        parameters = self.store.parameters
        remaining = parameters.version_bytes
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(remaining))
        try:
            while remaining > 0:
                self.store.check_version(model, number)
                part_bytes = min(remaining, parameters.part_bytes)
                await self.store.wait_part(part_bytes)
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
    """Serves one emulated weight store."""

    def __init__(
        self,
        store: WeightStoreModel,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 takes a free port."""
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
        """URL at which the store is reached."""
        return self._server.base_url

    def start(self) -> None:
        """Bind the port and serve."""
        self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()


class HttpWeightStore:
    """Reads and publishes versions over HTTP."""

    def __init__(self, connector: HttpConnector, base_url: str) -> None:
        """Create a client of the store at ``base_url``."""
        self._connector = connector
        self._base_url = base_url

    async def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the versions of a model, oldest first.

        Raises:
            UnavailableError: The store did not answer.
        """
        call = HttpCall(
            method="GET",
            url=f"{self._base_url}/v1/models/{model}/versions",
            headers={},
            timeout_seconds=ADMIN_TIMEOUT_SECONDS,
        )
        return (await self._list(call)).versions

    async def publish(self, model: str, version: WeightVersion) -> None:
        """Make a version available; publishing the newest one again changes nothing.

        Raises:
            UnavailableError: The store did not answer or refused.
        """
        call = HttpCall(
            method="PUT",
            url=self._version_url(model, version),
            headers={},
            body=b"{}",
            timeout_seconds=ADMIN_TIMEOUT_SECONDS,
        )
        await self._list(call)

    async def fetch(self, model: str, version: WeightVersion, reader: BackendId) -> None:
        """Read the whole weights of a version and drop them.

        Raises:
            UnavailableError: The weights did not arrive whole.
        """
        call = HttpCall(
            method="GET",
            url=self._version_url(model, version),
            headers={READER_HEADER: reader},
            timeout_seconds=FETCH_TIMEOUT_SECONDS,
        )
        answer = await self._connector.exchange(call)
        await raise_for_status(answer)
        async for _part in answer.body_parts():
            continue

    async def _list(self, call: HttpCall) -> VersionList:
        answer = await self._connector.exchange(call)
        await raise_for_status(answer)
        try:
            return msgspec.json.decode(await answer.body(MAX_LIST_BYTES), type=VersionList)
        except msgspec.DecodeError as error:
            raise ExchangeBrokenError(str(error)) from error

    def _version_url(self, model: str, version: WeightVersion) -> str:
        return f"{self._base_url}/v1/models/{model}/versions/{version}"
