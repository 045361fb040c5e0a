"""What the readers of the machine list reported, merged. Pure: no I/O, no clock."""

from collections.abc import Sequence

import msgspec
import xxhash

from drumbay.identifiers import BackendId, NodeId
from drumbay.machines.messages import LeavingReport


class LeavingReports:
    """The newest report of each reader.

    A back end counts as leaving while any reader says so: the list lags, and a reader that
    sees a machine as live may only be late.
    """

    def __init__(self) -> None:
        """Create a collection without reports."""
        self._reports: dict[NodeId, LeavingReport] = {}

    def take(self, report: LeavingReport) -> bool:
        """Take in a report unless it is older; return whether it was new."""
        known = self._reports.get(report.reader)
        is_same_run = known is not None and known.boot_id == report.boot_id
        if is_same_run and known is not None and report.sequence <= known.sequence:
            return False
        self._reports[report.reader] = report
        return True

    def keep_only(self, readers: Sequence[NodeId]) -> None:
        """Forget what nodes reported that are readers no longer."""
        self._reports = {
            reader: report for reader, report in self._reports.items() if reader in readers
        }

    def leaving(self) -> tuple[BackendId, ...]:
        """Return the back ends that any reader saw leaving, sorted."""
        return tuple(sorted({name for report in self._reports.values() for name in report.leaving}))

    def sorted(self) -> tuple[LeavingReport, ...]:
        """Return the reports, sorted by reader."""
        return tuple(self._reports[reader] for reader in sorted(self._reports))

    def digest(self) -> int:
        """Return a hash that differs as soon as any report does."""
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(self.sorted()))
