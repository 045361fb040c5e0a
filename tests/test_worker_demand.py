"""Worker counts by demand of batch jobs, replayed second by second."""

import asyncio
import unittest
from collections.abc import Iterable
from itertools import pairwise

import msgspec

from drumbay.batches.records import BatchId
from drumbay.batches.slot_usage import JobSlotUsage
from drumbay.comm.network_address import NetworkAddress
from drumbay.duties.interface import DutyOutcome, WorkerCount
from drumbay.forwarding.routes import RequestLimits, RoutingConfiguration
from drumbay.identifiers import BackendId
from drumbay.kv.interface import Put
from drumbay.ownership.leader import LEADER_KEY
from drumbay.peers.messages import CollectPlaces, PeerReply, PeerRequest, PlacesReply
from drumbay.peers.transport import PeerUnavailableError
from drumbay.scaling.collector import REPLY_LIFETIME_SECONDS, DemandCollector
from drumbay.scaling.controller import STORED_COUNTS_KEY
from drumbay.scaling.demand import (
    ACCEPTABLE_WAIT_SECONDS,
    SCALE_DOWN_WINDOW_SECONDS,
    DemandHistory,
    DemandSample,
    WorkerEstimate,
)
from drumbay.scaling.planner import (
    REPLACEMENT_MARGIN_SECONDS,
    SCALE_DOWN_INTERVAL_SECONDS,
    WorkerCountPlanner,
)
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from drumbay.scaling.spread import ZoneBounds, add_workers, remove_worker
from tests.serving_world import MODEL, SERVICE, ServingWorld, batch_spec, run_in_world

SLOTS_PER_WORKER = 6
CHEAP, MID_PRICE, EXPENSIVE = (ServiceZone(SERVICE, zone) for zone in ("a", "b", "c"))
SCALING = ServiceScaling(
    service=SERVICE,
    minimum=1,
    maximum=6,
    boot_seconds=4.0,
    zone_prices={"a": 0.8, "b": 1.0, "c": 1.25},
)
REPLACEMENT_SECONDS = SCALING.boot_seconds + REPLACEMENT_MARGIN_SECONDS
BASELINES = {CHEAP: 2, MID_PRICE: 2, EXPENSIVE: 2}


def job(waiting: int, running: int, name: str = "step") -> JobSlotUsage:
    return JobSlotUsage(
        batch_id=BatchId(name),
        service=SERVICE,
        model=MODEL,
        priority=0,
        is_open=True,
        began_slot=0,
        due_slot=None,
        missed=0,
        missing_groups=1,
        running={BackendId("worker"): running} if running else {},
        waiting=waiting,
        startable=waiting,
        starts={},
        work_seconds=0.0,
    )


class Replay:
    """Replays demand, one row per second; ordered workers become ready after their boot time."""

    def __init__(self) -> None:
        self.planner = WorkerCountPlanner()
        self.planner.restore(BASELINES)
        self.history = DemandHistory()
        self.ready = dict(BASELINES)
        self.lost: set[ServiceZone] = set()
        self.evacuated: set[str] = set()
        self.outcomes: list[DutyOutcome] = []
        self.boots: list[tuple[float, ServiceZone, int]] = []
        self.now = 0.0

    def play(self, rows: Iterable[tuple[int, int]]) -> list[tuple[float, str, int]]:
        """Return the orders for rows of waiting and running items."""
        orders: list[tuple[float, str, int]] = []
        for waiting, running in rows:
            for _, service_zone, count in [boot for boot in self.boots if boot[0] <= self.now]:
                self.ready[service_zone] = count
            self.boots = [boot for boot in self.boots if boot[0] > self.now]
            for service_zone in self.lost:
                self.ready[service_zone] = 0
            workers = sum(
                count for zone, count in self.ready.items() if zone.zone not in self.evacuated
            )
            jobs = (job(waiting, running),) if waiting or running else ()
            sample = DemandSample(
                at=self.now, workers=workers, slots=SLOTS_PER_WORKER * workers, jobs=jobs
            )
            self.history.observe(sample)
            zone_workers = [
                ZoneWorkers(place=zone, ready=count) for zone, count in sorted(self.ready.items())
            ]
            for order in self.planner.plan(
                SCALING, zone_workers, self.now, self.history.estimate(), self.evacuated
            ):
                orders.append((self.now, order.zone, order.workers))
                self._record_outcome(order)
            self.now += 1.0
        return orders

    def _record_outcome(self, order: WorkerCount) -> None:
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.ACCEPTED
        self.planner.record_outcome(order, outcome, self.now)
        if outcome is DutyOutcome.ACCEPTED:
            service_zone = ServiceZone(order.service, order.zone)
            delay = SCALING.boot_seconds if order.workers > self.ready[service_zone] else 0.0
            self.boots.append((self.now + delay, service_zone, order.workers))

    def total(self) -> int:
        return sum(self.ready.values())


