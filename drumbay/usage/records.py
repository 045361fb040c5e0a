"""Request counts by tenant and time window."""

from collections.abc import Mapping
from typing import NewType

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.tenants.records import TenantName

WindowNumber = NewType("WindowNumber", int)
"""Window k starts k window lengths after the Unix epoch."""


class WindowLength(msgspec.Struct, frozen=True):
    """Length of a window, in seconds."""

    seconds: float

    def number_at(self, wall_seconds: float) -> WindowNumber:
        """Return the window that contains a time."""
        return WindowNumber(int(wall_seconds // self.seconds))

    def end_of(self, window: WindowNumber) -> float:
        """Return the end of a window."""
        return (window + 1) * self.seconds


class WindowCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests of each tenant that started to run in a window."""

    window: WindowNumber
    counts: Mapping[TenantName, int]


class NodeUsage(msgspec.Struct, frozen=True, kw_only=True):
    """The counts of one process.

    Attributes:
        address: The node.
        boot: The boot id of the process; a restarted node counts from zero.
        complete_until: All requests that started before this time are counted (seconds since the
            Unix epoch).
        windows: Counts of recent windows. They only grow.
    """

    address: NetworkAddress
    boot: str
    complete_until: float
    windows: tuple[WindowCounts, ...]
