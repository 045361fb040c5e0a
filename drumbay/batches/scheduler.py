"""Pure decisions about the items of one batch job: which runs where, which one moves."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set

from drumbay.batches.decisions import (
    Decision,
    PlaceShare,
    RunFailure,
    ScoreText,
    StartLimits,
    StartRun,
    StopReason,
    StopRun,
)
from drumbay.batches.item_order import ItemOrder
from drumbay.batches.item_run import ItemRun
from drumbay.batches.records import (
    BatchItem,
    BatchSpec,
    ItemId,
    ItemResult,
    PartialText,
    ResultState,
    ReturnedItems,
    Reward,
)
from drumbay.batches.run_silence import RunSilence, silence_reason
from drumbay.batches.start_order import NO_DUE_SECONDS, TimedStart, by_latest_start, may_start
from drumbay.batches.start_times import EventSize, StepClock
from drumbay.batches.worker_choice import DEFAULT_PACE_SECONDS, PlaceRequest, WorkerChoice
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.records import StreamEvent
from drumbay.workers.worker_record import WorkerRecord

PRIORITY_LONG = 2
PRIORITY_NORMAL = 5
PRIORITY_POSTPONED = 6
"""Long items decide when a step is whole; workers admit them before short ones."""

MAXIMUM_MOVES = 3
MOVE_SECONDS = 0.3
"""What a move takes until the next event: a stop, a plan, a connection, the prompt and the text so
far read again. Where machines are shared and workers differ, an item moves only if the rest of it
is expected to gain more."""

FAILURE_DELAY_SECONDS = 0.15
REFUSAL_DELAY_SECONDS = 0.05
FIRST_SCORE_RETRY_SECONDS = 0.1
LONGEST_SCORE_RETRY_SECONDS = 0.8
"""Pause after a reward request without a score; it doubles from the first to the longest."""

EVENTS_BEFORE_A_LONG_ITEM_MOVES = 3
EVENTS_BEFORE_ANOTHER_ITEM_MOVES = 5
"""A move costs about as much as some events: an item that was not expected to be long is moved once
it has made so many that it is likely to have many more."""

EVENTS_OF_A_LONG_ITEM = 25
"""An item that has made so many is taken for a long one, whatever was expected: lengths have a long
tail, and expectations are often far off."""


NO_LIMITS = StartLimits()
WHOLE_SHARE = PlaceShare()


class BatchScheduler:
    """Decides from events alone; deterministic.

    Items that are expected to be long start first and go to fast workers: they decide when a
    step is whole. Groups that are likely to be left out start last.
    """

    def __init__(
        self,
        spec: BatchSpec,
        started_at: float,
        listed: Sequence[ItemResult],
        event_size: EventSize | None = None,
        began_at: float | None = None,
    ) -> None:
        """Create a scheduler for the items that are not yet listed.

        Args:
            spec: The batch job.
            started_at: Monotonic time from which the queue limit runs.
            listed: Results that stand already.
            event_size: What texts of the model have shown so far.
            began_at: Monotonic time of the submission, if that was before ``started_at``.
        """
        self._spec = spec
        self._began_at = started_at if began_at is None else began_at
        self._event_size = event_size or EventSize()
        self._seconds_per_event = DEFAULT_PACE_SECONDS
        self._mean_pace = DEFAULT_PACE_SECONDS
        self._is_scarce = False
        self._give_up_at = started_at + spec.queue_limit_seconds
        self._silence = RunSilence(started_at)
        done = {result.item_id for result in listed}
        self._runs = {
            item.item_id: ItemRun(item=item) for item in spec.items if item.item_id not in done
        }
        self._given_up: list[StopRun] = []
        self._finished: list[ItemResult] = []
        self._unfinished_groups = Counter(run.item.group for run in self._runs.values())
        self._order = ItemOrder(spec)
        self._arrange()

    def _arrange(self) -> None:
        ordered = [item.item_id for item in self._order.items()]
        self._runs = {item_id: self._runs[item_id] for item_id in ordered if item_id in self._runs}

    # What came before

    def adopt(self, returned: ReturnedItems) -> None:
        """Go on from what an earlier batch job made of items, if its versions fit."""
        self._order = ItemOrder(self._spec, frozenset(returned.item_ids))
        self._arrange()
        for partial_text in returned.partial_texts:
            self._adopt_text(partial_text)

    def resume_from(self, partial_texts: Iterable[PartialText], not_before: float) -> None:
        """Go on from what a replaced owner made, once it has certainly stopped."""
        for partial_text in partial_texts:
            self._adopt_text(partial_text)
            run = self._runs.get(partial_text.item_id)
            if run is not None and run.last_number is not None:
                run.not_before = not_before

    def _adopt_text(self, partial_text: PartialText) -> None:
        run = self._runs.get(partial_text.item_id)
        if run is None or not self._versions_fit(partial_text.versions):
            return
        run.adopt(partial_text)
        if run.is_finished:
            self._finished.append(run.result())
            self._remove(partial_text.item_id)

    def take_adopted_results(self) -> tuple[ItemResult, ...]:
        """Return the results of items that earlier batch jobs had finished, once."""
        results = tuple(self._finished)
        self._finished.clear()
        return results

    # Progress

    @property
    def is_finished(self) -> bool:
        """Return whether every item has a result."""
        return not self._runs

    @property
    def unfinished(self) -> int:
        """Return how many items have no result."""
        return len(self._runs)

    def is_held(self, held: Set[ItemId], now: float) -> bool:
        """Return whether every item is held back, or its reward request is for some time."""
        until = now + LONGEST_SCORE_RETRY_SECONDS
        return all(
            run.item.item_id in held
            or (run.complete and not run.is_scoring and run.score_not_before > until)
            for run in self._runs.values()
        )

    @property
    def waiting(self) -> tuple[BatchItem, ...]:
        """Return the items that are at no worker and whose text is not whole."""
        return tuple(run.item for run in self._runs.values() if not run.is_placed)

    @property
    def due_at(self) -> float | None:
        """Return the monotonic time at which the step is due; ``None`` if nothing says so."""
        due_seconds = self._spec.due_seconds
        return None if due_seconds is None else self._began_at + due_seconds

    def work_seconds(self) -> float:
        """Return for how long one place would be taken by what the trainer still waits for."""
        events = sum(
            self._event_size.remaining_events(run)
            for run in self._runs.values()
            if not run.complete and not self._order.is_postponed(run.item)
        )
        return events * self._mean_pace

    def latest_starts(self, held: Set[ItemId], now: float) -> list[float | None]:
        """Return by when each item that only lacks a place must start, the soonest first.

        ``None`` stands for one that is late already, or that the trainer does not wait for.
        """
        return [start.latest_start for start in self._by_latest_start(held, now)]

    def _by_latest_start(self, held: Set[ItemId], now: float) -> list[TimedStart]:
        """Return the items that only lack a place in the order in which to start them."""
        due_at = self.due_at
        clock = StepClock(
            began_at=self._began_at,
            due_at=self._began_at + NO_DUE_SECONDS if due_at is None else due_at,
            has_due=due_at is not None,
            seconds_per_event=self._seconds_per_event,
            event_size=self._event_size,
            is_scarce=self._is_scarce,
        )
        return by_latest_start(self._startable(held, now), self._order, clock, now)

    def _startable(self, held: Set[ItemId], now: float) -> list[ItemRun]:
        return [
            run
            for run in self._runs.values()
            if not run.is_placed and now >= run.not_before and run.item.item_id not in held
        ]

    @property
    def missing_groups(self) -> int:
        """Return how many more whole groups the trainer waits for.

        It waits for each group that came back, and for so many others that it has enough.
        """
        unfinished = {group for group, count in self._unfinished_groups.items() if count}
        returned = self._order.returned_groups
        others = {item.group for item in self._spec.items} - returned
        wanted_others = max(0, self._spec.wanted_groups - len(returned))
        finished_others = len(others) - len(others & unfinished)
        return len(returned & unfinished) + max(0, wanted_others - finished_others)

    def progress(self, minimum_events: int) -> tuple[PartialText, ...]:
        """Return the texts so far of unfinished items with at least so many events."""
        return tuple(
            run.partial_text() for run in self._runs.values() if len(run.texts) >= minimum_events
        )

    def partial_text(self, item_id: ItemId, minimum_version: WeightVersion) -> PartialText | None:
        """Return what was made of an unfinished item, if a newer step may use it."""
        run = self._runs.get(item_id)
        if run is None or run.last_number is None or min(run.versions) < minimum_version:
            return None
        return run.partial_text()

    def useless_after_end(self, next_minimum_version: WeightVersion) -> tuple[ItemId, ...]:
        """Return the items whose text a later step with that minimum does not accept."""
        return tuple(
            item_id
            for item_id, run in self._runs.items()
            if not run.versions or min(run.versions) < next_minimum_version
        )

    # Events of runs

    def take_event(
        self, item_id: ItemId, event: StreamEvent, now: float, *, arrived_alone: bool = True
    ) -> float | None:
        """Add an event to an item's text; return seconds between events that tell a pace."""
        run = self._runs.get(item_id)
        return run.take(event, now, arrived_alone=arrived_alone) if run is not None else None

    def take_head(self, item_id: ItemId, version: WeightVersion, now: float) -> bool:
        """Note the head of an answer; return whether its version may make the text."""
        run = self._runs.get(item_id)
        if run is None:
            return False
        run.heard_at = now
        if version < self._spec.minimum_version:
            return False
        return not self._spec.one_version_only or run.versions in ([], [version])

    def take_completion(self, item_id: ItemId) -> ItemResult | None:
        """Take the end of a complete stream; return the result of an item that is finished.

        ``None`` if the text waits for its score, or cannot be used.
        """
        run = self._runs.get(item_id)
        if run is None:
            return None
        if not self._versions_fit(run.versions):
            run.forget_text()
            run.release()
            return None
        run.release()
        run.complete = True
        self._event_size.observe(run.item, len(run.texts))
        return self._take_finished(run)

    def _take_finished(self, run: ItemRun) -> ItemResult | None:
        if not run.is_finished:
            return None
        self._remove(run.item.item_id)
        return run.result()

    # Events of reward requests

    def take_reward(self, item_id: ItemId, reward: Reward) -> ItemResult | None:
        """Take the score of a whole text; return the result of the item."""
        run = self._runs.get(item_id)
        if run is None or not run.complete:
            return None
        run.is_scoring = False
        run.reward = reward
        return self._take_finished(run)

    def take_reward_failure(
        self,
        item_id: ItemId,
        worker_failures: int,
        attempts: int,
        now: float,
        retry_after_seconds: float = 0.0,
    ) -> ItemResult | None:
        """Note a reward request without a score; return a result if the item is given up.

        Args:
            item_id: The item.
            worker_failures: How many workers ran the request and failed.
            attempts: How many workers the route of the reward request allows.
            now: Monotonic time.
            retry_after_seconds: Before then the request would not be sent.
        """
        run = self._runs.get(item_id)
        if run is None:
            return None
        run.is_scoring = False
        run.reward_failures += worker_failures
        if run.reward_failures >= max(attempts, self._spec.attempts):
            return self._give_up(item_id)
        pause_seconds = FIRST_SCORE_RETRY_SECONDS * 2 ** min(run.reward_attempts, 8)
        pause_seconds = min(pause_seconds, LONGEST_SCORE_RETRY_SECONDS)
        run.score_not_before = now + max(pause_seconds, retry_after_seconds)
        run.reward_attempts += 1
        return None

    def _versions_fit(self, versions: Sequence[WeightVersion]) -> bool:
        if not versions or min(versions) < self._spec.minimum_version:
            return False
        return not self._spec.one_version_only or len(versions) == 1

    def take_failure(self, item_id: ItemId, failure: RunFailure, now: float) -> ItemResult | None:
        """Note a run that ended early; return a result if the item is given up."""
        run = self._runs.get(item_id)
        if run is None:
            return None
        worker_id = run.worker_id
        run.release()
        if failure is not RunFailure.STOPPED:
            run.target = None
        match failure:
            case RunFailure.REJECTED:
                return self._give_up(item_id)
            case RunFailure.FAILED:
                run.failures += 1
                run.forget_text()
                if run.failures >= self._spec.attempts:
                    return self._give_up(item_id)
                run.not_before = now + FAILURE_DELAY_SECONDS
                run.avoid = worker_id
            case RunFailure.BROKEN:
                run.avoid = worker_id
            case RunFailure.REFUSED:
                run.not_before = now + REFUSAL_DELAY_SECONDS
                run.avoid = worker_id
            case RunFailure.STOPPED:
                pass
        return None

    def expire(self, now: float) -> tuple[ItemResult, ...]:
        """Give up every item once the batch job's queue limit has passed."""
        if now < self._give_up_at:
            return ()
        return tuple(self._give_up(item_id) for item_id in list(self._runs))

    def _give_up(self, item_id: ItemId) -> ItemResult:
        self._remove(item_id)
        return ItemResult(item_id=item_id, state=ResultState.DEAD)

    def _remove(self, item_id: ItemId) -> None:
        """Forget an item that has a result, and stop what still runs of it."""
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
        limits: StartLimits = NO_LIMITS,
        share: PlaceShare = WHOLE_SHARE,
    ) -> tuple[Decision, ...]:
        """Return what to stop and what to start now.

        Args:
            workers: Workers of the batch job's service. The caller adds to their
                ``in_flight`` for each start before it plans again.
            newest_version: Newest version that the model's trainer has named.
            now: Monotonic time.
            limits: Items that must not start as others do.
            share: What other batch jobs leave to this one.
        """
        self._silence.note_plan(now)
        choice = WorkerChoice(
            self._spec, workers, newest_version, now, limits.apart_from, share.held
        )
        self._is_scarce = share.competition is not None and share.competition.is_scarce
        self._seconds_per_event = choice.usual_pace
        self._mean_pace = choice.mean_pace
        decisions: list[Decision] = [*self._given_up, *self._stops(choice, now)]
        self._given_up.clear()
        decisions.extend(self._starts(choice, now, limits, share))
        decisions.extend(self._scores(now))
        return tuple(decisions)

    def _scores(self, now: float) -> list[ScoreText]:
        scores: list[ScoreText] = []
        for run in self._runs.values():
            request = run.item.reward_request
            if not run.complete or run.is_scoring or request is None:
                continue
            if now >= run.score_not_before:
                run.is_scoring = True
                scores.append(ScoreText(item_id=run.item.item_id, request=request))
        return scores

    def _starts(
        self, choice: WorkerChoice, now: float, limits: StartLimits, share: PlaceShare
    ) -> list[StartRun]:
        held = sum(run.worker_id is not None for run in self._runs.values())
        starts = self._moved(choice, now, limits)
        competition = share.competition
        for timed in self._to_start(limits, share, now):
            run = timed.run
            if not choice.has_room:
                break
            if competition is not None and not may_start(
                timed.latest_start, competition, started=len(starts), held=held + len(starts)
            ):
                continue
            request = PlaceRequest(
                group=run.item.group,
                expected_tokens=run.item.expected_tokens,
                avoid=run.avoid,
                is_long=self._order.is_long(run.item),
                minimum_version=self._spec.minimum_version,
                prefers_heard=run.last_number is not None and run.avoid is not None,
                is_apart=run.item.item_id in limits.apart,
            )
            worker_id = choice.take(request)
            if worker_id is not None:
                starts.append(self._start(run, worker_id, now))
        return starts

    def _to_start(self, limits: StartLimits, share: PlaceShare, now: float) -> list[TimedStart]:
        """Return the items to start, and by when each must start if other jobs compete."""
        if share.competition is not None:
            return self._by_latest_start(limits.held, now)
        return [
            TimedStart(run, None)
            for run in self._startable(limits.held, now)
            if not share.long_only or self._order.is_long(run.item)
        ]

    def _moved(self, choice: WorkerChoice, now: float, limits: StartLimits) -> list[StartRun]:
        """Return the starts of items that were stopped to go on at a faster worker."""
        starts: list[StartRun] = []
        for run in self._runs.values():
            if run.target is None or run.worker_id is not None:
                continue
            target, run.target = run.target, None
            item_id = run.item.item_id
            is_limited = item_id in limits.held or item_id in limits.apart
            if run.complete or is_limited or now < run.not_before:
                continue
            if choice.take_at(target, run.item):
                starts.append(self._start(run, target, now))
        return starts

    def _start(self, run: ItemRun, worker_id: BackendId, now: float) -> StartRun:
        if self._spec.one_version_only and run.texts:
            # Another worker may hold another version; one version makes the whole text.
            run.forget_text()
        run.start(worker_id, now)
        return StartRun(
            item=run.item,
            worker_id=worker_id,
            resume_after=run.last_number,
            priority=self._priority(run),
        )

    def _priority(self, run: ItemRun) -> int:
        if self._order.is_long(run.item) or run.last_number is not None:
            return PRIORITY_LONG
        return PRIORITY_POSTPONED if self._order.is_postponed(run.item) else PRIORITY_NORMAL

    def _stops(self, choice: WorkerChoice, now: float) -> list[StopRun]:
        stops: list[StopRun] = []
        silent_workers = self._silence.silent_workers(self._runs.values(), now)
        for run in self._runs.values():
            if run.worker_id is None:
                continue
            if self._silence.is_silent(run, silent_workers, now):
                is_heard = choice.is_heard(run.worker_id)
                reason = silence_reason(run, silent_workers, is_worker_heard=is_heard)
                stops.append(_stop(run, reason))
                continue
            target = self._place_to_move_to(run, choice)
            if target is not None:
                run.moves += 1
                run.target = target
                stops.append(_stop(run, StopReason.SLOW_WORKER))
        return stops

    def _place_to_move_to(self, run: ItemRun, choice: WorkerChoice) -> BackendId | None:
        """Return the worker that an item had better go on at, with a place set aside there."""
        assert run.worker_id is not None
        if run.moves >= MAXIMUM_MOVES:
            return None
        is_long = self._order.is_long(run.item)
        needed = EVENTS_BEFORE_A_LONG_ITEM_MOVES if is_long else EVENTS_BEFORE_ANOTHER_ITEM_MOVES
        if run.events_here < needed:
            return None
        if not choice.is_slow(run.worker_id):
            is_decisive = is_long or len(run.texts) >= EVENTS_OF_A_LONG_ITEM
            if run.moves or not is_decisive or not choice.is_slower(run.worker_id):
                return None
        least_gain_seconds = 0.0
        if choice.is_shared(run.worker_id):
            least_gain_seconds = MOVE_SECONDS / self._event_size.remaining_events(run)
        return choice.reserve_faster(run.worker_id, least_gain_seconds)


def _stop(run: ItemRun, reason: StopReason) -> StopRun:
    assert run.worker_id is not None
    run.avoid = run.worker_id
    return StopRun(item_id=run.item.item_id, worker_id=run.worker_id, reason=reason)
