"""The other nodes that this one can call, and whether this one reaches the store.

Each node keeps its address in the store under a lease. The entries are a feed like others, so
that every node knows them. An entry whose node does not answer is passed over for a while;
nothing depends on the list being exact. Renewing the lease is also the heartbeat that tells
whether this node reaches the store, and when the store is back. It tells nothing of other
connections: one that is open may be silent while the heartbeat, on a new one, is answered.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from contextlib import suppress

import msgspec

from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
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
from drumbay.kv.return_signal import ReturnSignal
from drumbay.observability.logs import log_event
from drumbay.peers.watchers import RegisteredNode, WatcherRanking

PREFIX = "drumbay/nodes/"
FIRST_RETRY_SECONDS = 0.5
LONGEST_RETRY_SECONDS = 4.0
"""Entries of all nodes may lapse in one outage; each try to write one anew is a priced call."""

LEASE_SECONDS = 20.0
"""An entry outlives most outages of the store. Nobody waits for the entry of a dead node to go: a
node that does not answer is passed over."""

HEARTBEAT_SECONDS = 1.0
FOLLOWER_HEARTBEAT_SECONDS = 6.0
"""Three in the time of a lease. A node that does not watch the store learns of its silence from
those that do; at 165 nodes, renewals each 2.5 s were an eighth of all priced calls."""

LONGEST_EXTRA_GAP_SECONDS = 1.5
"""A heartbeat that comes so much later than planned follows a pause of the process."""

SILENCE_PAUSE_SECONDS = 2.0
GONE_PAUSE_SECONDS = 30.0
"""Entries go when leases run out in an outage, while their nodes live on."""

FEED_PAUSE_SECONDS = 1.0
"""Many nodes come and go together when machines are restarted; nothing waits for their entries."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NetworkAddress)


