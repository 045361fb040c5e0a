"""Trainers of a simulated deployment and the samples they consume."""

import asyncio
from random import Random

from drumbay.api.schema import (
    BatchBody,
    DeliveredSample,
    RolloutSubmission,
    WeightAnnouncement,
)
from drumbay.exceptions import DrumbayError, UnavailableError
from drumbay.identifiers import Cursor, NodeId, SampleId, StreamName, WeightVersion
from drumbay.requests.errors import StaleBatchRefusedError
from drumbay.rollout.sample import RolloutPrompt
from drumbay.simulation.gateway import Gateway
from drumbay.simulation.history import History, SampleConsumed, StepRequested, VersionSpan
from drumbay.simulation.platform import FIRST_VERSION
from drumbay.simulation.scenario import TrainerSection
from drumbay.simulation.simulation_clock import SimulationClock, virtual_now
from drumbay.standins.execution_log import SampleConsumed as LoggedSample
from drumbay.standins.execution_log import StepFinished
from drumbay.standins.trainer_model import (
    PulledBatch,
    PulledSample,
    TrainerModel,
    TrainerParameters,
)
from drumbay.standins.weight_store_model import WeightStoreModel

CALL_TIMEOUT_SECONDS = 20.0
RETRY_DELAY_SECONDS = 1.0
PREFETCHED_STEPS = 1
"""Number of steps submitted ahead of the current one."""


class PullFailedError(UnavailableError):
    """A pull failed; the trainer retries with the same cursor."""

    code = "simulation_pull_failed"


def sample_id_of(stream: StreamName, step: int, index: int) -> SampleId:
    """Return the identity of a sample by its position in a step."""
    return SampleId(f"{stream}/{step}/{index}")


def prompt_of(stream: StreamName, step: int, index: int) -> str:
    """Return the prompt of a sample, which identifies the operation in engine logs."""
    return f"{stream}/{step}/{index} in many words"


