"""Runs the steps of a planned stop, each with a timeout."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from drumbay.observability.logs import log_event


class StopStep(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a planned stop.

    Attributes:
        name: Name in the logs.
        run: Executes the step.
        timeout_seconds: Time after which the step is cancelled and the next one starts.
    """

    name: str
    run: Callable[[], Awaitable[object]]
    timeout_seconds: float


async def run_stop_steps(steps: tuple[StopStep, ...]) -> bool:
    """Run steps in order; a failed or timed-out step does not block the next.

    Returns:
        Whether every step succeeded within its timeout.
    """
    all_succeeded = True
    for step in steps:
        all_succeeded = await _run_step(step) and all_succeeded
    return all_succeeded


async def _run_step(step: StopStep) -> bool:
    task = asyncio.ensure_future(_await_step(step))
    # asyncio.wait returns at the timeout; wait_for and timeout would also await the cancelled
    # task, forever if it ignores cancellation.
    await asyncio.wait((task,), timeout=step.timeout_seconds)
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
