"""Serves the stream acceptors of one node from its record log."""

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
from drumbay.observability.logs import log_event
from drumbay.storage.interface import RecordLog, StorageClosedError, StorageError


class StoredRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record of one stream's acceptor, as stored in the record log."""

    stream: StreamName
    record: AcceptorRecord


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoredRecord)


class DeliveryReplica:
    """Serves the log requests of stream owners from one record log.

    A reply is sent only after the records that it depends on are durable. The state in memory is
    ahead of the disk: after a failed write, the replica rejects all requests until its state was
    read again from the disk, so that no reply depends on a lost record.

    Attributes:
        on_storage_failure: Called with the log whose write failed.
    """

    def __init__(
        self,
        transport: Transport,
        log: RecordLog,
        current_epoch: Callable[[], Epoch],
        *,
        max_retained_bytes: int = DEFAULT_MAX_RETAINED_BYTES,
    ) -> None:
        """Create a replica; :meth:`start` restores its state and serves requests.

        Args:
            transport: Receives the requests.
            log: The node's record log of streams.
            current_epoch: Returns the epoch of the replica set in which this node may vote.
            max_retained_bytes: Maximum size of the retained entries per stream.
        """
        self._transport = transport
        self._log = log
        self._current_epoch = current_epoch
        self._max_retained_bytes = max_retained_bytes
        self._acceptors: dict[StreamName, Acceptor] = {}
        self._has_failed = False
        self.on_storage_failure: Callable[[RecordLog], None] = lambda _log: None

    @property
    def acceptors(self) -> dict[StreamName, Acceptor]:
        """Return the acceptor of every stream.

        Raises:
            StorageClosedError: A write failed, and the state was not read again yet.
        """
        self._require_open()
        return self._acceptors

    def restore_from(self, log: RecordLog) -> None:
        """Restore the state from a log, which is then used for writes.

        Raises:
            StorageError: The log could not be read.
        """
        self._acceptors = {}
        for encoded in log.replay():
            stored = _decoder.decode(encoded)
            self._acceptor(stored.stream).restore(stored.record)
        self._log = log
        self._has_failed = False

    def start(self) -> None:
        """Restore every stream from the record log and start to serve requests."""
        self.restore_from(self._log)
        self._transport.handle_calls(StreamPromiseRequest, self._handle_promise)
        self._transport.handle_calls(StreamAcceptRequest, self._handle_accept)
        self._transport.handle_calls(StreamConfirmRequest, self._handle_confirm)
        self._transport.handle_calls(StreamTrimRequest, self._handle_trim)

    async def close(self) -> None:
        """Wait for pending writes and close the log."""
        await self._log.close()

    def _acceptor(self, stream: StreamName) -> Acceptor:
        if stream not in self._acceptors:
            self._acceptors[stream] = Acceptor(max_retained_bytes=self._max_retained_bytes)
        return self._acceptors[stream]

    async def _write(self, records: list[bytes], *, replaces_all: bool = False) -> None:
        """Make records durable.

        Raises:
            StorageError: The write failed; requests are rejected until the state is read again.
        """
        log = self._log
        try:
            if replaces_all:
                await log.snapshot(records)
            else:
                await log.append(records)
        except StorageError as error:
            if log is self._log and not self._has_failed:
                self._has_failed = True
                log_event("stream_store_failed", level="ERROR", code=error.code, detail=str(error))
                self.on_storage_failure(log)
            raise

    def _require_open(self) -> None:
        """Raise an error if the state may be ahead of the disk.

        Raises:
            StorageClosedError: A write failed, and the state was not read again yet.
        """
        if self._has_failed:
            raise StorageClosedError("the stream store is not open")

    def _acceptor_for(self, request: StreamRequest) -> Acceptor:
        self._require_open()
        epoch = self._current_epoch()
        if request.epoch != epoch:
            raise EpochMismatchError(f"request of epoch {request.epoch}, replica in {epoch}")
        return self._acceptor(request.stream)

    async def _handle_promise(self, request: StreamPromiseRequest) -> Message:
        outcome = self._acceptor_for(request).promise(request)
        return await self._reply_when_durable(request.stream, outcome)

    async def _handle_accept(self, request: StreamAcceptRequest) -> Message:
        outcome = self._acceptor_for(request).accept(request)
        if outcome.is_full:
            raise LogFullError(f"stream {request.stream} holds its limit of bytes")
        return await self._reply_when_durable(request.stream, outcome)

    async def _handle_confirm(self, request: StreamConfirmRequest) -> Message:
        # NOTE: a confirmation changes no state, so it need not wait for a write.
        return self._acceptor_for(request).confirm(request).reply

    async def _handle_trim(self, request: StreamTrimRequest) -> Message:
        outcome = self._acceptor_for(request).trim(request)
        if outcome.records:
            await self._write(self._all_records(), replaces_all=True)
            return outcome.reply
        return await self._reply_when_durable(request.stream, outcome)

    async def _reply_when_durable(self, stream: StreamName, outcome: AcceptorOutcome) -> Message:
        if outcome.reply.granted:
            # NOTE: an empty append still waits for earlier writes: a repeated request may find
            # its record in memory before that record is durable.
            await self._write(_encode(stream, outcome.records))
        return outcome.reply

    async def adopt(
        self,
        stream: StreamName,
        select_records: Callable[[Acceptor], tuple[AcceptorRecord, ...]],
    ) -> None:
        """Add records of another replica to a stream, and make them durable.

        Args:
            stream: The stream.
            select_records: Returns the records that the acceptor lacks.

        Raises:
            StorageError: The write failed.
        """
        self._require_open()
        acceptor = self._acceptor(stream)
        records = select_records(acceptor)
        for record in records:
            acceptor.restore(record)
        await self._write(_encode(stream, records))

    def _all_records(self) -> list[bytes]:
        encoded: list[bytes] = []
        for stream, acceptor in self._acceptors.items():
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
