"""Server for tests whose answers do not end until its client closes the connection."""

import asyncio

from drumbay.comm.network_address import NetworkAddress

PIECE = b"x" * 16_384
SLOW_PAUSE_SECONDS = 0.02


class EndlessServer:
    """Reads the head of a request, writes a beginning, then pieces until the client disconnects.

    Attributes:
        sent_bytes: What it has written of pieces, to all clients.
        open_connections: Connections that no client has closed yet.
    """

    def __init__(
        self, beginning: bytes, piece: bytes = PIECE, pause_seconds: float = SLOW_PAUSE_SECONDS
    ) -> None:
        self.sent_bytes = 0
        self.open_connections = 0
        self.address = NetworkAddress("127.0.0.1", 0)
        self._beginning = beginning
        self._piece = piece
        self._pause_seconds = pause_seconds
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._all_closed = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = NetworkAddress("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.wait_closed()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
