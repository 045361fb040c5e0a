"""Line handling of server-sent events: the ``data`` field alone.

Only the part of the format that completions APIs use is read: ``data`` lines, ended by an
empty line; see WHATWG HTML, section 9.2.6. Other fields and comments are passed over.
"""

from drumbay.backends.interface import ExchangeBrokenError

DEFAULT_MAX_EVENT_BYTES = 1 << 20


class EventDecoder:
    """Cuts a stream of bytes into the data of its events."""

    def __init__(self, max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES) -> None:
        """Create a decoder that holds at most ``max_event_bytes``."""
        self._max_event_bytes = max_event_bytes
        self._rest = b""
        self._data: list[bytes] = []
        self._data_bytes = 0

    def feed(self, received: bytes) -> list[bytes]:
        """Return the data of the events that are whole now.

        Raises:
            ExchangeBrokenError: An event is larger than the limit.
        """
        lines = (self._rest + received).split(b"\n")
        self._rest = lines.pop()
        events: list[bytes] = []
        for line in lines:
            event = self._accept_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        if len(self._rest) + self._data_bytes > self._max_event_bytes:
            raise ExchangeBrokenError(f"an event is above {self._max_event_bytes} bytes")
        return events

    def _accept_line(self, line: bytes) -> bytes | None:
        if line.startswith(b"data:"):
            value = line[len(b"data:") :].removeprefix(b" ")
            self._data.append(value)
            self._data_bytes += len(value)
            return None
        if line or not self._data:
            return None
        event = b"\n".join(self._data)
        self._data.clear()
        self._data_bytes = 0
        return event


def encode_event(data: bytes) -> bytes:
    """Return one event whose data has no line break."""
    return b"data: " + data + b"\n\n"
