"""Usage data in the key-value store: collected counts and the reports of windows.

A window's report is written once, guarded by the writer's fencing token, before it is sent to the
platform. A new leader sends exactly the stored report, so that a window is never reported with two
different counts.
"""

import msgspec

from drumbay.identifiers import Revision
from drumbay.kv.interface import Delete, KeyValueStore, ModRevisionIs, Put
from drumbay.usage.records import NodeUsage, WindowCounts, WindowNumber

USAGE_PREFIX = "drumbay/usage/"
COLLECTED_KEY = f"{USAGE_PREFIX}collected"
REPORT_PREFIX = f"{USAGE_PREFIX}reports/"
RETAINED_REPORTS = 12
"""Number of stored reports; a new leader resends those that may not have been delivered."""

ABSENT = Revision(0)

_encoder = msgspec.msgpack.Encoder()


class CollectedUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of windows that are not reported yet, and the last window known to be delivered."""

    delivered: WindowNumber
    nodes: tuple[NodeUsage, ...]


class StoredUsage(msgspec.Struct, frozen=True, kw_only=True):
    """All usage data in the store."""

    collected: CollectedUsage | None
    reports: tuple[WindowCounts, ...]


_collected_decoder = msgspec.msgpack.Decoder(CollectedUsage)
_report_decoder = msgspec.msgpack.Decoder(WindowCounts)


class UsageLedger:
    """Reads and writes usage data; every method may raise ``KeyValueError``."""

    def __init__(self, store: KeyValueStore) -> None:
        """Use a key-value store."""
        self._store = store

    async def read(self) -> StoredUsage:
        """Return the stored data, reports ordered by window."""
        collected: CollectedUsage | None = None
        reports: list[WindowCounts] = []
        result = await self._store.range_prefix(USAGE_PREFIX)
        for item in result.items:
            if item.key == COLLECTED_KEY:
                collected = _collected_decoder.decode(item.value)
            elif item.key.startswith(REPORT_PREFIX):
                reports.append(_report_decoder.decode(item.value))
        reports.sort(key=lambda report: report.window)
        return StoredUsage(collected=collected, reports=tuple(reports))

    async def write_report(self, report: WindowCounts, guard: ModRevisionIs) -> bool:
        """Write the report of a window unless it exists; return whether it was written.

        Args:
            report: The window's counts.
            guard: Condition that holds while the writer is the leader.
        """
        key = _report_key(report.window)
        result = await self._store.transact(
            (guard, ModRevisionIs(key=key, mod_revision=ABSENT)),
            (
                Put(key=key, value=_encoder.encode(report)),
                Delete(key=_report_key(WindowNumber(report.window - RETAINED_REPORTS))),
            ),
        )
        return result.succeeded

    async def save_collected(self, collected: CollectedUsage, guard: ModRevisionIs) -> bool:
        """Save the collected counts; return whether they were written."""
        result = await self._store.transact(
            (guard,), (Put(key=COLLECTED_KEY, value=_encoder.encode(collected)),)
        )
        return result.succeeded


def _report_key(window: WindowNumber) -> str:
    return f"{REPORT_PREFIX}{window:015d}"
