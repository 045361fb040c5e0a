"""Usage in the key-value store: counts on their way, and the one report of each window.

A window's report is written once, under the fence of its writer, before the platform is told. A
successor repeats exactly what stands there, so that no window is ever reported with two counts.
"""

import msgspec

from drumbay.identifiers import Revision
from drumbay.kv.interface import Delete, KeyValueStore, ModRevisionIs, Put
from drumbay.usage.records import NodeUsage, WindowCounts, WindowNumber

PREFIX = "drumbay/usage/"
COLLECTED_KEY = f"{PREFIX}collected"
REPORT_PREFIX = f"{PREFIX}reports/"
KEPT_REPORTS = 12
"""Reports that stay: a successor repeats those that may not have arrived, one or two as a rule."""

ABSENT = Revision(0)

_encoder = msgspec.msgpack.Encoder()


class CollectedUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of windows that are not reported yet, and the last window that surely is."""

    delivered: WindowNumber
    nodes: tuple[NodeUsage, ...]


class StoredUsage(msgspec.Struct, frozen=True, kw_only=True):
    """All that the store holds."""

    collected: CollectedUsage | None
    reports: tuple[WindowCounts, ...]


_collected_decoder = msgspec.msgpack.Decoder(CollectedUsage)
_report_decoder = msgspec.msgpack.Decoder(WindowCounts)


class UsageLedger:
    """Reads and writes usage; every method may raise ``KeyValueError``."""

    def __init__(self, store: KeyValueStore) -> None:
        """Use a key-value store."""
        self._store = store

    async def read(self) -> StoredUsage:
        """Return what is stored, reports in the order of their windows."""
        collected: CollectedUsage | None = None
        reports: list[WindowCounts] = []
        found = await self._store.range_prefix(PREFIX)
        for item in found.items:
            if item.key == COLLECTED_KEY:
                collected = _collected_decoder.decode(item.value)
            elif item.key.startswith(REPORT_PREFIX):
                reports.append(_report_decoder.decode(item.value))
        reports.sort(key=lambda report: report.window)
        return StoredUsage(collected=collected, reports=tuple(reports))

    async def decide(self, report: WindowCounts, guard: ModRevisionIs) -> bool:
        """Write the one report of a window; return whether it was written.

        Args:
            report: The window's counts.
            guard: Holds while the writer leads.
        """
        key = _report_key(report.window)
        outcome = await self._store.transact(
            (guard, ModRevisionIs(key=key, mod_revision=ABSENT)),
            (
                Put(key=key, value=_encoder.encode(report)),
                Delete(key=_report_key(WindowNumber(report.window - KEPT_REPORTS))),
            ),
        )
        return outcome.succeeded

    async def save(self, collected: CollectedUsage, guard: ModRevisionIs) -> bool:
        """Keep the counts on their way; return whether they were written."""
        outcome = await self._store.transact(
            (guard,), (Put(key=COLLECTED_KEY, value=_encoder.encode(collected)),)
        )
        return outcome.succeeded


def _report_key(window: WindowNumber) -> str:
    return f"{REPORT_PREFIX}{window:015d}"
