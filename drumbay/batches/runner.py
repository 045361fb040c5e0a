"""Runs one owned batch job: executes the scheduler's decisions and lists the results."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress

from drumbay.batches.answer_losses import AnswerLosses
from drumbay.batches.decisions import (
    Decision,
    RunFailure,
    ScoreText,
    StartLimits,
    StartRun,
    StopReason,
    StopRun,
)
from drumbay.batches.exceptions import (
    BatchEndedError,
    BatchError,
    BatchMovedError,
    BatchNotFoundError,
)
from drumbay.batches.failure_log import FailureLog
from drumbay.batches.item_failures import FailureHistory, ItemFailures
from drumbay.batches.item_quarantine import ItemQuarantine
from drumbay.batches.item_scoring import ItemScoring
from drumbay.batches.item_stream import ItemStreams
from drumbay.batches.job_service import JobService
from drumbay.batches.job_share import JobShare
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.progress import ProgressSaver
from drumbay.batches.records import (
    BatchId,
    BatchItem,
    BatchSpec,
    ItemId,
    ItemResult,
    PartialText,
    ResubmittedItems,
    ResultPage,
)
from drumbay.batches.result_log import (
    FLUSH_INTERVAL_SECONDS,
    TAIL_FLUSH_INTERVAL_SECONDS,
    ResultLog,
)
from drumbay.batches.reusable_texts import finished_text, next_minimum_version
from drumbay.batches.reward_scorer import RewardScorer
from drumbay.batches.run_failure import record_run_failure
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.slot_sharing import SlotSharing
from drumbay.batches.start_allowances import add_placement_limits
from drumbay.batches.unanswered_runs import UnansweredRuns
from drumbay.clock import Clock
from drumbay.forwarding.records import RewardOrder
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.quarantine.service import Quarantine
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerAnswerLostError, WorkerError
from drumbay.workers.silence_check import SilenceCheck
from drumbay.workers.worker_record import WorkerRecord

PLAN_INTERVAL_SECONDS = 0.1
PLAN_DEBOUNCE_SECONDS = 0.005
"""Delay before planning, so that one plan covers runs that end at the same moment."""

TAIL_ITEM_SHARE = 0.25
"""With at most this share of items left, the longer flush interval applies."""

LINGER_SECONDS = 8.0
"""How long runs continue after the end of a batch job, for items that are resubmitted."""

LAST_FAILURES_SECONDS = 15.0
"""How long a stopped owner tries to store its last failures; the store may be away meanwhile."""

RESUME_DELAY_SECONDS = 1.7
MIN_RESUMED_EVENTS = 45
"""A replaced owner that is still alive stops within ``OWNER_CHECK_INTERVAL_SECONDS``. Texts with
fewer events than this are generated again at once instead of resumed after the delay.
"""

MAX_BATCH_AGE_SECONDS = 60.0
"""Bounds the computed age of a batch job, as clocks of two machines may differ."""

_COUNTED_FAILURES = {
    RunFailure.FAILED: ItemFailures(runs=1),
    RunFailure.REJECTED: ItemFailures(rejections=1),
}
_UNSEEN_FAILURES = frozenset({RunFailure.STOPPED, RunFailure.BROKEN})
_NO_EVENT_REASONS = frozenset(
    {StopReason.SILENT, StopReason.UNSTARTED, StopReason.QUEUED, StopReason.STALLED}
)


class BatchRunner:
    """Runs a batch job until it ends, moves to another node or is closed.

    Attributes:
        spec: The batch job.
        service: The service that runs its items.
        revision: The owner's revision in the ledger.
        share: Its share of worker slots.
        holds_starts: Whether no items start, as the batch job is about to move.
    """

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        directory: WorkerDirectory,
        client: WorkerClient,
        silence_check: SilenceCheck,
        quarantine: Quarantine,
        scorer: RewardScorer,
        slot_sharing: SlotSharing,
        task_owner: TaskOwner,
        metrics: ServingMetrics,
        placement: PlacementGate,
        allowed_regions: Callable[[], AllowedRegions],
        failure_history: FailureHistory,
        answer_losses: AnswerLosses,
        service: JobService,
        spec: BatchSpec,
        revision: Revision,
        listed: tuple[ItemResult, ...],
        *,
        newest_version: Callable[[], WeightVersion],
        on_lost: Callable[[BatchId], None],
        on_services_changed: Callable[[], None],
    ) -> None:
        """Create a runner for the items that are not yet listed.

        Args:
            clock: Time.
            ledger: Stores the results.
            directory: The workers.
            client: Calls workers.
            silence_check: Probes workers whose streams are silent.
            quarantine: Decides which items may run.
            scorer: Sends reward requests.
            slot_sharing: Computes the job's share of worker slots.
            task_owner: Runs the runner's tasks.
            metrics: Counts runs and results.
            placement: Decides which workers may get an item.
            allowed_regions: Returns the regions in which the items may run now.
            failure_history: What this node knows of failed items.
            answer_losses: Answers that the items of this node get and lose.
            service: Selects the service that runs the items.
            spec: The batch job.
            revision: The owner's revision in the ledger.
            listed: Results that the store contains already.
            newest_version: Returns the newest version announced for the batch job's model.
            on_lost: Called when another node owns the batch job, or it has ended.
            on_services_changed: Called when the services that may run the items have changed.
        """
        self.spec = spec
        self.service = service
        self.revision = revision
        self._clock = clock
        self._directory = directory
        self._silence_check = silence_check
        self._quarantine = ItemQuarantine(quarantine, spec)
        self._task_owner = task_owner
        self._metrics = metrics
        self._placement = placement
        self._allowed_regions = allowed_regions
        self._started_at = clock.monotonic()
        self._on_lost = on_lost
        self._on_services_changed = on_services_changed
        self._slot_sharing = slot_sharing
        self._newest_version = newest_version
        self._version_at_start = newest_version()
        submitted_at = self._started_at - _age_seconds(spec, clock.wall())
        self._scheduler = BatchScheduler(
            spec, self._started_at, listed, slot_sharing.event_size_of(spec.model), submitted_at
        )
        self._streams = ItemStreams(
            clock,
            directory,
            client,
            placement,
            allowed_regions,
            answer_losses,
            spec,
            self._scheduler,
        )
        self.share = JobShare(
            clock,
            directory,
            slot_sharing,
            metrics,
            placement,
            allowed_regions,
            service,
            spec,
            self._scheduler,
            submitted_at,
        )
        self._missing_groups = self._scheduler.missing_groups
        self._finished: dict[ItemId, ItemResult] = {}
        self._result_log = ResultLog(
            clock,
            ledger,
            spec,
            revision,
            listed,
            flush_interval_seconds=self._flush_interval_seconds,
            on_lost=self._handle_ownership_loss,
        )
        self._progress = ProgressSaver(
            clock,
            ledger,
            spec.batch_id,
            revision,
            self._scheduler,
            self._result_log.confirm_ownership,
        )
        self._failure_log = FailureLog(clock, ledger, failure_history, spec, revision)
        self._losses = answer_losses
        self._unanswered = UnansweredRuns(
            clock,
            directory,
            answer_losses,
            self._scheduler,
            self._failure_log,
            task_owner,
            spec.batch_id,
            on_result=self._add_result_unless_closed,
            on_change=self.wake,
        )
        self._failure_writer: asyncio.Task[None] | None = None
        # Set once the store has told how often the items have failed before, or did not answer.
        self._may_start_items = asyncio.Event()
        self._runs: dict[ItemId, asyncio.Task[None]] = {}
        self._wakeup = asyncio.Event()
        self._scoring = ItemScoring(
            clock,
            scorer,
            self._scheduler,
            task_owner,
            spec.batch_id,
            RewardOrder(
                batch_started_at=submitted_at,
                batch_priority=spec.priority,
                ends_at=submitted_at + spec.queue_limit_seconds,
            ),
            allowed_regions,
            record_failures=self._failure_log.record,
            on_result=self._add_result,
            on_change=self._wakeup.set,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._limits = StartLimits()
        self.holds_starts = False
        self._closed = False
        self._lingering = False

    def resume(self, stored: tuple[PartialText, ...], *, owner_is_gone: bool) -> None:
        """Resume from the texts that the previous owner saved; call before :meth:`start`.

        If that owner may be alive, its items are resumed only after it must have noticed its
        replacement; items with short texts are generated again.
        """
        now = self._clock.monotonic()
        if owner_is_gone:
            self._scheduler.resume_from(stored, now)
            return
        long = [text for text in stored if len(text.texts) >= MIN_RESUMED_EVENTS]
        self._scheduler.resume_from(long, now + RESUME_DELAY_SECONDS)

    def start(self, resubmitted: ResubmittedItems) -> None:
        """Start to run the items, reusing the texts of resubmitted ones."""
        if self._closed or self._lingering:
            return
        name = self.spec.batch_id
        self._scheduler.reuse_texts(resubmitted)
        for result in self._scheduler.pop_reused_results():
            self._add_result(result)
        self._failure_writer = self._task_owner.spawn(
            self._failure_log.run(), f"batch-failures-{name}"
        )
        self._tasks = [
            self._task_owner.spawn(self._load_past_failures(), f"batch-past-failures-{name}"),
            self._task_owner.spawn(self._run_scheduling(), f"batch-schedule-{name}"),
            self._task_owner.spawn(self._result_log.run(), f"batch-list-{name}"),
            self._task_owner.spawn(self._progress.run(), f"batch-progress-{name}"),
        ]
        log_event(
            "batch_owned",
            batch=name,
            model=self.spec.model,
            step=self.spec.step,
            items=len(self.spec.items),
            listed=self._result_log.listed_count,
            minimum_version=self.spec.minimum_version,
            revision=self.revision,
        )

    def close(self) -> None:
        """Stop every run and drop unlisted results."""
        self._stop_tasks()
        self._closed = True
        self._scoring.stop_all()
        for task in self._runs.values():
            task.cancel()
        if self._failure_writer is not None:
            self._task_owner.spawn(
                self._end_failure_log(self._failure_writer),
                f"batch-last-failures-{self.spec.batch_id}",
            )

    async def _end_failure_log(self, writer: asyncio.Task[None]) -> None:
        """Let the log store what the last runs have counted, then end it."""
        await self._clock.sleep(LAST_FAILURES_SECONDS)
        writer.cancel()

    def linger(self) -> None:
        """Stop starting items and listing results, but let runs continue for reuse."""
        self._stop_tasks()
        self._lingering = True
        self.share.is_open = False
        self._scoring.stop_all()
        self._finished.update({result.item_id: result for result in self._result_log.results})
        minimum_version = next_minimum_version(
            self.spec, self._version_at_start, self._newest_version()
        )
        for item_id in self._scheduler.unusable_after_end(minimum_version):
            self._cancel_run(item_id)
        self._task_owner.spawn(self._close_later(), f"batch-linger-{self.spec.batch_id}")

    async def _close_later(self) -> None:
        await self._clock.sleep(LINGER_SECONDS)
        self.close()

    def _stop_tasks(self) -> None:
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self._tasks = []
        self._result_log.close()

    @property
    def is_lingering(self) -> bool:
        """Return whether runs of the ended batch job may still continue."""
        return self._lingering and not self._closed

    def release_texts(
        self, item_ids: Iterable[ItemId], minimum_version: WeightVersion
    ) -> ResubmittedItems:
        """Stop the runs of items; return the texts that satisfy a minimum version."""
        own = {item.item_id for item in self.spec.items}
        known_ids = [item_id for item_id in item_ids if item_id in own]
        texts: list[PartialText] = []
        for item_id in known_ids:
            partial_text = finished_text(self._finished.get(item_id), minimum_version)
            if partial_text is None:
                partial_text = self._scheduler.partial_text(item_id, minimum_version)
            self._cancel_run(item_id)
            if partial_text is not None:
                texts.append(partial_text)
        return ResubmittedItems(item_ids=tuple(known_ids), partial_texts=tuple(texts))

    def _cancel_run(self, item_id: ItemId) -> None:
        task = self._runs.pop(item_id, None)
        if task is not None:
            task.cancel()

    @property
    def is_finished(self) -> bool:
        """Return whether all results are listed."""
        return self._result_log.is_complete

    @property
    def is_blocked(self) -> bool:
        """Return whether nothing is pending and no remaining item can run for a while.

        A graceful shutdown need not wait for such a batch job.
        """
        unlisted = len(self.spec.items) - self._result_log.listed_count
        has_no_pending_results = unlisted == self._scheduler.unfinished_count > 0
        now = self._clock.monotonic()
        return has_no_pending_results and self._scheduler.is_blocked(self._limits.held_back, now)

    @property
    def is_idle(self) -> bool:
        """Return whether no item runs and every result so far is stored."""
        return not self._runs and not self._result_log.has_pending

    def wake(self) -> None:
        """Plan again, as the workers have changed."""
        self._wakeup.set()

    # Reads

    async def read(self, position: int, wait_seconds: float, size_bytes: int) -> ResultPage:
        """Return results from a position on, waiting until there is one or the time is up."""
        return await self._result_log.read(position, wait_seconds, size_bytes)

    def body(self, item_id: ItemId) -> bytes:
        """Return the body of an item.

        Raises:
            BatchNotFoundError: The batch job has no such item.
        """
        for item in self.spec.items:
            if item.item_id == item_id:
                return item.body
        raise BatchNotFoundError(f"{self.spec.batch_id}/{item_id}")

    # Scheduling

    async def _load_past_failures(self) -> None:
        """Count what other owners of these items have seen, and give up items that failed."""
        self._apply_past_failures(is_complete=False)
        await self._failure_log.load(on_unavailable=self._may_start_items.set)
        self._apply_past_failures(is_complete=True)
        self._may_start_items.set()
        self._wakeup.set()

    def _apply_past_failures(self, *, is_complete: bool) -> None:
        past = self._failure_log.past()
        results = self._scheduler.set_past_failures(
            past,
            is_complete=is_complete,
            now=self._clock.monotonic(),
            wall_now=self._clock.wall(),
            are_losses_rare=self._losses.are_rare(self._clock.monotonic()),
        )
        if past:
            log_event(
                "item_failures_loaded",
                batch=self.spec.batch_id,
                items=len(past),
                given_up=len(results),
                is_complete=is_complete,
            )
        for result in results:
            self._add_result(result)

    async def _run_scheduling(self) -> None:
        await self._may_start_items.wait()
        while not self._scheduler.is_finished:
            now = self._clock.monotonic()
            for result in self._scheduler.expire(now):
                self._add_result(result)
            if self.service.update():
                self._on_services_changed()
            workers = {
                record.worker.worker_id: record
                for record in self._directory.of_service(self.service.name)
            }
            limits = self._limits = add_placement_limits(
                self._quarantine.limits(self._scheduler.waiting, self.service.name),
                self._placement,
                workers,
                self._allowed_regions(),
                holds_starts=self.holds_starts,
            )
            self.share.held_back_items = limits.held_back
            share = self.share.current_share(now)
            decisions = self._scheduler.plan(workers, self._newest_version(), now, limits, share)
            for decision in decisions:
                self._apply(decision, workers)
            if decisions:
                self._slot_sharing.schedule_notice()
            self._wakeup.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(PLAN_INTERVAL_SECONDS):
                    await self._wakeup.wait()
            await self._clock.sleep(PLAN_DEBOUNCE_SECONDS)

    def _apply(self, decision: Decision, workers: dict[BackendId, WorkerRecord]) -> None:
        match decision:
            case StartRun(item=item, worker_id=worker_id):
                record = workers[worker_id]
                log_event(
                    "item_run_started",
                    batch=self.spec.batch_id,
                    item=item.item_id,
                    worker=worker_id,
                    version=record.version_of(self.spec.model, self._clock.monotonic()),
                    in_flight=record.in_flight,
                    resume_after=decision.resume_after,
                )
                record.in_flight += 1
                self.share.add_run(worker_id)
                record.expected_tokens += item.expected_tokens
                task = self._task_owner.spawn(self._run_item(decision, record), "batch-item")
                # A callback, since a task cancelled before it runs never reaches its ``finally``.
                task.add_done_callback(lambda _: self._release_slot(item, record))
                self._runs[item.item_id] = task
            case StopRun(item_id=item_id, worker_id=worker_id, reason=reason):
                log_event(
                    "item_run_stopped",
                    batch=self.spec.batch_id,
                    item=item_id,
                    worker=worker_id,
                    reason=reason,
                )
                if reason in _NO_EVENT_REASONS:
                    self._quarantine.record_silence(item_id, self._unanswered.record_crash)
                if reason is StopReason.SILENT:
                    # Probed before it is paused: if connections broke, the streams of all workers
                    # fall silent together, and pausing them all would stall the step.
                    self._silence_check.report_silent_run(worker_id)
                elif reason is StopReason.UNSTARTED:
                    self._directory.observe_failure(worker_id, self._clock.monotonic())
                self._cancel_run(item_id)
            case ScoreText():
                self._scoring.start(decision)

    async def _run_item(self, start: StartRun, record: WorkerRecord) -> None:
        item_id = start.item.item_id
        task = asyncio.current_task()
        failure: RunFailure | None = None
        is_answer_lost = False
        worker = record.worker
        self._quarantine.begin_run(start.item, worker, self._clock.monotonic())
        try:
            await self._streams.run(start, record)
            self._quarantine.record_answer(start.item)
        except asyncio.CancelledError:
            failure = RunFailure.STOPPED
            raise
        except WorkerError as error:
            now = self._clock.monotonic()
            model = self.spec.model
            is_answer_lost = isinstance(error, WorkerAnswerLostError)
            self._quarantine.record_error(start.item, error, self._unanswered.record_crash)
            failure = record_run_failure(self._directory, record.worker, model, error, now)
        finally:
            self._quarantine.end_run(start.item, worker)
            self._record_if_unanswered(item_id, worker, failure, is_answer_lost=is_answer_lost)
            if self._runs.get(item_id) is task:
                del self._runs[item_id]
            if not self._closed and not (self._lingering and failure is RunFailure.STOPPED):
                self._finish_run(item_id, record, failure)

    def _record_if_unanswered(
        self,
        item_id: ItemId,
        worker: Worker,
        failure: RunFailure | None,
        *,
        is_answer_lost: bool,
    ) -> None:
        """Count a run whose worker may have failed it unseen."""
        if failure in _UNSEEN_FAILURES and not self._streams.has_answered(item_id):
            self._unanswered.record(item_id, worker, failure, is_answer_lost=is_answer_lost)
        elif failure in _COUNTED_FAILURES:
            now = self._clock.monotonic()
            self._losses.record_activity(worker.incarnation, now)
            self._losses.record_answer(item_id, now)

    def _release_slot(self, item: BatchItem, record: WorkerRecord) -> None:
        """Free the slot of a run."""
        record.in_flight -= 1
        record.expected_tokens -= item.expected_tokens
        self.share.remove_run(record.worker.worker_id)
        self._wakeup.set()

    def _finish_run(
        self, item_id: ItemId, record: WorkerRecord, failure: RunFailure | None
    ) -> None:
        self._metrics.count_item_run("complete" if failure is None else failure)
        if failure is None:
            result = self._scheduler.handle_completion(item_id)
        else:
            log_event(
                "item_run_failed",
                batch=self.spec.batch_id,
                item=item_id,
                worker=record.worker.worker_id,
                failure=failure,
            )
            if failure in _COUNTED_FAILURES:
                self._failure_log.record(item_id, _COUNTED_FAILURES[failure])
            result = self._scheduler.handle_run_failure(item_id, failure, self._clock.monotonic())
        if result is not None:
            self._add_result(result)
        self._wakeup.set()

    # Results

    def _add_result(self, result: ItemResult) -> None:
        self._scoring.stop(result.item_id)
        if self._lingering:
            self._finished[result.item_id] = result
            return
        self._result_log.add(result, is_urgent=self._is_urgent())
        self._metrics.observe_item(self._clock.monotonic() - self._started_at)
        log_event(
            "item_finished",
            batch=self.spec.batch_id,
            item=result.item_id,
            state=result.state,
            versions=",".join(str(version) for version in result.versions),
            missing_groups=self._scheduler.missing_groups,
        )

    def _add_result_unless_closed(self, result: ItemResult) -> None:
        if not self._closed:
            self._add_result(result)

    def _flush_interval_seconds(self) -> float:
        has_few_left = self._scheduler.unfinished_count <= TAIL_ITEM_SHARE * len(self.spec.items)
        return TAIL_FLUSH_INTERVAL_SECONDS if has_few_left else FLUSH_INTERVAL_SECONDS

    def _is_urgent(self) -> bool:
        """Return whether the latest result completes the trainer's step or the batch job."""
        previously_missing = self._missing_groups
        self._missing_groups = self._scheduler.missing_groups
        is_complete = previously_missing > 0 and self._missing_groups == 0
        return is_complete or self._scheduler.is_finished

    def handle_replacement(self) -> None:
        """Stop, as another owner has replaced this one; only that one may send items."""
        self._handle_ownership_loss(BatchMovedError(self.spec.batch_id))

    def _handle_ownership_loss(self, error: BatchError) -> None:
        log_event(
            "batch_lost",
            level="INFO" if isinstance(error, BatchEndedError) else "WARNING",
            batch=self.spec.batch_id,
            reason=error.code,
            listed=self._result_log.listed_count,
            items=len(self.spec.items),
        )
        if isinstance(error, BatchEndedError):
            self.linger()
        else:
            self.close()
        self._on_lost(self.spec.batch_id)


def _age_seconds(spec: BatchSpec, wall_seconds: float) -> float:
    """Return the time since a batch job's submission; 0 if unknown."""
    if not spec.submitted_at:
        return 0.0
    return min(max(0.0, wall_seconds - spec.submitted_at), MAX_BATCH_AGE_SECONDS)
