"""How many requests of one node may be under way at a service.

The load it answers: many nodes share a service that is full for a while, or several times slower
for some seconds; each node sees its own requests only. Additive increase and multiplicative
decrease lets such nodes share without a message (Chiu and Jain 1989, section 2).
"""

import math

from drumbay.admission.records import ServiceRoom

DECREASE_FACTOR = 0.7
"""What a refusal by all workers leaves of the limit: a service that was a little too full is not
left half empty."""

DECREASE_INTERVAL_SECONDS = 0.1
"""Refusals within one such time, or that of an answer, tell of the same moment and lower the limit
once: requests under way since before show nothing of the lower limit yet."""

FIRST_PAUSE_SECONDS = 0.05
LONGEST_REFUSED_PAUSE_SECONDS = 0.2
"""After a refusal by all workers nothing goes out for this time, doubled with each in a row: places
come free within the time of a request, and asking more often only adds refusals."""

LIMIT_LIFETIME_SECONDS = 1.0
"""Without a refusal for this time and with nothing waiting, there is no limit any more."""

SLOW_FACTOR = 2.0
"""Answers that take so many times the usual time tell of a queue at the workers, or of workers
that have turned slow; single requests differ by less."""

RECENT_WEIGHT = 0.2
USUAL_WEIGHT = 0.005
"""Weights of the newest answer in the recent and in the usual time: the first follows within five
answers, the second holds through some seconds of slowness, and then takes the new pace."""


class ConcurrencyLimit:
    """The limit of one service at one node; there is none until it is needed."""

    def __init__(self) -> None:
        """Start without a limit."""
        self._limit: float | None = None
        self._lowered_at = -math.inf
        self._refused_at = -math.inf
        self._refusals_in_a_row = 0
        self._paused_until = -math.inf
        self._recent_seconds: float | None = None
        self._usual_seconds: float | None = None

    @property
    def is_in_force(self) -> bool:
        """Return whether requests may have to wait."""
        return self._limit is not None or self._is_slow()

    @property
    def answer_seconds(self) -> float | None:
        """Return the time of recent answers."""
        return self._recent_seconds

    def current(self, room: ServiceRoom) -> int:
        """Return the limit while it is in force; never less than one."""
        limit = room.places if self._limit is None else min(room.places, int(self._limit))
        return max(1, limit)

    def pause_ends_at(self, room: ServiceRoom, now: float) -> float:
        """Return when a request may go out again; ``now`` or before if it may at once.

        While all workers are paused for longer than a refusal takes, one is asked all the same:
        nothing else would tell that they are back.
        """
        ends_at = room.pause_ends_at
        if (
            room.available_workers
            or ends_at is None
            or ends_at > now + LONGEST_REFUSED_PAUSE_SECONDS
        ):
            return self._paused_until
        return max(self._paused_until, ends_at)

    def note_refused(self, under_way: int, now: float) -> None:
        """Take that all workers refused a request, with so many under way from here."""
        self._refused_at = now
        self._pause(now)
        if now - self._lowered_at < max(DECREASE_INTERVAL_SECONDS, self._recent_seconds or 0.0):
            return
        self._lowered_at = now
        before = under_way if self._limit is None else min(self._limit, float(under_way))
        self._limit = max(1.0, DECREASE_FACTOR * before)

    def _pause(self, now: float) -> None:
        if now < self._paused_until:
            return
        pause_seconds = FIRST_PAUSE_SECONDS * 2 ** min(self._refusals_in_a_row, 8)
        self._refusals_in_a_row += 1
        self._paused_until = now + min(pause_seconds, LONGEST_REFUSED_PAUSE_SECONDS)

    def note_answered(self, seconds: float) -> None:
        """Take an answer and the time it took."""
        self._refusals_in_a_row = 0
        self._recent_seconds = _smooth(self._recent_seconds, seconds, RECENT_WEIGHT)
        self._usual_seconds = _smooth(self._usual_seconds, seconds, USUAL_WEIGHT)
        if self._limit is not None:
            self._limit += 1.0 / self._limit

    def note_idle(self, now: float) -> None:
        """Take that nothing waits: after a calm time the limit ends."""
        if self._limit is not None and now - self._refused_at >= LIMIT_LIFETIME_SECONDS:
            self._limit = None

    def _is_slow(self) -> bool:
        if self._recent_seconds is None or self._usual_seconds is None:
            return False
        return self._recent_seconds > SLOW_FACTOR * self._usual_seconds


def _smooth(previous: float | None, value: float, weight: float) -> float:
    return value if previous is None else previous + weight * (value - previous)
