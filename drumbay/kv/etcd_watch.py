"""Watches over the etcd v3 JSON gateway: a stream of newline-delimited JSON messages."""

import asyncio
import socket
from collections.abc import AsyncGenerator
from urllib.parse import urlsplit

import msgspec
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv import gateway_messages as messages
from drumbay.kv.interface import (
    KeyValueRateLimitedError,
    KeyValueUnavailableError,
    WatchBatch,
    WatchCompactedError,
    WatchEvent,
)

CONNECT_TIMEOUT_SECONDS = 2.0
TCP_KEEPALIVE_SECONDS = 2
TCP_KEEPALIVE_PROBES = 2
"""Closes a dead connection after 6 s, much sooner than the system's default of nine probes."""

MAX_LINE_BYTES = 64 * 1024 * 1024
MAX_QUEUED_LINES = 64
UNLIMITED_BODY_BYTES = 2**62
"""A watch is an endless response, so only the length of one line is limited."""


class _LineDelegate(HTTPMessageDelegate):
    """Splits the response body into lines; ``None`` in the queue marks its end."""

    def __init__(self) -> None:
        self.status = 0
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_LINES)
        self._partial = b""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code

    async def data_received(self, chunk: bytes) -> None:
        lines = (self._partial + chunk).split(b"\n")
        self._partial = lines.pop()
        if len(self._partial) > MAX_LINE_BYTES:
            raise HTTPInputError("line of a watch response is too long")
        for line in lines:
            if line:
                await self.lines.put(line)

    async def read(self, connection: HTTP1Connection) -> None:
        """Read the response until it ends or fails."""
        try:
            await connection.read_response(self)
        except (StreamClosedError, HTTPInputError, OSError):
            pass
        finally:
            await self.lines.put(None)

    def make_end_error(self) -> KeyValueUnavailableError:
        """Return the exception for a response that ended."""
        if self.status == 429:
            return KeyValueRateLimitedError("too many requests")
        return KeyValueUnavailableError(f"watch ended; status {self.status}")


async def watch_gateway(
    base_url: str, prefix: str, start_revision: Revision, clock: Clock
) -> AsyncGenerator[WatchBatch, None]:
    """Yield the changes of ``prefix`` from ``start_revision`` on, until cancelled.

    Raises:
        WatchCompactedError: The start revision has been compacted.
        KeyValueUnavailableError: The watch could not be opened, or broke.
    """
    # NOTE: tornado's HTTP clients cannot abort a request, but a cancelled watch must close its
    # connection, so this uses the lower-level connection class.
    stream = await _connect(base_url, clock)
    delegate = _LineDelegate()
    reader: asyncio.Task[None] | None = None
    try:
        connection = HTTP1Connection(
            stream,
            is_client=True,
            params=HTTP1ConnectionParameters(
                no_keep_alive=True, max_body_size=UNLIMITED_BODY_BYTES
            ),
        )
        _send_request(connection, base_url, prefix, start_revision)
        reader = asyncio.get_running_loop().create_task(delegate.read(connection))
        while True:
            line = await delegate.lines.get()
            if line is None:
                raise delegate.make_end_error()
            batch = _decode_line(line)
            if batch is not None:
                yield batch
    finally:
        stream.close()
        if reader is not None:
            reader.cancel()


async def _connect(base_url: str, clock: Clock) -> IOStream:
    parts = urlsplit(base_url)
    is_tls = parts.scheme == "https"
    port = parts.port or (443 if is_tls else 80)
    connect = TCPClient().connect(parts.hostname or "", port, ssl_options={} if is_tls else None)
    try:
        stream = await clock.wait_for(connect, CONNECT_TIMEOUT_SECONDS)
    except (DeadlineExceededError, StreamClosedError, OSError) as error:
        raise KeyValueUnavailableError("cannot connect") from error
    # Detects a dead peer, since an idle watch sends nothing.
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_SECONDS)
    stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_SECONDS)
    stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    return stream


def _send_request(
    connection: HTTP1Connection, base_url: str, prefix: str, start_revision: Revision
) -> None:
    key = prefix.encode()
    create = messages.WatchCreateRequest(
        key=messages.find_range_start(key),
        range_end=messages.find_range_end(key),
        start_revision=str(start_revision),
    )
    body = msgspec.json.encode(messages.WatchRequest(create_request=create))
    headers = HTTPHeaders(
        {
            "Host": urlsplit(base_url).netloc,
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
    )
    start_line = RequestStartLine("POST", messages.WATCH_PATH, "HTTP/1.1")
    pending_write = connection.write_headers(start_line, headers, chunk=body)
    pending_write.add_done_callback(_retrieve_exception)
    connection.finish()


def _retrieve_exception(pending_write: "asyncio.Future[None]") -> None:
    """Retrieve the exception of a failed write; the reader reports the broken connection."""
    if not pending_write.cancelled():
        pending_write.exception()


def _decode_line(line: bytes) -> WatchBatch | None:
    """Return the changes in one message; ``None`` if there are none."""
    try:
        message = msgspec.json.decode(line, type=messages.WatchResult)
    except msgspec.MsgspecError as error:
        raise KeyValueUnavailableError("watch message cannot be decoded") from error
    response = message.result
    if response is None:
        raise KeyValueUnavailableError("watch refused")
    if int(response.compact_revision) > 0:
        raise WatchCompactedError(f"oldest revision is {response.compact_revision}")
    if response.canceled:
        raise KeyValueUnavailableError("watch canceled")
    if not response.events:
        return None
    events = tuple(_to_event(event) for event in response.events)
    # NOTE: the header's revision may be ahead of a watch that is still catching up.
    return WatchBatch(revision=events[-1].mod_revision, events=events)


def _to_event(wire: messages.WireEvent) -> WatchEvent:
    item = None if wire.type == "DELETE" else messages.to_key_value(wire.kv)
    return WatchEvent(
        key=wire.kv.key.decode(), mod_revision=Revision(int(wire.kv.mod_revision)), item=item
    )
