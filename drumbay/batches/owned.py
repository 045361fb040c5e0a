"""The batch jobs that this node owns: started, taken over, handed to other nodes, let go."""

import asyncio
from collections.abc import Callable, Iterable

from drumbay.batches.exceptions import (
    BatchMovedError,
    BatchNotFoundError,
    BatchUnavailableError,
)
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.owners import OwnerTable
from drumbay.batches.place_sharing import PlaceSharing
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemResult,
    OwnerState,
    ReturnedItems,
    StoredOwner,
)
from drumbay.batches.returning import ReturningItems
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.batches.runner import BatchRunner
from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.forwarding.routes import ServiceUse
from drumbay.identifiers import Revision, WeightVersion
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import OwnerNotice, PlacesNotice, TakePartialTexts
from drumbay.peers.transport import PeerClient
from drumbay.quarantine.service import Quarantine
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.silence_check import SilenceCheck


class OwnedBatches:
    """Runners by batch job.

    Attributes:
        is_leaving: Whether nothing more is owned; what is owned goes on.
        sharing: The places that the batch jobs share with those of other owners.
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
        tell: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
        service_use: ServiceUse,
        shares_places: bool,
        metrics: ServingMetrics,
    ) -> None:
        """Own nothing.

        Args:
            clock: Time.
            ledger: Batch jobs in the store.
            owners: Who owns which batch job.
            directory: The workers.
            client: Calls to workers.
            silence_check: Asks workers whose streams are silent.
            quarantine: Says which items may run.
            scorer: Makes reward requests.
            peers: Calls to other nodes.
            task_owner: Runs the tasks of runners.
            newest_version: Returns the newest version named for a model.
            tell: Sends a notice to other nodes.
            service_use: Tells which kinds of requests reach a service.
            shares_places: Whether batch jobs share places with those of other owners.
            metrics: Counts what happens to batch jobs.
        """
        self.is_leaving = False
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
        self._runners: dict[BatchId, BatchRunner] = {}
        self._taking: dict[BatchId, asyncio.Event] = {}
        self._returning = ReturningItems(peers)
        self.sharing = PlaceSharing(
            clock,
            directory,
            owners,
            service_use,
            tell,
            lambda: [runner.share for runner in self._all_runners()],
            is_enabled=shares_places,
        )
        directory.add_listener(self._wake_runners)

    def _wake_runners(self) -> None:
        for runner in self._runners.values():
            runner.wake()

    def __len__(self) -> int:
        """Return how many batch jobs are owned."""
        return len(self._runners)

    def unfinished(self) -> int:
        """Return how many owned batch jobs have unlisted items that may still run here."""
        return sum(
            1 for runner in self._runners.values() if not runner.is_finished and not runner.is_held
        )

    def _all_runners(self) -> tuple[BatchRunner, ...]:
        return (*self._runners.values(), *self._returning.lingering)

    def get(self, batch_id: BatchId) -> BatchRunner | None:
        """Return the runner of a batch job, if it is owned."""
        return self._runners.get(batch_id)

    # New batch jobs

    async def place(self, spec: BatchSpec, owner: StoredOwner) -> None:
        """Run a batch job that was accepted, here or at the node that the store names."""
        if self._owners.is_own_boot(owner.record):
            self.start(spec, owner)
        elif await self._owners.hand_over(spec, owner):
            self._owners.note(OwnerNotice(batch_id=spec.batch_id, owner=owner))
        else:
            await self._take_back(spec, owner)

    def start(self, spec: BatchSpec, owner: StoredOwner) -> None:
        """Run a new batch job whose owner this process is; a leaving one does not."""
        if self.is_leaving or spec.batch_id in self._runners:
            return
        runner = self._own(spec, owner.revision, ())
        self._owners.announce(spec.batch_id, owner)
        self._task_owner.spawn(self._start(runner), f"batch-start-{spec.batch_id}")

    async def _take_back(self, spec: BatchSpec, owner: StoredOwner) -> None:
        """Own a batch job that its owner did not take; if it has after all, it stops."""
        record = self._owners.own_record(spec.stream, len(spec.items), spec.tenant)
        try:
            revision = await self._ledger.replace_owner(spec.batch_id, owner, record)
        except (BatchMovedError, KeyValueError):
            # The next reader finds an owner that does not know the batch job.
            return
        self.start(spec, StoredOwner(record=record, revision=revision))

    async def _start(self, runner: BatchRunner) -> None:
        nodes = self._owners.recent_owners(runner.spec.stream)
        runner.start(await self._returning.collect(runner.spec, nodes))

    def _own(
        self, spec: BatchSpec, revision: Revision, listed: tuple[ItemResult, ...]
    ) -> BatchRunner:
        runner = BatchRunner(
            self._clock,
            self._ledger,
            self._directory,
            self._client,
            self._silence_check,
            self._quarantine,
            self._scorer,
            self.sharing,
            self._task_owner,
            self._metrics,
            spec,
            revision,
            listed,
            newest_version=lambda: self._newest_version(spec.model),
            on_lost=self._forget,
        )
        self._runners[spec.batch_id] = runner
        self.sharing.note_change()
        return runner

    def _forget(self, batch_id: BatchId) -> None:
        runner = self._runners.pop(batch_id, None)
        if runner is not None and runner.is_lingering:
            self._returning.keep(runner)
        self._owners.forget(batch_id)

    # Batch jobs of other nodes

    async def take_over(
        self, batch_id: BatchId, silent: StoredOwner, *, owner_is_gone: bool
    ) -> None:
        """Own a batch job whose owner did not answer for it; callers meanwhile wait."""
        self._owners.forget(batch_id)
        if self.is_leaving:
            return
        if await self.wait_while_taking(batch_id):
            return
        taken = self._taking[batch_id] = asyncio.Event()
        try:
            await self._replace_owner(batch_id, silent, owner_is_gone=owner_is_gone)
        finally:
            del self._taking[batch_id]
            taken.set()

    async def wait_while_taking(self, batch_id: BatchId) -> bool:
        """Wait until a takeover that is under way here has ended; return whether one was.

        The store names this node the owner before it has read the batch job: whoever asks in
        between must not take it for one that has lost it.
        """
        taken = self._taking.get(batch_id)
        if taken is None:
            return False
        await taken.wait()
        return True

    async def _replace_owner(
        self, batch_id: BatchId, silent: StoredOwner, *, owner_is_gone: bool
    ) -> None:
        """Take the place of an owner in the store, and run the batch job.

        The record is read again: if it has changed, the new owner is asked instead.
        """
        try:
            owner = await self._ledger.read_owner(batch_id)
            if owner.revision != silent.revision or owner.record.state is OwnerState.ENDED:
                return
            before = owner.record
            record = self._owners.own_record(before.stream, before.total, before.tenant)
            revision = await self._ledger.replace_owner(batch_id, owner, record)
            stored = await self._ledger.read(batch_id)
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
            previous=str(silent.record.address),
            owner_is_gone=owner_is_gone,
            listed=len(stored.results),
            saved=len(stored.progress),
            items=len(stored.spec.items),
        )
        runner = self._own(stored.spec, revision, stored.results)
        self._owners.announce(batch_id, stored.owner)
        runner.resume(stored.progress, owner_is_gone=owner_is_gone)
        runner.start(ReturnedItems())

    async def take_up(self, batch_id: BatchId) -> None:
        """Own a batch job again that an earlier process at this address owned.

        Its trainer would notice only by its next call, and that may be held for seconds by a
        connection that died with the process.
        """
        try:
            owner = await self._ledger.read_owner(batch_id)
        except BatchNotFoundError:
            return
        is_own = self._owners.is_own_address(owner.record)
        if is_own and not self._owners.is_own_boot(owner.record):
            await self.take_over(batch_id, owner, owner_is_gone=True)

    # Ends

    def stop(self, batch_id: BatchId) -> None:
        """Let the runs of an ended batch job go on for a while; it lists nothing more."""
        runner = self._runners.pop(batch_id, None)
        self._owners.forget(batch_id)
        if runner is not None:
            runner.linger()
            self._returning.keep(runner)

    def give_up_texts(self, request: TakePartialTexts) -> ReturnedItems:
        """Stop working on items of ended batch jobs and return what was made of them."""
        return self._returning.give_up(request)

    def leave(self) -> None:
        """Own nothing more: the process is about to end; the next caller takes over."""
        self.is_leaving = True
        self._returning.close()
        for runner in self._runners.values():
            runner.close()
        self._runners.clear()
