"""In which zones more or fewer workers are to be: a pure decision.

The load: demand asks for more workers than stand, in several zones with different prices, any of
which may be lost. Workers go where the zone's cost is lowest so far: each zone then has about as
many as its price allows for the same money, so cheap zones have more of them, and none has all.
"""

from collections.abc import Mapping

import msgspec

from drumbay.scaling.records import ServiceZone

DEFAULT_PRICE = 1.0
"""Price of a zone for which operators name none."""


class ZoneRoom(msgspec.Struct, frozen=True, kw_only=True):
    """What a zone may have.

    Attributes:
        workers: How many it is to have so far.
        fewest: It keeps at least so many.
        most: It gets at most so many.
        price: Of a worker's second.
    """

    workers: int
    fewest: int
    most: int
    price: float


def add_workers(zones: Mapping[ServiceZone, ZoneRoom], total: int) -> dict[ServiceZone, int]:
    """Return the count of each zone once all have ``total`` workers, as far as there is room."""
    counts = {place: zone.workers for place, zone in zones.items()}
    for _ in range(total - sum(counts.values())):
        open_zones = [place for place in sorted(counts) if counts[place] < zones[place].most]
        if not open_zones:
            break
        cheapest = min(open_zones, key=lambda place: (counts[place] + 1) * zones[place].price)
        counts[cheapest] += 1
    return counts


def remove_worker(zones: Mapping[ServiceZone, ZoneRoom]) -> dict[ServiceZone, int]:
    """Return the counts without one worker of the zone that costs most, if any has one to spare."""
    counts = {place: zone.workers for place, zone in zones.items()}
    spare = [place for place in sorted(counts) if counts[place] > zones[place].fewest]
    if spare:
        dearest = max(spare, key=lambda place: counts[place] * zones[place].price)
        counts[dearest] -= 1
    return counts
