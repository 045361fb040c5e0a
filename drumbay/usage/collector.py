"""Merges the counts of all nodes; the order and repetition of reports do not matter."""

from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.tenants.records import TenantName
from drumbay.usage.records import NodeUsage, WindowCounts, WindowNumber


class _Process(msgspec.Struct, frozen=True):
    """One process of a node."""

    address: NetworkAddress
    boot: str


class _ProcessUsage(msgspec.Struct, kw_only=True):
    """The counts received from one process."""

    complete_until: float
    windows: dict[WindowNumber, dict[TenantName, int]]


class UsageCollector:
    """Merges counts per process. They only grow, so the largest one received is the newest."""

    def __init__(self) -> None:
        """Create an empty collector."""
        self._usage_by_process: dict[_Process, _ProcessUsage] = {}
        self._oldest_window = WindowNumber(0)

    def merge(self, usage: NodeUsage) -> None:
        """Merge the counts of one process, received from it or from another collector."""
        process = _Process(usage.address, usage.boot)
        merged_usage = self._usage_by_process.setdefault(
            process, _ProcessUsage(complete_until=usage.complete_until, windows={})
        )
        merged_usage.complete_until = max(merged_usage.complete_until, usage.complete_until)
        for window_counts in usage.windows:
            if window_counts.window < self._oldest_window:
                continue
            counts = merged_usage.windows.setdefault(window_counts.window, {})
            for tenant, count in window_counts.counts.items():
                counts[tenant] = max(counts.get(tenant, 0), count)

    def merge_all(self, usages: Iterable[NodeUsage]) -> None:
        """Merge the counts of several processes."""
        for usage in usages:
            self.merge(usage)

    def counts(self, window: WindowNumber) -> dict[TenantName, int]:
        """Return the counts of a window, summed over all processes."""
        total: Counter[TenantName] = Counter()
        for process_usage in self._usage_by_process.values():
            total.update(process_usage.windows.get(window, {}))
        return dict(total)

    def incomplete_nodes(
        self, nodes: Collection[NetworkAddress], until: float
    ) -> tuple[NetworkAddress, ...]:
        """Return the nodes whose counts up to a time are not complete yet."""
        complete = {
            process.address
            for process, process_usage in self._usage_by_process.items()
            if process_usage.complete_until >= until
        }
        return tuple(address for address in nodes if address not in complete)

    def discard_before(self, window: WindowNumber) -> None:
        """Discard the windows before ``window`` and ignore later reports of them."""
        self._oldest_window = max(self._oldest_window, window)
        for process_usage in self._usage_by_process.values():
            for outdated in [
                number for number in process_usage.windows if number < self._oldest_window
            ]:
                del process_usage.windows[outdated]

    def discard_inactive(self, before: float) -> None:
        """Discard processes without stored counts whose last report is older than ``before``."""
        self._usage_by_process = {
            process: process_usage
            for process, process_usage in self._usage_by_process.items()
            if process_usage.windows or process_usage.complete_until >= before
        }

    def snapshot(self) -> tuple[NodeUsage, ...]:
        """Return everything, to be merged by another collector."""
        return tuple(
            NodeUsage(
                address=process.address,
                boot=process.boot,
                complete_until=process_usage.complete_until,
                windows=tuple(
                    WindowCounts(window=window, counts=dict(counts))
                    for window, counts in sorted(process_usage.windows.items())
                ),
            )
            for process, process_usage in self._usage_by_process.items()
        )
