"""How far a node trusts itself.

Lifeguard (Dadgar, Phillips and Currey 2018, section IV.A): a node that misses answers it should
have got is probably slow itself; it then probes more slowly and waits longer. One difference: a
failed probe counts against the node only if none of its helpers answered. With one answer the
node's own path works, and a cut between regions must not slow the probing of the near one.
"""


class LocalHealth:
    """Score from 0 (healthy) to the largest score."""

    def __init__(self, max_score: int) -> None:
        """Create with score 0."""
        self._max_score = max_score
        self._score = 0

    @property
    def score(self) -> int:
        """Return the score."""
        return self._score

    @property
    def factor(self) -> int:
        """Return the factor on probe interval and timeouts."""
        return self._score + 1

    def note_success(self) -> None:
        """A probe was answered."""
        self._score = max(0, self._score - 1)

    def note_trouble(self) -> None:
        """No helper answered, this node had to refute a suspicion, or it was paused."""
        self._score = min(self._max_score, self._score + 1)
