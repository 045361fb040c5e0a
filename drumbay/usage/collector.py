"""Merges what nodes have counted. The order and the repetition of reports do not matter."""

from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.tenants.records import TenantName
from drumbay.usage.records import NodeUsage, WindowCounts, WindowNumber


class _Reporter(msgspec.Struct, frozen=True):
    """One process of a node."""

    address: NetworkAddress
    boot: str


class _Reported(msgspec.Struct, kw_only=True):
    """All that one process has told."""

    complete_until: float
    windows: dict[WindowNumber, dict[TenantName, int]]


class UsageCollector:
    """Counts by process: a process's counts only grow, so the largest one told is the newest."""

    def __init__(self) -> None:
        """Know nothing."""
        self._reported: dict[_Reporter, _Reported] = {}
        self._oldest = WindowNumber(0)

    def take(self, usage: NodeUsage) -> None:
        """Merge what a node tells, or what another collector heard of it."""
        reporter = _Reporter(usage.address, usage.boot)
        known = self._reported.setdefault(
            reporter, _Reported(complete_until=usage.complete_until, windows={})
        )
        known.complete_until = max(known.complete_until, usage.complete_until)
        for told in usage.windows:
            if told.window < self._oldest:
                continue
            counts = known.windows.setdefault(told.window, {})
            for tenant, count in told.counts.items():
                counts[tenant] = max(counts.get(tenant, 0), count)

    def take_all(self, usages: Iterable[NodeUsage]) -> None:
        """Merge what several nodes tell."""
        for usage in usages:
            self.take(usage)

    def counts(self, window: WindowNumber) -> dict[TenantName, int]:
        """Return the counts of a window, summed over all processes."""
        total: Counter[TenantName] = Counter()
        for reported in self._reported.values():
            total.update(reported.windows.get(window, {}))
        return dict(total)

    def missing(
        self, nodes: Collection[NetworkAddress], until: float
    ) -> tuple[NetworkAddress, ...]:
        """Return the nodes that have not told yet of everything before a time."""
        told = {
            reporter.address
            for reporter, reported in self._reported.items()
            if reported.complete_until >= until
        }
        return tuple(address for address in nodes if address not in told)

    def forget_before(self, window: WindowNumber) -> None:
        """Drop the windows before one; what is told of them later is passed over."""
        self._oldest = max(self._oldest, window)
        for reported in self._reported.values():
            for old in [number for number in reported.windows if number < self._oldest]:
                del reported.windows[old]

    def forget_silent(self, before: float) -> None:
        """Drop processes that have counted nothing that is kept and were last complete before."""
        self._reported = {
            reporter: reported
            for reporter, reported in self._reported.items()
            if reported.windows or reported.complete_until >= before
        }

    def snapshot(self) -> tuple[NodeUsage, ...]:
        """Return everything, for another collector."""
        return tuple(
            NodeUsage(
                address=reporter.address,
                boot=reporter.boot,
                complete_until=reported.complete_until,
                windows=tuple(
                    WindowCounts(window=window, counts=dict(counts))
                    for window, counts in sorted(reported.windows.items())
                ),
            )
            for reporter, reported in self._reported.items()
        )
