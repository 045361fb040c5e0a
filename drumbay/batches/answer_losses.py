"""How likely a sound item is to lose its answers, as one node sees it. No I/O.

A worker may fail an item while its answer gets lost or cannot be read. One such run says little:
sound items lose answers too. If other items of the same time hardly lose any, several in a row say
that this item fails at each run. The evidence is the sum of ``-log10`` of the share of answers that
others lost at that time: a sound item reaches evidence of 4 in one of 10,000 cases.
"""

import math

from drumbay.batches.records import ItemId
from drumbay.workers.records import WorkerIncarnation

MEMORY_SECONDS = 10.0
"""Counts decay by a factor of e within this time."""

MIN_LOST_ANSWERS = 3
"""Answers after which a rejected item must not run again."""

MIN_EVIDENCE = 4.0
"""Evidence from which on an item counts as failing."""

MAX_RARE_SHARE = 0.2
"""Where more answers than that are lost, nothing is concluded: sound items run again soon."""

MAX_FAILING_SHARE = 0.2
"""Other items that may fail at each run, for each answer that items got."""

MIN_FAILING_ITEMS = 1
"""Other items that may do so however few answers there were."""

MAX_OPEN_ITEMS = 1_024
MAX_WORKERS = 1_024


def proves_failures(lost: int, evidence: float) -> bool:
    """Return whether an item fails that lost so many answers and never got one."""
    are_rare = evidence >= -math.log10(MAX_RARE_SHARE) * lost
    return lost >= MIN_LOST_ANSWERS and are_rare and evidence >= MIN_EVIDENCE


class AnswerLosses:
    """Answers that items of one node got and lost recently. Times are monotonic seconds."""

    def __init__(self) -> None:
        """Create an instance that has seen nothing."""
        self._answers = 0.0
        self._losses = 0.0
        self._decayed_at = 0.0
        self._open: dict[ItemId, _OpenLosses] = {}
        self._heard_at: dict[WorkerIncarnation, float] = {}

    def record_activity(self, worker: WorkerIncarnation, now: float) -> None:
        """Record that a worker sent an answer, or a part of one."""
        self._heard_at.pop(worker, None)
        self._heard_at[worker] = now
        if len(self._heard_at) > MAX_WORKERS:
            del self._heard_at[next(iter(self._heard_at))]

    def has_sent_since(self, worker: WorkerIncarnation, time: float) -> bool:
        """Return whether a worker has sent an answer, or a part of one, later than ``time``."""
        return self._heard_at.get(worker, -math.inf) > time

    def has_any_sent_since(self, time: float) -> bool:
        """Return whether any worker has sent an answer, or a part of one, later than ``time``."""
        # The last entry is the latest.
        return bool(self._heard_at) and next(reversed(self._heard_at.values())) > time

    def record_answer(self, item_id: ItemId, now: float) -> None:
        """Record that an item got an answer; earlier ones that it lost were lost by chance."""
        self._decay(now)
        self._answers += 1
        lost = self._open.pop(item_id, None)
        if lost is not None:
            self._losses += lost.count * _weight(now - lost.last_at)

    def record_loss(self, item_id: ItemId, now: float) -> None:
        """Record that an item lost an answer."""
        known = self._open.pop(item_id, _OpenLosses())
        self._open[item_id] = _OpenLosses(known.count + 1, now)
        if len(self._open) > MAX_OPEN_ITEMS:
            del self._open[next(iter(self._open))]

    def evidence(self, item_id: ItemId, now: float) -> float:
        """Return what one lost answer of an item says, from what other items get and lose now."""
        losses = self._losses_of_sound_items(item_id, now)
        # Laplace's rule of succession: nothing is known before the first answer.
        return -math.log10((losses + 1) / (losses + self._answers + 2))

    def are_rare(self, now: float, item_id: ItemId | None = None) -> bool:
        """Return whether items hardly lose answers now, as far as anything is known.

        ``item_id`` is left out.
        """
        losses = self._losses_of_sound_items(item_id, now)
        return losses <= MAX_RARE_SHARE * (losses + self._answers)

    def _losses_of_sound_items(self, item_id: ItemId | None, now: float) -> float:
        """Return how many answers other items have lost that are likely to be sound.

        Items that have got no answer yet may fail at each run, up to a share of all items. If more
        lose their answers, workers lose them; one loss of each counts.
        """
        self._decay(now)
        others = sum(
            _weight(now - lost.last_at) for other, lost in self._open.items() if other != item_id
        )
        may_fail = MIN_FAILING_ITEMS + MAX_FAILING_SHARE * self._answers
        return self._losses + max(0.0, others - may_fail)

    def _decay(self, now: float) -> None:
        weight = _weight(now - self._decayed_at)
        self._answers *= weight
        self._losses *= weight
        self._decayed_at = now


class _OpenLosses:
    """Answers that an item lost since its last one."""

    def __init__(self, count: int = 0, last_at: float = 0.0) -> None:
        self.count = count
        self.last_at = last_at


def _weight(age_seconds: float) -> float:
    return math.exp(-age_seconds / MEMORY_SECONDS)
