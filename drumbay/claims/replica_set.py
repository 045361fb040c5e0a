"""The replica set and its epochs: pure transitions of one record in the key-value service.

A change seals the old epoch, copies its state to the new members and then starts the next
epoch, as in Liskov and Cowling, "Viewstamped Replication Revisited" (2012), section 7. The
record names the target while the change is under way, so that any coordinator can finish it.
"""

from enum import StrEnum

import msgspec

from drumbay.comm.interface import Address
from drumbay.exceptions import DrumbayError
from drumbay.identifiers import Epoch, NodeId, Revision
from drumbay.storage.interface import StoreId

REPLICA_SET_KEY = "/drumbay/replicas/claims"


class ReplicaSetError(DrumbayError):
    """A transition of the replica set is not permitted, or its record is not valid."""

    code = "replica_set"


class ReplicaSetPhase(StrEnum):
    """Whether the epoch serves or is being replaced."""

    ACTIVE = "active"
    SEALING = "sealing"


class ReplicaMember(msgspec.Struct, frozen=True, kw_only=True):
    """One store that has a vote, and where its node is reached."""

    node_id: NodeId
    store_id: StoreId
    address: Address
    zone: str = ""


class ReplicaSet(msgspec.Struct, frozen=True, kw_only=True):
    """The members of one epoch, and of the next one while a change is under way."""

    epoch: Epoch
    members: tuple[ReplicaMember, ...]
    phase: ReplicaSetPhase
    target: tuple[ReplicaMember, ...] = ()

    @property
    def majority(self) -> int:
        """Return how many members make a majority; 0 for the empty set before the first."""
        return len(self.members) // 2 + 1 if self.members else 0

    @property
    def is_active(self) -> bool:
        """Return whether claims may be granted in this epoch."""
        return self.phase is ReplicaSetPhase.ACTIVE


class VersionedReplicaSet(msgspec.Struct, frozen=True, kw_only=True):
    """A replica set as read, with the revision to compare when it is changed.

    ``replica_set`` is ``None`` and ``mod_revision`` is 0 if the key is absent.
    """

    replica_set: ReplicaSet | None
    mod_revision: Revision


def begin_change(current: ReplicaSet | None, target: tuple[ReplicaMember, ...]) -> ReplicaSet:
    """Return the record that starts a change to ``target``, or redirects one under way.

    Raises:
        ReplicaSetError: The target is empty or names a node twice.
    """
    node_ids = [member.node_id for member in target]
    if not target or len(set(node_ids)) != len(node_ids):
        raise ReplicaSetError("the target must name at least one node, and each node once")
    return ReplicaSet(
        epoch=Epoch(0) if current is None else current.epoch,
        members=() if current is None else current.members,
        phase=ReplicaSetPhase.SEALING,
        target=target,
    )


def complete_change(current: ReplicaSet) -> ReplicaSet:
    """Return the record of the next epoch, once every target member has the state.

    Raises:
        ReplicaSetError: No change is under way.
    """
    if current.is_active:
        raise ReplicaSetError("no change is under way")
    return ReplicaSet(
        epoch=Epoch(current.epoch + 1), members=current.target, phase=ReplicaSetPhase.ACTIVE
    )


def encode_replica_set(replica_set: ReplicaSet) -> bytes:
    """Return the value stored in the key-value service (JSON, so that operators can read it)."""
    return msgspec.json.encode(replica_set)


def decode_replica_set(value: bytes) -> ReplicaSet:
    """Read the stored value.

    Raises:
        ReplicaSetError: The value is not a replica set.
    """
    try:
        return msgspec.json.decode(value, type=ReplicaSet)
    except msgspec.MsgspecError as error:
        raise ReplicaSetError(str(error)) from error
