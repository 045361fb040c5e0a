"""Delivers the batches of the streams that a node owns."""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

import msgspec

from drumbay.clock import Clock
from drumbay.comm.interface import Transport
from drumbay.delivery.batch import Batch, OutstandingSample
from drumbay.delivery.exceptions import (
    NothingReadyError,
    NotOwnerError,
    OwnerDeposedError,
    StaleBatchError,
)
from drumbay.delivery.quorum import ReplicaView
from drumbay.delivery.replicated_log import DeliveryParameters, OwnedStream, ReplicatedLog
from drumbay.delivery.stream_owner import (
    DeliverBatch,
    FixBatch,
    RefuseBatch,
)
from drumbay.identifiers import BootId, Cursor, Fence, StreamName, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.rollout.sample import RolloutPrompt, Sample
from drumbay.tasks import TaskOwner


class StreamProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a stream.

    Attributes:
        delivered_samples: Samples in batches since the snapshot from which this node recovered
            the stream; only differences are meaningful.
        outstanding_steps: Steps of the samples that are not in a batch, in ascending order.
    """

    delivered_samples: int
    outstanding_steps: tuple[int, ...]


class DeliveryService:
    """Delivers batches of the streams that this node owns to their trainers."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        task_owner: TaskOwner,
        boot_id: BootId,
        current_view: Callable[[], ReplicaView],
        *,
        on_work_changed: Callable[[StreamName], None] | None = None,
        on_samples_stale: Callable[[StreamName, int], None] | None = None,
        parameters: DeliveryParameters | None = None,
        log_type: type[ReplicatedLog] = ReplicatedLog,
    ) -> None:
        """Create a service that owns no stream.

        Args:
            transport: Sends calls to the replicas, including that of this node.
            clock: Time source.
            task_owner: Owner of pending calls.
            boot_id: Identity of this process run.
            current_view: Returns the current epoch and members of the replica set.
            on_work_changed: Called when the missing samples of a stream may have changed.
            on_samples_stale: Called with the number of finished samples of a stream that were
                dropped as stale.
            parameters: Timing and retention.
            log_type: Class of the replicated log; replaced in tests.
        """
        self._clock = clock
        self._current_view = current_view
        self._on_work_changed = on_work_changed or (lambda stream: None)
        self._on_samples_stale = on_samples_stale or (lambda stream, count: None)
        self._parameters = parameters or DeliveryParameters()
        self._streams: dict[StreamName, OwnedStream] = {}
        self._log = log_type(transport, task_owner, boot_id, current_view, self._parameters)

    @property
    def owned_streams(self) -> tuple[StreamName, ...]:
        """Return the streams that this node owns, as far as it knows."""
        return tuple(self._streams)

    @property
    def outdated_streams(self) -> tuple[StreamName, ...]:
        """Return the owned streams whose log must be recovered from a newer replica set."""
        view = self._current_view()
        if not view.members:
            return ()
        owned = self._streams.items()
        return tuple(stream for stream, each in owned if each.view.epoch != view.epoch)

    def release(self, stream: StreamName) -> None:
        """Stop owning a stream, e.g. after its lease was lost, and drop its finished samples."""
        if self._streams.pop(stream, None) is not None:
            log_event("stream_released", stream=stream)

    async def take_over(self, stream: StreamName, fence: Fence) -> None:
        """Become the owner of a stream by recovering its log under a new fence.

        Raises:
            OwnerDeposedError: A newer owner exists.
            QuorumUnavailableError: No majority of the replicas responded.
            LogInvariantError: The logs of the replicas are inconsistent.
        """
        self.release(stream)
        self._streams[stream] = await self._log.recover(stream, fence)
        self._on_work_changed(stream)

    async def recover_outdated(self, stream: StreamName) -> None:
        """Recover an owned stream if the replica set has changed.

        Other operations do this too; this one is for streams without requests.

        Raises:
            NotOwnerError: This node no longer owns the stream.
            QuorumUnavailableError: No majority of the new set responded; try again.
        """
        async with self._locked_stream(stream):
            return

    async def _recover_from_new_replica_set(self, owned: OwnedStream) -> None:
        """Recover a stream from the current replica set after a change of it.

        If the recovery fails, the stream stays owned and keeps its finished samples.
        """
        recovered = await self._log.recover(owned.stream, owned.owner.ballot.fence)
        for sample in owned.owner.ready.values():
            recovered.owner.add_sample(sample)
        if self._streams.get(owned.stream) is owned:
            self._streams[owned.stream] = recovered

    @asynccontextmanager
    async def _locked_stream(self, stream: StreamName) -> AsyncIterator[OwnedStream]:
        """Lock a stream after bringing it up to date with its replica set and unresolved entry."""
        while True:
            owned = self._require_owned(stream)
            async with owned.lock:
                if self._streams.get(stream) is not owned:
                    continue
                try:
                    if owned.view.epoch != self._current_view().epoch:
                        await self._recover_from_new_replica_set(owned)
                        continue
                    if owned.owner.unresolved is not None:
                        await self._log.propose(owned, owned.owner.unresolved)
                    yield owned
                except OwnerDeposedError:
                    if self._streams.get(stream) is owned:
                        self.release(stream)
                    raise
                return

    async def submit_step(
        self, stream: StreamName, step: int, prompts: Iterable[RolloutPrompt]
    ) -> None:
        """Record the prompts of a trainer's step durably; idempotent.

        Raises:
            NotOwnerError: This node does not own the stream.
            StepOutOfOrderError: An earlier step was not submitted.
            QuorumUnavailableError: The step may have been recorded; submit it again.
        """
        async with self._locked_stream(stream) as owned:
            entry = owned.owner.decide_submit(step, prompts)
            if entry is not None:
                await self._log.propose(owned, entry)
        self._on_work_changed(stream)

    def add_sample(self, stream: StreamName, sample: Sample) -> bool:
        """Add a finished sample for a later batch; return ``False`` for a duplicate.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        return self._require_owned(stream).owner.add_sample(sample)

    def oldest_accepted_version(self, stream: StreamName) -> WeightVersion:
        """Return the oldest accepted version recorded in the stream's log.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        return self._require_owned(stream).owner.state.oldest_accepted_version

    def missing(self, stream: StreamName) -> tuple[OutstandingSample, ...]:
        """Return the samples of a stream that must still be generated.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        return self._require_owned(stream).owner.missing()

    def progress(self, stream: StreamName) -> StreamProgress:
        """Return the progress of a stream.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        state = self._require_owned(stream).owner.state
        return StreamProgress(
            delivered_samples=state.delivered_samples,
            outstanding_steps=tuple(sorted(key.step for key in state.outstanding)),
        )

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
        *,
        min_samples: int = 1,
        wait_seconds: float = 0.0,
    ) -> Batch:
        """Return the batch at a cursor, which is the same for every pull.

        Args:
            stream: The trainer's stream.
            cursor: Position of the batch.
            max_samples: Maximum number of samples, if the batch is composed by this pull.
            oldest_version: Oldest weight version that the trainer accepts now.
            min_samples: Minimum number of samples, if the batch is composed by this pull.
            wait_seconds: How long to wait for enough samples.

        Raises:
            NotOwnerError: Another node owns the stream.
            StaleBatchError: The trainer must continue with the next cursor.
            CursorAheadError: An earlier batch was not pulled yet.
            CursorTrimmedError: The batch was deleted.
            NothingReadyError: Too few samples became ready in time.
            QuorumUnavailableError: The batch may have been recorded; pull again.
        """
        deadline = self._clock.monotonic() + wait_seconds
        while True:
            try:
                return await self._pull_once(
                    stream, cursor, max_samples, oldest_version, min_samples
                )
            except NothingReadyError:
                if self._clock.monotonic() >= deadline:
                    raise
            await self._clock.sleep(self._parameters.pull_poll_seconds)

    async def _pull_once(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
        min_samples: int,
    ) -> Batch:
        async with self._locked_stream(stream) as owned:
            stale = owned.owner.drop_stale(oldest_version)
            if stale:
                self._on_samples_stale(stream, len(stale))
                self._on_work_changed(stream)
            decision = owned.owner.decide_pull(
                cursor, max_samples, oldest_version, min_samples=min_samples
            )
            match decision:
                case DeliverBatch(batch=batch):
                    await self._log.confirm(owned)
                    return batch
                case FixBatch(entry=fixed):
                    await self._log.propose(owned, fixed)
                    return fixed.batch
                case RefuseBatch(entry=refused):
                    await self._log.propose(owned, refused)
                    self._log_refusal(stream, cursor, oldest_version)
                    raise StaleBatchError(f"batch {cursor} is older than {oldest_version}")

    def _log_refusal(
        self, stream: StreamName, cursor: Cursor, oldest_version: WeightVersion
    ) -> None:
        log_event("batch_refused", stream=stream, cursor=cursor, oldest_version=oldest_version)
        self._on_work_changed(stream)

    async def trim_to_checkpoint(self, stream: StreamName, cursor: Cursor) -> None:
        """Trim the log after the trainer stored ``cursor`` as its next cursor in a checkpoint.

        Raises:
            NotOwnerError: This node does not own the stream.
            QuorumUnavailableError: Some replicas may not have trimmed; a later call trims them.
        """
        async with self._locked_stream(stream) as owned:
            trim = owned.owner.decide_trim(cursor)
            if trim is not None:
                await self._log.trim(owned, trim.snapshot)

    def _require_owned(self, stream: StreamName) -> OwnedStream:
        owned = self._streams.get(stream)
        if owned is None:
            raise NotOwnerError(f"stream {stream} is not owned here")
        return owned
