"""Rollout scheduler: order, placement, moves, staleness and backoff."""

import itertools
import random
import unittest

from drumbay.explain.records import RejectionReason
from drumbay.identifiers import AttemptId, BackendId, BootId, WeightVersion
from drumbay.resources.schema import RolloutObjective
from drumbay.rollout.events import (
    AttemptFailed,
    AttemptFailure,
    Cancel,
    CancelReason,
    ChunkReceived,
    Dispatch,
    EngineReported,
    RolloutDecision,
    RolloutEvent,
    SampleFinished,
    StalenessForecastChanged,
    Tick,
    WantedSample,
    WantedSamplesChanged,
)
from drumbay.rollout.policy import BASELINE_POLICY, policy_for
from drumbay.rollout.sample import RolloutPrompt, SampleKey, TokenSpan
from drumbay.rollout.scheduler import RolloutScheduler
from drumbay.rollout.staleness import StalenessForecast, accepted_prefix

IDLE_TIME = policy_for(RolloutObjective.IDLE_TIME)
STALENESS = policy_for(RolloutObjective.STALENESS)


def wanted(count: int, step: int = 0) -> WantedSamplesChanged:
    return WantedSamplesChanged(
        wanted=tuple(
            WantedSample(
                key=SampleKey(step, index),
                prompt=RolloutPrompt(text="p", group=f"g{index}", max_tokens=1000),
            )
            for index in range(count)
        )
    )


def engine(name: str, version: int, slots: int = 4, other_load: int = 0) -> EngineReported:
    return EngineReported(
        backend_id=BackendId(name),
        version=WeightVersion(version),
        slots=slots,
        other_load=other_load,
    )


def accept_from(
    accepted: int, next_accepted: int = 0, next_step: int = 0
) -> StalenessForecastChanged:
    forecast = StalenessForecast(
        oldest_accepted=WeightVersion(accepted),
        next_oldest_accepted=WeightVersion(max(accepted, next_accepted)),
        next_step=next_step,
    )
    return StalenessForecastChanged(forecast=forecast)


def trainer_forecast(newest: int, next_version: int, next_step: int) -> StalenessForecastChanged:
    """Return the forecast of a trainer that accepts versions one behind its own."""
    forecast = StalenessForecast(
        oldest_accepted=WeightVersion(newest - 1),
        next_oldest_accepted=WeightVersion(next_version - 1),
        newest_version=WeightVersion(newest),
        next_version=WeightVersion(next_version),
        next_step=next_step,
    )
    return StalenessForecastChanged(forecast=forecast)


def span(version: int, first: int, count: int) -> TokenSpan:
    return TokenSpan(
        weight_version=WeightVersion(version),
        boot_id=BootId("b"),
        attempt_id=AttemptId("a"),
        first_index=first,
        token_count=count,
    )


def chunk(dispatch: Dispatch, *spans: TokenSpan) -> ChunkReceived:
    version = spans[-1].weight_version
    return ChunkReceived(key=dispatch.key, attempt=dispatch.attempt, version=version, spans=spans)


class SchedulerDriver:
    """Feeds events to a scheduler and tracks the running attempts."""

    def __init__(self, scheduler: RolloutScheduler) -> None:
        self.scheduler = scheduler
        self.now = 0.0
        self.running: dict[SampleKey, Dispatch] = {}

    def feed(self, *events: RolloutEvent) -> list[RolloutDecision]:
        decisions: list[RolloutDecision] = []
        for event in events:
            if isinstance(event, SampleFinished | AttemptFailed):
                del self.running[event.key]
            decisions.extend(self.scheduler.handle(event, self.now))
            for decision in decisions[-64:]:
                self._track(decision)
        return decisions

    def _track(self, decision: RolloutDecision) -> None:
        running_dispatch = self.running.get(decision.key)
        if isinstance(decision, Dispatch):
            assert running_dispatch is None or running_dispatch.attempt <= decision.attempt
            self.running[decision.key] = decision
        elif running_dispatch is not None and running_dispatch.attempt == decision.attempt:
            del self.running[decision.key]


