"""Reconciles the set of the configuration's replicas with the live nodes that have disks."""

import random
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.configuration.applied import AppliedConfiguration
from drumbay.configuration.messages import NO_REVISION, REPLICA_SET_KEY, PeerView
from drumbay.configuration.replica_set import plan_replica_set
from drumbay.identifiers import NodeId, Revision
from drumbay.kv.interface import KeyValueError, KeyValueStore, ModRevisionIs, Put
from drumbay.observability.logs import log_event

PROPOSAL_PROBABILITY = 0.25
"""Probability that a watcher proposes in one round; it reduces conflicts between watchers."""

MIN_REPLICAS = 3
"""The smallest set whose majority survives the loss of one replica."""


class ReplicaSetController:
    """Proposes replica sets of live nodes with disks; runs on nodes that watch the service."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        applied: AppliedConfiguration,
        members: Callable[[], tuple[PeerView, ...]],
        generator: random.Random,
    ) -> None:
        """Create a controller without absent replicas.

        Args:
            clock: Time.
            store: The key-value service, to which proposals are written.
            applied: Applied configuration, which includes the replica set.
            members: Returns the live members.
            generator: Source of random choices.
        """
        self._clock = clock
        self._store = store
        self._applied = applied
        self._members = members
        self._generator = generator
        self._absent_since: dict[NodeId, float] = {}

    def is_forming(self) -> bool:
        """Return whether the set is too small or still changing.

        Without a replica set, no node can start during an outage of the key-value service. A
        new cluster therefore forms its set before the next periodic confirmation.
        """
        replica_set = self._applied.state.replica_set
        return len(replica_set.members) < MIN_REPLICAS or bool(replica_set.previous)

    async def propose(self) -> None:
        """Propose a new set, with some probability, if the live nodes with disks have changed."""
        current = self._applied.state.replica_set
        live = sorted(peer.node_id for peer in self._members() if peer.has_data_folder)
        now = self._clock.monotonic()
        self._absent_since = {
            node_id: self._absent_since.get(node_id, now)
            for node_id in current.members
            if node_id not in live
        }
        absent = {node_id: now - since for node_id, since in self._absent_since.items()}
        planned = plan_replica_set(current, live, absent)
        if planned is None or self._generator.random() > PROPOSAL_PROBABILITY:
            return
        entry = self._applied.state.entry(REPLICA_SET_KEY)
        expected = NO_REVISION if entry is None else entry.mod_revision
        try:
            await self._store.transact(
                (ModRevisionIs(key=REPLICA_SET_KEY, mod_revision=Revision(expected)),),
                (Put(key=REPLICA_SET_KEY, value=msgspec.msgpack.encode(planned)),),
            )
        except KeyValueError as error:
            # NOTE: a lost response needs no read-back: the watch delivers a committed write.
            log_event("configuration_replicas_change_failed", level="WARNING", error=error.code)
