"""An emulated trainer that pulls samples by cursor and publishes weight versions."""

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
    """One sample as the trainer sees it.

    Attributes:
        sample_id: Identity of the sample.
        cursor: Position of the sample in the stream.
        weight_versions: Versions the sample names.
    """

    sample_id: SampleId
    cursor: Cursor
    weight_versions: tuple[WeightVersion, ...]


class PulledBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Samples from a cursor on; an empty batch means that none is ready."""

    samples: tuple[PulledSample, ...]
    next_cursor: Cursor


class SampleSource(Protocol):
    """Where a trainer pulls samples from."""

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> PulledBatch:
        """Return samples from ``cursor`` on that are no older than ``oldest_version``.

        Raises:
            UnavailableError: No answer could be had; pull again with the same cursor.
        """
        ...


class VersionPublisher(Protocol):
    """Where a trainer publishes versions."""

    async def publish(self, model: str, version: WeightVersion) -> None:
        """Make a version available.

        Raises:
            DrumbayError: It was not published.
        """
        ...


class TrainerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and times of a trainer.

    Attributes:
        samples_per_step: Samples consumed by one step.
        step_seconds: Time of one step once its samples are there.
        poll_seconds: Time between pulls while no sample is ready.
        max_staleness_versions: Oldest accepted weights, in versions behind the trainer.
    """

    samples_per_step: int = 64
    step_seconds: float = 30.0
    poll_seconds: float = 0.5
    max_staleness_versions: int = 1


class TrainerCheckpoint(msgspec.Struct, frozen=True, kw_only=True):
    """What a trainer saves after a step."""

    step: int
    cursor: Cursor


class TrainerModel:
    """One emulated trainer.

    Attributes:
        log: What the trainer truly did.
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
        """Create a trainer whose ``first_version`` is published already."""
        self.log = ExecutionLog()
        self._clock = clock
        self._name = name
        self._model = model
        self._stream = stream
        self._source = source
        self._publisher = publisher
        self._parameters = parameters or TrainerParameters()
        self._version = first_version
        self._run = 1
        self._step = 0
        self._cursor = Cursor(0)
        self._checkpoints = [TrainerCheckpoint(step=0, cursor=Cursor(0))]

    @property
    def step(self) -> int:
        """Number of the step under way, from 0."""
        return self._step

    @property
    def version(self) -> WeightVersion:
        """Newest version of the trainer."""
        return self._version

    @property
    def oldest_accepted_version(self) -> WeightVersion:
        """Oldest weights that a sample may be built from."""
        return WeightVersion(max(0, self._version - self._parameters.max_staleness_versions))

    @property
    def checkpoints(self) -> tuple[TrainerCheckpoint, ...]:
        """Checkpoints saved, oldest first."""
        return tuple(self._checkpoints)

    async def run_steps(self, steps: int) -> None:
        """Train a number of steps."""
        for _ in range(steps):
            await self._run_step()

    async def restart_from(self, checkpoint: TrainerCheckpoint) -> None:
        """Go back to a checkpoint; later samples are consumed again.

        NOTE: cancel :meth:`run_steps` first. Numbers of versions are never used twice, so
        the restored weights are published under the next number.
        """
        self._run += 1
        self._step = checkpoint.step
        self._cursor = checkpoint.cursor
        kept = [saved for saved in self._checkpoints if saved.step <= checkpoint.step]
        self._checkpoints = kept
        self.log.append(
            TrainerRestarted(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                step=checkpoint.step,
                cursor=checkpoint.cursor,
                trainer_run=self._run,
            )
        )
        await self._publish_next()

    async def _run_step(self) -> None:
        began = self._clock.monotonic()
        remaining = self._parameters.samples_per_step
        while remaining > 0:
            remaining -= await self._pull(remaining)
        collected = self._clock.monotonic()
        await self._clock.sleep(self._parameters.step_seconds)
        trained = self._clock.monotonic()
        await self._publish_next()
        self.log.append(
            StepFinished(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                step=self._step,
                weight_version=self._version,
                idle_seconds=collected - began,
                busy_seconds=trained - collected,
                trainer_run=self._run,
            )
        )
        self._step += 1
        self._checkpoints.append(TrainerCheckpoint(step=self._step, cursor=self._cursor))

    async def _pull(self, max_samples: int) -> int:
        """Consume what is ready and return the number of samples."""
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
        # NOTE: the cursor may move past samples that were dropped as too old.
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
                trainer_run=self._run,
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
