"""Start order of a batch job's items: the longest first.

A training step is complete with ``wanted_groups`` groups. Resubmitted groups, which an earlier
batch job left unfinished, are always needed. Of the new groups, the surplus ones with the longest
items are postponed, since the trainer will probably resubmit them.
"""

from drumbay.batches.records import BatchItem, BatchSpec, ItemId

LONG_ITEM_FACTOR = 2.5
"""Items whose expected output exceeds the median by this factor count as long."""


class ItemOrder:
    """Orders the items of a batch job by expected output length.

    Attributes:
        resubmitted_groups: Groups with items known from an earlier batch job; all are needed.
    """

    def __init__(self, spec: BatchSpec, resubmitted: frozenset[ItemId] = frozenset()) -> None:
        """Determine the long items and the postponed groups.

        Args:
            spec: The batch job.
            resubmitted: Items known from an earlier batch job.
        """
        self._spec = spec
        self.resubmitted_groups = frozenset(
            item.group for item in spec.items if item.item_id in resubmitted
        )
        expected = sorted(item.expected_tokens for item in spec.items)
        median = expected[len(expected) // 2] if expected else 0
        self._long_tokens = LONG_ITEM_FACTOR * median
        self._postponed = self._find_postponed_groups()

    def is_long(self, item: BatchItem) -> bool:
        """Return whether an item is expected to run much longer than most."""
        return item.expected_tokens > self._long_tokens

    def is_postponed(self, item: BatchItem) -> bool:
        """Return whether an item belongs to a surplus group."""
        return item.group in self._postponed

    def items(self) -> list[BatchItem]:
        """Return the items in start order."""
        return sorted(
            self._spec.items,
            key=lambda item: (
                self.is_postponed(item),
                not self.is_long(item),
                -item.expected_tokens if self.is_long(item) else 0,
            ),
        )

    def _find_postponed_groups(self) -> frozenset[str]:
        longest: dict[str, int] = {}
        for item in self._spec.items:
            longest[item.group] = max(longest.get(item.group, 0), item.expected_tokens)
        surplus = len(longest) - self._spec.wanted_groups
        if surplus <= 0 or self._spec.wanted_groups <= 0:
            return frozenset()
        new_groups = [group for group in longest if group not in self.resubmitted_groups]
        new_groups.sort(key=lambda group: longest[group], reverse=True)
        return frozenset(new_groups[:surplus])
