"""Worker selection by event interval: outliers, slow workers, isolation and expected versions."""

import unittest

import msgspec

from drumbay.batches.decisions import RunFailure, StartRun, StopReason, StopRun
from drumbay.batches.records import ItemId
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.worker_selector import SlotRequest, WorkerSelector
from drumbay.comm.network_address import NetworkAddress
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
            self.directory.observe_event_interval(worker_id, seconds, now)

    def selector(
        self, now: float = 0.0, isolated_workers: frozenset[BackendId] = frozenset()
    ) -> WorkerSelector:
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        return WorkerSelector(batch_spec(), workers, WeightVersion(1), now, isolated_workers)


class IsolatedItemTest(DirectoryTest):
    """Items under which workers have crashed run on separate workers."""

    def assign(self, selector: WorkerSelector, *, is_isolated: bool) -> BackendId | None:
        return selector.assign(
            SlotRequest(
                group="g",
                expected_tokens=10,
                avoided_worker=None,
                is_long=False,
                minimum_version=WeightVersion(1),
                is_isolated=is_isolated,
            )
        )

    def test_each_isolated_item_has_its_own_worker(self) -> None:
        selector = self.selector()
        assigned = [self.assign(selector, is_isolated=True) for _ in range(3)]
        self.assertEqual(set(assigned), {FIRST, SECOND, THIRD})
        self.assertIsNone(self.assign(selector, is_isolated=True))
        self.assertIsNotNone(self.assign(selector, is_isolated=False))

    def test_workers_with_isolated_items_are_excluded(self) -> None:
        selector = self.selector(isolated_workers=frozenset({FIRST, THIRD}))
        self.assertEqual(self.assign(selector, is_isolated=True), SECOND)
        self.assertIsNone(self.assign(selector, is_isolated=True))


class CachedPromptTest(DirectoryTest):
    """Items of a group prefer the worker that has their prompt cached, until it restarts."""

    def assign(self, selector: WorkerSelector) -> BackendId | None:
        return selector.assign(
            SlotRequest(
                group="g",
                expected_tokens=10,
                avoided_worker=None,
                is_long=False,
                minimum_version=WeightVersion(1),
            )
        )

    def test_a_restarted_worker_is_not_preferred_for_a_lost_prompt(self) -> None:
        selector = self.selector()
        first = self.assign(selector)
        assert first is not None
        self.assertEqual(self.assign(selector), first)
        record = self.directory.get(first)
        assert record is not None
        self.directory.put(msgspec.structs.replace(record.worker, started_at_ms=1_000))
        self.directory.put(msgspec.structs.replace(record.worker, started_at_ms=2_000))
        # Loaded with one item, so that other workers are preferred without the cached prompt.
        self.directory.observe_load(first, WorkerLoad(running=1, waiting=0, slots=8), 0.0)
        self.assertNotEqual(self.assign(self.selector()), first)


