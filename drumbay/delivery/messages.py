"""Messages between the owner of a stream and the replicas of its log."""

import msgspec

from drumbay.comm.interface import Message
from drumbay.identifiers import BootId, Epoch, Fence, StreamName


class Ballot(msgspec.Struct, frozen=True, order=True):
    """Number of one ownership of a stream, as a Paxos ballot.

    The fence of the ownership lease orders ballots. The epoch of the replica set gives an
    owner another ballot when it recovers the log from a changed set: its last proposal in
    the old set may have reached a replica that the recovery did not hear. The boot identity
    keeps two ballots apart even if the key-value service ever granted one fence twice.
    """

    fence: Fence
    boot_id: BootId
    epoch: Epoch = Epoch(0)


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
