"""No request reaches a worker of an evacuated zone, whatever fails; runs under way end there."""

import asyncio
import unittest
from unittest.mock import patch

from drumbay_platform import names
from drumbay_platform.workers import PlatformWorkerClient

from drumbay.batches.records import ItemId, ResultState
from drumbay.batches.scoring_slots import MAX_SLOT_SHARE
from drumbay.clock import SystemClock
from drumbay.exceptions import Execution
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import ClientRequest, ForwardingError, NoWorkerError
from drumbay.forwarding.routes import RequestKind, Route
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.forwarding.worker_picker import SendCriteria, WorkerPicker
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.worker_log import LoggedRun
from drumbay.standins.worker_pool import full_text
from drumbay.workers.records import (
    Worker,
    WorkerBrokenError,
    WorkerRequest,
    WorkerResponse,
    WorkerState,
)
from tests.scripted_server import ScriptedServer
from tests.serving_world import (
    MODEL,
    SCORING_CONFIGURATION,
    SCORING_SERVICE,
    SERVICE,
    ServingWorld,
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

    def test_a_hedge_stays_out_of_the_zone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["near"].faults.slowdown = 40.0
            self.evacuate(ZONE)
            with self.assertRaises(ForwardingError):
                await forwarder.forward(route(), request(budget_seconds=0.8))
            self.assertEqual(set(self.runs(world)), {"near"})

        run_in_world(scenario, node_count=1)

    def test_a_retry_stays_out_of_the_zone(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["near"].faults.failing = True
            self.evacuate(ZONE)
            with self.assertRaises(ForwardingError) as raised:
                await forwarder.forward(route(), request())
            self.assertEqual(raised.exception.execution, Execution.MAY_HAVE_RUN)
            self.assertEqual(set(self.runs(world)), {"near"})

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

    def test_queued_requests_are_rejected_when_the_last_zone_goes(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for name in ("near", "far"):
                world.workers[name].faults.full = True
            calls = [
                asyncio.ensure_future(self.assert_rejected(forwarder, route(), request(str(n))))
                for n in range(4)
            ]
            await asyncio.sleep(0.03)
            self.assertFalse(any(call.done() for call in calls))
            evacuated_at = world.clock.monotonic()
            self.evacuate(NEAR_ZONE, ZONE)
            await asyncio.gather(*calls)
            self.assertLess(world.clock.monotonic() - evacuated_at, 0.01)
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
            with patch("drumbay.batches.runner.start_allowances", return_value={}):
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

    def test_items_without_a_zone_end_by_the_queue_limit(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            self.start(world)
            self.evacuate(world, NEAR_ZONE, ZONE)
            spec = batch_spec(groups=1, queue_limit_seconds=6.0)
            await world.nodes[0].batches.submit(spec)
            results = await read_all(world.nodes[0].batches, spec.batch_id, 8.0)
            self.assertGreaterEqual(world.clock.monotonic(), 6.0)
            self.assertEqual({result.state for result in results}, {ResultState.DEAD})
            self.assertEqual(world.workers.runs, [])

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


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A worker closes its kept connections; the client would repeat the request over a new one."""

    async def asyncSetUp(self) -> None:
        head = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: r\r\n{names.SEAL}: s\r\n"
        self.response = f"{head}Content-Length: 2\r\n\r\nok".encode()
        self.server = ScriptedServer(lambda _: self.response)
        self.server.keep = True
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.client = PlatformWorkerClient(SystemClock())
        self.addCleanup(self.client.close)
        self.worker = Worker(
            worker_id=BackendId("w"),
            service=LOOKUPS,
            address=self.server.address,
            zone=ZONE,
            slots=4,
            state=WorkerState.READY,
            versions={},
        )

    def call(self, *, repeatable: bool) -> "asyncio.Future[WorkerResponse]":
        outgoing = WorkerRequest(
            request_id="r",
            method="POST",
            target="/x",
            host="h",
            headers=(),
            body=b"",
            budget_seconds=2.0,
            repeatable=repeatable,
        )
        return asyncio.ensure_future(self.client.call(self.worker, outgoing))

    def refuse_resend(self) -> list[BackendId]:
        asked: list[BackendId] = []

        def may_resend(worker: Worker) -> bool:
            asked.append(worker.worker_id)
            return False

        self.client.set_resend_check(may_resend)
        return asked

    async def test_a_request_is_not_repeated_into_the_zone_and_may_have_run(self) -> None:
        """Its worker may have read it before it closed the connection."""
        await self.call(repeatable=True)
        asked = self.refuse_resend()
        self.server.keep = False
        self.response = b""
        with self.assertRaises(WorkerBrokenError):
            await self.call(repeatable=True)
        self.assertEqual(asked, ["w"])
        self.assertEqual(len(self.server.requests), 2)

    async def test_a_request_that_may_run_once_uses_no_kept_connection(self) -> None:
        """So it is never repeated, and what is reported about it stays true."""
        await self.call(repeatable=True)
        asked = self.refuse_resend()
        self.assertEqual((await self.call(repeatable=False)).status, 200)
        self.assertEqual(asked, [])
        self.assertEqual(self.server.connections, 2)


if __name__ == "__main__":
    unittest.main()
