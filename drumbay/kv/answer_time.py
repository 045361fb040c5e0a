"""How long to wait for an answer of the key-value service, from the answers so far.

A lost answer is noticed the sooner the closer the limit is to the usual time; a service that
has become slow must still be waited for. As TCP sets its retransmission timer (RFC 6298): a
smoothed time and its variation, doubled after each answer that did not come.
"""

SMOOTHING = 0.125
VARIATION_SMOOTHING = 0.25
VARIATIONS = 4.0
MINIMUM_SECONDS = 0.35
MAXIMUM_SECONDS = 1.0


class AnswerTime:
    """The limit for the next call."""

    def __init__(self) -> None:
        """Start without a measurement: the first calls have the longest limit."""
        self._smoothed_seconds: float | None = None
        self._variation_seconds = 0.0
        self._backoff = 1.0

    @property
    def limit_seconds(self) -> float:
        """Return how long to wait for an answer."""
        if self._smoothed_seconds is None:
            return MAXIMUM_SECONDS
        limit = self._smoothed_seconds + VARIATIONS * self._variation_seconds
        return min(MAXIMUM_SECONDS, max(MINIMUM_SECONDS, limit) * self._backoff)

    def note_answer(self, seconds: float) -> None:
        """Take the time of an answer."""
        self._backoff = 1.0
        if self._smoothed_seconds is None:
            self._smoothed_seconds = seconds
            self._variation_seconds = seconds / 2
            return
        deviation = abs(self._smoothed_seconds - seconds)
        self._variation_seconds += VARIATION_SMOOTHING * (deviation - self._variation_seconds)
        self._smoothed_seconds += SMOOTHING * (seconds - self._smoothed_seconds)

    def note_silence(self) -> None:
        """Note that an answer did not come within the limit."""
        self._backoff = min(self._backoff * 2.0, MAXIMUM_SECONDS / MINIMUM_SECONDS)
