"""Serves stream logs to coordinators that copy them to another replica set.

Adopting records is monotone: promises only increase, and at each position the entry with the
higher ballot is kept. It is therefore idempotent and safe at any time and in any order.
"""

from drumbay.comm.interface import Message, Transport
from drumbay.delivery.acceptor import (
    AcceptedRecord,
    Acceptor,
    AcceptorRecord,
    PromisedRecord,
    TrimmedRecord,
)
from drumbay.delivery.messages import AcceptedEntry
from drumbay.delivery.replica import DeliveryReplica
from drumbay.delivery.transfer_messages import (
    AdoptStream,
    EntrySummary,
    ListStreams,
    ReadStream,
    StreamAdopted,
    StreamPart,
    StreamRead,
    StreamsListed,
    StreamSummary,
)
from drumbay.identifiers import StreamName


class StreamTransfer:
    """Serves the stream logs of one replica to coordinators of epoch changes."""

    def __init__(self, transport: Transport, replica: DeliveryReplica) -> None:
        """Create a server of ``replica``; it starts with :meth:`start`."""
        self._transport = transport
        self._replica = replica

    def start(self) -> None:
        """Start to serve requests; the replica must have been started."""
        self._transport.handle_calls(ListStreams, self._list)
        self._transport.handle_calls(ReadStream, self._read)
        self._transport.handle_calls(AdoptStream, self._adopt)

    async def _list(self, _request: ListStreams) -> Message:
        acceptors = self._replica.acceptors
        return StreamsListed(
            holdings=tuple(_summarize(stream, acceptors[stream]) for stream in sorted(acceptors))
        )

    async def _read(self, request: ReadStream) -> Message:
        acceptor = self._replica.acceptors[request.stream]
        entries = (acceptor.accepted.get(position) for position in request.positions)
        part = StreamPart(
            promised=acceptor.promised,
            below_position=acceptor.below_position if request.with_snapshot else 0,
            snapshot=acceptor.snapshot if request.with_snapshot else None,
            entries=tuple(entry for entry in entries if entry is not None),
        )
        return StreamRead(part=part)

    async def _adopt(self, request: AdoptStream) -> Message:
        await self._replica.adopt(
            request.stream, lambda acceptor: records_to_adopt(acceptor, request.part)
        )
        return StreamAdopted()


def _summarize(stream: StreamName, acceptor: Acceptor) -> StreamSummary:
    entries = (acceptor.accepted[position] for position in sorted(acceptor.accepted))
    return StreamSummary(
        stream=stream,
        promised=acceptor.promised,
        below_position=acceptor.below_position,
        entries=tuple(
            EntrySummary(position=entry.position, ballot=entry.ballot, size_bytes=len(entry.entry))
            for entry in entries
        ),
    )


def records_to_adopt(acceptor: Acceptor, part: StreamPart) -> tuple[AcceptorRecord, ...]:
    """Return the records of a part that an acceptor lacks."""
    records: list[AcceptorRecord] = []
    if part.promised > acceptor.promised:
        records.append(PromisedRecord(ballot=part.promised))
    below_position = acceptor.below_position
    if part.snapshot is not None and part.below_position > below_position:
        below_position = part.below_position
        records.append(TrimmedRecord(below_position=below_position, snapshot=part.snapshot))
    for entry in part.entries:
        if entry.position >= below_position and _is_newer(acceptor, entry):
            records.append(AcceptedRecord(accepted=entry))
    return tuple(records)


def _is_newer(acceptor: Acceptor, entry: AcceptedEntry) -> bool:
    existing = acceptor.accepted.get(entry.position)
    return existing is None or entry.ballot > existing.ballot
