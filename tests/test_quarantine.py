"""Ledger of worker crashes under requests, and the decisions based on it."""

import unittest

import msgspec

from drumbay.identifiers import BackendId
from drumbay.quarantine.fingerprint import Fingerprint, fingerprint_of
from drumbay.quarantine.ledger import (
    CRASHES_UNTIL_HELD,
    EXPIRY_SECONDS,
    HOLD_GROWTH_FACTOR,
    INITIAL_HOLD_SECONDS,
    MAX_CRASHES_PER_REQUEST,
    MAX_HOLD_SECONDS,
    MAX_REQUESTS,
    OUTLIVED_RUNS_UNTIL_FORGOTTEN,
    RECOVERY_WAIT_SECONDS,
    UNCONFIRMED_SECONDS,
    QuarantineLedger,
)
from drumbay.quarantine.records import (
    CrashReport,
    Decision,
    Reason,
    RequestActivity,
    WorkerAvailability,
    WorkerCrash,
    WorkerKind,
)
from drumbay.workers.records import WorkerIncarnation

REQUEST = Fingerprint("request")
OTHER = Fingerprint("other")
KIND = WorkerKind(service="lookups", release="v1")
IDLE = RequestActivity()


def crash(number: int, began_at: float, ended_at: float, kind: WorkerKind = KIND) -> WorkerCrash:
    return WorkerCrash(
        worker_id=BackendId(f"w{number}"), kind=kind, began_at=began_at, ended_at=ended_at
    )


def incarnation(number: int, started_at_ms: int = 0) -> WorkerIncarnation:
    return WorkerIncarnation(worker_id=BackendId(f"w{number}"), started_at_ms=started_at_ms)


def availability(available: int = 3, ready: int = 3, kind: WorkerKind = KIND) -> WorkerAvailability:
    return WorkerAvailability(ready=ready, available=available, kinds=frozenset({kind}))


