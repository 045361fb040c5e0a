"""Sample streams on one node: ownership, and forwarding of requests to stream owners."""

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
OWNERSHIP_PREFIX = "stream."

ResultT = TypeVar("ResultT")
ReplyT = TypeVar("ReplyT", bound=Message)


class SampleGenerator(Protocol):
    """Generates the samples of the streams that this node owns."""

    def start_stream(self, stream: StreamName, fence: Fence) -> None:
        """Start generating the missing samples of a stream."""
        ...

    def stop_stream(self, stream: StreamName) -> None:
        """Stop generating samples of a stream."""
        ...

    def observe_oldest_accepted(self, stream: StreamName, oldest_version: WeightVersion) -> None:
        """Record the oldest weight version that the trainer accepts."""
        ...


class StreamService:
    """Accepts trainers' requests at any node and forwards them to the stream's owner.

    Args:
        clock: Source of the current time.
        transport: Messages to and from other nodes.
        node_id: This node.
        ownership: Leases with fencing tokens.
        delivery: The replicated log of the owned streams.
        sample_generator: Generates samples of the owned streams.
        address_of: Returns the address of a live node.
        task_owner: Owns the background tasks.
        metrics: Counts of pulls rejected as stale.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        node_id: NodeId,
        ownership: OwnershipManager,
        delivery: DeliveryService,
        sample_generator: SampleGenerator,
        address_of: Callable[[NodeId], Address | None],
        task_owner: TaskOwner,
        metrics: NodeMetrics | None = None,
    ) -> None:
        """Create a service; it owns no stream yet."""
        self._metrics = metrics or NodeMetrics()
        self._clock = clock
        self._transport = transport
        self._node_id = node_id
        self._ownership = ownership
        self._delivery = delivery
        self._sample_generator = sample_generator
        self._address_of = address_of
        self._task_owner = task_owner
        self._streams: frozenset[StreamName] = frozenset()

    def start(self) -> None:
        """Start serving other nodes' requests and handling ownership changes."""
        self._transport.handle_calls(SubmitStepRequest, self._handle_submit)
        self._transport.handle_calls(PullRequest, self._handle_pull)
        self._transport.handle_calls(CheckpointRequest, self._handle_checkpoint)
        self._ownership.add_listener(self._handle_ownership)
        self._task_owner.spawn(self._recover_outdated_streams(), "stream-replica-set")

    def set_streams(self, streams: frozenset[StreamName]) -> None:
        """Campaign for ownership of the configured streams."""
        for stream in sorted(streams - self._streams):
            self._ownership.campaign(OWNERSHIP_PREFIX + stream)
        for stream in sorted(self._streams - streams):
            self._task_owner.spawn(
                self._ownership.withdraw(OWNERSHIP_PREFIX + stream), f"withdraw-{stream}"
            )
        self._streams = streams

    def _handle_ownership(self, change: OwnershipChange) -> None:
        if not change.name.startswith(OWNERSHIP_PREFIX):
            return
        stream = StreamName(change.name.removeprefix(OWNERSHIP_PREFIX))
        if change.standing is Standing.VALID:
            if stream not in self._delivery.owned_streams:
                self._task_owner.spawn(self._take_over(stream, change.fence), f"take-over-{stream}")
        elif change.standing is Standing.NOT_HELD:
            self._sample_generator.stop_stream(stream)
            self._delivery.release(stream)

    async def _take_over(self, stream: StreamName, fence: Fence) -> None:
        """Recover the stream's log, retrying while this node holds the fence."""
        name = OWNERSHIP_PREFIX + stream
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
            self._sample_generator.start_stream(stream, fence)
            return

    async def _report_deposed(self, stream: StreamName, fence: Fence | None) -> None:
        """Give up the lease of a stream that has a newer owner."""
        if fence is None:
            return
        log_event("stream_owner_deposed", level="WARNING", stream=stream, fence=fence)
        await self._ownership.report_stale_fence(OWNERSHIP_PREFIX + stream, fence)

    async def _run_as_owner(self, stream: StreamName, operation: Awaitable[ResultT]) -> ResultT:
        """Run an operation as owner; give up the lease if a newer owner exists.

        Raises:
            OwnerDeposedError: A newer owner exists.
        """
        name = OWNERSHIP_PREFIX + stream
        fence = self._ownership.fence_to_continue(name, self._clock.monotonic())
        try:
            return await operation
        except OwnerDeposedError:
            await self._report_deposed(stream, fence)
            raise

    async def _recover_outdated_streams(self) -> None:
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
        """Record a step and return the owner.

        Raises:
            DrumbayError: No owner recorded the step.
        """
        reply = await self._call_owner(request.stream, request, self._handle_submit)
        return _expect_reply(reply, StreamAcknowledgement).owner

    async def pull(self, request: PullRequest) -> PullReply:
        """Return the batch at a cursor.

        Raises:
            DrumbayError: No owner returned a batch.
        """
        reply = await self._call_owner(request.stream, request, self._handle_pull)
        return _expect_reply(reply, PullReply)

    async def record_checkpoint(self, request: CheckpointRequest) -> None:
        """Trim a stream below a trainer's checkpoint.

        Raises:
            DrumbayError: No owner trimmed the stream.
        """
        await self._call_owner(request.stream, request, self._handle_checkpoint)

    async def _call_owner(
        self,
        stream: StreamName,
        request: Message,
        serve_locally: Callable[..., Awaitable[Message]],
    ) -> Message:
        """Serve a request locally if this node owns the stream, else forward it."""
        if stream in self._delivery.owned_streams:
            return await serve_locally(request)
        last_error: DrumbayError = NotOwnerError(f"no owner of stream {stream} is known")
        for candidate in self._ownership.ranked_candidates(OWNERSHIP_PREFIX + stream):
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
        operation = self._delivery.submit_step(request.stream, request.step, request.prompts)
        await self._run_as_owner(request.stream, operation)
        return StreamAcknowledgement(owner=self._node_id)

    async def _handle_pull(self, request: PullRequest) -> PullReply:
        self._sample_generator.observe_oldest_accepted(request.stream, request.oldest_version)
        try:
            operation = self._delivery.pull(
                request.stream,
                request.cursor,
                request.max_samples,
                request.oldest_version,
                wait_seconds=PULL_WAIT_SECONDS,
            )
            batch = await self._run_as_owner(request.stream, operation)
        except NothingReadyError:
            return PullReply(batch=None)
        except StaleBatchError:
            self._metrics.record_batch_stale(request.stream)
            raise
        return PullReply(batch=batch)

    async def _handle_checkpoint(self, request: CheckpointRequest) -> StreamAcknowledgement:
        operation = self._delivery.trim_to_checkpoint(request.stream, request.cursor)
        await self._run_as_owner(request.stream, operation)
        return StreamAcknowledgement(owner=self._node_id)


def _expect_reply(reply: Message, reply_type: type[ReplyT]) -> ReplyT:
    if not isinstance(reply, reply_type):
        raise TransportError(f"unexpected reply {type(reply).__name__}")
    return reply
