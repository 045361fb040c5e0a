"""What a node does while no majority of the configuration's replicas can be had.

A majority stores a change before it is in force, so that it outlasts an outage of the key-value
service. While the service answers, that is a reason to wait for a while, and none to act on an old
configuration, or on none, for as long as the replicas are away or unknown: a node with a disk then
takes the service's word. Its own disk holds what it takes before that is in force, so that a later
start does not go back. It tells nobody, and calls no change accepted, before a majority has it.
"""

import random
from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.configuration.applied import AppliedConfiguration
from drumbay.configuration.errors import ReplicaMajorityError
from drumbay.configuration.messages import ConfigurationUpdate, ReplicaStore
from drumbay.configuration.replica import ConfigurationReplica
from drumbay.configuration.replication import ReplicaClient
from drumbay.identifiers import Revision
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner

SHORTEST_RETRY_SHARE = 0.5
"""Shortest time between tries to reach a majority, as a share of the longest."""


class LoneNode:
    """Takes the service's word on a node with a disk, and makes it durable later."""

    def __init__(
        self,
        *,
        clock: Clock,
        replica: ConfigurationReplica,
        applied: AppliedConfiguration,
        replicas: ReplicaClient,
        put_in_force: Callable[[ConfigurationUpdate], object],
        on_durable: Callable[[], None],
        generator: random.Random,
        task_owner: TaskOwner,
        wait_seconds: float,
        retry_seconds: float,
    ) -> None:
        """Create the decision for a node that has met no shortfall.

        Args:
            clock: Time.
            replica: This node's own replica.
            applied: What is in force.
            replicas: Reaches all replicas.
            put_in_force: Acts on an update that no majority has stored.
            on_durable: Called once a majority has stored all that is in force.
            generator: Source of jitter.
            task_owner: Owns the tries to reach a majority.
            wait_seconds: How long a majority is waited for.
            retry_seconds: Longest time between two tries to reach one.
        """
        self._clock = clock
        self._replica = replica
        self._applied = applied
        self._replicas = replicas
        self._put_in_force = put_in_force
        self._on_durable = on_durable
        self._generator = generator
        self._task_owner = task_owner
        self._wait_seconds = wait_seconds
        self._retry_seconds = retry_seconds
        self._short_since: float | None = None
        self._is_repairing = False

    @property
    def held_revision(self) -> Revision:
        """Return the revision that this node's disk holds."""
        return self._replica.revision

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
        """Act on what the service says; return whether this node's disk took it first."""
        after = self._applied.state.copy()
        after.apply(update)
        try:
            await self._replica.store(ReplicaStore(update=after.snapshot()))
        except OSError as error:
            log_event("configuration_store_failed", level="ERROR", detail=str(error))
            return False
        self._put_in_force(update)
        log_event("configuration_taken_alone", level="WARNING", revision=update.revision)
        if not self._is_repairing:
            self._is_repairing = True
            self._task_owner.spawn(self._make_durable(), "configuration lone repair")
        return True

    async def _make_durable(self) -> None:
        """Have a majority of the replicas store what this node took alone."""
        while not self._applied.durable:
            held = self._applied.state.snapshot()
            try:
                await self._replicas.store(self._applied.state, held)
            except ReplicaMajorityError as error:
                log_event("configuration_not_durable", level="WARNING", detail=str(error))
                share = self._generator.uniform(SHORTEST_RETRY_SHARE, 1.0)
                await self._clock.sleep(share * self._retry_seconds)
                continue
            self.note_majority()
            self._applied.mark_durable(held.revision)
        self._is_repairing = False
        self._on_durable()
