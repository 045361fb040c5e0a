"""Majority reads and writes of the configuration's replicas."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar, cast

from drumbay.comm.interface import Message, Transport, TransportError
from drumbay.configuration.errors import ReplicaMajorityError
from drumbay.configuration.messages import (
    ConfigurationUpdate,
    PeerView,
    ReplicaRead,
    ReplicaReadReply,
    ReplicaSet,
    ReplicaStore,
    ReplicaStoreReply,
)
from drumbay.configuration.replica import ConfigurationReplica
from drumbay.configuration.replica_set import has_majority
from drumbay.configuration.state import ConfigurationState, replica_set_in
from drumbay.identifiers import NodeId
from drumbay.tasks import TaskOwner

REPLICA_CALL_TIMEOUT_SECONDS = 6.0
"""Exceeds the round trip of a network with delays of seconds. A shorter timeout would take such a
network for a partition, and no change would ever be stored by a majority."""

ReplyT = TypeVar("ReplyT", bound=Message)


class ReplicaClient:
    """Reads and writes the replicas; accesses this node's own replica directly."""

    def __init__(
        self,
        *,
        node_id: NodeId,
        transport: Transport,
        members: Callable[[], tuple[PeerView, ...]],
        own_replica: ConfigurationReplica | None,
        task_owner: TaskOwner,
    ) -> None:
        """Create a client that finds the replicas' addresses in ``members``."""
        self._node_id = node_id
        self._transport = transport
        self._members = members
        self._own_replica = own_replica
        self._task_owner = task_owner

    async def store(self, state: ConfigurationState, update: ConfigurationUpdate) -> None:
        """Store an update on a majority of the replicas.

        Args:
            state: Applied state that the update builds on.
            update: An update that ``state`` could apply.

        Raises:
            ReplicaMajorityError: Too few replicas acknowledged.
        """
        replica_set = replica_set_in(update) or state.replica_set
        if not replica_set.members:
            return
        targets = sorted({*replica_set.members, *replica_set.previous})
        acknowledged = await self._store_until(
            state, update, targets, lambda voters: self._has_majority(replica_set, voters)
        )
        if not self._has_majority(replica_set, acknowledged):
            raise ReplicaMajorityError(
                f"revision {update.revision}: {len(acknowledged)} of {len(targets)} stored it"
            )

    async def store_on_one(self, state: ConfigurationState, update: ConfigurationUpdate) -> bool:
        """Store an update on at least one replica; return whether one has stored it.

        Arguments as for :meth:`store`.
        """
        replica_set = replica_set_in(update) or state.replica_set
        targets = sorted({*replica_set.members, *replica_set.previous})
        return bool(await self._store_until(state, update, targets, lambda voters: bool(voters)))

    async def _store_until(
        self,
        state: ConfigurationState,
        update: ConfigurationUpdate,
        targets: Sequence[NodeId],
        has_enough: Callable[[Sequence[NodeId]], bool],
    ) -> list[NodeId]:
        """Store on all targets concurrently until enough have acknowledged; return those."""
        updated_state = state.copy()
        updated_state.apply(update)
        snapshot = updated_state.snapshot()
        acknowledged: list[NodeId] = []

        async def call_replica(node_id: NodeId) -> None:
            reply = await self._store_on(node_id, update)
            if reply.revision < update.revision:
                reply = await self._store_on(node_id, snapshot)
            if reply.revision >= update.revision:
                acknowledged.append(node_id)

        await self._call_until(targets, call_replica, lambda: has_enough(acknowledged))
        return acknowledged

    async def read(self, state: ConfigurationState) -> ConfigurationUpdate | None:
        """Return the newest update among the replies of a majority of the replicas.

        Only one replica may hold it, so the caller stores it on a majority before it applies
        it (Attiya, Bar-Noy and Dolev, "Sharing Memory Robustly in Message-Passing Systems",
        1995: a reader writes back what it read).

        Returns:
            ``None`` if no replica has anything newer than ``state``.

        Raises:
            ReplicaMajorityError: Too few replicas responded, or no replica set is known.
        """
        replies: list[ReplicaReadReply] = []

        async def call_replica(node_id: NodeId) -> None:
            request = ReplicaRead(after_revision=state.revision)
            replies.append(await self._read_on(node_id, request))

        known = {peer.node_id for peer in self._members() if peer.has_data_folder}
        targets = sorted(known | {*state.replica_set.members, *state.replica_set.previous})
        await self._call_until(
            targets, call_replica, lambda: self._is_majority_read(state, replies)
        )
        if not self._is_majority_read(state, replies):
            raise ReplicaMajorityError(f"{len(replies)} of {len(targets)} replicas answered")
        return _newest_update(replies)

    def _has_majority(self, replica_set: ReplicaSet, voters: Sequence[NodeId]) -> bool:
        return has_majority(replica_set, voters)

    def _is_majority_read(
        self, state: ConfigurationState, replies: Sequence[ReplicaReadReply]
    ) -> bool:
        """Return whether a majority of the newest known replica set has replied."""
        replica_set = state.replica_set
        newest = _newest_update(replies)
        if newest is not None:
            replica_set = replica_set_in(newest) or replica_set
        if not replica_set.members:
            return False
        return self._has_majority(replica_set, self._voters(replies))

    def _voters(self, replies: Sequence[ReplicaReadReply]) -> list[NodeId]:
        return [reply.node_id for reply in replies if reply.complete]

    async def _store_on(self, node_id: NodeId, update: ConfigurationUpdate) -> ReplicaStoreReply:
        request = ReplicaStore(update=update)
        if node_id == self._node_id and self._own_replica is not None:
            return await self._own_replica.store(request)
        return cast(ReplicaStoreReply, await self._call(node_id, request))

    async def _read_on(self, node_id: NodeId, request: ReplicaRead) -> ReplicaReadReply:
        if node_id == self._node_id and self._own_replica is not None:
            return self._own_replica.read(request)
        return cast(ReplicaReadReply, await self._call(node_id, request))

    async def _call(self, node_id: NodeId, request: Message) -> Message:
        for peer in self._members():
            if peer.node_id == node_id:
                return await self._transport.call(
                    peer.address, request, timeout_seconds=REPLICA_CALL_TIMEOUT_SECONDS
                )
        raise ReplicaMajorityError(f"replica {node_id} is not a live member")

    async def _call_until(
        self,
        targets: Sequence[NodeId],
        call_replica: Callable[[NodeId], Awaitable[None]],
        is_done: Callable[[], bool],
    ) -> bool:
        """Call all targets concurrently until ``is_done`` or all calls have ended."""
        finished = asyncio.Event()
        pending_count = len(targets)

        async def call_and_count(node_id: NodeId) -> None:
            nonlocal pending_count
            try:
                await call_replica(node_id)
            except (TransportError, ReplicaMajorityError, OSError):
                pass  # A failed call counts as no acknowledgement.
            finally:
                pending_count -= 1
                if pending_count == 0 or is_done():
                    finished.set()

        for node_id in targets:
            self._task_owner.spawn(call_and_count(node_id), f"ask replica {node_id}")
        if targets:
            await finished.wait()
        return is_done()


def _newest_update(replies: Sequence[ReplicaReadReply]) -> ConfigurationUpdate | None:
    newest: ConfigurationUpdate | None = None
    for reply in replies:
        update = reply.update
        if update is not None and (newest is None or update.revision > newest.revision):
            newest = update
    return newest
