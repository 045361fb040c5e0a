"""Scoring of complete texts: decisions, reward requests and listed scores."""

import asyncio
import unittest
from collections.abc import Callable
from unittest.mock import patch

import msgspec

from drumbay.batches.decisions import ScoreText, StartRun
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemId,
    ItemResult,
    PartialText,
    ResubmittedItems,
    ResultState,
    Reward,
    RewardRequest,
)
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.scoring_slots import ScoringSlots, slot_limit
from drumbay.forwarding.records import RewardOrder
from drumbay.forwarding.routes import RequestLimits, RoutingConfiguration
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.placement.regions import AllowedRegions
from drumbay.standins.worker_pool import full_text
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import StreamEvent
from tests.serving_world import (
    SCORING_CONFIGURATION,
    SCORING_SERVICE,
    SERVICE,
    ServingWorld,
    batch_spec,
    read_all,
    reward_id,
    run_in_world,
)

BATCH = BatchId("batch")
ITEM = ItemId("batch-0-0")


class DecisionTest(unittest.TestCase):
    """The scheduler alone: a complete text waits for its score."""

    def setUp(self) -> None:
        self.directory = WorkerDirectory()
        world = ServingWorld(node_count=0)
        self.directory.replace_all(world.workers.entries())
        self.scheduler = self.scheduler_of(batch_spec(groups=1, group_size=1, scored=True))

    @staticmethod
    def scheduler_of(spec: BatchSpec) -> BatchScheduler:
        return BatchScheduler(spec, 0.0, ())

    def scores(self, now: float) -> list[ScoreText]:
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        decisions = self.scheduler.plan(workers, WeightVersion(1), now)
        self.starts = [d for d in decisions if isinstance(d, StartRun)]
        return [d for d in decisions if isinstance(d, ScoreText)]

    def complete_text(self, now: float = 0.0) -> None:
        self.assertEqual(self.scores(now), [])
        event = StreamEvent(number=1, data="text", version=WeightVersion(1))
        self.scheduler.handle_event(ITEM, event, now)
        self.assertIsNone(self.scheduler.handle_completion(ITEM))

    def test_a_complete_text_is_scored_once_and_not_run_again(self) -> None:
        self.complete_text()
        (score,) = self.scores(0.1)
        self.assertEqual(score.request.request_id, reward_id(ITEM))
        self.assertEqual(self.scores(0.2), [])
        self.assertEqual(self.starts, [])
        self.assertFalse(self.scheduler.is_finished)
        reward = Reward(request_id=reward_id(ITEM), stamp="s")
        result = self.scheduler.handle_reward(ITEM, reward)
        assert result is not None
        self.assertEqual((result.text, result.reward), ("text", reward))
        self.assertTrue(self.scheduler.is_finished)

    def test_failed_reward_requests_are_retried_with_backoff(self) -> None:
        self.complete_text()
        self.assertEqual(len(self.scores(0.0)), 1)
        self.assertIsNone(self.scheduler.handle_reward_failure(ITEM, 0, 3, 0.0))
        self.assertEqual(self.scores(0.09), [])
        self.assertEqual(len(self.scores(0.1)), 1)
        self.assertIsNone(self.scheduler.handle_reward_failure(ITEM, 0, 3, 0.1))
        self.assertEqual(self.scores(0.29), [])
        self.assertEqual(len(self.scores(0.31)), 1)

    def test_an_item_is_given_up_after_as_many_failures_as_both_routes_allow(self) -> None:
        self.complete_text()
        self.assertEqual(len(self.scores(0.0)), 1)
        self.assertIsNone(self.scheduler.handle_reward_failure(ITEM, 3, 4, 0.0))
        self.assertEqual(len(self.scores(1.0)), 1)
        result = self.scheduler.handle_reward_failure(ITEM, 1, 4, 1.0)
        assert result is not None
        self.assertEqual(result.state, ResultState.DEAD)

    def test_the_queue_limit_gives_up_a_text_without_a_score(self) -> None:
        self.complete_text()
        self.scores(0.0)
        (result,) = self.scheduler.expire(40.0)
        self.assertEqual(result.state, ResultState.DEAD)

    def resubmitted(self, request_id: str) -> ResubmittedItems:
        text = PartialText(
            item_id=ITEM,
            texts=("text",),
            last_number=1,
            versions=(WeightVersion(1),),
            complete=True,
            reward=Reward(request_id=request_id, stamp="s"),
        )
        return ResubmittedItems(item_ids=(ITEM,), partial_texts=(text,))

    def test_a_resubmitted_text_with_its_score_is_finished(self) -> None:
        self.scheduler.reuse_texts(self.resubmitted(reward_id(ITEM)))
        (result,) = self.scheduler.pop_reused_results()
        self.assertEqual(result.text, "text")
        self.assertIsNotNone(result.reward)

    def test_the_score_of_another_request_is_ignored(self) -> None:
        self.scheduler.reuse_texts(self.resubmitted("another"))
        self.assertEqual(self.scheduler.pop_reused_results(), ())
        self.assertEqual(len(self.scores(0.0)), 1)
        self.assertEqual(self.starts, [])

    def test_a_complete_text_without_score_is_reused_as_complete(self) -> None:
        self.complete_text()
        text = self.scheduler.partial_text(ITEM, WeightVersion(1))
        assert text is not None
        self.assertTrue(text.complete)


