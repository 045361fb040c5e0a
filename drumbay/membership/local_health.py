"""Local health score of a node.

Lifeguard (Dadgar, Phillips and Currey 2018, section IV.A): a node that misses expected responses
is probably slow itself, so it probes less often and with longer timeouts. Unlike in the paper, a
failed probe counts only if no helper responded. A response shows that the node's own network
works; a partition between regions does not slow the probes within a region.
"""


class LocalHealth:
    """Score from 0 (healthy) to ``max_score``."""

    def __init__(self, max_score: int) -> None:
        """Create a healthy score of 0."""
        self._max_score = max_score
        self._score = 0

    @property
    def score(self) -> int:
        """Return the score."""
        return self._score

    @property
    def factor(self) -> int:
        """Return the multiplier of probe interval and timeouts."""
        return self._score + 1

    def record_success(self) -> None:
        """Record that a probe was acknowledged."""
        self._score = max(0, self._score - 1)

    def record_failure(self) -> None:
        """Record a probe without any helper response, a refuted suspicion or a pause."""
        self._score = min(self._max_score, self._score + 1)
