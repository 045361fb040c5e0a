"""Messages between nodes, encoded as msgpack.

Class names are the tags on the wire, and field names are encoded too.
"""

import msgspec

from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemId,
    ResubmittedItems,
    ResultPage,
    StoredOwner,
)
from drumbay.batches.slot_usage import JobSlotUsage, NoticeNumber
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.kv.interface import (
    Delete,
    LeaseGrant,
    ModRevisionIs,
    Put,
    RangeResult,
    TransactionResult,
)
from drumbay.kv.mirror import FeedChanges, FeedCursor
from drumbay.quarantine.records import QuarantineNotice
from drumbay.usage.records import NodeUsage
from drumbay.workers.unresponsive_workers import ResponsivenessNotice


class ReadResults(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request results of a batch job from its owner."""

    batch_id: BatchId
    position: int
    wait_seconds: float


class ReadBody(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request the body of an item from the owner."""

    batch_id: BatchId
    item_id: ItemId


class EndBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tell the owner to end a batch job."""

    batch_id: BatchId


class OwnBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Hand over a batch job to the node that the store names as its owner."""

    spec: BatchSpec
    owner: StoredOwner

    @property
    def batch_id(self) -> BatchId:
        """Return the id of the batch job."""
        return self.spec.batch_id


class TakeOverBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node in the allowed regions of a batch job to become its owner, from the store.

    The reply is :class:`DoneReply` if it is the owner now, :class:`NotOwnerReply` if the owner
    record is no longer that of ``owner_revision``, else :class:`UnavailableReply`.
    ``owner_is_gone`` tells that the previous owner has ended.
    """

    batch_id: BatchId
    owner_revision: Revision
    owner_is_gone: bool


class DeleteBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node in the allowed regions of an ended batch job to delete it from the store."""

    batch_id: BatchId


class TakePartialTexts(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request a node's partial results of items whose earlier batch job has ended.

    Texts of batch jobs with allowed regions are returned only to a ``requester`` in these;
    earlier releases name none.
    """

    item_ids: tuple[ItemId, ...]
    minimum_version: WeightVersion
    requester: NetworkAddress | None = None


class PartialTextsReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Partial results of the items; the node has stopped working on them."""

    returned: ResubmittedItems


class PageReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """One page of results."""

    page: ResultPage


class BodyReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The body of an item."""

    body: bytes


class DoneReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The call succeeded."""


class NotOwnerReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """This node does not own the batch job."""


class NotFoundReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The batch job has no such item."""


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Check whether a node is alive."""


class BusyReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The owner is alive but did not reply in time. Created by the caller, never sent."""


class UnavailableReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The call cannot be served at present."""


class FollowFeeds(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Long poll of a follower for changes after its cursors.

    ``usage`` piggybacks the caller's usage counters.
    """

    cursors: tuple[FeedCursor, ...]
    wait_seconds: float
    usage: NodeUsage | None = None


class FeedsReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Changes, and the time since the node was last confirmed to have missed none.

    ``age_seconds`` is ``None`` if the node does not watch the store itself.
    """

    age_seconds: float | None
    changes: tuple[FeedChanges, ...] = ()


class OwnerNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Announces the owner of a batch job, which saves the receivers a read of the store."""

    batch_id: BatchId
    owner: StoredOwner


class LoadingNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The leader announces that it orders a worker to load a version, which takes some seconds.

    ``holder`` is the leader's machine; ``started_at_ms`` is the start time of the worker process,
    0 if unknown.
    """

    worker_id: BackendId
    model: str
    version: WeightVersion
    seconds: float
    holder: str
    started_at_ms: int = 0


class FeedConfirmed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Confirms that the sender had all changes of a prefix up to a revision, some time ago."""

    prefix: str
    last_change: Revision
    age_seconds: float


class PlacesNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Announces which slots a node's batch jobs hold and want; replaces its last notice."""

    holder: NetworkAddress
    number: NoticeNumber
    jobs: tuple[JobSlotUsage, ...]


Notice = (
    LoadingNotice
    | OwnerNotice
    | FeedConfirmed
    | QuarantineNotice
    | PlacesNotice
    | ResponsivenessNotice
)


class Notices(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notices that are pending for one node, sent together."""

    notices: tuple[Notice, ...]


class CollectPlaces(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request the slots that a node's open batch jobs hold and want."""


class PlacesReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Slots that a node's open batch jobs hold and want."""

    jobs: tuple[JobSlotUsage, ...]


class BorrowStarts(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node for unused starts at cold workers, ``count`` in all."""

    worker_ids: tuple[BackendId, ...]
    count: int


class LentStarts(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The starts that the caller may use, by worker."""

    starts: dict[BackendId, int]


class CollectUsage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request the usage counters of a node and its followers."""


class UsageNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Usage counters of a node that is shutting down."""

    usage: NodeUsage


class UsageReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Usage counters known to a node, including its own."""

    nodes: tuple[NodeUsage, ...]


class RelayedPut(msgspec.Struct, frozen=True, kw_only=True):
    """An operation of a relayed transaction; the key is deleted if there is no value."""

    key: str
    value: bytes | None
    lease_id: int = 0


class RelayRange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read a prefix of the store through another node; with ``after``, one page after that key."""

    prefix: str
    after: str | None = None


class RelayTransaction(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Execute a store transaction through another node."""

    compares: tuple[ModRevisionIs, ...]
    operations: tuple[RelayedPut, ...]


class RelayKeepAlive(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Renew a store lease through another node."""

    lease_id: int


class RelayGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Acquire a store lease through another node."""

    ttl_seconds: float


class RangeReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of a relayed read."""

    result: RangeResult


class TransactionReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Result of a relayed transaction."""

    result: TransactionResult


class KeepAliveReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Remaining time of a renewed lease."""

    remaining_seconds: float


class GrantReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A lease granted by the store."""

    lease: LeaseGrant


class LeaseGoneReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The lease has expired or was revoked."""


class OutcomeUnknownReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The write may or may not have taken effect."""


OwnerRequest = ReadResults | ReadBody | EndBatch | OwnBatch
BatchRequest = OwnerRequest | TakePartialTexts | TakeOverBatch | DeleteBatch
StoreRequest = RelayRange | RelayTransaction | RelayKeepAlive | RelayGrant
UsageRequest = CollectUsage | UsageNotice
PeerRequest = (
    BatchRequest
    | StoreRequest
    | UsageRequest
    | FollowFeeds
    | Notices
    | Ping
    | CollectPlaces
    | BorrowStarts
)
PeerReply = (
    PageReply
    | PartialTextsReply
    | BodyReply
    | DoneReply
    | BusyReply
    | NotOwnerReply
    | NotFoundReply
    | UnavailableReply
    | FeedsReply
    | UsageReply
    | PlacesReply
    | LentStarts
    | RangeReply
    | TransactionReply
    | KeepAliveReply
    | GrantReply
    | LeaseGoneReply
    | OutcomeUnknownReply
)


def to_relayed(operation: Put | Delete) -> RelayedPut:
    """Convert an operation to its wire format."""
    if isinstance(operation, Put):
        return RelayedPut(key=operation.key, value=operation.value, lease_id=operation.lease_id)
    return RelayedPut(key=operation.key, value=None)


def from_relayed(operation: RelayedPut) -> Put | Delete:
    """Convert an operation from its wire format."""
    if operation.value is None:
        return Delete(key=operation.key)
    return Put(key=operation.key, value=operation.value, lease_id=operation.lease_id)
