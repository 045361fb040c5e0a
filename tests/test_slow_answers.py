"""Answers of the store that take long to arrive: a slow answer is not a lost one."""

import asyncio
import unittest
from collections.abc import Awaitable
from typing import Any, TypeVar

from drumbay_platform.store import PlatformStore

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.exceptions import DeadlineExceededError
from drumbay.kv.interface import KeyValueUnavailableError

ResultT = TypeVar("ResultT")

BODY = b'{"requests":[],"at":7}'
PIECES = 6
PAUSE_SECONDS = 0.3
"""Between pieces, by the test's clock: below the limit of one wait, above it in sum."""

REAL_CHECK_SECONDS = 0.005
MOST_REAL_CHECKS = 100


class StepClock:
    """A clock that the server of the test moves; waits end when it passes their limits."""

    def __init__(self) -> None:
        self.now = 0.0
        self.waits_begun = 0
        self._limits: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        self.waits_begun += 1
        limit = self.now + timeout_seconds
        expired: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._limits.append((limit, expired))
        task = asyncio.ensure_future(awaitable)
        waits: set[asyncio.Future[Any]] = {task, expired}
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        self._limits.remove((limit, expired))
        if task.done():
            return task.result()
        task.cancel()
        raise DeadlineExceededError("no result in time")

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for limit, expired in self._limits:
            if self.now > limit and not expired.done():
                expired.set_result(None)


class SlowStore:
    """Sends the head of an answer and its body in pieces; or only the head, then nothing."""

    def __init__(self, clock: StepClock, *, pieces: int) -> None:
        self._clock = clock
        self._pieces = pieces

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        size = -(-len(BODY) // PIECES)
        for number in range(PIECES):
            if number < self._pieces:
                writer.write(BODY[number * size : (number + 1) * size])
            await self._let_client_read()
            self._clock.advance(PAUSE_SECONDS)
        writer.close()

    async def _let_client_read(self) -> None:
        begun = self._clock.waits_begun
        for _ in range(MOST_REAL_CHECKS):
            await asyncio.sleep(REAL_CHECK_SECONDS)
            if self._clock.waits_begun > begun:
                return


class SlowAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def store(self, pieces: int) -> PlatformStore:
        clock = StepClock()
        server = await asyncio.start_server(SlowStore(clock, pieces=pieces).serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return PlatformStore(clock, NetworkAddress(host, port))

    async def test_an_answer_that_arrives_in_pieces_is_read_whole(self) -> None:
        found = await (await self.store(PIECES)).range_prefix("k")
        self.assertEqual(found.revision, 7)

    async def test_an_answer_that_falls_silent_is_lost(self) -> None:
        store = await self.store(1)
        with self.assertRaises(KeyValueUnavailableError):
            await store.range_prefix("k")


if __name__ == "__main__":
    unittest.main()
