"""Base of loopback servers for tests that serve each connection with a task of its own."""

import asyncio

from drumbay.comm.network_address import NetworkAddress


class ConnectionServer:
    """Listens at a free port; subclasses say what happens on a connection.

    Attributes:
        address: Where it listens, once started.
        connections: Number of connections that were opened.
    """

    def __init__(self) -> None:
        self.address = NetworkAddress("127.0.0.1", 0)
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

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
        self.connections += 1
        task = asyncio.get_running_loop().create_task(self.serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, and close it at the end."""
        raise NotImplementedError
