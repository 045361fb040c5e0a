"""The pace of workers: what one odd event, or a worker that turned slow, does to decisions."""

import unittest

import msgspec

from drumbay.batches.decisions import RunFailure, StartRun, StopReason, StopRun
from drumbay.batches.records import ItemId
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.worker_choice import PlaceRequest, WorkerChoice
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import StreamEvent, Worker, WorkerLoad, WorkerState
from tests.serving_world import MODEL, SERVICE, batch_spec

FIRST, SECOND, THIRD = BackendId("w1"), BackendId("w2"), BackendId("w3")
USUAL_SECONDS = 0.04


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = WorkerDirectory()
        for number, worker_id in enumerate((FIRST, SECOND, THIRD)):
            self.directory.put(
                Worker(
                    worker_id=worker_id,
                    service=SERVICE,
                    address=NetworkAddress("h", number),
                    zone="z",
                    slots=8,
                    state=WorkerState.READY,
                    versions={MODEL: WeightVersion(1)},
                )
            )
            self.observe(worker_id, [USUAL_SECONDS] * 10)

    def observe(self, worker_id: BackendId, times: list[float], now: float = 0.0) -> None:
        for seconds in times:
            self.directory.observe_pace(worker_id, seconds, now)

    def choice(
        self, now: float = 0.0, apart_from: frozenset[BackendId] = frozenset()
    ) -> WorkerChoice:
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        return WorkerChoice(batch_spec(), workers, WeightVersion(1), now, apart_from)


class ApartTest(DirectoryTest):
    """Items under which workers have ended go to workers where no other of them runs."""

    def take(self, choice: WorkerChoice, *, is_apart: bool) -> BackendId | None:
        return choice.take(
            PlaceRequest(
                group="g",
                expected_tokens=10,
                avoid=None,
                is_long=False,
                minimum_version=WeightVersion(1),
                is_apart=is_apart,
            )
        )

    def test_each_has_a_worker_of_its_own(self) -> None:
        choice = self.choice()
        taken = [self.take(choice, is_apart=True) for _ in range(3)]
        self.assertEqual(set(taken), {FIRST, SECOND, THIRD})
        self.assertIsNone(self.take(choice, is_apart=True))
        self.assertIsNotNone(self.take(choice, is_apart=False))

    def test_none_goes_where_one_runs_already(self) -> None:
        choice = self.choice(apart_from=frozenset({FIRST, THIRD}))
        self.assertEqual(self.take(choice, is_apart=True), SECOND)
        self.assertIsNone(self.take(choice, is_apart=True))


class KeptPromptTest(DirectoryTest):
    """A group's items go where its prompt was read, but not where that start has ended."""

    def take(self, choice: WorkerChoice) -> BackendId | None:
        return choice.take(
            PlaceRequest(
                group="g",
                expected_tokens=10,
                avoid=None,
                is_long=False,
                minimum_version=WeightVersion(1),
            )
        )

    def test_a_worker_that_started_again_is_not_chosen_for_a_prompt_it_kept(self) -> None:
        choice = self.choice()
        first = self.take(choice)
        assert first is not None
        self.assertEqual(self.take(choice), first)
        record = self.directory.get(first)
        assert record is not None
        self.directory.put(msgspec.structs.replace(record.worker, started_at_ms=1_000))
        self.directory.put(msgspec.structs.replace(record.worker, started_at_ms=2_000))
        # As full as one item makes it: without the prompt any other worker is the better one.
        self.directory.observe_load(first, WorkerLoad(running=1, waiting=0, slots=8), 0.0)
        self.assertNotEqual(self.take(self.choice()), first)


