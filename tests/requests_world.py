"""Test fixture: the request services of one node with emulated backends, on virtual time."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from random import Random
from typing import TypeVar

import msgspec

from drumbay.backends.interface import (
    ApplicationResponse,
    BackendAddress,
    ExchangeBrokenError,
    GenerationRequest,
    TokenChunk,
)
from drumbay.backends.memory import (
    BackendNetwork,
    MemoryApplicationClient,
    MemoryEngineClient,
)
from drumbay.comm.interface import Address
from drumbay.configuration.view import ConfigurationView
from drumbay.exceptions import RequestFailedError
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import DecisionRecord, RejectionReason, SubjectKind
from drumbay.explain.store import DecisionStore
from drumbay.identifiers import (
    BackendId,
    BootId,
    IdempotencyKey,
    NodeId,
    RequestId,
    Revision,
    WeightVersion,
)
from drumbay.limits.circuit_breaker import CircuitPolicy
from drumbay.node.request_services import RequestServices
from drumbay.observability.metrics import NodeMetrics
from drumbay.placement.topology import Topology
from drumbay.requests.at_most_once import Dispatch
from drumbay.requests.identity import RequestIdFactory
from drumbay.requests.records import ApplicationCall, LiveRequest
from drumbay.resources.schema import (
    Backend,
    BackendGroup,
    BackendKind,
    Route,
    RouteKind,
    Selector,
)
from drumbay.routing.directory import BackendDirectory
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.application_model import ApplicationModel
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.standins.service_model import ServiceModel

ResultT = TypeVar("ResultT")

MODEL = "drafts"
SEED = 7


class RouteLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of both routes, and the circuit breaker policy of all backends."""

    max_concurrency: int = 64
    timeout_seconds: float = 60.0
    circuit: CircuitPolicy = CircuitPolicy()


DEFAULT_LIMITS = RouteLimits()


class TruncationIgnoringEngineClient(MemoryEngineClient):
    """Injected fault: treats a broken stream as complete."""

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        try:
            async for chunk in super().generate(engine, request, timeout_seconds=timeout_seconds):
                yield chunk
        except ExchangeBrokenError:
            return


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


class RequestsWorld:
    """Request services of one node with three engines and three application servers."""

    def __init__(
        self,
        limits: RouteLimits,
        client_type: type[MemoryEngineClient] = MemoryEngineClient,
        metrics: NodeMetrics | None = None,
        topology: Topology | None = None,
    ) -> None:
        host = SimulatedHost("node", Address("10.0.0.1", 1), Location(zone="a", region="r"))
        host.start()
        self.clock = host.clock()
        self.engines = [
            EngineModel(
                self.clock, BackendId(f"engine-{n}"), MODEL, WeightVersion(1), Random(SEED + n)
            )
            for n in range(3)
        ]
        self.servers = [
            ApplicationModel(self.clock, BackendId(f"server-{n}"), Random(SEED + n))
            for n in range(3)
        ]
        self.network = BackendNetwork(self.clock)
        self.directory = BackendDirectory(limits.circuit, topology)
        self.is_ready = True
        self.decisions = DecisionStore()
        node_id = NodeId("node")
        self._request_ids = RequestIdFactory(node_id, BootId("boot"))
        engines_by_url = {url_of(engine.backend_id): engine for engine in self.engines}
        servers_by_url: Mapping[str, ServiceModel] = {
            url_of(server.backend_id): server for server in self.servers
        }
        self.recorder = DecisionRecorder(self.clock, node_id, lambda: Revision(1), self.decisions)
        self.engine_client = client_type(self.clock, engines_by_url, self.network)
        self.services = RequestServices(
            clock=self.clock,
            zone="a",
            engine_client=self.engine_client,
            application_client=MemoryApplicationClient(self.clock, servers_by_url, self.network),
            directory=self.directory,
            recorder=self.recorder,
            at_most_once_runner=DirectRunner(),
            random=Random(SEED),
            is_ready=lambda: self.is_ready,
            metrics=metrics,
        )
        view = make_configuration_view(limits)
        self.directory.apply_configuration(view, self.clock.monotonic())
        self.services.apply_configuration(view)

    def arm(self, fault: FaultKind, count: int | None = 1) -> None:
        """Arm a fault on every backend."""
        command = FaultCommand(fault=fault, count=count)
        for engine in self.engines:
            engine.faults.apply(command)
        for server in self.servers:
            server.faults.apply(command)

    def new_request_id(self) -> RequestId:
        return self._request_ids.next_request_id()

    async def generate(self, max_tokens: int = 40) -> list[TokenChunk]:
        request = LiveRequest(
            request_id=self.new_request_id(),
            model=MODEL,
            prompt="which primer for plaster",
            max_tokens=max_tokens,
            target_tokens=max_tokens,
        )
        return [chunk async for chunk in self.services.live.generate(request)]

    async def call(
        self, method: str = "POST", repeatable: bool | None = None
    ) -> ApplicationResponse | RequestFailedError:
        call = ApplicationCall(
            request_id=self.new_request_id(),
            method=method,
            path="/articles/primer",
            idempotency_key=IdempotencyKey("key"),
            repeatable=repeatable,
        )
        try:
            return await self.services.applications.run(call)
        except RequestFailedError as error:
            return error

    def decision_records(self, request_id: str) -> tuple[DecisionRecord, ...]:
        return self.decisions.find(SubjectKind.REQUEST, request_id)


