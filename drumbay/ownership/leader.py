"""One leader among the nodes: a key under a lease, whose revision is the fence.

Every machine counts as one holder. Where workers do not check fences, a machine that takes over
from another stays quiet for a while, so that no two holders give orders in turns. Where they do,
an order of the machine before is refused, and it is enough to leave each worker alone that the
machine before has lately given an order.
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

PREFIX = "drumbay/leader/"
CURRENT_KEY = f"{PREFIX}current"
LAST_KEY = f"{PREFIX}last"
RENEWALS_PER_LEASE = 2
RENEWAL_RETRY_SECONDS = 0.1
SAFETY_SHARE = 0.2
"""The leader counts its lease as over when this share of it is left."""

FIRST_RETRY_SECONDS = 0.4
LONGEST_RETRY_SECONDS = 3.0
"""While the service is away, each try of each candidate is a priced call, and up to two more by
other nodes. A candidate tries at once when its heartbeat tells that the service is back."""

JITTER_SECONDS = 0.5
WATCH_LIMIT_SECONDS = 60.0
CANDIDACY_CHECK_SECONDS = 0.1


class LeaderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Who leads: the machine and the boot of its process."""

    machine: str
    boot: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaderRecord)


class _Seen(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's keys as last read."""

    current: LeaderRecord | None
    current_revision: Revision
    last: LeaderRecord | None
    revision: Revision


class LeadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Times of the lead.

    Attributes:
        lease_seconds: How long the leader's key stays without a renewal.
        turn_seconds: Orders of two machines to one worker lie at least so far apart.
        quiet_seconds: How long a leader that follows another machine gives no order at all.
    """

    lease_seconds: float = 2.0
    turn_seconds: float = 3.0
    quiet_seconds: float = 3.0


class LeaderElection:
    """Campaigns for the lead, and says whether this node may give orders."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        record: LeaderRecord,
        generator: random.Random,
        policy: LeadPolicy,
        is_candidate: Callable[[], bool],
        returned: RecoverySignal | None = None,
    ) -> None:
        """Create a node that does not lead.

        Args:
            clock: Time.
            store: The key-value service.
            record: This node.
            generator: Source of random delays.
            policy: Times of the lead.
            is_candidate: Returns whether this node is to campaign.
            returned: Tells that the service answers this node again.
        """
        self._returned = returned or RecoverySignal()
        self._backoff = Backoff(
            generator, first_seconds=FIRST_RETRY_SECONDS, longest_seconds=LONGEST_RETRY_SECONDS
        )
        self._clock = clock
        self._store = store
        self._record = record
        self._generator = generator
        self._policy = policy
        self._is_candidate = is_candidate
        self._fence: Fence | None = None
        self._valid_until = float("-inf")
        self._quiet_until = float("-inf")
        self._duties_from = float("-inf")
        self._is_noted = False
        self._lease_id: int | None = None

    def fence(self, now: float) -> Fence | None:
        """Return the fence for orders given now; ``None`` if this node must not give any."""
        has_turn = self._is_noted or not self._policy.quiet_seconds
        if has_turn and self._quiet_until <= now < self._valid_until:
            return self._fence
        return None

    def duty_fence(self, now: float) -> Fence | None:
        """Return the fence for a call to the platform; ``None`` if this node must make none.

        A leader that follows another machine makes none for a turn: the calls of two machines
        must not come in turns, also where the platform refuses older fences.
        """
        has_turn = self._is_noted and now >= self._duties_from
        return self.fence(now) if has_turn else None

    def guard(self, fence: Fence) -> ModRevisionIs:
        """Return the comparison that holds while no other node has been elected since."""
        return ModRevisionIs(key=CURRENT_KEY, mod_revision=Revision(fence))

    def step_down(self, reason: str) -> None:
        """Lead no more, since a newer fence was seen."""
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
                await self._returned.wait(self._clock, self._backoff.next_delay_seconds())

    async def resign(self) -> None:
        """Give up the lead, so that a successor need not wait for the lease."""
        self._valid_until = float("-inf")
        if self._lease_id is None:
            return
        try:
            await self._store.revoke_lease(self._lease_id)
        except KeyValueError as error:
            log_event("leader_resign_failed", level="WARNING", error=error.code)

    async def _read(self) -> _Seen:
        found = await self._store.range_prefix(PREFIX)
        items = {item.key: item for item in found.items}
        current = items.get(CURRENT_KEY)
        last = items.get(LAST_KEY)
        return _Seen(
            current=_decoder.decode(current.value) if current else None,
            current_revision=current.mod_revision if current else Revision(0),
            last=_decoder.decode(last.value) if last else None,
            revision=found.revision,
        )

    async def _campaign(self, seen: _Seen) -> None:
        started_at = self._clock.monotonic()
        lease = await self._store.grant_lease(self._policy.lease_seconds)
        value = _encoder.encode(self._record)
        is_successor = seen.last is not None and seen.last.machine != self._record.machine
        puts = [Put(key=CURRENT_KEY, value=value, lease_id=lease.lease_id)]
        if not is_successor:
            puts.append(Put(key=LAST_KEY, value=value))
        outcome = await self._store.transact(
            (ModRevisionIs(key=CURRENT_KEY, mod_revision=seen.current_revision),), tuple(puts)
        )
        if not outcome.succeeded:
            return
        self._lease_id = lease.lease_id
        self._fence = Fence(outcome.revision)
        self._is_noted = not is_successor
        self._extend(started_at, lease.ttl_seconds)
        now = self._clock.monotonic()
        self._quiet_until = now + self._policy.quiet_seconds if is_successor else now
        self._duties_from = now + self._policy.turn_seconds if is_successor else now
        log_event("leader_elected", fence=self._fence, successor=is_successor)
        noting = asyncio.ensure_future(self._note_turn())
        try:
            await self._keep(lease.lease_id, lease.ttl_seconds)
        finally:
            noting.cancel()

    def _extend(self, asked_at: float, ttl_seconds: float) -> None:
        self._valid_until = asked_at + ttl_seconds * (1.0 - SAFETY_SHARE)

    async def _keep(self, lease_id: int, ttl_seconds: float) -> None:
        pause_seconds = ttl_seconds / RENEWALS_PER_LEASE
        while self._clock.monotonic() < self._valid_until:
            await self._clock.sleep(pause_seconds)
            asked_at = self._clock.monotonic()
            try:
                remaining_seconds = await self._store.keep_lease_alive(lease_id)
            except LeaseNotFoundError:
                break
            except KeyValueError:
                pause_seconds = RENEWAL_RETRY_SECONDS
                continue
            pause_seconds = ttl_seconds / RENEWALS_PER_LEASE
            if self._valid_until != float("-inf"):
                self._extend(asked_at, remaining_seconds)
        self._valid_until = float("-inf")
        log_event("leader_lost", level="WARNING", fence=self._fence)

    async def _note_turn(self) -> None:
        """Note this machine as the last leader once its turn begins, before it does anything.

        Noted at its election, it would not wait for the machine before it when it restarts, is
        elected again and has done nothing meanwhile. Renewals do not wait for it.
        """
        if self._is_noted or self._fence is None:
            return
        await self._clock.sleep(max(0.0, self._duties_from - self._clock.monotonic()))
        put = Put(key=LAST_KEY, value=_encoder.encode(self._record))
        while not self._is_noted:
            try:
                outcome = await self._store.transact((self.guard(self._fence),), (put,))
                self._is_noted = outcome.succeeded
            except KeyValueError as error:
                log_event("leader_not_noted", level="DEBUG", error=error.code)
            if not self._is_noted:
                await self._clock.sleep(RENEWAL_RETRY_SECONDS)

    async def _wait_for_change(self, seen: _Seen) -> None:
        deadline = self._clock.monotonic() + WATCH_LIMIT_SECONDS
        start = Revision(seen.revision + 1)
        async for batch in self._store.watch_prefix(PREFIX, start):
            if batch.events or self._clock.monotonic() > deadline:
                break
        await self._clock.sleep(self._generator.uniform(0.0, JITTER_SECONDS))
