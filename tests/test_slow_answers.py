"""Store responses that arrive slowly: only a stall is a timeout."""

import asyncio
import unittest
from collections.abc import Awaitable
from typing import Any, TypeVar

from drumbay_platform.store import PlatformStore

from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import DeadlineExceededError
from drumbay.kv.interface import KeyValueUnavailableError

ResultT = TypeVar("ResultT")

BODY = b'{"requests":[],"at":7}'
CHUNKS = 6
CHUNK_INTERVAL_SECONDS = 0.3
"""Time between chunks: each is within the timeout of a read, but all of them together exceed it."""

REAL_POLL_SECONDS = 0.005
MAX_REAL_POLLS = 100


class ManualClock:
    """Clock that the test server advances; waits time out when it passes their deadlines."""

    def __init__(self) -> None:
        self.now = 0.0
        self.waits_started = 0
        self._deadlines: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        self.waits_started += 1
        deadline = self.now + timeout_seconds
        expired: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._deadlines.append((deadline, expired))
        task = asyncio.ensure_future(awaitable)
        waits: set[asyncio.Future[Any]] = {task, expired}
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        self._deadlines.remove((deadline, expired))
        if task.done():
            return task.result()
        task.cancel()
        raise DeadlineExceededError("timed out")

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for deadline, expired in self._deadlines:
            if self.now > deadline and not expired.done():
                expired.set_result(None)


class SlowStore:
    """Sends a response in chunks, and stalls after the given number of them."""

    def __init__(self, clock: ManualClock, *, chunks: int) -> None:
        self._clock = clock
        self._chunks = chunks

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        size = -(-len(BODY) // CHUNKS)
        for number in range(CHUNKS):
            if number < self._chunks:
                writer.write(BODY[number * size : (number + 1) * size])
            await self._wait_for_client_read()
            self._clock.advance(CHUNK_INTERVAL_SECONDS)
        writer.close()

    async def _wait_for_client_read(self) -> None:
        started = self._clock.waits_started
        for _ in range(MAX_REAL_POLLS):
            await asyncio.sleep(REAL_POLL_SECONDS)
            if self._clock.waits_started > started:
                return


class SlowResponseTest(unittest.IsolatedAsyncioTestCase):
    async def store(self, chunks: int) -> PlatformStore:
        clock = ManualClock()
        server = await asyncio.start_server(SlowStore(clock, chunks=chunks).serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return PlatformStore(clock, NetworkAddress(host, port))

    async def test_a_response_that_arrives_in_chunks_is_read_completely(self) -> None:
        found = await (await self.store(CHUNKS)).range_prefix("k")
        self.assertEqual(found.revision, 7)

    async def test_a_response_that_stalls_is_an_error(self) -> None:
        store = await self.store(1)
        with self.assertRaises(KeyValueUnavailableError):
            await store.range_prefix("k")


if __name__ == "__main__":
    unittest.main()
