"""What is known of workers' deaths under requests, and what is decided from it."""

import unittest

from drumbay.identifiers import BackendId
from drumbay.quarantine.fingerprint import Fingerprint, fingerprint_of
from drumbay.quarantine.ledger import (
    DEATHS_UNTIL_HELD,
    FIRST_HOLD_SECONDS,
    FORGET_SECONDS,
    HOLD_GROWTH,
    LONGEST_HOLD_SECONDS,
    MOST_DEATHS,
    MOST_REQUESTS,
    QuarantineLedger,
)
from drumbay.quarantine.records import (
    Activity,
    Decision,
    Reason,
    ServiceOutlook,
    ToldDeath,
    WorkerDeath,
    WorkerKind,
)
from drumbay.workers.records import WorkerStart

REQUEST = Fingerprint("request")
OTHER = Fingerprint("other")
KIND = WorkerKind(service="lookups", release="v1")
IDLE = Activity()


def death(number: int, began_at: float, ended_at: float, kind: WorkerKind = KIND) -> WorkerDeath:
    return WorkerDeath(
        worker_id=BackendId(f"w{number}"), kind=kind, began_at=began_at, ended_at=ended_at
    )


def start(number: int, started_at_ms: int = 0) -> WorkerStart:
    return WorkerStart(worker_id=BackendId(f"w{number}"), started_at_ms=started_at_ms)


def outlook(available: int = 3, ready: int = 3, kind: WorkerKind = KIND) -> ServiceOutlook:
    return ServiceOutlook(ready=ready, available=available, kinds=frozenset({kind}))


