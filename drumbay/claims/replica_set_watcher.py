"""Keeps a node's view of the replica set up to date."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from random import Random

from drumbay.claims.messages import FetchReplicaSet, KnownReplicaSet
from drumbay.claims.replica_set import (
    REPLICA_SET_KEY,
    ReplicaSet,
    ReplicaSetError,
    VersionedReplicaSet,
    decode_replica_set,
)
from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport, TransportError
from drumbay.exceptions import DeadlineExceededError, UnavailableError
from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValue, KeyValueStore, WatchBatch
from drumbay.observability.logs import log_event

INITIAL_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 10.0
FALLBACK_PEER_COUNT = 3
PEER_TIMEOUT_SECONDS = 1.0
GOSSIP_FANOUT = 3
PEER_POLL_INTERVAL_SECONDS = 10.0
"""How often a node that does not watch the key polls another node."""

WATCH_DURATION_SECONDS = 60.0
"""How long a watch runs before the node checks again whether it should watch."""

PeersView = Callable[[], tuple[Address, ...]]


class ReplicaSetWatcher:
    """Tracks the replica set: some nodes watch its key, the others learn it by gossip.

    The key-value store is rate-limited, so most nodes do not watch. A node that learns of
    a newer record sends it to a few others, which do the same (rumour mongering, Demers et al.
    1987, section 1.4), and nodes that do not watch poll another node at intervals.

    While the key-value store cannot be read, the node queries other nodes, so that it can claim
    keys even if it starts during an outage. A stale view does not affect safety: replicas reject
    claims of an old epoch.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        key_value_store: KeyValueStore,
        random: Random,
        peers: PeersView,
        may_watch: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a watcher without a replica set.

        Args:
            clock: Time of this process.
            transport: Exchanges replica sets with other nodes.
            key_value_store: Holds the replica set.
            random: Source of randomness for jitter and the choice of peers.
            peers: Returns the addresses of other live nodes.
            may_watch: Returns whether this node should watch the key.
        """
        self._clock = clock
        self._transport = transport
        self._key_value_store = key_value_store
        self._random = random
        self._peers = peers
        self._may_watch = may_watch
        self._current: VersionedReplicaSet | None = None
        transport.handle_calls(FetchReplicaSet, self._handle_fetch)
        transport.handle_datagrams(KnownReplicaSet, self._handle_gossip)

    @property
    def versioned(self) -> VersionedReplicaSet | None:
        """Return the newest known record; ``None`` before the first read."""
        return self._current

    def replica_set(self) -> ReplicaSet | None:
        """Return the newest known replica set; ``None`` if there is none."""
        return None if self._current is None else self._current.replica_set

    async def run(self) -> None:
        """Keep the replica set up to date until cancelled."""
        delay_seconds = INITIAL_RETRY_SECONDS
        while True:
            try:
                if self._may_watch():
                    await self._watch()
                else:
                    await self._poll_peer()
                delay_seconds = INITIAL_RETRY_SECONDS
            except UnavailableError as error:
                log_event("replica_set_watch_broken", level="WARNING", code=error.code)
                await self._query_peers(FALLBACK_PEER_COUNT)
                delay_seconds = min(2 * delay_seconds, MAX_RETRY_SECONDS)
            await self._clock.sleep(delay_seconds * self._random.uniform(0.5, 1.0))

    async def _watch(self) -> None:
        """Read the key and follow its changes for a limited time."""
        revision = await self.refresh()
        batches = self._key_value_store.watch_prefix(REPLICA_SET_KEY, Revision(revision + 1))
        seconds = WATCH_DURATION_SECONDS * self._random.uniform(0.75, 1.0)
        with suppress(DeadlineExceededError):
            await self._clock.wait_for(self._follow(batches), seconds)

    async def _poll_peer(self) -> None:
        """Query another node, and the key-value store if no record is known."""
        await self._query_peers(1)
        if self._current is None:
            await self.refresh()
        await self._clock.sleep(PEER_POLL_INTERVAL_SECONDS * self._random.uniform(0.5, 1.0))

    async def refresh(self) -> Revision:
        """Read the key; return the revision of the read.

        Raises:
            KeyValueError: The service could not be read.
        """
        result = await self._key_value_store.range_prefix(REPLICA_SET_KEY)
        items = {item.key: item for item in result.items}
        self._observe(items.get(REPLICA_SET_KEY))
        return result.revision

    async def _follow(self, batches: AsyncIterator[WatchBatch]) -> None:
        async for batch in batches:
            for event in batch.events:
                if event.key == REPLICA_SET_KEY and event.item is not None:
                    self._observe(event.item)

    async def _handle_fetch(self, _request: FetchReplicaSet) -> Message:
        return KnownReplicaSet(versioned=self._current)

    def _handle_gossip(self, _sender: Address, gossip: KnownReplicaSet) -> None:
        if gossip.versioned is not None:
            self._apply(gossip.versioned)

    def _others(self, count: int) -> list[Address]:
        """Return a random sample of the other nodes."""
        own = self._transport.address
        others = [peer for peer in self._peers() if peer != own]
        return self._random.sample(others, min(len(others), count))

    async def _query_peers(self, count: int) -> None:
        """Query a random sample of the other nodes for their newest record."""
        selected = self._others(count)
        await asyncio.gather(*(self._query_peer(peer) for peer in selected))

    async def _query_peer(self, peer: Address) -> None:
        try:
            reply = await self._transport.call(
                peer, FetchReplicaSet(), timeout_seconds=PEER_TIMEOUT_SECONDS
            )
        except TransportError:
            return
        if isinstance(reply, KnownReplicaSet) and reply.versioned is not None:
            self._apply(reply.versioned)

    def _observe(self, item: KeyValue | None) -> None:
        """Apply an item read from the key-value store."""
        if item is None:
            self._apply(VersionedReplicaSet(replica_set=None, mod_revision=Revision(0)))
            return
        try:
            replica_set = decode_replica_set(item.value)
        except ReplicaSetError as error:
            log_event("replica_set_invalid", level="ERROR", detail=str(error))
            return
        self._apply(VersionedReplicaSet(replica_set=replica_set, mod_revision=item.mod_revision))

    def _apply(self, versioned: VersionedReplicaSet) -> None:
        """Apply a record, and gossip it, unless it is known already."""
        if self._current is not None and versioned.mod_revision <= self._current.mod_revision:
            return
        self._current = versioned
        for peer in self._others(GOSSIP_FANOUT):
            self._transport.send_datagram(peer, KnownReplicaSet(versioned=versioned))
        replica_set = versioned.replica_set
        if replica_set is not None:
            log_event(
                "replica_set_changed",
                epoch=replica_set.epoch,
                phase=replica_set.phase.value,
                members=len(replica_set.members),
            )
