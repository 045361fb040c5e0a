"""What a node does while no majority of the configuration's replicas can be had.

A majority stores a change before it is in force, so that it outlasts an outage of the key-value
service. While the service answers, that is a reason to wait for a while, and none to act on an old
configuration, or on none, for as long as the replicas are away or unknown: a node then takes the
service's word. One disk holds what it takes before that is in force, its own or, if it has none,
that of a replica, so that a later start does not go back. It tells nobody, and calls no change
accepted, before a majority has it.
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


class LoneNode:
    """Takes the service's word, and has a majority of the replicas store it later."""

    def __init__(
        self,
        *,
        clock: Clock,
        replica: ConfigurationReplica | None,
        applied: AppliedConfiguration,
        replicas: ReplicaClient,
        put_in_force: Callable[[ConfigurationUpdate], object],
        on_durable: Callable[[], None],
        task_owner: TaskOwner,
        wait_seconds: float,
        retry_seconds: float,
    ) -> None:
        """Create the decision for a node that has met no shortfall.

        Args:
            clock: Time.
            replica: This node's own replica; ``None`` without a disk.
            applied: What is in force.
            replicas: Reaches all replicas.
            put_in_force: Acts on an update that no majority has stored.
            on_durable: Called once a majority has stored all that is in force.
            task_owner: Owns the tries to reach a majority.
            wait_seconds: How long a majority is waited for.
            retry_seconds: Time between two tries to reach one.
        """
        self._clock = clock
        self._replica = replica
        self._applied = applied
        self._replicas = replicas
        self._put_in_force = put_in_force
        self._on_durable = on_durable
        self._task_owner = task_owner
        self._wait_seconds = wait_seconds
        self._retry_seconds = retry_seconds
        self._short_since: float | None = None
        self._is_repairing = False

    @property
    def held_revision(self) -> Revision:
        """Return the revision that this node's disk holds; 0 without a disk."""
        return NO_REVISION if self._replica is None else self._replica.revision

    def note_majority(self) -> None:
        """Take in that a majority has stored a change."""
        self._short_since = None

    def is_due(self, asked_at: float) -> bool:
        """Take in that a try that began at ``asked_at`` found no majority.

        Returns:
            Whether tries have found none for so long that the service's word is taken.
        """
        if self._short_since is None:
            self._short_since = asked_at
        return self._clock.monotonic() - self._short_since >= self._wait_seconds

    async def take(self, update: ConfigurationUpdate) -> bool:
        """Act on what the service says; return whether a disk took it first."""
        if not await self._store_on_a_disk(update):
            return False
        self._put_in_force(update)
        log_event("configuration_taken_alone", level="WARNING", revision=update.revision)
        if not self._is_repairing:
            self._is_repairing = True
            self._task_owner.spawn(self._make_durable(), "configuration lone repair")
        return True

    async def _store_on_a_disk(self, update: ConfigurationUpdate) -> bool:
        if self._replica is None:
            return await self._replicas.store_on_one(self._applied.state, update)
        after = self._applied.state.copy()
        after.apply(update)
        try:
            await self._replica.store(ReplicaStore(update=after.snapshot()))
        except OSError as error:
            log_event("configuration_store_failed", level="ERROR", detail=str(error))
            return False
        return True

    async def _make_durable(self) -> None:
        """Have a majority of the replicas store what this node took alone."""
        while not self._applied.durable:
            held = self._applied.state.snapshot()
            try:
                await self._replicas.store(self._applied.state, held)
            except ReplicaMajorityError as error:
                log_event("configuration_not_durable", level="WARNING", detail=str(error))
                await self._clock.sleep(self._retry_seconds)
                continue
            self.note_majority()
            self._applied.mark_durable(held.revision)
        self._is_repairing = False
        self._on_durable()
