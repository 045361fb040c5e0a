"""Planned stops that cut off requests: running ones, and ones that wait to be accepted."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from drumbay.comm.http_exchange import ExchangeBrokenError, ExchangeNotSentError
from drumbay.comm.listener import Listener
from drumbay.comm.response_writer import HttpResponse, write_small_response
from drumbay.standins.free_addresses import free_address
from tests.test_platform_serving import TIMEOUT_SECONDS, ServingFixture, poll_until

SEND_INTERVAL_SECONDS = 0.002
QUEUED_CONNECTIONS = 20
SLOW_SEND_SECONDS = 0.5
SLOWDOWN = 1_000.0
"""Makes a lookup take longer than the stop."""


class StopCutsAnswersTest(ServingFixture):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.configure(1, "/l/")
        self.edge = await self.start()
        self.statuses: dict[str, int] = {}
        self.cut_off: set[str] = set()

    async def send(self, request_id: str) -> bool:
        """Send a lookup over a new connection; return whether the node took the connection."""
        try:
            response = await self.edge.fetch("POST", "/l/1", b"question", request_id=request_id)
            self.statuses[request_id] = response.status
        except ExchangeBrokenError:
            self.cut_off.add(request_id)
        except ExchangeNotSentError:
            return False
        return True

    async def send_until_stopped(self, stopping: "asyncio.Task[None]") -> None:
        sends: list[asyncio.Task[bool]] = []
        while not stopping.done():
            sends.append(asyncio.ensure_future(self.send(f"r-{len(sends)}")))
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        await asyncio.gather(*sends)

    @property
    def executed(self) -> set[str]:
        return {run.request_id for run in self.workers.runs}

    async def test_requests_that_arrive_until_the_end_of_a_stop_get_their_answers(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.send_until_stopped(asyncio.ensure_future(self.edge.stop()))
        self.assertEqual(self.cut_off, set())
        self.assertIn(200, self.statuses.values())
        rejected = {name for name, status in self.statuses.items() if status == 503}
        self.assertEqual(rejected & self.executed, set())

    async def test_a_request_that_outlasts_the_stop_gets_an_answer(self) -> None:
        self.workers["w1"].faults.slowdown = SLOWDOWN
        async with asyncio.timeout(TIMEOUT_SECONDS):
            open_request = asyncio.ensure_future(self.send("before"))

            async def is_running() -> bool:
                return bool(self.workers.runs)

            await poll_until(is_running)
            stopping = asyncio.ensure_future(self.edge.stop())
            await asyncio.sleep(0)
            await self.send("during")
            await open_request
            await stopping
        self.assertEqual(self.statuses, {"before": 504, "during": 504})

    async def test_a_request_whose_handler_is_cancelled_before_it_starts_gets_an_answer(
        self,
    ) -> None:
        node = self.edge.node
        track = node.track

        def track_and_cancel(
            handler: Callable[[], Awaitable[None]], name: str
        ) -> "asyncio.Task[None]":
            task = track(handler, name)
            node.reject_requests()
            task.cancel()
            return task

        with mock.patch.object(node, "track", track_and_cancel):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await self.send("last")
        self.assertEqual(self.statuses, {"last": 504})
        self.assertEqual(node.memory.bytes.usage.held_bytes, 0)

    async def test_a_client_that_connects_last_may_take_a_while_to_send(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            stopping = asyncio.ensure_future(self.edge.stop())
            reader, writer = await self.connect_last()
            await asyncio.sleep(SLOW_SEND_SECONDS)
            writer.write(b"POST /l/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n")
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            await stopping
        self.assertTrue(head.startswith("HTTP/1.1 200"))

    async def connect_last(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection that was opened just before the node listened no longer."""
        last: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        while True:
            try:
                opened = await asyncio.open_connection(self.edge.front.host, self.edge.front.port)
            except ConnectionRefusedError:
                return last[-1]
            self.addCleanup(opened[1].close)
            last.append(opened)

    async def test_requests_that_have_arrived_when_connections_are_closed_are_rejected(
        self,
    ) -> None:
        address = self.edge.front
        clients = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(QUEUED_CONNECTIONS)
        ]
        self.edge.node.reject_requests()
        for _, writer in clients:
            self.addCleanup(writer.close)
            writer.write(b"POST /l/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n")
        # Written to the sockets by now, but not read by the node.
        await self.edge.ingress.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            heads = await asyncio.gather(*(reader.read(100) for reader, _ in clients))
        self.assertEqual({head[:12] for head in heads}, {b"HTTP/1.1 503"})

    async def test_a_request_on_an_open_connection_is_rejected_at_the_end_of_a_stop(self) -> None:
        reader, writer = await asyncio.open_connection(self.edge.front.host, self.edge.front.port)
        self.addCleanup(writer.close)
        self.edge.node.reject_requests()
        writer.write(b"POST /l/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        self.assertTrue(head.startswith("HTTP/1.1 503"))
        self.assertIn("Retry-After", head)
        self.assertEqual(self.executed, set())


class QueuedConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_in_the_queue_of_a_closing_listener_are_served(self) -> None:
        def serve(request: HTTPServerRequest) -> None:
            assert request.connection is not None
            write_small_response(request.connection, HttpResponse(status=200))

        server = HTTPServer(serve)
        self.addAsyncCleanup(server.close_all_connections)
        listener = Listener(server)
        address = free_address()
        listener.listen(address)
        # The kernel accepts these; the server does so when the event loop runs again.
        clients = [
            socket.create_connection((address.host, address.port))
            for _ in range(QUEUED_CONNECTIONS)
        ]
        for client in clients:
            self.addCleanup(client.close)
            client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await listener.close()
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((address.host, address.port))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            heads = await asyncio.gather(
                *(asyncio.to_thread(client.recv, 1_024) for client in clients)
            )
        self.assertEqual(sum(head.startswith(b"HTTP/1.1 200") for head in heads), len(clients))


if __name__ == "__main__":
    unittest.main()
