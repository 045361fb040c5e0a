"""Detects runs of a batch job that have stopped receiving events. No I/O."""

from collections.abc import Iterable, Set

from drumbay.batches.decisions import StopReason
from drumbay.batches.item_run import ItemRun
from drumbay.identifiers import BackendId

FIRST_EVENT_TIMEOUT_SECONDS = 1.6
EVENT_GAP_TIMEOUT_SECONDS = 1.2
"""A run without events for this long is stopped: its worker may have preempted it."""

WORKER_SILENCE_SECONDS = 0.7
"""A worker is silent if none of its runs got an event for this long, after earlier events."""

MAX_PLAN_GAP_SECONDS = 0.4
"""A longer time between two plans means that this process was paused or overloaded: events that
arrived meanwhile may be unread, so timeouts start anew.
"""


class SilenceDetector:
    """Measures how long runs have been silent, excluding pauses of this process."""

    def __init__(self, now: float) -> None:
        """Start listening at a monotonic time."""
        self._last_plan_at = now
        self._listening_since = now

    def start_plan(self, now: float) -> None:
        """Record the start of a planning round."""
        if now - self._last_plan_at > MAX_PLAN_GAP_SECONDS:
            self._listening_since = now
        self._last_plan_at = now

    def silent_workers(self, runs: Iterable[ItemRun], now: float) -> frozenset[BackendId]:
        """Return the workers that sent events for these runs and have stopped entirely."""
        last_activity_at: dict[BackendId, float] = {}
        for run in runs:
            if run.worker_id is not None and run.events_on_worker:
                latest = last_activity_at.get(run.worker_id, self._listening_since)
                last_activity_at[run.worker_id] = max(latest, run.last_activity_at)
        limit = WORKER_SILENCE_SECONDS
        return frozenset(
            worker for worker, latest in last_activity_at.items() if now - latest > limit
        )

    def is_silent(self, run: ItemRun, silent_workers: Set[BackendId], now: float) -> bool:
        """Return whether a run has exceeded its silence timeout."""
        silence = now - max(run.last_activity_at, self._listening_since)
        if run.worker_id in silent_workers:
            return silence > WORKER_SILENCE_SECONDS
        limit = EVENT_GAP_TIMEOUT_SECONDS if run.events_on_worker else FIRST_EVENT_TIMEOUT_SECONDS
        return silence > limit


def silence_reason(
    run: ItemRun, silent_workers: Set[BackendId], *, is_worker_active: bool
) -> StopReason:
    """Return why a silent run is stopped; ``is_worker_active`` if other runs get events."""
    if run.worker_id in silent_workers:
        return StopReason.SILENT
    if run.events_on_worker:
        return StopReason.STALLED
    return StopReason.QUEUED if is_worker_active else StopReason.UNSTARTED
