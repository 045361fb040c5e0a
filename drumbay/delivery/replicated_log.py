"""The owner's side of a stream's replicated log: recovery and proposals."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from drumbay.comm.interface import Address, Message, Transport
from drumbay.delivery.exceptions import EntryTooLargeError
from drumbay.delivery.log_entries import (
    LogEntry,
    StreamSnapshot,
    decode_entry,
    encode_entry,
    encode_snapshot,
)
from drumbay.delivery.messages import (
    AcceptedEntry,
    Ballot,
    StreamAcceptRequest,
    StreamConfirmRequest,
    StreamPromiseReply,
    StreamPromiseRequest,
    StreamTrimRequest,
)
from drumbay.delivery.quorum import ReplicaView, call_majority, reply_if_granted
from drumbay.delivery.recovery import ReplicaHistory, recover_log
from drumbay.delivery.stream_owner import DEFAULT_TRIM_MARGIN, StreamOwner
from drumbay.identifiers import BootId, Fence, StreamName
from drumbay.observability.logs import log_event
from drumbay.storage.interface import DURABLE_REPLY_TIMEOUT_SECONDS
from drumbay.tasks import TaskOwner

MAX_ENTRY_BYTES = 3 * 1024 * 1024
"""Maximum size of an encoded entry; a frame with its envelope is limited to 4 MiB."""

REACCEPT_WINDOW_ENTRIES = 16
"""Number of recovered entries that are sent concurrently, each at most 3 MiB."""


class DeliveryParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Timing and retention of the delivery service.

    Attributes:
        call_timeout_seconds: Timeout of one call to a replica.
        pull_poll_seconds: Interval at which a waiting pull checks for finished samples.
        trim_margin: Batches kept below the trainer's checkpointed cursor.
        max_open_steps: How many of the newest steps may be unfinished when a batch is composed.
    """

    call_timeout_seconds: float = DURABLE_REPLY_TIMEOUT_SECONDS
    pull_poll_seconds: float = 0.02
    trim_margin: int = DEFAULT_TRIM_MARGIN
    max_open_steps: int | None = None


class OwnedStream:
    """The state of an owned stream, with a lock that serializes its proposals."""

    def __init__(self, owner: StreamOwner, view: ReplicaView) -> None:
        """Wrap an owner whose log was recovered from the replica set ``view``."""
        self.owner = owner
        self.view = view
        self.lock = asyncio.Lock()

    @property
    def stream(self) -> StreamName:
        """Return the name of the stream."""
        return self.owner.stream


