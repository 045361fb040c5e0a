"""Simulated cluster of nodes that run only the configuration service."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from pathlib import Path

from drumbay.bench.configuration_history import Observation
from drumbay.comm.interface import Address
from drumbay.configuration.messages import PeerView
from drumbay.configuration.operators import OperatorService
from drumbay.configuration.service import ConfigurationService
from drumbay.configuration.view import ConfigurationView
from drumbay.identifiers import NodeId, Revision
from drumbay.kv.interface import (
    MAX_QUIET_SECONDS,
    Delete,
    KeyValueStore,
    KeyValueUnavailableError,
    LeaseGrant,
    ModRevisionIs,
    Put,
    RangeResult,
    TransactionResult,
    WatchBatch,
)
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.process_clients import ProcessKeyValueStore
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.standins.kv_model import KeyValueModel
from drumbay.tasks import TaskOwner

NODE_PORT = 7000

ServiceType = type[ConfigurationService]


class InstrumentedStore:
    """A node's connection to the key-value service, with counters and fault injection.

    Attributes:
        operations: Number of operations, watches included.
        cut: Whether the connection is cut.
        batch_delay_seconds: Extra delay of each watch batch.
    """

    def __init__(self, inner: KeyValueStore) -> None:
        """Wrap ``inner``."""
        self._inner = inner
        self.operations = 0
        self.cut = False
        self.batch_delay_seconds = 0.0

    def _record_operation(self) -> None:
        self.operations += 1
        if self.cut:
            raise KeyValueUnavailableError("cut off")

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix``."""
        self._record_operation()
        return await self._inner.range_prefix(prefix)

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return the keys of ``prefix`` that sort after a key."""
        self._record_operation()
        return await self._inner.range_page(prefix, after)

    async def transact(
        self, compares: tuple[ModRevisionIs, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        """Apply ``operations`` if all ``compares`` hold."""
        self._record_operation()
        return await self._inner.transact(compares, operations)

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease."""
        self._record_operation()
        return await self._inner.grant_lease(ttl_seconds)

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease."""
        self._record_operation()
        return await self._inner.keep_lease_alive(lease_id)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease."""
        self._record_operation()
        await self._inner.revoke_lease(lease_id)

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncIterator[WatchBatch]:
        """Yield the changes of ``prefix``, each batch after its extra delay."""
        self._record_operation()
        async for batch in self._inner.watch_prefix(prefix, start_revision, quiet_seconds):
            await asyncio.sleep(self.batch_delay_seconds)
            if self.cut:
                raise KeyValueUnavailableError("cut off")
            yield batch


class ConfigurationNode:
    """A simulated machine whose process runs a configuration service.

    Attributes:
        host: The machine.
        store: Its connection to the key-value service.
        service: Configuration service of the current process.
        operators: Operator service of the current process.
    """

    service: ConfigurationService
    operators: OperatorService

    def __init__(self, cluster: "ConfigurationCluster", host: SimulatedHost) -> None:
        """Create a node without a process."""
        self._cluster = cluster
        self.host = host
        self.store = InstrumentedStore(MemoryKeyValueStore(cluster.model, cluster.clock))
        self._boot_count = 0

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.host.name

    @property
    def peer_view(self) -> PeerView:
        """Return the membership record of the node."""
        return PeerView(
            node_id=NodeId(self.host.name),
            address=self.host.address,
            zone=self.host.location.zone,
            region=self.host.location.region,
            has_data_folder=self.host.data_folder is not None,
        )

    def start(self, service_type: ServiceType = ConfigurationService) -> None:
        """Start a process whose service loads its state from disk only."""
        process = self.host.start()
        self._boot_count += 1
        cluster = self._cluster
        store = ProcessKeyValueStore(process, self.store)
        clock = self.host.clock()
        self.service = service_type(
            clock=clock,
            transport=SimulatedTransport(cluster.network, self.host.address, process),
            store=store,
            node_id=NodeId(self.host.name),
            members=cluster.members,
            generator=random.Random(f"{cluster.seed} {self.host.name} {self._boot_count}"),
            task_owner=TaskOwner(),
            data_folder=self.host.data_folder,
        )
        self.operators = OperatorService(clock=clock, store=store, configuration=self.service)
        boot = self._boot_count
        self.service.on_change(lambda view: cluster.observe(self.name, boot, view))
        process.run(self.service.start)

    async def kill(self) -> None:
        """Kill the process."""
        await self.host.kill()