class FingerprintTest(unittest.TestCase):
    def test_fingerprint_covers_caller_host_path_and_body(self) -> None:
        base = {"caller": "c", "method": "POST", "host": "h", "target": "/t", "body": b"b"}
        first = fingerprint_of(**base)  # type: ignore[arg-type]
        self.assertEqual(first, fingerprint_of(**base))  # type: ignore[arg-type]
        for name, value in {
            "caller": "d",
            "method": "GET",
            "host": "i",
            "target": "/u",
            "body": b"c",
        }.items():
            changed = fingerprint_of(**(base | {name: value}))  # type: ignore[arg-type]
            self.assertNotEqual(first, changed, name)

    def test_field_boundaries_are_unambiguous(self) -> None:
        first = fingerprint_of(caller="ab", method="", host="", target="", body=b"")
        second = fingerprint_of(caller="a", method="b", host="", target="", body=b"")
        self.assertNotEqual(first, second)


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = QuarantineLedger()

    def add_consecutive_crashes(self, count: int, request: Fingerprint = REQUEST) -> float:
        """Add consecutive crashes under a request; return the time of the last one."""
        for number in range(count):
            at = float(number)
            self.ledger.add_crashes(request, [crash(number, at, at + 0.05)])
        return count - 1 + 0.05

    def test_request_is_held_from_the_third_crash(self) -> None:
        for count, decision in enumerate([Decision.RUN, Decision.RUN, Decision.RUN]):
            verdict = self.ledger.decide(REQUEST, availability(), IDLE, 100.0)
            self.assertEqual(verdict.decision, decision, count)
            self.ledger.add_crashes(REQUEST, [crash(count, 100.0 + count, 100.5 + count)])
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, 103.0)
        self.assertEqual(verdict.decision, Decision.HOLD)
        self.assertEqual(verdict.reason, Reason.CRASHES_ITS_WORKERS)
        self.assertAlmostEqual(verdict.retry_after_seconds, INITIAL_HOLD_SECONDS - 0.5)
        other = self.ledger.decide(OTHER, availability(), IDLE, 103.0)
        self.assertEqual(other.decision, Decision.RUN)

    def test_held_request_gets_one_run_after_each_growing_hold(self) -> None:
        ended_at = self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        hold_seconds = INITIAL_HOLD_SECONDS
        for number in range(CRASHES_UNTIL_HELD, CRASHES_UNTIL_HELD + 4):
            before = self.ledger.decide(REQUEST, availability(), IDLE, ended_at + hold_seconds - 1)
            self.assertEqual(before.decision, Decision.HOLD)
            began_at = ended_at + hold_seconds
            after = self.ledger.decide(REQUEST, availability(), IDLE, began_at)
            self.assertEqual(after.decision, Decision.RUN)
            ended_at = began_at + 0.05
            self.ledger.add_crashes(REQUEST, [crash(number, began_at, ended_at)])
            hold_seconds = min(hold_seconds * HOLD_GROWTH_FACTOR, MAX_HOLD_SECONDS)
        self.assertEqual(hold_seconds, MAX_HOLD_SECONDS)

    def test_concurrent_runs_count_once(self) -> None:
        """A power loss ends many workers that run the same request of many callers."""
        self.ledger.add_crashes(REQUEST, [crash(n, 0.01 * n, 0.5 + 0.01 * n) for n in range(9)])
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 1)
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, 0.7)
        self.assertEqual(verdict.decision, Decision.RUN)

    def test_hedged_runs_count_once_and_later_runs_again(self) -> None:
        crashes = [crash(1, 0.0, 0.2), crash(2, 0.09, 0.29), crash(3, 4.0, 4.05)]
        self.ledger.add_crashes(REQUEST, crashes)
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 2)

    def test_order_of_reports_does_not_matter(self) -> None:
        crashes = [crash(n, float(n), n + 0.05) for n in range(4)]
        for order in (crashes, crashes[::-1]):
            ledger = QuarantineLedger()
            for each in order:
                ledger.add_crashes(REQUEST, [each])
            self.assertEqual(ledger.consecutive_crashes(REQUEST), 4)

    def test_reported_crash_keeps_its_age(self) -> None:
        reports = [CrashReport.of(crash(n, n + 0.0, n + 0.05), 10.0) for n in range(3)]
        self.ledger.add_crashes(REQUEST, [each.to_crash(1_000.003) for each in reports])
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 3)
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, 1_000.003)
        self.assertAlmostEqual(verdict.retry_after_seconds, INITIAL_HOLD_SECONDS - 7.95)

    def test_crash_reported_twice_counts_once(self) -> None:
        self.assertEqual(len(self.ledger.add_crashes(REQUEST, [crash(1, 0.0, 0.05)])), 1)
        self.assertEqual(self.ledger.add_crashes(REQUEST, [crash(1, 3.0, 3.05)]), ())
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 1)

    def test_response_clears_a_request(self) -> None:
        self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        self.assertTrue(self.ledger.clear(REQUEST))
        self.assertFalse(self.ledger.clear(REQUEST))
        self.assertTrue(self.ledger.is_empty)

    def test_live_worker_withdraws_its_crashes(self) -> None:
        self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        self.ledger.add_crashes(OTHER, [crash(1, 0.0, 1.05)])
        self.assertEqual(self.ledger.withdraw(incarnation(1)), (REQUEST, OTHER))
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 2)
        self.assertNotIn(OTHER, self.ledger)
        self.assertEqual(self.ledger.crashed_workers(), {incarnation(0), incarnation(2)})

    def test_last_worker_is_not_risked(self) -> None:
        self.add_consecutive_crashes(1)
        verdict = self.ledger.decide(REQUEST, availability(available=1), IDLE, 5.0)
        self.assertEqual(verdict.reason, Reason.FEW_WORKERS_LEFT)
        self.assertEqual(verdict.decision, Decision.HOLD)
        alone = self.ledger.decide(REQUEST, availability(available=1, ready=1), IDLE, 5.0)
        self.assertEqual(alone.decision, Decision.RUN)

    def test_trial_requires_enough_other_workers(self) -> None:
        self.add_consecutive_crashes(2)
        for ready, available, decision in (
            (3, 2, Decision.HOLD),
            (3, 3, Decision.RUN),
            (2, 1, Decision.HOLD),
            (2, 2, Decision.RUN),
            (1, 1, Decision.RUN),
        ):
            seen = self.ledger.decide(REQUEST, availability(available, ready), IDLE, 5.0)
            self.assertEqual(seen.decision, decision, (ready, available))

    def test_request_with_a_likelier_cause_runs_on_the_last_worker(self) -> None:
        self.add_consecutive_crashes(2)
        self.ledger.add_crashes(OTHER, [crash(1, 0.9, 1.05)])
        cleared = self.ledger.decide(OTHER, availability(available=1), IDLE, 1.06)
        self.assertEqual(cleared.decision, Decision.RUN)
        self.ledger.add_crashes(OTHER, [crash(7, 2.0, 2.05)])
        suspected = self.ledger.decide(OTHER, availability(available=1), IDLE, 3.0)
        self.assertEqual(suspected.reason, Reason.FEW_WORKERS_LEFT)

    def test_a_popular_request_is_no_likelier_cause(self) -> None:
        """A popular request ran consecutively on both workers that a hedged request crashed."""
        self.ledger.add_crashes(REQUEST, [crash(1, 0.0, 0.2), crash(2, 0.09, 0.29)])
        self.ledger.add_crashes(OTHER, [crash(1, 0.1, 0.2), crash(2, 0.201, 0.29)])
        verdict = self.ledger.decide(REQUEST, availability(available=1), IDLE, 1.0)
        self.assertEqual(verdict.reason, Reason.FEW_WORKERS_LEFT)

    def test_crashes_that_other_requests_cause_do_not_hold_a_frequent_one(self) -> None:
        """A frequent request ran on the workers that two others crashed in turn."""
        third = Fingerprint("third")
        for number in range(4):
            at = float(number)
            self.ledger.add_crashes(REQUEST, [crash(number, at, at + 0.05)])
            cause = OTHER if number < 2 else third
            self.ledger.add_crashes(cause, [crash(number, at, at + 0.05)])
        for number in range(8):
            self.ledger.record_outlived(REQUEST, -10.0 + number)
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 4)
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, 4.0)
        self.assertEqual(verdict.decision, Decision.RUN)
        for cause in (OTHER, third):
            self.assertEqual(self.ledger.consecutive_crashes(cause), 2)
            held = self.ledger.decide(cause, availability(available=2), IDLE, 4.0)
            self.assertEqual(held.reason, Reason.FEW_WORKERS_LEFT)

    def test_a_frequent_request_that_crashes_all_of_its_workers_is_held(self) -> None:
        for number in range(100):
            self.ledger.record_outlived(REQUEST, -100.0 + number)
        ended_at = self.add_consecutive_crashes(7)
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, ended_at + 1.0)
        self.assertEqual(verdict.reason, Reason.CRASHES_ITS_WORKERS)

    def test_crashes_are_forgotten_after_outlived_runs(self) -> None:
        ended_at = self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        for number in range(OUTLIVED_RUNS_UNTIL_FORGOTTEN):
            self.assertIn(REQUEST, self.ledger)
            self.ledger.record_outlived(REQUEST, ended_at + 31.0 + number)
        self.assertNotIn(REQUEST, self.ledger)

    def test_ends_of_other_workers_raise_the_share_that_must_crash(self) -> None:
        self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        for number in range(6):
            self.ledger.record_outlived(REQUEST, -10.0 + number)
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 3)
        for number in range(20):
            self.ledger.record_end(incarnation(100 + number), KIND.service, 6, float(number))
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 0)
        self.ledger.drop_old_ends(100.0)
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 3)

    def test_no_third_run_begins_beside_a_hedge_while_a_worker_is_looked_at(self) -> None:
        hedged = RequestActivity(runs=1, checks=1)
        verdict = self.ledger.decide(REQUEST, availability(), hedged, 5.0)
        self.assertEqual(verdict.reason, Reason.CHECK_IN_PROGRESS)
        no_hedge = self.ledger.decide(REQUEST, availability(), RequestActivity(checks=1), 5.0)
        self.assertEqual(no_hedge.decision, Decision.RUN)

    def test_decision_waits_for_reports_of_other_requests(self) -> None:
        self.ledger.add_crashes(OTHER, [crash(1, 0.9, 1.05)])
        soon = self.ledger.decide(OTHER, availability(available=1), IDLE, 1.06)
        self.assertEqual(soon.decision, Decision.WAIT)
        later = self.ledger.decide(OTHER, availability(available=1), IDLE, 1.2)
        self.assertEqual(later.reason, Reason.FEW_WORKERS_LEFT)

    def test_deaths_in_a_row_do_not_seem_side_by_side_however_long_news_take(self) -> None:
        """A notice delayed by 40 ms makes the first crash look later than it was."""
        first, second = crash(1, 0.0, 0.05), crash(2, 0.051, 0.1)
        reported_at = 10.0
        one = CrashReport.of(first, reported_at).to_crash(reported_at + 0.04)
        self.ledger.add_crashes(REQUEST, [one])
        both = [
            CrashReport.of(each, reported_at + 0.05).to_crash(reported_at + 0.052)
            for each in (first, second)
        ]
        self.ledger.add_crashes(REQUEST, both)
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 2)

    def test_pending_check_is_awaited_only_if_it_may_hold_the_request(self) -> None:
        checking = RequestActivity(checks=1)
        free = self.ledger.decide(REQUEST, availability(), checking, 5.0)
        self.assertEqual(free.decision, Decision.RUN)
        last = self.ledger.decide(REQUEST, availability(available=1), checking, 5.0)
        self.assertEqual(last.reason, Reason.CHECK_IN_PROGRESS)
        self.add_consecutive_crashes(CRASHES_UNTIL_HELD - 1)
        third = self.ledger.decide(REQUEST, availability(), checking, 5.0)
        self.assertEqual(third.decision, Decision.WAIT)

    def test_suspected_requests_run_one_at_a_time(self) -> None:
        self.add_consecutive_crashes(1)
        again = self.ledger.decide(REQUEST, availability(), RequestActivity(runs=1), 5.0)
        self.assertEqual(again.decision, Decision.WAIT)
        beside_another = self.ledger.decide(REQUEST, availability(), RequestActivity(trials=1), 5.0)
        self.assertEqual(beside_another.decision, Decision.RUN)
        self.add_consecutive_crashes(2)
        trial = self.ledger.decide(REQUEST, availability(), RequestActivity(trials=1), 5.0)
        self.assertEqual(trial.decision, Decision.WAIT)

    def test_concurrent_trials_are_limited_by_the_workers(self) -> None:
        self.add_consecutive_crashes(2)
        for trials, decision in ((0, Decision.RUN), (2, Decision.RUN), (3, Decision.WAIT)):
            seen = self.ledger.decide(
                REQUEST, availability(6, 6), RequestActivity(trials=trials), 5.0
            )
            self.assertEqual(seen.decision, decision, trials)

    def test_crashes_learned_late_do_not_lengthen_the_hold(self) -> None:
        """Nodes that had not heard of the third crash have run the request meanwhile."""
        ended_at = self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        for number in range(4):
            ended_at += 1.0
            self.ledger.add_crashes(REQUEST, [crash(10 + number, ended_at - 0.05, ended_at)])
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, ended_at)
        self.assertAlmostEqual(verdict.retry_after_seconds, INITIAL_HOLD_SECONDS)

    def add_unconfirmed_crash(self, number: int, at: float) -> WorkerCrash:
        unconfirmed = msgspec.structs.replace(
            crash(number, at, at + 0.05), is_confirmed=False, learned_at=at + 0.05
        )
        self.ledger.add_crashes(REQUEST, [unconfirmed])
        return unconfirmed

    def test_unconfirmed_crash_holds_only_until_it_is_known(self) -> None:
        self.add_consecutive_crashes(CRASHES_UNTIL_HELD - 1)
        unconfirmed = self.add_unconfirmed_crash(9, 5.0)
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, 6.0)
        self.assertEqual(verdict.reason, Reason.WORKERS_MAY_HAVE_CRASHED)
        self.assertEqual(verdict.retry_after_seconds, RECOVERY_WAIT_SECONDS)
        confirmed = msgspec.structs.replace(unconfirmed, is_confirmed=True)
        self.assertEqual(len(self.ledger.add_crashes(REQUEST, [confirmed])), 1)
        self.assertEqual(self.ledger.add_crashes(REQUEST, [unconfirmed]), ())
        verdict = self.ledger.decide(REQUEST, availability(), IDLE, 6.0)
        self.assertEqual(verdict.reason, Reason.CRASHES_ITS_WORKERS)

    def test_unconfirmed_crash_is_dropped_in_the_end(self) -> None:
        self.add_consecutive_crashes(1)
        self.add_unconfirmed_crash(9, 5.0)
        self.ledger.drop_unconfirmed(REQUEST, 5.0 + UNCONFIRMED_SECONDS)
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 2)
        self.ledger.drop_unconfirmed(REQUEST, 5.1 + UNCONFIRMED_SECONDS)
        self.assertEqual(self.ledger.consecutive_crashes(REQUEST), 1)

    def test_another_release_or_service_allows_a_run(self) -> None:
        ended_at = self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        for kind in (
            WorkerKind(service="lookups", release="v2"),
            WorkerKind(service="moved", release="v1"),
        ):
            verdict = self.ledger.decide(REQUEST, availability(kind=kind), IDLE, ended_at + 1)
            self.assertEqual(verdict.decision, Decision.RUN)
        self.ledger.add_crashes(REQUEST, [crash(9, ended_at + 1, ended_at + 1.05, kind)])
        verdict = self.ledger.decide(REQUEST, availability(kind=kind), IDLE, ended_at + 2)
        self.assertEqual(verdict.decision, Decision.HOLD)

    def test_ledger_is_bounded_and_evicts_the_least_suspected(self) -> None:
        self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        for number in range(2 * MAX_REQUESTS):
            self.ledger.add_crashes(Fingerprint(f"r{number}"), [crash(number, 0.0, 1.0)])
        self.assertEqual(len(self.ledger.fingerprints()), MAX_REQUESTS)
        self.assertIn(REQUEST, self.ledger)
        self.ledger.add_crashes(
            REQUEST, [crash(n, float(n), n + 0.05) for n in range(3 * MAX_CRASHES_PER_REQUEST)]
        )
        self.assertEqual(len(self.ledger.crashes(REQUEST)), MAX_CRASHES_PER_REQUEST)

    def test_old_crashes_expire(self) -> None:
        ended_at = self.add_consecutive_crashes(CRASHES_UNTIL_HELD)
        self.assertEqual(self.ledger.expire(ended_at + EXPIRY_SECONDS), ())
        self.assertEqual(self.ledger.expire(ended_at + EXPIRY_SECONDS + 1), (REQUEST,))
        self.assertTrue(self.ledger.is_empty)
