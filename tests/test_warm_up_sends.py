"""Requests that reach a cold worker in any second, from all nodes together, on virtual time."""

import asyncio
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec

from drumbay.batches.records import BatchId, BatchStream, OwnerRecord, OwnerState, StoredOwner
from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.records import ForwardingError
from drumbay.forwarding.routes import (
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfiguration,
    ServiceShare,
)
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.peers.messages import OwnerNotice
from drumbay.placement.warm_up import WarmUp, WarmUpTolerance
from drumbay.standins.worker_pool import EmulatedStream, EmulatedWorkerPool
from drumbay.workers.records import Worker, WorkerRequest, WorkerResponse
from tests.serving_world import MODEL, SERVICE, ServingWorld, WorldNode, batch_spec, run_in_world
from tests.test_forwarding import LOOKUPS, request, route

LIMIT = 23
ZONE = "zone-2"
COLD_SECONDS = 6.0
SETTLED_SECONDS = 12.0
"""By then every node has registered and counts as having learned the owners."""


class CountingWorkers(EmulatedWorkerPool):
    """Workers that note each arriving request, whether or not they run it."""

    received: list[tuple[BackendId, float]]
    warm_up_left_seconds: float | None = None

    def note_arrival(self, worker: Worker) -> None:
        self.received.append((worker.worker_id, self._clock.monotonic()))

    async def call(self, worker: Worker, request: WorkerRequest) -> WorkerResponse:
        self.note_arrival(worker)
        response = await super().call(worker, request)
        return msgspec.structs.replace(response, warm_up_left_seconds=self.warm_up_left_seconds)

    @asynccontextmanager
    async def stream(self, worker: Worker, request: WorkerRequest) -> AsyncIterator[EmulatedStream]:
        self.note_arrival(worker)
        async with super().stream(worker, request) as stream:
            yield stream

    def peak(self, since: float = 0.0, only: BackendId | None = None) -> int:
        """Return the most requests that a worker got in any second from ``since`` on."""
        peak = 0
        for worker_id in {worker_id for worker_id, _ in self.received if only in (None, worker_id)}:
            times = [at for w, at in self.received if w == worker_id and at >= since]
            for start in times:
                peak = max(peak, sum(start <= at < start + 1.0 for at in times))
        return peak


class WarmUpWorld:
    """Nodes and workers whose services have a warm-up rate, unless ``has_rate`` is false."""

    def __init__(self, world: ServingWorld, worker_count: int, *, has_rate: bool = True) -> None:
        self.world = world
        world.warm_up_tolerance = WarmUpTolerance(factor=1.5, extra_requests=5.0)
        world.workers = self.workers = CountingWorkers(world.clock)
        self.workers.received = []
        for number in range(worker_count):
            self.workers.add(f"w{number}", SERVICE, {MODEL: WeightVersion(1)}, slots=200, zone=ZONE)
            self.workers.add(f"l{number}", LOOKUPS, slots=200, zone=ZONE)
        rollouts = Route(
            name="rollouts",
            host="host.example",
            path_prefix="/",
            kind=RequestKind.ROLLOUT,
            shares=(ServiceShare(service=SERVICE, weight=1.0),),
            timeout_seconds=30.0,
            target_seconds=1.0,
            attempts=3,
        )
        world.configuration = RoutingConfiguration(
            version=1,
            routes=(rollouts, route()),
            limits=RequestLimits(),
            warm_ups=tuple(
                WarmUp(service=service, seconds=COLD_SECONDS, requests_per_second=12.0)
                for service in (SERVICE, LOOKUPS)
                if has_rate
            ),
        )
        self.nodes: list[WorldNode] = []

    async def start_nodes(self, count: int, *, connected: bool = True) -> None:
        """Start nodes, and wait until they know each other if they are connected."""
        self.nodes = [WorldNode(self.world, number, 0) for number in range(1, count + 1)]
        if connected:
            for node in self.nodes:
                node.lead()
        await asyncio.sleep(SETTLED_SECONDS)

    async def submit_jobs(self) -> None:
        """Let each node own a batch job of 64 items."""
        for number, node in enumerate(self.nodes):
            await node.batches.submit(batch_spec(f"job-{number}", groups=8, group_size=8))

    def set_evacuated(self, zones: tuple[str, ...]) -> None:
        """Apply evacuations at every node at the same moment."""
        for node in self.nodes:
            node.node.evacuations.replace_all(zones)

    async def lookups(self, node: WorldNode, name: str, count: int = 40) -> Counter[str]:
        """Send lookups over two seconds; return how many were served and not."""
        outcomes: Counter[str] = Counter()

        async def send(number: int) -> None:
            try:
                await node.node.forwarder.forward(route(), request(f"{name}-{number}"))
                outcomes["served"] += 1
            except ForwardingError as error:
                outcomes[error.code] += 1

        async with asyncio.TaskGroup() as tasks:
            for number in range(count):
                tasks.create_task(send(number))
                await asyncio.sleep(2.0 / count)
        return outcomes

    async def all_lookups(self) -> Counter[str]:
        """Send lookups from every node at once."""
        names = [(node, f"n{number}") for number, node in enumerate(self.nodes)]
        found = await asyncio.gather(*(self.lookups(node, name) for node, name in names))
        return sum(found, Counter[str]())


