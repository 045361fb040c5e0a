"""Pure decisions about the items of one batch job: which runs where, which one moves."""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import msgspec

from drumbay.batches.records import BatchItem, BatchSpec, ItemId, ItemResult, ResultState
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.directory import WorkerRecord
from drumbay.workers.records import StreamEvent

SILENCE_BEFORE_FIRST_EVENT_SECONDS = 1.6
SILENCE_BETWEEN_EVENTS_SECONDS = 0.7
SILENCE_WHILE_LOADING_SECONDS = 2.0
SLOW_FACTOR = 2.2
"""A worker whose events come this many times later than the median worker's is slow."""

MAXIMUM_MOVES = 3
FAILURE_DELAY_SECONDS = 0.15
DEFAULT_PACE_SECONDS = 0.045
MINIMUM_EVENTS_BEFORE_MOVE = 3


class StopReason(StrEnum):
    """Why a run is stopped."""

    SILENT = "silent"
    SLOW_WORKER = "slow_worker"
    OLD_VERSION = "old_version"
    WORKER_GONE = "worker_gone"


class StartRun(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: run an item on a worker, continuing after ``resume_after`` events."""

    item: BatchItem
    worker_id: BackendId
    resume_after: int | None


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
    worker_id: BackendId | None = None
    texts: list[str] = msgspec.field(default_factory=list)
    last_number: int | None = None
    versions: list[WeightVersion] = msgspec.field(default_factory=list)
    events_in_run: int = 0
    heard_at: float = 0.0
    not_before: float = 0.0
    failures: int = 0
    moves: int = 0
    avoid: BackendId | None = None

    def forget_text(self) -> None:
        self.texts.clear()
        self.versions.clear()
        self.last_number = None


class BatchScheduler:
    """Decides from events alone; deterministic.

    Groups start in the order in which they were submitted, since groups that come back from an
    earlier batch job stand first and are waited for; the items of a group go to one worker while
    it has room, since they share a prompt that the worker then reads once.
    """

    def __init__(self, spec: BatchSpec, started_at: float, listed: Sequence[ItemResult]) -> None:
        """Create a scheduler for the items that are not yet listed."""
        self._spec = spec
        self._give_up_at = started_at + spec.queue_limit_seconds
        done = {result.item_id for result in listed}
        self._items = {
            item.item_id: _ItemState(item=item) for item in spec.items if item.item_id not in done
        }
        self._group_workers: dict[str, BackendId] = {}

    @property
    def is_finished(self) -> bool:
        """Return whether every item has a result."""
        return not self._items

    def running(self) -> int:
        """Return how many items are at workers."""
        return sum(1 for state in self._items.values() if state.worker_id is not None)

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
        if not self._versions_fit(state):
            state.forget_text()
            self._release(state)
            return None
        del self._items[item_id]
        return ItemResult(
            item_id=item_id,
            state=ResultState.DONE,
            text="\n".join(state.texts),
            versions=tuple(sorted(state.versions)),
        )

    def _versions_fit(self, state: _ItemState) -> bool:
        if not state.versions or min(state.versions) < self._spec.minimum_version:
            return False
        return not self._spec.one_version_only or len(state.versions) == 1

    def take_failure(self, item_id: ItemId, failure: RunFailure, now: float) -> ItemResult | None:
        """Note a run that ended early; return a result if the item is given up."""
        state = self._items.get(item_id)
        if state is None:
            return None
        worker_id = state.worker_id
        self._release(state)
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
                state.not_before = now + FAILURE_DELAY_SECONDS / 3
                state.avoid = worker_id
            case RunFailure.STOPPED:
                pass
        return None

    def _give_up(self, state: _ItemState) -> ItemResult:
        del self._items[state.item.item_id]
        return ItemResult(item_id=state.item.item_id, state=ResultState.DEAD)

    @staticmethod
    def _release(state: _ItemState) -> None:
        state.worker_id = None
        state.events_in_run = 0

    def expire(self, now: float) -> tuple[ItemResult, ...]:
        """Give up every item once the batch job's queue limit has passed."""
        if now < self._give_up_at:
            return ()
        return tuple(self._give_up(state) for state in list(self._items.values()))

    def plan(self, workers: Mapping[BackendId, WorkerRecord], now: float) -> tuple[Decision, ...]:
        """Return what to stop and what to start now.

        ``workers`` are the workers of the batch job's service. The caller adds to their
        ``in_flight`` for each start before it plans again.
        """
        decisions: list[Decision] = []
        decisions.extend(self._stops(workers, now))
        free = {
            worker_id: record.free_slots(now)
            for worker_id, record in workers.items()
            if self._may_run_on(record, now)
        }
        for state in self._items.values():
            if state.worker_id is not None or now < state.not_before:
                continue
            if not any(free.values()):
                break
            worker_id = self._place(state, workers, free)
            if worker_id is None:
                continue
            decisions.append(self._start(state, worker_id, now))
            free[worker_id] -= 1
        return tuple(decisions)

    def _may_run_on(self, record: WorkerRecord, now: float) -> bool:
        if not record.is_available(now):
            return False
        version = record.versions.get(self._spec.model)
        return version is not None and version >= self._spec.minimum_version

    def _start(self, state: _ItemState, worker_id: BackendId, now: float) -> StartRun:
        state.worker_id = worker_id
        state.events_in_run = 0
        state.heard_at = now
        if self._spec.one_version_only:
            # Another worker may hold another version; one version makes the whole text.
            state.forget_text()
        self._group_workers.setdefault(state.item.group, worker_id)
        return StartRun(item=state.item, worker_id=worker_id, resume_after=state.last_number)

    def _place(
        self,
        state: _ItemState,
        workers: Mapping[BackendId, WorkerRecord],
        free: Mapping[BackendId, int],
    ) -> BackendId | None:
        preferred = self._group_workers.get(state.item.group)
        if preferred is not None and preferred != state.avoid and free.get(preferred, 0) > 0:
            return preferred
        candidates = [worker_id for worker_id, count in free.items() if count > 0]
        others = [worker_id for worker_id in candidates if worker_id != state.avoid]
        candidates = others or candidates
        if not candidates:
            return None
        median = self._median_pace(workers)

        def cost(worker_id: BackendId) -> tuple[float, float, str]:
            record = workers[worker_id]
            pace = record.pace_seconds or median
            taken = 1.0 - free[worker_id] / max(1, record.worker.slots)
            return (pace > SLOW_FACTOR * median, taken, worker_id)

        chosen = min(candidates, key=cost)
        self._group_workers[state.item.group] = chosen
        return chosen

    @staticmethod
    def _median_pace(workers: Mapping[BackendId, WorkerRecord]) -> float:
        paces = sorted(r.pace_seconds for r in workers.values() if r.pace_seconds is not None)
        if not paces:
            return DEFAULT_PACE_SECONDS
        return paces[(len(paces) - 1) // 2]

    def _stops(self, workers: Mapping[BackendId, WorkerRecord], now: float) -> list[StopRun]:
        median = self._median_pace(workers)
        stops: list[StopRun] = []
        spare = sum(
            record.free_slots(now)
            for record in workers.values()
            if self._may_run_on(record, now) and not self._is_slow(record, median)
        )
        for state in self._items.values():
            if state.worker_id is None:
                continue
            record = workers.get(state.worker_id)
            if self._is_silent(state, now):
                stops.append(self._stop(state, StopReason.SILENT))
            elif record is not None and spare > 0 and self._should_move(state, record, median):
                spare -= 1
                state.moves += 1
                stops.append(self._stop(state, StopReason.SLOW_WORKER))
        return stops

    @staticmethod
    def _is_slow(record: WorkerRecord, median: float) -> bool:
        return record.pace_seconds is not None and record.pace_seconds > SLOW_FACTOR * median

    def _should_move(self, state: _ItemState, record: WorkerRecord, median: float) -> bool:
        return (
            self._is_slow(record, median)
            and state.moves < MAXIMUM_MOVES
            and state.events_in_run >= MINIMUM_EVENTS_BEFORE_MOVE
        )

    @staticmethod
    def _is_silent(state: _ItemState, now: float) -> bool:
        silence = now - state.heard_at
        if state.events_in_run == 0:
            return silence > SILENCE_BEFORE_FIRST_EVENT_SECONDS
        return silence > SILENCE_BETWEEN_EVENTS_SECONDS + SILENCE_WHILE_LOADING_SECONDS / 2

    @staticmethod
    def _stop(state: _ItemState, reason: StopReason) -> StopRun:
        assert state.worker_id is not None
        state.avoid = state.worker_id
        return StopRun(item_id=state.item.item_id, worker_id=state.worker_id, reason=reason)
