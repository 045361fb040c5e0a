"""The replica set and its epochs: state transitions of one record in the key-value store.

A change seals the old epoch, copies its state to the new members and then starts the next
epoch, as in Liskov and Cowling, "Viewstamped Replication Revisited" (2012), section 7. The
record contains the target members during the change, so that any coordinator can finish it.
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
    """Whether the epoch is active or being replaced."""

    ACTIVE = "active"
    SEALING = "sealing"


class ReplicaMember(msgspec.Struct, frozen=True, kw_only=True):
    """One store that votes, and the address of its node."""

    node_id: NodeId
    store_id: StoreId
    address: Address
    zone: str = ""


class ReplicaSet(msgspec.Struct, frozen=True, kw_only=True):
    """The members of one epoch, and those of the next one during a change."""

    epoch: Epoch
    members: tuple[ReplicaMember, ...]
    phase: ReplicaSetPhase
    target: tuple[ReplicaMember, ...] = ()

    @property
    def majority(self) -> int:
        """Return the number of members that form a majority; 0 for an empty set."""
        return len(self.members) // 2 + 1 if self.members else 0

    @property
    def is_active(self) -> bool:
        """Return whether claims may be granted in this epoch."""
        return self.phase is ReplicaSetPhase.ACTIVE


class VersionedReplicaSet(msgspec.Struct, frozen=True, kw_only=True):
    """A replica set with the revision to compare when it is changed.

    ``replica_set`` is ``None`` and ``mod_revision`` is 0 if the key is absent.
    """

    replica_set: ReplicaSet | None
    mod_revision: Revision


def begin_change(current: ReplicaSet | None, target: tuple[ReplicaMember, ...]) -> ReplicaSet:
    """Return the record that starts a change to ``target`` or replaces the target of a change.

    Raises:
        ReplicaSetError: The target is empty or contains a node twice.
    """
    node_ids = [member.node_id for member in target]
    if not target or len(set(node_ids)) != len(node_ids):
        raise ReplicaSetError("the target must contain at least one node, and each node once")
    return ReplicaSet(
        epoch=Epoch(0) if current is None else current.epoch,
        members=() if current is None else current.members,
        phase=ReplicaSetPhase.SEALING,
        target=target,
    )


def complete_change(current: ReplicaSet) -> ReplicaSet:
    """Return the record of the next epoch, for use once every target member has the state.

    Raises:
        ReplicaSetError: No change is in progress.
    """
    if current.is_active:
        raise ReplicaSetError("no replica set change is in progress")
    return ReplicaSet(
        epoch=Epoch(current.epoch + 1), members=current.target, phase=ReplicaSetPhase.ACTIVE
    )


def encode_replica_set(replica_set: ReplicaSet) -> bytes:
    """Return the value for the key-value store (JSON, so that operators can read it)."""
    return msgspec.json.encode(replica_set)


def decode_replica_set(value: bytes) -> ReplicaSet:
    """Decode the stored value.

    Raises:
        ReplicaSetError: The value is not a replica set.
    """
    try:
        return msgspec.json.decode(value, type=ReplicaSet)
    except msgspec.MsgspecError as error:
        raise ReplicaSetError(str(error)) from error
