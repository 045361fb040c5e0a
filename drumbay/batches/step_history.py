"""Pure: how many steps of each trainer were late in a row, as one node has seen or heard."""

import msgspec

from drumbay.batches.places import JobPlaces
from drumbay.batches.records import BatchId

MOST_MODELS = 256
"""Far more than trainers share the workers; the model that was heard of last the longest ago is
forgotten."""


class _Step(msgspec.Struct, frozen=True):
    """The newest step of a model: when it began, and how many steps before it were late in a row.

    ``is_late`` once it was seen past due while its trainer still waited for it.
    """

    batch_id: BatchId
    began_slot: int
    missed_before: int
    is_late: bool


class StepHistory:
    """The newest step of each model; a model's name is the same in all services."""

    def __init__(self) -> None:
        """Know of no step."""
        self._latest: dict[str, _Step] = {}

    def missed_before(self, model: str, batch_id: BatchId) -> int:
        """Return how many steps before a batch job were late in a row."""
        latest = self._latest.get(model)
        if latest is None:
            return 0
        if latest.batch_id == batch_id:
            return latest.missed_before
        return latest.missed_before + 1 if latest.is_late else 0

    def observe(self, job: JobPlaces, now_slot: int) -> None:
        """Take what a batch job tells; one that has ended tells nothing of its step."""
        if not job.is_open:
            return
        latest = self._latest.get(job.model)
        if latest is not None and latest.began_slot > job.began_slot:
            return
        was_late = latest is not None and latest.batch_id == job.batch_id and latest.is_late
        is_past_due = job.due_slot is not None and now_slot > job.due_slot
        if latest is None and len(self._latest) >= MOST_MODELS:
            del self._latest[next(iter(self._latest))]
        self._latest.pop(job.model, None)
        self._latest[job.model] = _Step(
            batch_id=job.batch_id,
            began_slot=job.began_slot,
            missed_before=job.missed,
            is_late=was_late or (is_past_due and job.missing_groups > 0),
        )
