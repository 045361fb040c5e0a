"""Pure: which runs of a batch job have fallen silent, and why each of them is stopped."""

from collections.abc import Iterable, Set

from drumbay.batches.decisions import StopReason
from drumbay.batches.item_run import ItemRun
from drumbay.identifiers import BackendId

SILENCE_BEFORE_FIRST_EVENT_SECONDS = 1.6
SILENCE_BETWEEN_EVENTS_SECONDS = 1.2
"""A run is stopped after so long without an event: its worker may have preempted it."""

SILENCE_OF_A_WORKER_SECONDS = 0.7
"""A worker that made events and now makes none for any run has gone. Many times the 0.04 s between
events, and more than a plan may be late by."""

LONGEST_PLAN_GAP_SECONDS = 0.4
"""Plans follow each other by a tenth of a second. After a longer gap this process has stood
still or was busy, and events that came meanwhile are not read yet."""


class RunSilence:
    """Tells how long runs have been silent, apart from times when this process did not listen."""

    def __init__(self, now: float) -> None:
        """Listen from a monotonic time on."""
        self._planned_at = now
        self._listening_since = now

    def note_plan(self, now: float) -> None:
        """Note that a plan begins."""
        if now - self._planned_at > LONGEST_PLAN_GAP_SECONDS:
            self._listening_since = now
        self._planned_at = now

    def silent_workers(self, runs: Iterable[ItemRun], now: float) -> frozenset[BackendId]:
        """Return the workers that made events of these items and lately make none at all."""
        heard_at: dict[BackendId, float] = {}
        for run in runs:
            if run.worker_id is not None and run.events_here:
                latest = heard_at.get(run.worker_id, self._listening_since)
                heard_at[run.worker_id] = max(latest, run.heard_at)
        limit = SILENCE_OF_A_WORKER_SECONDS
        return frozenset(worker for worker, latest in heard_at.items() if now - latest > limit)

    def is_silent(self, run: ItemRun, silent_workers: Set[BackendId], now: float) -> bool:
        """Return whether a run has been silent for too long."""
        silence = now - max(run.heard_at, self._listening_since)
        if run.worker_id in silent_workers:
            return silence > SILENCE_OF_A_WORKER_SECONDS
        limit = (
            SILENCE_BETWEEN_EVENTS_SECONDS
            if run.events_here
            else SILENCE_BEFORE_FIRST_EVENT_SECONDS
        )
        return silence > limit


def silence_reason(
    run: ItemRun, silent_workers: Set[BackendId], *, is_worker_heard: bool
) -> StopReason:
    """Return why a silent run is stopped; ``is_worker_heard`` if others hear of its worker."""
    if run.worker_id in silent_workers:
        return StopReason.SILENT
    if run.events_here:
        return StopReason.STALLED
    return StopReason.QUEUED if is_worker_heard else StopReason.UNSTARTED
