"""Which engines are ordered to load the target, in which order, and why. Pure."""

from collections.abc import Collection, Sequence

from drumbay.identifiers import Fence, WeightVersion
from drumbay.weights.engines import EngineRecord
from drumbay.weights.events import OrderReason, Withdrawal
from drumbay.weights.fences import lease_fence
from drumbay.weights.target import is_withdrawn


def engines_to_order(
    engines: Collection[EngineRecord],
    target: WeightVersion,
    withdrawals: Sequence[Withdrawal],
    owner_fence: Fence | None,
    now: float,
) -> list[EngineRecord]:
    """Return the engines that serve another version than the target, most urgent first.

    Engines with a withdrawn version come first, then those without failures. Of the
    engines that an earlier owner gave an order, the newest orders come first: these
    engines may still be loading, and an order to them costs no more capacity. Then come
    the oldest versions and the idlest engines.
    """

    def urgency(record: EngineRecord) -> tuple[bool, int, int, int, int, str]:
        version = WeightVersion(record.version or 0)
        allowed = not is_withdrawn(version, withdrawals)
        is_inherited = lease_fence(record.highest_fence) != owner_fence
        inherited_fence = record.highest_fence if is_inherited else 0
        return (
            allowed,
            record.failures,
            -inherited_fence,
            version,
            record.load,
            record.engine,
        )

    candidates = [
        record
        for record in engines
        if record.is_serving(now)
        and record.version is not None
        and record.version != target
        and now >= record.retry_at
    ]
    candidates.sort(key=urgency)
    return candidates


def order_reason(record: EngineRecord, target: WeightVersion, *, done: bool) -> OrderReason:
    """Return why an engine is ordered now; ``done``: the rollout had already ended."""
    if record.failures > 0:
        return OrderReason.RETRY
    if record.version is not None and record.version > target:
        return OrderReason.ROLLBACK
    return OrderReason.STATUS_BEHIND if done else OrderReason.NEW_VERSION
