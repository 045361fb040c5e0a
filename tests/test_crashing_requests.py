"""Regression: every node sent a request that crashed its workers to further workers.

Guards against nodes that forget or do not share which workers crashed under a request.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec

from drumbay.batches.item_quarantine import ItemQuarantine
from drumbay.batches.records import BatchSpec
from drumbay.exceptions import RequestFailedError
from drumbay.forwarding.records import ClientRequest
from drumbay.forwarding.routes import RequestKind, Route, ServiceShare
from drumbay.identifiers import BackendId
from drumbay.quarantine.answered_runs import OUTLIVED_AFTER_SECONDS
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.ledger import OUTLIVED_RUNS_UNTIL_FORGOTTEN
from drumbay.quarantine.records import CrashReport, RequestSuspected, WorkerKind
from drumbay.quarantine.stored import MAX_WRITE_DELAY_SECONDS, PREFIX
from drumbay.quarantine.suspicions import MAX_SUSPICIONS, SUSPICION_TIMEOUT_SECONDS
from drumbay.standins.worker_end import WorkerEnd
from drumbay.standins.worker_pool import CONTROL_TIMEOUT_SECONDS, EmulatedWorkerPool
from drumbay.workers.records import ProbeResult
from tests.serving_world import ServingWorld, WorldNode, batch_spec, read_all, run_in_world

LOOKUPS = "lookups"
CRASHING_BODY = b"crashes its worker"
RETRY_INTERVAL_SECONDS = 3.9
SIMULATED_SECONDS = 60.0
PROPAGATION_SECONDS = 3.0
"""Every node must know of the third crash within this time."""

MIN_CRASHES = 3
MAX_LATER_TRIES = 3
MAX_WAIT_SECONDS = 5.0
"""Accepted work must be at a worker again within this time, while workers are idle."""

CONTACT_SECONDS = 3.0
"""A worker that ends silently may be found out as late as this."""

CRASHES_UNTIL_MAX_BACKOFF = 6
MIN_LATE_INTERVAL_SECONDS = 3.9
"""Interval between the runs of accepted work under which so many workers have crashed."""

REGISTRATION_SECONDS = 3.0
FAULT_AT_SECONDS = 15.0
"""Three workers have crashed under the request by this time."""

WORKER_RECOVERY_SECONDS = 4.0
"""Crashed workers are available again after this time."""

STEP_SECONDS = 7.5
GENERATION_SECONDS = 8.0
"""Time to generate a text of 160 events; too short for two consecutive generations."""

MAX_SHUTDOWN_SECONDS = 3.5
"""Longer than a shutdown without unfinished work, shorter than the wait for unfinished work."""

RESTART_INTERVAL_SECONDS = 6.0
OTHERS_INTERVAL_SECONDS = 0.1
MIN_SERVED_FRACTION = 0.95
"""Fraction of the other callers' lookups that must be served."""


def route(kind: RequestKind, attempts: int = 2, service: str = LOOKUPS) -> Route:
    return Route(
        name="lookups",
        host="host.example",
        path_prefix="/lookups/",
        kind=kind,
        shares=(ServiceShare(service=service, weight=1.0),),
        timeout_seconds=1.5,
        target_seconds=0.15,
        attempts=attempts,
    )


def request(name: str, body: bytes, target: str = "/lookups/1") -> ClientRequest:
    return ClientRequest(
        request_id=name,
        method="POST",
        target=target,
        host="host.example",
        headers=(),
        body=body,
        budget_seconds=1.5,
    )


def add_lookup_workers(world: ServingWorld, count: int = 3) -> None:
    for number in range(1, count + 1):
        world.workers.add(f"lookup-{number}", LOOKUPS)
    for node in world.nodes:
        node.directory.replace_all(world.workers.entries())


