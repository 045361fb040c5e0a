"""An ``IOStream`` that shows the bytes it receives to an observer."""

from collections.abc import Callable

from tornado.iostream import IOStream

MAX_BUFFER_BYTES = 1_048_576


class ObservedStream(IOStream):
    """Calls :attr:`on_received` with each piece of bytes, before its reader gets them."""

    on_received: Callable[[memoryview], None] | None = None
    is_ended_by_peer: bool = False
    """Whether the peer has closed its side; a reset does not count."""

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; see ``BaseIOStream.read_from_fd``."""
        size_bytes = super().read_from_fd(buf)
        if size_bytes and self.on_received is not None:
            # Released at once: the stream resizes its buffer later.
            with memoryview(buf) as view, view[:size_bytes] as received:
                self.on_received(received)
        if size_bytes == 0:
            self.is_ended_by_peer = True
        return size_bytes

    def peek_received(self) -> bytes:
        """Return the received bytes that nobody has read, and keep them."""
        return bytes(self._read_buffer)

    def free_received(self) -> None:
        """Free the received bytes that nobody has read; call it when the stream is closed.

        ``IOStream`` keeps them, and takes part in reference cycles.
        """
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
