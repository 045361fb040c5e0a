"""Sample streams on one node: ownership, the owner's work, and the way to other owners."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, RemoteFailureError, Transport, TransportError
from drumbay.delivery.exceptions import (
    DeliveryError,
    NothingReadyError,
    NotOwnerError,
    OwnerDeposedError,
    StaleBatchError,
)
from drumbay.delivery.service import DeliveryService
from drumbay.exceptions import DrumbayError, UnavailableError
from drumbay.identifiers import Fence, NodeId, StreamName, WeightVersion
from drumbay.node.stream_messages import (
    CheckpointRequest,
    PullReply,
    PullRequest,
    StreamAcknowledgement,
    SubmitStepRequest,
)
from drumbay.observability.logs import log_event
from drumbay.observability.metrics import NodeMetrics
from drumbay.ownership.manager import OwnershipManager
from drumbay.ownership.records import OwnershipChange, Standing
from drumbay.tasks import TaskOwner

FORWARD_TIMEOUT_SECONDS = 10.0
PULL_WAIT_SECONDS = 1.0
TAKE_OVER_RETRY_SECONDS = 0.5
REPLICA_SET_POLL_SECONDS = 0.5
RESOURCE_PREFIX = "stream."

ResultT = TypeVar("ResultT")
ReplyT = TypeVar("ReplyT", bound=Message)


class StreamWorker(Protocol):
    """Generates the samples of the streams that this node owns."""

    def start_stream(self, stream: StreamName, fence: Fence) -> None:
        """Begin to generate the missing samples of a stream."""
        ...

    def stop_stream(self, stream: StreamName) -> None:
        """Stop generating samples of a stream."""
        ...

    def observe_floor(self, stream: StreamName, oldest_version: WeightVersion) -> None:
        """Take note of the oldest version that the trainer now accepts."""
        ...


class StreamService:
    """Takes trainers' requests at any node and has the stream's owner carry them out.

    Args:
        clock: Time.
        transport: Exchange with other nodes.
        node_id: This node.
        ownership: Says which streams this node owns.
        delivery: The replicated log of the owned streams.
        worker: Generates samples of the owned streams.
        address_of: Returns the address of a live node.
        task_owner: Owns take-overs under way.
        metrics: Counts refused pulls.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        node_id: NodeId,
        ownership: OwnershipManager,
        delivery: DeliveryService,
        worker: StreamWorker,
        address_of: Callable[[NodeId], Address | None],
        task_owner: TaskOwner,
        metrics: NodeMetrics | None = None,
    ) -> None:
        """Create a service that owns no stream."""
        self._metrics = metrics or NodeMetrics()
        self._clock = clock
        self._transport = transport
        self._node_id = node_id
        self._ownership = ownership
        self._delivery = delivery
        self._worker = worker
        self._address_of = address_of
        self._task_owner = task_owner
        self._known: frozenset[StreamName] = frozenset()

    def start(self) -> None:
        """Serve other nodes' requests and follow this node's ownerships."""
        self._transport.handle_calls(SubmitStepRequest, self._handle_submit)
        self._transport.handle_calls(PullRequest, self._handle_pull)
        self._transport.handle_calls(CheckpointRequest, self._handle_checkpoint)
        self._ownership.add_listener(self._handle_ownership)
        self._task_owner.spawn(self._follow_replica_set(), "stream-replica-set")

    def set_streams(self, streams: frozenset[StreamName]) -> None:
        """Campaign for the streams of the configuration in force."""
        for stream in sorted(streams - self._known):
            self._ownership.campaign(RESOURCE_PREFIX + stream)
        for stream in sorted(self._known - streams):
            self._task_owner.spawn(
                self._ownership.withdraw(RESOURCE_PREFIX + stream), f"withdraw-{stream}"
            )
        self._known = streams

    def _handle_ownership(self, change: OwnershipChange) -> None:
        if not change.name.startswith(RESOURCE_PREFIX):
            return
        stream = StreamName(change.name.removeprefix(RESOURCE_PREFIX))
        if change.standing is Standing.VALID:
            if stream not in self._delivery.owned_streams:
                self._task_owner.spawn(self._take_over(stream, change.fence), f"take-over-{stream}")
        elif change.standing is Standing.NOT_HELD:
            self._worker.stop_stream(stream)
            self._delivery.release(stream)

    async def _take_over(self, stream: StreamName, fence: Fence) -> None:
        """Recover the stream's log, retrying while this node holds the fence."""
        name = RESOURCE_PREFIX + stream
        while self._ownership.fence_to_continue(name, self._clock.monotonic()) == fence:
            try:
                await self._delivery.take_over(stream, fence)
            except OwnerDeposedError:
                await self._report_deposed(stream, fence)
                return
            except (UnavailableError, DeliveryError) as error:
                log_event(
                    "take_over_failed",
                    level="WARNING",
                    stream=stream,
                    error=error.code,
                    detail=str(error),
                )
                await self._clock.sleep(TAKE_OVER_RETRY_SECONDS)
                continue
            self._worker.start_stream(stream, fence)
            return

    async def _report_deposed(self, stream: StreamName, fence: Fence | None) -> None:
        """Give up a lease whose successor the replicas have promised."""
        if fence is None:
            return
        log_event("stream_owner_deposed", level="WARNING", stream=stream, fence=fence)
        await self._ownership.report_stale_fence(RESOURCE_PREFIX + stream, fence)

    async def _as_owner(self, stream: StreamName, work: Awaitable[ResultT]) -> ResultT:
        """Do the owner's work; a replica that has promised a newer owner ends the lease.

        Raises:
            OwnerDeposedError: A newer owner exists.
        """
        name = RESOURCE_PREFIX + stream
        fence = self._ownership.fence_to_continue(name, self._clock.monotonic())
        try:
            return await work
        except OwnerDeposedError:
            await self._report_deposed(stream, fence)
            raise

    async def _follow_replica_set(self) -> None:
        """Recover the owned streams again after each change of the replica set."""
        while True:
            await self._clock.sleep(REPLICA_SET_POLL_SECONDS)
            for stream in self._delivery.outdated_streams:
                try:
                    await self._delivery.recover_outdated(stream)
                except DrumbayError as error:
                    log_event(
                        "stream_recovery_failed", level="WARNING", stream=stream, error=error.code
                    )

    async def submit(self, request: SubmitStepRequest) -> NodeId:
        """Record a step; returns the owner.

        Raises:
            DrumbayError: No owner has recorded it.
        """
        reply = await self._at_owner(request.stream, request, self._handle_submit)
        return _expect(reply, StreamAcknowledgement).owner

    async def pull(self, request: PullRequest) -> PullReply:
        """Return the batch at a cursor.

        Raises:
            DrumbayError: No owner has returned it.
        """
        reply = await self._at_owner(request.stream, request, self._handle_pull)
        return _expect(reply, PullReply)

    async def checkpointed(self, request: CheckpointRequest) -> None:
        """Trim a stream below a trainer's checkpoint.

        Raises:
            DrumbayError: No owner has carried it out.
        """
        await self._at_owner(request.stream, request, self._handle_checkpoint)

    async def _at_owner(
        self,
        stream: StreamName,
        request: Message,
        serve: Callable[..., Awaitable[Message]],
    ) -> Message:
        """Serve a request here if this node owns the stream, else at its likely owners."""
        if stream in self._delivery.owned_streams:
            return await serve(request)
        last_error: DrumbayError = NotOwnerError(f"no owner of stream {stream} is known")
        for candidate in self._ownership.ranked_candidates(RESOURCE_PREFIX + stream):
            address = self._address_of(candidate)
            if candidate == self._node_id or address is None:
                continue
            try:
                return await self._transport.call(
                    address, request, timeout_seconds=FORWARD_TIMEOUT_SECONDS
                )
            except RemoteFailureError as error:
                last_error = error
                if error.remote_code != NotOwnerError.code:
                    raise
            except TransportError as error:
                last_error = error
        raise last_error

    async def _handle_submit(self, request: SubmitStepRequest) -> StreamAcknowledgement:
        work = self._delivery.submit_step(request.stream, request.step, request.prompts)
        await self._as_owner(request.stream, work)
        return StreamAcknowledgement(owner=self._node_id)

    async def _handle_pull(self, request: PullRequest) -> PullReply:
        self._worker.observe_floor(request.stream, request.oldest_version)
        try:
            work = self._delivery.pull(
                request.stream,
                request.cursor,
                request.max_samples,
                request.oldest_version,
                wait_seconds=PULL_WAIT_SECONDS,
            )
            batch = await self._as_owner(request.stream, work)
        except NothingReadyError:
            return PullReply(batch=None)
        except StaleBatchError:
            self._metrics.record_batch_stale(request.stream)
            raise
        return PullReply(batch=batch)

    async def _handle_checkpoint(self, request: CheckpointRequest) -> StreamAcknowledgement:
        work = self._delivery.checkpointed(request.stream, request.cursor)
        await self._as_owner(request.stream, work)
        return StreamAcknowledgement(owner=self._node_id)


def _expect(reply: Message, reply_type: type[ReplyT]) -> ReplyT:
    if not isinstance(reply, reply_type):
        raise TransportError(f"unexpected reply {type(reply).__name__}")
    return reply
