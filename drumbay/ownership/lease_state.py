"""Decides when a node renews its lease and whether it may act for the resources it owns.

One lease covers all ownership keys of a node. Its validity is measured with the node's own
monotonic clock from the moment before a grant or a renewal was sent, minus a safety margin. The
store starts the time to live later than that, so the node's validity ends first (Gray and
Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", 1989, section 2). A validity that ends too late is still safe, because receivers
check the fence.
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
    """Event: a grant or a renewal succeeded.

    Attributes:
        lease_id: The lease.
        sent_at: Monotonic time before the request was sent.
        ttl_seconds: Time to live, starting when the store processed the request.
        renew_delay_seconds: How long after ``sent_at`` to send the next renewal.
    """

    lease_id: int
    sent_at: float
    ttl_seconds: float
    renew_delay_seconds: float


class RequestFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Event: a grant or a renewal failed, or its response was lost.

    Attributes:
        sent_at: Monotonic time before the request was sent.
        retry_delay_seconds: How long to wait before the next request.
    """

    sent_at: float
    retry_delay_seconds: float


class LeaseGone(msgspec.Struct, frozen=True, kw_only=True):
    """Event: the store reported that the lease does not exist, so its keys were removed."""

    lease_id: int


class KeyAcquired(msgspec.Struct, frozen=True, kw_only=True):
    """Event: an ownership key is bound to this node's lease."""

    name: str
    fence: Fence
    lease_id: int


class KeyRemoved(msgspec.Struct, frozen=True, kw_only=True):
    """Event: an ownership key with this fence was removed."""

    name: str
    fence: Fence
    reason: ChangeReason


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Event: time has passed."""


LeaseEvent = LeaseHeld | RequestFailed | LeaseGone | KeyAcquired | KeyRemoved | Tick


class GrantLease(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: request a new lease now."""


