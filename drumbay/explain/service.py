"""Collects the decision records of a subject from the nodes that have them.

There is no central index. The id of a request names the node that handled it; decisions about
samples and backends are made on several nodes, so all live nodes are queried.
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
MAX_CONCURRENT_CALLS = 32


class ExplainService:
    """Queries decision records across the cluster.

    Args:
        clock: Source of the current time.
        transport: Messages to and from other nodes.
        node_id: This node.
        members: Returns the live nodes, including this one.
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
        """Create a service; :meth:`start` starts answering other nodes."""
        self._clock = clock
        self._transport = transport
        self._node_id = node_id
        self._members = members
        self._store = store

    def start(self) -> None:
        """Start answering other nodes' queries."""
        self._transport.handle_calls(ExplainRequest, self._handle_request)

    async def _handle_request(self, request: ExplainRequest) -> ExplainReply:
        return ExplainReply(records=self._store.find(request.subject_kind, request.subject_id))

    async def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        """Return the records of a subject from every node that may have some."""
        records = list(self._store.find(kind, subject_id))
        peers = self._peers_to_query(kind, subject_id)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        request = ExplainRequest(subject_kind=kind, subject_id=subject_id)
        replies = await asyncio.gather(*(self._query(peer, request, semaphore) for peer in peers))
        received = [reply for reply in replies if reply is not None]
        for reply in received:
            records.extend(reply)
        records.sort(key=lambda record: record.wall_time_seconds)
        return ExplanationBody(
            records=tuple(records),
            nodes_asked=len(peers) + 1,
            nodes_answered=len(received) + 1,
        )

    def _peers_to_query(self, kind: SubjectKind, subject_id: str) -> tuple[Address, ...]:
        others = [peer for peer in self._members() if peer.node_id != self._node_id]
        handling_node_id = node_id_of(subject_id) if kind is SubjectKind.REQUEST else None
        if handling_node_id is not None:
            others = [peer for peer in others if peer.node_id == handling_node_id]
        return tuple(peer.address for peer in others)

    async def _query(
        self, peer: Address, request: ExplainRequest, semaphore: asyncio.Semaphore
    ) -> tuple[DecisionRecord, ...] | None:
        async with semaphore:
            try:
                reply = await self._transport.call(
                    peer, request, timeout_seconds=CALL_TIMEOUT_SECONDS
                )
            except TransportError:
                return None
        return reply.records if isinstance(reply, ExplainReply) else None
