"""Fenced orders of an emulated engine, and the weights that it has loaded."""

from typing import Protocol

from drumbay.backends.interface import BackendError, FencedOrder, OrderKind, StaleFenceError
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.standins.engine_context import EngineContext
from drumbay.standins.execution_log import OrderOutcome
from drumbay.standins.faults import FaultKind


class WeightSource(Protocol):
    """Source that an engine fetches weights from."""

    async def fetch(self, model: str, version: WeightVersion, reader: BackendId) -> None:
        """Return when the weights are fetched completely.

        Raises:
            DrumbayError: The version is unknown or the store is not available.
        """
        ...


class LoadedWeights:
    """Weights that an engine process has loaded.

    Attributes:
        model: Model that is loaded.
        version: Version that produces tokens.
        reported_version: Version that the engine reports.
        highest_fence: Newest fence seen.
        role: Role last set by an order.
        adapters: Loaded adapters, in the order of loading.
    """

    def __init__(self, model: str, version: WeightVersion, highest_fence: Fence) -> None:
        """Create the state after a process start."""
        self.model = model
        self.version = version
        self.reported_version = version
        self.highest_fence = highest_fence
        self.role: str | None = None
        self.adapters: list[str] = []
        self._load_count = 0

    def accept_fence(self, order: FencedOrder) -> None:
        """Check the fence of an order and record it.

        Raises:
            StaleFenceError: A newer fence was seen.
        """
        if order.fence < self.highest_fence:
            raise StaleFenceError(f"fence {order.fence} is below {self.highest_fence}")
        self.highest_fence = order.fence

    def begin_load(self) -> int:
        """Return the number of a new load, which supersedes all earlier ones."""
        self._load_count += 1
        return self._load_count

    def check_current(self, order: FencedOrder, load_number: int) -> None:
        """Check that a load has not been superseded by a later order.

        Raises:
            StaleFenceError: An order with a newer fence arrived.
            BackendError: A later order with the same fence arrived.
        """
        if order.fence < self.highest_fence:
            raise StaleFenceError(f"fence {order.fence} is below {self.highest_fence}")
        if load_number != self._load_count:
            raise BackendError(f"the load of version {order.weight_version} was superseded")


class OrderExecutor:
    """Executes the fenced orders of one engine process."""

    def __init__(
        self, context: EngineContext, weights: LoadedWeights, weight_source: WeightSource | None
    ) -> None:
        """Create an executor; without a weight source no fetch is needed."""
        self._context = context
        self._weights = weights
        self._weight_source = weight_source

    async def execute(self, order: FencedOrder) -> OrderOutcome:
        """Execute an order whose fence was accepted.

        Raises:
            StaleFenceError: A newer fence arrived while the order ran.
            DrumbayError: The order failed.
        """
        if order.kind is OrderKind.CHANGE_ROLE:
            self._weights.role = order.role
            return OrderOutcome.DONE
        if order.kind is OrderKind.LOAD_ADAPTER:
            return await self._load_adapter(order)
        return await self._load_version(order)

    async def _load_adapter(self, order: FencedOrder) -> OrderOutcome:
        if order.adapter is None:
            raise BackendError("the order names no adapter")
        await self._context.work(self._context.parameters.swap_pause_seconds)
        if order.fence < self._weights.highest_fence:
            raise StaleFenceError(f"fence {order.fence} is below {self._weights.highest_fence}")
        if order.adapter not in self._weights.adapters:
            self._weights.adapters.append(order.adapter)
        return OrderOutcome.DONE

    async def _load_version(self, order: FencedOrder) -> OrderOutcome:
        version = order.weight_version
        if version is None:
            raise BackendError("the order names no weight version")
        weights = self._weights
        load_number = weights.begin_load()
        if order.model == weights.model and version == weights.version:
            weights.reported_version = version
            return OrderOutcome.DONE
        if self._weight_source is not None:
            await self._weight_source.fetch(order.model, version, self._context.backend_id)
        await self._context.work(self._context.parameters.load_seconds)
        weights.check_current(order, load_number)
        if self._context.faults.should_inject(FaultKind.SWAP_FAILS):
            raise BackendError(f"version {version} could not be loaded")
        if self._context.faults.should_inject(FaultKind.SWAP_FAILS_ACKNOWLEDGED):
            weights.reported_version = version
            return OrderOutcome.FAILED_ACKNOWLEDGED
        await self._swap(order, version, load_number)
        return OrderOutcome.DONE

    async def _swap(self, order: FencedOrder, version: WeightVersion, load_number: int) -> None:
        weights = self._weights
        # Each load has its own hold, so that a superseded swap does not release its successor's.
        hold_name = f"load-{load_number}"
        self._context.swap_gate.hold(hold_name)
        try:
            await self._context.work(self._context.parameters.swap_pause_seconds)
            weights.check_current(order, load_number)
            weights.model = order.model
            weights.version = version
            weights.reported_version = version
        finally:
            self._context.swap_gate.release(hold_name)
