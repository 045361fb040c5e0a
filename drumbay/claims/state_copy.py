"""Copies the records of one epoch to the members of the next one.

Most records are copied before the epoch is sealed, while claims are still granted. Each source
then keeps a journal of the keys that change, and only these are copied after the seal. Copying in
advance is safe: a record that is merged early can only make a member refuse more claims.
"""

import asyncio
from random import Random
from typing import Protocol

import msgspec

from drumbay.claims.messages import (
    ActivateReplica,
    ExportRecords,
    ImportRecords,
    RecordsExported,
    StartJournal,
)
from drumbay.claims.replica_set import ReplicaMember, ReplicaSet
from drumbay.comm.interface import Message, Transport, TransportError
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import Epoch
from drumbay.storage.interface import DURABLE_REPLY_TIMEOUT_SECONDS, StoreId

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call that is answered from memory."""

JOURNAL_ID_BITS = 64


class EpochStateCopier(Protocol):
    """Copies other state that is stored on the members to those of the next epoch."""

    async def copy(
        self, sources: tuple[ReplicaMember, ...], target: tuple[ReplicaMember, ...]
    ) -> None:
        """Copy the state of the sources to the target members; idempotent.

        It is called once before the seal, to make the copy after the seal short, and once
        with the sealed members as sources.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        ...


class UnexpectedReplyError(UnavailableError):
    """A replica replied with an unexpected message type."""

    code = "unexpected_reply"


class _PreliminaryCopy(msgspec.Struct, frozen=True, kw_only=True):
    """A full copy made before the seal.

    Attributes:
        epoch: Epoch whose records were copied.
        target: Stores that received them.
        journal_id: Journal of the keys that changed at the sources since then.
        sources: Stores that keep the journal.
    """

    epoch: Epoch
    target: tuple[StoreId, ...]
    journal_id: str
    sources: tuple[StoreId, ...]


class StateCopier:
    """Copies records between replicas on behalf of one coordinator."""

    def __init__(self, transport: Transport, random: Random) -> None:
        """Create a copier without a preliminary copy."""
        self._transport = transport
        self._random = random
        self._preliminary_copy: _PreliminaryCopy | None = None
        self._failed_targets: dict[StoreId, None] = {}

    def pop_failed_targets(self) -> tuple[StoreId, ...]:
        """Return and clear the stores that failed a request since the last call."""
        failed = tuple(self._failed_targets)
        self._failed_targets = {}
        return failed

    async def copy_preliminary(
        self, current: ReplicaSet, target: tuple[ReplicaMember, ...]
    ) -> None:
        """Copy the records of every reachable member before the seal.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        self._preliminary_copy = None
        journal_id = f"{self._random.getrandbits(JOURNAL_ID_BITS):x}@{self._transport.address.host}"
        sources = [each for each in current.members if await self._start_journal(each, journal_id)]
        request = ExportRecords(store_id=StoreId(""), epoch=current.epoch, preliminary=True)
        for source in sources:
            await self._copy_from(source, target, request)
        self._preliminary_copy = _PreliminaryCopy(
            epoch=current.epoch,
            target=tuple(member.store_id for member in target),
            journal_id=journal_id,
            sources=tuple(member.store_id for member in sources),
        )

    async def _start_journal(self, source: ReplicaMember, journal_id: str) -> bool:
        """Start the change journal of a member; return whether it succeeded."""
        try:
            await self._call(source, StartJournal(store_id=source.store_id, journal_id=journal_id))
        except TransportError:
            return False
        return True

    async def copy(self, sources: tuple[ReplicaMember, ...], current: ReplicaSet) -> None:
        """Copy the records that target members may lack from sealed members.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        for source in sources:
            request = ExportRecords(
                store_id=StoreId(""),
                epoch=current.epoch,
                journal_id=self._journal_to_copy(source, current),
            )
            await self._copy_from(source, current.target, request)

    def _journal_to_copy(self, source: ReplicaMember, current: ReplicaSet) -> str:
        """Return the journal to copy from a source; empty if all records must be copied."""
        previous = self._preliminary_copy
        target = tuple(member.store_id for member in current.target)
        if previous is None or previous.epoch != current.epoch:
            return ""
        if previous.target != target or source.store_id not in previous.sources:
            return ""
        return previous.journal_id

    async def _copy_from(
        self, source: ReplicaMember, target: tuple[ReplicaMember, ...], first: ExportRecords
    ) -> None:
        """Send every page of a source's export to every other target member."""
        next_epoch = Epoch(first.epoch + 1)
        others = [each for each in target if each.store_id != source.store_id]
        request = msgspec.structs.replace(first, store_id=source.store_id)
        while True:
            page = await self._call(source, request)
            if not isinstance(page, RecordsExported):
                raise UnexpectedReplyError(type(page).__name__)
            await asyncio.gather(*(self._import(each, next_epoch, page) for each in others))
            if page.complete:
                return
            request = msgspec.structs.replace(request, after_key=page.records[-1].key)

    async def _import(
        self, target: ReplicaMember, next_epoch: Epoch, page: RecordsExported
    ) -> None:
        if not page.records:
            return
        await self._call_target(
            target,
            ImportRecords(store_id=target.store_id, epoch=next_epoch, records=page.records),
        )

    async def activate(self, target: ReplicaMember, next_epoch: Epoch) -> None:
        """Start the next epoch on a member that has every record.

        Raises:
            UnavailableError: The member failed.
        """
        await self._call_target(target, ActivateReplica(store_id=target.store_id, epoch=next_epoch))

    async def _call_target(self, target: ReplicaMember, request: Message) -> None:
        try:
            await self._call(target, request, timeout_seconds=DURABLE_REPLY_TIMEOUT_SECONDS)
        except TransportError:
            self._failed_targets[target.store_id] = None
            raise

    async def _call(
        self,
        member: ReplicaMember,
        request: Message,
        *,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Message:
        return await self._transport.call(member.address, request, timeout_seconds=timeout_seconds)
