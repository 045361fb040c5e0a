"""Simulated cluster of emulated engines, a weight store and weight rollout services."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from drumbay.backends.interface import BackendAddress, EngineClient, EngineStatus, FencedOrder
from drumbay.backends.memory import BackendNetwork, MemoryEngineClient
from drumbay.clock import Clock
from drumbay.comm.interface import Address
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.records import DecisionRecord
from drumbay.identifiers import BackendId, Fence, NodeId, StreamName, WeightVersion
from drumbay.resources.schema import Selector, WeightPolicy, WeightRollback
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.process_clients import ProcessEngineClient
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.execution_log import OrderHandled, OrderOutcome
from drumbay.standins.weight_store_model import WeightStoreModel, WeightStoreParameters
from drumbay.tasks import TaskOwner
from drumbay.weights.events import VersionNeed
from drumbay.weights.service import WeightRolloutService

MODEL = "modelos"
FIRST_VERSION = WeightVersion(1)


class ReceivedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order received by an engine."""

    engine: BackendId
    fence: Fence
    version: WeightVersion | None
    started_at: float


class RecordingEngine(EngineModel):
    """An engine that records received orders."""

    loads: list[ReceivedOrder]

    async def order(self, order: FencedOrder) -> EngineStatus:
        """Record an order and execute it."""
        clock = self._context.clock
        received = ReceivedOrder(
            engine=self.backend_id,
            fence=order.fence,
            version=order.weight_version,
            started_at=clock.monotonic(),
        )
        self.loads.append(received)
        return await super().order(order)


class RolloutNode:
    """A simulated machine with a weight rollout service.

    Attributes:
        host: The machine.
        lease_fence: Fence under which the node sends orders; ``None`` if it is not the owner.
        records: Decision records of the node.
        service: The weight rollout service.
    """

    def __init__(
        self,
        cluster: "RolloutCluster",
        name: str,
        service_type: type[WeightRolloutService],
        client: EngineClient,
    ) -> None:
        """Start the machine and its service."""
        self.host = SimulatedHost(name, Address(name, 1), Location(zone="z", region="r"))
        cluster.node_network.add_host(self.host)
        process = self.host.start()
        self.lease_fence: Fence | None = None
        self.records: list[DecisionRecord] = []
        self.service = service_type(
            clock=self.host.clock(),
            engine_client=ProcessEngineClient(process, client),
            transport=SimulatedTransport(cluster.node_network, self.host.address, process),
            node_id=NodeId(name),
            view=lambda: cluster.view,
            engines_of=lambda _policy: cluster.addresses,
            lease_fence=lambda _model: self.lease_fence,
            owner_address=lambda _model: cluster.owner_address,
            needs=lambda _model: cluster.needs,
            record=self.records.append,
            task_owner=TaskOwner(),
            max_concurrent_loads=cluster.max_concurrent_loads,
        )
        process.run(self.service.start)


