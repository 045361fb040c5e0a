"""Sharing of engines between live requests and rollouts."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

import msgspec

from drumbay.backends.interface import GenerationRequest
from drumbay.bench.sharing import NO_SHARING, percentile
from drumbay.bench.sharing_run import SharingLoad, SharingRun, run_sharing
from drumbay.identifiers import AttemptId, BackendId, BootId, StreamName, WeightVersion
from drumbay.limits.engine_priority import live_engine_priority
from drumbay.limits.engine_share import (
    DEMAND_WINDOW_SECONDS,
    HEADROOM_HOLD_SECONDS,
    EngineObservation,
    EngineShare,
)
from drumbay.resources.schema import EngineSharing, RolloutObjective
from drumbay.rollout.engine_allotments import EngineAllotments
from drumbay.rollout.events import (
    Cancel,
    CancelReason,
    ChunkReceived,
    Dispatch,
    EngineReported,
    WantedSample,
    WantedSamplesChanged,
)
from drumbay.rollout.policy import policy_for
from drumbay.rollout.sample import RolloutPrompt, SampleKey, TokenSpan
from drumbay.rollout.scheduler import PRIORITY_LAST_OF_STEP, RolloutScheduler
from drumbay.routing.backend_choice import BackendView
from drumbay.simulation.scenario import find_scenario
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.engine_model import EngineModel
from tests.requests_world import DEFAULT_LIMITS, MODEL, RequestsWorld

ENGINE = BackendId("engine")
STREAM = StreamName("stream")
QUEUED_ROLLOUTS = 75
LOAD = SharingLoad(
    duration_seconds=60.0,
    samples_per_step=160,
    live_per_second=1.0,
    burst_interval_seconds=10.0,
)
OVERLOAD = SharingLoad(
    duration_seconds=20.0,
    samples_per_step=8,
    step_seconds=1.0,
    live_per_second=30.0,
    burst_factor=1.0,
)
BASE_SCENARIO = find_scenario("bitacora-andina")
ONE_ENGINE = msgspec.structs.replace(
    BASE_SCENARIO,
    zones=tuple(msgspec.structs.replace(zone, nodes=1) for zone in BASE_SCENARIO.zones[:1]),
    pools=tuple(msgspec.structs.replace(pool, workers=1) for pool in BASE_SCENARIO.pools[:1]),
)


def observation_of(*, live: int, rollouts: int, waiting: int = 0) -> EngineObservation:
    return EngineObservation(
        running=min(16, live + rollouts),
        waiting=waiting,
        reported_rollouts=rollouts,
        own_live=live,
        rollouts=rollouts,
    )


class EngineShareTest(unittest.TestCase):
    def test_rollouts_get_all_slots_without_live_requests(self) -> None:
        share = EngineShare(EngineSharing(), 0.0)
        self.assertEqual(share.allot(observation_of(live=0, rollouts=16), 0.0).rollout_slots, 16)
        self.assertEqual(share.allot(observation_of(live=3, rollouts=13), 1.0).rollout_slots, 11)
        later = 1.0 + HEADROOM_HOLD_SECONDS + 2 * DEMAND_WINDOW_SECONDS
        self.assertEqual(share.allot(observation_of(live=0, rollouts=11), later).rollout_slots, 16)

    def test_rollouts_keep_their_share_under_sustained_live_load(self) -> None:
        def slots(sharing: EngineSharing) -> int:
            share = EngineShare(sharing, 0.0)
            return share.allot(observation_of(live=40, rollouts=4, waiting=28), 0.0).rollout_slots

        self.assertEqual(slots(EngineSharing(live_weight=3.0, rollout_weight=1.0)), 4)
        self.assertEqual(slots(EngineSharing(live_weight=1.0, rollout_weight=1.0)), 8)

    def test_rollouts_over_their_share_are_preempted_only_for_waiting_requests(self) -> None:
        def excess(observation: EngineObservation, sharing: EngineSharing) -> int:
            return EngineShare(sharing, 0.0).allot(observation, 0.0).excess

        overloaded = observation_of(live=6, rollouts=16, waiting=6)
        self.assertEqual(excess(overloaded, EngineSharing()), 6)
        self.assertEqual(excess(overloaded, EngineSharing(preempt=False)), 0)
        self.assertEqual(excess(observation_of(live=2, rollouts=14), EngineSharing()), 0)
        self.assertEqual(
            excess(observation_of(live=40, rollouts=5, waiting=29), EngineSharing()), 0
        )


class EngineAllotmentsTest(unittest.TestCase):
    def test_rollouts_finished_since_the_report_are_not_counted_as_live_requests(self) -> None:
        allotments = EngineAllotments()
        view = BackendView(
            backend_id=ENGINE, labels={}, zone="z", running=12, waiting=0, reported_at=10.0
        )
        for now, rollouts in ((10.0, 12), (12.0, 0)):
            allotment = allotments.allot(STREAM, EngineSharing(), view, {STREAM: rollouts}, now)
            self.assertEqual((allotment.live_load, allotment.rollout_slots), (0, 16))

    def test_streams_share_slots_equally_and_use_idle_ones(self) -> None:
        view = BackendView(backend_id=ENGINE, labels={}, zone="z")
        other = StreamName("other")

        def slots(rollouts: dict[StreamName, int]) -> int:
            return (
                EngineAllotments().allot(STREAM, EngineSharing(), view, rollouts, 0.0).rollout_slots
            )

        self.assertEqual(slots({STREAM: 3, other: 0}), 16)
        self.assertEqual(slots({STREAM: 0, other: 16}), 8)
        self.assertEqual(slots({STREAM: 12, other: 4}), 12)


class PreemptionTest(unittest.TestCase):
    def test_rollout_with_the_fewest_tokens_is_preempted_and_resumed(self) -> None:
        scheduler = RolloutScheduler(policy_for(RolloutObjective.IDLE_TIME))
        wanted = tuple(
            WantedSample(
                key=SampleKey(0, index),
                prompt=RolloutPrompt(text="p", group=f"g{index}", max_tokens=1000),
            )
            for index in range(2)
        )
        scheduler.handle(self._report(slots=2), 0.0)
        for decision in scheduler.handle(WantedSamplesChanged(wanted=wanted), 0.0):
            assert isinstance(decision, Dispatch)
            scheduler.handle(self._chunk(decision), 1.0)
        cancels = scheduler.handle(self._report(slots=4, other_load=3, excess=1), 2.0)
        preempted = Cancel(key=SampleKey(0, 0), attempt=1, reason=CancelReason.PREEMPTED)
        self.assertEqual(cancels, (preempted,))
        (resumed,) = scheduler.handle(self._report(slots=4, other_load=1), 3.0)
        assert isinstance(resumed, Dispatch)
        self.assertEqual((resumed.key, resumed.kept_tokens), (SampleKey(0, 0), 16))

    def _report(self, *, slots: int, other_load: int = 0, excess: int = 0) -> EngineReported:
        return EngineReported(
            backend_id=ENGINE,
            version=WeightVersion(1),
            slots=slots,
            other_load=other_load,
            excess=excess,
        )

    def _chunk(self, dispatch: Dispatch) -> ChunkReceived:
        span = TokenSpan(
            weight_version=WeightVersion(1),
            boot_id=BootId("boot"),
            attempt_id=AttemptId("a"),
            first_index=0,
            token_count=16 * (dispatch.key.index + 1),
        )
        return ChunkReceived(
            key=dispatch.key, attempt=dispatch.attempt, version=WeightVersion(1), spans=(span,)
        )


class LivePriorityTest(unittest.TestCase):
    def test_live_requests_overtake_queued_rollouts(self) -> None:
        without_boost = self._live_seconds(lambda priority: priority)
        with_boost = self._live_seconds(live_engine_priority)
        self.assertGreater(without_boost, 2.0 * with_boost)

    def _live_seconds(self, priority_of: Callable[[int], int]) -> float:
        async def main() -> float:
            world = RequestsWorld(DEFAULT_LIMITS)
            rollouts = [
                asyncio.ensure_future(_run_rollout(engine, number))
                for engine in world.engines
                for number in range(QUEUED_ROLLOUTS)
            ]
            await world.clock.sleep(0.1)
            started_at = world.clock.monotonic()
            await world.generate(max_tokens=16)
            seconds = world.clock.monotonic() - started_at
            await asyncio.gather(*rollouts)
            return seconds

        with mock.patch("drumbay.requests.live.live_engine_priority", priority_of):
            return run_simulation(main)


async def _run_rollout(engine: EngineModel, number: int) -> None:
    request = GenerationRequest(
        attempt_id=AttemptId(f"rollout-{number}"),
        model=MODEL,
        prompt="p",
        max_tokens=64,
        target_tokens=64,
        priority=PRIORITY_LAST_OF_STEP,
    )
    async for _chunk in engine.generate(request):
        continue


class SharingSimulationTest(unittest.TestCase):
    """Live traffic on an engine that rollouts keep busy."""

    def test_live_tail_latency_is_at_most_three_times_that_without_rollouts(self) -> None:
        live_only = msgspec.structs.replace(LOAD, samples_per_step=0)
        limit = 3.0 * _tail_latency(run_sharing(ONE_ENGINE, live_only, 1))
        self.assertGreater(_tail_latency(run_sharing(ONE_ENGINE, LOAD, 1, NO_SHARING)), limit)
        self.assertLess(_tail_latency(run_sharing(ONE_ENGINE, LOAD, 1)), limit)

    def test_rollouts_keep_their_share_of_tokens_under_live_overload(self) -> None:
        with mock.patch("drumbay.rollout.scheduler.GUARANTEED_PRIORITY", 0):
            starved = run_sharing(ONE_ENGINE, OVERLOAD, 1)
        fair = run_sharing(ONE_ENGINE, OVERLOAD, 1)
        self.assertEqual(starved.steps, 0)
        self.assertGreaterEqual(fair.steps, 3)


def _tail_latency(run: SharingRun) -> float:
    return percentile([live.first_token_seconds or 0.0 for live in run.live], 0.99)
