"""Lookups whose workers may not get another request from this node yet."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from drumbay.exceptions import Execution
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import NoWorkerError
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.evacuations import EvacuatedZones
from drumbay.placement.gate import PlacementGate
from drumbay.placement.topology import Topology
from drumbay.workers.records import Worker
from tests.serving_world import ServingWorld, run_in_world
from tests.test_forwarding import LOOKUPS, forwarder_of, request, route

BUDGET_SECONDS = 1.5
LONGEST_WAIT_SECONDS = BUDGET_SECONDS / 2


class OneStartPerWindow:
    """A start limiter that allows one start in each sliding window."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self.starts: list[float] = []

    def remaining_starts(self, worker: Worker, now: float) -> float:
        del worker
        return float(not self.starts or now - self.starts[-1] >= self._window_seconds)

    def next_start_at(self, worker: Worker, now: float) -> float:
        del worker
        return max(now, self.starts[-1] + self._window_seconds) if self.starts else now

    def is_cold(self, worker: Worker, now: float) -> bool:
        del worker, now
        return True

    def record_start(self, worker: Worker, now: float) -> None:
        del worker
        self.starts.append(now)


class StartWaitTest(unittest.TestCase):
    def run_with_limit(
        self,
        window_seconds: float,
        scenario: Callable[[ServingWorld, Forwarder], Awaitable[None]],
    ) -> None:
        self.limiter = OneStartPerWindow(window_seconds)
        self.evacuations = EvacuatedZones()

        async def run(world: ServingWorld) -> None:
            world.workers.add("cold", LOOKUPS)
            placement = PlacementGate(
                world.clock,
                Topology(zone="zone-1"),
                self.evacuations,
                ServingMetrics(),
                self.limiter,
            )
            await scenario(world, forwarder_of(world.clock, world.workers, placement))

        run_in_world(run, node_count=1)

    def test_lookups_wait_for_a_start_however_often_others_take_it(self) -> None:
        """Starts lost to other lookups between choice and send are no refusals by workers."""

        async def scenario(world: ServingWorld, forwarder: Forwarder) -> None:
            calls = [forwarder.forward(route(), request(str(number))) for number in range(10)]
            responses = await asyncio.gather(*calls)
            self.assertEqual({response.status for response in responses}, {200})
            self.assertEqual(len(world.workers.runs), len(calls))

        self.run_with_limit(0.04, scenario)

    def test_a_lookup_whose_start_would_come_too_late_is_rejected_at_once(self) -> None:
        """Another node may have a start for it; a wait that can't help only costs its time."""

        async def scenario(world: ServingWorld, forwarder: Forwarder) -> None:
            await forwarder.forward(route(), request("first"))
            began_at = world.clock.monotonic()
            with self.assertRaises(NoWorkerError) as raised:
                await forwarder.forward(route(), request("second"))
            waited_seconds = world.clock.monotonic() - began_at
            self.assertLess(waited_seconds, 0.01)
            self.assertEqual(raised.exception.execution, Execution.NOT_RUN)
            self.assertGreater(raised.exception.retry_after_seconds or 0.0, 0.0)

        self.run_with_limit(10.0, scenario)

    def test_a_retry_waits_up_to_the_deadline(self) -> None:
        """The lookup may have run, so that its caller could not try another node."""

        async def scenario(world: ServingWorld, forwarder: Forwarder) -> None:
            world.workers["cold"].faults.lose_responses = True
            call = asyncio.ensure_future(forwarder.forward(route(), request()))
            await asyncio.sleep(0.2)
            world.workers["cold"].faults.lose_responses = False
            self.assertEqual((await call).status, 200)
            self.assertGreater(self.limiter.starts[1], LONGEST_WAIT_SECONDS)

        self.run_with_limit(LONGEST_WAIT_SECONDS + 0.2, scenario)

    def test_a_lookup_that_waits_is_rejected_when_its_last_zone_goes(self) -> None:
        async def scenario(world: ServingWorld, forwarder: Forwarder) -> None:
            await forwarder.forward(route(), request("first"))
            call = asyncio.ensure_future(forwarder.forward(route(), request("second")))
            await asyncio.sleep(0.1)
            self.assertFalse(call.done())
            self.evacuations.start("zone-1")
            evacuated_at = world.clock.monotonic()
            with self.assertRaises(NoWorkerError):
                await call
            self.assertLess(world.clock.monotonic() - evacuated_at, 0.1)

        self.run_with_limit(LONGEST_WAIT_SECONDS - 0.1, scenario)


if __name__ == "__main__":
    unittest.main()
