"""One HTTP transfer between libcurl's callbacks and the coroutine that waits for it."""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncGenerator
from typing import Any

import pycurl
from tornado.httpclient import HTTPResponse
from tornado.httputil import HTTPHeaders

from drumbay.backends.interface import BackendError, BackendNotReachedError, ExchangeBrokenError

PAUSE_ABOVE_BYTES = 256 << 10
RESUME_BELOW_BYTES = 64 << 10
ABORT_TRANSFER = 1
CONTINUE_TRANSFER = 0
FIRST_FINAL_STATUS = 200
"""Statuses below are interim answers that a final one follows."""


class HttpAnswer:
    """The head of an answer and its body, read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Answer headers.
    """

    def __init__(self, transfer: "Transfer", status: int, headers: HTTPHeaders) -> None:
        """Wrap a transfer whose head has arrived."""
        self.status = status
        self.headers = headers
        self._transfer = transfer

    def abort(self) -> None:
        """End the transfer; nothing happens when it has ended."""
        self._transfer.abort()

    async def body_parts(self) -> AsyncGenerator[bytes]:
        """Yield the body as it arrives; closing the iterator aborts the transfer.

        Raises:
            ExchangeBrokenError: The body is not whole.
        """
        try:
            while True:
                part = await self._transfer.next_part()
                if part is None:
                    return
                yield part
        finally:
            self._transfer.abort()

    async def body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises:
            ExchangeBrokenError: The body is not whole or above ``max_bytes``.
        """
        parts: list[bytes] = []
        size = 0
        while (part := await self._transfer.next_part()) is not None:
            size += len(part)
            if size > max_bytes:
                self._transfer.abort()
                raise ExchangeBrokenError(f"the answer is above {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)


class Transfer:
    """State of one transfer."""

    def __init__(self) -> None:
        """Create a transfer that is not started."""
        self._curl: Any = None
        self._response: asyncio.Future[HTTPResponse] | None = None
        self._head: asyncio.Future[HttpAnswer] = asyncio.get_running_loop().create_future()
        self._headers = HTTPHeaders()
        self._status = 0
        self._parts: deque[bytes] = deque()
        self._pending_bytes = 0
        self._paused = False
        self._aborted = False
        self._sent = False
        self._changed = asyncio.Event()

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set what tornado leaves at libcurl's defaults; see :mod:`drumbay.backends.connector`."""
        self._curl = curl
        # Replaces tornado's own callback, which parses each line a second time for a record
        # that nobody reads.
        self._curl.setopt(pycurl.HEADERFUNCTION, self._add_header_bytes)
        self._curl.setopt(pycurl.PREREQFUNCTION, self._admit_sending)
        self._curl.setopt(pycurl.NOPROGRESS, 0)
        self._curl.setopt(pycurl.XFERINFOFUNCTION, self._progress)

    def follow(self, response: "asyncio.Future[HTTPResponse]") -> None:
        """Watch for the end of the transfer."""
        self._response = response
        response.add_done_callback(self._finished)

    async def head(self) -> HttpAnswer:
        """Return the answer once its head has arrived.

        Raises:
            BackendNotReachedError: No byte of the request was sent.
            ExchangeBrokenError: No answer arrived; the request may have run.
        """
        return await self._head

    async def next_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        Raises:
            ExchangeBrokenError: The body is not whole.
        """
        while not self._parts:
            if self._aborted:
                raise ExchangeBrokenError("the transfer was aborted")
            if not self._is_running():
                self._raise_if_broken()
                return None
            self._changed.clear()
            await self._changed.wait()
        part = self._parts.popleft()
        self._pending_bytes -= len(part)
        if self._paused and self._pending_bytes < RESUME_BELOW_BYTES:
            self._resume()
        return part

    def abort(self) -> None:
        """End the transfer; nothing happens when it has ended."""
        if self._aborted or not self._is_running():
            return
        self._aborted = True
        self._parts.clear()
        self._changed.set()
        # NOTE: libcurl looks at the progress callback when a transfer is resumed; without
        # this, one that receives nothing would hold its connection until its time limit.
        self._pause(pycurl.PAUSE_RECV)
        self._pause(pycurl.PAUSE_CONT)

    def _add_header_bytes(self, line: bytes) -> None:
        self.add_header_line(line.decode("latin1"))

    def add_header_line(self, line: str) -> None:
        """Take one line of the head, as libcurl hands it over."""
        stripped = line.rstrip("\r\n")
        if stripped.startswith("HTTP/"):
            self._headers = HTTPHeaders()
            self._status = int(stripped.split(" ", 2)[1])
        elif stripped:
            self._headers.parse_line(stripped)
        elif self._status >= FIRST_FINAL_STATUS and not self._head.done():
            self._head.set_result(HttpAnswer(self, self._status, self._headers))

    def add_part(self, part: bytes) -> None:
        """Take a part of the body, and pause the transfer when too much waits."""
        if self._aborted:
            return
        self._parts.append(part)
        self._pending_bytes += len(part)
        self._changed.set()
        if self._pending_bytes > PAUSE_ABOVE_BYTES and not self._paused and self._is_running():
            self._paused = True
            self._pause(pycurl.PAUSE_RECV)

    def _resume(self) -> None:
        self._paused = False
        if self._is_running():
            self._pause(pycurl.PAUSE_CONT)

    def _pause(self, mode: int) -> None:
        # NOTE: libcurl refuses when the transfer has ended and tornado hands over the rest of
        # the body, or when it failed while it was paused; its outcome is reported anyway.
        with contextlib.suppress(pycurl.error):
            self._curl.pause(mode)

    def _is_running(self) -> bool:
        # NOTE: tornado gives the handle to another request as soon as the answer is done.
        return self._response is not None and not self._response.done()

    def _admit_sending(self, *_connection: Any) -> int:
        """Admit the first sending of the request.

        libcurl calls this when a connection is there, be it new or reused, and before the
        first byte of the request leaves; it calls again before it sends the request again.
        """
        admitted: int = pycurl.PREREQFUNC_ABORT if self._sent else pycurl.PREREQFUNC_OK
        self._sent = True
        return admitted

    def _progress(self, *_counts: int) -> int:
        return ABORT_TRANSFER if self._aborted else CONTINUE_TRANSFER

    def _finished(self, response: "asyncio.Future[HTTPResponse]") -> None:
        self._changed.set()
        failure = self._failure()
        if self._head.done():
            return
        if failure is not None:
            self._head.set_exception(failure)
            return
        answer = response.result()
        self._head.set_result(HttpAnswer(self, answer.code, self._headers))

    def _failure(self) -> BackendError | None:
        if self._response is None or self._response.cancelled():
            return ExchangeBrokenError("the transfer was cancelled")
        error = self._response.exception()
        if error is None:
            return None
        if self._sent:
            return ExchangeBrokenError(str(error))
        return BackendNotReachedError(str(error))

    def _raise_if_broken(self) -> None:
        failure = self._failure()
        if failure is not None:
            raise failure
