"""Messages between the owner of a stream and the replicas of its log."""

import msgspec

from drumbay.comm.interface import Message
from drumbay.identifiers import BootId, Epoch, Fence, StreamName


class Ballot(msgspec.Struct, frozen=True, order=True):
    """Number of one recovery of a stream's log, as a Paxos ballot.

    The fence of the ownership lease orders ballots. The boot identity keeps two ballots
    apart even if the key-value service ever granted one fence twice, and the recovery
    number keeps two recoveries of one owner apart: they may read different majorities and
    so propose different entries at a position, which one ballot must never do.

    Attributes:
        fence: Fence of the ownership lease.
        boot_id: Run of the owner's process.
        recovery: Number of the recovery in that run.
    """

    fence: Fence
    boot_id: BootId
    recovery: int = 0


NO_BALLOT = Ballot(Fence(-1), BootId(""))
"""Lower than every ballot of an owner."""


class AcceptedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An encoded log entry and the ballot under which a replica accepted it."""

    position: int
    ballot: Ballot
    entry: bytes


class StreamRequest(Message, frozen=True, kw_only=True):
    """Base class of the requests of an owner."""

    stream: StreamName
    epoch: Epoch
    ballot: Ballot


class StreamPromiseRequest(StreamRequest, frozen=True, kw_only=True):
    """Ask a replica to refuse lower ballots for good (phase 1a)."""

    from_position: int


class StreamPromiseReply(Message, frozen=True, kw_only=True):
    """Answer to a promise request (phase 1b); one page of the accepted entries.

    Attributes:
        granted: Whether the replica promised.
        promised: Highest ballot that the replica has promised.
        snapshot: Encoded state below the retained entries, if any were trimmed.
        entries: Accepted entries in order of position.
        next_position: Where the next page starts; ``None`` on the last page.
    """

    granted: bool
    promised: Ballot
    snapshot: bytes | None = None
    entries: tuple[AcceptedEntry, ...] = ()
    next_position: int | None = None


class StreamAcceptRequest(StreamRequest, frozen=True, kw_only=True):
    """Ask a replica to accept an entry at a position (phase 2a)."""

    position: int
    entry: bytes


class StreamConfirmRequest(StreamRequest, frozen=True, kw_only=True):
    """Ask a replica whether the ballot is still the newest, before a read is served."""


class StreamTrimRequest(StreamRequest, frozen=True, kw_only=True):
    """Replace the chosen entries below a position by a snapshot of their effect."""

    below_position: int
    snapshot: bytes


class StreamReply(Message, frozen=True, kw_only=True):
    """Answer to an accept, confirm or trim request."""

    granted: bool
    promised: Ballot
