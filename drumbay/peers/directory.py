"""The other nodes that this one can call.

Each node writes its address into the store once, and greets the nodes that it finds there.
An entry whose node does not answer is passed over for a while; nothing depends on the list
being exact.
"""

import random

import msgspec

from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.kv.interface import KeyValueError, KeyValueStore, Put
from drumbay.observability.logs import log_event
from drumbay.peers.messages import Hello
from drumbay.peers.transport import PeerClient, PeerUnavailableError

PREFIX = "drumbay/nodes/"
HELLO_TIMEOUT_SECONDS = 0.5
FIRST_RETRY_SECONDS = 0.5
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
    ) -> None:
        """Create a directory that knows nobody."""
        self._clock = clock
        self._store = store
        self._peers = peers
        self._address = address
        self._generator = generator
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
        """Register, then find the others now and again, until cancelled."""
        await self._register()
        await self._clock.sleep(SETTLE_SECONDS)
        while True:
            await self._find()
            await self._clock.sleep(REFRESH_SECONDS)

    async def _register(self) -> None:
        entry = Put(key=f"{PREFIX}{self._address}", value=_encoder.encode(self._address))
        while True:
            try:
                await self._store.transact((), (entry,))
                return
            except KeyValueError:
                await self._clock.sleep(FIRST_RETRY_SECONDS)

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
