"""Batch jobs, their items and results."""

from enum import StrEnum
from typing import NewType

import msgspec

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import Revision, WeightVersion
from drumbay.tenants.records import TenantName

BatchId = NewType("BatchId", str)
ItemId = NewType("ItemId", str)


class RewardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The request whose answer scores an item's text, made once the text is whole.

    A scoring service answers it, by the route of ``host`` and ``target``. It may be repeated.
    """

    request_id: str
    host: str
    target: str
    body: bytes


class Reward(msgspec.Struct, frozen=True, kw_only=True):
    """A text's score: the stamp of the answer to the reward request of that identifier."""

    request_id: str
    stamp: str


class BatchItem(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a batch job. ``token_limit`` counts the prompt and the longest output.

    An item with a ``reward_request`` is finished once its text is whole and scored.
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
        """Return whether a whole text with this score, or none, is a finished item."""
        if self.reward_request is None:
            return True
        return reward is not None and reward.request_id == self.reward_request.request_id


class BatchStream(msgspec.Struct, frozen=True, kw_only=True):
    """The batch jobs that follow each other: those of one model at one service."""

    service: str
    model: str


class BatchSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A batch job as its client submitted it.

    ``queue_limit_seconds`` is how long after the submission an item may be given up.
    ``one_version_only`` asks that one weight version makes all of an item's text.
    ``tenant`` is the one whose key submitted it: its items run for that tenant, whatever
    becomes of the key. ``None`` where no keys are asked for. ``priority`` is its rank when it was
    submitted: 0 goes first. Its results are due after ``due_seconds``, if anything says when.
    ``submitted_at`` is the time of day at which a node took it, in Unix seconds; 0 if not known.
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

    @property
    def stream(self) -> BatchStream:
        """Return the stream that the batch job belongs to."""
        return BatchStream(service=self.service, model=self.model)


class ResultState(StrEnum):
    """How an item ended."""

    DONE = "done"
    DEAD = "dead"


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """The end of an item; its position in the batch job never changes."""

    item_id: ItemId
    state: ResultState
    text: str = ""
    versions: tuple[WeightVersion, ...] = ()
    reward: Reward | None = None

    def size_bytes(self) -> int:
        """Return about how many bytes the result takes on the wire."""
        return len(self.text) + 128


class PartialText(msgspec.Struct, frozen=True, kw_only=True):
    """What was made of an item that is not finished: events up to a number.

    ``first`` says that the texts begin with the first event; otherwise they continue an
    earlier piece. ``versions`` are those of the whole text up to here. ``generation`` grows
    when an item's text is thrown away and made again. ``reward`` is the score of a complete
    text, if it has one.
    """

    item_id: ItemId
    texts: tuple[str, ...]
    last_number: int
    versions: tuple[WeightVersion, ...]
    complete: bool = False
    first: bool = True
    generation: int = 0
    reward: Reward | None = None


class ReturnedItems(msgspec.Struct, frozen=True, kw_only=True):
    """Items of a batch job that an earlier one had left unfinished, and their usable texts."""

    item_ids: tuple[ItemId, ...] = ()
    partial_texts: tuple[PartialText, ...] = ()


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Results from ``position`` on; ``total`` counts the items of the batch job."""

    total: int
    position: int
    results: tuple[ItemResult, ...]

    @property
    def next_position(self) -> int:
        """Return the position after the last result."""
        return self.position + len(self.results)


class OwnerState(StrEnum):
    """Whether a batch job takes more results."""

    OPEN = "open"
    ENDED = "ended"


class OwnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Who runs a batch job: the node's address and the boot of its process.

    ``tenant`` stands here too, so that a node can tell whose an ended batch job is without
    reading its texts.
    """

    address: NetworkAddress
    boot: str
    state: OwnerState
    total: int
    stream: BatchStream
    tenant: TenantName | None = None


class StoredOwner(msgspec.Struct, frozen=True, kw_only=True):
    """An owner record and the revision that fences its writes."""

    record: OwnerRecord
    revision: Revision


def page_of(
    results: list[ItemResult] | tuple[ItemResult, ...], total: int, position: int, size_bytes: int
) -> ResultPage:
    """Return the results from a position on: at least one if there is one, bounded in size."""
    taken: list[ItemResult] = []
    used_bytes = 0
    for result in results[position:]:
        used_bytes += result.size_bytes()
        if taken and used_bytes > size_bytes:
            break
        taken.append(result)
    return ResultPage(total=total, position=position, results=tuple(taken))
