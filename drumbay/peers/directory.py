"""Directory of the nodes in the cluster, and this node's own registration.

Each node registers its address in the store under a lease. The entries are distributed as a feed,
so that every node has a copy of them. Unresponsive nodes are skipped for a while; callers must
tolerate an inaccurate list. Renewing the lease doubles as the heartbeat that shows whether this
node reaches the store, and when the store has recovered. Each renewal uses a new connection, so its
success says nothing about connections that were already open.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from contextlib import suppress

import msgspec

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import (
    KeyValue,
    KeyValueError,
    KeyValueStore,
    LeaseNotFoundError,
    Put,
    WatchEvent,
)
from drumbay.kv.mirror import PrefixFeed
from drumbay.kv.recovery_signal import RecoverySignal
from drumbay.observability.logs import log_event
from drumbay.peers.watchers import RegisteredNode, WatcherRanking
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.placement.topology import Distance, Topology

NODE_PREFIX = "drumbay/nodes/"
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
"""Limits billed calls when the leases of all nodes expire in one outage."""

LEASE_SECONDS = 20.0
"""Long enough to survive most outages of the store. The entry of a crashed node is harmless,
since unresponsive nodes are skipped."""

WATCHER_HEARTBEAT_SECONDS = 1.0
FOLLOWER_HEARTBEAT_SECONDS = 6.0
"""Allows three renewals per lease. Each renewal is a billed call, and followers learn of a store
outage from the watchers."""

MAX_HEARTBEAT_DELAY_SECONDS = 1.5
"""A heartbeat delayed by more than this indicates that the process was paused."""

UNRESPONSIVE_SECONDS = 2.0
"""How long a node that failed to reply is tried last."""

UNREGISTERED_SECONDS = 30.0
"""How long an unregistered node is kept as a last resort: leases also expire while nodes run."""

FEED_DEBOUNCE_SECONDS = 1.0
"""Batches the changes of a rolling restart; no caller needs new entries sooner."""


class NodeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Stored entry of a node; earlier releases store no zone and ignore it."""

    host: str
    port: int
    zone: str = ""

    @property
    def address(self) -> NetworkAddress:
        """Return the node's address."""
        return NetworkAddress(self.host, self.port)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NodeEntry)


