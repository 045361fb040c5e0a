"""Server for tests that answers each request of a connection with given bytes."""

import asyncio
import re

from tests.connection_server import ConnectionServer

_LENGTH = re.compile(rb"Content-Length: (\d+)", re.IGNORECASE)


class SequenceServer(ConnectionServer):
    """Answers the requests of each connection, in their order, with the parts of a script.

    A part of ``None`` closes the connection. After the last part, nothing is answered.

    Attributes:
        requests: Heads of the requests received, over all connections.
    """

    def __init__(self, *script: bytes | None) -> None:
        super().__init__()
        self.requests: list[bytes] = []
        self._script = script

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