class FingerprintTest(unittest.TestCase):
    def test_caller_host_path_and_body_tell_requests_apart_and_nothing_else(self) -> None:
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

    def test_parts_do_not_run_into_each_other(self) -> None:
        first = fingerprint_of(caller="ab", method="", host="", target="", body=b"")
        second = fingerprint_of(caller="a", method="b", host="", target="", body=b"")
        self.assertNotEqual(first, second)


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = QuarantineLedger()

    def end_in_a_row(self, count: int, request: Fingerprint = REQUEST) -> float:
        """Let workers end under a request one after the other; return when the last one did."""
        for number in range(count):
            at = float(number)
            self.ledger.note_deaths(request, [death(number, at, at + 0.05)])
        return count - 1 + 0.05

    def test_a_request_is_held_back_from_the_third_death_on(self) -> None:
        for count, decision in enumerate([Decision.RUN, Decision.RUN, Decision.RUN]):
            verdict = self.ledger.judge(REQUEST, outlook(), IDLE, 100.0)
            self.assertEqual(verdict.decision, decision, count)
            self.ledger.note_deaths(REQUEST, [death(count, 100.0 + count, 100.5 + count)])
        verdict = self.ledger.judge(REQUEST, outlook(), IDLE, 103.0)
        self.assertEqual(verdict.decision, Decision.HOLD)
        self.assertEqual(verdict.reason, Reason.CRASHES_ITS_WORKERS)
        self.assertAlmostEqual(verdict.retry_after_seconds, FIRST_HOLD_SECONDS - 0.5)
        other = self.ledger.judge(OTHER, outlook(), IDLE, 103.0)
        self.assertEqual(other.decision, Decision.RUN)

    def test_it_gets_one_run_after_each_of_growing_pauses(self) -> None:
        ended_at = self.end_in_a_row(DEATHS_UNTIL_HELD)
        hold_seconds = FIRST_HOLD_SECONDS
        for number in range(DEATHS_UNTIL_HELD, DEATHS_UNTIL_HELD + 4):
            before = self.ledger.judge(REQUEST, outlook(), IDLE, ended_at + hold_seconds - 1)
            self.assertEqual(before.decision, Decision.HOLD)
            began_at = ended_at + hold_seconds
            after = self.ledger.judge(REQUEST, outlook(), IDLE, began_at)
            self.assertEqual(after.decision, Decision.RUN)
            ended_at = began_at + 0.05
            self.ledger.note_deaths(REQUEST, [death(number, began_at, ended_at)])
            hold_seconds = min(hold_seconds * HOLD_GROWTH, LONGEST_HOLD_SECONDS)
        self.assertEqual(hold_seconds, LONGEST_HOLD_SECONDS)

    def test_runs_side_by_side_count_once(self) -> None:
        """A rack that loses power ends many workers under many callers' same request."""
        self.ledger.note_deaths(REQUEST, [death(n, 0.01 * n, 0.5 + 0.01 * n) for n in range(9)])
        self.assertEqual(self.ledger.in_a_row(REQUEST), 1)
        verdict = self.ledger.judge(REQUEST, outlook(), IDLE, 0.7)
        self.assertEqual(verdict.decision, Decision.RUN)

    def test_hedged_runs_count_once_and_what_follows_counts_again(self) -> None:
        deaths = [death(1, 0.0, 0.2), death(2, 0.09, 0.29), death(3, 4.0, 4.05)]
        self.ledger.note_deaths(REQUEST, deaths)
        self.assertEqual(self.ledger.in_a_row(REQUEST), 2)

    def test_order_of_hearing_does_not_matter(self) -> None:
        deaths = [death(n, float(n), n + 0.05) for n in range(4)]
        for order in (deaths, deaths[::-1]):
            ledger = QuarantineLedger()
            for each in order:
                ledger.note_deaths(REQUEST, [each])
            self.assertEqual(ledger.in_a_row(REQUEST), 4)

    def test_a_death_told_to_another_node_keeps_its_age(self) -> None:
        told = [ToldDeath.of(death(n, n + 0.0, n + 0.05), 10.0) for n in range(3)]
        self.ledger.note_deaths(REQUEST, [each.heard(1_000.003) for each in told])
        self.assertEqual(self.ledger.in_a_row(REQUEST), 3)
        verdict = self.ledger.judge(REQUEST, outlook(), IDLE, 1_000.003)
        self.assertAlmostEqual(verdict.retry_after_seconds, FIRST_HOLD_SECONDS - 7.95)

    def test_a_death_that_is_told_twice_counts_once(self) -> None:
        self.assertEqual(len(self.ledger.note_deaths(REQUEST, [death(1, 0.0, 0.05)])), 1)
        self.assertEqual(self.ledger.note_deaths(REQUEST, [death(1, 3.0, 3.05)]), ())
        self.assertEqual(self.ledger.in_a_row(REQUEST), 1)

    def test_an_answer_clears_a_request(self) -> None:
        self.end_in_a_row(DEATHS_UNTIL_HELD)
        self.assertTrue(self.ledger.clear(REQUEST))
        self.assertFalse(self.ledger.clear(REQUEST))
        self.assertTrue(self.ledger.is_empty)

    def test_a_worker_that_lives_takes_its_deaths_back(self) -> None:
        self.end_in_a_row(DEATHS_UNTIL_HELD)
        self.ledger.note_deaths(OTHER, [death(1, 0.0, 1.05)])
        self.assertEqual(self.ledger.withdraw(start(1)), (REQUEST, OTHER))
        self.assertEqual(self.ledger.in_a_row(REQUEST), 2)
        self.assertNotIn(OTHER, self.ledger)
        self.assertEqual(self.ledger.ended_workers(), {start(0), start(2)})

    def test_the_last_worker_is_not_risked(self) -> None:
        self.end_in_a_row(1)
        verdict = self.ledger.judge(REQUEST, outlook(available=1), IDLE, 5.0)
        self.assertEqual(verdict.reason, Reason.FEW_WORKERS_LEFT)
        self.assertEqual(verdict.decision, Decision.HOLD)
        alone = self.ledger.judge(REQUEST, outlook(available=1, ready=1), IDLE, 5.0)
        self.assertEqual(alone.decision, Decision.RUN)

    def test_a_trial_leaves_two_workers_or_all_others_of_a_small_service(self) -> None:
        self.end_in_a_row(2)
        for ready, available, decision in (
            (3, 2, Decision.HOLD),
            (3, 3, Decision.RUN),
            (2, 1, Decision.HOLD),
            (2, 2, Decision.RUN),
            (1, 1, Decision.RUN),
        ):
            seen = self.ledger.judge(REQUEST, outlook(available, ready), IDLE, 5.0)
            self.assertEqual(seen.decision, decision, (ready, available))

    def test_a_request_that_was_only_there_too_runs_on_the_last_worker(self) -> None:
        self.end_in_a_row(2)
        self.ledger.note_deaths(OTHER, [death(1, 0.9, 1.05)])
        bystander = self.ledger.judge(OTHER, outlook(available=1), IDLE, 1.06)
        self.assertEqual(bystander.decision, Decision.RUN)
        self.ledger.note_deaths(OTHER, [death(7, 2.0, 2.05)])
        cause = self.ledger.judge(OTHER, outlook(available=1), IDLE, 3.0)
        self.assertEqual(cause.reason, Reason.FEW_WORKERS_LEFT)

    def test_a_cause_is_no_bystander_of_one_that_is_always_there(self) -> None:
        """A popular request was on both workers, one after the other; the hedged one ended them."""
        self.ledger.note_deaths(REQUEST, [death(1, 0.0, 0.2), death(2, 0.09, 0.29)])
        self.ledger.note_deaths(OTHER, [death(1, 0.1, 0.2), death(2, 0.201, 0.29)])
        verdict = self.ledger.judge(REQUEST, outlook(available=1), IDLE, 1.0)
        self.assertEqual(verdict.reason, Reason.FEW_WORKERS_LEFT)

    def test_no_third_run_begins_beside_a_hedge_while_a_worker_is_looked_at(self) -> None:
        hedged = Activity(runs=1, checks=1)
        verdict = self.ledger.judge(REQUEST, outlook(), hedged, 5.0)
        self.assertEqual(verdict.reason, Reason.CHECK_UNDER_WAY)
        no_hedge = self.ledger.judge(REQUEST, outlook(), Activity(checks=1), 5.0)
        self.assertEqual(no_hedge.decision, Decision.RUN)

    def test_news_of_what_else_ran_there_is_waited_for(self) -> None:
        self.ledger.note_deaths(OTHER, [death(1, 0.9, 1.05)])
        soon = self.ledger.judge(OTHER, outlook(available=1), IDLE, 1.06)
        self.assertEqual(soon.decision, Decision.WAIT)
        later = self.ledger.judge(OTHER, outlook(available=1), IDLE, 1.2)
        self.assertEqual(later.reason, Reason.FEW_WORKERS_LEFT)

    def test_deaths_in_a_row_do_not_seem_side_by_side_however_long_news_take(self) -> None:
        """The first notice took 40 ms, the second one 2 ms: the first death looked later."""
        first, second = death(1, 0.0, 0.05), death(2, 0.051, 0.1)
        told_at = 10.0
        one = ToldDeath.of(first, told_at).heard(told_at + 0.04)
        self.ledger.note_deaths(REQUEST, [one])
        both = [
            ToldDeath.of(each, told_at + 0.05).heard(told_at + 0.052) for each in (first, second)
        ]
        self.ledger.note_deaths(REQUEST, both)
        self.assertEqual(self.ledger.in_a_row(REQUEST), 2)

    def test_a_look_under_way_is_waited_for_where_it_decides(self) -> None:
        checking = Activity(checks=1)
        free = self.ledger.judge(REQUEST, outlook(), checking, 5.0)
        self.assertEqual(free.decision, Decision.RUN)
        last = self.ledger.judge(REQUEST, outlook(available=1), checking, 5.0)
        self.assertEqual(last.reason, Reason.CHECK_UNDER_WAY)
        self.end_in_a_row(DEATHS_UNTIL_HELD - 1)
        third = self.ledger.judge(REQUEST, outlook(), checking, 5.0)
        self.assertEqual(third.decision, Decision.WAIT)

    def test_suspected_requests_run_one_at_a_time(self) -> None:
        self.end_in_a_row(1)
        again = self.ledger.judge(REQUEST, outlook(), Activity(runs=1), 5.0)
        self.assertEqual(again.decision, Decision.WAIT)
        beside_another = self.ledger.judge(REQUEST, outlook(), Activity(trials=1), 5.0)
        self.assertEqual(beside_another.decision, Decision.RUN)
        self.end_in_a_row(2)
        trial = self.ledger.judge(REQUEST, outlook(), Activity(trials=1), 5.0)
        self.assertEqual(trial.decision, Decision.WAIT)

    def test_trials_at_a_time_are_bound_by_the_workers(self) -> None:
        self.end_in_a_row(2)
        for trials, decision in ((0, Decision.RUN), (2, Decision.RUN), (3, Decision.WAIT)):
            seen = self.ledger.judge(REQUEST, outlook(6, 6), Activity(trials=trials), 5.0)
            self.assertEqual(seen.decision, decision, trials)

    def test_another_release_or_service_gets_a_run_at_once(self) -> None:
        ended_at = self.end_in_a_row(DEATHS_UNTIL_HELD)
        for kind in (
            WorkerKind(service="lookups", release="v2"),
            WorkerKind(service="moved", release="v1"),
        ):
            verdict = self.ledger.judge(REQUEST, outlook(kind=kind), IDLE, ended_at + 1)
            self.assertEqual(verdict.decision, Decision.RUN)
        self.ledger.note_deaths(REQUEST, [death(9, ended_at + 1, ended_at + 1.05, kind)])
        verdict = self.ledger.judge(REQUEST, outlook(kind=kind), IDLE, ended_at + 2)
        self.assertEqual(verdict.decision, Decision.HOLD)

    def test_memory_is_bounded_and_the_least_suspected_go_first(self) -> None:
        self.end_in_a_row(DEATHS_UNTIL_HELD)
        for number in range(2 * MOST_REQUESTS):
            self.ledger.note_deaths(Fingerprint(f"r{number}"), [death(number, 0.0, 1.0)])
        self.assertEqual(len(self.ledger.fingerprints()), MOST_REQUESTS)
        self.assertIn(REQUEST, self.ledger)
        self.ledger.note_deaths(
            REQUEST, [death(n, float(n), n + 0.05) for n in range(3 * MOST_DEATHS)]
        )
        self.assertEqual(len(self.ledger.deaths(REQUEST)), MOST_DEATHS)

    def test_what_is_long_past_is_forgotten(self) -> None:
        ended_at = self.end_in_a_row(DEATHS_UNTIL_HELD)
        self.assertEqual(self.ledger.expire(ended_at + FORGET_SECONDS), ())
        self.assertEqual(self.ledger.expire(ended_at + FORGET_SECONDS + 1), (REQUEST,))
        self.assertTrue(self.ledger.is_empty)
