"""Sends the lease grants and renewals requested by the lease state."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.kv.backoff import Backoff
from drumbay.kv.interface import KeyValueError, KeyValueStore, LeaseNotFoundError
from drumbay.observability.logs import log_event
from drumbay.ownership.lease_state import (
    GrantLease,
    LeaseEvent,
    LeaseGone,
    LeaseHeld,
    LeaseState,
    RenewLease,
    ReportChange,
    RequestFailed,
    Tick,
)
from drumbay.ownership.records import OwnershipChange, OwnershipParameters

MIN_WAIT_SECONDS = 0.001

MIN_RENEW_INTERVAL_FRACTION = 0.8
"""Minimum time between renewals, as a fraction of the maximum."""


class LeaseKeeper:
    """Passes events to the lease state and carries out its decisions."""

    def __init__(
        self,
        clock: Clock,
        store: KeyValueStore,
        state: LeaseState,
        generator: random.Random,
        parameters: OwnershipParameters,
        *,
        on_change: Callable[[OwnershipChange], None],
        on_lease_confirmed: Callable[[], None],
    ) -> None:
        """Create a keeper.

        Args:
            clock: Time source.
            store: The key-value store.
            state: Decides when to send requests.
            generator: Source of randomness for jitter.
            parameters: Timing.
            on_change: Called with each change of standing.
            on_lease_confirmed: Called after each successful grant or renewal.
        """
        self._clock = clock
        self._store = store
        self._state = state
        self._generator = generator
        self._parameters = parameters
        self._on_change = on_change
        self._on_lease_confirmed = on_lease_confirmed
        self._wakeup = asyncio.Event()
        self._backoff = Backoff(
            generator,
            first_seconds=parameters.initial_retry_seconds,
            max_seconds=parameters.max_retry_seconds,
        )

    async def run(self) -> None:
        """Keep the lease until cancelled."""
        while True:
            self._wakeup.clear()
            for request in self._apply(Tick()):
                await self._send(request)
            await self._wait_for_wakeup()

    def handle(self, event: LeaseEvent) -> None:
        """Process an event and report the resulting changes."""
        self._apply(event)
        self._wakeup.set()

    def want_lease(self, wanted: bool) -> None:
        """Set whether a lease is needed to campaign."""
        self._state.want_lease(self._clock.monotonic(), wanted)
        self._wakeup.set()

    def _apply(self, event: LeaseEvent) -> tuple[GrantLease | RenewLease, ...]:
        """Pass an event to the state, report changes, and return the requests to send."""
        requests: list[GrantLease | RenewLease] = []
        for decision in self._state.handle(self._clock.monotonic(), event):
            if isinstance(decision, ReportChange):
                self._report_change(decision.change)
            else:
                requests.append(decision)
        return tuple(requests)

    def _report_change(self, change: OwnershipChange) -> None:
        log_event(
            "ownership_changed",
            resource=change.name,
            fence=int(change.fence),
            standing=change.standing.value,
            reason=change.reason.value,
        )
        self._on_change(change)

    async def _wait_for_wakeup(self) -> None:
        wakeup_at = self._state.next_wakeup()
        if wakeup_at is None:
            await self._wakeup.wait()
            return
        # NOTE: a timer may fire slightly early; the minimum wait prevents a busy loop.
        seconds = max(wakeup_at - self._clock.monotonic(), MIN_WAIT_SECONDS)
        with suppress(DeadlineExceededError):
            await self._clock.wait_for(self._wakeup.wait(), seconds)

    async def _send(self, request: GrantLease | RenewLease) -> None:
        # NOTE: the time must be taken before the request is sent; see lease_state.
        sent_at = self._clock.monotonic()
        try:
            confirmed = await self._grant_or_renew(request, sent_at)
        except LeaseNotFoundError:
            assert isinstance(request, RenewLease)
            self.handle(LeaseGone(lease_id=request.lease_id))
            return
        except KeyValueError as error:
            log_event("ownership_lease_request_failed", level="WARNING", error=error.code)
            delay_seconds = self._backoff.next_delay_seconds()
            self.handle(RequestFailed(sent_at=sent_at, retry_delay_seconds=delay_seconds))
            return
        self._backoff.reset()
        self.handle(confirmed)
        self._on_lease_confirmed()

    async def _grant_or_renew(self, request: GrantLease | RenewLease, sent_at: float) -> LeaseHeld:
        if isinstance(request, GrantLease):
            grant = await self._store.grant_lease(self._parameters.ttl_seconds)
            lease_id, ttl_seconds = grant.lease_id, grant.ttl_seconds
        else:
            lease_id = request.lease_id
            ttl_seconds = await self._store.keep_lease_alive(lease_id)
        # NOTE: the jitter spreads the renewals of nodes that started at the same time.
        jitter = self._generator.uniform(MIN_RENEW_INTERVAL_FRACTION, 1.0)
        return LeaseHeld(
            lease_id=lease_id,
            sent_at=sent_at,
            ttl_seconds=ttl_seconds,
            renew_delay_seconds=self._parameters.renew_interval_seconds * jitter,
        )
