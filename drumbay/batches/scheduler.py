"""Scheduling decisions for the items of one batch job: starts, stops and moves. No I/O."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set

from drumbay.batches.answer_losses import MIN_LOST_ANSWERS
from drumbay.batches.decisions import (
    Decision,
    RunFailure,
    ScoreText,
    SlotShare,
    StartLimits,
    StartRun,
    StopReason,
    StopRun,
)
from drumbay.batches.item_failures import PastFailures
from drumbay.batches.item_order import ItemOrder
from drumbay.batches.item_run import ItemRun
from drumbay.batches.records import (
    BatchItem,
    BatchSpec,
    ItemId,
    ItemResult,
    PartialText,
    ResubmittedItems,
    ResultState,
    Reward,
)
from drumbay.batches.run_backoff import delay_seconds, remaining_delay_seconds
from drumbay.batches.run_silence import SilenceDetector, silence_reason
from drumbay.batches.start_order import (
    DEFAULT_DUE_SECONDS,
    StartCandidate,
    may_start,
    order_by_latest_start,
)
from drumbay.batches.start_times import EventSizeEstimate, StepSchedule
from drumbay.batches.worker_selector import (
    DEFAULT_EVENT_INTERVAL_SECONDS,
    SlotRequest,
    WorkerSelector,
)
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.records import StreamEvent
from drumbay.workers.worker_record import WorkerRecord

PRIORITY_LONG = 2
PRIORITY_NORMAL = 5
PRIORITY_POSTPONED = 6
"""Request priorities at workers; long items determine when a step is complete."""

MAX_MOVES = 3
MOVE_COST_SECONDS = 0.3
"""Time that a move takes until the next event: stop, planning, connection and prefill. On shared
machines an item moves only if the expected gain exceeds it.
"""

FAILURE_DELAY_SECONDS = 0.15
REFUSAL_DELAY_SECONDS = 0.05
CHECK_DELAY_SECONDS = 1.0
"""Longer than the check of a run whose answer was lost."""

DOUBT_DELAY_SECONDS = 3.0
"""Together with the time until a lost answer counts, less than an item may be at no worker."""

MIN_SCORE_RETRY_SECONDS = 0.1
MAX_SCORE_RETRY_SECONDS = 0.8
"""Retry delay after a reward request without a score; doubles from minimum to maximum."""

MIN_EVENTS_TO_MOVE_LONG_ITEM = 3
MIN_EVENTS_TO_MOVE_ITEM = 5
"""Minimum events before an item leaves a slow worker. Items not expected to be long need more, so
that enough text is likely to remain to make the move worthwhile.
"""

LONG_TEXT_EVENTS = 25
"""Items with this many events are moved like long ones, whatever length was expected."""


NO_START_LIMITS = StartLimits()
FULL_SHARE = SlotShare()


class BatchScheduler:
    """Deterministic scheduler, driven only by the events passed to it.

    Items expected to be long start first and on fast workers, as they determine when a step is
    complete. Surplus groups, which the step probably does not need, start last.
    """

    def __init__(
        self,
        spec: BatchSpec,
        started_at: float,
        listed: Sequence[ItemResult],
        event_size: EventSizeEstimate | None = None,
        submitted_at: float | None = None,
    ) -> None:
        """Create a scheduler for the items that are not yet listed.

        Args:
            spec: The batch job.
            started_at: Monotonic time from which the queue limit counts.
            listed: Results that are listed already.
            event_size: Event size estimate of the model.
            submitted_at: Monotonic time of the submission, if earlier than ``started_at``.
        """
        self._spec = spec
        self._started_at = started_at
        self._submitted_at = started_at if submitted_at is None else submitted_at
        self._event_size = event_size or EventSizeEstimate()
        self._median_event_interval = DEFAULT_EVENT_INTERVAL_SECONDS
        self._mean_event_interval = DEFAULT_EVENT_INTERVAL_SECONDS
        self._is_overloaded = False
        self._give_up_at = started_at + spec.queue_limit_seconds
        self._is_past_known = True
        self._silence_detector = SilenceDetector(started_at)
        listed_ids = {result.item_id for result in listed}
        self._runs = {
            item.item_id: ItemRun(item=item)
            for item in spec.items
            if item.item_id not in listed_ids
        }
        self._given_up: list[StopRun] = []
        self._finished: list[ItemResult] = []
        self._unfinished_groups = Counter(run.item.group for run in self._runs.values())
        self._order = ItemOrder(spec)
        self._sort_runs()

    def _sort_runs(self) -> None:
        ordered = [item.item_id for item in self._order.items()]
        self._runs = {item_id: self._runs[item_id] for item_id in ordered if item_id in self._runs}

    # Resumption

    def reuse_texts(self, resubmitted: ResubmittedItems) -> None:
        """Reuse texts of resubmitted items whose versions are acceptable."""
        self._order = ItemOrder(self._spec, frozenset(resubmitted.item_ids))
        self._sort_runs()
        for partial_text in resubmitted.partial_texts:
            self._restore_text(partial_text)

    def resume_from(self, partial_texts: Iterable[PartialText], not_before: float) -> None:
        """Resume the texts of a replaced owner, at ``not_before`` or later."""
        for partial_text in partial_texts:
            self._restore_text(partial_text)
            run = self._runs.get(partial_text.item_id)
            if run is not None and run.last_number is not None:
                run.not_before = not_before

    def _restore_text(self, partial_text: PartialText) -> None:
        run = self._runs.get(partial_text.item_id)
        if run is None or not self._versions_fit(partial_text.versions):
            return
        run.restore(partial_text)
        if run.is_finished:
            self._finished.append(run.result())
            self._remove(partial_text.item_id)

    def pop_reused_results(self) -> tuple[ItemResult, ...]:
        """Return and clear the results of items whose reused texts are complete."""
        results = tuple(self._finished)
        self._finished.clear()
        return results

    # Progress

    @property
    def is_finished(self) -> bool:
        """Return whether every item has a result."""
        return not self._runs

    @property
    def unfinished_count(self) -> int:
        """Return the number of items without a result."""
        return len(self._runs)

    def is_blocked(self, held_back: Set[ItemId], now: float) -> bool:
        """Return whether every item is held back, or its reward request delayed for long."""
        until = now + MAX_SCORE_RETRY_SECONDS
        return all(
            run.item.item_id in held_back
            or run.may_have_no_runs_left(self._spec.attempts)
            or (run.complete and not run.is_scoring and run.score_not_before > until)
            for run in self._runs.values()
        )

    @property
    def waiting(self) -> tuple[BatchItem, ...]:
        """Return the items that need a worker."""
        return tuple(run.item for run in self._runs.values() if not run.is_running_or_complete)

    @property
    def due_at(self) -> float | None:
        """Return the monotonic time at which the step is due; ``None`` if unknown."""
        due_seconds = self._spec.due_seconds
        return None if due_seconds is None else self._submitted_at + due_seconds

    def work_seconds(self) -> float:
        """Return the slot-seconds needed for what the trainer still waits for."""
        events = sum(
            self._event_size.remaining_events(run)
            for run in self._runs.values()
            if not run.complete and not self._order.is_postponed(run.item)
        )
        return events * self._mean_event_interval

    def latest_starts(self, held_back: Set[ItemId], now: float) -> list[float | None]:
        """Return the latest start times of the items that wait for a slot, soonest first.

        ``None`` stands for an item that is already late or not needed by the trainer.
        """
        return [candidate.latest_start for candidate in self._start_candidates(held_back, now)]

    def _start_candidates(self, held_back: Set[ItemId], now: float) -> list[StartCandidate]:
        """Return the items that wait for a slot, in start order."""
        due_at = self.due_at
        schedule = StepSchedule(
            submitted_at=self._submitted_at,
            due_at=self._submitted_at + DEFAULT_DUE_SECONDS if due_at is None else due_at,
            has_due_time=due_at is not None,
            seconds_per_event=self._median_event_interval,
            event_size=self._event_size,
            is_overloaded=self._is_overloaded,
        )
        return order_by_latest_start(self._startable(held_back, now), self._order, schedule, now)

    def _startable(self, held_back: Set[ItemId], now: float) -> list[ItemRun]:
        return [
            run
            for run in self._runs.values()
            if not run.is_running_or_complete
            and now >= run.not_before
            and (self._is_past_known or not run.failures)
            and not run.may_have_no_runs_left(self._spec.attempts)
            and run.item.item_id not in held_back
        ]

    @property
    def missing_groups(self) -> int:
        """Return how many more complete groups the trainer waits for.

        It needs each resubmitted group, and new groups up to the wanted number.
        """
        unfinished = {group for group, count in self._unfinished_groups.items() if count}
        resubmitted = self._order.resubmitted_groups
        others = {item.group for item in self._spec.items} - resubmitted
        wanted_others = max(0, self._spec.wanted_groups - len(resubmitted))
        finished_others = len(others) - len(others & unfinished)
        return len(resubmitted & unfinished) + max(0, wanted_others - finished_others)

    def progress(self, minimum_events: int) -> tuple[PartialText, ...]:
        """Return the texts of unfinished items with at least this many events."""
        return tuple(
            run.partial_text() for run in self._runs.values() if len(run.texts) >= minimum_events
        )

    def partial_text(self, item_id: ItemId, minimum_version: WeightVersion) -> PartialText | None:
        """Return the text of an unfinished item if all its versions satisfy a minimum."""
        run = self._runs.get(item_id)
        if run is None or run.last_number is None or min(run.versions) < minimum_version:
            return None
        return run.partial_text()

    def unusable_after_end(self, next_minimum_version: WeightVersion) -> tuple[ItemId, ...]:
        """Return the items whose text a later batch job with that minimum would reject."""
        return tuple(
            item_id
            for item_id, run in self._runs.items()
            if not run.versions or min(run.versions) < next_minimum_version
        )

    # Run events

    def handle_event(
        self, item_id: ItemId, event: StreamEvent, now: float, *, arrived_alone: bool = True
    ) -> float | None:
        """Append an event to an item's text; return the worker's event interval, if measured."""
        run = self._runs.get(item_id)
        return run.add_event(event, now, arrived_alone=arrived_alone) if run is not None else None

    def handle_response_head(self, item_id: ItemId, version: WeightVersion, now: float) -> bool:
        """Handle the head of a response; return whether its version may continue the text."""
        run = self._runs.get(item_id)
        if run is None:
            return False
        run.was_accepted = True
        run.last_activity_at = now
        if version < self._spec.minimum_version:
            return False
        return not self._spec.one_version_only or run.versions in ([], [version])

    def handle_completion(self, item_id: ItemId) -> ItemResult | None:
        """Handle the end of a complete stream; return the result if the item is finished.

        ``None`` if the text waits for its score, or was rejected for its versions.
        """
        run = self._runs.get(item_id)
        if run is None:
            return None
        if not self._versions_fit(run.versions):
            run.discard_text()
            run.release()
            return None
        run.release()
        run.complete = True
        self._event_size.observe(run.item, len(run.texts))
        return self._pop_if_finished(run)

    def _pop_if_finished(self, run: ItemRun) -> ItemResult | None:
        if not run.is_finished:
            return None
        self._remove(run.item.item_id)
        return run.result()

    # Reward request events

    def handle_reward(self, item_id: ItemId, reward: Reward) -> ItemResult | None:
        """Store the score of a complete text; return the item's result."""
        run = self._runs.get(item_id)
        if run is None or not run.complete:
            return None
        run.is_scoring = False
        run.reward = reward
        return self._pop_if_finished(run)

    def handle_reward_failure(
        self,
        item_id: ItemId,
        worker_failures: int,
        attempts: int,
        now: float,
        retry_after_seconds: float = 0.0,
    ) -> ItemResult | None:
        """Handle a reward request without a score; return a result if the item is given up.

        Args:
            item_id: The item.
            worker_failures: How many workers executed the request and failed.
            attempts: How many attempts the route of the reward request allows.
            now: Monotonic time.
            retry_after_seconds: Minimum delay before the next request.
        """
        run = self._runs.get(item_id)
        if run is None:
            return None
        run.is_scoring = False
        run.reward_failures += worker_failures
        if not run.has_reward_requests_left(max(attempts, self._spec.attempts)):
            return self._give_up(item_id)
        delay_seconds = MIN_SCORE_RETRY_SECONDS * 2 ** min(run.reward_attempts, 8)
        delay_seconds = min(delay_seconds, MAX_SCORE_RETRY_SECONDS)
        run.score_not_before = now + max(delay_seconds, retry_after_seconds)
        run.reward_attempts += 1
        return None

    def _versions_fit(self, versions: Sequence[WeightVersion]) -> bool:
        if not versions or min(versions) < self._spec.minimum_version:
            return False
        return not self._spec.one_version_only or len(versions) == 1

    def handle_run_failure(
        self, item_id: ItemId, failure: RunFailure, now: float
    ) -> ItemResult | None:
        """Handle a run that ended early; return a result if the item is given up."""
        run = self._runs.get(item_id)
        if run is None:
            return None
        worker_id = run.worker_id
        run.release()
        if failure is not RunFailure.STOPPED:
            run.move_target = None
        match failure:
            case RunFailure.REJECTED:
                return self._give_up(item_id)
            case RunFailure.FAILED:
                run.failures += 1
                run.discard_text()
                if not run.has_runs_left(self._spec.attempts):
                    return self._give_up(item_id)
                run.not_before = now + FAILURE_DELAY_SECONDS
                run.avoided_worker = worker_id
            case RunFailure.BROKEN:
                run.avoided_worker = worker_id
            case RunFailure.CUT_OFF:
                run.was_accepted = True
                run.avoided_worker = worker_id
            case RunFailure.REFUSED:
                run.not_before = now + REFUSAL_DELAY_SECONDS
                run.avoided_worker = worker_id
            case RunFailure.STOPPED:
                pass
        return None

    def record_unanswered(self, item_id: ItemId, now: float, *, awaits_check: bool = False) -> int:
        """Count a run that ends without any answer; return how many there are of the item.

        Three may be all that a rejected item is allowed. With ``awaits_check``, it is soon known
        what they say: the next run waits for that.
        """
        run = self._runs.get(item_id)
        if run is None:
            return 0
        has_failed = run.total_failures > 0
        unanswered = run.total_unanswered + 1
        delay = delay_seconds(unanswered, has_failed=has_failed)
        if awaits_check and unanswered >= MIN_LOST_ANSWERS and not run.was_accepted:
            delay = max(delay, CHECK_DELAY_SECONDS)
        run.record_unanswered(now + delay)
        return run.total_unanswered

    def record_crashed_run(self, item_id: ItemId) -> None:
        """Take back a run without any answer, as its worker has crashed."""
        run = self._runs.get(item_id)
        if run is not None:
            run.unanswered = max(0, run.unanswered - 1)

    def record_lost_answer(
        self, item_id: ItemId, count: int, evidence: float, now: float, *, are_losses_rare: bool
    ) -> ItemResult | None:
        """Record that runs without an answer were not cut off: a worker finished or failed them.

        Where other items hardly lose answers, an item that may fail at each run waits until more
        is known. Returns the result of an item that is given up.

        Args:
            item_id: The item.
            count: How many such runs more there are.
            evidence: What is known more of them, see ``answer_losses``.
            now: Monotonic time.
            are_losses_rare: Whether other items hardly lose answers.
        """
        run = self._runs.get(item_id)
        if run is None:
            return None
        run.lost += count
        run.lost_evidence += evidence
        if run.is_running_or_complete or run.texts:
            return None
        if not run.has_runs_left(self._spec.attempts):
            return self._give_up(item_id)
        if count and are_losses_rare and run.may_fail_unseen:
            run.not_before = max(run.not_before, now + DOUBT_DELAY_SECONDS)
        return None

    def set_past_failures(
        self,
        past: Mapping[ItemId, PastFailures],
        *,
        is_complete: bool,
        now: float,
        wall_now: float,
        are_losses_rare: bool = False,
    ) -> tuple[ItemResult, ...]:
        """Set what earlier owners have seen; return the results of items that are given up.

        Delays count from the end of the last run, which is known by wall clock time: an owner must
        not begin them anew. Until it is complete, an item that fails does not run again. An item
        that runs, or has a text, may still be done.
        """
        self._is_past_known = is_complete
        for item_id, failures in past.items():
            run = self._runs.get(item_id)
            if run is not None:
                run.past = failures
                has_failed = run.total_failures > 0
                delay = delay_seconds(run.total_unanswered, has_failed=has_failed)
                if are_losses_rare and run.may_fail_unseen:
                    delay = max(delay, DOUBT_DELAY_SECONDS)
                left = remaining_delay_seconds(delay, failures.unanswered_at, wall_now)
                run.not_before = max(run.not_before, now + left)
        used_up = [
            item_id
            for item_id, run in self._runs.items()
            if not run.is_running_or_complete
            and not run.texts
            and not run.has_runs_left(self._spec.attempts)
        ]
        return tuple(self._give_up(item_id) for item_id in used_up)

    def expire(self, now: float) -> tuple[ItemResult, ...]:
        """Give up all unfinished items once the queue limit has passed."""
        if now < self._give_up_at:
            return ()
        return tuple(self._give_up(item_id) for item_id in list(self._runs))

    def _give_up(self, item_id: ItemId) -> ItemResult:
        self._remove(item_id)
        return ItemResult(item_id=item_id, state=ResultState.DEAD)

    def _remove(self, item_id: ItemId) -> None:
        """Remove an item that has a result, and stop its run."""
        run = self._runs.pop(item_id)
        self._unfinished_groups[run.item.group] -= 1
        if run.worker_id is not None:
            self._given_up.append(_stop(run, StopReason.GIVEN_UP))

    # Planning

    def plan(
        self,
        workers: Mapping[BackendId, WorkerRecord],
        newest_version: WeightVersion,
        now: float,
        limits: StartLimits = NO_START_LIMITS,
        share: SlotShare = FULL_SHARE,
    ) -> tuple[Decision, ...]:
        """Return the decisions of one planning round.

        Args:
            workers: Workers of the batch job's service. The caller increments their
                ``in_flight`` for each start before the next round.
            newest_version: Newest version that the model's trainer has announced.
            now: Monotonic time.
            limits: Restrictions on starting items.
            share: Slots that other batch jobs leave to this one.
        """
        self._silence_detector.start_plan(now)
        selector = WorkerSelector(
            self._spec,
            workers,
            newest_version,
            now,
            limits.isolated_workers,
            share.used_by_others,
            limits.start_allowances,
            limits.workers_in_service,
            distant_workers=limits.distant_workers,
        )
        self._is_overloaded = share.contention is not None and share.contention.is_overloaded
        self._median_event_interval = selector.median_event_interval
        self._mean_event_interval = selector.mean_event_interval
        decisions: list[Decision] = [*self._given_up, *self._stop_decisions(selector, now)]
        self._given_up.clear()
        decisions.extend(self._start_decisions(selector, now, limits, share))
        decisions.extend(self._score_decisions(now))
        return tuple(decisions)

    def _score_decisions(self, now: float) -> list[ScoreText]:
        scores: list[ScoreText] = []
        for run in self._runs.values():
            request = run.item.reward_request
            if not run.complete or run.is_scoring or request is None:
                continue
            if now >= run.score_not_before:
                run.is_scoring = True
                scores.append(ScoreText(item_id=run.item.item_id, request=request))
        return scores

    def _start_decisions(
        self, selector: WorkerSelector, now: float, limits: StartLimits, share: SlotShare
    ) -> list[StartRun]:
        running_count = sum(run.worker_id is not None for run in self._runs.values())
        starts = self._start_moved(selector, now, limits)
        contention = share.contention
        for candidate in self._startable_candidates(limits, share, now):
            run = candidate.run
            if not selector.has_free_slot:
                break
            if contention is not None and not may_start(
                candidate.latest_start,
                contention,
                started=len(starts),
                running=running_count + len(starts),
            ):
                continue
            request = SlotRequest(
                group=run.item.group,
                expected_tokens=run.item.expected_tokens,
                avoided_worker=run.avoided_worker,
                unanswered_on=run.unanswered_on,
                is_long=self._order.is_long(run.item),
                minimum_version=self._spec.minimum_version,
                prefers_active=run.last_number is not None and run.avoided_worker is not None,
                is_isolated=run.item.item_id in limits.isolated,
            )
            worker_id = selector.assign(request)
            if worker_id is not None:
                starts.append(self._start(run, worker_id, now))
        return starts

    def _startable_candidates(
        self, limits: StartLimits, share: SlotShare, now: float
    ) -> list[StartCandidate]:
        """Return the items to start, with latest start times if other jobs compete."""
        if share.contention is not None:
            return self._start_candidates(limits.held_back, now)
        return [
            StartCandidate(run, None)
            for run in self._startable(limits.held_back, now)
            if not share.long_items_only or self._order.is_long(run.item)
        ]

    def _start_moved(
        self, selector: WorkerSelector, now: float, limits: StartLimits
    ) -> list[StartRun]:
        """Restart items that were stopped to move to a faster worker."""
        starts: list[StartRun] = []
        for run in self._runs.values():
            if run.move_target is None or run.worker_id is not None:
                continue
            target, run.move_target = run.move_target, None
            item_id = run.item.item_id
            is_limited = item_id in limits.held_back or item_id in limits.isolated
            if run.complete or is_limited or now < run.not_before:
                continue
            if selector.assign_to(target, run.item):
                starts.append(self._start(run, target, now))
        return starts

    def _start(self, run: ItemRun, worker_id: BackendId, now: float) -> StartRun:
        if self._spec.one_version_only and run.texts:
            # The text must come from one version, and another worker may have a different one.
            run.discard_text()
        run.start(worker_id, now)
        return StartRun(
            item=run.item,
            worker_id=worker_id,
            resume_after=run.last_number,
            priority=self._priority(run),
            # All idle connections may have stalled, or may be closed by their workers.
            fresh_connection=run.total_unanswered > 0,
        )

    def _priority(self, run: ItemRun) -> int:
        if self._order.is_long(run.item) or run.last_number is not None:
            return PRIORITY_LONG
        return PRIORITY_POSTPONED if self._order.is_postponed(run.item) else PRIORITY_NORMAL

    def _stop_decisions(self, selector: WorkerSelector, now: float) -> list[StopRun]:
        stops: list[StopRun] = []
        silent_workers = self._silence_detector.silent_workers(self._runs.values(), now)
        for run in self._runs.values():
            if run.worker_id is None:
                continue
            if self._silence_detector.is_silent(run, silent_workers, now):
                is_active = selector.is_active(run.worker_id)
                reason = silence_reason(run, silent_workers, is_worker_active=is_active)
                stops.append(_stop(run, reason))
                continue
            target = self._faster_worker_for(run, selector)
            if target is not None:
                run.moves += 1
                run.move_target = target
                stops.append(_stop(run, StopReason.SLOW_WORKER))
        return stops

    def _faster_worker_for(self, run: ItemRun, selector: WorkerSelector) -> BackendId | None:
        """Return a faster worker that an item should move to, and reserve a slot there."""
        assert run.worker_id is not None
        if run.moves >= MAX_MOVES:
            return None
        is_long = self._order.is_long(run.item)
        min_events = MIN_EVENTS_TO_MOVE_LONG_ITEM if is_long else MIN_EVENTS_TO_MOVE_ITEM
        if run.events_on_worker < min_events:
            return None
        if not selector.is_slow(run.worker_id):
            counts_as_long = is_long or len(run.texts) >= LONG_TEXT_EVENTS
            if run.moves or not counts_as_long or not selector.is_somewhat_slow(run.worker_id):
                return None
        min_gain_seconds = 0.0
        if selector.is_shared(run.worker_id):
            min_gain_seconds = MOVE_COST_SECONDS / self._event_size.remaining_events(run)
        return selector.reserve_faster(run.worker_id, min_gain_seconds)


def _stop(run: ItemRun, reason: StopReason) -> StopRun:
    assert run.worker_id is not None
    run.avoided_worker = run.worker_id
    return StopRun(item_id=run.item.item_id, worker_id=run.worker_id, reason=reason)
