"""A simulated cluster of nodes that run only the configuration service."""

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
from drumbay.simulation.gated_clients import GatedKeyValueStore
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.standins.kv_model import KeyValueModel
from drumbay.tasks import TaskOwner

NODE_PORT = 7000

ServiceType = type[ConfigurationService]


class MeteredStore:
    """One node's path to the key-value service: counted, and cut or slowed at will.

    Attributes:
        operations: Operations sent, watches included.
        cut: Whether nothing gets through.
        batch_delay_seconds: Extra delay of each watch batch.
    """

    def __init__(self, inner: KeyValueStore) -> None:
        """Count what goes to ``inner``."""
        self._inner = inner
        self.operations = 0
        self.cut = False
        self.batch_delay_seconds = 0.0

    def _pass(self) -> None:
        self.operations += 1
        if self.cut:
            raise KeyValueUnavailableError("cut off")

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix``."""
        self._pass()
        return await self._inner.range_prefix(prefix)

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return the keys of ``prefix`` that sort after a key."""
        self._pass()
        return await self._inner.range_page(prefix, after)

    async def transact(
        self, compares: tuple[ModRevisionIs, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        """Carry out ``operations`` if all ``compares`` hold."""
        self._pass()
        return await self._inner.transact(compares, operations)

    async def grant_lease(self, ttl_seconds: float) -> LeaseGrant:
        """Grant a lease."""
        self._pass()
        return await self._inner.grant_lease(ttl_seconds)

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease."""
        self._pass()
        return await self._inner.keep_lease_alive(lease_id)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease."""
        self._pass()
        await self._inner.revoke_lease(lease_id)

    async def watch_prefix(
        self,
        prefix: str,
        start_revision: Revision,
        quiet_seconds: float = MAX_QUIET_SECONDS,
    ) -> AsyncIterator[WatchBatch]:
        """Yield the changes of ``prefix``, late if batches are delayed."""
        self._pass()
        async for batch in self._inner.watch_prefix(prefix, start_revision, quiet_seconds):
            await asyncio.sleep(self.batch_delay_seconds)
            if self.cut:
                raise KeyValueUnavailableError("cut off")
            yield batch


class ConfigurationNode:
    """A simulated machine with, while it runs, one configuration service.

    Attributes:
        host: The machine.
        store: Its path to the key-value service.
        service: The service of the running process.
        operators: The operators' service of the running process.
    """

    service: ConfigurationService
    operators: OperatorService

    def __init__(self, cluster: "ConfigurationCluster", host: SimulatedHost) -> None:
        """Create the node without a process."""
        self._cluster = cluster
        self.host = host
        self.store = MeteredStore(MemoryKeyValueStore(cluster.model, cluster.clock))
        self._boots = 0

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.host.name

    @property
    def peer_view(self) -> PeerView:
        """Return the node as others see it."""
        return PeerView(
            node_id=NodeId(self.host.name),
            address=self.host.address,
            zone=self.host.location.zone,
            region=self.host.location.region,
            has_data_folder=self.host.data_folder is not None,
        )

    def start(self, service_type: ServiceType = ConfigurationService) -> None:
        """Start a process with a service that knows only what is on disk."""
        process = self.host.start()
        self._boots += 1
        cluster = self._cluster
        store = GatedKeyValueStore(process, self.store)
        clock = self.host.clock()
        self.service = service_type(
            clock=clock,
            transport=SimulatedTransport(cluster.network, self.host.address, process),
            store=store,
            node_id=NodeId(self.host.name),
            members=cluster.members,
            generator=random.Random(f"{cluster.seed} {self.host.name} {self._boots}"),
            task_owner=TaskOwner(),
            data_folder=self.host.data_folder,
        )
        self.operators = OperatorService(clock=clock, store=store, configuration=self.service)
        boot = self._boots
        self.service.on_change(lambda view: cluster.observe(self.name, boot, view))
        process.run(self.service.start)

    async def kill(self) -> None:
        """End the process at once."""
        await self.host.kill()


class ConfigurationCluster:
    """Nodes, a network and a key-value service on one virtual clock.

    Attributes:
        seed: Seed of every random choice.
        network: Messages between nodes.
        model: The key-value service.
        clock: Time of the service.
        nodes: Every node by name.
        observations: What each node had in force, in order of time.
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
        """Create the cluster; node ``i`` stands at location ``i`` modulo their number."""
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
            self._add(index, locations[index % len(locations)], index < disk_count, folder)
        self._members = tuple(node.peer_view for node in self.nodes.values())

    def _add(self, index: int, location: Location, disk: bool, folder: Path | None) -> None:
        name = f"node-{index:03d}"
        data_folder = folder / name if disk and folder is not None else None
        address = Address(f"10.0.{index // 250}.{index % 250 + 1}", NODE_PORT)
        host = SimulatedHost(name, address, location, data_folder=data_folder)
        self.network.add_host(host)
        self.nodes[name] = ConfigurationNode(self, host)

    def members(self) -> tuple[PeerView, ...]:
        """Return the members, as the membership service would."""
        return self._members

    def set_members(self, nodes: list[ConfigurationNode]) -> None:
        """Let the membership consist of these nodes."""
        self._members = tuple(node.peer_view for node in nodes)

    def start_all(self, service_type: ServiceType = ConfigurationService) -> None:
        """Start every node."""
        for node in self.nodes.values():
            node.start(service_type)

    def observe(self, node: str, boot: int, view: ConfigurationView) -> None:
        """Record what a node has in force."""
        observation = Observation(
            at_seconds=self.clock.monotonic(),
            node=node,
            boot=boot,
            revision=view.revision,
            resource_revisions=dict(view.resource_revisions),
        )
        self.observations.append(observation)

    def running(self) -> list[ConfigurationNode]:
        """Return the nodes that run a process."""
        return [node for node in self.nodes.values() if node.host.running]

    def operations(self) -> int:
        """Return the operations sent to the key-value service so far."""
        return sum(node.store.operations for node in self.nodes.values())

    async def wait_until(self, condition: Callable[[], bool], limit_seconds: float) -> float:
        """Wait for a condition, checked every 10 ms; return the seconds it took.

        Raises:
            TimeoutError: It did not come true in time.
        """
        start = self.clock.monotonic()
        while not condition():
            if self.clock.monotonic() - start > limit_seconds:
                raise TimeoutError(f"not true within {limit_seconds} s")
            await asyncio.sleep(0.01)
        return self.clock.monotonic() - start

    async def wait_in_force(self, revision: Revision, limit_seconds: float = 30.0) -> float:
        """Wait until a revision is in force on every running node; return the seconds."""
        return await self.wait_until(
            lambda: all(
                node.service.current_view().revision >= revision for node in self.running()
            ),
            limit_seconds,
        )

    async def wait_loaded(self, limit_seconds: float = 60.0) -> float:
        """Wait until every running node is ready; return the seconds."""
        return await self.wait_until(
            lambda: all(node.service.readiness().ready for node in self.running()),
            limit_seconds,
        )
