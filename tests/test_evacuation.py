"""Evacuated zones: how nodes learn of them, and decisions that count capacity without them."""

import asyncio
import unittest
from unittest.mock import Mock

import msgspec
from drumbay_platform.feeds import NodeFeeds

from drumbay.admission.records import Rejected, RejectionReason
from drumbay.batches.owners import OwnerTable, ServiceIdentity
from drumbay.batches.slot_sharing import SlotSharing
from drumbay.batches.worker_selector import WorkerSelector
from drumbay.forwarding.routes import ServiceUse
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.kv.interface import Delete, Put, WatchEvent
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import (
    CrashReport,
    Decision,
    RequestSuspected,
    WorkerKind,
)
from drumbay.scaling.planner import BASELINE_WINDOW_SECONDS, WorkerCountPlanner
from drumbay.scaling.records import ZoneWorkers
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.worker_pool import EmulatedWorkerPool
from drumbay.weights.version_planner import LoadPolicy, VersionPlanner
from drumbay.workers.directory import WorkerDirectory
from tests.serving_world import (
    MODEL,
    SERVICE,
    ServingWorld,
    WorldNode,
    batch_spec,
    run_in_world,
)
from tests.test_admission import CAPACITY, SLOTS, make_request, overloaded_admission
from tests.test_platform_entries import (
    CONFIGURATION,
    INVALID_ENTRIES,
    VALID_FIELDS,
    FeedDriver,
    encode,
)
from tests.test_scaling import FAR, NEAR
from tests.test_scaling import REPLACEMENT_SECONDS as SCALING_REPLACEMENT_SECONDS
from tests.test_scaling import SCALING as TWO_ZONES
from tests.test_store_follower import IN_FORCE_SECONDS, SilentStore
from tests.test_worker_demand import (
    BASELINES,
    CHEAP,
    STEP_BEYOND_CAPACITY,
    Replay,
    job,
    start_with_scaling,
)
from tests.test_worker_pace import FIRST, SECOND, THIRD, DirectoryTest

ZONE = "zone-2"
ENTRY = f"op/evacuate/{ZONE}"


def zones_of(node: WorldNode) -> frozenset[str]:
    return node.node.evacuations.zones