class RolloutCluster:
    """Engines of one model with their weight store.

    Attributes:
        clock: Clock of the platform.
        store: The weight store.
        engines: The engines.
        addresses: Addresses of the engines.
        network: Network between nodes and engines.
        node_network: Network between nodes.
        owner_address: Address of the rollout owner from the view of the nodes.
        view: Configuration in force on all nodes.
        needs: Versions needed by running samples.
        loads: Orders received by the engines.
    """

    def __init__(
        self,
        *,
        engine_count: int,
        min_serving_share: float = 0.5,
        max_concurrent_loads: int = 64,
        engine_parameters: EngineParameters | None = None,
        store_parameters: WeightStoreParameters | None = None,
    ) -> None:
        """Create the engines with the first version loaded."""
        platform = SimulatedHost("platform", Address("platform", 1), Location(zone="z", region="r"))
        platform.start()
        self.clock: Clock = platform.clock()
        self.max_concurrent_loads = max_concurrent_loads
        self.store = WeightStoreModel(self.clock, "weights", store_parameters)
        self.store.publish(MODEL, FIRST_VERSION)
        self.loads: list[ReceivedOrder] = []
        self.engines = [
            self._make_engine(index, engine_parameters or EngineParameters())
            for index in range(engine_count)
        ]
        self.addresses = tuple(
            BackendAddress(engine.backend_id, f"http://{engine.backend_id}")
            for engine in self.engines
        )
        self.network = BackendNetwork(self.clock)
        self.node_network = SimulatedNetwork(random.Random(1), LatencyModel(), Trace(kept_events=0))
        self.owner_address: Address | None = None
        by_url = {f"http://{engine.backend_id}": engine for engine in self.engines}
        self.client = MemoryEngineClient(self.clock, by_url, self.network)
        self.needs: tuple[VersionNeed, ...] = ()
        policy = WeightPolicy(
            name=MODEL,
            model=MODEL,
            stream=StreamName(MODEL),
            selector=Selector(),
            min_serving_share=min_serving_share,
        )
        self.view = ConfigurationView(policies={MODEL: policy})

    def _make_engine(self, index: int, parameters: EngineParameters) -> RecordingEngine:
        engine = RecordingEngine(
            self.clock,
            BackendId(f"engine-{index:03d}"),
            MODEL,
            FIRST_VERSION,
            random.Random(index),
            parameters,
            self.store,
        )
        engine.loads = self.loads
        return engine

    def add_node(
        self,
        name: str,
        service_type: type[WeightRolloutService] = WeightRolloutService,
        client: EngineClient | None = None,
    ) -> RolloutNode:
        """Start a node that is not the owner."""
        return RolloutNode(self, name, service_type, client or self.client)

    def publish(self, version: int, *nodes: RolloutNode) -> None:
        """Publish a version and notify ``nodes``."""
        self.store.publish(MODEL, WeightVersion(version))
        for node in nodes:
            node.service.publish(MODEL, WeightVersion(version))

    def roll_back(self, keep: int, withdrawn_through: int) -> None:
        """Add an operator's rollback to the configuration."""
        rollback = WeightRollback(
            name=f"keep-{keep}", model=MODEL, keep=keep, withdrawn_through=withdrawn_through
        )
        self.view = msgspec.structs.replace(
            self.view, rollbacks={**self.view.rollbacks, rollback.name: rollback}
        )

    def serving_versions(self) -> list[int]:
        """Return the version that each engine actually serves."""
        return [int(engine.actual_version) for engine in self.engines]

    async def wait_until(self, condition: Callable[[], bool], limit_seconds: float) -> float:
        """Poll a condition every 50 ms until it holds; return the elapsed seconds.

        Raises:
            TimeoutError: The condition did not hold within the limit.
        """
        start = self.clock.monotonic()
        while not condition():
            if self.clock.monotonic() - start > limit_seconds:
                raise TimeoutError(f"not true within {limit_seconds} s")
            await asyncio.sleep(0.05)
        return self.clock.monotonic() - start

    async def wait_for_version(self, version: int, limit_seconds: float = 120.0) -> float:
        """Wait until all engines serve a version; return the elapsed seconds."""
        return await self.wait_until(
            lambda: all(served == version for served in self.serving_versions()), limit_seconds
        )

    def peak_loading_engines(self) -> int:
        """Return the maximum number of engines that executed orders concurrently."""
        # The engine log has the end of every order, even if the sender was killed before it.
        ends = {
            (engine.backend_id, entry.fence): entry.time_seconds
            for engine in self.engines
            for entry in engine.log.records()
            if isinstance(entry, OrderHandled)
        }
        changes: list[tuple[float, int, BackendId]] = []
        for order in self.loads:
            changes.append((order.started_at, 1, order.engine))
            ended_at = ends.get((order.engine, order.fence))
            if ended_at is not None:
                changes.append((ended_at, -1, order.engine))
        changes.sort(key=lambda change: (change[0], change[1]))
        active_orders: dict[BackendId, int] = {}
        peak = 0
        for _at, delta, engine in changes:
            active_orders[engine] = active_orders.get(engine, 0) + delta
            peak = max(peak, sum(1 for count in active_orders.values() if count > 0))
        return peak

    def find_version_regressions(self) -> list[OrderHandled]:
        """Return the completed loads in the engine logs that loaded an older version."""
        regressions: list[OrderHandled] = []
        for engine in self.engines:
            newest = FIRST_VERSION
            for entry in engine.log.records():
                if not isinstance(entry, OrderHandled) or entry.outcome is not OrderOutcome.DONE:
                    continue
                if entry.weight_version is not None and entry.weight_version < newest:
                    regressions.append(entry)
                newest = entry.weight_version or newest
        return regressions