class SimulatedTrainer:
    """A trainer that submits steps, pulls samples and publishes weights.

    Attributes:
        stream: The trainer's sample stream.
        model: The emulated trainer.
    """

    def __init__(
        self,
        section: TrainerSection,
        gateway: Gateway,
        history: History,
        random: Random,
        node_ids: tuple[NodeId, ...],
        weight_store: WeightStoreModel,
    ) -> None:
        """Create a trainer that has not submitted any step."""
        self._section = section
        self.stream = StreamName(section.stream)
        self._gateway = gateway
        self._history = history
        self._random = random
        self._node_ids = node_ids
        self._weight_store = weight_store
        self._submitted_steps = 0
        self._delivered: list[DeliveredSample] = []
        parameters = TrainerParameters(
            samples_per_step=section.samples_per_step,
            step_seconds=section.step_seconds,
            max_staleness_versions=section.max_staleness_versions,
        )
        self.model = TrainerModel(
            SimulationClock(),
            section.stream,
            section.model,
            self.stream,
            FIRST_VERSION,
            self,
            self,
            parameters,
        )

    @property
    def outstanding_steps(self) -> int:
        """Return the number of submitted steps that are not trained yet."""
        return self._submitted_steps - self.model.step

    async def run(self, until_seconds: float) -> None:
        """Submit and train steps; submit none after ``until_seconds``."""
        while True:
            may_submit = virtual_now() < until_seconds
            while may_submit and self.outstanding_steps <= PREFETCHED_STEPS:
                await self._submit(self._submitted_steps)
            if self.outstanding_steps == 0:
                return
            await self.model.run_steps(1)
            await self._checkpoint()

    async def _submit(self, step: int) -> None:
        """Submit one step to random nodes until one accepts it."""
        section = self._section
        prompts = tuple(
            RolloutPrompt(
                text=prompt_of(self.stream, step, index),
                group=f"{step}/{index}",
                max_tokens=section.max_tokens,
                seed=index,
            )
            for index in range(section.samples_per_step)
        )
        submission = RolloutSubmission(
            stream=section.stream, step=step, model=section.model, prompts=prompts
        )
        self._record_request(step)
        self._submitted_steps += 1
        while True:
            try:
                await self._gateway.call(
                    self._pick_node(),
                    lambda run: run.node.submit_rollouts(submission),
                    CALL_TIMEOUT_SECONDS,
                )
                return
            except DrumbayError:
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _record_request(self, step: int) -> None:
        sample_ids = tuple(
            sample_id_of(self.stream, step, index)
            for index in range(self._section.samples_per_step)
        )
        requested = StepRequested(
            time_seconds=virtual_now(), stream=self.stream, step=step, sample_ids=sample_ids
        )
        self._history.add(requested)

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> PulledBatch:
        """Return samples from ``cursor`` on; implements the trainer's sample source.

        Raises:
            PullFailedError: The pull failed.
        """
        try:
            batch = await self._gateway.call(
                self._pick_node(),
                lambda run: run.node.pull(stream, cursor, max_samples, oldest_version),
                CALL_TIMEOUT_SECONDS,
            )
        except StaleBatchRefusedError:
            return PulledBatch(samples=(), next_cursor=Cursor(cursor + 1))
        except DrumbayError as error:
            raise PullFailedError(error.code) from error
        # The trainer consumes every sample of a returned pull, so that this list matches its log.
        self._delivered += batch.samples
        return _to_pulled_batch(batch)

    async def publish(self, model: str, version: WeightVersion) -> None:
        """Publish and announce a version; implements the trainer's publisher.

        Raises:
            DrumbayError: The announcement failed.
        """
        if version not in self._weight_store.versions(model):
            self._weight_store.publish(model, version)
        announcement = WeightAnnouncement(version=version)
        await self._gateway.call(
            self._pick_node(),
            lambda run: run.node.announce_weights(model, announcement),
            CALL_TIMEOUT_SECONDS,
        )

    async def _checkpoint(self) -> None:
        cursor = self.model.checkpoints[-1].cursor
        try:
            await self._gateway.call(
                self._pick_node(),
                lambda run: run.node.record_checkpoint(self.stream, cursor),
                CALL_TIMEOUT_SECONDS,
            )
        except DrumbayError:
            # The next checkpoint covers this one.
            return

    def _pick_node(self) -> NodeId:
        return self._random.choice(self._node_ids)

    def idle_share(self) -> float:
        """Return the share of time in which the trainer waited for samples."""
        steps = [record for record in self.model.log.records() if isinstance(record, StepFinished)]
        idle = sum(step.idle_seconds for step in steps)
        total = idle + sum(step.busy_seconds for step in steps)
        return idle / total if total > 0 else 0.0

    def add_consumed_samples(self) -> None:
        """Add the trainer's log of consumed samples to the history."""
        records = self.model.log.records()
        consumed = [record for record in records if isinstance(record, LoggedSample)]
        for record, delivered in zip(consumed, self._delivered, strict=True):
            self._history.add(self._consumed_record(record, delivered))

    def _consumed_record(self, record: LoggedSample, delivered: DeliveredSample) -> SampleConsumed:
        return SampleConsumed(
            time_seconds=record.time_seconds,
            stream=self.stream,
            sample_id=sample_id_of(self.stream, delivered.step, delivered.index),
            operation_id=delivered.prompt,
            trainer_version=record.trainer_version,
            spans=_version_spans(delivered),
        )


def _to_pulled_batch(batch: BatchBody) -> PulledBatch:
    samples = tuple(
        PulledSample(
            sample_id=sample.sample_id,
            cursor=Cursor(batch.cursor),
            weight_versions=tuple(span.weight_version for span in sample.spans),
        )
        for sample in batch.samples
    )
    return PulledBatch(samples=samples, next_cursor=Cursor(batch.next_cursor))


def _version_spans(delivered: DeliveredSample) -> tuple[VersionSpan, ...]:
    spans = []
    for span in delivered.spans:
        end = span.first_index + span.token_count
        spans.append(
            VersionSpan(
                weight_version=span.weight_version,
                first_index=span.first_index,
                token_ids=delivered.token_ids[span.first_index : end],
            )
        )
    return tuple(spans)
