"""Makes the plan of faults of a failing run as short as it can be.

Delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing
Input", 2002, section 3): parts of the plan are left out as long as the same promise still
breaks.
"""

from collections.abc import Callable

from drumbay.simulation.faults import AnyFault, FaultPlan

Breaks = Callable[[FaultPlan], bool]


def shrink_plan(plan: FaultPlan, breaks: Breaks) -> FaultPlan:
    """Return a plan that still breaks, from which no single fault can be left out.

    Args:
        plan: A plan for which ``breaks`` holds.
        breaks: Runs a plan and tells whether the promise still breaks.
    """
    faults = plan.faults
    parts = 2
    while len(faults) > 1:
        shorter = _first_breaking(faults, parts, breaks)
        if shorter is not None:
            faults = shorter
            parts = max(parts - 1, 2)
        elif parts < len(faults):
            parts = min(parts * 2, len(faults))
        else:
            break
    if len(faults) == 1 and breaks(FaultPlan(faults=())):
        faults = ()
    return FaultPlan(faults=faults)


def _first_breaking(
    faults: tuple[AnyFault, ...], parts: int, breaks: Breaks
) -> tuple[AnyFault, ...] | None:
    """Return the faults without the first part whose absence leaves the promise broken."""
    size = -(-len(faults) // parts)
    for start in range(0, len(faults), size):
        rest = faults[:start] + faults[start + size :]
        if breaks(FaultPlan(faults=rest)):
            return rest
    return None
