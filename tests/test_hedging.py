"""Hedging of application requests when one response in twenty is late."""

import asyncio
import unittest
from unittest import mock

import msgspec

from drumbay.backends.interface import ApplicationResponse
from drumbay.limits.recent_latency import RecentLatency
from drumbay.limits.retry_budget import RetryBudgetPolicy
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.execution_log import ApplicationExecuted
from drumbay.standins.faults import FaultCommand, FaultKind
from tests.requests_world import DEFAULT_LIMITS, RequestsWorld

REQUESTS = 400
PAUSE_SECONDS = 0.05
LATE_SECONDS = 4.0
LATE_EVERY = 20
WARM_UP_REQUESTS = 40


class HedgingRun(msgspec.Struct, frozen=True, kw_only=True):
    """Late responses seen by clients, and executions on the servers."""

    late_responses: int
    executions: int


def run_requests(method: str) -> HedgingRun:
    async def main() -> HedgingRun:
        world = RequestsWorld(DEFAULT_LIMITS)
        latencies: list[float] = []

        async def call() -> None:
            started_at = world.clock.monotonic()
            response = await world.call(method)
            assert isinstance(response, ApplicationResponse), response
            latencies.append(world.clock.monotonic() - started_at)

        calls = []
        for number in range(REQUESTS):
            if number >= WARM_UP_REQUESTS and number % LATE_EVERY == 0:
                server = world.servers[number // LATE_EVERY % len(world.servers)]
                server.faults.apply(FaultCommand(fault=FaultKind.LATE_ANSWER, count=1))
            calls.append(asyncio.ensure_future(call()))
            await world.clock.sleep(PAUSE_SECONDS)
        await asyncio.gather(*calls)
        records = [entry for server in world.servers for entry in server.log.records()]
        return HedgingRun(
            late_responses=sum(duration > LATE_SECONDS for duration in latencies),
            executions=sum(isinstance(record, ApplicationExecuted) for record in records),
        )

    return run_simulation(main)


class HedgingTest(unittest.TestCase):
    def test_hedging_avoids_late_responses_within_the_retry_budget(self) -> None:
        with mock.patch.object(RecentLatency, "hedge_delay_seconds", return_value=None):
            self.assertGreaterEqual(run_requests("GET").late_responses, 10)
        hedged = run_requests("GET")
        self.assertEqual(hedged.late_responses, 0)
        policy = RetryBudgetPolicy()
        seconds = REQUESTS * PAUSE_SECONDS
        earned = REQUESTS * policy.retry_ratio + seconds * policy.min_retries_per_second
        self.assertLessEqual(hedged.executions, REQUESTS + earned + policy.max_balance)

    def test_non_repeatable_requests_are_not_hedged(self) -> None:
        with mock.patch("drumbay.requests.application._is_repeatable", return_value=True):
            self.assertGreater(run_requests("POST").executions, REQUESTS)
        self.assertEqual(run_requests("POST").executions, REQUESTS)
