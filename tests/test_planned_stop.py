"""The planned stop: step timeouts, and a node process that completes requests in flight."""

import asyncio
import signal
import unittest
from collections.abc import Awaitable
from functools import partial
from http.client import HTTPConnection

import msgspec

from drumbay.acceptance.calls import CallFailedError
from drumbay.api.schema import CompletionAnswer, CompletionBody, ErrorBody
from drumbay.node.stop_sequence import StopStep, run_stop_steps
from drumbay.standins.execution_log import GenerationAccepted, GenerationEnded
from tests.process_deployment import Deployment, backend_group, live_route

TIMEOUT_SECONDS = 20.0
MODEL = "model"
LONG_TOKENS = 60
STEP_SECONDS = "0.1"


def _return(operation: Awaitable[object]) -> Awaitable[object]:
    return operation


class StopStepsTest(unittest.IsolatedAsyncioTestCase):
    async def run_steps(self, *operations: Awaitable[object]) -> bool:
        steps = tuple(
            StopStep(name=f"step-{number}", run=partial(_return, operation), timeout_seconds=0.05)
            for number, operation in enumerate(operations)
        )
        return await asyncio.wait_for(run_stop_steps(steps), TIMEOUT_SECONDS)

    async def test_step_that_ignores_cancellation_does_not_block_the_next(self) -> None:
        released = asyncio.Event()
        done: list[str] = []

        async def ignore_cancellation() -> None:
            while not released.is_set():
                try:
                    await released.wait()
                except asyncio.CancelledError:
                    continue

        async def record() -> None:
            done.append("next")

        self.assertFalse(await self.run_steps(ignore_cancellation(), record()))
        self.assertEqual(done, ["next"])
        released.set()

    async def test_failing_step_does_not_block_the_next(self) -> None:
        done: list[str] = []

        async def fail() -> None:
            raise OSError

        async def record() -> None:
            done.append("next")

        self.assertFalse(await self.run_steps(fail(), record()))
        self.assertEqual(done, ["next"])


class NodeProcessStopTest(unittest.IsolatedAsyncioTestCase):
    """Stops an idle node, and one with a request in flight on a slow engine."""

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        key_value = self.deployment.start_emulator("key-value", "key-value")
        arguments = ("--name", "engine-1", "--model", MODEL, "--step-seconds", STEP_SECONDS)
        self.deployment.start_emulator("engine-1", "engine", *arguments)
        self.deployment.start_nodes(key_value, lame_duck_seconds=(0.5, TIMEOUT_SECONDS, 0.5))
        await self.deployment.wait_ready()
        await self.deployment.apply(
            backend_group(self.deployment, "engine", MODEL, "engine-1"), live_route(MODEL)
        )

    async def test_requests_in_flight_complete_and_new_requests_are_rejected(self) -> None:
        with self.subTest(
            "an idle node rejects requests; a second signal terminates it immediately"
        ):
            await self.stop_idle_node("node-2")
        with self.subTest("a request in flight completes"):
            await self.stop_busy_node("node-1")

    async def stop_idle_node(self, name: str) -> None:
        host = self.deployment.url(name).removeprefix("http://")
        persistent = HTTPConnection(host, timeout=TIMEOUT_SECONDS)
        self.addCleanup(persistent.close)
        initial = await asyncio.to_thread(_send_completion, persistent)
        self.assertEqual(initial.status, 200)
        self.deployment.signal(name, signal.SIGTERM)
        await self.wait_not_ready(name)
        # Over the existing connection, then over a new one.
        for connection in (persistent, HTTPConnection(host, timeout=TIMEOUT_SECONDS)):
            self.check_rejection(await asyncio.to_thread(_send_completion, connection))
            connection.close()
        self.deployment.signal(name, signal.SIGTERM)
        self.assertEqual(await self.deployment.wait_end(name), -signal.SIGTERM)

    async def stop_busy_node(self, name: str) -> None:
        in_flight = await self.start_long_request(name)
        self.deployment.signal(name, signal.SIGTERM)
        await self.wait_not_ready(name)
        host = self.deployment.url(name).removeprefix("http://")
        rejected = await asyncio.to_thread(
            _send_completion, HTTPConnection(host, timeout=TIMEOUT_SECONDS)
        )
        self.check_rejection(rejected)
        self.assertFalse(in_flight.done(), "the rejection did not arrive during the request")
        response = await in_flight
        self.assertEqual(len(response.token_ids), LONG_TOKENS)
        self.assertEqual(await self.deployment.wait_end(name), 0)
        produced = [
            span.count
            for entry in await self.deployment.execution_log("engine-1")
            if isinstance(entry, GenerationEnded) and entry.attempt_id.startswith(response.id)
            for span in entry.spans
        ]
        self.assertEqual(sum(produced), LONG_TOKENS)

    async def start_long_request(self, name: str) -> "asyncio.Task[CompletionAnswer]":
        """Send a request to a node and return once the engine has accepted it."""
        body = CompletionBody(model=MODEL, prompt="long", max_tokens=LONG_TOKENS)
        url = self.deployment.url(name) + "/v1/completions"

        async def send() -> CompletionAnswer:
            response = await self.deployment.caller.send("POST", url, msgspec.json.encode(body))
            return msgspec.json.decode(response.body, type=CompletionAnswer)

        task = asyncio.ensure_future(send())
        while not await self.is_accepted_from(name):
            self.assertFalse(task.done(), "the request ended before the stop")
            await asyncio.sleep(0.02)
        return task

    async def is_accepted_from(self, name: str) -> bool:
        return any(
            isinstance(entry, GenerationAccepted) and entry.attempt_id.startswith(name)
            for entry in await self.deployment.execution_log("engine-1")
        )

    async def wait_not_ready(self, name: str) -> None:
        """Wait until the node reports itself not ready; it must still accept connections."""
        while True:
            try:
                await self.deployment.caller.send("GET", self.deployment.url(name) + "/readyz")
            except CallFailedError as error:
                self.assertIn("HTTP 503", str(error))
                return
            await asyncio.sleep(0.01)

    def check_rejection(self, response: "Response") -> None:
        """Check for a typed error that reports ``not_run`` and a retry time."""
        error = msgspec.json.decode(response.body, type=ErrorBody).error
        self.assertEqual((response.status, error.code, error.run), (503, "not_ready", "not_run"))
        self.assertGreaterEqual(int(response.headers["Retry-After"]), 1)
        self.assertEqual(response.headers["Connection"], "close")


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


def _send_completion(connection: HTTPConnection) -> Response:
    """Request a one-token completion over a persistent connection."""
    body = msgspec.json.encode(CompletionBody(model=MODEL, prompt="short", max_tokens=1))
    connection.request("POST", "/v1/completions", body)
    response = connection.getresponse()
    return Response(
        status=response.status, headers=dict(response.getheaders()), body=response.read()
    )
