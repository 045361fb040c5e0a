"""Memory limits under slow readers, large responses and large request bodies over sockets."""

import asyncio
import socket
import unittest
from collections.abc import Callable
from unittest import mock

from drumbay_platform.settings import parse_settings
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.testing import bind_unused_port

from drumbay.comm import response_writer
from drumbay.comm.response_writer import DeliveryOutcome, HttpResponse, write_response
from drumbay.comm.transfer_limits import BodyPace
from drumbay.limits.held_bytes import (
    STALL_TIMEOUT_UNDER_PRESSURE_SECONDS,
    HeldKind,
    held_bytes_bound,
)
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.serving import request_intake
from drumbay.serving.memory_accounting import MemoryAccounting, MemoryReservation
from drumbay.serving.request_intake import RequestIntake
from tests.test_platform_adapter import SETTINGS
from tests.test_platform_serving import (
    HOST,
    TIMEOUT_SECONDS,
    EdgeNode,
    ServingFixture,
    poll_until,
)

MEGABYTE = 1_000_000
LIMIT_BYTES = 8 * MEGABYTE
RESPONSE_BYTES = 2 * MEGABYTE
LARGE_BYTES = 16 * MEGABYTE
"""Exceeds the buffers of a loopback connection."""

SMALL_BUFFER_BYTES = 4_096
READ_BYTES = 131_072


