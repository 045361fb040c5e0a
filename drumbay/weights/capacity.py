"""Computes how many engines a weight rollout may take out of service; pure functions."""

import math
from collections.abc import Collection, Iterable

from drumbay.identifiers import WeightVersion
from drumbay.weights.engines import EngineRecord
from drumbay.weights.events import VersionNeed


def min_serving_engines(total: int, min_serving_share: float) -> int:
    """Return how many of ``total`` engines must keep serving.

    In a small group the share may round up to all engines, which would block every rollout. In that
    case, one engine at a time may be taken out of service unless the policy requires all of them.
    """
    minimum = math.ceil(min_serving_share * total)
    if minimum == total and min_serving_share < 1.0:
        return max(0, total - 1)
    return minimum


def surplus_by_version(
    engines: Collection[EngineRecord], needs: Iterable[VersionNeed], now: float
) -> dict[WeightVersion, int]:
    """Return, by needed version, how many of its serving engines can be taken out of service."""
    surplus: dict[WeightVersion, int] = {}
    for need in needs:
        serving = sum(
            1 for record in engines if record.version == need.version and record.is_serving(now)
        )
        surplus[need.version] = serving - need.engines
    return surplus
