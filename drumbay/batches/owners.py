"""Maps batch jobs to the nodes that own them, and calls owners."""

from collections.abc import Callable

import msgspec

from drumbay.batches.body_holders import BodyHolders
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
from drumbay.comm.network_address import NetworkAddress
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
from drumbay.placement.regions import AllowedRegions

STORE_RETRY_SECONDS = 0.1
PEER_TIMEOUT_MARGIN_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 0.4
OWNER_POLL_SECONDS = 0.4
"""Maximum wait per call to an owner, so that a stalled one is noticed soon."""

MAX_CACHED_OWNERS = 4_096
MAX_CACHED_STREAMS = 256
HAND_OVER_TIMEOUT_SECONDS = 0.2
"""After this time, the node that received a submission owns the batch job itself."""

RECENT_OWNER_TTL_SECONDS = 60.0
"""Owners that no owner record has named for this long are forgotten."""


ANY_PROCESS = ""
"""Boot identifier in the owner record of a node whose process is not known."""


class ServiceIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies this process: the address for peers, and its boot identifier."""

    address: NetworkAddress
    boot: str


class _StreamOwners(msgspec.Struct, kw_only=True):
    """Recent owners of a stream's batch jobs: newest record, and monotonic time it was seen."""

    latest: dict[NetworkAddress, StoredOwner]
    last_seen_at: dict[NetworkAddress, float]


