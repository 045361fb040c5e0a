"""Real nodes as hollow processes: one event loop, virtual time, back ends that cost nothing."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

import msgspec

from drumbay.api.schema import ApplyBody
from drumbay.backends.interface import (
    ApplicationAnswer,
    ApplicationRequest,
    BackendAddress,
    BackendNotReachedError,
)
from drumbay.bench.configuration_cluster import MeteredStore
from drumbay.bench.scale_meters import (
    HollowEngineClient,
    MessageMeter,
    MeteredTransport,
    measure_frame,
)
from drumbay.comm.interface import Address
from drumbay.identifiers import BackendId, Revision, StreamName
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.machines.interface import MachineRecord
from drumbay.node.environment import NodeEnvironment
from drumbay.node.node import Node
from drumbay.resources.schema import (
    AnyResource,
    Backend,
    BackendGroup,
    BackendKind,
    Route,
    RouteKind,
    Selector,
    WeightPolicy,
)
from drumbay.settings import HttpSettings, KeyValueSettings, NodeSettings, PeerSettings
from drumbay.simulation.gated_clients import GatedEngineClient, GatedKeyValueStore
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.outside_clock import OutsideClock
from drumbay.simulation.process import SimulatedProcess
from drumbay.standins.kv_model import KeyValueModel
from drumbay.storage.interface import RecordLog, StoreId
from drumbay.storage.simulated_log import SimulatedDisk, SimulatedLog

LOCATIONS = tuple(
    Location(zone=f"{region}-{zone}", region=region)
    for region, zones in (("lima", 3), ("nl-oost", 2))
    for zone in range(zones)
)
DISK_COUNT = 5
GROUP_COUNT = 8
"""One group of engines, model and stream for each trainer."""

SEED_COUNT = 3
PEER_PORT = 7000
HTTP_PORT = 8080
DISK_COMMIT_SECONDS = 0.002
APPLY_PAUSE_SECONDS = 0.5
POLL_SECONDS = 0.02


class ClusterSize(msgspec.Struct, frozen=True, kw_only=True):
    """How many nodes and back ends there are."""

    nodes: int
    workers: int


class HollowMachineList:
    """A machine list that names every back end as live and counts its readers."""

    def __init__(self, names: tuple[str, ...]) -> None:
        """Create the list."""
        self.reads = 0
        self._machines = tuple(MachineRecord(name=name, state="live") for name in names)  # type: ignore[arg-type]

    async def read(self) -> tuple[MachineRecord, ...]:
        """Return every machine."""
        self.reads += 1
        return self._machines


class NoApplicationClient:
    """Application servers that cannot be reached."""

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationAnswer:
        """Refuse."""
        raise BackendNotReachedError(f"no way to {server.base_url}")


class HollowNode:
    """One node and the meters around it.

    Attributes:
        host: Its machine.
        node: The node itself.
        store: Its path to the key-value service.
        engines: Its path to the engines.
        machines: Its path to the machine list.
    """

    def __init__(self, cluster: "HollowCluster", host: SimulatedHost) -> None:
        """Create the process; nothing runs yet."""
        self.host = host
        self.store = MeteredStore(MemoryKeyValueStore(cluster.model, OutsideClock()))
        self.engines = HollowEngineClient(cluster.model_of)
        self.machines = HollowMachineList(cluster.worker_names)
        self._process = host.start()
        self.node: Node
        # NOTE: created as code of the process, so that its tasks belong to it.
        self._process.run(lambda: self._create(cluster))

    def _create(self, cluster: "HollowCluster") -> None:
        host, process = self.host, self._process
        environment = NodeEnvironment(
            clock=host.clock(),
            transport=MeteredTransport(cluster.network, host.address, process),
            store=GatedKeyValueStore(process, self.store),
            engine_client=GatedEngineClient(process, self.engines),
            application_client=NoApplicationClient(),
            machine_list=self.machines,
            weight_store=None,
            open_log=_LogOpener(host, process),
            random=random.Random(f"{cluster.seed} {host.name}"),
            boot_id=process.boot_id,
        )
        self.node = Node(cluster.settings(host), environment)
        self.node.start()

    @property
    def ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.node.status().ready


class _LogOpener:
    def __init__(self, host: SimulatedHost, process: SimulatedProcess) -> None:
        self._host = host
        self._process = process

    def __call__(self, folder: Path, name: str, *, new_store_id: StoreId) -> RecordLog:
        disk = self._host.disk
        assert disk is not None
        return SimulatedLog(
            disk,
            name,
            clock=self._host.clock(),
            new_store_id=new_store_id,
            commit_seconds=DISK_COMMIT_SECONDS,
        )


class HollowCluster:
    """Nodes, network, key-value service and configured back ends.

    Attributes:
        seed: Seed of every random choice.
        size: Nodes and back ends.
        model: The key-value service.
        meter: Counts messages.
        network: Messages between nodes.
        nodes: The running nodes.
        worker_names: Every back end.
    """

    def __init__(self, size: ClusterSize, *, seed: int, folder: Path) -> None:
        """Create the cluster; :meth:`start` starts the nodes."""
        self.seed = seed
        self.size = size
        self.model = KeyValueModel(OutsideClock(), generator=random.Random(seed))
        self.frame = measure_frame()
        self.meter = MessageMeter(self.frame)
        self.network = SimulatedNetwork(random.Random(seed + 1), LatencyModel(), self.meter)
        self.nodes: list[HollowNode] = []
        self._folder = folder
        self._hosts = [self._make_host(index) for index in range(size.nodes)]
        self._groups = _make_groups(size.workers)
        self._models = {
            backend.id: group.model or "" for group in self._groups for backend in group.backends
        }
        self.worker_names = tuple(self._models)
        self._changes = 0

    def _make_host(self, index: int) -> SimulatedHost:
        name = f"node-{index:03d}"
        has_disk = index < DISK_COUNT
        folder = self._folder / name if has_disk else None
        if folder is not None:
            folder.mkdir()
        host = SimulatedHost(
            name,
            Address(f"10.0.{index // 250}.{index % 250 + 1}", PEER_PORT),
            LOCATIONS[index % len(LOCATIONS)],
            data_folder=folder,
            disk=SimulatedDisk() if has_disk else None,
        )
        self.network.add_host(host)
        return host

    def settings(self, host: SimulatedHost) -> NodeSettings:
        """Return the settings of one node."""
        seeds = tuple(f"{each.address.host}:{PEER_PORT}" for each in self._hosts[:SEED_COUNT])
        return NodeSettings(
            node_id=host.name,
            zone=host.location.zone,
            region=host.location.region,
            http=HttpSettings(host=host.address.host, port=HTTP_PORT),
            peers=PeerSettings(
                host=host.address.host, port=PEER_PORT, cluster_key_file="", seeds=seeds
            ),
            key_value=KeyValueSettings(urls=("http://10.255.255.1:2379",)),
            data_folder=None if host.data_folder is None else str(host.data_folder),
        )

    def model_of(self, engine: BackendAddress) -> str:
        """Return the model of an engine."""
        return self._models[engine.backend_id]

    async def start(self, limit_seconds: float) -> float:
        """Start all nodes at once; return the seconds until each is ready.

        Raises:
            TimeoutError: Some node was not ready in time.
        """
        self.nodes = [HollowNode(self, host) for host in self._hosts]
        return await self.wait_for_nodes(lambda node: node.ready, limit_seconds)

    async def configure(self) -> None:
        """Apply groups, routes and weight policies through one node."""
        for index, group in enumerate(self._groups):
            for resource in (group, _policy(index, group), route(index, 0)):
                await self.apply(resource)
                await asyncio.sleep(APPLY_PAUSE_SECONDS)

    async def apply(self, resource: AnyResource) -> Revision:
        """Apply one resource through one node; return its revision.

        Raises:
            RuntimeError: The change was not committed.
        """
        self._changes += 1
        body = ApplyBody(resource=resource, operation_id=f"change-{self._changes}")
        outcome = await self.nodes[-1].node.apply(body)
        if outcome.mod_revision is None:
            raise RuntimeError(f"change was not committed: {outcome.outcome}")
        return outcome.mod_revision

    async def wait_for_nodes(
        self, holds: Callable[[HollowNode], bool], limit_seconds: float
    ) -> float:
        """Wait until a condition has held at each node; return the seconds it took.

        Raises:
            TimeoutError: It did not come true in time.
        """
        started = asyncio.get_running_loop().time()
        # A node's status names every member, so nodes are not asked again once it held.
        pending = list(self.nodes)
        while pending := [node for node in pending if not holds(node)]:
            if asyncio.get_running_loop().time() - started > limit_seconds:
                raise TimeoutError(f"not true within {limit_seconds} s at {len(pending)} nodes")
            await asyncio.sleep(POLL_SECONDS)
        return asyncio.get_running_loop().time() - started

    async def stop(self) -> None:
        """Kill every node."""
        for host in self._hosts:
            await host.kill()


def _make_groups(workers: int) -> tuple[BackendGroup, ...]:
    count = min(GROUP_COUNT, workers)
    return tuple(_make_group(index, range(index, workers, count)) for index in range(count))


def _make_group(index: int, numbers: range) -> BackendGroup:
    backends = tuple(
        Backend(
            id=BackendId(f"engine-{number:03d}"),
            url=f"http://10.1.{number // 250}.{number % 250 + 1}:8000",
            zone=LOCATIONS[number % len(LOCATIONS)].zone,
        )
        for number in numbers
    )
    return BackendGroup(
        name=f"group-{index}",
        backend_kind=BackendKind.ENGINE,
        model=f"model-{index}",
        backends=backends,
    )


def _policy(index: int, group: BackendGroup) -> WeightPolicy:
    return WeightPolicy(
        name=f"policy-{index}",
        model=group.model or "",
        stream=StreamName(f"stream-{index}"),
        selector=Selector(),
    )


def route(index: int, priority: int) -> Route:
    """Return the live route of one model."""
    return Route(
        name=f"route-{index}",
        route_kind=RouteKind.LIVE,
        model=f"model-{index}",
        selector=Selector(),
        priority=priority,
    )