class ConfigurationCluster:
    """Nodes, a network and a key-value service on one virtual clock.

    Attributes:
        seed: Seed of all random choices.
        network: Network between nodes.
        model: The key-value service.
        clock: Clock of the key-value service.
        nodes: Nodes by name.
        observations: Configurations applied by the nodes, ordered by time.
    """

    def __init__(
        self,
        *,
        seed: int,
        locations: tuple[Location, ...],
        node_count: int,
        disk_count: int = 0,
        folder: Path | None = None,
        latency: LatencyModel | None = None,
        history_limit: int = 10_000,
    ) -> None:
        """Create the cluster; the locations are assigned to the nodes round robin."""
        self.seed = seed
        self.network = SimulatedNetwork(
            random.Random(seed), latency or LatencyModel(), Trace(kept_events=0)
        )
        service_host = SimulatedHost("kv", Address("10.255.255.1", 2379), locations[0])
        service_host.start()
        self.clock = service_host.clock()
        self.model = KeyValueModel(
            self.clock, generator=random.Random(seed + 1), history_limit=history_limit
        )
        self.nodes: dict[str, ConfigurationNode] = {}
        self.observations: list[Observation] = []
        for index in range(node_count):
            self._add_node(index, locations[index % len(locations)], index < disk_count, folder)
        self._members = tuple(node.peer_view for node in self.nodes.values())

    def _add_node(self, index: int, location: Location, disk: bool, folder: Path | None) -> None:
        name = f"node-{index:03d}"
        data_folder = folder / name if disk and folder is not None else None
        address = Address(f"10.0.{index // 250}.{index % 250 + 1}", NODE_PORT)
        host = SimulatedHost(name, address, location, data_folder=data_folder)
        self.network.add_host(host)
        self.nodes[name] = ConfigurationNode(self, host)

    def members(self) -> tuple[PeerView, ...]:
        """Return the current membership."""
        return self._members

    def set_members(self, nodes: list[ConfigurationNode]) -> None:
        """Set the membership to ``nodes``."""
        self._members = tuple(node.peer_view for node in nodes)

    def start_all(self, service_type: ServiceType = ConfigurationService) -> None:
        """Start every node."""
        for node in self.nodes.values():
            node.start(service_type)

    def observe(self, node: str, boot: int, view: ConfigurationView) -> None:
        """Record the configuration that a node applied."""
        observation = Observation(
            at_seconds=self.clock.monotonic(),
            node=node,
            boot=boot,
            revision=view.revision,
            resource_revisions=dict(view.resource_revisions),
        )
        self.observations.append(observation)

    def running(self) -> list[ConfigurationNode]:
        """Return the nodes with a running process."""
        return [node for node in self.nodes.values() if node.host.running]

    def operations(self) -> int:
        """Return the number of operations sent to the key-value service."""
        return sum(node.store.operations for node in self.nodes.values())

    async def wait_until(self, condition: Callable[[], bool], limit_seconds: float) -> float:
        """Poll a condition every 10 ms until it holds; return the elapsed seconds.

        Raises:
            TimeoutError: The condition did not hold within the limit.
        """
        start = self.clock.monotonic()
        while not condition():
            if self.clock.monotonic() - start > limit_seconds:
                raise TimeoutError(f"not true within {limit_seconds} s")
            await asyncio.sleep(0.01)
        return self.clock.monotonic() - start

    async def wait_in_force(self, revision: Revision, limit_seconds: float = 30.0) -> float:
        """Wait until all running nodes apply a revision; return the elapsed seconds."""
        return await self.wait_until(
            lambda: all(
                node.service.current_view().revision >= revision for node in self.running()
            ),
            limit_seconds,
        )

    async def wait_loaded(self, limit_seconds: float = 60.0) -> float:
        """Wait until all running nodes are ready; return the elapsed seconds."""
        return await self.wait_until(
            lambda: all(node.service.readiness().ready for node in self.running()),
            limit_seconds,
        )
