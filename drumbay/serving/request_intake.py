"""Takes HTTP requests from clients, and refuses those that there is no room for.

tornado's own server reads each body whole before anybody is asked. Here room is asked for when the
headers have come. A refused request is answered with the first part of its body, or at its end if
it has none; what still comes is read and dropped, since closing a connection with unread bytes
could take the answer along.
"""

import asyncio
from collections.abc import Callable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)

from drumbay.serving.held_memory import HeldRequest

NO_ROOM_RETRY_SECONDS = 0.5
"""When a caller without room may come again: another node may have room at once, and answers that
are being read free theirs within tenths of a second."""

WATCHED_BODY_BYTES = 65_536
"""A larger body holds its room while it comes, and is refused if it stops coming while others need
that room. A smaller one holds next to nothing, and mostly comes with its headers."""

BODY_CHECK_SECONDS = 0.5
"""How often a large body is looked at; only time for which this process ran counts."""


class RequestIntake(HTTPServerConnectionDelegate):
    """Asks for room, then reads the body and hands the request on."""

    def __init__(
        self,
        hold: Callable[[HTTPServerRequest], HeldRequest],
        serve: Callable[[HTTPServerRequest, HeldRequest], None],
    ) -> None:
        """Take requests.

        Args:
            hold: Begins to count what a request holds, of which only the headers have come.
            serve: Takes a whole request; gives back what is held once it has ended.
        """
        self._hold = hold
        self._serve = serve

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Take one request of a connection."""
        return _IncomingRequest(request_conn, self._hold, self._serve)


class _IncomingRequest(HTTPMessageDelegate):
    """One request as it comes in."""

    def __init__(
        self,
        connection: HTTPConnection,
        hold: Callable[[HTTPServerRequest], HeldRequest],
        serve: Callable[[HTTPServerRequest, HeldRequest], None],
    ) -> None:
        self._connection = connection
        self._hold = hold
        self._serve = serve
        self._request: HTTPServerRequest | None = None
        self._held: HeldRequest | None = None
        self._body_is_announced = False
        self._fits = True
        self._is_answered = False
        self._chunks: list[bytes] = []
        self._still_seconds = 0.0
        self._check: asyncio.TimerHandle | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._request = HTTPServerRequest(
            connection=self._connection, start_line=start_line, headers=headers
        )
        announced = headers.get("Content-Length", "")
        self._body_is_announced = announced.isascii() and announced.isdigit()
        self._held = self._hold(self._request)
        # NOTE: tornado refuses a body over the limit after this; nothing is written before.
        body_bytes = int(announced) if self._body_is_announced else 0
        self._fits = self._held.try_begin(body_bytes)
        if self._fits and body_bytes > WATCHED_BODY_BYTES:
            self._check_later()

    def data_received(self, chunk: bytes) -> None:
        assert self._held is not None
        self._still_seconds = 0.0
        if self._fits and not self._body_is_announced:
            self._fits = self._held.try_body(len(chunk))
        if self._fits:
            self._chunks.append(chunk)
        else:
            self._refuse()

    def finish(self) -> None:
        assert self._request is not None and self._held is not None
        if not self._fits:
            self._refuse()
            self._connection.finish()
            return
        self._end_check()
        self._request.body = b"".join(self._chunks)
        self._chunks.clear()
        self._serve(self._request, self._held)

    def on_connection_close(self) -> None:
        self._drop()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(BODY_CHECK_SECONDS, self._check_progress)

    def _check_progress(self) -> None:
        """Refuse a body of which nothing came for some time, if its room is needed."""
        assert self._held is not None
        self._still_seconds += BODY_CHECK_SECONDS
        if self._held.gives_up_body(self._still_seconds):
            self._fits = False
            self._refuse()
        else:
            self._check_later()

    def _end_check(self) -> None:
        if self._check is not None:
            self._check.cancel()

    def _refuse(self) -> None:
        """Answer, once, that the request has not run and when to come again."""
        if self._is_answered:
            return
        self._is_answered = True
        self._drop()
        headers = HTTPHeaders({"Retry-After": f"{NO_ROOM_RETRY_SECONDS:g}", "Content-Length": "0"})
        start_line = ResponseStartLine("HTTP/1.1", 503, "Service Unavailable")
        written = self._connection.write_headers(start_line, headers)
        written.add_done_callback(lambda future: future.cancelled() or future.exception())

    def _drop(self) -> None:
        self._end_check()
        self._chunks.clear()
        if self._held is not None:
            self._held.release()
