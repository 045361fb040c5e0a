"""Decides when a window's report is finalized."""

import msgspec

from drumbay.usage.counter import RETENTION_SECONDS
from drumbay.usage.records import WindowLength, WindowNumber

INCOMPLETE_FINALIZE_SHARE = 0.6
"""A report with incomplete counts is finalized after this share of the time until it is due. The
rest is for a leader change and retries."""

CLOCK_SKEW_SECONDS = 0.3
"""Tolerance for clock skew between machines."""


class ReportSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """Schedule of reports.

    Attributes:
        length: Length of a window.
        due_seconds: Time after the end of a window when its report is due.
    """

    length: WindowLength
    due_seconds: float

    def can_finalize(self, window: WindowNumber, now: float, *, is_complete: bool) -> bool:
        """Return whether a window's report may be finalized at wall clock time ``now``."""
        elapsed_seconds = now - self.length.end_of(window)
        if is_complete:
            return elapsed_seconds >= CLOCK_SKEW_SECONDS
        return elapsed_seconds >= INCOMPLETE_FINALIZE_SHARE * self.due_seconds

    def window_to_report(self, last_window: WindowNumber | None, now: float) -> WindowNumber:
        """Return the next window to report.

        The first one is the current window. After a long outage, windows are skipped whose counts
        have been discarded, since a report without counts would be wrong.
        """
        if last_window is None:
            return self.length.number_at(now)
        oldest_retained = self.length.number_at(now - RETENTION_SECONDS)
        return max(WindowNumber(last_window + 1), oldest_retained)
