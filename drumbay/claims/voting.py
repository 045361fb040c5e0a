"""One voting round on a claim among the members of the replica set."""

import asyncio

import msgspec

from drumbay.claims.claimant import (
    AwaitReplies,
    Claimant,
    ClaimantDecision,
    DispatchPermitted,
    GaveUp,
    RepairMember,
)
from drumbay.claims.member_timeouts import UNRESPONSIVE_CALL_TIMEOUT_SECONDS, MemberTimeouts
from drumbay.claims.messages import ClaimKey, ReleaseClaim
from drumbay.claims.records import Claim
from drumbay.claims.replica_set import ReplicaMember, ReplicaSet
from drumbay.clock import Clock
from drumbay.comm.interface import Message, RemoteFailureError, Transport, TransportError
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import AttemptId, IdempotencyKey, NodeId
from drumbay.tasks import TaskOwner


class _Vote(msgspec.Struct, frozen=True, kw_only=True):
    """A member's reply, or ``None`` if there was none."""

    node_id: NodeId
    reply: Message | None


class VotingRound:
    """Sends one claim to every member and passes the replies to a claimant."""

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        task_owner: TaskOwner,
        key: IdempotencyKey,
        claim: Claim,
        replica_set: ReplicaSet,
        claimant: Claimant,
        member_timeouts: MemberTimeouts,
        timeout_seconds: float,
    ) -> None:
        """Create a round; nothing is sent before :meth:`run`.

        Args:
            clock: Time of this process.
            transport: Sends the claim.
            task_owner: Owner of the calls; they continue after the decision, so that every
                member receives the claim.
            key: The key to claim.
            claim: The claim.
            replica_set: An active set.
            claimant: Counts the votes.
            member_timeouts: Timeouts of the calls to each member.
            timeout_seconds: Timeout of the whole round.
        """
        self._clock = clock
        self._transport = transport
        self._task_owner = task_owner
        self._key = key
        self._claim = claim
        self._members = {member.node_id: member for member in replica_set.members}
        self._epoch = replica_set.epoch
        self._claimant = claimant
        self._member_timeouts = member_timeouts
        self._timeout_seconds = timeout_seconds
        self._votes: asyncio.Queue[_Vote] = asyncio.Queue()
        self._outstanding: dict[NodeId, None] = {}

    async def run(self) -> DispatchPermitted | GaveUp:
        """Return the final decision."""
        started_at = self._clock.monotonic()
        for member in self._members.values():
            self._request_vote(member, ())
        while True:
            try:
                vote = await self._next_vote(started_at)
            except DeadlineExceededError:
                return self._claimant.on_timeout()
            self._outstanding.pop(vote.node_id, None)
            decision = self._count_vote(vote)
            while isinstance(decision, RepairMember):
                self._request_vote(self._members[decision.node_id], decision.attempt_ids)
                decision = self._claimant.next_decision()
            if not isinstance(decision, AwaitReplies):
                return decision

    async def _next_vote(self, started_at: float) -> _Vote:
        """Wait for the next vote.

        Raises:
            DeadlineExceededError: The round timed out, or only unresponsive members are left.
        """
        for max_wait_seconds in (
            min(UNRESPONSIVE_CALL_TIMEOUT_SECONDS, self._timeout_seconds),
            self._timeout_seconds,
        ):
            remaining_seconds = started_at + max_wait_seconds - self._clock.monotonic()
            try:
                return await self._clock.wait_for(self._votes.get(), max(0.0, remaining_seconds))
            except DeadlineExceededError:
                if all(
                    self._member_timeouts.is_unresponsive(node_id) for node_id in self._outstanding
                ):
                    raise
        raise DeadlineExceededError("the voting round timed out")

    def _count_vote(self, vote: _Vote) -> ClaimantDecision:
        if vote.reply is None:
            return self._claimant.on_failure(vote.node_id)
        return self._claimant.on_reply(vote.node_id, vote.reply)

    def _request_vote(self, member: ReplicaMember, released: tuple[AttemptId, ...]) -> None:
        self._outstanding[member.node_id] = None
        self._task_owner.spawn(self._call_member(member, released), "claim-vote")

    async def _call_member(self, member: ReplicaMember, released: tuple[AttemptId, ...]) -> None:
        """Request one member's vote, after sending it the releases that it missed."""
        reply: Message | None = None
        try:
            if released:
                await self._send(
                    member,
                    ReleaseClaim(store_id=member.store_id, key=self._key, attempt_ids=released),
                )
            reply = await self._send(
                member,
                ClaimKey(
                    store_id=member.store_id,
                    epoch=self._epoch,
                    key=self._key,
                    claim=self._claim,
                ),
            )
        except TransportError:
            pass
        self._votes.put_nowait(_Vote(node_id=member.node_id, reply=reply))

    async def _send(self, member: ReplicaMember, request: Message) -> Message:
        node_id = member.node_id
        max_wait_seconds = self._member_timeouts.start_call(node_id)
        try:
            reply = await self._transport.call(
                member.address, request, timeout_seconds=max_wait_seconds
            )
        except RemoteFailureError:
            self._member_timeouts.record_reply(node_id)
            raise
        except TransportError:
            self._member_timeouts.record_timeout(node_id, max_wait_seconds)
            raise
        self._member_timeouts.record_reply(node_id)
        return reply
