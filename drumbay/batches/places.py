"""The places at workers that batch jobs hold and still want, as owners tell each other."""

from collections.abc import Mapping

import msgspec

from drumbay.batches.records import BatchId
from drumbay.identifiers import BackendId

TIME_SLOT_SECONDS = 0.25
"""Times of day are told by the number of their slot of this length: a fraction of the time that an
item takes, so that a few numbers say when hundreds of items must start."""


class JobPlaces(msgspec.Struct, frozen=True, kw_only=True):
    """One batch job: what it holds and wants at the workers of its service.

    Times of day are the owner's, given by the number of a slot of :data:`TIME_SLOT_SECONDS`.

    Attributes:
        batch_id: The batch job.
        service: The service whose workers run its items.
        model: The model that the items ask for.
        priority: Its rank; 0 goes first.
        is_open: Whether it is; an ended one still holds places for items that may come back.
        began_slot: When it was submitted.
        due_slot: When its step is due; ``None`` if nothing says so.
        missed: How many steps of its trainer before it were late, in a row.
        missing_groups: How many groups its trainer still waits for.
        running: Runs by worker.
        waiting: Items that need a place and have none.
        startable: How many of these could start, were all places free that suit them.
        starts: How many of these must start by which slot, so that they are in time.
        work_seconds: For how long one place would be taken by what the trainer still waits for,
            that which runs included.
    """

    batch_id: BatchId
    service: str
    model: str
    priority: int
    is_open: bool
    began_slot: int
    due_slot: int | None
    missed: int
    missing_groups: int
    running: Mapping[BackendId, int]
    waiting: int
    startable: int
    starts: Mapping[int, int]
    work_seconds: float

    @property
    def wanted(self) -> int:
        """Return how many places it could use now, those that it holds included."""
        return self.startable + sum(self.running.values())

    @property
    def deferrable(self) -> int:
        """Return how many startable items are late already, or waited for by nobody."""
        return self.startable - sum(self.starts.values())


class NoticeNumber(msgspec.Struct, frozen=True):
    """The number of a notice, counted by one process of its sender."""

    boot: str
    number: int


def time_slot(wall_seconds: float) -> int:
    """Return the number of the slot that a time of day falls into."""
    return int(wall_seconds // TIME_SLOT_SECONDS)
