"""How fast a worker makes the events of a stream, told from the times between events.

One late event says little about a worker: it may have preempted that run, or this process may
have read late, and then reads several events at once. So the pace is a median.
"""

import statistics
from collections import deque

PACE_SAMPLES = 7
"""Times between events that a pace is the median of. A worker that turned slow shows after four
of them: half a second for a single run at four times the usual 40 ms, less for several runs."""

PACE_LIFETIME_SECONDS = 4.0
"""A pace that was seen longer ago says nothing: the worker may have recovered."""

HEARD_SECONDS = 1.0
"""A worker that made an event so lately is alive; a dead one is noticed in about that time."""


class PaceEstimate:
    """The seconds between events on one worker, over all runs of this node there."""

    def __init__(self) -> None:
        """Start without a sample."""
        self._samples: deque[float] = deque(maxlen=PACE_SAMPLES)
        self._seen_at = float("-inf")
        self._best: float | None = None

    def observe(self, seconds: float, now: float) -> None:
        """Take the seconds between two events of a run."""
        if now - self._seen_at > PACE_LIFETIME_SECONDS:
            self._samples.clear()
        self._samples.append(seconds)
        self._seen_at = now
        if len(self._samples) == PACE_SAMPLES:
            median = statistics.median_low(self._samples)
            self._best = median if self._best is None else min(self._best, median)

    def is_heard(self, now: float) -> bool:
        """Return whether the worker made an event for this node in the last second."""
        return now - self._seen_at < HEARD_SECONDS

    def current(self, now: float) -> float | None:
        """Return the seconds between events, as seen lately, or else the best ever seen.

        ``None`` if too few events were ever seen.
        """
        if now - self._seen_at > PACE_LIFETIME_SECONDS:
            return self._best
        return statistics.median_low(self._samples)
