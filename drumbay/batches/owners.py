"""Who owns which batch job, as far as this node knows, and calls to owners."""

from collections.abc import Callable, Container

import msgspec

from drumbay.batches.exceptions import BatchUnavailableError
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    BatchStream,
    OwnerRecord,
    OwnerState,
    StoredOwner,
)
from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event
from drumbay.peers.messages import (
    BusyReply,
    DoneReply,
    NotOwnerReply,
    OwnBatch,
    OwnerNotice,
    OwnerRequest,
    PageReply,
    PeerReply,
    Ping,
    ReadResults,
    UnavailableReply,
)
from drumbay.peers.transport import PeerClient, PeerGoneError, PeerUnavailableError
from drumbay.tenants.records import TenantName

STORE_RETRY_SECONDS = 0.1
PEER_SLACK_SECONDS = 0.5
PING_SECONDS = 0.4
OWNER_WAIT_SECONDS = 0.4
"""An owner is asked to wait so long at a time, so that one that stands still is soon noticed."""

KNOWN_OWNERS = 4_096
KNOWN_STREAMS = 256
HAND_OVER_SECONDS = 0.2
"""A submission waits so long for the owner of its stream; then this node owns it."""

RECENT_OWNER_SECONDS = 60.0
"""An owner that nothing names for so long is forgotten: several steps of a trainer."""


class ServiceIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """This process: where peers call it, and its boot."""

    address: NetworkAddress
    boot: str


class _StreamOwners(msgspec.Struct, kw_only=True):
    """Who owned the batch jobs of a stream: each one's newest record, and when it was named."""

    latest: dict[NetworkAddress, StoredOwner]
    named_at: dict[NetworkAddress, float]