class SlowClient:
    """A client with a small receive buffer that reads only on request."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self._host = host
        self._port = port

    async def connect(self) -> None:
        tcp_socket = socket.socket()
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        tcp_socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(tcp_socket, (self._host, self._port))
        self.reader, self._writer = await asyncio.open_connection(sock=tcp_socket, limit=1_024)

    async def send(self, method: str, path: str, headers: str = "", body: bytes = b"") -> None:
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n"
        self._writer.write(head.encode() + body)
        await self._writer.drain()

    async def send_more(self, body: bytes) -> None:
        self._writer.write(body)
        await self._writer.drain()

    async def read_head(self) -> tuple[int, dict[str, str]]:
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        pairs = [line.partition(": ") for line in lines[1:] if line]
        return int(lines[0].split()[1]), {name: value for name, _, value in pairs}

    def close(self) -> None:
        self._writer.transport.abort()


class SlowReadersTest(unittest.IsolatedAsyncioTestCase):
    """Uses a server that returns a body of the size given in the request path."""

    async def asyncSetUp(self) -> None:
        stall_limits = dict.fromkeys(HeldKind, 0.2)
        for patcher in (
            mock.patch.dict(STALL_TIMEOUT_UNDER_PRESSURE_SECONDS, stall_limits),
            mock.patch.object(response_writer, "STALL_CHECK_SECONDS", 0.05),
            mock.patch.object(request_intake, "BODY_CHECK_SECONDS", 0.05),
            mock.patch.object(request_intake, "HEAD_CHECK_SECONDS", 0.05),
        ):
            patcher.start()
            self.addCleanup(patcher.stop)
        self.metrics = ServingMetrics()
        self.memory = MemoryAccounting(LIMIT_BYTES, self.metrics)
        self.max_held_bytes = 0
        self.outcomes: list[DeliveryOutcome] = []
        self.tasks: set[asyncio.Task[None]] = set()
        listener, self.port = bind_unused_port()
        self.intake = RequestIntake(self.hold, self.serve)
        self.server = HTTPServer(self.intake)
        self.server.add_sockets([listener])
        self.addAsyncCleanup(self.server.close_all_connections)

    @property
    def held_bytes(self) -> int:
        return self.memory.bytes.usage.held_bytes

    def hold(self, request: HTTPServerRequest) -> MemoryReservation:
        return self.memory.open(HeldKind.LOOKUP, "r", "route")

    def serve(self, request: HTTPServerRequest, held: MemoryReservation) -> None:
        task = asyncio.get_running_loop().create_task(self.respond(request, held))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def respond(self, request: HTTPServerRequest, held: MemoryReservation) -> None:
        assert request.connection is not None
        body = bytes(int(request.path.removeprefix("/")))
        held.replace_with_response(len(body))
        self.max_held_bytes = max(self.max_held_bytes, self.held_bytes)
        outcome = await write_response(
            request.connection,
            HttpResponse(status=200, body=body),
            lambda stalled_seconds: held.should_drop_reader(stalled_seconds, leaving=False),
        )
        held.release()
        self.outcomes.append(outcome)

    async def client(self) -> SlowClient:
        client = SlowClient(self.port)
        await client.connect()
        self.addCleanup(client.close)
        return client

    async def wait_until(self, check: Callable[[], bool]) -> None:
        async def async_check() -> bool:
            return check()

        await poll_until(async_check)

    async def test_stalled_reader_is_dropped_under_memory_pressure(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await client.send("GET", f"/{LARGE_BYTES}")
            await self.wait_until(lambda: self.held_bytes > LARGE_BYTES)
            await self.wait_until(lambda: self.outcomes == [DeliveryOutcome.STALLED])
        self.assertEqual(self.held_bytes, 0)
        self.assertIn(
            b'drumbay_serving_shed_requests_total{kind="lookup",reason="not_read"} 1.0',
            self.metrics.render(),
        )
        self.assertIn(b'drumbay_serving_held_bytes{kind="lookup"} 0.0', self.metrics.render())

    async def test_slow_reader_gets_the_whole_response(self) -> None:
        """The transfer takes much longer than a reader may stall: only progress matters."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await client.send("GET", f"/{LARGE_BYTES}")
            status, headers = await client.read_head()
            self.assertEqual((status, headers["Content-Length"]), (200, str(LARGE_BYTES)))
            remaining = LARGE_BYTES
            while remaining:
                await asyncio.sleep(0.005)
                remaining -= len(await client.reader.readexactly(min(remaining, READ_BYTES)))
            await self.wait_until(lambda: self.outcomes == [DeliveryOutcome.SENT])
        self.assertEqual(self.held_bytes, 0)

    async def test_concurrent_large_responses_stay_within_the_limit(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            first = await self.client()
            await first.send("GET", f"/{RESPONSE_BYTES}")
            await first.read_head()
            await first.reader.readexactly(RESPONSE_BYTES)
            clients = [await self.client() for _ in range(30)]
            for client in clients:
                await client.send("GET", f"/{RESPONSE_BYTES}")
            heads = await asyncio.gather(*(client.read_head() for client in clients))
            await self.wait_until(lambda: self.held_bytes == 0)
        rejected = [headers for status, headers in heads if status == 503]
        accepted = [headers for status, headers in heads if status == 200]
        self.assertEqual(len(accepted), LIMIT_BYTES // RESPONSE_BYTES - 1)
        self.assertEqual(len(rejected) + len(accepted), len(clients))
        self.assertTrue(all(float(headers["Retry-After"]) > 0 for headers in rejected))
        self.assertLessEqual(self.max_held_bytes, LIMIT_BYTES)

    async def test_request_body_over_the_limit_is_rejected_before_it_is_read(self) -> None:
        self.memory.bytes.reserve(HeldKind.LOOKUP, LIMIT_BYTES)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await client.send("POST", "/7", f"Content-Length: {LARGE_BYTES}\r\n", bytes(10))
            status, headers = await client.read_head()
            self.assertEqual((status, headers["Retry-After"]), (503, "0.5"))
            self.assertEqual(self.held_bytes, LIMIT_BYTES)
            self.memory.bytes.release(HeldKind.LOOKUP, LIMIT_BYTES)
            await client.send_more(bytes(LARGE_BYTES - 10))
            await client.send("POST", "/7", "Content-Length: 3\r\n", b"abc")
            self.assertEqual((await client.read_head())[0], 200)
            self.assertEqual(await client.reader.readexactly(7), bytes(7))

    async def test_chunked_body_is_rejected_when_it_reaches_the_limit(self) -> None:
        self.memory.bytes.reserve(HeldKind.LOOKUP, LIMIT_BYTES // 2)
        chunk = b"%x\r\n%s\r\n" % (MEGABYTE, bytes(MEGABYTE))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await client.send("POST", "/7", "Transfer-Encoding: chunked\r\n")
            for _ in range(8):
                await client.send_more(chunk)
            self.assertEqual((await client.read_head())[0], 503)
            self.assertEqual(self.held_bytes, LIMIT_BYTES // 2)

    async def test_stalled_request_body_is_rejected_under_memory_pressure(
        self,
    ) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await client.send("POST", "/7", f"Content-Length: {3 * MEGABYTE}\r\n", bytes(10))
            self.assertEqual((await client.read_head())[0], 503)
            self.assertEqual(self.held_bytes, 0)
            await client.send_more(bytes(3 * MEGABYTE - 10))
            await client.send("POST", "/7", "Content-Length: 3\r\n", b"abc")
            self.assertEqual((await client.read_head())[0], 200)

    async def test_slow_request_body_is_accepted(self) -> None:
        part = bytes(10_000)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await client.send("POST", "/7", f"Content-Length: {3 * MEGABYTE}\r\n")
            for _ in range(3 * MEGABYTE // len(part)):
                await client.send_more(part)
                await asyncio.sleep(0.002)
            self.assertEqual((await client.read_head())[0], 200)

    async def test_request_body_that_hardly_comes_is_rejected_and_ends(self) -> None:
        pace = BodyPace(grace_seconds=0.1, bytes_per_second=1_024)
        with mock.patch.object(request_intake, "REQUEST_PACE", pace):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                client = await self.client()
                await client.send("POST", "/7", "Transfer-Encoding: chunked\r\n")
                with self.assertRaises(ConnectionError):
                    while True:
                        await client.send_more(b"1\r\nx\r\n")
                        await asyncio.sleep(0.02)
                await self.wait_until(lambda: self.held_bytes == 0)

    async def test_request_head_that_does_not_end_is_cut_off(self) -> None:
        self.intake.max_head_seconds = 0.1
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            with self.assertRaises(ConnectionError):
                while True:
                    await client.send_more(b"A: 1\r\n")
                    await asyncio.sleep(0.02)

    async def test_idle_connection_outlasts_the_limit_of_heads(self) -> None:
        self.intake.max_head_seconds = 0.1
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await asyncio.sleep(0.4)
            await client.send("POST", "/7", "Content-Length: 3\r\n", b"abc")
            self.assertEqual((await client.read_head())[0], 200)

    async def test_aborted_request_body_releases_its_memory(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.client()
            await client.send("POST", "/7", f"Content-Length: {MEGABYTE}\r\n", bytes(10))
            await self.wait_until(lambda: self.held_bytes > MEGABYTE)
            client.close()
            await self.wait_until(lambda: self.held_bytes == 0)


class ServingNodeTest(ServingFixture):
    """The same on a complete node with a lookup worker that echoes the request body."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The stop must not end by its timeout, or the test would not check anything.
        self.processes = [EdgeNode(self.store, self.workers, stop_seconds=TIMEOUT_SECONDS)]

    async def start_large_lookup(self) -> SlowClient:
        self.configure(1, "/l/")
        process = await self.start()
        client = SlowClient(process.front.port, process.front.host)
        await client.connect()
        self.addCleanup(client.close)
        headers = f"X-Drumbay-Attempt-Id: r1\r\nContent-Length: {LARGE_BYTES}\r\n"
        await client.send("POST", "/l/1", headers, bytes(LARGE_BYTES))
        self.assertEqual((await client.read_head())[0], 200)
        return client

    async def test_graceful_shutdown_waits_for_a_slow_reader(self) -> None:
        node = self.processes[0].node
        async with asyncio.timeout(TIMEOUT_SECONDS):
            client = await self.start_large_lookup()
            stopping = asyncio.create_task(node.stop())
            remaining = LARGE_BYTES
            while remaining:
                self.assertFalse(stopping.done() and remaining > LARGE_BYTES // 2)
                remaining -= len(await client.reader.readexactly(min(remaining, READ_BYTES)))
            await stopping
        self.assertEqual(node.memory.bytes.usage.held_bytes, 0)

    async def test_graceful_shutdown_does_not_wait_for_a_stalled_reader(self) -> None:
        node = self.processes[0].node
        shed = b'drumbay_serving_shed_requests_total{kind="lookup",reason="not_read"} 1.0'
        with mock.patch.dict(STALL_TIMEOUT_UNDER_PRESSURE_SECONDS, {HeldKind.LOOKUP: 0.5}):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await self.start_large_lookup()
                self.assertGreater(node.memory.bytes.held(HeldKind.LOOKUP), LARGE_BYTES)
                await node.stop()
        self.assertEqual(node.memory.bytes.usage.held_bytes, 0)
        self.assertIn(shed, node.metrics.render())

    async def test_result_pages_are_shed_before_lookups(self) -> None:
        process = self.processes[0]
        node = process.node
        self.configure(1, "/l/")
        await self.start()
        limit_bytes = 10 * MEGABYTE
        node.memory.bytes = type(node.memory.bytes)(limit_bytes)
        node.memory.bytes.reserve(HeldKind.LOOKUP, int(0.6 * limit_bytes))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            page = await process.fetch("GET", "/lots/b1")
            self.assertEqual((page.status, page.headers["Retry-After"]), (503, "0.5"))
            self.assertEqual((await process.fetch("POST", "/l/1", b"question")).status, 200)
            self.assertEqual((await process.fetch("DELETE", "/lots/b1")).status, 404)
            node.memory.bytes.reserve(HeldKind.LOOKUP, int(0.2 * limit_bytes))
            submission = await process.fetch("POST", "/p/x", b"{}")
            self.assertEqual((submission.status, submission.headers["Retry-After"]), (503, "0.5"))
            self.assertEqual((await process.fetch("POST", "/l/1", b"question")).status, 200)


class SettingsTest(unittest.TestCase):
    def test_limit_is_derived_from_the_configured_memory(self) -> None:
        self.assertIsNone(held_bytes_bound(parse_settings(SETTINGS).memory_bytes))
        configured = parse_settings(SETTINGS + "\nlimits.memoryMb=552")
        self.assertEqual(held_bytes_bound(configured.memory_bytes), 240 * MEGABYTE)


if __name__ == "__main__":
    unittest.main()