async def rejected_at_once(
    world: RequestsWorld,
) -> tuple[RequestFailedError, list[RejectionReason | None]]:
    """Send the first request of a world; it must be rejected without any delay.

    Returns:
        The error, and why each back end was not taken.
    """
    before = world.clock.monotonic()
    try:
        await world.generate()
    except RequestFailedError as error:
        assert world.clock.monotonic() == before
        (record,) = world.decision_records("node~boot~1")
        assert record.event == "no_backend"
        return error, [verdict.rejection for verdict in record.candidates]
    raise AssertionError("the request was answered")


def url_of(backend_id: str) -> str:
    return f"http://{backend_id}"


def make_configuration_view(limits: RouteLimits) -> ConfigurationView:
    """Return a configuration with a live route and an application route."""
    engines = BackendGroup(
        name="engines",
        backend_kind=BackendKind.ENGINE,
        model=MODEL,
        backends=tuple(
            Backend(id=f"engine-{n}", url=url_of(f"engine-{n}"), zone="a") for n in range(3)
        ),
    )
    servers = BackendGroup(
        name="servers",
        backend_kind=BackendKind.APPLICATION,
        backends=tuple(
            Backend(id=f"server-{n}", url=url_of(f"server-{n}"), zone="a") for n in range(3)
        ),
    )
    live = Route(
        name="live",
        route_kind=RouteKind.LIVE,
        model=MODEL,
        selector=Selector(),
        max_concurrency=limits.max_concurrency,
        timeout_seconds=limits.timeout_seconds,
    )
    application = Route(
        name="application",
        route_kind=RouteKind.APPLICATION,
        path_prefix="/",
        selector=Selector(match_labels={"drumbay.io/kind": "application"}),
        max_concurrency=limits.max_concurrency,
        timeout_seconds=limits.timeout_seconds,
    )
    return ConfigurationView(
        revision=Revision(1),
        groups={group.name: group for group in (engines, servers)},
        routes={route.name: route for route in (live, application)},
    )


def simulate(
    scenario: Callable[[RequestsWorld], Awaitable[ResultT]],
    *,
    limits: RouteLimits = DEFAULT_LIMITS,
    client_type: type[MemoryEngineClient] = MemoryEngineClient,
) -> ResultT:
    """Run a scenario on a new fixture in virtual time."""

    async def main() -> ResultT:
        return await scenario(RequestsWorld(limits, client_type))

    return run_simulation(main)
