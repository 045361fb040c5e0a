"""Late streaks: consecutive late steps of each trainer, as observed by one node. No I/O."""

import msgspec

from drumbay.batches.records import BatchId
from drumbay.batches.slot_usage import JobSlotUsage

MAX_TRACKED_MODELS = 256
"""The least recently observed model is dropped beyond this number."""


class _Step(msgspec.Struct, frozen=True):
    """The newest step of a model: its first time slot and the late streak before it.

    ``is_late`` is set once the step was seen past its due time with groups missing.
    """

    batch_id: BatchId
    began_slot: int
    late_streak_before: int
    is_late: bool


class StepHistory:
    """Newest step of each model; model names are shared by all services."""

    def __init__(self) -> None:
        """Start without steps."""
        self._latest: dict[str, _Step] = {}

    def late_streak_before(self, model: str, batch_id: BatchId) -> int:
        """Return how many consecutive steps before a batch job were late."""
        latest = self._latest.get(model)
        if latest is None:
            return 0
        if latest.batch_id == batch_id:
            return latest.late_streak_before
        return latest.late_streak_before + 1 if latest.is_late else 0

    def observe(self, job: JobSlotUsage, current_time_slot: int) -> None:
        """Update the history with a job's slot usage; ended jobs are ignored."""
        if not job.is_open:
            return
        latest = self._latest.get(job.model)
        if latest is not None and latest.began_slot > job.began_slot:
            return
        was_late = latest is not None and latest.batch_id == job.batch_id and latest.is_late
        is_past_due = job.due_slot is not None and current_time_slot > job.due_slot
        if latest is None and len(self._latest) >= MAX_TRACKED_MODELS:
            del self._latest[next(iter(self._latest))]
        self._latest.pop(job.model, None)
        self._latest[job.model] = _Step(
            batch_id=job.batch_id,
            began_slot=job.began_slot,
            late_streak_before=job.missed,
            is_late=was_late or (is_past_due and job.missing_groups > 0),
        )
