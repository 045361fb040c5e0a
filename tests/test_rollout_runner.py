"""Rollout runner on emulated engines, verified against the engines' execution logs."""

import asyncio
import random
import unittest

from drumbay.backends.interface import (
    BackendAddress,
    FencedOrder,
    FinishReason,
    OrderKind,
    TokenChunk,
)
from drumbay.backends.memory import BackendNetwork, MemoryEngineClient
from drumbay.clock import SystemClock
from drumbay.identifiers import (
    AttemptId,
    BackendId,
    BootId,
    Fence,
    StreamName,
    WeightVersion,
)
from drumbay.resources.schema import RolloutObjective
from drumbay.rollout.events import (
    EngineReported,
    RolloutDecision,
    StalenessForecastChanged,
    WantedSample,
)
from drumbay.rollout.exceptions import (
    CacheVersionMismatchError,
    ChunkOutOfSequenceError,
    ForeignChunkError,
    IncompleteSampleError,
)
from drumbay.rollout.policy import policy_for
from drumbay.rollout.runner import RolloutRunner, RunnerParameters
from drumbay.rollout.sample import (
    RolloutPrompt,
    Sample,
    SampleBuilder,
    SampleKey,
    check_cache_import,
)
from drumbay.rollout.scheduler import RolloutScheduler
from drumbay.rollout.scheduler_state import TrackedSample
from drumbay.rollout.staleness import StalenessForecast
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.execution_log import GenerationEnded
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.tasks import TaskOwner

MODEL = "draft"
LENGTH = 400


class LoopClock(SystemClock):
    """Clock on the virtual time of the event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()


class DispatchOnlyScheduler(RolloutScheduler):
    """Injected fault: checks staleness at dispatch, but not while a sample is running."""

    def _cancel_stale(self, now: float) -> list[RolloutDecision]:
        return []

    def _is_stale(self, sample: TrackedSample) -> bool:
        return False


class RolloutCluster:
    """Two emulated engines and a runner."""

    def __init__(
        self,
        builder_type: type[SampleBuilder] = SampleBuilder,
        scheduler_type: type[RolloutScheduler] = RolloutScheduler,
    ) -> None:
        self.clock = LoopClock()
        self.tasks = TaskOwner()
        self.names = ("e1", "e2")
        self.models = {
            name: EngineModel(
                self.clock, BackendId(name), MODEL, WeightVersion(1), random.Random(index)
            )
            for index, name in enumerate(self.names)
        }
        self.client = MemoryEngineClient(self.clock, self.models, BackendNetwork(self.clock))
        self.samples: list[Sample] = []
        self.finished_at: list[float] = []
        self.runner = RolloutRunner(
            StreamName("trainer-a"),
            MODEL,
            BootId("node"),
            scheduler_type(policy_for(RolloutObjective.IDLE_TIME)),
            self.client,
            lambda backend_id: BackendAddress(backend_id=backend_id, base_url=backend_id),
            self.clock,
            self.tasks,
            on_finished=self.finish,
            builder_type=builder_type,
            parameters=RunnerParameters(chunk_timeout_seconds=3.0),
        )
        self.runner.start()

    def finish(self, sample: Sample) -> None:
        self.samples.append(sample)
        self.finished_at.append(self.clock.monotonic())

    def submit(self, count: int) -> None:
        prompt = RolloutPrompt(text="p", group="g", max_tokens=LENGTH, target_tokens=LENGTH)
        keys = [SampleKey(0, index) for index in range(count)]
        self.runner.set_wanted([WantedSample(key=key, prompt=prompt) for key in keys])

    async def report(self) -> None:
        for name in self.names:
            address = BackendAddress(backend_id=BackendId(name), base_url=name)
            status = await self.client.status(address, timeout_seconds=1.0)
            version = status.weight_version
            self.runner.handle(EngineReported(backend_id=BackendId(name), version=version, slots=8))

    async def order(self, name: str, version: int) -> None:
        address = BackendAddress(backend_id=BackendId(name), base_url=name)
        order = FencedOrder(
            fence=Fence(version),
            kind=OrderKind.LOAD_VERSION,
            model=MODEL,
            weight_version=WeightVersion(version),
        )
        await self.client.order(address, order, timeout_seconds=10.0)
        await self.report()

    def accept_from(self, version: int) -> None:
        accepted = WeightVersion(version)
        forecast = StalenessForecast(oldest_accepted=accepted, next_oldest_accepted=accepted)
        self.runner.handle(StalenessForecastChanged(forecast=forecast))

    async def close(self) -> None:
        await self.clock.sleep(60)
        self.runner.stop()
        await self.tasks.close()
        for model in self.models.values():
            await model.close()

    def actual_versions(self) -> dict[tuple[AttemptId, int], WeightVersion]:
        """Return the version that actually generated each token of each attempt."""
        versions: dict[tuple[AttemptId, int], WeightVersion] = {}
        for model in self.models.values():
            ended = [r for r in model.log.records() if isinstance(r, GenerationEnded)]
            for attempt_id, span in [(r.attempt_id, span) for r in ended for span in r.spans]:
                for index in range(span.first_index, span.first_index + span.count):
                    versions[attempt_id, index] = span.weight_version
        return versions

    def violations(self) -> list[str]:
        """Compare the versions of each sample with the engines' logs, token by token."""
        actual_versions = self.actual_versions()
        violations_found: list[str] = []
        for sample in self.samples:
            recorded = {
                index: (span.attempt_id, span.weight_version)
                for span in sample.spans
                for index in range(span.first_index, span.first_index + span.token_count)
            }
            if list(recorded) != list(range(LENGTH)) or len(sample.token_ids) != LENGTH:
                violations_found.append("sample is not whole")
            if any(actual_versions.get((a, index)) != v for index, (a, v) in recorded.items()):
                violations_found.append("named version did not produce the token")
        return violations_found