class ScoringSlotsTest(unittest.TestCase):
    def test_the_oldest_batch_job_goes_first_within_the_limit(self) -> None:
        slots = ScoringSlots()
        newer = [slots.enqueue(2.0) for _ in range(2)]
        older = [slots.enqueue(1.0) for _ in range(2)]
        self.assertEqual(slots.admit(3), (*older, newer[0]))
        self.assertEqual(slots.admit(3), ())
        slots.release()
        self.assertEqual(slots.admit(3), (newer[1],))

    def test_a_cancelled_request_uses_no_slot(self) -> None:
        slots = ScoringSlots()
        first, second = slots.enqueue(1.0), slots.enqueue(1.0)
        slots.cancel(first)
        self.assertEqual(slots.admit(1), (second,))

    def test_slots_are_left_to_clients_and_other_nodes(self) -> None:
        directory = WorkerDirectory()
        world = ServingWorld(node_count=0, scorer_count=3)
        directory.replace_all(world.workers.entries())
        records = directory.of_service(SCORING_SERVICE)
        self.assertEqual(slot_limit(records, 0.0), 8)
        directory.pause(BackendId("scorer-1"), 0.0, 1.0)
        self.assertEqual(slot_limit(records, 0.0), 5)
        records[1].other_requests = records[2].other_requests = 4
        records[1].reported_at = records[2].reported_at = 0.0
        self.assertEqual(slot_limit(records, 0.0), 1)