class OwnerTable:
    """Cache of batch job owners. The store is authoritative."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        peers: PeerClient,
        identity: ServiceIdentity,
        holders: BodyHolders,
        announce: Callable[[OwnerNotice], None],
    ) -> None:
        """Create an empty table.

        Args:
            clock: Time.
            ledger: Batch jobs in the store.
            peers: Calls other nodes.
            identity: This process.
            holders: Decides which nodes may hold a batch job.
            announce: Notifies the other nodes of an owner.
        """
        self._clock = clock
        self._ledger = ledger
        self._peers = peers
        self._identity = identity
        self._holders = holders
        self._announce = announce
        self._cached: dict[BatchId, StoredOwner] = {}
        self._streams: dict[BatchStream, _StreamOwners] = {}

    @property
    def identity(self) -> ServiceIdentity:
        """Return the identity of this process."""
        return self._identity

    def new_record(self, spec: BatchSpec) -> OwnerRecord:
        """Return a record that names this process the owner of a new batch job."""
        return OwnerRecord(
            address=self._identity.address,
            boot=self._identity.boot,
            state=OwnerState.OPEN,
            total=len(spec.items),
            stream=spec.stream,
            tenant=spec.tenant,
            route_name=spec.route_name,
            allowed_regions=spec.allowed_regions,
        )

    def takeover_record(self, previous: OwnerRecord) -> OwnerRecord:
        """Return a record that names this process the owner in place of another."""
        return msgspec.structs.replace(
            previous,
            address=self._identity.address,
            boot=self._identity.boot,
            state=OwnerState.OPEN,
        )

    def choose_owner(self, spec: BatchSpec, regions: AllowedRegions) -> OwnerRecord:
        """Return the owner record of a new batch job.

        A recent owner of the stream in the allowed regions is preferred: it has event interval
        estimates of the workers and open connections to them, and may still run resubmitted
        items. Nodes that own an open batch job are skipped. Otherwise this node owns the batch
        job, or another one in the allowed regions if this one is outside and knows any.
        """
        own = self.new_record(spec)
        busy = self.open_batch_owners()
        recent = self._idle_recent_owner(spec.stream, busy, regions)
        if recent is not None:
            return msgspec.structs.replace(own, address=recent.address, boot=recent.boot)
        if self._holders.includes_this_node(regions):
            return own
        inside = self._holders.ranked(spec.batch_id, regions)
        idle = [address for address in inside if address not in busy] or inside
        return msgspec.structs.replace(own, address=idle[0], boot=ANY_PROCESS) if idle else own

    def _idle_recent_owner(
        self, stream: BatchStream, busy: set[NetworkAddress], regions: AllowedRegions
    ) -> OwnerRecord | None:
        owners = self._streams.get(stream)
        if owners is None:
            return None
        reachable = self._holders.responsive(regions)
        for candidate in sorted(owners.latest.values(), key=lambda o: o.revision, reverse=True):
            address = candidate.record.address
            if address in reachable and address not in busy:
                return candidate.record
        return None

    def open_batch_owners(self) -> set[NetworkAddress]:
        """Return the nodes that own open batch jobs, as far as known."""
        return {
            owner.record.address
            for owner in self._cached.values()
            if owner.record.state is OwnerState.OPEN
        }

    def recent_owners(self, stream: BatchStream, regions: AllowedRegions) -> list[NetworkAddress]:
        """Return the other nodes in some regions that recently owned batch jobs of a stream."""
        owners = self._streams.get(stream)
        if owners is None:
            return []
        others = [address for address in owners.latest if address != self._identity.address]
        return [address for address in others if self._holders.includes(address, regions)]

    async def hand_over(self, spec: BatchSpec, owner: StoredOwner) -> bool:
        """Send a batch job to its designated owner; return whether that accepted it.

        The owner may be outside the allowed regions if these have changed since it was chosen.
        """
        address = owner.record.address
        reply: PeerReply = UnavailableReply()
        if self._holders.includes(address, self._holders.regions_of(spec)):
            try:
                request = OwnBatch(spec=spec, owner=owner)
                reply = await self._peers.call(address, request, HAND_OVER_TIMEOUT_SECONDS)
            except PeerUnavailableError:
                reply = UnavailableReply()
        log_event(
            "batch_handed_over",
            batch=spec.batch_id,
            owner=str(address),
            taken=isinstance(reply, DoneReply),
        )
        return isinstance(reply, DoneReply)

    def is_own_process(self, record: OwnerRecord) -> bool:
        """Return whether a record names this process."""
        return record.boot == self._identity.boot

    def may_be_own_process(self, record: OwnerRecord) -> bool:
        """Return whether a record names this process, or any process at its address."""
        is_any = record.boot == ANY_PROCESS and self.is_own_address(record)
        return is_any or self.is_own_process(record)

    def is_own_address(self, record: OwnerRecord) -> bool:
        """Return whether a record names this process or an earlier one at its address."""
        return record.address == self._identity.address

    def handle_notice(self, notice: OwnerNotice) -> None:
        """Cache the owner from another node's notice, unless a newer one is known."""
        known = self._cached.get(notice.batch_id)
        if known is None or known.revision < notice.owner.revision:
            self._cache_owner(notice.batch_id, notice.owner)

    def announce(self, batch_id: BatchId, owner: StoredOwner) -> None:
        """Cache an owner and notify the other nodes."""
        self._cache_owner(batch_id, owner)
        self._announce(OwnerNotice(batch_id=batch_id, owner=owner))

    def forget(self, batch_id: BatchId) -> None:
        """Drop a cached owner, so that it is read from the store again."""
        self._cached.pop(batch_id, None)

    def _record_stream_owner(self, owner: StoredOwner) -> None:
        stream = owner.record.stream
        address = owner.record.address
        now = self._clock.monotonic()
        known = self._streams.get(stream)
        if known is None:
            if len(self._streams) >= MAX_CACHED_STREAMS:
                self._streams.pop(next(iter(self._streams)))
            known = self._streams[stream] = _StreamOwners(latest={}, last_seen_at={})
        known.last_seen_at[address] = now
        newest = known.latest.get(address)
        if newest is None or owner.revision > newest.revision:
            known.latest[address] = owner
        for old in [
            a
            for a, seen_at in known.last_seen_at.items()
            if seen_at < now - RECENT_OWNER_TTL_SECONDS
        ]:
            del known.last_seen_at[old], known.latest[old]

    def _cache_owner(self, batch_id: BatchId, owner: StoredOwner) -> None:
        self._record_stream_owner(owner)
        if len(self._cached) >= MAX_CACHED_OWNERS:
            self._cached.pop(next(iter(self._cached)))
        self._cached[batch_id] = owner

    async def find(self, batch_id: BatchId, deadline: float) -> StoredOwner:
        """Return a batch job's owner, from the cache or the store.

        Raises:
            BatchNotFoundError: The batch job does not exist.
            BatchUnavailableError: The store did not answer before the deadline.
        """
        known = self._cached.get(batch_id)
        if known is not None:
            return known
        while True:
            try:
                owner = await self._ledger.read_owner(batch_id)
                break
            except KeyValueError as error:
                await self.wait_before_retry(deadline, error)
        self._cache_owner(batch_id, owner)
        return owner

    def recently_named_owners(self, seconds: float) -> set[NetworkAddress]:
        """Return the nodes that an owner record has named within a time."""
        since = self._clock.monotonic() - seconds
        return {
            address
            for owners in self._streams.values()
            for address, seen_at in owners.last_seen_at.items()
            if seen_at >= since
        }

    async def wait_before_retry(self, deadline: float, error: KeyValueError) -> None:
        """Wait before the store is read again.

        Raises:
            BatchUnavailableError: The deadline would pass.
        """
        if self._clock.monotonic() + STORE_RETRY_SECONDS > deadline:
            raise BatchUnavailableError(error.code) from error
        await self._clock.sleep(STORE_RETRY_SECONDS)

    async def call_owner(
        self, owner: StoredOwner, request: OwnerRequest, wait_seconds: float = 0.0
    ) -> PeerReply:
        """Return an owner's reply, or one of the following if it sent none.

        * :class:`NotOwnerReply` if no process listens at its address, or if the address is this
          node's: the owning process has ended or dropped the batch job.
        * :class:`UnavailableReply` if no reply came: the owner may be stalled or unreachable.
        * :class:`BusyReply` if no reply came in time but the node responds to pings.
        """
        if self.is_own_address(owner.record):
            return NotOwnerReply()
        address = owner.record.address
        try:
            return await self._peers.call(
                address, request, wait_seconds + PEER_TIMEOUT_MARGIN_SECONDS
            )
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
        """Return whether a node that did not answer in time responds to a ping."""
        try:
            await self._peers.call(address, Ping(), PING_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            return False
        return True

    async def read_results_from(
        self, owner: StoredOwner, batch_id: BatchId, position: int, wait_seconds: float
    ) -> PeerReply:
        """Read from an owner until it returns results or the time is up."""
        until = self._clock.monotonic() + wait_seconds
        while True:
            remaining = max(0.0, until - self._clock.monotonic())
            wait = min(remaining, OWNER_POLL_SECONDS)
            request = ReadResults(batch_id=batch_id, position=position, wait_seconds=wait)
            reply = await self.call_owner(owner, request, wait)
            if not isinstance(reply, PageReply) or remaining <= wait:
                return reply
            if reply.page.results or position >= reply.page.total:
                return reply
