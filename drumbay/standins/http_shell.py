"""The HTTP server around an emulated process: faults, log, crash and restart.

A crash closes the listening socket and every connection, so that callers see what they
would see of a dead process; the execution log outlives it.
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
"""Time after which a crashed process is started again, as a supervisor would."""

Route = tuple[str, type[RequestHandler], dict[str, Any]]


class EmulatedProcess(Protocol):
    """What the shell needs of a model."""

    @property
    def log(self) -> ExecutionLog:
        """Return the execution log."""
        ...

    @property
    def faults(self) -> FaultSwitches:
        """Return the fault switches."""
        ...

    def watch_crashes(self, on_crash: Callable[[], None]) -> None:
        """Have ``on_crash`` called whenever the process dies."""
        ...

    def crash(self) -> None:
        """End the process at once."""
        ...

    def restart(self) -> None:
        """Start the process again."""
        ...

    def freeze(self) -> None:
        """Stop all work."""
        ...

    def thaw(self) -> None:
        """Go on with the work."""
        ...


class ProcessAction(StrEnum):
    """What happens to an emulated process."""

    CRASH = "crash"
    FREEZE = "freeze"


class ProcessCommand(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /faults/process``: crash or freeze now, and recover by itself.

    Attributes:
        action: What happens.
        recover_after_seconds: When the process restarts or thaws.
    """

    action: ProcessAction
    recover_after_seconds: float = DEFAULT_RECOVERY_SECONDS


class EmulatorServer:
    """Serves one emulated process over HTTP."""

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
        """Create a server; ``port`` 0 takes a free port at the first start."""
        self._process = process
        self._clock = clock
        self._host = host
        self._port = port
        self._ssl_context = ssl_context
        self._tasks = TaskOwner()
        control: list[Route] = [
            (r"/faults", FaultHandler, {"process": process}),
            (r"/faults/process", ProcessHandler, {"server": self}),
            (r"/log", LogHandler, {"process": process}),
            (r"/healthz", HealthHandler, {}),
        ]
        self._application = Application([*control, *routes], log_function=_log_nothing)
        self._http: HTTPServer | None = None
        self._recovery_seconds = DEFAULT_RECOVERY_SECONDS
        process.watch_crashes(self._handle_crash)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return self._port

    @property
    def base_url(self) -> str:
        """URL at which the process is reached."""
        scheme = "http" if self._ssl_context is None else "https"
        return f"{scheme}://{self._host}:{self._port}"

    def start(self) -> None:
        """Bind the port and serve."""
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
        """Stop serving, close all connections and end background tasks."""
        await self._close_connections()
        await self._tasks.close()

    def carry_out(self, command: ProcessCommand) -> None:
        """Crash or freeze the process, and let it recover later."""
        if command.action is ProcessAction.CRASH:
            self._recovery_seconds = command.recover_after_seconds
            self._process.crash()
            return
        self._process.freeze()
        self._tasks.spawn(self._thaw(command.recover_after_seconds), "thaw")

    def _handle_crash(self) -> None:
        if self._http is not None:
            self._tasks.spawn(self._recover(), "recover")

    async def _recover(self) -> None:
        await self._close_connections()
        await self._clock.sleep(self._recovery_seconds)
        self._recovery_seconds = DEFAULT_RECOVERY_SECONDS
        self._process.restart()
        self.start()

    async def _thaw(self, after_seconds: float) -> None:
        await self._clock.sleep(after_seconds)
        self._process.thaw()

    async def _close_connections(self) -> None:
        http = self._http
        self._http = None
        if http is not None:
            http.stop()
            await http.close_all_connections()


def _log_nothing(handler: RequestHandler) -> None:
    """Write no access log: the execution log holds what is needed."""


class JsonHandler(RequestHandler):
    """Base class of handlers that answer in JSON."""

    def send(self, body: msgspec.Struct, status: int = 200) -> None:
        """Answer with a record."""
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
        """Answer with a typed error."""
        if retry_after_seconds is not None:
            self.set_header(RETRY_AFTER_HEADER, f"{retry_after_seconds:g}")
        self.send(ErrorBody(error=ErrorDetail(code=code, message=message, run=run)), status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer failures of tornado itself in the same form."""
        self.send_error_body(status_code, "http_error", self._reason)

    def drop_connection(self) -> None:
        """Close the connection in the middle of an answer."""
        self.detach().close()


class FaultHandler(JsonHandler):
    """``POST /faults``: arm or disarm a fault."""

    def initialize(self, process: EmulatedProcess) -> None:
        """Store the emulated process."""
        self._process = process

    def post(self) -> None:
        """Apply one command."""
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
        """Store the server."""
        self._server = server

    def post(self) -> None:
        """Carry out one command once the answer has left."""
        try:
            self._command = msgspec.json.decode(self.request.body, type=ProcessCommand)
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
            return
        self.set_header("Connection", "close")
        self.send(self._command)

    def on_finish(self) -> None:
        """Let the command take effect after its answer."""
        command: ProcessCommand | None = getattr(self, "_command", None)
        if command is not None:
            self._server.carry_out(command)


class LogHandler(JsonHandler):
    """``GET /log?first=N&count=M``: a page of the execution log."""

    def initialize(self, process: EmulatedProcess) -> None:
        """Store the emulated process."""
        self._process = process

    def get(self) -> None:
        """Answer with a page."""
        first = _natural_number(self.get_query_argument("first", "0"))
        count = _natural_number(self.get_query_argument("count", str(MAX_LOG_PAGE_RECORDS)))
        if first is None or count is None:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_query", "first and count are numbers")
            return
        self.send(self._process.log.page(first, min(count, MAX_LOG_PAGE_RECORDS)))


class HealthHandler(JsonHandler):
    """``GET /healthz``: the process answers."""

    def get(self) -> None:
        """Answer with an empty body."""
        self.set_status(204)


def _natural_number(text: str) -> int | None:
    return int(text) if text.isdecimal() else None
