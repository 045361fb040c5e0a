"""Server for tests whose answers do not end until its client closes the connection."""

import asyncio

from tests.connection_server import ConnectionServer

PIECE = b"x" * 16_384
SLOW_PAUSE_SECONDS = 0.02


class EndlessServer(ConnectionServer):
    """Reads the head of a request, writes a beginning, then pieces until the client disconnects.

    Attributes:
        sent_bytes: What it has written of pieces, to all clients.
        open_connections: Connections that no client has closed yet.
    """

    def __init__(
        self, beginning: bytes, piece: bytes = PIECE, pause_seconds: float = SLOW_PAUSE_SECONDS
    ) -> None:
        super().__init__()
        self.sent_bytes = 0
        self.open_connections = 0
        self._beginning = beginning
        self._piece = piece
        self._pause_seconds = pause_seconds
        self._all_closed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        self._all_closed.clear()
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._beginning)
            while True:
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)
                await asyncio.sleep(self._pause_seconds)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The client has closed the connection.
            pass
        finally:
            self.open_connections -= 1
            if not self.open_connections:
                self._all_closed.set()
            writer.close()

    async def wait_closed_by_clients(self) -> None:
        """Wait until every client has closed its connection."""
        await self._all_closed.wait()
