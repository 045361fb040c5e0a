"""Minimizes the fault plan of a failing run.

Delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing
Input", 2002, section 3): parts of the plan are removed as long as the same promise is still
broken.
"""

from collections.abc import Callable

from drumbay.simulation.faults import AnyFault, FaultPlan

FailurePredicate = Callable[[FaultPlan], bool]


def shrink_plan(plan: FaultPlan, still_fails: FailurePredicate) -> FaultPlan:
    """Return a failing plan from which no single fault can be removed.

    Args:
        plan: A plan for which ``still_fails`` holds.
        still_fails: Runs a plan and returns whether the promise is still broken.
    """
    faults = plan.faults
    parts = 2
    while len(faults) > 1:
        shorter = _first_failing_remainder(faults, parts, still_fails)
        if shorter is not None:
            faults = shorter
            parts = max(parts - 1, 2)
        elif parts < len(faults):
            parts = min(parts * 2, len(faults))
        else:
            break
    if len(faults) == 1 and still_fails(FaultPlan(faults=())):
        faults = ()
    return FaultPlan(faults=faults)


def _first_failing_remainder(
    faults: tuple[AnyFault, ...], parts: int, still_fails: FailurePredicate
) -> tuple[AnyFault, ...] | None:
    """Return the faults without the first part whose removal leaves the promise broken."""
    size = -(-len(faults) // parts)
    for start in range(0, len(faults), size):
        remaining = faults[:start] + faults[start + size :]
        if still_fails(FaultPlan(faults=remaining)):
            return remaining
    return None
