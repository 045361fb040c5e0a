"""Weighted max-min fair allocation of capacity to classes of work.

Each class gets its demand, or its weighted share of the capacity left by the classes with smaller
demands (Bertsekas and Gallager, "Data Networks", 2nd ed., section 6.5.2). The allocation is
work-conserving: capacity is left over only when every demand is met.
"""

from collections.abc import Sequence

import msgspec


class ShareDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Weight of a class and the amount of capacity it demands."""

    weight: float
    amount: float


def fair_allocation(capacity: float, demands: Sequence[ShareDemand]) -> list[float]:
    """Return the allocation of each class, in the order of ``demands``."""
    allocation = [0.0] * len(demands)
    remaining = capacity
    unsatisfied_indexes = [index for index, demand in enumerate(demands) if demand.weight > 0]
    while unsatisfied_indexes:
        total_weight = sum(demands[index].weight for index in unsatisfied_indexes)
        share_per_weight = remaining / total_weight
        newly_satisfied = [
            index
            for index in unsatisfied_indexes
            if demands[index].amount <= share_per_weight * demands[index].weight
        ]
        if not newly_satisfied:
            for index in unsatisfied_indexes:
                allocation[index] = share_per_weight * demands[index].weight
            return allocation
        for index in newly_satisfied:
            allocation[index] = demands[index].amount
            remaining -= demands[index].amount
        unsatisfied_indexes = [
            index for index in unsatisfied_indexes if index not in newly_satisfied
        ]
    return allocation
