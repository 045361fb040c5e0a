"""Tests of usage counting, collection and reporting, including failures."""

import asyncio
import unittest
from typing import ClassVar

from hypothesis import given
from hypothesis import strategies as st

from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.records import ClientRequest, ForwardingError
from drumbay.forwarding.routes import RequestKind, Route, ServiceShare
from drumbay.identifiers import Fence
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.tenants.records import TenantName
from drumbay.usage.collector import UsageCollector
from drumbay.usage.counter import UsageCounter
from drumbay.usage.records import NodeUsage, WindowCounts, WindowLength, WindowNumber
from drumbay.usage.schedule import ReportSchedule
from drumbay.usage.service import UsageSettings
from drumbay.usage.window_clock import JUMP_CONFIRMATION_SECONDS, WindowClock
from tests.serving_world import ServingWorld, WorldNode, run_in_world

LENGTH = WindowLength(5.0)
NORTH, SOUTH = TenantName("north"), TenantName("south")
ADDRESS = NetworkAddress("10.0.0.1", 7000)
LOOKUPS = "lookups"
TURN_SECONDS = 3.0
ROUTE = Route(
    name="l",
    host="h",
    path_prefix="/",
    kind=RequestKind.IDEMPOTENT,
    shares=(ServiceShare(service=LOOKUPS, weight=1.0),),
    timeout_seconds=1.5,
    target_seconds=0.2,
    attempts=2,
)


def lookup(name: str, tenant: TenantName) -> ClientRequest:
    return ClientRequest(
        request_id=name,
        method="GET",
        target="/",
        host="h",
        headers=(),
        body=b"",
        budget_seconds=1.5,
        tenant=tenant,
    )


class AdjustableClock:
    """A clock set by the test."""

    def __init__(self) -> None:
        self.monotonic_seconds = 100.0
        self.wall_offset = 0.0

    def monotonic(self) -> float:
        return self.monotonic_seconds

    def wall(self) -> float:
        return 1_000.0 + self.monotonic_seconds + self.wall_offset


class WindowClockTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = AdjustableClock()
        self.window_clock = WindowClock(self.clock)  # type: ignore[arg-type]

    def test_temporary_jump_is_ignored(self) -> None:
        for wall_offset in (2.0, 2.0, 0.0, -3.0, 0.0):
            self.clock.wall_offset = wall_offset
            self.clock.monotonic_seconds += 4.0
            self.assertAlmostEqual(self.window_clock.now(), 1_000.0 + self.clock.monotonic_seconds)

    def test_lasting_jump_is_accepted(self) -> None:
        self.clock.wall_offset = 2.0
        self.window_clock.now()
        self.clock.monotonic_seconds += JUMP_CONFIRMATION_SECONDS + 1
        self.assertAlmostEqual(self.window_clock.now(), self.clock.wall())

    def test_drift_is_followed(self) -> None:
        for _ in range(100):
            self.clock.wall_offset += 0.01
            self.clock.monotonic_seconds += 1.0
            self.window_clock.now()
        self.assertAlmostEqual(self.window_clock.now(), self.clock.wall())


class CounterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = AdjustableClock()
        window_clock = WindowClock(self.clock)  # type: ignore[arg-type]
        self.counter = UsageCounter(window_clock, LENGTH, ADDRESS, "boot")

    def test_request_counts_in_window_of_first_run(self) -> None:
        ticket = self.counter.open()
        started_at = self.clock.monotonic_seconds + 4.9
        self.clock.monotonic_seconds += 6.0
        self.counter.close(ticket, NORTH, started_at)
        refused = self.counter.open()
        self.counter.close(refused, NORTH, None)
        (counted,) = self.counter.report().windows
        self.assertEqual((counted.window, counted.counts), (220, {NORTH: 1}))

    def test_report_is_complete_until_oldest_open_request(self) -> None:
        ticket = self.counter.open()
        self.clock.monotonic_seconds += 2.0
        self.assertEqual(self.counter.report().complete_until, 1_100.0)
        self.counter.close(ticket, NORTH, None)
        self.assertEqual(self.counter.report().complete_until, 1_102.0)


def usage(boot: str, complete_until: float, **counts: int) -> NodeUsage:
    window_counts = {TenantName(tenant): count for tenant, count in counts.items()}
    windows = (WindowCounts(window=WindowNumber(7), counts=window_counts),) if window_counts else ()
    return NodeUsage(address=ADDRESS, boot=boot, complete_until=complete_until, windows=windows)


