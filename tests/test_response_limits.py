"""Bounds of responses: bytes without end cost little, and long sound responses lose nothing."""

import asyncio
import unittest

from drumbay.clock import SystemClock
from drumbay.comm.connection_pool import ConnectionPool
from drumbay.comm.http_exchange import (
    ExchangeBrokenError,
    ExchangeExcessiveError,
    HttpExchange,
    HttpRequest,
)
from drumbay.comm.response_guard import RESPONSE_GUARD, ResponseGuard
from drumbay.comm.transfer_limits import (
    MAX_PROCESS_BYTES,
    ExcessReason,
    ResponseLimits,
    ResponseMemory,
)
from drumbay.comm.unfinished_head import parse_unfinished_head
from drumbay.simulation.virtual_time import run_simulation
from tests.endless_server import EndlessServer
from tests.scripted_server import ScriptedServer

TIMEOUT_SECONDS = 30.0
REQUEST = HttpRequest(method="GET", target="/", headers=())
MEGABYTE = 1_000_000
SOCKET_BUFFERS_BYTES = 16 * MEGABYTE
UNTIL_CLOSE = b"HTTP/1.1 200 X\r\n\r\n"


class ExchangeLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reasons: list[ExcessReason] = []
        RESPONSE_GUARD.set_excess_callback(self.reasons.append)
        self.addCleanup(RESPONSE_GUARD.set_excess_callback, lambda _: None)

    async def endless(self, beginning: bytes, pause_seconds: float = 0.0) -> EndlessServer:
        server = EndlessServer(beginning, pause_seconds=pause_seconds)
        await server.start()
        self.addAsyncCleanup(server.close)
        return server

    async def scripted(self, response: bytes) -> ScriptedServer:
        server = ScriptedServer(lambda _: response)
        await server.start()
        self.addAsyncCleanup(server.close)
        return server

    async def open(
        self, server: EndlessServer | ScriptedServer, limits: ResponseLimits | None = None
    ) -> HttpExchange:
        exchange = await HttpExchange.open(
            server.address, REQUEST, 1.0, limits=limits or ResponseLimits()
        )
        self.addCleanup(exchange.close)
        return exchange

    async def test_endless_bodies_share_the_memory_of_the_process(self) -> None:
        server = await self.endless(UNTIL_CLOSE)
        small = await self.scripted(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            exchanges = [await self.open(server) for _ in range(4)]
            bodies = [asyncio.create_task(exchange.read_body()) for exchange in exchanges]
            most_bytes = 0
            while not all(body.done() for body in bodies):
                self.assertEqual(await (await self.open(small)).read_body(), b"ok")
                most_bytes = max(most_bytes, RESPONSE_GUARD.held_bytes)
                await asyncio.sleep(0.01)
            outcomes = await asyncio.gather(*bodies, return_exceptions=True)
        self.assertEqual({type(outcome) for outcome in outcomes}, {ExchangeExcessiveError})
        self.assertLessEqual(most_bytes, MAX_PROCESS_BYTES + MEGABYTE)
        self.assertEqual(RESPONSE_GUARD.held_bytes, 0)
        self.assertLessEqual(
            set(self.reasons), {ExcessReason.PROCESS_MEMORY, ExcessReason.BODY_BYTES}
        )

    async def test_body_that_nobody_reads_is_not_received(self) -> None:
        server = await self.endless(UNTIL_CLOSE)
        exchange = await self.open(server)
        await exchange.read_status()
        await asyncio.sleep(0.3)
        self.assertLess(server.sent_bytes, SOCKET_BUFFERS_BYTES)

    async def test_long_body_is_whole_for_a_slow_reader(self) -> None:
        body = bytes(range(256)) * 32_768
        server = await self.scripted(
            b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        exchange = await self.open(server)
        received = bytearray()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while (chunk := await exchange.read_chunk()) is not None:
                received += chunk
                await asyncio.sleep(0.005)
        self.assertEqual(bytes(received), body)

    async def test_announced_body_beyond_the_limit_is_cut_off_at_once(self) -> None:
        server = await self.endless(b"HTTP/1.1 200 X\r\nContent-Length: 11\r\n\r\n")
        exchange = await self.open(server, ResponseLimits(body_bytes=10))
        self.assertEqual(await exchange.read_status(), 200)
        with self.assertRaises(ExchangeBrokenError):
            await exchange.read_body()
        self.assertEqual(self.reasons, [ExcessReason.BODY_BYTES])

    async def test_head_without_end_is_cut_off(self) -> None:
        for lines, pause_seconds, reason in (
            (1, 0.02, ExcessReason.HEAD_SECONDS),
            (10_000, 0.0, ExcessReason.HEAD_BYTES),
        ):
            server = EndlessServer(b"HTTP/1.1 200 X\r\n", b"A: 1\r\n" * lines, pause_seconds)
            await server.start()
            self.addAsyncCleanup(server.close)
            exchange = await self.open(server)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                with self.assertRaises(ExchangeExcessiveError):
                    await exchange.read_status()
            self.assertEqual(self.reasons.pop(), reason)

    async def test_few_interim_heads_pass(self) -> None:
        interim = b"HTTP/1.1 100 X\r\n\r\n"
        final = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
        exchange = await self.open(await self.scripted(interim * 3 + final))
        self.assertEqual(await exchange.read_body(), b"ok")
        exchange = await self.open(await self.scripted(interim * 6 + final))
        with self.assertRaises(ExchangeExcessiveError):
            await exchange.read_status()
        self.assertEqual(self.reasons, [ExcessReason.INTERIM_HEADS])

    async def test_long_interim_heads_do_not_start_the_time_of_the_next_head(self) -> None:
        interim = b"HTTP/1.1 103 X\r\nLink: %s\r\n\r\n" % (b"x" * 3_000)
        server = EndlessServer(interim * 2, b"", 0.02)
        await server.start()
        self.addAsyncCleanup(server.close)
        exchange = await self.open(server, ResponseLimits(head_seconds=0.1))
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.5):
                await exchange.read_status()
        self.assertEqual(self.reasons, [])

    async def test_idle_connection_that_goes_on_sending_is_closed(self) -> None:
        server = await self.endless(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", 0.01)
        pool = ConnectionPool(SystemClock())
        self.addCleanup(pool.close)
        exchange = await HttpExchange.open(server.address, REQUEST, 1.0, pool)
        self.assertEqual(await exchange.read_body(), b"")
        await exchange.finish()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await server.wait_closed_by_clients()
        self.assertEqual(self.reasons, [ExcessReason.SURPLUS_BYTES])


class _Response:
    def __init__(self) -> None:
        self.excess: ExcessReason | None = None

    def exceed(self, reason: ExcessReason) -> None:
        self.excess = reason


class ResponseGuardTest(unittest.TestCase):
    """On virtual time."""

    def test_the_largest_is_cut_off_if_nothing_is_released(self) -> None:
        async def scenario() -> None:
            guard = ResponseGuard(ResponseMemory(limit_bytes=MEGABYTE))
            large, other = _Response(), _Response()
            await guard.hold(large, MEGABYTE - 100_000)
            await guard.hold(other, 600_000)
            self.assertEqual(large.excess, ExcessReason.PROCESS_MEMORY)
            self.assertIsNone(other.excess)
            self.assertEqual(guard.held_bytes, 600_000)

        run_simulation(scenario)

    def test_a_body_within_its_share_does_not_wait_for_endless_ones(self) -> None:
        async def scenario() -> None:
            guard = ResponseGuard(ResponseMemory(limit_bytes=MEGABYTE))
            endless = [_Response(), _Response()]
            for response in endless:
                await guard.hold(response, MEGABYTE // 2)
            sound = _Response()
            before = asyncio.get_running_loop().time()
            for _ in range(3):
                await guard.hold(sound, 100_000)
            self.assertIsNone(sound.excess)
            self.assertEqual(asyncio.get_running_loop().time(), before)

        run_simulation(scenario)

    def test_none_is_cut_off_if_another_one_completes(self) -> None:
        async def scenario() -> None:
            guard = ResponseGuard(ResponseMemory(limit_bytes=MEGABYTE))
            large, other = _Response(), _Response()
            await guard.hold(large, MEGABYTE)
            waiting = asyncio.create_task(guard.hold(other, 600_000))
            await asyncio.sleep(0)
            guard.release(large)
            await waiting
            self.assertIsNone(large.excess)
            self.assertEqual(guard.held_bytes, 600_000)

        run_simulation(scenario)


class UnfinishedHeadTest(unittest.TestCase):
    def test_status_and_whole_lines_are_known(self) -> None:
        head = parse_unfinished_head(b"HTTP/1.1 422 X\r\nA: 1\r\nB: 2")
        assert head is not None
        self.assertEqual((head.status, dict(head.headers)), (422, {"A": "1"}))

    def test_interim_heads_before_it_are_passed_over(self) -> None:
        head = parse_unfinished_head(b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 500 X\r\nA: 1\r\n")
        assert head is not None
        self.assertEqual(head.status, 500)

    def test_malformed_lines_and_bytes_before_it_are_passed_over(self) -> None:
        for data in (
            b"HTTP/1.1 422 X\r\nno colon\r\nA: 1\r\n",
            b"\x00\x01 none\r\n\r\nHTTP/1.1 422 X\r\nA: 1\r\n\r\nB: 2\r\n",
        ):
            head = parse_unfinished_head(data)
            assert head is not None
            self.assertEqual((head.status, dict(head.headers)), (422, {"A": "1"}))

    def test_other_bytes_say_nothing(self) -> None:
        for data in (
            b"",
            b"HTTP/1.1 422",
            b"\x00\x01 none\r\n",
            b"HTTP/1.1 100 X\r\n\r\n",
            b"HTTP/1.1 100 X\r\nA: 1\r\n",
        ):
            self.assertIsNone(parse_unfinished_head(data), data)


if __name__ == "__main__":
    unittest.main()
