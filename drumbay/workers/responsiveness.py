"""Whether a worker sends anything at all, as far as one node knows. No I/O.

A worker whose process stands still accepts connections and requests, and runs them when it goes
on, after their callers have left. So a worker that has sent nothing since a request that waits
unusually long is avoided, as by a circuit breaker (Nygard, "Release It!", 2nd ed., 2018, section
5.2), until it responds.
"""

import math

import msgspec

AVOID_SECONDS = 3.0
"""How long a worker is avoided unless it is found silent again."""

CONFIRMED_SECONDS = 0.5
"""A worker whose checks have failed for this long is of no use for a hedge."""


class Responsiveness(msgspec.Struct, kw_only=True):
    """What a node knows of one worker; all times are monotonic.

    Attributes:
        heard_at: When it last sent a response to this node.
        checked_at: When it last responded to a check of this node.
        silent_since: Send time of a request, or of a response, since which it has sent nothing.
        avoided_until: Until when it gets no request if there are others.
        confirmed_seconds: How long it had been silent when a check of some node last failed.
    """

    heard_at: float = -math.inf
    checked_at: float = -math.inf
    silent_since: float = -math.inf
    avoided_until: float = -math.inf
    confirmed_seconds: float = 0.0

    def is_avoided(self, now: float) -> bool:
        """Return whether other workers are preferred."""
        return now < self.avoided_until

    def is_confirmed(self, now: float) -> bool:
        """Return whether checks have failed for longer than a slow worker takes."""
        return self.is_avoided(now) and self.confirmed_seconds >= CONFIRMED_SECONDS

    def record_response(self, now: float) -> None:
        """Record a response to this node; the worker is no longer avoided."""
        self.heard_at = now
        self.avoided_until = -math.inf

    def record_silence(self, silent_since: float, now: float) -> bool:
        """Avoid the worker, which has sent nothing since then; return whether this is news.

        It is none if the worker has responded to this node since, or is avoided already.
        """
        if self.heard_at > silent_since:
            return False
        is_news = not self.is_avoided(now)
        if is_news:
            self.silent_since = silent_since
            self.confirmed_seconds = 0.0
        self.avoided_until = now + AVOID_SECONDS
        return is_news

    def record_failed_check(self, silent_since: float, now: float) -> bool:
        """Record that a check, of this node or another one, got no response; as above."""
        is_news = self.record_silence(silent_since, now)
        if self.is_avoided(now):
            self.confirmed_seconds = max(self.confirmed_seconds, now - silent_since)
        return is_news

    def record_response_elsewhere(self) -> None:
        """Record a response to another node; the worker is no longer avoided."""
        self.avoided_until = -math.inf
