"""Leader election: the leader holds a key under a lease, and the key's revision is its fence.

A process that restarts on the same machine counts as the same leader. If workers do not check
fences, a leader on another machine delays its first orders, so that the orders of two machines do
not interleave. If workers do check fences, they reject orders of the previous leader, and a new
leader only has to avoid workers that recently received one.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.identifiers import Fence, Revision
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import (
    KeyValueError,
    KeyValueStore,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
)
from drumbay.kv.recovery_signal import RecoverySignal
from drumbay.observability.logs import log_event

LEADER_PREFIX = "drumbay/leader/"
LEADER_KEY = f"{LEADER_PREFIX}current"
LAST_LEADER_KEY = f"{LEADER_PREFIX}last"
RENEWALS_PER_LEASE = 2
RENEWAL_RETRY_SECONDS = 0.1
SAFETY_MARGIN_FRACTION = 0.2
"""The leader stops acting when this fraction of its lease is left."""

INITIAL_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 3.0
"""Limits the rate of calls while the store is unavailable. A candidate retries immediately when
its heartbeat reports that the store has recovered."""

JITTER_SECONDS = 0.5
MAX_WATCH_SECONDS = 60.0
CANDIDACY_CHECK_SECONDS = 0.1


class LeaderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The leader: its machine and the boot identity of its process."""

    machine: str
    boot: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaderRecord)


class _LeaderKeys(msgspec.Struct, frozen=True, kw_only=True):
    """The leader keys as last read."""

    current: LeaderRecord | None
    current_revision: Revision
    last: LeaderRecord | None
    revision: Revision


class LeadershipPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of leadership.

    Attributes:
        lease_seconds: Time to live of the leader's lease without a renewal.
        duty_delay_seconds: Minimum time between orders of two machines to one worker.
        order_delay_seconds: How long a leader that follows another machine gives no orders.
    """

    lease_seconds: float = 2.0
    duty_delay_seconds: float = 3.0
    order_delay_seconds: float = 3.0


class LeaderElection:
    """Campaigns for leadership, and reports whether this node may give orders."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        record: LeaderRecord,
        generator: random.Random,
        policy: LeadershipPolicy,
        is_candidate: Callable[[], bool],
        recovery_signal: RecoverySignal | None = None,
    ) -> None:
        """Create a node that does not lead.

        Args:
            clock: Time source.
            store: The key-value store.
            record: This node.
            generator: Source of random delays.
            policy: Timing of leadership.
            is_candidate: Returns whether this node should campaign.
            recovery_signal: Signals that the store has recovered.
        """
        self._recovery_signal = recovery_signal or RecoverySignal()
        self._backoff = Backoff(
            generator, first_seconds=INITIAL_RETRY_SECONDS, max_seconds=MAX_RETRY_SECONDS
        )
        self._clock = clock
        self._store = store
        self._record = record
        self._generator = generator
        self._policy = policy
        self._is_candidate = is_candidate
        self._fence: Fence | None = None
        self._valid_until = float("-inf")
        self._orders_allowed_from = float("-inf")
        self._duties_allowed_from = float("-inf")
        self._is_recorded_as_last = False
        self._lease_id: int | None = None

    def fence(self, now: float) -> Fence | None:
        """Return the fence for orders; ``None`` if this node must not give orders now."""
        may_act = self._is_recorded_as_last or not self._policy.order_delay_seconds
        if may_act and self._orders_allowed_from <= now < self._valid_until:
            return self._fence
        return None

    def duty_fence(self, now: float) -> Fence | None:
        """Return the fence for calls to the platform; ``None`` if this node must not make any now.

        A leader that follows another machine waits for ``duty_delay_seconds``: the calls of two
        machines must not interleave, even if the platform rejects older fences.
        """
        may_act = self._is_recorded_as_last and now >= self._duties_allowed_from
        return self.fence(now) if may_act else None

    def guard(self, fence: Fence) -> ModRevisionIs:
        """Return the comparison that succeeds while no other node was elected since."""
        return ModRevisionIs(key=LEADER_KEY, mod_revision=Revision(fence))

    def step_down(self, reason: str) -> None:
        """Stop leading because a newer fence was seen."""
        log_event("leader_stepped_down", level="WARNING", reason=reason, fence=self._fence)
        self._valid_until = float("-inf")

    async def run(self) -> None:
        """Campaign and lead until cancelled."""
        while True:
            if not self._is_candidate():
                await self._clock.sleep(CANDIDACY_CHECK_SECONDS)
                continue
            try:
                seen = await self._read()
                self._backoff.reset()
                if seen.current is None or seen.current.machine == self._record.machine:
                    await self._campaign(seen)
                else:
                    await self._wait_for_change(seen)
            except KeyValueError as error:
                log_event("leader_election_failed", level="DEBUG", error=error.code)
                await self._recovery_signal.wait(self._clock, self._backoff.next_delay_seconds())

    async def resign(self) -> None:
        """Give up leadership, so that a successor need not wait for the lease to expire."""
        self._valid_until = float("-inf")
        if self._lease_id is None:
            return
        try:
            await self._store.revoke_lease(self._lease_id)
        except KeyValueError as error:
            log_event("leader_resign_failed", level="WARNING", error=error.code)

    async def _read(self) -> _LeaderKeys:
        response = await self._store.range_prefix(LEADER_PREFIX)
        items = {item.key: item for item in response.items}
        current = items.get(LEADER_KEY)
        last = items.get(LAST_LEADER_KEY)
        return _LeaderKeys(
            current=_decoder.decode(current.value) if current else None,
            current_revision=current.mod_revision if current else Revision(0),
            last=_decoder.decode(last.value) if last else None,
            revision=response.revision,
        )

    async def _campaign(self, seen: _LeaderKeys) -> None:
        started_at = self._clock.monotonic()
        lease = await self._store.grant_lease(self._policy.lease_seconds)
        value = _encoder.encode(self._record)
        follows_other_machine = seen.last is not None and seen.last.machine != self._record.machine
        puts = [Put(key=LEADER_KEY, value=value, lease_id=lease.lease_id)]
        if not follows_other_machine:
            puts.append(Put(key=LAST_LEADER_KEY, value=value))
        outcome = await self._store.transact(
            (ModRevisionIs(key=LEADER_KEY, mod_revision=seen.current_revision),), tuple(puts)
        )
        if not outcome.succeeded:
            return
        self._lease_id = lease.lease_id
        self._fence = Fence(outcome.revision)
        self._is_recorded_as_last = not follows_other_machine
        self._extend_validity(started_at, lease.ttl_seconds)
        now = self._clock.monotonic()
        self._orders_allowed_from = (
            now + self._policy.order_delay_seconds if follows_other_machine else now
        )
        self._duties_allowed_from = (
            now + self._policy.duty_delay_seconds if follows_other_machine else now
        )
        log_event("leader_elected", fence=self._fence, successor=follows_other_machine)
        record_task = asyncio.ensure_future(self._record_last_leader())
        try:
            await self._renew_lease(lease.lease_id, lease.ttl_seconds)
        finally:
            record_task.cancel()

    def _extend_validity(self, sent_at: float, ttl_seconds: float) -> None:
        self._valid_until = sent_at + ttl_seconds * (1.0 - SAFETY_MARGIN_FRACTION)

    async def _renew_lease(self, lease_id: int, ttl_seconds: float) -> None:
        renew_delay_seconds = ttl_seconds / RENEWALS_PER_LEASE
        while self._clock.monotonic() < self._valid_until:
            await self._clock.sleep(renew_delay_seconds)
            sent_at = self._clock.monotonic()
            try:
                remaining_seconds = await self._store.keep_lease_alive(lease_id)
            except LeaseNotFoundError:
                break
            except KeyValueError:
                renew_delay_seconds = RENEWAL_RETRY_SECONDS
                continue
            renew_delay_seconds = ttl_seconds / RENEWALS_PER_LEASE
            if self._valid_until != float("-inf"):
                self._extend_validity(sent_at, remaining_seconds)
        self._valid_until = float("-inf")
        log_event("leader_lost", level="WARNING", fence=self._fence)

    async def _record_last_leader(self) -> None:
        """Record this machine as the last leader before it starts to act.

        If it were recorded at its election, it would skip the wait for the previous machine when
        it restarts and is elected again before it has acted. Runs concurrently with renewals.
        """
        if self._is_recorded_as_last or self._fence is None:
            return
        await self._clock.sleep(max(0.0, self._duties_allowed_from - self._clock.monotonic()))
        put = Put(key=LAST_LEADER_KEY, value=_encoder.encode(self._record))
        while not self._is_recorded_as_last:
            try:
                outcome = await self._store.transact((self.guard(self._fence),), (put,))
                self._is_recorded_as_last = outcome.succeeded
            except KeyValueError as error:
                log_event("leader_not_noted", level="DEBUG", error=error.code)
            if not self._is_recorded_as_last:
                await self._clock.sleep(RENEWAL_RETRY_SECONDS)

    async def _wait_for_change(self, seen: _LeaderKeys) -> None:
        deadline = self._clock.monotonic() + MAX_WATCH_SECONDS
        start = Revision(seen.revision + 1)
        async for batch in self._store.watch_prefix(LEADER_PREFIX, start):
            if batch.events or self._clock.monotonic() > deadline:
                break
        await self._clock.sleep(self._generator.uniform(0.0, JITTER_SECONDS))
