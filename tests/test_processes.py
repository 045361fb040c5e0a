"""Fault tolerance with real processes: SIGKILL, a paused owner, a cut stream, a store outage.

Client responses and pulled samples are compared with the execution logs of the emulators. Waits
are for states with long timeouts, so that the test does not depend on the speed of the machine.
"""

import asyncio
import signal
import unittest

import msgspec

from drumbay.acceptance.calls import CallFailedError
from drumbay.api.schema import (
    BatchBody,
    CompletionAnswer,
    CompletionBody,
    RolloutSubmission,
)
from drumbay.exceptions import Execution
from drumbay.rollout.sample import RolloutPrompt
from drumbay.standins.application_model import answer_digest
from drumbay.standins.execution_log import ApplicationExecuted, GenerationEnded
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.token_source import token_at
from tests.process_deployment import (
    READY_TIMEOUT_SECONDS,
    Deployment,
    StateNotReachedError,
    backend_group,
    live_route,
)

MODEL = "model"
STREAM = "stream"
ENGINES = ("engine-1", "engine-2")
NODES = ("node-1", "node-2", "node-3")
SAMPLES = 12
BATCH_SAMPLES = 4
BOOKINGS = 6
MAX_BOOKING_ATTEMPTS = 12
LIVE_TOKENS = 40
APPLICATION_ROUTE = (
    "kind: Route\nname: application\nroute_kind: application\npath_prefix: /\n"
    "selector: {match_labels: {pool: applications}}\n"
)
WEIGHT_POLICY = (
    f"kind: WeightPolicy\nname: {MODEL}\nmodel: {MODEL}\nstream: {STREAM}\n"
    "selector: {match_labels: {pool: engines}}\nmax_staleness_versions: 1\n"
    f"samples_per_step: {SAMPLES}\nobjective: idle_time\nmin_serving_share: 0.5\n"
)


class BookingResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a booking attempt as the client saw it."""

    key: str
    request_id: str = ""
    answer: bytes | None = None
    run: Execution | None = None


def booking_violations(
    results: list[BookingResult], executed: list[ApplicationExecuted]
) -> list[str]:
    """Return contradictions between booking results and the executions of the applications."""
    violations: list[str] = []
    keys = sorted({entry.key for entry in results})
    for key in keys:
        digests = [run.answer_digest for run in executed if run.idempotency_key == key]
        if len(digests) > 1:
            violations.append(f"{key} ran {len(digests)} times")
        answers = [entry.answer for entry in results if entry.key == key and entry.answer]
        violations += [
            f"{key} got a response that no application sent"
            for answer in answers
            if answer_digest(answer) not in digests
        ]
    refused = [entry for entry in results if entry.run is Execution.NOT_RUN and entry.request_id]
    for entry in refused:
        if any(run.attempt_id.startswith(f"{entry.request_id}~") for run in executed):
            violations.append(f"{entry.request_id} was refused as not run, but ran")
    return violations


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        deployment = Deployment()
        self.deployment = deployment
        self.addCleanup(deployment.close)
        key_value = deployment.start_emulator("key-value", "key-value")
        for name in ENGINES:
            arguments = ("--name", name, "--model", MODEL, "--step-seconds", "0.02")
            deployment.start_emulator(name, "engine", *arguments)
        deployment.start_emulator("application-1", "application", "--service-seconds", "0.2")
        deployment.start_nodes(key_value)
        await deployment.wait_ready()
        await deployment.apply(
            backend_group(deployment, "engine", MODEL, *ENGINES),
            backend_group(deployment, "application", None, "application-1"),
            live_route(MODEL),
            APPLICATION_ROUTE,
            WEIGHT_POLICY,
        )
        self.booking_results: list[BookingResult] = []
        self.batches: dict[int, bytes] = {}

    async def test_guarantees_hold_across_process_faults(self) -> None:
        first_owner = await self.wait_owner(NODES)
        await self.submit_step(first_owner)
        await self.pull_until(BATCH_SAMPLES, [first_owner])
        self.deployment.signal(first_owner, signal.SIGSTOP)
        others = [name for name in NODES if name != first_owner]
        with self.subTest("a cut stream continues on another engine"):
            await self.check_cut_stream(others[0])
        with self.subTest("a paused owner is replaced and returns"):
            await self.check_paused_owner(first_owner, others)
        victim = others[0]
        surviving = [name for name in NODES if name != victim]
        with self.subTest("kill -9 of a node that dispatches bookings"):
            await self.check_killed_dispatcher(victim, surviving)
        with self.subTest("outage of the key-value service"):
            await self.check_outage(victim, surviving)

    async def wait_owner(self, among: tuple[str, ...] | list[str]) -> str:
        deadline = self.deployment.clock.monotonic() + READY_TIMEOUT_SECONDS
        while self.deployment.clock.monotonic() < deadline:
            for name in among:
                if STREAM in (await self.deployment.status(name)).owned:
                    return name
            await asyncio.sleep(0.1)
        # The working folder is removed after the test, so the logs go into the error message.
        logs = "\n".join(f"{name}:\n{self.deployment.log_text(name)[-4000:]}" for name in NODES)
        raise StateNotReachedError(f"none of {among} owns the stream\n{logs}")

    async def submit_step(self, node: str) -> None:
        prompts = tuple(
            RolloutPrompt(text=f"prompt {index}", group=str(index), max_tokens=24, seed=index)
            for index in range(SAMPLES)
        )
        body = RolloutSubmission(stream=STREAM, step=0, model=MODEL, prompts=prompts)
        url = self.deployment.url(node) + "/v1/rollouts"
        await self.deployment.caller.send("POST", url, msgspec.json.encode(body))

    async def pull(self, node: str, cursor: int) -> bytes:
        """Return the response body for a cursor, retrying while the owner changes."""
        query = f"cursor={cursor}&max={BATCH_SAMPLES}&oldest_version=1"
        url = f"{self.deployment.url(node)}/v1/streams/{STREAM}/samples?{query}"
        deadline = self.deployment.clock.monotonic() + READY_TIMEOUT_SECONDS
        while True:
            try:
                return (await self.deployment.caller.send("GET", url)).body
            except CallFailedError as error:
                self.assertIsNotNone(error.error, f"no structured error: {error}")
                if self.deployment.clock.monotonic() > deadline:
                    raise
            await asyncio.sleep(0.1)

    async def pull_until(self, count: int, nodes: list[str]) -> None:
        """Pull batches in order until ``count`` samples are consumed."""
        while len(self.consumed()) < count:
            cursor = max(self.batches, default=-1) + 1
            body = await self.pull(nodes[cursor % len(nodes)], cursor)
            if msgspec.json.decode(body, type=BatchBody).samples:
                self.batches[cursor] = body

    def consumed(self) -> list[str]:
        """Return the ids of the consumed samples in order."""
        batches = (msgspec.json.decode(body, type=BatchBody) for body in self.batches.values())
        return [sample.sample_id for batch in batches for sample in batch.samples]

    async def check_cut_stream(self, node: str) -> None:
        for name in ENGINES:
            command = FaultCommand(fault=FaultKind.TRUNCATED_ANSWER, count=1)
            await self.deployment.arm_fault(name, "/faults", command)
        answer = await self.complete(node)
        expected = [
            token_at(MODEL, 0, "question", span.weight_version, index)
            for span in answer.spans
            for index in range(span.first_index, span.first_index + span.token_count)
        ]
        self.assertEqual(list(answer.token_ids), expected)
        self.assertEqual(len(answer.token_ids), LIVE_TOKENS)
        self.assertGreater(len({span.backend_id for span in answer.spans}), 1)
        for span in answer.spans:
            produced = sum(
                produced_span.count
                for entry in await self.deployment.execution_log(span.backend_id)
                if isinstance(entry, GenerationEnded) and entry.attempt_id.startswith(answer.id)
                for produced_span in entry.spans
                if produced_span.weight_version == span.weight_version
            )
            self.assertGreaterEqual(produced, span.token_count)

    async def complete(self, node: str) -> CompletionAnswer:
        body = CompletionBody(
            model=MODEL, prompt="question", max_tokens=LIVE_TOKENS, target_tokens=LIVE_TOKENS
        )
        url = self.deployment.url(node) + "/v1/completions"
        answer = await self.deployment.caller.send("POST", url, msgspec.json.encode(body))
        return msgspec.json.decode(answer.body, type=CompletionAnswer)

    async def check_paused_owner(self, paused: str, others: list[str]) -> None:
        await self.wait_owner(others)
        await self.pull_until(SAMPLES, others)
        self.deployment.signal(paused, signal.SIGCONT)
        # The paused owner may hold other samples in memory for these cursors.
        for cursor, body in sorted(self.batches.items(), reverse=True):
            for node in (paused, *others):
                self.assertEqual(await self.pull(node, cursor), body, f"{node} at {cursor}")
        consumed = self.consumed()
        self.assertEqual(len(consumed), SAMPLES)
        self.assertEqual(len(set(consumed)), SAMPLES)

    async def check_killed_dispatcher(self, victim: str, surviving: list[str]) -> None:
        keys = [f"booking-{number}" for number in range(BOOKINGS)]
        victim_bookings = [asyncio.ensure_future(self.book(victim, key)) for key in keys]
        retries = [
            asyncio.ensure_future(self.book_until_answered(node, key))
            for node in surviving
            for key in keys
        ]
        # Bookings that only surviving nodes get: they succeed whenever the kill happens.
        surviving_node_keys = {node: f"booking-at-{node}" for node in surviving}
        retries.extend(
            asyncio.ensure_future(self.book_until_answered(node, key))
            for node, key in surviving_node_keys.items()
        )
        while not await self.has_dispatched(victim):
            self.assertFalse(
                all(task.done() for task in victim_bookings), "the killed node dispatched nothing"
            )
            await asyncio.sleep(0.01)
        self.deployment.signal(victim, signal.SIGKILL)
        self.assertEqual(await self.deployment.wait_end(victim), -signal.SIGKILL)
        await asyncio.gather(*victim_bookings, *retries)
        self.assertEqual(
            booking_violations(self.booking_results, await self.executed_bookings()), []
        )
        answered = {entry.key for entry in self.booking_results if entry.answer is not None}
        self.assertLessEqual(set(surviving_node_keys.values()), answered)
        # Repeatable requests bypass claims, so the checker must report duplicate executions.
        duplicates = [await self.book(node, "repeatable", repeatable=True) for node in surviving]
        self.assertIn(
            f"repeatable ran {len(surviving)} times",
            booking_violations(duplicates, await self.executed_bookings()),
        )

    async def book(self, node: str, key: str, *, repeatable: bool = False) -> BookingResult:
        """Send a booking once and record its result."""
        url = self.deployment.url(node) + "/app/articles/article-1"
        declared = "true" if repeatable else "false"
        headers = {"Idempotency-Key": key, "Drumbay-Repeatable": declared}
        try:
            answer = await self.deployment.caller.send("POST", url, b"{}", headers)
            result = BookingResult(key=key, answer=answer.body)
        except CallFailedError as error:
            detail = error.error
            run = Execution(detail.run) if detail and detail.run else Execution.MAY_HAVE_RUN
            request_id = (detail.request_id or "") if detail else ""
            result = BookingResult(key=key, request_id=request_id, run=run)
        if not repeatable:
            self.booking_results.append(result)
        return result

    async def book_until_answered(self, node: str, key: str) -> None:
        for _ in range(MAX_BOOKING_ATTEMPTS):
            if (await self.book(node, key)).answer is not None:
                return
            await asyncio.sleep(0.2)

    async def executed_bookings(self) -> list[ApplicationExecuted]:
        log = await self.deployment.execution_log("application-1")
        return [entry for entry in log if isinstance(entry, ApplicationExecuted)]

    async def has_dispatched(self, node: str) -> bool:
        return any(entry.attempt_id.startswith(node) for entry in await self.executed_bookings())

    async def check_outage(self, killed: str, surviving: list[str]) -> None:
        await self.deployment.arm_fault("key-value", "/faults", KeyValueFaults(outage=True))
        revision = (await self.deployment.status(surviving[0])).configuration_revision
        self.deployment.restart(killed)
        for number, node in enumerate(surviving):
            self.assertEqual(len((await self.complete(node)).token_ids), LIVE_TOKENS)
            self.assertIsNotNone((await self.book(node, f"in-outage-{number}")).answer)
        await self.deployment.wait_until_ok(killed, "/readyz")
        restarted = (await self.deployment.status(killed)).configuration_revision
        self.assertGreaterEqual(restarted, revision, "the restarted node has an older revision")
        for node in surviving:
            await self.wait_revision(node, restarted)
        self.assertEqual(len((await self.complete(killed)).token_ids), LIVE_TOKENS)
        self.assertEqual(
            booking_violations(self.booking_results, await self.executed_bookings()), []
        )

    async def wait_revision(self, node: str, revision: int) -> None:
        """Wait until a node has exactly this configuration revision."""
        deadline = self.deployment.clock.monotonic() + READY_TIMEOUT_SECONDS
        while (
            revision_now := (await self.deployment.status(node)).configuration_revision
        ) != revision:
            if self.deployment.clock.monotonic() > deadline:
                raise StateNotReachedError(f"{node} has revision {revision_now}, not {revision}")
            await asyncio.sleep(0.1)
