"""Worker counts by demand: tables of what batch jobs hold and want, replayed by second."""

import asyncio
import unittest
from collections.abc import Iterable
from itertools import pairwise

import msgspec

from drumbay.batches.places import JobPlaces
from drumbay.batches.records import BatchId
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.duties.interface import DutyOutcome, WorkerCount
from drumbay.forwarding.routes import RequestLimits, RoutingConfiguration
from drumbay.identifiers import BackendId
from drumbay.kv.interface import Put
from drumbay.ownership.leader import CURRENT_KEY
from drumbay.peers.messages import CollectPlaces, PeerReply, PeerRequest, PlacesReply
from drumbay.peers.transport import PeerUnavailableError
from drumbay.scaling.collector import REPLY_LIFETIME_SECONDS, PlacesCollector
from drumbay.scaling.demand import (
    ACCEPTABLE_WAIT_SECONDS,
    CALM_SECONDS,
    DemandHistory,
    PlacesSample,
    WorkerNeed,
)
from drumbay.scaling.keeper import STANDING_KEY
from drumbay.scaling.planner import (
    GIVE_BACK_SECONDS,
    REPLACE_MARGIN_SECONDS,
    WorkerCountPlanner,
)
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from drumbay.scaling.spread import ZoneRoom, add_workers, remove_worker
from tests.serving_world import MODEL, SERVICE, ServingWorld, batch_spec, play

SLOTS = 6
CHEAP, MIDDLE, DEAR = (ServiceZone(SERVICE, zone) for zone in ("a", "b", "c"))
SCALING = ServiceScaling(
    service=SERVICE,
    minimum=1,
    maximum=6,
    boot_seconds=4.0,
    zone_prices={"a": 0.8, "b": 1.0, "c": 1.25},
)
PATIENCE_SECONDS = SCALING.boot_seconds + REPLACE_MARGIN_SECONDS
STANDING = {CHEAP: 2, MIDDLE: 2, DEAR: 2}


