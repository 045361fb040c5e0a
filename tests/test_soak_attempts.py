"""Tests of the checks of attempts, deadlines and failing items: each must notice its fault."""

import tempfile
import time
import unittest
from datetime import UTC, datetime
from pathlib import Path

import msgspec
from drumbay_soak.attempt_checks import harm_of_failing_items, harm_of_requests
from drumbay_soak.checks import check
from drumbay_soak.fault_plan import Fault, FaultKind
from drumbay_soak.harm_report import LONG_WAIT_SECONDS, count_runs, outcome_of_sound_items
from drumbay_soak.history import (
    BatchHistory,
    BatchRead,
    ClientCall,
    CrashingRequest,
    Downtime,
    FailingItem,
    History,
)
from drumbay_soak.send_log import LoggedSend, read_sends

from drumbay.batches.records import ItemId, ItemResult, ResultState
from drumbay.identifiers import BackendId
from drumbay.standins.worker_log import LoggedArrival, LoggedCrash, LoggedRun

STARTED_AT = 1_000.0
DEADLINE_SECONDS = 1.5


def limited_call(number: int) -> ClientCall:
    return ClientCall(
        request_id=f"limited-{number}",
        node=0,
        boot=1,
        sent_at=STARTED_AT + 10.0,
        ended_at=STARTED_AT + 11.0,
        may_repeat=True,
        deadline_seconds=DEADLINE_SECONDS,
        attempts=2,
    )


def run(
    request_id: str, worker: str = "application-0", at: float = 10.1, failed_with: int | None = None
) -> LoggedRun:
    return LoggedRun(
        worker_id=BackendId(worker),
        request_id=request_id,
        started_at=STARTED_AT + at,
        ended_at=STARTED_AT + at + 0.01,
        budget_seconds=1.0,
        failed_with=failed_with,
    )


def arrival(request_id: str, at: float, budget_seconds: float) -> LoggedArrival:
    return LoggedArrival(
        worker_id=BackendId("application-0"),
        service="application",
        zone="zone-1",
        request_id=request_id,
        target="/limited/x",
        at=STARTED_AT + at,
        budget_seconds=budget_seconds,
    )


def fault(kind: FaultKind, start_seconds: float, target: int = 0) -> Fault:
    return Fault(start_seconds=start_seconds, kind=kind, target=target, duration_seconds=1.0)


class AttemptCheckCase(unittest.TestCase):
    def setUp(self) -> None:
        self.history = History(
            started_at=STARTED_AT,
            faults=(),
            limited_calls=[limited_call(number) for number in range(30)],
            worker_numbers={f"application-{number}": number for number in range(3)},
            node_zones=("zone-1", "zone-2"),
        )

    def assert_broken(self, promise: str) -> None:
        self.assertIn(promise, {violation.promise for violation in check(self.history)})

    def assert_kept(self, promise: str) -> None:
        self.assertNotIn(promise, {violation.promise for violation in check(self.history)})


class WorkersOfARequestTest(AttemptCheckCase):
    promise = "requests_run_on_few_workers"

    def add_runs(self, requests: int, workers: int = 3) -> None:
        self.history.runs = [
            run(f"limited-{number}", f"application-{worker}")
            for number in range(requests)
            for worker in range(workers)
        ]

    def test_more_than_three_requests_on_too_many_workers_are_noticed(self) -> None:
        self.add_runs(requests=4)
        self.assert_broken(self.promise)

    def test_three_such_requests_are_allowed(self) -> None:
        self.add_runs(requests=3)
        self.assert_kept(self.promise)

    def test_several_runs_on_one_worker_count_once(self) -> None:
        self.add_runs(requests=10, workers=2)
        self.history.runs *= 2
        self.assert_kept(self.promise)

    def test_a_worker_that_ended_or_was_cut_off_does_not_count(self) -> None:
        self.add_runs(requests=4)
        crash = LoggedCrash(worker_id=BackendId("application-0"), at=STARTED_AT + 10.5)
        self.history.crashes = [crash]
        self.assert_kept(self.promise)
        self.history.crashes = []
        self.history.faults = (fault(FaultKind.WORKER_SILENT, 10.0, target=2),)
        self.assert_kept(self.promise)
        for kind in (FaultKind.WORKER_SLOW, FaultKind.CONNECTIONS_SILENT):
            self.history.faults = (fault(kind, 10.0, target=2),)
            self.assert_broken(self.promise)


