"""Finds the decision records of a subject on the nodes that hold them.

There is no central index. The id of a request names the node that decided on it; samples
and back ends are decided on by several nodes, so all live ones are asked.
"""

import asyncio
from collections.abc import Callable

from drumbay.api.schema import ExplanationBody
from drumbay.clock import Clock
from drumbay.comm.interface import Address, Transport, TransportError
from drumbay.configuration.messages import PeerView
from drumbay.explain.messages import ExplainReply, ExplainRequest
from drumbay.explain.records import DecisionRecord, SubjectKind
from drumbay.explain.store import DecisionStore
from drumbay.identifiers import NodeId
from drumbay.requests.identity import node_id_of

CALL_TIMEOUT_SECONDS = 2.0
MAXIMUM_CONCURRENT_CALLS = 32


class ExplainService:
    """Answers operators' questions about decisions.

    Args:
        clock: Time.
        transport: Exchange with other nodes.
        node_id: This node.
        members: Returns the live nodes, this one included.
        store: This node's own records.
    """

    def __init__(
        self,
        clock: Clock,
        transport: Transport,
        node_id: NodeId,
        members: Callable[[], tuple[PeerView, ...]],
        store: DecisionStore,
    ) -> None:
        """Create a service; it answers other nodes after :meth:`start`."""
        self._clock = clock
        self._transport = transport
        self._node_id = node_id
        self._members = members
        self._store = store

    def start(self) -> None:
        """Answer the questions of other nodes."""
        self._transport.handle_calls(ExplainRequest, self._handle_request)

    async def _handle_request(self, request: ExplainRequest) -> ExplainReply:
        return ExplainReply(records=self._store.find(request.subject_kind, request.subject_id))

    async def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        """Return the records of a subject from every node that may hold some."""
        records = list(self._store.find(kind, subject_id))
        peers = self._peers_to_ask(kind, subject_id)
        limit = asyncio.Semaphore(MAXIMUM_CONCURRENT_CALLS)
        request = ExplainRequest(subject_kind=kind, subject_id=subject_id)
        replies = await asyncio.gather(*(self._ask(peer, request, limit) for peer in peers))
        answered = [reply for reply in replies if reply is not None]
        for reply in answered:
            records.extend(reply)
        records.sort(key=lambda record: record.wall_time_seconds)
        return ExplanationBody(
            records=tuple(records),
            nodes_asked=len(peers) + 1,
            nodes_answered=len(answered) + 1,
        )

    def _peers_to_ask(self, kind: SubjectKind, subject_id: str) -> tuple[Address, ...]:
        others = [peer for peer in self._members() if peer.node_id != self._node_id]
        holder = node_id_of(subject_id) if kind is SubjectKind.REQUEST else None
        if holder is not None:
            others = [peer for peer in others if peer.node_id == holder]
        return tuple(peer.address for peer in others)

    async def _ask(
        self, peer: Address, request: ExplainRequest, limit: asyncio.Semaphore
    ) -> tuple[DecisionRecord, ...] | None:
        async with limit:
            try:
                reply = await self._transport.call(
                    peer, request, timeout_seconds=CALL_TIMEOUT_SECONDS
                )
            except TransportError:
                return None
        return reply.records if isinstance(reply, ExplainReply) else None
