"""Tests of the checks of attempts, deadlines and failing items: each must notice its fault."""

import unittest

from drumbay_soak.checks import check
from drumbay_soak.fault_plan import Fault, FaultKind
from drumbay_soak.history import ClientCall, FailingItem, History

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

    def test_a_worker_that_stood_still_reads_late_what_was_sent_in_time(self) -> None:
        self.add_arrivals(21, (10.1, 1.4), (10.9, 1.4))
        self.history.faults = (fault(FaultKind.WORKER_PAUSED, 9.5, target=1),)
        self.assert_broken(self.promise)
        self.history.faults = (fault(FaultKind.WORKER_PAUSED, 9.5, target=0),)
        self.assert_kept(self.promise)

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

    def test_a_disturbed_node_may_have_sent_the_item(self) -> None:
        self.add_item(422, 3, failures=4)
        self.history.faults = (fault(FaultKind.NODE_KILLED, 2.0, target=1),)
        self.assert_kept(self.promise)


if __name__ == "__main__":
    unittest.main()
