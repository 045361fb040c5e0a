"""Nodes with one mechanism switched off, to show that its promise then breaks."""

from collections.abc import AsyncIterator

import msgspec

from drumbay.api.schema import BatchBody
from drumbay.backends.interface import (
    ApplicationAnswer,
    ApplicationClient,
    ApplicationRequest,
    BackendAddress,
    BackendNotReachedError,
    CacheEvent,
    EngineClient,
    EngineStatus,
    ExchangeBrokenError,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.backends.memory import MemoryApplicationClient, _Exchange
from drumbay.delivery.log_entries import LogEntry
from drumbay.delivery.replicated_log import OwnedStream, ReplicatedLog
from drumbay.identifiers import AttemptId, Cursor, IdempotencyKey, StreamName, WeightVersion
from drumbay.node.environment import NodeEnvironment
from drumbay.node.node import Node
from drumbay.requests.once import Dispatch
from drumbay.settings import NodeSettings
from drumbay.simulation.cluster import NodeFactory


class UnclaimedOnceRunner:
    """Runs whatever comes, without a claim."""

    async def run(
        self,
        *,
        scope: str,
        key: IdempotencyKey,
        digest: str,
        dispatch: Dispatch,
        remaining_seconds: float,
    ) -> ApplicationAnswer:
        return await dispatch()


def make_node_without_claims(settings: NodeSettings, environment: NodeEnvironment) -> Node:
    node = Node(settings, environment)
    node._requests.applications._once = UnclaimedOnceRunner()
    return node


class OptimisticApplicationClient:
    """Takes every broken exchange for one that never began."""

    def __init__(self, client: ApplicationClient) -> None:
        self._client = client

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationAnswer:
        try:
            return await self._client.exchange(server, request, timeout_seconds=timeout_seconds)
        except ExchangeBrokenError as error:
            raise BackendNotReachedError(str(error)) from error


def make_optimistic_node(settings: NodeSettings, environment: NodeEnvironment) -> Node:
    client = OptimisticApplicationClient(environment.application_client)
    return Node(settings, msgspec.structs.replace(environment, application_client=client))


async def exchange_without_matching(
    client: MemoryApplicationClient,
    server: BackendAddress,
    request: ApplicationRequest,
    *,
    timeout_seconds: float,
) -> ApplicationAnswer:
    """Stand in for the client's exchange: the answer may be another request's."""
    exchange = _Exchange(client._clock, client._network, server.base_url, timeout_seconds)
    return await exchange.call(client._servers[server.base_url].exchange(request))


class OrderTrustingEngineClient:
    """Believes the orders: names no version, and stamps tokens with the one last ordered."""

    def __init__(self, client: EngineClient, ordered: dict[BackendAddress, WeightVersion]) -> None:
        self._trusted = client
        self._ordered = ordered

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        status = await self._trusted.order(engine, order, timeout_seconds=timeout_seconds)
        if order.weight_version is not None:
            self._ordered[engine] = order.weight_version
        return status

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        # A request that names a version is refused by an engine that does not serve it.
        trusting = msgspec.structs.replace(request, weight_version=None)
        chunks = self._trusted.generate(engine, trusting, timeout_seconds=timeout_seconds)
        async for chunk in chunks:
            version = self._ordered.get(engine, chunk.weight_version)
            yield msgspec.structs.replace(chunk, weight_version=version)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        status = await self._trusted.status(engine, timeout_seconds=timeout_seconds)
        version = self._ordered.get(engine, status.weight_version)
        return msgspec.structs.replace(status, weight_version=version)

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        await self._trusted.cancel(engine, attempt_id)

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        return await self._trusted.cache_events(
            engine, after_sequence, timeout_seconds=timeout_seconds
        )


class UnboundedNode(Node):
    """Serves samples of any age."""

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> BatchBody:
        return await super().pull(stream, cursor, max_samples, WeightVersion(0))


async def propose_without_replicas(
    _log: ReplicatedLog, owned: OwnedStream, entry: LogEntry
) -> None:
    """Stand in for the owner's proposal: nothing is stored on the replicas."""
    owned.owner.apply_chosen(entry)


def make_node_without_machine_list(settings: NodeSettings, environment: NodeEnvironment) -> Node:
    return Node(settings, msgspec.structs.replace(environment, machine_list=None))


class ImpatientNode(Node):
    """Stops without waiting for the requests in flight."""

    async def drain(self) -> None:
        self._requests.gate.is_stopping = True


def order_trusting_nodes() -> NodeFactory:
    """Return a maker of nodes that all believe the orders given by any of them."""
    ordered: dict[BackendAddress, WeightVersion] = {}

    def make_node(settings: NodeSettings, environment: NodeEnvironment) -> Node:
        client = OrderTrustingEngineClient(environment.engine_client, ordered)
        return Node(settings, msgspec.structs.replace(environment, engine_client=client))

    return make_node