class EventIntervalTest(DirectoryTest):
    def test_one_late_event_does_not_make_a_worker_slow(self) -> None:
        self.observe(FIRST, [1.0])
        self.assertFalse(self.selector().is_slow(FIRST))

    def test_events_read_together_do_not_make_a_worker_fast(self) -> None:
        self.observe(FIRST, [0.001, 0.001, 0.001])
        self.assertFalse(self.selector().reserve_faster(SECOND))
        self.assertFalse(self.selector(now=10.0).reserve_faster(SECOND))

    def test_a_short_burst_of_fast_events_does_not_make_a_worker_fast(self) -> None:
        self.observe(FIRST, [0.5 * USUAL_SECONDS] * 20)
        self.observe(SECOND, [USUAL_SECONDS] * 10, now=10.0)
        self.assertFalse(self.selector(now=10.0).reserve_faster(SECOND))

    def test_a_constantly_fast_worker_is_remembered(self) -> None:
        for tick in range(6):
            self.observe(FIRST, [0.5 * USUAL_SECONDS] * 7, now=float(tick))
        self.observe(SECOND, [USUAL_SECONDS] * 10, now=20.0)
        self.assertTrue(self.selector(now=20.0).reserve_faster(SECOND))

    def test_a_worker_that_becomes_slow_is_detected_after_four_events(self) -> None:
        self.observe(FIRST, [4 * USUAL_SECONDS] * 4)
        self.assertTrue(self.selector().is_slow(FIRST))
        self.assertTrue(self.selector().reserve_faster(FIRST))

    def test_old_slow_events_expire(self) -> None:
        self.observe(FIRST, [4 * USUAL_SECONDS] * 7)
        self.assertFalse(self.selector(now=10.0).is_slow(FIRST))

    def test_long_items_are_spread_over_similarly_fast_workers(self) -> None:
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

    def test_an_item_of_a_failed_worker_goes_to_an_active_worker(self) -> None:
        self.directory.observe_event_interval(SECOND, USUAL_SECONDS, 5.0)
        scheduler = BatchScheduler(batch_spec(groups=1, group_size=1), 0.0, ())
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        scheduler.plan(workers, WeightVersion(1), 4.0)
        event = StreamEvent(number=1, data="x", version=WeightVersion(1))
        scheduler.handle_event(ItemId("batch-0-0"), event, 4.1)
        scheduler.handle_run_failure(ItemId("batch-0-0"), RunFailure.BROKEN, 5.1)
        (start,) = scheduler.plan(workers, WeightVersion(1), 5.2)
        assert isinstance(start, StartRun)
        self.assertEqual((start.worker_id, start.resume_after), (SECOND, 1))

    def test_the_last_event_of_a_text_is_not_measured(self) -> None:
        scheduler = BatchScheduler(batch_spec(groups=1, group_size=1), 0.0, ())
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        scheduler.plan(workers, WeightVersion(1), 0.0)
        gaps: list[float] = []
        for number, now in enumerate((0.1, 0.14, 0.18, 0.22, 0.23)):
            event = StreamEvent(number=number, data="x", version=WeightVersion(1))
            gap = scheduler.handle_event(ItemId("batch-0-0"), event, now)
            if gap is not None:
                gaps.append(round(gap, 3))
        self.assertEqual(gaps, [0.04, 0.04, 0.04])


class ExpectedVersionTest(DirectoryTest):
    def has_free_slot(self, now: float) -> bool:
        spec = msgspec.structs.replace(batch_spec(), minimum_version=WeightVersion(2))
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        return WorkerSelector(spec, workers, WeightVersion(2), now).has_free_slot

    def test_a_worker_is_used_once_its_weight_load_should_be_done(self) -> None:
        self.assertFalse(self.has_free_slot(0.0))
        self.directory.record_weight_load(FIRST, MODEL, WeightVersion(2), 0.9)
        self.assertFalse(self.has_free_slot(0.8))
        self.assertTrue(self.has_free_slot(1.0))

    def test_a_response_with_old_weights_cancels_the_expected_version(self) -> None:
        self.directory.record_weight_load(FIRST, MODEL, WeightVersion(2), 0.9)
        self.directory.observe_version(FIRST, MODEL, WeightVersion(1), 0.5)
        self.assertTrue(self.has_free_slot(1.0))
        self.directory.observe_version(FIRST, MODEL, WeightVersion(1), 1.0)
        self.assertFalse(self.has_free_slot(1.1))


