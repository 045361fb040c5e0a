"""What a replica remembers about one idempotency key."""

import msgspec

from drumbay.identifiers import AttemptId, BootId, Epoch, IdempotencyKey, NodeId

MAX_RELEASED_ATTEMPTS = 32
"""Released attempts remembered per key. A forgotten one costs no safety: its dispatcher has
given up for good, and a claim of it that arrives very late only blocks one replica."""


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An answer of a back end as it is replayed to later callers of the same key."""

    status: int
    content_type: str
    body: bytes


class Claim(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt's claim on a key.

    Attributes:
        attempt_id: The attempt that may be dispatched if a majority grants the claim.
        node_id: Node of the dispatcher.
        boot_id: Run of the dispatcher's process.
        digest: Digest of the request, so that a key is not used for two requests.
        claimed_at_seconds: Wall clock of the dispatcher, for operators only.
    """

    attempt_id: AttemptId
    node_id: NodeId
    boot_id: BootId
    digest: bytes
    claimed_at_seconds: float


class AnsweredClaim(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The attempt that ran, and its answer; ``None`` if the answer was too large to keep."""

    attempt_id: AttemptId
    digest: bytes
    answer: StoredAnswer | None


class KeyRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=0):
    """Everything a replica holds about one key.

    Attributes:
        key: The idempotency key.
        updated_at_seconds: Running time of the replica at the last change.
        holders: Claims that are not released; more than one only after state was copied
            from several replicas.
        released: Attempts that have given up for good.
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
    """The epochs a replica takes part in.

    Attributes:
        active_epoch: Epoch whose claims the replica may grant; 0 before its first set.
        sealed_epoch: Newest epoch in which the replica has stopped granting for good.
    """

    active_epoch: Epoch = Epoch(0)
    sealed_epoch: Epoch = Epoch(0)

    @property
    def sealed(self) -> bool:
        """Return whether the active epoch is sealed."""
        return self.sealed_epoch >= self.active_epoch


def merge_records(first: KeyRecord, second: KeyRecord) -> KeyRecord:
    """Return the union of what two replicas hold about one key.

    Every conflicting holder is kept unless one side knows that it was released. The merge
    is commutative, associative and idempotent while no more than
    :data:`MAX_RELEASED_ATTEMPTS` attempts were released.
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
