"""Messages between dispatchers, replicas and coordinators of epoch changes.

Every request names the store it is meant for, so that a replica that lost its disk refuses
it instead of answering from an empty memory.
"""

from enum import StrEnum

from drumbay.claims.records import AnsweredClaim, Claim, KeyRecord
from drumbay.claims.replica_set import VersionedReplicaSet
from drumbay.comm.interface import Message
from drumbay.identifiers import AttemptId, Epoch, IdempotencyKey, NodeId
from drumbay.storage.interface import StoreId


class ClaimKey(Message, frozen=True, kw_only=True):
    """Asks a replica to grant a claim in one epoch."""

    store_id: StoreId
    epoch: Epoch
    key: IdempotencyKey
    claim: Claim


class ClaimGranted(Message, frozen=True, kw_only=True):
    """The claim is durable and no other one holds the key here.

    Attributes:
        released: Attempts at the key that are known to have given up.
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
    """Why a replica gave no vote at all."""

    WRONG_STORE = "wrong_store"
    WRONG_EPOCH = "wrong_epoch"
    SEALED = "sealed"
    ATTEMPT_RELEASED = "attempt_released"
    FULL = "full"


class ClaimRejected(Message, frozen=True, kw_only=True):
    """The replica gives no vote; nothing follows about other claims on the key."""

    reason: ClaimRejection
    active_epoch: Epoch


class ReleaseClaim(Message, frozen=True, kw_only=True):
    """Tells a replica that attempts at a key have given up and will never run."""

    store_id: StoreId
    key: IdempotencyKey
    attempt_ids: tuple[AttemptId, ...]


class StoreAnswer(Message, frozen=True, kw_only=True):
    """Tells a replica that an attempt has run, and with which answer."""

    store_id: StoreId
    key: IdempotencyKey
    answered: AnsweredClaim


class ChangeRecorded(Message, frozen=True, kw_only=True):
    """A release or an answer is durable here.

    Attributes:
        active_epoch: The replica's epoch.
        sealed: Whether that epoch is sealed, so that the change may miss the next one.
    """

    active_epoch: Epoch
    sealed: bool


class FetchReplicaSet(Message, frozen=True, kw_only=True):
    """Asks any node for the newest replica set that it knows."""


class KnownReplicaSet(Message, frozen=True, kw_only=True):
    """The newest record that a node has read; ``None`` if it has read none."""

    versioned: VersionedReplicaSet | None


class DescribeReplica(Message, frozen=True, kw_only=True):
    """Asks a node with a disk for the identity of its claim store."""


class ReplicaDescription(Message, frozen=True, kw_only=True):
    """The identity of a claim store and what it holds."""

    node_id: NodeId
    store_id: StoreId
    active_epoch: Epoch
    sealed_epoch: Epoch
    records: int


class SealReplica(Message, frozen=True, kw_only=True):
    """Tells a replica to stop granting claims in an epoch for good."""

    store_id: StoreId
    epoch: Epoch


class ReplicaSealed(Message, frozen=True, kw_only=True):
    """The seal is durable; the replica grants nothing more in the epoch."""


class StartJournal(Message, frozen=True, kw_only=True):
    """Asks a replica to note from now on which keys change, until the next epoch."""

    store_id: StoreId
    journal_id: str


class JournalStarted(Message, frozen=True, kw_only=True):
    """Every later change of a key is noted, as long as the process lives."""


class ExportRecords(Message, frozen=True, kw_only=True):
    """Asks a replica for its records after a key, in key order.

    Attributes:
        epoch: The epoch that is left.
        after_key: Last key of the page before; empty for the first page.
        preliminary: Whether the replica may still grant claims in the epoch; such an
            export is no substitute for one after the seal.
        journal_id: If this journal is being kept, export only the keys that it notes.
    """

    store_id: StoreId
    epoch: Epoch
    after_key: IdempotencyKey = IdempotencyKey("")
    preliminary: bool = False
    journal_id: str = ""


class RecordsExported(Message, frozen=True, kw_only=True):
    """One page of records.

    Attributes:
        records: The records; ``updated_at_seconds`` is minus their age, so that the
            receiver adds its own running time.
        complete: Whether this is the last page.
    """

    records: tuple[KeyRecord, ...]
    complete: bool


class ImportRecords(Message, frozen=True, kw_only=True):
    """Gives records of a sealed replica to a member of the next epoch."""

    store_id: StoreId
    epoch: Epoch
    records: tuple[KeyRecord, ...]


class RecordsImported(Message, frozen=True, kw_only=True):
    """The records are durable here."""


class ActivateReplica(Message, frozen=True, kw_only=True):
    """Tells a member of the next epoch that it has every record of the last one."""

    store_id: StoreId
    epoch: Epoch


class ReplicaActivated(Message, frozen=True, kw_only=True):
    """The replica takes part in the epoch from now on."""
