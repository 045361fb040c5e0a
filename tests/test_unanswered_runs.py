"""Items whose answers are lost: failing ones are not sent without end, sound ones are done in time.

Guards against runs without an answer that are repeated at once, and counted by nobody.
"""

import asyncio
import itertools
import unittest
from contextlib import suppress
from unittest.mock import patch

import msgspec

from drumbay.batches.exceptions import BatchUnavailableError
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId, BatchSpec, ResultState
from drumbay.standins.kv_faults import KeyValueFaults
from tests.serving_world import ServingWorld, WorldNode, batch_spec, read_all, run_in_world

ATTEMPTS = 3
ALLOWED_FAILURES = 3 * ATTEMPTS
LOST_SHARE = 0.5
STEP_SECONDS = 4.0
STEP_COUNT = 3
MAX_STEP_SECONDS = 6.0
FIRST_ANSWER_SECONDS = 0.1
"""After this time each item has one answer, and no second run."""

SECOND_ANSWER_SECONDS = 0.3
"""After this time each item has two answers, and no third run."""

SHORT_STEP_SECONDS = 1.8
"""Less than the longest delay of an item."""

LATER_STEPS = 6
MAX_RUNS_IN_LATER_STEPS = 2 * ALLOWED_FAILURES
MAX_SECONDS_AT_NO_WORKER = 5.0
"""An item that no worker has failed must be sent again within this time."""

PLAN_SECONDS = 0.1
"""Interval between two plans of a batch job."""


def step(number: int, *, groups: int = 10, queue_limit_seconds: float = 40.0) -> BatchSpec:
    """Return a batch job with the same items in each step."""
    spec = batch_spec(
        "group", groups=groups, attempts=ATTEMPTS, queue_limit_seconds=queue_limit_seconds
    )
    return msgspec.structs.replace(spec, batch_id=BatchId(f"step-{number}"), step=number)


def lose_answers(world: ServingWorld, share: float) -> None:
    for worker in world.workers.entries():
        world.workers[worker.worker_id].faults.lost_answer_share = share


def item_ids(spec: BatchSpec) -> list[str]:
    return [str(item.item_id) for item in spec.items]


def starts_of(world: ServingWorld, item_id: str) -> list[float]:
    return [run.started_at for run in world.workers.runs_of(item_id)]


async def run_step(node: WorldNode, spec: BatchSpec) -> None:
    await node.batches.submit(spec)
    await asyncio.sleep(STEP_SECONDS)
    await node.batches.end(spec.batch_id)


