"""Counts, at one node, the requests that began to run, by tenant and window."""

from collections import Counter
from typing import NewType

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.tenants.records import TenantName
from drumbay.usage.records import NodeUsage, WindowCounts, WindowLength, WindowNumber
from drumbay.usage.window_clock import WindowClock

UsageTicket = NewType("UsageTicket", int)
"""Names a request whose outcome is not known yet."""

KEPT_SECONDS = 40.0
"""Counts are kept for so long after their window: several times what a report may take to be
due."""


class UsageCounter:
    """A request counts once, in the window in which its first run began, whatever came of the run.

    A worker's refusal proves that no run began; nobody counts it. The moment of the send stands for
    the beginning of the run: it is earlier by the way to the worker and the wait in its queue.
    """

    def __init__(
        self, clock: WindowClock, length: WindowLength, address: NetworkAddress, boot: str
    ) -> None:
        """Count nothing yet, for the process ``boot`` at ``address``."""
        self._clock = clock
        self._length = length
        self._address = address
        self._boot = boot
        self._open: dict[UsageTicket, float] = {}
        self._next_ticket = 0
        self._counts: dict[WindowNumber, Counter[TenantName]] = {}

    def open(self) -> UsageTicket:
        """Note a request that may begin to run from now on."""
        ticket = UsageTicket(self._next_ticket)
        self._next_ticket += 1
        self._open[ticket] = self._clock.now()
        return ticket

    def close(
        self, ticket: UsageTicket, tenant: TenantName, began_at_monotonic: float | None
    ) -> None:
        """Take the outcome of a request: when its first run began; ``None`` if none did."""
        del self._open[ticket]
        if began_at_monotonic is None:
            return
        window = self._length.number_at(self._clock.at(began_at_monotonic))
        self._counts.setdefault(window, Counter())[tenant] += 1

    def report(self) -> NodeUsage:
        """Return what was counted lately."""
        now = self._clock.now()
        oldest = self._length.number_at(now - KEPT_SECONDS)
        self._counts = {window: c for window, c in self._counts.items() if window >= oldest}
        return NodeUsage(
            address=self._address,
            boot=self._boot,
            complete_until=min(self._open.values(), default=now),
            windows=tuple(
                WindowCounts(window=window, counts=dict(counts))
                for window, counts in sorted(self._counts.items())
            ),
        )
