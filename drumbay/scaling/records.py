"""What operators allow, and what there is."""

from collections.abc import Mapping

import msgspec


class ServiceScaling(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the workers of a service in each zone.

    Attributes:
        service: The service.
        minimum: Fewest workers of a zone.
        maximum: Most workers of a zone.
        boot_seconds: A worker that was ordered begins to serve after this time.
        zone_prices: Relative price of a worker's second by zone.
    """

    service: str
    minimum: int
    maximum: int
    boot_seconds: float
    zone_prices: Mapping[str, float]


class ServiceZone(msgspec.Struct, frozen=True, order=True):
    """The workers of a service in one zone: what one order is about."""

    service: str
    zone: str


class ZoneWorkers(msgspec.Struct, frozen=True, kw_only=True):
    """How many workers there take requests, as discovery tells."""

    place: ServiceZone
    ready: int
