"""Tests of lookup forwarding to slow, noisy and failing workers: selection and hedging."""

import asyncio
import unittest
from collections import Counter

import msgspec

from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import ClientRequest, ResponseLostError
from drumbay.forwarding.routes import RequestKind, RouteTable
from drumbay.identifiers import BackendId
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.tasks import TaskOwner
from drumbay.usage.counter import UsageCounter
from drumbay.usage.records import WindowLength
from drumbay.usage.window_clock import WindowClock
from drumbay.workers.records import WorkerLoad
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers
from tests.serving_world import ServingWorld, run_in_world, unrestricted_placement
from tests.test_forwarding import LOOKUPS, request, route

CALLER = "10.9.0.1"


def lookup(name: str) -> ClientRequest:
    """Return a request from an external client."""
    return msgspec.structs.replace(request(name), caller_address=CALLER)


class LookupForwardingTest(unittest.TestCase):
    def forwarder(self, world: ServingWorld, workers: int = 3, machine: str = "m") -> Forwarder:
        for number in range(1, workers + 1):
            world.workers.add(f"lookup-{number}", LOOKUPS)
        self.directory = world.nodes[0].directory
        self.directory.replace_all(world.workers.entries())
        self.metrics = ServingMetrics()
        address = world.nodes[0].address
        usage = UsageCounter(WindowClock(world.clock), WindowLength(5.0), address, "boot")
        return Forwarder(
            world.clock,
            self.directory,
            RouteTable(),
            world.workers,
            unrestricted_placement(world.clock),
            self.metrics,
            usage,
            world.nodes[0].node.quarantine,
            UnresponsiveWorkers(world.clock, self.directory, world.workers, TaskOwner()),
            machine,
        )

    def has_metric_line(self, line: str) -> bool:
        return line in self.metrics.render().decode()

    def test_reported_slowdown_redirects_next_request(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers.idle_connections.add(BackendId("lookup-3"))
            for number in range(4):
                await forwarder.forward(route(), lookup(f"r{number}"))
            load = WorkerLoad(running=1, waiting=0, slots=4, slowdown=2.5)
            self.directory.observe_load(BackendId("lookup-3"), load, world.clock.monotonic())
            await forwarder.forward(route(), lookup("noisy"))
            self.assertNotEqual(world.workers.runs[-1].worker_id, "lookup-3")
            await asyncio.sleep(3.0)
            await forwarder.forward(route(), lookup("quiet"))
            self.assertEqual(world.workers.runs[-1].worker_id, "lookup-3")

        run_in_world(scenario)

    def test_failing_worker_gets_few_runs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["lookup-1"].faults.failing = True
            for number in range(30):
                await forwarder.forward(route(), lookup(f"r{number}"))
            counts = Counter(run.worker_id for run in world.workers.runs)
            self.assertLessEqual(counts[BackendId("lookup-1")], 2)

        run_in_world(scenario)

    def test_request_failing_everywhere_does_not_penalize_workers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers.failing_requests.add("bad")
            for _ in range(10):
                with self.assertRaises(ResponseLostError):
                    await forwarder.forward(route(), lookup("bad"))
            now = world.clock.monotonic()
            for record in self.directory.of_service(LOOKUPS):
                self.assertEqual(record.response_stats.failure_rate(now), 0.0)

        run_in_world(scenario)

    def test_unresponsive_worker_is_avoided_after_one_request(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            await forwarder.forward(route(), lookup("first"))
            unresponsive = world.workers.runs[0].worker_id
            world.workers.idle_connections.add(unresponsive)
            world.workers[unresponsive].faults.unreachable = True
            await forwarder.forward(route(), lookup("second"))
            await asyncio.sleep(0.01)
            sent_at = world.clock.monotonic()
            await forwarder.forward(route(), lookup("third"))
            self.assertLess(world.clock.monotonic() - sent_at, 0.05)

        run_in_world(scenario)

    def test_refusing_worker_is_paused_for_one_request_time(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.idle_connections.add(BackendId("lookup-1"))
            forwarder = self.forwarder(world)
            for number in range(9):
                forwarder.hedge_timing.observe("lookups", 0.2 + 0.001 * number)
            world.workers["lookup-1"].faults.full = True
            await forwarder.forward(route(), lookup("refused"))
            record = self.directory.get(BackendId("lookup-1"))
            assert record is not None
            self.assertGreater(record.paused_until, 0.2)
            self.assertTrue(self.has_metric_line('worker_refusals_total{route="lookups"} 1.0'))

        run_in_world(scenario)

    def test_nodes_without_data_select_different_workers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarders = [self.forwarder(world, machine=f"m{number}") for number in range(30)]
            for number, forwarder in enumerate(forwarders):
                await forwarder.forward(route(), lookup(f"r{number}"))
            counts = Counter(run.worker_id for run in world.workers.runs)
            self.assertEqual(len(counts), 3)
            self.assertLessEqual(max(counts.values()), 16)

        run_in_world(scenario)

    def test_interactive_request_is_hedged_before_background_one(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.slowdown = 1_000.0
            sends = [
                asyncio.ensure_future(forwarder.forward(route(), lookup("lookup"))),
                asyncio.ensure_future(forwarder.forward(route(), request("reward"))),
            ]
            await asyncio.sleep(0.08)
            self.assertEqual(len(world.workers.runs_of("lookup")), 2)
            self.assertEqual(len(world.workers.runs_of("reward")), 1)
            await asyncio.sleep(0.05)
            self.assertEqual(len(world.workers.runs_of("reward")), 2)
            for send in sends:
                send.cancel()
            await asyncio.gather(*sends, return_exceptions=True)

        run_in_world(scenario)

    def test_hedge_budget_limits_hedges_when_all_workers_are_slow(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world, workers=10)
            for number in range(1, 11):
                world.workers[f"lookup-{number}"].faults.slowdown = 8.0
            sends = (forwarder.forward(route(), lookup(f"r{number}")) for number in range(100))
            await asyncio.gather(*sends)
            self.assertLessEqual(len(world.workers.runs), 100 + 10)
            self.assertTrue(self.has_metric_line('hedges_total{outcome="no_budget"} 90.0'))

        run_in_world(scenario)

    def test_stalled_connection_is_replaced_without_hedge_budget(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for number in (1, 2, 3):
                world.workers.idle_connections.add(BackendId(f"lookup-{number}"))
                world.workers[f"lookup-{number}"].faults.slowdown = 1_000.0
            timing = forwarder.hedge_timing
            while timing.try_withdraw(world.clock.monotonic(), is_interactive=True):
                pass
            send = asyncio.ensure_future(forwarder.forward(route(), lookup("lookup")))
            await asyncio.sleep(0.14)
            self.assertEqual(len(world.workers.runs), 1)
            await asyncio.sleep(0.02)
            self.assertEqual(len(world.workers.runs), 2)
            send.cancel()
            await asyncio.gather(send, return_exceptions=True)

        run_in_world(scenario)

    def test_at_most_once_request_is_not_hedged(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.slowdown = 20.0
            await forwarder.forward(route(RequestKind.AT_MOST_ONCE, attempts=3), lookup("once"))
            self.assertEqual(len(world.workers.runs), 1)

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
