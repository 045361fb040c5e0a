"""Parser for the ``data`` field of server-sent events.

Only the subset of the format that completions APIs use is supported: ``data`` lines, terminated
by an empty line; see WHATWG HTML, section 9.2.6. Other fields and comments are ignored.
"""

from drumbay.backends.interface import ExchangeBrokenError

DEFAULT_MAX_EVENT_BYTES = 1 << 20


class EventDecoder:
    """Decodes a byte stream incrementally into the data of its events."""

    def __init__(self, max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES) -> None:
        """Create a decoder for events of at most ``max_event_bytes``."""
        self._max_event_bytes = max_event_bytes
        self._partial_line = b""
        self._data_lines: list[bytes] = []
        self._data_bytes = 0

    def feed(self, received: bytes) -> list[bytes]:
        """Return the data of the events completed by the received bytes.

        Raises:
            ExchangeBrokenError: An event exceeds the size limit.
        """
        lines = (self._partial_line + received).split(b"\n")
        self._partial_line = lines.pop()
        events: list[bytes] = []
        for line in lines:
            event = self._parse_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        if len(self._partial_line) + self._data_bytes > self._max_event_bytes:
            raise ExchangeBrokenError(f"an event is above {self._max_event_bytes} bytes")
        return events

    def _parse_line(self, line: bytes) -> bytes | None:
        if line.startswith(b"data:"):
            value = line[len(b"data:") :].removeprefix(b" ")
            self._data_lines.append(value)
            self._data_bytes += len(value)
            return None
        if line or not self._data_lines:
            return None
        event = b"\n".join(self._data_lines)
        self._data_lines.clear()
        self._data_bytes = 0
        return event


def encode_event(data: bytes) -> bytes:
    """Return one encoded event; ``data`` must not contain line breaks."""
    return b"data: " + data + b"\n\n"
