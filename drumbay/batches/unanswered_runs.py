"""Runs of one batch job's items that ended without any answer, and what is found out about them."""

from collections.abc import Callable

import msgspec

from drumbay.batches.answer_losses import AnswerLosses
from drumbay.batches.decisions import RunFailure
from drumbay.batches.failure_log import FailureLog
from drumbay.batches.item_failures import ItemFailures
from drumbay.batches.records import BatchId, ItemId, ItemResult
from drumbay.batches.scheduler import BatchScheduler
from drumbay.clock import Clock
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerIncarnation
from drumbay.workers.worker_record import WorkerRecord

CHECK_SECONDS = 0.8
"""Shorter than the delay of an item that awaits the check."""

MAX_CHECKS = 4
MIN_ADDED_EVIDENCE = 0.1
"""Less is not worth a record."""

SAME_TIME_SECONDS = 3.0
"""Answers that an item lost within this time are judged together, by what is known at the end."""


class _LostAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A run whose worker ended it without an answer that can be read, at a monotonic time."""

    item_id: ItemId
    worker: Worker
    at: float


class _JudgedAnswer(msgspec.Struct, kw_only=True):
    """A lost answer, and the evidence for which it was counted."""

    at: float
    evidence: float


class UnansweredRuns:
    """Counts runs without any answer, and takes back those whose workers crashed.

    The worker of a run has finished or failed the item if it ended the exchange itself, goes on
    with other items, and has not crashed: a cut or a reset takes all of its exchanges.
    """

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        losses: AnswerLosses,
        scheduler: BatchScheduler,
        failure_log: FailureLog,
        task_owner: TaskOwner,
        batch_id: BatchId,
        on_result: Callable[[ItemResult], None],
        on_change: Callable[[], None],
    ) -> None:
        """Create an instance without runs.

        Args:
            clock: Time.
            directory: Tells whether a worker is still the same process.
            losses: Answers that the items of this node get and lose.
            scheduler: Receives the counts.
            failure_log: Stores them.
            task_owner: Runs the checks of lost answers.
            batch_id: The batch job.
            on_result: Called with the result of an item that is given up.
            on_change: Called when the scheduler should plan again.
        """
        self._clock = clock
        self._directory = directory
        self._losses = losses
        self._scheduler = scheduler
        self._failure_log = failure_log
        self._task_owner = task_owner
        self._batch_id = batch_id
        self._on_result = on_result
        self._on_change = on_change
        self._runs: set[tuple[ItemId, WorkerIncarnation]] = set()
        self._judged: dict[ItemId, list[_JudgedAnswer]] = {}

    def record(
        self, item_id: ItemId, worker: Worker, failure: RunFailure, *, is_answer_lost: bool
    ) -> None:
        """Count a run without any answer.

        ``is_answer_lost`` states whether the worker ended the exchange itself.
        """
        now = self._clock.monotonic()
        self._runs.add((item_id, worker.incarnation))
        awaits_check = is_answer_lost and self._losses.are_rare(now, item_id)
        unanswered = self._scheduler.record_unanswered(item_id, now, awaits_check=awaits_check)
        self._failure_log.record(
            item_id, ItemFailures(unanswered=1, unanswered_at=self._clock.wall())
        )
        log_event(
            "item_run_unanswered",
            batch=self._batch_id,
            item=item_id,
            worker=worker.worker_id,
            failure=failure,
            unanswered=unanswered,
            is_answer_lost=is_answer_lost,
        )
        if failure is RunFailure.BROKEN:
            self._losses.record_loss(item_id, now)
        if is_answer_lost:
            lost = _LostAnswer(item_id=item_id, worker=worker, at=now)
            self._task_owner.spawn(self._check(lost), "lost-answer-check")

    def record_crash(self, item_id: ItemId, worker: Worker) -> None:
        """Count a run without an answer no longer: its worker did not fail it, but crashed."""
        run = (item_id, worker.incarnation)
        if run not in self._runs:
            return
        self._runs.discard(run)
        self._scheduler.record_crashed_run(item_id)
        self._failure_log.record(item_id, ItemFailures(crashed=1))
        log_event("item_run_crashed", batch=self._batch_id, item=item_id, worker=worker.worker_id)
        self._on_change()

    async def _check(self, lost: _LostAnswer) -> None:
        """Count the answer as lost once the worker has gone on with others.

        What is learnt of these in the next seconds adds to the evidence.
        """
        is_counted = False
        for _ in range(MAX_CHECKS):
            await self._clock.sleep(CHECK_SECONDS)
            record = self._directory.get(lost.worker.worker_id, lost.worker.started_at_ms)
            if record is None or (lost.item_id, lost.worker.incarnation) not in self._runs:
                # It has ended, or has crashed under the item.
                return
            if is_counted or self._goes_on(lost, record):
                self._judge(lost, is_new=not is_counted)
                is_counted = True

    def _goes_on(self, lost: _LostAnswer, record: WorkerRecord) -> bool:
        """Return whether the worker goes on with others, or has none while other workers do."""
        if self._losses.has_sent_since(lost.worker.incarnation, lost.at):
            return True
        return not record.in_flight and self._losses.has_any_sent_since(lost.at)

    def _judge(self, lost: _LostAnswer, *, is_new: bool) -> None:
        now = self._clock.monotonic()
        evidence = self._losses.evidence(lost.item_id, now)
        added = self._raise_evidence(lost, evidence)
        if is_new:
            added += evidence
            judged = _JudgedAnswer(at=lost.at, evidence=evidence)
            self._judged.setdefault(lost.item_id, []).append(judged)
        elif added < MIN_ADDED_EVIDENCE:
            return
        self._failure_log.record(lost.item_id, ItemFailures(lost=int(is_new), lost_evidence=added))
        result = self._scheduler.record_lost_answer(
            lost.item_id,
            int(is_new),
            added,
            now,
            are_losses_rare=self._losses.are_rare(now, lost.item_id),
        )
        log_event(
            "item_answer_lost",
            batch=self._batch_id,
            item=lost.item_id,
            worker=lost.worker.worker_id,
            is_new=is_new,
            evidence_added=round(added, 2),
            given_up=result is not None,
        )
        if result is not None:
            self._on_result(result)
            self._on_change()

    def _raise_evidence(self, lost: _LostAnswer, evidence: float) -> float:
        """Raise the evidence of the answers that an item lost at that time; return by how much."""
        added = 0.0
        for other in self._judged.get(lost.item_id, ()):
            if abs(lost.at - other.at) <= SAME_TIME_SECONDS:
                added += max(0.0, evidence - other.evidence)
                other.evidence = max(evidence, other.evidence)
        return added
