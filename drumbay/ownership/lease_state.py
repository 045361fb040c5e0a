"""Decides when a node renews its lease and how far it may act for what it owns.

One lease carries all of a node's ownership keys. Its validity is judged on the node's own
monotonic clock from the moment before a grant or a renewal was sent, less a margin: the
service starts the time to live later than that, so the node's claim ends first (Gray and
Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", 1989, section 2). A claim that ends too late is still harmless, because
receivers check the fence.
"""

import msgspec

from drumbay.identifiers import Fence
from drumbay.ownership.records import (
    ChangeReason,
    OwnershipChange,
    OwnershipParameters,
    Standing,
)

NEVER = float("-inf")


class LeaseHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Event: a grant or a renewal was answered.

    Attributes:
        lease_id: The lease.
        sent_at: Monotonic time before the request was sent.
        ttl_seconds: Time to live, counted by the service from when it served the request.
        renew_delay_seconds: How long after ``sent_at`` to send the next renewal.
    """

    lease_id: int
    sent_at: float
    ttl_seconds: float
    renew_delay_seconds: float


class RequestFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Event: a grant or a renewal was refused, or its answer was lost.

    Attributes:
        sent_at: Monotonic time before the request was sent.
        retry_delay_seconds: How long to wait before the next one.
    """

    sent_at: float
    retry_delay_seconds: float


