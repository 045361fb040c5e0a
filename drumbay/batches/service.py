"""The batch jobs of one node: accept, run as owner, read and end at any node.

No node is registered anywhere. A batch job's owner stands in the store; a node that is asked
about a batch job forwards to the owner, and takes the batch job over if the owner does not
answer. Clients ask twice a second, so that a dead owner is noticed by their next call.
"""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.batches.exceptions import (
    BatchEndedError,
    BatchMovedError,
    BatchNotFoundError,
    BatchOutcomeUnknownError,
    BatchRefusedError,
    BatchUnavailableError,
)
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.listing import PAGE_BYTES
from drumbay.batches.owned import OwnedBatches
from drumbay.batches.owners import STORE_RETRY_SECONDS, OwnerTable, ServiceIdentity
from drumbay.batches.places import JobPlaces
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemId,
    OwnerRecord,
    OwnerState,
    ResultPage,
    StoredOwner,
)
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.exceptions import Execution
from drumbay.forwarding.routes import ServiceUse
from drumbay.identifiers import Revision, WeightVersion
from drumbay.kv.interface import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
    KeyValueStore,
)
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import (
    BatchRequest,
    BodyReply,
    BusyReply,
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
    TakePartialTexts,
)
from drumbay.peers.transport import PeerClient
from drumbay.quarantine.service import Quarantine
from drumbay.tasks import TaskOwner
from drumbay.tenants.records import TenantName
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.silence_check import SilenceCheck

ACCEPT_LIMIT_SECONDS = 4.0
"""How long a submission waits for a store that is away before it is refused."""

READ_LIMIT_SECONDS = 1.0
END_LIMIT_SECONDS = 3.5
REFUSED_RETRY_SECONDS = 1.0
TAKE_UP_RETRY_SECONDS = 0.5
"""A store that is away for seconds is asked some times only; readers find an owner as well."""

OWNER_ATTEMPTS = 4
PEER_PAGE_BYTES = 256_000
"""Several nodes ask an owner at the same time, and its link is narrow: larger pages would make
it seem silent. The clients of these nodes read on."""


