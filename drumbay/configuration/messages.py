"""Records of the configuration, and the messages that nodes exchange about it."""

from enum import StrEnum

import msgspec

from drumbay.comm.interface import Address, Message
from drumbay.identifiers import NodeId, Revision
from drumbay.resources.schema import AnyResource

RESOURCE_PREFIX = "/drumbay/resources/"
"""Prefix of the configuration's keys: ``/drumbay/resources/<Kind>/<name>``."""

OPERATION_PREFIX = "/drumbay/operations/"
"""Prefix of the operation records: ``/drumbay/operations/<operation id>``."""

REPLICA_SET_KEY = RESOURCE_PREFIX + "ReplicaSet/configuration"
"""Key of the set of nodes that store the configuration on disk."""

NO_REVISION = Revision(0)


def resource_key(kind: str, name: str) -> str:
    """Return the key of a resource in the key-value service."""
    return f"{RESOURCE_PREFIX}{kind}/{name}"


def operation_key(operation_id: str) -> str:
    """Return the key of an operation record in the key-value service."""
    return OPERATION_PREFIX + operation_id


class PeerView(msgspec.Struct, frozen=True, kw_only=True):
    """A live node as the configuration service sees it."""

    node_id: NodeId
    address: Address
    zone: str
    region: str
    has_data_folder: bool = False


class StoredRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a resource's key; a deleted resource keeps its last content."""

    resource: AnyResource
    operation_id: str
    deleted: bool = False


class ReplicaSet(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes that store the configuration on disk, sorted by identifier.

    Attributes:
        members: The nodes; a majority of them stores a revision before it is applied.
        previous: Members of the previous set while a change is in progress; a majority of
            them is needed too. Empty when an operator replaces a set whose majority is
            permanently lost.
    """

    members: tuple[NodeId, ...]
    previous: tuple[NodeId, ...] = ()


class OperationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of an operation that was committed or cancelled."""

    key: str
    cancelled: bool = False


class ConfigurationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One key of the configuration; ``value`` is ``None`` when the key was removed."""

    key: str
    mod_revision: Revision
    value: bytes | None


class ConfigurationUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """A delta with every change in ``(base_revision, revision]``, or a snapshot.

    Attributes:
        revision: The entries are complete up to this revision.
        base_revision: Revision that a delta builds on; ``None`` for a snapshot.
        entries: Entries by ascending modification revision.
    """

    revision: Revision
    base_revision: Revision | None
    entries: tuple[ConfigurationEntry, ...]


class ConfigurationDigest(Message, frozen=True, kw_only=True):
    """Datagram: the configuration that a node has applied.

    Attributes:
        sender: The node.
        reply_to: Address at which the sender serves pulls.
        revision: Applied revision; 0 while the node starts.
        content_hash: Hash over keys and modification revisions.
        confirmed_age_seconds: Time since this revision was last confirmed to be the newest;
            ``None`` if it never was.
        is_reply: Whether this answers another digest; a reply gets no reply.
    """

    sender: NodeId
    reply_to: Address
    revision: Revision
    content_hash: int
    confirmed_age_seconds: float | None = None
    is_reply: bool = False


class ConfigurationPull(Message, frozen=True, kw_only=True):
    """Call: request the changes after ``after_revision``."""

    after_revision: Revision


class ConfigurationPullReply(Message, frozen=True, kw_only=True):
    """Reply to a pull; ``update`` is ``None`` when the peer has nothing newer."""

    update: ConfigurationUpdate | None


class ReplicaStore(Message, frozen=True, kw_only=True):
    """Call: store an update on disk."""

    update: ConfigurationUpdate


class ReplicaStoreReply(Message, frozen=True, kw_only=True):
    """Revision on disk after a store; below the update's if changes before it are missing."""

    revision: Revision


class ReplicaRead(Message, frozen=True, kw_only=True):
    """Call: request the configuration on disk if it is newer than ``after_revision``."""

    after_revision: Revision


class ReplicaReadReply(Message, frozen=True, kw_only=True):
    """The configuration that a replica has on disk.

    Attributes:
        node_id: The replica.
        complete: Whether the replica has recovered since its disk was last empty. An
            incomplete replica may have lost acknowledged changes, so it has no vote.
        revision: Revision on disk.
        update: Changes after the requested revision; ``None`` if there are none.
    """

    node_id: NodeId
    complete: bool
    revision: Revision
    update: ConfigurationUpdate | None


class ReadinessReason(StrEnum):
    """Reason of a node's readiness, for ``/readyz``."""

    STARTING = "starting"
    CURRENT = "current"
    UNCONFIRMED = "unconfirmed"


class ConfigurationReadiness(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a node has loaded and confirmed its configuration.

    Attributes:
        ready: Whether a configuration was loaded since the process started.
        current: Whether it was recently confirmed to be the newest.
        reason: Summary of ``ready`` and ``current``.
        revision: Applied revision.
        confirmed_age_seconds: Time since the last confirmation; ``None`` if there was none.
    """

    ready: bool
    current: bool
    reason: ReadinessReason
    revision: Revision
    confirmed_age_seconds: float | None
