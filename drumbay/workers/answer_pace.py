"""How fast and how surely a worker answers, next to what is usual for the routes it serves.

The load it answers: a node sees few answers of each worker, of routes whose requests take different
times; workers turn slow or fail for some seconds and recover.
"""

import math

PACE_MEMORY_SECONDS = 10.0
"""At this age what was seen counts for 37%. Workers turn slow or fail for some seconds and recover,
and a node with few requests asks one each ten seconds: with a shorter memory it would try a slow
worker anew each time."""

PACE_SMOOTHING = 0.3
"""Weight of the newest answer: single requests differ by a factor of two, and about the last five
together tell a slow worker from them."""

FAILURE_SMOOTHING = 0.3
"""Weight of the newest run in the share of failed ones: two failures in a row show as a half."""


class AnswerPace:
    """The time of a worker's answers relative to what is usual, and its share of failed runs."""

    def __init__(self) -> None:
        """Start as a worker that answers as usual."""
        self._relative_time = 1.0
        self._answered_at = -math.inf
        self._failure_share = 0.0
        self._ran_at = -math.inf

    @property
    def ran_at(self) -> float:
        """Return when the last run ended, were it with a failure; ``-inf`` for never."""
        return self._ran_at

    def relative_time(self, now: float) -> float:
        """Return the expected time of an answer relative to the usual one; 1 without news."""
        weight = decay_weight(now - self._answered_at, PACE_MEMORY_SECONDS)
        return 1.0 + (self._relative_time - 1.0) * weight

    def failure_share(self, now: float) -> float:
        """Return the expected share of failed runs; 0 without news."""
        return self._failure_share * decay_weight(now - self._ran_at, PACE_MEMORY_SECONDS)

    def observe_answer(self, relative_time: float | None, now: float) -> None:
        """Take an answer; its time is ``None`` where the usual one is not known yet."""
        self._observe_run(0.0, now)
        if relative_time is not None:
            self._take(relative_time, now)

    def observe_unanswered(self, relative_time: float, now: float) -> None:
        """Take a run that was given up: it would have taken at least that long."""
        if relative_time > self.relative_time(now):
            self._take(relative_time, now)

    def observe_failure(self, now: float) -> None:
        """Take a run that failed."""
        self._observe_run(1.0, now)

    def _take(self, relative_time: float, now: float) -> None:
        expected = self.relative_time(now)
        self._relative_time = expected + PACE_SMOOTHING * (relative_time - expected)
        self._answered_at = now

    def _observe_run(self, failed: float, now: float) -> None:
        expected = self.failure_share(now)
        self._failure_share = expected + FAILURE_SMOOTHING * (failed - expected)
        self._ran_at = now


def decay_weight(age_seconds: float, memory_seconds: float) -> float:
    """Return how much of what was seen so long ago still counts; the rest counts as usual."""
    return math.exp(-max(0.0, age_seconds) / memory_seconds)
