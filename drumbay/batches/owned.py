"""The batch jobs that this node owns: start, handover to other nodes, takeover and end."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from drumbay.batches.answer_losses import AnswerLosses
from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.delegation import Delegation
from drumbay.batches.exceptions import (
    BatchMovedError,
    BatchNotDelegatedError,
    BatchNotFoundError,
    BatchUnavailableError,
)
from drumbay.batches.item_failures import FailureHistory
from drumbay.batches.job_service import JobService
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.lingering import LingeringBatches
from drumbay.batches.owners import ANY_PROCESS, OwnerTable
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemResult,
    OwnerRecord,
    OwnerState,
    ResubmittedItems,
    StoredOwner,
)
from drumbay.batches.relocation import Relocation
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.batches.runner import BatchRunner
from drumbay.batches.slot_sharing import SlotSharing
from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.routes import BatchRouting
from drumbay.identifiers import Revision, WeightVersion
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import (
    DoneReply,
    NotOwnerReply,
    OwnerNotice,
    PeerReply,
    PlacesNotice,
    TakeOverBatch,
    TakePartialTexts,
    UnavailableReply,
)
from drumbay.peers.transport import PeerClient
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.quarantine.service import Quarantine
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.silence_check import SilenceCheck

HAND_OVER_ATTEMPTS = 2
"""Further nodes that are offered a batch job which its first owner did not confirm."""


class OwnedBatches:
    """The runners of the owned batch jobs.

    Attributes:
        is_draining: Whether no further batch jobs are accepted; the owned ones go on.
        slot_sharing: Shares worker slots with the batch jobs of other owners.
        relocation: Gives away batch jobs that this node may no longer hold.
    """

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        owners: OwnerTable,
        directory: WorkerDirectory,
        client: WorkerClient,
        silence_check: SilenceCheck,
        quarantine: Quarantine,
        scorer: RewardScorer,
        peers: PeerClient,
        task_owner: TaskOwner,
        newest_version: Callable[[str], WeightVersion],
        send_notice: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
        routes: BatchRouting,
        holders: BodyHolders,
        placement: PlacementGate,
        shares_slots: bool,
        metrics: ServingMetrics,
    ) -> None:
        """Create the collection without batch jobs.

        Args:
            clock: Time.
            ledger: Batch jobs in the store.
            owners: Maps batch jobs to owners.
            directory: The workers.
            client: Calls workers.
            silence_check: Probes workers whose streams are silent.
            quarantine: Decides which items may run.
            scorer: Sends reward requests.
            peers: Calls other nodes.
            task_owner: Runs the tasks of runners.
            newest_version: Returns the newest weight version announced for a model.
            send_notice: Sends a notice to other nodes.
            routes: The current configuration.
            holders: Decides which nodes may hold a batch job.
            placement: Decides which workers may get an item.
            shares_slots: Whether batch jobs share worker slots with those of other owners.
            metrics: Counts batch job events.
        """
        self.is_draining = False
        self._clock = clock
        self._ledger = ledger
        self._owners = owners
        self._directory = directory
        self._client = client
        self._silence_check = silence_check
        self._quarantine = quarantine
        self._scorer = scorer
        self._task_owner = task_owner
        self._newest_version = newest_version
        self._metrics = metrics
        self._holders = holders
        self._placement = placement
        self._routes = routes
        self._service_listeners: list[Callable[[], None]] = []
        self._failure_history = FailureHistory()
        self._answer_losses = AnswerLosses()
        self._runners: dict[BatchId, BatchRunner] = {}
        self._takeovers: dict[BatchId, asyncio.Event] = {}
        self._lingering = LingeringBatches(peers, holders, owners.identity.address)
        self._delegation = Delegation(peers, holders)
        self.relocation = Relocation(
            clock,
            holders,
            self._delegation,
            lambda: tuple(self._runners.values()),
            self._drop_runner,
        )
        self.slot_sharing = SlotSharing(
            clock,
            directory,
            owners,
            routes,
            placement,
            send_notice,
            lambda: [runner.share for runner in self._all_runners()],
            is_enabled=shares_slots,
        )
        directory.add_listener(self._wake_runners)
        placement.evacuations.add_listener(self._wake_runners)

    def _wake_runners(self) -> None:
        for runner in self._runners.values():
            runner.wake()

    def __len__(self) -> int:
        """Return the number of owned batch jobs."""
        return len(self._runners)

    @property
    def services(self) -> frozenset[str]:
        """Return the services at which items of the owned batch jobs may run."""
        return frozenset(
            service for runner in self._runners.values() for service in runner.service.candidates
        )

    def add_service_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after :attr:`services` may have changed."""
        self._service_listeners.append(listener)

    def _notify_service_listeners(self) -> None:
        for listener in self._service_listeners:
            listener()

    def unfinished_count(self) -> int:
        """Return how many owned batch jobs have unlisted items that are not blocked."""
        return sum(
            1
            for runner in self._runners.values()
            if not runner.is_finished and not runner.is_blocked
        )

    def _all_runners(self) -> tuple[BatchRunner, ...]:
        return (*self._runners.values(), *self._lingering.active)

    def get(self, batch_id: BatchId) -> BatchRunner | None:
        """Return the runner of a batch job, if it is owned."""
        return self._runners.get(batch_id)

    # New batch jobs

    async def assign(self, spec: BatchSpec, owner: StoredOwner) -> None:
        """Run an accepted batch job here or on the node that the store names as its owner."""
        if self._owners.is_own_process(owner.record):
            self.start(spec, owner)
        elif await self._owners.hand_over(spec, owner):
            self._owners.handle_notice(OwnerNotice(batch_id=spec.batch_id, owner=owner))
        else:
            await self._reassign(spec, owner)

    def start(self, spec: BatchSpec, owner: StoredOwner) -> None:
        """Run a new batch job owned by this process; does nothing while draining."""
        if self.is_draining or spec.batch_id in self._runners:
            return
        runner = self._create_runner(spec, owner.revision, ())
        self._owners.announce(spec.batch_id, owner)
        self._task_owner.spawn(self._start(runner), f"batch-start-{spec.batch_id}")

    async def _reassign(self, spec: BatchSpec, owner: StoredOwner) -> None:
        """Take over a batch job that its designated owner did not confirm.

        A node outside the allowed regions offers it to nodes inside first. If the designated owner
        accepted the job but its reply was lost, it stops once its revision has been replaced.
        """
        records = [*self._further_owners(spec, owner), self._owners.new_record(spec)]
        for record in records:
            try:
                revision = await self._ledger.replace_owner(spec.batch_id, owner, record)
            except (BatchMovedError, KeyValueError):
                # The next reader finds an owner without the batch job, and takes over.
                return
            owner = StoredOwner(record=record, revision=revision)
            if self._owners.is_own_process(record):
                self.start(spec, owner)
            elif await self._owners.hand_over(spec, owner):
                self._owners.handle_notice(OwnerNotice(batch_id=spec.batch_id, owner=owner))
                return

    def _further_owners(self, spec: BatchSpec, owner: StoredOwner) -> list[OwnerRecord]:
        regions = self._allowed_regions(spec)
        if self._holders.includes_this_node(regions):
            return []
        ranked = self._holders.ranked(spec.batch_id, regions)
        others = [address for address in ranked if address != owner.record.address]
        return [
            msgspec.structs.replace(owner.record, address=address, boot=ANY_PROCESS)
            for address in others[:HAND_OVER_ATTEMPTS]
        ]

    async def _start(self, runner: BatchRunner) -> None:
        regions = self._allowed_regions(runner.spec)
        nodes = self._owners.recent_owners(runner.spec.stream, regions)
        runner.start(await self._lingering.collect(runner.spec, nodes))

    def _create_runner(
        self, spec: BatchSpec, revision: Revision, listed: tuple[ItemResult, ...]
    ) -> BatchRunner:
        runner = BatchRunner(
            self._clock,
            self._ledger.within(lambda: self._allowed_regions(spec)),
            self._directory,
            self._client,
            self._silence_check,
            self._quarantine,
            self._scorer,
            self.slot_sharing,
            self._task_owner,
            self._metrics,
            self._placement,
            lambda: self._allowed_regions(spec),
            self._failure_history,
            self._answer_losses,
            self._job_service(spec),
            spec,
            revision,
            listed,
            newest_version=lambda: self._newest_version(spec.model),
            on_lost=self._drop_runner,
            on_services_changed=self._notify_service_listeners,
        )
        self._runners[spec.batch_id] = runner
        self._notify_service_listeners()
        self.slot_sharing.schedule_notice()
        return runner

    def _job_service(self, spec: BatchSpec) -> JobService:
        return JobService(
            self._clock,
            self._routes,
            self._directory,
            self._placement,
            lambda: self._allowed_regions(spec),
            spec,
        )

    def _allowed_regions(self, spec: BatchSpec) -> AllowedRegions:
        return self._holders.regions_of(spec)

    def drop_if_replaced(self, batch_id: BatchId, owner: StoredOwner) -> None:
        """Stop a batch job if a later owner than this node is known."""
        runner = self._runners.get(batch_id)
        is_later = runner is not None and owner.revision > runner.revision
        if runner is not None and is_later and owner.record.state is OwnerState.OPEN:
            runner.handle_replacement()

    def _drop_runner(self, batch_id: BatchId) -> None:
        runner = self._runners.pop(batch_id, None)
        if runner is not None and runner.is_lingering:
            self._lingering.add(runner)
        self._notify_service_listeners()
        self._owners.forget(batch_id)

    # Takeover

    async def take_over(
        self, batch_id: BatchId, lost_owner: StoredOwner, *, owner_is_gone: bool
    ) -> None:
        """Take over a batch job whose owner did not answer; concurrent callers wait.

        A node outside the allowed regions does not read the batch job, but asks nodes inside.

        Raises:
            BatchUnavailableError: The store did not answer, or this node does not know the regions
                yet.
            BatchNotDelegatedError: None of the nodes that this one asked took over.
        """
        self._owners.forget(batch_id)
        if not self._holders.knows_regions:
            raise BatchUnavailableError(batch_id)
        regions = self._holders.regions_of(lost_owner.record)
        is_allowed = self._holders.includes_this_node(regions)
        if is_allowed and self.is_draining:
            return
        if await self.wait_for_takeover(batch_id):
            return
        finished = self._takeovers[batch_id] = asyncio.Event()
        try:
            if is_allowed:
                await self._replace_owner(batch_id, lost_owner, owner_is_gone=owner_is_gone)
                return
            if not owner_is_gone:
                self._holders.mark_unresponsive(lost_owner.record.address)
            if not await self._delegation.take_over(
                batch_id, lost_owner.revision, regions, owner_is_gone=owner_is_gone
            ):
                raise BatchNotDelegatedError(batch_id)
        finally:
            del self._takeovers[batch_id]
            finished.set()

    async def wait_for_takeover(self, batch_id: BatchId) -> bool:
        """Wait for a takeover in progress on this node; return whether there was one.

        The store names this node as owner before it has read the batch job and created a runner;
        without the wait, callers would conclude meanwhile that no node owns the job.
        """
        finished = self._takeovers.get(batch_id)
        if finished is None:
            return False
        await finished.wait()
        return True

    async def _replace_owner(
        self, batch_id: BatchId, lost_owner: StoredOwner, *, owner_is_gone: bool
    ) -> None:
        """Replace an owner in the store and run the batch job.

        The record is read again first: if it has changed, the caller asks the new owner instead.
        """
        try:
            owner = await self._ledger.read_owner(batch_id)
            if owner.revision != lost_owner.revision or owner.record.state is OwnerState.ENDED:
                return
            record = self._owners.takeover_record(owner.record)
            revision = await self._ledger.replace_owner(batch_id, owner, record)
            allowed = self._ledger.within(lambda: self._holders.regions_of(record))
            stored = await allowed.read(batch_id)
        except BatchMovedError:
            return
        except KeyValueError as error:
            raise BatchUnavailableError(error.code) from error
        if stored.owner.revision != revision or batch_id in self._runners:
            return
        self._metrics.count_batch("taken_over")
        log_event(
            "batch_taken_over",
            level="WARNING",
            batch=batch_id,
            previous=str(lost_owner.record.address),
            owner_is_gone=owner_is_gone,
            listed=len(stored.results),
            saved=len(stored.progress),
            items=len(stored.spec.items),
            allowed_regions=",".join(self._holders.regions_of(record).names()),
        )
        runner = self._create_runner(stored.spec, revision, stored.results)
        self._owners.announce(batch_id, stored.owner)
        runner.resume(stored.progress, owner_is_gone=owner_is_gone)
        runner.start(ResubmittedItems())

    async def reclaim(self, batch_id: BatchId) -> None:
        """Take over a batch job that an earlier process at this address owned.

        The trainer's next call would also trigger this, but may come seconds later if its
        connection was closed when that process ended.
        """
        try:
            owner = await self._ledger.read_owner(batch_id)
        except BatchNotFoundError:
            return
        is_own = self._owners.is_own_address(owner.record) and batch_id not in self._runners
        if is_own and not self._owners.is_own_process(owner.record):
            await self.take_over(batch_id, owner, owner_is_gone=True)

    async def accept_takeover(self, request: TakeOverBatch) -> PeerReply:
        """Take over a batch job for a node outside its allowed regions, without asking others."""
        batch_id = request.batch_id
        runner = self._runners.get(batch_id)
        if runner is not None and runner.revision >= request.owner_revision:
            return DoneReply()
        if runner is not None:
            # Replaced by another owner, but not yet aware of it.
            runner.close()
            self._drop_runner(batch_id)
        try:
            owner = await self._ledger.read_owner(batch_id)
            if owner.revision != request.owner_revision:
                return NotOwnerReply()
            if not self._holders.includes_this_node(self._holders.regions_of(owner.record)):
                return UnavailableReply()
            await self.take_over(batch_id, owner, owner_is_gone=request.owner_is_gone)
        except BatchNotFoundError:
            return NotOwnerReply()
        except (KeyValueError, BatchUnavailableError) as error:
            log_event("batch_not_taken_over", level="WARNING", batch=batch_id, error=error.code)
            return UnavailableReply()
        return DoneReply() if batch_id in self._runners else UnavailableReply()

    # End

    def stop(self, batch_id: BatchId) -> None:
        """Stop listing results of an ended batch job; its runs linger."""
        runner = self._runners.pop(batch_id, None)
        self._owners.forget(batch_id)
        if runner is not None:
            runner.linger()
            self._lingering.add(runner)
            self._notify_service_listeners()

    def release_texts(self, request: TakePartialTexts) -> ResubmittedItems:
        """Stop the runs of items of ended batch jobs and return their partial texts."""
        return self._lingering.release_texts(request)

    def shut_down(self) -> None:
        """Stop all batch jobs before the process ends; the next caller's node takes over."""
        self.is_draining = True
        self._lingering.close()
        for runner in self._runners.values():
            runner.close()
        self._runners.clear()