def run_with_end(
    scenario: Callable[[ServingWorld], Awaitable[None]],
    end: WorkerEnd,
    *,
    node_count: int = 7,
    keeps_ids: bool = False,
) -> None:
    """Run a scenario in which the addresses of ended workers behave in a given way."""

    async def scenario_with_end(world: ServingWorld) -> None:
        world.workers.worker_end = end
        await scenario(world)

    run_in_world(
        scenario_with_end,
        node_count=node_count,
        worker_count=6,
        scorer_count=3,
        workers_keep_ids=keeps_ids,
    )


async def start_nodes(world: ServingWorld) -> None:
    """Start every node, and wait until they have discovered each other."""
    for node in world.nodes:
        node.lead()
    await asyncio.sleep(REGISTRATION_SECONDS)


async def restart(world: ServingWorld, index: int, boot: int) -> None:
    """Kill the process of a node and start a new one."""
    await world.nodes[index].kill()
    world.nodes[index] = WorldNode(world, index + 1, boot)
    world.nodes[index].lead()


async def send_crashing_requests(
    world: ServingWorld, kind: RequestKind, attempts: int = 2
) -> list[str]:
    """Repeatedly send the request that crashes its workers; return the request ids of its tries."""
    tries: list[str] = []
    while world.clock.monotonic() < SIMULATED_SECONDS:
        for _ in range(2):
            number = len(tries)
            name = f"crashing-{number}"
            tries.append(name)
            forwarder = world.nodes[number % len(world.nodes)].node.forwarder
            try:
                await forwarder.forward(route(kind, attempts), request(name, CRASHING_BODY))
            except RequestFailedError as error:
                if kind is RequestKind.AT_MOST_ONCE and error.retry_after_seconds is None:
                    break
            await asyncio.sleep(0.05)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    return tries


async def served_fraction_of_others(world: ServingWorld) -> float:
    """Send harmless requests to each node in turn; return the fraction that was served."""
    served = sent = 0
    while world.clock.monotonic() < SIMULATED_SECONDS:
        forwarder = world.nodes[sent % len(world.nodes)].node.forwarder
        name = f"sound-{sent}"
        sent += 1
        try:
            await forwarder.forward(route(RequestKind.IDEMPOTENT), request(name, name.encode()))
            served += 1
        except RequestFailedError:
            pass
        await asyncio.sleep(OTHERS_INTERVAL_SECONDS)
    return served / sent


def count_late_tries(workers: EmulatedWorkerPool, request_ids: set[str]) -> int:
    """Return how many tries reached a worker after every node should know of the third crash.

    Tries of an item or a reward request share an id, so each of their runs counts.
    """
    runs = [run for run in workers.runs if run.request_id in request_ids]
    ended = {crash.incarnation: crash.at for crash in workers.crashes}
    times = sorted({ended[run.incarnation] for run in runs if run.incarnation in ended})
    if len(times) < MIN_CRASHES:
        return 0
    late = [run for run in runs if run.started_at > times[MIN_CRASHES - 1] + PROPAGATION_SECONDS]
    return len({run.request_id for run in late}) if len(request_ids) > 1 else len(late)


def crash_report(number: int, began_seconds_ago: float, ended_seconds_ago: float) -> CrashReport:
    return CrashReport(
        worker_id=BackendId(f"w{number}"),
        kind=WorkerKind(service=LOOKUPS, release=""),
        began_seconds_ago=began_seconds_ago,
        ended_seconds_ago=ended_seconds_ago,
    )


