"""Regression: requests went on reaching workers that answered them, and then crashed.

Guards against crashes that are forgotten, or blamed on others, because the run had an answer.
"""

import asyncio
import unittest

import msgspec

from drumbay.exceptions import RequestFailedError
from drumbay.forwarding.routes import RequestKind
from drumbay.standins.crash_timing import CrashTiming
from drumbay.standins.worker_end import WorkerEnd
from tests.serving_world import ServingWorld, batch_spec, run_in_world
from tests.test_crashing_requests import (
    CRASHING_BODY,
    MAX_LATER_TRIES,
    MIN_CRASHES,
    MIN_SERVED_FRACTION,
    SIMULATED_SECONDS,
    WORKER_RECOVERY_SECONDS,
    add_lookup_workers,
    count_late_tries,
    request,
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


class CrashesAfterAnswersTest(unittest.TestCase):
    def run_crashes(
        self,
        timing: CrashTiming,
        *,
        end: WorkerEnd = WorkerEnd.REFUSES,
        keeps_ids: bool = False,
        has_others: bool = True,
        closes_connections: bool = True,
    ) -> None:
        async def scenario(world: ServingWorld) -> None:
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
