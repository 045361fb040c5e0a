"""Copies stream logs to the members of the next epoch on behalf of a coordinator.

An entry that was chosen in the old epoch is stored by a majority of its members, and therefore by
a sealed one. After the copy, every new member has it or the same entry with a higher ballot
(Lamport, "Paxos Made Simple" (2001), section 2.2).
"""

import asyncio

import msgspec

from drumbay.claims.replica_set import ReplicaMember
from drumbay.claims.state_copy import UnexpectedReplyError
from drumbay.comm.interface import Message, Transport
from drumbay.delivery.messages import NO_BALLOT
from drumbay.delivery.transfer_messages import (
    AdoptStream,
    EntrySummary,
    ListStreams,
    ReadStream,
    StreamRead,
    StreamsListed,
    StreamSummary,
)
from drumbay.storage.interface import DURABLE_REPLY_TIMEOUT_SECONDS

CALL_TIMEOUT_SECONDS = 5.0
"""Timeout of a call that is answered from memory; a page may be large."""

MAX_PAGE_BYTES = 1024 * 1024
"""A page ends with the entry that reaches this size."""


class _MissingParts(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of one stream that a target lacks."""

    entries: tuple[EntrySummary, ...]
    snapshot: bool
    promise: bool


class StreamStateCopier:
    """Copies the parts of streams that each target lacks, so that a repeated copy is fast."""

    def __init__(self, transport: Transport) -> None:
        """Create a copier that calls replicas through ``transport``."""
        self._transport = transport

    async def copy(
        self, sources: tuple[ReplicaMember, ...], target: tuple[ReplicaMember, ...]
    ) -> None:
        """Copy every stream of the sources to every target member.

        Raises:
            UnavailableError: A member failed during the copy.
        """
        for source in sources:
            others = [member for member in target if member.store_id != source.store_id]
            await asyncio.gather(*(self._copy_to(source, other) for other in others))

    async def _copy_to(self, source: ReplicaMember, target: ReplicaMember) -> None:
        existing = {summary.stream: summary for summary in await self._list(target)}
        for summary in await self._list(source):
            missing_parts = _missing_parts(summary, existing.get(summary.stream))
            if missing_parts.entries or missing_parts.snapshot or missing_parts.promise:
                await self._copy_stream(source, target, summary, missing_parts)

    async def _copy_stream(
        self,
        source: ReplicaMember,
        target: ReplicaMember,
        summary: StreamSummary,
        missing_parts: _MissingParts,
    ) -> None:
        with_snapshot = missing_parts.snapshot
        for positions in _pages(missing_parts.entries):
            request = ReadStream(
                stream=summary.stream, positions=positions, with_snapshot=with_snapshot
            )
            reply = await self._call(source, request)
            if not isinstance(reply, StreamRead):
                raise UnexpectedReplyError(type(reply).__name__)
            adopt = AdoptStream(stream=summary.stream, part=reply.part)
            await self._call(target, adopt, timeout_seconds=DURABLE_REPLY_TIMEOUT_SECONDS)
            with_snapshot = False

    async def _list(self, member: ReplicaMember) -> tuple[StreamSummary, ...]:
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


def _missing_parts(source: StreamSummary, target: StreamSummary | None) -> _MissingParts:
    """Return the parts of a source's stream that a target lacks."""
    below_position = source.below_position
    if target is not None:
        below_position = max(below_position, target.below_position)
    existing = {} if target is None else {each.position: each.ballot for each in target.entries}
    return _MissingParts(
        entries=tuple(
            entry
            for entry in source.entries
            if entry.position >= below_position
            and entry.ballot > existing.get(entry.position, NO_BALLOT)
        ),
        snapshot=source.below_position > (0 if target is None else target.below_position),
        promise=target is None or source.promised > target.promised,
    )


def _pages(entries: tuple[EntrySummary, ...]) -> list[tuple[int, ...]]:
    """Split positions into pages; at least one, which carries the promise and the snapshot."""
    pages: list[list[int]] = [[]]
    page_bytes = 0
    for entry in entries:
        if page_bytes >= MAX_PAGE_BYTES:
            pages.append([])
            page_bytes = 0
        pages[-1].append(entry.position)
        page_bytes += entry.size_bytes
    return [tuple(page) for page in pages]
