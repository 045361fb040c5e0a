"""Interface of the key-value store: compare-and-swap, leases and watches."""

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from drumbay.exceptions import UnavailableError
from drumbay.identifiers import Revision


class KeyValueError(UnavailableError):
    """An operation of the key-value store failed."""

    code = "key_value"


class KeyValueUnavailableError(KeyValueError):
    """The operation had no effect: it was refused or never sent."""

    code = "key_value_unavailable"


class KeyValueRateLimitedError(KeyValueUnavailableError):
    """The store refused the operation because of its rate limit."""

    code = "key_value_rate_limited"


class KeyValueOutcomeUnknownError(KeyValueError):
    """The response was lost: the operation may have taken effect."""

    code = "key_value_outcome_unknown"


class LeaseNotFoundError(KeyValueError):
    """The lease has expired or was revoked."""

    code = "lease_not_found"


class WatchSilentError(KeyValueUnavailableError):
    """A watch has been silent for too long."""

    code = "watch_silent"


class WatchEndedError(KeyValueUnavailableError):
    """This process ended a watch whose connection may be dead."""

    code = "watch_ended"


class WatchCompactedError(KeyValueError):
    """The start revision of a watch has been compacted; read a snapshot instead."""

    code = "watch_compacted"


class KeyValue(msgspec.Struct, frozen=True, kw_only=True):
    """One key with its value and revisions."""

    key: str
    value: bytes
    create_revision: Revision
    mod_revision: Revision
    version: int
    lease_id: int = 0


class RangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """The keys of a range at one revision of the store, sorted by key.

    ``has_more`` means that the response was truncated.
    """

    revision: Revision
    items: tuple[KeyValue, ...]
    has_more: bool = False


class ModRevisionIs(msgspec.Struct, frozen=True, kw_only=True):
    """Compare: the key has this modification revision (0: the key does not exist)."""

    key: str
    mod_revision: Revision


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """Operation: set a key."""

    key: str
    value: bytes
    lease_id: int = 0


class Delete(msgspec.Struct, frozen=True, kw_only=True):
    """Operation: delete a key; no effect if it does not exist."""

    key: str


class TransactionResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a transaction: whether all compares held, and the store's revision."""

    succeeded: bool
    revision: Revision


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A granted lease."""

    lease_id: int
    ttl_seconds: float


class WatchEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change: ``item`` is ``None`` when the key was deleted."""

    key: str
    mod_revision: Revision
    item: KeyValue | None


class WatchBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Changes in order of revision, complete up to ``revision``."""

    revision: Revision
    events: tuple[WatchEvent, ...]


MAX_QUIET_SECONDS = 20.0
"""Default for watches that are not latency-critical; each response is a billed call."""


class KeyValueStore(Protocol):
    """Operations of the key-value store.

    Every method may raise :class:`KeyValueUnavailableError` (no effect),
    :class:`KeyValueRateLimitedError` (no effect) and, for writes,
    :class:`KeyValueOutcomeUnknownError`.
    """

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix`` (linearizable read)."""
        ...

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return one page of the keys of ``prefix`` that sort after a key."""
        ...

    async def transact(
        self,
        compares: tuple[ModRevisionIs, ...],
        operations: tuple[Put | Delete, ...],
    ) -> TransactionResult:
        """Execute ``operations`` atomically if all ``compares`` hold, else nothing."""
        ...

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease; its keys are deleted when it expires."""
        ...

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds.

        Raises:
            LeaseNotFoundError: The lease has expired or was revoked.
        """
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        ...

    def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncIterator[WatchBatch]:
        """Yield the changes of ``prefix`` from ``start_revision`` on, until cancelled.

        Stores that are polled yield a batch without events after ``quiet_seconds`` without changes.
        A caller may consider a watch dead that is silent for longer.

        Raises:
            WatchCompactedError: The start revision has been compacted.
            KeyValueUnavailableError: The watch broke; restart it from the last revision.
        """
        ...