class SharedMachineTest(DirectoryTest):
    """Workers on shared machines have short slowdowns, and some are always slower."""

    def setUp(self) -> None:
        super().setUp()
        for worker_id in (FIRST, SECOND, THIRD):
            load = WorkerLoad(running=0, waiting=0, slots=8, is_shared=True)
            self.directory.observe_load(worker_id, load, 0.0)

    def make_events(self, worker_id: BackendId, factor: float, since: float, until: float) -> None:
        """Observe an event of a worker every 0.1 s, with intervals scaled by a factor."""
        for tick in range(round(since * 10), round(until * 10)):
            self.observe(worker_id, [factor * USUAL_SECONDS], now=tick / 10)

    def test_a_constantly_slow_worker_does_not_count_as_slow(self) -> None:
        self.make_events(FIRST, 2.5, 0.0, 8.0)
        self.make_events(SECOND, 1.0, 0.0, 8.0)
        self.make_events(THIRD, 1.0, 0.0, 8.0)
        self.assertFalse(self.selector(now=8.0).is_slow(FIRST))
        # A worker that becomes slower than usual is slow.
        self.make_events(FIRST, 10.0, 8.0, 10.0)
        self.assertTrue(self.selector(now=10.0).is_slow(FIRST))

    def test_a_short_slowdown_is_ignored(self) -> None:
        for worker_id in (FIRST, SECOND, THIRD):
            self.make_events(worker_id, 1.0, 0.0, 8.0)
        self.make_events(FIRST, 2.5, 8.0, 8.7)
        self.assertFalse(self.selector(now=8.7).is_slow(FIRST))
        self.make_events(FIRST, 2.5, 8.7, 9.8)
        self.assertTrue(self.selector(now=9.8).is_slow(FIRST))

    def test_a_long_item_goes_to_the_usually_fastest_worker(self) -> None:
        self.make_events(FIRST, 1.0, 0.0, 8.0)
        self.make_events(SECOND, 2.0, 0.0, 8.0)
        self.make_events(THIRD, 2.0, 0.0, 8.0)
        # The usually fastest worker is the slowest for 0.5 s.
        self.make_events(FIRST, 2.5, 8.0, 8.5)
        request = SlotRequest(
            group="g",
            expected_tokens=50,
            avoided_worker=None,
            is_long=True,
            minimum_version=WeightVersion(1),
        )
        self.assertEqual(self.selector(now=8.5).assign(request), FIRST)

    def test_an_item_moves_only_for_the_minimum_gain(self) -> None:
        self.make_events(FIRST, 2.5, 0.0, 8.0)
        self.make_events(SECOND, 1.0, 0.0, 8.0)
        selector = self.selector(now=8.0)
        gain_seconds = 1.5 * USUAL_SECONDS
        self.assertIsNone(selector.reserve_faster(FIRST, 1.01 * gain_seconds))
        self.assertEqual(selector.reserve_faster(FIRST, 0.99 * gain_seconds), SECOND)

    def test_a_moved_item_starts_on_the_reserved_worker(self) -> None:
        spec = batch_spec(groups=1, group_size=3)
        scheduler = BatchScheduler(spec, 0.0, ())
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        for worker_id in (SECOND, THIRD):
            self.directory.observe_failure(worker_id, 0.0)
        starts = scheduler.plan(workers, WeightVersion(1), 0.0)
        moved = starts[0].item.item_id if isinstance(starts[0], StartRun) else ItemId("")
        for number in range(8):
            event = StreamEvent(number=number, data="x", version=WeightVersion(1))
            scheduler.handle_event(moved, event, 0.4 * number)
        self.make_events(FIRST, 1.0, 0.0, 8.0)
        for worker_id in (SECOND, THIRD):
            self.make_events(worker_id, 1.0, 0.0, 12.0)
            self.directory.end_pause(worker_id, 8.0)
        self.make_events(FIRST, 12.0, 8.0, 12.0)
        for number in range(8, 12):
            event = StreamEvent(number=number, data="x", version=WeightVersion(1))
            scheduler.handle_event(moved, event, 0.2 + number)
        stops = [
            d for d in scheduler.plan(workers, WeightVersion(1), 12.0) if isinstance(d, StopRun)
        ]
        target = [stop.item_id for stop in stops if stop.reason is StopReason.SLOW_WORKER]
        self.assertEqual(target, [moved])
        scheduler.handle_run_failure(moved, RunFailure.STOPPED, 12.0)
        again = [
            d
            for d in scheduler.plan(workers, WeightVersion(1), 12.01)
            if isinstance(d, StartRun) and d.item.item_id == moved
        ]
        self.assertEqual([d.worker_id for d in again], [SECOND])


if __name__ == "__main__":
    unittest.main()
