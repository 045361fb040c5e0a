"""Weighted max-min fair allocation of places to classes of work.

Each class gets its demand, or its weight's part of what is left by the classes that ask for
less (Bertsekas and Gallager, "Data Networks", 2nd ed., section 6.5.2). The allocation is
work-conserving: places are left over only when every demand is met.
"""

from collections.abc import Sequence

import msgspec


class ShareDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Weight of a class and the places it asks for."""

    weight: float
    places: float


def fair_allocation(capacity: float, demands: Sequence[ShareDemand]) -> list[float]:
    """Return the places of each class, in the order of ``demands``."""
    allocation = [0.0] * len(demands)
    remaining = capacity
    open_indexes = [index for index, demand in enumerate(demands) if demand.weight > 0]
    while open_indexes:
        total_weight = sum(demands[index].weight for index in open_indexes)
        level = remaining / total_weight
        satisfied = [
            index
            for index in open_indexes
            if demands[index].places <= level * demands[index].weight
        ]
        if not satisfied:
            for index in open_indexes:
                allocation[index] = level * demands[index].weight
            return allocation
        for index in satisfied:
            allocation[index] = demands[index].places
            remaining -= demands[index].places
        open_indexes = [index for index in open_indexes if index not in satisfied]
    return allocation
