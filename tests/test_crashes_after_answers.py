"""Regression: requests went on reaching workers that answered them, and then crashed.

Guards against crashes that are forgotten, or blamed on others, because the run had an answer.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from unittest import mock

import msgspec

from drumbay.exceptions import RequestFailedError
from drumbay.forwarding.routes import RequestKind
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.standins.crash_timing import CrashTiming
from drumbay.standins.worker_end import WorkerEnd
from drumbay.standins.worker_pool import REPLACEMENT_SECONDS
from drumbay.workers.records import ProbeResult, WorkerState
from tests.serving_world import ServingWorld, batch_spec, run_in_world
from tests.test_crashing_requests import (
    CRASHING_BODY,
    FAULT_AT_SECONDS,
    LOOKUPS,
    MAX_LATER_TRIES,
    MIN_CRASHES,
    MIN_SERVED_FRACTION,
    REGISTRATION_SECONDS,
    RESTART_INTERVAL_SECONDS,
    SIMULATED_SECONDS,
    WORKER_RECOVERY_SECONDS,
    add_lookup_workers,
    count_late_tries,
    request,
    restart,
    route,
    served_fraction_of_others,
    start_nodes,
)

CALL_INTERVAL_SECONDS = 4.5
NODE_COUNT = 7


async def call_repeatedly(world: ServingWorld, interval_seconds: float) -> list[str]:
    """Repeat the crashing lookup at the nodes in turn, once more after a failure."""
    names: list[str] = []
    while world.clock.monotonic() < SIMULATED_SECONDS:
        for _ in range(2):
            names.append(f"crashing-{len(names)}")
            forwarder = world.nodes[len(names) % len(world.nodes)].node.forwarder
            try:
                await forwarder.forward(
                    route(RequestKind.IDEMPOTENT, attempts=3), request(names[-1], CRASHING_BODY)
                )
                break
            except RequestFailedError:
                await asyncio.sleep(0.05)
        await asyncio.sleep(interval_seconds)
    return names


async def take_store_away(world: ServingWorld) -> None:
    await asyncio.sleep(REGISTRATION_SECONDS)
    for node in world.nodes:
        node.store.reachable = False
    await asyncio.sleep(SIMULATED_SECONDS / 2)
    for node in world.nodes:
        node.store.reachable = True


async def restart_all_nodes(world: ServingWorld) -> None:
    await asyncio.sleep(FAULT_AT_SECONDS)
    for index in range(len(world.nodes)):
        await restart(world, index, 1)


async def restart_nodes_in_turn(world: ServingWorld) -> None:
    await asyncio.sleep(FAULT_AT_SECONDS)
    for index in range(len(world.nodes)):
        await restart(world, index, 1)
        await asyncio.sleep(RESTART_INTERVAL_SECONDS)


async def cut_off_nodes(world: ServingWorld) -> None:
    world.peers.cut.update(world.peers.nodes)


async def kill_in_turn(world: ServingWorld, interval_seconds: float) -> None:
    """End one of the workers that serve lookups after the other, and the first one again."""
    killed = 0
    ends: list[asyncio.Future[None]] = []
    while True:
        await asyncio.sleep(interval_seconds)
        alive = [
            world.workers[worker.worker_id]
            for worker in world.workers.entries()
            if worker.service == LOOKUPS and not world.workers[worker.worker_id].has_stopped
        ]
        if len(alive) > 1:
            ends.append(asyncio.ensure_future(world.workers.end(alive[killed % len(alive)])))
            killed += 1


class CrashesAfterAnswersTest(unittest.TestCase):
    def run_crashes(
        self,
        timing: CrashTiming,
        *,
        end: WorkerEnd = WorkerEnd.REFUSES,
        keeps_ids: bool = False,
        has_others: bool = True,
        closes_connections: bool = True,
        inject_faults: Callable[[ServingWorld], Awaitable[None]] | None = None,
    ) -> None:
        async def scenario(world: ServingWorld) -> None:
            faults = asyncio.ensure_future(inject_faults(world)) if inject_faults else None
            add_lookup_workers(world)
            world.workers.closes_connections = closes_connections
            world.workers.worker_end = end
            world.workers.crashing_bodies.add(CRASHING_BODY)
            world.workers.crash_timings[CRASHING_BODY] = timing
            await start_nodes(world)
            if has_others:
                names, share = await asyncio.gather(
                    call_repeatedly(world, CALL_INTERVAL_SECONDS), served_fraction_of_others(world)
                )
                self.assertGreaterEqual(share, MIN_SERVED_FRACTION)
            else:
                names = await call_repeatedly(world, CALL_INTERVAL_SECONDS)
            self.assertGreaterEqual(len(world.workers.crashes), MIN_CRASHES)
            self.assertLessEqual(count_late_tries(world.workers, set(names)), MAX_LATER_TRIES)
            if faults is not None:
                await faults

        run_in_world(scenario, node_count=NODE_COUNT, workers_keep_ids=keeps_ids)

    def test_request_whose_workers_answer_and_crash_is_held(self) -> None:
        for has_others in (True, False):
            for keeps_ids in (True, False):
                with self.subTest(has_others=has_others, keeps_ids=keeps_ids):
                    self.run_crashes(
                        CrashTiming.AFTER_ANSWER, has_others=has_others, keeps_ids=keeps_ids
                    )

    def test_request_whose_workers_answer_and_crash_is_held_without_kept_connections(self) -> None:
        for keeps_ids in (True, False):
            with self.subTest(keeps_ids=keeps_ids):
                self.run_crashes(
                    CrashTiming.AFTER_ANSWER,
                    has_others=False,
                    keeps_ids=keeps_ids,
                    closes_connections=False,
                )

    def test_request_whose_workers_answer_and_crash_at_silent_addresses_is_held(self) -> None:
        for end in (WorkerEnd.RESETS, WorkerEnd.SILENT, WorkerEnd.CLOSES):
            with self.subTest(end=end):
                self.run_crashes(CrashTiming.AFTER_ANSWER, end=end, has_others=False)

    def test_request_whose_workers_answer_and_crash_is_held_despite_faults(self) -> None:
        faults = {
            "the store is away": take_store_away,
            "all nodes are restarted": restart_all_nodes,
            "nodes are restarted in turn": restart_nodes_in_turn,
            "nodes are cut off from each other": cut_off_nodes,
        }
        for name, inject_faults in faults.items():
            with self.subTest(name):
                self.run_crashes(CrashTiming.AFTER_ANSWER, inject_faults=inject_faults)

    def test_request_whose_workers_crash_a_while_after_an_answer_is_held(self) -> None:
        for has_others in (True, False):
            with self.subTest(has_others=has_others):
                self.run_crashes(CrashTiming.LATER, has_others=has_others)

    def test_request_whose_workers_fail_it_and_crash_is_held(self) -> None:
        for has_others in (True, False):
            with self.subTest(has_others=has_others):
                self.run_crashes(CrashTiming.AFTER_FAILURE, has_others=has_others)

    def test_request_that_crashes_a_third_of_its_workers_is_held(self) -> None:
        for has_others in (True, False):
            with self.subTest(has_others=has_others):
                self.run_crashes(CrashTiming.SOMETIMES, has_others=has_others)


class AcceptedWorkTest(unittest.TestCase):
    """Crashes after the answers of items count, though items are never held."""

    def test_reward_request_that_workers_fail_before_they_crash_leaves_one_worker(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await start_nodes(world)
            spec = batch_spec(scored=True, queue_limit_seconds=600.0)
            first = spec.items[0]
            assert first.reward_request is not None
            crashing = msgspec.structs.replace(first.reward_request, body=CRASHING_BODY)
            item = msgspec.structs.replace(first, reward_request=crashing)
            spec = msgspec.structs.replace(spec, items=(item, *spec.items[1:]))
            world.workers.crashing_bodies.add(CRASHING_BODY)
            world.workers.crash_timings[CRASHING_BODY] = CrashTiming.AFTER_FAILURE
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(SIMULATED_SECONDS)
            crashes = [crash.at for crash in world.workers.crashes]
            self.assertGreaterEqual(len(crashes), MIN_CRASHES)
            for first_at, third_at in zip(crashes, crashes[2:], strict=False):
                self.assertGreater(third_at - first_at, REPLACEMENT_SECONDS)

        run_in_world(scenario, node_count=NODE_COUNT, worker_count=6, scorer_count=3)

    def test_item_whose_worker_crashes_after_its_text_is_suspected_at_every_node(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await start_nodes(world)
            spec = batch_spec(groups=1, group_size=1)
            crashing = msgspec.structs.replace(spec.items[0], body=CRASHING_BODY)
            spec = msgspec.structs.replace(spec, items=(crashing,))
            world.workers.crashing_bodies.add(CRASHING_BODY)
            world.workers.crash_timings[CRASHING_BODY] = CrashTiming.AFTER_ANSWER
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(WORKER_RECOVERY_SECONDS)
            self.assertEqual(len(world.workers.crashes), 1)
            for node in world.nodes:
                (fingerprint,) = node.node.quarantine.ledger.fingerprints()
                self.assertEqual(node.node.quarantine.ledger.consecutive_crashes(fingerprint), 1)

        run_in_world(scenario, node_count=2)


class SoundRequestsTest(unittest.TestCase):
    """Requests that crash no worker are not held, though workers end after they answered them."""

    def run_beside_kills(self, interval_seconds: float, kill_interval_seconds: float) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world, count=6)
            await start_nodes(world)
            killer = asyncio.ensure_future(kill_in_turn(world, kill_interval_seconds))
            served = sent = 0
            while world.clock.monotonic() < SIMULATED_SECONDS:
                forwarder = world.nodes[sent % len(world.nodes)].node.forwarder
                sent += 1
                with suppress(RequestFailedError):
                    await forwarder.forward(
                        route(RequestKind.IDEMPOTENT, attempts=3), request(f"s{sent}", b"sound")
                    )
                    served += 1
                await asyncio.sleep(interval_seconds)
            killer.cancel()
            self.assertGreaterEqual(len(world.workers.crashes), MIN_CRASHES)
            self.assertGreaterEqual(served / sent, MIN_SERVED_FRACTION)

        run_in_world(scenario, node_count=NODE_COUNT)

    def test_repeated_request_is_served_while_workers_are_killed_in_turn(self) -> None:
        for interval_seconds in (0.05, 0.5, CALL_INTERVAL_SECONDS):
            for kill_interval_seconds in (1.5, 5.0):
                with self.subTest(calls=interval_seconds, kills=kill_interval_seconds):
                    self.run_beside_kills(interval_seconds, kill_interval_seconds)

    def test_worker_that_leaves_after_its_answer_has_not_crashed(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            node = world.nodes[0]
            for number in range(9):
                await node.node.forwarder.forward(
                    route(RequestKind.IDEMPOTENT), request(f"s{number}", b"sound")
                )
            for number in (1, 2, 3):
                worker = world.workers[f"lookup-{number}"].worker
                node.directory.put(msgspec.structs.replace(worker, state=WorkerState.DRAINING))
                world.workers[f"lookup-{number}"].has_stopped = True
                node.directory.remove(worker.worker_id)
            await asyncio.sleep(1.0)
            self.assertTrue(node.node.quarantine.ledger.is_empty)

        run_in_world(scenario, node_count=2)

    def test_worker_that_only_lost_its_entry_has_not_crashed(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            add_lookup_workers(world)
            await start_nodes(world)
            node = world.nodes[0]
            await node.node.forwarder.forward(route(RequestKind.IDEMPOTENT), request("s", b"sound"))
            for number in (1, 2, 3):
                node.directory.remove(world.workers[f"lookup-{number}"].worker.worker_id)
            await asyncio.sleep(1.0)
            self.assertTrue(node.node.quarantine.ledger.is_empty)

        run_in_world(scenario, node_count=2)

    def test_busy_worker_is_not_checked_for_ever(self) -> None:
        """Guards against checks that go on as long as a worker answers anything."""

        async def scenario(world: ServingWorld) -> None:
            quarantine = world.nodes[0].node.quarantine
            worker = world.workers["worker-1"].worker
            probe = mock.AsyncMock(return_value=ProbeResult.RESPONDS)
            with mock.patch.object(world.workers, "probe", probe):
                for number in range(600):
                    quarantine.record_answer(
                        Fingerprint(f"f{number}"),
                        "r",
                        worker,
                        world.clock.monotonic(),
                        has_failed=False,
                    )
                    if not number:
                        world.workers.close_listeners[0](worker.address)
                    await asyncio.sleep(0.05)
            self.assertEqual(probe.await_count, 1)

        run_in_world(scenario, node_count=1)
