"""Messages between nodes about batch jobs, encoded as msgpack."""

import msgspec

from drumbay.batches.records import BatchId, ItemId, ResultPage


class ReadResults(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask the owner for results."""

    batch_id: BatchId
    position: int
    wait_seconds: float


class ReadBody(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask the owner for the body of an item."""

    batch_id: BatchId
    item_id: ItemId


class EndBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask the owner to end a batch job."""

    batch_id: BatchId


class HandOver(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node to take over a batch job that its owner lets go."""

    batch_id: BatchId


class PageReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Results."""

    page: ResultPage


class BodyReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The body of an item."""

    body: bytes


class DoneReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The call was carried out."""


class NotOwnerReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """This node does not own the batch job."""


class NotFoundReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The batch job has no such item."""


class UnavailableReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The owner could not carry out the call now."""


PeerRequest = ReadResults | ReadBody | EndBatch | HandOver
PeerReply = PageReply | BodyReply | DoneReply | NotOwnerReply | NotFoundReply | UnavailableReply
