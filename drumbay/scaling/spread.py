"""Spreads workers over zones by price.

Workers are added where the total cost of the zone stays lowest. Cheap zones thus get more workers,
but no zone gets all of them, since any zone may fail.
"""

from collections.abc import Mapping

import msgspec

from drumbay.scaling.records import ServiceZone

DEFAULT_PRICE = 1.0
"""Price of a zone without a configured price."""


class ZoneBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Worker count of a zone, and its bounds.

    Attributes:
        workers: Current target.
        min_workers: Minimum number of workers.
        max_workers: Maximum number of workers.
        price: Relative price of worker time.
    """

    workers: int
    min_workers: int
    max_workers: int
    price: float


def add_workers(zones: Mapping[ServiceZone, ZoneBounds], total: int) -> dict[ServiceZone, int]:
    """Return the count of each zone with ``total`` workers in all, as far as the bounds allow."""
    counts = {service_zone: zone.workers for service_zone, zone in zones.items()}
    for _ in range(total - sum(counts.values())):
        available_zones = [
            service_zone
            for service_zone in sorted(counts)
            if counts[service_zone] < zones[service_zone].max_workers
        ]
        if not available_zones:
            break
        cheapest = min(
            available_zones,
            key=lambda service_zone: (counts[service_zone] + 1) * zones[service_zone].price,
        )
        counts[cheapest] += 1
    return counts


def remove_worker(zones: Mapping[ServiceZone, ZoneBounds]) -> dict[ServiceZone, int]:
    """Return the counts with one worker removed from the most expensive zone that allows it."""
    counts = {service_zone: zone.workers for service_zone, zone in zones.items()}
    reducible = [
        service_zone
        for service_zone in sorted(counts)
        if counts[service_zone] > zones[service_zone].min_workers
    ]
    if reducible:
        most_expensive = max(
            reducible, key=lambda service_zone: counts[service_zone] * zones[service_zone].price
        )
        counts[most_expensive] -= 1
    return counts
