"""The order in which a batch job's items start: what takes longest first.

A trainer waits for ``wanted_groups`` whole groups. Groups that came back from an earlier batch
job are waited for in any case. Of the others, those with the longest items are likely to be
left out and to come back: they are postponed.
"""

from drumbay.batches.records import BatchItem, BatchSpec, ItemId

LONG_FACTOR = 2.5
"""An item with this many times the median expected output counts as long."""


class ItemOrder:
    """Orders the items of one batch job by their expected output.

    Attributes:
        returned_groups: Groups that came back, as far as known: the trainer waits for each.
    """

    def __init__(self, spec: BatchSpec, returned: frozenset[ItemId] = frozenset()) -> None:
        """Work out which items are long and which groups can wait.

        Args:
            spec: The batch job.
            returned: Items known to come back from an earlier batch job.
        """
        self._spec = spec
        self.returned_groups = frozenset(
            item.group for item in spec.items if item.item_id in returned
        )
        expected = sorted(item.expected_tokens for item in spec.items)
        median = expected[len(expected) // 2] if expected else 0
        self._long_tokens = LONG_FACTOR * median
        self._postponed = self._postponed_groups()

    def is_long(self, item: BatchItem) -> bool:
        """Return whether an item is expected to run much longer than most."""
        return item.expected_tokens > self._long_tokens

    def is_postponed(self, item: BatchItem) -> bool:
        """Return whether an item's group is likely to be left out of the step."""
        return item.group in self._postponed

    def items(self) -> list[BatchItem]:
        """Return the items in the order in which to start them."""
        return sorted(
            self._spec.items,
            key=lambda item: (
                self.is_postponed(item),
                not self.is_long(item),
                -item.expected_tokens if self.is_long(item) else 0,
            ),
        )

    def _postponed_groups(self) -> frozenset[str]:
        longest: dict[str, int] = {}
        for item in self._spec.items:
            longest[item.group] = max(longest.get(item.group, 0), item.expected_tokens)
        spare = len(longest) - self._spec.wanted_groups
        if spare <= 0 or self._spec.wanted_groups <= 0:
            return frozenset()
        new_groups = [group for group in longest if group not in self.returned_groups]
        new_groups.sort(key=lambda group: longest[group], reverse=True)
        return frozenset(new_groups[:spare])