class ScoredBatchTest(unittest.TestCase):
    """Complete nodes with emulated workers and scoring services."""

    def check_scored(self, world: ServingWorld, results: tuple[ItemResult, ...]) -> None:
        for result in results:
            self.assertEqual(result.state, ResultState.DONE)
            self.assertEqual(result.text, full_text(result.item_id))
            assert result.reward is not None
            runs = world.workers.runs_of(reward_id(result.item_id))
            (run,) = [run for run in runs if run.stamp == result.reward.stamp]
            texts = [text.ended_at or 0.0 for text in world.workers.runs_of(result.item_id)]
            self.assertGreaterEqual(run.started_at, min(texts))

    def test_each_result_has_a_score_made_after_its_text(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            results = await read_all(world.nodes[1].batches, BATCH)
            self.check_scored(world, results)
            self.assertEqual(len(world.workers.runs), 24)

        run_in_world(scenario, scorer_count=2)

    def test_a_failing_score_ends_its_item_without_delaying_others(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.failing_requests.add(reward_id(ITEM))
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            results = await read_all(world.nodes[0].batches, BATCH, 3.0)
            dead = [r.item_id for r in results if r.state is ResultState.DEAD]
            self.assertEqual(dead, [ITEM])
            self.assertEqual(len(world.workers.runs_of(reward_id(ITEM))), 3)

        run_in_world(scenario, scorer_count=3)

    def test_items_survive_lost_responses_and_full_scorers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers["scorer-1"].faults.lose_responses = True
            world.workers["scorer-2"].faults.full = True
            world.workers["scorer-3"].faults.unreachable = True
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            await asyncio.sleep(4.0)
            for number in (1, 2, 3):
                world.workers[f"scorer-{number}"].faults.lose_responses = False
                world.workers[f"scorer-{number}"].faults.full = False
            self.check_scored(world, await read_all(world.nodes[0].batches, BATCH))

        run_in_world(scenario, scorer_count=3)

    def test_scoring_waits_for_a_missing_route(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            dropped = RoutingConfiguration(version=2, routes=(), limits=RequestLimits())
            world.nodes[0].node.apply_configuration(dropped)
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            await asyncio.sleep(3.0)
            self.assertEqual([r for r in world.workers.runs if "reward" in r.request_id], [])
            again = msgspec.structs.replace(SCORING_CONFIGURATION, version=3)
            world.nodes[0].node.apply_configuration(again)
            self.check_scored(world, await read_all(world.nodes[0].batches, BATCH))

        run_in_world(scenario, scorer_count=2)

    def test_concurrent_reward_requests_stay_within_the_slot_share(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for worker in world.workers.entries():
                world.nodes[0].directory.put(msgspec.structs.replace(worker, slots=40))
            world.workers["scorer-1"].faults.slowdown = 20.0
            await world.nodes[0].batches.submit(batch_spec(groups=20, scored=True))
            limit = int(40 * 0.67)
            peak_open_calls = 0
            async with asyncio.timeout(20.0):
                for _ in range(40):
                    await asyncio.sleep(0.05)
                    calls = [r for r in world.workers.runs if "reward" in r.request_id]
                    open_calls = sum(1 for call in calls if call.ended_at is None)
                    peak_open_calls = max(peak_open_calls, open_calls)
            self.assertGreater(peak_open_calls, 0)
            self.assertLessEqual(peak_open_calls, limit)

        run_in_world(scenario, scorer_count=1)

    def test_no_reward_request_is_sent_after_the_end(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers["scorer-1"].faults.slowdown = 50.0
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            await asyncio.sleep(1.0)
            await world.nodes[1].batches.end(BATCH)
            ended_at = world.clock.monotonic()
            await asyncio.sleep(9.0)
            calls = [r for r in world.workers.runs if "reward" in r.request_id]
            self.assertGreater(len(calls), 0)
            self.assertEqual([c for c in calls if c.started_at > ended_at + 0.1], [])
            self.assertTrue(all((c.ended_at or 99.0) < ended_at + 0.1 for c in calls))

        run_in_world(scenario, scorer_count=1)

    def test_a_new_owner_scores_complete_texts_without_rerunning_them(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            world.workers["scorer-1"].faults.slowdown = 1_000.0
            await world.nodes[0].batches.submit(batch_spec(groups=1, scored=True))
            await asyncio.sleep(12.0)
            requests_before = [run.request_id for run in world.workers.runs]
            await world.nodes[0].kill()
            world.workers["scorer-1"].faults.slowdown = 1.0
            results = await read_all(world.nodes[1].batches, BATCH, 4.0)
            self.assertEqual(len(results), 4)
            for result in results:
                self.assertEqual(result.text, world.workers.text(result.item_id))
                self.assertIsNotNone(result.reward)
                self.assertEqual(requests_before.count(result.item_id), 1)
                self.assertEqual(len(world.workers.runs_of(result.item_id)), 1)

        run_in_world(scenario, scorer_count=1)

    def test_a_reward_request_that_is_sent_again_gets_what_is_left_of_its_budget(self) -> None:
        """Guards against a new budget for each repetition, also by a later owner."""

        async def scenario(world: ServingWorld) -> None:
            world.workers["scorer-1"].faults.slowdown = 1_000.0
            await world.nodes[0].batches.submit(batch_spec(groups=1, scored=True))
            await asyncio.sleep(6.0)
            await world.nodes[0].kill()
            await asyncio.sleep(2.0)
            world.workers["scorer-1"].faults.slowdown = 1.0
            await read_all(world.nodes[1].batches, BATCH, 4.0)
            ends: dict[str, list[float]] = {}
            for arrival in world.workers.arrivals:
                if arrival.service == SCORING_SERVICE:
                    end = arrival.at + arrival.budget_seconds
                    ends.setdefault(arrival.request_id, []).append(end)
            self.assertGreater(max(len(times) for times in ends.values()), 2)
            for times in ends.values():
                self.assertLess(max(times), times[0] + 0.5)

        run_in_world(scenario, scorer_count=1)

    def test_after_a_takeover_the_oldest_batch_job_still_goes_first(self) -> None:
        """The order of reward requests survives a takeover: it follows the submission."""
        started: dict[int, set[float]] = {}
        number = 0
        score = RewardScorer.score

        async def recording_score(
            scorer: RewardScorer,
            request: RewardRequest,
            order: RewardOrder,
            allowed_regions: Callable[[], AllowedRegions],
        ) -> Reward:
            started.setdefault(number, set()).add(order.batch_started_at)
            return await score(scorer, request, order, allowed_regions)

        async def scenario(world: ServingWorld) -> None:
            nonlocal number
            submitted_at = world.clock.monotonic()
            world.workers["scorer-1"].faults.slowdown = 1_000.0
            await world.nodes[0].batches.submit(batch_spec(groups=1, scored=True))
            await asyncio.sleep(5.0)
            number = 1
            await world.nodes[0].kill()
            world.workers["scorer-1"].faults.slowdown = 1.0
            await read_all(world.nodes[1].batches, BATCH, 4.0)
            for times in (started[0], started[1]):
                (time,) = times
                self.assertAlmostEqual(time, submitted_at, delta=0.2)

        with patch.object(RewardScorer, "score", recording_score):
            run_in_world(scenario, scorer_count=1)


if __name__ == "__main__":
    unittest.main()
