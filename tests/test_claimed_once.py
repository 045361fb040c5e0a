"""A claimed request times out at its limit if the claim does not finish."""

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

TIMEOUT_SECONDS = 3.0
HANGING_CLAIM_SECONDS = 60.0


async def run_with_hanging_claim() -> tuple[float, Execution | None]:
    """Run a request whose claim hangs; return its duration and the reported execution state."""
    host = SimulatedHost("node", Address("10.0.0.1", 1), Location(zone="z", region="r"))
    host.start()
    clock = host.clock()

    async def hang(*_arguments: object) -> None:
        await asyncio.sleep(HANGING_CLAIM_SECONDS)

    claims = mock.create_autospec(ClaimService, instance=True)
    claims.run_once = hang
    runner = ClaimedAtMostOnceRunner(claims, clock, NodeMetrics(CollectorRegistry()))
    started_at = clock.monotonic()
    execution = None
    try:
        await runner.run(
            scope="stock",
            key=IdempotencyKey("key"),
            digest="00",
            dispatch=mock.AsyncMock(spec=ApplicationResponse),
            remaining_seconds=TIMEOUT_SECONDS,
        )
    except RequestTimeoutError as error:
        execution = error.execution
    return clock.monotonic() - started_at, execution


class ClaimedOnceTest(unittest.TestCase):
    def test_request_times_out_at_its_limit(self) -> None:
        elapsed_seconds, execution = run_simulation(run_with_hanging_claim)
        self.assertAlmostEqual(elapsed_seconds, TIMEOUT_SECONDS, places=3)
        self.assertEqual(execution, Execution.MAY_HAVE_RUN)
