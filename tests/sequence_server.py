"""Server for tests that answers each request of a connection with given bytes."""

import asyncio
import re

from drumbay.comm.network_address import NetworkAddress

_LENGTH = re.compile(rb"Content-Length: (\d+)", re.IGNORECASE)


class SequenceServer:
    """Answers the requests of each connection, in their order, with the parts of a script.

    A part of ``None`` closes the connection. After the last part, nothing is answered.

    Attributes:
        requests: Heads of the requests received, over all connections.
        connections: Number of connections that were opened.
    """

    def __init__(self, *script: bytes | None) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self.address = NetworkAddress("127.0.0.1", 0)
        self._script = script
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
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            for part in self._script:
                await self._read_request(reader)
                if part is None:
                    return
                writer.write(part)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            # The client has closed the connection.
            pass
        finally:
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = _LENGTH.search(head)
        await reader.readexactly(int(length.group(1)) if length is not None else 0)
        self.requests.append(head)