def run_warm_up(
    scenario: Callable[[WarmUpWorld], Awaitable[None]],
    *,
    worker_count: int = 3,
    has_rate: bool = True,
) -> None:
    """Run a scenario in a world of its own."""

    async def main(world: ServingWorld) -> None:
        await scenario(WarmUpWorld(world, worker_count, has_rate=has_rate))

    run_in_world(main, node_count=0, worker_count=0)


class BatchStartTest(unittest.TestCase):
    async def zone_return(self, world: WarmUpWorld) -> None:
        await world.start_nodes(6)
        world.set_evacuated((ZONE,))
        await world.submit_jobs()
        await asyncio.sleep(2.0)
        self.assertEqual(world.workers.received, [])
        world.set_evacuated(())
        await asyncio.sleep(20.0)
        self.assertGreaterEqual(len(world.workers.received), 6 * 64)

    def test_many_owners_see_a_zone_return_at_once(self) -> None:
        # Each owner alone would send a burst; together they would end the workers again.
        async def scenario(world: WarmUpWorld) -> None:
            await self.zone_return(world)
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_without_a_rate_nothing_is_held_back(self) -> None:
        # Shows that the burst exists without the mechanism, and that it takes effect only if asked.
        async def scenario(world: WarmUpWorld) -> None:
            await self.zone_return(world)
            self.assertGreater(world.workers.peak(), 2 * LIMIT)

        run_warm_up(scenario, has_rate=False)

    def test_a_worker_that_turns_cold_unannounced(self) -> None:
        # No node knows it, so the limit must hold at workers that count as warm.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(4)
            await world.submit_jobs()
            await asyncio.sleep(10.0)
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_warm_workers_start_a_job_within_a_second(self) -> None:
        # The limit must not slow a step: four owners, 23 workers.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(4)
            await world.submit_jobs()
            await asyncio.sleep(1.0)
            runs = {run.request_id for run in world.workers.runs}
            self.assertEqual(len(runs), 4 * 64)

        run_warm_up(scenario, worker_count=23)

    def test_owners_count_while_their_items_wait(self) -> None:
        # The last items of a step run for seconds; their owners would keep parts unused.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(2)
            world.set_evacuated((ZONE,))
            await world.submit_jobs()
            await asyncio.sleep(1.0)
            present = {node.address for node in world.nodes}
            for number in range(23):
                world.workers[f"w{number}"].faults.slowdown = 6.0
            for expected in (present, set[NetworkAddress]()):
                for node in world.nodes:
                    self.assertEqual(node.node.batches.starting_owners(), expected)
                    self.assertEqual(node.node.batches.competing_owners(), present)
                world.set_evacuated(())
                await asyncio.sleep(1.8)

        run_warm_up(scenario, worker_count=23)

    def test_an_owner_whose_end_was_missed_counts_only_for_a_while(self) -> None:
        # Lost notices would add up, and leave nothing to the owners that there are.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(2)
            world.set_evacuated((ZONE,))
            await world.submit_jobs()
            own = world.nodes[0].node.batches
            gone = OwnerRecord(
                address=NetworkAddress("10.0.0.9", 7000),
                boot="gone",
                state=OwnerState.OPEN,
                total=1,
                stream=BatchStream(service=SERVICE, model=MODEL),
            )
            owner = StoredOwner(record=gone, revision=Revision(1))
            own.handle_owner_notice(OwnerNotice(batch_id=BatchId("gone"), owner=owner))
            await asyncio.sleep(1.0)
            present = {node.address for node in world.nodes}
            self.assertEqual(own.competing_owners(), {*present, gone.address})
            await asyncio.sleep(25.0)
            self.assertEqual(own.competing_owners(), present)

        run_warm_up(scenario)

    def test_a_node_out_of_touch_beside_others(self) -> None:
        # It sees neither the evacuation's end nor new owners, but still has workers to send to.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(5)
            await world.submit_jobs()
            lost = world.nodes[0]
            lost.store.reachable = False
            world.world.peers.cut.add(lost.address)
            await asyncio.sleep(3.0)
            for node in world.nodes[1:]:
                node.node.evacuations.replace_all((ZONE,))
            await lost.batches.submit(batch_spec("more", groups=8, group_size=8))
            since = world.world.clock.monotonic()
            for node in world.nodes[1:]:
                node.node.evacuations.replace_all(())
            for number, node in enumerate(world.nodes[1:]):
                await node.batches.submit(batch_spec(f"next-{number}", groups=8, group_size=8))
            await asyncio.sleep(8.0)
            self.assertGreater(len(world.workers.received), 5 * 64)
            self.assertLessEqual(world.workers.peak(since), LIMIT)

        run_warm_up(scenario)

    def test_two_owners_that_know_nothing_of_each_other(self) -> None:
        # Views of the senders differ while owners change or nodes are cut off.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(2, connected=False)
            await world.submit_jobs()
            await asyncio.sleep(8.0)
            world.set_evacuated((ZONE,))
            world.set_evacuated(())
            for number, node in enumerate(world.nodes):
                await node.batches.submit(batch_spec(f"next-{number}", groups=8, group_size=8))
            await asyncio.sleep(8.0)
            self.assertGreaterEqual(len(world.workers.received), 4 * 64)
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_refused_and_broken_runs_count_and_their_retries_too(self) -> None:
        # A worker that refuses or breaks runs is tried again at once, by every owner.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(4)
            world.workers["w0"].faults.full = True
            world.workers["w1"].faults.break_after_events = 1
            world.set_evacuated((ZONE,))
            await world.submit_jobs()
            world.set_evacuated(())
            await asyncio.sleep(5.0)
            world.workers["w0"].faults.full = False
            await asyncio.sleep(5.0)
            self.assertGreater(len(world.workers.received), len(world.workers.runs))
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_a_node_that_restarts_at_once(self) -> None:
        # The new process knows neither what the old one sent nor which workers are cold.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(3)
            world.set_evacuated((ZONE,))
            await world.submit_jobs()
            world.set_evacuated(())
            await asyncio.sleep(0.5)
            await world.nodes[0].kill()
            restarted = WorldNode(world.world, 1, 1)
            restarted.lead()
            for number in range(3):
                name = f"again-{number}"
                await restarted.batches.submit(batch_spec(name, groups=8, group_size=8))
            await asyncio.sleep(10.0)
            self.assertTrue(world.workers.runs_of("again-2-0-0"))
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_planning_does_not_spin_while_no_start_is_left(self) -> None:
        # A plan that cannot start anything must wait for the next interval.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(1)
            await world.submit_jobs()
            runner_calls = 0
            selector = world.nodes[0].node.placement.remaining_starts

            def counted(worker: Worker) -> float:
                nonlocal runner_calls
                runner_calls += 1
                return selector(worker)

            world.nodes[0].node.placement.remaining_starts = counted  # type: ignore[method-assign]
            await asyncio.sleep(1.0)
            self.assertLess(runner_calls, 400)

        run_warm_up(scenario, worker_count=1)


