"""Requests in flight are counted, and application responses are not modified."""

import asyncio
import unittest
from typing import cast

from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from drumbay.api.application import make_application
from drumbay.api.intake import RequestIntake
from drumbay.api.interface import NodeInterface
from drumbay.backends.interface import ApplicationResponse
from drumbay.identifiers import AttemptId, RequestId
from drumbay.requests.records import ApplicationCall

LARGE_RESPONSE_BYTES = 8 << 20
TIMEOUT_SECONDS = 20.0


class ApplicationOnlyNode:
    """Serves application requests once ``released`` is set."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.released = asyncio.Event()
        self.body = b"answer"

    def new_request_id(self) -> RequestId:
        return RequestId("request-1")

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        self.started.set()
        await self.released.wait()
        return ApplicationResponse(
            attempt_id=AttemptId("attempt-1"), status=200, body=self.body, content_type="text/plain"
        )


class IntakeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.node = ApplicationOnlyNode()
        self.intake = RequestIntake()
        application = make_application(cast(NodeInterface, self.node), False, self.intake)
        server = HTTPServer(application)
        sockets = bind_sockets(0, address="127.0.0.1")
        server.add_sockets(sockets)
        self.addCleanup(server.stop)
        self.port = sockets[0].getsockname()[1]
        self.client = SimpleAsyncHTTPClient(force_instance=True)
        self.addCleanup(self.client.close)

    async def wait_idle(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                if self.intake.in_flight == 0:
                    return
                await asyncio.sleep(0.01)

    async def send_raw(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /app/articles/1 HTTP/1.1\r\nHost: node\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.node.started.wait()
        return reader, writer

    async def test_request_is_in_flight_until_its_response_is_written(self) -> None:
        _, writer = await self.send_raw()
        self.assertEqual(self.intake.in_flight, 1)
        self.node.released.set()
        await self.wait_idle()
        writer.close()

    async def test_unread_response_is_in_flight(self) -> None:
        self.node.body = bytes(LARGE_RESPONSE_BYTES)
        self.node.released.set()
        reader, writer = await self.send_raw()
        await reader.readline()
        self.assertEqual(self.intake.in_flight, 1)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LARGE_RESPONSE_BYTES)
        await self.wait_idle()
        writer.close()

    async def test_disconnect_ends_the_request_in_flight(self) -> None:
        for has_response in (False, True):
            with self.subTest(has_response=has_response):
                self.node.body = bytes(LARGE_RESPONSE_BYTES)
                self.node.started.clear()
                self.node.released = asyncio.Event()
                if has_response:
                    self.node.released.set()
                reader, writer = await self.send_raw()
                if has_response:
                    await reader.readline()
                writer.transport.abort()
                self.node.released.set()
                await self.wait_idle()

    async def test_response_is_not_replaced_by_not_modified(self) -> None:
        self.node.released.set()
        url = f"http://127.0.0.1:{self.port}/app/articles/1"
        request = HTTPRequest(url, headers={"If-None-Match": "*"})
        response = await self.client.fetch(request, raise_error=False)
        self.assertEqual((response.code, response.body), (200, b"answer"))
