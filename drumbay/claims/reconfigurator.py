"""Carries out changes of the replica set.

Any number of coordinators may run. The compare-and-swap on the key-value record decides who
starts and who completes a change; every step between is idempotent, so that another
coordinator can take over anywhere.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

import msgspec

from drumbay.claims.messages import (
    ActivateReplica,
    DescribeReplica,
    ExportRecords,
    ImportRecords,
    RecordsExported,
    ReplicaDescription,
    SealReplica,
)
from drumbay.claims.replacement import ReplacementPlanner, ReplacementPolicy
from drumbay.claims.replica_set import (
    REPLICA_SET_KEY,
    ReplicaMember,
    ReplicaSet,
    begin_change,
    complete_change,
    encode_replica_set,
)
from drumbay.claims.replica_set_watcher import ReplicaSetWatcher
from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport, TransportError
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import Epoch, IdempotencyKey, NodeId, Revision
from drumbay.kv.interface import (
    KeyValueOutcomeUnknownError,
    KeyValueStore,
    ModRevisionIs,
    Put,
)
from drumbay.observability.logs import log_event

PROBE_INTERVAL_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 2.0


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
        clock: Clock,
        transport: Transport,
        key_value_store: KeyValueStore,
        random: Random,
        watcher: ReplicaSetWatcher,
        candidates: CandidatesView,
        policy: ReplacementPolicy,
    ) -> None:
        """Create a coordinator.

        Args:
            clock: Time of this process.
            transport: Where replicas are reached.
            key_value_store: Holds the replica set.
            random: Source of jitter.
            watcher: The node's view of the replica set.
            candidates: Returns the live nodes that have a disk.
            policy: When to change the set.
        """
        self._clock = clock
        self._transport = transport
        self._key_value_store = key_value_store
        self._random = random
        self._watcher = watcher
        self._candidates = candidates
        self._planner = ReplacementPlanner(policy)
        # Stores that failed to take the state in the last step count as absent.
        self._failed: dict[NodeId, None] = {}

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
        """Probe the stores once, and start, redirect or finish a change if one is due.

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
            changed = begin_change(versioned.replica_set, target)
            await self._compare_and_swap(versioned.mod_revision, changed)
            return
        replica_set = versioned.replica_set
        if replica_set is not None and not replica_set.is_active:
            await self._finish_change(replica_set, versioned.mod_revision)

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
        failed, self._failed = self._failed, {}
        return tuple(each for each in found if each is not None and each.node_id not in failed)

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
        for source in sealed:
            await self._copy_records(source, current, next_epoch)
        await self._activate_members(current, next_epoch)
        await self._compare_and_swap(mod_revision, complete_change(current))

    async def _seal_members(self, current: ReplicaSet) -> tuple[ReplicaMember, ...]:
        """Seal every member that can be reached; return those.

        Raises:
            SealingIncompleteError: They are no majority.
        """
        results = await asyncio.gather(
            *(self._seal(member, current.epoch) for member in current.members)
        )
        sealed = tuple(each for each in results if each is not None)
        if len(sealed) < current.majority:
            raise SealingIncompleteError(f"{len(sealed)} of {len(current.members)} sealed")
        return sealed

    async def _seal(self, member: ReplicaMember, epoch: Epoch) -> ReplicaMember | None:
        try:
            await self._call(member.address, SealReplica(store_id=member.store_id, epoch=epoch))
        except TransportError:
            return None
        return member

    async def _copy_records(
        self, source: ReplicaMember, current: ReplicaSet, next_epoch: Epoch
    ) -> None:
        """Send every record of a sealed member to every other target member."""
        targets = [each for each in current.target if each.store_id != source.store_id]
        after_key = IdempotencyKey("")
        while True:
            page = await self._export_page(source, current.epoch, after_key)
            await asyncio.gather(*(self._import(each, next_epoch, page) for each in targets))
            if page.complete:
                return
            after_key = page.records[-1].key

    async def _export_page(
        self, source: ReplicaMember, epoch: Epoch, after_key: IdempotencyKey
    ) -> RecordsExported:
        request = ExportRecords(store_id=source.store_id, epoch=epoch, after_key=after_key)
        reply = await self._call(source.address, request)
        assert isinstance(reply, RecordsExported)
        return reply

    async def _import(
        self, target: ReplicaMember, next_epoch: Epoch, page: RecordsExported
    ) -> None:
        if not page.records:
            return
        await self._order_target(
            target,
            ImportRecords(store_id=target.store_id, epoch=next_epoch, records=page.records),
        )

    async def _activate_members(self, current: ReplicaSet, next_epoch: Epoch) -> None:
        requests = (
            self._order_target(target, ActivateReplica(store_id=target.store_id, epoch=next_epoch))
            for target in current.target
        )
        await asyncio.gather(*requests)

    async def _order_target(self, target: ReplicaMember, request: Message) -> None:
        try:
            await self._call(target.address, request)
        except TransportError:
            self._failed[target.node_id] = None
            raise
