"""How many engines a rollout may take out of service. Pure."""

import math
from collections.abc import Collection, Iterable

from drumbay.identifiers import WeightVersion
from drumbay.weights.engines import EngineRecord
from drumbay.weights.events import VersionNeed


def serving_floor(total: int, min_serving_share: float) -> int:
    """Return how many of ``total`` engines must serve.

    A group too small to spare a whole engine could never change its weights; unless the
    policy asks for all of them, one engine at a time may then be taken.
    """
    floor = math.ceil(min_serving_share * total)
    if floor == total and min_serving_share < 1.0:
        return max(0, total - 1)
    return floor


def spare_by_version(
    engines: Collection[EngineRecord], needs: Iterable[VersionNeed], now: float
) -> dict[WeightVersion, int]:
    """Return how many serving engines each needed version can lose."""
    spare: dict[WeightVersion, int] = {}
    for need in needs:
        serving = sum(
            1 for record in engines if record.version == need.version and record.is_serving(now)
        )
        spare[need.version] = serving - need.engines
    return spare
