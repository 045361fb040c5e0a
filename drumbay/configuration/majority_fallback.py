"""Fallback that applies changes while no majority of the replicas is reachable.

Normally a majority of the replicas stores a change before any node applies it, so that the change
survives an outage of the key-value service. If no majority is reachable for some time, a node
applies what it reads from the key-value service once a single disk has stored it: its own, or that
of a replica if it has none. With the stored copy, a restarted node does not return to an older
revision. The node neither gossips such a change nor reports it as accepted until a majority has
stored it.
"""

from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.configuration.applied import AppliedConfiguration
from drumbay.configuration.errors import ReplicaMajorityError
from drumbay.configuration.messages import NO_REVISION, ConfigurationUpdate, ReplicaStore
from drumbay.configuration.replica import ConfigurationReplica
from drumbay.configuration.replication import ReplicaClient
from drumbay.identifiers import Revision
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner


class MajorityFallback:
    """Applies changes stored on one disk, and stores them on a majority later."""

    def __init__(
        self,
        *,
        clock: Clock,
        replica: ConfigurationReplica | None,
        applied: AppliedConfiguration,
        replicas: ReplicaClient,
        apply_update: Callable[[ConfigurationUpdate], object],
        on_durable: Callable[[], None],
        task_owner: TaskOwner,
        wait_seconds: float,
        retry_seconds: float,
    ) -> None:
        """Create the fallback; initially the majority counts as reachable.

        Args:
            clock: Time.
            replica: This node's replica; ``None`` without a disk.
            applied: Configuration applied on this node.
            replicas: Client of all replicas.
            apply_update: Applies an update that no majority has stored.
            on_durable: Called once a majority has stored the applied revision.
            task_owner: Owner of the task that retries the majority.
            wait_seconds: How long the majority must be unreachable before the fallback.
            retry_seconds: Delay between attempts to store on a majority.
        """
        self._clock = clock
        self._replica = replica
        self._applied = applied
        self._replicas = replicas
        self._apply_update = apply_update
        self._on_durable = on_durable
        self._task_owner = task_owner
        self._wait_seconds = wait_seconds
        self._retry_seconds = retry_seconds
        self._no_majority_since: float | None = None
        self._is_restoring_majority = False

    @property
    def stored_revision(self) -> Revision:
        """Return the revision stored on this node's disk; 0 without a disk."""
        return NO_REVISION if self._replica is None else self._replica.revision

    def record_majority(self) -> None:
        """Record that a majority has stored a change."""
        self._no_majority_since = None

    def should_fall_back(self, requested_at: float) -> bool:
        """Record that an attempt started at ``requested_at`` reached no majority.

        Returns:
            Whether no majority has been reachable for ``wait_seconds``.
        """
        if self._no_majority_since is None:
            self._no_majority_since = requested_at
        return self._clock.monotonic() - self._no_majority_since >= self._wait_seconds

    async def apply_from_one_disk(self, update: ConfigurationUpdate) -> bool:
        """Store an update on one disk, then apply it; return whether a disk stored it."""
        if not await self._store_on_one_disk(update):
            return False
        self._apply_update(update)
        log_event("configuration_taken_alone", level="WARNING", revision=update.revision)
        if not self._is_restoring_majority:
            self._is_restoring_majority = True
            self._task_owner.spawn(self._store_on_majority(), "configuration lone repair")
        return True

    async def _store_on_one_disk(self, update: ConfigurationUpdate) -> bool:
        if self._replica is None:
            return await self._replicas.store_on_one(self._applied.state, update)
        updated = self._applied.state.copy()
        updated.apply(update)
        try:
            await self._replica.store(ReplicaStore(update=updated.snapshot()))
        except OSError as error:
            log_event("configuration_store_failed", level="ERROR", detail=str(error))
            return False
        return True

    async def _store_on_majority(self) -> None:
        """Retry until a majority of the replicas has stored the applied revision."""
        while not self._applied.is_durable:
            snapshot = self._applied.state.snapshot()
            try:
                await self._replicas.store(self._applied.state, snapshot)
            except ReplicaMajorityError as error:
                log_event("configuration_not_durable", level="WARNING", detail=str(error))
                await self._clock.sleep(self._retry_seconds)
                continue
            self.record_majority()
            self._applied.mark_durable(snapshot.revision)
        self._is_restoring_majority = False
        self._on_durable()
