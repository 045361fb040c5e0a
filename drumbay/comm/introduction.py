"""Verification of boots whose datagrams cannot be distinguished from replays.

A datagram of an unknown boot with an implausible timestamp is either a replay or comes from a
machine with a wrong clock. The receiver queries the sender's address over a connection, where
clocks do not matter, for its current boot id and frame counter.
"""

from collections.abc import Awaitable, Callable

from drumbay.comm.interface import Address, Message, TransportError
from drumbay.comm.session import TransportSession
from drumbay.identifiers import BootId

BOOT_QUERY_TIMEOUT_SECONDS = 2.0
BOOT_QUERY_INTERVAL_SECONDS = 5.0
MAX_RECENT_BOOT_QUERIES = 64


class BootQuestion(Message, frozen=True, kw_only=True):
    """Request for the boot id and frame counter of a process."""


class BootAnswer(Message, frozen=True, kw_only=True):
    """Reply to a :class:`BootQuestion`.

    Attributes:
        boot_id: Boot of the process.
        counter: Counter of the last frame signed by the process.
    """

    boot_id: BootId
    counter: int


CallPeer = Callable[[Address, Message], Awaitable[Message]]


class BootVerifier:
    """Queries the boot ids of unknown senders, and replies to such queries."""

    def __init__(self, session: TransportSession, call_peer: CallPeer) -> None:
        """Create a verifier without pending queries; ``call_peer`` makes a call."""
        self._session = session
        self._call_peer = call_peer
        self._last_query_at: dict[Address, float] = {}

    async def reply(self, question: BootQuestion) -> Message:
        """Return this process's boot id and counter."""
        return BootAnswer(boot_id=self._session.boot_id, counter=self._session.sealer.counter)

    def request(self, sender: Address) -> None:
        """Query a sender, unless it or too many others were queried recently.

        NOTE: the rate limits keep attackers that replay datagrams with forged source addresses
        from making this node call arbitrary hosts.
        """
        now = self._session.clock.monotonic()
        oldest = now - BOOT_QUERY_INTERVAL_SECONDS
        recent = {peer: at for peer, at in self._last_query_at.items() if at > oldest}
        self._last_query_at = recent
        if sender in recent or len(recent) >= MAX_RECENT_BOOT_QUERIES:
            return
        recent[sender] = now
        self._session.task_owner.spawn(self._query_boot(sender), name="introduction")

    async def _query_boot(self, sender: Address) -> None:
        try:
            reply = await self._call_peer(sender, BootQuestion())
        except TransportError:
            # No node runs at this address: the datagram was a replay.
            return
        if isinstance(reply, BootAnswer):
            self._session.datagram_opener.accept_boot(reply.boot_id, reply.counter)