class PeerDirectory:
    """Addresses of other nodes, with responsive nodes first.

    Attributes:
        ranking: The registered nodes, and which of them are watchers.
        is_registered: Set once this node has registered.
        is_unlisted: Whether other nodes no longer know of this one, as it is about to leave.
        store_recovered: Tells when the store answers this node again.
    """

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        address: NetworkAddress,
        topology: Topology,
        generator: random.Random,
        on_store_suspect: Callable[[], None],
    ) -> None:
        """Create an empty directory.

        Args:
            clock: Time source.
            store: The key-value store, reached directly.
            address: Address of this node.
            topology: The zones and regions, and the zone of this node.
            generator: Random source for shuffling candidates.
            on_store_suspect: Called when connections to the store may be dead.
        """
        self._clock = clock
        self._store = store
        self._address = address
        self._topology = topology
        self._zones: dict[NetworkAddress, str] = {address: topology.zone}
        self._generator = generator
        self._on_store_suspect = on_store_suspect
        self._unresponsive_until: dict[NetworkAddress, float] = {}
        self._registered: dict[NetworkAddress, Revision] = {}
        self._lease_id: int | None = None
        self._leaving = False
        self._role_changed = asyncio.Event()
        self.is_registered = asyncio.Event()
        self.is_unlisted = False
        self.ranking = WatcherRanking(nodes=())
        self.store_recovered = RecoverySignal()
        self._backoff = Backoff(
            generator, first_seconds=FIRST_RETRY_SECONDS, max_seconds=MAX_RETRY_SECONDS
        )

    # Feed of node entries

    @property
    def feed(self) -> PrefixFeed:
        """Return the feed that keeps the node entries up to date."""
        return PrefixFeed(
            prefix=NODE_PREFIX,
            on_snapshot=self._apply_snapshot,
            on_event=self._apply_event,
            debounce_seconds=FEED_DEBOUNCE_SECONDS,
            counts_toward_age=False,
        )

    def _apply_snapshot(self, items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
        del unseen_seconds
        entries = [(_decoder.decode(item.value), item.create_revision) for item in items]
        found = {entry.address for entry, _ in entries}
        for address in [known for known in self._registered if known not in found]:
            self._remove_entry(address)
        for entry, revision in entries:
            self._add_entry(entry, revision)
        self._update_ranking()

    def _apply_event(self, event: WatchEvent) -> None:
        if event.item is None:
            self._remove_entry(NetworkAddress.parse(event.key.removeprefix(NODE_PREFIX)))
        else:
            self._add_entry(_decoder.decode(event.item.value), event.item.create_revision)
        self._update_ranking()

    def _add_entry(self, entry: NodeEntry, revision: Revision) -> None:
        address = entry.address
        self._zones[address] = entry.zone
        if self._registered.get(address) == revision:
            return
        self._registered[address] = revision
        if address != self._address:
            self._unresponsive_until[address] = float("-inf")

    def _remove_entry(self, address: NetworkAddress) -> None:
        if self._registered.pop(address, None) is not None and address != self._address:
            self._unresponsive_until[address] = self._clock.monotonic() + UNREGISTERED_SECONDS

    def _update_ranking(self) -> None:
        """Update the ranking; keep the last one if all entries have expired."""
        if not self._registered:
            return
        was_watcher = self.ranking.is_watcher(self._address)
        self.ranking = WatcherRanking.of(
            RegisteredNode(registered_at=revision, address=address)
            for address, revision in self._registered.items()
        )
        if self.ranking.is_watcher(self._address) != was_watcher:
            self._role_changed.set()
        self._prune_unregistered()

    def _prune_unregistered(self) -> None:
        now = self._clock.monotonic()
        for address, unresponsive_until in list(self._unresponsive_until.items()):
            if address not in self._registered and unresponsive_until <= now:
                del self._unresponsive_until[address]
                self._zones.pop(address, None)

    # Peer selection

    def mark_unresponsive(self, address: NetworkAddress) -> None:
        """Put an unresponsive node last among the candidates for a while."""
        if address in self._unresponsive_until:
            until = self._clock.monotonic() + UNRESPONSIVE_SECONDS
            self._unresponsive_until[address] = max(self._unresponsive_until[address], until)

    def is_unresponsive(self, address: NetworkAddress) -> bool:
        """Return whether a node recently failed to reply."""
        unresponsive_until = self._unresponsive_until.get(address, float("-inf"))
        return unresponsive_until > self._clock.monotonic()

    def candidates(self, count: int, regions: AllowedRegions = ANY_REGION) -> list[NetworkAddress]:
        """Return up to ``count`` nodes in the given regions, in the order in which to try them."""
        found = [address for address in self._unresponsive_until if self.is_in(address, regions)]
        self._generator.shuffle(found)
        found.sort(key=self.is_unresponsive)
        found = self._with_near_first(found, count)
        return found[:count]

    def responsive_candidates(self, count: int) -> list[NetworkAddress]:
        """Return up to ``count`` nodes that replied to their last calls, in random order."""
        return [node for node in self.candidates(count) if not self.is_unresponsive(node)]

    def _with_near_first(self, found: list[NetworkAddress], count: int) -> list[NetworkAddress]:
        """Put responsive near nodes first, but a distant one last among ``count``.

        A whole region may be cut off from the store.
        """
        distant = [a for a in found if not self.is_near(a) and not self.is_unresponsive(a)]
        near = [a for a in found if self.is_near(a) and not self.is_unresponsive(a)]
        first = near[: count - 1] + distant[:1]
        return first + [address for address in found if address not in first]

    def responsive_among(self, addresses: Iterable[NetworkAddress]) -> list[NetworkAddress]:
        """Return the given nodes without this one and without unresponsive ones."""
        return [a for a in addresses if a != self._address and not self.is_unresponsive(a)]

    def responsive(self) -> list[NetworkAddress]:
        """Return every other node that is not known to be unresponsive."""
        return [
            address for address in self._unresponsive_until if not self.is_unresponsive(address)
        ]

    # Zones and regions of nodes

    def zone_of(self, address: NetworkAddress) -> str:
        """Return the zone of a node, empty if it is not known."""
        return self._zones.get(address, "")

    def is_near(self, address: NetworkAddress) -> bool:
        """Return whether a node is in the region of this one, or its region is not known."""
        return self._topology.distance_to(self.zone_of(address)) is not Distance.OTHER_REGION

    def is_in(self, address: NetworkAddress, regions: AllowedRegions) -> bool:
        """Return whether a node is in one of the given regions, as far as is known."""
        return regions.permits(self._topology.region_of(self.zone_of(address)))

    def responsive_in(self, regions: AllowedRegions) -> list[NetworkAddress]:
        """Return every other node in the given regions that is not known to be unresponsive."""
        return [address for address in self.responsive() if self.is_in(address, regions)]

    # Own registration

    async def run_heartbeat(self) -> None:
        """Keep this node registered until cancelled."""
        while not self._leaving:
            try:
                self._lease_id = await self._register()
                await self._renew_lease_until_lost(self._lease_id)
            except LeaseNotFoundError:
                continue
            except KeyValueError:
                self.store_recovered.record_failure()
                await self.store_recovered.wait(self._clock, self._backoff.next_delay_seconds())

    async def leave(self) -> None:
        """Remove this node's entry if it is a watcher, so that another node replaces it.

        Entries of followers are left to expire or to be rewritten after a restart.
        """
        self._leaving = True
        if self._lease_id is None or not self.ranking.is_watcher(self._address):
            return
        self.is_unlisted = True
        try:
            await self._store.revoke_lease(self._lease_id)
        except KeyValueError as error:
            log_event("node_entry_not_removed", level="WARNING", error=error.code)

    async def _register(self) -> int:
        lease = await self._store.grant_lease(LEASE_SECONDS)
        entry = Put(
            key=f"{NODE_PREFIX}{self._address}",
            value=_encoder.encode(
                NodeEntry(
                    host=self._address.host, port=self._address.port, zone=self._topology.zone
                )
            ),
            lease_id=lease.lease_id,
        )
        await self._store.transact((), (entry,))
        self.is_registered.set()
        self._backoff.reset()
        self.store_recovered.record_success()
        return lease.lease_id

    async def _renew_lease_until_lost(self, lease_id: int) -> None:
        """Renew the lease until it has expired."""
        last_heartbeat_at = self._clock.monotonic()
        while True:
            interval_seconds = self._heartbeat_seconds()
            self._role_changed.clear()
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(self._role_changed.wait(), interval_seconds)
            renewal_started_at = self._clock.monotonic()
            if (
                renewal_started_at - last_heartbeat_at
                > interval_seconds + MAX_HEARTBEAT_DELAY_SECONDS
            ):
                self._on_store_suspect()
            try:
                await self._store.keep_lease_alive(lease_id)
                self.store_recovered.record_success()
            except LeaseNotFoundError:
                raise
            except KeyValueError:
                self.store_recovered.record_failure()
                self._on_store_suspect()
            last_heartbeat_at = self._clock.monotonic()

    def _heartbeat_seconds(self) -> float:
        is_watcher = self.ranking.is_watcher(self._address)
        return WATCHER_HEARTBEAT_SECONDS if is_watcher else FOLLOWER_HEARTBEAT_SECONDS
