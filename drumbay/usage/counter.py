"""Counts one node's started requests by tenant and window."""

from collections import Counter
from typing import NewType

from drumbay.comm.network_address import NetworkAddress
from drumbay.tenants.records import TenantName
from drumbay.usage.records import NodeUsage, WindowCounts, WindowLength, WindowNumber
from drumbay.usage.window_clock import WindowClock

UsageTicket = NewType("UsageTicket", int)
"""Identifies a request whose outcome is not known yet."""

RETENTION_SECONDS = 40.0
"""How long counts are kept after their window; must exceed the time until reports are due."""


class UsageCounter:
    """Counts each request once, in the window in which its first run started.

    Requests that all workers refused are not counted. The time of sending is used as the start
    of the run.
    """

    def __init__(
        self, clock: WindowClock, length: WindowLength, address: NetworkAddress, boot: str
    ) -> None:
        """Create a counter for the process ``boot`` at ``address``."""
        self._clock = clock
        self._length = length
        self._address = address
        self._boot = boot
        self._open_requests: dict[UsageTicket, float] = {}
        self._next_ticket = 0
        self._counts: dict[WindowNumber, Counter[TenantName]] = {}

    def open(self) -> UsageTicket:
        """Register a request that may start to run from now on."""
        ticket = UsageTicket(self._next_ticket)
        self._next_ticket += 1
        self._open_requests[ticket] = self._clock.now()
        return ticket

    def close(
        self, ticket: UsageTicket, tenant: TenantName, started_at_monotonic: float | None
    ) -> None:
        """Record when the request's first run started; ``None`` if it was never run."""
        del self._open_requests[ticket]
        if started_at_monotonic is None:
            return
        window = self._length.number_at(self._clock.at(started_at_monotonic))
        self._counts.setdefault(window, Counter())[tenant] += 1

    def report(self) -> NodeUsage:
        """Return the recent counts."""
        now = self._clock.now()
        oldest = self._length.number_at(now - RETENTION_SECONDS)
        self._counts = {window: c for window, c in self._counts.items() if window >= oldest}
        return NodeUsage(
            address=self._address,
            boot=self._boot,
            complete_until=min(self._open_requests.values(), default=now),
            windows=tuple(
                WindowCounts(window=window, counts=dict(counts))
                for window, counts in sorted(self._counts.items())
            ),
        )