class CollectorTest(unittest.TestCase):
    REPORTS: ClassVar[list[NodeUsage]] = [
        usage("a", 36.0, north=1),
        usage("a", 37.0, north=2, south=1),
        usage("b", 41.0, north=3),
    ]

    @given(st.permutations(REPORTS), st.lists(st.sampled_from(REPORTS)))
    def test_order_and_repetition_do_not_matter(
        self, reports: list[NodeUsage], repeated: list[NodeUsage]
    ) -> None:
        collector = UsageCollector()
        collector.merge_all([*reports, *repeated])
        other = UsageCollector()
        other.merge_all(collector.snapshot())
        for found in (collector, other):
            self.assertEqual(found.counts(WindowNumber(7)), {NORTH: 5, SOUTH: 1})

    def test_node_is_incomplete_until_it_reports_whole_window(self) -> None:
        collector = UsageCollector()
        self.assertEqual(collector.incomplete_nodes([ADDRESS], 40.0), (ADDRESS,))
        collector.merge(usage("a", 39.9, north=1))
        self.assertEqual(collector.incomplete_nodes([ADDRESS], 40.0), (ADDRESS,))
        collector.merge(usage("a", 40.0, north=1))
        self.assertEqual(collector.incomplete_nodes([ADDRESS], 40.0), ())

    def test_counts_of_discarded_window_are_ignored(self) -> None:
        collector = UsageCollector()
        collector.discard_before(WindowNumber(8))
        collector.merge(usage("a", 40.0, north=1))
        self.assertEqual(collector.counts(WindowNumber(7)), {})


class ScheduleTest(unittest.TestCase):
    schedule = ReportSchedule(length=LENGTH, due_seconds=10.0)

    def test_incomplete_report_is_finalized_before_it_is_due(self) -> None:
        window = WindowNumber(7)
        for elapsed_seconds, is_complete, expected in (
            (0.1, True, False),
            (0.5, True, True),
            (5.9, False, False),
            (6.1, False, True),
        ):
            is_final = self.schedule.can_finalize(
                window, 40.0 + elapsed_seconds, is_complete=is_complete
            )
            self.assertEqual((elapsed_seconds, is_final), (elapsed_seconds, expected))

    def test_windows_without_counts_are_skipped(self) -> None:
        self.assertEqual(self.schedule.window_to_report(None, 42.0), 8)
        self.assertEqual(self.schedule.window_to_report(WindowNumber(5), 42.0), 6)
        self.assertEqual(self.schedule.window_to_report(WindowNumber(5), 1_000.0), 192)


