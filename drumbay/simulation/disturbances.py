"""Records which nodes a fault affects, for promises that exclude disturbed nodes."""

import asyncio

from drumbay.identifiers import NodeId
from drumbay.simulation.deployment import Deployment, NodePlan
from drumbay.simulation.faults import (
    AnyFault,
    CutPath,
    DisturbKeyValue,
    FreezeHost,
    KeyValueCondition,
    KillHost,
    LoseDisk,
)
from drumbay.simulation.history import History, KeyValueOutage, NodeDisturbed, NodeRestored
from drumbay.simulation.network import Cut, Scope
from drumbay.simulation.trace import Trace


class DisturbanceRecorder:
    """Records the start and end of each fault in the history and the trace."""

    def __init__(self, deployment: Deployment, history: History, trace: Trace) -> None:
        """Create a recorder for the nodes of a deployment."""
        self._deployment = deployment
        self._history = history
        self._trace = trace

    def record(self, fault: AnyFault, began: bool) -> None:
        """Record that a fault began (``began``) or ended."""
        self._trace.record("fault", type(fault).__name__, began)
        now = asyncio.get_running_loop().time()
        if isinstance(fault, DisturbKeyValue) and fault.condition is KeyValueCondition.OUTAGE:
            self._history.add(KeyValueOutage(time_seconds=now, began=began))
        cut_off = isinstance(fault, CutPath)
        disk_lost = isinstance(fault, LoseDisk)
        for node_id in self._disturbed_nodes(fault):
            if began:
                disturbed = NodeDisturbed(
                    time_seconds=now, node_id=node_id, cut_off=cut_off, disk_lost=disk_lost
                )
                self._history.add(disturbed)
            else:
                self._history.add(NodeRestored(time_seconds=now, node_id=node_id, cut_off=cut_off))

    def _disturbed_nodes(self, fault: AnyFault) -> tuple[NodeId, ...]:
        match fault:
            case KillHost() | FreezeHost() | LoseDisk():
                return (NodeId(fault.host),)
            case CutPath():
                return self._nodes_at_ends(fault.cut)
            case _:
                return ()

    def _nodes_at_ends(self, cut: Cut) -> tuple[NodeId, ...]:
        ends = (cut.source, cut.target)
        return tuple(
            plan.node_id
            for plan in self._deployment.nodes
            if _name_in_scope(plan, cut.scope) in ends
        )


def _name_in_scope(plan: NodePlan, scope: Scope) -> str:
    match scope:
        case Scope.HOST:
            return plan.node_id
        case Scope.ZONE:
            return plan.location.zone
        case Scope.REGION:
            return plan.location.region
