"""A complete deployment on one event loop: nodes, network, platform and back ends."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from drumbay.backends.memory import (
    BackendNetwork,
    MemoryApplicationClient,
    MemoryEngineClient,
)
from drumbay.identifiers import NodeId
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.node.environment import NodeEnvironment
from drumbay.settings import NodeSettings
from drumbay.simulation.backend_partitions import BackendPartitions
from drumbay.simulation.deployment import Deployment, NodePlan, node_settings
from drumbay.simulation.faults import DegradeNetwork, KeyValueCondition
from drumbay.simulation.gateway import Gateway, NodeRun, SimulatedNode
from drumbay.simulation.host import SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.machine_list import DEFAULT_LAG_SECONDS, ProcessMachineListClient
from drumbay.simulation.network import Cut, SimulatedNetwork
from drumbay.simulation.platform import SimulatedPlatform
from drumbay.simulation.process import SimulatedProcess
from drumbay.simulation.process_clients import (
    ProcessApplicationClient,
    ProcessEngineClient,
    ProcessKeyValueStore,
    ProcessWeightStoreClient,
)
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.standins.faults import FaultKind as BackendFaultKind
from drumbay.storage.interface import RecordLog, StoreId
from drumbay.storage.simulated_log import SimulatedDisk, SimulatedLog

NodeFactory = Callable[[NodeSettings, NodeEnvironment], SimulatedNode]

DISK_COMMIT_SECONDS = 0.002


class SimulatedCluster:
    """All nodes and services of a deployment, and the faults injected into them.

    Implements :class:`drumbay.simulation.fault_injector.FaultEnvironment`.

    Attributes:
        platform: Platform and back ends.
        network: The network between nodes.
        gateway: Connections from callers to nodes.
        hosts: The machines by node.
    """

    def __init__(
        self,
        deployment: Deployment,
        latency: LatencyModel,
        client_latency_seconds: float,
        make_node: NodeFactory,
        random: Random,
        trace: Trace,
        folder: Path,
    ) -> None:
        """Create a cluster whose nodes are not started.

        Args:
            deployment: Nodes and workers.
            latency: Delays without faults.
            client_latency_seconds: One-way delay between callers and nodes.
            make_node: Makes one node.
            random: Source of randomness.
            trace: Where events are recorded.
            folder: Empty folder for the data folders of nodes with a disk.
        """
        self._deployment = deployment
        self._latency = latency
        self._make_node = make_node
        self._random = random
        self._folder = folder
        self.platform = SimulatedPlatform(deployment, Random(random.getrandbits(64)))
        self.network = SimulatedNetwork(Random(random.getrandbits(64)), latency, trace)
        self.gateway = Gateway(client_latency_seconds)
        self._plans = {plan.node_id: plan for plan in deployment.nodes}
        self.hosts = {plan.node_id: self._make_host(plan) for plan in deployment.nodes}
        self._backend_partitions = BackendPartitions(deployment)

    def _make_host(self, plan: NodePlan) -> SimulatedHost:
        data_folder = self._folder / plan.node_id if plan.has_disk else None
        host = SimulatedHost(
            plan.node_id,
            plan.address,
            plan.location,
            data_folder=data_folder,
            disk=SimulatedDisk() if plan.has_disk else None,
        )
        self.network.add_host(host)
        return host

    @property
    def node_ids(self) -> tuple[NodeId, ...]:
        """Return the nodes in a fixed order."""
        return tuple(self.hosts)

    async def start(self) -> None:
        """Start every node."""
        for node_id in self.hosts:
            await self.start_host(node_id)

    async def stop(self) -> None:
        """Kill every node and stop the back ends."""
        for node_id in self.hosts:
            await self.kill_host(node_id)
        await self.platform.close()

    async def kill_host(self, host: str) -> None:
        """Kill the process of a host; no effect if none runs."""
        node_id = NodeId(host)
        self.gateway.runs.pop(node_id, None)
        if self.hosts[node_id].running:
            await self.hosts[node_id].kill()

    async def start_host(self, host: str) -> None:
        """Start a process on a host; no effect if one runs already."""
        node_id = NodeId(host)
        machine = self.hosts[node_id]
        if machine.running:
            return
        process = machine.start()
        if machine.data_folder is not None:
            machine.data_folder.mkdir(exist_ok=True)
        # Runs in the context of the process, so that a kill cancels its tasks.
        process.run(lambda: self._start_node(node_id, machine, process))

    def _start_node(
        self, node_id: NodeId, machine: SimulatedHost, process: SimulatedProcess
    ) -> None:
        plan = self._plans[node_id]
        folder = None if machine.data_folder is None else str(machine.data_folder)
        settings = node_settings(self._deployment, plan, folder)
        node = self._make_node(settings, self._environment(plan, machine, process))
        run = NodeRun(machine, process, node)
        self.gateway.runs[node_id] = run
        node.start()
        run.listening = True

    def _environment(
        self, plan: NodePlan, machine: SimulatedHost, process: SimulatedProcess
    ) -> NodeEnvironment:
        platform = self.platform
        platform_clock = platform.clock
        network = BackendNetwork(platform_clock, self._latency.same_region_seconds)
        self._backend_partitions.add(plan.node_id, network)
        engines = MemoryEngineClient(platform_clock, platform.engines, network)
        applications = MemoryApplicationClient(platform_clock, platform.applications, network)
        store = MemoryKeyValueStore(platform.key_value, platform_clock)
        return NodeEnvironment(
            clock=machine.clock(),
            transport=SimulatedTransport(self.network, machine.address, process),
            store=ProcessKeyValueStore(process, store),
            engine_client=ProcessEngineClient(process, engines),
            application_client=ProcessApplicationClient(process, applications),
            machine_list=ProcessMachineListClient(process, platform.machine_list),
            weight_store=ProcessWeightStoreClient(process, platform.weight_store),
            open_log=_LogOpener(machine),
            random=Random(self._random.getrandbits(64)),
            boot_id=process.boot_id,
        )

    async def stop_node(self, node_id: NodeId, timeout_seconds: float) -> None:
        """Shut a node down gracefully, then kill its process, after the limit at the latest."""
        run = self.gateway.runs.get(node_id)
        if run is None or not run.process.alive:
            return
        stopping = run.process.spawn(run.node.stop(), "planned stop")
        await asyncio.wait([stopping], timeout=timeout_seconds)
        if run.process.alive:
            await self.kill_host(node_id)

    def freeze_host(self, host: str) -> None:
        """Suspend the process of a host; no effect if none runs."""
        if self.hosts[NodeId(host)].running:
            self.hosts[NodeId(host)].freeze()

    def resume_host(self, host: str) -> None:
        """Resume the process of a host; no effect if none runs."""
        if self.hosts[NodeId(host)].running:
            self.hosts[NodeId(host)].resume()

    def cut(self, cut: Cut, *, both_ways: bool) -> None:
        """Apply a cut between nodes and, for zones and regions, between nodes and back ends."""
        self.network.cut(cut, both_ways=both_ways)
        self._backend_partitions.cut(cut, both_ways=both_ways)

    def heal(self, cut: Cut, *, both_ways: bool) -> None:
        """Undo one earlier :meth:`cut`."""
        self.network.heal(cut, both_ways=both_ways)
        self._backend_partitions.heal(cut, both_ways=both_ways)

    def degrade_network(self, faults: tuple[DegradeNetwork, ...]) -> None:
        """Replace the active network degradations."""
        self.network.latency = self._latency.degraded(
            delay_factor=max((fault.delay_factor for fault in faults), default=1.0),
            loss_probability=max((fault.loss_probability for fault in faults), default=0.0),
            duplicate_probability=max(
                (fault.duplicate_probability for fault in faults), default=0.0
            ),
            reorder_probability=max((fault.reorder_probability for fault in faults), default=0.0),
        )

    def disturb_key_value(self, conditions: tuple[KeyValueCondition, ...]) -> None:
        """Replace the active conditions of the key-value service."""
        self.platform.disturb_key_value(conditions)

    def compact_key_value(self) -> None:
        """Compact the history of the key-value service."""
        self.platform.compact_key_value()

    def crash_backend(self, backend: str) -> None:
        """Kill the process of a back end."""
        self.platform.worker(backend).crash()

    def restart_backend(self, backend: str) -> None:
        """Start the process of a back end."""
        self.platform.worker(backend).restart()

    def fail_swaps(self, backend: str, count: int, *, acknowledged: bool) -> None:
        """Make the next ``count`` weight swaps of an engine fail; 0 ends the fault."""
        self.platform.fail_swaps(backend, count, acknowledged=acknowledged)

    def disturb_answers(self, backend: str, kind: BackendFaultKind, count: int) -> None:
        """Corrupt or delay the next ``count`` responses of a back end; 0 ends the fault."""
        self.platform.disturb_answers(backend, kind, count)

    def set_machine_list_lag(self, lag_seconds: float | None) -> None:
        """Set the propagation lag of the machine list; ``None`` restores the default."""
        lag = DEFAULT_LAG_SECONDS if lag_seconds is None else lag_seconds
        self.platform.machine_list.lag_seconds = lag

    def jump_clock(self, host: str, seconds: float) -> None:
        """Shift the wall clock of a host."""
        self.hosts[NodeId(host)].wall_clock.jump(seconds)

    def set_disk_full(self, host: str, *, full: bool) -> None:
        """Make the disk of a host reject writes, or accept them again."""
        disk = self.hosts[NodeId(host)].disk
        if disk is not None:
            disk.full = full

    def set_disk_busy(self, host: str, commit_seconds: float) -> None:
        """Set the minimum commit time of a host's disk; 0 restores the default."""
        disk = self.hosts[NodeId(host)].disk
        if disk is not None:
            disk.busy_commit_seconds = commit_seconds

    def lose_disk(self, host: str) -> None:
        """Erase the disk of a host."""
        machine = self.hosts[NodeId(host)]
        if machine.disk is not None:
            machine.disk = SimulatedDisk()
        if machine.data_folder is not None:
            _delete_files(machine.data_folder)


class _LogOpener:
    """Opens record logs on the simulated disk of one host."""

    def __init__(self, machine: SimulatedHost) -> None:
        self._machine = machine
        self._clock = machine.clock()

    def __call__(self, folder: Path, name: str, *, new_store_id: StoreId) -> RecordLog:
        """Open the log ``name``."""
        disk = self._machine.disk
        assert disk is not None
        return SimulatedLog(
            disk,
            name,
            clock=self._clock,
            new_store_id=new_store_id,
            commit_seconds=DISK_COMMIT_SECONDS,
        )


def _delete_files(folder: Path) -> None:
    for entry in sorted(folder.glob("*")):
        if entry.is_file():
            entry.unlink()
