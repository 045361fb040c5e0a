"""Configured scaling bounds and worker counts per zone."""

from collections.abc import Mapping

import msgspec


class ServiceScaling(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the workers of a service in each zone.

    Attributes:
        service: The service.
        minimum: Minimum number of workers in a zone.
        maximum: Maximum number of workers in a zone.
        boot_seconds: Time until an ordered worker serves requests.
        zone_prices: Relative price of worker time by zone.
    """

    service: str
    minimum: int
    maximum: int
    boot_seconds: float
    zone_prices: Mapping[str, float]


class ServiceZone(msgspec.Struct, frozen=True, order=True):
    """One service in one zone, the unit of an order."""

    service: str
    zone: str


class ZoneWorkers(msgspec.Struct, frozen=True, kw_only=True):
    """Number of ready workers of a service in a zone, as reported by discovery.

    Attributes:
        place: The service and zone.
        ready: Number of ready workers.
    """

    place: ServiceZone
    ready: int
