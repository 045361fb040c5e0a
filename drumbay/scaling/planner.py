"""Pure decisions: which worker counts to order now."""

from collections.abc import Iterable, Mapping

import msgspec

from drumbay.duties.interface import DutyOutcome, WorkerCount
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers

STANDING_SECONDS = 8.0
"""A count that was never lower for so long stands: longer than workers take to register one after
the other, and to be replaced."""

REPLACE_MARGIN_SECONDS = 4.0
"""A worker that crashed or is being replaced is back within seconds by itself. Only a number that
stays too low for this long beyond a boot is ordered again."""

RETRY_SECONDS = 1.0
"""Pause after an order that the platform did not accept."""


class _Seen(msgspec.Struct, frozen=True):
    """A number of ready workers, since a monotonic time."""

    at: float
    ready: int


class _Place(msgspec.Struct, kw_only=True):
    """What is known of one service in one zone.

    Attributes:
        standing: How many workers have stood there; ``None`` before that is known.
        ordered: The count ordered last; ``None`` if none was, or it may not have arrived.
        ordered_at: When that was.
        seen: Ready workers lately, with the times at which the number changed.
        short_since: Since when fewer than wanted are ready.
        not_before: When an order may be given again.
    """

    standing: int | None = None
    ordered: int | None = None
    ordered_at: float = float("-inf")
    seen: list[_Seen] = msgspec.field(default_factory=list)
    short_since: float | None = None
    not_before: float = float("-inf")


class WorkerCountPlanner:
    """Orders a count when more workers are wanted, and again when workers stay away.

    It never asks for fewer than there are. More than stand are not asked for: twice as many cost
    0.05 of a day's worth, most of it for connections and the workers themselves, and no step was
    whole sooner (one whole day each way).
    """

    def __init__(self) -> None:
        """Know nothing of any zone."""
        self._places: dict[ServiceZone, _Place] = {}

    @property
    def standing(self) -> dict[ServiceZone, int]:
        """Return how many workers have stood in each zone, as far as known."""
        return {
            place: known.standing
            for place, known in self._places.items()
            if known.standing is not None
        }

    def restore(self, standing: Mapping[ServiceZone, int]) -> None:
        """Take what a planner before this one knew."""
        for place, count in standing.items():
            self._places.setdefault(place, _Place()).standing = count

    def plan(
        self, scaling: ServiceScaling, workers: Iterable[ZoneWorkers], now: float
    ) -> tuple[WorkerCount, ...]:
        """Return the counts to order now.

        Args:
            scaling: What operators allow.
            workers: What there is.
            now: Monotonic time.
        """
        orders: list[WorkerCount] = []
        for zone in workers:
            known = self._places.setdefault(zone.place, _Place())
            _observe(known, zone.ready, now)
            if known.standing is None:
                continue
            wanted = min(scaling.maximum, known.standing)
            if now >= known.not_before and _is_due(scaling, known, wanted, zone.ready, now):
                known.ordered = wanted
                known.ordered_at = now
                known.short_since = None
                orders.append(
                    WorkerCount(service=zone.place.service, zone=zone.place.zone, workers=wanted)
                )
        return tuple(orders)

    def note_outcome(self, order: WorkerCount, outcome: DutyOutcome, now: float) -> None:
        """Order again later what the platform did not accept, or may not have."""
        known = self._places.get(ServiceZone(order.service, order.zone))
        if known is None or outcome is DutyOutcome.ACCEPTED:
            return
        # An order that may have been carried out is repeated unchanged, so that it does no harm.
        known.ordered = None
        known.ordered_at = float("-inf")
        known.short_since = float("-inf")
        known.not_before = now + RETRY_SECONDS


def _observe(known: _Place, ready: int, now: float) -> None:
    """Take a count; the fewest of a while count as standing if that is more than before.

    Workers register one after the other, and while some are replaced, old and new ones are
    ready together: neither the first count nor the largest one tells how many there are to be.
    """
    if not known.seen or known.seen[-1].ready != ready:
        known.seen.append(_Seen(at=now, ready=ready))
    since = now - STANDING_SECONDS
    while len(known.seen) > 1 and known.seen[1].at <= since:
        known.seen.pop(0)
    if known.seen[0].at <= since:
        fewest = min(seen.ready for seen in known.seen)
        known.standing = max(known.standing or 0, fewest)


def _is_due(scaling: ServiceScaling, known: _Place, wanted: int, ready: int, now: float) -> bool:
    if ready >= wanted:
        known.short_since = None
        return False
    if known.short_since is None:
        known.short_since = now
    is_new = wanted > (known.ordered or known.standing or 0)
    patience_seconds = scaling.boot_seconds + REPLACE_MARGIN_SECONDS
    return is_new or now - max(known.short_since, known.ordered_at) >= patience_seconds
