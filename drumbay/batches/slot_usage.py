"""Slot usage and demand of batch jobs, as owners exchange it."""

from collections.abc import Mapping

import msgspec

from drumbay.batches.records import BatchId
from drumbay.identifiers import BackendId

TIME_SLOT_SECONDS = 0.25
"""Resolution of exchanged times; items with start times in one slot are counted together."""


class JobSlotUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Slots that one batch job uses and needs at the workers of its service.

    Wall-clock times are the owner's, as numbers of time slots of :data:`TIME_SLOT_SECONDS`.

    Attributes:
        batch_id: The batch job.
        service: The service whose workers run its items.
        model: The model that the items request.
        priority: Its priority; 0 goes first.
        is_open: Whether it is open; an ended one uses slots while its runs linger.
        began_slot: Time slot of its submission.
        due_slot: Time slot in which its step is due; ``None`` if unknown.
        missed: Late streak: how many consecutive steps of its trainer before it were late.
        missing_groups: How many groups its trainer still waits for.
        running: Number of runs by worker.
        waiting: Number of items that wait for a slot.
        startable: How many of these could start if all usable slots were free.
        starts: How many of these must start by which time slot for the step to be in time.
        work_seconds: Slot-seconds needed for what the trainer still waits for, including runs in
            progress.
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
        """Return how many slots the job could use now, including those in use."""
        return self.startable + sum(self.running.values())

    @property
    def deferrable(self) -> int:
        """Return how many startable items are late or not needed by the trainer."""
        return self.startable - sum(self.starts.values())


class NoticeNumber(msgspec.Struct, frozen=True):
    """Sequence number of a notice, counted by one process of the sender."""

    boot: str
    number: int


def time_slot(wall_seconds: float) -> int:
    """Return the number of the time slot that contains a wall-clock time."""
    return int(wall_seconds // TIME_SLOT_SECONDS)
