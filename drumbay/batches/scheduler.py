"""Pure decisions about the items of one batch job: which runs where, which one moves."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum

import msgspec

from drumbay.batches.item_order import ItemOrder
from drumbay.batches.records import (
    BatchItem,
    BatchSpec,
    ItemId,
    ItemResult,
    PartialText,
    ResultState,
    ReturnedItems,
)
from drumbay.batches.worker_choice import PlaceRequest, WorkerChoice
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.directory import WorkerRecord
from drumbay.workers.records import StreamEvent

SILENCE_BEFORE_FIRST_EVENT_SECONDS = 1.6
SILENCE_BETWEEN_EVENTS_SECONDS = 1.2
NEWER_WAIT_SECONDS = 4.0
NEWER_LOADING_WAIT_SECONDS = 4.8
"""Postponed items wait so long for weights newer than those at the start, or longer while such
weights are named and being loaded: what older ones make is too old when the items come back."""

PRIORITY_LONG = 2
PRIORITY_NORMAL = 5
PRIORITY_POSTPONED = 6
"""Long items decide when a step is whole; workers admit them before short ones."""

MAXIMUM_MOVES = 3
MAXIMUM_MOVES_TO_FASTER = 1
FAILURE_DELAY_SECONDS = 0.15
REFUSAL_DELAY_SECONDS = 0.05
EVENTS_BEFORE_LEAVING_A_SLOW_WORKER = 3
EVENTS_BEFORE_SEEKING_A_FASTER_WORKER = 25
"""An item with so many events is likely to have many more: lengths have a long tail."""


class StopReason(StrEnum):
    """Why a run is stopped."""

    SILENT = "silent"
    SLOW_WORKER = "slow_worker"


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: run an item on a worker, continuing after ``resume_after`` events."""

    item: BatchItem
    worker_id: BackendId
    resume_after: int | None
    priority: int


