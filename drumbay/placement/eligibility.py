"""Decides whether a worker may get a request now. No I/O."""

from collections.abc import Set
from enum import StrEnum

import msgspec

from drumbay.placement.regions import AllowedRegions


class Ineligibility(StrEnum):
    """Why a worker may not get a request."""

    ZONE_EVACUATED = "zone_evacuated"
    REGION_NOT_ALLOWED = "region_not_allowed"
    WARMING_UP = "warming_up"
    """This node has started as many requests there in the last second as it may."""


class WorkerPlace(msgspec.Struct, frozen=True, kw_only=True):
    """What matters about a worker: its zone and region, and the starts left to this node."""

    zone: str
    region: str
    remaining_starts: float


def ineligibility(
    place: WorkerPlace, regions: AllowedRegions, evacuated_zones: Set[str]
) -> Ineligibility | None:
    """Return why a request may not be sent to a worker, ``None`` if it may."""
    if not regions.permits(place.region):
        return Ineligibility.REGION_NOT_ALLOWED
    if place.zone in evacuated_zones:
        return Ineligibility.ZONE_EVACUATED
    return None if may_start(place.remaining_starts) else Ineligibility.WARMING_UP


def may_start(remaining_starts: float) -> bool:
    """Return whether this node may start another request at a worker now."""
    return remaining_starts >= 1
