"""Start order of items when several batch jobs share worker slots. No I/O.

Items are ordered by the latest time at which they can start for their step to be in time. Late
items and those that the trainer does not need use the remaining slots.
"""

import math
from collections.abc import Iterable

import msgspec

from drumbay.batches.item_order import ItemOrder
from drumbay.batches.item_run import ItemRun
from drumbay.batches.slot_contention import Contention
from drumbay.batches.slot_usage import time_slot
from drumbay.batches.start_times import StepSchedule

DEFAULT_DUE_SECONDS = 10.0
"""Assumed due time of a step without one, used for ordering only; it never counts as late."""


class StartCandidate(msgspec.Struct, frozen=True):
    """An item that waits for a slot, and its latest start in monotonic seconds.

    ``None`` stands for a deferrable item: already late, or not needed by the trainer.
    """

    run: ItemRun
    latest_start: float | None


def order_by_latest_start(
    startable: Iterable[ItemRun], order: ItemOrder, schedule: StepSchedule, now: float
) -> list[StartCandidate]:
    """Return the items in start order, the earliest latest start first."""
    runs = list(startable)
    late = {
        run.item.item_id for run in runs if schedule.has_due_time and schedule.is_late(run, now)
    }
    late_groups = {run.item.group for run in runs if run.item.item_id in late}
    candidates = []
    for run in runs:
        is_surplus = run.item.group in late_groups or order.is_postponed(run.item)
        is_deferrable = run.item.item_id in late or (is_surplus and not run.texts)
        candidates.append(
            StartCandidate(run, None if is_deferrable else schedule.latest_start(run))
        )
    # Stable sort: deferrable items keep the order used without contention.
    return sorted(
        candidates,
        key=lambda candidate: (
            math.inf if candidate.latest_start is None else candidate.latest_start
        ),
    )


def may_start(
    latest_start: float | None, contention: Contention, *, started: int, running: int
) -> bool:
    """Return whether other batch jobs leave a slot for one more item.

    Args:
        latest_start: Latest start of the item; ``None`` if it is deferrable.
        contention: Demand of the other jobs.
        started: How many items this planning round has started so far.
        running: How many items of the job use a slot.
    """
    start_time_slot = None
    if latest_start is not None and contention.is_feasible:
        start_time_slot = time_slot(latest_start + contention.wall_offset)
    if start_time_slot is None and running < contention.late_slots:
        return True
    return contention.free_slots - started > contention.count_ahead(start_time_slot)
