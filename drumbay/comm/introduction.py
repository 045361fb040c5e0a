"""Introduction of boots whose datagrams cannot be told from replays.

A datagram of an unknown boot with a strange wall-clock time is either a replay or comes from a
machine with a wrong clock. The receiver asks the sender's address over a connection, where
clocks do not matter, which boot runs there and how far it has counted.
"""

from collections.abc import Awaitable, Callable

from drumbay.comm.interface import Address, Message, TransportError
from drumbay.comm.session import TransportSession
from drumbay.identifiers import BootId

INTRODUCTION_TIMEOUT_SECONDS = 2.0
INTRODUCTION_INTERVAL_SECONDS = 5.0
MAX_RECENT_INTRODUCTIONS = 64


class BootQuestion(Message, frozen=True, kw_only=True):
    """Asks which boot runs at an address."""


class BootAnswer(Message, frozen=True, kw_only=True):
    """Answers a :class:`BootQuestion`.

    Attributes:
        boot_id: Boot of the process.
        counter: Counter of the last frame that it has signed.
    """

    boot_id: BootId
    counter: int


Ask = Callable[[Address, Message], Awaitable[Message]]


class Introductions:
    """Asks unfamiliar senders, and answers when asked."""

    def __init__(self, session: TransportSession, ask: Ask) -> None:
        """Create without introductions; ``ask`` makes a call."""
        self._session = session
        self._ask = ask
        self._asked_seconds: dict[Address, float] = {}

    async def answer(self, question: BootQuestion) -> Message:
        """Return this process's boot and counter."""
        return BootAnswer(boot_id=self._session.boot_id, counter=self._session.sealer.counter)

    def request(self, sender: Address) -> None:
        """Ask a sender, unless it was asked lately or many were.

        NOTE: anybody can replay old datagrams under any source address; the limits keep them
        from making this node call around.
        """
        now = self._session.clock.monotonic()
        oldest = now - INTRODUCTION_INTERVAL_SECONDS
        recent = {peer: at for peer, at in self._asked_seconds.items() if at > oldest}
        self._asked_seconds = recent
        if sender in recent or len(recent) >= MAX_RECENT_INTRODUCTIONS:
            return
        recent[sender] = now
        self._session.task_owner.spawn(self._introduce(sender), name="introduction")

    async def _introduce(self, sender: Address) -> None:
        try:
            answer = await self._ask(sender, BootQuestion())
        except TransportError:
            # Nobody there, or no node: the datagram was a replay.
            return
        if isinstance(answer, BootAnswer):
            self._session.datagram_opener.admit(answer.boot_id, answer.counter)
