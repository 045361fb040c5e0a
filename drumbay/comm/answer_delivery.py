"""Writes an answer to a connection as fast as its reader reads, and no faster.

Handed over whole, a large answer would stand in the connection's buffer for as long as its reader
pleases, and nobody would know whether it is still being read.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from http.client import responses

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection, HTTPHeaders, ResponseStartLine

PIECE_BYTES = 32_768
"""An answer is written in pieces of this size, and a piece that is sent is progress. Most answers
are smaller and are written at once; a reader that takes a piece in seconds still reads."""

READ_CHECK_SECONDS = 0.5
"""How often a reader that holds up its answer is looked at. Only time for which this process ran
counts, so that a suspended machine does not take its readers for gone."""


class Delivery(StrEnum):
    """How the delivery of an answer ended."""

    SENT = "sent"
    NOT_READ = "not_read"
    READER_GONE = "reader_gone"


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer to deliver; its length is added."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def write_at_once(connection: HTTPConnection, answer: HttpAnswer) -> None:
    """Write an answer that is small enough for the buffer of any connection."""
    written = connection.write_headers(_start_line(answer), _headers(answer), answer.body)
    written.add_done_callback(_take_exception)
    connection.finish()


async def deliver_answer(
    connection: HTTPConnection,
    answer: HttpAnswer,
    gives_up: Callable[[float], bool],
) -> Delivery:
    """Write an answer, and return how that ended.

    Args:
        connection: Where to write.
        answer: What to write.
        gives_up: Called with the seconds for which nothing could be sent; the connection is closed
            once it returns true.
    """
    body = answer.body
    written = connection.write_headers(_start_line(answer), _headers(answer), body[:PIECE_BYTES])
    position = PIECE_BYTES
    while position < len(body):
        sent = await _send(connection, written, gives_up)
        if sent is not Delivery.SENT:
            return sent
        written = connection.write(body[position : position + PIECE_BYTES])
        position += PIECE_BYTES
    connection.finish()
    return await _send(connection, written, gives_up)


def _start_line(answer: HttpAnswer) -> ResponseStartLine:
    return ResponseStartLine("HTTP/1.1", answer.status, responses.get(answer.status, "Unknown"))


def _headers(answer: HttpAnswer) -> HTTPHeaders:
    headers = HTTPHeaders()
    for name, value in answer.headers:
        headers.add(name, value)
    headers["Content-Length"] = str(len(answer.body))
    return headers


async def _send(
    connection: HTTPConnection, written: "asyncio.Future[None]", gives_up: Callable[[float], bool]
) -> Delivery:
    """Wait until a piece is sent; close the connection if it is given up."""
    unread_seconds = 0.0
    while not written.done():
        await asyncio.wait((written,), timeout=READ_CHECK_SECONDS)
        if written.done() or _is_closed(connection):
            break
        unread_seconds += READ_CHECK_SECONDS
        if gives_up(unread_seconds):
            _close(connection)
            return Delivery.NOT_READ
    is_sent = written.done() and written.exception() is None and not _is_closed(connection)
    return Delivery.SENT if is_sent else Delivery.READER_GONE


def _is_closed(connection: HTTPConnection) -> bool:
    return isinstance(connection, HTTP1Connection) and connection.stream.closed()


def _close(connection: HTTPConnection) -> None:
    if isinstance(connection, HTTP1Connection):
        connection.close()


def _take_exception(future: "asyncio.Future[None]") -> None:
    """Mark a failed write as seen: the connection is closed, and nobody waits for the answer."""
    if not future.cancelled():
        future.exception()
