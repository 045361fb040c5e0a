"""Copies the records of one epoch to the members of the next one.

Most records are copied before the epoch is sealed, while claims go on. Each source notes the
keys that change from then on, and only these are copied while no claim can be granted. Copying
early is safe: a record that is merged too soon can only make a member refuse more claims.
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
"""Time limit of a call that is answered from memory."""

JOURNAL_ID_BITS = 64


class EpochStatePart(Protocol):
    """Other state that lives on the members and must reach the next epoch."""

    async def copy(
        self, sources: tuple[ReplicaMember, ...], target: tuple[ReplicaMember, ...]
    ) -> None:
        """Bring the state of the sources to the target members; may be repeated.

        It is called once before the seal, to make the copy after the seal short, and once
        with the sealed members as sources.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        ...


class UnexpectedReplyError(UnavailableError):
    """A replica answered an order with a message of another kind."""

    code = "unexpected_reply"


class _Preparation(msgspec.Struct, frozen=True, kw_only=True):
    """A complete copy made before the seal.

    Attributes:
        epoch: Epoch whose records were copied.
        target: Stores that have them.
        journal_id: Journal that notes what changed at the sources since then.
        sources: Stores that keep the journal.
    """

    epoch: Epoch
    target: tuple[StoreId, ...]
    journal_id: str
    sources: tuple[StoreId, ...]


class StateCopier:
    """Moves records between replicas on behalf of one coordinator."""

    def __init__(self, transport: Transport, random: Random) -> None:
        """Create a copier that has prepared nothing."""
        self._transport = transport
        self._random = random
        self._preparation: _Preparation | None = None
        self._failed_targets: dict[StoreId, None] = {}

    def take_failed_targets(self) -> tuple[StoreId, ...]:
        """Return the stores that refused or missed an order since the last call."""
        failed = tuple(self._failed_targets)
        self._failed_targets = {}
        return failed

    async def prepare(self, current: ReplicaSet, target: tuple[ReplicaMember, ...]) -> None:
        """Copy the records of every member that can be reached, before the seal.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        self._preparation = None
        journal_id = f"{self._random.getrandbits(JOURNAL_ID_BITS):x}@{self._transport.address.host}"
        sources = [each for each in current.members if await self._journal(each, journal_id)]
        request = ExportRecords(store_id=StoreId(""), epoch=current.epoch, preliminary=True)
        for source in sources:
            await self._copy_from(source, target, request)
        self._preparation = _Preparation(
            epoch=current.epoch,
            target=tuple(member.store_id for member in target),
            journal_id=journal_id,
            sources=tuple(member.store_id for member in sources),
        )

    async def _journal(self, source: ReplicaMember, journal_id: str) -> bool:
        """Let a member note its changes; return whether it does."""
        try:
            await self._call(source, StartJournal(store_id=source.store_id, journal_id=journal_id))
        except TransportError:
            return False
        return True

    async def copy(self, sources: tuple[ReplicaMember, ...], current: ReplicaSet) -> None:
        """Copy from sealed members what the target members may lack.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        for source in sources:
            request = ExportRecords(
                store_id=StoreId(""),
                epoch=current.epoch,
                journal_id=self._journal_of(source, current),
            )
            await self._copy_from(source, current.target, request)

    def _journal_of(self, source: ReplicaMember, current: ReplicaSet) -> str:
        """Return the journal that suffices for a source; empty if all must be copied."""
        preparation = self._preparation
        target = tuple(member.store_id for member in current.target)
        if preparation is None or preparation.epoch != current.epoch:
            return ""
        if preparation.target != target or source.store_id not in preparation.sources:
            return ""
        return preparation.journal_id

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
        await self._order_target(
            target,
            ImportRecords(store_id=target.store_id, epoch=next_epoch, records=page.records),
        )

    async def activate(self, target: ReplicaMember, next_epoch: Epoch) -> None:
        """Let a member that has every record take part in the next epoch.

        Raises:
            UnavailableError: The member failed.
        """
        await self._order_target(
            target, ActivateReplica(store_id=target.store_id, epoch=next_epoch)
        )

    async def _order_target(self, target: ReplicaMember, request: Message) -> None:
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
