"""Batch jobs of one node: submission, execution as owner, and reads from any node.

The store records the owner of each batch job. Any node forwards calls to the owner, and takes the
batch job over if the owner does not answer; clients poll often enough to trigger this soon.
"""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.delegation import Delegation
from drumbay.batches.deletion import BatchDeletion
from drumbay.batches.exceptions import (
    BatchEndedError,
    BatchMovedError,
    BatchNotDelegatedError,
    BatchNotFoundError,
    BatchOutcomeUnknownError,
    BatchRefusedError,
    BatchUnavailableError,
    BatchWithoutRegionError,
)
from drumbay.batches.ledger import BatchLedger, BatchStore, StoreWithin
from drumbay.batches.owned import OwnedBatches
from drumbay.batches.owners import STORE_RETRY_SECONDS, OwnerTable, ServiceIdentity
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemId,
    OwnerRecord,
    OwnerState,
    ResultPage,
    StoredOwner,
)
from drumbay.batches.result_log import RESULT_PAGE_BYTES
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.batches.slot_usage import JobSlotUsage
from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import Execution
from drumbay.forwarding.routes import RouteTable
from drumbay.identifiers import Revision, WeightVersion
from drumbay.kv.interface import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
)
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import (
    BatchRequest,
    BodyReply,
    BusyReply,
    DeleteBatch,
    DoneReply,
    EndBatch,
    NotFoundReply,
    NotOwnerReply,
    OwnBatch,
    OwnerNotice,
    PageReply,
    PartialTextsReply,
    PeerReply,
    PlacesNotice,
    ReadBody,
    ReadResults,
    TakeOverBatch,
    TakePartialTexts,
)
from drumbay.peers.transport import PeerClient
from drumbay.placement.gate import PlacementGate
from drumbay.quarantine.service import Quarantine
from drumbay.tasks import TaskOwner
from drumbay.tenants.records import TenantName
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.silence_check import SilenceCheck

ACCEPT_TIMEOUT_SECONDS = 4.0
"""How long a submission waits for an unavailable store before it is refused."""

READ_TIMEOUT_SECONDS = 1.0
END_TIMEOUT_SECONDS = 3.5
REFUSED_RETRY_SECONDS = 1.0
RECLAIM_RETRY_SECONDS = 0.5
MAX_RECLAIM_PAUSE_SECONDS = 8.0
"""Readers also trigger takeovers, so an unavailable store is not retried often."""

MAX_OWNER_SILENCE_SECONDS = 20.0
"""An owner named longer ago counts as such only if it sends its slot usage."""

OWNER_ATTEMPTS = 4
PEER_PAGE_BYTES = 256_000
"""Smaller than pages for clients: several nodes may read from one owner, whose link would otherwise
be saturated and its replies delayed.
"""


