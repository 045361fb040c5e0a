"""HTTP server of an emulated engine: completion and admin endpoints."""

import ssl

import msgspec

from drumbay.backends.interface import (
    BackendError,
    FencedOrder,
)
from drumbay.backends.wire import (
    CACHE_EVENTS_PATH,
    CACHE_EXPORT_PATH,
    CACHE_IMPORT_PATH,
    CANCEL_PATH,
    CHAT_COMPLETIONS_PATH,
    COMPLETIONS_PATH,
    ORDERS_PATH,
    STATUS_PATH,
    AttemptBody,
    CacheEventPage,
)
from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.standins.cache_transfer import CacheExport
from drumbay.standins.emulator_server import HTTP_BAD_REQUEST, EmulatorServer, ProcessCommand
from drumbay.standins.engine_completions import (
    ChatCompletionsHandler,
    CompletionsHandler,
    EngineHandler,
)
from drumbay.standins.engine_model import EngineModel
from drumbay.tasks import TaskOwner


class OrdersHandler(EngineHandler):
    """``POST /admin/orders``."""

    async def post(self) -> None:
        """Execute a fenced order and return the status after it."""
        try:
            order = msgspec.json.decode(self.request.body, type=FencedOrder)
            self.send(await self.engine.order(order))
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
        except BackendError as error:
            self.send_backend_error(error)


class StatusHandler(EngineHandler):
    """``GET /admin/status``."""

    async def get(self) -> None:
        """Return the status of the engine."""
        try:
            self.send(await self.engine.status())
        except BackendError as error:
            self.send_backend_error(error)


class CacheEventsHandler(EngineHandler):
    """``GET /admin/cache-events?after=N``."""

    async def get(self) -> None:
        """Return the published cache events after a sequence number."""
        after = self.get_query_argument("after", "0")
        if not after.isdecimal():
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_query", "after is a number")
            return
        try:
            self.send(CacheEventPage(events=await self.engine.cache_events(int(after))))
        except BackendError as error:
            self.send_backend_error(error)


class CancelHandler(EngineHandler):
    """``POST /admin/cancel``."""

    async def post(self) -> None:
        """Cancel an attempt."""
        try:
            body = msgspec.json.decode(self.request.body, type=AttemptBody)
            await self.engine.cancel(body.attempt_id)
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
            return
        except BackendError as error:
            self.send_backend_error(error)
            return
        self.send(body)


class CacheExportHandler(EngineHandler):
    """``POST /admin/kv-cache/export``."""

    async def post(self) -> None:
        """Return a descriptor of the KV cache of an attempt."""
        try:
            body = msgspec.json.decode(self.request.body, type=AttemptBody)
            self.send(await self.engine.export_cache(body.attempt_id))
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
        except BackendError as error:
            self.send_backend_error(error)


class CacheImportHandler(EngineHandler):
    """``POST /admin/kv-cache/import``."""

    async def post(self) -> None:
        """Import the KV cache of an attempt from another engine."""
        try:
            export = msgspec.json.decode(self.request.body, type=CacheExport)
            await self.engine.import_cache(export)
            self.send(export)
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
        except BackendError as error:
            self.send_backend_error(error)


class EngineServer:
    """HTTP server of one emulated engine."""

    def __init__(
        self,
        engine: EngineModel,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 selects a free port."""
        self._engine = engine
        self._tasks = TaskOwner()
        arguments = {"engine": engine, "tasks": self._tasks}
        self._server = EmulatorServer(
            engine,
            [
                (COMPLETIONS_PATH, CompletionsHandler, arguments),
                (CHAT_COMPLETIONS_PATH, ChatCompletionsHandler, arguments),
                (ORDERS_PATH, OrdersHandler, arguments),
                (STATUS_PATH, StatusHandler, arguments),
                (CACHE_EVENTS_PATH, CacheEventsHandler, arguments),
                (CANCEL_PATH, CancelHandler, arguments),
                (CACHE_EXPORT_PATH, CacheExportHandler, arguments),
                (CACHE_IMPORT_PATH, CacheImportHandler, arguments),
            ],
            clock,
            host=host,
            port=port,
            ssl_context=ssl_context,
        )

    @property
    def base_url(self) -> str:
        """Base URL of the engine."""
        return self._server.base_url

    @property
    def backend_id(self) -> BackendId:
        """Name of the engine."""
        return self._engine.backend_id

    def execute_command(self, command: ProcessCommand) -> None:
        """Crash or freeze the process; it recovers after a delay."""
        self._server.execute_command(command)

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.start()

    async def stop(self) -> None:
        """Stop serving and stop the engine."""
        await self._server.stop()
        await self._engine.close()
        await self._tasks.close()