class DeadlineTest(AttemptCheckCase):
    promise = "deadlines_are_handed_on"

    def add_arrivals(self, count: int, *sends: tuple[float, float]) -> None:
        """Add ``count`` requests, each sent at these times with these seconds left."""
        self.history.arrivals += [
            arrival(f"limited-{number}", at, budget_seconds)
            for number in range(count)
            for at, budget_seconds in sends
        ]

    def test_a_deadline_beyond_that_of_the_client_is_noticed(self) -> None:
        self.add_arrivals(21, (10.1, DEADLINE_SECONDS + 0.6))
        self.assert_broken(self.promise)

    def test_a_missing_deadline_is_noticed(self) -> None:
        self.add_arrivals(21, (10.1, float("inf")))
        self.assert_broken(self.promise)

    def test_a_late_send_with_the_deadline_of_the_first_is_noticed(self) -> None:
        self.add_arrivals(21, (10.1, 1.4), (10.9, 1.4))
        self.assert_broken(self.promise)

    def test_a_late_send_with_the_remaining_time_is_allowed(self) -> None:
        self.add_arrivals(30, (10.1, 1.4), (10.9, 0.6))
        self.assert_kept(self.promise)

    def test_twenty_long_deadlines_are_allowed(self) -> None:
        self.add_arrivals(20, (10.1, 1.4), (10.9, 1.4))
        self.assert_kept(self.promise)

    def test_a_worker_that_stands_still_is_no_excuse(self) -> None:
        self.add_arrivals(21, (10.1, 1.4), (10.9, 1.4))
        for target in range(2):
            self.history.faults = (fault(FaultKind.WORKER_PAUSED, 9.5, target=target),)
            self.assert_broken(self.promise)

    def test_each_kind_of_call_is_judged(self) -> None:
        """Guards against a kind of call that the check leaves out."""
        for kind in ("calls", "crowd_calls", "probe_calls"):
            with self.subTest(kind=kind):
                self.setUp()
                setattr(self.history, kind, self.history.limited_calls)
                self.history.limited_calls = []
                self.add_arrivals(21, (10.1, DEADLINE_SECONDS + 0.6))
                self.assert_broken(self.promise)

    def test_calls_of_crashing_requests_are_judged(self) -> None:
        crashing = CrashingRequest(kind=FaultKind.CRASHING_LOOKUP, calls=self.history.limited_calls)
        self.history.limited_calls = []
        self.history.crashing_requests = [crashing]
        self.add_arrivals(21, (10.1, float("inf")))
        self.assert_broken(self.promise)

    def add_reward_requests(self, count: int) -> None:
        reward_ids = {f"item-{number}": f"limited-{number}" for number in range(count)}
        self.history.limited_calls = []
        self.history.batches = [
            BatchHistory(
                batch_id="batch",
                item_ids=tuple(reward_ids),
                minimum_version=1,
                attempts=3,
                reward_ids=reward_ids,
            )
        ]

    def test_a_reward_request_has_the_deadline_of_its_first_send(self) -> None:
        self.add_reward_requests(21)
        self.add_arrivals(21, (10.1, 2.0), (13.0, 2.0))
        self.assert_broken(self.promise)

    def test_a_reward_request_sent_again_within_its_deadline_is_allowed(self) -> None:
        self.add_reward_requests(21)
        self.add_arrivals(21, (10.1, 10.0), (13.0, 7.1))
        self.assert_kept(self.promise)

    def test_a_restart_of_all_nodes_excuses_each_one_only_while_it_restarts_itself(self) -> None:
        self.add_arrivals(21, (10.1, 1.4), (10.9, 1.4))
        self.history.faults = (fault(FaultKind.NODES_RESTARTED, 9.5),)
        for node, is_excused in ((1, False), (0, True)):
            began_at = STARTED_AT + 9.0
            self.history.downtimes = [
                Downtime(node=node, began_at=began_at, ended_at=began_at + 1.0)
            ]
            (self.assert_kept if is_excused else self.assert_broken)(self.promise)

    def test_silent_connections_excuse_as_a_reset_of_that_moment(self) -> None:
        self.add_arrivals(21, (10.1, 1.4), (10.9, 1.4))
        long_ago = msgspec.structs.replace(
            fault(FaultKind.CONNECTIONS_SILENT, 7.0), duration_seconds=5.0
        )
        self.history.faults = (long_ago,)
        self.assert_broken(self.promise)
        self.history.faults = (fault(FaultKind.CONNECTIONS_SILENT, 9.0),)
        self.assert_kept(self.promise)

    def test_a_delay_of_the_store_is_no_excuse(self) -> None:
        self.add_arrivals(21, (10.1, 1.4), (10.9, 1.4))
        self.history.faults = (fault(FaultKind.STORE_DELAYED, 9.5, target=0),)
        self.assert_broken(self.promise)

    def test_sends_of_a_disturbed_node_are_not_judged(self) -> None:
        self.add_arrivals(21, (10.1, 1.4), (10.9, 1.4))
        self.history.faults = (fault(FaultKind.NODE_PAUSED, 8.5, target=1),)
        self.assert_broken(self.promise)
        self.history.faults = (fault(FaultKind.NODE_PAUSED, 8.5, target=0),)
        self.assert_kept(self.promise)


