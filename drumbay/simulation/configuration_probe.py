"""Looks at which configuration is in force on each node."""

import asyncio

from drumbay.identifiers import BootId, NodeId, Revision
from drumbay.simulation.cluster import SimulatedCluster
from drumbay.simulation.gateway import NodeRun
from drumbay.simulation.history import ConfigurationInForce, History

PROBE_INTERVAL_SECONDS = 0.25
_NO_RESOURCE_KIND = "none"
"""Kind that no resource has, so that a probe reads the revision alone."""


class ConfigurationProbe:
    """Writes each change of a node's revision in force into the history."""

    def __init__(self, cluster: SimulatedCluster, history: History) -> None:
        """Have seen nothing yet."""
        self._cluster = cluster
        self._history = history
        self._seen: dict[tuple[NodeId, BootId], Revision] = {}

    async def run(self) -> None:
        """Probe all nodes until cancelled."""
        while True:
            for node_id, run in self._cluster.gateway.runs.items():
                if run.process.alive and not run.process.frozen:
                    self._probe(node_id, run)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    def _probe(self, node_id: NodeId, run: NodeRun) -> None:
        revision = run.node.resources(_NO_RESOURCE_KIND, None).revision
        boot_id = run.process.boot_id
        if revision == self._seen.get((node_id, boot_id), Revision(0)):
            # Revision 0 stands for a node that has no configuration yet and serves nothing.
            return
        self._seen[(node_id, boot_id)] = revision
        self._history.add(
            ConfigurationInForce(
                time_seconds=asyncio.get_running_loop().time(),
                node_id=node_id,
                boot_id=boot_id,
                revision=revision,
            )
        )