class BatchService:
    """Batch jobs, from submission to end."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        directory: WorkerDirectory,
        client: WorkerClient,
        silence_check: SilenceCheck,
        quarantine: Quarantine,
        scorer: RewardScorer,
        peers: PeerClient,
        task_owner: TaskOwner,
        identity: ServiceIdentity,
        known_nodes: Callable[[], list[NetworkAddress]],
        newest_version: Callable[[str], WeightVersion],
        announce: Callable[[OwnerNotice], None],
        tell: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
        service_use: ServiceUse,
        shares_places: bool,
        metrics: ServingMetrics,
    ) -> None:
        """Create a service that owns nothing.

        Args:
            clock: Time.
            store: The key-value service.
            directory: The workers.
            client: Calls to workers.
            silence_check: Asks workers whose streams are silent.
            quarantine: Says which items may run.
            scorer: Makes reward requests.
            peers: Calls to other nodes.
            task_owner: Runs the service's tasks.
            identity: This process.
            known_nodes: Lists the other nodes.
            newest_version: Returns the newest version named for a model.
            announce: Tells the other nodes who owns a batch job.
            tell: Sends a notice to some nodes.
            service_use: Tells which kinds of requests reach a service.
            shares_places: Whether batch jobs share places with those of other owners.
            metrics: Counts what happens to batch jobs.
        """
        self._clock = clock
        self._identity = identity
        self.ledger = BatchLedger(store)
        self._task_owner = task_owner
        self._metrics = metrics
        self._known_nodes = known_nodes
        self._owners = OwnerTable(clock, self.ledger, peers, identity, announce)
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
            tell,
            service_use,
            shares_places,
            metrics,
        )

    @property
    def owned(self) -> int:
        """Return how many batch jobs this node runs."""
        return len(self._owned)

    def places(self) -> tuple[JobPlaces, ...]:
        """Return what the owned batch jobs hold and want at the workers."""
        return self._owned.sharing.places()

    def take_places(self, notice: PlacesNotice) -> None:
        """Take what another owner's batch jobs hold and want."""
        self._owned.sharing.take(notice)

    async def exchange_places(self) -> None:
        """Tell other owners what the batch jobs here hold and want, until cancelled."""
        await self._owned.sharing.run()

    def owners_of_open(self) -> set[NetworkAddress]:
        """Return the nodes that own open batch jobs, as far as this node knows."""
        return self._owners.owners_of_open()

    def unfinished(self) -> int:
        """Return how many owned batch jobs have unlisted items."""
        return self._owned.unfinished()

    async def take_up_own(self) -> None:
        """Own again what an earlier process at this address owned; the store may be away."""
        while True:
            try:
                for batch_id in await self.ledger.open_at(self._identity.address):
                    await self._owned.take_up(batch_id)
                return
            except (KeyValueError, BatchUnavailableError) as error:
                log_event("own_batches_not_read", level="WARNING", error=error.code)
                await self._clock.sleep(TAKE_UP_RETRY_SECONDS)

    # Submission

    async def submit(self, spec: BatchSpec) -> None:
        """Take a batch job durably; a repeated submission is taken once.

        Raises:
            BatchRefusedError: The batch job was not taken and never will be.
            BatchOutcomeUnknownError: It may have been taken.
        """
        owner = self._owners.record_for(spec, self._known_nodes())
        submitted_at = self._clock.wall()
        spec = msgspec.structs.replace(spec, submitted_at=submitted_at)
        deadline = self._clock.monotonic() + ACCEPT_LIMIT_SECONDS
        uncertain = False
        while True:
            try:
                revision = await self.ledger.accept(spec, owner, submitted_at)
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
            self._metrics.count_batch("submitted_again")
            log_event("batch_submitted_again", batch=spec.batch_id)
            return
        self._metrics.count_batch("accepted")
        log_event("batch_accepted", batch=spec.batch_id, items=len(spec.items), step=spec.step)
        stored = StoredOwner(record=owner, revision=revision)
        await self._owned.place(spec, stored)

    async def _written_revision(self, batch_id: BatchId, owner: OwnerRecord) -> Revision | None:
        """Return the revision of a record that an unanswered write of this node left."""
        try:
            stored = await self.ledger.read_owner(batch_id)
        except (KeyValueError, BatchNotFoundError):
            return None
        is_written = stored.record == owner and self._owned.get(batch_id) is None
        return stored.revision if is_written else None

    def note_owner(self, notice: OwnerNotice) -> None:
        """Take what another node tells about an owner."""
        self._owners.note(notice)

    # Reading, bodies, ends

    async def read(
        self,
        batch_id: BatchId,
        position: int,
        wait_seconds: float,
        tenant: TenantName | None = None,
    ) -> ResultPage:
        """Return results from a position on.

        Raises:
            BatchNotFoundError: There is no such batch job, or it is another tenant's.
            BatchUnavailableError: Nobody could answer.
        """
        deadline = self._clock.monotonic() + wait_seconds + READ_LIMIT_SECONDS
        for _ in range(OWNER_ATTEMPTS):
            runner = self._owned.get(batch_id)
            if runner is not None:
                self._check_visible(batch_id, runner.spec.tenant, tenant)
                return await runner.read(position, wait_seconds, PAGE_BYTES)
            owner = await self._owners.find(batch_id, deadline)
            self._check_visible(batch_id, owner.record.tenant, tenant)
            if owner.record.state is OwnerState.ENDED:
                return await self._read_stored(batch_id, position, owner.record.total, deadline)
            reply = await self._owners.ask_results(owner, batch_id, position, wait_seconds)
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
        batch_id: BatchId, holder: TenantName | None, caller: TenantName | None
    ) -> None:
        """Hide a batch job from other tenants as if it did not exist."""
        if caller is not None and holder is not None and caller != holder:
            log_event("batch_of_another_tenant", batch=batch_id, holder=holder, caller=caller)
            raise BatchNotFoundError(batch_id)

    async def _read_stored(
        self, batch_id: BatchId, position: int, total: int, deadline: float
    ) -> ResultPage:
        while True:
            try:
                return await self.ledger.read_results(batch_id, position, total, PAGE_BYTES)
            except KeyValueError as error:
                await self._owners.pause_until(deadline, error)

    async def body(
        self, batch_id: BatchId, item_id: ItemId, tenant: TenantName | None = None
    ) -> bytes:
        """Return the body of an item of an open batch job.

        Raises:
            BatchNotFoundError: There is no such batch job or item, or it is another tenant's.
            BatchEndedError: The batch job has ended.
            BatchUnavailableError: Nobody could answer.
        """
        deadline = self._clock.monotonic() + READ_LIMIT_SECONDS
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
            reply = await self._owners.ask(owner, request)
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
        """End a batch job durably: it lists nothing more and its items run no more.

        Raises:
            BatchNotFoundError: There is no such batch job, or it is another tenant's.
            BatchUnavailableError: The store did not answer.
        """
        deadline = self._clock.monotonic() + END_LIMIT_SECONDS
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
                await self._owners.pause_until(deadline, error)
        self._metrics.count_batch("ended")
        log_event("batch_ended", batch=batch_id)
        self._owned.stop(batch_id)
        stored = StoredOwner(record=ended, revision=revision)
        self._owners.announce(batch_id, stored)
        if not self._owners.is_own_address(owner.record):
            # Tell the owner at once; it would notice at its next write or check.
            self._task_owner.spawn(self._tell_end(batch_id, owner), "batch-end")

    async def _tell_end(self, batch_id: BatchId, owner: StoredOwner) -> None:
        await self._owners.ask(owner, EndBatch(batch_id=batch_id))

    # Calls of other nodes

    async def handle_peer(self, request: BatchRequest) -> PeerReply:
        """Answer a call of another node, as the owner only."""
        if isinstance(request, TakePartialTexts):
            return PartialTextsReply(returned=self._owned.give_up_texts(request))
        if isinstance(request, OwnBatch):
            return self._accept_ownership(request)
        await self._owned.wait_while_taking(request.batch_id)
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
        if self._owned.is_leaving or not self._owners.is_own_boot(request.owner.record):
            return NotOwnerReply()
        self._owned.start(request.spec, request.owner)
        return DoneReply()

    def turn_away(self) -> None:
        """Own no further batch job; those that are owned go on."""
        self._owned.is_leaving = True

    def leave(self) -> None:
        """Own nothing more: the process is about to end; the next caller takes over."""
        self._owned.leave()


def _refusal(uncertain: bool) -> BatchRefusedError | BatchOutcomeUnknownError:
    if uncertain:
        return BatchOutcomeUnknownError(
            "the store did not say whether it took the batch job",
            execution=Execution.MAY_HAVE_RUN,
        )
    return BatchRefusedError(
        "the store is away",
        execution=Execution.NOT_RUN,
        retry_after_seconds=REFUSED_RETRY_SECONDS,
    )
