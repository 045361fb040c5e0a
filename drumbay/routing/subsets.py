"""Which workers each node watches and may choose from.

At 410 nodes and 700 workers not every node can hear every worker's load. Each node
therefore gets a limited set, computed by every node alone from the same lists of members,
without messages. Four designs stand for comparison (``drumbay.bench.subsets``):

* all: every node to every worker;
* zone-modular and random modular: disjoint clusters of nodes and workers (Tsitsiklis and
  Xu, "Flexible Queueing Architectures", Operations Research 65(5), 2017, section 3.3).
  Theorem 3.5 there: some demands within a small fluctuation cannot be carried;
* random regular: a random bipartite graph, which is an expander with high probability
  (remark after Lemma 3.3 there). Lemma 3.2: an expander carries every demand whose
  fluctuation is within its expansion. That policy's batches and virtual queues (section 4)
  are not used here.

The random regular graph comes from rendezvous hashing (Thaler and Ravishankar, IEEE/ACM
Transactions on Networking 6(1), 1998): every pair of node and worker has a score. A node
watches a worker if the worker is among its ``degree`` best or if it is itself among the
worker's best nodes. The first rule bounds the node's work, the second one guarantees that
every worker is watched. A member that joins or leaves moves only pairs around its own.
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
    """How sets of workers are formed."""

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
    """How large the sets are.

    Attributes:
        design: How sets are formed.
        degree: Workers per node; more where fewer would leave workers without nodes.
        same_zone_weight: How much likelier a pair within one zone is than one across
            (random regular only).
        salt: Makes the sets of different groups of workers independent.
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
        policy: Design and degree.
    """
    own = next((node for node in nodes if node.node_id == node_id), None)
    if own is None:
        return ()
    if policy.design is SubsetDesign.ALL or policy.degree >= len(workers):
        return tuple(sorted(worker.backend_id for worker in workers))
    if policy.design is SubsetDesign.RANDOM_REGULAR:
        chosen = _random_regular_set(own, nodes, workers, policy)
    else:
        chosen = _modular_set(own, nodes, workers, policy)
    return tuple(sorted(chosen))


def assign_groups(
    node_id: NodeId,
    nodes: Sequence[NodeMember],
    groups: Iterable[BackendGroup],
    policy: SubsetPolicy,
) -> frozenset[BackendId]:
    """Return the workers of one node over all groups.

    Each group is assigned on its own and in full degree, so that a small group is not
    missed by the nodes because a large one stands beside it.
    """
    assigned: list[BackendId] = []
    for group in groups:
        workers = [
            WorkerMember(backend_id=BackendId(backend.id), zone=backend.zone)
            for backend in group.backends
        ]
        own_policy = msgspec.structs.replace(policy, salt=f"{policy.salt}{group.name}")
        assigned.extend(assign_workers(node_id, nodes, workers, own_policy))
    return frozenset(assigned)


def nodes_per_worker(node_count: int, worker_count: int, degree: int) -> int:
    """Return how many nodes are guaranteed to watch each worker (random regular).

    It is the largest power of two within the mean, so that it changes only when the number
    of nodes or workers doubles or halves, and at least ``MIN_NODES_PER_WORKER``.
    """
    mean = node_count * degree / max(1, worker_count)
    power_of_two: int = 1 << math.floor(math.log2(max(1.0, mean)))
    return min(node_count, max(MIN_NODES_PER_WORKER, power_of_two))


def _random_regular_set(
    own: NodeMember,
    nodes: Sequence[NodeMember],
    workers: Sequence[WorkerMember],
    policy: SubsetPolicy,
) -> list[BackendId]:
    own_seed = _node_seed(own, policy)
    scored = [(_score(own_seed, own, worker, policy), worker) for worker in workers]
    scored.sort(key=lambda pair: (-pair[0], pair[1].backend_id))
    chosen = [worker.backend_id for _, worker in scored[: policy.degree]]
    required = nodes_per_worker(len(nodes), len(workers), policy.degree)
    others = [(_node_seed(node, policy), node) for node in nodes if node.node_id != own.node_id]
    for score, worker in scored[policy.degree :]:
        if _count_better(score, worker, own, others, policy, limit=required) < required:
            chosen.append(worker.backend_id)
    return chosen


def _count_better(
    own_score: float,
    worker: WorkerMember,
    own: NodeMember,
    others: Sequence[tuple[int, NodeMember]],
    policy: SubsetPolicy,
    *,
    limit: int,
) -> int:
    """Return how many nodes score higher with a worker than ``own``, at most ``limit``."""
    count = 0
    for seed, node in others:
        score = _score(seed, node, worker, policy)
        if score > own_score or (score == own_score and node.node_id < own.node_id):
            count += 1
            if count == limit:
                break
    return count


def _node_seed(node: NodeMember, policy: SubsetPolicy) -> int:
    return xxhash.xxh3_64_intdigest(f"{policy.salt}\0{node.node_id}".encode())


def _score(seed: int, node: NodeMember, worker: WorkerMember, policy: SubsetPolicy) -> float:
    """Return the rendezvous score of a pair; larger is better.

    ``log(u) / weight`` with uniform ``u`` wins with a probability proportional to the weight.
    """
    uniform = (xxhash.xxh3_64_intdigest(worker.backend_id.encode(), seed) + 0.5) / _HASH_RANGE
    weight = policy.same_zone_weight if node.zone == worker.zone else 1.0
    return math.log(uniform) / weight


def _modular_set(
    own: NodeMember,
    nodes: Sequence[NodeMember],
    workers: Sequence[WorkerMember],
    policy: SubsetPolicy,
) -> list[BackendId]:
    if policy.design is SubsetDesign.ZONE_MODULAR:
        home_of = _home_zones(nodes, workers)
        zone = home_of(own.zone)
        nodes = [node for node in nodes if home_of(node.zone) == zone]
        workers = [worker for worker in workers if home_of(worker.zone) == zone]
    cluster_count = max(1, min(round(len(workers) / policy.degree), len(nodes)))
    node_ids = _shuffled([node.node_id for node in nodes], policy.salt)
    worker_ids = _shuffled([worker.backend_id for worker in workers], policy.salt)
    own_cluster = node_ids.index(own.node_id) % cluster_count
    return worker_ids[own_cluster::cluster_count]


def _home_zones(
    nodes: Sequence[NodeMember], workers: Sequence[WorkerMember]
) -> Callable[[str], str]:
    """Return the zone in which members of each zone are put into clusters.

    A zone without nodes or without workers cannot stand alone; its members join the first
    zone that can.
    """
    worker_zones = {worker.zone for worker in workers}
    homes = sorted({node.zone for node in nodes if node.zone in worker_zones})
    fallback = homes[0] if homes else ""
    return lambda zone: zone if zone in homes else fallback


def _shuffled(ids: Sequence[IdT], salt: str) -> list[IdT]:
    """Return ids in an order that is random but the same on every node."""
    return sorted(
        ids, key=lambda entry: (xxhash.xxh3_64_intdigest(f"{salt}\0{entry}".encode()), entry)
    )
