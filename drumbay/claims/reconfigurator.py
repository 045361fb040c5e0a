"""Carries out changes of the replica set.

Any number of coordinators may run. The compare-and-swap on the key-value record decides who
starts and who completes a change; every step between is idempotent, so that another
coordinator can take over anywhere.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from random import Random

import msgspec

from drumbay.claims.messages import DescribeReplica, ReplicaDescription, SealReplica
from drumbay.claims.replacement import ReplacementPlanner, ReplacementPolicy
from drumbay.claims.replica_set import (
    REPLICA_SET_KEY,
    ReplicaMember,
    ReplicaSet,
    VersionedReplicaSet,
    begin_change,
    complete_change,
    encode_replica_set,
)
from drumbay.claims.replica_set_watcher import ReplicaSetWatcher
from drumbay.claims.state_copy import EpochStatePart, StateCopier
from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport, TransportError
from drumbay.exceptions import DeadlineExceededError, UnavailableError
from drumbay.identifiers import Epoch, NodeId, Revision
from drumbay.kv.interface import (
    KeyValueOutcomeUnknownError,
    KeyValueStore,
    ModRevisionIs,
    Put,
)
from drumbay.observability.logs import log_event
from drumbay.storage.interface import DURABLE_REPLY_TIMEOUT_SECONDS

PROBE_INTERVAL_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 2.0
"""Time limit of a call that is answered from memory, and the wait for members that are silent."""

TURN_SECONDS = 5.0
"""How long a coordinator leaves a change to the one before it."""


class ReplicaCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """A live node that has a disk."""

    node_id: NodeId
    address: Address
    zone: str


class SealingIncompleteError(UnavailableError):
    """Fewer than a majority of the old members could be sealed; the change must wait."""

    code = "sealing_incomplete"


CandidatesView = Callable[[], tuple[ReplicaCandidate, ...]]


class Reconfigurator:
    """Watches the members and replaces those that are dead or lost their disk."""

    def __init__(
        self,
        *,
        node_id: NodeId,
        clock: Clock,
        transport: Transport,
        key_value_store: KeyValueStore,
        random: Random,
        watcher: ReplicaSetWatcher,
        candidates: CandidatesView,
        policy: ReplacementPolicy,
        other_parts: tuple[EpochStatePart, ...] = (),
    ) -> None:
        """Create a coordinator.

        Args:
            node_id: This node; coordinators act in the order of their nodes.
            clock: Time of this process.
            transport: Where replicas are reached.
            key_value_store: Holds the replica set.
            random: Source of jitter.
            watcher: The node's view of the replica set.
            candidates: Returns the live nodes that have a disk.
            policy: When to change the set.
            other_parts: State beside the claims that the members hold.
        """
        self._node_id = node_id
        self._clock = clock
        self._transport = transport
        self._key_value_store = key_value_store
        self._random = random
        self._watcher = watcher
        self._candidates = candidates
        self._planner = ReplacementPlanner(policy)
        self._copier = StateCopier(transport, random)
        self._other_parts = other_parts
        self._due_since: float | None = None
        self._due_revision = Revision(0)
        # The change that this coordinator announced; it does not wait for its turn there.
        self._announced_revision: Revision | None = None

    async def run(self) -> None:
        """Check the members at intervals until cancelled."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5))
            try:
                await self.step()
            except UnavailableError as error:
                log_event(
                    "replica_set_change_failed",
                    level="WARNING",
                    code=error.code,
                    detail=str(error),
                )

    async def step(self) -> None:
        """Probe the stores once, and carry out a change if one is due.

        Raises:
            UnavailableError: A replica or the key-value service could not be used; the next
                step tries again.
        """
        versioned = self._watcher.versioned
        if versioned is None:
            return
        present = await self._probe(versioned.replica_set)
        target = self._planner.plan(versioned.replica_set, present, self._clock.monotonic())
        if target is not None:
            await self._start_change(versioned, target, present)
        elif versioned.replica_set is None or versioned.replica_set.is_active:
            self._due_since = None
        elif self._should_finish(versioned.mod_revision, present):
            await self._finish_change(versioned.replica_set, versioned.mod_revision)

    def _should_finish(self, mod_revision: Revision, present: tuple[ReplicaMember, ...]) -> bool:
        """Return whether to finish the change that is under way."""
        if mod_revision == self._announced_revision:
            return True
        return self._is_my_turn(mod_revision, present, positions_before_first=1)

    def _is_my_turn(
        self,
        mod_revision: Revision,
        present: tuple[ReplicaMember, ...],
        *,
        positions_before_first: int,
    ) -> bool:
        """Return whether this coordinator should act on what is due.

        Coordinators take turns by node, so that as a rule only one copies the records. The
        compare-and-swap makes it safe for two to act.
        """
        now = self._clock.monotonic()
        if self._due_since is None or mod_revision != self._due_revision:
            self._due_since = now
            self._due_revision = mod_revision
        before = sum(1 for member in present if member.node_id < self._node_id)
        turns = before + positions_before_first
        return now - self._due_since >= turns * TURN_SECONDS

    async def _start_change(
        self,
        versioned: VersionedReplicaSet,
        target: tuple[ReplicaMember, ...],
        present: tuple[ReplicaMember, ...],
    ) -> None:
        """Copy early, announce the change and finish it at once."""
        if not self._is_my_turn(versioned.mod_revision, present, positions_before_first=0):
            return
        replica_set = versioned.replica_set
        if replica_set is not None and replica_set.is_active:
            await self._copier.prepare(replica_set, target)
            old_members = tuple(each for each in present if each in replica_set.members)
            await self._copy_other_parts(old_members, target)
        changed = begin_change(replica_set, target)
        await self._compare_and_swap(versioned.mod_revision, changed)
        announced = self._watcher.versioned
        if announced is not None and announced.replica_set == changed:
            self._announced_revision = announced.mod_revision
            await self._finish_change(changed, announced.mod_revision)

    async def _compare_and_swap(self, mod_revision: Revision, changed: ReplicaSet) -> None:
        """Write a record unless it was changed meanwhile; then learn what is there now."""
        compare = ModRevisionIs(key=REPLICA_SET_KEY, mod_revision=mod_revision)
        put = Put(key=REPLICA_SET_KEY, value=encode_replica_set(changed))
        # After an unknown outcome the read below tells whether the write took effect.
        with suppress(KeyValueOutcomeUnknownError):
            await self._key_value_store.transact((compare,), (put,))
        await self._watcher.refresh()

    async def _probe(self, current: ReplicaSet | None) -> tuple[ReplicaMember, ...]:
        """Return every store that answers, sorted by node."""
        by_node = {each.node_id: each for each in self._candidates()}
        for member in () if current is None else current.members + current.target:
            known = ReplicaCandidate(
                node_id=member.node_id, address=member.address, zone=member.zone
            )
            by_node.setdefault(member.node_id, known)
        ordered = [by_node[node_id] for node_id in sorted(by_node)]
        found = await asyncio.gather(*(self._describe(candidate) for candidate in ordered))
        failed = self._copier.take_failed_targets()
        return tuple(each for each in found if each is not None and each.store_id not in failed)

    async def _describe(self, candidate: ReplicaCandidate) -> ReplicaMember | None:
        try:
            reply = await self._call(candidate.address, DescribeReplica())
        except TransportError:
            return None
        if not isinstance(reply, ReplicaDescription) or reply.node_id != candidate.node_id:
            return None
        return ReplicaMember(
            node_id=reply.node_id,
            store_id=reply.store_id,
            address=candidate.address,
            zone=candidate.zone,
        )

    async def _call(self, peer: Address, request: Message) -> Message:
        return await self._transport.call(peer, request, timeout_seconds=CALL_TIMEOUT_SECONDS)

    async def _finish_change(self, current: ReplicaSet, mod_revision: Revision) -> None:
        """Seal the old members, copy their records and start the next epoch."""
        sealed = await self._seal_members(current)
        next_epoch = Epoch(current.epoch + 1)
        await self.copy_records(sealed, current)
        await asyncio.gather(
            *(self._copier.activate(target, next_epoch) for target in current.target)
        )
        await self._compare_and_swap(mod_revision, complete_change(current))

    async def copy_records(self, sources: tuple[ReplicaMember, ...], current: ReplicaSet) -> None:
        """Give the records of sealed members to every member of the target."""
        await self._copier.copy(sources, current)
        await self._copy_other_parts(sources, current.target)

    async def _copy_other_parts(
        self, sources: tuple[ReplicaMember, ...], target: tuple[ReplicaMember, ...]
    ) -> None:
        for part in self._other_parts:
            await part.copy(sources, target)

    async def _seal_members(self, current: ReplicaSet) -> tuple[ReplicaMember, ...]:
        """Seal every member that can be reached; return those.

        Raises:
            SealingIncompleteError: They are no majority.
        """
        if not current.members:
            return ()
        sealing = [
            asyncio.ensure_future(self._seal(member, current.epoch)) for member in current.members
        ]
        try:
            # No claim is granted meanwhile: a member that is silent is not waited for as long as
            # one whose disk is busy may take, unless it is needed.
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(asyncio.wait(sealing), CALL_TIMEOUT_SECONDS)
            while len(_sealed_of(sealing)) < current.majority:
                under_way = [each for each in sealing if not each.done()]
                if not under_way:
                    break
                await asyncio.wait(under_way, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in sealing:
                each.cancel()
        sealed = _sealed_of(sealing)
        if len(sealed) < current.majority:
            raise SealingIncompleteError(f"{len(sealed)} of {len(current.members)} sealed")
        return sealed

    async def _seal(self, member: ReplicaMember, epoch: Epoch) -> ReplicaMember | None:
        try:
            await self._transport.call(
                member.address,
                SealReplica(store_id=member.store_id, epoch=epoch),
                timeout_seconds=DURABLE_REPLY_TIMEOUT_SECONDS,
            )
        except TransportError:
            return None
        return member


def _sealed_of(
    sealing: Sequence[asyncio.Future[ReplicaMember | None]],
) -> tuple[ReplicaMember, ...]:
    """Return the members that are known to be sealed."""
    results = [each.result() for each in sealing if each.done() and not each.cancelled()]
    return tuple(each for each in results if each is not None)
