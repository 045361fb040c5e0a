"""Items whose workers' answers cannot be read: those that fail at each run are given up."""

import asyncio
import unittest

import msgspec

from drumbay.batches.answer_losses import AnswerLosses, proves_failures
from drumbay.batches.records import BatchId, BatchSpec, ItemId, ResultState
from drumbay.identifiers import BackendId
from drumbay.workers.records import WorkerIncarnation
from tests.serving_world import ServingWorld, batch_spec, read_all, run_in_world

ATTEMPTS = 3
ALLOWED_REJECTIONS = 3
STEP_SECONDS = 4.0
MAX_STEP_SECONDS = 6.0
OUTAGE_SECONDS = 4.0


def step(number: int, groups: int = 20) -> BatchSpec:
    """Return a batch job with the same items in each step."""
    spec = batch_spec("group", groups=groups, attempts=ATTEMPTS, queue_limit_seconds=40.0)
    return msgspec.structs.replace(spec, batch_id=BatchId(f"step-{number}"), step=number)


def spoil(world: ServingWorld, share: float, *, workers: int | None = None) -> None:
    for worker in world.workers.entries()[:workers]:
        world.workers[worker.worker_id].faults.spoilt_answer_share = share


def spoil_failures(world: ServingWorld) -> None:
    for worker in world.workers.entries():
        world.workers[worker.worker_id].faults.spoils_failures = True


def item_ids(spec: BatchSpec) -> list[ItemId]:
    return [item.item_id for item in spec.items]


class FailuresThatCannotBeReadTest(unittest.TestCase):
    def test_items_that_fail_at_each_run_are_given_up(self) -> None:
        """Guards against an item that runs again and again, as no failure of it can be read."""

        async def scenario(world: ServingWorld) -> None:
            spoil_failures(world)
            failing, rejected = item_ids(step(0))[5], item_ids(step(0))[9]
            world.workers.failing_requests.add(failing)
            world.workers.rejected_requests.add(rejected)
            await world.nodes[0].batches.submit(step(0))
            results = await read_all(world.nodes[1].batches, step(0).batch_id, MAX_STEP_SECONDS)
            states = {result.item_id: result.state for result in results}
            dead = {item_id for item_id, state in states.items() if state is ResultState.DEAD}
            self.assertEqual(dead, {failing, rejected})
            for item_id in dead:
                self.assertEqual(len(world.workers.runs_of(item_id)), ALLOWED_REJECTIONS)

        run_in_world(scenario)

    def test_an_item_of_a_small_job_waits_until_more_is_known(self) -> None:
        """Guards against an item that runs again while its node has seen few others."""

        async def scenario(world: ServingWorld) -> None:
            spoil_failures(world)
            rejected = item_ids(step(0, 1))[1]
            world.workers.rejected_requests.add(rejected)
            for number in range(2):
                await world.nodes[0].batches.submit(step(number, 1))
                await asyncio.sleep(1.5)
                await world.nodes[0].batches.end(step(number).batch_id)
            self.assertEqual(len(world.workers.runs_of(rejected)), ALLOWED_REJECTIONS)

        run_in_world(scenario)

    def test_they_are_not_sent_again_in_later_batch_jobs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            spoil_failures(world)
            rejected = item_ids(step(0))[9]
            world.workers.rejected_requests.add(rejected)
            for number in range(3):
                await world.nodes[number].batches.submit(step(number))
                await asyncio.sleep(STEP_SECONDS)
                await world.nodes[number].batches.end(step(number).batch_id)
            self.assertEqual(len(world.workers.runs_of(rejected)), ALLOWED_REJECTIONS)

        run_in_world(scenario, node_count=3)