class PeerDirectory:
    """Addresses of other nodes, the responsive ones first."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        address: NetworkAddress,
        generator: random.Random,
        on_store_suspect: Callable[[], None],
    ) -> None:
        """Create a directory that knows nobody.

        Args:
            clock: Time.
            store: The key-value service, reached directly.
            address: This node.
            generator: Source of the order in which nodes are tried.
            on_store_suspect: Called when connections to the store may be dead.
        """
        self._clock = clock
        self._store = store
        self._address = address
        self._generator = generator
        self._on_store_suspect = on_store_suspect
        self._silent_until: dict[NetworkAddress, float] = {}
        self._registered: dict[NetworkAddress, Revision] = {}
        self._lease_id: int | None = None
        self._leaving = False
        self._role_changed = asyncio.Event()
        self.ranking = WatcherRanking(nodes=())
        self.store_returned = ReturnSignal()
        self._backoff = Backoff(
            generator, first_seconds=FIRST_RETRY_SECONDS, longest_seconds=LONGEST_RETRY_SECONDS
        )

    # The feed of entries

    @property
    def feed(self) -> PrefixFeed:
        """Return the feed of the nodes' entries."""
        return PrefixFeed(
            prefix=PREFIX,
            on_snapshot=self._take_snapshot,
            on_event=self._take_event,
            pause_seconds=FEED_PAUSE_SECONDS,
            tells_age=False,
        )

    def _take_snapshot(self, items: tuple[KeyValue, ...], unseen_seconds: float) -> None:
        del unseen_seconds
        found = {_decoder.decode(item.value): item.create_revision for item in items}
        for address in [known for known in self._registered if known not in found]:
            self._note_gone(address)
        for address, revision in found.items():
            self._note_registered(address, revision)
        self._rank()

    def _take_event(self, event: WatchEvent) -> None:
        if event.item is None:
            self._note_gone(NetworkAddress.parse(event.key.removeprefix(PREFIX)))
        else:
            address = _decoder.decode(event.item.value)
            self._note_registered(address, event.item.create_revision)
        self._rank()

    def _note_registered(self, address: NetworkAddress, revision: Revision) -> None:
        if self._registered.get(address) == revision:
            return
        self._registered[address] = revision
        if address != self._address:
            self._silent_until[address] = float("-inf")

    def _note_gone(self, address: NetworkAddress) -> None:
        if self._registered.pop(address, None) is not None and address != self._address:
            self._silent_until[address] = self._clock.monotonic() + GONE_PAUSE_SECONDS

    def _rank(self) -> None:
        """Rank the nodes anew, unless all entries have gone: then the last ones stand."""
        if not self._registered:
            return
        was_watcher = self.ranking.is_watcher(self._address)
        self.ranking = WatcherRanking.of(
            RegisteredNode(registered_at=revision, address=address)
            for address, revision in self._registered.items()
        )
        if self.ranking.is_watcher(self._address) != was_watcher:
            self._role_changed.set()
        self._forget_long_gone()

    def _forget_long_gone(self) -> None:
        now = self._clock.monotonic()
        for address, silent_until in list(self._silent_until.items()):
            if address not in self._registered and silent_until <= now:
                del self._silent_until[address]

    # Nodes to call

    def note_silent(self, address: NetworkAddress) -> None:
        """Ask a node that did not answer last for a while."""
        if address in self._silent_until:
            until = self._clock.monotonic() + SILENCE_PAUSE_SECONDS
            self._silent_until[address] = max(self._silent_until[address], until)

    def is_silent(self, address: NetworkAddress) -> bool:
        """Return whether a node did not answer lately."""
        silent_until = self._silent_until.get(address, float("-inf"))
        return silent_until > self._clock.monotonic()

    def candidates(self, count: int) -> list[NetworkAddress]:
        """Return some nodes to call, in the order to try them."""
        found = list(self._silent_until)
        self._generator.shuffle(found)
        found.sort(key=self.is_silent)
        return found[:count]

    def others_responsive(self, addresses: Iterable[NetworkAddress]) -> list[NetworkAddress]:
        """Return those of some nodes that are not this one, nor known to be silent."""
        return [a for a in addresses if a != self._address and not self.is_silent(a)]

    def responsive(self) -> list[NetworkAddress]:
        """Return every node that is not known to be silent."""
        return [address for address in self._silent_until if not self.is_silent(address)]

    # This node's entry

    async def run_heartbeat(self) -> None:
        """Keep this node's entry under its lease, until cancelled."""
        while not self._leaving:
            try:
                self._lease_id = await self._register()
                await self._keep(self._lease_id)
            except LeaseNotFoundError:
                continue
            except KeyValueError:
                self.store_returned.note_failure()
                await self.store_returned.wait(self._clock, self._backoff.next_delay_seconds())

    async def leave(self) -> None:
        """Remove this node's entry if it watches, so that another node does in its place.

        Other entries run out by themselves, or are written anew by a restart within seconds.
        """
        self._leaving = True
        if self._lease_id is None or not self.ranking.is_watcher(self._address):
            return
        try:
            await self._store.revoke_lease(self._lease_id)
        except KeyValueError as error:
            log_event("node_entry_not_removed", level="WARNING", error=error.code)

    async def _register(self) -> int:
        lease = await self._store.grant_lease(LEASE_SECONDS)
        entry = Put(
            key=f"{PREFIX}{self._address}",
            value=_encoder.encode(self._address),
            lease_id=lease.lease_id,
        )
        await self._store.transact((), (entry,))
        self._backoff.reset()
        self.store_returned.note_answer()
        return lease.lease_id

    async def _keep(self, lease_id: int) -> None:
        """Renew the lease until it is gone."""
        beaten_at = self._clock.monotonic()
        while True:
            interval_seconds = self._heartbeat_seconds()
            self._role_changed.clear()
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(self._role_changed.wait(), interval_seconds)
            asked_at = self._clock.monotonic()
            if asked_at - beaten_at > interval_seconds + LONGEST_EXTRA_GAP_SECONDS:
                self._on_store_suspect()
            try:
                await self._store.keep_lease_alive(lease_id)
                self.store_returned.note_answer()
            except LeaseNotFoundError:
                raise
            except KeyValueError:
                self.store_returned.note_failure()
                self._on_store_suspect()
            beaten_at = self._clock.monotonic()

    def _heartbeat_seconds(self) -> float:
        is_watcher = self.ranking.is_watcher(self._address)
        return HEARTBEAT_SECONDS if is_watcher else FOLLOWER_HEARTBEAT_SECONDS
