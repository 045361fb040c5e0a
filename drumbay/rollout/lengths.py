"""Estimates sample lengths from the lengths of finished samples."""

import bisect
import itertools

DEFAULT_EXPECTED_TOKENS = 256.0
OVERRUN_FACTOR = 1.5
MAX_OBSERVATIONS = 4096
MAX_GROUPS = 4096
MAX_LENGTHS_PER_GROUP = 64


class LengthEstimator:
    """Keeps recent lengths per prompt group and overall.

    Samples of a group share their prompt, so their lengths are correlated. A group without
    finished samples gets the overall average.
    """

    def __init__(self) -> None:
        """Create an estimator without observations."""
        self._recent: list[int] = []
        self._sorted: list[int] = []
        self._prefix_sums: list[int] = []
        self._groups: dict[str, list[int]] = {}

    def observe(self, group: str, token_count: int) -> None:
        """Record the length of a finished sample."""
        self._prefix_sums = []
        self._recent.append(token_count)
        bisect.insort(self._sorted, token_count)
        if len(self._recent) > MAX_OBSERVATIONS:
            oldest = self._recent.pop(0)
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        # Reinserting the group keeps the dict in least recently used order.
        group_lengths = [*self._groups.pop(group, []), token_count]
        self._groups[group] = group_lengths[-MAX_LENGTHS_PER_GROUP:]
        if len(self._groups) > MAX_GROUPS:
            del self._groups[next(iter(self._groups))]

    def expected_tokens(self, group: str, generated: int = 0) -> float:
        """Return the expected total length of a sample that has ``generated`` tokens."""
        group_lengths = self._groups.get(group)
        if group_lengths is not None:
            longer_in_group = [length for length in group_lengths if length > generated]
            if longer_in_group:
                return sum(longer_in_group) / len(longer_in_group)
        first_longer = bisect.bisect_right(self._sorted, generated)
        longer_count = len(self._sorted) - first_longer
        if longer_count > 0:
            prefix_sums = self._sorted_prefix_sums()
            return (prefix_sums[-1] - prefix_sums[first_longer]) / longer_count
        return max(DEFAULT_EXPECTED_TOKENS, generated * OVERRUN_FACTOR)

    def _sorted_prefix_sums(self) -> list[int]:
        """Return the prefix sums of the sorted lengths, starting with 0."""
        if not self._prefix_sums:
            self._prefix_sums = list(itertools.accumulate(self._sorted, initial=0))
        return self._prefix_sums

    def quantile(self, share: float) -> float:
        """Return a quantile of the recent lengths; 0 without observations."""
        if not self._sorted:
            return 0.0
        return float(self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))])

    def expected_remaining(self, group: str, generated: int) -> float:
        """Return the expected number of tokens still to be generated."""
        return self.expected_tokens(group, generated) - generated
