"""Emulated trainer that pulls samples by cursor and publishes weight versions."""

from typing import Protocol

import msgspec

from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError, UnavailableError
from drumbay.identifiers import Cursor, SampleId, StreamName, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.standins.execution_log import (
    ExecutionLog,
    SampleConsumed,
    StepFinished,
    TrainerRestarted,
)


class PulledSample(msgspec.Struct, frozen=True, kw_only=True):
    """A sample as the trainer receives it.

    Attributes:
        sample_id: Identity of the sample.
        cursor: Position of the sample in the stream.
        weight_versions: Versions that generated the sample.
    """

    sample_id: SampleId
    cursor: Cursor
    weight_versions: tuple[WeightVersion, ...]


class PulledBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Samples starting at a cursor; empty if none is ready."""

    samples: tuple[PulledSample, ...]
    next_cursor: Cursor


class SampleSource(Protocol):
    """Source of samples for a trainer."""

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> PulledBatch:
        """Return samples starting at ``cursor`` whose weights are at least ``oldest_version``.

        Raises:
            UnavailableError: The source did not respond; retry with the same cursor.
        """
        ...


class VersionPublisher(Protocol):
    """Destination of the weight versions of a trainer."""

    async def publish(self, model: str, version: WeightVersion) -> None:
        """Make a version available.

        Raises:
            DrumbayError: The version was not published.
        """
        ...


class TrainerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of an emulated trainer.

    Attributes:
        samples_per_step: Samples consumed by a step.
        step_seconds: Time of a step after its samples are collected.
        poll_seconds: Delay between pulls while no sample is ready, and after a failure.
        max_staleness_versions: Maximum number of versions that a sample may lag the trainer.
    """

    samples_per_step: int = 64
    step_seconds: float = 30.0
    poll_seconds: float = 0.5
    max_staleness_versions: int = 1


class TrainerCheckpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Checkpoint saved after a step."""

    step: int
    cursor: Cursor


class TrainerModel:
    """Emulated trainer.

    Attributes:
        log: Execution log.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        model: str,
        stream: StreamName,
        first_version: WeightVersion,
        source: SampleSource,
        publisher: VersionPublisher,
        parameters: TrainerParameters | None = None,
    ) -> None:
        """Create a trainer; ``first_version`` must be published already."""
        self.log = ExecutionLog()
        self._clock = clock
        self._name = name
        self._model = model
        self._stream = stream
        self._source = source
        self._publisher = publisher
        self._parameters = parameters or TrainerParameters()
        self._version = first_version
        self._run_number = 1
        self._step = 0
        self._cursor = Cursor(0)
        self._checkpoints = [TrainerCheckpoint(step=0, cursor=Cursor(0))]

    @property
    def step(self) -> int:
        """Index of the current step, from 0."""
        return self._step

    @property
    def version(self) -> WeightVersion:
        """Latest version published by the trainer."""
        return self._version

    @property
    def oldest_accepted_version(self) -> WeightVersion:
        """Oldest weight version of samples that the trainer accepts."""
        return WeightVersion(max(0, self._version - self._parameters.max_staleness_versions))

    @property
    def checkpoints(self) -> tuple[TrainerCheckpoint, ...]:
        """Saved checkpoints, oldest first."""
        return tuple(self._checkpoints)

    async def run_steps(self, steps: int) -> None:
        """Train for a number of steps."""
        for _ in range(steps):
            await self._run_step()

    async def restart_from(self, checkpoint: TrainerCheckpoint) -> None:
        """Restore a checkpoint; later samples are consumed again.

        :meth:`run_steps` must be cancelled first. The restored weights are published under a
        new version, since version numbers are never reused.
        """
        self._run_number += 1
        self._step = checkpoint.step
        self._cursor = checkpoint.cursor
        kept_checkpoints = [saved for saved in self._checkpoints if saved.step <= checkpoint.step]
        self._checkpoints = kept_checkpoints
        self.log.append(
            TrainerRestarted(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                step=checkpoint.step,
                cursor=checkpoint.cursor,
                trainer_run=self._run_number,
            )
        )
        await self._publish_next()

    async def _run_step(self) -> None:
        started_at = self._clock.monotonic()
        remaining = self._parameters.samples_per_step
        while remaining > 0:
            remaining -= await self._pull(remaining)
        collected_at = self._clock.monotonic()
        await self._clock.sleep(self._parameters.step_seconds)
        trained_at = self._clock.monotonic()
        await self._publish_next()
        self.log.append(
            StepFinished(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                step=self._step,
                weight_version=self._version,
                idle_seconds=collected_at - started_at,
                busy_seconds=trained_at - collected_at,
                trainer_run=self._run_number,
            )
        )
        self._step += 1
        self._checkpoints.append(TrainerCheckpoint(step=self._step, cursor=self._cursor))

    async def _pull(self, max_samples: int) -> int:
        """Pull and consume the samples that are ready, and return their number."""
        try:
            batch = await self._source.pull(
                self._stream, self._cursor, max_samples, self.oldest_accepted_version
            )
        except UnavailableError as error:
            log_event("trainer_pull_failed", level="WARNING", error=error.code)
            await self._clock.sleep(self._parameters.poll_seconds)
            return 0
        for sample in batch.samples:
            self._consume(sample)
        # The cursor can advance past samples that were dropped as too old.
        self._cursor = batch.next_cursor
        if not batch.samples:
            await self._clock.sleep(self._parameters.poll_seconds)
        return len(batch.samples)

    def _consume(self, sample: PulledSample) -> None:
        self.log.append(
            SampleConsumed(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                step=self._step,
                cursor=sample.cursor,
                sample_id=sample.sample_id,
                weight_versions=sample.weight_versions,
                trainer_version=self._version,
                oldest_accepted_version=self.oldest_accepted_version,
                trainer_run=self._run_number,
            )
        )

    async def _publish_next(self) -> None:
        version = WeightVersion(self._version + 1)
        while True:
            try:
                await self._publisher.publish(self._model, version)
                break
            except DrumbayError as error:
                log_event("trainer_publish_failed", level="WARNING", error=error.code)
                await self._clock.sleep(self._parameters.poll_seconds)
        self._version = version
