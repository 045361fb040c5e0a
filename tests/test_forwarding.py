"""Tests of request forwarding: hedging, retries, attempt limits, deadlines and routes."""

import asyncio
import unittest
from collections import Counter

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import Execution
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import (
    ClientRequest,
    ForwardingError,
    NoWorkerError,
    RequestTimedOutError,
    ResponseLostError,
)
from drumbay.forwarding.routes import (
    RequestKind,
    RequestLimits,
    Route,
    RouteTable,
    RoutingConfiguration,
    ServiceShare,
)
from drumbay.identifiers import BackendId
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.quarantine.service import Quarantine
from drumbay.standins.worker_pool import EmulatedWorkerPool
from drumbay.tasks import TaskOwner
from drumbay.usage.counter import UsageCounter
from drumbay.usage.records import WindowLength
from drumbay.usage.window_clock import WindowClock
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers
from tests.serving_world import ServingWorld, run_in_world, unrestricted_placement

LOOKUPS = "lookups"


def route(kind: RequestKind = RequestKind.IDEMPOTENT, attempts: int = 2) -> Route:
    return Route(
        name="lookups",
        host="host.example",
        path_prefix="/lookups/",
        kind=kind,
        shares=(ServiceShare(service=LOOKUPS, weight=1.0),),
        timeout_seconds=1.5,
        target_seconds=0.15,
        attempts=attempts,
    )


def request(name: str = "request", budget_seconds: float = 1.5) -> ClientRequest:
    return ClientRequest(
        request_id=name,
        method="POST",
        target="/lookups/1",
        host="host.example",
        headers=(),
        body=name.encode(),
        budget_seconds=budget_seconds,
    )


def forwarder_of(
    clock: Clock, workers: EmulatedWorkerPool, placement: PlacementGate | None = None
) -> Forwarder:
    """Return a forwarder with its dependencies for a pool of emulated workers."""
    directory = WorkerDirectory()
    directory.replace_all(workers.entries())
    metrics = ServingMetrics()
    placement = placement or unrestricted_placement(clock)
    address = NetworkAddress("127.0.0.1", 1)
    quarantine = Quarantine(
        clock,
        directory,
        placement,
        workers,
        TaskOwner(),
        metrics,
        broadcast=lambda notice: None,
        address=address,
    )
    usage = UsageCounter(WindowClock(clock), WindowLength(5.0), address, "boot")
    return Forwarder(
        clock,
        directory,
        RouteTable(),
        workers,
        placement,
        metrics,
        usage,
        quarantine,
        UnresponsiveWorkers(clock, directory, workers, TaskOwner()),
        "",
    )


