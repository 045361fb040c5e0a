"""Stored records of claim replicas."""

import msgspec

from drumbay.identifiers import AttemptId, BootId, Epoch, IdempotencyKey, NodeId

MAX_RELEASED_ATTEMPTS = 32
"""Maximum number of released attempts stored per key. Dropping one does not affect safety: its
dispatcher never runs it, and a late claim of it only blocks the key on one replica."""


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An answer of a back end, stored for replay to later callers with the same key."""

    status: int
    content_type: str
    body: bytes


class Claim(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt's claim on a key.

    Attributes:
        attempt_id: The attempt that may be dispatched if a majority grants the claim.
        node_id: Node of the dispatcher.
        boot_id: Identity of the dispatcher's process run.
        digest: Digest of the request, to detect the use of a key for two requests.
        claimed_at_seconds: Wall-clock time at the dispatcher.
    """

    attempt_id: AttemptId
    node_id: NodeId
    boot_id: BootId
    digest: bytes
    claimed_at_seconds: float


class AnsweredClaim(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The attempt that ran and its answer, which is ``None`` if it was too large to store."""

    attempt_id: AttemptId
    digest: bytes
    answer: StoredAnswer | None


class KeyRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=0):
    """The state of one key on a replica.

    Attributes:
        key: The idempotency key.
        updated_at_seconds: Running time of the replica at the last change.
        holders: Unreleased claims; more than one only after records of several replicas
            were merged.
        released: Abandoned attempts.
        answered: Set once the request has run and been answered.
    """

    key: IdempotencyKey
    updated_at_seconds: float
    holders: tuple[Claim, ...] = ()
    released: tuple[AttemptId, ...] = ()
    answered: AnsweredClaim | None = None

    def holder(self, attempt_id: AttemptId) -> Claim | None:
        """Return the unreleased claim of an attempt, if there is one."""
        return next((each for each in self.holders if each.attempt_id == attempt_id), None)


class EpochState(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=1):
    """The epochs of a replica.

    Attributes:
        active_epoch: Epoch whose claims the replica may grant; 0 before its first set.
        sealed_epoch: Newest epoch in which the replica permanently stopped granting claims.
    """

    active_epoch: Epoch = Epoch(0)
    sealed_epoch: Epoch = Epoch(0)

    @property
    def sealed(self) -> bool:
        """Return whether the active epoch is sealed."""
        return self.sealed_epoch >= self.active_epoch


def merge_records(first: KeyRecord, second: KeyRecord) -> KeyRecord:
    """Return the union of two replicas' records of one key.

    Conflicting holders are all kept unless one record lists them as released. The merge is
    commutative, associative and idempotent up to :data:`MAX_RELEASED_ATTEMPTS` released attempts.
    """
    answered = first.answered or second.answered
    released = _union_of_released(first.released, second.released)
    by_attempt = {claim.attempt_id: claim for claim in first.holders + second.holders}
    holders = tuple(by_attempt[each] for each in sorted(by_attempt) if each not in released)
    return KeyRecord(
        key=first.key,
        updated_at_seconds=max(first.updated_at_seconds, second.updated_at_seconds),
        holders=() if answered is not None else holders,
        released=released,
        answered=answered,
    )


def _union_of_released(
    first: tuple[AttemptId, ...], second: tuple[AttemptId, ...]
) -> tuple[AttemptId, ...]:
    merged = sorted({*first, *second})
    return tuple(merged[-MAX_RELEASED_ATTEMPTS:])
