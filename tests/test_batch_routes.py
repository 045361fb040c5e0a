"""Accepted batch jobs run to their end while routes, services and workers change."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Iterable

import msgspec

from drumbay.batches.records import BatchId, BatchSpec, ResultState
from drumbay.forwarding.routes import (
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfiguration,
    ServiceShare,
)
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.workers.service_filter import ServiceFilter
from tests.serving_world import (
    MODEL,
    SCORING_ROUTE,
    SCORING_SERVICE,
    SERVICE,
    ServingWorld,
    WorldNode,
    batch_spec,
    read_all,
    run_in_world,
)

BATCH = BatchId("batch")
OTHER_SERVICE = "engines-b"
OTHER_SCORING_SERVICE = "scores-b"
UNUSED_SERVICE = "unused"
REGIONS = {"a1": "a", "b1": "b"}

CHANGE_SECONDS = 0.2
"""Time from the submission to a change, when some items run and others wait."""

RESTART_SECONDS = 0.5

MAX_SECONDS = 6.0
"""All items are listed in this time if some worker always runs them, and else never."""


def route_to(*services: str, name: str = "rollouts", regions: AllowedRegions = ANY_REGION) -> Route:
    return Route(
        name=name,
        host="host.example",
        path_prefix="/items/",
        kind=RequestKind.ROLLOUT,
        shares=tuple(ServiceShare(service=service, weight=1.0) for service in services),
        timeout_seconds=5.0,
        target_seconds=1.0,
        attempts=3,
        allowed_regions=regions,
    )


class ConfiguredWorld:
    """A world whose nodes apply configurations, and use the workers of services in use alone."""

    def __init__(self, world: ServingWorld, *routes: Route) -> None:
        """Configure all nodes; one worker of either service runs two items at a time."""
        self.world = world
        self._version = 0
        self._filters: dict[WorldNode, ServiceFilter] = {}
        for name, service in (("old-1", SERVICE), ("new-1", OTHER_SERVICE)):
            world.workers.add(name, service, {MODEL: WeightVersion(1)}, slots=2)
        for node in world.nodes:
            node.directory.replace_all(world.workers.entries())
            self.add_node(node)
        self.configure(*routes)

    def add_node(self, node: WorldNode) -> None:
        """Let a node, which may have restarted, use the workers of services in use."""

        def services_in_use() -> frozenset[str] | None:
            current = node.node.routes.current
            if current is None:
                return None
            return current.configured_services | node.batches.services

        service_filter = ServiceFilter(node.directory, services_in_use)
        node.batches.add_service_listener(service_filter.update)
        self._filters[node] = service_filter
        service_filter.update()

    def configure(self, *routes: Route, services: Iterable[str] = ()) -> None:
        """Put the next configuration in force at every node."""
        self._version += 1
        self.world.configuration = RoutingConfiguration(
            version=self._version,
            routes=routes,
            limits=RequestLimits(),
            services=frozenset(services),
        )
        for node in self.world.peers.nodes.values():
            node.node.apply_configuration(self.world.configuration)
            self._filters[node].update()

    async def restart_owner(self) -> WorldNode:
        """Kill the first node, and start it again after a moment."""
        await self.world.nodes[0].kill()
        await asyncio.sleep(RESTART_SECONDS)
        self.world.nodes[0] = WorldNode(self.world, 1, 1)
        self.add_node(self.world.nodes[0])
        return self.world.nodes[0]

    def remove_worker(self, name: str) -> None:
        """Take a worker away for good; its entry goes."""
        self.world.workers[name].faults.unreachable = True
        for node in self.world.peers.nodes.values():
            node.directory.remove(BackendId(name))

    def workers_of(self, spec: BatchSpec) -> set[str]:
        """Return the workers that have run items of a batch job."""
        item_ids = {str(item.item_id) for item in spec.items}
        return {run.worker_id for run in self.world.workers.runs if run.request_id in item_ids}


class BatchRoutesTest(unittest.TestCase):
    async def assert_all_done(self, node: WorldNode, spec: BatchSpec) -> None:
        results = await read_all(node.batches, spec.batch_id, MAX_SECONDS)
        self.assertEqual(len(results), len(spec.items))
        self.assertEqual({result.state for result in results}, {ResultState.DONE})

    def run_configured(
        self,
        scenario: Callable[[ConfiguredWorld], Awaitable[None]],
        *routes: Route,
        regions: dict[str, str] | None = None,
    ) -> None:
        async def main(world: ServingWorld) -> None:
            await scenario(ConfiguredWorld(world, *(routes or (route_to(SERVICE),))))

        run_in_world(main, node_count=2, worker_count=0, scorer_count=0, regions=regions)

    def test_items_run_at_the_service_to_which_their_route_moves(self) -> None:
        """Guards against items that wait for a service whose route now leads elsewhere."""

        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            node = world.world.nodes[0]
            await node.batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure(route_to(OTHER_SERVICE))
            await self.assert_all_done(node, spec)
            self.assertEqual(world.workers_of(spec), {"old-1", "new-1"})
            self.assertTrue(all(run.ended_at is not None for run in world.world.workers.runs))

        self.run_configured(scenario)

    def test_items_follow_a_renamed_route(self) -> None:
        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure(route_to(OTHER_SERVICE, name="renamed"))
            await self.assert_all_done(world.world.nodes[0], spec)
            self.assertIn("new-1", world.workers_of(spec))

        self.run_configured(scenario)

    def test_batch_job_accepted_just_before_a_node_reads_the_change(self) -> None:
        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            world.configure(route_to(OTHER_SERVICE))
            await self.assert_all_done(world.world.nodes[0], spec)
            self.assertEqual(world.workers_of(spec), {"new-1"})

        self.run_configured(scenario)

    def test_owner_that_starts_again_after_the_change(self) -> None:
        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure(route_to(OTHER_SERVICE))
            await self.assert_all_done(await world.restart_owner(), spec)

        self.run_configured(scenario)

    def test_service_still_configured_whose_workers_have_all_left(self) -> None:
        """Guards against items that wait for workers of a service that is named but empty."""

        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure(route_to(OTHER_SERVICE), services=[SERVICE])
            world.remove_worker("old-1")
            await self.assert_all_done(world.world.nodes[0], spec)

        self.run_configured(scenario)

    def test_workers_of_one_service_of_a_split_route_have_all_left(self) -> None:
        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.remove_worker("old-1")
            await self.assert_all_done(world.world.nodes[0], spec)

        self.run_configured(scenario, route_to(SERVICE, OTHER_SERVICE))

    def test_route_that_moves_to_a_service_without_workers(self) -> None:
        """Guards against items that leave the only workers that could run them."""

        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure(route_to(UNUSED_SERVICE))
            await self.assert_all_done(world.world.nodes[0], spec)
            self.assertEqual(world.workers_of(spec), {"old-1"})

        self.run_configured(scenario)

    def test_route_that_is_withdrawn(self) -> None:
        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure()
            await self.assert_all_done(world.world.nodes[0], spec)
            self.assertEqual(world.workers_of(spec), {"old-1"})
            await world.world.nodes[0].batches.end(spec.batch_id)
            self.assertEqual(world.world.nodes[0].directory.of_service(SERVICE), [])

        self.run_configured(scenario)

    def test_owner_that_starts_again_after_its_route_was_withdrawn(self) -> None:
        async def scenario(world: ConfiguredWorld) -> None:
            spec = batch_spec()
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure()
            await self.assert_all_done(await world.restart_owner(), spec)

        self.run_configured(scenario)

    def test_restricted_items_stay_in_their_regions(self) -> None:
        """The worker of the new service is in another region than the items may run in."""

        async def scenario(world: ConfiguredWorld) -> None:
            allowed = AllowedRegions.of(["a"])
            outside = world.world.workers.add(
                "new-2", UNUSED_SERVICE, {MODEL: WeightVersion(1)}, zone="b1"
            )
            for node in world.world.nodes:
                node.directory.put(outside.worker)
            spec = msgspec.structs.replace(batch_spec(), allowed_regions=allowed.names())
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            world.configure(route_to(UNUSED_SERVICE, regions=allowed))
            await self.assert_all_done(world.world.nodes[0], spec)
            self.assertEqual(world.workers_of(spec), {"old-1"})

        self.run_configured(
            scenario,
            route_to(SERVICE, regions=AllowedRegions.of(["a"])),
            regions={"zone-1": "a", **REGIONS},
        )

    def test_reward_requests_follow_their_route(self) -> None:
        async def scenario(world: ConfiguredWorld) -> None:
            for name, service in (("s-1", SCORING_SERVICE), ("s-2", OTHER_SCORING_SERVICE)):
                scorer = world.world.workers.add(name, service)
                for node in world.world.nodes:
                    node.directory.put(scorer.worker)
            world.configure(route_to(SERVICE), SCORING_ROUTE)
            spec = batch_spec(scored=True)
            await world.world.nodes[0].batches.submit(spec)
            await asyncio.sleep(CHANGE_SECONDS)
            share = ServiceShare(service=OTHER_SCORING_SERVICE, weight=1.0)
            moved = msgspec.structs.replace(SCORING_ROUTE, shares=(share,))
            world.configure(route_to(OTHER_SERVICE), moved)
            await self.assert_all_done(world.world.nodes[0], spec)

        self.run_configured(scenario)