class WorkerPaceTest(DirectoryTest):
    def test_one_late_event_does_not_make_a_worker_slow(self) -> None:
        self.observe(FIRST, [1.0])
        self.assertFalse(self.choice().is_slow(FIRST))

    def test_events_read_together_do_not_make_a_worker_fast(self) -> None:
        self.observe(FIRST, [0.001, 0.001, 0.001])
        self.assertFalse(self.choice().reserve_faster(SECOND))
        self.assertFalse(self.choice(now=10.0).reserve_faster(SECOND))

    def test_the_busy_start_of_a_batch_job_does_not_make_a_worker_fast(self) -> None:
        self.observe(FIRST, [0.5 * USUAL_SECONDS] * 20)
        self.observe(SECOND, [USUAL_SECONDS] * 10, now=10.0)
        self.assertFalse(self.choice(now=10.0).reserve_faster(SECOND))

    def test_a_worker_that_is_always_fast_is_remembered_as_such(self) -> None:
        for tick in range(6):
            self.observe(FIRST, [0.5 * USUAL_SECONDS] * 7, now=float(tick))
        self.observe(SECOND, [USUAL_SECONDS] * 10, now=20.0)
        self.assertTrue(self.choice(now=20.0).reserve_faster(SECOND))

    def test_a_worker_that_turned_slow_shows_after_four_events(self) -> None:
        self.observe(FIRST, [4 * USUAL_SECONDS] * 4)
        self.assertTrue(self.choice().is_slow(FIRST))
        self.assertTrue(self.choice().reserve_faster(FIRST))

    def test_a_worker_that_was_slow_long_ago_is_tried_again(self) -> None:
        self.observe(FIRST, [4 * USUAL_SECONDS] * 7)
        self.assertFalse(self.choice(now=10.0).is_slow(FIRST))

    def test_long_items_are_spread_over_workers_of_like_pace(self) -> None:
        self.observe(FIRST, [0.95 * USUAL_SECONDS] * 10)
        spec = batch_spec(groups=6, group_size=1)
        items = tuple(
            msgspec.structs.replace(item, expected_tokens=900 if number < 3 else 10)
            for number, item in enumerate(spec.items)
        )
        spec = msgspec.structs.replace(spec, items=items)
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        decisions = BatchScheduler(spec, 0.0, ()).plan(workers, WeightVersion(1), 0.0)
        long = {
            decision.worker_id
            for decision in decisions
            if isinstance(decision, StartRun) and decision.item.expected_tokens == 900
        }
        self.assertEqual(long, {FIRST, SECOND, THIRD})

    def test_an_item_of_a_dead_worker_goes_where_events_are_made(self) -> None:
        self.directory.observe_pace(SECOND, USUAL_SECONDS, 5.0)
        scheduler = BatchScheduler(batch_spec(groups=1, group_size=1), 0.0, ())
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        scheduler.plan(workers, WeightVersion(1), 4.0)
        event = StreamEvent(number=1, data="x", version=WeightVersion(1))
        scheduler.take_event(ItemId("batch-0-0"), event, 4.1)
        scheduler.take_failure(ItemId("batch-0-0"), RunFailure.BROKEN, 5.1)
        (start,) = scheduler.plan(workers, WeightVersion(1), 5.2)
        assert isinstance(start, StartRun)
        self.assertEqual((start.worker_id, start.resume_after), (SECOND, 1))

    def test_the_last_event_of_a_text_tells_no_pace(self) -> None:
        scheduler = BatchScheduler(batch_spec(groups=1, group_size=1), 0.0, ())
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        scheduler.plan(workers, WeightVersion(1), 0.0)
        told: list[float] = []
        for number, now in enumerate((0.1, 0.14, 0.18, 0.22, 0.23)):
            event = StreamEvent(number=number, data="x", version=WeightVersion(1))
            gap = scheduler.take_event(ItemId("batch-0-0"), event, now)
            if gap is not None:
                told.append(round(gap, 3))
        self.assertEqual(told, [0.04, 0.04, 0.04])


class ExpectedVersionTest(DirectoryTest):
    def room(self, now: float) -> bool:
        spec = msgspec.structs.replace(batch_spec(), minimum_version=WeightVersion(2))
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        return WorkerChoice(spec, workers, WeightVersion(2), now).has_room

    def test_a_worker_is_used_as_soon_as_its_load_is_due(self) -> None:
        self.assertFalse(self.room(0.0))
        self.directory.note_loading(FIRST, MODEL, WeightVersion(2), 0.9)
        self.assertFalse(self.room(0.8))
        self.assertTrue(self.room(1.0))

    def test_an_answer_under_the_old_weights_takes_the_expectation_back(self) -> None:
        self.directory.note_loading(FIRST, MODEL, WeightVersion(2), 0.9)
        self.directory.observe_version(FIRST, MODEL, WeightVersion(1), 0.5)
        self.assertTrue(self.room(1.0))
        self.directory.observe_version(FIRST, MODEL, WeightVersion(1), 1.0)
        self.assertFalse(self.room(1.1))


