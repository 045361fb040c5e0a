"""Runs the steps of a planned stop, each within a time limit."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from drumbay.observability.logs import log_event


class StopStep(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a stop.

    Attributes:
        name: Name in the logs.
        run: Carries out the step.
        limit_seconds: After this time the next step begins all the same.
    """

    name: str
    run: Callable[[], Awaitable[object]]
    limit_seconds: float


async def run_stop_steps(steps: tuple[StopStep, ...]) -> bool:
    """Run steps in order; a step that fails or takes too long does not hold up the next.

    Returns:
        Whether every step ended by itself.
    """
    is_complete = True
    for step in steps:
        is_complete = await _run_step(step) and is_complete
    return is_complete


async def _run_step(step: StopStep) -> bool:
    task = asyncio.ensure_future(_await_step(step))
    # NOTE: asyncio.wait leaves a task that does not end alone; wait_for and timeout would
    # wait for the end of its cancellation, for ever if it ignores that.
    await asyncio.wait((task,), timeout=step.limit_seconds)
    if not task.done():
        task.cancel()
        log_event("stop_step_timed_out", level="ERROR", step=step.name)
        return False
    error = task.exception()
    if error is not None:
        log_event(
            "stop_step_failed",
            level="ERROR",
            step=step.name,
            error=type(error).__name__,
            detail=str(error),
        )
    return error is None


async def _await_step(step: StopStep) -> None:
    await step.run()
