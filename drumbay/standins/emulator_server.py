"""HTTP server for an emulated process, with endpoints for faults, crashes and the execution log.

A crash closes the listening socket and every connection, as the end of a real process would;
the execution log is kept.
"""

import ssl
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import Any, Protocol

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from drumbay.backends.wire import JSON_TYPE, RETRY_AFTER_HEADER, ErrorBody, ErrorDetail
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.observability.logs import log_event
from drumbay.standins.execution_log import ExecutionLog
from drumbay.standins.faults import FaultCommand, FaultSwitches, UnsupportedFaultError
from drumbay.tasks import TaskOwner

MAX_BODY_BYTES = 4 << 20
MAX_HEADER_BYTES = 64 << 10
MAX_LOG_PAGE_RECORDS = 10_000
HTTP_BAD_REQUEST = 400
DEFAULT_RECOVERY_SECONDS = 2.0
"""Default delay before a crashed process is restarted."""

Route = tuple[str, type[RequestHandler], dict[str, Any]]


class EmulatedProcess(Protocol):
    """Interface between the HTTP server and an emulator model."""

    @property
    def log(self) -> ExecutionLog:
        """Execution log of the process."""
        ...

    @property
    def faults(self) -> FaultSwitches:
        """Injectable faults."""
        ...

    def set_crash_callback(self, on_crash: Callable[[], None]) -> None:
        """Set the function that is called when the process crashes."""
        ...

    def crash(self) -> None:
        """Crash the process."""
        ...

    def restart(self) -> None:
        """Restart the process."""
        ...

    def freeze(self) -> None:
        """Pause all work."""
        ...

    def resume(self) -> None:
        """Resume the work."""
        ...


class ProcessAction(StrEnum):
    """Action on an emulated process."""

    CRASH = "crash"
    FREEZE = "freeze"


