"""Bipartite graphs of nodes and workers, with their usable capacity under demand patterns."""

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
    """Distribution of the arrival rate over the nodes."""

    UNIFORM = "uniform"
    """All nodes have the same rate."""

    HOT_NODES = "hot_nodes"
    """A random tenth of the nodes receives half of the demand."""

    HOT_ZONE = "hot_zone"
    """The nodes of one of six zones receive two fifths of the demand."""

    HOT_NEIGHBOURS = "hot_neighbours"
    """The tenth of the nodes sharing most workers with node 0 receives half of the demand."""


class SubsetGraph(msgspec.Struct, frozen=True, kw_only=True):
    """Workers assigned to each node, and the zones of nodes and workers."""

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
        """Return the mean number of workers per node."""
        return sum(len(workers) for workers in self.worker_sets) / self.node_count


def build_graph(node_count: int, worker_count: int, policy: SubsetPolicy) -> SubsetGraph:
    """Return the graph formed by a subset policy, with zones assigned round robin."""
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
    """Return the share of each node in the demand; the shares sum to 1."""
    nodes = range(graph.node_count)
    if demand is Demand.UNIFORM:
        return [1.0 / graph.node_count] * graph.node_count
    if demand is Demand.HOT_ZONE:
        hot_nodes = [index for index in nodes if graph.node_zones[index] == 0]
        return _two_level_shares(graph.node_count, hot_nodes, HOT_ZONE_DEMAND_SHARE)
    hot_count = max(1, round(graph.node_count * HOT_NODE_SHARE))
    if demand is Demand.HOT_NODES:
        hot_nodes = random.sample(nodes, hot_count)
    else:
        first_workers = set(graph.worker_sets[0])
        hot_nodes = sorted(
            nodes, key=lambda index: -len(first_workers & set(graph.worker_sets[index]))
        )
        hot_nodes = hot_nodes[:hot_count]
    return _two_level_shares(graph.node_count, hot_nodes, HOT_DEMAND_SHARE)


def _two_level_shares(node_count: int, hot_nodes: Sequence[int], hot_share: float) -> list[float]:
    shares = [(1.0 - hot_share) / (node_count - len(hot_nodes))] * node_count
    for index in hot_nodes:
        shares[index] = hot_share / len(hot_nodes)
    return shares


def capacity_share(graph: SubsetGraph, shares: Sequence[float]) -> float:
    """Return the share of the total worker capacity that a demand distribution can use.

    This is the largest intensity at which the demand is feasible (Tsitsiklis and Xu 2017,
    definition 2.2). Each node in turn distributes its rate over its workers by water-filling;
    the rounds converge to the flow with the smallest maximum load. Every intermediate flow is
    feasible, so the result is a lower bound.
    """
    worker_sets_by_node: list[IntArray] = [
        np.array(workers, dtype=np.int64) for workers in graph.worker_sets
    ]
    flows: list[FloatArray] = [
        np.full(len(workers), share * graph.worker_count / len(workers))
        for workers, share in zip(worker_sets_by_node, shares, strict=True)
    ]
    load: FloatArray = np.zeros(graph.worker_count)
    for workers, flow in zip(worker_sets_by_node, flows, strict=True):
        load[workers] += flow
    previous_max_load = float(load.max())
    for _ in range(_MAX_BALANCE_ROUNDS):
        for index, workers in enumerate(worker_sets_by_node):
            load[workers] -= flows[index]
            rate = shares[index] * graph.worker_count
            flows[index] = _water_fill(load[workers], rate)
            load[workers] += flows[index]
        max_load = float(load.max())
        if previous_max_load - max_load < _BALANCE_TOLERANCE * max_load:
            break
        previous_max_load = max_load
    return min(1.0, 1.0 / float(load.max()))


def _water_fill(levels: FloatArray, amount: float) -> FloatArray:
    """Return the amounts that raise the lowest levels to a common level (water-filling)."""
    ordered = np.sort(levels)
    counts = np.arange(1, len(ordered) + 1)
    common_levels = (np.cumsum(ordered) + amount) / counts
    is_feasible = common_levels >= ordered
    level = common_levels[np.flatnonzero(is_feasible)[-1]]
    added: FloatArray = np.maximum(0.0, level - levels)
    return added
