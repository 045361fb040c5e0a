"""Shell of the acceptors of one disk-holding node."""

from collections.abc import Callable

import msgspec

from drumbay.comm.interface import Message, Transport
from drumbay.delivery.acceptor import (
    DEFAULT_MAX_RETAINED_BYTES,
    AcceptedRecord,
    Acceptor,
    AcceptorOutcome,
    AcceptorRecord,
    PromisedRecord,
    TrimmedRecord,
)
from drumbay.delivery.exceptions import EpochMismatchError, LogFullError
from drumbay.delivery.messages import (
    StreamAcceptRequest,
    StreamConfirmRequest,
    StreamPromiseRequest,
    StreamRequest,
    StreamTrimRequest,
)
from drumbay.identifiers import Epoch, StreamName
from drumbay.storage.interface import RecordLog


class StoredRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record of one stream's acceptor as it stands in the record log."""

    stream: StreamName
    record: AcceptorRecord


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoredRecord)


class DeliveryReplica:
    """Serves the log requests of stream owners from one record log.

    A reply leaves only after everything it relies on is durable. The memory state runs
    ahead of the disk; after a failed write the record log refuses every later one, so no
    reply can rely on a lost record.
    """

    def __init__(
        self,
        transport: Transport,
        log: RecordLog,
        current_epoch: Callable[[], Epoch],
        *,
        max_retained_bytes: int = DEFAULT_MAX_RETAINED_BYTES,
    ) -> None:
        """Create a replica; ``start`` restores its state and serves.

        Args:
            transport: Where requests arrive.
            log: The node's record log for sample batches.
            current_epoch: Replica set configuration in which this node may vote.
            max_retained_bytes: Most bytes of entries kept per stream.
        """
        self._transport = transport
        self._log = log
        self._current_epoch = current_epoch
        self._max_retained_bytes = max_retained_bytes
        self.acceptors: dict[StreamName, Acceptor] = {}

    def start(self) -> None:
        """Restore every stream from the record log and begin to serve."""
        for encoded in self._log.replay():
            stored = _decoder.decode(encoded)
            self._acceptor(stored.stream).restore(stored.record)
        self._transport.handle_calls(StreamPromiseRequest, self._handle_promise)
        self._transport.handle_calls(StreamAcceptRequest, self._handle_accept)
        self._transport.handle_calls(StreamConfirmRequest, self._handle_confirm)
        self._transport.handle_calls(StreamTrimRequest, self._handle_trim)

    def _acceptor(self, stream: StreamName) -> Acceptor:
        if stream not in self.acceptors:
            self.acceptors[stream] = Acceptor(max_retained_bytes=self._max_retained_bytes)
        return self.acceptors[stream]

    def _acceptor_for(self, request: StreamRequest) -> Acceptor:
        epoch = self._current_epoch()
        if request.epoch != epoch:
            raise EpochMismatchError(f"request of epoch {request.epoch}, replica in {epoch}")
        return self._acceptor(request.stream)

    async def _handle_promise(self, request: StreamPromiseRequest) -> Message:
        outcome = self._acceptor_for(request).promise(request)
        return await self._reply_when_durable(request.stream, outcome)

    async def _handle_accept(self, request: StreamAcceptRequest) -> Message:
        outcome = self._acceptor_for(request).accept(request)
        if outcome.full:
            raise LogFullError(f"stream {request.stream} holds its limit of bytes")
        return await self._reply_when_durable(request.stream, outcome)

    async def _handle_confirm(self, request: StreamConfirmRequest) -> Message:
        # NOTE: a confirmation promises nothing, so it relies on no durable record.
        return self._acceptor_for(request).confirm(request).reply

    async def _handle_trim(self, request: StreamTrimRequest) -> Message:
        outcome = self._acceptor_for(request).trim(request)
        if outcome.records:
            await self._log.snapshot(self._all_records())
            return outcome.reply
        return await self._reply_when_durable(request.stream, outcome)

    async def _reply_when_durable(self, stream: StreamName, outcome: AcceptorOutcome) -> Message:
        if outcome.reply.granted:
            # NOTE: an empty append still waits for the earlier ones: a repeated request
            # finds its record in memory while the first write is under way.
            await self._log.append(_encode(stream, outcome.records))
        return outcome.reply

    async def adopt(
        self,
        stream: StreamName,
        choose_records: Callable[[Acceptor], tuple[AcceptorRecord, ...]],
    ) -> None:
        """Take in what another replica held of a stream, and make it durable.

        Args:
            stream: The stream.
            choose_records: Returns the records that this replica lacks.

        Raises:
            StorageError: The write failed.
        """
        acceptor = self._acceptor(stream)
        records = choose_records(acceptor)
        for record in records:
            acceptor.restore(record)
        await self._log.append(_encode(stream, records))

    def _all_records(self) -> list[bytes]:
        encoded: list[bytes] = []
        for stream, acceptor in self.acceptors.items():
            records: list[AcceptorRecord] = [PromisedRecord(ballot=acceptor.promised)]
            if acceptor.snapshot is not None:
                records.append(
                    TrimmedRecord(
                        below_position=acceptor.below_position, snapshot=acceptor.snapshot
                    )
                )
            for position in sorted(acceptor.accepted):
                records.append(AcceptedRecord(accepted=acceptor.accepted[position]))
            encoded.extend(_encode(stream, records))
        return encoded


def _encode(
    stream: StreamName, records: tuple[AcceptorRecord, ...] | list[AcceptorRecord]
) -> list[bytes]:
    return [_encoder.encode(StoredRecord(stream=stream, record=record)) for record in records]
