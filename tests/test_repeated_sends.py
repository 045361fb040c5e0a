"""A request that is sent again, or abandoned, must not get more time or runs than it has left."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress

from drumbay_platform.workers import PlatformWorkerClient

from drumbay.clock import SystemClock
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId
from drumbay.workers.records import (
    Worker,
    WorkerBrokenError,
    WorkerFailedError,
    WorkerRejectedError,
    WorkerRequest,
    WorkerState,
)

BUDGET_SECONDS = 1.5
REQUEST_ID = "r1"
LATE_ANSWER_HEAD = (
    "X-Drumbay-Attempt-Id: earlier\r\nX-Drumbay-Server-Seal: s\r\nContent-Length: 0\r\n"
)
LATE_REFUSAL = f"HTTP/1.1 503 Full\r\nX-Drumbay-Not-Executed: 1\r\n{LATE_ANSWER_HEAD}\r\n".encode()
LATE_MISDIRECTION = f"HTTP/1.1 421 Other\r\n{LATE_ANSWER_HEAD}\r\n".encode()
LATE_REJECTION = f"HTTP/1.1 422 Invalid\r\n{LATE_ANSWER_HEAD}\r\n".encode()

SMALL_BUFFER_BYTES = 2_304
BODY_BYTES = 12_000
"""Fits in the buffers of both sides together, not in the receiver's."""

Reply = Callable[[int, asyncio.StreamWriter], Awaitable[None]]