STEP_WITHIN_CAPACITY = [(0, 30), (0, 12), (0, 2), (0, 0)]
"""A step every 4 s that fits into the 36 slots."""

STEP_BEYOND_CAPACITY = [(64, 36), (40, 36), (20, 36), (2, 36)]
"""Consecutive steps of at least 64 items, so that items always wait."""


class DemandReplayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replay = Replay()

    def test_steps_within_capacity_order_nothing(self) -> None:
        self.assertEqual(self.replay.play(STEP_WITHIN_CAPACITY * 40), [])

    def test_saturation_in_a_single_sample_orders_nothing(self) -> None:
        self.assertEqual(self.replay.play([(50, 36), (0, 20), (0, 4), (0, 0)] * 20), [])

    def test_items_waiting_despite_free_slots_order_nothing(self) -> None:
        self.assertEqual(self.replay.play([(40, 10)] * 30), [])

    def test_steps_beyond_capacity_scale_up_in_one_large_step(self) -> None:
        orders = self.replay.play(STEP_BEYOND_CAPACITY)
        at_once = [count for at, _, count in orders if at == 1.0]
        self.assertEqual(len(at_once), len(BASELINES))
        self.assertGreater(sum(at_once), 1.5 * sum(BASELINES.values()))
        target = self.replay.planner.total_target(SCALING)
        self.assertLess(target, 1.25 * sum(at_once))
        self.assertLess(target, 100 / SLOTS_PER_WORKER)
        self.assertEqual(self.replay.play(STEP_WITHIN_CAPACITY * 2), [])
        self.assertEqual(self.replay.total(), target)

    def test_scale_up_stops_at_the_maximum(self) -> None:
        self.replay.play([(1000, 36)] * 20)
        self.assertEqual(self.replay.ready, dict.fromkeys(BASELINES, SCALING.maximum))

    def test_workers_are_removed_one_at_a_time_long_after_demand_has_ended(self) -> None:
        self.replay.play(STEP_BEYOND_CAPACITY)
        peak_target = self.replay.planner.total_target(SCALING)
        idle_rows = int(SCALE_DOWN_WINDOW_SECONDS)
        self.assertEqual(self.replay.play([(0, 0)] * (idle_rows - 4)), [])
        orders = self.replay.play([(0, 0)] * 200)
        times = [at for at, _, _ in orders]
        self.assertEqual(len(orders), peak_target - sum(BASELINES.values()))
        gaps = [later - before for before, later in pairwise(times)]
        self.assertGreaterEqual(min(gaps), SCALE_DOWN_INTERVAL_SECONDS)
        self.assertEqual(self.replay.ready, BASELINES)

    def test_pause_between_steps_does_not_scale_down(self) -> None:
        self.replay.play(STEP_BEYOND_CAPACITY)
        rows = [*STEP_BEYOND_CAPACITY, *[(0, 0)] * 40]
        orders = self.replay.play(rows * 5)
        for zone in "abc":
            counts = [count for _, ordered_zone, count in orders if ordered_zone == zone]
            self.assertEqual(counts, sorted(counts))

    def test_lost_zone_is_compensated_in_other_zones(self) -> None:
        self.replay.lost.add(CHEAP)
        early = self.replay.play([(30, 24)] * int(REPLACEMENT_SECONDS))
        before = self.replay.planner.total_target(SCALING)
        late = self.replay.play([(30, 24)] * 4)
        self.assertGreater(self.replay.planner.total_target(SCALING), before, (early, late))
        self.assertIn("a", {zone for _, zone, _ in late})
        self.assertGreater(self.replay.ready[MID_PRICE] + self.replay.ready[EXPENSIVE], 4)

    def test_unanswered_order_is_repeated_unchanged_until_accepted(self) -> None:
        self.replay.outcomes = [DutyOutcome.UNANSWERED] * 3
        first = self.replay.play([(50, 36)] * 2)
        self.assertEqual([(at, zone) for at, zone, _ in first], [(1.0, zone) for zone in "abc"])
        repeated = self.replay.play([(400, 36)])
        self.assertEqual([order[1:] for order in repeated], [order[1:] for order in first])
        self.replay.play([(400, 36)] * 3)
        self.assertEqual(
            self.replay.planner.total_target(SCALING), SCALING.maximum * len(BASELINES)
        )

    def test_refused_order_may_change_before_it_is_repeated(self) -> None:
        self.replay.outcomes = [DutyOutcome.DEFERRED] * 3
        self.replay.play([(50, 36)] * 2)
        orders = self.replay.play([(400, 36)] * 3)
        last = {zone: count for _, zone, count in orders}
        self.assertEqual(last, dict.fromkeys("abc", SCALING.maximum))


