"""Progress of one item of a batch job."""

import msgspec

from drumbay.batches.answer_losses import MIN_LOST_ANSWERS, proves_failures
from drumbay.batches.item_failures import (
    NO_PAST_FAILURES,
    PastFailures,
    are_used_up,
    may_be_used_up,
)
from drumbay.batches.records import BatchItem, ItemResult, PartialText, ResultState, Reward
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.records import StreamEvent


class ItemRun(msgspec.Struct, kw_only=True):
    """Progress of an item across the workers that have run it.

    Attributes:
        item: The item.
        worker_id: Worker that runs it; ``None`` while it waits for a slot.
        texts: Data of the events received so far, in order.
        last_number: Number of the last event.
        versions: Weight versions that generated the events, in order of first use.
        events_on_worker: Events received from the current worker.
        pending_gap: Seconds between the last two events; reported once another event follows.
        last_activity_at: Monotonic time of the last event or of the start.
        not_before: Monotonic time before which the item is not started again.
        past: Failures that earlier owners have seen.
        failures: Runs for which a worker reported a failure.
        unanswered: Runs that ended without any answer, unless their workers crashed.
        unanswered_on: Workers of these runs.
        lost: Those of them whose worker has run the item, although no answer could be read.
        lost_evidence: What these say together.
        was_accepted: Whether a worker has accepted it, so that it does not fail at each run.
        moves: How often the item was moved off a slow worker.
        generation: How often its text was discarded and started anew.
        avoided_worker: Worker to avoid if another one is available.
        move_target: Worker that the item is being moved to.
        complete: Whether the text is complete; the item then waits for its score, if any.
        reward: Score of the complete text.
        is_scoring: Whether its reward request is in flight.
        score_not_before: Monotonic time before which its reward request is not sent again.
        reward_failures: Reward requests that a worker executed and failed.
        reward_attempts: Consecutive reward requests without a score.
    """

    item: BatchItem
    worker_id: BackendId | None = None
    texts: list[str] = msgspec.field(default_factory=list)
    last_number: int | None = None
    versions: list[WeightVersion] = msgspec.field(default_factory=list)
    events_on_worker: int = 0
    pending_gap: float | None = None
    last_activity_at: float = 0.0
    not_before: float = 0.0
    past: PastFailures = NO_PAST_FAILURES
    failures: int = 0
    unanswered: int = 0
    unanswered_on: set[BackendId] = msgspec.field(default_factory=set)
    lost: int = 0
    lost_evidence: float = 0.0
    was_accepted: bool = False
    moves: int = 0
    generation: int = 0
    avoided_worker: BackendId | None = None
    move_target: BackendId | None = None
    complete: bool = False
    reward: Reward | None = None
    is_scoring: bool = False
    score_not_before: float = 0.0
    reward_failures: int = 0
    reward_attempts: int = 0

    def has_runs_left(self, attempts: int) -> bool:
        """Return whether the item may run again, with so many attempts in each batch job."""
        past = self.past
        if past.in_job.rejections or past.in_other_jobs.rejections:
            return False
        if self.fails_unseen and self.total_lost >= attempts:
            return False
        return not are_used_up(
            self.failures + past.in_job.runs,
            past.in_other_jobs.runs,
            attempts,
            self.total_unanswered,
        )

    def may_have_no_runs_left(self, attempts: int) -> bool:
        """Return whether it has no runs left if those without an answer failed, too.

        It must not run again, but is not known to have failed often enough to be given up.
        """
        return self.fails_unseen or may_be_used_up(
            self.total_failures, attempts, self.total_unanswered
        )

    @property
    def total_failures(self) -> int:
        """Return the number of runs that workers are known to have failed, over all owners."""
        return self.failures + self.past.in_job.runs + self.past.in_other_jobs.runs

    @property
    def total_unanswered(self) -> int:
        """Return the number of runs that may have failed without an answer, over all owners."""
        past = self.past
        earlier = past.in_job.possible_failures + past.in_other_jobs.possible_failures
        return self.unanswered + earlier

    @property
    def total_lost(self) -> int:
        """Return the number of answers that it lost, over all owners."""
        return self.lost + self.past.in_job.lost + self.past.in_other_jobs.lost

    @property
    def fails_unseen(self) -> bool:
        """Return whether its lost answers show that it fails at each run."""
        return not self.was_accepted and proves_failures(self.total_lost, self.total_evidence)

    @property
    def may_fail_unseen(self) -> bool:
        """Return whether it lost so many answers that all its runs may have failed."""
        return not self.was_accepted and self.total_lost >= MIN_LOST_ANSWERS

    @property
    def total_evidence(self) -> float:
        """Return what its lost answers say together, over all owners."""
        past = self.past
        return self.lost_evidence + past.in_job.lost_evidence + past.in_other_jobs.lost_evidence

    def has_reward_requests_left(self, attempts: int) -> bool:
        """Return whether its reward request may be sent again."""
        past = self.past
        return not are_used_up(
            self.reward_failures + past.in_job.rewards, past.in_other_jobs.rewards, attempts
        )

    def start(self, worker_id: BackendId, now: float) -> None:
        """Record the start on a worker."""
        self.worker_id = worker_id
        self.move_target = None
        self.events_on_worker = 0
        self.pending_gap = None
        self.last_activity_at = now

    def record_unanswered(self, not_before: float) -> None:
        """Record that its run ends without any answer; it must not run before a monotonic time."""
        self.unanswered += 1
        self.not_before = max(self.not_before, not_before)
        if self.worker_id is not None:
            self.unanswered_on.add(self.worker_id)

    def release(self) -> None:
        """Record that the item has left its worker."""
        self.worker_id = None
        self.events_on_worker = 0

    def discard_text(self) -> None:
        """Discard the text generated so far."""
        self.generation += 1
        self.texts.clear()
        self.versions.clear()
        self.last_number = None
        self.complete = False
        self.reward = None

    @property
    def is_running_or_complete(self) -> bool:
        """Return whether the item is on a worker or its text is complete."""
        return self.worker_id is not None or self.complete

    @property
    def is_finished(self) -> bool:
        """Return whether the text is complete and, if required, scored."""
        return self.complete and self.item.accepts(self.reward)

    def add_event(self, event: StreamEvent, now: float, *, arrived_alone: bool) -> float | None:
        """Append an event; return the gap between the two events before it, in seconds.

        ``None`` if that gap does not show the worker's event interval. The first event on a worker
        includes queueing and prefill, and the last one of a text is shorter than the others, so a
        gap is reported only once another event follows it. Events that were read together have no
        arrival time of their own.
        """
        if self.last_number is not None and event.number <= self.last_number:
            return None
        self.texts.append(event.data)
        self.last_number = event.number
        if event.version not in self.versions:
            self.versions.append(event.version)
        completed_gap = self.pending_gap
        self.pending_gap = (
            now - self.last_activity_at if self.events_on_worker and arrived_alone else None
        )
        self.events_on_worker += 1
        self.last_activity_at = now
        return completed_gap

    def restore(self, partial_text: PartialText) -> None:
        """Continue from a text that was generated earlier."""
        self.texts = list(partial_text.texts)
        self.last_number = partial_text.last_number
        self.versions = list(partial_text.versions)
        self.complete = partial_text.complete
        has_score = self.item.reward_request is not None and self.item.accepts(partial_text.reward)
        self.reward = partial_text.reward if has_score else None

    def result(self) -> ItemResult:
        """Return the result of the finished item."""
        return ItemResult(
            item_id=self.item.item_id,
            state=ResultState.DONE,
            text="\n".join(self.texts),
            versions=tuple(sorted(self.versions)),
            reward=self.reward,
        )

    def partial_text(self) -> PartialText:
        """Return the text so far, which must not be empty."""
        assert self.last_number is not None
        return PartialText(
            item_id=self.item.item_id,
            texts=tuple(self.texts),
            last_number=self.last_number,
            versions=tuple(self.versions),
            complete=self.complete,
            generation=self.generation,
            reward=self.reward,
        )
