"""HTTP server of an emulated application or scoring service."""

import ssl

from tornado.iostream import StreamClosedError

from drumbay.backends.interface import (
    ApplicationRequest,
    BackendError,
    BackendRefusedError,
)
from drumbay.backends.wire import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    STATUS_PATH,
    ServiceStatus,
)
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.identifiers import AttemptId, BackendId
from drumbay.standins.emulator_server import EmulatorServer, JsonHandler, ProcessCommand
from drumbay.standins.service_model import ServiceModel, TruncatedResponseError

HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class ExchangeHandler(JsonHandler):
    """Handler of all requests to the service itself."""

    def initialize(self, service: ServiceModel) -> None:
        """Set the service."""
        self._service = service

    async def get(self) -> None:
        """Run a request."""
        await self._exchange()

    async def post(self) -> None:
        """Run a request."""
        await self._exchange()

    async def _exchange(self) -> None:
        headers = self.request.headers
        request = ApplicationRequest(
            attempt_id=AttemptId(headers.get(REQUEST_ID_HEADER, "")),
            method=self.request.method or "GET",
            path=self.request.uri or "/",
            body=self.request.body,
            content_type=headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER),
        )
        try:
            response = await self._service.exchange(request)
        except BackendRefusedError as error:
            self._send_refusal(request, error)
            return
        except TruncatedResponseError as error:
            await self._send_truncated(error)
            return
        except BackendError:
            self.drop_connection()
            return
        self.set_status(response.status)
        self.set_header(REQUEST_ID_HEADER, response.attempt_id)
        self.set_header("Content-Type", response.content_type)
        self.write(response.body)

    def _send_refusal(self, request: ApplicationRequest, error: BackendRefusedError) -> None:
        self.set_header(REQUEST_ID_HEADER, request.attempt_id)
        overloaded = error.retry_after_seconds is not None
        self.send_error_body(
            HTTP_TOO_MANY_REQUESTS if overloaded else HTTP_UNAVAILABLE,
            error.reason,
            "refused without running",
            run=Execution.NOT_RUN,
            retry_after_seconds=error.retry_after_seconds,
        )

    async def _send_truncated(self, error: TruncatedResponseError) -> None:
        response = error.response
        self.set_status(response.status)
        self.set_header(REQUEST_ID_HEADER, response.attempt_id)
        self.set_header("Content-Length", str(len(response.body)))
        self.write(response.body[: len(response.body) // 2])
        try:
            await self.flush()
        except StreamClosedError:
            return
        self.drop_connection()


class ServiceStatusHandler(JsonHandler):
    """``GET /admin/status``."""

    def initialize(self, service: ServiceModel) -> None:
        """Set the service."""
        self._service = service

    def get(self) -> None:
        """Return the identity and the load of the service."""
        service = self._service
        self.send(
            ServiceStatus(
                backend_id=service.backend_id,
                boot_id=service.boot_id,
                running=service.running,
                waiting=service.waiting,
            )
        )


class ServiceServer:
    """HTTP server of one emulated application or scoring service."""

    def __init__(
        self,
        service: ServiceModel,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 selects a free port."""
        self._service = service
        self._server = EmulatorServer(
            service,
            [
                (STATUS_PATH, ServiceStatusHandler, {"service": service}),
                (r"/.*", ExchangeHandler, {"service": service}),
            ],
            clock,
            host=host,
            port=port,
            ssl_context=ssl_context,
        )

    @property
    def base_url(self) -> str:
        """Base URL of the service."""
        return self._server.base_url

    @property
    def backend_id(self) -> BackendId:
        """Name of the service."""
        return self._service.backend_id

    def execute_command(self, command: ProcessCommand) -> None:
        """Crash or freeze the process; it recovers after a delay."""
        self._server.execute_command(command)

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.start()

    async def stop(self) -> None:
        """Stop serving and stop the service."""
        await self._server.stop()
        await self._service.close()
