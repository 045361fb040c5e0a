"""Orders in progress on an emulated engine process."""

import asyncio
from collections.abc import Callable

from drumbay.backends.interface import (
    BackendError,
    EngineStatus,
    ExchangeBrokenError,
    FencedOrder,
    StaleFenceError,
)
from drumbay.exceptions import DrumbayError
from drumbay.identifiers import BootId
from drumbay.standins.engine_context import EngineContext
from drumbay.standins.engine_orders import LoadedWeights, OrderExecutor
from drumbay.standins.execution_log import OrderHandled, OrderOutcome
from drumbay.standins.faults import FaultKind


class OrderQueue:
    """Admits orders, runs them in background tasks and returns their results."""

    def __init__(
        self,
        context: EngineContext,
        boot_id: BootId,
        weights: LoadedWeights,
        executor: OrderExecutor,
        on_done: Callable[[], EngineStatus],
    ) -> None:
        """Create a queue; ``on_done`` runs after each successful order and returns the status."""
        self._context = context
        self._boot_id = boot_id
        self._weights = weights
        self._executor = executor
        self._on_done = on_done
        self._order_count = 0
        self._pending: dict[int, asyncio.Future[EngineStatus]] = {}
        self._running: dict[int, asyncio.Task[None]] = {}

    async def submit(self, order: FencedOrder) -> EngineStatus:
        """Run an order and return the status after it.

        The order continues when the caller stops waiting.

        Raises:
            StaleFenceError: The engine has seen a newer fence.
            BackendError: The order failed.
        """
        try:
            self._weights.accept_fence(order)
        except StaleFenceError:
            self._log(order, OrderOutcome.STALE_FENCE)
            raise
        self._order_count += 1
        number = self._order_count
        response: asyncio.Future[EngineStatus] = asyncio.get_running_loop().create_future()
        # Marks the exception as retrieved even if the caller has stopped waiting.
        response.add_done_callback(asyncio.Future.exception)
        self._pending[number] = response
        self._running[number] = self._context.tasks.spawn(
            self._run(order, number), f"order-{number}"
        )
        return await asyncio.shield(response)

    def abort(self) -> None:
        """Break every order in progress, as a process crash does."""
        for number in list(self._pending):
            self._running[number].cancel()
            self._complete(number, ExchangeBrokenError("the engine died"))

    async def _run(self, order: FencedOrder, number: int) -> None:
        outcome = OrderOutcome.FAILED
        result: EngineStatus | BackendError
        try:
            outcome = await self._executor.execute(order)
            result = self._on_done()
        except StaleFenceError as error:
            outcome = OrderOutcome.STALE_FENCE
            result = error
        except BackendError as error:
            result = error
        except DrumbayError as error:
            result = BackendError(f"{error.code}: {error}")
        self._log(order, outcome)
        if self._context.faults.should_inject(FaultKind.ORDER_ANSWER_LOST):
            result = ExchangeBrokenError("the answer was lost")
        self._complete(number, result)

    def _complete(self, number: int, result: EngineStatus | BackendError) -> None:
        self._running.pop(number, None)
        response = self._pending.pop(number)
        if isinstance(result, BackendError):
            response.set_exception(result)
        else:
            response.set_result(result)

    def _log(self, order: FencedOrder, outcome: OrderOutcome) -> None:
        self._context.log.append(
            OrderHandled(
                time_seconds=self._context.clock.monotonic(),
                source=self._context.backend_id,
                boot_id=self._boot_id,
                fence=order.fence,
                kind=order.kind,
                weight_version=order.weight_version,
                outcome=outcome,
            )
        )
