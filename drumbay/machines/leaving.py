"""Merged reports of the readers of the machine list. Pure: no I/O, no clock."""

from collections.abc import Sequence

import msgspec
import xxhash

from drumbay.identifiers import BackendId, NodeId
from drumbay.machines.messages import LeavingReport


class LeavingReports:
    """The newest report of each reader.

    A back end counts as leaving while any reader reports it as leaving, since the list that another
    reader has read may be outdated.
    """

    def __init__(self) -> None:
        """Create a collection without reports."""
        self._reports: dict[NodeId, LeavingReport] = {}

    def add(self, report: LeavingReport) -> bool:
        """Store a report unless it is outdated; return whether it was new."""
        previous = self._reports.get(report.reader)
        is_same_boot = previous is not None and previous.boot_id == report.boot_id
        if is_same_boot and previous is not None and report.sequence <= previous.sequence:
            return False
        self._reports[report.reader] = report
        return True

    def retain_readers(self, readers: Sequence[NodeId]) -> None:
        """Remove the reports of nodes that are no longer readers."""
        self._reports = {
            reader: report for reader, report in self._reports.items() if reader in readers
        }

    def leaving(self) -> tuple[BackendId, ...]:
        """Return the back ends that any reader reports as leaving, sorted."""
        return tuple(sorted({name for report in self._reports.values() for name in report.leaving}))

    def sorted(self) -> tuple[LeavingReport, ...]:
        """Return the reports, sorted by reader."""
        return tuple(self._reports[reader] for reader in sorted(self._reports))

    def digest(self) -> int:
        """Return a hash of all reports."""
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(self.sorted()))
