"""Requests and streams recover when open connections stall without a reset.

Guards against lookups that use up their attempts on stalled idle connections, and against workers
that are paused because all their streams stalled although they respond over new connections.
"""

import asyncio
import unittest

from drumbay_platform.workers import PlatformWorkerClient
from drumbay_soak.proxy import FaultyProxy
from drumbay_soak.worker_server import WorkerServer

from drumbay.batches.run_silence import WORKER_SILENCE_SECONDS
from drumbay.clock import SystemClock
from drumbay.forwarding.forwarder import Forwarder
from drumbay.forwarding.records import ClientRequest, ForwardingError
from drumbay.forwarding.routes import RequestKind, Route, RouteTable, ServiceShare
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.quarantine.service import Quarantine
from drumbay.standins.worker_pool import EmulatedWorkerPool
from drumbay.tasks import TaskOwner
from drumbay.usage.counter import UsageCounter
from drumbay.usage.records import WindowLength
from drumbay.usage.window_clock import WindowClock
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerRequest
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers
from tests.serving_world import ServingWorld, batch_spec, run_in_world, unrestricted_placement

SERVICE = "lookups"
WORKERS = 3
CONNECTIONS_PER_WORKER = 4
LOOKUPS = 24
ITEMS = 12
DETECTION_SECONDS = 1.0
"""Allows for stream silence detection, one planning cycle and one status request."""

PAUSE_DETECTION_SECONDS = 3.5
INTERVAL_SECONDS = 0.1
BUDGET_SECONDS = 8.0
"""Long enough for a busy machine; only a lost lookup takes so long."""


def lookup(number: int) -> ClientRequest:
    return ClientRequest(
        request_id=f"lookup-{number}",
        method="POST",
        target="/lookups/x",
        host="h.example",
        headers=(("X-Drumbay-Attempt-Id", f"lookup-{number}"),),
        body=b"body",
        budget_seconds=BUDGET_SECONDS,
    )


class IdleConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        self.pool = EmulatedWorkerPool(clock, response_seconds=0.025)
        self.client = PlatformWorkerClient(clock)
        self.addCleanup(self.client.close)
        self.directory = WorkerDirectory()
        self.proxies: list[FaultyProxy] = []
        self.workers = [await self.add_worker(f"w-{n}") for n in range(WORKERS)]
        self.directory.replace_all(self.workers)
        self.forwarder = Forwarder(
            clock,
            self.directory,
            RouteTable(),
            self.client,
            unrestricted_placement(clock),
            ServingMetrics(),
            UsageCounter(WindowClock(clock), WindowLength(5.0), self.workers[0].address, "boot"),
            Quarantine(
                clock,
                self.directory,
                unrestricted_placement(clock),
                self.client,
                TaskOwner(),
                ServingMetrics(),
                broadcast=lambda notice: None,
                address=self.workers[0].address,
            ),
            UnresponsiveWorkers(clock, self.directory, self.client, TaskOwner()),
            "",
        )

    async def add_worker(self, name: str) -> Worker:
        emulated = self.pool.add(name, SERVICE, slots=CONNECTIONS_PER_WORKER)
        server = WorkerServer(self.pool, emulated.worker, streams=False)
        self.addAsyncCleanup(server.close)
        proxy = FaultyProxy(server.address)
        await proxy.start()
        self.addAsyncCleanup(proxy.close)
        self.proxies.append(proxy)
        return Worker(
            worker_id=emulated.worker.worker_id,
            service=SERVICE,
            address=proxy.address,
            zone="zone-1",
            slots=CONNECTIONS_PER_WORKER,
            state=emulated.worker.state,
            versions={},
        )

    async def open_idle_connections(self) -> None:
        """Make the client hold several idle connections to each worker."""
        calls = [
            self.client.call(worker, self.idle_connection_request(f"{worker.worker_id}-{n}"))
            for worker in self.workers
            for n in range(CONNECTIONS_PER_WORKER)
        ]
        await asyncio.gather(*calls)

    @staticmethod
    def idle_connection_request(request_id: str) -> WorkerRequest:
        return WorkerRequest(
            request_id=request_id,
            method="POST",
            target="/lookups/x",
            host="h.example",
            headers=(("X-Drumbay-Attempt-Id", request_id),),
            body=b"",
            budget_seconds=BUDGET_SECONDS,
            repeatable=True,
        )

    async def is_served(self, number: int, attempts: int) -> bool:
        await asyncio.sleep(INTERVAL_SECONDS * number)
        route = Route(
            name="lookups",
            host="h.example",
            path_prefix="/lookups/",
            kind=RequestKind.IDEMPOTENT,
            shares=(ServiceShare(service=SERVICE, weight=1.0),),
            timeout_seconds=BUDGET_SECONDS,
            target_seconds=0.15,
            attempts=attempts,
        )
        try:
            response = await self.forwarder.forward(route, lookup(number))
        except ForwardingError:
            return False
        return response.body == b"body"

    async def test_lookup_without_an_answer_is_sent_no_more_often_than_its_route_allows(
        self,
    ) -> None:
        """Guards against a client that sends once more by itself when a kept connection closes."""
        for attempts in (2, 3):
            with self.subTest(attempts=attempts):
                await self.open_idle_connections()
                for worker in self.workers:
                    self.pool[worker.worker_id].faults.lose_responses = True
                self.assertFalse(await self.is_served(attempts, attempts))
                self.assertLessEqual(len(self.pool.runs_of(f"lookup-{attempts}")), attempts)
                for worker in self.workers:
                    self.pool[worker.worker_id].faults.lose_responses = False

    async def test_lookups_are_served_while_idle_connections_are_stalled(self) -> None:
        for attempts in (1, 2, 3):
            with self.subTest(attempts=attempts):
                await self.open_idle_connections()
                for proxy in self.proxies:
                    proxy.silence_open()
                served = await asyncio.gather(
                    *(self.is_served(number, attempts) for number in range(LOOKUPS))
                )
                self.assertEqual(sum(served), LOOKUPS)


class StreamsTest(unittest.TestCase):
    def test_items_resume_when_all_streams_stall(self) -> None:
        """Workers that respond over a new connection are not paused."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(2.0)
            self.assertEqual(len(world.workers.runs), ITEMS)
            world.workers.stall_count += 1
            silent_since = world.clock.monotonic()
            await asyncio.sleep(DETECTION_SECONDS)
            restarted = world.workers.runs[ITEMS:]
            self.assertEqual(len({run.request_id for run in restarted}), ITEMS)
            for run in restarted:
                self.assertGreater(run.resume_after or 0, 0)
                self.assertGreater(run.started_at - silent_since, WORKER_SILENCE_SECONDS)

        run_in_world(scenario)

    def test_worker_unreachable_over_new_connection_is_paused(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(2.0)
            world.workers["worker-1"].faults.unreachable = True
            unreachable_since = world.clock.monotonic()
            await asyncio.sleep(PAUSE_DETECTION_SECONDS)
            later = [run for run in world.workers.runs if run.started_at > unreachable_since]
            self.assertGreater(len(later), 0)
            self.assertNotIn("worker-1", {run.worker_id for run in later})

        run_in_world(scenario, worker_count=4)

    def test_worker_that_responds_but_sends_no_events_is_paused(self) -> None:
        """It stalls twice in a row, the second time over new connections."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(2.0)
            world.workers["worker-1"].faults.slowdown = 1_000.0
            await asyncio.sleep(PAUSE_DETECTION_SECONDS)
            before = len(world.workers.runs)
            await asyncio.sleep(1.0)
            later = world.workers.runs[before:]
            self.assertNotIn("worker-1", {run.worker_id for run in later})

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