class SuccessorTest(unittest.TestCase):
    def test_successor_keeps_demand_targets_separate_from_the_baseline(self) -> None:
        replay = Replay()
        replay.play(STEP_BEYOND_CAPACITY * 3)
        demand_targets = replay.planner.demand_targets
        successor = WorkerCountPlanner()
        successor.restore(replay.planner.baselines, demand_targets)
        replay.planner = successor
        replay.history = DemandHistory()
        self.assertEqual(replay.play([(0, 0)] * 20), [])
        self.assertEqual(successor.baselines, BASELINES)
        self.assertEqual(successor.demand_targets, demand_targets)


class EstimateTest(unittest.TestCase):
    def estimate_for(self, run_seconds: float) -> WorkerEstimate:
        """Return the estimate for 36 slots that are always busy with runs of this length."""
        history = DemandHistory()
        completed_per_second = round(36 / run_seconds)
        waiting = 4000
        for second in range(30):
            waiting -= completed_per_second
            jobs = (job(waiting % 400 + 100, 36, f"step-{waiting // 400}"),)
            history.observe(DemandSample(at=float(second), workers=6, slots=36, jobs=jobs))
        return history.estimate()

    def test_longer_runs_need_more_workers_for_the_same_wait(self) -> None:
        short, long = self.estimate_for(0.25), self.estimate_for(2.0)
        self.assertLess(short.run_seconds, 0.5)
        self.assertGreater(long.run_seconds, 1.4)
        self.assertLess(short.workers, long.workers)

    def test_last_item_of_a_peak_starts_within_the_acceptable_wait(self) -> None:
        history = DemandHistory()
        for second in range(2):
            jobs = (job(64, 36),)
            history.observe(DemandSample(at=float(second), workers=6, slots=36, jobs=jobs))
        estimate = history.estimate()
        run_seconds = estimate.run_seconds
        wait_seconds = (100 / (estimate.workers * SLOTS_PER_WORKER) - 1) * run_seconds
        self.assertLessEqual(wait_seconds, ACCEPTABLE_WAIT_SECONDS)
        self.assertGreater(wait_seconds, 0.3 * ACCEPTABLE_WAIT_SECONDS)


class SpreadTest(unittest.TestCase):
    def bounds(self, *counts: int, max_workers: int = 9) -> dict[ServiceZone, ZoneBounds]:
        return {
            service_zone: ZoneBounds(
                workers=count,
                min_workers=2,
                max_workers=max_workers,
                price=SCALING.zone_prices[service_zone.zone],
            )
            for service_zone, count in zip(BASELINES, counts, strict=True)
        }

    def test_cheap_zones_get_more_but_not_all_workers(self) -> None:
        counts = add_workers(self.bounds(2, 2, 2), 15)
        self.assertEqual(counts, {CHEAP: 6, MID_PRICE: 5, EXPENSIVE: 4})

    def test_full_zone_gets_no_more_workers(self) -> None:
        self.assertEqual(
            add_workers(self.bounds(4, 2, 2, max_workers=4), 99), dict.fromkeys(BASELINES, 4)
        )

    def test_most_expensive_worker_is_removed_first_within_the_minimum(self) -> None:
        self.assertEqual(remove_worker(self.bounds(3, 3, 3))[EXPENSIVE], 2)
        self.assertEqual(remove_worker(self.bounds(2, 2, 2)), BASELINES)