class ReplicatedLog:
    """Recovers streams from their replicas and gets entries accepted by a majority."""

    def __init__(
        self,
        transport: Transport,
        task_owner: TaskOwner,
        boot_id: BootId,
        current_view: Callable[[], ReplicaView],
        parameters: DeliveryParameters,
    ) -> None:
        """Create the log; for the arguments see :class:`.service.DeliveryService`."""
        self._transport = transport
        self._task_owner = task_owner
        self._boot_id = boot_id
        self._current_view = current_view
        self._parameters = parameters
        self._recovery_count = 0

    async def recover(self, stream: StreamName, fence: Fence) -> OwnedStream:
        """Read the log from a majority and get it accepted under a new ballot.

        Raises:
            OwnerDeposedError: A newer owner exists.
            QuorumUnavailableError: No majority of the replicas responded.
            LogInvariantError: The logs of the replicas are inconsistent.
        """
        view = self._current_view()
        self._recovery_count += 1
        ballot = Ballot(fence, self._boot_id, self._recovery_count)
        histories = await call_majority(
            self._task_owner,
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
        if recovered.snapshot.next_position > 0:
            # NOTE: new members of the replica set may lack the snapshot.
            await self.trim(owned, recovered.snapshot)
        await self.reaccept(owned, recovered.entries)
        log_event(
            "stream_recovered",
            stream=stream,
            fence=fence,
            epoch=view.epoch,
            next_cursor=owner.state.next_cursor,
            entries=len(recovered.entries),
        )
        return owned

    async def reaccept(self, owned: OwnedStream, entries: Sequence[bytes]) -> None:
        """Get recovered entries accepted by a majority again, and apply them.

        The entries are known in advance, so several are sent concurrently.

        Raises:
            OwnerDeposedError: A newer owner exists.
            QuorumUnavailableError: No majority of the replicas responded.
        """
        first = owned.owner.state.next_position
        for start in range(0, len(entries), REACCEPT_WINDOW_ENTRIES):
            window = entries[start : start + REACCEPT_WINDOW_ENTRIES]
            accept_calls = [
                self._accept(owned, first + start + offset, encoded)
                for offset, encoded in enumerate(window)
            ]
            for outcome in await asyncio.gather(*accept_calls, return_exceptions=True):
                if outcome is not None:
                    raise outcome
        for encoded in entries:
            owned.owner.apply_chosen(decode_entry(encoded))

    async def propose(self, owned: OwnedStream, entry: LogEntry) -> None:
        """Get an entry accepted by a majority at the next position, and apply it.

        Raises:
            EntryTooLargeError: The entry was not proposed.
            OwnerDeposedError: A newer owner exists.
            QuorumUnavailableError: The entry may have been accepted; it stays ``unresolved``.
        """
        encoded = encode_entry(entry)
        if len(encoded) > MAX_ENTRY_BYTES:
            # NOTE: an entry that was proposed and cannot be accepted would block the stream.
            raise EntryTooLargeError(f"{len(encoded)} bytes, limit {MAX_ENTRY_BYTES}")
        owned.owner.unresolved = entry
        await self._accept(owned, owned.owner.state.next_position, encoded)
        owned.owner.apply_chosen(entry)

    async def _accept(self, owned: OwnedStream, position: int, encoded: bytes) -> None:
        request = StreamAcceptRequest(
            stream=owned.stream,
            epoch=owned.view.epoch,
            ballot=owned.owner.ballot,
            position=position,
            entry=encoded,
        )
        await self._call_majority(owned, request)

    async def confirm(self, owned: OwnedStream) -> None:
        """Check with a majority that no newer owner exists.

        Similar to the read index of Raft (Ongaro, 2014, section 6.4): an owner that was paused
        and replaced must not deliver a batch that its successor has refused.
        """
        request = StreamConfirmRequest(
            stream=owned.stream, epoch=owned.view.epoch, ballot=owned.owner.ballot
        )
        await self._call_majority(owned, request)

    async def trim(self, owned: OwnedStream, snapshot: StreamSnapshot) -> None:
        """Get the entries below a snapshot replaced by it on a majority.

        Raises:
            OwnerDeposedError: A newer owner exists.
            QuorumUnavailableError: Some replicas may not have trimmed.
        """
        request = StreamTrimRequest(
            stream=owned.stream,
            epoch=owned.view.epoch,
            ballot=owned.owner.ballot,
            below_position=snapshot.next_position,
            snapshot=encode_snapshot(snapshot),
        )
        await self._call_majority(owned, request)

    async def _promise_history(
        self, member: Address, stream: StreamName, view: ReplicaView, ballot: Ballot
    ) -> ReplicaHistory | None:
        """Read all pages of one replica's promise; ``None`` if it refused."""
        snapshot: bytes | None = None
        entries: list[AcceptedEntry] = []
        from_position: int | None = 0
        while from_position is not None:
            request = StreamPromiseRequest(
                stream=stream, epoch=view.epoch, ballot=ballot, from_position=from_position
            )
            reply = reply_if_granted(await self._call(member, request))
            if not isinstance(reply, StreamPromiseReply):
                return None
            snapshot = snapshot if reply.snapshot is None else reply.snapshot
            entries.extend(reply.entries)
            from_position = reply.next_position
        return ReplicaHistory(snapshot=snapshot, entries=tuple(entries))

    async def _call(self, member: Address, request: Message) -> Message:
        timeout_seconds = self._parameters.call_timeout_seconds
        return await self._transport.call(member, request, timeout_seconds=timeout_seconds)

    async def _call_majority(self, owned: OwnedStream, request: Message) -> None:
        async def call(member: Address) -> object | None:
            return reply_if_granted(await self._call(member, request))

        await call_majority(self._task_owner, owned.view.members, call)
