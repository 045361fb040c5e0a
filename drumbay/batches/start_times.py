"""Pure: by when an item must start, so that its group is whole when the step is due."""

import msgspec

from drumbay.batches.item_run import ItemRun
from drumbay.batches.records import BatchItem

TOKENS_PER_EVENT = 50.0
"""Until the first texts are whole: an event carries a few dozen tokens."""

SMOOTHING = 0.05
"""Weight of the newest text: lengths differ by factors, so that dozens of texts count."""

RESERVE_SECONDS = 0.6
"""Between the end of a text and its place in the trainer's hands: its score, and the listing."""

GRACE_SECONDS = 0.5
"""An item that could not start in time by less than this still counts as one that can be in time:
lengths are expectations, and the median text is shorter than that."""

LENGTHENING = 0.3
"""A text that is longer than expected is expected to grow by this share of what there is."""


class EventSize:
    """How many expected tokens make an event, as whole texts have shown."""

    def __init__(self) -> None:
        """Know of no text."""
        self._tokens_per_event = TOKENS_PER_EVENT

    def observe(self, item: BatchItem, events: int) -> None:
        """Take the number of events of a whole text."""
        if events and item.expected_tokens:
            newest = item.expected_tokens / events
            self._tokens_per_event += SMOOTHING * (newest - self._tokens_per_event)

    def remaining_events(self, run: ItemRun) -> float:
        """Return how many more events a text is expected to have."""
        made = len(run.texts)
        expected = run.item.expected_tokens / self._tokens_per_event - made
        return max(expected, LENGTHENING * made, 1.0)


class StepClock(msgspec.Struct, frozen=True, kw_only=True):
    """When a step began and is due, and how long an event takes. Times are monotonic seconds.

    ``has_due`` is false where ``due_at`` only orders items. ``is_scarce`` says that there is no
    room for all steps to be in time.
    """

    began_at: float
    due_at: float
    seconds_per_event: float
    event_size: EventSize
    is_scarce: bool
    has_due: bool = True

    def latest_start(self, run: ItemRun) -> float:
        """Return by when an item must start, to be in time on a usual worker."""
        seconds = self.event_size.remaining_events(run) * self.seconds_per_event
        return self.due_at - RESERVE_SECONDS - seconds

    def is_late(self, run: ItemRun, now: float) -> bool:
        """Return whether an item is expected too late, so that others go before it.

        Where there is room for all steps, one that had begun goes on, and so does one that takes
        longer than a step has: the trainer waits for both, and each moment that they wait makes it
        later. Where there is not, they would take the places of steps that can be in time.
        """
        latest_start = self.latest_start(run)
        if not self.is_scarce and (run.texts or latest_start <= self.began_at):
            return False
        return now > latest_start + GRACE_SECONDS
