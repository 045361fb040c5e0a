"""What can be read of a response's head that broke off, or is not well-formed. Pure; no I/O."""

import re

import msgspec
from tornado.httputil import HTTPHeaders, HTTPInputError, parse_response_start_line

MAX_KEPT_BYTES = 4_096
"""Beginning of a head that is kept; status line and ids come well within it."""

_LINE_END = re.compile(rb"\r?\n")
_HEAD_END = re.compile(rb"\r?\n\r?\n")
_FINAL_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [2-9]\d\d\b[^\r\n]*\r?\n")


class UnfinishedHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and the whole, well-formed header lines of a head."""

    status: int
    headers: HTTPHeaders


def parse_unfinished_head(data: bytes) -> UnfinishedHead | None:
    """Return what the first final head in ``data`` says as far as it goes.

    Bytes before it, such as interim heads or bytes of no response, are passed over, and so are
    malformed lines. ``None`` if there is no whole status line.
    """
    status_line = _FINAL_STATUS_LINE.search(data)
    if status_line is None:
        return None
    start_line = parse_response_start_line(status_line.group().decode("latin-1").rstrip("\r\n"))
    return UnfinishedHead(
        status=start_line.code, headers=_parse_whole_lines(data[status_line.start() :])
    )


def _parse_whole_lines(head: bytes) -> HTTPHeaders:
    """Return the well-formed header lines of a head that begins with its status line."""
    end = _HEAD_END.search(head)
    whole = head if end is None else head[: end.end()]
    _, *lines = _LINE_END.split(whole)
    headers = HTTPHeaders()
    for line in lines[:-1]:
        try:
            if line:
                headers.parse_line(line.decode("latin-1") + "\r\n")
        except HTTPInputError:
            # The other lines tell all the same whose response it is.
            continue
    return headers
