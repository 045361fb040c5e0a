"""Counts calls to the key-value store by purpose.

Calls are billed and rate limited across all nodes, so operators need to see what causes them.
The purpose is derived from the operation and the key.
"""

from collections.abc import AsyncIterator
from enum import StrEnum

from drumbay.batches import ledger
from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    MAX_QUIET_SECONDS,
    Delete,
    KeyValueStore,
    LeaseGrant,
    ModRevisionIs,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership import leader
from drumbay.peers import directory
from drumbay.quarantine import stored
from drumbay.scaling import controller
from drumbay.usage import ledger as usage_ledger

COUNT_LOG_SECONDS = 15.0
"""Interval at which the counts are logged."""


class StoreOperation(StrEnum):
    """Kind of call."""

    READ = "read"
    WATCH = "watch"
    WRITE = "write"
    LEASE_GRANT = "lease_grant"
    LEASE_RENEWAL = "lease_renewal"
    LEASE_END = "lease_end"


class StoreSubject(StrEnum):
    """What a call is about."""

    BATCH_ACCEPT = "batch_accept"
    BATCH_OWNER = "batch_owner"
    BATCH_PROGRESS = "batch_progress"
    BATCH_RESULTS = "batch_results"
    BATCH_WHOLE = "batch_whole"
    BATCH_INDEX = "batch_index"
    BATCH_OPEN = "batch_open"
    ITEM_FAILURES = "item_failures"
    NODES = "nodes"
    LEADER = "leader"
    QUARANTINE = "quarantine"
    SCALING = "scaling"
    USAGE = "usage"
    LEASE = "lease"
    ENTRIES = "entries"
    """Keys that other programs write, such as configuration and workers."""


_BATCH_PARTS = {
    "owner": StoreSubject.BATCH_OWNER,
    "progress": StoreSubject.BATCH_PROGRESS,
    "results": StoreSubject.BATCH_RESULTS,
}
_PREFIXES = {
    ledger.BATCH_INDEX_PREFIX: StoreSubject.BATCH_INDEX,
    ledger.ITEM_FAILURES_PREFIX: StoreSubject.ITEM_FAILURES,
    ledger.OPEN_BATCH_PREFIX: StoreSubject.BATCH_OPEN,
    directory.NODE_PREFIX: StoreSubject.NODES,
    leader.LEADER_PREFIX: StoreSubject.LEADER,
    stored.PREFIX: StoreSubject.QUARANTINE,
    controller.STORED_COUNTS_KEY: StoreSubject.SCALING,
    usage_ledger.USAGE_PREFIX: StoreSubject.USAGE,
}


def subject_of_key(key: str) -> StoreSubject:
    """Return the subject of a key or key prefix."""
    if key.startswith(ledger.BATCH_PREFIX):
        part = key.removeprefix(ledger.BATCH_PREFIX).partition("/")[2].partition("/")[0]
        return _BATCH_PARTS.get(part, StoreSubject.BATCH_WHOLE)
    for prefix, subject in _PREFIXES.items():
        if key.startswith(prefix):
            return subject
    return StoreSubject.ENTRIES


def subject_of_write(
    compares: tuple[ModRevisionIs, ...], operations: tuple[Put | Delete, ...]
) -> StoreSubject:
    """Return the subject of a transaction, based on its first operation."""
    if not operations:
        return StoreSubject.ENTRIES
    subject = subject_of_key(operations[0].key)
    is_new = any(compare.mod_revision == ledger.ABSENT for compare in compares)
    if subject is StoreSubject.BATCH_OWNER and is_new:
        return StoreSubject.BATCH_ACCEPT
    return subject


class CountedStore:
    """A :class:`drumbay.kv.interface.KeyValueStore` that counts calls."""

    def __init__(self, clock: Clock, store: KeyValueStore, metrics: ServingMetrics) -> None:
        """Pass calls on to ``store``."""
        self._clock = clock
        self._store = store
        self._metrics = metrics
        self._counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of calls by operation and subject."""
        return dict(self._counts)

    async def run_periodic_log(self) -> None:
        """Log the counts periodically until cancelled."""
        while True:
            await self._clock.sleep(COUNT_LOG_SECONDS)
            self.log_counts()

    def log_counts(self) -> None:
        """Log the number of calls since the start, by purpose."""
        purposes = ",".join(f"{name}:{count}" for name, count in sorted(self._counts.items()))
        log_event("store_calls_counted", calls=sum(self._counts.values()), purposes=purposes)

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix``; counts as one call."""
        self._count(StoreOperation.READ, subject_of_key(prefix))
        return await self._store.range_prefix(prefix)

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return one page of the keys of ``prefix`` that sort after ``after``."""
        self._count(StoreOperation.READ, subject_of_key(prefix))
        return await self._store.range_page(prefix, after)

    async def transact(
        self, compares: tuple[ModRevisionIs, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        """Execute ``operations`` atomically if all ``compares`` hold."""
        self._count(StoreOperation.WRITE, subject_of_write(compares, operations))
        return await self._store.transact(compares, operations)

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease."""
        self._count(StoreOperation.LEASE_GRANT, StoreSubject.LEASE)
        return await self._store.grant_lease(ttl_seconds)

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds."""
        self._count(StoreOperation.LEASE_RENEWAL, StoreSubject.LEASE)
        return await self._store.keep_lease_alive(lease_id)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease."""
        self._count(StoreOperation.LEASE_END, StoreSubject.LEASE)
        await self._store.revoke_lease(lease_id)

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncIterator[WatchBatch]:
        """Yield the changes of ``prefix``; each poll counts as a call."""
        subject = subject_of_key(prefix)
        self._count(StoreOperation.WATCH, subject)
        async for batch in self._store.watch_prefix(prefix, start_revision, quiet_seconds):
            yield batch
            self._count(StoreOperation.WATCH, subject)

    def _count(self, operation: StoreOperation, subject: StoreSubject) -> None:
        purpose = f"{operation}/{subject}"
        self._counts[purpose] = self._counts.get(purpose, 0) + 1
        self._metrics.count_store_purpose(operation, subject)
