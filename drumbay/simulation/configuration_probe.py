"""Samples the configuration revision in force on each node."""

import asyncio

from drumbay.identifiers import BootId, NodeId, Revision
from drumbay.simulation.cluster import SimulatedCluster
from drumbay.simulation.gateway import NodeRun
from drumbay.simulation.history import ConfigurationInForce, History

PROBE_INTERVAL_SECONDS = 0.25
_NO_RESOURCE_KIND = "none"
"""Matches no resource, so that a probe reads only the revision."""


class ConfigurationProbe:
    """Records every change of a node's configuration revision in the history."""

    def __init__(self, cluster: SimulatedCluster, history: History) -> None:
        """Create a probe for all nodes of a cluster."""
        self._cluster = cluster
        self._history = history
        self._last_revisions: dict[tuple[NodeId, BootId], Revision] = {}

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
        if revision == self._last_revisions.get((node_id, boot_id), Revision(0)):
            # Revision 0: the node has not loaded a configuration yet.
            return
        self._last_revisions[(node_id, boot_id)] = revision
        self._history.add(
            ConfigurationInForce(
                time_seconds=asyncio.get_running_loop().time(),
                node_id=node_id,
                boot_id=boot_id,
                revision=revision,
            )
        )
