"""Scores of whole texts: decided, asked for at scoring services, listed with the text."""

import asyncio
import unittest
from unittest.mock import patch

import msgspec

from drumbay.batches.decisions import ScoreText, StartRun
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemId,
    ItemResult,
    PartialText,
    ResultState,
    ReturnedItems,
    Reward,
    RewardRequest,
)
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.scoring_places import ScoringPlaces, place_limit
from drumbay.forwarding.records import RewardOrder
from drumbay.forwarding.routes import RequestLimits, RoutingConfiguration
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.worker_pool import whole_text
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import StreamEvent
from tests.serving_world import (
    SCORING_CONFIGURATION,
    SCORING_SERVICE,
    SERVICE,
    ServingWorld,
    batch_spec,
    play,
    read_all,
    reward_id,
)

BATCH = BatchId("batch")
ITEM = ItemId("batch-0-0")


class DecisionTest(unittest.TestCase):
    """The scheduler alone: a whole text waits for its score."""

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

    def make_text(self, now: float = 0.0) -> None:
        self.assertEqual(self.scores(now), [])
        event = StreamEvent(number=1, data="text", version=WeightVersion(1))
        self.scheduler.take_event(ITEM, event, now)
        self.assertIsNone(self.scheduler.take_completion(ITEM))

    def test_a_whole_text_is_scored_once_and_runs_no_more(self) -> None:
        self.make_text()
        (score,) = self.scores(0.1)
        self.assertEqual(score.request.request_id, reward_id(ITEM))
        self.assertEqual(self.scores(0.2), [])
        self.assertEqual(self.starts, [])
        self.assertFalse(self.scheduler.is_finished)
        reward = Reward(request_id=reward_id(ITEM), stamp="s")
        result = self.scheduler.take_reward(ITEM, reward)
        assert result is not None
        self.assertEqual((result.text, result.reward), ("text", reward))
        self.assertTrue(self.scheduler.is_finished)

    def test_a_request_without_a_score_is_made_again_after_a_growing_pause(self) -> None:
        self.make_text()
        self.assertEqual(len(self.scores(0.0)), 1)
        self.assertIsNone(self.scheduler.take_reward_failure(ITEM, 0, 3, 0.0))
        self.assertEqual(self.scores(0.09), [])
        self.assertEqual(len(self.scores(0.1)), 1)
        self.assertIsNone(self.scheduler.take_reward_failure(ITEM, 0, 3, 0.1))
        self.assertEqual(self.scores(0.29), [])
        self.assertEqual(len(self.scores(0.31)), 1)

    def test_an_item_is_given_up_after_as_many_failures_as_both_routes_allow(self) -> None:
        self.make_text()
        self.assertEqual(len(self.scores(0.0)), 1)
        self.assertIsNone(self.scheduler.take_reward_failure(ITEM, 3, 4, 0.0))
        self.assertEqual(len(self.scores(1.0)), 1)
        result = self.scheduler.take_reward_failure(ITEM, 1, 4, 1.0)
        assert result is not None
        self.assertEqual(result.state, ResultState.DEAD)

    def test_the_queue_limit_gives_up_a_text_without_a_score(self) -> None:
        self.make_text()
        self.scores(0.0)
        (result,) = self.scheduler.expire(40.0)
        self.assertEqual(result.state, ResultState.DEAD)

    def returned(self, request_id: str) -> ReturnedItems:
        text = PartialText(
            item_id=ITEM,
            texts=("text",),
            last_number=1,
            versions=(WeightVersion(1),),
            complete=True,
            reward=Reward(request_id=request_id, stamp="s"),
        )
        return ReturnedItems(item_ids=(ITEM,), partial_texts=(text,))

    def test_a_text_that_comes_back_with_its_score_is_finished(self) -> None:
        self.scheduler.adopt(self.returned(reward_id(ITEM)))
        (result,) = self.scheduler.take_adopted_results()
        self.assertEqual(result.text, "text")
        self.assertIsNotNone(result.reward)

    def test_the_score_of_another_request_does_not_count(self) -> None:
        self.scheduler.adopt(self.returned("another"))
        self.assertEqual(self.scheduler.take_adopted_results(), ())
        self.assertEqual(len(self.scores(0.0)), 1)
        self.assertEqual(self.starts, [])

    def test_a_whole_text_without_its_score_goes_on_to_a_later_step_as_whole(self) -> None:
        self.make_text()
        text = self.scheduler.partial_text(ITEM, WeightVersion(1))
        assert text is not None
        self.assertTrue(text.complete)


class ScoringPlacesTest(unittest.TestCase):
    def test_the_oldest_batch_job_goes_first_within_the_limit(self) -> None:
        places = ScoringPlaces()
        young = [places.wait(2.0) for _ in range(2)]
        old = [places.wait(1.0) for _ in range(2)]
        self.assertEqual(places.admit(3), (*old, young[0]))
        self.assertEqual(places.admit(3), ())
        places.release()
        self.assertEqual(places.admit(3), (young[1],))

    def test_one_that_leaves_takes_no_place(self) -> None:
        places = ScoringPlaces()
        first, second = places.wait(1.0), places.wait(1.0)
        places.leave(first)
        self.assertEqual(places.admit(1), (second,))

    def test_places_are_left_to_clients_and_other_nodes(self) -> None:
        directory = WorkerDirectory()
        world = ServingWorld(node_count=0, scorer_count=3)
        directory.replace_all(world.workers.entries())
        records = directory.of_service(SCORING_SERVICE)
        self.assertEqual(place_limit(records, 0.0), 8)
        directory.pause(BackendId("scorer-1"), 0.0, 1.0)
        self.assertEqual(place_limit(records, 0.0), 5)
        records[1].others = records[2].others = 4
        records[1].reported_at = records[2].reported_at = 0.0
        self.assertEqual(place_limit(records, 0.0), 1)


