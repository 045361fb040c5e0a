"""A claimed request gets its final answer within its time limit."""

import asyncio
import unittest
from unittest import mock

from prometheus_client import CollectorRegistry

from drumbay.backends.interface import ApplicationResponse
from drumbay.claims.service import ClaimService
from drumbay.comm.interface import Address
from drumbay.exceptions import Execution
from drumbay.identifiers import IdempotencyKey
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.claimed_at_most_once import ClaimedAtMostOnceRunner
from drumbay.requests.errors import RequestTimeoutError
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.virtual_time import run_simulation

LIMIT_SECONDS = 3.0
SLOW_CLAIM_SECONDS = 60.0


async def wait_for_final_answer() -> tuple[float, Execution | None]:
    """Return how long a caller waits while the claim does not end, and what it is told."""
    host = SimulatedHost("node", Address("10.0.0.1", 1), Location(zone="z", region="r"))
    host.start()
    clock = host.clock()

    async def run_slowly(*_arguments: object) -> None:
        await asyncio.sleep(SLOW_CLAIM_SECONDS)

    claims = mock.create_autospec(ClaimService, instance=True)
    claims.run_once = run_slowly
    runner = ClaimedAtMostOnceRunner(claims, clock, NodeMetrics(CollectorRegistry()))
    started_at = clock.monotonic()
    execution = None
    try:
        await runner.run(
            scope="stock",
            key=IdempotencyKey("key"),
            digest="00",
            dispatch=mock.AsyncMock(spec=ApplicationResponse),
            remaining_seconds=LIMIT_SECONDS,
        )
    except RequestTimeoutError as error:
        execution = error.execution
    return clock.monotonic() - started_at, execution


class ClaimedOnceTest(unittest.TestCase):
    def test_final_answer_at_the_limit(self) -> None:
        waited_seconds, execution = run_simulation(wait_for_final_answer)
        self.assertAlmostEqual(waited_seconds, LIMIT_SECONDS, places=3)
        self.assertEqual(execution, Execution.MAY_HAVE_RUN)