class SoundItemsTest(unittest.TestCase):
    def assert_all_done(self, share: float, workers: int | None = None, groups: int = 20) -> None:
        async def scenario(world: ServingWorld) -> None:
            spoil(world, share, workers=workers)
            await world.nodes[0].batches.submit(step(0, groups))
            results = await read_all(world.nodes[1].batches, step(0).batch_id, 3 * STEP_SECONDS)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})

        run_in_world(scenario)

    def test_sound_items_are_done_though_answers_are_spoilt(self) -> None:
        for share in (0.02, 0.1, 0.3):
            with self.subTest(share=share):
                self.assert_all_done(share)

    def test_sound_items_are_done_though_some_workers_spoil_all_answers(self) -> None:
        self.assert_all_done(1.0, workers=2, groups=5)

    def test_sound_items_are_done_once_all_workers_have_spoilt_all_answers(self) -> None:
        """Guards against giving up what no worker could have served, right after calm times."""

        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(step(0))
            await read_all(world.nodes[0].batches, step(0).batch_id)
            spoil(world, 1.0)
            later = batch_spec("later", groups=20, attempts=ATTEMPTS, queue_limit_seconds=40.0)
            await world.nodes[0].batches.submit(later)
            await asyncio.sleep(OUTAGE_SECONDS)
            spoil(world, 0.0)
            results = await read_all(world.nodes[1].batches, later.batch_id, MAX_STEP_SECONDS)
            self.assertEqual({result.state for result in results}, {ResultState.DONE})

        run_in_world(scenario)


WORKER = WorkerIncarnation(worker_id=BackendId("w"), started_at_ms=1)


class AnswerLossesTest(unittest.TestCase):
    def evidence_after(self, answers: int, open_items: int = 0, lost_first: int = 0) -> float:
        """Return the evidence where items got answers, some of them after they had lost one."""
        losses = AnswerLosses()
        for number in range(answers):
            if number < lost_first:
                losses.record_loss(ItemId(f"sound-{number}"), 0.0)
            losses.record_answer(ItemId(f"sound-{number}"), 0.0)
        for number in range(open_items):
            losses.record_loss(ItemId(f"open-{number}"), 0.0)
        losses.record_loss(ItemId("item"), 0.0)
        return losses.evidence(ItemId("item"), 0.0)

    def test_three_lost_answers_prove_failures_where_others_lose_few(self) -> None:
        for answers, open_items, proved in ((50, 0, True), (50, 8, True), (0, 0, False)):
            evidence = 3 * self.evidence_after(answers, open_items)
            self.assertEqual(proves_failures(3, evidence), proved, (answers, open_items))

    def test_what_others_lose_is_no_evidence(self) -> None:
        self.assertLess(self.evidence_after(10, open_items=200), 0.1)
        self.assertLess(self.evidence_after(100, open_items=100), 0.4)
        self.assertAlmostEqual(self.evidence_after(70, lost_first=30), 0.52, delta=0.02)

    def test_nothing_is_concluded_where_a_fifth_of_the_answers_is_lost(self) -> None:
        evidence = self.evidence_after(70, lost_first=30)
        self.assertFalse(proves_failures(20, 20 * evidence))

    def test_losses_of_an_item_that_got_an_answer_were_chance(self) -> None:
        losses = AnswerLosses()
        before = losses.evidence(ItemId("item"), 0.0)
        for _ in range(5):
            losses.record_loss(ItemId("other"), 0.0)
        losses.record_answer(ItemId("other"), 0.0)
        self.assertLess(losses.evidence(ItemId("item"), 0.0), before)

    def test_what_was_seen_long_ago_hardly_counts(self) -> None:
        losses = AnswerLosses()
        for number in range(1_000):
            losses.record_answer(ItemId(f"sound-{number}"), 0.0)
        self.assertLess(losses.evidence(ItemId("item"), 100.0), 0.4)

    def test_a_worker_goes_on_if_it_sends_something_later(self) -> None:
        losses = AnswerLosses()
        self.assertFalse(losses.has_sent_since(WORKER, 1.0))
        losses.record_activity(WORKER, 1.0)
        self.assertFalse(losses.has_sent_since(WORKER, 1.0))
        losses.record_activity(WORKER, 1.1)
        self.assertTrue(losses.has_sent_since(WORKER, 1.0))


if __name__ == "__main__":
    unittest.main()