class RenewLease(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: renew the lease now."""

    lease_id: int


class ReportChange(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: report a change to the listeners."""

    change: OwnershipChange


LeaseDecision = GrantLease | RenewLease | ReportChange


class LeaseState:
    """The lease of a node and the resources owned under it."""

    def __init__(self, parameters: OwnershipParameters) -> None:
        """Create a state without a lease, which is not needed yet."""
        self._parameters = parameters
        self._is_wanted = False
        self._lease_id: int | None = None
        self._valid_until = NEVER
        self._last_failure_sent_at = NEVER
        self._next_request_at = NEVER
        self._request_in_flight = False
        self._owned_fences: dict[str, Fence] = {}
        self._reported_standing = Standing.NOT_HELD

    @property
    def lease_id(self) -> int | None:
        """Return the lease that was last granted, unless it is known to have expired."""
        return self._lease_id

    @property
    def owned_fences(self) -> dict[str, Fence]:
        """Return the owned resources with their fences, in the order of acquisition."""
        return dict(self._owned_fences)

    def want_lease(self, now: float, wanted: bool) -> None:
        """Set whether a lease is needed; a lease that is not needed is left to expire."""
        if wanted and not self._needs_lease() and now >= self._valid_until:
            self._lease_id = None
        self._is_wanted = wanted

    def lease_standing(self, now: float) -> Standing:
        """Return the standing of the node under its lease."""
        if self._lease_id is None:
            return Standing.NOT_HELD
        if now < self._valid_until:
            return Standing.VALID
        # NOTE: a failure before a freeze of the process does not show that the store has been
        # unreachable since.
        oldest_failure_at = max(self._valid_until, now - self._parameters.ttl_seconds)
        if self._last_failure_sent_at >= oldest_failure_at:
            return Standing.UNCONFIRMED
        return Standing.SUSPENDED

    def standing(self, name: str, now: float) -> Standing:
        """Return the standing of the node for a resource."""
        if name not in self._owned_fences:
            return Standing.NOT_HELD
        return self.lease_standing(now)

    def fence(self, name: str) -> Fence | None:
        """Return the fence of an owned resource, regardless of its standing."""
        return self._owned_fences.get(name)

    def next_wakeup(self) -> float | None:
        """Return when the next :class:`Tick` is due; ``None`` if nothing is due."""
        due: list[float] = []
        if self._needs_lease() and not self._request_in_flight:
            due.append(self._next_request_at)
        if self._reported_standing is Standing.VALID and self._owned_fences:
            due.append(self._valid_until)
        return min(due, default=None)

    def handle(self, now: float, event: LeaseEvent) -> tuple[LeaseDecision, ...]:
        """Process an event and return the decisions; only a tick leads to requests."""
        decisions: list[LeaseDecision] = []
        if isinstance(event, LeaseHeld):
            self._handle_held(event)
        elif isinstance(event, RequestFailed):
            self._handle_failure(now, event)
        elif isinstance(event, LeaseGone):
            decisions.extend(self._handle_lease_gone(now, event))
        elif isinstance(event, KeyAcquired):
            decisions.extend(self._handle_key_acquired(now, event))
        elif isinstance(event, KeyRemoved):
            decisions.extend(self._handle_key_removed(event))
        decisions.extend(self._report_standing(now))
        if isinstance(event, Tick):
            decisions.extend(self._request_if_due(now))
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

    def _handle_lease_gone(self, now: float, event: LeaseGone) -> list[LeaseDecision]:
        self._request_in_flight = False
        if event.lease_id != self._lease_id:
            return []
        lost: list[LeaseDecision] = [
            self._report_loss(name, ChangeReason.LEASE_LOST) for name in self._owned_fences
        ]
        self._owned_fences.clear()
        self._lease_id = None
        self._valid_until = NEVER
        self._next_request_at = now
        return lost

    def _handle_key_acquired(self, now: float, event: KeyAcquired) -> list[LeaseDecision]:
        if event.lease_id != self._lease_id or event.fence <= self._owned_fences.get(event.name, 0):
            return []
        self._owned_fences[event.name] = event.fence
        standing = self.lease_standing(now)
        change = OwnershipChange(
            name=event.name,
            fence=event.fence,
            standing=standing,
            reason=ChangeReason.CAMPAIGN_WON,
        )
        return [ReportChange(change=change)]

    def _handle_key_removed(self, event: KeyRemoved) -> list[LeaseDecision]:
        if self._owned_fences.get(event.name) != event.fence:
            return []
        report = self._report_loss(event.name, event.reason)
        del self._owned_fences[event.name]
        return [report]

    def _report_loss(self, name: str, reason: ChangeReason) -> ReportChange:
        """Return the report of the loss of a resource that is still listed as owned."""
        change = OwnershipChange(
            name=name, fence=self._owned_fences[name], standing=Standing.NOT_HELD, reason=reason
        )
        return ReportChange(change=change)

    def _report_standing(self, now: float) -> list[LeaseDecision]:
        standing = self.lease_standing(now)
        if standing is self._reported_standing:
            return []
        self._reported_standing = standing
        reason = _REASON_BY_STANDING.get(standing)
        if reason is None:
            return []
        return [
            ReportChange(
                change=OwnershipChange(name=name, fence=fence, standing=standing, reason=reason)
            )
            for name, fence in self._owned_fences.items()
        ]

    def _needs_lease(self) -> bool:
        return self._is_wanted or bool(self._owned_fences)

    def _request_if_due(self, now: float) -> list[LeaseDecision]:
        due = self._needs_lease() and now >= self._next_request_at
        if not due or self._request_in_flight:
            return []
        self._request_in_flight = True
        if self._lease_id is None:
            return [GrantLease()]
        return [RenewLease(lease_id=self._lease_id)]


_REASON_BY_STANDING = {
    Standing.VALID: ChangeReason.LEASE_RENEWED,
    Standing.SUSPENDED: ChangeReason.VALIDITY_ENDED,
    Standing.UNCONFIRMED: ChangeReason.SERVICE_UNREACHABLE,
}
