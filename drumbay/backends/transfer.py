"""HTTP transfers: connects libcurl's callbacks with the coroutine that awaits the response."""

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
"""Lower statuses are interim responses (1xx), followed by a final one."""


class StreamedResponse:
    """Status and headers of a response, and its body as a stream.

    Attributes:
        status: HTTP status.
        headers: Response headers.
    """

    def __init__(self, transfer: "Transfer", status: int, headers: HTTPHeaders) -> None:
        """Wrap a transfer whose headers have arrived."""
        self.status = status
        self.headers = headers
        self._transfer = transfer

    def abort(self) -> None:
        """Abort the transfer; has no effect if it has ended."""
        self._transfer.abort()

    async def body_parts(self) -> AsyncGenerator[bytes]:
        """Yield the body as it arrives; closing the iterator aborts the transfer.

        Raises:
            ExchangeBrokenError: The body is truncated.
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
        """Return the complete body.

        Raises:
            ExchangeBrokenError: The body is truncated or larger than ``max_bytes``.
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
    """State of one HTTP transfer."""

    def __init__(self) -> None:
        """Create a transfer that has not started."""
        self._curl: Any = None
        self._fetch_future: asyncio.Future[HTTPResponse] | None = None
        self._response: asyncio.Future[StreamedResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._headers = HTTPHeaders()
        self._status = 0
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._aborted = False
        self._send_started = False
        self._state_changed = asyncio.Event()

    def configure(self, curl: pycurl.Curl) -> None:
        """Set the libcurl options described in :mod:`drumbay.backends.connector`."""
        self._curl = curl
        # Replaces tornado's callback, which would parse the headers a second time.
        self._curl.setopt(pycurl.HEADERFUNCTION, self._on_header_line)
        self._curl.setopt(pycurl.PREREQFUNCTION, self._allow_first_send)
        self._curl.setopt(pycurl.NOPROGRESS, 0)
        self._curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)

    def track(self, fetch_future: "asyncio.Future[HTTPResponse]") -> None:
        """Track the end of the transfer through tornado's future."""
        self._fetch_future = fetch_future
        fetch_future.add_done_callback(self._on_fetch_done)

    async def response(self) -> StreamedResponse:
        """Return the response once its headers have arrived.

        Raises:
            BackendNotReachedError: No byte of the request was sent.
            ExchangeBrokenError: No response arrived; the request may have run.
        """
        return await self._response

    async def next_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        Raises:
            ExchangeBrokenError: The body is truncated.
        """
        while not self._parts:
            if self._aborted:
                raise ExchangeBrokenError("the transfer was aborted")
            if not self._is_running():
                self._raise_if_broken()
                return None
            self._state_changed.clear()
            await self._state_changed.wait()
        part = self._parts.popleft()
        self._buffered_bytes -= len(part)
        if self._paused and self._buffered_bytes < RESUME_BELOW_BYTES:
            self._resume()
        return part

    def abort(self) -> None:
        """Abort the transfer; has no effect if it has ended."""
        if self._aborted or not self._is_running():
            return
        self._aborted = True
        self._parts.clear()
        self._state_changed.set()
        # libcurl calls the progress callback when a transfer is resumed; otherwise a transfer
        # that receives nothing would hold its connection until its timeout.
        self._set_pause(pycurl.PAUSE_RECV)
        self._set_pause(pycurl.PAUSE_CONT)

    def _on_header_line(self, line: bytes) -> None:
        self.add_header_line(line.decode("latin1"))

    def add_header_line(self, line: str) -> None:
        """Process one status or header line from libcurl."""
        stripped = line.rstrip("\r\n")
        if stripped.startswith("HTTP/"):
            self._headers = HTTPHeaders()
            self._status = int(stripped.split(" ", 2)[1])
        elif stripped:
            self._headers.parse_line(stripped)
        elif self._status >= FIRST_FINAL_STATUS and not self._response.done():
            self._response.set_result(StreamedResponse(self, self._status, self._headers))

    def add_part(self, part: bytes) -> None:
        """Buffer a part of the body; pause the transfer if too many bytes are buffered."""
        if self._aborted:
            return
        self._parts.append(part)
        self._buffered_bytes += len(part)
        self._state_changed.set()
        if self._buffered_bytes > PAUSE_ABOVE_BYTES and not self._paused and self._is_running():
            self._paused = True
            self._set_pause(pycurl.PAUSE_RECV)

    def _resume(self) -> None:
        self._paused = False
        if self._is_running():
            self._set_pause(pycurl.PAUSE_CONT)

    def _set_pause(self, mode: int) -> None:
        # libcurl raises an error if the transfer has ended while tornado delivers the rest of the
        # body, or failed while paused; the outcome is reported through the future.
        with contextlib.suppress(pycurl.error):
            self._curl.pause(mode)

    def _is_running(self) -> bool:
        # Once the future is done, tornado reuses the handle for another request.
        return self._fetch_future is not None and not self._fetch_future.done()

    def _allow_first_send(self, *_connection: Any) -> int:
        """Allow only the first send of the request.

        libcurl calls this once a new or reused connection is ready, before the first byte of
        the request is sent, and again before each resend.
        """
        callback_result: int = (
            pycurl.PREREQFUNC_ABORT if self._send_started else pycurl.PREREQFUNC_OK
        )
        self._send_started = True
        return callback_result

    def _on_progress(self, *_counts: int) -> int:
        return ABORT_TRANSFER if self._aborted else CONTINUE_TRANSFER

    def _on_fetch_done(self, fetch_future: "asyncio.Future[HTTPResponse]") -> None:
        self._state_changed.set()
        failure = self._failure()
        if self._response.done():
            return
        if failure is not None:
            self._response.set_exception(failure)
            return
        tornado_response = fetch_future.result()
        self._response.set_result(StreamedResponse(self, tornado_response.code, self._headers))

    def _failure(self) -> BackendError | None:
        if self._fetch_future is None or self._fetch_future.cancelled():
            return ExchangeBrokenError("the transfer was cancelled")
        error = self._fetch_future.exception()
        if error is None:
            return None
        if self._send_started:
            return ExchangeBrokenError(str(error))
        return BackendNotReachedError(str(error))

    def _raise_if_broken(self) -> None:
        failure = self._failure()
        if failure is not None:
            raise failure
