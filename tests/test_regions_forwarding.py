"""Requests stay in their allowed regions, and prefer near workers and nodes.

Guards against a request, or its repeat, that reaches a worker outside the regions of its route,
tenant or batch job; against waits for the capacity of other regions; and against ways that are
counted twice or not at all.
"""

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable
from unittest.mock import patch

import msgspec

from drumbay.batches.decisions import StartLimits, StartRun
from drumbay.batches.scheduler import BatchScheduler
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import Execution
from drumbay.forwarding.attempts import MAX_REFUSALS_PER_ADMISSION
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import ForwardingError, NoWorkerError, ResponseLostError
from drumbay.forwarding.routes import RequestLimits, Route, RouteTable, RoutingConfiguration
from drumbay.forwarding.worker_choice import CROSS_REGION_SECONDS
from drumbay.forwarding.worker_picker import SendCriteria, WorkerPicker
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.kv.interface import KeyValue, WatchEvent
from drumbay.peers.directory import NODE_PREFIX, NodeEntry, PeerDirectory
from drumbay.peers.watchers import NODES_PER_WATCHER, RegisteredNode, WatcherRanking
from drumbay.placement.regions import ANY_REGION, AllowedRegions, any_region
from drumbay.placement.topology import Topology
from drumbay.tenants.records import KeyTable, Tenant, TenantName
from drumbay.workers.records import Worker as WorkerEntry
from drumbay.workers.records import (
    WorkerNotEligibleError,
    WorkerResponse,
    WorkerState,
)
from tests.serving_world import (
    SCORING_SERVICE,
    SERVICE,
    ServingWorld,
    batch_spec,
    read_all,
    reward_id,
    run_in_world,
)
from tests.test_forwarding import LOOKUPS, forwarder_of, request, route

HERE, THERE = AllowedRegions.of(["here"]), AllowedRegions.of(["there"])
TOPOLOGY = Topology(zone="here-1", regions={"here-1": "here", "here-2": "here", "there-1": "there"})
WORKERS = {"here-1": 2, "here-2": 1, "there-1": 2, "unlisted": 1}
TENANT = TenantName("tenant")
PROMPT_SECONDS = 0.01
"""Longest time in which a request that is rejected at once may end."""


def address(number: int) -> NetworkAddress:
    return NetworkAddress(f"10.0.{number // 200}.{number % 200}", 7000)


async def never_admit(ticket: object) -> None:
    """Stand in for an admission queue that does not move."""
    del ticket
    await asyncio.Event().wait()


class RegionsTest(unittest.TestCase):
    """One node in ``here-1`` with workers in two regions and in a zone without a region."""

    attempts = 3

    def start(self, world: ServingWorld) -> None:
        for zone, count in WORKERS.items():
            for number in range(count):
                world.workers.add(f"{zone}/{number}", LOOKUPS, zone=zone)
        self.world = world
        self.forwarder: Forwarder = forwarder_of(world.clock, world.workers)
        self.routes = RouteTable()
        self.forwarder._routes = self.routes
        self.placement = self.forwarder.caller._placement
        self.placement.topology = TOPOLOGY
        self.placement._metrics = self.forwarder.metrics
        self.configure(1, HERE)

    def configure(
        self, version: int, regions: AllowedRegions, tenant_regions: AllowedRegions = ANY_REGION
    ) -> Route:
        configured = msgspec.structs.replace(route(attempts=self.attempts), allowed_regions=regions)
        tenant = Tenant(name=TENANT, key_digests=(), allowed_regions=tenant_regions)
        self.routes.apply(
            RoutingConfiguration(
                version=version,
                routes=(configured,),
                limits=RequestLimits(),
                keys=KeyTable.of([tenant]),
            )
        )
        return configured

    async def forward(
        self, name: str = "r", allowed_regions: Callable[[], AllowedRegions] = any_region
    ) -> WorkerResponse:
        assert self.routes.current is not None
        sent = msgspec.structs.replace(
            request(name, 1.5), tenant=TENANT, allowed_regions=allowed_regions
        )
        return await self.forwarder.forward(self.routes.current.routes[0], sent)

    async def assert_rejected(self, within_seconds: float = PROMPT_SECONDS) -> NoWorkerError:
        started_at = self.world.clock.monotonic()
        with self.assertRaises(NoWorkerError) as caught:
            await self.forward("rejected")
        self.assertLessEqual(self.world.clock.monotonic() - started_at, within_seconds)
        self.assertIs(caught.exception.execution, Execution.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after_seconds)
        self.assertEqual(self.world.workers.runs_of("rejected"), [])
        return caught.exception

    def zones_of_runs(self) -> set[str]:
        return {run.worker_id.split("/")[0] for run in self.world.workers.runs}

    def workers_in(self, *zones: str) -> list[str]:
        return [f"{zone}/{number}" for zone in zones for number in range(WORKERS[zone])]


