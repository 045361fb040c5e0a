"""Counts the votes on one attempt's claim and decides whether it may be dispatched.

A state machine without input or output. It reaches exactly one final decision. Unless that is
:class:`DispatchPermitted`, the attempt is abandoned and was never sent to a back end.
"""

from enum import StrEnum

import msgspec

from drumbay.claims.messages import (
    ClaimAlreadyAnswered,
    ClaimGranted,
    ClaimHeld,
    ClaimRejected,
    ClaimRejection,
)
from drumbay.claims.records import AnsweredClaim, Claim
from drumbay.claims.replica_set import ReplicaSet
from drumbay.comm.interface import Message
from drumbay.identifiers import AttemptId, NodeId


class ClaimResult(StrEnum):
    """Why an attempt was abandoned."""

    ANSWERED = "answered"
    """The request of this key has run; its answer is known."""

    CONFLICT = "conflict"
    """Another request holds this key; this one never ran."""

    IN_PROGRESS = "in_progress"
    """Another attempt holds or may hold the key."""

    NOT_RUN = "not_run"
    """No earlier attempt has run or will run."""

    UNRESOLVED = "unresolved"
    """Too few replicas voted to rule out an earlier attempt."""


class AwaitReplies(msgspec.Struct, frozen=True):
    """More replies are needed."""


class RepairMember(msgspec.Struct, frozen=True, kw_only=True):
    """A replica missed releases: send them, then repeat the claim there."""

    node_id: NodeId
    attempt_ids: tuple[AttemptId, ...]


class DispatchPermitted(msgspec.Struct, frozen=True):
    """A majority granted the claim in one epoch; the request is dispatched once."""


class GaveUp(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt is abandoned and will never run.

    Attributes:
        result: What is known about the key.
        answered: The stored answer to replay, if the result is ``ANSWERED``.
        view_is_stale: Whether a replica reported another epoch, so that a new attempt with a
            newer replica set may succeed.
    """

    result: ClaimResult
    answered: AnsweredClaim | None = None
    view_is_stale: bool = False


ClaimantDecision = AwaitReplies | RepairMember | DispatchPermitted | GaveUp

_STALE_VIEW_REJECTIONS = (ClaimRejection.WRONG_EPOCH, ClaimRejection.SEALED)


class Claimant:
    """Counts the votes on one claim in one epoch."""

    def __init__(self, claim: Claim, replica_set: ReplicaSet) -> None:
        """Create a claimant whose claim was sent to every member of an active set."""
        self._claim = claim
        self._replica_set = replica_set
        # Dictionaries instead of sets keep the order, so that decisions are deterministic.
        self._outstanding = {member.node_id: None for member in replica_set.members}
        self._granted: dict[NodeId, None] = {}
        self._held: dict[NodeId, tuple[Claim, ...]] = {}
        self._repaired: dict[NodeId, None] = {}
        self._released: dict[AttemptId, None] = {}
        self._answered: AnsweredClaim | None = None
        self._view_is_stale = False

    @property
    def votes_needed(self) -> int:
        """Return how many grants are needed for the dispatch."""
        return self._replica_set.majority

    def on_reply(self, node_id: NodeId, reply: Message) -> ClaimantDecision:
        """Process a member's reply."""
        self._outstanding.pop(node_id, None)
        if isinstance(reply, ClaimGranted):
            self._granted[node_id] = None
            self._add_released(reply.released)
        elif isinstance(reply, ClaimHeld):
            self._held[node_id] = reply.holders
            self._add_released(reply.released)
        elif isinstance(reply, ClaimAlreadyAnswered):
            self._answered = reply.answered
        elif isinstance(reply, ClaimRejected) and reply.reason in _STALE_VIEW_REJECTIONS:
            self._view_is_stale = True
        return self.next_decision()

    def on_failure(self, node_id: NodeId) -> ClaimantDecision:
        """Process the failure of a call to a member."""
        self._outstanding.pop(node_id, None)
        return self.next_decision()

    def on_timeout(self) -> GaveUp:
        """Abandon the attempt because the voting round timed out."""
        self._outstanding.clear()
        return self._give_up()

    def _add_released(self, released: tuple[AttemptId, ...]) -> None:
        self._released.update(dict.fromkeys(released))

    def next_decision(self) -> ClaimantDecision:
        """Return what to do next; the repair of a member is returned only once."""
        if self._answered is not None:
            return self._give_up()
        if len(self._granted) >= self.votes_needed:
            return DispatchPermitted()
        repair = self._next_repair()
        if repair is not None:
            return repair
        if len(self._granted) + len(self._outstanding) >= self.votes_needed:
            return AwaitReplies()
        if self._outstanding and self._may_change_result():
            return AwaitReplies()
        return self._give_up()

    def _next_repair(self) -> RepairMember | None:
        """Return the repair of a member all of whose holders were released at another replica."""
        for node_id, holders in self._held.items():
            all_released = all(claim.attempt_id in self._released for claim in holders)
            if all_released and node_id not in self._repaired:
                return self._repair(node_id, holders)
        return None

    def _repair(self, node_id: NodeId, holders: tuple[Claim, ...]) -> RepairMember:
        del self._held[node_id]
        self._repaired[node_id] = None
        self._outstanding[node_id] = None
        return RepairMember(
            node_id=node_id, attempt_ids=tuple(claim.attempt_id for claim in holders)
        )

    def _may_change_result(self) -> bool:
        """Return whether outstanding replies can still change the result."""
        return not self._some_claim_has_majority() and self._some_claim_could_have_majority()

    def _holder_counts(self) -> dict[AttemptId, int]:
        counts: dict[AttemptId, int] = {}
        for holders in self._held.values():
            for claim in holders:
                if claim.attempt_id not in self._released:
                    counts[claim.attempt_id] = counts.get(claim.attempt_id, 0) + 1
        return counts

    def _some_claim_has_majority(self) -> bool:
        return max(self._holder_counts().values(), default=0) >= self._replica_set.majority

    def _some_claim_could_have_majority(self) -> bool:
        """Return whether an earlier attempt may have been permitted to run.

        Such an attempt holds unreleased claims on a majority, so it is ruled out when too few
        members can still hold any one claim.
        """
        unknown = len(self._replica_set.members) - len(self._granted) - len(self._held)
        max_count = max(self._holder_counts().values(), default=0)
        return max_count + unknown >= self._replica_set.majority

    def _give_up(self) -> GaveUp:
        return GaveUp(
            result=self._result(), answered=self._answered, view_is_stale=self._view_is_stale
        )

    def _result(self) -> ClaimResult:
        if self._answered is not None:
            same_request = self._answered.digest == self._claim.digest
            return ClaimResult.ANSWERED if same_request else ClaimResult.CONFLICT
        if self._some_claim_has_majority():
            return self._result_against_majority_holder()
        if not self._some_claim_could_have_majority():
            return ClaimResult.NOT_RUN
        return ClaimResult.IN_PROGRESS if self._holder_counts() else ClaimResult.UNRESOLVED

    def _result_against_majority_holder(self) -> ClaimResult:
        counts = self._holder_counts()
        majority = self._replica_set.majority
        holders = [
            claim
            for held in self._held.values()
            for claim in held
            if counts.get(claim.attempt_id, 0) >= majority
        ]
        same_request = any(claim.digest == self._claim.digest for claim in holders)
        return ClaimResult.IN_PROGRESS if same_request else ClaimResult.CONFLICT