class SchedulerTest(unittest.TestCase):
    def test_samples_of_the_longest_group_start_first(self) -> None:
        driver = SchedulerDriver(RolloutScheduler(IDLE_TIME))
        driver.feed(engine("e1", 1, slots=3), wanted(3))
        for key, length in ((SampleKey(0, 0), 10), (SampleKey(0, 1), 500), (SampleKey(0, 2), 50)):
            dispatch = driver.running[key]
            driver.feed(chunk(dispatch, span(1, 0, length)))
            driver.feed(SampleFinished(key=key, attempt=dispatch.attempt))
        decisions = driver.feed(wanted(3, step=1))
        order = [decision.key.index for decision in decisions]
        self.assertEqual(order, [1, 2, 0])
        priorities = [d.priority for d in decisions if isinstance(d, Dispatch)]
        self.assertEqual(priorities, [0, 0, 0])

    def test_last_sample_of_a_step_gets_priority(self) -> None:
        driver = SchedulerDriver(RolloutScheduler(IDLE_TIME))
        driver.feed(engine("e1", 1, slots=3), wanted(4))
        key = SampleKey(0, 0)
        decisions: list[RolloutDecision] = []
        for index in range(3):
            dispatch = driver.running[SampleKey(0, index)]
            if index == 2:
                running_dispatch = driver.running[SampleKey(0, 3)]
                decisions = driver.feed(
                    AttemptFailed(
                        key=running_dispatch.key,
                        attempt=running_dispatch.attempt,
                        failure=AttemptFailure.BROKEN,
                    )
                )
                driver.now += 1
            decisions += driver.feed(SampleFinished(key=dispatch.key, attempt=dispatch.attempt))
        last = [d for d in decisions if isinstance(d, Dispatch)][-1]
        self.assertNotEqual(last.key, key)
        self.assertEqual((last.key.index, last.priority), (3, 2))

    def test_sample_moves_to_a_less_loaded_engine_with_its_tokens(self) -> None:
        for policy, moves in ((IDLE_TIME, 1), (BASELINE_POLICY, 0)):
            driver = SchedulerDriver(RolloutScheduler(policy))
            driver.feed(engine("busy", 1, slots=20), wanted(8))
            driver.now = 10.0
            for dispatch in list(driver.running.values()):
                driver.feed(chunk(dispatch, span(1, 0, 100)))
            driver.feed(engine("busy", 1, slots=20, other_load=8))
            driver.now = 30.0
            for dispatch in list(driver.running.values()):
                driver.feed(chunk(dispatch, span(1, 0, 200)))
            decisions = driver.feed(engine("empty", 1))
            cancels = [d for d in decisions if isinstance(d, Cancel)]
            self.assertEqual([cancel.reason for cancel in cancels], [CancelReason.MOVE] * moves)
            kept = [d.kept_tokens for d in decisions if isinstance(d, Dispatch)]
            self.assertEqual(kept, [200] * moves)

    def test_objective_selects_newer_weights_or_lower_load(self) -> None:
        chosen = []
        for policy in (IDLE_TIME, STALENESS):
            driver = SchedulerDriver(RolloutScheduler(policy))
            driver.feed(engine("old", 1), engine("new", 2, other_load=2))
            decisions = driver.feed(wanted(1))
            dispatch = next(d for d in decisions if isinstance(d, Dispatch))
            chosen.append(dispatch.backend_id)
            first, second = dispatch.candidates
            self.assertEqual((first.backend_id, first.rejection), (dispatch.backend_id, None))
            self.assertEqual(second.rejection, RejectionReason.HIGHER_COST)
        self.assertEqual(chosen, ["old", "new"])

    def test_sample_that_would_expire_waits_for_newer_weights(self) -> None:
        for policy, expected in ((IDLE_TIME, []), (BASELINE_POLICY, ["old"])):
            driver = SchedulerDriver(RolloutScheduler(policy))
            driver.feed(engine("old", 1), engine("new", 2, slots=1, other_load=1))
            driver.feed(accept_from(1, next_accepted=2))
            decisions = driver.feed(wanted(1))
            self.assertEqual([d.backend_id for d in decisions if isinstance(d, Dispatch)], expected)

    def test_stale_tokens_are_dropped_and_accepted_ones_kept(self) -> None:
        self.assertEqual(accepted_prefix((span(2, 0, 5), span(1, 5, 5)), WeightVersion(2)), 5)
        driver = SchedulerDriver(RolloutScheduler(IDLE_TIME))
        driver.feed(engine("e1", 2), wanted(2))
        first, second = driver.running.values()
        driver.feed(chunk(first, span(2, 0, 5), span(1, 5, 5)), chunk(second, span(1, 0, 5)))
        driver.feed(chunk(first, span(2, 0, 5), span(1, 5, 5), span(2, 10, 5)))
        decisions = driver.feed(accept_from(2))
        reasons = [d.reason for d in decisions if isinstance(d, Cancel)]
        self.assertEqual(reasons, [CancelReason.STALE_TOKENS] * 2)
        kept = {d.key.index: d.kept_tokens for d in decisions if isinstance(d, Dispatch)}
        self.assertEqual(kept, {0: 5, 1: 0})

    def test_engine_that_misreports_its_version_is_rejected(self) -> None:
        driver = SchedulerDriver(RolloutScheduler(IDLE_TIME))
        driver.feed(accept_from(2), engine("liar", 2), wanted(1))
        dispatch = next(iter(driver.running.values()))
        decisions = driver.feed(chunk(dispatch, span(1, 0, 5)), Tick())
        self.assertEqual([type(decision) for decision in decisions], [Cancel])
        started = driver.feed(engine("honest", 2))
        dispatch = next(d for d in started if isinstance(d, Dispatch))
        rejections = {each.backend_id: each.rejection for each in dispatch.candidates}
        self.assertEqual(rejections, {"honest": None, "liar": RejectionReason.VERSION})

    def test_backoff_of_a_failing_engine_grows_exponentially(self) -> None:
        driver = SchedulerDriver(RolloutScheduler(IDLE_TIME))
        driver.feed(engine("broken", 1), wanted(1))
        start_times = []
        for _ in range(100):
            for running_dispatch in list(driver.running.values()):
                start_times.append(driver.now)
                driver.feed(
                    AttemptFailed(
                        key=running_dispatch.key,
                        attempt=running_dispatch.attempt,
                        failure=AttemptFailure.BROKEN,
                    )
                )
            driver.now += 0.5
            driver.feed(Tick())
        intervals = [after - before for before, after in itertools.pairwise(start_times)]
        self.assertEqual(intervals, [1.0, 2.0, 4.0, 8.0, 16.0])

    def test_short_samples_wait_for_the_weights_of_their_step(self) -> None:
        for policy, started_before_publication in ((STALENESS, [1]), (IDLE_TIME, [0, 1])):
            driver = SchedulerDriver(RolloutScheduler(policy))
            driver.feed(engine("e1", 1, slots=8), wanted(2))
            for index, length in ((0, 10), (1, 900)):
                dispatch = driver.running[SampleKey(0, index)]
                driver.feed(chunk(dispatch, span(1, 0, length)))
                driver.feed(SampleFinished(key=dispatch.key, attempt=dispatch.attempt))
            driver.feed(trainer_forecast(newest=1, next_version=2, next_step=1))
            decisions = driver.feed(wanted(2, step=1))
            self.assertEqual(
                sorted(decision.key.index for decision in decisions), started_before_publication
            )
            published = driver.feed(trainer_forecast(newest=2, next_version=2, next_step=1))
            self.assertEqual([d for d in published if isinstance(d, Dispatch)], [])
            loaded = driver.feed(engine("e1", 2, slots=8))
            started_after_load = [d.key.index for d in loaded if isinstance(d, Dispatch)]
            self.assertEqual(started_after_load, [0] if policy is STALENESS else [])

    def test_invariants_hold_under_random_events(self) -> None:
        for seed in range(30):
            for policy in (IDLE_TIME, STALENESS, BASELINE_POLICY):
                with self.subTest(seed=seed):
                    self.run_random_events(
                        random.Random(seed), SchedulerDriver(RolloutScheduler(policy))
                    )

    def run_random_events(self, generator: random.Random, driver: SchedulerDriver) -> None:
        accepted, step, attempts = 0, 0, set[int]()
        for _ in range(150):
            driver.now += generator.random()
            running = list(driver.running.values())
            random_value = generator.random()
            if random_value < 0.2 or not running:
                name = generator.choice(("e1", "e2", "e3"))
                event: RolloutEvent = engine(name, accepted + generator.randint(-1, 2))
            elif random_value < 0.3:
                accepted += 1
                event = accept_from(accepted, accepted + generator.randint(0, 1), step)
            elif random_value < 0.4:
                step += 1
                event = wanted(8, step)
            else:
                dispatch = generator.choice(running)
                event = self.random_outcome(generator, dispatch)
            decisions = driver.feed(event)
            for decision in decisions:
                if isinstance(decision, Dispatch):
                    self.assertGreaterEqual(decision.version, accepted)
                    self.assertNotIn(decision.attempt, attempts)
                    attempts.add(decision.attempt)
            for name in ("e1", "e2", "e3"):
                running_on_engine = [d for d in driver.running.values() if d.backend_id == name]
                self.assertLessEqual(len(running_on_engine), 4)

    def random_outcome(self, generator: random.Random, dispatch: Dispatch) -> RolloutEvent:
        key, attempt = dispatch.key, dispatch.attempt
        random_value = generator.random()
        if random_value < 0.6:
            kept = (span(dispatch.version, 0, dispatch.kept_tokens),)
            return chunk(dispatch, *kept, span(dispatch.version, dispatch.kept_tokens, 9))
        if random_value < 0.8:
            return SampleFinished(key=key, attempt=attempt)
        failure = generator.choice(list(AttemptFailure))
        return AttemptFailed(key=key, attempt=attempt, failure=failure)


if __name__ == "__main__":
    unittest.main()
