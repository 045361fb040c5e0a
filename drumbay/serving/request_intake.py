"""Accepts HTTP requests from clients and rejects them if there is not enough memory.

tornado's own server reads the whole body before it calls the application. Here memory is reserved
when the headers arrive. The response to a rejected request is sent when the first part of its
body or its end arrives; the rest is read and discarded, since closing a connection with unread data
could lose the response. A head or a body that does not end in time ends with its connection.
"""

import asyncio
from collections.abc import Callable
from weakref import WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)

from drumbay.comm.transfer_limits import MAX_REQUEST_HEAD_SECONDS, REQUEST_PACE
from drumbay.observability.logs import log_event
from drumbay.serving.memory_accounting import MemoryReservation

REJECTION_RETRY_SECONDS = 0.5
"""Retry-After of rejected requests; another node may have memory available."""

MONITORED_BODY_BYTES = 65_536
"""Larger bodies are rejected if they stall while other requests need the memory."""

BODY_CHECK_SECONDS = 0.5
"""Interval between progress checks of a body. Times are counted in intervals, so that time for
which this machine was suspended is not included."""

HEAD_CHECK_SECONDS = 0.5
"""The same for heads."""


class RequestIntake(HTTPServerConnectionDelegate):
    """Reserves memory, then reads the body and passes the request on.

    Attributes:
        max_head_seconds: Time from the first bytes of a head until it must be whole.
    """

    def __init__(
        self,
        reserve: Callable[[HTTPServerRequest], MemoryReservation],
        serve: Callable[[HTTPServerRequest, MemoryReservation], None],
    ) -> None:
        """Create an intake.

        Args:
            reserve: Creates the reservation for a request, given its headers.
            serve: Handles a complete request and releases the reservation when it is done.
        """
        self.max_head_seconds = MAX_REQUEST_HEAD_SECONDS
        self._reserve = reserve
        self._serve = serve
        self._awaiting_head: WeakSet[_IncomingRequest] = WeakSet()
        self._head_check: asyncio.TimerHandle | None = None
        self._known_connections: WeakSet[object] = WeakSet()
        self._first_requests: WeakSet[_IncomingRequest] = WeakSet()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Handle one request of a connection."""
        request = _IncomingRequest(request_conn, self._reserve, self._serve)
        if server_conn not in self._known_connections:
            self._known_connections.add(server_conn)
            self._first_requests.add(request)
        self._awaiting_head.add(request)
        if self._head_check is None:
            self._schedule_head_check()
        return request

    def _schedule_head_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._head_check = loop.call_later(HEAD_CHECK_SECONDS, self._check_heads)

    def _check_heads(self) -> None:
        """Close connections whose heads have begun and do not end."""
        for request in list(self._awaiting_head):
            if not request.is_awaited:
                self._awaiting_head.discard(request)
            elif request.has_begun_head():
                request.head_seconds += HEAD_CHECK_SECONDS
                if request.head_seconds > self.max_head_seconds:
                    request.cut_off_head()
        self._head_check = None
        if self._awaiting_head:
            self._schedule_head_check()

    def awaits_first_request(self, max_seconds: float) -> bool:
        """Return whether a connection that is not older has brought no request yet."""
        opened_since = asyncio.get_running_loop().time() - max_seconds
        return any(
            request.is_awaited and request.created_at >= opened_since
            for request in self._first_requests
        )


class _IncomingRequest(HTTPMessageDelegate):
    """A request that is being received.

    Attributes:
        created_at: When the connection became ready for it, by the event loop's time.
        is_awaited: Whether its head has not arrived.
        head_seconds: For how long the head has been arriving.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        reserve: Callable[[HTTPServerRequest], MemoryReservation],
        serve: Callable[[HTTPServerRequest, MemoryReservation], None],
    ) -> None:
        self.created_at = asyncio.get_running_loop().time()
        self.is_awaited = True
        self.head_seconds = 0.0
        self._connection = connection
        self._reserve = reserve
        self._serve = serve
        self._request: HTTPServerRequest | None = None
        self._reservation: MemoryReservation | None = None
        self._has_content_length = False
        self._is_admitted = True
        self._has_responded = False
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._body_seconds = 0.0
        self._stalled_seconds = 0.0
        self._is_large = False
        self._body_timer: asyncio.TimerHandle | None = None

    def has_begun_head(self) -> bool:
        """Return whether a part of the head has arrived."""
        connection = self._connection
        if not isinstance(connection, HTTP1Connection) or connection.stream is None:
            return False
        # NOTE: IOStream has no public accessor for bytes that it has read.
        return bool(connection.stream._read_buffer_size)

    def cut_off_head(self) -> None:
        """Close the connection, as the head does not end."""
        self.is_awaited = False
        log_event("request_head_too_slow", level="WARNING", seconds=self.head_seconds)
        self._close_connection()

    def _close_connection(self) -> None:
        if isinstance(self._connection, HTTP1Connection):
            self._connection.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self.is_awaited = False
        self._request = HTTPServerRequest(
            connection=self._connection, start_line=start_line, headers=headers
        )
        content_length = headers.get("Content-Length", "")
        self._has_content_length = content_length.isascii() and content_length.isdigit()
        self._reservation = self._reserve(self._request)
        # NOTE: tornado checks the limit for bodies after this method returns. No response has been
        # written by then.
        body_bytes = int(content_length) if self._has_content_length else 0
        self._is_admitted = self._reservation.try_reserve_request(body_bytes)
        self._is_large = body_bytes > MONITORED_BODY_BYTES
        if body_bytes or not self._has_content_length:
            self._schedule_body_check()

    def data_received(self, chunk: bytes) -> None:
        assert self._reservation is not None
        self._received_bytes += len(chunk)
        self._stalled_seconds = 0.0
        if self._is_admitted and not self._has_content_length:
            self._is_admitted = self._reservation.try_reserve_body(len(chunk))
        if self._is_admitted:
            self._chunks.append(chunk)
        else:
            self._reject()

    def finish(self) -> None:
        assert self._request is not None and self._reservation is not None
        if not self._is_admitted:
            self._reject()
            self._cancel_body_check()
            self._connection.finish()
            return
        self._cancel_body_check()
        self._request.body = b"".join(self._chunks)
        self._chunks.clear()
        self._serve(self._request, self._reservation)

    def on_connection_close(self) -> None:
        self.is_awaited = False
        self._cancel_body_check()
        self._discard()

    def _schedule_body_check(self) -> None:
        event_loop = asyncio.get_running_loop()
        self._body_timer = event_loop.call_later(BODY_CHECK_SECONDS, self._check_body)

    def _check_body(self) -> None:
        """Reject a request whose body is too slow, or has stalled while its memory is needed."""
        assert self._reservation is not None
        self._stalled_seconds += BODY_CHECK_SECONDS
        self._body_seconds += BODY_CHECK_SECONDS
        if REQUEST_PACE.is_too_slow(self._body_seconds, self._received_bytes):
            if self._has_responded:
                self._close_connection()
                return
            self._reservation.record_slow_body(self._body_seconds)
            self._is_admitted = False
        elif self._is_admitted and self._is_large:
            self._is_admitted = not self._reservation.should_reject_body(self._stalled_seconds)
        if not self._is_admitted:
            self._reject()
        self._schedule_body_check()

    def _cancel_body_check(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()

    def _reject(self) -> None:
        """Respond once with 503 and Retry-After."""
        if self._has_responded:
            return
        self._has_responded = True
        self._discard()
        headers = HTTPHeaders(
            {"Retry-After": f"{REJECTION_RETRY_SECONDS:g}", "Content-Length": "0"}
        )
        start_line = ResponseStartLine("HTTP/1.1", 503, "Service Unavailable")
        write_future = self._connection.write_headers(start_line, headers)
        write_future.add_done_callback(lambda future: future.cancelled() or future.exception())

    def _discard(self) -> None:
        self._chunks.clear()
        if self._reservation is not None:
            self._reservation.release()
