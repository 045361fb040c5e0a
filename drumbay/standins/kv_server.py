"""HTTP server of the key-value emulator, with the etcd v3 JSON gateway API.

It also serves ``/faults`` (GET, POST) and ``/log`` (GET), which faults do not affect.
"""

import asyncio
from typing import TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from drumbay.clock import SystemClock
from drumbay.identifiers import Revision
from drumbay.kv import gateway_messages as messages
from drumbay.kv.gateway_messages import StatusCode
from drumbay.kv.interface import (
    Delete,
    KeyValueRateLimitedError,
    KeyValueUnavailableError,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
    WatchBatch,
    WatchCompactedError,
    WatchEvent,
)
from drumbay.standins.kv_faults import EmulatedWriteOutcome, KeyValueFaults
from drumbay.standins.kv_model import DEFAULT_HISTORY_LIMIT, KeyValueModel
from drumbay.standins.kv_records import LogEntry
from drumbay.standins.kv_watch import watch_model

BodyT = TypeVar("BodyT")

MAX_REQUEST_BYTES = 4 * 1024 * 1024


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Log entries from a position to the end."""

    next_position: int
    entries: list[LogEntry]


class _ModelHandler(RequestHandler):
    """Base class of handlers with JSON bodies."""

    def initialize(self, model: KeyValueModel) -> None:
        self.model = model

    def read_body(self, body_type: type[BodyT]) -> BodyT:
        return msgspec.json.decode(self.request.body, type=body_type)

    def finish_with(self, body: msgspec.Struct) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def finish_with_error(self, http_status: int, code: StatusCode, detail: str) -> None:
        self.set_status(http_status)
        self.finish_with(messages.ErrorBody(error=detail, message=detail, code=int(code)))

    def header(self) -> messages.ResponseHeader:
        return messages.ResponseHeader(revision=str(self.model.revision))


class _OperationHandler(_ModelHandler):
    """Base class of the unary operations of the gateway; applies the active faults."""

    is_write = True

    def execute(self) -> msgspec.Struct:
        """Apply the operation to the model and return the response."""
        raise NotImplementedError

    async def post(self) -> None:
        """Serve one operation."""
        try:
            await self._serve()
        except KeyValueRateLimitedError:
            detail = "etcdserver: too many requests"
            self.finish_with_error(429, StatusCode.RESOURCE_EXHAUSTED, detail)
        except KeyValueUnavailableError:
            self.finish_with_error(503, StatusCode.UNAVAILABLE, messages.NO_LEADER_MESSAGE)
        except LeaseNotFoundError:
            detail = "etcdserver: requested lease not found"
            self.finish_with_error(404, StatusCode.NOT_FOUND, detail)
        except (msgspec.MsgspecError, ValueError) as error:
            self.finish_with_error(400, StatusCode.INVALID_ARGUMENT, str(error))

    async def _serve(self) -> None:
        injector = self.model.injector
        injector.admit(self.model.now())
        outcome = injector.draw_write_outcome() if self.is_write else EmulatedWriteOutcome.ANSWERED
        faults = injector.faults
        await self._delay(faults.request_delay_seconds)
        if outcome is EmulatedWriteOutcome.REQUEST_LOST:
            self.detach().close()
            return
        injector.check_outage()
        response_body = self.execute()
        await self._delay(faults.answer_delay_seconds)
        if outcome is EmulatedWriteOutcome.ANSWER_LOST:
            self.detach().close()
            return
        self.finish_with(response_body)

    async def _delay(self, seconds: float) -> None:
        if seconds > 0:
            await self.model.clock.sleep(seconds)


class _RangeHandler(_OperationHandler):
    is_write = False

    def execute(self) -> msgspec.Struct:
        request = self.read_body(messages.RangeRequest)
        prefix = _find_prefix(request.key, request.range_end)
        items = self.model.range_prefix(prefix).items
        kvs = [messages.from_key_value(item) for item in items]
        return messages.RangeResponse(header=self.header(), kvs=kvs, count=str(len(kvs)))


class _PutHandler(_OperationHandler):
    def execute(self) -> msgspec.Struct:
        request = self.read_body(messages.PutRequest)
        self.model.transact((), (_to_put(request),))
        return messages.PutResponse(header=self.header())


class _TransactionHandler(_OperationHandler):
    def execute(self) -> msgspec.Struct:
        request = self.read_body(messages.TransactionRequest)
        compares = tuple(_to_compare(compare) for compare in request.compare)
        operations = tuple(_to_operation(operation) for operation in request.success)
        result = self.model.transact(compares, operations)
        # Clients take this as the revision of their own change. Reading the current revision
        # instead could return a later one, created by a lease expiry.
        header = messages.ResponseHeader(revision=str(result.revision))
        return messages.TransactionResponse(header=header, succeeded=result.succeeded)


class _CompactionHandler(_OperationHandler):
    def execute(self) -> msgspec.Struct:
        request = self.read_body(messages.CompactionRequest)
        self.model.compact(Revision(int(request.revision)))
        return messages.PutResponse(header=self.header())


class _LeaseGrantHandler(_OperationHandler):
    def execute(self) -> msgspec.Struct:
        request = self.read_body(messages.LeaseGrantRequest)
        grant = self.model.grant_lease(float(request.TTL))
        return messages.LeaseResponse(
            header=self.header(), ID=str(grant.lease_id), TTL=str(int(grant.ttl_seconds))
        )


class _LeaseKeepAliveHandler(_OperationHandler):
    def execute(self) -> msgspec.Struct:
        lease_id = self.read_body(messages.LeaseIdRequest).ID
        try:
            ttl_seconds = self.model.keep_lease_alive(int(lease_id))
        except LeaseNotFoundError:
            ttl_seconds = 0.0
        response = messages.LeaseResponse(
            header=self.header(), ID=str(lease_id), TTL=str(int(ttl_seconds))
        )
        return messages.LeaseKeepAliveResult(result=response)


class _LeaseRevokeHandler(_OperationHandler):
    def execute(self) -> msgspec.Struct:
        self.model.revoke_lease(int(self.read_body(messages.LeaseIdRequest).ID))
        return messages.LeaseRevokeResponse(header=self.header())


class _WatchHandler(_ModelHandler):
    """Streams the changes of a prefix as newline-delimited JSON."""

    def initialize(self, model: KeyValueModel) -> None:
        super().initialize(model)
        self._stream_task: asyncio.Task[None] | None = None

    async def post(self) -> None:
        try:
            request = self.read_body(messages.WatchRequest).create_request
            prefix = _find_prefix(request.key, request.range_end)
            start_revision = Revision(int(request.start_revision))
            self.model.injector.admit(self.model.now())
            self.model.injector.check_watch()
        except KeyValueRateLimitedError:
            detail = "etcdserver: too many requests"
            self.finish_with_error(429, StatusCode.RESOURCE_EXHAUSTED, detail)
            return
        except KeyValueUnavailableError:
            self.finish_with_error(503, StatusCode.UNAVAILABLE, messages.NO_LEADER_MESSAGE)
            return
        except (msgspec.MsgspecError, ValueError) as error:
            self.finish_with_error(400, StatusCode.INVALID_ARGUMENT, str(error))
            return
        stream = self._stream(prefix, start_revision)
        self._stream_task = asyncio.get_running_loop().create_task(stream)
        await asyncio.wait([self._stream_task])

    def on_connection_close(self) -> None:
        if self._stream_task is not None:
            self._stream_task.cancel()

    async def _stream(self, prefix: str, start_revision: Revision) -> None:
        try:
            await self._send(messages.WatchResponse(header=self.header(), created=True))
            async for batch in watch_model(self.model, prefix, start_revision):
                await self._send(_to_watch_response(batch))
        except WatchCompactedError:
            await self._send(
                messages.WatchResponse(
                    header=self.header(),
                    canceled=True,
                    compact_revision=str(self.model.compacted_revision),
                )
            )
        except KeyValueUnavailableError:
            self.detach().close()
        except StreamClosedError:
            return

    async def _send(self, response: messages.WatchResponse) -> None:
        self.write(msgspec.json.encode(messages.WatchResult(result=response)) + b"\n")
        await self.flush()


class _FaultsHandler(_ModelHandler):
    async def get(self) -> None:
        self.finish_with(self.model.injector.faults)

    async def post(self) -> None:
        try:
            self.model.set_faults(self.read_body(KeyValueFaults))
        except msgspec.MsgspecError as error:
            self.finish_with_error(400, StatusCode.INVALID_ARGUMENT, str(error))
            return
        self.finish_with(self.model.injector.faults)


class _LogHandler(_ModelHandler):
    async def get(self) -> None:
        try:
            position = int(self.get_query_argument("position", "0"))
        except ValueError as error:
            self.finish_with_error(400, StatusCode.INVALID_ARGUMENT, str(error))
            return
        self.model.expire_leases()
        log = self.model.log
        self.finish_with(LogPage(next_position=len(log), entries=log[max(position, 0) :]))


def _find_prefix(key: bytes, range_end: bytes) -> str:
    """Return the prefix that a range covers.

    Raises:
        ValueError: The range does not cover a prefix; other ranges are not supported.
    """
    prefix = b"" if key == b"\0" else key
    if range_end != messages.find_range_end(prefix):
        raise ValueError("only ranges of a prefix are served")
    return prefix.decode()


def _to_put(request: messages.PutRequest) -> Put:
    return Put(key=request.key.decode(), value=request.value, lease_id=int(request.lease))


def _to_compare(compare: messages.Compare) -> ModRevisionIs:
    revision = Revision(int(compare.mod_revision))
    return ModRevisionIs(key=compare.key.decode(), mod_revision=revision)


def _to_operation(operation: messages.RequestOperation) -> Put | Delete:
    if operation.request_put is not None:
        return _to_put(operation.request_put)
    if operation.request_delete_range is not None:
        return Delete(key=operation.request_delete_range.key.decode())
    raise ValueError("an operation must be a put or a delete")


def _to_watch_response(batch: WatchBatch) -> messages.WatchResponse:
    header = messages.ResponseHeader(revision=str(batch.revision))
    return messages.WatchResponse(
        header=header, events=[_to_wire_event(event) for event in batch.events]
    )


def _to_wire_event(event: WatchEvent) -> messages.WireEvent:
    if event.item is not None:
        return messages.WireEvent(kv=messages.from_key_value(event.item))
    deleted = messages.WireKeyValue(key=event.key.encode(), mod_revision=str(event.mod_revision))
    return messages.WireEvent(type="DELETE", kv=deleted)


def make_application(model: KeyValueModel) -> Application:
    """Create the web application that serves ``model``."""
    arguments = {"model": model}
    routes = [
        (messages.RANGE_PATH, _RangeHandler, arguments),
        (messages.PUT_PATH, _PutHandler, arguments),
        (messages.TXN_PATH, _TransactionHandler, arguments),
        (messages.COMPACTION_PATH, _CompactionHandler, arguments),
        (messages.WATCH_PATH, _WatchHandler, arguments),
        (r"/v3/(?:kv/)?lease/grant", _LeaseGrantHandler, arguments),
        (r"/v3/(?:kv/)?lease/keepalive", _LeaseKeepAliveHandler, arguments),
        (r"/v3/(?:kv/)?lease/revoke", _LeaseRevokeHandler, arguments),
        ("/faults", _FaultsHandler, arguments),
        ("/log", _LogHandler, arguments),
    ]
    return Application(routes, log_function=lambda handler: None)


async def serve_key_value_emulator(
    host: str, port: int, *, history_limit: int = DEFAULT_HISTORY_LIMIT
) -> None:
    """Serve an empty key-value store on the system clock until cancelled.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on.
        history_limit: Maximum number of revisions kept for watches.
    """
    model = KeyValueModel(SystemClock(), history_limit=history_limit)
    server = HTTPServer(make_application(model), max_body_size=MAX_REQUEST_BYTES)
    server.listen(port, address=host)
    try:
        await asyncio.Event().wait()
    finally:
        server.stop()
        await server.close_all_connections()
