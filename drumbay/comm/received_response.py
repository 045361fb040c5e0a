"""A response while it is received: buffered within limits, with backpressure."""

import asyncio
from collections import deque
from collections.abc import Awaitable

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from drumbay.comm.connection_registry import TrackedConnection
from drumbay.comm.observed_stream import ObservedStream
from drumbay.comm.response_guard import RESPONSE_GUARD
from drumbay.comm.transfer_limits import (
    MAX_UNREAD_BYTES,
    MAX_UNWANTED_BODY_BYTES,
    ExcessReason,
    ResponseLimits,
    ResponseUsage,
)
from drumbay.comm.unfinished_head import (
    MAX_KEPT_BYTES,
    UnfinishedHead,
    parse_unfinished_head,
)

MAX_TIMER_LATENESS_SECONDS = 0.1
"""A head timer that runs later means that this process stood still, with bytes perhaps unread."""

HEAD_END = b"\r\n\r\n"


class ReceivedResponse(HTTPMessageDelegate):
    """Buffers a response and wakes its reader.

    Attributes:
        status: Status of the final head; ``None`` until it is whole.
        headers: Its headers.
        complete: Whether the whole response has arrived.
        broken: Whether the rest will not arrive.
        excess: The limit that it exceeded, if any.
    """

    def __init__(
        self,
        stream: ObservedStream,
        peer: str,
        limits: ResponseLimits,
        connection: TrackedConnection | None,
    ) -> None:
        """Await the first byte of a response."""
        self.status: int | None = None
        self.headers = HTTPHeaders()
        self.complete = False
        self.broken = False
        self.excess: ExcessReason | None = None
        self._stream = stream
        self._peer = peer
        self._limits = limits
        self._connection = connection
        self._usage = ResponseUsage(limits)
        self._head = bytearray()
        self._last_bytes = b""
        self._head_timer: asyncio.TimerHandle | None = None
        self._chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._unwanted_limit_bytes: int | None = None
        self._unwanted_bytes = 0
        self._reader_waiter: asyncio.Future[None] | None = None
        self._has_room: asyncio.Event | None = None
        stream.on_received = self._observe_head
        buffered = stream.peek_received()
        if buffered:
            self._observe_head(memoryview(buffered))

    # Heads

    def _observe_head(self, received: memoryview) -> None:
        """Keep the beginning of a head, and start to measure how long it takes."""
        if self.status is not None:
            return
        kept_bytes = MAX_KEPT_BYTES - len(self._head)
        self._head += received[:kept_bytes]
        self._last_bytes = (self._last_bytes + bytes(received[-len(HEAD_END) :]))[-len(HEAD_END) :]
        if self._head_timer is None:
            self._start_head_timer(may_extend=True)

    def _start_head_timer(self, *, may_extend: bool) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + self._limits.head_seconds
        self._head_timer = loop.call_at(due_at, self._check_head, due_at, may_extend)

    def _check_head(self, due_at: float, may_extend: bool) -> None:
        lateness_seconds = asyncio.get_running_loop().time() - due_at
        if may_extend and lateness_seconds > MAX_TIMER_LATENESS_SECONDS:
            self._start_head_timer(may_extend=False)
        else:
            self.exceed(ExcessReason.HEAD_SECONDS)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Handle a whole head, interim or final."""
        if self.excess is not None:
            # The stream may still have buffered bytes after it was closed.
            return
        self._record_received()
        if self._connection is not None:
            self._connection.is_replaceable = False
        self._stop_head_timer()
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            self._handle_interim_head()
            return
        self.status = start_line.code
        self.headers = headers
        self._head.clear()
        self._stream.on_received = None
        length = headers.get("Content-Length", "")
        if length.isdigit() and int(length) > self._limits.body_bytes:
            self.exceed(ExcessReason.BODY_BYTES)
        self._wake_reader()

    def _handle_interim_head(self) -> None:
        excess = self._usage.add_interim_head()
        if excess is not None:
            self.exceed(excess)
        elif self._last_bytes != HEAD_END:
            # The next head has begun to arrive.
            self._start_head_timer(may_extend=True)

    @property
    def has_bytes(self) -> bool:
        """Return whether any bytes have arrived in its place, of a response or not."""
        return self.status is not None or bool(self._head)

    @property
    def unfinished_head(self) -> UnfinishedHead | None:
        """Return what a head said that broke off; ``None`` if no head did, or it said nothing."""
        if self.status is not None or not self.broken:
            return None
        return parse_unfinished_head(bytes(self._head))

    # Body

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer a part of the body; the next one is awaited once there is room for it."""
        if self.excess is not None:
            return None
        self._record_received()
        if self._unwanted_limit_bytes is not None:
            self._count_unwanted(len(chunk))
            return None
        excess = self._usage.add_body(len(chunk))
        if excess is not None:
            self.exceed(excess)
            return None
        self._chunks.append(chunk)
        self._unread_bytes += len(chunk)
        self._wake_reader()
        return self._wait_for_room() if self._unread_bytes >= MAX_UNREAD_BYTES else None

    async def _wait_for_room(self) -> None:
        self._has_room = asyncio.Event()
        await self._has_room.wait()

    def take_chunks(self) -> bytes:
        """Return the buffered bytes of the body."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._make_room()
        return data

    def _make_room(self) -> None:
        self._unread_bytes = 0
        if self._has_room is not None:
            self._has_room.set()

    @property
    def has_known_end(self) -> bool:
        """Return whether the head tells where the body ends, before the connection does."""
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers

    def discard_rest(self, limit_bytes: int = MAX_UNWANTED_BODY_BYTES) -> None:
        """Discard the rest of the body as it arrives; beyond the limit it is cut off."""
        self._unwanted_limit_bytes = limit_bytes
        self._count_unwanted(len(self.take_chunks()))

    def _count_unwanted(self, size_bytes: int) -> None:
        self._unwanted_bytes += size_bytes
        limit_bytes = self._unwanted_limit_bytes
        if limit_bytes is not None and self._unwanted_bytes > limit_bytes:
            self.exceed(ExcessReason.UNWANTED_BODY)

    def finish(self) -> None:
        """Handle the end of the response."""
        # NOTE: a body without a length ends with the connection. Tornado also reports the end
        # after a reset, in which case the body is not complete.
        if self._stream.error is not None or self.excess is not None:
            self.broken = True
        else:
            self.complete = True
            if self._connection is not None:
                self._connection.record_response_complete()
        self._wake_reader()

    # Ends

    def on_connection_close(self) -> None:
        """Handle the end of the connection, or bytes that are no response."""
        self.end()

    def end(self) -> None:
        """Handle that nothing more is read."""
        self._stop_head_timer()
        if self._stream.on_received == self._observe_head:
            self._stream.on_received = None
        self.broken = not self.complete
        has_long_head = self.status is None and isinstance(
            self._stream.error, UnsatisfiableReadError
        )
        if has_long_head and self.excess is None:
            self._report(ExcessReason.HEAD_BYTES)
        self._make_room()
        self._wake_reader()

    def exceed(self, reason: ExcessReason) -> None:
        """Close the connection, as the response exceeded a limit."""
        if self.broken or self.complete:
            return
        self.broken = True
        self._report(reason)
        self._stream.close(exc_info=StreamClosedError())
        self.end()
        self.free_buffers()

    def free_buffers(self) -> None:
        """Free what was received and not read, now that the connection is closed."""
        self._chunks.clear()
        self._stream.free_received()

    def _report(self, reason: ExcessReason) -> None:
        self.excess = reason
        RESPONSE_GUARD.report(reason, self._peer, self.status)

    def _record_received(self) -> None:
        if self._connection is not None:
            self._connection.record_received()

    # Reader

    @property
    def has_chunks(self) -> bool:
        """Return whether bytes of the body are buffered."""
        return bool(self._chunks)

    async def wait(self) -> None:
        """Wait until something has changed."""
        self._reader_waiter = asyncio.get_running_loop().create_future()
        await self._reader_waiter

    def _wake_reader(self) -> None:
        if self._reader_waiter is not None and not self._reader_waiter.done():
            self._reader_waiter.set_result(None)