class LookupTest(unittest.TestCase):
    def test_lookups_of_many_nodes_after_a_zone_returns(self) -> None:
        # Any node may send lookups; with more nodes than starts a few are chosen for each worker.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(30)
            world.set_evacuated((ZONE,))
            world.set_evacuated(())
            outcomes = await world.all_lookups()
            self.assertGreater(outcomes["served"], 30)
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_lookups_at_warm_workers_are_not_limited(self) -> None:
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(10)
            outcomes = await world.all_lookups()
            self.assertEqual(outcomes, Counter({"served": 400}))

        run_warm_up(scenario)

    def test_hedges_and_retries_count(self) -> None:
        # They are sends like any other, and happen just when a worker is slow.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(3)
            world.set_evacuated((ZONE,))
            world.set_evacuated(())
            world.workers["l0"].faults.slowdown = 20.0
            world.workers["l1"].faults.lose_responses = True
            world.workers["l2"].faults.full = True
            outcomes = await world.all_lookups()
            self.assertGreater(len(world.workers.received), outcomes["served"])
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_a_response_says_that_its_worker_is_cold(self) -> None:
        # The worker's own word arrives before its entry does.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(10)
            world.workers.warm_up_left_seconds = 5.0
            await world.all_lookups()
            since = world.world.clock.monotonic()
            await world.all_lookups()
            self.assertLessEqual(world.workers.peak(since), LIMIT)
            lines = world.nodes[0].node.metrics.render().decode()
            self.assertIn('drumbay_serving_cold_workers{service="lookups"} 3.0', lines)

        run_warm_up(scenario)

    def test_an_unreachable_worker_counts_as_cold_when_it_is_back(self) -> None:
        # It may have been down, and every node sends to it as soon as it responds.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(10)
            world.workers["l0"].has_stopped = True
            for _ in range(3):
                await world.all_lookups()
            world.workers["l0"].has_stopped = False
            world.workers["l1"].faults.slowdown = world.workers["l2"].faults.slowdown = 10.0
            since = world.world.clock.monotonic()
            for _ in range(2):
                await world.all_lookups()
            received = [at for w, at in world.workers.received if w == "l0" and at >= since]
            self.assertGreater(len(received), 0)
            self.assertLessEqual(world.workers.peak(since, BackendId("l0")), LIMIT)

        run_warm_up(scenario)


if __name__ == "__main__":
    unittest.main()
