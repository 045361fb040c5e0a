"""Runs non-repeatable requests at most once, across nodes and failures.

Before the dispatch, an attempt's claim on the idempotency key must be durable on a majority of
the replicas in one epoch. Any two majorities share a replica, and a replica grants one unreleased
claim per key, so at most one attempt is ever dispatched.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import msgspec

from drumbay.backends.interface import BackendNotReachedError, BackendRefusedError
from drumbay.claims.claimant import Claimant, ClaimResult, DispatchPermitted, GaveUp
from drumbay.claims.member_timeouts import MemberTimeouts
from drumbay.claims.messages import ReleaseClaim, StoreAnswer
from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed, ClaimFailure, ClaimOutcome
from drumbay.claims.policy import ClaimPolicy
from drumbay.claims.propagation import Propagator, ReplicaSetView
from drumbay.claims.records import AnsweredClaim, Claim, StoredAnswer
from drumbay.claims.replica_set import ReplicaSet
from drumbay.claims.voting import VotingRound
from drumbay.clock import Clock
from drumbay.comm.interface import Transport
from drumbay.identifiers import AttemptId, BootId, Epoch, IdempotencyKey, NodeId
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner

Dispatch = Callable[[AttemptId], Awaitable[StoredAnswer]]

_VIEW_POLL_INTERVAL_SECONDS = 0.05


def _is_usable(replica_set: ReplicaSet, stale_epoch: Epoch) -> bool:
    """Return whether a replica set is active and newer than a stale epoch."""
    return replica_set.is_active and replica_set.epoch > stale_epoch


class _Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to claim a key, with its start time."""

    key: IdempotencyKey
    claim: Claim
    started_monotonic_seconds: float