class ScoredBatchTest(unittest.TestCase):
    """Whole nodes, emulated workers and scoring services."""

    def check_scored(self, world: ServingWorld, results: tuple[ItemResult, ...]) -> None:
        for result in results:
            self.assertEqual(result.state, ResultState.DONE)
            self.assertEqual(result.text, whole_text(result.item_id))
            assert result.reward is not None
            runs = world.workers.runs_of(reward_id(result.item_id))
            (run,) = [run for run in runs if run.stamp == result.reward.stamp]
            texts = [text.ended_at or 0.0 for text in world.workers.runs_of(result.item_id)]
            self.assertGreaterEqual(run.started_at, min(texts))

    def test_each_result_has_the_score_that_was_made_after_its_text(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            results = await read_all(world.nodes[1].batches, BATCH)
            self.check_scored(world, results)
            self.assertEqual(len(world.workers.runs), 24)

        play(scenario, scorer_count=2)

    def test_a_score_that_always_fails_ends_its_item_and_holds_nothing_up(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.failing_requests.add(reward_id(ITEM))
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            results = await read_all(world.nodes[0].batches, BATCH, 3.0)
            dead = [r.item_id for r in results if r.state is ResultState.DEAD]
            self.assertEqual(dead, [ITEM])
            self.assertEqual(len(world.workers.runs_of(reward_id(ITEM))), 3)

        play(scenario, scorer_count=3)

    def test_lost_answers_and_full_scorers_cost_no_item(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers["scorer-1"].faults.lose_answers = True
            world.workers["scorer-2"].faults.full = True
            world.workers["scorer-3"].faults.dark = True
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            await asyncio.sleep(4.0)
            for number in (1, 2, 3):
                world.workers[f"scorer-{number}"].faults.lose_answers = False
                world.workers[f"scorer-{number}"].faults.full = False
            self.check_scored(world, await read_all(world.nodes[0].batches, BATCH))

        play(scenario, scorer_count=3)

    def test_a_route_that_is_not_there_yet_is_waited_for(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            dropped = RoutingConfiguration(version=2, routes=(), limits=RequestLimits())
            world.nodes[0].node.apply_configuration(dropped)
            await world.nodes[0].batches.submit(batch_spec(scored=True))
            await asyncio.sleep(3.0)
            self.assertEqual([r for r in world.workers.runs if "reward" in r.request_id], [])
            again = msgspec.structs.replace(SCORING_CONFIGURATION, version=3)
            world.nodes[0].node.apply_configuration(again)
            self.check_scored(world, await read_all(world.nodes[0].batches, BATCH))

        play(scenario, scorer_count=2)

    def test_no_more_calls_than_places_while_clients_fill_the_rest(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for worker in world.workers.entries():
                world.nodes[0].directory.put(msgspec.structs.replace(worker, slots=40))
            world.workers["scorer-1"].faults.slowdown = 20.0
            await world.nodes[0].batches.submit(batch_spec(groups=20, scored=True))
            limit = int(40 * 0.67)
            open_most = 0
            async with asyncio.timeout(20.0):
                for _ in range(40):
                    await asyncio.sleep(0.05)
                    calls = [r for r in world.workers.runs if "reward" in r.request_id]
                    open_calls = sum(1 for call in calls if call.ended_at is None)
                    open_most = max(open_most, open_calls)
            self.assertGreater(open_most, 0)
            self.assertLessEqual(open_most, limit)

        play(scenario, scorer_count=1)

    def test_after_an_end_no_score_is_asked_for(self) -> None:
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

        play(scenario, scorer_count=1)

    def test_a_new_owner_scores_whole_texts_without_making_them_again(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            world.workers["scorer-1"].faults.slowdown = 1_000.0
            await world.nodes[0].batches.submit(batch_spec(groups=1, scored=True))
            await asyncio.sleep(12.0)
            made = [run.request_id for run in world.workers.runs]
            await world.nodes[0].kill()
            world.workers["scorer-1"].faults.slowdown = 1.0
            results = await read_all(world.nodes[1].batches, BATCH, 4.0)
            self.assertEqual(len(results), 4)
            for result in results:
                self.assertEqual(result.text, world.workers.text(result.item_id))
                self.assertIsNotNone(result.reward)
                self.assertEqual(made.count(result.item_id), 1)
                self.assertEqual(len(world.workers.runs_of(result.item_id)), 1)

        play(scenario, scorer_count=1)

    def test_after_a_takeover_the_oldest_batch_job_still_goes_first(self) -> None:
        """Reward requests keep their order of submission, whichever node asks for them."""
        started: dict[int, set[float]] = {}
        number = 0
        score = RewardScorer.score

        async def noted(scorer: RewardScorer, request: RewardRequest, order: RewardOrder) -> Reward:
            started.setdefault(number, set()).add(order.batch_started_at)
            return await score(scorer, request, order)

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

        with patch.object(RewardScorer, "score", noted):
            play(scenario, scorer_count=1)


if __name__ == "__main__":
    unittest.main()
