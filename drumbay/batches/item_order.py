"""The order in which a batch job's items start: what takes longest first.

A trainer waits for ``wanted_groups`` whole groups. Groups that came back from an earlier batch
job stand first, at most half of the wanted ones, and are waited for. Of the others, those with
the longest items are likely to be left out; they start last.
"""

import statistics

from drumbay.batches.records import BatchItem, BatchSpec

LONG_FACTOR = 2.5
"""An item with this many times the median expected output counts as long."""


class ItemOrder:
    """Orders the items of one batch job by their expected output."""

    def __init__(self, spec: BatchSpec) -> None:
        """Work out which items are long and which groups can wait."""
        self._spec = spec
        expected = [item.expected_tokens for item in spec.items]
        self._long_tokens = LONG_FACTOR * statistics.median(expected) if expected else 0.0
        self._postponed = self._postponed_groups()

    def is_long(self, item: BatchItem) -> bool:
        """Return whether an item is expected to run much longer than most."""
        return item.expected_tokens > self._long_tokens

    def items(self) -> list[BatchItem]:
        """Return the items in the order in which to start them."""
        return sorted(
            self._spec.items,
            key=lambda item: (
                item.group in self._postponed,
                not self.is_long(item),
                -item.expected_tokens if self.is_long(item) else 0,
            ),
        )

    def _postponed_groups(self) -> frozenset[str]:
        longest: dict[str, int] = {}
        for item in self._spec.items:
            longest[item.group] = max(longest.get(item.group, 0), item.expected_tokens)
        groups = list(longest)
        spare = len(groups) - self._spec.wanted_groups
        if spare <= 0 or self._spec.wanted_groups <= 0:
            return frozenset()
        new_groups = groups[self._spec.wanted_groups // 2 :]
        new_groups.sort(key=lambda group: longest[group], reverse=True)
        return frozenset(new_groups[:spare])
