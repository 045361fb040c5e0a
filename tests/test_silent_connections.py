"""Regression: service fell to 72% while open connections were silent.

Symptom: on six nodes before nine workers, about a quarter of the work was not served on days on
which open connections said nothing more, without a reset, while new ones worked.

Sequence, seen in runs of the real processes with every open connection silenced at one moment:
no item started for 19 s; the trainers had named new versions that no node heard of; nodes
answered 404 for routes that had been in force in the store for seconds, and took removed keys.
At 19 s the watches' own time limit passed, and all went on within half a second.

Cause: that a connection lives was told from other connections. A waiting watch of the store
counted as alive while the heartbeat was answered, which has a connection of its own
(``request_without_route ... configuration_age_seconds=1.06`` beside ``store_lost ...
unheard_seconds=20.6``). A request went from one kept, silent connection to the next until its
attempts were used up (``request_not_served sent=2 elapsed_seconds=2.0``). Streams that were silent
together counted as signs of dead workers (``item_run_stopped reason=silent`` for all of them at
once, then ``worker_paused pause_seconds=4.0``), and what started again took another silent
connection.
"""

import asyncio
import unittest

from drumbay_platform.workers import PlatformWorkerClient
from drumbay_soak.proxy import FaultyProxy
from drumbay_soak.worker_server import WorkerServer

from drumbay.batches.run_silence import SILENCE_OF_A_WORKER_SECONDS
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
from tests.serving_world import ServingWorld, batch_spec, play

SERVICE = "lookups"
WORKERS = 3
KEPT_PER_WORKER = 4
LOOKUPS = 24
ITEMS = 12
NOTICED_SECONDS = 1.0
"""The silence of a worker that made events, a plan, and one question on a new connection."""

PAUSED_SECONDS = 3.5
INTERVAL_SECONDS = 0.1
BUDGET_SECONDS = 8.0
"""Long against every step on a busy machine; only a lookup that is lost takes so long."""


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


class KeptConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        self.pool = EmulatedWorkerPool(clock, answer_seconds=0.025)
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
            "zone-1",
            ServingMetrics(),
            UsageCounter(WindowClock(clock), WindowLength(5.0), self.workers[0].address, "boot"),
            Quarantine(
                clock,
                self.directory,
                self.client,
                TaskOwner(),
                ServingMetrics(),
                tell=lambda notice: None,
            ),
            "",
        )

    async def add_worker(self, name: str) -> Worker:
        emulated = self.pool.add(name, SERVICE, slots=KEPT_PER_WORKER)
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
            slots=KEPT_PER_WORKER,
            state=emulated.worker.state,
            versions={},
        )

    async def keep_connections(self) -> None:
        """Let the client keep several connections to each worker."""
        calls = [
            self.client.call(worker, self.kept_request(f"{worker.worker_id}-{n}"))
            for worker in self.workers
            for n in range(KEPT_PER_WORKER)
        ]
        await asyncio.gather(*calls)

    @staticmethod
    def kept_request(request_id: str) -> WorkerRequest:
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
            answer = await self.forwarder.forward(route, lookup(number))
        except ForwardingError:
            return False
        return answer.body == b"body"

    async def test_lookups_are_served_while_kept_connections_are_silent(self) -> None:
        for attempts in (1, 2, 3):
            with self.subTest(attempts=attempts):
                await self.keep_connections()
                for proxy in self.proxies:
                    proxy.silence_open()
                served = await asyncio.gather(
                    *(self.is_served(number, attempts) for number in range(LOOKUPS))
                )
                self.assertEqual(sum(served), LOOKUPS)


class StreamsTest(unittest.TestCase):
    def test_items_go_on_at_once_when_all_their_streams_fall_silent(self) -> None:
        """Workers that answer at once on a new connection are not paused."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(2.0)
            self.assertEqual(len(world.workers.runs), ITEMS)
            world.workers.silences += 1
            silent_since = world.clock.monotonic()
            await asyncio.sleep(NOTICED_SECONDS)
            restarted = world.workers.runs[ITEMS:]
            self.assertEqual(len({run.request_id for run in restarted}), ITEMS)
            for run in restarted:
                self.assertGreater(run.resume_after or 0, 0)
                self.assertGreater(run.started_at - silent_since, SILENCE_OF_A_WORKER_SECONDS)

        play(scenario)

    def test_a_worker_that_does_not_answer_on_a_new_connection_is_paused(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(2.0)
            world.workers["worker-1"].faults.dark = True
            dark_since = world.clock.monotonic()
            await asyncio.sleep(PAUSED_SECONDS)
            later = [run for run in world.workers.runs if run.started_at > dark_since]
            self.assertGreater(len(later), 0)
            self.assertNotIn("worker-1", {run.worker_id for run in later})

        play(scenario, worker_count=4)

    def test_a_worker_that_answers_but_makes_nothing_is_paused(self) -> None:
        """Two silences in a row, the second over connections opened after the first."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            await world.nodes[0].batches.submit(batch_spec())
            await asyncio.sleep(2.0)
            world.workers["worker-1"].faults.slowdown = 1_000.0
            await asyncio.sleep(PAUSED_SECONDS)
            before = len(world.workers.runs)
            await asyncio.sleep(1.0)
            later = world.workers.runs[before:]
            self.assertNotIn("worker-1", {run.worker_id for run in later})

        play(scenario)


if __name__ == "__main__":
    unittest.main()
