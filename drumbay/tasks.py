"""Ownership of background tasks, so that a node can stop all tasks it has started."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from drumbay.observability.logs import log_event

CLOSE_ROUNDS = 5
CLOSE_ROUND_SECONDS = 1.0


class TaskOwner:
    """Starts background tasks, logs their failures and cancels them on close."""

    def __init__(self, close_rounds: int = CLOSE_ROUNDS) -> None:
        """Create an owner without tasks.

        Args:
            close_rounds: How many times :meth:`close` cancels a task that does not end.
        """
        self._close_rounds = close_rounds
        # A dict for its insertion order, which keeps simulations deterministic.
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine as a task that is cancelled on close."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks[task] = None
        task.add_done_callback(self._handle_done)
        return task

    def _handle_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_event(
                "task_failed",
                level="ERROR",
                task=task.get_name(),
                error=type(error).__name__,
                detail=str(error),
            )

    async def close(self) -> None:
        """Cancel every task and wait until all have ended.

        Tasks that ignore their cancellation, or that are started meanwhile, are cancelled in the
        next round. Tasks that remain after the last round are logged and abandoned.
        """
        for _ in range(self._close_rounds):
            tasks = list(self._tasks)
            if not tasks:
                return
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=CLOSE_ROUND_SECONDS)
        for task in self._tasks:
            log_event("task_not_ended", level="ERROR", task=task.get_name())