class EntryTest(unittest.TestCase):
    def test_an_entry_counts_whatever_its_value_says(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world)
            self.addCleanup(driver.close)
            for name, value in INVALID_ENTRIES.items():
                with self.subTest(name):
                    driver.write(ENTRY, value)
                    self.assertEqual(driver.node.evacuations.zones, {ZONE})
                    gone = WatchEvent(key=ENTRY, mod_revision=Revision(99), item=None)
                    driver.operator.on_event(gone)
                    self.assertEqual(driver.node.evacuations.zones, frozenset())
            self.assertEqual(driver.invalid_entry_logs(), [])
            self.assertIn(b"drumbay_serving_evacuated_zones 0.0", driver.node.metrics.render())
            driver.write(ENTRY, b"")
            self.assertIn(b"drumbay_serving_evacuated_zones 1.0", driver.node.metrics.render())

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_a_zone_that_does_not_exist_concerns_no_worker(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.nodes[0].node.evacuations.start("nowhere")
            records = world.nodes[0].directory.of_service(SERVICE)
            self.assertEqual(world.nodes[0].node.placement.eligible(records), records)

        run_in_world(scenario, node_count=1)

    def test_a_starting_node_knows_no_worker_before_the_evacuations(self) -> None:
        """The list of workers may arrive first, and the configuration before the evacuation."""

        async def scenario(world: ServingWorld) -> None:
            driver = FeedDriver(world, configuration=None)
            self.addCleanup(driver.close)
            known: list[tuple[int, frozenset[str]]] = []
            driver.node.directory.add_listener(
                lambda: known.append((len(driver.known_workers), driver.node.evacuations.zones))
            )
            worker = driver.item("servers/i-1", encode({**VALID_FIELDS, "zone": ZONE}))
            driver.workers.on_snapshot((worker,), 0.0)
            self.assertFalse(driver.node.is_initialized)
            configuration = driver.item("op/config", encode(CONFIGURATION))
            driver.operator.on_snapshot((configuration, driver.item(ENTRY, b"")), 0.0)
            self.assertEqual(driver.known_workers, ["i-1"])
            self.assertEqual({zones for count, zones in known if count}, {frozenset({ZONE})})

        run_in_world(scenario, node_count=1, worker_count=0)


class StoreTest(unittest.TestCase):
    """Nodes that follow the store while it, or the way to it, fails."""

    async def follow(self, world: ServingWorld, store: SilentStore | None = None) -> WorldNode:
        node = world.nodes[0] if store is None else WorldNode(world, 9, 0, store)
        for started in (world.nodes[1], node):
            started.node.start(NodeFeeds(started.node, 2.0).feeds())
        await asyncio.sleep(5.0)
        return node

    @staticmethod
    def ask(world: ServingWorld) -> None:
        world.model.transact((), (Put(key=ENTRY, value=b"{}"),))

    @staticmethod
    def take_back(world: ServingWorld) -> None:
        world.model.transact((), (Delete(key=ENTRY),))

    def test_a_node_cut_off_from_the_store_learns_through_others(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            store = SilentStore(world.model, world.clock)
            node = await self.follow(world, store)
            store.disconnect()
            self.ask(world)
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(zones_of(node), {ZONE})
            self.take_back(world)
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(zones_of(node), frozenset())

        run_in_world(scenario)

    def test_an_evacuation_holds_until_the_store_is_back(self) -> None:
        """The entry is gone already, but no node can know it."""

        async def scenario(world: ServingWorld) -> None:
            node = await self.follow(world)
            self.ask(world)
            await asyncio.sleep(IN_FORCE_SECONDS)
            world.model.set_faults(KeyValueFaults(outage=True))
            self.take_back(world)
            await asyncio.sleep(30.0)
            self.assertEqual(zones_of(node), {ZONE})
            world.model.set_faults(KeyValueFaults())
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(zones_of(node), frozenset())

        run_in_world(scenario)

    def test_a_snapshot_after_a_compaction_ends_an_evacuation(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = await self.follow(world)
            self.ask(world)
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(zones_of(node), {ZONE})
            world.model.set_faults(KeyValueFaults(watches_stalled=True))
            self.take_back(world)
            world.model.compact(world.model.revision)
            world.model.set_faults(KeyValueFaults())
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertEqual(zones_of(node), frozenset())

        run_in_world(scenario)

    def test_an_entry_that_comes_and_goes_leaves_nothing_behind(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = await self.follow(world)
            for pause_seconds in (0.0, 0.02, 0.4):
                self.ask(world)
                await asyncio.sleep(pause_seconds)
                self.take_back(world)
                await asyncio.sleep(1.0)
                self.assertEqual(zones_of(node), frozenset())

        run_in_world(scenario)


class CapacityTest(unittest.TestCase):
    def test_admission_rejects_queued_requests_that_no_worker_may_get(self) -> None:
        """The zones of their regions are evacuated; later, all zones are."""
        admission = overloaded_admission()
        here = AllowedRegions.of(["here"])
        for number in range(2 * SLOTS):
            regions = here if number % 2 else ANY_REGION
            request = make_request(f"r{number}", allowed_regions=regions)
            admission.try_admit(request, 0.0, CAPACITY)
        waiting = admission.queue_length
        capacity = msgspec.structs.replace(CAPACITY, regions=frozenset({"there"}))
        decisions = admission.dispatch(0.0, capacity)
        rejected = [decision for decision in decisions if isinstance(decision, Rejected)]
        self.assertTrue(rejected)
        self.assertEqual({decision.request.allowed_regions for decision in rejected}, {here})
        late = admission.try_admit(make_request("late", allowed_regions=here), 0.0, capacity)
        self.assertIsInstance(late, Rejected)
        capacity = msgspec.structs.replace(CAPACITY, regions=frozenset())
        for _ in range(SLOTS):
            admission.release()
        rejected += [d for d in admission.dispatch(0.0, capacity) if isinstance(d, Rejected)]
        reasons = {decision.reason for decision in rejected}
        self.assertEqual(reasons, {RejectionReason.NO_WORKER_IN_SERVICE})
        self.assertEqual(len(rejected), waiting)

    def test_a_batch_job_asks_for_slots_in_service_only(self) -> None:
        """Runs that end in the evacuated zone take no slot from those that start elsewhere."""

        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            world.workers.add("far", SERVICE, {MODEL: WeightVersion(1)}, slots=40, zone=ZONE)
            node.directory.replace_all(world.workers.entries())
            world.workers.long_texts = True
            for name in ("first", "second"):
                await node.batches.submit(batch_spec(name, groups=10))
            await asyncio.sleep(0.3)
            (usage, other) = node.batches.slot_usage()
            far = BackendId("far")
            self.assertGreater(usage.running.get(far, 0) + other.running.get(far, 0), 12)
            node.node.evacuations.start(ZONE)
            usage, other = node.batches.slot_usage()
            for found in (usage, other):
                in_service = sum(found.running.values()) - found.running.get(far, 0)
                self.assertEqual(found.startable, min(found.waiting, 12 - in_service))

        run_in_world(scenario, node_count=1)

    def test_competing_jobs_divide_the_slots_in_service(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            world.workers.add("far", SERVICE, {MODEL: WeightVersion(1)}, slots=40, zone=ZONE)
            node.directory.replace_all(world.workers.entries())
            owners = Mock(spec=OwnerTable)
            owners.identity = ServiceIdentity(address=node.address, boot="boot")
            usages = [job(9, 2, name) for name in ("first", "second")]
            jobs = [Mock(slot_usage=lambda u=u: u, last_slot_usage=u) for u in usages]
            sharing = SlotSharing(
                world.clock,
                node.directory,
                owners,
                Mock(spec=ServiceUse),
                node.node.placement,
                lambda addresses, notice: None,
                lambda: jobs,
                is_enabled=True,
            )
            node.node.evacuations.start(ZONE)
            contention = sharing.share_for(jobs[0], SERVICE).contention
            assert contention is not None
            self.assertEqual(contention.total_slots, 12)

        run_in_world(scenario, node_count=1)

    def test_the_quarantine_spares_the_last_workers_in_service(self) -> None:
        """Workers of an evacuated zone do not make up for one that the request crashed."""

        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            for number in range(4):
                world.workers.add(f"far-{number}", SERVICE, zone=ZONE)
            node.directory.replace_all(world.workers.entries())
            request = Fingerprint("request")
            crash = CrashReport(
                worker_id=BackendId("worker-1"),
                kind=WorkerKind(service=SERVICE, release=""),
                began_seconds_ago=9.0,
                ended_seconds_ago=8.0,
            )
            notice = RequestSuspected(fingerprint=request, deaths=(crash,))
            node.node.quarantine.handle_notice(notice)
            verdict = node.node.quarantine.verdict(request, SERVICE)
            self.assertEqual(verdict.decision, Decision.RUN)
            node.node.evacuations.start(ZONE)
            verdict = node.node.quarantine.verdict(request, SERVICE)
            self.assertEqual(verdict.decision, Decision.HOLD)

        run_in_world(scenario, node_count=1, worker_count=2)


class PaceTest(DirectoryTest):
    def test_workers_of_an_evacuated_zone_are_no_reference_for_the_pace(self) -> None:
        for worker_id in (SECOND, THIRD):
            self.observe(worker_id, [0.4] * 40)
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}

        def selector(in_service: frozenset[BackendId] | None) -> WorkerSelector:
            return WorkerSelector(
                batch_spec(), workers, WeightVersion(1), 0.0, in_service=in_service
            )

        self.assertAlmostEqual(selector(None).median_event_interval, 0.4, places=2)
        found = selector(frozenset({FIRST}))
        self.assertAlmostEqual(found.median_event_interval, 0.04, places=2)
        self.assertAlmostEqual(found.mean_event_interval, 0.04, places=2)
        self.assertTrue(found.is_slow(SECOND))
        self.assertFalse(selector(frozenset()).is_slow(SECOND))

    def test_no_run_moves_to_a_faster_worker_that_may_not_get_it(self) -> None:
        self.observe(SECOND, [0.4] * 40)
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        for allowances, target in (({}, FIRST), ({FIRST: 0}, THIRD), ({FIRST: 0, THIRD: 0}, None)):
            selector = WorkerSelector(
                batch_spec(), workers, WeightVersion(1), 0.0, start_allowances=allowances
            )
            self.assertEqual(selector.reserve_faster(SECOND), target)


class ScalingTest(unittest.TestCase):
    def test_other_zones_bear_the_demand_and_give_it_back(self) -> None:
        """The evacuated zone gets no order, neither more workers nor fewer."""
        replay = Replay()
        replay.play([(0, 30)] * 10)
        replay.evacuated = {"a"}
        orders = replay.play([(30, 24)] * 10)
        self.assertEqual({zone for _, zone, _ in orders}, {"b", "c"})
        self.assertGreater(replay.total(), sum(BASELINES.values()))
        replay.evacuated = set()
        orders = replay.play([(0, 0)] * 200)
        self.assertNotIn("a", {zone for _, zone, _ in orders})
        self.assertEqual(replay.ready, BASELINES)

    def test_demand_targets_of_an_evacuated_zone_stay(self) -> None:
        replay = Replay()
        replay.play(STEP_BEYOND_CAPACITY * 3)
        target = replay.ready[CHEAP]
        self.assertGreater(target, BASELINES[CHEAP])
        replay.evacuated = {"a"}
        orders = replay.play([(0, 0)] * 200)
        self.assertEqual({zone for _, zone, _ in orders}, {"b", "c"})
        self.assertEqual(replay.planner.demand_targets[CHEAP], target)

    def test_what_happens_to_an_evacuated_zone_changes_no_count(self) -> None:
        """Its workers fail, or new ones register; after the end missing ones are replaced."""
        planner = WorkerCountPlanner()
        planner.restore({NEAR: 3, FAR: 2})

        def plan(now: float, far: int, *evacuated: str) -> list[tuple[str, int]]:
            workers = (ZoneWorkers(place=NEAR, ready=3), ZoneWorkers(place=FAR, ready=far))
            orders = planner.plan(TWO_ZONES, workers, now, None, frozenset(evacuated))
            return [(order.zone, order.workers) for order in orders]

        plan(0.0, 2)
        plan(9.0, 1)
        for now in range(10, 60):
            self.assertEqual(plan(float(now), 1 if now < 40 else 4, "far"), [])
        self.assertEqual(planner.baselines, {NEAR: 3, FAR: 2})
        self.assertEqual(plan(60.0, 1), [])
        self.assertEqual(plan(60.0 + SCALING_REPLACEMENT_SECONDS - 0.1, 1), [])
        self.assertEqual(plan(60.0 + SCALING_REPLACEMENT_SECONDS, 1), [("far", 2)])

    def test_the_leader_replaces_no_worker_of_an_evacuated_zone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            start_with_scaling(world)
            await asyncio.sleep(BASELINE_WINDOW_SECONDS + 4.0)
            for node in world.nodes:
                node.node.evacuations.start("zone-1")
                node.directory.replace_all(world.workers.entries()[:2])
            await asyncio.sleep(20.0)
            self.assertEqual(world.duties.calls, [])
            for node in world.nodes:
                node.node.evacuations.end("zone-1")
            await asyncio.sleep(20.0)
            self.assertTrue(world.duties.calls)

        run_in_world(scenario, orders_workers=True)


class VersionLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        pool = EmulatedWorkerPool(SimulationClock())
        for number in range(6):
            pool.add(f"near-{number}", SERVICE, {MODEL: WeightVersion(1)})
        for number in range(4):
            pool.add(f"far-{number}", SERVICE, {MODEL: WeightVersion(1)}, zone=ZONE)
        self.directory = WorkerDirectory()
        self.directory.replace_all(pool.entries())

    def loads(self, newest: int, policy: LoadPolicy) -> list[str]:
        records = self.directory.all_records().values()
        announced = {MODEL: WeightVersion(newest)}
        loads = VersionPlanner(policy).plan(announced, records, 0.0, frozenset({ZONE}))
        return [load.worker_id for load in loads]

    def test_half_of_the_workers_in_service_load_first(self) -> None:
        """Already loaded workers of the evacuated zone do not count toward the half."""
        for number in range(4):
            self.directory.observe_version(BackendId(f"far-{number}"), MODEL, WeightVersion(2), 0.0)
        policy = LoadPolicy(min_concurrent_loads=10)
        self.assertEqual(self.loads(2, policy), ["near-0", "near-1", "near-2"])

    def test_the_evacuated_zone_gets_versions_too(self) -> None:
        policy = LoadPolicy(min_concurrent_loads=10)
        near, far = self.loads(2, policy)[:3], self.loads(2, policy)[3:]
        self.assertEqual(near, ["near-0", "near-1", "near-2"])
        self.assertEqual(far, ["far-0", "far-1"])

    def test_loads_take_no_larger_part_of_the_workers_in_service(self) -> None:
        loads = self.loads(3, LoadPolicy())
        self.assertEqual(loads, ["near-0", "near-1", "far-0", "far-1"])

    def test_the_leader_loads_versions_in_an_evacuated_zone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
                node.node.evacuations.start("zone-1")
            await asyncio.sleep(1.0)
            for node in world.nodes:
                node.announced.announce(MODEL, WeightVersion(2))
            await asyncio.sleep(33.0)
            versions = {entry.versions[MODEL] for entry in world.workers.entries()}
            self.assertEqual(versions, {2})

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
