"""Pure decisions: which worker counts to order now."""

from collections.abc import Iterable, Mapping
from math import ceil

import msgspec

from drumbay.duties.interface import DutyOutcome, WorkerCount
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers

REPLACE_MARGIN_SECONDS = 4.0
"""A worker that crashed or is being replaced is back within seconds by itself. Only a number that
stays too low for this long beyond a boot is ordered again."""

RETRY_SECONDS = 1.0
"""Pause after an order that the platform did not accept."""


class ScalingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How many workers are wanted.

    Attributes:
        headroom: Wanted workers for each one that stood when the system first saw the service.
    """

    headroom: float = 1.0


class _Place(msgspec.Struct, kw_only=True):
    """What is known of one service in one zone."""

    ordered: int
    ordered_at: float
    short_since: float | None = None
    not_before: float = float("-inf")


class WorkerCountPlanner:
    """Orders a count when another one is wanted, and again when workers stay away."""

    def __init__(self, policy: ScalingPolicy) -> None:
        """Know nothing of any zone."""
        self._policy = policy
        self._places: dict[ServiceZone, _Place] = {}

    def plan(
        self,
        scaling: ServiceScaling,
        standing: Mapping[ServiceZone, int],
        workers: Iterable[ZoneWorkers],
        now: float,
    ) -> tuple[WorkerCount, ...]:
        """Return the counts to order now.

        Args:
            scaling: What operators allow.
            standing: How many workers stood in each zone at first.
            workers: What there is.
            now: Monotonic time.
        """
        orders: list[WorkerCount] = []
        for zone in workers:
            stood = standing.get(zone.place)
            if stood is None:
                continue
            wanted = self._wanted(scaling, stood)
            place = self._places.setdefault(zone.place, _Place(ordered=stood, ordered_at=now))
            if now >= place.not_before and self._is_due(scaling, place, wanted, zone.ready, now):
                place.ordered = wanted
                place.ordered_at = now
                place.short_since = None
                orders.append(
                    WorkerCount(service=zone.place.service, zone=zone.place.zone, workers=wanted)
                )
        return tuple(orders)

    def _wanted(self, scaling: ServiceScaling, stood: int) -> int:
        return min(scaling.maximum, max(scaling.minimum, ceil(self._policy.headroom * stood)))

    @staticmethod
    def _is_due(
        scaling: ServiceScaling, place: _Place, wanted: int, ready: int, now: float
    ) -> bool:
        if wanted != place.ordered:
            return True
        if ready >= wanted:
            place.short_since = None
            return False
        if place.short_since is None:
            place.short_since = now
        patience_seconds = scaling.boot_seconds + REPLACE_MARGIN_SECONDS
        return now - max(place.short_since, place.ordered_at) >= patience_seconds

    def note_outcome(self, order: WorkerCount, outcome: DutyOutcome, now: float) -> None:
        """Order again later what the platform did not accept, or may not have."""
        place = self._places.get(ServiceZone(order.service, order.zone))
        if place is None or outcome is DutyOutcome.ACCEPTED:
            return
        # An order that may have been carried out is repeated unchanged, so that it does no harm.
        place.ordered = -1
        place.not_before = now + RETRY_SECONDS
