"""Carries out changes of the replica set.

Any number of coordinators may run. A compare-and-swap on the key-value record decides which one
starts and which one completes a change. All steps in between are idempotent, so that another
coordinator can take over at any point.
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
from drumbay.claims.state_copy import EpochStateCopier, StateCopier
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
"""Timeout of a call that is answered from memory, and of the wait for unresponsive members."""

TAKEOVER_DELAY_SECONDS = 5.0
"""How long each next coordinator waits before it takes over a change."""


class ReplicaCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """A live node with a disk, which may become a member."""

    node_id: NodeId
    address: Address
    zone: str


class SealingIncompleteError(UnavailableError):
    """Fewer than a majority of the old members could be sealed; the change is retried."""

    code = "sealing_incomplete"


CandidatesView = Callable[[], tuple[ReplicaCandidate, ...]]


class Reconfigurator:
    """Probes the members and replaces those that failed or lost their disk."""

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
        other_copiers: tuple[EpochStateCopier, ...] = (),
    ) -> None:
        """Create a coordinator.

        Args:
            node_id: This node; coordinators act in the order of their node ids.
            clock: Time of this process.
            transport: Sends calls to the replicas.
            key_value_store: Holds the replica set.
            random: Source of randomness for jitter.
            watcher: The node's view of the replica set.
            candidates: Returns the live nodes that have a disk.
            policy: When to replace members.
            other_copiers: Copiers of other state that is stored on the members.
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
        self._other_copiers = other_copiers
        self._change_due_since: float | None = None
        self._change_due_revision = Revision(0)
        # The change started by this coordinator, which it finishes without delay.
        self._started_revision: Revision | None = None

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
        """Probe the stores once, and carry out a change if one is needed.

        Raises:
            UnavailableError: A replica or the key-value store was not available; the next
                step retries.
        """
        versioned = self._watcher.versioned
        if versioned is None:
            return
        present = await self._probe(versioned.replica_set)
        target = self._planner.plan(versioned.replica_set, present, self._clock.monotonic())
        if target is not None:
            await self._start_change(versioned, target, present)
        elif versioned.replica_set is None or versioned.replica_set.is_active:
            self._change_due_since = None
        elif self._should_finish(versioned.mod_revision, present):
            await self._finish_change(versioned.replica_set, versioned.mod_revision)

    def _should_finish(self, mod_revision: Revision, present: tuple[ReplicaMember, ...]) -> bool:
        """Return whether to finish the change that is in progress."""
        if mod_revision == self._started_revision:
            return True
        return self._is_own_turn(mod_revision, present, extra_turns=1)

    def _is_own_turn(
        self,
        mod_revision: Revision,
        present: tuple[ReplicaMember, ...],
        *,
        extra_turns: int,
    ) -> bool:
        """Return whether this coordinator should carry out the pending change.

        Coordinators wait longer the later they come in the order of node ids, so that usually
        only one copies the records. The compare-and-swap keeps it safe if two act.
        """
        now = self._clock.monotonic()
        if self._change_due_since is None or mod_revision != self._change_due_revision:
            self._change_due_since = now
            self._change_due_revision = mod_revision
        preceding = sum(1 for member in present if member.node_id < self._node_id)
        turns = preceding + extra_turns
        return now - self._change_due_since >= turns * TAKEOVER_DELAY_SECONDS

    async def _start_change(
        self,
        versioned: VersionedReplicaSet,
        target: tuple[ReplicaMember, ...],
        present: tuple[ReplicaMember, ...],
    ) -> None:
        """Copy the state in advance, then start the change and finish it."""
        if not self._is_own_turn(versioned.mod_revision, present, extra_turns=0):
            return
        replica_set = versioned.replica_set
        if replica_set is not None and replica_set.is_active:
            await self._copier.copy_preliminary(replica_set, target)
            old_members = tuple(each for each in present if each in replica_set.members)
            await self._copy_other_state(old_members, target)
        changed = begin_change(replica_set, target)
        await self._compare_and_swap(versioned.mod_revision, changed)
        started = self._watcher.versioned
        if started is not None and started.replica_set == changed:
            self._started_revision = started.mod_revision
            await self._finish_change(changed, started.mod_revision)

    async def _compare_and_swap(self, mod_revision: Revision, changed: ReplicaSet) -> None:
        """Write the record unless it was changed in between; then read it again."""
        compare = ModRevisionIs(key=REPLICA_SET_KEY, mod_revision=mod_revision)
        put = Put(key=REPLICA_SET_KEY, value=encode_replica_set(changed))
        # If the outcome is unknown, the read below shows whether the write took effect.
        with suppress(KeyValueOutcomeUnknownError):
            await self._key_value_store.transact((compare,), (put,))
        await self._watcher.refresh()

    async def _probe(self, current: ReplicaSet | None) -> tuple[ReplicaMember, ...]:
        """Return every store that responds, sorted by node."""
        by_node = {each.node_id: each for each in self._candidates()}
        for member in () if current is None else current.members + current.target:
            member_candidate = ReplicaCandidate(
                node_id=member.node_id, address=member.address, zone=member.zone
            )
            by_node.setdefault(member.node_id, member_candidate)
        ordered = [by_node[node_id] for node_id in sorted(by_node)]
        responses = await asyncio.gather(*(self._describe(candidate) for candidate in ordered))
        failed = self._copier.pop_failed_targets()
        return tuple(each for each in responses if each is not None and each.store_id not in failed)

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
        """Copy the records of sealed members to every target member."""
        await self._copier.copy(sources, current)
        await self._copy_other_state(sources, current.target)

    async def _copy_other_state(
        self, sources: tuple[ReplicaMember, ...], target: tuple[ReplicaMember, ...]
    ) -> None:
        for copier in self._other_copiers:
            await copier.copy(sources, target)

    async def _seal_members(self, current: ReplicaSet) -> tuple[ReplicaMember, ...]:
        """Seal every reachable member and return those sealed.

        Raises:
            SealingIncompleteError: Fewer than a majority were sealed.
        """
        if not current.members:
            return ()
        seal_tasks = [
            asyncio.ensure_future(self._seal(member, current.epoch)) for member in current.members
        ]
        try:
            # No claim is granted during the seal, so slow members are waited for only briefly
            # unless they are needed for a majority.
            with suppress(DeadlineExceededError):
                await self._clock.wait_for(asyncio.wait(seal_tasks), CALL_TIMEOUT_SECONDS)
            while len(_sealed_members(seal_tasks)) < current.majority:
                pending = [each for each in seal_tasks if not each.done()]
                if not pending:
                    break
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in seal_tasks:
                each.cancel()
        sealed = _sealed_members(seal_tasks)
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


def _sealed_members(
    seal_tasks: Sequence[asyncio.Future[ReplicaMember | None]],
) -> tuple[ReplicaMember, ...]:
    """Return the members whose sealing succeeded."""
    results = [each.result() for each in seal_tasks if each.done() and not each.cancelled()]
    return tuple(each for each in results if each is not None)
