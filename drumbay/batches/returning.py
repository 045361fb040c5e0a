"""Items that come back: groups that an ended batch job had left out, in a later one.

The node that owned the ended batch job lets their runs go on for a while. The owner of the
later one asks the owners before it for them.
"""

import asyncio
from collections.abc import Iterable

from drumbay.batches.records import BatchSpec, ItemId, PartialText, ReturnedItems
from drumbay.batches.runner import BatchRunner
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import PartialTextsReply, TakePartialTexts
from drumbay.peers.transport import PeerClient, PeerUnavailableError

ASK_LIMIT_SECONDS = 0.15
"""A batch job starts that late at the most if a node does not answer."""


class ReturningItems:
    """What this node still makes of items of ended batch jobs, and what others do."""

    def __init__(self, peers: PeerClient) -> None:
        """Create a record of nothing; ask other nodes with ``peers``."""
        self._peers = peers
        self._lingering: list[BatchRunner] = []

    def keep(self, runner: BatchRunner) -> None:
        """Keep the runner of an ended batch job while it lingers."""
        self._lingering.append(runner)

    @property
    def lingering(self) -> tuple[BatchRunner, ...]:
        """Return the runners that still work on items of ended batch jobs."""
        return tuple(runner for runner in self._lingering if runner.is_lingering)

    def close(self) -> None:
        """Stop every run."""
        for runner in self._lingering:
            runner.close()
        self._lingering.clear()

    def give_up(self, request: TakePartialTexts) -> ReturnedItems:
        """Stop working on items and return what was made of them."""
        self._lingering = [runner for runner in self._lingering if runner.is_lingering]
        return _joined(
            runner.give_up_texts(request.item_ids, request.minimum_version)
            for runner in self._lingering
        )

    async def collect(self, spec: BatchSpec, nodes: Iterable[NetworkAddress]) -> ReturnedItems:
        """Return what this and the given nodes have made of a batch job's items."""
        request = TakePartialTexts(
            item_ids=tuple(item.item_id for item in spec.items),
            minimum_version=spec.minimum_version,
        )
        found = [self.give_up(request)]
        found.extend(await asyncio.gather(*(self._ask(node, request) for node in nodes)))
        returned = _joined(found)
        if returned.item_ids:
            log_event(
                "items_returned",
                batch=spec.batch_id,
                items=len(returned.item_ids),
                usable=len(returned.partial_texts),
            )
        return returned

    async def _ask(self, node: NetworkAddress, request: TakePartialTexts) -> ReturnedItems:
        try:
            reply = await self._peers.call(node, request, ASK_LIMIT_SECONDS)
        except PeerUnavailableError:
            return ReturnedItems()
        return reply.returned if isinstance(reply, PartialTextsReply) else ReturnedItems()


def _joined(found: Iterable[ReturnedItems]) -> ReturnedItems:
    """Return what several batch jobs or nodes knew, each item once."""
    item_ids: dict[ItemId, None] = {}
    partial_texts: dict[ItemId, PartialText] = {}
    for returned in found:
        item_ids.update(dict.fromkeys(returned.item_ids))
        partial_texts.update({text.item_id: text for text in returned.partial_texts})
    return ReturnedItems(item_ids=tuple(item_ids), partial_texts=tuple(partial_texts.values()))
