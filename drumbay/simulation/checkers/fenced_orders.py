"""Checks that engines accept orders by increasing fence and that each fence has one holder."""

from drumbay.identifiers import BackendId, BootId, Fence
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import History, LeaseHeld, OrderAccepted


def check_fenced_orders(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report orders accepted after a newer fence, and fences with two holders."""
    return _check_orders(history) + _check_holders(history)


def _check_orders(history: History) -> tuple[Violation, ...]:
    highest: dict[tuple[BackendId, BootId], Fence] = {}
    violations = []
    for accepted in history.of(OrderAccepted):
        engine = (accepted.backend_id, accepted.boot_id)
        before = highest.get(engine, accepted.fence)
        if accepted.fence < before:
            detail = f"accepted fence {accepted.fence} after {before}"
            violations.append(_violation(accepted.backend_id, accepted.time_seconds, detail))
        highest[engine] = max(before, accepted.fence)
    return tuple(violations)


def _check_holders(history: History) -> tuple[Violation, ...]:
    holders: dict[tuple[str, Fence], BootId] = {}
    violations = []
    for held in history.of(LeaseHeld):
        first = holders.setdefault((held.lease_name, held.fence), held.holder)
        if first != held.holder:
            detail = f"fence {held.fence} held by {first} and by {held.holder}"
            violations.append(_violation(held.lease_name, held.time_seconds, detail))
    return tuple(violations)


def _violation(subject: str, time_seconds: float, detail: str) -> Violation:
    return Violation(
        promise=Promise.FENCED_ORDERS, subject=subject, time_seconds=time_seconds, detail=detail
    )