class CrashingRequestsTest(unittest.TestCase):
    def assert_held_back(self, world: ServingWorld, request_ids: set[str]) -> None:
        self.assertGreaterEqual(len(world.workers.crashes), MIN_CRASHES)
        self.assertLessEqual(count_late_tries(world.workers, request_ids), MAX_LATER_TRIES)

    def assert_retried(self, world: ServingWorld, request_id: str) -> None:
        """Assert that accepted work never waits for long, and does not crash workers often."""
        runs = [run for run in world.workers.runs if run.request_id == request_id]
        crashed_at = {crash.incarnation: crash.at for crash in world.workers.crashes}
        crashes = sorted({crashed_at[r.incarnation] for r in runs if r.incarnation in crashed_at})
        starts = sorted(run.started_at for run in runs)
        self.assertGreaterEqual(len(crashes), MIN_CRASHES)
        is_silent = world.workers.worker_end is not WorkerEnd.REFUSES
        max_wait_seconds = MAX_WAIT_SECONDS + (CONTACT_SECONDS if is_silent else 0.0)
        for crash_at in crashes:
            next_start = min((at for at in starts if at > crash_at), default=SIMULATED_SECONDS)
            self.assertLessEqual(next_start - crash_at, max_wait_seconds)
        late = [at for at in starts if at > crashes[CRASHES_UNTIL_MAX_BACKOFF - 1]]
        late_seconds = SIMULATED_SECONDS - crashes[CRASHES_UNTIL_MAX_BACKOFF - 1]
        self.assertLessEqual(len(late), late_seconds / MIN_LATE_INTERVAL_SECONDS)

    async def run_requests(
        self,
        world: ServingWorld,
        kind: RequestKind,
        inject_faults: Callable[[ServingWorld], Awaitable[None]] | None = None,
    ) -> None:
        add_lookup_workers(world)
        await start_nodes(world)
        world.workers.crashing_bodies.add(CRASHING_BODY)
        fault_task = (
            asyncio.ensure_future(inject_faults(world)) if inject_faults is not None else None
        )
        tries, share = await asyncio.gather(
            send_crashing_requests(world, kind), served_fraction_of_others(world)
        )
        if fault_task is not None:
            await fault_task
        self.assert_held_back(world, set(tries))
        self.assertGreaterEqual(share, MIN_SERVED_FRACTION)

    async def run_rolling_restart(self, world: ServingWorld) -> None:
        async def inject_faults(world: ServingWorld) -> None:
            await asyncio.sleep(FAULT_AT_SECONDS)
            for index in range(len(world.nodes)):
                await restart(world, index, 1)
                await asyncio.sleep(RESTART_INTERVAL_SECONDS)

        await self.run_requests(world, RequestKind.IDEMPOTENT, inject_faults)

    async def run_restart_of_all_nodes(self, world: ServingWorld) -> None:
        async def inject_faults(world: ServingWorld) -> None:
            await asyncio.sleep(FAULT_AT_SECONDS)
            for index in range(len(world.nodes)):
                await restart(world, index, 1)

        await self.run_requests(world, RequestKind.IDEMPOTENT, inject_faults)

    async def run_store_outage(self, world: ServingWorld) -> None:
        async def inject_faults(world: ServingWorld) -> None:
            for node in world.nodes:
                node.store.reachable = False
            await asyncio.sleep(SIMULATED_SECONDS / 2)
            for node in world.nodes:
                node.store.reachable = True

        await self.run_requests(world, RequestKind.IDEMPOTENT, inject_faults)

    async def run_partition_between_nodes(self, world: ServingWorld) -> None:
        async def inject_faults(world: ServingWorld) -> None:
            world.peers.cut.update(world.peers.nodes)

        await self.run_requests(world, RequestKind.IDEMPOTENT, inject_faults)

    async def run_lookups(self, world: ServingWorld) -> None:
        await self.run_requests(world, RequestKind.IDEMPOTENT)

    async def run_late_discovery(self, world: ServingWorld) -> None:
        """Restarted workers answer before their restart is discovered."""
        world.workers.discovery_delay_seconds = 1.5
        await self.run_requests(world, RequestKind.IDEMPOTENT)

    async def run_hedged_lookups(self, world: ServingWorld) -> None:
        """The worker crashes only after the lookup was hedged to a second one."""
        world.workers.crash_seconds = 0.2
        await self.run_requests(world, RequestKind.IDEMPOTENT)
        first_tries = [run for run in world.workers.runs if run.request_id == "crashing-0"]
        self.assertEqual(len(first_tries), 2)

    async def run_bookings(self, world: ServingWorld) -> None:
        await self.run_requests(world, RequestKind.AT_MOST_ONCE)

    async def run_item(self, world: ServingWorld) -> None:
        spec = batch_spec()
        crashing = msgspec.structs.replace(spec.items[0], body=CRASHING_BODY)
        spec = msgspec.structs.replace(spec, items=(crashing, *spec.items[1:]))
        world.workers.crashing_bodies.add(CRASHING_BODY)
        await self.run_batch(world, msgspec.structs.replace(spec, queue_limit_seconds=600.0))
        self.assert_retried(world, crashing.item_id)

    async def run_reward(self, world: ServingWorld) -> None:
        spec = batch_spec(scored=True)
        first = spec.items[0]
        assert first.reward_request is not None
        crashing = msgspec.structs.replace(first.reward_request, body=CRASHING_BODY)
        item = msgspec.structs.replace(first, reward_request=crashing)
        spec = msgspec.structs.replace(spec, items=(item, *spec.items[1:]))
        world.workers.crashing_bodies.add(CRASHING_BODY)
        await self.run_batch(world, msgspec.structs.replace(spec, queue_limit_seconds=600.0))
        self.assert_retried(world, crashing.request_id)

    async def run_batch(self, world: ServingWorld, spec: BatchSpec) -> None:
        """Run a batch job; assert that all items except the first complete in time."""
        batches = world.nodes[0].batches
        await batches.submit(spec)
        await asyncio.sleep(20.0)
        page = await batches.read(spec.batch_id, 0, 0.0)
        listed = {result.item_id for result in page.results}
        self.assertEqual(listed, {item.item_id for item in spec.items[1:]})
        await asyncio.sleep(SIMULATED_SECONDS - 20.0)

    def test_a_node_that_believes_less_leaves_what_others_have_stored(self) -> None:
        """Consecutive crashes can look concurrent to a node that learns of them late."""

        async def scenario(world: ServingWorld) -> None:
            await start_nodes(world)
            quarantines = [node.node.quarantine for node in world.nodes]
            fingerprint = request("r", CRASHING_BODY).fingerprint
            consecutive_crashes = tuple(
                crash_report(number, 9.0 - number, 8.9 - number) for number in range(2)
            )
            concurrent = tuple(crash_report(number, 9.0, 8.0) for number in range(2))
            quarantines[1].handle_notice(
                RequestSuspected(fingerprint=fingerprint, deaths=concurrent)
            )
            quarantines[0].handle_notice(
                RequestSuspected(fingerprint=fingerprint, deaths=consecutive_crashes)
            )
            await asyncio.sleep(2 * MAX_WRITE_DELAY_SECONDS)
            stored = world.model.range_prefix(PREFIX)
            self.assertEqual([item.key for item in stored.items], [f"{PREFIX}{fingerprint}"])
            self.assertEqual(quarantines[0].ledger.consecutive_crashes(fingerprint), 2)
            for _ in range(OUTLIVED_RUNS_UNTIL_FORGOTTEN):
                now = world.clock.monotonic()
                worker = world.workers["worker-1"].worker
                quarantines[1].record_answer(fingerprint, "r", worker, now, has_failed=False)
                await asyncio.sleep(2 * OUTLIVED_AFTER_SECONDS)
            self.assertEqual(world.model.range_prefix(PREFIX).items, ())
            self.assertTrue(all(quarantine.is_idle for quarantine in quarantines))

        run_in_world(scenario, node_count=2)

    def test_request_that_crashes_its_workers_stops_reaching_them(self) -> None:
        kinds: dict[str, Callable[[ServingWorld], Awaitable[None]]] = {
            "lookups": self.run_lookups,
            "lookups, nodes restarted in turn": self.run_rolling_restart,
            "lookups, all nodes restarted at once": self.run_restart_of_all_nodes,
            "lookups, the store away": self.run_store_outage,
            "lookups, nodes cut off from each other": self.run_partition_between_nodes,
            "lookups, hedged": self.run_hedged_lookups,
            "bookings": self.run_bookings,
            "item": self.run_item,
            "reward": self.run_reward,
        }
        for name, scenario in kinds.items():
            with self.subTest(kind=name):
                run_in_world(scenario, node_count=3, worker_count=6, scorer_count=3)

    def test_request_that_crashes_restarting_workers_stops_reaching_them(
        self,
    ) -> None:
        """A response of a restarted worker must not withdraw the crash of its previous start."""
        kinds: dict[str, Callable[[ServingWorld], Awaitable[None]]] = {
            "lookups": self.run_lookups,
            "lookups, nodes restarted in turn": self.run_rolling_restart,
            "lookups, all nodes restarted at once": self.run_restart_of_all_nodes,
            "lookups, the store away": self.run_store_outage,
            "lookups, nodes cut off from each other": self.run_partition_between_nodes,
            "lookups, hedged": self.run_hedged_lookups,
            "lookups, discovery late": self.run_late_discovery,
            "bookings": self.run_bookings,
            "item": self.run_item,
            "reward": self.run_reward,
        }
        for name, scenario in kinds.items():
            for worker_count in (2, 6) if name == "item" else (6,):
                with self.subTest(kind=name, workers=worker_count):
                    run_in_world(
                        scenario,
                        node_count=3,
                        worker_count=worker_count,
                        scorer_count=3,
                        workers_keep_ids=True,
                    )

    def test_request_that_crashes_workers_whose_addresses_accept_connections(self) -> None:
        """Nothing refuses connections in the place of an ended worker, as behind a proxy."""
        kinds: dict[str, Callable[[ServingWorld], Awaitable[None]]] = {
            "lookups": self.run_lookups,
            "bookings": self.run_bookings,
            "item": self.run_item,
            "reward": self.run_reward,
        }
        for name, scenario in kinds.items():
            for end in (WorkerEnd.RESETS, WorkerEnd.SILENT, WorkerEnd.CLOSES):
                for keeps_ids in (False, True):
                    with self.subTest(kind=name, end=end, keeps_ids=keeps_ids):
                        run_with_end(scenario, end, keeps_ids=keeps_ids)

    def test_request_that_crashes_silent_workers_while_nodes_are_cut_off_from_each_other(
        self,
    ) -> None:
        for keeps_ids in (False, True):
            with self.subTest(keeps_ids=keeps_ids):
                run_with_end(
                    self.run_partition_between_nodes, WorkerEnd.SILENT, keeps_ids=keeps_ids
                )

    def test_one_try_leaves_a_worker_if_ended_workers_do_not_refuse_connections(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            world.workers.crashing_bodies.add(CRASHING_BODY)
            with self.assertRaises(RequestFailedError):
                await world.nodes[0].node.forwarder.forward(
                    route(RequestKind.IDEMPOTENT, attempts=3), request("crashing", CRASHING_BODY)
                )
            self.assertLessEqual(len(world.workers.crashes), 2)

        for end in WorkerEnd:
            with self.subTest(end=end):
                run_with_end(scenario, end)


class SoundRequestsTest(unittest.TestCase):
    """Requests that crash no worker are served despite failures of their runs."""

    def test_request_with_lost_responses_is_served_after_recovery(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            forwarder = world.nodes[0].node.forwarder
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.lose_responses = True
            for number in range(10):
                with self.assertRaises(RequestFailedError):
                    await forwarder.forward(
                        route(RequestKind.IDEMPOTENT), request(f"r{number}", b"sound")
                    )
                await asyncio.sleep(0.2)
            self.assertGreaterEqual(len(world.workers.runs), 10)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.lose_responses = False
            for number in range(20):
                await forwarder.forward(
                    route(RequestKind.IDEMPOTENT), request(f"s{number}", b"sound")
                )

        run_in_world(scenario, node_count=2)

    def test_request_on_a_crashed_worker_is_served_by_another(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            forwarder = world.nodes[0].node.forwarder
            world.workers.crashing_bodies.add(CRASHING_BODY)
            crashing = asyncio.ensure_future(
                forwarder.forward(route(RequestKind.AT_MOST_ONCE), request("c", CRASHING_BODY))
            )
            await asyncio.sleep(0.03)
            # One of them runs on the worker that is about to crash.
            sound = [
                forwarder.forward(route(RequestKind.IDEMPOTENT), request(f"s{n}", b"sound"))
                for n in range(6)
            ]
            await asyncio.gather(*sound)
            with self.assertRaises(RequestFailedError):
                await crashing
            self.assertEqual(len(world.workers.crashes), 1)

        run_in_world(scenario, node_count=2)

    def test_common_request_survives_simultaneous_crash_of_all_workers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world, count=6)
            await start_nodes(world)
            sound = [
                world.nodes[n % 2].node.forwarder.forward(
                    route(RequestKind.IDEMPOTENT), request(f"s{n}", b"sound")
                )
                for n in range(60)
            ]
            calls = [asyncio.ensure_future(each) for each in sound]
            await asyncio.sleep(0.01)
            ended = [world.workers[f"lookup-{number}"] for number in range(1, 7)]
            await asyncio.gather(*calls, *map(world.workers.end, ended), return_exceptions=True)
            self.assertEqual(len(world.workers.crashes), 6)
            self.assertFalse(world.nodes[0].node.quarantine.is_idle)
            await asyncio.sleep(WORKER_RECOVERY_SECONDS)
            for number in range(20):
                node = world.nodes[number % 2].node
                await node.forwarder.forward(
                    route(RequestKind.IDEMPOTENT), request(f"t{number}", b"sound")
                )

        run_in_world(scenario, node_count=2)

    def test_identical_items_continue_concurrently_after_a_crash(self) -> None:
        """The items of a group sample the same prompt, so they share a path and a body."""

        async def scenario(world: ServingWorld) -> None:
            await start_nodes(world)
            world.workers.long_texts = True
            spec = batch_spec(groups=1, group_size=12)
            items = tuple(msgspec.structs.replace(item, body=b"prompt") for item in spec.items)
            spec = msgspec.structs.replace(spec, items=items)
            batches = world.nodes[0].batches
            await batches.submit(spec)
            await asyncio.sleep(0.5)
            await world.workers.end(world.workers["worker-1"])
            results = await read_all(batches, spec.batch_id, GENERATION_SECONDS)
            self.assertEqual(len(results), 12)

        run_in_world(scenario, node_count=2, worker_count=6)

    def test_items_beside_a_crashing_one_complete_in_time(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await start_nodes(world)
            spec = batch_spec(groups=6)
            crashing = msgspec.structs.replace(spec.items[0], body=CRASHING_BODY)
            spec = msgspec.structs.replace(spec, items=(crashing, *spec.items[1:]))
            world.workers.crashing_bodies.add(CRASHING_BODY)
            batches = world.nodes[0].batches
            await batches.submit(spec)
            await asyncio.sleep(STEP_SECONDS)
            page = await batches.read(spec.batch_id, 0, 0.0)
            self.assertEqual(len(page.results), len(spec.items) - 1)

        run_in_world(scenario, node_count=2, worker_count=6)


class PlannedStopTest(unittest.TestCase):
    def test_planned_stop_does_not_wait_for_held_items(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await start_nodes(world)
            spec = batch_spec()
            crashing = msgspec.structs.replace(spec.items[0], body=CRASHING_BODY)
            spec = msgspec.structs.replace(spec, items=(crashing, *spec.items[1:]))
            world.workers.crashing_bodies.add(CRASHING_BODY)
            node = world.nodes[0]
            await node.batches.submit(spec)
            await asyncio.sleep(STEP_SECONDS)
            page = await node.batches.read(spec.batch_id, 0, 0.0)
            self.assertEqual(len(page.results), len(spec.items) - 1)
            stop_began_at = world.clock.monotonic()
            await node.node.stop()
            self.assertLess(world.clock.monotonic() - stop_began_at, MAX_SHUTDOWN_SECONDS)

        run_in_world(scenario, node_count=2, worker_count=6)


class ItemQuarantineTest(unittest.TestCase):
    def test_late_end_of_a_run_does_not_end_the_next_run(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            spec = batch_spec()
            item = spec.items[0]
            quarantine = world.nodes[0].node.quarantine
            items = ItemQuarantine(quarantine, spec)
            first, second = (world.workers[f"worker-{number}"].worker for number in (1, 2))
            items.begin_run(item, first, 0.0)
            items.begin_run(item, second, 1.0)
            items.end_run(item, first)
            items.record_silence(item.item_id, mock.Mock())
            self.assertEqual(quarantine.suspected_requests, 1)
            items.end_run(item, second)
            items.record_silence(item.item_id, mock.Mock())
            self.assertEqual(quarantine.suspected_requests, 1)

        run_in_world(scenario, node_count=1)


class QuarantineTest(unittest.TestCase):
    def test_suspicions_expire_and_are_bounded(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            quarantine = world.nodes[0].node.quarantine
            worker = world.workers["lookup-1"].worker
            for number in range(2 * MAX_SUSPICIONS):
                quarantine.record_unanswered_run(Fingerprint(f"f{number}"), "r", worker, 0.0)
                quarantine.record_unanswered_run(Fingerprint("often"), "r", worker, 0.0)
            self.assertEqual(quarantine.suspected_requests, MAX_SUSPICIONS)
            await asyncio.sleep(SUSPICION_TIMEOUT_SECONDS + 1.0)
            quarantine.record_unanswered_run(Fingerprint("later"), "r", worker, 0.0)
            self.assertEqual(quarantine.suspected_requests, 1)
            self.assertTrue(quarantine.is_tracked(Fingerprint("later")))

        run_in_world(scenario, node_count=1)

    def test_crash_of_a_silent_worker_is_told_before_the_request_comes_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            world.workers.crashing_bodies.add(CRASHING_BODY)
            with self.assertRaises(RequestFailedError):
                await world.nodes[0].node.forwarder.forward(
                    route(RequestKind.AT_MOST_ONCE), request("r", CRASHING_BODY)
                )
            fingerprint = request("r", CRASHING_BODY).fingerprint
            for is_confirmed, seconds in ((False, CONTROL_TIMEOUT_SECONDS), (True, 4.0)):
                await asyncio.sleep(seconds + 0.1)
                for node in world.nodes:
                    (crash,) = node.node.quarantine.ledger.crashes(fingerprint)
                    self.assertEqual(crash.is_confirmed, is_confirmed)

        for end in (WorkerEnd.RESETS, WorkerEnd.SILENT, WorkerEnd.CLOSES):
            for node_count in (4, 7, 40):
                with self.subTest(end=end, nodes=node_count):
                    run_with_end(scenario, end, node_count=node_count)

    def test_silent_worker_is_asked_less_and_less_often(self) -> None:
        """Guards against checks that add up while a whole zone is unreachable."""

        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            silent = world.workers["lookup-1"]
            silent.faults.unreachable = True
            with mock.patch.object(
                world.workers, "probe", mock.AsyncMock(return_value=ProbeResult.SILENT)
            ) as probe:
                for number in range(20):
                    world.nodes[0].node.quarantine.record_broken_run(
                        Fingerprint(f"f{number}"), "r", silent.worker, 0.0
                    )
                await asyncio.sleep(SUSPICION_TIMEOUT_SECONDS)
            self.assertLessEqual(probe.await_count, SUSPICION_TIMEOUT_SECONDS)
            self.assertGreater(probe.await_count, SUSPICION_TIMEOUT_SECONDS / 2)

        run_in_world(scenario, node_count=1)

    def test_crash_of_a_silent_worker_is_told_while_its_caller_waits(self) -> None:
        """The caller may ask another node as soon as its wait is over."""

        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            world.workers.crashing_bodies.add(CRASHING_BODY)
            crashing = request("r", CRASHING_BODY)
            waiting = asyncio.create_task(
                world.nodes[0].node.forwarder.forward(route(RequestKind.AT_MOST_ONCE), crashing)
            )
            await asyncio.sleep(1.0)
            self.assertFalse(waiting.done())
            for node in world.nodes:
                self.assertIn(crashing.fingerprint, node.node.quarantine.ledger)
            with self.assertRaises(RequestFailedError):
                await waiting

        run_with_end(scenario, WorkerEnd.SILENT)

    def test_worker_that_lost_a_response_is_suspected_by_nobody(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            for number in (1, 2, 3):
                world.workers[f"lookup-{number}"].faults.lose_responses = True
            with self.assertRaises(RequestFailedError):
                await world.nodes[0].node.forwarder.forward(
                    route(RequestKind.IDEMPOTENT), request("r", b"sound")
                )
            await asyncio.sleep(0.1)
            self.assertTrue(all(node.node.quarantine.is_idle for node in world.nodes))

        run_in_world(scenario)

    def test_run_on_a_worker_that_has_crashed_before_counts_for_nothing(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            quarantine = world.nodes[0].node.quarantine
            world.workers.worker_end = WorkerEnd.RESETS
            crashed = world.workers["lookup-1"]
            ending = asyncio.create_task(world.workers.end(crashed))
            now = world.clock.monotonic()
            quarantine.record_broken_run(Fingerprint("f"), "r", crashed.worker, now)
            await asyncio.sleep(0.1)
            self.assertIn(Fingerprint("f"), quarantine.ledger)
            now = world.clock.monotonic()
            quarantine.record_broken_run(Fingerprint("g"), "s", crashed.worker, now)
            await asyncio.sleep(0.1)
            self.assertNotIn(Fingerprint("g"), quarantine.ledger)
            await ending

        run_in_world(scenario, workers_keep_ids=True)

    def test_unreachable_worker_counts_as_crashed_once_replaced(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            node = world.nodes[0].node
            unreachable_worker = world.workers["lookup-1"]
            unreachable_worker.faults.unreachable = True
            node.quarantine.record_unanswered_run(
                Fingerprint("f"), "r", unreachable_worker.worker, 0.0
            )
            self.assertEqual(
                node.quarantine.verdict(Fingerprint("f"), LOOKUPS).consecutive_crashes, 0
            )
            await world.workers.end(unreachable_worker)
            self.assertEqual(
                node.quarantine.verdict(Fingerprint("f"), LOOKUPS).consecutive_crashes, 1
            )

        run_in_world(scenario, node_count=2)

    def test_worker_reachable_again_withdraws_its_crash(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            quarantines = [node.node.quarantine for node in world.nodes]
            worker = world.workers["lookup-1"].worker
            fingerprint = Fingerprint("f")
            crash = crash_report(1, 2.0, 1.0)
            crash = msgspec.structs.replace(crash, worker_id=worker.worker_id)
            for quarantine in quarantines:
                quarantine.handle_notice(RequestSuspected(fingerprint=fingerprint, deaths=(crash,)))
            self.assertTrue(all(fingerprint in each.ledger for each in quarantines))
            forwarder = world.nodes[0].node.forwarder
            for number in range(9):
                name = f"r{number}"
                await forwarder.forward(route(RequestKind.IDEMPOTENT), request(name, name.encode()))
            await asyncio.sleep(0.1)
            self.assertFalse(any(fingerprint in each.ledger for each in quarantines))

        run_in_world(scenario, node_count=2)
