"""Operators' writes: compare-and-swap with outcomes verified by reading back."""

from enum import StrEnum

import msgspec

from drumbay.clock import Clock
from drumbay.configuration.errors import (
    ConfigurationNotCurrentError,
    ConfigurationTooLargeError,
    ConflictError,
    OperationReusedError,
)
from drumbay.configuration.messages import (
    NO_REVISION,
    REPLICA_SET_KEY,
    OperationRecord,
    ReplicaSet,
    StoredRecord,
    operation_key,
    resource_key,
)
from drumbay.configuration.outcomes import (
    WriteOutcome,
    WriteResult,
    refused_result,
    unknown_result,
)
from drumbay.configuration.service import ConfigurationService
from drumbay.identifiers import NodeId, Revision
from drumbay.kv.interface import (
    KeyValue,
    KeyValueError,
    KeyValueOutcomeUnknownError,
    KeyValueStore,
    KeyValueUnavailableError,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
)
from drumbay.observability.logs import log_event
from drumbay.resources.schema import AnyResource

MAX_CONFIGURATION_BYTES = 3 * 1024 * 1024
"""Size limit of the configuration; a snapshot must fit into one message of 4 MiB."""

RESOLVE_ATTEMPTS = 4
"""Attempts to read back a write before its outcome is reported as unknown."""

RESOLVE_RETRY_SECONDS = 0.5
APPLY_TIMEOUT_SECONDS = 10.0
"""How long a write waits for its revision to be applied on this node."""

OPERATION_RECORD_TTL_SECONDS = 7200.0
"""Lifetime of operation records; the status of an older operation cannot be queried."""


class _OperationStatus(StrEnum):
    COMMITTED = "committed"
    CANCELLED = "cancelled"
    ABSENT = "absent"


class _ResolvedOperation(msgspec.Struct, frozen=True, kw_only=True):
    status: _OperationStatus
    revision: Revision = NO_REVISION


