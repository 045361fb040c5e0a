"""Proposes the set of the configuration's replicas as disks come and go."""

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
"""Every watcher may propose, as any of them may be cut off from the service: chance keeps them
apart, and compare-and-swap lets one win."""

FEWEST_REPLICAS = 3
"""A majority of fewer does not survive the loss of one."""


class ReplicaSetKeeper:
    """Keeps the set to the live nodes with disks, on a node that watches the service."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        applied: AppliedConfiguration,
        members: Callable[[], tuple[PeerView, ...]],
        generator: random.Random,
    ) -> None:
        """Create a keeper that has missed nobody.

        Args:
            clock: Time.
            store: The key-value service, which takes proposals.
            applied: What is in force, the set included.
            members: Returns the live members.
            generator: Source of chance.
        """
        self._clock = clock
        self._store = store
        self._applied = applied
        self._members = members
        self._generator = generator
        self._absent_since: dict[NodeId, float] = {}

    def is_forming(self) -> bool:
        """Return whether a failure now would find too few replicas.

        Without a replica set nobody can start during an outage of the key-value service, so
        the set of a young cluster does not wait for the next confirmation.
        """
        replica_set = self._applied.state.replica_set
        return len(replica_set.members) < FEWEST_REPLICAS or bool(replica_set.previous)

    async def propose(self) -> None:
        """Propose a new set when disks came or went, at times."""
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
            # NOTE: a lost answer needs no settling: the watch brings what was written.
            log_event("configuration_replicas_change_failed", level="WARNING", error=error.code)
