"""Planned events: nodes that stop and back ends that leave, each for a while."""

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
from drumbay.simulation.outside_clock import virtual_now

STOP_LIMIT_SECONDS = 60.0
DOWN_SECONDS = 5.0
LEAVE_SECONDS = 40.0
DRAIN_LIMIT_SECONDS = 60.0
DRAIN_POLL_SECONDS = 1.0


class Maintenance:
    """Stops nodes and takes back ends out of service as an operator would."""

    def __init__(self, cluster: SimulatedCluster, history: History, random: Random) -> None:
        """Plan nothing yet."""
        self._cluster = cluster
        self._history = history
        self._random = random

    async def stop_nodes(self, mean_interval_seconds: float, until_seconds: float) -> None:
        """Stop one node after another, at random times."""
        while await self._wait(mean_interval_seconds, until_seconds):
            await self._stop_one(self._random.choice(self._cluster.node_ids))

    async def _stop_one(self, node_id: NodeId) -> None:
        if not self._cluster.hosts[node_id].running:
            return
        self._history.add(PlannedStopStarted(time_seconds=virtual_now(), node_id=node_id))
        # NOTE: a stopping node owes its requests an answer, but no configuration.
        await self._cluster.stop_node(node_id, STOP_LIMIT_SECONDS)
        self._history.add(NodeDisturbed(time_seconds=virtual_now(), node_id=node_id, planned=True))
        await asyncio.sleep(DOWN_SECONDS)
        await self._cluster.start_host(node_id)
        self._history.add(NodeRestored(time_seconds=virtual_now(), node_id=node_id))

    async def retire_backends(
        self, backends: tuple[BackendId, ...], mean_interval_seconds: float, until_seconds: float
    ) -> None:
        """Let one back end after another leave, restart and come back."""
        while backends and await self._wait(mean_interval_seconds, until_seconds):
            await self._retire_one(self._random.choice(backends))

    async def _retire_one(self, backend: BackendId) -> None:
        platform = self._cluster.platform
        visible_at = platform.machine_list.set_state(backend, MachineState.LEAVING)
        # The promise counts from when the platform's list shows it.
        await asyncio.sleep(visible_at - virtual_now())
        self._history.add(BackendLeaving(time_seconds=virtual_now(), backend_id=backend))
        await asyncio.sleep(LEAVE_SECONDS)
        drained = await self._wait_until_idle(backend)
        if drained and not platform.worker(backend).crashed:
            self._history.add(
                BackendStopped(time_seconds=virtual_now(), backend_id=backend, planned=True)
            )
            platform.worker(backend).restart()
        platform.machine_list.set_state(backend, MachineState.LIVE)
        self._history.add(BackendReturned(time_seconds=virtual_now(), backend_id=backend))

    async def _wait_until_idle(self, backend: BackendId) -> bool:
        ends_at = virtual_now() + DRAIN_LIMIT_SECONDS
        while self._cluster.platform.in_flight(backend) > 0:
            if virtual_now() >= ends_at:
                return False
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        return True

    async def _wait(self, mean_interval_seconds: float, until_seconds: float) -> bool:
        """Wait for a random time; return whether there is time for another event."""
        await asyncio.sleep(self._random.expovariate(1.0 / mean_interval_seconds))
        return virtual_now() < until_seconds