class FailingItemTest(AttemptCheckCase):
    promise = "failing_items_are_given_up"

    def add_item(self, status: int, allowed_failures: int, failures: int) -> None:
        self.history.failing_items = [
            FailingItem(item_id="item", status=status, allowed_failures=allowed_failures)
        ]
        self.history.runs = [
            run("item", at=float(number), failed_with=status) for number in range(failures)
        ]

    def test_a_run_after_all_failures_that_are_allowed_is_noticed(self) -> None:
        self.add_item(500, 9, failures=10)
        self.assert_broken(self.promise)
        self.add_item(422, 3, failures=4)
        self.assert_broken(self.promise)

    def test_as_many_failures_as_allowed_are_kept(self) -> None:
        self.add_item(500, 9, failures=9)
        self.assert_kept(self.promise)
        self.add_item(422, 3, failures=3)
        self.assert_kept(self.promise)

    def test_only_the_node_that_sent_the_item_is_excused_by_a_disturbance(self) -> None:
        self.add_item(422, 3, failures=4)
        self.history.faults = (fault(FaultKind.NODE_KILLED, 2.0, target=1),)
        self.assert_broken(self.promise)
        for node, is_excused in ((0, False), (1, True)):
            self.history.sends = [LoggedSend(node=node, request_id="item", at=STARTED_AT + 2.9)]
            (self.assert_kept if is_excused else self.assert_broken)(self.promise)

    def test_the_sender_of_a_run_is_the_last_node_that_sent_the_item_before(self) -> None:
        self.add_item(422, 3, failures=4)
        self.history.faults = (fault(FaultKind.NODE_KILLED, 2.0, target=1),)
        self.history.sends = [
            LoggedSend(node=0, request_id="item", at=STARTED_AT + 3.4),
            LoggedSend(node=1, request_id="item", at=STARTED_AT + 2.9),
            LoggedSend(node=0, request_id="item", at=STARTED_AT + 1.0),
        ]
        self.assert_kept(self.promise)