class OwnerTable:
    """Owners by batch job. The store decides if what is known turns out to be wrong."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        peers: PeerClient,
        identity: ServiceIdentity,
        announce: Callable[[OwnerNotice], None],
    ) -> None:
        """Create a table that knows nobody; ``announce`` tells the other nodes."""
        self._clock = clock
        self._ledger = ledger
        self._peers = peers
        self._identity = identity
        self._announce = announce
        self._known: dict[BatchId, StoredOwner] = {}
        self._streams: dict[BatchStream, _StreamOwners] = {}

    @property
    def identity(self) -> ServiceIdentity:
        """Return this process."""
        return self._identity

    def own_record(self, stream: BatchStream, total: int, tenant: TenantName | None) -> OwnerRecord:
        """Return the record that makes this process the owner of a batch job."""
        return OwnerRecord(
            address=self._identity.address,
            boot=self._identity.boot,
            state=OwnerState.OPEN,
            total=total,
            stream=stream,
            tenant=tenant,
        )

    def record_for(self, spec: BatchSpec, reachable: Container[NetworkAddress]) -> OwnerRecord:
        """Return the record of the owner that a new batch job is to have.

        An owner of earlier batch jobs of the stream knows the paces of the workers, has open
        connections to them, and may still work on items that come back. One that has an open
        batch job is passed over.
        """
        own = self.own_record(spec.stream, len(spec.items), spec.tenant)
        owners = self._streams.get(spec.stream)
        if owners is None:
            return own
        busy = self.owners_of_open()
        for named in sorted(owners.latest.values(), key=lambda o: o.revision, reverse=True):
            address = named.record.address
            if address in reachable and address not in busy:
                return msgspec.structs.replace(own, address=address, boot=named.record.boot)
        return own

    def owners_of_open(self) -> set[NetworkAddress]:
        """Return the nodes that run batch jobs: one more would share their processor."""
        return {
            owner.record.address
            for owner in self._known.values()
            if owner.record.state is OwnerState.OPEN
        }

    def recent_owners(self, stream: BatchStream) -> list[NetworkAddress]:
        """Return the other nodes that have lately owned batch jobs of a stream."""
        owners = self._streams.get(stream)
        if owners is None:
            return []
        return [address for address in owners.latest if address != self._identity.address]

    async def hand_over(self, spec: BatchSpec, owner: StoredOwner) -> bool:
        """Give a batch job to the owner that the store names; return whether it took it."""
        request = OwnBatch(spec=spec, owner=owner)
        try:
            reply = await self._peers.call(owner.record.address, request, HAND_OVER_SECONDS)
        except PeerUnavailableError:
            reply = UnavailableReply()
        log_event(
            "batch_handed_over",
            batch=spec.batch_id,
            owner=str(owner.record.address),
            taken=isinstance(reply, DoneReply),
        )
        return isinstance(reply, DoneReply)

    def is_own_boot(self, record: OwnerRecord) -> bool:
        """Return whether this very process wrote a record."""
        return record.boot == self._identity.boot

    def is_own_address(self, record: OwnerRecord) -> bool:
        """Return whether this process or an earlier one of its machine wrote a record."""
        return record.address == self._identity.address

    def note(self, notice: OwnerNotice) -> None:
        """Remember what another node tells."""
        known = self._known.get(notice.batch_id)
        if known is None or known.revision < notice.owner.revision:
            self._remember(notice.batch_id, notice.owner)

    def announce(self, batch_id: BatchId, owner: StoredOwner) -> None:
        """Remember an owner and tell the other nodes."""
        self._remember(batch_id, owner)
        self._announce(OwnerNotice(batch_id=batch_id, owner=owner))

    def forget(self, batch_id: BatchId) -> None:
        """Read the owner again next time."""
        self._known.pop(batch_id, None)

    def _note_stream(self, owner: StoredOwner) -> None:
        stream = owner.record.stream
        address = owner.record.address
        now = self._clock.monotonic()
        known = self._streams.get(stream)
        if known is None:
            if len(self._streams) >= KNOWN_STREAMS:
                self._streams.pop(next(iter(self._streams)))
            known = self._streams[stream] = _StreamOwners(latest={}, named_at={})
        known.named_at[address] = now
        newest = known.latest.get(address)
        if newest is None or owner.revision > newest.revision:
            known.latest[address] = owner
        for old in [a for a, at in known.named_at.items() if at < now - RECENT_OWNER_SECONDS]:
            del known.named_at[old], known.latest[old]

    def _remember(self, batch_id: BatchId, owner: StoredOwner) -> None:
        self._note_stream(owner)
        if len(self._known) >= KNOWN_OWNERS:
            self._known.pop(next(iter(self._known)))
        self._known[batch_id] = owner

    async def find(self, batch_id: BatchId, deadline: float) -> StoredOwner:
        """Return a batch job's owner as known here, else as the store has it.

        Raises:
            BatchNotFoundError: There is no such batch job.
            BatchUnavailableError: The store did not answer before the deadline.
        """
        known = self._known.get(batch_id)
        if known is not None:
            return known
        while True:
            try:
                owner = await self._ledger.read_owner(batch_id)
                break
            except KeyValueError as error:
                await self.pause_until(deadline, error)
        self._remember(batch_id, owner)
        return owner

    async def pause_until(self, deadline: float, error: KeyValueError) -> None:
        """Wait before the store is asked again.

        Raises:
            BatchUnavailableError: The deadline would pass.
        """
        if self._clock.monotonic() + STORE_RETRY_SECONDS > deadline:
            raise BatchUnavailableError(error.code) from error
        await self._clock.sleep(STORE_RETRY_SECONDS)

    async def ask(
        self, owner: StoredOwner, request: OwnerRequest, wait_seconds: float = 0.0
    ) -> PeerReply:
        """Return an owner's reply.

        :class:`NotOwnerReply` also if nobody listens at its address, or if it is this node's:
        the process that owned the batch job has ended, or has let it go.
        :class:`UnavailableReply` if no reply came: it may stand still, or be cut off.
        :class:`BusyReply` if no reply came in time from a node that is alive.
        """
        if self.is_own_address(owner.record):
            return NotOwnerReply()
        address = owner.record.address
        try:
            return await self._peers.call(address, request, wait_seconds + PEER_SLACK_SECONDS)
        except PeerGoneError:
            log_event(
                "batch_owner_gone", level="WARNING", batch=request.batch_id, owner=str(address)
            )
            return NotOwnerReply()
        except PeerUnavailableError as error:
            if await self._is_alive(address):
                return BusyReply()
            log_event(
                "batch_owner_silent",
                level="WARNING",
                batch=request.batch_id,
                owner=str(address),
                detail=str(error),
            )
            return UnavailableReply()

    async def _is_alive(self, address: NetworkAddress) -> bool:
        """Return whether a node that did not answer in time only has much to do, or to send."""
        try:
            await self._peers.call(address, Ping(), PING_SECONDS)
        except PeerUnavailableError:
            return False
        return True

    async def ask_results(
        self, owner: StoredOwner, batch_id: BatchId, position: int, wait_seconds: float
    ) -> PeerReply:
        """Ask an owner until it has results from a position on or the time is up."""
        until = self._clock.monotonic() + wait_seconds
        while True:
            remaining = max(0.0, until - self._clock.monotonic())
            wait = min(remaining, OWNER_WAIT_SECONDS)
            request = ReadResults(batch_id=batch_id, position=position, wait_seconds=wait)
            reply = await self.ask(owner, request, wait)
            if not isinstance(reply, PageReply) or remaining <= wait:
                return reply
            if reply.page.results or position >= reply.page.total:
                return reply
