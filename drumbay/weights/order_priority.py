"""Prioritizes the engines that have to load the target version; pure functions."""

from collections.abc import Collection, Sequence

from drumbay.identifiers import Fence, WeightVersion
from drumbay.weights.engines import EngineRecord
from drumbay.weights.events import OrderReason, Withdrawal
from drumbay.weights.fences import lease_fence
from drumbay.weights.target import is_withdrawn


def prioritize_engines(
    engines: Collection[EngineRecord],
    target: WeightVersion,
    withdrawals: Sequence[Withdrawal],
    owner_fence: Fence | None,
    now: float,
) -> list[EngineRecord]:
    """Return the engines that do not serve the target version, most urgent first.

    Engines with a withdrawn version come first, then engines without failures, then engines
    with the most recent orders of a previous owner: they may still be loading, so that a new
    order costs no further capacity. Ties are broken by the oldest version and the lowest load.
    """

    def urgency(record: EngineRecord) -> tuple[bool, int, int, int, int, str]:
        version = WeightVersion(record.version or 0)
        allowed = not is_withdrawn(version, withdrawals)
        is_from_previous_owner = lease_fence(record.highest_fence) != owner_fence
        previous_owner_fence = record.highest_fence if is_from_previous_owner else 0
        return (
            allowed,
            record.failures,
            -previous_owner_fence,
            version,
            record.load,
            record.engine,
        )

    candidates = [
        record
        for record in engines
        if record.may_be_ordered(now)
        and record.version is not None
        and record.version != target
        and now >= record.retry_at
    ]
    candidates.sort(key=urgency)
    return candidates


def order_reason(record: EngineRecord, target: WeightVersion, *, done: bool) -> OrderReason:
    """Return the reason of an order; ``done``: the rollout had already completed."""
    if record.failures > 0:
        return OrderReason.RETRY
    if record.version is not None and record.version > target:
        return OrderReason.ROLLBACK
    return OrderReason.STATUS_BEHIND if done else OrderReason.NEW_VERSION