class StopRun(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: stop the run of an item; the item is run again."""

    item_id: ItemId
    worker_id: BackendId
    reason: StopReason


Decision = StartRun | StopRun


class RunFailure(StrEnum):
    """How a run ended without a whole text."""

    REFUSED = "refused"
    BROKEN = "broken"
    FAILED = "failed"
    REJECTED = "rejected"
    STOPPED = "stopped"


class _ItemState(msgspec.Struct, kw_only=True):
    """Progress of one item."""

    item: BatchItem
    is_long: bool = False
    is_postponed: bool = False
    worker_id: BackendId | None = None
    texts: list[str] = msgspec.field(default_factory=list)
    last_number: int | None = None
    versions: list[WeightVersion] = msgspec.field(default_factory=list)
    events_in_run: int = 0
    heard_at: float = 0.0
    not_before: float = 0.0
    failures: int = 0
    moves: int = 0
    generation: int = 0
    avoid: BackendId | None = None

    def forget_text(self) -> None:
        self.generation += 1
        self.texts.clear()
        self.versions.clear()
        self.last_number = None

    def release(self) -> None:
        self.worker_id = None
        self.events_in_run = 0


class BatchScheduler:
    """Decides from events alone; deterministic.

    Items that are expected to be long start first and go to the fastest workers with the newest
    weights: they decide when a step is whole, and what is made under the newest weights can
    still be used when the item comes back in the next step.
    """

    def __init__(
        self,
        spec: BatchSpec,
        started_at: float,
        listed: Sequence[ItemResult],
    ) -> None:
        """Create a scheduler for the items that are not yet listed.

        Args:
            spec: The batch job.
            started_at: Monotonic time from which the queue limit runs.
            listed: Results that stand already.
        """
        self._spec = spec
        self._give_up_at = started_at + spec.queue_limit_seconds
        done = {result.item_id for result in listed}
        self._started_at = started_at
        self._named_at_start: WeightVersion | None = None
        self._items = {
            item.item_id: _ItemState(item=item) for item in spec.items if item.item_id not in done
        }
        self._unfinished_groups = Counter(state.item.group for state in self._items.values())
        self._arrange(frozenset())
        self._finished: list[ItemResult] = []

    def _arrange(self, returned: frozenset[ItemId]) -> None:
        order = ItemOrder(self._spec, returned)
        arranged: dict[ItemId, _ItemState] = {}
        for item in order.items():
            state = self._items.get(item.item_id)
            if state is not None:
                state.is_long = order.is_long(item)
                state.is_postponed = order.is_postponed(item)
                arranged[item.item_id] = state
        self._items = arranged

    def adopt(self, returned: ReturnedItems) -> None:
        """Go on from what an earlier batch job made of items, if its versions fit."""
        self._arrange(frozenset(returned.item_ids))
        for partial_text in returned.partial_texts:
            self._adopt_text(partial_text)

    def _adopt_text(self, partial_text: PartialText) -> None:
        state = self._items.get(partial_text.item_id)
        if state is None or not self._versions_fit(partial_text.versions):
            return
        state.texts = list(partial_text.texts)
        state.last_number = partial_text.last_number
        state.versions = list(partial_text.versions)
        if partial_text.complete:
            self._finished.append(self._result(state))
            self._remove(state)

    def take_adopted_results(self) -> tuple[ItemResult, ...]:
        """Return the results of items that earlier batch jobs had finished, once."""
        results = tuple(self._finished)
        self._finished.clear()
        return results

    @property
    def is_finished(self) -> bool:
        """Return whether every item has a result."""
        return not self._items

    @property
    def unfinished(self) -> int:
        """Return how many items have no result."""
        return len(self._items)

    def take_event(self, item_id: ItemId, event: StreamEvent, now: float) -> float | None:
        """Add an event to an item's text; return the seconds since the last one.

        The first event of a run has no time: prompt and queue stand before it.
        """
        state = self._items.get(item_id)
        if state is None:
            return None
        if state.last_number is not None and event.number <= state.last_number:
            return None
        state.texts.append(event.data)
        state.last_number = event.number
        if event.version not in state.versions:
            state.versions.append(event.version)
        elapsed = now - state.heard_at if state.events_in_run else None
        state.events_in_run += 1
        state.heard_at = now
        return elapsed

    def take_head(self, item_id: ItemId, version: WeightVersion, now: float) -> bool:
        """Note the head of an answer; return whether its version may make the text."""
        state = self._items.get(item_id)
        if state is None:
            return False
        state.heard_at = now
        if version < self._spec.minimum_version:
            return False
        return not self._spec.one_version_only or state.versions in ([], [version])

    def take_completion(self, item_id: ItemId) -> ItemResult | None:
        """Finish an item whose stream is complete; ``None`` if its text cannot be used."""
        state = self._items.get(item_id)
        if state is None:
            return None
        if not self._versions_fit(state.versions):
            state.forget_text()
            state.release()
            return None
        self._remove(state)
        return self._result(state)

    def _remove(self, state: _ItemState) -> None:
        del self._items[state.item.item_id]
        self._unfinished_groups[state.item.group] -= 1

    @property
    def missing_groups(self) -> int:
        """Return how many more whole groups the trainer waits for."""
        whole = sum(1 for count in self._unfinished_groups.values() if not count)
        listed_groups = len({item.group for item in self._spec.items}) - len(
            self._unfinished_groups
        )
        return max(0, self._spec.wanted_groups - whole - listed_groups)

    @staticmethod
    def _result(state: _ItemState) -> ItemResult:
        return ItemResult(
            item_id=state.item.item_id,
            state=ResultState.DONE,
            text="\n".join(state.texts),
            versions=tuple(sorted(state.versions)),
        )

    def _versions_fit(self, versions: Sequence[WeightVersion]) -> bool:
        if not versions or min(versions) < self._spec.minimum_version:
            return False
        return not self._spec.one_version_only or len(versions) == 1

    def take_failure(self, item_id: ItemId, failure: RunFailure, now: float) -> ItemResult | None:
        """Note a run that ended early; return a result if the item is given up."""
        state = self._items.get(item_id)
        if state is None:
            return None
        worker_id = state.worker_id
        state.release()
        match failure:
            case RunFailure.REJECTED:
                return self._give_up(state)
            case RunFailure.FAILED:
                state.failures += 1
                state.forget_text()
                if state.failures >= self._spec.attempts:
                    return self._give_up(state)
                state.not_before = now + FAILURE_DELAY_SECONDS
                state.avoid = worker_id
            case RunFailure.BROKEN:
                state.avoid = worker_id
            case RunFailure.REFUSED:
                state.not_before = now + REFUSAL_DELAY_SECONDS
                state.avoid = worker_id
            case RunFailure.STOPPED:
                pass
        return None

    def _give_up(self, state: _ItemState) -> ItemResult:
        self._remove(state)
        return ItemResult(item_id=state.item.item_id, state=ResultState.DEAD)

    def expire(self, now: float) -> tuple[ItemResult, ...]:
        """Give up every item once the batch job's queue limit has passed."""
        if now < self._give_up_at:
            return ()
        return tuple(self._give_up(state) for state in list(self._items.values()))

    def progress(self, minimum_events: int) -> tuple[PartialText, ...]:
        """Return the texts so far of unfinished items with at least so many events."""
        return tuple(
            self._partial_text(state)
            for state in self._items.values()
            if len(state.texts) >= minimum_events
        )

    def resume_from(self, partial_texts: Iterable[PartialText], not_before: float) -> None:
        """Go on from what a replaced owner made, once it has certainly stopped."""
        for partial_text in partial_texts:
            self._adopt_text(partial_text)
            state = self._items.get(partial_text.item_id)
            if state is not None and state.last_number is not None:
                state.not_before = not_before

    def partial_text(self, item_id: ItemId, minimum_version: WeightVersion) -> PartialText | None:
        """Return what was made of an unfinished item, if newer steps may use it."""
        state = self._items.get(item_id)
        if state is None or state.last_number is None:
            return None
        if min(state.versions) < minimum_version:
            return None
        return self._partial_text(state)

    @staticmethod
    def _partial_text(state: _ItemState) -> PartialText:
        assert state.last_number is not None
        return PartialText(
            item_id=state.item.item_id,
            texts=tuple(state.texts),
            last_number=state.last_number,
            versions=tuple(state.versions),
            generation=state.generation,
        )

    def plan(
        self,
        workers: Mapping[BackendId, WorkerRecord],
        newest_version: WeightVersion,
        now: float,
    ) -> tuple[Decision, ...]:
        """Return what to stop and what to start now.

        Args:
            workers: Workers of the batch job's service. The caller adds to their
                ``in_flight`` for each start before it plans again.
            newest_version: Newest version that the model's trainer has named.
            now: Monotonic time.
        """
        choice = WorkerChoice(self._spec, workers, newest_version, now)
        postponed_minimum = self._postponed_minimum(newest_version, now)
        decisions: list[Decision] = []
        decisions.extend(self._stops(choice, now))
        for state in self._items.values():
            if state.worker_id is not None or now < state.not_before:
                continue
            if not choice.has_room:
                break
            request = PlaceRequest(
                group=state.item.group,
                avoid=state.avoid,
                is_long=state.is_long,
                minimum_version=(
                    postponed_minimum if state.is_postponed else self._spec.minimum_version
                ),
            )
            worker_id = choice.take(request)
            if worker_id is not None:
                decisions.append(self._start(state, worker_id, now))
        return tuple(decisions)

    def _postponed_minimum(self, newest_version: WeightVersion, now: float) -> WeightVersion:
        """Return the version that postponed items wait for."""
        if self._named_at_start is None:
            self._named_at_start = newest_version
        is_named = newest_version > self._named_at_start
        limit = NEWER_LOADING_WAIT_SECONDS if is_named else NEWER_WAIT_SECONDS
        if now >= self._started_at + limit:
            return self._spec.minimum_version
        return WeightVersion(self._named_at_start + 1)

    def _start(self, state: _ItemState, worker_id: BackendId, now: float) -> StartRun:
        state.worker_id = worker_id
        state.events_in_run = 0
        state.heard_at = now
        if self._spec.one_version_only:
            # Another worker may hold another version; one version makes the whole text.
            state.forget_text()
        return StartRun(
            item=state.item,
            worker_id=worker_id,
            resume_after=state.last_number,
            priority=self._priority(state),
        )

    @staticmethod
    def _priority(state: _ItemState) -> int:
        if state.is_long or state.last_number is not None:
            return PRIORITY_LONG
        return PRIORITY_POSTPONED if state.is_postponed else PRIORITY_NORMAL

    def _stops(self, choice: WorkerChoice, now: float) -> list[StopRun]:
        stops: list[StopRun] = []
        for state in self._items.values():
            if state.worker_id is None:
                continue
            if self._is_silent(state, now):
                stops.append(self._stop(state, StopReason.SILENT))
            elif self._should_move(state, choice):
                state.moves += 1
                stops.append(self._stop(state, StopReason.SLOW_WORKER))
        return stops

    @staticmethod
    def _should_move(state: _ItemState, choice: WorkerChoice) -> bool:
        assert state.worker_id is not None
        if state.moves >= MAXIMUM_MOVES:
            return False
        if state.events_in_run < EVENTS_BEFORE_LEAVING_A_SLOW_WORKER:
            return False
        if choice.is_slow(state.worker_id):
            return choice.reserve_faster(state.worker_id)
        if state.moves >= MAXIMUM_MOVES_TO_FASTER:
            return False
        if state.events_in_run < EVENTS_BEFORE_SEEKING_A_FASTER_WORKER:
            return False
        return choice.reserve_faster(state.worker_id)

    @staticmethod
    def _is_silent(state: _ItemState, now: float) -> bool:
        silence = now - state.heard_at
        if state.events_in_run == 0:
            return silence > SILENCE_BEFORE_FIRST_EVENT_SECONDS
        return silence > SILENCE_BETWEEN_EVENTS_SECONDS

    @staticmethod
    def _stop(state: _ItemState, reason: StopReason) -> StopRun:
        assert state.worker_id is not None
        state.avoid = state.worker_id
        return StopRun(item_id=state.item.item_id, worker_id=state.worker_id, reason=reason)
