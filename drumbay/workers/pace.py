"""How fast a worker makes the events of a stream, told from the times between events.

One late event says little about a worker: it may have preempted that run, or this process may
have read late, and then reads several events at once. Nor do a few dozen events in a row, while
this process is busy with the start of a batch job. So a pace is a median, and what is remembered
for later is a median of paces that lie apart in time.
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

REMEMBERED_PACES = 9
REMEMBER_INTERVAL_SECONDS = 0.5
"""The start of a batch job keeps a small machine busy for about a second: nine paces, half a second
apart, reach well beyond it."""

MINIMUM_REMEMBERED_PACES = 3
"""With fewer, all may come from one start of a batch job."""

USUAL_PACES = 40
"""Paces that a worker's usual one is the median of: twenty seconds of work, many times what a
neighbour on its machine or a fault slows it for."""

MINIMUM_USUAL_PACES = 8
"""With fewer, a worker that is slow since it is known would count as slow by its nature."""

SUSTAINED_SECONDS = 0.8
"""A worker that shares its machine is slowed for moments of half a second, again and again. Only
what lasts longer than that is worth leaving it for."""


class PaceEstimate:
    """The seconds between events on one worker, over all runs of this node there."""

    def __init__(self) -> None:
        """Start without a sample."""
        self._samples: deque[float] = deque(maxlen=PACE_SAMPLES)
        self._seen_at = float("-inf")
        self._remembered: deque[float] = deque(maxlen=REMEMBERED_PACES)
        self._usual: deque[float] = deque(maxlen=USUAL_PACES)
        self._lately: deque[tuple[float, float]] = deque()
        self._remembered_at = float("-inf")

    def observe(self, seconds: float, now: float) -> None:
        """Take the seconds between two events of a run."""
        if now - self._seen_at > PACE_LIFETIME_SECONDS:
            self._samples.clear()
        self._samples.append(seconds)
        self._seen_at = now
        if len(self._samples) < PACE_SAMPLES:
            return
        pace = statistics.median_low(self._samples)
        self._lately.append((now, pace))
        while self._lately[0][0] < now - SUSTAINED_SECONDS:
            self._lately.popleft()
        if now - self._remembered_at >= REMEMBER_INTERVAL_SECONDS:
            self._remembered.append(pace)
            self._usual.append(pace)
            self._remembered_at = now

    def is_heard(self, now: float) -> bool:
        """Return whether the worker made an event for this node in the last second."""
        return now - self._seen_at < HEARD_SECONDS

    def is_heard_since(self, moment: float) -> bool:
        """Return whether the worker made an event for this node after a monotonic time."""
        return self._seen_at > moment

    def recent(self, now: float) -> float | None:
        """Return the seconds between the last events; ``None`` if too few were seen lately."""
        is_known = len(self._samples) == PACE_SAMPLES
        if not is_known or now - self._seen_at > PACE_LIFETIME_SECONDS:
            return None
        return statistics.median_low(self._samples)

    def sustained(self, now: float) -> float | None:
        """Return the least of the last moments' paces: how slow the worker is all the time.

        ``None`` if these moments span too little time to tell.
        """
        if self.recent(now) is None:
            return None
        if self._lately[-1][0] - self._lately[0][0] < SUSTAINED_SECONDS / 2:
            return None
        return min(pace for _, pace in self._lately)

    def usual(self) -> float | None:
        """Return the seconds between events over a long time; ``None`` if too few were seen."""
        if len(self._usual) < MINIMUM_USUAL_PACES:
            return None
        return statistics.median_low(self._usual)

    def _remembered_pace(self) -> float | None:
        if len(self._remembered) < MINIMUM_REMEMBERED_PACES:
            return None
        return statistics.median_low(self._remembered)

    def current(self, now: float) -> float | None:
        """Return the seconds between events, as seen lately or else as remembered.

        ``None`` if too few events were ever seen.
        """
        recent = self.recent(now)
        return recent if recent is not None else self._remembered_pace()
