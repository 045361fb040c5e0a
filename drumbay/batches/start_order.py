"""Pure: which items start first where several batch jobs share places, and whether one may start.

The load it answers: trainers that together ask for more than the engines can make in time. Items go
by the moment at which each must start for its step to be in time; those that can't be in time any
more, and those that the trainer does not wait for, take what the others leave.
"""

import math
from collections.abc import Iterable

import msgspec

from drumbay.batches.item_order import ItemOrder
from drumbay.batches.item_run import ItemRun
from drumbay.batches.places import time_slot
from drumbay.batches.shared_places import Competition
from drumbay.batches.start_times import StepClock

NO_DUE_SECONDS = 10.0
"""Where nothing says when a step is due, its items stand among other jobs' as if it were then; none
of them counts as late."""


class TimedStart(msgspec.Struct, frozen=True):
    """An item that only lacks a place, and by when it must start; monotonic seconds.

    ``None`` stands for an item that is late already, or that the trainer does not wait for.
    """

    run: ItemRun
    latest_start: float | None


def by_latest_start(
    startable: Iterable[ItemRun], order: ItemOrder, clock: StepClock, now: float
) -> list[TimedStart]:
    """Return the items in the order in which to start them, the soonest latest start first."""
    runs = list(startable)
    late = {run.item.item_id for run in runs if clock.has_due and clock.is_late(run, now)}
    late_groups = {run.item.group for run in runs if run.item.item_id in late}
    starts = []
    for run in runs:
        is_spare = run.item.group in late_groups or order.is_postponed(run.item)
        is_deferrable = run.item.item_id in late or (is_spare and not run.texts)
        starts.append(TimedStart(run, None if is_deferrable else clock.latest_start(run)))
    # Stable: late items keep the order in which they would start without other jobs.
    return sorted(
        starts, key=lambda start: math.inf if start.latest_start is None else start.latest_start
    )


def may_start(
    latest_start: float | None, competition: Competition, *, started: int, held: int
) -> bool:
    """Return whether other batch jobs leave a place for one more item.

    Args:
        latest_start: By when it must start; ``None`` if it is late or spare.
        competition: What the other jobs wait for.
        started: How many items the plan has started so far.
        held: How many items of the job have a place.
    """
    slot = None
    if latest_start is not None and competition.is_feasible:
        slot = time_slot(latest_start + competition.offset)
    if slot is None and held < competition.late_places:
        return True
    return competition.free - started > competition.count_ahead(slot)
