"""The part of a response's head that arrived before the head broke off. Pure; no I/O."""

import re

import msgspec
from tornado.httputil import HTTPHeaders, HTTPInputError, parse_response_start_line

MAX_KEPT_BYTES = 4_096
"""Beginning of a head that is kept; status line and ids come well within it."""

_LINE_END = re.compile(rb"\r?\n")
_HEAD_END = re.compile(rb"\r?\n\r?\n")
FIRST_FINAL_STATUS = 200


class UnfinishedHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and the whole header lines of a head that has not ended."""

    status: int
    headers: HTTPHeaders


def parse_unfinished_head(data: bytes) -> UnfinishedHead | None:
    """Return what a head says that begins with ``data`` and has not ended.

    Whole interim heads before it are passed over. ``None`` if its status line is not whole, or is
    none.
    """
    while (end := _HEAD_END.search(data)) is not None and _is_interim(data):
        data = data[end.end() :]
    lines = [line.decode("latin-1") for line in _LINE_END.split(data)]
    if len(lines) < 2:
        return None
    status_line, *whole_lines = lines[:-1]
    try:
        start_line = parse_response_start_line(status_line)
        headers = HTTPHeaders()
        for line in whole_lines:
            if line:
                headers.parse_line(line + "\r\n")
    except HTTPInputError:
        return None
    if start_line.code < FIRST_FINAL_STATUS:
        return None
    return UnfinishedHead(status=start_line.code, headers=headers)


def _is_interim(data: bytes) -> bool:
    return re.match(rb"HTTP/1\.[01] 1\d\d\b", data) is not None