class ForwardingTest(RegionsTest):
    def test_retries_and_hedges_stay_in_the_regions(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            for name in self.workers_in("here-1", "here-2"):
                setattr(world.workers[name].faults, *case)
            for number in range(10):
                with contextlib.suppress(ForwardingError):
                    await self.forward(f"r{number}")
            self.assertGreater(len(world.workers.runs), 10)
            self.assertLessEqual(self.zones_of_runs(), {"here-1", "here-2"})
            counted = self.forwarder.metrics.render().decode()
            self.assertNotIn("ineligible_workers_total{", counted, "chosen, then not sent")

        for case in (("failing", True), ("slowdown", 10.0)):
            with self.subTest(case[0]):
                run_in_world(scenario)

    def test_change_between_choice_and_send_is_obeyed(self) -> None:
        choose = WorkerPicker.choose

        def choose_then_change(picker: WorkerPicker, criteria: SendCriteria, now: float) -> object:
            chosen = choose(picker, criteria, now)
            self.configure(2, THERE)
            return chosen

        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            with patch.object(WorkerPicker, "choose", choose_then_change):
                await self.forward()
            self.assertEqual(self.zones_of_runs(), {"there-1"})

        run_in_world(scenario)

    def test_hedge_after_a_change_goes_by_the_new_regions(self) -> None:
        both = AllowedRegions.of(["here", "there"])

        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            self.configure(2, HERE if changes_route else both)
            for name in self.workers_in("here-1", "here-2"):
                world.workers[name].faults.slowdown = 100.0
            regions = both if changes_route else HERE
            answer = asyncio.ensure_future(self.forward(allowed_regions=lambda: regions))
            await asyncio.sleep(0.01)
            regions = THERE
            self.configure(3, THERE if changes_route else both)
            await answer
            first, second = world.workers.runs_of("r")
            self.assertTrue(first.worker_id.startswith("here"))
            self.assertTrue(second.worker_id.startswith("there"))

        for changes_route in (True, False):
            with self.subTest(changes_route=changes_route):
                run_in_world(scenario)

    def test_repeat_after_a_closed_connection_goes_by_the_regions_then(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            self.attempts = 1
            for name in self.workers_in(*WORKERS):
                faults = world.workers[name].faults
                faults.closes_idle_connections, faults.slowdown = True, 3.0
                world.workers.idle_connections.add(BackendId(name))
            self.configure(2, HERE)
            answer = asyncio.ensure_future(self.forward("stays"))
            await answer
            self.assertEqual(len(world.workers.runs_of("stays")), 2)
            answer = asyncio.ensure_future(self.forward("leaves"))
            await asyncio.sleep(0.01)
            self.configure(3, THERE)
            with self.assertRaises(ResponseLostError):
                await answer
            self.assertEqual(len(world.workers.runs_of("leaves")), 1)

        run_in_world(scenario)

    def test_route_and_tenant_both_bind(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            self.configure(2, ANY_REGION, THERE)
            await self.forward()
            self.assertEqual(self.zones_of_runs(), {"there-1"})
            self.configure(3, HERE, THERE)
            await self.assert_rejected()
            self.configure(4, AllowedRegions.of(["nowhere"]))
            await self.assert_rejected()
            with self.assertRaises(WorkerNotEligibleError):
                worker = world.workers["unlisted/0"].worker
                self.placement.admit(worker, AllowedRegions(frozenset({"", "here"})), "r")

        run_in_world(scenario)

    def test_regions_stay_in_force_when_the_route_or_the_tenant_is_removed(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            both = AllowedRegions.of(["here", "there"])
            self.configure(2, both, HERE)
            assert self.routes.current is not None
            current = self.routes.current

            def regions(version: int, **changes: object) -> AllowedRegions:
                changed = msgspec.structs.replace(current, version=version, **changes)
                self.routes.apply(changed)
                return self.routes.regions_in_force("lookups", TENANT, HERE)

            self.assertEqual(regions(3, keys=KeyTable.of([])), HERE)
            self.assertEqual(regions(4, keys=None), HERE)
            self.assertEqual(regions(5, routes=()), HERE)
            other = KeyTable.of([Tenant(name=TENANT, key_digests=(), allowed_regions=THERE)])
            self.assertEqual(regions(6, keys=other), THERE)
            none = regions(7, keys=other, routes=())
            self.assertTrue(none.is_empty)
            self.assertEqual(AllowedRegions.of(none.names()), none, "not recorded as unrestricted")

        run_in_world(scenario)

    def test_all_routes_of_one_name_bind(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            for version, hosts in ((2, ("first", "second")), (4, ("second", "first"))):
                configured = self.configure(version, HERE)
                assert self.routes.current is not None
                routes = tuple(
                    msgspec.structs.replace(configured, host=host, allowed_regions=regions)
                    for host, regions in zip(hosts, (HERE, ANY_REGION), strict=True)
                )
                changed = msgspec.structs.replace(
                    self.routes.current, version=version + 1, routes=routes
                )
                self.routes.apply(changed)
                for each in routes:
                    self.assertEqual(self.routes.allowed_regions(each, TENANT), HERE)

        run_in_world(scenario)


class CapacityTest(RegionsTest):
    """Capacity of other regions doesn't make a restricted request wait."""

    def pause(self, worker: WorkerEntry) -> None:
        self.forwarder.directory.pause(worker.worker_id, self.world.clock.monotonic(), 10.0)

    def drain(self, worker: WorkerEntry) -> None:
        draining = msgspec.structs.replace(worker, state=WorkerState.DRAINING)
        self.forwarder.directory.put(draining)

    def leave(self, worker: WorkerEntry) -> None:
        self.forwarder.directory.remove(worker.worker_id)

    def test_request_is_rejected_at_once_without_a_ready_worker_in_its_regions(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            for name in self.workers_in("here-1", "here-2"):
                change(world.workers[name].worker)
            with patch("drumbay.admission.gate.AdmissionTicket.acquire", never_admit):
                await self.assert_rejected()

        for change in (self.drain, self.leave):
            with self.subTest(change.__name__):
                run_in_world(scenario)

    def test_full_region_is_waited_for_and_others_are_not_used(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            near = self.workers_in("here-1", "here-2")
            for name in near:
                world.workers[name].faults.full = True
            error = await self.assert_rejected(within_seconds=0.75)
            self.assertEqual(world.workers.runs, [])
            self.assertLess(error.retry_after_seconds or 0.0, 1.0)

        run_in_world(scenario)

    def test_more_refusals_than_an_admission_allows_do_not_end_the_wait(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            added = [f"added/{number}" for number in range(MAX_REFUSALS_PER_ADMISSION + 2)]
            for name in added:
                world.workers.add(name, LOOKUPS, zone="here-2")
            near = added + self.workers_in("here-1", "here-2")
            for name in near:
                world.workers[name].faults.full = True
            self.forwarder.directory.replace_all(world.workers.entries())
            answer = asyncio.ensure_future(self.forward())
            await asyncio.sleep(0.2)
            for name in near:
                world.workers[name].faults.full = False
            await answer
            self.assertTrue(all(run.worker_id in near for run in world.workers.runs))

        run_in_world(scenario)

    def test_queued_request_ends_when_its_workers_leave_or_drain_or_stay_paused(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            answer = asyncio.ensure_future(self.assert_rejected(within_seconds=0.3))
            await asyncio.sleep(0.2)
            self.assertFalse(answer.done())
            for name in self.workers_in("here-1", "here-2"):
                change(world.workers[name].worker)
            await asyncio.wait_for(answer, 1.0)

        for change in (self.pause, self.drain, self.leave):
            with (
                self.subTest(change.__name__),
                patch("drumbay.admission.gate.AdmissionTicket.acquire", never_admit),
            ):
                run_in_world(scenario)


class RewardTest(unittest.TestCase):
    """Reward requests are bound by their batch job's regions."""

    def test_scores_come_from_the_regions_of_the_batch_job(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            (node,) = world.nodes
            node.node.placement.topology = Topology(
                zone="zone-1", regions={"zone-1": "here", "zone-2": "there"}
            )
            for number in range(4):
                world.workers.add(f"far-{number}", SCORING_SERVICE, zone="zone-2")
                world.workers.idle_connections.add(BackendId(f"far-{number}"))
            world.workers["scorer-1"].faults.slowdown = 3.0
            node.directory.replace_all(world.workers.entries())
            spec = msgspec.structs.replace(batch_spec(scored=True), allowed_regions=("here",))
            await node.batches.submit(spec)
            results = await read_all(node.batches, spec.batch_id)
            self.assertTrue(all(result.reward is not None for result in results))
            for item in spec.items:
                runs = world.workers.runs_of(reward_id(item.item_id))
                self.assertEqual({run.worker_id for run in runs}, {"scorer-1"})

        run_in_world(scenario, node_count=1, scorer_count=1)


class DistanceTest(RegionsTest):
    """Near workers and nodes are preferred."""

    def test_lookups_stay_near_while_near_workers_are_free(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            self.configure(2, ANY_REGION)
            for name in self.workers_in("here-1", "unlisted"):
                self.forwarder.directory.remove(BackendId(name))
            for number in range(20):
                await self.forward(f"r{number}")
            self.assertNotIn("there-1", self.zones_of_runs())
            await asyncio.gather(*(self.forward(f"many{number}") for number in range(40)))
            self.assertIn("there-1", self.zones_of_runs())

        run_in_world(scenario)

    def test_way_is_not_learnt_as_the_pace_of_a_worker(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            for name in self.workers_in("there-1"):
                # Slower by just the way.
                world.workers[name].faults.slowdown = 1.0 + CROSS_REGION_SECONDS / 0.03
            for number in range(9):
                self.forwarder.hedge_timing.observe(route().name, 0.03 + number * 0.0001)
            self.configure(2, THERE)
            for number in range(4):
                await self.forward(f"r{number}")
            now = world.clock.monotonic()
            for name in self.workers_in("there-1"):
                record = self.forwarder.directory.get(BackendId(name))
                assert record is not None
                self.assertAlmostEqual(record.response_stats.relative_latency(now), 1.0, delta=0.1)

        run_in_world(scenario)

    def test_items_prefer_near_workers_only_if_about_equal(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            directory = world.nodes[0].directory
            workers = {r.worker.worker_id: r for r in directory.of_service(SERVICE)}
            limits = StartLimits(distant_workers=frozenset(w for w in workers if w != "worker-3"))

            def first_worker() -> str:
                scheduler = BatchScheduler(batch_spec(groups=1, group_size=1), 0.0, ())
                (start,) = scheduler.plan(workers, WeightVersion(1), 0.0, limits)
                assert isinstance(start, StartRun)
                return start.worker_id

            self.assertEqual(first_worker(), "worker-3")
            workers[BackendId("worker-3")].expected_tokens = 100
            self.assertNotEqual(first_worker(), "worker-3")

        run_in_world(scenario)


class NodesTest(unittest.TestCase):
    """Followers and relayed store calls."""

    @staticmethod
    def ranking(count: int) -> WatcherRanking:
        return WatcherRanking.of(
            RegisteredNode(registered_at=Revision(number), address=address(number))
            for number in range(count)
        )

    def test_followers_prefer_near_watchers_evenly(self) -> None:
        ranking = self.ranking(60)
        near = {address(number) for number in range(60) if number % 3 != 1}
        choices = [
            ranking.sources_for(node, near.__contains__)
            for node in ranking.nodes[3:]
            if node in near
        ]
        counts = [[order[0] for order in choices].count(watcher) for watcher in ranking.watchers]
        self.assertEqual((sum(counts), counts[1]), (len(choices), 0))
        self.assertLessEqual(abs(counts[0] - counts[2]), 1)
        self.assertTrue(all(order[-1] == ranking.watchers[1] for order in choices))

    def test_one_watcher_of_a_large_region_is_not_overloaded(self) -> None:
        ranking = self.ranking(2 * NODES_PER_WATCHER)
        near = {ranking.watchers[0], *ranking.nodes[3:]}
        first = [ranking.sources_for(node, near.__contains__)[0] for node in ranking.nodes[3:]]
        self.assertLess(first.count(ranking.watchers[0]), NODES_PER_WATCHER)

    def test_relays_are_near_first_and_far_last(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            directory = PeerDirectory(
                world.clock,
                node.store,
                address(0),
                TOPOLOGY,
                random.Random(1),
                lambda: None,
            )
            for number, zone in enumerate(("here-1", "here-2", "there-1", "there-1"), start=1):
                entry = NodeEntry(host=address(number).host, port=7000, zone=zone)
                revision = Revision(number)
                item = KeyValue(
                    key=f"{NODE_PREFIX}{address(number)}",
                    value=msgspec.msgpack.encode(entry),
                    create_revision=revision,
                    mod_revision=revision,
                    version=1,
                )
                directory.feed.on_event(WatchEvent(key=item.key, mod_revision=revision, item=item))
            for _ in range(20):
                first, second = directory.candidates(2)
                self.assertTrue(directory.is_near(first))
                self.assertFalse(directory.is_near(second))
            directory.mark_unresponsive(address(1))
            directory.mark_unresponsive(address(2))
            self.assertFalse(directory.is_near(directory.candidates(2)[0]))

        run_in_world(scenario, node_count=1)


if __name__ == "__main__":
    unittest.main()
