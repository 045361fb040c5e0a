"""Shell of the stream owners of one node."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport
from drumbay.delivery.batch import Batch, OutstandingSample
from drumbay.delivery.exceptions import (
    NothingReadyError,
    NotOwnerError,
    OwnerDeposedError,
    StaleBatchError,
)
from drumbay.delivery.log_entries import LogEntry, decode_entry, encode_entry, encode_snapshot
from drumbay.delivery.messages import (
    AcceptedEntry,
    Ballot,
    StreamAcceptRequest,
    StreamConfirmRequest,
    StreamPromiseReply,
    StreamPromiseRequest,
    StreamTrimRequest,
)
from drumbay.delivery.quorum import ReplicaView, call_majority, granted_or_none
from drumbay.delivery.recovery import ReplicaHistory, recover_log
from drumbay.delivery.stream_owner import (
    DEFAULT_TRIM_MARGIN,
    FixBatch,
    HandOut,
    RefuseBatch,
    StreamOwner,
)
from drumbay.identifiers import BootId, Cursor, Fence, StreamName, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.rollout.sample import RolloutPrompt, Sample
from drumbay.tasks import TaskOwner


class DeliveryParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Timing and retention of the delivery service.

    Attributes:
        call_timeout_seconds: Time limit of one call to a replica.
        pull_poll_seconds: Time between looks at the finished samples during a pull.
        trim_margin: Batches kept below the trainer's checkpointed cursor.
        max_open_steps: Newest steps that may be unfinished when a batch is composed.
    """

    call_timeout_seconds: float = 1.0
    pull_poll_seconds: float = 0.02
    trim_margin: int = DEFAULT_TRIM_MARGIN
    max_open_steps: int | None = None


class StreamProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a stream has come.

    Attributes:
        delivered_samples: Samples in batches since this node took the stream over or since
            the snapshot it started from; only differences mean anything.
        outstanding_steps: Steps of the samples in no batch, in ascending order.
    """

    delivered_samples: int
    outstanding_steps: tuple[int, ...]


class OwnedStream:
    """An owner and the lock that keeps its proposals one at a time."""

    def __init__(self, owner: StreamOwner, view: ReplicaView) -> None:
        """Hold an owner whose log was recovered from ``view``."""
        self.owner = owner
        self.view = view
        self.lock = asyncio.Lock()


class DeliveryService:
    """Hands batches of the streams that this node owns to their trainers."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        tasks: TaskOwner,
        boot_id: BootId,
        current_view: Callable[[], ReplicaView],
        *,
        on_work_changed: Callable[[StreamName], None] | None = None,
        parameters: DeliveryParameters | None = None,
    ) -> None:
        """Create a service that owns no stream.

        Args:
            transport: Reaches the replicas, this node's own included.
            clock: Time.
            tasks: Owner of the calls under way.
            boot_id: Identity of this run of the process.
            current_view: Replica set configuration in force.
            on_work_changed: Called when ``missing`` of a stream may have changed.
            parameters: Timing and retention.
        """
        self._transport = transport
        self._clock = clock
        self._tasks = tasks
        self._boot_id = boot_id
        self._current_view = current_view
        self._on_work_changed = on_work_changed or (lambda stream: None)
        self._parameters = parameters or DeliveryParameters()
        self._streams: dict[StreamName, OwnedStream] = {}

    @property
    def owned_streams(self) -> tuple[StreamName, ...]:
        """Return the streams that this node believes to own."""
        return tuple(self._streams)

    @property
    def outdated_streams(self) -> tuple[StreamName, ...]:
        """Return the owned streams whose log must be recovered from a new replica set."""
        view = self._current_view()
        if not view.members:
            return ()
        owned = self._streams.items()
        return tuple(stream for stream, each in owned if each.view.epoch != view.epoch)

    def release(self, stream: StreamName) -> None:
        """Stop owning a stream, e.g. after its lease was lost; finished samples are dropped."""
        if self._streams.pop(stream, None) is not None:
            log_event("stream_released", stream=stream)

    async def take_over(self, stream: StreamName, fence: Fence) -> None:
        """Recover the log of a stream under a new fence and own the stream.

        Raises:
            OwnerDeposedError: A newer owner exists.
            QuorumUnavailableError: No majority of the replicas answered.
        """
        self.release(stream)
        view = self._current_view()
        ballot = Ballot(fence, self._boot_id, view.epoch)
        histories = await call_majority(
            self._tasks,
            view.members,
            lambda member: self._promise_history(member, stream, view, ballot),
        )
        recovered = recover_log(histories)
        owner = StreamOwner(
            stream,
            ballot,
            recovered.snapshot,
            trim_margin=self._parameters.trim_margin,
            max_open_steps=self._parameters.max_open_steps,
        )
        owned = OwnedStream(owner, view)
        for encoded in recovered.entries:
            await self._propose(owned, decode_entry(encoded))
        self._streams[stream] = owned
        log_event(
            "stream_taken_over",
            stream=stream,
            fence=fence,
            next_cursor=owner.state.next_cursor,
            entries=len(recovered.entries),
        )
        self._on_work_changed(stream)

    async def _promise_history(
        self, member: Address, stream: StreamName, view: ReplicaView, ballot: Ballot
    ) -> ReplicaHistory | None:
        """Read all pages of one replica; ``None`` if it refused."""
        snapshot: bytes | None = None
        entries: list[AcceptedEntry] = []
        from_position: int | None = 0
        while from_position is not None:
            request = StreamPromiseRequest(
                stream=stream, epoch=view.epoch, ballot=ballot, from_position=from_position
            )
            reply = granted_or_none(await self._call(member, request))
            if not isinstance(reply, StreamPromiseReply):
                return None
            snapshot = snapshot if reply.snapshot is None else reply.snapshot
            entries.extend(reply.entries)
            from_position = reply.next_position
        return ReplicaHistory(snapshot=snapshot, entries=tuple(entries))

    async def _call(self, member: Address, request: Message) -> Message:
        timeout_seconds = self._parameters.call_timeout_seconds
        return await self._transport.call(member, request, timeout_seconds=timeout_seconds)

    async def submit_step(
        self, stream: StreamName, step: int, prompts: Iterable[RolloutPrompt]
    ) -> None:
        """Record the prompts of a trainer's step durably; repeating it has no effect.

        Raises:
            NotOwnerError: This node does not own the stream.
            StepOutOfOrderError: An earlier step was not submitted.
            QuorumUnavailableError: The step may be recorded; submit it again.
        """
        owned = self._owned(stream)
        async with owned.lock:
            await self._resolve(owned)
            entry = owned.owner.decide_submit(step, prompts)
            if entry is not None:
                await self._propose(owned, entry)
        self._on_work_changed(stream)

    def add_sample(self, stream: StreamName, sample: Sample) -> bool:
        """Hold a finished sample for the next batch; ``False`` for a duplicate.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        return self._owned(stream).owner.add_sample(sample)

    def recorded_floor(self, stream: StreamName) -> WeightVersion:
        """Return the oldest accepted version that the stream's log records.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        return self._owned(stream).owner.state.oldest_accepted_version

    def missing(self, stream: StreamName) -> tuple[OutstandingSample, ...]:
        """Return the samples of a stream that have still to be generated.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        return self._owned(stream).owner.missing()

    def progress(self, stream: StreamName) -> StreamProgress:
        """Return how far a stream has come.

        Raises:
            NotOwnerError: This node does not own the stream.
        """
        state = self._owned(stream).owner.state
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
        """Return the batch at a cursor; the same one for every pull.

        Args:
            stream: The trainer's stream.
            cursor: Position of the batch.
            max_samples: Most samples, if the batch is composed now.
            oldest_version: Oldest weight version that the trainer accepts now.
            min_samples: Fewest samples, if the batch is composed now.
            wait_seconds: How long to wait for enough samples.

        Raises:
            NotOwnerError: Another node owns the stream.
            StaleBatchError: The trainer must go on with the next cursor.
            CursorAheadError: An earlier batch was not pulled yet.
            CursorTrimmedError: The batch was deleted.
            NothingReadyError: Too few samples became ready in time.
            QuorumUnavailableError: Pull again; the batch may be fixed already.
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
        owned = self._owned(stream)
        async with owned.lock:
            await self._resolve(owned)
            if owned.owner.drop_stale(oldest_version):
                self._on_work_changed(stream)
            decision = owned.owner.decide_pull(
                cursor, max_samples, oldest_version, min_samples=min_samples
            )
            match decision:
                case HandOut(batch=batch):
                    await self._confirm(owned)
                    return batch
                case FixBatch(entry=fixed):
                    await self._propose(owned, fixed)
                    return fixed.batch
                case RefuseBatch(entry=refused):
                    await self._propose(owned, refused)
                    self._log_refusal(stream, cursor, oldest_version)
                    raise StaleBatchError(f"batch {cursor} is older than {oldest_version}")

    def _log_refusal(
        self, stream: StreamName, cursor: Cursor, oldest_version: WeightVersion
    ) -> None:
        log_event("batch_refused", stream=stream, cursor=cursor, oldest_version=oldest_version)
        self._on_work_changed(stream)

    async def checkpointed(self, stream: StreamName, cursor: Cursor) -> None:
        """Trim the log after the trainer stored ``cursor`` as its next one in a checkpoint.

        Raises:
            NotOwnerError: This node does not own the stream.
            QuorumUnavailableError: Some replicas may not have trimmed; a later call will.
        """
        owned = self._owned(stream)
        async with owned.lock:
            trim = owned.owner.decide_trim(cursor)
            if trim is None:
                return
            request = StreamTrimRequest(
                stream=stream,
                epoch=owned.view.epoch,
                ballot=owned.owner.ballot,
                below_position=trim.below_position,
                snapshot=encode_snapshot(trim.snapshot),
            )
            await self._call_majority(owned, request)

    async def _confirm(self, owned: OwnedStream) -> None:
        """Check with a majority that no newer owner exists.

        As the read index of Raft (Ongaro, 2014, section 6.4): an owner that was paused and
        replaced must not serve a batch that its successor has refused.
        """
        request = StreamConfirmRequest(
            stream=owned.owner.stream, epoch=owned.view.epoch, ballot=owned.owner.ballot
        )
        await self._call_majority(owned, request)

    async def _resolve(self, owned: OwnedStream) -> None:
        """Propose again the entry whose fate is unknown, if any."""
        if owned.owner.unresolved is not None:
            await self._propose(owned, owned.owner.unresolved)

    async def _propose(self, owned: OwnedStream, entry: LogEntry) -> None:
        owned.owner.unresolved = entry
        request = StreamAcceptRequest(
            stream=owned.owner.stream,
            epoch=owned.view.epoch,
            ballot=owned.owner.ballot,
            position=owned.owner.state.next_position,
            entry=encode_entry(entry),
        )
        await self._call_majority(owned, request)
        owned.owner.choose(entry)

    async def _call_majority(self, owned: OwnedStream, request: Message) -> None:
        async def call(member: Address) -> object | None:
            return granted_or_none(await self._call(member, request))

        try:
            await call_majority(self._tasks, owned.view.members, call)
        except OwnerDeposedError:
            if self._streams.get(owned.owner.stream) is owned:
                self.release(owned.owner.stream)
            raise

    def _owned(self, stream: StreamName) -> OwnedStream:
        owned = self._streams.get(stream)
        if owned is None:
            raise NotOwnerError(f"stream {stream} is not owned here")
        if owned.view.epoch != self._current_view().epoch:
            # NOTE: the log must be recovered from a majority of the new replica set.
            raise NotOwnerError(f"stream {stream} was recovered in an earlier replica set")
        return owned