class RunnerTest(unittest.TestCase):
    async def run_with_failed_swap(self, builder_type: type[SampleBuilder]) -> RolloutCluster:
        cluster = RolloutCluster(builder_type)
        for model in cluster.models.values():
            model.faults.apply(FaultCommand(fault=FaultKind.SWAP_FAILS_ACKNOWLEDGED))
        await cluster.order("e1", 2)
        await cluster.order("e2", 2)
        cluster.submit(4)
        await cluster.close()
        return cluster

    def test_token_versions_are_correct_after_a_failed_but_acknowledged_swap(self) -> None:
        class AcknowledgedVersionBuilder(SampleBuilder):
            """Injected fault: uses the version that was ordered and acknowledged."""

            def add_chunk(self, chunk: TokenChunk) -> None:
                super().add_chunk(_with_version(chunk, 2))

        faulty = run_simulation(lambda: self.run_with_failed_swap(AcknowledgedVersionBuilder))
        self.assertIn("named version did not produce the token", faulty.violations())
        correct = run_simulation(lambda: self.run_with_failed_swap(SampleBuilder))
        self.assertEqual(correct.violations(), [])
        self.assertEqual([sample.oldest_version for sample in correct.samples], [1] * 4)

    def test_weight_swap_during_generation_gives_two_spans(self) -> None:
        async def scenario() -> RolloutCluster:
            cluster = RolloutCluster()
            await cluster.report()
            cluster.submit(2)
            await cluster.clock.sleep(1.0)
            await asyncio.gather(cluster.order("e1", 2), cluster.order("e2", 2))
            await cluster.close()
            return cluster

        cluster = run_simulation(scenario)
        self.assertEqual(cluster.violations(), [])
        versions = [[span.weight_version for span in s.spans] for s in cluster.samples]
        self.assertEqual(versions, [[1, 2], [1, 2]])

    def test_truncated_and_crossed_streams_resume_with_their_tokens(self) -> None:
        async def scenario() -> RolloutCluster:
            cluster = RolloutCluster()
            await cluster.report()
            fault = FaultCommand(fault=FaultKind.CROSSED_ANSWER, count=2)
            cluster.models["e1"].faults.apply(fault)
            fault = FaultCommand(fault=FaultKind.TRUNCATED_ANSWER, count=2)
            cluster.models["e2"].faults.apply(fault)
            cluster.submit(8)
            await cluster.clock.sleep(1.0)
            cluster.models["e1"].crash()
            await cluster.close()
            return cluster

        cluster = run_simulation(scenario)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual(len(cluster.samples), 8)
        boot_count = max(len({span.boot_id for span in s.spans}) for s in cluster.samples)
        self.assertEqual(boot_count, 2)

    async def run_with_raised_oldest_accepted(
        self, scheduler_type: type[RolloutScheduler]
    ) -> RolloutCluster:
        cluster = RolloutCluster(scheduler_type=scheduler_type)
        await cluster.report()
        cluster.submit(4)
        await cluster.clock.sleep(1.0)
        await cluster.order("e2", 2)
        cluster.accept_from(2)
        await cluster.close()
        return cluster

    def test_running_samples_are_cancelled_when_they_become_stale(self) -> None:
        faulty = run_simulation(lambda: self.run_with_raised_oldest_accepted(DispatchOnlyScheduler))
        self.assertTrue(any(sample.oldest_version < 2 for sample in faulty.samples))
        correct = run_simulation(lambda: self.run_with_raised_oldest_accepted(RolloutScheduler))
        self.assertEqual(correct.violations(), [])
        self.assertEqual([sample.oldest_version for sample in correct.samples], [2] * 4)


class SampleBuilderTest(unittest.TestCase):
    def test_invalid_chunks_are_rejected(self) -> None:
        builder = SampleBuilder(SampleKey(0, 0), RolloutPrompt(text="", group="", max_tokens=9))
        builder.start_attempt(AttemptId("a"))
        builder.add_chunk(_chunk("a", 0, (1, 2)))
        for chunk in (_chunk("a", 3, (4,)), _chunk("a", 1, (2,))):
            with self.assertRaises(ChunkOutOfSequenceError):
                builder.add_chunk(chunk)
        with self.assertRaises(ForeignChunkError):
            builder.add_chunk(_chunk("b", 2, (3,)))
        builder.add_chunk(_chunk("a", 2, (), FinishReason.CANCELLED))
        with self.assertRaises(IncompleteSampleError):
            builder.finish()
        with self.assertRaises(ChunkOutOfSequenceError):
            builder.keep_tokens(1)
        check_cache_import(WeightVersion(1), WeightVersion(1))
        with self.assertRaises(CacheVersionMismatchError):
            check_cache_import(WeightVersion(1), WeightVersion(2))


def _chunk(
    attempt: str, first: int, tokens: tuple[int, ...], finish: FinishReason | None = None
) -> TokenChunk:
    return TokenChunk(
        attempt_id=AttemptId(attempt),
        boot_id=BootId("boot"),
        weight_version=WeightVersion(1),
        first_index=first,
        token_ids=tokens,
        finish_reason=finish,
    )


def _with_version(chunk: TokenChunk, version: int) -> TokenChunk:
    return TokenChunk(
        attempt_id=chunk.attempt_id,
        boot_id=chunk.boot_id,
        weight_version=WeightVersion(version),
        first_index=chunk.first_index,
        token_ids=chunk.token_ids,
        text=chunk.text,
        finish_reason=chunk.finish_reason,
    )


if __name__ == "__main__":
    unittest.main()
