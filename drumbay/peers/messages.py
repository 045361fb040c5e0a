"""Messages between nodes, encoded as msgpack."""

import msgspec

from drumbay.batches.places import JobPlaces, NoticeNumber
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemId,
    ResultPage,
    ReturnedItems,
    StoredOwner,
)
from drumbay.comm.http_exchange import NetworkAddress
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


class OwnBatch(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Give a node a batch job that the store names it the owner of."""

    spec: BatchSpec
    owner: StoredOwner

    @property
    def batch_id(self) -> BatchId:
        """Return the batch job."""
        return self.spec.batch_id


class TakePartialTexts(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node for what it has made of items whose earlier batch job has ended."""

    item_ids: tuple[ItemId, ...]
    minimum_version: WeightVersion


class PartialTextsReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What the node knew of the items; it works on them no more."""

    returned: ReturnedItems


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


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask whether a node is alive."""


class BusyReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The owner is alive, but did not answer in time. Not sent: made at the calling node."""


class UnavailableReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The owner could not carry out the call now."""


class FollowFeeds(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node that watches the store for what changed after what the caller knows.

    ``usage`` is what the caller has counted: it goes along with a call that is made anyway.
    """

    cursors: tuple[FeedCursor, ...]
    wait_seconds: float
    usage: NodeUsage | None = None


class FeedsReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Changes, and how long ago the node last knew that it had missed none.

    ``age_seconds`` is ``None`` if the node does not follow the store itself.
    """

    age_seconds: float | None
    changes: tuple[FeedChanges, ...] = ()


class OwnerNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A node tells who owns a batch job, so that the others need not read it."""

    batch_id: BatchId
    owner: StoredOwner


class LoadingNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The leader tells that it orders a worker to load a version, which takes some seconds.

    ``holder`` is the leader's machine; ``started_at_ms`` the start of the worker that takes the
    order, 0 where it does not tell.
    """

    worker_id: BackendId
    model: str
    version: WeightVersion
    seconds: float
    holder: str
    started_at_ms: int = 0


class FeedConfirmed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A node tells up to which change of a prefix it had all, some time ago."""

    prefix: str
    last_change: Revision
    age_seconds: float


class PlacesNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A node tells what its batch jobs hold and want; it replaces what it told before."""

    holder: NetworkAddress
    number: NoticeNumber
    jobs: tuple[JobPlaces, ...]


Notice = LoadingNotice | OwnerNotice | FeedConfirmed | QuarantineNotice | PlacesNotice


class Notices(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """All that a node has to tell another one by now."""

    notices: tuple[Notice, ...]


class CollectPlaces(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node what its open batch jobs hold and want."""


class PlacesReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What the open batch jobs of a node hold and want."""

    jobs: tuple[JobPlaces, ...]


class CollectUsage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node for what it and its followers have counted."""


class UsageNotice(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A node that is about to end tells what it has counted."""

    usage: NodeUsage


class UsageReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What a node knows of the counts of processes, its own included."""

    nodes: tuple[NodeUsage, ...]


class RelayedPut(msgspec.Struct, frozen=True, kw_only=True):
    """An operation of a relayed transaction; without a value the key is removed."""

    key: str
    value: bytes | None
    lease_id: int = 0


class RelayRange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node to read a prefix of the store; with ``after``, one page after that key."""

    prefix: str
    after: str | None = None


class RelayTransaction(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node to carry out a transaction in the store."""

    compares: tuple[ModRevisionIs, ...]
    operations: tuple[RelayedPut, ...]


class RelayKeepAlive(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node to renew a lease in the store."""

    lease_id: int


class RelayGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ask a node to be granted a lease by the store."""

    ttl_seconds: float


class RangeReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What the store holds."""

    result: RangeResult


class TransactionReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What became of a transaction."""

    result: TransactionResult


class KeepAliveReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The time that a lease has left."""

    remaining_seconds: float


class GrantReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A lease that was granted."""

    lease: LeaseGrant


class LeaseGoneReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The lease is over."""


class OutcomeUnknownReply(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The store did not say whether it carried out the write."""


OwnerRequest = ReadResults | ReadBody | EndBatch | OwnBatch
BatchRequest = OwnerRequest | TakePartialTexts
StoreRequest = RelayRange | RelayTransaction | RelayKeepAlive | RelayGrant
UsageRequest = CollectUsage | UsageNotice
PeerRequest = (
    BatchRequest | StoreRequest | UsageRequest | FollowFeeds | Notices | Ping | CollectPlaces
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
    | RangeReply
    | TransactionReply
    | KeepAliveReply
    | GrantReply
    | LeaseGoneReply
    | OutcomeUnknownReply
)


def to_relayed(operation: Put | Delete) -> RelayedPut:
    """Return an operation as it is sent to another node."""
    if isinstance(operation, Put):
        return RelayedPut(key=operation.key, value=operation.value, lease_id=operation.lease_id)
    return RelayedPut(key=operation.key, value=None)


def from_relayed(operation: RelayedPut) -> Put | Delete:
    """Return an operation that another node sent."""
    if operation.value is None:
        return Delete(key=operation.key)
    return Put(key=operation.key, value=operation.value, lease_id=operation.lease_id)
