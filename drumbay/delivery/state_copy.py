"""The coordinator's side: brings stream logs to the members of the next epoch.

An entry that was chosen in the old epoch is held by a majority of its members, and so by a
sealed one. After the copy every new member holds it, or one with a higher ballot that then has
the same content (Lamport, "Paxos Made Simple" (2001), section 2.2).
"""

import asyncio

import msgspec

from drumbay.claims.replica_set import ReplicaMember
from drumbay.claims.state_copy import UnexpectedReplyError
from drumbay.comm.interface import Message, Transport
from drumbay.delivery.messages import NO_BALLOT
from drumbay.delivery.transfer_messages import (
    AdoptStream,
    HeldEntry,
    ListStreams,
    ReadStream,
    StreamHolding,
    StreamRead,
    StreamsListed,
)
from drumbay.storage.interface import DURABLE_REPLY_TIMEOUT_SECONDS

CALL_TIMEOUT_SECONDS = 5.0
"""Time limit of a call that is answered from memory; a page may be large."""

PAGE_BYTES = 1024 * 1024
"""One page ends with the entry that reaches this size."""


class _Missing(msgspec.Struct, frozen=True, kw_only=True):
    """What a target lacks of one stream of a source."""

    entries: tuple[HeldEntry, ...]
    snapshot: bool
    promise: bool


class StreamStateCopier:
    """Copies only what each target lacks, so that a repeated copy is short."""

    def __init__(self, transport: Transport) -> None:
        """Reach replicas through ``transport``."""
        self._transport = transport

    async def copy(
        self, sources: tuple[ReplicaMember, ...], target: tuple[ReplicaMember, ...]
    ) -> None:
        """Bring every stream of the sources to every target member.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        for source in sources:
            others = [member for member in target if member.store_id != source.store_id]
            await asyncio.gather(*(self._copy_to(source, other) for other in others))

    async def _copy_to(self, source: ReplicaMember, target: ReplicaMember) -> None:
        held = {holding.stream: holding for holding in await self._list(target)}
        for holding in await self._list(source):
            missing = _missing(holding, held.get(holding.stream))
            if missing.entries or missing.snapshot or missing.promise:
                await self._copy_stream(source, target, holding, missing)

    async def _copy_stream(
        self,
        source: ReplicaMember,
        target: ReplicaMember,
        holding: StreamHolding,
        missing: _Missing,
    ) -> None:
        with_snapshot = missing.snapshot
        for positions in _pages(missing.entries):
            request = ReadStream(
                stream=holding.stream, positions=positions, with_snapshot=with_snapshot
            )
            reply = await self._call(source, request)
            if not isinstance(reply, StreamRead):
                raise UnexpectedReplyError(type(reply).__name__)
            adopt = AdoptStream(stream=holding.stream, part=reply.part)
            await self._call(target, adopt, timeout_seconds=DURABLE_REPLY_TIMEOUT_SECONDS)
            with_snapshot = False

    async def _list(self, member: ReplicaMember) -> tuple[StreamHolding, ...]:
        reply = await self._call(member, ListStreams())
        if not isinstance(reply, StreamsListed):
            raise UnexpectedReplyError(type(reply).__name__)
        return reply.holdings

    async def _call(
        self,
        member: ReplicaMember,
        request: Message,
        *,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Message:
        return await self._transport.call(member.address, request, timeout_seconds=timeout_seconds)


def _missing(source: StreamHolding, target: StreamHolding | None) -> _Missing:
    """Compare what two replicas hold of one stream."""
    below_position = source.below_position
    if target is not None:
        below_position = max(below_position, target.below_position)
    held = {} if target is None else {each.position: each.ballot for each in target.entries}
    return _Missing(
        entries=tuple(
            entry
            for entry in source.entries
            if entry.position >= below_position
            and entry.ballot > held.get(entry.position, NO_BALLOT)
        ),
        snapshot=source.below_position > (0 if target is None else target.below_position),
        promise=target is None or source.promised > target.promised,
    )


def _pages(entries: tuple[HeldEntry, ...]) -> list[tuple[int, ...]]:
    """Split positions into pages; there is at least one, for the promise and the snapshot."""
    pages: list[list[int]] = [[]]
    page_bytes = 0
    for entry in entries:
        if page_bytes >= PAGE_BYTES:
            pages.append([])
            page_bytes = 0
        pages[-1].append(entry.position)
        page_bytes += entry.size_bytes
    return [tuple(page) for page in pages]
