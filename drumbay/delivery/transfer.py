"""The replica's side of a change of the replica set: lists, reads and adopts stream logs.

Adopting is monotone: promises only rise, and per position the entry with the higher ballot
stays. It may therefore happen at any time, in any order and again.
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
    HeldEntry,
    ListStreams,
    ReadStream,
    StreamAdopted,
    StreamHolding,
    StreamPart,
    StreamRead,
    StreamsListed,
)
from drumbay.identifiers import StreamName


class StreamTransfer:
    """Serves the stream logs of one replica to coordinators of epoch changes."""

    def __init__(self, transport: Transport, replica: DeliveryReplica) -> None:
        """Serve ``replica`` after :meth:`start`."""
        self._transport = transport
        self._replica = replica

    def start(self) -> None:
        """Begin to serve; the replica must have been started."""
        self._transport.handle_calls(ListStreams, self._list)
        self._transport.handle_calls(ReadStream, self._read)
        self._transport.handle_calls(AdoptStream, self._adopt)

    async def _list(self, _request: ListStreams) -> Message:
        acceptors = self._replica.acceptors
        return StreamsListed(
            holdings=tuple(_holding(stream, acceptors[stream]) for stream in sorted(acceptors))
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


def _holding(stream: StreamName, acceptor: Acceptor) -> StreamHolding:
    entries = (acceptor.accepted[position] for position in sorted(acceptor.accepted))
    return StreamHolding(
        stream=stream,
        promised=acceptor.promised,
        below_position=acceptor.below_position,
        entries=tuple(
            HeldEntry(position=entry.position, ballot=entry.ballot, size_bytes=len(entry.entry))
            for entry in entries
        ),
    )


def records_to_adopt(acceptor: Acceptor, part: StreamPart) -> tuple[AcceptorRecord, ...]:
    """Return the records by which an acceptor learns what it lacks of a part."""
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
    held = acceptor.accepted.get(entry.position)
    return held is None or entry.ballot > held.ballot
