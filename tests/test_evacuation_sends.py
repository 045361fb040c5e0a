"""No request reaches a worker of an evacuated zone, whatever fails; runs under way end there."""

import asyncio
import unittest
from unittest.mock import patch

import msgspec

from drumbay.batches.records import ItemId, ResultState
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.scoring_slots import MAX_SLOT_SHARE
from drumbay.exceptions import Execution
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import (
    ClientRequest,
    ForwardingError,
    NoWorkerError,
    ResponseLostError,
)
from drumbay.forwarding.routes import RequestKind, Route
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.forwarding.worker_picker import SendCriteria, WorkerPicker
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.placement.topology import Topology
from drumbay.standins.worker_log import LoggedRun
from drumbay.standins.worker_pool import full_text
from tests.serving_world import (
    MODEL,
    SCORING_CONFIGURATION,
    SCORING_SERVICE,
    SERVICE,
    ServingWorld,
    WorldNode,
    batch_spec,
    read_all,
    reward_id,
    run_in_world,
)
from tests.test_forwarding import LOOKUPS, request, route

NEAR_ZONE, ZONE = "zone-1", "zone-2"


class LookupTest(unittest.TestCase):
    """One worker in each zone; the node lies in the zone that is not evacuated."""

    def forwarder(self, world: ServingWorld) -> Forwarder:
        self.node = world.nodes[0].node
        world.workers.add("near", LOOKUPS)
        world.workers.add("far", LOOKUPS, zone=ZONE)
        self.node.directory.replace_all(world.workers.entries())
        return self.node.forwarder

    def evacuate(self, *zones: str) -> None:
        for zone in zones:
            self.node.evacuations.start(zone)

    @staticmethod
    def runs(world: ServingWorld) -> list[str]:
        return [run.worker_id for run in world.workers.runs]

    def test_hedges_and_retries_stay_out_of_the_zone(self) -> None:
        for fault, value in (("slowdown", 40.0), ("failing", True)):

            async def scenario(
                world: ServingWorld, fault: str = fault, value: float = value
            ) -> None:
                forwarder = self.forwarder(world)
                setattr(world.workers["near"].faults, fault, value)
                self.evacuate(ZONE)
                with self.assertRaises(ForwardingError) as raised:
                    await forwarder.forward(route(), request(budget_seconds=0.8))
                self.assertEqual(raised.exception.execution, Execution.MAY_HAVE_RUN)
                self.assertEqual(set(self.runs(world)), {"near"})
                self.assertNotIn(b"ineligible_workers_total{", self.node.metrics.render())

            with self.subTest(fault):
                run_in_world(scenario, node_count=1)

    def test_a_worker_chosen_just_before_gets_nothing(self) -> None:
        """The node learns of the evacuation between the choice of the worker and the send."""
        for kind in (RequestKind.IDEMPOTENT, RequestKind.AT_MOST_ONCE):

            async def scenario(world: ServingWorld, kind: RequestKind = kind) -> None:
                forwarder = self.forwarder(world)
                choose = WorkerPicker.choose

                def choose_and_evacuate(
                    picker: WorkerPicker, criteria: SendCriteria, now: float
                ) -> ChosenWorker | None:
                    choice = choose(picker, criteria, now)
                    self.evacuate(ZONE)
                    return choice

                near = self.node.directory.get(BackendId("near"))
                assert near is not None
                near.in_flight = 2 * near.worker.slots
                with patch.object(WorkerPicker, "choose", choose_and_evacuate):
                    response = await forwarder.forward(route(kind), request())
                self.assertEqual(response.status, 200)
                self.assertEqual(self.runs(world), ["near"])

            with self.subTest(kind):
                run_in_world(scenario, node_count=1)

    def test_an_unconfirmed_send_is_not_repeated_into_the_zone(self) -> None:
        """Its kept connection may have stalled, so elsewhere it would be sent anew."""

        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["near"].faults.full = True
            world.workers["far"].faults.slowdown = 20.0
            world.workers.idle_connections.add(BackendId("far"))
            call = asyncio.ensure_future(forwarder.forward(route(attempts=1), request()))
            await asyncio.sleep(0.02)
            self.assertEqual(self.runs(world), ["far"])
            self.evacuate(ZONE)
            self.assertEqual((await call).status, 200)
            self.assertEqual(self.runs(world), ["far"])
            self.assertNotIn(b"ineligible_workers_total{", self.node.metrics.render())

        run_in_world(scenario, node_count=1)

    def test_a_request_whose_connection_closed_is_not_repeated_into_the_zone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["near"].faults.full = True
            far = world.workers["far"].faults
            far.closes_idle_connections, far.slowdown = True, 5.0
            world.workers.idle_connections.add(BackendId("far"))
            call = asyncio.ensure_future(forwarder.forward(route(attempts=1), request()))
            await asyncio.sleep(0.02)
            self.assertEqual(self.runs(world), ["far"])
            self.evacuate(ZONE)
            with self.assertRaises(ResponseLostError):
                await call
            self.assertEqual(self.runs(world), ["far"])

        run_in_world(scenario, node_count=1)

    def test_a_node_asks_its_gate_before_a_client_sends_late(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            far = world.workers.add("far", LOOKUPS, zone=ZONE).worker
            with patch.object(world.workers, "set_send_check") as send_check:
                node = WorldNode(world, 9, 0).node
            may_send = send_check.call_args.args[0]
            self.assertTrue(may_send(far, ANY_REGION))
            node.evacuations.start(ZONE)
            self.assertFalse(may_send(far, ANY_REGION))

        run_in_world(scenario, node_count=1)

    def test_without_a_zone_left_requests_are_rejected_at_once(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            self.evacuate(NEAR_ZONE, ZONE)
            for kind in (RequestKind.IDEMPOTENT, RequestKind.AT_MOST_ONCE):
                await self.assert_rejected(forwarder, route(kind), request(str(kind)))
            self.assertLess(world.clock.monotonic(), 0.01)
            self.assertEqual(world.workers.runs, [])
            self.node.evacuations.end(ZONE)
            await forwarder.forward(route(), request("again"))
            self.assertEqual(self.runs(world), ["far"])

        run_in_world(scenario, node_count=1)

    async def assert_rejected(
        self, forwarder: Forwarder, lookup_route: Route, lookup: ClientRequest
    ) -> None:
        with self.assertRaises(NoWorkerError) as raised:
            await forwarder.forward(lookup_route, lookup)
        self.assertEqual(raised.exception.execution, Execution.NOT_RUN)
        self.assertGreater(raised.exception.retry_after_seconds or 0.0, 0.0)

    def test_queued_requests_are_rejected_when_their_last_zone_goes(self) -> None:
        """First those that may only run in the region of one zone."""

        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            regions = {NEAR_ZONE: "here", ZONE: "there"}
            self.node.placement.topology = Topology(zone=NEAR_ZONE, regions=regions)
            for name in ("near", "far"):
                world.workers[name].faults.full = True
            there = AllowedRegions.of(["there"])
            lookups = [request(str(number)) for number in range(4)]
            lookups[2:] = [
                msgspec.structs.replace(each, allowed_regions=lambda: there) for each in lookups[2:]
            ]
            calls = [
                asyncio.ensure_future(self.assert_rejected(forwarder, route(), lookup))
                for lookup in lookups
            ]
            await asyncio.sleep(0.03)
            for zone, rejected in ((ZONE, {2, 3}), (NEAR_ZONE, {0, 1, 2, 3})):
                self.evacuate(zone)
                await asyncio.sleep(0.001)
                self.assertEqual({n for n, call in enumerate(calls) if call.done()}, rejected)
            await asyncio.gather(*calls)
            self.assertEqual(world.workers.runs, [])

        run_in_world(scenario, node_count=1)

    def test_a_request_under_way_when_the_last_zone_goes_ends_truthfully(self) -> None:
        """A run that breaks is not reported as not run, though nothing can be sent any more."""

        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            whole = asyncio.ensure_future(forwarder.forward(route(), request("whole")))
            await asyncio.sleep(0.02)
            self.evacuate(NEAR_ZONE, ZONE)
            self.assertEqual((await whole).status, 200)
            for kind in (RequestKind.IDEMPOTENT, RequestKind.AT_MOST_ONCE):
                for zone in (NEAR_ZONE, ZONE):
                    self.node.evacuations.end(zone)
                broken = asyncio.ensure_future(forwarder.forward(route(kind), request(str(kind))))
                await asyncio.sleep(0.02)
                for name in ("near", "far"):
                    world.workers[name].faults.lose_responses = True
                self.evacuate(NEAR_ZONE, ZONE)
                with self.assertRaises(ForwardingError) as raised:
                    await broken
                self.assertEqual(raised.exception.execution, Execution.MAY_HAVE_RUN)
                for name in ("near", "far"):
                    world.workers[name].faults.lose_responses = False

        run_in_world(scenario, node_count=1)


class ItemTest(unittest.TestCase):
    """One worker in each zone; items run at both when the second zone is evacuated."""

    def start(self, world: ServingWorld) -> None:
        world.workers.add("near", SERVICE, {MODEL: WeightVersion(1)}, slots=6)
        world.workers.add("far", SERVICE, {MODEL: WeightVersion(1)}, slots=6, zone=ZONE)
        for node in world.nodes:
            node.directory.replace_all(world.workers.entries())
        world.workers.long_texts = True

    @staticmethod
    def evacuate(world: ServingWorld, *zones: str) -> None:
        for node in world.nodes:
            for zone in zones:
                node.node.evacuations.start(zone)

    @staticmethod
    def runs_at(world: ServingWorld, worker_id: str) -> list[LoggedRun]:
        return [run for run in world.workers.runs if run.worker_id == worker_id]

    def test_runs_under_way_end_in_the_zone_and_no_other_starts(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            spec = batch_spec(groups=4)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(1.0)
            before = self.runs_at(world, "far")
            self.assertEqual(len(before), 6)
            self.evacuate(world, ZONE)
            metrics = world.nodes[0].node.metrics
            self.assertIn(b"drumbay_serving_evacuated_zone_requests 6.0", metrics.render())
            with patch.object(BatchScheduler, "plan", return_value=[]) as plan:
                await asyncio.sleep(0.2)
            self.assertEqual(plan.call_args.args[3].workers_in_service, {"near"})
            results = await read_all(world.nodes[0].batches, spec.batch_id, 60.0)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})
            self.assertEqual(self.runs_at(world, "far"), before)
            self.assertEqual({run.events for run in before}, {160})
            self.assertIn(b"drumbay_serving_evacuated_zone_requests 0.0", metrics.render())

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_a_broken_run_resumes_outside_the_zone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            spec = batch_spec(groups=2)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(1.0)
            before = self.runs_at(world, "far")
            self.evacuate(world, ZONE)
            world.workers["far"].faults.break_after_events = 30
            results = await read_all(world.nodes[0].batches, spec.batch_id, 60.0)
            texts = {result.item_id: result.text for result in results}
            self.assertEqual(texts, {name: world.workers.text(name) for name in texts})
            self.assertEqual(self.runs_at(world, "far"), before)
            again = [r for r in self.runs_at(world, "near") if r.resume_after]
            self.assertEqual({r.request_id for r in again}, {r.request_id for r in before})

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_a_node_that_takes_over_sends_nothing_into_the_zone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            spec = batch_spec(groups=2)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(1.0)
            self.evacuate(world, ZONE)
            before = self.runs_at(world, "far")
            await world.nodes[0].kill()
            results = await read_all(world.nodes[1].batches, spec.batch_id, 60.0)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})
            self.assertEqual(self.runs_at(world, "far"), before)

        run_in_world(scenario, worker_count=0)

    def test_an_item_whose_worker_was_just_evacuated_is_not_sent(self) -> None:
        """The node learns of the evacuation between the plan and the send."""

        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            spec = batch_spec(groups=2)
            with patch("drumbay.batches.start_allowances.start_allowances", return_value={}):
                self.evacuate(world, ZONE)
                await world.nodes[0].batches.submit(spec)
                results = await read_all(world.nodes[0].batches, spec.batch_id, 60.0)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})
            self.assertEqual(self.runs_at(world, "far"), [])

        run_in_world(scenario, node_count=1, worker_count=0)

    def test_items_wait_while_no_zone_is_left(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            self.evacuate(world, NEAR_ZONE, ZONE)
            spec = batch_spec(groups=1)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(5.0)
            self.assertEqual(world.workers.runs, [])
            world.nodes[0].node.evacuations.end(NEAR_ZONE)
            await asyncio.sleep(0.02)
            self.assertEqual(len(self.runs_at(world, "near")), 4)

        run_in_world(scenario, node_count=1, worker_count=0)


class RewardTest(unittest.TestCase):
    def test_reward_requests_wait_while_no_zone_is_left(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            world.workers.add("far-scorer", SCORING_SERVICE, zone=ZONE)
            node.directory.replace_all(world.workers.entries())
            node.node.apply_configuration(SCORING_CONFIGURATION)
            node.node.evacuations.start(ZONE)
            spec = batch_spec(scored=True)
            await node.batches.submit(spec)
            await asyncio.sleep(8.0)
            rewards = {reward_id(item.item_id) for item in spec.items}
            self.assertEqual([r for r in world.workers.runs if r.request_id in rewards], [])
            node.node.evacuations.end(ZONE)
            results = await read_all(node.batches, spec.batch_id)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})
            self.assertEqual(results[0].text, full_text(ItemId(results[0].item_id)))

        run_in_world(scenario, node_count=1)

    def test_concurrent_reward_requests_count_scorers_in_service_only(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            world.workers.add("far-scorer", SCORING_SERVICE, slots=40, zone=ZONE)
            node.directory.replace_all(world.workers.entries())
            node.node.evacuations.start(ZONE)
            world.workers["scorer-1"].faults.slowdown = 20.0
            await node.batches.submit(batch_spec(groups=10, scored=True))
            peak = 0
            for _ in range(40):
                await asyncio.sleep(0.05)
                open_runs = [
                    run
                    for run in world.workers.runs
                    if run.ended_at is None and run.worker_id == "scorer-1"
                ]
                peak = max(peak, len({run.request_id for run in open_runs}))
            self.assertEqual(peak, int(MAX_SLOT_SHARE * world.workers["scorer-1"].worker.slots))

        run_in_world(scenario, node_count=1, scorer_count=1)


if __name__ == "__main__":
    unittest.main()
