"""Clients of external services for code that runs in a simulated process.

Each call runs outside the process and its result is delivered to the process: a frozen
process receives it on resuming, a killed one never.
"""

from collections.abc import AsyncIterator

from drumbay.backends.interface import (
    ApplicationClient,
    ApplicationRequest,
    ApplicationResponse,
    BackendAddress,
    CacheEvent,
    EngineClient,
    EngineStatus,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.identifiers import AttemptId, Revision, WeightVersion
from drumbay.kv.interface import (
    MAX_QUIET_SECONDS,
    Delete,
    KeyValueStore,
    LeaseGrant,
    ModRevisionIs,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)
from drumbay.simulation.process import SimulatedProcess
from drumbay.standins.weight_store_model import WeightStoreDownError, WeightStoreModel
from drumbay.weights.store_interface import WeightStoreUnavailableError


class ProcessKeyValueStore:
    """A key-value store accessed from one simulated process."""

    def __init__(self, process: SimulatedProcess, store: KeyValueStore) -> None:
        """Give ``process`` access to ``store``."""
        self._process = process
        self._store = store

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix``."""
        return await self._process.await_external(self._store.range_prefix(prefix))

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return the keys of ``prefix`` that sort after a key."""
        return await self._process.await_external(self._store.range_page(prefix, after))

    async def transact(
        self,
        compares: tuple[ModRevisionIs, ...],
        operations: tuple[Put | Delete, ...],
    ) -> TransactionResult:
        """Apply ``operations`` atomically if all ``compares`` hold."""
        return await self._process.await_external(self._store.transact(compares, operations))

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease."""
        return await self._process.await_external(self._store.grant_lease(ttl_seconds))

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining time in seconds."""
        return await self._process.await_external(self._store.keep_lease_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and remove its keys."""
        await self._process.await_external(self._store.revoke_lease(lease_id))

    def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncIterator[WatchBatch]:
        """Yield the changes of ``prefix`` from ``start_revision`` on."""
        return self._process.iterate_external(
            self._store.watch_prefix(prefix, start_revision, quiet_seconds)
        )


class ProcessEngineClient:
    """Inference engines accessed from one simulated process."""

    def __init__(self, process: SimulatedProcess, client: EngineClient) -> None:
        """Give ``process`` access to the engines behind ``client``."""
        self._process = process
        self._client = client

    def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        """Yield the chunks of one attempt."""
        chunks = self._client.generate(engine, request, timeout_seconds=timeout_seconds)
        return self._process.iterate_external(chunks)

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Request cancellation of an attempt."""
        await self._process.await_external(self._client.cancel(engine, attempt_id))

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Send a fenced order and return the engine's status after it."""
        return await self._process.await_external(
            self._client.order(engine, order, timeout_seconds=timeout_seconds)
        )

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return the status reported by the engine."""
        return await self._process.await_external(
            self._client.status(engine, timeout_seconds=timeout_seconds)
        )

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return the cache events published after ``after_sequence``."""
        return await self._process.await_external(
            self._client.cache_events(engine, after_sequence, timeout_seconds=timeout_seconds)
        )


class ProcessApplicationClient:
    """Application servers accessed from one simulated process."""

    def __init__(self, process: SimulatedProcess, client: ApplicationClient) -> None:
        """Give ``process`` access to the servers behind ``client``."""
        self._process = process
        self._client = client

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationResponse:
        """Send one request and return the complete response."""
        return await self._process.await_external(
            self._client.exchange(server, request, timeout_seconds=timeout_seconds)
        )


class ProcessWeightStoreClient:
    """The weight store accessed from one simulated process."""

    def __init__(self, process: SimulatedProcess, store: WeightStoreModel) -> None:
        """Give ``process`` access to ``store``."""
        self._process = process
        self._store = store

    async def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the published versions of a model, oldest first.

        Raises:
            WeightStoreUnavailableError: The versions could not be read.
        """
        return await self._process.await_external(self._versions(model))

    async def _versions(self, model: str) -> tuple[WeightVersion, ...]:
        try:
            return self._store.versions(model)
        except WeightStoreDownError as error:
            raise WeightStoreUnavailableError(str(error)) from error