class SharedMachineTest(DirectoryTest):
    """Workers that share their machines are slowed for moments, and some are always slower."""

    def setUp(self) -> None:
        super().setUp()
        for worker_id in (FIRST, SECOND, THIRD):
            load = WorkerLoad(running=0, waiting=0, slots=8, is_shared=True)
            self.directory.observe_load(worker_id, load, 0.0)

    def work(self, worker_id: BackendId, factor: float, since: float, until: float) -> None:
        """Let a worker make an event each tenth of a second, at a pace."""
        for tick in range(round(since * 10), round(until * 10)):
            self.observe(worker_id, [factor * USUAL_SECONDS], now=tick / 10)

    def test_a_worker_that_is_always_slow_is_not_left(self) -> None:
        self.work(FIRST, 2.5, 0.0, 8.0)
        self.work(SECOND, 1.0, 0.0, 8.0)
        self.work(THIRD, 1.0, 0.0, 8.0)
        self.assertFalse(self.choice(now=8.0).is_slow(FIRST))
        # One that turns slower than it is used to be is.
        self.work(FIRST, 10.0, 8.0, 10.0)
        self.assertTrue(self.choice(now=10.0).is_slow(FIRST))

    def test_a_moment_of_slowness_is_waited_for(self) -> None:
        for worker_id in (FIRST, SECOND, THIRD):
            self.work(worker_id, 1.0, 0.0, 8.0)
        self.work(FIRST, 2.5, 8.0, 8.7)
        self.assertFalse(self.choice(now=8.7).is_slow(FIRST))
        self.work(FIRST, 2.5, 8.7, 9.8)
        self.assertTrue(self.choice(now=9.8).is_slow(FIRST))

    def test_a_long_item_goes_where_events_usually_come_soonest(self) -> None:
        self.work(FIRST, 1.0, 0.0, 8.0)
        self.work(SECOND, 2.0, 0.0, 8.0)
        self.work(THIRD, 2.0, 0.0, 8.0)
        # For half a second the usually fastest worker is the slowest.
        self.work(FIRST, 2.5, 8.0, 8.5)
        request = PlaceRequest(
            group="g",
            expected_tokens=50,
            avoid=None,
            is_long=True,
            minimum_version=WeightVersion(1),
        )
        self.assertEqual(self.choice(now=8.5).take(request), FIRST)

    def test_an_item_moves_only_for_a_gain_that_pays(self) -> None:
        self.work(FIRST, 2.5, 0.0, 8.0)
        self.work(SECOND, 1.0, 0.0, 8.0)
        choice = self.choice(now=8.0)
        gain_seconds = 1.5 * USUAL_SECONDS
        self.assertIsNone(choice.reserve_faster(FIRST, 1.01 * gain_seconds))
        self.assertEqual(choice.reserve_faster(FIRST, 0.99 * gain_seconds), SECOND)

    def test_a_moved_item_goes_on_where_its_place_was_set_aside(self) -> None:
        spec = batch_spec(groups=1, group_size=3)
        scheduler = BatchScheduler(spec, 0.0, ())
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        for worker_id in (SECOND, THIRD):
            self.directory.observe_failure(worker_id, 0.0)
        starts = scheduler.plan(workers, WeightVersion(1), 0.0)
        moved = starts[0].item.item_id if isinstance(starts[0], StartRun) else ItemId("")
        for number in range(8):
            event = StreamEvent(number=number, data="x", version=WeightVersion(1))
            scheduler.take_event(moved, event, 0.4 * number)
        self.work(FIRST, 1.0, 0.0, 8.0)
        for worker_id in (SECOND, THIRD):
            self.work(worker_id, 1.0, 0.0, 12.0)
            self.directory.end_pause(worker_id, 8.0)
        self.work(FIRST, 12.0, 8.0, 12.0)
        for number in range(8, 12):
            event = StreamEvent(number=number, data="x", version=WeightVersion(1))
            scheduler.take_event(moved, event, 0.2 + number)
        stops = [
            d for d in scheduler.plan(workers, WeightVersion(1), 12.0) if isinstance(d, StopRun)
        ]
        target = [stop.item_id for stop in stops if stop.reason is StopReason.SLOW_WORKER]
        self.assertEqual(target, [moved])
        scheduler.take_failure(moved, RunFailure.STOPPED, 12.0)
        again = [
            d
            for d in scheduler.plan(workers, WeightVersion(1), 12.01)
            if isinstance(d, StartRun) and d.item.item_id == moved
        ]
        self.assertEqual([d.worker_id for d in again], [SECOND])


if __name__ == "__main__":
    unittest.main()
