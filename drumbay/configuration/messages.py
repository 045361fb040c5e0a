"""Records of the configuration, and the messages that carry it between nodes."""

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
"""Key that names the nodes which keep the configuration on disk."""

NO_REVISION = Revision(0)


def resource_key(kind: str, name: str) -> str:
    """Return the key of a resource in the key-value service."""
    return f"{RESOURCE_PREFIX}{kind}/{name}"


def operation_key(operation_id: str) -> str:
    """Return the key of an operation record in the key-value service."""
    return OPERATION_PREFIX + operation_id


class PeerView(msgspec.Struct, frozen=True, kw_only=True):
    """What the configuration service needs to know of a live node."""

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
    """Nodes that keep the configuration on disk, sorted by identifier.

    Attributes:
        members: The nodes; a majority of them stores a revision before it is in force.
        previous: Members of the earlier set while a change is under way; a majority of
            them is needed too. An operator who replaces a set whose majority is lost for
            good writes a set without previous members.
    """

    members: tuple[NodeId, ...]
    previous: tuple[NodeId, ...] = ()


class OperationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Proof that an operation was committed, or that it never will be."""

    key: str
    cancelled: bool = False


class ConfigurationEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One key of the configuration; ``value`` is ``None`` when the key was removed."""

    key: str
    mod_revision: Revision
    value: bytes | None


class ConfigurationUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """Every change in ``(base_revision, revision]``, or the whole configuration.

    Attributes:
        revision: The entries are complete up to this revision.
        base_revision: Revision the update builds on; ``None`` marks a snapshot.
        entries: Entries by rising modification revision.
    """

    revision: Revision
    base_revision: Revision | None
    entries: tuple[ConfigurationEntry, ...]


class ConfigurationDigest(Message, frozen=True, kw_only=True):
    """Datagram: which configuration a node has applied.

    Attributes:
        sender: The node.
        reply_to: Address at which the sender serves pulls.
        revision: Applied revision; 0 while the node starts.
        content_hash: Hash over keys and modification revisions.
        confirmed_age_seconds: Time since this revision was known to be the newest in
            force; ``None`` if it never was.
        is_reply: Sent in answer to a digest, so it gets no answer itself.
    """

    sender: NodeId
    reply_to: Address
    revision: Revision
    content_hash: int
    confirmed_age_seconds: float | None = None
    is_reply: bool = False


class ConfigurationPull(Message, frozen=True, kw_only=True):
    """Call: ask for what is newer than ``after_revision``."""

    after_revision: Revision


class ConfigurationPullReply(Message, frozen=True, kw_only=True):
    """Reply to a pull; ``update`` is ``None`` when the peer has nothing newer."""

    update: ConfigurationUpdate | None


class ReplicaStore(Message, frozen=True, kw_only=True):
    """Call: make an update durable."""

    update: ConfigurationUpdate


class ReplicaStoreReply(Message, frozen=True, kw_only=True):
    """Revision that is durable after a store; below the update's if it left a gap."""

    revision: Revision


class ReplicaRead(Message, frozen=True, kw_only=True):
    """Call: ask for the durable configuration if it is newer than ``after_revision``."""

    after_revision: Revision


class ReplicaReadReply(Message, frozen=True, kw_only=True):
    """What a replica holds.

    Attributes:
        node_id: The replica.
        complete: Whether the replica has recovered since its disk was last empty. An
            incomplete replica may have forgotten what it acknowledged: no vote.
        revision: Durable revision.
        update: What is newer than the revision asked for; ``None`` if nothing is.
    """

    node_id: NodeId
    complete: bool
    revision: Revision
    update: ConfigurationUpdate | None


class ReadinessReason(StrEnum):
    """Why a node is ready or not, for ``/readyz``."""

    STARTING = "starting"
    CURRENT = "current"
    UNCONFIRMED = "unconfirmed"


class ConfigurationReadiness(msgspec.Struct, frozen=True, kw_only=True):
    """What a node knows about its own configuration.

    Attributes:
        ready: A configuration has been loaded since the process started.
        current: It was confirmed to be the newest in force not long ago.
        reason: Summary of both.
        revision: Applied revision.
        confirmed_age_seconds: Time since the last confirmation; ``None`` if none.
    """

    ready: bool
    current: bool
    reason: ReadinessReason
    revision: Revision
    confirmed_age_seconds: float | None
