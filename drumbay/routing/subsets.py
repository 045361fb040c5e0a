"""Deterministic subsetting: assigns each node the workers that it polls and routes to.

Polling every worker from every node does not scale. Each node therefore gets a subset, which
it computes locally from the shared membership lists without exchanging messages. There are
four designs (compared by ``drumbay.bench.subsets``):

* all: every node watches every worker;
* zone-modular and random modular: disjoint clusters of nodes and workers (Tsitsiklis and
  Xu, "Flexible Queueing Architectures", Operations Research 65(5), 2017, section 3.3). By
  their Theorem 3.5, some demands with small fluctuations cannot be served;
* random regular: a random bipartite graph, which is an expander with high probability
  (remark after their Lemma 3.3). By Lemma 3.2, an expander can serve every demand whose
  fluctuation is within its expansion. The batching and virtual queues of their section 4
  are not used here.

The random regular graph is built by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM
Transactions on Networking 6(1), 1998), which gives every pair of node and worker a score. A node
watches a worker if the worker is among the ``degree`` highest-scoring workers of the node, or the
node is among the highest-scoring nodes of the worker (see :func:`nodes_per_worker`). The first rule
bounds the load of a node, the second guarantees that every worker is watched. A membership change
affects only the pairs of the member and a few others.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import TypeVar

import msgspec
import xxhash

from drumbay.identifiers import BackendId, NodeId
from drumbay.resources.schema import BackendGroup

DEFAULT_DEGREE = 32
MIN_NODES_PER_WORKER = 2
IdT = TypeVar("IdT", bound=str)
_HASH_RANGE = float(2**64)


class SubsetDesign(StrEnum):
    """How worker subsets are formed."""

    ALL = "all"
    ZONE_MODULAR = "zone_modular"
    RANDOM_MODULAR = "random_modular"
    RANDOM_REGULAR = "random_regular"


class NodeMember(msgspec.Struct, frozen=True, kw_only=True):
    """A live node and its zone."""

    node_id: NodeId
    zone: str


class WorkerMember(msgspec.Struct, frozen=True, kw_only=True):
    """A worker and its zone."""

    backend_id: BackendId
    zone: str


class SubsetPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of subsetting.

    Attributes:
        design: How subsets are formed.
        degree: Workers per node; exceeded where workers would otherwise have too few nodes.
        same_zone_weight: Weight of pairs within one zone relative to pairs across zones
            (random regular only).
        salt: Hash salt that makes the subsets of different worker groups independent.
    """

    design: SubsetDesign = SubsetDesign.RANDOM_REGULAR
    degree: int = DEFAULT_DEGREE
    same_zone_weight: float = 1.0
    salt: str = ""


def assign_workers(
    node_id: NodeId,
    nodes: Sequence[NodeMember],
    workers: Sequence[WorkerMember],
    policy: SubsetPolicy,
) -> tuple[BackendId, ...]:
    """Return the workers of one node, sorted; empty if the node is not in ``nodes``.

    Args:
        node_id: The node.
        nodes: All live nodes, in any order.
        workers: All workers of one group, in any order.
        policy: Parameters of subsetting.
    """
    this_node = next((node for node in nodes if node.node_id == node_id), None)
    if this_node is None:
        return ()
    if policy.design is SubsetDesign.ALL or policy.degree >= len(workers):
        return tuple(sorted(worker.backend_id for worker in workers))
    if policy.design is SubsetDesign.RANDOM_REGULAR:
        chosen = _random_regular_set(this_node, nodes, workers, policy)
    else:
        chosen = _modular_set(this_node, nodes, workers, policy)
    return tuple(sorted(chosen))


def assign_groups(
    node_id: NodeId,
    nodes: Sequence[NodeMember],
    groups: Iterable[BackendGroup],
    policy: SubsetPolicy,
) -> frozenset[BackendId]:
    """Return the workers of one node over all groups.

    Each group is assigned separately with the full degree, so that a large group does not
    displace the workers of a small one.
    """
    assigned: list[BackendId] = []
    for group in groups:
        workers = [
            WorkerMember(backend_id=BackendId(backend.id), zone=backend.zone)
            for backend in group.backends
        ]
        group_policy = msgspec.structs.replace(policy, salt=f"{policy.salt}{group.name}")
        assigned.extend(assign_workers(node_id, nodes, workers, group_policy))
    return frozenset(assigned)


