"""The Paxos acceptor of one stream's log on a replica; it does no input or output.

Multi-Paxos as in Lamport, "Paxos Made Simple" (2001), sections 2.2 and 3: one promise covers all
positions, and accept requests with a ballot below the promised one are rejected.
"""

import msgspec

from drumbay.delivery.messages import (
    NO_BALLOT,
    AcceptedEntry,
    Ballot,
    StreamAcceptRequest,
    StreamConfirmRequest,
    StreamPromiseReply,
    StreamPromiseRequest,
    StreamReply,
    StreamTrimRequest,
)

MAX_PAGE_BYTES = 1024 * 1024
"""A page of a promise reply ends with the entry that exceeds this size."""

DEFAULT_MAX_RETAINED_BYTES = 512 * 1024 * 1024


class PromisedRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Durable promise to reject lower ballots."""

    ballot: Ballot


class AcceptedRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Durable acceptance of one entry."""

    accepted: AcceptedEntry


class TrimmedRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Durable replacement of the entries below a position by a snapshot."""

    below_position: int
    snapshot: bytes


AcceptorRecord = PromisedRecord | AcceptedRecord | TrimmedRecord


class AcceptorOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """A reply and the records that must be durable before it is sent."""

    reply: StreamReply | StreamPromiseReply
    records: tuple[AcceptorRecord, ...] = ()
    is_full: bool = False


class Acceptor:
    """State of one stream's log on one replica."""

    def __init__(self, *, max_retained_bytes: int = DEFAULT_MAX_RETAINED_BYTES) -> None:
        """Create the state of an empty stream."""
        self.promised = NO_BALLOT
        self.below_position = 0
        self.snapshot: bytes | None = None
        self.accepted: dict[int, AcceptedEntry] = {}
        self.retained_bytes = 0
        self._max_retained_bytes = max_retained_bytes

    def restore(self, record: AcceptorRecord) -> None:
        """Apply a record read from the disk; records must be applied in write order."""
        match record:
            case PromisedRecord(ballot=ballot):
                self.promised = max(self.promised, ballot)
            case AcceptedRecord(accepted=accepted):
                self._store(accepted)
            case TrimmedRecord(below_position=below_position, snapshot=snapshot):
                self._trim(below_position, snapshot)

    def promise(self, request: StreamPromiseRequest) -> AcceptorOutcome:
        """Promise to reject lower ballots, and return the accepted entries."""
        if request.ballot < self.promised:
            reply = StreamPromiseReply(granted=False, promised=self.promised)
            return AcceptorOutcome(reply=reply)
        records: tuple[AcceptorRecord, ...] = ()
        if request.ballot > self.promised:
            self.promised = request.ballot
            records = (PromisedRecord(ballot=request.ballot),)
        return AcceptorOutcome(reply=self._page(request.from_position), records=records)

    def _page(self, from_position: int) -> StreamPromiseReply:
        page: list[AcceptedEntry] = []
        page_bytes = 0
        next_position: int | None = None
        for position in sorted(self.accepted):
            if position < from_position:
                continue
            if page_bytes >= MAX_PAGE_BYTES:
                next_position = position
                break
            page.append(self.accepted[position])
            page_bytes += len(self.accepted[position].entry)
        return StreamPromiseReply(
            granted=True,
            promised=self.promised,
            snapshot=self.snapshot if from_position < self.below_position else None,
            entries=tuple(page),
            next_position=next_position,
        )

    def accept(self, request: StreamAcceptRequest) -> AcceptorOutcome:
        """Accept an entry unless a higher ballot was promised or the log is full."""
        if request.ballot < self.promised:
            return self._reject()
        existing = self.accepted.get(request.position)
        if existing is not None and existing.ballot == request.ballot:
            # NOTE: a ballot has only one entry per position; a different one is rejected.
            return self._grant() if existing.entry == request.entry else self._reject()
        if request.position < self.below_position:
            # NOTE: entries at trimmed positions were chosen, so accepting again has no effect.
            return self._grant()
        if self.retained_bytes + len(request.entry) > self._max_retained_bytes:
            return AcceptorOutcome(reply=self._reject().reply, is_full=True)
        accepted = AcceptedEntry(
            position=request.position, ballot=request.ballot, entry=request.entry
        )
        self._store(accepted)
        return self._grant(AcceptedRecord(accepted=accepted))

    def confirm(self, request: StreamConfirmRequest) -> AcceptorOutcome:
        """Grant the request if no higher ballot was promised."""
        return self._reject() if request.ballot < self.promised else self._grant()

    def trim(self, request: StreamTrimRequest) -> AcceptorOutcome:
        """Replace chosen entries by a snapshot unless a higher ballot was promised."""
        if request.ballot < self.promised:
            return self._reject()
        if request.below_position <= self.below_position:
            return self._grant()
        self._trim(request.below_position, request.snapshot)
        record = TrimmedRecord(below_position=request.below_position, snapshot=request.snapshot)
        return self._grant(record)

    def _store(self, accepted: AcceptedEntry) -> None:
        previous = self.accepted.get(accepted.position)
        if previous is not None:
            self.retained_bytes -= len(previous.entry)
        self.accepted[accepted.position] = accepted
        self.retained_bytes += len(accepted.entry)
        self.promised = max(self.promised, accepted.ballot)

    def _trim(self, below_position: int, snapshot: bytes) -> None:
        self.below_position = below_position
        self.snapshot = snapshot
        for position in [each for each in self.accepted if each < below_position]:
            self.retained_bytes -= len(self.accepted.pop(position).entry)

    def _grant(self, *records: AcceptorRecord) -> AcceptorOutcome:
        reply = StreamReply(granted=True, promised=self.promised)
        return AcceptorOutcome(reply=reply, records=records)

    def _reject(self) -> AcceptorOutcome:
        return AcceptorOutcome(reply=StreamReply(granted=False, promised=self.promised))
