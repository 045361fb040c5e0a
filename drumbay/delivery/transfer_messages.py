"""Messages that copy stream logs from the replicas of one epoch to those of the next."""

import msgspec

from drumbay.comm.interface import Message
from drumbay.delivery.messages import AcceptedEntry, Ballot
from drumbay.identifiers import StreamName


class EntrySummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Position, ballot and size of an entry, without its content."""

    position: int
    ballot: Ballot
    size_bytes: int


class StreamSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of one stream on a replica, without contents.

    Attributes:
        stream: The stream.
        promised: Highest ballot promised.
        below_position: Entries below it were replaced by a snapshot.
        entries: Accepted entries in order of position.
    """

    stream: StreamName
    promised: Ballot
    below_position: int
    entries: tuple[EntrySummary, ...]


class ListStreams(Message, frozen=True, kw_only=True):
    """Requests a summary of the streams of a replica."""


class StreamsListed(Message, frozen=True, kw_only=True):
    """Summaries of all streams of a replica."""

    holdings: tuple[StreamSummary, ...]


class ReadStream(Message, frozen=True, kw_only=True):
    """Requests the promise, the snapshot and the entries at some positions of a stream."""

    stream: StreamName
    positions: tuple[int, ...]
    with_snapshot: bool


class StreamPart(msgspec.Struct, frozen=True, kw_only=True):
    """A part of one stream on a replica.

    Attributes:
        promised: Highest ballot promised.
        below_position: Position below which the snapshot replaces entries; 0 without one.
        snapshot: Encoded snapshot of the entries below that position.
        entries: Accepted entries.
    """

    promised: Ballot
    below_position: int = 0
    snapshot: bytes | None = None
    entries: tuple[AcceptedEntry, ...] = ()


class StreamRead(Message, frozen=True, kw_only=True):
    """The requested part of a stream."""

    part: StreamPart


class AdoptStream(Message, frozen=True, kw_only=True):
    """Transfers a part of a stream to another replica, which adopts the records it lacks."""

    stream: StreamName
    part: StreamPart


class StreamAdopted(Message, frozen=True, kw_only=True):
    """The part is durable on this replica."""
