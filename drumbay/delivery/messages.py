"""Messages between the owner of a stream and the replicas of its log."""

import msgspec

from drumbay.comm.interface import Message
from drumbay.identifiers import BootId, Epoch, Fence, StreamName


class Ballot(msgspec.Struct, frozen=True, order=True):
    """Paxos ballot number of one recovery of a stream's log.

    Ballots are ordered by the fence of the ownership lease. The boot identity distinguishes ballots
    even if the key-value store granted a fence twice. The recovery number distinguishes the
    recoveries of one owner: they may read different majorities and therefore propose different
    entries at a position, which a single ballot must never do.

    Attributes:
        fence: Fence of the ownership lease.
        boot_id: Identity of the owner's process run.
        recovery: Number of the recovery in that run.
    """

    fence: Fence
    boot_id: BootId
    recovery: int = 0


NO_BALLOT = Ballot(Fence(-1), BootId(""))
"""Lower than the ballot of any owner."""


class AcceptedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An encoded log entry and the ballot under which a replica accepted it."""

    position: int
    ballot: Ballot
    entry: bytes


class StreamRequest(Message, frozen=True, kw_only=True):
    """Base class of requests from the owner of a stream."""

    stream: StreamName
    epoch: Epoch
    ballot: Ballot


class StreamPromiseRequest(StreamRequest, frozen=True, kw_only=True):
    """Requests a promise to reject lower ballots (phase 1a)."""

    from_position: int


class StreamPromiseReply(Message, frozen=True, kw_only=True):
    """Reply to a promise request (phase 1b), with one page of the accepted entries.

    Attributes:
        granted: Whether the replica promised.
        promised: Highest ballot that the replica has promised.
        snapshot: Encoded state below the retained entries, if any were trimmed.
        entries: Accepted entries in order of position.
        next_position: First position of the next page; ``None`` on the last page.
    """

    granted: bool
    promised: Ballot
    snapshot: bytes | None = None
    entries: tuple[AcceptedEntry, ...] = ()
    next_position: int | None = None


class StreamAcceptRequest(StreamRequest, frozen=True, kw_only=True):
    """Requests the acceptance of an entry at a position (phase 2a)."""

    position: int
    entry: bytes


class StreamConfirmRequest(StreamRequest, frozen=True, kw_only=True):
    """Checks whether the ballot is still the highest one, before a read is served."""


class StreamTrimRequest(StreamRequest, frozen=True, kw_only=True):
    """Requests the replacement of the chosen entries below a position by a snapshot."""

    below_position: int
    snapshot: bytes


class StreamReply(Message, frozen=True, kw_only=True):
    """Reply to an accept, confirm or trim request."""

    granted: bool
    promised: Ballot
