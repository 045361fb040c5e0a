"""Workload of an acceptance run: live requests, lookups, bookings, rollouts and a stop."""

import asyncio
import os
import signal

import msgspec

from drumbay.acceptance.calls import Caller, CallFailedError
from drumbay.acceptance.records import (
    AcceptancePlan,
    AcceptanceResult,
    BookingResult,
    LiveResult,
    Rejection,
)
from drumbay.api.schema import (
    CompletionAnswer,
    CompletionBody,
    ResourceListBody,
    RolloutSubmission,
)
from drumbay.backends.interface import EngineStatus
from drumbay.backends.wire import STATUS_PATH
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.resources.schema import BackendGroup
from drumbay.rollout.sample import RolloutPrompt
from drumbay.standins.trainer_server import TrainerStatus

POLL_SECONDS = 0.2
STEP_TIMEOUT_SECONDS = 60.0
LIVE_MAX_TOKENS = 48
SAMPLE_MAX_TOKENS = 96
CONCURRENT_ATTEMPTS = 2
LOOKUPS_PER_STEP = 16
LOOKUP_ATTEMPTS = 2
MAX_LIVE_REJECTIONS = 1
"""Only one node stops, so a second rejection is a failure."""

PROMPTS_PER_GROUP = 4


class StepTimeoutError(CallFailedError):
    """A training step did not finish in time."""

    code = "step_timeout"