class ClosedConnectionTest(unittest.TestCase):
    """A kept connection closes before the response: the worker may have run the request."""

    def start(self, world: ServingWorld, workers: int = 1) -> Forwarder:
        for number in range(1, workers + 1):
            emulated = world.workers.add(f"lookup-{number}", LOOKUPS)
            emulated.faults.closes_idle_connections = True
            world.workers.idle_connections.add(emulated.worker.worker_id)
        return forwarder_of(world.clock, world.workers)

    def test_the_only_attempt_is_repeated_at_its_worker_over_a_new_connection(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.start(world, workers=3)
            response = await forwarder.forward(route(attempts=1), request())
            self.assertEqual(response.status, 200)
            first, second = world.workers.runs
            self.assertEqual(first.worker_id, second.worker_id)

        run_in_world(scenario)

    def test_other_attempts_go_to_other_workers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.start(world, workers=3)
            await forwarder.forward(route(attempts=2), request())
            self.assertEqual(len({run.worker_id for run in world.workers.runs}), 2)
            self.assertEqual(len(world.workers.runs), 2)

        run_in_world(scenario)

    def test_the_only_worker_gets_the_request_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.start(world)
            await forwarder.forward(route(attempts=2), request())
            self.assertEqual(len(world.workers.runs), 2)

        run_in_world(scenario)

    def test_the_only_attempt_is_repeated_once(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.start(world)
            world.workers["lookup-1"].faults.lose_responses = True
            with self.assertRaises(ResponseLostError):
                await forwarder.forward(route(attempts=1), request())
            self.assertEqual(len(world.workers.runs), 2)

        run_in_world(scenario)

    def test_a_refused_repeat_is_not_repeated(self) -> None:
        """Guards against a full worker that gets one request many times within milliseconds."""

        async def scenario(world: ServingWorld) -> None:
            forwarder = self.start(world)
            call = asyncio.ensure_future(forwarder.forward(route(attempts=1), request()))
            await asyncio.sleep(0.01)
            world.workers["lookup-1"].faults.full = True
            with self.assertRaises(ResponseLostError):
                await call
            self.assertEqual(len(world.workers.arrivals), 2)

        run_in_world(scenario)

    def test_the_repeat_is_not_given_the_time_of_the_first_send(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.start(world)
            world.workers["lookup-1"].faults.slowdown = 4.0
            await forwarder.forward(route(attempts=1), request(budget_seconds=1.0))
            first, second = world.workers.runs
            self.assertGreater(second.started_at, first.started_at + 0.1)
            self.assertLessEqual(second.started_at + second.budget_seconds, 1.0 + 0.01)

        run_in_world(scenario)

    def test_refusal_of_the_repeat_does_not_count_as_not_run(self) -> None:
        for attempts in (1, 2):

            async def scenario(world: ServingWorld, attempts: int = attempts) -> None:
                forwarder = self.start(world)
                call = asyncio.ensure_future(forwarder.forward(route(attempts=attempts), request()))
                await asyncio.sleep(0.01)
                world.workers["lookup-1"].faults.full = True
                with self.assertRaises(ForwardingError) as raised:
                    await call
                self.assertIs(raised.exception.execution, Execution.MAY_HAVE_RUN)

            with self.subTest(attempts=attempts):
                run_in_world(scenario)


class ForwarderTest(unittest.TestCase):
    def forwarder(self, world: ServingWorld, workers: int = 3) -> Forwarder:
        for number in range(1, workers + 1):
            world.workers.add(f"lookup-{number}", LOOKUPS)
        directory = world.nodes[0].directory
        directory.replace_all(world.workers.entries())
        self.usage = UsageCounter(
            WindowClock(world.clock), WindowLength(5.0), world.nodes[0].address, "boot"
        )
        return Forwarder(
            world.clock,
            directory,
            RouteTable(),
            world.workers,
            unrestricted_placement(world.clock),
            ServingMetrics(),
            self.usage,
            world.nodes[0].node.quarantine,
            UnresponsiveWorkers(world.clock, directory, world.workers, TaskOwner()),
            "",
        )

    def test_each_response_belongs_to_its_request(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            responses = await asyncio.gather(
                *(forwarder.forward(route(), request(f"r{number}")) for number in range(9))
            )
            self.assertEqual(
                [response.body for response in responses], [f"r{n}".encode() for n in range(9)]
            )
            self.assertEqual(len(world.workers.runs), 9)

        run_in_world(scenario)

    def test_slow_worker_is_hedged_and_losing_attempt_cancelled(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["lookup-1"].faults.slowdown = 40.0
            await forwarder.forward(route(), request())
            self.assertLess(world.clock.monotonic(), 0.15)
            await asyncio.sleep(0.01)
            self.assertEqual([run.events for run in world.workers.runs], [0, 1])
            self.assertTrue(all(run.ended_at is not None for run in world.workers.runs))

        run_in_world(scenario)

    def test_idle_connection_is_preferred_unless_worker_is_slower(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers.idle_connections.add(BackendId("lookup-3"))
            for number in range(5):
                await forwarder.forward(route(), request(f"r{number}"))
            self.assertEqual({run.worker_id for run in world.workers.runs}, {"lookup-3"})
            world.workers["lookup-3"].faults.slowdown = 4.0
            for number in range(12):
                await forwarder.forward(route(), request(f"s{number}"))
            self.assertNotEqual(world.workers.runs[-1].worker_id, "lookup-3")

        run_in_world(scenario)

    def test_concurrent_requests_are_spread_over_workers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers.idle_connections.add(BackendId("lookup-3"))
            sends = (forwarder.forward(route(), request(f"r{number}")) for number in range(9))
            await asyncio.gather(*sends)
            busiest = Counter(run.worker_id for run in world.workers.runs).most_common(1)
            self.assertLessEqual(busiest[0][1], 4)

        run_in_world(scenario)

    def test_unresponsive_worker_is_hedged(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["lookup-1"].faults.unreachable = True
            await forwarder.forward(route(), request())
            self.assertLess(world.clock.monotonic(), 0.15)

        run_in_world(scenario)

    def test_attempt_limit_bounds_workers_that_run_a_request(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world, workers=5)
            for number in range(1, 6):
                world.workers[f"lookup-{number}"].faults.lose_responses = True
            with self.assertRaises(ResponseLostError) as raised:
                await forwarder.forward(route(attempts=2), request())
            self.assertEqual(raised.exception.execution, Execution.MAY_HAVE_RUN)
            self.assertEqual(len(world.workers.runs), 2)

        run_in_world(scenario)

    def test_at_most_once_request_is_not_resent(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.lose_responses = True
            at_most_once_route = route(RequestKind.AT_MOST_ONCE, attempts=3)
            with self.assertRaises(ResponseLostError):
                await forwarder.forward(at_most_once_route, request())
            self.assertEqual(len(world.workers.runs), 1)

        run_in_world(scenario)

    def test_at_most_once_request_is_resent_after_refusal(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            world.workers["lookup-1"].faults.full = True
            world.workers["lookup-2"].faults.full = True
            await forwarder.forward(route(RequestKind.AT_MOST_ONCE, 1), request())
            self.assertEqual([run.worker_id for run in world.workers.runs], ["lookup-3"])

        run_in_world(scenario)

    def test_refusal_by_all_workers_reports_not_run(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.full = True
            with self.assertRaises(NoWorkerError) as raised:
                await forwarder.forward(route(), request())
            self.assertEqual(raised.exception.execution, Execution.NOT_RUN)
            self.assertIsNotNone(raised.exception.retry_after_seconds)
            self.assertLess(world.clock.monotonic(), 0.4)

        run_in_world(scenario)

    def test_deadline_ends_request_and_runs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.slowdown = 1_000.0
            with self.assertRaises(RequestTimedOutError):
                await forwarder.forward(route(), request(budget_seconds=0.5))
            self.assertLessEqual(world.clock.monotonic(), 0.5)
            await asyncio.sleep(0.01)
            for run in world.workers.runs:
                self.assertLessEqual(run.started_at + run.budget_seconds, 0.5 + 0.01)
                self.assertIsNotNone(run.ended_at)

        run_in_world(scenario)

    def test_cancelled_request_ends_its_runs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            forwarder = self.forwarder(world)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.slowdown = 1_000.0
            task = asyncio.ensure_future(forwarder.forward(route(), request()))
            await asyncio.sleep(0.2)
            task.cancel()
            await asyncio.sleep(0.01)
            self.assertEqual(len(world.workers.runs), 2)
            for run in world.workers.runs:
                self.assertIsNotNone(run.ended_at)

        run_in_world(scenario)


class RouteTableTest(unittest.TestCase):
    def configuration(self, version: int, *prefixes: str) -> RoutingConfiguration:
        routes = []
        for prefix in prefixes:
            template = route()
            routes.append(
                Route(
                    name=prefix,
                    host="Host.example",
                    path_prefix=prefix,
                    kind=template.kind,
                    shares=(
                        ServiceShare(service="a", weight=90.0),
                        ServiceShare(service="b", weight=10.0),
                    ),
                    timeout_seconds=1.0,
                    target_seconds=0.1,
                    attempts=1,
                )
            )
        return RoutingConfiguration(version=version, routes=tuple(routes), limits=RequestLimits())

    def test_longest_prefix_of_host_matches(self) -> None:
        found = self.configuration(1, "/a/", "/a/b/").find("host.example:80", "/a/b/c")
        assert found is not None
        self.assertEqual(found.path_prefix, "/a/b/")
        self.assertIsNone(self.configuration(1, "/a/").find("other.example", "/a/b"))
        self.assertIsNone(self.configuration(1, "/a/").find("host.example", "/ab"))

    def test_older_configuration_is_ignored(self) -> None:
        table = RouteTable()
        self.assertTrue(table.apply(self.configuration(7, "/a/")))
        self.assertFalse(table.apply(self.configuration(5, "/b/")))
        self.assertFalse(table.apply(self.configuration(7, "/b/")))
        assert table.current is not None
        self.assertIsNotNone(table.current.find("host.example", "/a/x"))

    def test_traffic_split_follows_weights(self) -> None:
        table = RouteTable()
        split_route = self.configuration(1, "/a/").routes[0]
        chosen = [table.choose_service(split_route) for _ in range(100)]
        self.assertEqual(chosen.count("a"), 90)
        self.assertEqual(chosen.count("b"), 10)


if __name__ == "__main__":
    unittest.main()
