"""In-process model of the etcd v3 data model: revisions, transactions, leases, watches.

The model is synchronous and uses an injected clock, so it also runs on virtual time.
:attr:`KeyValueModel.injector` decides which faults apply; the stores and servers in front of
the model implement them.
"""

import math
import random
from collections import deque
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.identifiers import Revision
from drumbay.kv.interface import (
    Delete,
    KeyValue,
    LeaseGrant,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
    WatchCompactedError,
    WatchEvent,
)
from drumbay.standins.kv_faults import KeyValueFaultInjector, KeyValueFaults
from drumbay.standins.kv_records import (
    ChangeCause,
    LeaseAction,
    LogEntry,
    LoggedChange,
    LoggedLease,
)

FIRST_LEASE_ID = 2**53 + 1
"""Not exactly representable as a double: exposes clients that parse ids as floating point."""

FIRST_REVISION = Revision(1)
"""Revision of an empty store, as in etcd."""

DEFAULT_HISTORY_LIMIT = 10_000
PAGE_BYTES = 1_000_000
"""Maximum size of the values in a page."""


class _Lease(msgspec.Struct, kw_only=True):
    """Active lease; ``keys`` is a dict used as an ordered set."""

    ttl_seconds: float
    expires_at: float
    keys: dict[str, None] = {}


