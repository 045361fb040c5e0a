"""Batch jobs, their items and results."""

from enum import StrEnum
from typing import NewType

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import Revision, WeightVersion
from drumbay.tenants.records import TenantName

BatchId = NewType("BatchId", str)
ItemId = NewType("ItemId", str)


class RewardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that scores the complete text of an item.

    It is sent to a scoring service by the route of ``host`` and ``target``, and may be repeated.
    """

    request_id: str
    host: str
    target: str
    body: bytes


class Reward(msgspec.Struct, frozen=True, kw_only=True):
    """Score of a text: ``stamp`` identifies the worker run that executed the reward request."""

    request_id: str
    stamp: str


class BatchItem(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a batch job.

    ``token_limit`` covers the prompt and the longest possible output. An item with a
    ``reward_request`` is finished once its text is complete and scored.
    """

    item_id: ItemId
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    token_limit: int
    expected_tokens: int
    group: str
    reward_request: RewardRequest | None = None

    def accepts(self, reward: Reward | None) -> bool:
        """Return whether a complete text with this score, or none, finishes the item."""
        if self.reward_request is None:
            return True
        return reward is not None and reward.request_id == self.reward_request.request_id


class BatchStream(msgspec.Struct, frozen=True, kw_only=True):
    """The successive batch jobs of one model at one service."""

    service: str
    model: str


class BatchSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A batch job as submitted by its client.

    ``queue_limit_seconds`` is the time after submission at which unfinished items are given up.
    ``one_version_only`` requires that a single weight version generates all of an item's text.
    ``tenant`` is the tenant whose key submitted the job and on whose behalf its items run, even if
    the key is revoked later; ``None`` without authentication. ``priority`` is its priority at
    submission: 0 goes first. Its results are due after ``due_seconds``, if known. ``submitted_at``
    is when a node received it, in Unix seconds; 0 if unknown. ``allowed_regions`` are the regions
    in which it may run and be held, as of its submission, as in :meth:`AllowedRegions.names`.
    """

    batch_id: BatchId
    host: str
    route_name: str
    service: str
    model: str
    step: int
    minimum_version: WeightVersion
    wanted_groups: int
    attempts: int
    queue_limit_seconds: float
    one_version_only: bool
    items: tuple[BatchItem, ...]
    tenant: TenantName | None = None
    priority: int = 0
    due_seconds: float | None = None
    submitted_at: float = 0.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def stream(self) -> BatchStream:
        """Return the stream of the batch job."""
        return BatchStream(service=self.service, model=self.model)


class ResultState(StrEnum):
    """How an item ended."""

    DONE = "done"
    DEAD = "dead"


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """Final result of an item; its position in the batch job's results never changes."""

    item_id: ItemId
    state: ResultState
    text: str = ""
    versions: tuple[WeightVersion, ...] = ()
    reward: Reward | None = None

    def size_bytes(self) -> int:
        """Return the approximate encoded size."""
        return len(self.text) + 128


class PartialText(msgspec.Struct, frozen=True, kw_only=True):
    """Text generated so far for an unfinished item.

    ``first`` is true if the texts start with the first event; otherwise they continue an earlier
    piece. ``versions`` covers the text from its start. ``generation`` increases when the text is
    discarded and generated again. ``reward`` is the score of a complete text, if available.
    """

    item_id: ItemId
    texts: tuple[str, ...]
    last_number: int
    versions: tuple[WeightVersion, ...]
    complete: bool = False
    first: bool = True
    generation: int = 0
    reward: Reward | None = None


class ResubmittedItems(msgspec.Struct, frozen=True, kw_only=True):
    """Resubmitted items, known from an earlier batch job, and their reusable texts."""

    item_ids: tuple[ItemId, ...] = ()
    partial_texts: tuple[PartialText, ...] = ()


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results from ``position`` on; ``total`` is the number of items in the batch job."""

    total: int
    position: int
    results: tuple[ItemResult, ...]

    @property
    def next_position(self) -> int:
        """Return the position after the last result."""
        return self.position + len(self.results)


class OwnerState(StrEnum):
    """Whether a batch job accepts further results."""

    OPEN = "open"
    ENDED = "ended"


class OwnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a batch job: the node's address and the boot identifier of its process.

    The last fields are repeated from the specification, so that access to a batch job can be
    checked without reading its bodies. An empty ``boot`` names any process at the address. Earlier
    releases store no ``route_name`` and no ``allowed_regions``; their batch jobs are unrestricted.
    """

    address: NetworkAddress
    boot: str
    state: OwnerState
    total: int
    stream: BatchStream
    tenant: TenantName | None = None
    route_name: str = ""
    allowed_regions: tuple[str, ...] = ()


class StoredOwner(msgspec.Struct, frozen=True, kw_only=True):
    """An owner record and its revision, the fencing token of the owner's writes."""

    record: OwnerRecord
    revision: Revision


def page_of(
    results: list[ItemResult] | tuple[ItemResult, ...], total: int, position: int, size_bytes: int
) -> ResultPage:
    """Return results from a position on, limited to a size but at least one if there is any."""
    page: list[ItemResult] = []
    used_bytes = 0
    for result in results[position:]:
        used_bytes += result.size_bytes()
        if page and used_bytes > size_bytes:
            break
        page.append(result)
    return ResultPage(total=total, position=position, results=tuple(page))