class BatchService:
    """Entry point for batch jobs, from submission to end."""

    def __init__(
        self,
        clock: Clock,
        store: BatchStore,
        store_within: StoreWithin,
        directory: WorkerDirectory,
        client: WorkerClient,
        silence_check: SilenceCheck,
        quarantine: Quarantine,
        scorer: RewardScorer,
        peers: PeerClient,
        task_owner: TaskOwner,
        identity: ServiceIdentity,
        holders: BodyHolders,
        newest_version: Callable[[str], WeightVersion],
        announce: Callable[[OwnerNotice], None],
        send_notice: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
        routes: RouteTable,
        placement: PlacementGate,
        shares_slots: bool,
        metrics: ServingMetrics,
    ) -> None:
        """Create a service that owns no batch jobs.

        Args:
            clock: Time.
            store: The key-value service.
            store_within: Restricts the store to nodes in some regions.
            directory: The workers.
            client: Calls workers.
            silence_check: Probes workers whose streams are silent.
            quarantine: Decides which items may run.
            scorer: Sends reward requests.
            peers: Calls other nodes.
            task_owner: Runs the service's tasks.
            identity: This process.
            holders: Decides which nodes may hold a batch job.
            newest_version: Returns the newest version announced for a model.
            announce: Notifies the other nodes of a batch job's owner.
            send_notice: Sends a notice to some nodes.
            routes: The current configuration.
            placement: Decides which workers may get an item.
            shares_slots: Whether batch jobs share worker slots with those of other owners.
            metrics: Counts batch job events.
        """
        self._clock = clock
        self._identity = identity
        self.ledger = BatchLedger(store, store_within)
        self._task_owner = task_owner
        self._metrics = metrics
        self._holders = holders
        self._owners = OwnerTable(clock, self.ledger, peers, identity, holders, announce)
        self._deletion = BatchDeletion(self.ledger, Delegation(peers, holders), holders)
        self._owned = OwnedBatches(
            clock,
            self.ledger,
            self._owners,
            directory,
            client,
            silence_check,
            quarantine,
            scorer,
            peers,
            task_owner,
            newest_version,
            send_notice,
            routes,
            holders,
            placement,
            shares_slots,
            metrics,
        )

    @property
    def owned_count(self) -> int:
        """Return the number of batch jobs that this node owns."""
        return len(self._owned)

    @property
    def services(self) -> frozenset[str]:
        """Return the services at which items of the owned batch jobs may run."""
        return self._owned.services

    def add_service_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after :attr:`services` may have changed."""
        self._owned.add_service_listener(listener)

    def slot_usage(self) -> tuple[JobSlotUsage, ...]:
        """Return the slot usage of the owned batch jobs."""
        return self._owned.slot_sharing.slot_usage()

    def handle_slot_notice(self, notice: PlacesNotice) -> None:
        """Store the slot usage that another owner sent."""
        self._owned.slot_sharing.handle_notice(notice)

    async def run_slot_exchange(self) -> None:
        """Send the slot usage of the owned batch jobs to other owners until cancelled."""
        await self._owned.slot_sharing.run()

    def competing_owners(self) -> set[NetworkAddress]:
        """Return the nodes that own open batch jobs, also those known only by their slot usage.

        One that has been silent for long doesn't count: the notice of its job's end was lost.
        """
        owners = self._owners.open_batch_owners()
        sharing = self._owned.slot_sharing
        if not sharing.is_enabled:
            return owners
        heard = self._owners.recently_named_owners(MAX_OWNER_SILENCE_SECONDS)
        return (owners & (heard | {self._owners.identity.address})) | sharing.remote_owners()

    def starting_owners(self) -> set[NetworkAddress]:
        """Return the competing owners whose items have not all started, as far as known."""
        sharing = self._owned.slot_sharing
        owners = self.competing_owners()
        return owners - sharing.idle_owners() if sharing.is_enabled else owners

    def open_batch_owners(self) -> set[NetworkAddress]:
        """Return the nodes that own open batch jobs, as far as known."""
        return self._owners.open_batch_owners()

    def unfinished_count(self) -> int:
        """Return how many owned batch jobs have unlisted items that are not blocked."""
        return self._owned.unfinished_count()

    async def reclaim_own(self) -> None:
        """Take over what an earlier process at this address owned, retrying errors.

        The pauses grow while no node in the allowed regions of a batch job takes over.
        """
        pause_seconds = RECLAIM_RETRY_SECONDS
        while True:
            try:
                if await self._reclaim_all():
                    return
                pause_seconds = min(2 * pause_seconds, MAX_RECLAIM_PAUSE_SECONDS)
            except (KeyValueError, BatchUnavailableError) as error:
                log_event("own_batches_not_read", level="WARNING", error=error.code)
                pause_seconds = RECLAIM_RETRY_SECONDS
            await self._clock.sleep(pause_seconds)

    async def _reclaim_all(self) -> bool:
        """Return whether each batch job of this address has an owner."""
        is_complete = True
        for batch_id in await self.ledger.open_batches_at(self._identity.address):
            try:
                await self._owned.reclaim(batch_id)
            except BatchNotDelegatedError:
                is_complete = False
        return is_complete

    async def run_relocation(self) -> None:
        """Give away batch jobs that this node may no longer hold, until cancelled."""
        if self._holders.has_regions:
            await self._owned.relocation.run()

    async def delete_ended(self, batch_id: BatchId, owner: OwnerRecord) -> None:
        """Delete an ended batch job from the store.

        Raises:
            BatchNotDelegatedError: No node that may read it deleted it.
        """
        await self._deletion.delete(batch_id, owner)

    # Submission

    async def submit(self, spec: BatchSpec) -> None:
        """Accept a batch job durably; a repeated submission has no effect.

        Raises:
            BatchRefusedError: The batch job was not and will not be accepted.
            BatchOutcomeUnknownError: It may have been accepted.
        """
        regions = self._holders.regions_of(spec)
        if regions.is_empty:
            await self._refuse_without_region(spec)
            return
        owner = self._owners.choose_owner(spec, regions)
        ledger = self.ledger.within(lambda: self._holders.regions_of(spec))
        submitted_at = self._clock.wall()
        spec = msgspec.structs.replace(spec, submitted_at=submitted_at)
        deadline = self._clock.monotonic() + ACCEPT_TIMEOUT_SECONDS
        uncertain = False
        while True:
            try:
                revision = await ledger.accept(spec, owner, submitted_at)
                break
            except KeyValueError as error:
                uncertain = uncertain or isinstance(error, KeyValueOutcomeUnknownError)
                log_event(
                    "batch_accept_failed",
                    level="WARNING",
                    batch=spec.batch_id,
                    error=error.code,
                    uncertain=uncertain,
                )
                if self._clock.monotonic() + STORE_RETRY_SECONDS > deadline:
                    self._metrics.count_batch("refused")
                    raise _refusal(uncertain) from error
                await self._clock.sleep(STORE_RETRY_SECONDS)
        if revision is None:
            revision = await self._written_revision(spec.batch_id, owner) if uncertain else None
        if revision is None:
            self._record_repeat(spec.batch_id)
            return
        self._metrics.count_batch("accepted")
        log_event(
            "batch_accepted",
            batch=spec.batch_id,
            items=len(spec.items),
            step=spec.step,
            owner=str(owner.address),
            allowed_regions=",".join(regions.names()),
        )
        stored = StoredOwner(record=owner, revision=revision)
        await self._owned.assign(spec, stored)

    async def _refuse_without_region(self, spec: BatchSpec) -> None:
        """Refuse a batch job that may run nowhere, unless it was accepted before.

        Raises:
            BatchWithoutRegionError: It was not accepted, and no part of it will run.
            BatchOutcomeUnknownError: The store did not tell whether it was accepted.
        """
        if await self._is_accepted(spec.batch_id):
            self._record_repeat(spec.batch_id)
            return
        log_event(
            "batch_without_region", level="WARNING", batch=spec.batch_id, route=spec.route_name
        )
        self._metrics.count_batch("refused")
        raise BatchWithoutRegionError(
            "no region is allowed by both its route and its tenant",
            execution=Execution.NOT_RUN,
            retry_after_seconds=REFUSED_RETRY_SECONDS,
        )

    async def _is_accepted(self, batch_id: BatchId) -> bool:
        """Return whether a batch job has been accepted, whether or not it has ended.

        Raises:
            BatchOutcomeUnknownError: The store did not respond.
        """
        try:
            await self.ledger.read_owner(batch_id)
        except BatchNotFoundError:
            return False
        except KeyValueError as error:
            raise _refusal(uncertain=True) from error
        return True

    def _record_repeat(self, batch_id: BatchId) -> None:
        self._metrics.count_batch("submitted_again")
        log_event("batch_submitted_again", batch=batch_id)

    async def _written_revision(self, batch_id: BatchId, owner: OwnerRecord) -> Revision | None:
        """Return the revision of a record that an unconfirmed write of this node stored."""
        try:
            stored = await self.ledger.read_owner(batch_id)
        except (KeyValueError, BatchNotFoundError):
            return None
        is_written = stored.record == owner and self._owned.get(batch_id) is None
        return stored.revision if is_written else None

    def handle_owner_notice(self, notice: OwnerNotice) -> None:
        """Handle another node's notice of an owner, who may have replaced this one."""
        self._owned.drop_if_replaced(notice.batch_id, notice.owner)
        self._owners.handle_notice(notice)

    # Reads and end

    async def read(
        self,
        batch_id: BatchId,
        position: int,
        wait_seconds: float,
        tenant: TenantName | None = None,
    ) -> ResultPage:
        """Return results from a position on.

        Raises:
            BatchNotFoundError: The batch job does not exist or belongs to another tenant.
            BatchUnavailableError: Neither the owner nor the store answered.
        """
        deadline = self._clock.monotonic() + wait_seconds + READ_TIMEOUT_SECONDS
        for _ in range(OWNER_ATTEMPTS):
            runner = self._owned.get(batch_id)
            if runner is not None:
                self._check_visible(batch_id, runner.spec.tenant, tenant)
                return await runner.read(position, wait_seconds, RESULT_PAGE_BYTES)
            owner = await self._owners.find(batch_id, deadline)
            self._check_visible(batch_id, owner.record.tenant, tenant)
            if owner.record.state is OwnerState.ENDED:
                return await self._read_stored(batch_id, position, owner.record, deadline)
            reply = await self._owners.read_results_from(owner, batch_id, position, wait_seconds)
            if isinstance(reply, PageReply):
                return reply.page
            wait_seconds = 0.0
            if isinstance(reply, BusyReply):
                break
            is_gone = isinstance(reply, NotOwnerReply)
            await self._owned.take_over(batch_id, owner, owner_is_gone=is_gone)
        raise BatchUnavailableError(batch_id)

    @staticmethod
    def _check_visible(
        batch_id: BatchId, owner_tenant: TenantName | None, caller: TenantName | None
    ) -> None:
        """Report a batch job of another tenant as not found."""
        if caller is not None and owner_tenant is not None and caller != owner_tenant:
            log_event("batch_of_another_tenant", batch=batch_id, holder=owner_tenant, caller=caller)
            raise BatchNotFoundError(batch_id)

    async def _read_stored(
        self, batch_id: BatchId, position: int, owner: OwnerRecord, deadline: float
    ) -> ResultPage:
        ledger = self.ledger.within(lambda: self._holders.regions_of(owner))
        while True:
            try:
                return await ledger.read_results(batch_id, position, owner.total, RESULT_PAGE_BYTES)
            except KeyValueError as error:
                await self._owners.wait_before_retry(deadline, error)

    async def body(
        self, batch_id: BatchId, item_id: ItemId, tenant: TenantName | None = None
    ) -> bytes:
        """Return the body of an item of an open batch job.

        Raises:
            BatchNotFoundError: The batch job or item does not exist or belongs to another tenant.
            BatchEndedError: The batch job has ended.
            BatchUnavailableError: Neither the owner nor the store answered.
        """
        deadline = self._clock.monotonic() + READ_TIMEOUT_SECONDS
        for _ in range(OWNER_ATTEMPTS):
            runner = self._owned.get(batch_id)
            if runner is not None:
                self._check_visible(batch_id, runner.spec.tenant, tenant)
                return runner.body(item_id)
            owner = await self._owners.find(batch_id, deadline)
            self._check_visible(batch_id, owner.record.tenant, tenant)
            if owner.record.state is OwnerState.ENDED:
                raise BatchEndedError(batch_id)
            request = ReadBody(batch_id=batch_id, item_id=item_id)
            reply = await self._owners.call_owner(owner, request)
            if isinstance(reply, BodyReply):
                return reply.body
            if isinstance(reply, NotFoundReply):
                raise BatchNotFoundError(f"{batch_id}/{item_id}")
            if isinstance(reply, BusyReply):
                break
            is_gone = isinstance(reply, NotOwnerReply)
            await self._owned.take_over(batch_id, owner, owner_is_gone=is_gone)
        raise BatchUnavailableError(batch_id)

    async def end(self, batch_id: BatchId, tenant: TenantName | None = None) -> None:
        """End a batch job durably: no further items start and no further results are listed.

        Raises:
            BatchNotFoundError: The batch job does not exist or belongs to another tenant.
            BatchUnavailableError: The store did not answer.
        """
        deadline = self._clock.monotonic() + END_TIMEOUT_SECONDS
        while True:
            owner = await self._owners.find(batch_id, deadline)
            self._check_visible(batch_id, owner.record.tenant, tenant)
            if owner.record.state is OwnerState.ENDED:
                return
            try:
                ended = msgspec.structs.replace(owner.record, state=OwnerState.ENDED)
                revision = await self.ledger.replace_owner(batch_id, owner, ended)
                break
            except BatchMovedError:
                self._owners.forget(batch_id)
            except KeyValueError as error:
                self._owners.forget(batch_id)
                await self._owners.wait_before_retry(deadline, error)
        self._metrics.count_batch("ended")
        log_event("batch_ended", batch=batch_id)
        self._owned.stop(batch_id)
        stored = StoredOwner(record=ended, revision=revision)
        self._owners.announce(batch_id, stored)
        if not self._owners.is_own_address(owner.record):
            # Notify the owner now instead of at its next write or ownership check.
            self._task_owner.spawn(self._notify_end(batch_id, owner), "batch-end")

    async def _notify_end(self, batch_id: BatchId, owner: StoredOwner) -> None:
        await self._owners.call_owner(owner, EndBatch(batch_id=batch_id))

    # Peer calls

    async def handle_peer(self, request: BatchRequest) -> PeerReply:
        """Answer a call of another node, without forwarding it."""
        if isinstance(request, TakePartialTexts):
            return PartialTextsReply(returned=self._owned.release_texts(request))
        if isinstance(request, OwnBatch):
            return self._accept_ownership(request)
        if isinstance(request, TakeOverBatch):
            return await self._owned.accept_takeover(request)
        if isinstance(request, DeleteBatch):
            return await self._deletion.handle(request)
        await self._owned.wait_for_takeover(request.batch_id)
        runner = self._owned.get(request.batch_id)
        match request:
            case EndBatch(batch_id=batch_id):
                self._owned.stop(batch_id)
                return DoneReply()
            case _ if runner is None:
                return NotOwnerReply()
            case ReadResults(position=position, wait_seconds=wait_seconds):
                page = await runner.read(position, wait_seconds, PEER_PAGE_BYTES)
                return PageReply(page=page)
            case ReadBody(item_id=item_id):
                try:
                    return BodyReply(body=runner.body(item_id))
                except BatchNotFoundError:
                    return NotFoundReply()

    def _accept_ownership(self, request: OwnBatch) -> PeerReply:
        if self._owned.is_draining or not self._owners.may_be_own_process(request.owner.record):
            return NotOwnerReply()
        self._owned.start(request.spec, request.owner)
        return DoneReply()

    def stop_accepting(self) -> None:
        """Accept no further ownership; owned batch jobs go on."""
        self._owned.is_draining = True

    def shut_down(self) -> None:
        """Stop all batch jobs before the process ends; the next caller's node takes over."""
        self._owned.shut_down()


def _refusal(uncertain: bool) -> BatchRefusedError | BatchOutcomeUnknownError:
    if uncertain:
        return BatchOutcomeUnknownError(
            "the store did not confirm the batch job in time",
            execution=Execution.MAY_HAVE_RUN,
        )
    return BatchRefusedError(
        "the store is unavailable",
        execution=Execution.NOT_RUN,
        retry_after_seconds=REFUSED_RETRY_SECONDS,
    )