def job(waiting: int, running: int, name: str = "step") -> JobPlaces:
    return JobPlaces(
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
    """Plays a table of demand, a row a second, to planner and history; workers come as ordered."""

    def __init__(self) -> None:
        self.planner = WorkerCountPlanner()
        self.planner.restore(STANDING)
        self.history = DemandHistory()
        self.ready = dict(STANDING)
        self.lost: set[ServiceZone] = set()
        self.outcomes: list[DutyOutcome] = []
        self.boots: list[tuple[float, ServiceZone, int]] = []
        self.now = 0.0

    def play(self, rows: Iterable[tuple[int, int]]) -> list[tuple[float, str, int]]:
        """Return the orders for rows of waiting and running items."""
        orders: list[tuple[float, str, int]] = []
        for waiting, running in rows:
            for _, place, count in [boot for boot in self.boots if boot[0] <= self.now]:
                self.ready[place] = count
            self.boots = [boot for boot in self.boots if boot[0] > self.now]
            for place in self.lost:
                self.ready[place] = 0
            workers = sum(self.ready.values())
            jobs = (job(waiting, running),) if waiting or running else ()
            sample = PlacesSample(at=self.now, workers=workers, places=SLOTS * workers, jobs=jobs)
            self.history.observe(sample)
            there = [ZoneWorkers(place=p, ready=n) for p, n in sorted(self.ready.items())]
            for order in self.planner.plan(SCALING, there, self.now, self.history.need()):
                orders.append((self.now, order.zone, order.workers))
                self._answer(order)
            self.now += 1.0
        return orders

    def _answer(self, order: WorkerCount) -> None:
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.ACCEPTED
        self.planner.note_outcome(order, outcome, self.now)
        if outcome is DutyOutcome.ACCEPTED:
            place = ServiceZone(order.service, order.zone)
            delay = SCALING.boot_seconds if order.workers > self.ready[place] else 0.0
            self.boots.append((self.now + delay, place, order.workers))

    def total(self) -> int:
        return sum(self.ready.values())


STEP_WITH_ROOM = [(0, 30), (0, 12), (0, 2), (0, 0)]
"""A step each 4 s that the 36 places take at once."""

STEP_BEYOND_ROOM = [(64, 36), (40, 36), (20, 36), (2, 36)]
"""Steps of 64 and more items follow each other: there is always work that waits."""


class DemandReplayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replay = Replay()

    def test_steps_with_room_order_nothing(self) -> None:
        self.assertEqual(self.replay.play(STEP_WITH_ROOM * 40), [])

    def test_a_wait_that_one_sample_saw_orders_nothing(self) -> None:
        self.assertEqual(self.replay.play([(50, 36), (0, 20), (0, 4), (0, 0)] * 20), [])

    def test_items_that_wait_while_places_are_free_order_nothing(self) -> None:
        self.assertEqual(self.replay.play([(40, 10)] * 30), [])

    def test_steps_that_outgrow_the_room_get_workers_in_one_large_step(self) -> None:
        orders = self.replay.play(STEP_BEYOND_ROOM)
        at_once = [count for at, _, count in orders if at == 1.0]
        self.assertEqual(len(at_once), len(STANDING))
        self.assertGreater(sum(at_once), 1.5 * sum(STANDING.values()))
        asked_for = self.replay.planner.wanted_of(SCALING)
        self.assertLess(asked_for, 1.25 * sum(at_once))
        self.assertLess(asked_for, 100 / SLOTS)
        self.assertEqual(self.replay.play(STEP_WITH_ROOM * 2), [])
        self.assertEqual(self.replay.total(), asked_for)

    def test_a_larger_lack_is_met_up_to_the_maximum_only(self) -> None:
        self.replay.play([(1000, 36)] * 20)
        self.assertEqual(self.replay.ready, dict.fromkeys(STANDING, SCALING.maximum))

    def test_workers_are_given_back_one_at_a_time_long_after_demand_has_ended(self) -> None:
        self.replay.play(STEP_BEYOND_ROOM)
        raised = self.replay.planner.wanted_of(SCALING)
        calm_rows = int(CALM_SECONDS)
        self.assertEqual(self.replay.play([(0, 0)] * (calm_rows - 4)), [])
        orders = self.replay.play([(0, 0)] * 200)
        times = [at for at, _, _ in orders]
        self.assertEqual(len(orders), raised - sum(STANDING.values()))
        gaps = [later - before for before, later in pairwise(times)]
        self.assertGreaterEqual(min(gaps), GIVE_BACK_SECONDS)
        self.assertEqual(self.replay.ready, STANDING)

    def test_a_pause_between_steps_gives_nothing_back(self) -> None:
        self.replay.play(STEP_BEYOND_ROOM)
        rows = [*STEP_BEYOND_ROOM, *[(0, 0)] * 40]
        orders = self.replay.play(rows * 5)
        for zone in "abc":
            counts = [count for _, ordered_zone, count in orders if ordered_zone == zone]
            self.assertEqual(counts, sorted(counts))

    def test_a_zone_that_is_lost_is_made_up_for_in_the_others(self) -> None:
        self.replay.lost.add(CHEAP)
        early = self.replay.play([(30, 24)] * int(PATIENCE_SECONDS))
        before = self.replay.planner.wanted_of(SCALING)
        late = self.replay.play([(30, 24)] * 4)
        self.assertGreater(self.replay.planner.wanted_of(SCALING), before, (early, late))
        self.assertIn("a", {zone for _, zone, _ in late})
        self.assertGreater(self.replay.ready[MIDDLE] + self.replay.ready[DEAR], 4)

    def test_an_order_without_an_answer_is_repeated_unchanged_until_it_is_accepted(self) -> None:
        self.replay.outcomes = [DutyOutcome.UNANSWERED] * 3
        first = self.replay.play([(50, 36)] * 2)
        self.assertEqual([(at, zone) for at, zone, _ in first], [(1.0, zone) for zone in "abc"])
        repeated = self.replay.play([(400, 36)])
        self.assertEqual([order[1:] for order in repeated], [order[1:] for order in first])
        self.replay.play([(400, 36)] * 3)
        self.assertEqual(self.replay.planner.wanted_of(SCALING), SCALING.maximum * len(STANDING))

    def test_an_order_that_was_refused_may_change_before_it_is_given_again(self) -> None:
        self.replay.outcomes = [DutyOutcome.DEFERRED] * 3
        self.replay.play([(50, 36)] * 2)
        orders = self.replay.play([(400, 36)] * 3)
        last = {zone: count for _, zone, count in orders}
        self.assertEqual(last, dict.fromkeys("abc", SCALING.maximum))


class SuccessorTest(unittest.TestCase):
    def test_a_successor_keeps_what_was_ordered_apart_from_what_stood(self) -> None:
        replay = Replay()
        replay.play(STEP_BEYOND_ROOM * 3)
        raised = replay.planner.raised
        successor = WorkerCountPlanner()
        successor.restore(replay.planner.standing, raised)
        replay.planner = successor
        replay.history = DemandHistory()
        self.assertEqual(replay.play([(0, 0)] * 20), [])
        self.assertEqual(successor.standing, STANDING)
        self.assertEqual(successor.raised, raised)


class NeedTest(unittest.TestCase):
    def need_after(self, run_seconds: float) -> WorkerNeed:
        """Return the need where 36 places are always held for runs of a length."""
        history = DemandHistory()
        ended_a_second = round(36 / run_seconds)
        waiting = 4000
        for second in range(30):
            waiting -= ended_a_second
            jobs = (job(waiting % 400 + 100, 36, f"step-{waiting // 400}"),)
            history.observe(PlacesSample(at=float(second), workers=6, places=36, jobs=jobs))
        return history.need()

    def test_longer_runs_need_more_workers_for_the_same_wait(self) -> None:
        short, long = self.need_after(0.25), self.need_after(2.0)
        self.assertLess(short.run_seconds, 0.5)
        self.assertGreater(long.run_seconds, 1.4)
        self.assertLess(short.workers, long.workers)

    def test_the_last_item_of_a_peak_begins_after_the_acceptable_wait(self) -> None:
        history = DemandHistory()
        for second in range(2):
            jobs = (job(64, 36),)
            history.observe(PlacesSample(at=float(second), workers=6, places=36, jobs=jobs))
        need = history.need()
        run_seconds = need.run_seconds
        wait_seconds = (100 / (need.workers * SLOTS) - 1) * run_seconds
        self.assertLessEqual(wait_seconds, ACCEPTABLE_WAIT_SECONDS)
        self.assertGreater(wait_seconds, 0.3 * ACCEPTABLE_WAIT_SECONDS)


class SpreadTest(unittest.TestCase):
    def rooms(self, *counts: int, most: int = 9) -> dict[ServiceZone, ZoneRoom]:
        return {
            place: ZoneRoom(
                workers=count, fewest=2, most=most, price=SCALING.zone_prices[place.zone]
            )
            for place, count in zip(STANDING, counts, strict=True)
        }

    def test_cheap_zones_get_more_and_no_zone_gets_all(self) -> None:
        counts = add_workers(self.rooms(2, 2, 2), 15)
        self.assertEqual(counts, {CHEAP: 6, MIDDLE: 5, DEAR: 4})

    def test_a_full_zone_gets_no_more(self) -> None:
        self.assertEqual(add_workers(self.rooms(4, 2, 2, most=4), 99), dict.fromkeys(STANDING, 4))

    def test_the_dearest_worker_goes_first_and_none_that_is_kept(self) -> None:
        self.assertEqual(remove_worker(self.rooms(3, 3, 3))[DEAR], 2)
        self.assertEqual(remove_worker(self.rooms(2, 2, 2)), STANDING)


class FakeOwners:
    """Answers calls of a collector; silent owners do not."""

    def __init__(self) -> None:
        self.jobs: dict[NetworkAddress, tuple[JobPlaces, ...]] = {}
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
    def test_a_silent_owner_counts_for_a_while_with_what_it_told_last(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            near, far = (NetworkAddress(f"10.1.0.{number}", 7000) for number in (1, 2))
            owners = FakeOwners()
            owners.jobs = {near: (job(5, 2, "near"),), far: (job(7, 1, "far"),)}
            own = NetworkAddress("10.1.0.3", 7000)
            collector = PlacesCollector(
                world.clock, owners, own, lambda: (job(1, 1, "own"),), lambda: [near, far, own]
            )

            async def told() -> list[str]:
                return [found.batch_id for found in await collector.collect()]

            self.assertEqual(await told(), ["far", "near", "own"])
            owners.silent.add(far)
            self.assertEqual(await told(), ["far", "near", "own"])
            await asyncio.sleep(REPLY_LIFETIME_SECONDS)
            self.assertEqual(await told(), ["near", "own"])

        play(scenario, node_count=1)


def start_with_bounds(world: ServingWorld) -> None:
    """Start the nodes with a configuration that lets them order workers."""
    limits = msgspec.structs.replace(SCALING, maximum=9, zone_prices={"zone-1": 1.0})
    configuration = RoutingConfiguration(
        version=1, routes=(), limits=RequestLimits(), scaling=(limits,)
    )
    for node in world.nodes:
        node.node.apply_configuration(configuration)
        node.lead()


class KeeperTest(unittest.TestCase):
    def test_a_record_of_an_earlier_release_is_taken_up(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            place = {"service": SERVICE, "zone": "zone-1"}
            old = msgspec.msgpack.encode({"places": [{"place": place, "ready": 5}]})
            await world.nodes[0].store.transact((), (Put(key=STANDING_KEY, value=old),))
            start_with_bounds(world)
            await asyncio.sleep(PATIENCE_SECONDS + 4.0)
            (call,) = world.duties.calls
            self.assertEqual(call.count, WorkerCount(service=SERVICE, zone="zone-1", workers=5))

        play(scenario, worker_count=3, orders_workers=True)

    def test_a_leader_asks_the_owners_and_a_successor_keeps_the_count(self) -> None:
        """A batch job at another node outgrows the workers; then the leader ends."""

        async def scenario(world: ServingWorld) -> None:
            start_with_bounds(world)
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

        play(scenario, node_count=3, worker_count=3, orders_workers=True)

    def test_a_node_whose_fence_no_longer_holds_in_the_store_orders_nothing(self) -> None:
        """Its lease still runs by its own clock, but the store has another leader."""

        async def scenario(world: ServingWorld) -> None:
            start_with_bounds(world)
            await asyncio.sleep(12.0)
            await world.nodes[0].batches.submit(batch_spec(groups=100, group_size=8))
            await asyncio.sleep(0.5)
            other = Put(key=CURRENT_KEY, value=b"another leader")
            await world.nodes[0].store.transact((), (other,))
            await asyncio.sleep(3.0)
            self.assertEqual(world.duties.calls, [])

        play(scenario, node_count=1, orders_workers=True)


if __name__ == "__main__":
    unittest.main()