def answer(request_id: str) -> bytes:
    """Return the whole answer to a request."""
    return (
        f"HTTP/1.1 200 OK\r\nX-Drumbay-Attempt-Id: {request_id}\r\nX-Drumbay-Server-Seal: s\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


class ConnectionServer:
    """Server that passes the number of a request on its connection, from 0, to a coroutine."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply
        self._writers: list[asyncio.StreamWriter] = []
        self.heads: list[str] = []
        self.connections = 0
        self.address = NetworkAddress("127.0.0.1", 0)

    async def start(self, case: unittest.IsolatedAsyncioTestCase) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        case.addAsyncCleanup(self._close_connections)
        case.addCleanup(server.close)
        self.address = NetworkAddress("127.0.0.1", server.sockets[0].getsockname()[1])

    async def _close_connections(self) -> None:
        for writer in self._writers:
            writer.close()
        closed = (writer.wait_closed() for writer in self._writers)
        await asyncio.gather(*closed, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        self.connections += 1
        number = 0
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                self.heads.append((await reader.readuntil(b"\r\n\r\n")).decode())
                await reader.readexactly(len(b"body"))
                await self._reply(number, writer)
                number += 1


class RepeatedSendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = PlatformWorkerClient(SystemClock())
        self.addCleanup(self.client.close)

    async def start(self, reply: Reply) -> tuple[ConnectionServer, Worker]:
        server = ConnectionServer(reply)
        await server.start(self)
        return server, worker_at(server.address)

    async def test_request_on_a_kept_connection_that_closes_is_not_sent_again(self) -> None:
        """Who sends a request counts its sends; the client must not add one of its own."""

        async def close_on_reuse(number: int, writer: asyncio.StreamWriter) -> None:
            if number:
                writer.close()
            else:
                writer.write(answer(f"r{len(server.heads)}"))

        server, worker = await self.start(close_on_reuse)
        await self.client.call(worker, repeatable_request("r1"))
        with self.assertRaises(WorkerBrokenError):
            await self.client.call(worker, repeatable_request("r2"))
        await self.client.call(worker, repeatable_request("r3"))
        with self.assertRaises(WorkerBrokenError):
            async with self.client.stream(worker, repeatable_request("r4")):
                self.fail("the worker did not answer")
        self.assertEqual(len(server.heads), 4)

    async def test_status_of_an_item_counts_though_its_answer_is_cut_off(self) -> None:
        for status, error_class in ((422, WorkerRejectedError), (500, WorkerFailedError)):

            async def cut_off(
                number: int, writer: asyncio.StreamWriter, status: int = status
            ) -> None:
                head = f"HTTP/1.1 {status} Failed\r\nX-Drumbay-Attempt-Id: {REQUEST_ID}\r\n"
                writer.write(f"{head}Content-Length: 100\r\n\r\nless".encode())
                writer.close()

            _, worker = await self.start(cut_off)
            with self.subTest(status=status), self.assertRaises(error_class):
                async with self.client.stream(worker, repeatable_request()):
                    self.fail("the item failed")

    async def test_cut_off_status_of_an_unknown_request_counts_as_no_answer(self) -> None:
        async def cut_off(number: int, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 422 Invalid\r\nContent-Length: 100\r\n\r\nless")
            writer.close()

        _, worker = await self.start(cut_off)
        with self.assertRaises(WorkerBrokenError):
            async with self.client.stream(worker, repeatable_request()):
                self.fail("the answer names no request")

    async def call_with_late_answer(self, late_answer: bytes) -> None:
        """Make a call whose reused connection brings another request's answer, and no other."""

        async def answer_late(number: int, writer: asyncio.StreamWriter) -> None:
            writer.write(late_answer if number else answer("earlier"))
            if number:
                writer.close()

        server, worker = await self.start(answer_late)
        await self.client.call(worker, repeatable_request("earlier"))
        try:
            await self.client.call(worker, repeatable_request())
        finally:
            self.assertEqual(server.connections, 1)

    async def test_refusal_of_another_request_does_not_count_as_not_run(self) -> None:
        for late_answer in (LATE_REFUSAL, LATE_MISDIRECTION):
            with self.assertRaises(WorkerBrokenError):
                await self.call_with_late_answer(late_answer)

    async def test_rejection_of_another_item_does_not_give_up_this_one(self) -> None:
        async def answer_late(number: int, writer: asyncio.StreamWriter) -> None:
            writer.write(LATE_REJECTION if number else answer("earlier"))
            if number:
                writer.close()

        server, worker = await self.start(answer_late)
        await self.client.call(worker, repeatable_request("earlier"))
        with self.assertRaises(WorkerBrokenError):
            async with self.client.stream(worker, repeatable_request()):
                self.fail("the answer belongs to another request")
        self.assertEqual(server.connections, 1)

    async def test_abandoned_request_is_not_delivered_later(self) -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            worker = worker_at(NetworkAddress("127.0.0.1", listener.getsockname()[1]))
            call = asyncio.create_task(
                self.client.call(worker, repeatable_request(body_bytes=BODY_BYTES))
            )
            loop = asyncio.get_running_loop()
            connection, _ = await loop.sock_accept(listener)
            with connection:
                await asyncio.sleep(0.1)
                call.cancel()
                await asyncio.wait({call})
                self.assertLess(await read_to_the_end(connection), BODY_BYTES)


async def read_to_the_end(connection: socket.socket) -> int:
    """Return how many bytes arrive until the connection ends."""
    received = 0
    with suppress(ConnectionResetError):
        while data := await asyncio.get_running_loop().sock_recv(connection, 65_536):
            received += len(data)
    return received


def worker_at(address: NetworkAddress) -> Worker:
    return Worker(
        worker_id=BackendId("i-1"),
        service="a",
        address=address,
        zone="z",
        slots=1,
        state=WorkerState.READY,
        versions={},
    )


def repeatable_request(
    request_id: str = REQUEST_ID, body_bytes: int = len(b"body")
) -> WorkerRequest:
    return WorkerRequest(
        request_id=request_id,
        method="POST",
        target="/l/x",
        host="h.example",
        headers=(),
        body=b"body" if body_bytes == len(b"body") else bytes(body_bytes),
        budget_seconds=BUDGET_SECONDS,
        repeatable=True,
    )


if __name__ == "__main__":
    unittest.main()