class KeyValueModel:
    """State of a key-value service and the log of its changes.

    Attributes:
        clock: Clock of the service.
        injector: Fault injection.
        log: Applied changes and lease events, oldest first.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        generator: random.Random | None = None,
        history_limit: int = DEFAULT_HISTORY_LIMIT,
        log_renewals: bool = True,
    ) -> None:
        """Create an empty store.

        Args:
            clock: Clock of the service.
            generator: Source of randomness for faults; a fixed seed by default.
            history_limit: Maximum number of revisions kept for watches; older ones are compacted.
            log_renewals: Whether lease renewals are logged.
        """
        self.injector = KeyValueFaultInjector(generator or random.Random(0))
        self.log: list[LogEntry] = []
        self.clock = clock
        self._history_limit = history_limit
        self._log_renewals = log_renewals
        self._revision = FIRST_REVISION
        self._compacted_revision = Revision(0)
        self._items: dict[str, KeyValue] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = FIRST_LEASE_ID
        self._history: deque[LoggedChange] = deque()
        self._listeners: dict[Callable[[], None], None] = {}

    @property
    def revision(self) -> Revision:
        """Return the current revision."""
        self.expire_leases()
        return self._revision

    @property
    def compacted_revision(self) -> Revision:
        """Return the oldest revision from which a watch can start."""
        return self._compacted_revision

    @property
    def listener_count(self) -> int:
        """Return the number of registered listeners, one for each open watch."""
        return len(self._listeners)

    def now(self) -> float:
        """Return the time on the model's monotonic clock in seconds."""
        return self.clock.monotonic()

    def set_faults(self, faults: KeyValueFaults) -> None:
        """Replace the active faults and notify watches."""
        self.injector.set_faults(faults, self.now())
        self._notify()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after every change of keys, leases or faults."""
        self._listeners[listener] = None

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Unregister a listener."""
        self._listeners.pop(listener, None)

    def range_prefix(self, prefix: str) -> RangeResult:
        """Return the items whose keys start with ``prefix``, sorted by key."""
        self.expire_leases()
        keys = sorted(key for key in self._items if key.startswith(prefix))
        items = tuple(self._items[key] for key in keys)
        return RangeResult(revision=self._revision, items=items)

    def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return the items of ``prefix`` after a key: at least one, up to ``PAGE_BYTES``."""
        remaining = [item for item in self.range_prefix(prefix).items if item.key > after]
        page: list[KeyValue] = []
        size_bytes = 0
        for item in remaining:
            size_bytes += len(item.value)
            if page and size_bytes > PAGE_BYTES:
                break
            page.append(item)
        return RangeResult(
            revision=self._revision, items=tuple(page), has_more=len(page) < len(remaining)
        )

    def transact(
        self,
        compares: tuple[ModRevisionIs, ...],
        operations: tuple[Put | Delete, ...],
    ) -> TransactionResult:
        """Apply ``operations`` in one revision if all ``compares`` hold.

        Raises:
            LeaseNotFoundError: A put refers to an unknown lease; nothing was changed.
        """
        self.expire_leases()
        if not all(self._matches(compare) for compare in compares):
            return TransactionResult(succeeded=False, revision=self._revision)
        self._check_leases(operations)
        self._apply(operations, ChangeCause.TRANSACTION, self.now())
        return TransactionResult(succeeded=True, revision=self._revision)

    def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease; its time to live is rounded up to whole seconds, as in etcd."""
        self.expire_leases()
        ttl = float(max(1, math.ceil(ttl_seconds)))
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = _Lease(ttl_seconds=ttl, expires_at=self.now() + ttl)
        self._log_lease(lease_id, LeaseAction.GRANTED, ttl, self.now())
        self._notify()
        return LeaseGrant(lease_id=lease_id, ttl_seconds=ttl)

    def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds.

        Raises:
            LeaseNotFoundError: The lease does not exist.
        """
        self.expire_leases()
        lease = self._find_lease(lease_id)
        lease.expires_at = self.now() + lease.ttl_seconds
        if self._log_renewals:
            self._log_lease(lease_id, LeaseAction.RENEWED, lease.ttl_seconds, self.now())
        return lease.ttl_seconds

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys.

        Raises:
            LeaseNotFoundError: The lease does not exist.
        """
        self.expire_leases()
        lease = self._find_lease(lease_id)
        self._end_lease(lease_id, lease, LeaseAction.REVOKED, self.now())
        self._notify()

    def expire_leases(self) -> None:
        """Expire all due leases, in the order of expiry."""
        now = self.now()
        expired = [entry for entry in self._leases.items() if entry[1].expires_at <= now]
        for lease_id, lease in sorted(expired, key=lambda entry: (entry[1].expires_at, entry[0])):
            self._end_lease(lease_id, lease, LeaseAction.EXPIRED, lease.expires_at)

    def next_expiry(self) -> float | None:
        """Return when the next lease expires; ``None`` without leases."""
        return min((lease.expires_at for lease in self._leases.values()), default=None)

    def read_changes(self, prefix: str, start_revision: Revision) -> WatchBatch:
        """Return the changes of ``prefix`` since ``start_revision``.

        Raises:
            WatchCompactedError: The start revision is compacted.
        """
        self.expire_leases()
        if start_revision < self._compacted_revision:
            raise WatchCompactedError(
                f"revision {start_revision} is compacted; oldest is {self._compacted_revision}"
            )
        events: list[WatchEvent] = []
        for change in reversed(self._history):
            if change.revision < start_revision:
                break
            events.extend(e for e in reversed(change.events) if e.key.startswith(prefix))
        events.reverse()
        return WatchBatch(revision=self._revision, events=tuple(events))

    def compact(self, revision: Revision) -> None:
        """Drop the history before ``revision``; watches that start earlier fail."""
        self._compacted_revision = max(self._compacted_revision, min(revision, self._revision))
        while self._history and self._history[0].revision < self._compacted_revision:
            self._history.popleft()
        self._notify()

    def _matches(self, compare: ModRevisionIs) -> bool:
        item = self._items.get(compare.key)
        current = item.mod_revision if item is not None else Revision(0)
        return current == compare.mod_revision

    def _check_leases(self, operations: tuple[Put | Delete, ...]) -> None:
        for operation in operations:
            if isinstance(operation, Put) and operation.lease_id:
                self._find_lease(operation.lease_id)

    def _find_lease(self, lease_id: int) -> _Lease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseNotFoundError(f"lease {lease_id} not found")
        return lease

    def _apply(
        self, operations: tuple[Put | Delete, ...], cause: ChangeCause, at_seconds: float
    ) -> None:
        """Apply operations in a new revision; none is created if nothing changes."""
        revision = Revision(self._revision + 1)
        events: list[WatchEvent] = []
        for operation in operations:
            if isinstance(operation, Put):
                events.append(self._put(operation, revision))
            elif operation.key in self._items:
                events.append(self._delete(operation.key, revision))
        if not events:
            return
        self._revision = revision
        change = LoggedChange(
            at_seconds=at_seconds, revision=revision, cause=cause, events=tuple(events)
        )
        self.log.append(change)
        self._history.append(change)
        if len(self._history) > self._history_limit:
            self._history.popleft()
            self._compacted_revision = self._history[0].revision
        self._notify()

    def _put(self, operation: Put, revision: Revision) -> WatchEvent:
        previous = self._items.get(operation.key)
        if previous is not None:
            self._detach_lease(previous)
        item = KeyValue(
            key=operation.key,
            value=operation.value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease_id=operation.lease_id,
        )
        self._items[operation.key] = item
        if operation.lease_id:
            self._leases[operation.lease_id].keys[operation.key] = None
        return WatchEvent(key=operation.key, mod_revision=revision, item=item)

    def _delete(self, key: str, revision: Revision) -> WatchEvent:
        self._detach_lease(self._items.pop(key))
        return WatchEvent(key=key, mod_revision=revision, item=None)

    def _detach_lease(self, item: KeyValue) -> None:
        lease = self._leases.get(item.lease_id)
        if lease is not None:
            lease.keys.pop(item.key, None)

    def _end_lease(
        self, lease_id: int, lease: _Lease, action: LeaseAction, at_seconds: float
    ) -> None:
        del self._leases[lease_id]
        self._log_lease(lease_id, action, lease.ttl_seconds, at_seconds)
        cause = (
            ChangeCause.LEASE_EXPIRED
            if action is LeaseAction.EXPIRED
            else ChangeCause.LEASE_REVOKED
        )
        self._apply(tuple(Delete(key=key) for key in sorted(lease.keys)), cause, at_seconds)

    def _log_lease(
        self, lease_id: int, action: LeaseAction, ttl_seconds: float, at_seconds: float
    ) -> None:
        entry = LoggedLease(
            at_seconds=at_seconds, lease_id=lease_id, action=action, ttl_seconds=ttl_seconds
        )
        self.log.append(entry)

    def _notify(self) -> None:
        for listener in list(self._listeners):
            listener()
