"""Counts of requests by tenant and window of time, as nodes exchange and keep them."""

from collections.abc import Mapping
from typing import NewType

import msgspec

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.tenants.records import TenantName

WindowNumber = NewType("WindowNumber", int)
"""Window k begins k window lengths after the Unix epoch."""


class WindowLength(msgspec.Struct, frozen=True):
    """Length of every window, in seconds."""

    seconds: float

    def number_at(self, wall_seconds: float) -> WindowNumber:
        """Return the window of a time."""
        return WindowNumber(int(wall_seconds // self.seconds))

    def end_of(self, window: WindowNumber) -> float:
        """Return the time at which a window ends."""
        return (window + 1) * self.seconds


class WindowCounts(msgspec.Struct, frozen=True, kw_only=True):
    """How many requests of each tenant began to run in a window."""

    window: WindowNumber
    counts: Mapping[TenantName, int]


class NodeUsage(msgspec.Struct, frozen=True, kw_only=True):
    """What one process has counted so far.

    Attributes:
        address: The node.
        boot: The run of its process; a restarted node counts from nothing.
        complete_until: Every request that began before this time is counted, in seconds since
            the Unix epoch.
        windows: Counts of recent windows. They only grow.
    """

    address: NetworkAddress
    boot: str
    complete_until: float
    windows: tuple[WindowCounts, ...]
