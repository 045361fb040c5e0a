"""Decisions of the batch scheduler: start order, worker selection, moves and stops."""

import unittest

import msgspec

from drumbay.batches.decisions import Decision, RunFailure, StartRun, StopReason, StopRun
from drumbay.batches.item_order import ItemOrder
from drumbay.batches.records import BatchSpec, ItemId, ResubmittedItems
from drumbay.batches.scheduler import (
    LONG_TEXT_EVENTS,
    MIN_EVENTS_TO_MOVE_ITEM,
    MIN_EVENTS_TO_MOVE_LONG_ITEM,
    PRIORITY_LONG,
    PRIORITY_NORMAL,
    BatchScheduler,
)
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.event_intervals import INTERVAL_SAMPLES
from drumbay.workers.records import StreamEvent, Worker, WorkerState
from tests.serving_world import MODEL, SERVICE, batch_spec


def spec_with_lengths(lengths: dict[str, int]) -> BatchSpec:
    """Return a batch job of three groups with the given expected lengths."""
    spec = batch_spec(groups=3, group_size=2)
    items = tuple(
        msgspec.structs.replace(item, expected_tokens=lengths.get(item.item_id, 50))
        for item in spec.items
    )
    return msgspec.structs.replace(spec, items=items, wanted_groups=2)


class ItemOrderTest(unittest.TestCase):
    def test_long_items_start_first_and_the_longest_group_last(self) -> None:
        spec = spec_with_lengths({"batch-0-1": 400, "batch-1-0": 900})
        order = ItemOrder(spec)
        self.assertEqual(
            [item.item_id for item in order.items()],
            ["batch-0-1", "batch-0-0", "batch-2-0", "batch-2-1", "batch-1-0", "batch-1-1"],
        )
        self.assertTrue(order.is_postponed(spec.items[2]))

    def test_a_resubmitted_group_is_never_postponed(self) -> None:
        spec = spec_with_lengths({"batch-0-1": 400, "batch-1-0": 900})
        order = ItemOrder(spec, frozenset({ItemId("batch-1-1")}))
        self.assertFalse(order.is_postponed(spec.items[2]))
        self.assertTrue(order.is_postponed(spec.items[0]))

    def test_nothing_is_postponed_when_every_group_is_wanted(self) -> None:
        spec = spec_with_lengths({"batch-1-0": 900})
        order = ItemOrder(msgspec.structs.replace(spec, wanted_groups=3))
        self.assertFalse(any(order.is_postponed(item) for item in spec.items))


class SchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = WorkerDirectory()
        for number in (1, 2, 3):
            self.put(number, 1)

    def put(self, number: int, version: int) -> None:
        self.directory.put(
            Worker(
                worker_id=BackendId(f"w{number}"),
                service=SERVICE,
                address=NetworkAddress("h", number),
                zone="z",
                slots=8,
                state=WorkerState.READY,
                versions={MODEL: WeightVersion(version)},
            )
        )

    def set_event_interval(self, worker: str, seconds: float) -> None:
        for _ in range(INTERVAL_SAMPLES):
            self.directory.observe_event_interval(BackendId(worker), seconds, 0.0)

    def plan(self, scheduler: BatchScheduler, now: float, newest: int = 1) -> tuple[Decision, ...]:
        workers = {r.worker.worker_id: r for r in self.directory.of_service(SERVICE)}
        decisions = scheduler.plan(workers, WeightVersion(newest), now)
        for decision in decisions:
            if isinstance(decision, StartRun):
                workers[decision.worker_id].in_flight += 1
        return decisions

    @staticmethod
    def started(decisions: tuple[Decision, ...]) -> dict[str, StartRun]:
        return {d.item.item_id: d for d in decisions if isinstance(d, StartRun)}

    def plan_and_count_silent(self, scheduler: BatchScheduler, now: float) -> int:
        return sum(
            1
            for decision in self.plan(scheduler, now)
            if isinstance(decision, StopRun)
            and decision.reason in (StopReason.SILENT, StopReason.UNSTARTED)
        )

    def count_silent_stops(self, scheduler: BatchScheduler, since: float, until: float) -> int:
        """Plan every 0.1 s; return how many runs were stopped for silence."""
        ticks = round((until - since) * 10)
        return sum(
            self.plan_and_count_silent(scheduler, since + tick / 10) for tick in range(1, ticks + 1)
        )

    def test_a_run_without_events_is_stopped_after_a_timeout(self) -> None:
        scheduler = BatchScheduler(batch_spec(groups=1, group_size=2), 0.0, ())
        self.plan(scheduler, 0.0)
        self.assertEqual(self.count_silent_stops(scheduler, 0.0, 1.5), 0)
        self.assertEqual(self.count_silent_stops(scheduler, 1.5, 1.7), 2)

    def receive_event(self, scheduler: BatchScheduler, item_id: str, now: float) -> None:
        event = StreamEvent(number=round(now * 10), data="x", version=WeightVersion(1))
        scheduler.handle_event(ItemId(item_id), event, now)

    def stop_reasons(
        self, scheduler: BatchScheduler, active: tuple[str, ...], until: float
    ) -> dict[str, StopReason]:
        """Plan every 0.1 s while only the ``active`` items receive events; return the stops."""
        stops: dict[str, StopReason] = {}
        for tick in range(6, round(until * 10) + 1):
            for item_id in active:
                self.receive_event(scheduler, item_id, tick / 10)
            for decision in self.plan(scheduler, tick / 10):
                if isinstance(decision, StopRun):
                    stops[decision.item_id] = decision.reason
                    scheduler.handle_run_failure(decision.item_id, RunFailure.STOPPED, tick / 10)
        return stops

    def two_runs_on_one_worker(self) -> BatchScheduler:
        scheduler = BatchScheduler(batch_spec(groups=1, group_size=2), 0.0, ())
        started = self.started(self.plan(scheduler, 0.0))
        self.assertEqual(len({start.worker_id for start in started.values()}), 1)
        for tick in range(1, 6):
            self.plan(scheduler, tick / 10)
            for item_id in started:
                self.receive_event(scheduler, item_id, tick / 10)
        return scheduler

    def test_a_silent_worker_is_detected_before_a_single_stalled_run(self) -> None:
        both = {"batch-0-0": StopReason.SILENT, "batch-0-1": StopReason.SILENT}
        self.assertEqual(self.stop_reasons(self.two_runs_on_one_worker(), (), 1.1), {})
        self.assertEqual(self.stop_reasons(self.two_runs_on_one_worker(), (), 1.4), both)

    def test_a_stalled_run_on_an_active_worker_is_not_reported_as_worker_silence(self) -> None:
        active = ("batch-0-1",)
        stalled = {"batch-0-0": StopReason.STALLED}
        self.assertEqual(self.stop_reasons(self.two_runs_on_one_worker(), active, 1.6), {})
        self.assertEqual(self.stop_reasons(self.two_runs_on_one_worker(), active, 1.8), stalled)

    def test_silence_timeouts_restart_after_a_pause_of_this_process(self) -> None:
        scheduler = BatchScheduler(batch_spec(groups=1, group_size=2), 0.0, ())
        self.plan(scheduler, 0.0)
        self.assertEqual(self.plan_and_count_silent(scheduler, 5.0), 0)
        self.assertEqual(self.count_silent_stops(scheduler, 5.0, 6.5), 0)
        self.assertEqual(self.count_silent_stops(scheduler, 6.5, 6.7), 2)

    def test_long_items_go_to_fast_workers_with_priority(self) -> None:
        for worker, interval in (("w1", 0.05), ("w2", 0.03), ("w3", 0.05)):
            self.set_event_interval(worker, interval)
        spec = spec_with_lengths({"batch-0-1": 900})
        scheduler = BatchScheduler(msgspec.structs.replace(spec, wanted_groups=3), 0.0, ())
        started = self.started(self.plan(scheduler, 0.0))
        self.assertEqual(len(started), 6)
        self.assertEqual(started["batch-0-1"].worker_id, "w2")
        self.assertEqual(started["batch-0-1"].priority, PRIORITY_LONG)
        self.assertEqual(started["batch-2-1"].priority, PRIORITY_NORMAL)

    def receive_events(self, scheduler: BatchScheduler, count: int, version: int) -> None:
        for number in range(1, count + 1):
            event = StreamEvent(number=number, data="x", version=WeightVersion(version))
            scheduler.handle_event(ItemId("batch-0-0"), event, 0.05 * number)

    def test_a_later_step_reuses_only_texts_of_acceptable_versions(self) -> None:
        for version, is_usable in ((1, False), (2, True)):
            scheduler = BatchScheduler(batch_spec(groups=1, group_size=1), 0.0, ())
            self.plan(scheduler, 0.0)
            self.receive_events(scheduler, 5, version)
            text = scheduler.partial_text(ItemId("batch-0-0"), WeightVersion(2))
            self.assertEqual(text is not None, is_usable)
            unusable = () if is_usable else (ItemId("batch-0-0"),)
            self.assertEqual(scheduler.unusable_after_end(WeightVersion(2)), unusable)
            self.setUp()

    def test_items_that_are_given_up_stop_running(self) -> None:
        spec = batch_spec(groups=1, group_size=2, queue_limit_seconds=5.0)
        scheduler = BatchScheduler(spec, 0.0, ())
        self.plan(scheduler, 0.0)
        self.assertEqual(len(scheduler.expire(5.0)), 2)
        stops = self.plan(scheduler, 5.0)
        self.assertEqual(
            [stop.reason for stop in stops if isinstance(stop, StopRun)], ["given_up"] * 2
        )

    def test_a_batch_job_without_minimum_version_runs_on_unversioned_workers(self) -> None:
        spec = msgspec.structs.replace(batch_spec(groups=2, minimum_version=0), model="")
        self.assertEqual(len(self.plan(BatchScheduler(spec, 0.0, ()), 0.0)), 8)
        spec = msgspec.structs.replace(spec, minimum_version=WeightVersion(1))
        self.assertEqual(self.plan(BatchScheduler(spec, 0.0, ()), 0.0), ())

    def test_a_step_needs_each_resubmitted_group_and_enough_others(self) -> None:
        spec = msgspec.structs.replace(batch_spec(groups=4, group_size=1), wanted_groups=2)
        scheduler = BatchScheduler(spec, 0.0, ())
        scheduler.reuse_texts(ResubmittedItems(item_ids=(ItemId("batch-0-0"),)))
        self.plan(scheduler, 0.0)
        self.assertEqual(scheduler.missing_groups, 2)
        for item, missing in (("batch-1-0", 1), ("batch-2-0", 1), ("batch-0-0", 0)):
            event = StreamEvent(number=1, data="x", version=WeightVersion(1))
            scheduler.handle_event(ItemId(item), event, 0.1)
            scheduler.handle_completion(ItemId(item))
            self.assertEqual(scheduler.missing_groups, missing)

    def test_a_refused_worker_gets_one_probe_at_a_time(self) -> None:
        for worker in ("w1", "w2"):
            self.directory.pause(BackendId(worker), 0.0, 100.0)
        self.directory.observe_refusal(BackendId("w3"), MODEL, 0.0)
        scheduler = BatchScheduler(batch_spec(groups=3), 0.0, ())
        self.assertEqual(self.plan(scheduler, 0.05), ())
        self.assertEqual(len(self.plan(scheduler, 0.11)), 1)
        self.directory.observe_acceptance(BackendId("w3"), MODEL)
        self.assertEqual(len(self.plan(scheduler, 0.12)), 7)

    def test_a_worker_that_loads_weights_gets_no_items_of_that_model(self) -> None:
        version = WeightVersion(2)
        self.directory.record_weight_load(BackendId("w1"), MODEL, version, 0.9)
        self.directory.record_weight_load(BackendId("w2"), "other", version, 0.9)
        scheduler = BatchScheduler(batch_spec(groups=4), 0.0, ())
        workers = {run.worker_id for run in self.started(self.plan(scheduler, 0.0)).values()}
        self.assertEqual(workers, {"w2", "w3"})
        self.put(1, 2)
        more = BatchScheduler(batch_spec("more", groups=4), 0.1, ())
        workers = {run.worker_id for run in self.started(self.plan(more, 0.1)).values()}
        self.assertIn("w1", workers)

    def is_moved_after(self, event_interval: float, events: int, expected_tokens: int) -> bool:
        """Return whether an item leaves its worker for faster ones after some events."""
        self.setUp()
        self.set_event_interval("w1", event_interval)
        for worker in ("w2", "w3"):
            self.set_event_interval(worker, 0.03)
            self.directory.pause(BackendId(worker), 0.0, 0.5)
        spec = spec_with_lengths({"batch-0-0": expected_tokens})
        scheduler = BatchScheduler(spec, 0.0, ())
        self.assertEqual(self.started(self.plan(scheduler, 0.0))["batch-0-0"].worker_id, "w1")
        for number in range(1, events + 1):
            event = StreamEvent(number=number, data="x", version=WeightVersion(1))
            scheduler.handle_event(ItemId("batch-0-0"), event, 0.01 * number)
        stops = [d.item_id for d in self.plan(scheduler, 0.6) if isinstance(d, StopRun)]
        return "batch-0-0" in stops

    def test_only_long_items_leave_a_somewhat_slow_worker(self) -> None:
        long, usual = 900, 50
        self.assertTrue(self.is_moved_after(0.04, MIN_EVENTS_TO_MOVE_LONG_ITEM, long))
        self.assertFalse(self.is_moved_after(0.04, MIN_EVENTS_TO_MOVE_LONG_ITEM - 1, long))
        self.assertFalse(self.is_moved_after(0.04, LONG_TEXT_EVENTS - 1, usual))
        self.assertTrue(self.is_moved_after(0.04, LONG_TEXT_EVENTS, usual))
        self.assertFalse(self.is_moved_after(0.035, 60, long))

    def test_an_item_leaves_a_somewhat_slow_worker_only_once(self) -> None:
        for worker in ("w1", "w2"):
            self.set_event_interval(worker, 0.04)
        self.set_event_interval("w3", 0.03)
        scheduler = BatchScheduler(spec_with_lengths({"batch-0-0": 900}), 0.0, ())
        self.directory.pause(BackendId("w3"), 0.0, 0.5)
        self.plan(scheduler, 0.0)
        stops = 0
        for tick in range(1, 8):
            for number in range(1, 11):
                event = StreamEvent(number=10 * tick + number, data="x", version=WeightVersion(1))
                scheduler.handle_event(ItemId("batch-0-0"), event, 0.1 * tick)
            planned = self.plan(scheduler, 0.1 * tick)
            stops += sum(1 for d in planned if isinstance(d, StopRun) and d.item_id == "batch-0-0")
        self.assertLessEqual(stops, 1)

    def test_long_items_leave_a_slow_worker_after_fewer_events(self) -> None:
        long, usual = 900, 50
        self.assertFalse(self.is_moved_after(0.05, LONG_TEXT_EVENTS - 1, usual))
        self.assertFalse(self.is_moved_after(0.2, MIN_EVENTS_TO_MOVE_LONG_ITEM - 1, long))
        self.assertTrue(self.is_moved_after(0.2, MIN_EVENTS_TO_MOVE_LONG_ITEM, long))
        self.assertFalse(self.is_moved_after(0.2, MIN_EVENTS_TO_MOVE_ITEM - 1, usual))
        self.assertTrue(self.is_moved_after(0.2, MIN_EVENTS_TO_MOVE_ITEM, usual))


if __name__ == "__main__":
    unittest.main()