class ReportTest(unittest.TestCase):
    """Tests with several nodes: each window is reported once with the requests started in it."""

    async def start(self, world: ServingWorld) -> None:
        for number in range(3):
            world.workers.add(f"lookup-{number}", LOOKUPS)
        for node in world.nodes:
            node.directory.replace_all(world.workers.entries())
            node.lead()
        await asyncio.sleep(1.0)

    async def send_lookup(self, world: ServingWorld, node: WorldNode, name: str) -> None:
        tenant = NORTH if len(world.workers.runs) % 2 else SOUTH
        await node.node.forwarder.forward(ROUTE, lookup(name, tenant))

    async def generate_load(self, world: ServingWorld, seconds: float) -> None:
        """Let the running nodes serve a lookup every half second."""
        until = world.clock.monotonic() + seconds
        number = 0
        while world.clock.monotonic() < until:
            running_nodes = [node for node in world.nodes if node.address in world.peers.nodes]
            node = world.peers.nodes[running_nodes[number % len(running_nodes)].address]
            await self.send_lookup(world, node, f"r{world.clock.monotonic():.2f}-{number}")
            number += 1
            await asyncio.sleep(0.5)

    def actual_counts(self, world: ServingWorld) -> dict[int, dict[TenantName, int]]:
        offset = world.clock.wall() - world.clock.monotonic()
        counts_by_window: dict[int, dict[TenantName, int]] = {}
        for run in world.workers.runs:
            window = LENGTH.number_at(run.started_at + offset)
            assert run.tenant is not None
            counts = counts_by_window.setdefault(window, {})
            counts[run.tenant] = counts.get(run.tenant, 0) + 1
        return counts_by_window

    def check_reports(self, world: ServingWorld, *, lost_windows: int = 0) -> None:
        duties = world.duties
        self.assertEqual(duties.conflicting_reports, [])
        self.assertFalse(duties.has_alternating_holders(TURN_SECONDS))
        now = world.clock.wall()
        due = {
            window: counts
            for window, counts in self.actual_counts(world).items()
            if LENGTH.end_of(WindowNumber(window)) + 10.0 < now
        }
        wrong = [window for window, counts in due.items() if duties.usage.get(window) != counts]
        self.assertGreater(len(due), lost_windows)
        self.assertLessEqual(len(wrong), lost_windows)

    def test_every_window_is_reported_once_and_in_time(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await self.generate_load(world, 25.0)
            await asyncio.sleep(12.0)
            self.check_reports(world)
            offset = world.clock.wall() - world.clock.monotonic()
            for call in world.duties.calls:
                assert call.report is not None
                end = LENGTH.end_of(WindowNumber(call.report.window))
                self.assertLess(call.at + offset, end + 10.0)

        run_in_world(scenario, node_count=3, usage=UsageSettings())

    def test_nodes_that_follow_watchers_are_counted(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await self.generate_load(world, 25.0)
            await asyncio.sleep(12.0)
            self.check_reports(world)

        run_in_world(scenario, node_count=20, settle_seconds=1.0, usage=UsageSettings())

    def test_new_leader_does_not_repeat_reports_or_alternate(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await self.generate_load(world, 9.0)
            leader = next(n for n in world.nodes if n.leader.fence(world.clock.monotonic()))
            await leader.kill()
            await self.generate_load(world, 25.0)
            await asyncio.sleep(14.0)
            self.check_reports(world, lost_windows=1)
            self.assertEqual(len({call.token.holder for call in world.duties.calls}), 2)

        run_in_world(scenario, node_count=3, usage=UsageSettings())

    def test_platform_outage_delays_reports_without_loss(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            world.duties.late_execution_seconds = 5.0
            await self.generate_load(world, 9.0)
            world.duties.unanswered_next = 2
            await self.generate_load(world, 5.0)
            world.duties.down = True
            await self.generate_load(world, 6.0)
            world.duties.down = False
            await asyncio.sleep(16.0)
            self.check_reports(world)

        run_in_world(scenario, node_count=3, usage=UsageSettings())

    def test_reports_survive_store_outage_with_all_processes_killed(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await self.generate_load(world, 12.0)
            world.model.set_faults(KeyValueFaults(outage=True))
            for node in list(world.nodes):
                await node.kill()
            world.nodes = [WorldNode(world, number, 1) for number in range(1, 4)]
            for node in world.nodes:
                node.directory.replace_all(world.workers.entries())
                node.lead()
            await asyncio.sleep(4.0)
            world.model.set_faults(KeyValueFaults())
            await self.generate_load(world, 12.0)
            await asyncio.sleep(16.0)
            # Requests of the last seconds before the kill were not collected by another process.
            self.check_reports(world, lost_windows=1)

        run_in_world(scenario, node_count=3, usage=UsageSettings())

    def test_new_leader_delivers_final_reports(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            world.duties.down = True
            await self.generate_load(world, 13.0)
            leader = next(n for n in world.nodes if n.leader.fence(world.clock.monotonic()))
            await leader.kill()
            world.duties.down = False
            await self.generate_load(world, 10.0)
            await asyncio.sleep(14.0)
            self.check_reports(world, lost_windows=1)

        run_in_world(scenario, node_count=3, usage=UsageSettings())

    def test_new_leader_waits_for_a_turn_even_with_fencing(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            leader = next(n for n in world.nodes if n.leader.fence(world.clock.monotonic()))
            self.assertIsNotNone(leader.leader.duty_fence(world.clock.monotonic()))
            await leader.kill()
            led_since: float | None = None
            while True:
                await asyncio.sleep(0.05)
                now = world.clock.monotonic()
                others = [n.leader for n in world.nodes if n is not leader]
                if led_since is None and any(other.fence(now) for other in others):
                    led_since = now
                if any(other.duty_fence(now) for other in others):
                    break
            assert led_since is not None
            self.assertAlmostEqual(now - led_since, TURN_SECONDS, delta=0.1)

        run_in_world(scenario, node_count=3, usage=UsageSettings(), workers_check_fences=True)

    def test_higher_fence_at_platform_ends_leadership(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await self.start(world)
            await self.generate_load(world, 6.0)
            leader = next(n for n in world.nodes if n.leader.fence(world.clock.monotonic()))
            fence = leader.leader.fence(world.clock.monotonic())
            assert fence is not None
            world.duties._highest_fence = Fence(fence + 1)
            await self.generate_load(world, 8.0)
            self.assertNotEqual(leader.leader.fence(world.clock.monotonic()), fence)
            self.assertEqual(len(world.duties.refused), 1)

        run_in_world(scenario, node_count=3, usage=UsageSettings())


class ForwarderUsageTest(unittest.TestCase):
    def test_refused_request_is_not_counted(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            worker = world.workers.add("lookup-1", LOOKUPS)
            worker.faults.full = True
            node = world.nodes[0]
            node.directory.replace_all(world.workers.entries())
            counter = node.node.forwarder._usage
            with self.assertRaises(ForwardingError):
                await node.node.forwarder.forward(ROUTE, lookup("r", NORTH))
            self.assertEqual(counter.report().windows, ())

        run_in_world(scenario, usage=UsageSettings())


if __name__ == "__main__":
    unittest.main()
