"""Sets of regions in which a request may run and its body may be held."""

from collections.abc import Iterable

import msgspec

from drumbay.placement.topology import UNKNOWN_REGION


class AllowedRegions(msgspec.Struct, frozen=True):
    """Regions in which a request may run; ``None`` if it may run in any region.

    An empty set allows no region, for example if a route and a tenant have none in common.
    """

    regions: frozenset[str] | None = None

    @classmethod
    def of(cls, regions: Iterable[str]) -> "AllowedRegions":
        """Return the configured or recorded regions; without any, every region is allowed.

        The name of the unknown region is ignored; alone, it means that no region is allowed.
        """
        names = frozenset(regions)
        return cls(names - {UNKNOWN_REGION} if names else None)

    @property
    def is_restricted(self) -> bool:
        """Return whether the request may not run in every region."""
        return self.regions is not None

    @property
    def is_empty(self) -> bool:
        """Return whether no region is allowed."""
        return self.regions is not None and not self.regions

    def permits(self, region: str) -> bool:
        """Return whether a request may run in a region; never in an unknown one if restricted."""
        if self.regions is None:
            return True
        return region != UNKNOWN_REGION and region in self.regions

    def intersect(self, other: "AllowedRegions") -> "AllowedRegions":
        """Return the regions that both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return AllowedRegions(self.regions & other.regions)

    def names(self) -> tuple[str, ...]:
        """Return the region names in order, as :meth:`of` reads them; empty if unrestricted."""
        if self.regions is None:
            return ()
        return tuple(sorted(self.regions)) or (UNKNOWN_REGION,)


ANY_REGION = AllowedRegions()


def any_region() -> AllowedRegions:
    """Return no restriction."""
    return ANY_REGION
