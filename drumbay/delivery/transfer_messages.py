"""Messages that carry stream logs from the replicas of one epoch to those of the next."""

import msgspec

from drumbay.comm.interface import Message
from drumbay.delivery.messages import AcceptedEntry, Ballot
from drumbay.identifiers import StreamName


class HeldEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry that a replica holds, without its content."""

    position: int
    ballot: Ballot
    size_bytes: int


class StreamHolding(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica holds of one stream.

    Attributes:
        stream: The stream.
        promised: Highest ballot promised.
        below_position: Positions below it are replaced by a snapshot.
        entries: Accepted entries in order of position.
    """

    stream: StreamName
    promised: Ballot
    below_position: int
    entries: tuple[HeldEntry, ...]


class ListStreams(Message, frozen=True, kw_only=True):
    """Asks a replica what it holds."""


class StreamsListed(Message, frozen=True, kw_only=True):
    """Everything a replica holds, without the contents."""

    holdings: tuple[StreamHolding, ...]


class ReadStream(Message, frozen=True, kw_only=True):
    """Asks a replica for its promise, its snapshot and the entries at some positions."""

    stream: StreamName
    positions: tuple[int, ...]
    with_snapshot: bool


class StreamPart(msgspec.Struct, frozen=True, kw_only=True):
    """A part of what a replica holds of one stream.

    Attributes:
        promised: Highest ballot promised.
        below_position: Positions that the snapshot replaces; 0 without one.
        snapshot: Encoded effect of the entries below that position.
        entries: Accepted entries.
    """

    promised: Ballot
    below_position: int = 0
    snapshot: bytes | None = None
    entries: tuple[AcceptedEntry, ...] = ()


class StreamRead(Message, frozen=True, kw_only=True):
    """The part that was asked for."""

    part: StreamPart


class AdoptStream(Message, frozen=True, kw_only=True):
    """Gives a replica what another one held, as if it had accepted it itself."""

    stream: StreamName
    part: StreamPart


class StreamAdopted(Message, frozen=True, kw_only=True):
    """The part is durable here."""