class ClaimService:
    """Claims idempotency keys for the requests of one node."""

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        node_id: NodeId,
        boot_id: BootId,
        random: Random,
        replica_set_view: ReplicaSetView,
        task_owner: TaskOwner,
        policy: ClaimPolicy | None = None,
    ) -> None:
        """Create a service without requests.

        Args:
            clock: Time of this process.
            transport: Sends calls to the replicas.
            node_id: This node.
            boot_id: Identity of this process run; must be unique, as attempt ids contain it.
            random: Source of randomness for jitter.
            replica_set_view: Returns the newest known replica set.
            task_owner: Owner of dispatches and of background messages.
            policy: Timeouts and retry limits.
        """
        self._clock = clock
        self._transport = transport
        self._node_id = node_id
        self._boot_id = boot_id
        self._random = random
        self._replica_set_view = replica_set_view
        self._task_owner = task_owner
        self._policy = policy or ClaimPolicy()
        self._member_timeouts = MemberTimeouts(self._policy.vote_timeout_seconds)
        self._attempt_count = 0
        self._active_dispatches = 0
        self._propagator = Propagator(
            clock=clock,
            transport=transport,
            random=random,
            replica_set_view=replica_set_view,
            task_owner=task_owner,
            call_timeout_seconds=self._policy.vote_timeout_seconds,
        )

    @property
    def active_dispatches(self) -> int:
        """Return the number of dispatches not yet answered and stored, including orphaned ones.

        A graceful shutdown waits until there are none: the outcome of an interrupted dispatch
        stays unknown until the key expires.
        """
        return self._active_dispatches

    async def run_once(
        self, key: IdempotencyKey, digest: bytes, dispatch: Dispatch
    ) -> ClaimOutcome:
        """Run a request unless one with the same key has run or may have run.

        Cancelling the caller after the dispatch started does not cancel the dispatch: the answer
        is stored for the caller's retry.

        Args:
            key: The caller's idempotency key.
            digest: Digest of the request; a different digest for the same key is a conflict.
            dispatch: Sends the request to a back end with the given attempt id. It is called
                at most once and must send without delay. It may try several back ends only
                if the earlier ones certainly did not run the request, and raises
                :class:`BackendNotReachedError` or :class:`BackendRefusedError` only if none
                did.
        """
        deadline = self._clock.monotonic() + self._policy.claim_timeout_seconds
        gave_up = GaveUp(result=ClaimResult.UNRESOLVED)
        stale_epoch = Epoch(-1)
        for round_number in range(self._policy.max_rounds):
            replica_set = await self._active_set(stale_epoch, deadline)
            if replica_set is None:
                break
            attempt = self._new_attempt(key, digest)
            decision = await self._vote(attempt, replica_set)
            if isinstance(decision, DispatchPermitted):
                return await self._run_dispatch(attempt, dispatch)
            gave_up = decision
            if not self._may_retry(decision, deadline):
                break
            if decision.view_is_stale:
                stale_epoch = replica_set.epoch
            await self._back_off(round_number)
        return self._outcome_of(gave_up)

    async def _active_set(self, stale_epoch: Epoch, deadline: float) -> ReplicaSet | None:
        """Return the active replica set of an epoch after ``stale_epoch``.

        Waits for an epoch change until the deadline; ``None`` if there was none.
        """
        while True:
            replica_set = self._replica_set_view()
            if replica_set is not None and _is_usable(replica_set, stale_epoch):
                return replica_set
            if self._clock.monotonic() >= deadline:
                return None
            await self._clock.sleep(_VIEW_POLL_INTERVAL_SECONDS)

    def _new_attempt(self, key: IdempotencyKey, digest: bytes) -> _Attempt:
        self._attempt_count += 1
        claim = Claim(
            attempt_id=AttemptId(f"{self._boot_id}-{self._attempt_count}"),
            node_id=self._node_id,
            boot_id=self._boot_id,
            digest=digest,
            claimed_at_seconds=self._clock.wall(),
        )
        return _Attempt(key=key, claim=claim, started_monotonic_seconds=self._clock.monotonic())

    def create_claimant(self, claim: Claim, replica_set: ReplicaSet) -> Claimant:
        """Return the vote counter of one attempt."""
        return Claimant(claim, replica_set)

    async def _vote(self, attempt: _Attempt, replica_set: ReplicaSet) -> DispatchPermitted | GaveUp:
        """Run a voting round; the claim is released unless the dispatch is permitted."""
        voting_round = VotingRound(
            clock=self._clock,
            transport=self._transport,
            task_owner=self._task_owner,
            key=attempt.key,
            claim=attempt.claim,
            replica_set=replica_set,
            claimant=self.create_claimant(attempt.claim, replica_set),
            member_timeouts=self._member_timeouts,
            timeout_seconds=self._policy.vote_timeout_seconds,
        )
        permitted = False
        try:
            decision = await voting_round.run()
            permitted = isinstance(decision, DispatchPermitted)
            return decision
        finally:
            if not permitted:
                self._release(attempt)

    def _may_retry(self, gave_up: GaveUp, deadline: float) -> bool:
        """Return whether a new attempt may succeed."""
        if gave_up.result in (ClaimResult.ANSWERED, ClaimResult.CONFLICT):
            return False
        lost_race = gave_up.result is ClaimResult.NOT_RUN
        in_time = self._clock.monotonic() < deadline
        return in_time and (lost_race or gave_up.view_is_stale)

    async def _back_off(self, round_number: int) -> None:
        max_delay_seconds = _VIEW_POLL_INTERVAL_SECONDS * 2**round_number
        await self._clock.sleep(self._random.uniform(0.5, 1.0) * max_delay_seconds)

    def _outcome_of(self, gave_up: GaveUp) -> ClaimOutcome:
        if gave_up.result is ClaimResult.ANSWERED and gave_up.answered is not None:
            return self._replay(gave_up.answered)
        failure = _FAILURES[gave_up.result]
        can_retry = failure is not ClaimFailure.KEY_CONFLICT
        return ClaimFailed(
            failure=failure,
            retry_after_seconds=self._policy.retry_after_seconds if can_retry else None,
        )

    @staticmethod
    def _replay(answered: AnsweredClaim) -> ClaimOutcome:
        if answered.answer is None:
            return ClaimFailed(failure=ClaimFailure.ANSWER_NOT_KEPT)
        return ClaimAnswered(answer=answered.answer, attempt_id=answered.attempt_id, replayed=True)

    async def _run_dispatch(self, attempt: _Attempt, dispatch: Dispatch) -> ClaimOutcome:
        """Dispatch in a task that continues if the caller is cancelled."""
        task = self._task_owner.spawn(self._dispatch(attempt, dispatch), "claim-dispatch")
        self._active_dispatches += 1
        task.add_done_callback(self._on_dispatch_done)
        outcome: ClaimOutcome = await asyncio.shield(task)
        return outcome

    def _on_dispatch_done(self, _task: asyncio.Task[ClaimOutcome]) -> None:
        self._active_dispatches -= 1

    async def _dispatch(self, attempt: _Attempt, dispatch: Dispatch) -> ClaimOutcome:
        if self._age_seconds(attempt) > self._policy.max_claim_age_seconds:
            self._release(attempt)
            return self._not_run(ClaimFailure.NOT_RUN)
        try:
            answer = await dispatch(attempt.claim.attempt_id)
        except Exception as error:
            return self._handle_dispatch_error(attempt, error)
        await self._store(attempt, answer)
        return ClaimAnswered(answer=answer, attempt_id=attempt.claim.attempt_id, replayed=False)

    def _age_seconds(self, attempt: _Attempt) -> float:
        """Return the claim's age.

        NOTE: the monotonic clock may stop while the system is suspended, and the wall clock may
        jump, so the larger of the two ages is used.
        """
        monotonic_age = self._clock.monotonic() - attempt.started_monotonic_seconds
        wall_age = self._clock.wall() - attempt.claim.claimed_at_seconds
        return max(monotonic_age, wall_age)

    def _handle_dispatch_error(self, attempt: _Attempt, error: Exception) -> ClaimFailed:
        if self.proves_not_run(error):
            self._release(attempt)
            return self._not_run(ClaimFailure.BACKEND_NOT_RUN, error)
        log_event(
            "claim_outcome_unknown",
            level="WARNING",
            attempt=attempt.claim.attempt_id,
            error=type(error).__name__,
            detail=str(error),
        )
        return ClaimFailed(
            failure=ClaimFailure.OUTCOME_UNKNOWN,
            retry_after_seconds=self._policy.retry_after_seconds,
            cause=error,
        )

    @staticmethod
    def proves_not_run(error: Exception) -> bool:
        """Return whether a dispatch that raised ``error`` certainly did not run."""
        return isinstance(error, BackendNotReachedError | BackendRefusedError)

    def _not_run(self, failure: ClaimFailure, cause: Exception | None = None) -> ClaimFailed:
        return ClaimFailed(
            failure=failure,
            retry_after_seconds=self._policy.retry_after_seconds,
            cause=cause,
        )

    def _release(self, attempt: _Attempt) -> None:
        """Report to the replicas that the attempt was abandoned."""
        attempt_ids = (attempt.claim.attempt_id,)
        self._propagator.start(
            lambda store_id: ReleaseClaim(
                store_id=store_id, key=attempt.key, attempt_ids=attempt_ids
            )
        )

    async def _store(self, attempt: _Attempt, answer: StoredAnswer) -> None:
        """Store an answer on a majority; a failure does not withhold it from the caller."""
        answered = AnsweredClaim(
            attempt_id=attempt.claim.attempt_id, digest=attempt.claim.digest, answer=answer
        )
        propagation = self._propagator.start(
            lambda store_id: StoreAnswer(store_id=store_id, key=attempt.key, answered=answered)
        )
        stored = await self._propagator.wait_for_majority(
            propagation, self._policy.store_timeout_seconds
        )
        if not stored:
            log_event("claim_answer_not_stored", level="WARNING", attempt=attempt.claim.attempt_id)


_FAILURES: dict[ClaimResult, ClaimFailure] = {
    ClaimResult.CONFLICT: ClaimFailure.KEY_CONFLICT,
    ClaimResult.IN_PROGRESS: ClaimFailure.IN_PROGRESS,
    ClaimResult.NOT_RUN: ClaimFailure.NOT_RUN,
    ClaimResult.UNRESOLVED: ClaimFailure.UNRESOLVED,
}