class LeaseGone(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the service answered that the lease does not exist, so its keys are gone."""

    lease_id: int


class KeyWon(msgspec.Struct, frozen=True, kw_only=True):
    """Event: an ownership key is bound to this node's lease."""

    name: str
    fence: Fence
    lease_id: int


class KeyGone(msgspec.Struct, frozen=True, kw_only=True):
    """Event: an ownership key with this fence was removed."""

    name: str
    fence: Fence
    reason: ChangeReason


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Event: time has passed."""


LeaseEvent = LeaseHeld | RequestFailed | LeaseGone | KeyWon | KeyGone | Tick


class GrantLease(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: ask for a new lease now."""


class RenewLease(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: renew the lease now."""

    lease_id: int


class Announce(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: tell the listeners of a change."""

    change: OwnershipChange


LeaseDecision = GrantLease | RenewLease | Announce


class LeaseState:
    """A node's lease and the resources owned under it."""

    def __init__(self, parameters: OwnershipParameters) -> None:
        """Create a state without lease that wants none."""
        self._parameters = parameters
        self._wanted = False
        self._lease_id: int | None = None
        self._valid_until = NEVER
        self._last_failure_sent_at = NEVER
        self._next_request_at = NEVER
        self._request_in_flight = False
        self._holdings: dict[str, Fence] = {}
        self._announced = Standing.NOT_HELD

    @property
    def lease_id(self) -> int | None:
        """Return the lease last granted, unless it is known to be gone."""
        return self._lease_id

    @property
    def holdings(self) -> dict[str, Fence]:
        """Return the owned resources with their fences, in the order of winning."""
        return dict(self._holdings)

    def want_lease(self, now: float, wanted: bool) -> None:
        """State whether a lease is needed; one that is not needed is left to run out."""
        if wanted and not self._needs_requests() and now >= self._valid_until:
            self._lease_id = None
        self._wanted = wanted

    def lease_standing(self, now: float) -> Standing:
        """Return how far the node may act under its lease."""
        if self._lease_id is None:
            return Standing.NOT_HELD
        if now < self._valid_until:
            return Standing.VALID
        # NOTE: a failure of before a freeze says nothing about what others did meanwhile.
        oldest_failure_at = max(self._valid_until, now - self._parameters.ttl_seconds)
        if self._last_failure_sent_at >= oldest_failure_at:
            return Standing.UNCONFIRMED
        return Standing.SUSPENDED

    def standing(self, name: str, now: float) -> Standing:
        """Return how far the node may act for a resource."""
        if name not in self._holdings:
            return Standing.NOT_HELD
        return self.lease_standing(now)

    def fence(self, name: str) -> Fence | None:
        """Return the fence of an owned resource, whatever its standing."""
        return self._holdings.get(name)

    def next_wakeup(self) -> float | None:
        """Return when the next :class:`Tick` is due; ``None`` if nothing is due."""
        due: list[float] = []
        if self._needs_requests() and not self._request_in_flight:
            due.append(self._next_request_at)
        if self._announced is Standing.VALID and self._holdings:
            due.append(self._valid_until)
        return min(due, default=None)

    def handle(self, now: float, event: LeaseEvent) -> tuple[LeaseDecision, ...]:
        """Take in an event and return what to do; only a tick leads to requests."""
        decisions: list[LeaseDecision] = []
        if isinstance(event, LeaseHeld):
            self._handle_held(event)
        elif isinstance(event, RequestFailed):
            self._handle_failure(now, event)
        elif isinstance(event, LeaseGone):
            decisions.extend(self._handle_gone(now, event))
        elif isinstance(event, KeyWon):
            decisions.extend(self._handle_won(now, event))
        elif isinstance(event, KeyGone):
            decisions.extend(self._handle_key_gone(event))
        decisions.extend(self._announce_standing(now))
        if isinstance(event, Tick):
            decisions.extend(self._decide_request(now))
        return tuple(decisions)

    def _handle_held(self, event: LeaseHeld) -> None:
        self._request_in_flight = False
        if event.lease_id != self._lease_id:
            self._valid_until = NEVER
        self._lease_id = event.lease_id
        margin_seconds = self._parameters.safety_margin_seconds
        valid_until = event.sent_at + event.ttl_seconds - margin_seconds
        self._valid_until = max(self._valid_until, valid_until)
        self._next_request_at = event.sent_at + event.renew_delay_seconds

    def _handle_failure(self, now: float, event: RequestFailed) -> None:
        self._request_in_flight = False
        self._last_failure_sent_at = event.sent_at
        self._next_request_at = now + event.retry_delay_seconds

    def _handle_gone(self, now: float, event: LeaseGone) -> list[LeaseDecision]:
        self._request_in_flight = False
        if event.lease_id != self._lease_id:
            return []
        lost: list[LeaseDecision] = [
            self._announce(name, ChangeReason.LEASE_LOST) for name in self._holdings
        ]
        self._holdings.clear()
        self._lease_id = None
        self._valid_until = NEVER
        self._next_request_at = now
        return lost

    def _handle_won(self, now: float, event: KeyWon) -> list[LeaseDecision]:
        if event.lease_id != self._lease_id or event.fence <= self._holdings.get(event.name, 0):
            return []
        self._holdings[event.name] = event.fence
        standing = self.lease_standing(now)
        change = OwnershipChange(
            name=event.name,
            fence=event.fence,
            standing=standing,
            reason=ChangeReason.CAMPAIGN_WON,
        )
        return [Announce(change=change)]

    def _handle_key_gone(self, event: KeyGone) -> list[LeaseDecision]:
        if self._holdings.get(event.name) != event.fence:
            return []
        announcement = self._announce(event.name, event.reason)
        del self._holdings[event.name]
        return [announcement]

    def _announce(self, name: str, reason: ChangeReason) -> Announce:
        """Announce the loss of a resource that is still in the holdings."""
        change = OwnershipChange(
            name=name, fence=self._holdings[name], standing=Standing.NOT_HELD, reason=reason
        )
        return Announce(change=change)

    def _announce_standing(self, now: float) -> list[LeaseDecision]:
        standing = self.lease_standing(now)
        if standing is self._announced:
            return []
        self._announced = standing
        reason = _REASONS.get(standing)
        if reason is None:
            return []
        return [
            Announce(
                change=OwnershipChange(name=name, fence=fence, standing=standing, reason=reason)
            )
            for name, fence in self._holdings.items()
        ]

    def _needs_requests(self) -> bool:
        return self._wanted or bool(self._holdings)

    def _decide_request(self, now: float) -> list[LeaseDecision]:
        due = self._needs_requests() and now >= self._next_request_at
        if not due or self._request_in_flight:
            return []
        self._request_in_flight = True
        if self._lease_id is None:
            return [GrantLease()]
        return [RenewLease(lease_id=self._lease_id)]


_REASONS = {
    Standing.VALID: ChangeReason.LEASE_RENEWED,
    Standing.SUSPENDED: ChangeReason.VALIDITY_ENDED,
    Standing.UNCONFIRMED: ChangeReason.SERVICE_UNREACHABLE,
}
