"""Graphs between nodes and workers, demands on them, and the capacity they carry."""

import random as random_module
from collections.abc import Sequence
from enum import StrEnum

import msgspec
import numpy as np
import numpy.typing as npt

from drumbay.identifiers import BackendId, NodeId
from drumbay.routing.subsets import NodeMember, SubsetPolicy, WorkerMember, assign_workers

FloatArray = npt.NDArray[np.float64]
IntArray = npt.NDArray[np.int64]

ZONE_COUNT = 6
HOT_NODE_SHARE = 0.1
HOT_DEMAND_SHARE = 0.5
HOT_ZONE_DEMAND_SHARE = 0.4
_MAX_BALANCE_ROUNDS = 60
_BALANCE_TOLERANCE = 1e-3


class Demand(StrEnum):
    """How the arrival rates of the nodes differ."""

    UNIFORM = "uniform"
    """Every node has the same rate."""

    HOT_NODES = "hot_nodes"
    """A random tenth of the nodes carries half of the demand."""

    HOT_ZONE = "hot_zone"
    """The nodes of one zone of six carry two fifths of the demand."""

    HOT_NEIGHBOURS = "hot_neighbours"
    """The tenth of the nodes that share most workers with node 0 carries half of it."""


class SubsetGraph(msgspec.Struct, frozen=True, kw_only=True):
    """Worker indexes of each node, and the zones of both."""

    worker_sets: tuple[tuple[int, ...], ...]
    node_zones: tuple[int, ...]
    worker_zones: tuple[int, ...]

    @property
    def node_count(self) -> int:
        """Return the number of nodes."""
        return len(self.worker_sets)

    @property
    def worker_count(self) -> int:
        """Return the number of workers."""
        return len(self.worker_zones)

    @property
    def mean_degree(self) -> float:
        """Return the mean number of workers of a node."""
        return sum(len(workers) for workers in self.worker_sets) / self.node_count


def build_graph(node_count: int, worker_count: int, policy: SubsetPolicy) -> SubsetGraph:
    """Return the graph that the nodes would form, zones dealt round robin."""
    node_zones = tuple(index % ZONE_COUNT for index in range(node_count))
    worker_zones = tuple(index % ZONE_COUNT for index in range(worker_count))
    nodes = [
        NodeMember(node_id=NodeId(f"node-{index}"), zone=f"zone-{zone}")
        for index, zone in enumerate(node_zones)
    ]
    workers = [
        WorkerMember(backend_id=BackendId(f"worker-{index}"), zone=f"zone-{zone}")
        for index, zone in enumerate(worker_zones)
    ]
    index_of = {worker.backend_id: index for index, worker in enumerate(workers)}
    worker_sets = tuple(
        tuple(
            index_of[backend_id]
            for backend_id in assign_workers(node.node_id, nodes, workers, policy)
        )
        for node in nodes
    )
    return SubsetGraph(worker_sets=worker_sets, node_zones=node_zones, worker_zones=worker_zones)


def demand_shares(graph: SubsetGraph, demand: Demand, random: random_module.Random) -> list[float]:
    """Return each node's share of the demand; the shares add up to 1."""
    nodes = range(graph.node_count)
    if demand is Demand.UNIFORM:
        return [1.0 / graph.node_count] * graph.node_count
    if demand is Demand.HOT_ZONE:
        hot = [index for index in nodes if graph.node_zones[index] == 0]
        return _two_level_shares(graph.node_count, hot, HOT_ZONE_DEMAND_SHARE)
    hot_count = max(1, round(graph.node_count * HOT_NODE_SHARE))
    if demand is Demand.HOT_NODES:
        hot = random.sample(nodes, hot_count)
    else:
        first = set(graph.worker_sets[0])
        hot = sorted(nodes, key=lambda index: -len(first & set(graph.worker_sets[index])))
        hot = hot[:hot_count]
    return _two_level_shares(graph.node_count, hot, HOT_DEMAND_SHARE)


def _two_level_shares(node_count: int, hot: Sequence[int], hot_share: float) -> list[float]:
    shares = [(1.0 - hot_share) / (node_count - len(hot))] * node_count
    for index in hot:
        shares[index] = hot_share / len(hot)
    return shares


def capacity_share(graph: SubsetGraph, shares: Sequence[float]) -> float:
    """Return the part of the workers' total rate that a demand of this shape can use.

    This is the largest intensity at which the demand is feasible (Tsitsiklis and Xu 2017,
    definition 2.2). Each node in turn spreads its rate over its workers so that the
    fullest are as full as one another; the rounds converge to the flow with the least
    maximum. The flow found is a real one, so the result is a lower bound.
    """
    sets: list[IntArray] = [np.array(workers, dtype=np.int64) for workers in graph.worker_sets]
    flows: list[FloatArray] = [
        np.full(len(workers), share * graph.worker_count / len(workers))
        for workers, share in zip(sets, shares, strict=True)
    ]
    load: FloatArray = np.zeros(graph.worker_count)
    for workers, flow in zip(sets, flows, strict=True):
        load[workers] += flow
    previous = float(load.max())
    for _ in range(_MAX_BALANCE_ROUNDS):
        for index, workers in enumerate(sets):
            load[workers] -= flows[index]
            rate = shares[index] * graph.worker_count
            flows[index] = _fill_lowest(load[workers], rate)
            load[workers] += flows[index]
        current = float(load.max())
        if previous - current < _BALANCE_TOLERANCE * current:
            break
        previous = current
    return min(1.0, 1.0 / float(load.max()))


def _fill_lowest(levels: FloatArray, amount: float) -> FloatArray:
    """Return what to add to each level so that the lowest rise to a common one."""
    ordered = np.sort(levels)
    counts = np.arange(1, len(ordered) + 1)
    common = (np.cumsum(ordered) + amount) / counts
    fits = common >= ordered
    level = common[np.flatnonzero(fits)[-1]]
    added: FloatArray = np.maximum(0.0, level - levels)
    return added