def nodes_per_worker(node_count: int, worker_count: int, degree: int) -> int:
    """Return the minimum number of nodes that watch each worker (random regular).

    The mean is rounded down to a power of two, so that small membership changes do not change
    the result, and is at least ``MIN_NODES_PER_WORKER``.
    """
    mean = node_count * degree / max(1, worker_count)
    power_of_two: int = 1 << math.floor(math.log2(max(1.0, mean)))
    return min(node_count, max(MIN_NODES_PER_WORKER, power_of_two))


def _random_regular_set(
    this_node: NodeMember,
    nodes: Sequence[NodeMember],
    workers: Sequence[WorkerMember],
    policy: SubsetPolicy,
) -> list[BackendId]:
    this_seed = _node_seed(this_node, policy)
    scored = [(_score(this_seed, this_node, worker, policy), worker) for worker in workers]
    scored.sort(key=lambda scored_worker: (-scored_worker[0], scored_worker[1].backend_id))
    chosen = [worker.backend_id for _, worker in scored[: policy.degree]]
    min_watchers = nodes_per_worker(len(nodes), len(workers), policy.degree)
    other_nodes = [
        (_node_seed(node, policy), node) for node in nodes if node.node_id != this_node.node_id
    ]
    for score, worker in scored[policy.degree :]:
        if (
            _count_higher_scores(score, worker, this_node, other_nodes, policy, limit=min_watchers)
            < min_watchers
        ):
            chosen.append(worker.backend_id)
    return chosen


def _count_higher_scores(
    this_score: float,
    worker: WorkerMember,
    this_node: NodeMember,
    other_nodes: Sequence[tuple[int, NodeMember]],
    policy: SubsetPolicy,
    *,
    limit: int,
) -> int:
    """Return how many other nodes score higher than ``this_node`` for a worker, up to ``limit``."""
    count = 0
    for seed, node in other_nodes:
        score = _score(seed, node, worker, policy)
        if score > this_score or (score == this_score and node.node_id < this_node.node_id):
            count += 1
            if count == limit:
                break
    return count


def _node_seed(node: NodeMember, policy: SubsetPolicy) -> int:
    return xxhash.xxh3_64_intdigest(f"{policy.salt}\0{node.node_id}".encode())


def _score(seed: int, node: NodeMember, worker: WorkerMember, policy: SubsetPolicy) -> float:
    """Return the weighted rendezvous score of a pair; the highest wins.

    With uniform ``u``, ``log(u) / weight`` is the highest with a probability proportional to
    the weight.
    """
    uniform = (xxhash.xxh3_64_intdigest(worker.backend_id.encode(), seed) + 0.5) / _HASH_RANGE
    weight = policy.same_zone_weight if node.zone == worker.zone else 1.0
    return math.log(uniform) / weight


def _modular_set(
    this_node: NodeMember,
    nodes: Sequence[NodeMember],
    workers: Sequence[WorkerMember],
    policy: SubsetPolicy,
) -> list[BackendId]:
    if policy.design is SubsetDesign.ZONE_MODULAR:
        cluster_zone_of = _cluster_zones(nodes, workers)
        zone = cluster_zone_of(this_node.zone)
        nodes = [node for node in nodes if cluster_zone_of(node.zone) == zone]
        workers = [worker for worker in workers if cluster_zone_of(worker.zone) == zone]
    cluster_count = max(1, min(round(len(workers) / policy.degree), len(nodes)))
    node_ids = _shuffled([node.node_id for node in nodes], policy.salt)
    worker_ids = _shuffled([worker.backend_id for worker in workers], policy.salt)
    cluster_index = node_ids.index(this_node.node_id) % cluster_count
    return worker_ids[cluster_index::cluster_count]


def _cluster_zones(
    nodes: Sequence[NodeMember], workers: Sequence[WorkerMember]
) -> Callable[[str], str]:
    """Return a function that maps each zone to the zone whose clusters its members join.

    A zone that lacks nodes or workers cannot form clusters; its members join the first zone
    that can.
    """
    worker_zones = {worker.zone for worker in workers}
    usable_zones = sorted({node.zone for node in nodes if node.zone in worker_zones})
    fallback = usable_zones[0] if usable_zones else ""
    return lambda zone: zone if zone in usable_zones else fallback


def _shuffled(ids: Sequence[IdT], salt: str) -> list[IdT]:
    """Return ids in a pseudo-random order that is the same on every node."""
    return sorted(
        ids,
        key=lambda member_id: (
            xxhash.xxh3_64_intdigest(f"{salt}\0{member_id}".encode()),
            member_id,
        ),
    )