class FailingItemsTest(unittest.TestCase):
    def test_failing_items_whose_answers_are_lost_are_not_sent_beyond_the_bound(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            lose_answers(world, LOST_SHARE)
            world.workers.failing_requests.update(item_ids(step(0)))
            for number in range(STEP_COUNT):
                await run_step(world.nodes[number], step(number))
            counts = [len(starts_of(world, item_id)) for item_id in item_ids(step(0))]
            self.assertLessEqual(max(counts), ALLOWED_FAILURES)

        run_in_world(scenario, node_count=STEP_COUNT)

    def test_a_failing_item_is_held_if_it_may_have_used_up_its_answers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            failing = item_ids(step(0, groups=1))
            world.workers.failing_requests.update(failing)
            spec = step(0, groups=1, queue_limit_seconds=20.0)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(FIRST_ANSWER_SECONDS)
            self.assertEqual([len(starts_of(world, item_id)) for item_id in failing], [1] * 4)
            lose_answers(world, 1.0)
            results = await read_all(world.nodes[1].batches, spec.batch_id, 30.0)
            self.assertEqual({result.state for result in results}, {ResultState.DEAD})
            counts = [len(starts_of(world, item_id)) for item_id in failing]
            self.assertLessEqual(max(counts), ALLOWED_FAILURES)

        run_in_world(scenario)

    def test_a_failing_item_that_loses_most_answers_does_not_hold_up_its_step(self) -> None:
        """Guards against a group that returns in each step, and is whole in none."""

        async def scenario(world: ServingWorld) -> None:
            failing = item_ids(step(0, groups=1))
            world.workers.failing_requests.update(failing)
            await world.nodes[0].batches.submit(step(0, groups=1))
            await asyncio.sleep(SECOND_ANSWER_SECONDS)
            self.assertEqual([len(starts_of(world, item_id)) for item_id in failing], [2] * 4)
            lose_answers(world, 1.0)
            await asyncio.sleep(2 * STEP_SECONDS)
            await world.nodes[0].batches.end(step(0).batch_id)
            await world.nodes[1].batches.submit(step(1, groups=1))
            results = await read_all(world.nodes[1].batches, step(1).batch_id, MAX_STEP_SECONDS)
            self.assertEqual({result.state for result in results}, {ResultState.DEAD})
            counts = [len(starts_of(world, item_id)) for item_id in failing]
            self.assertLessEqual(max(counts), ALLOWED_FAILURES)

        run_in_world(scenario)

    def test_runs_without_an_answer_are_repeated_less_and_less_often(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            lose_answers(world, 1.0)
            spec = step(0, groups=1)
            rejected = item_ids(spec)
            world.workers.rejected_requests.update(rejected)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(10.0)
            for item_id in rejected:
                self.assert_backs_off(starts_of(world, item_id))

        run_in_world(scenario)

    def assert_backs_off(self, starts: list[float]) -> None:
        gaps = [later - earlier for earlier, later in itertools.pairwise(starts)]
        self.assertLessEqual(len(starts), ALLOWED_FAILURES)
        self.assertLess(max(gaps), MAX_SECONDS_AT_NO_WORKER)
        self.assertGreater(gaps[-1], 8 * gaps[0])
        for earlier, later in itertools.pairwise(gaps):
            # Delays of less than the time between two plans, and the longest one, do not double.
            doubles = 2 * PLAN_SECONDS < 2 * earlier - PLAN_SECONDS < MAX_SECONDS_AT_NO_WORKER
            self.assertGreater(later, 1.5 * earlier if doubles else earlier - PLAN_SECONDS)

    def test_a_later_owner_goes_on_where_the_runs_without_an_answer_ended(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            lose_answers(world, 1.0)
            spec = step(0, groups=1)
            world.workers.rejected_requests.update(item_ids(spec))
            for number in range(LATER_STEPS):
                await run_step(world.nodes[number % 3], step(number, groups=1))
            for item_id in item_ids(spec):
                self.assertLessEqual(len(starts_of(world, item_id)), MAX_RUNS_IN_LATER_STEPS)

        run_in_world(scenario, node_count=3)

    def test_delays_go_on_in_later_batch_jobs(self) -> None:
        """Guards against a sound item that waits anew in each short batch job, and never runs."""

        async def scenario(world: ServingWorld) -> None:
            lose_answers(world, 1.0)
            for number in range(20):
                node = world.nodes[number % 3]
                await node.batches.submit(step(number, groups=1))
                await asyncio.sleep(SHORT_STEP_SECONDS)
                await node.batches.end(BatchId(f"step-{number}"))
            ends = world.clock.monotonic()
            for item_id in item_ids(step(0, groups=1)):
                starts = [*starts_of(world, item_id), ends]
                gaps = [later - earlier for earlier, later in itertools.pairwise(starts)]
                self.assertLessEqual(max(gaps), MAX_SECONDS_AT_NO_WORKER + SHORT_STEP_SECONDS)

        run_in_world(scenario, node_count=3)

    def test_an_item_goes_to_a_worker_that_has_not_left_it_without_an_answer(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            # Few enough that each worker has free places.
            spec = step(0, groups=1)
            world.workers.rejected_requests.update(item_ids(spec))
            workers = [world.workers[worker.worker_id] for worker in world.workers.entries()]
            for worker in workers[1:]:
                worker.faults.lost_answer_share = 1.0
            await world.nodes[0].batches.submit(spec)
            await read_all(world.nodes[0].batches, spec.batch_id)
            counts = [len(starts_of(world, item_id)) for item_id in item_ids(spec)]
            self.assertLessEqual(max(counts), len(workers))

        run_in_world(scenario)

    def test_a_run_that_its_killed_owner_did_not_store_is_allowed_for(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            spec = step(0)
            failing = item_ids(spec)
            world.workers.failing_requests.update(failing)
            lose_answers(world, LOST_SHARE)
            for worker in world.workers.entries():
                world.workers[worker.worker_id].faults.failure_delay_seconds = SECOND_ANSWER_SECONDS
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(2.5 * SECOND_ANSWER_SECONDS)
            await world.nodes[0].kill()
            with suppress(BatchUnavailableError):
                await world.nodes[1].batches.read(spec.batch_id, 0, 0.0)
            await asyncio.sleep(2 * STEP_SECONDS)
            await world.nodes[1].batches.end(spec.batch_id)
            await run_step(world.nodes[2], step(1))
            counts = [len(starts_of(world, item_id)) for item_id in failing]
            self.assertLessEqual(max(counts), ALLOWED_FAILURES)

        run_in_world(scenario, node_count=3)

    def test_runs_that_are_cut_off_when_an_owner_is_replaced_count_after_an_outage(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            spec = step(0, groups=1)
            world.workers.rejected_requests.update(item_ids(spec))
            for worker in world.workers.entries():
                world.workers[worker.worker_id].faults.failure_delay_seconds = STEP_SECONDS
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(FIRST_ANSWER_SECONDS)
            runner = world.nodes[0].batches._owned.get(spec.batch_id)
            assert runner is not None
            world.model.set_faults(KeyValueFaults(outage=True))
            runner.handle_replacement()
            await asyncio.sleep(STEP_SECONDS)
            world.model.set_faults(KeyValueFaults())
            await asyncio.sleep(1.0)
            ((_, failures),) = await BatchLedger(world.nodes[1].store).read_failures()
            unanswered = {item_id: item.unanswered for item_id, item in failures.items.items()}
            self.assertEqual(unanswered, dict.fromkeys(item_ids(spec), 1))

        run_in_world(scenario)


class SoundItemsTest(unittest.TestCase):
    def test_an_item_without_an_answer_runs_again_over_a_new_connection(self) -> None:
        """Guards against items that wait on one stalled idle connection after the other."""

        async def scenario(world: ServingWorld) -> None:
            lose_answers(world, LOST_SHARE)
            spec = step(0, groups=1)
            with patch.object(world.workers, "stream", wraps=world.workers.stream) as stream:
                await world.nodes[0].batches.submit(spec)
                await read_all(world.nodes[0].batches, spec.batch_id)
            requests = [call.args[1] for call in stream.call_args_list]
            seen: set[str] = set()
            for request in requests:
                self.assertEqual(request.fresh_connection, request.request_id in seen)
                seen.add(request.request_id)
            self.assertGreater(len(requests), len(seen))

        run_in_world(scenario)

    def test_sound_items_whose_answers_are_lost_are_done_in_time(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            lose_answers(world, 0.3)
            spec = step(0)
            await world.nodes[0].batches.submit(spec)
            results = await read_all(world.nodes[1].batches, spec.batch_id, MAX_STEP_SECONDS)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})

        run_in_world(scenario)

    def test_sound_items_are_done_once_answers_arrive_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            lose_answers(world, 1.0)
            spec = step(0)
            await world.nodes[0].batches.submit(spec)
            await asyncio.sleep(STEP_SECONDS)
            lose_answers(world, 0.0)
            results = await read_all(world.nodes[1].batches, spec.batch_id, MAX_STEP_SECONDS)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
