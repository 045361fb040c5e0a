"""Latest start times of items, so that their groups are complete when the step is due. No I/O."""

import msgspec

from drumbay.batches.item_run import ItemRun
from drumbay.batches.records import BatchItem

INITIAL_TOKENS_PER_EVENT = 50.0
"""Estimate until the first texts are complete."""

SMOOTHING_FACTOR = 0.05
"""Weight of the latest text in the moving average."""

COMPLETION_MARGIN_SECONDS = 0.6
"""Time between the end of a text and its delivery: scoring and listing."""

LATE_START_GRACE_SECONDS = 0.5
"""An item is late only beyond this delay, as expected lengths are estimates."""

OVERRUN_GROWTH = 0.3
"""Expected further growth of a text that exceeds its expected length, as a share of it."""


class EventSizeEstimate:
    """Moving average of the expected tokens per event, over complete texts."""

    def __init__(self) -> None:
        """Start with the initial estimate."""
        self._tokens_per_event = INITIAL_TOKENS_PER_EVENT

    def observe(self, item: BatchItem, events: int) -> None:
        """Update the estimate with the event count of a complete text."""
        if events and item.expected_tokens:
            latest = item.expected_tokens / events
            self._tokens_per_event += SMOOTHING_FACTOR * (latest - self._tokens_per_event)

    def remaining_events(self, run: ItemRun) -> float:
        """Return how many more events a text is expected to have."""
        received = len(run.texts)
        expected = run.item.expected_tokens / self._tokens_per_event - received
        return max(expected, OVERRUN_GROWTH * received, 1.0)


class StepSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """Start and due time of a step in monotonic seconds, and the expected event rate.

    ``has_due_time`` is false if ``due_at`` only serves to order items. ``is_overloaded`` is true if
    not all steps can be in time.
    """

    submitted_at: float
    due_at: float
    seconds_per_event: float
    event_size: EventSizeEstimate
    is_overloaded: bool
    has_due_time: bool = True

    def latest_start(self, run: ItemRun) -> float:
        """Return the latest start of an item to finish in time at the median event interval."""
        seconds = self.event_size.remaining_events(run) * self.seconds_per_event
        return self.due_at - COMPLETION_MARGIN_SECONDS - seconds

    def is_late(self, run: ItemRun, now: float) -> bool:
        """Return whether an item is expected to finish too late, so that others go first.

        Without overload, items that have text or that were too long for the step from the start are
        not late: the trainer waits for them anyway. Under overload they would take slots from
        feasible steps.
        """
        latest_start = self.latest_start(run)
        if not self.is_overloaded and (run.texts or latest_start <= self.submitted_at):
            return False
        return now > latest_start + LATE_START_GRACE_SECONDS
