"""The other nodes that this one can call, and whether this one reaches the store.

Each node keeps its address in the store under a lease and greets the nodes that it finds there.
An entry whose node does not answer is passed over for a while; nothing depends on the list
being exact. Renewing the lease is also the heartbeat that tells whether connections to the
store still work: a waiting watch cannot tell a calm store from a silent one.
"""

import random
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.kv.interface import KeyValueError, KeyValueStore, LeaseNotFoundError, Put
from drumbay.observability.logs import log_event
from drumbay.peers.messages import Hello
from drumbay.peers.transport import PeerClient, PeerUnavailableError

PREFIX = "drumbay/nodes/"
HELLO_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 0.5
LEASE_SECONDS = 5.0
HEARTBEAT_SECONDS = 1.0
LONGEST_GAP_SECONDS = 2.5
"""A heartbeat that comes this long after the last one follows a pause of the process."""

REFRESH_SECONDS = 120.0
SETTLE_SECONDS = 2.0
"""Nodes that start together have written their entries by then."""

SILENCE_PAUSE_SECONDS = 2.0

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NetworkAddress)


class PeerDirectory:
    """Addresses of other nodes, the responsive ones first."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        peers: PeerClient,
        address: NetworkAddress,
        generator: random.Random,
        on_store_suspect: Callable[[], None],
    ) -> None:
        """Create a directory that knows nobody.

        Args:
            clock: Time.
            store: The key-value service, reached directly.
            peers: Calls to other nodes.
            address: This node.
            generator: Source of the order in which nodes are tried.
            on_store_suspect: Called when connections to the store may be dead.
        """
        self._clock = clock
        self._store = store
        self._peers = peers
        self._address = address
        self._generator = generator
        self._on_store_suspect = on_store_suspect
        self._known: dict[NetworkAddress, float] = {}

    def note(self, address: NetworkAddress) -> None:
        """Remember a node that has named itself."""
        if address != self._address:
            self._known[address] = float("-inf")

    def note_silent(self, address: NetworkAddress) -> None:
        """Ask a node that did not answer last for a while."""
        if address in self._known:
            self._known[address] = self._clock.monotonic() + SILENCE_PAUSE_SECONDS

    def candidates(self, count: int) -> list[NetworkAddress]:
        """Return some nodes to call, in the order to try them."""
        now = self._clock.monotonic()
        found = list(self._known)
        self._generator.shuffle(found)
        found.sort(key=lambda address: self._known[address] > now)
        return found[:count]

    def responsive(self) -> list[NetworkAddress]:
        """Return every node that is not known to be silent."""
        now = self._clock.monotonic()
        return [address for address, silent_until in self._known.items() if silent_until <= now]

    async def run(self) -> None:
        """Find the other nodes now and again, until cancelled."""
        await self._clock.sleep(SETTLE_SECONDS)
        while True:
            await self._find()
            await self._clock.sleep(REFRESH_SECONDS)

    async def run_heartbeat(self) -> None:
        """Keep this node's entry under its lease, until cancelled."""
        while True:
            try:
                lease_id = await self._register()
                await self._keep(lease_id)
            except LeaseNotFoundError:
                continue
            except KeyValueError:
                await self._clock.sleep(RETRY_SECONDS)

    async def _register(self) -> int:
        lease = await self._store.grant_lease(LEASE_SECONDS)
        entry = Put(
            key=f"{PREFIX}{self._address}",
            value=_encoder.encode(self._address),
            lease_id=lease.lease_id,
        )
        await self._store.transact((), (entry,))
        return lease.lease_id

    async def _keep(self, lease_id: int) -> None:
        """Renew the lease until it is gone."""
        beaten_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(HEARTBEAT_SECONDS)
            if self._clock.monotonic() - beaten_at > LONGEST_GAP_SECONDS:
                self._on_store_suspect()
            try:
                await self._store.keep_lease_alive(lease_id)
            except LeaseNotFoundError:
                raise
            except KeyValueError:
                self._on_store_suspect()
            beaten_at = self._clock.monotonic()

    async def _find(self) -> None:
        try:
            found = await self._store.range_prefix(PREFIX)
        except KeyValueError as error:
            log_event("peers_not_read", level="WARNING", error=error.code)
            return
        for item in found.items:
            address = _decoder.decode(item.value)
            if address in self._known or address == self._address:
                continue
            self.note(address)
            await self._greet(address)

    async def _greet(self, address: NetworkAddress) -> None:
        try:
            await self._peers.call(address, Hello(address=self._address), HELLO_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            self.note_silent(address)