class SendLogTest(unittest.TestCase):
    def test_the_senders_of_items_and_requests_are_read_from_the_logs(self) -> None:
        now = time.time()
        lines = [
            f"time={_log_time(now - 5.0)} level=info event=item_run_started batch=b item=item-1",
            f"time={_log_time(now - 2.0)} level=info event=request_served request=score-1 "
            "elapsed_seconds=1.5",
            f"time={_log_time(now - 1.0)} level=info event=batch_owned batch=b",
        ]
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "node-0.log").write_text("\n".join(lines[:1]))
            (Path(folder) / "node-1.log").write_text("\n".join(lines[1:]))
            sends = read_sends(Path(folder), range(2))
        self.assertEqual([(s.node, s.request_id) for s in sends], [(0, "item-1"), (1, "score-1")])
        ages = [time.monotonic() - send.at for send in sends]
        self.assertAlmostEqual(ages[0], 5.0, delta=0.5)
        self.assertAlmostEqual(ages[1], 3.5, delta=0.5)


def _log_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")


class FailingItemsHarmTest(unittest.TestCase):
    def test_runs_beyond_the_bound_are_counted_for_each_item(self) -> None:
        history = History(started_at=STARTED_AT, faults=())
        history.failing_items = [
            FailingItem(item_id=name, status=422, allowed_failures=3) for name in ("a", "b", "c")
        ]
        history.runs = [
            run(name, at=float(number), failed_with=422)
            for name, count in (("a", 5), ("b", 3))
            for number in range(count)
        ]
        harm = harm_of_failing_items(history)
        self.assertEqual((harm.items, harm.items_beyond, harm.runs_beyond), (3, 1, 2))
        self.assertEqual(harm.most_failures, {422: 5})


class HarmReportTest(unittest.TestCase):
    def test_sound_items_that_die_or_wait_are_counted(self) -> None:
        batch = BatchHistory(
            batch_id="batch",
            item_ids=("sound", "late", "dead", "bad"),
            minimum_version=1,
            attempts=3,
            accepted_at=STARTED_AT,
            final_results=(ItemResult(item_id=ItemId("dead"), state=ResultState.DEAD),),
        )
        history = History(started_at=STARTED_AT, faults=(), batches=[batch])
        history.expected_texts = {"late": "a\nb", "sound": ""}
        history.runs = [
            run("sound", at=0.0),
            run("sound", at=60.0),
            run("late", at=0.0),
            run("late", at=7.0),
            run("bad", at=0.0, failed_with=500),
        ]
        history.runs[0].events = 1
        sound = outcome_of_sound_items(history)
        self.assertEqual((sound.items, sound.dead, sound.waited), (3, 1, 1))
        self.assertGreater(sound.longest_wait_seconds, LONG_WAIT_SECONDS)

    def test_sound_items_that_die_in_a_batch_job_that_is_ended_later_are_counted(self) -> None:
        dead = ItemResult(item_id=ItemId("dead"), state=ResultState.DEAD)
        batch = BatchHistory(
            batch_id="batch",
            item_ids=("sound", "dead"),
            minimum_version=1,
            attempts=3,
            accepted_at=STARTED_AT,
            ended_at=STARTED_AT + 1.0,
            reads=[BatchRead(node=0, position=0, results=(dead,))],
        )
        history = History(started_at=STARTED_AT, faults=(), batches=[batch])
        self.assertEqual(outcome_of_sound_items(history).dead, 1)

    def test_runs_without_an_answer_are_counted_from_the_logs(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            lines = [
                f"time={_log_time(0.0)} level=info event=item_run_{name} item=i worker=w"
                for name in ("started", "started", "unanswered")
            ]
            (Path(folder) / "node-0.log").write_text("\n".join(lines))
            counts = count_runs(Path(folder))
        self.assertEqual((counts.started, counts.unanswered), (2, 1))

    def test_requests_on_too_many_workers_are_counted_also_if_they_are_allowed(self) -> None:
        history = History(
            started_at=STARTED_AT,
            faults=(fault(FaultKind.WORKER_RESET, 10.0),),
            limited_calls=[limited_call(0)],
            worker_numbers={"application-0": 0},
        )
        history.runs = [run("limited-0", f"application-{number}") for number in range(3)]
        harm = harm_of_requests(history)
        self.assertEqual((len(harm.beyond), harm.beyond_in_all), (0, 1))


if __name__ == "__main__":
    unittest.main()
