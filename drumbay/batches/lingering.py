"""Partial texts of ended batch jobs, for reuse by later ones.

Trainers resubmit groups that an ended batch job left unfinished. The node that owned the job lets
their runs continue for ``LINGER_SECONDS``; the owner of the later job requests the texts from
recent owners.
"""

import asyncio
from collections.abc import Iterable

from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.records import BatchSpec, ItemId, PartialText, ResubmittedItems
from drumbay.batches.runner import BatchRunner
from drumbay.comm.network_address import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import PartialTextsReply, TakePartialTexts
from drumbay.peers.transport import PeerClient, PeerUnavailableError

REQUEST_TIMEOUT_SECONDS = 0.15
"""Bounds the delay of a batch job's start when a node does not answer."""


class LingeringBatches:
    """Ended batch jobs of this node whose runs continue; requests texts from other nodes' ones."""

    def __init__(
        self, peers: PeerClient, holders: BodyHolders, own_address: NetworkAddress
    ) -> None:
        """Create the empty collection of the node at ``own_address``.

        Args:
            peers: Calls other nodes.
            holders: Decides which nodes may get texts.
            own_address: The address of this node.
        """
        self._peers = peers
        self._holders = holders
        self._own_address = own_address
        self._runners: list[BatchRunner] = []

    def add(self, runner: BatchRunner) -> None:
        """Add the runner of an ended batch job."""
        self._runners.append(runner)

    @property
    def active(self) -> tuple[BatchRunner, ...]:
        """Return the runners that are still lingering."""
        return tuple(runner for runner in self._runners if runner.is_lingering)

    def close(self) -> None:
        """Stop all runs."""
        for runner in self._runners:
            runner.close()
        self._runners.clear()

    def release_texts(self, request: TakePartialTexts) -> ResubmittedItems:
        """Stop the runs of items and return their partial texts.

        Batch jobs that the requester may not hold keep theirs.
        """
        self._runners = [runner for runner in self._runners if runner.is_lingering]
        return _merge(
            runner.release_texts(request.item_ids, request.minimum_version)
            for runner in self._runners
            if self._may_hold(request.requester, runner.spec)
        )

    def _may_hold(self, requester: NetworkAddress | None, spec: BatchSpec) -> bool:
        if requester == self._own_address:
            return True
        return self._holders.includes(requester, self._holders.regions_of(spec))

    async def collect(self, spec: BatchSpec, nodes: Iterable[NetworkAddress]) -> ResubmittedItems:
        """Return the items of a batch job that this or the given nodes know, and their texts."""
        request = TakePartialTexts(
            item_ids=tuple(item.item_id for item in spec.items),
            minimum_version=spec.minimum_version,
            requester=self._own_address,
        )
        replies = [self.release_texts(request)]
        replies.extend(
            await asyncio.gather(*(self._request_texts(node, request) for node in nodes))
        )
        resubmitted = _merge(replies)
        if resubmitted.item_ids:
            log_event(
                "items_returned",
                batch=spec.batch_id,
                items=len(resubmitted.item_ids),
                usable=len(resubmitted.partial_texts),
            )
        return resubmitted

    async def _request_texts(
        self, node: NetworkAddress, request: TakePartialTexts
    ) -> ResubmittedItems:
        try:
            reply = await self._peers.call(node, request, REQUEST_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            return ResubmittedItems()
        return reply.returned if isinstance(reply, PartialTextsReply) else ResubmittedItems()


def _merge(parts: Iterable[ResubmittedItems]) -> ResubmittedItems:
    """Merge the items known to several batch jobs or nodes."""
    item_ids: dict[ItemId, None] = {}
    partial_texts: dict[ItemId, PartialText] = {}
    for resubmitted in parts:
        item_ids.update(dict.fromkeys(resubmitted.item_ids))
        partial_texts.update({text.item_id: text for text in resubmitted.partial_texts})
    return ResubmittedItems(item_ids=tuple(item_ids), partial_texts=tuple(partial_texts.values()))
