"""Scripted HTTP server for tests of the platform adapter."""

import asyncio
import socket
import struct
from collections.abc import Callable

from drumbay.comm.network_address import NetworkAddress


class ScriptedServer:
    """A TCP server that reads a request and replies with what a script returns."""

    def __init__(self, script: Callable[[str], bytes], *, reset: bool = False) -> None:
        self.script = script
        self._reset = reset
        self._server: asyncio.Server | None = None
        self.requests: list[str] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self._writers: list[asyncio.StreamWriter] = []
        self.keep = False
        self.address = NetworkAddress("127.0.0.1", 0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = NetworkAddress("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0)
        await self._server.wait_closed()

    def end(self) -> bytes:
        """Stop listening and close each connection; a script may return this as its response."""
        assert self._server is not None
        self._server.close()
        self.keep = False
        return b""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        while await self._answer(reader, writer) and self.keep:
            pass
        if self._reset:
            # A linger time of zero makes close() send RST instead of FIN.
            tcp_socket = writer.get_extra_info("socket")
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        self.requests.append(head)
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                self.bodies.append(await reader.readexactly(int(line.split(":")[1])))
        writer.write(self.script(head))
        await writer.drain()
        return True
