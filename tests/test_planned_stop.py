"""The planned stop: steps bounded in time, and a node process that cuts off nothing."""

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
from tests.process_deployment import Deployment, group_of, live_route

LIMIT_SECONDS = 20.0
MODEL = "model"
LONG_TOKENS = 60
STEP_SECONDS = "0.1"


def _return(run: Awaitable[object]) -> Awaitable[object]:
    return run


class StopStepsTest(unittest.IsolatedAsyncioTestCase):
    async def run_steps(self, *runs: Awaitable[object]) -> bool:
        steps = tuple(
            StopStep(name=f"step-{number}", run=partial(_return, run), limit_seconds=0.05)
            for number, run in enumerate(runs)
        )
        return await asyncio.wait_for(run_stop_steps(steps), LIMIT_SECONDS)

    async def test_a_step_that_hangs_ignoring_cancellation_does_not_hold_up_the_next(self) -> None:
        released = asyncio.Event()
        done: list[str] = []

        async def ignore_cancellation() -> None:
            while not released.is_set():
                try:
                    await released.wait()
                except asyncio.CancelledError:
                    continue

        async def note() -> None:
            done.append("next")

        self.assertFalse(await self.run_steps(ignore_cancellation(), note()))
        self.assertEqual(done, ["next"])
        released.set()

    async def test_a_step_that_fails_does_not_hold_up_the_next(self) -> None:
        done: list[str] = []

        async def fail() -> None:
            raise OSError

        async def note() -> None:
            done.append("next")

        self.assertFalse(await self.run_steps(fail(), note()))
        self.assertEqual(done, ["next"])


class NodeProcessStopTest(unittest.IsolatedAsyncioTestCase):
    """One engine that decodes slowly; one node stops idle, one with a request in flight."""

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment()
        self.addCleanup(self.deployment.close)
        key_value = self.deployment.start_standin("key-value", "key-value")
        arguments = ("--name", "engine-1", "--model", MODEL, "--step-seconds", STEP_SECONDS)
        self.deployment.start_standin("engine-1", "engine", *arguments)
        self.deployment.start_nodes(key_value, lame_duck_seconds=(0.5, LIMIT_SECONDS, 0.5))
        await self.deployment.wait_ready()
        await self.deployment.apply(
            group_of(self.deployment, "engine", MODEL, "engine-1"), live_route(MODEL)
        )

    async def test_nothing_is_cut_off_and_new_requests_are_refused(self) -> None:
        with self.subTest("an idle node refuses, and a second signal ends it at once"):
            await self.stop_idle_node("node-2")
        with self.subTest("a request in flight ends whole"):
            await self.stop_busy_node("node-1")

    async def stop_idle_node(self, name: str) -> None:
        host = self.deployment.url(name).removeprefix("http://")
        kept = HTTPConnection(host, timeout=LIMIT_SECONDS)
        self.addCleanup(kept.close)
        before = await asyncio.to_thread(_complete, kept)
        self.assertEqual(before.status, 200)
        self.deployment.signal(name, signal.SIGTERM)
        await self.wait_not_ready(name)
        # Over the connection that was open before the stop, then over a new one.
        for connection in (kept, HTTPConnection(host, timeout=LIMIT_SECONDS)):
            self.check_refusal(await asyncio.to_thread(_complete, connection))
            connection.close()
        self.deployment.signal(name, signal.SIGTERM)
        self.assertEqual(await self.deployment.wait_end(name), -signal.SIGTERM)

    async def stop_busy_node(self, name: str) -> None:
        in_flight = await self.begin_long_request(name)
        self.deployment.signal(name, signal.SIGTERM)
        await self.wait_not_ready(name)
        host = self.deployment.url(name).removeprefix("http://")
        refused = await asyncio.to_thread(_complete, HTTPConnection(host, timeout=LIMIT_SECONDS))
        self.check_refusal(refused)
        self.assertFalse(in_flight.done(), "the refusal did not come beside the request")
        answer = await in_flight
        self.assertEqual(len(answer.token_ids), LONG_TOKENS)
        self.assertEqual(await self.deployment.wait_end(name), 0)
        produced = [
            span.count
            for entry in await self.deployment.execution_log("engine-1")
            if isinstance(entry, GenerationEnded) and entry.attempt_id.startswith(answer.id)
            for span in entry.spans
        ]
        self.assertEqual(sum(produced), LONG_TOKENS)

    async def begin_long_request(self, name: str) -> "asyncio.Task[CompletionAnswer]":
        """Send a request to a node and return once the engine works on it."""
        body = CompletionBody(model=MODEL, prompt="long", max_tokens=LONG_TOKENS)
        url = self.deployment.url(name) + "/v1/completions"

        async def send() -> CompletionAnswer:
            answer = await self.deployment.caller.send("POST", url, msgspec.json.encode(body))
            return msgspec.json.decode(answer.body, type=CompletionAnswer)

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
        """Wait until the node says that it takes no new work; it must still accept connections."""
        while True:
            try:
                await self.deployment.caller.send("GET", self.deployment.url(name) + "/readyz")
            except CallFailedError as error:
                self.assertIn("HTTP 503", str(error))
                return
            await asyncio.sleep(0.01)

    def check_refusal(self, answer: "Answer") -> None:
        """Check for a typed refusal that proves that nothing ran and says when to come back."""
        error = msgspec.json.decode(answer.body, type=ErrorBody).error
        self.assertEqual((answer.status, error.code, error.run), (503, "not_ready", "not_run"))
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        self.assertEqual(answer.headers["Connection"], "close")


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


def _complete(connection: HTTPConnection) -> Answer:
    """Ask for one token over a connection that is kept open."""
    body = msgspec.json.encode(CompletionBody(model=MODEL, prompt="short", max_tokens=1))
    connection.request("POST", "/v1/completions", body)
    answer = connection.getresponse()
    return Answer(status=answer.status, headers=dict(answer.getheaders()), body=answer.read())
