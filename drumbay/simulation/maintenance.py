"""Planned maintenance: restarts of nodes and of back ends."""

import asyncio
from random import Random

from drumbay.identifiers import BackendId, NodeId
from drumbay.machines.interface import MachineState
from drumbay.simulation.cluster import SimulatedCluster
from drumbay.simulation.history import (
    BackendLeaving,
    BackendReturned,
    BackendStopped,
    History,
    NodeDisturbed,
    NodeRestored,
    PlannedStopStarted,
)
from drumbay.simulation.simulation_clock import virtual_now

STOP_TIMEOUT_SECONDS = 60.0
DOWNTIME_SECONDS = 5.0
LEAVING_SECONDS = 40.0
DRAIN_TIMEOUT_SECONDS = 60.0
DRAIN_POLL_SECONDS = 1.0


class Maintenance:
    """Restarts nodes and back ends one at a time, as an operator would."""

    def __init__(self, cluster: SimulatedCluster, history: History, random: Random) -> None:
        """Create the maintenance of a cluster; nothing is scheduled yet."""
        self._cluster = cluster
        self._history = history
        self._random = random

    async def restart_nodes(self, mean_interval_seconds: float, until_seconds: float) -> None:
        """Restart one random node after another, at random times."""
        while await self._wait_for_next(mean_interval_seconds, until_seconds):
            await self._restart_node(self._random.choice(self._cluster.node_ids))

    async def _restart_node(self, node_id: NodeId) -> None:
        if not self._cluster.hosts[node_id].running:
            return
        self._history.add(PlannedStopStarted(time_seconds=virtual_now(), node_id=node_id))
        # A stopping node must still answer its requests, but need not apply configuration changes.
        await self._cluster.stop_node(node_id, STOP_TIMEOUT_SECONDS)
        self._history.add(NodeDisturbed(time_seconds=virtual_now(), node_id=node_id, planned=True))
        await asyncio.sleep(DOWNTIME_SECONDS)
        await self._cluster.start_host(node_id)
        self._history.add(NodeRestored(time_seconds=virtual_now(), node_id=node_id))

    async def restart_backends(
        self, backends: tuple[BackendId, ...], mean_interval_seconds: float, until_seconds: float
    ) -> None:
        """Drain, restart and restore one random back end after another."""
        while backends and await self._wait_for_next(mean_interval_seconds, until_seconds):
            await self._restart_backend(self._random.choice(backends))

    async def _restart_backend(self, backend: BackendId) -> None:
        platform = self._cluster.platform
        visible_at = platform.machine_list.set_state(backend, MachineState.LEAVING)
        # The limit of the promise starts when the machine list shows the change.
        await asyncio.sleep(visible_at - virtual_now())
        self._history.add(BackendLeaving(time_seconds=virtual_now(), backend_id=backend))
        await asyncio.sleep(LEAVING_SECONDS)
        drained = await self._wait_until_idle(backend)
        if drained and not platform.worker(backend).crashed:
            self._history.add(
                BackendStopped(time_seconds=virtual_now(), backend_id=backend, planned=True)
            )
            platform.worker(backend).restart()
        platform.machine_list.set_state(backend, MachineState.LIVE)
        self._history.add(BackendReturned(time_seconds=virtual_now(), backend_id=backend))

    async def _wait_until_idle(self, backend: BackendId) -> bool:
        deadline = virtual_now() + DRAIN_TIMEOUT_SECONDS
        while self._cluster.platform.in_flight(backend) > 0:
            if virtual_now() >= deadline:
                return False
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        return True

    async def _wait_for_next(self, mean_interval_seconds: float, until_seconds: float) -> bool:
        """Wait for a random time; return whether another event may start."""
        await asyncio.sleep(self._random.expovariate(1.0 / mean_interval_seconds))
        return virtual_now() < until_seconds
