"""Expected lengths of samples, from the observed lengths of finished ones."""

import bisect
import itertools

DEFAULT_EXPECTED_TOKENS = 256.0
OVERRUN_FACTOR = 1.5
MAX_OBSERVATIONS = 4096
MAX_GROUPS = 4096
MAX_LENGTHS_PER_GROUP = 64


class LengthEstimator:
    """Keeps recent lengths, per prompt group and overall.

    Samples of one group share their prompt, and their lengths are correlated; a group
    without a finished sample is expected to be as long as the average.
    """

    def __init__(self) -> None:
        """Create an estimator without observations."""
        self._recent: list[int] = []
        self._sorted: list[int] = []
        self._sums: list[int] = []
        self._groups: dict[str, list[int]] = {}

    def observe(self, group: str, token_count: int) -> None:
        """Record the length of a finished sample."""
        self._sums = []
        self._recent.append(token_count)
        bisect.insort(self._sorted, token_count)
        if len(self._recent) > MAX_OBSERVATIONS:
            oldest = self._recent.pop(0)
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        # NOTE: the group moves to the end, so that the one unseen for longest is dropped.
        of_group = [*self._groups.pop(group, []), token_count]
        self._groups[group] = of_group[-MAX_LENGTHS_PER_GROUP:]
        if len(self._groups) > MAX_GROUPS:
            del self._groups[next(iter(self._groups))]

    def expected_tokens(self, group: str, generated: int = 0) -> float:
        """Return the expected whole length, given that ``generated`` tokens exist."""
        of_group = self._groups.get(group)
        if of_group is not None:
            longer_of_group = [length for length in of_group if length > generated]
            if longer_of_group:
                return sum(longer_of_group) / len(longer_of_group)
        first_longer = bisect.bisect_right(self._sorted, generated)
        longer_count = len(self._sorted) - first_longer
        if longer_count > 0:
            sums = self._cumulative_sums()
            return (sums[-1] - sums[first_longer]) / longer_count
        return max(DEFAULT_EXPECTED_TOKENS, generated * OVERRUN_FACTOR)

    def _cumulative_sums(self) -> list[int]:
        """Return the sums of the shortest lengths: of none, of one, and so on."""
        if not self._sums:
            self._sums = list(itertools.accumulate(self._sorted, initial=0))
        return self._sums

    def quantile(self, share: float) -> float:
        """Return the length below which this share of recent samples lies; 0 without any."""
        if not self._sorted:
            return 0.0
        return float(self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))])

    def expected_remaining(self, group: str, generated: int) -> float:
        """Return the expected number of tokens still to be generated."""
        return self.expected_tokens(group, generated) - generated