class OperatorService:
    """Writes resources for operators.

    A write and its operation record are committed in one transaction, so the record exists
    if and only if the write was committed, even if the response was lost.
    """

    def __init__(
        self, *, clock: Clock, store: KeyValueStore, configuration: ConfigurationService
    ) -> None:
        """Create a service that writes to ``store`` and waits for ``configuration`` to apply."""
        self._clock = clock
        self._store = store
        self._configuration = configuration
        self._lease_id: int | None = None
        self._lease_granted_at = 0.0

    async def apply(
        self, resource: AnyResource, expected_revision: Revision | None, operation_id: str
    ) -> WriteResult:
        """Create or change a resource.

        Args:
            resource: The new content.
            expected_revision: Modification revision to replace (0: must not exist);
                ``None`` replaces any revision.
            operation_id: Identifier chosen by the caller, unique for each intended write;
                repeating a call with the same identifier writes at most once.

        Raises:
            ConflictError: The resource has another revision; nothing was written.
            ConfigurationNotCurrentError: This node's configuration is not current.
            ConfigurationTooLargeError: The configuration would become too large.
            OperationReusedError: The identifier belongs to a write to another key.
        """
        return await self._write(resource, expected_revision, operation_id, deleted=False)

    async def delete(
        self, resource: AnyResource, expected_revision: Revision | None, operation_id: str
    ) -> WriteResult:
        """Delete a resource; arguments and exceptions as for :meth:`apply`."""
        return await self._write(resource, expected_revision, operation_id, deleted=True)

    async def operation_status(self, operation_id: str) -> WriteResult:
        """Return the outcome of an operation.

        An operation that was not committed is cancelled, so that a delayed write cannot be
        committed later, and then reported as refused.
        """
        try:
            resolved = await self._read_operation(operation_id, None)
            if resolved.status is _OperationStatus.ABSENT:
                resolved = await self._cancel(operation_id)
        except KeyValueError as error:
            return unknown_result(operation_id, f"key-value service: {error.code}")
        return await self._result_when_applied(operation_id, resolved)

    async def force_replica_set(self, members: tuple[NodeId, ...]) -> Revision | None:
        """Replace a replica set whose majority is permanently lost.

        No revision is lost, since the key-value service has all of them. Do not use it while
        a lost replica may come back with its old disk.

        Returns:
            The revision of the change, or ``None`` if a concurrent change won.

        Raises:
            KeyValueError: The transaction failed or its response was lost; retrying is
                safe.
        """
        expected = await self._current_revision(REPLICA_SET_KEY)
        replica_set = ReplicaSet(members=tuple(sorted(members)))
        result = await self._store.transact(
            (ModRevisionIs(key=REPLICA_SET_KEY, mod_revision=expected),),
            (Put(key=REPLICA_SET_KEY, value=msgspec.msgpack.encode(replica_set)),),
        )
        return result.revision if result.succeeded else None

    async def _write(
        self,
        resource: AnyResource,
        expected_revision: Revision | None,
        operation_id: str,
        *,
        deleted: bool,
    ) -> WriteResult:
        if not self._configuration.readiness().current:
            raise ConfigurationNotCurrentError("this node cannot confirm its configuration")
        key = resource_key(type(resource).__name__, resource.name)
        record = StoredRecord(resource=resource, operation_id=operation_id, deleted=deleted)
        value = msgspec.msgpack.encode(record)
        size_bytes = self._configuration.applied.state.size_bytes + len(key) + len(value)
        if size_bytes > MAX_CONFIGURATION_BYTES:
            raise ConfigurationTooLargeError(f"{size_bytes} bytes with {key}")
        try:
            lease_id = await self._operation_lease()
            expected = expected_revision
            if expected is None:
                expected = await self._current_revision(key)
        except KeyValueError as error:
            return refused_result(operation_id, f"nothing was sent: {error.code}")
        put = Put(key=key, value=value)
        return await self._commit(put, expected, operation_id, lease_id)

    async def _commit(
        self, put: Put, expected: Revision, operation_id: str, lease_id: int
    ) -> WriteResult:
        try:
            result = await self._transact(put, expected, operation_id, lease_id)
        except KeyValueOutcomeUnknownError:
            return await self._resolve(put, expected, operation_id, lease_id)
        except (KeyValueUnavailableError, LeaseNotFoundError) as error:
            self._lease_id = None
            return refused_result(operation_id, f"key-value service: {error.code}")
        if result is not None:
            return await self._result_when_applied(
                operation_id, _ResolvedOperation(status=_OperationStatus.COMMITTED, revision=result)
            )
        return await self._resolve(put, expected, operation_id, lease_id)

    async def _transact(
        self, put: Put, expected: Revision, operation_id: str, lease_id: int
    ) -> Revision | None:
        """Try to commit; return the revision, or ``None`` if a compare failed."""
        record = OperationRecord(key=put.key)
        result = await self._store.transact(
            (
                ModRevisionIs(key=put.key, mod_revision=expected),
                ModRevisionIs(key=operation_key(operation_id), mod_revision=NO_REVISION),
            ),
            (
                put,
                Put(
                    key=operation_key(operation_id),
                    value=msgspec.msgpack.encode(record),
                    lease_id=lease_id,
                ),
            ),
        )
        return result.revision if result.succeeded else None

    async def _resolve(
        self, put: Put, expected: Revision, operation_id: str, lease_id: int
    ) -> WriteResult:
        """Determine the outcome of a write by reading back and resending.

        Raises:
            ConflictError: The resource has another revision, so the write can never be committed.
        """
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                resolved = await self._read_back(put, expected, operation_id)
                if resolved is None:
                    # NOTE: resending is safe. The commit requires that the operation record
                    # is absent, so at most one copy of the write takes effect.
                    resolved = await self._resend(put, expected, operation_id, lease_id)
                if resolved is not None:
                    return await self._result_when_applied(operation_id, resolved)
            except KeyValueError as error:
                log_event("operation_not_settled", operation=operation_id, error=error.code)
            await self._clock.sleep(RESOLVE_RETRY_SECONDS)
        return unknown_result(operation_id, "the write may still be on its way")

    async def _resend(
        self, put: Put, expected: Revision, operation_id: str, lease_id: int
    ) -> _ResolvedOperation | None:
        revision = await self._transact(put, expected, operation_id, lease_id)
        if revision is None:
            return None
        return _ResolvedOperation(status=_OperationStatus.COMMITTED, revision=revision)

    async def _read_back(
        self, put: Put, expected: Revision, operation_id: str
    ) -> _ResolvedOperation | None:
        """Return the final status of a write; ``None`` if it may still be committed.

        Raises:
            ConflictError: The write can never be committed.
        """
        # NOTE: the order of these reads matters. If the resource's revision differs from the
        # expected one, the write can no longer be committed, so the record read next is final.
        current = await self._current_revision(put.key)
        resolved = await self._read_operation(operation_id, put.key)
        if resolved.status is not _OperationStatus.ABSENT:
            return resolved
        if current != expected:
            raise ConflictError(put.key, expected, current)
        return None

    async def _read_operation(
        self, operation_id: str, expected_key: str | None
    ) -> _ResolvedOperation:
        """Read the operation record.

        Raises:
            OperationReusedError: It belongs to another key than ``expected_key``.
        """
        item = await self._read_key(operation_key(operation_id))
        if item is None:
            return _ResolvedOperation(status=_OperationStatus.ABSENT)
        record = msgspec.msgpack.decode(item.value, type=OperationRecord)
        if record.cancelled:
            return _ResolvedOperation(status=_OperationStatus.CANCELLED)
        if expected_key is not None and record.key != expected_key:
            raise OperationReusedError(f"{operation_id} wrote {record.key}")
        return _ResolvedOperation(status=_OperationStatus.COMMITTED, revision=item.mod_revision)

    async def _cancel(self, operation_id: str) -> _ResolvedOperation:
        key = operation_key(operation_id)
        record = OperationRecord(key="", cancelled=True)
        lease_id = await self._operation_lease()
        result = await self._store.transact(
            (ModRevisionIs(key=key, mod_revision=NO_REVISION),),
            (Put(key=key, value=msgspec.msgpack.encode(record), lease_id=lease_id),),
        )
        if result.succeeded:
            return _ResolvedOperation(status=_OperationStatus.CANCELLED)
        return await self._read_operation(operation_id, None)

    async def _result_when_applied(
        self, operation_id: str, resolved: _ResolvedOperation
    ) -> WriteResult:
        if resolved.status is not _OperationStatus.COMMITTED:
            return refused_result(operation_id, "cancelled before it was committed")
        is_applied = await self._configuration.applied.wait_for_revision(
            resolved.revision, APPLY_TIMEOUT_SECONDS
        )
        if is_applied:
            return WriteResult(
                outcome=WriteOutcome.ACCEPTED,
                operation_id=operation_id,
                committed_revision=resolved.revision,
            )
        return WriteResult(
            outcome=WriteOutcome.UNKNOWN_YET,
            operation_id=operation_id,
            committed_revision=resolved.revision,
            detail="committed, but not yet known to be stored by a majority of the replicas",
        )

    async def _current_revision(self, key: str) -> Revision:
        item = await self._read_key(key)
        return NO_REVISION if item is None else item.mod_revision

    async def _read_key(self, key: str) -> KeyValue | None:
        result = await self._store.range_prefix(key)
        for item in result.items:
            if item.key == key:
                return item
        return None

    async def _operation_lease(self) -> int:
        """Return a lease with at least half its lifetime left, granting a new one if needed."""
        now = self._clock.monotonic()
        age_seconds = now - self._lease_granted_at
        if self._lease_id is None or age_seconds > OPERATION_RECORD_TTL_SECONDS / 2:
            grant = await self._store.grant_lease(OPERATION_RECORD_TTL_SECONDS)
            self._lease_id = grant.lease_id
            self._lease_granted_at = now
        return self._lease_id