class FakeOwners:
    """Replies to the calls of a collector, except for silent owners."""

    def __init__(self) -> None:
        self.jobs: dict[NetworkAddress, tuple[JobSlotUsage, ...]] = {}
        self.silent: set[NetworkAddress] = set()

    async def call(
        self, address: NetworkAddress, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        assert isinstance(request, CollectPlaces)
        if address in self.silent:
            await asyncio.sleep(timeout_seconds)
            raise PeerUnavailableError(str(address))
        return PlacesReply(jobs=self.jobs[address])


class CollectorTest(unittest.TestCase):
    def test_last_reply_of_a_silent_owner_counts_for_a_while(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            near, far = (NetworkAddress(f"10.1.0.{number}", 7000) for number in (1, 2))
            owners = FakeOwners()
            owners.jobs = {near: (job(5, 2, "near"),), far: (job(7, 1, "far"),)}
            own = NetworkAddress("10.1.0.3", 7000)
            collector = DemandCollector(
                world.clock, owners, own, lambda: (job(1, 1, "own"),), lambda: [near, far, own]
            )

            async def collected_jobs() -> list[str]:
                return [found.batch_id for found in await collector.collect()]

            self.assertEqual(await collected_jobs(), ["far", "near", "own"])
            owners.silent.add(far)
            self.assertEqual(await collected_jobs(), ["far", "near", "own"])
            await asyncio.sleep(REPLY_LIFETIME_SECONDS)
            self.assertEqual(await collected_jobs(), ["near", "own"])

        run_in_world(scenario, node_count=1)


def start_with_scaling(world: ServingWorld) -> None:
    """Start the nodes with a configuration that enables scaling."""
    limits = msgspec.structs.replace(SCALING, maximum=9, zone_prices={"zone-1": 1.0})
    configuration = RoutingConfiguration(
        version=1, routes=(), limits=RequestLimits(), scaling=(limits,)
    )
    for node in world.nodes:
        node.node.apply_configuration(configuration)
        node.lead()


class WorkerCountControllerTest(unittest.TestCase):
    def test_stored_counts_of_an_earlier_release_are_restored(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            place = {"service": SERVICE, "zone": "zone-1"}
            old = msgspec.msgpack.encode({"places": [{"place": place, "ready": 5}]})
            await world.nodes[0].store.transact((), (Put(key=STORED_COUNTS_KEY, value=old),))
            start_with_scaling(world)
            await asyncio.sleep(REPLACEMENT_SECONDS + 4.0)
            (call,) = world.duties.calls
            self.assertEqual(call.count, WorkerCount(service=SERVICE, zone="zone-1", workers=5))

        run_in_world(scenario, worker_count=3, orders_workers=True)

    def test_leader_collects_demand_and_successor_keeps_the_count(self) -> None:
        """A batch job of another node exceeds the capacity; then the leader is killed."""

        async def scenario(world: ServingWorld) -> None:
            start_with_scaling(world)
            await asyncio.sleep(12.0)
            self.assertEqual(world.duties.calls, [])
            leader = next(n for n in world.nodes if n.leader.fence(world.clock.monotonic()))
            owner = next(n for n in world.nodes if n is not leader)
            spec = batch_spec(groups=100, group_size=8)
            await owner.batches.submit(spec)
            await asyncio.sleep(2.6)
            (call,) = world.duties.calls
            assert call.count is not None
            self.assertGreater(call.count.workers, 3)
            await leader.kill()
            await asyncio.sleep(12.0)
            later = {c.count.workers for c in world.duties.calls[1:] if c.count is not None}
            self.assertTrue(all(count >= call.count.workers for count in later))
            self.assertTrue(later)

        run_in_world(scenario, node_count=3, worker_count=3, orders_workers=True)

    def test_node_with_a_stale_fence_orders_nothing(self) -> None:
        """Its lease is still valid by its own clock, but the store has another leader."""

        async def scenario(world: ServingWorld) -> None:
            start_with_scaling(world)
            await asyncio.sleep(12.0)
            await world.nodes[0].batches.submit(batch_spec(groups=100, group_size=8))
            await asyncio.sleep(0.5)
            other = Put(key=LEADER_KEY, value=b"another leader")
            await world.nodes[0].store.transact((), (other,))
            await asyncio.sleep(3.0)
            self.assertEqual(world.duties.calls, [])

        run_in_world(scenario, node_count=1, orders_workers=True)


if __name__ == "__main__":
    unittest.main()
