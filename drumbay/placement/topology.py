"""Zones and regions of a deployment."""

from collections.abc import Mapping
from enum import IntEnum

import msgspec

UNKNOWN_REGION = ""
"""Region of a zone that the settings do not list; no restricted request may run there."""


class Distance(IntEnum):
    """How far apart two zones are, nearest first."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Topology(msgspec.Struct, frozen=True, kw_only=True):
    """The zones of a deployment, as seen from a node in ``zone``.

    ``regions`` maps zones to their regions; it is empty in deployments without regions.
    """

    zone: str
    regions: Mapping[str, str] = msgspec.field(default_factory=dict)

    @property
    def region(self) -> str:
        """Return the region of this node."""
        return self.region_of(self.zone)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self.regions.get(zone, UNKNOWN_REGION)

    def distance_to(self, zone: str) -> Distance:
        """Return the distance from this node to a zone.

        Zones without a known region count as being in this node's region.
        """
        if zone == self.zone:
            return Distance.SAME_ZONE
        region = self.region_of(zone)
        if UNKNOWN_REGION in (region, self.region) or region == self.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
