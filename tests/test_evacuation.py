"""Evacuated zones: how nodes learn of them, and decisions that count capacity without them."""

import asyncio
import unittest
from unittest.mock import Mock

import msgspec
from drumbay_platform.feeds import NodeFeeds

from drumbay.admission.capacity import capacity_in_service
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

    def test_admission_counts_workers_in_service_only(self) -> None:
        """Others would admit requests that no worker takes."""

        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            world.workers.add("far", SERVICE, slots=40, zone=ZONE)
            node.directory.replace_all(world.workers.entries())
            node.node.evacuations.start(ZONE)
            records = node.directory.of_service(SERVICE)
            capacity = capacity_in_service(records, node.node.placement, 0.0)
            self.assertEqual((capacity.available_workers, capacity.max_in_flight), (1, 5))

        run_in_world(scenario, node_count=1, worker_count=1)

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

    def test_no_count_is_learnt_from_before_an_evacuation(self) -> None:
        """It began, and ends, while workers register."""
        planner = WorkerCountPlanner()
        for now, evacuated in ((0.0, frozenset[str]()), (1.0, {"far"}), (60.0, frozenset[str]())):
            workers = (ZoneWorkers(place=FAR, ready=1),)
            planner.plan(TWO_ZONES, workers, now, None, evacuated)
        self.assertEqual(planner.baselines, {})

    def test_the_leader_orders_for_demand_that_exceeds_the_workers_in_service(self) -> None:
        """Measured by all slots, those in service would seem idle."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.add("far", SERVICE, {MODEL: WeightVersion(1)}, slots=60, zone=ZONE)
            for node in world.nodes:
                node.directory.replace_all(world.workers.entries())
                node.node.evacuations.start(ZONE)
            start_with_scaling(world)
            await asyncio.sleep(BASELINE_WINDOW_SECONDS + 4.0)
            await world.nodes[0].batches.submit(batch_spec(groups=100, group_size=8))
            await asyncio.sleep(3.0)
            zones = {call.count.zone for call in world.duties.calls if call.count is not None}
            self.assertEqual(zones, {"zone-1"})

        run_in_world(scenario, node_count=1, orders_workers=True)


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

    def test_half_of_the_workers_in_service_load_before_half_of_the_others(self) -> None:
        """Already loaded workers of the evacuated zone do not count toward the half."""
        policy = LoadPolicy(min_concurrent_loads=10)
        near = ["near-0", "near-1", "near-2"]
        self.assertEqual(self.loads(2, policy), [*near, "far-0", "far-1"])
        for number in range(4):
            self.directory.observe_version(BackendId(f"far-{number}"), MODEL, WeightVersion(2), 0.0)
        self.assertEqual(self.loads(2, policy), near)

    def test_loads_take_no_larger_part_of_the_workers_in_service(self) -> None:
        loads = self.loads(3, LoadPolicy())
        self.assertEqual(loads, ["near-0", "near-1", "far-0", "far-1"])

    def test_the_evacuated_zone_waits_even_if_it_is_further_behind(self) -> None:
        """Its loads may fail again and again, and would keep those in service from starting."""
        for number in range(6):
            name = BackendId(f"near-{number}")
            self.directory.observe_version(name, MODEL, WeightVersion(8), 0.0)
        loads = self.loads(9, LoadPolicy(min_concurrent_loads=4))
        self.assertEqual(loads, ["near-0", "near-1", "near-2", "far-0"])

    def test_the_leader_counts_the_zone_apart_and_loads_there_too(self) -> None:
        """Counted together, the loaded workers of the zone would be the half."""

        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            for number in range(4):
                version = WeightVersion(1 if number == 0 else 2)
                world.workers.add(f"far-{number}", SERVICE, {MODEL: version}, zone=ZONE)
            node.directory.replace_all(world.workers.entries())
            node.lead()
            node.node.evacuations.start(ZONE)
            node.announced.announce(MODEL, WeightVersion(2))
            await asyncio.sleep(5.0)
            versions = [world.workers[f"worker-{n}"].versions[MODEL] for n in (1, 2, 3)]
            self.assertEqual(sorted(versions), [1, 1, 2])
            await asyncio.sleep(28.0)
            versions = [entry.versions[MODEL] for entry in world.workers.entries()]
            self.assertEqual(set(versions), {2})

        run_in_world(scenario, node_count=1)


if __name__ == "__main__":
    unittest.main()
