"""Admission limits, fair shares, retry budgets, circuit breakers and deadlines."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.limits.admission import (
    AdmissionController,
    AdmissionPolicy,
    ClassWeights,
    Permit,
    Refusal,
    RefusalReason,
    RouteLimits,
    UnknownRouteError,
)
from drumbay.limits.circuit_breaker import CircuitBreaker, CircuitPolicy, CircuitState
from drumbay.limits.deadline import Deadline, InvalidTimeoutError, parse_timeout_seconds
from drumbay.limits.fair_share import ShareDemand, fair_allocation
from drumbay.limits.retry_budget import RetryBudget, RetryBudgetPolicy
from drumbay.limits.token_bucket import TokenBucket
from drumbay.resources.schema import RouteKind

CAPACITY = 20


def route_limits(
    name: str,
    kind: RouteKind,
    *,
    concurrency: int = 1000,
    rate: float = 1e6,
    priority: int = 0,
) -> RouteLimits:
    return RouteLimits(
        route_name=name,
        route_kind=kind,
        max_concurrency=concurrency,
        max_rate_per_second=rate,
        priority=priority,
    )


class AdmissionWithoutFairShare(AdmissionController):
    """Injected fault: slots go to the first requests regardless of fair shares."""

    def _is_within_share(self, route_kind: RouteKind, in_use: int, now: float) -> bool:
        del route_kind, in_use, now
        return True


def controller(
    *routes: RouteLimits,
    headroom: int = 1,
    controller_type: type[AdmissionController] = AdmissionController,
) -> AdmissionController:
    policy = AdmissionPolicy(
        max_in_flight=CAPACITY,
        class_weights=ClassWeights(live=3.0, application=0.0, rollout=1.0),
        headroom_slots=headroom,
    )
    admission = controller_type(policy, 0.0)
    for limits in routes:
        admission.set_route(limits, 0.0)
    return admission


LIVE = route_limits("live", RouteKind.LIVE)
ROLLOUT = route_limits("rollout", RouteKind.ROLLOUT)


class AdmissionTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("lrx"), st.floats(0, 2)), max_size=80))
    def test_never_exceeds_limits(self, steps: list[tuple[str, float]]) -> None:
        admission = controller(
            route_limits("l", RouteKind.LIVE, concurrency=12, rate=5.0),
            route_limits("r", RouteKind.ROLLOUT, concurrency=15),
        )
        permits: list[Permit] = []
        live_starts = 0
        now = 0.0
        for action, pause in steps:
            now += pause
            if action == "x":
                if permits:
                    admission.release(permits.pop(0), now)
                continue
            outcome = admission.try_admit(action, now)
            if isinstance(outcome, Refusal):
                self.assertGreater(outcome.retry_after_seconds, 0)
                continue
            permits.append(outcome)
            live_starts += action == "l"
            in_flight = [permit.route_name for permit in permits]
            self.assertLessEqual(in_flight.count("l"), 12)
            self.assertLessEqual(in_flight.count("r"), 15)
            self.assertLessEqual(len(permits), CAPACITY)
            self.assertLessEqual(live_starts, 5.0 * now + 5.0 + 1e-6)
        self.assertEqual(admission.in_flight, len(permits))

    def run_saturated(self, admission: AdmissionController, seconds: float) -> dict[str, int]:
        """Overload both classes with requests of 0.1 s; return the completions by class."""
        generator = random.Random(3)
        ends: list[tuple[float, Permit]] = []
        done = {"live": 0, "rollout": 0}
        now = 0.0
        while now < seconds:
            now += 0.001
            while ends and ends[0][0] <= now:
                permit = ends.pop(0)[1]
                admission.release(permit, now)
                done[permit.route_name] += 1
            outcome = admission.try_admit(generator.choice(["live", "rollout"]), now)
            if isinstance(outcome, Permit):
                ends.append((now + 0.1, outcome))
        return done

    def test_saturated_classes_share_by_weight(self) -> None:
        shared = self.run_saturated(controller(LIVE, ROLLOUT), 10.0)
        self.assertAlmostEqual(shared["live"] / shared["rollout"], 3.0, delta=0.4)
        without_shares = controller(LIVE, ROLLOUT, controller_type=AdmissionWithoutFairShare)
        done = self.run_saturated(without_shares, 10.0)
        self.assertLess(done["live"] / done["rollout"], 1.5)

    def test_class_may_use_capacity_unused_by_others(self) -> None:
        admission = controller(LIVE, ROLLOUT, headroom=0)
        outcomes = [admission.try_admit("rollout", 0.1) for _ in range(CAPACITY + 1)]
        self.assertEqual(sum(isinstance(entry, Permit) for entry in outcomes), CAPACITY)

    def test_returning_class_regains_its_share(self) -> None:
        admission = controller(LIVE, ROLLOUT, headroom=0)
        permits = [admission.try_admit("rollout", 0.0) for _ in range(CAPACITY)]
        for _ in range(30):
            self.assertIsInstance(admission.try_admit("live", 0.1), Refusal)
        self.assertEqual(admission.excess_slots(RouteKind.ROLLOUT, 0.1), 15)
        for permit in permits[:15]:
            assert isinstance(permit, Permit)
            admission.release(permit, 0.2)
            refusal = admission.try_admit("rollout", 0.2)
            assert isinstance(refusal, Refusal)
            self.assertEqual(refusal.reason, RefusalReason.FAIR_SHARE)
            self.assertIsInstance(admission.try_admit("live", 0.2), Permit)
        self.assertEqual(admission.class_in_flight(RouteKind.ROLLOUT), 5)

    def test_retry_after_follows_the_service_rate(self) -> None:
        admission = controller(route_limits("live", RouteKind.LIVE, concurrency=1))
        waits = []
        for service_seconds in (0.1, 1.0):
            start = 100.0 * service_seconds
            for number in range(50):
                permit = admission.try_admit("live", start + number * service_seconds)
                assert isinstance(permit, Permit)
                admission.release(permit, start + (number + 1) * service_seconds)
            now = start + 50 * service_seconds
            held = admission.try_admit("live", now)
            assert isinstance(held, Permit)
            refusal = admission.try_admit("live", now)
            assert isinstance(refusal, Refusal)
            waits.append(refusal.retry_after_seconds)
            admission.release(held, now)
        self.assertAlmostEqual(waits[0], 0.1, delta=0.02)
        self.assertAlmostEqual(waits[1], 1.0, delta=0.2)

    def test_last_slots_are_reserved_for_priority(self) -> None:
        urgent = route_limits("urgent", RouteKind.LIVE, priority=5)
        admission = controller(LIVE, urgent, headroom=0)
        admitted = 0
        while isinstance(outcome := admission.try_admit("live", 0.0), Permit):
            admitted += 1
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.reason, RefusalReason.PRIORITY_RESERVE)
        self.assertEqual(admitted, CAPACITY - 2)
        self.assertIsInstance(admission.try_admit("urgent", 0.0), Permit)

    def test_unknown_route(self) -> None:
        with self.assertRaises(UnknownRouteError):
            controller().try_admit("nothing", 0.0)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.1, 9), st.floats(0, 50)), min_size=1, max_size=4))
    def test_allocation_is_work_conserving(self, pairs: list[tuple[float, float]]) -> None:
        demands = [ShareDemand(weight=weight, amount=amount) for weight, amount in pairs]
        allocation = fair_allocation(20.0, demands)
        wanted = sum(demand.amount for demand in demands)
        self.assertAlmostEqual(sum(allocation), min(20.0, wanted), places=6)
        total_weight = sum(demand.weight for demand in demands)
        for demand, allocated in zip(demands, allocation, strict=True):
            guarantee = 20.0 * demand.weight / total_weight
            self.assertGreaterEqual(allocated + 1e-6, min(demand.amount, guarantee))


class RetryBudgetTest(unittest.TestCase):
    def attempts_in_outage(self, budget: RetryBudget | None) -> int:
        """Send 1000 requests in 10 s to failing back ends, with up to 4 attempts each."""
        attempts = 0
        for number in range(1000):
            now = number * 0.01
            attempts += 1
            if budget is not None:
                budget.record_request(now)
            for _ in range(3):
                if budget is not None and not budget.try_withdraw(now):
                    break
                attempts += 1
        return attempts

    def test_bounds_retries_in_an_outage(self) -> None:
        policy = RetryBudgetPolicy()
        bound = 1000 + 0.1 * 1000 + 0.2 * 10 + 10
        self.assertLessEqual(self.attempts_in_outage(RetryBudget(policy, 0.0)), bound)
        self.assertEqual(self.attempts_in_outage(None), 4000)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 3)), max_size=100))
    def test_bound_under_any_order(self, steps: list[tuple[bool, float]]) -> None:
        policy = RetryBudgetPolicy(retry_ratio=0.5, max_balance=3.0)
        budget = RetryBudget(policy, 0.0)
        now, requests, retries = 0.0, 0, 0
        for is_request, pause in steps:
            now += pause
            if is_request:
                budget.record_request(now)
                requests += 1
            else:
                retries += budget.try_withdraw(now)
            self.assertLessEqual(retries, 0.5 * requests + 0.2 * now + 3.0 + 1e-6)

    def test_backward_clock_adds_no_tokens(self) -> None:
        bucket = TokenBucket(rate_per_second=1.0, capacity=1.0, now=10.0)
        self.assertTrue(bucket.try_take(10.0))
        self.assertFalse(bucket.try_take(5.0))
        self.assertEqual(bucket.seconds_until(10.0), 1.0)


class CircuitBreakerTest(unittest.TestCase):
    def open_breaker(self) -> CircuitBreaker:
        breaker = CircuitBreaker(CircuitPolicy(), 0.0)
        for _ in range(3):
            permit = breaker.try_acquire(0.0)
            assert permit is not None
            breaker.record_failure(permit, 0.0)
        return breaker

    def test_opens_probes_and_closes(self) -> None:
        breaker = self.open_breaker()
        self.assertEqual(breaker.state(0.9), CircuitState.OPEN)
        self.assertIsNone(breaker.try_acquire(0.9))
        self.assertEqual(breaker.state(1.0), CircuitState.HALF_OPEN)
        probe = breaker.try_acquire(1.0)
        assert probe is not None
        self.assertIsNone(breaker.try_acquire(1.0))
        breaker.record_success(probe, 1.1)
        self.assertEqual(breaker.state(1.1), CircuitState.CLOSED)

    def test_failed_probe_opens_for_longer(self) -> None:
        breaker = self.open_breaker()
        probe = breaker.try_acquire(1.0)
        assert probe is not None
        breaker.record_failure(probe, 1.0)
        self.assertEqual(breaker.state(2.9), CircuitState.OPEN)
        self.assertEqual(breaker.state(3.0), CircuitState.HALF_OPEN)

    def test_late_outcomes_of_earlier_periods_do_not_count(self) -> None:
        breaker = CircuitBreaker(CircuitPolicy(), 0.0)
        permits = [breaker.try_acquire(0.0) for _ in range(5)]
        for permit in permits[:3]:
            assert permit is not None
            breaker.record_failure(permit, 0.0)
        assert permits[3] is not None and permits[4] is not None
        breaker.record_success(permits[3], 1.5)
        breaker.record_failure(permits[4], 1.5)
        self.assertEqual(breaker.state(1.5), CircuitState.HALF_OPEN)

    def test_probe_without_outcome_releases_its_permit(self) -> None:
        breaker = self.open_breaker()
        probe = breaker.try_acquire(1.0)
        assert probe is not None
        breaker.record_no_outcome(probe)
        self.assertTrue(breaker.admits(1.0))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 2)), max_size=60))
    def test_at_most_one_attempt_per_open_period(self, steps: list[tuple[bool, float]]) -> None:
        breaker = self.open_breaker()
        now = 0.0
        for takes_probe, pause in steps:
            now += pause
            if breaker.state(now) is CircuitState.OPEN:
                self.assertIsNone(breaker.try_acquire(now))
            elif takes_probe and (permit := breaker.try_acquire(now)) is not None:
                self.assertIsNone(breaker.try_acquire(now))
                breaker.record_failure(permit, now)
                self.assertEqual(breaker.state(now), CircuitState.OPEN)


class DeadlineTest(unittest.TestCase):
    def test_remaining_time_never_grows(self) -> None:
        deadline = Deadline.after(5.0, now=100.0)
        propagated = Deadline.after(parse_timeout_seconds(deadline.header_value(102.0)), now=7.0)
        self.assertAlmostEqual(propagated.remaining_seconds(7.0), 3.0)
        self.assertEqual(propagated.shortened(9.0, 7.0), propagated)
        self.assertEqual(propagated.attempt_timeout_seconds(7.0, 1.0), 1.0)
        self.assertTrue(deadline.is_expired(105.0))
        self.assertEqual(deadline.remaining_seconds(106.0), 0.0)

    def test_malformed_timeouts(self) -> None:
        for text in ("", "nan", "inf", "-1", "0", "1e9", "soon"):
            with self.assertRaises(InvalidTimeoutError):
                parse_timeout_seconds(text)
