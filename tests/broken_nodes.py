"""Nodes with one mechanism disabled, to verify that the invariant checks detect it."""

from collections.abc import AsyncIterator

import msgspec

from drumbay.api.schema import BatchBody
from drumbay.backends.interface import (
    ApplicationClient,
    ApplicationRequest,
    ApplicationResponse,
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
from drumbay.requests.at_most_once import Dispatch
from drumbay.settings import NodeSettings
from drumbay.simulation.cluster import NodeFactory


class DirectRunner:
    """Dispatches without claiming the idempotency key."""

    async def run(
        self,
        *,
        scope: str,
        key: IdempotencyKey,
        digest: str,
        dispatch: Dispatch,
        remaining_seconds: float,
    ) -> ApplicationResponse:
        return await dispatch()


def make_node_without_claims(settings: NodeSettings, environment: NodeEnvironment) -> Node:
    node = Node(settings, environment)
    node._requests.applications._at_most_once = DirectRunner()
    return node


class NotReachedReportingClient:
    """Reports every broken exchange as not reached."""

    def __init__(self, client: ApplicationClient) -> None:
        self._client = client

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationResponse:
        try:
            return await self._client.exchange(server, request, timeout_seconds=timeout_seconds)
        except ExchangeBrokenError as error:
            raise BackendNotReachedError(str(error)) from error


def make_node_hiding_broken_exchanges(settings: NodeSettings, environment: NodeEnvironment) -> Node:
    client = NotReachedReportingClient(environment.application_client)
    return Node(settings, msgspec.structs.replace(environment, application_client=client))


async def exchange_without_attempt_check(
    client: MemoryApplicationClient,
    server: BackendAddress,
    request: ApplicationRequest,
    *,
    timeout_seconds: float,
) -> ApplicationResponse:
    """Replace the client's exchange; does not check that the response matches the request."""
    exchange = _Exchange(client._clock, client._network, server.base_url, timeout_seconds)
    return await exchange.call(client._servers[server.base_url].exchange(request))


class OrderedVersionEngineClient:
    """Labels tokens with the last ordered weight version instead of the generating one."""

    def __init__(
        self, client: EngineClient, ordered_versions: dict[BackendAddress, WeightVersion]
    ) -> None:
        self._client = client
        self._ordered_versions = ordered_versions

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        status = await self._client.order(engine, order, timeout_seconds=timeout_seconds)
        if order.weight_version is not None:
            self._ordered_versions[engine] = order.weight_version
        return status

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        # An engine that does not serve the requested version would reject the request.
        any_version_request = msgspec.structs.replace(request, weight_version=None)
        chunks = self._client.generate(engine, any_version_request, timeout_seconds=timeout_seconds)
        async for chunk in chunks:
            version = self._ordered_versions.get(engine, chunk.weight_version)
            yield msgspec.structs.replace(chunk, weight_version=version)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        status = await self._client.status(engine, timeout_seconds=timeout_seconds)
        version = self._ordered_versions.get(engine, status.weight_version)
        return msgspec.structs.replace(status, weight_version=version)

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        await self._client.cancel(engine, attempt_id)

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        return await self._client.cache_events(
            engine, after_sequence, timeout_seconds=timeout_seconds
        )


class NodeWithoutStalenessLimit(Node):
    """Serves samples regardless of their staleness."""

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
    """Replace the owner's proposal; nothing is stored on the replicas."""
    owned.owner.apply_chosen(entry)


def make_node_without_machine_list(settings: NodeSettings, environment: NodeEnvironment) -> Node:
    return Node(settings, msgspec.structs.replace(environment, machine_list=None))


class NodeWithoutDrain(Node):
    """Stops without draining the requests in flight."""

    async def drain(self) -> None:
        self._requests.gate.is_stopping = True


def nodes_assuming_ordered_version() -> NodeFactory:
    """Return a factory of nodes that share the versions ordered by any of them."""
    ordered_versions: dict[BackendAddress, WeightVersion] = {}

    def make_node(settings: NodeSettings, environment: NodeEnvironment) -> Node:
        client = OrderedVersionEngineClient(environment.engine_client, ordered_versions)
        return Node(settings, msgspec.structs.replace(environment, engine_client=client))

    return make_node
