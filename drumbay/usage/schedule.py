"""Pure decision: when a window's report is to be fixed."""

import msgspec

from drumbay.usage.counter import KEPT_SECONDS
from drumbay.usage.records import WindowLength, WindowNumber

DECISION_SHARE = 0.6
"""A report that still lacks nodes is fixed once this share of the time until it is due has passed.
The rest is for a change of the leader, which takes up to half of it, and for calls that are
repeated."""

SETTLE_SECONDS = 0.3
"""Clocks of machines differ by a little: a window is not fixed in the moment in which it ends
here."""


class ReportSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """Times of reports.

    Attributes:
        length: Length of a window.
        due_seconds: A report falls due so long after the end of its window.
    """

    length: WindowLength
    due_seconds: float

    def may_fix(self, window: WindowNumber, now: float, *, is_complete: bool) -> bool:
        """Return whether a window's report is to be fixed now, at a time of day."""
        waited = now - self.length.end_of(window)
        if is_complete:
            return waited >= SETTLE_SECONDS
        return waited >= DECISION_SHARE * self.due_seconds

    def first_after(self, last: WindowNumber | None, now: float) -> WindowNumber:
        """Return the window to report next.

        The first window ever is the one that runs now. After a long stop, windows are passed over
        whose counts no node has kept: a report of nothing would be false.
        """
        if last is None:
            return self.length.number_at(now)
        oldest_kept = self.length.number_at(now - KEPT_SECONDS)
        return max(WindowNumber(last + 1), oldest_kept)
