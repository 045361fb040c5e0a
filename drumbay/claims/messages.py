"""Messages between dispatchers, replicas and coordinators of epoch changes.

Every request to a replica names the target store, so that a replica that lost its disk rejects
it instead of voting with an empty state.
"""

from enum import StrEnum

from drumbay.claims.records import AnsweredClaim, Claim, KeyRecord
from drumbay.claims.replica_set import VersionedReplicaSet
from drumbay.comm.interface import Message
from drumbay.identifiers import AttemptId, Epoch, IdempotencyKey, NodeId
from drumbay.storage.interface import StoreId


class ClaimKey(Message, frozen=True, kw_only=True):
    """Requests a vote on a claim in one epoch."""

    store_id: StoreId
    epoch: Epoch
    key: IdempotencyKey
    claim: Claim


class ClaimGranted(Message, frozen=True, kw_only=True):
    """The claim is granted and durable; no other one holds the key on this replica.

    Attributes:
        released: Attempts for the key that are known to be abandoned.
    """

    released: tuple[AttemptId, ...] = ()


class ClaimHeld(Message, frozen=True, kw_only=True):
    """The claim is refused: other unreleased claims hold the key."""

    holders: tuple[Claim, ...]
    released: tuple[AttemptId, ...] = ()


class ClaimAlreadyAnswered(Message, frozen=True, kw_only=True):
    """The claim is refused: the request of this key has run."""

    answered: AnsweredClaim


class ClaimRejection(StrEnum):
    """Why a replica did not vote."""

    WRONG_STORE = "wrong_store"
    WRONG_EPOCH = "wrong_epoch"
    SEALED = "sealed"
    ATTEMPT_RELEASED = "attempt_released"
    FULL = "full"


class ClaimRejected(Message, frozen=True, kw_only=True):
    """The replica does not vote; this says nothing about other claims on the key."""

    reason: ClaimRejection
    active_epoch: Epoch


class ReleaseClaim(Message, frozen=True, kw_only=True):
    """Reports to a replica that attempts for a key were abandoned and will never run."""

    store_id: StoreId
    key: IdempotencyKey
    attempt_ids: tuple[AttemptId, ...]


class StoreAnswer(Message, frozen=True, kw_only=True):
    """Reports to a replica that an attempt has run, with its answer."""

    store_id: StoreId
    key: IdempotencyKey
    answered: AnsweredClaim


class ChangeRecorded(Message, frozen=True, kw_only=True):
    """A release or an answer is durable on this replica.

    Attributes:
        active_epoch: The replica's epoch.
        sealed: Whether that epoch is sealed, so that the next epoch may lack the change.
    """

    active_epoch: Epoch
    sealed: bool


class FetchReplicaSet(Message, frozen=True, kw_only=True):
    """Requests the newest replica set that a node knows."""


class KnownReplicaSet(Message, frozen=True, kw_only=True):
    """The newest record that a node has read; ``None`` if it has read none."""

    versioned: VersionedReplicaSet | None


class DescribeReplica(Message, frozen=True, kw_only=True):
    """Requests the identity of the claim store of a node with a disk."""


class ReplicaDescription(Message, frozen=True, kw_only=True):
    """The identity, epochs and record count of a claim store."""

    node_id: NodeId
    store_id: StoreId
    active_epoch: Epoch
    sealed_epoch: Epoch
    records: int


class SealReplica(Message, frozen=True, kw_only=True):
    """Requests that a replica permanently stop granting claims in an epoch."""

    store_id: StoreId
    epoch: Epoch


class ReplicaSealed(Message, frozen=True, kw_only=True):
    """The seal is durable; the replica grants no more claims in the epoch."""


class StartJournal(Message, frozen=True, kw_only=True):
    """Requests that a replica record which keys change from now on, until the next epoch."""

    store_id: StoreId
    journal_id: str


class JournalStarted(Message, frozen=True, kw_only=True):
    """Later changes of keys are recorded in memory, until the process ends."""


class ExportRecords(Message, frozen=True, kw_only=True):
    """Requests the records after a key, in key order.

    Attributes:
        epoch: The epoch that ends.
        after_key: Last key of the previous page; empty for the first page.
        preliminary: Whether the replica may still grant claims in the epoch; such an
            export must be followed by another one after the seal.
        journal_id: If the replica has this journal, export only the keys listed in it.
    """

    store_id: StoreId
    epoch: Epoch
    after_key: IdempotencyKey = IdempotencyKey("")
    preliminary: bool = False
    journal_id: str = ""


class RecordsExported(Message, frozen=True, kw_only=True):
    """One page of records.

    Attributes:
        records: The records; ``updated_at_seconds`` is their negative age, to which the
            receiver adds its own running time.
        complete: Whether this is the last page.
    """

    records: tuple[KeyRecord, ...]
    complete: bool


class ImportRecords(Message, frozen=True, kw_only=True):
    """Transfers records of a sealed replica to a member of the next epoch."""

    store_id: StoreId
    epoch: Epoch
    records: tuple[KeyRecord, ...]


class RecordsImported(Message, frozen=True, kw_only=True):
    """The records are durable on this replica."""


class ActivateReplica(Message, frozen=True, kw_only=True):
    """Starts the next epoch on a member that has every record of the last one."""

    store_id: StoreId
    epoch: Epoch


class ReplicaActivated(Message, frozen=True, kw_only=True):
    """The replica now serves the epoch."""