class ProcessCommand(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /faults/process``: crash or freeze the process, and recover later.

    Attributes:
        action: Action to take.
        recover_after_seconds: Delay until the process restarts or resumes.
    """

    action: ProcessAction
    recover_after_seconds: float = DEFAULT_RECOVERY_SECONDS


class EmulatorServer:
    """HTTP server of one emulated process."""

    def __init__(
        self,
        process: EmulatedProcess,
        routes: Sequence[Route],
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 selects a free port at the first start."""
        self._process = process
        self._clock = clock
        self._host = host
        self._port = port
        self._ssl_context = ssl_context
        self._tasks = TaskOwner()
        control_routes: list[Route] = [
            (r"/faults", FaultHandler, {"process": process}),
            (r"/faults/process", ProcessHandler, {"server": self}),
            (r"/log", LogHandler, {"process": process}),
            (r"/healthz", HealthHandler, {}),
        ]
        self._application = Application(
            [*control_routes, *routes], log_function=_discard_access_log
        )
        self._http: HTTPServer | None = None
        self._restart_delay_seconds = DEFAULT_RECOVERY_SECONDS
        process.set_crash_callback(self._handle_crash)

    @property
    def port(self) -> int:
        """Listening port."""
        return self._port

    @property
    def base_url(self) -> str:
        """Base URL of the process."""
        scheme = "http" if self._ssl_context is None else "https"
        return f"{scheme}://{self._host}:{self._port}"

    def start(self) -> None:
        """Bind the port and start serving."""
        sockets = bind_sockets(self._port, self._host)
        self._port = sockets[0].getsockname()[1]
        http = HTTPServer(
            self._application,
            ssl_options=self._ssl_context,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )
        http.add_sockets(sockets)
        self._http = http
        log_event("emulator_listening", host=self._host, port=self._port)

    async def stop(self) -> None:
        """Stop serving, close all connections and cancel background tasks."""
        await self._close_connections()
        await self._tasks.close()

    def execute_command(self, command: ProcessCommand) -> None:
        """Crash or freeze the process; it recovers after a delay."""
        if command.action is ProcessAction.CRASH:
            self._restart_delay_seconds = command.recover_after_seconds
            self._process.crash()
            return
        self._process.freeze()
        self._tasks.spawn(self._resume_later(command.recover_after_seconds), "thaw")

    def _handle_crash(self) -> None:
        if self._http is not None:
            self._tasks.spawn(self._recover(), "recover")

    async def _recover(self) -> None:
        await self._close_connections()
        await self._clock.sleep(self._restart_delay_seconds)
        self._restart_delay_seconds = DEFAULT_RECOVERY_SECONDS
        self._process.restart()
        self.start()

    async def _resume_later(self, after_seconds: float) -> None:
        await self._clock.sleep(after_seconds)
        self._process.resume()

    async def _close_connections(self) -> None:
        http = self._http
        self._http = None
        if http is not None:
            http.stop()
            await http.close_all_connections()


def _discard_access_log(handler: RequestHandler) -> None:
    """Disable the access log; the execution log records what the process did."""


class JsonHandler(RequestHandler):
    """Base class of handlers with JSON responses."""

    def send(self, body: msgspec.Struct, status: int = 200) -> None:
        """Send a record as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_TYPE)
        self.write(msgspec.json.encode(body))

    def send_error_body(
        self,
        status: int,
        code: str,
        message: str,
        *,
        run: Execution | None = None,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Send a structured error."""
        if retry_after_seconds is not None:
            self.set_header(RETRY_AFTER_HEADER, f"{retry_after_seconds:g}")
        self.send(ErrorBody(error=ErrorDetail(code=code, message=message, run=run)), status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send errors raised by tornado as structured errors."""
        self.send_error_body(status_code, "http_error", self._reason)

    def drop_connection(self) -> None:
        """Close the connection without completing the response."""
        self.detach().close()


class FaultHandler(JsonHandler):
    """``POST /faults``: arm or disarm a fault."""

    def initialize(self, process: EmulatedProcess) -> None:
        """Set the emulated process."""
        self._process = process

    def post(self) -> None:
        """Apply a fault command."""
        try:
            command = msgspec.json.decode(self.request.body, type=FaultCommand)
            self._process.faults.apply(command)
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
            return
        except UnsupportedFaultError as error:
            self.send_error_body(HTTP_BAD_REQUEST, error.code, str(error))
            return
        self.send(command)


class ProcessHandler(JsonHandler):
    """``POST /faults/process``: crash or freeze the process."""

    def initialize(self, server: EmulatorServer) -> None:
        """Set the server."""
        self._server = server

    def post(self) -> None:
        """Accept a command; it takes effect after the response is sent."""
        try:
            self._command = msgspec.json.decode(self.request.body, type=ProcessCommand)
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
            return
        self.set_header("Connection", "close")
        self.send(self._command)

    def on_finish(self) -> None:
        """Execute the accepted command."""
        command: ProcessCommand | None = getattr(self, "_command", None)
        if command is not None:
            self._server.execute_command(command)


class LogHandler(JsonHandler):
    """``GET /log?first=N&count=M``: a page of the execution log."""

    def initialize(self, process: EmulatedProcess) -> None:
        """Set the emulated process."""
        self._process = process

    def get(self) -> None:
        """Send a page of the log."""
        first = _parse_count(self.get_query_argument("first", "0"))
        count = _parse_count(self.get_query_argument("count", str(MAX_LOG_PAGE_RECORDS)))
        if first is None or count is None:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_query", "first and count are numbers")
            return
        self.send(self._process.log.page(first, min(count, MAX_LOG_PAGE_RECORDS)))


class HealthHandler(JsonHandler):
    """``GET /healthz``: liveness check."""

    def get(self) -> None:
        """Respond without a body."""
        self.set_status(204)


def _parse_count(text: str) -> int | None:
    return int(text) if text.isdecimal() else None