class Workload:
    """Runs the workload on one deployment.

    Args:
        clock: Source of the current time.
        caller: Sends the requests.
        plan: Configuration of the run.
    """

    def __init__(self, clock: Clock, caller: Caller, plan: AcceptancePlan) -> None:
        """Create a workload; :meth:`run` runs it."""
        self._clock = clock
        self._caller = caller
        self._plan = plan
        self._nodes = list(plan.nodes)
        self._request_count = 0
        self._live: list[LiveResult] = []
        self._bookings: list[BookingResult] = []
        self._lookups_answered = 0
        self._lookups_failed = 0

    def _next_node(self) -> str:
        self._request_count += 1
        return self._nodes[self._request_count % len(self._nodes)]

    async def run(self) -> AcceptanceResult:
        """Run every step.

        Raises:
            CallFailedError: A rollout was rejected, or a step did not finish.
        """
        for step in range(self._plan.steps):
            await self._run_step(step)
        return AcceptanceResult(
            live=tuple(self._live),
            bookings=tuple(self._bookings),
            lookups_answered=self._lookups_answered,
            lookups_failed=self._lookups_failed,
        )

    async def _run_step(self, step: int) -> None:
        await self._submit(step)
        plan = self._plan
        requests = [self._send_live(step, number) for number in range(plan.live_requests)]
        requests += [self._send_booking(step, number) for number in range(plan.bookings)]
        requests += [self._send_lookup(number) for number in range(LOOKUPS_PER_STEP)]
        is_last = step == plan.steps - 1
        stopping = self._stop_node() if is_last else None
        await asyncio.gather(*requests, *([stopping] if stopping else []))
        await self._wait_for_step(step)
        await self._wait_for_weights()

    async def _submit(self, step: int) -> None:
        prompts = tuple(
            RolloutPrompt(
                text=f"{self._plan.stream} step {step} prompt {index // PROMPTS_PER_GROUP}",
                group=f"{step}-{index // PROMPTS_PER_GROUP}",
                max_tokens=SAMPLE_MAX_TOKENS,
                seed=index,
            )
            for index in range(self._plan.samples_per_step)
        )
        submission = RolloutSubmission(
            stream=self._plan.stream, step=step, model=self._plan.model, prompts=prompts
        )
        body = msgspec.json.encode(submission)
        await self._retry_until_done("/v1/rollouts", body)

    async def _retry_until_done(self, path: str, body: bytes) -> None:
        """Send an idempotent request until it succeeds."""
        deadline = self._clock.monotonic() + STEP_TIMEOUT_SECONDS
        while True:
            try:
                await self._caller.send("POST", self._next_node() + path, body)
                return
            except CallFailedError:
                if self._clock.monotonic() > deadline:
                    raise
            await self._clock.sleep(POLL_SECONDS)

    async def _send_live(self, step: int, number: int) -> None:
        await self._clock.sleep(number * 0.02)
        body = CompletionBody(
            model=self._plan.model,
            prompt=f"question {step} {number}",
            max_tokens=LIVE_MAX_TOKENS,
            seed=number,
        )
        self._live.append(await self.complete(msgspec.json.encode(body)))

    async def complete(self, body: bytes) -> LiveResult:
        """Send a live request; an attempt rejected as not run is retried at the next node.

        A request may reach a node just after the node has started to stop.
        """
        rejections: list[Rejection] = []
        while True:
            node = self._next_node()
            try:
                response = await self._caller.send("POST", node + "/v1/completions", body)
            except CallFailedError as error:
                detail = error.error
                request_id = (detail.request_id or "") if detail else ""
                code = detail.code if detail else "connection_lost"
                is_not_run = detail is not None and detail.run == Execution.NOT_RUN
                if detail is None or not is_not_run or len(rejections) >= MAX_LIVE_REJECTIONS:
                    return LiveResult(
                        request_id=request_id, failure=code, rejections=tuple(rejections)
                    )
                rejections.append(
                    Rejection(node=node, request_id=request_id, code=code, detail=detail.detail)
                )
                continue
            completion = msgspec.json.decode(response.body, type=CompletionAnswer)
            return LiveResult(
                request_id=completion.id,
                token_ids=completion.token_ids,
                spans=completion.spans,
                finish_reason=completion.finish_reason,
                rejections=tuple(rejections),
            )

    async def _send_booking(self, step: int, number: int) -> None:
        """Send one booking twice concurrently and then again, all with the same key."""
        await self._clock.sleep(number * 0.03)
        key = f"{self._plan.stream}-{step}-{number}"
        attempts = (self._send_booking_attempt(key, number) for _ in range(CONCURRENT_ATTEMPTS))
        results = await asyncio.gather(*attempts)
        results.append(await self._send_booking_attempt(key, number))
        response_bodies = tuple(result for result in results if isinstance(result, bytes))
        executions = [result for result in results if isinstance(result, Execution)]
        self._bookings.append(
            BookingResult(
                key=key,
                response_bodies=response_bodies,
                not_run=executions.count(Execution.NOT_RUN),
                may_have_run=executions.count(Execution.MAY_HAVE_RUN),
            )
        )

    async def _send_booking_attempt(self, key: str, number: int) -> bytes | Execution:
        url = f"{self._next_node()}/app/articles/article-{number % 5}"
        headers = {"Idempotency-Key": key, "Drumbay-Repeatable": "false"}
        try:
            response = await self._caller.send("POST", url, b"{}", headers)
        except CallFailedError as error:
            if error.error is None or not error.error.run:
                return Execution.MAY_HAVE_RUN
            return Execution(error.error.run)
        return response.body

    async def _send_lookup(self, number: int) -> None:
        """Look up one article; a rejected attempt is retried at the next node."""
        await self._clock.sleep(number * 0.05)
        for _ in range(LOOKUP_ATTEMPTS):
            url = f"{self._next_node()}/app/articles/article-{number % 5}"
            try:
                await self._caller.send("GET", url)
            except CallFailedError as error:
                if error.error is None or error.error.run != Execution.NOT_RUN:
                    break
            else:
                self._lookups_answered += 1
                return
        self._lookups_failed += 1

    async def _stop_node(self) -> None:
        """Start the planned stop of the last node; later requests go to the others."""
        process_id = self._plan.stop_process_id
        if process_id is None:
            return
        await self._clock.sleep(0.25)
        self._nodes.pop()
        os.kill(process_id, signal.SIGTERM)

    async def _wait_for_step(self, step: int) -> None:
        deadline = self._clock.monotonic() + STEP_TIMEOUT_SECONDS
        url = self._plan.trainer + "/admin/status"
        while (await self._caller.get(url, TrainerStatus)).step <= step:
            if self._clock.monotonic() > deadline:
                raise StepTimeoutError(f"step {step} did not end", None)
            await self._clock.sleep(POLL_SECONDS)

    async def _wait_for_weights(self) -> None:
        """Wait until every engine of the model serves the trainer's latest version."""
        status = await self._caller.get(self._plan.trainer + "/admin/status", TrainerStatus)
        listing = await self._caller.get(
            f"{self._plan.nodes[0]}/v1/resources/BackendGroup", ResourceListBody
        )
        groups = [item.resource for item in listing.items]
        engines = [
            backend.url
            for group in groups
            if isinstance(group, BackendGroup) and group.model == self._plan.model
            for backend in group.backends
        ]
        deadline = self._clock.monotonic() + STEP_TIMEOUT_SECONDS
        for url in engines:
            while await self._served_version(url) < status.weight_version:
                if self._clock.monotonic() > deadline:
                    raise StepTimeoutError(f"{url} did not load {status.weight_version}", None)
                await self._clock.sleep(POLL_SECONDS)

    async def _served_version(self, engine_url: str) -> int:
        status = await self._caller.get(engine_url + STATUS_PATH, EngineStatus)
        return status.weight_version
