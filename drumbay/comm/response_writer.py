"""Writes HTTP responses in chunks, with backpressure and detection of stalled readers.

A large response that is written in one piece would occupy the connection's buffer for as long as
the reader likes, without any sign of whether it is still being read.
"""

import asyncio
import fcntl
import sys
import termios
from collections.abc import Callable
from enum import StrEnum
from http.client import responses

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine

CHUNK_BYTES = 32_768

STALL_CHECK_SECONDS = 0.5
"""Interval at which a stalled reader is checked. Stall time is counted in intervals, so that time
for which this machine was suspended is not included."""


_NO_BYTES = bytes(4)
"""Room for the C ``int`` that the system call returns."""


class DeliveryOutcome(StrEnum):
    """Outcome of writing a response."""

    SENT = "sent"
    STALLED = "not_read"
    PEER_CLOSED = "reader_gone"


class HttpResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response to write; ``Content-Length`` is added."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def write_small_response(connection: HTTPConnection, response: HttpResponse) -> None:
    """Write a response that fits into the buffer of any connection, without waiting."""
    pending_write = connection.write_headers(
        _start_line(response), _headers(response), response.body
    )
    pending_write.add_done_callback(_retrieve_exception)
    connection.finish()


async def write_response(
    connection: HTTPConnection,
    response: HttpResponse,
    should_abort: Callable[[float], bool],
) -> DeliveryOutcome:
    """Write a response and return the outcome.

    Args:
        connection: Connection to write to.
        response: The response to write.
        should_abort: Called with the seconds for which nothing could be sent; the connection is
            closed once it returns true.
    """
    body = response.body
    pending_write = connection.write_headers(
        _start_line(response), _headers(response), body[:CHUNK_BYTES]
    )
    position = CHUNK_BYTES
    while position < len(body):
        outcome = await _wait_until_sent(connection, pending_write, should_abort)
        if outcome is not DeliveryOutcome.SENT:
            return outcome
        pending_write = connection.write(body[position : position + CHUNK_BYTES])
        position += CHUNK_BYTES
    connection.finish()
    return await _wait_until_sent(connection, pending_write, should_abort)


def _start_line(response: HttpResponse) -> ResponseStartLine:
    return ResponseStartLine("HTTP/1.1", response.status, responses.get(response.status, "Unknown"))


def _headers(response: HttpResponse) -> HTTPHeaders:
    headers = HTTPHeaders()
    for name, value in response.headers:
        headers.add(name, value)
    headers["Content-Length"] = str(len(response.body))
    return headers


async def _wait_until_sent(
    connection: HTTPConnection,
    pending_write: "asyncio.Future[None]",
    should_abort: Callable[[float], bool],
) -> DeliveryOutcome:
    """Wait until a chunk has been sent; close the connection if its reader stalls too long.

    Every byte that the reader takes is progress. A chunk is not a measure of it: while the
    connection's buffer is full, the kernel takes no more until a third of the buffer is free.
    """
    stalled_seconds = 0.0
    queued_bytes = _queued_bytes(connection)
    while not pending_write.done():
        await asyncio.wait((pending_write,), timeout=STALL_CHECK_SECONDS)
        if pending_write.done() or _is_closed(connection):
            break
        queued_bytes_before, queued_bytes = queued_bytes, _queued_bytes(connection)
        if queued_bytes != queued_bytes_before:
            stalled_seconds = 0.0
            continue
        stalled_seconds += STALL_CHECK_SECONDS
        if should_abort(stalled_seconds):
            _close(connection)
            return DeliveryOutcome.STALLED
    is_sent = (
        pending_write.done() and pending_write.exception() is None and not _is_closed(connection)
    )
    return DeliveryOutcome.SENT if is_sent else DeliveryOutcome.PEER_CLOSED


def _queued_bytes(connection: HTTPConnection) -> int | None:
    """Return the bytes in the kernel that the reader has not acknowledged; ``None`` if unknown."""
    if not isinstance(connection, HTTP1Connection) or connection.stream.closed():
        return None
    buffer = fcntl.ioctl(connection.stream.fileno(), termios.TIOCOUTQ, _NO_BYTES)
    return int.from_bytes(buffer, sys.byteorder)


def _is_closed(connection: HTTPConnection) -> bool:
    return isinstance(connection, HTTP1Connection) and connection.stream.closed()


def _close(connection: HTTPConnection) -> None:
    if isinstance(connection, HTTP1Connection):
        connection.close()


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    """Retrieve the exception of a failed write so that asyncio does not report it."""
    if not future.cancelled():
        future.exception()
