"""Worker subsets: deterministic, complete, bounded, and stable under membership changes."""

import math
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.bench.subset_graph import (
    Demand,
    SubsetGraph,
    build_graph,
    capacity_share,
    demand_shares,
)
from drumbay.configuration.view import ConfigurationView
from drumbay.identifiers import BackendId, NodeId
from drumbay.resources.schema import Backend, BackendGroup, BackendKind
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.subsets import (
    NodeMember,
    SubsetDesign,
    SubsetPolicy,
    WorkerMember,
    assign_groups,
    assign_workers,
    nodes_per_worker,
)

Sets = dict[NodeId, frozenset[BackendId]]


def make_nodes(count: int, zones: int = 3) -> list[NodeMember]:
    return [
        NodeMember(node_id=NodeId(f"n{index}"), zone=f"z{index % zones}") for index in range(count)
    ]


def make_workers(count: int, zones: int = 3) -> list[WorkerMember]:
    return [
        WorkerMember(backend_id=BackendId(f"w{index}"), zone=f"z{index % zones}")
        for index in range(count)
    ]


def all_sets(nodes: list[NodeMember], workers: list[WorkerMember], policy: SubsetPolicy) -> Sets:
    return {
        node.node_id: frozenset(assign_workers(node.node_id, nodes, workers, policy))
        for node in nodes
    }


SIZES = st.tuples(st.integers(1, 30), st.integers(1, 60), st.integers(1, 20))


class SubsetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(SIZES, st.sampled_from(list(SubsetDesign)), st.integers(1, 4), st.integers(1, 4))
    def test_every_worker_is_covered(
        self, size: tuple[int, int, int], design: SubsetDesign, node_zones: int, worker_zones: int
    ) -> None:
        node_count, worker_count, degree = size
        policy = SubsetPolicy(design=design, degree=degree)
        nodes = make_nodes(node_count, node_zones)
        workers = make_workers(worker_count, worker_zones)
        covered = frozenset[BackendId]().union(*all_sets(nodes, workers, policy).values())
        self.assertEqual(covered, {worker.backend_id for worker in workers})

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(SIZES, st.floats(1.0, 4.0), st.randoms(use_true_random=False))
    def test_degrees_and_order_independence(
        self, size: tuple[int, int, int], zone_weight: float, shuffler: random.Random
    ) -> None:
        node_count, worker_count, degree = size
        policy = SubsetPolicy(degree=degree, same_zone_weight=zone_weight)
        nodes, workers = make_nodes(node_count), make_workers(worker_count)
        sets = all_sets(nodes, workers, policy)
        for chosen in sets.values():
            self.assertGreaterEqual(len(chosen), min(degree, worker_count))
        required = nodes_per_worker(node_count, worker_count, degree)
        for worker in workers:
            watchers = sum(worker.backend_id in chosen for chosen in sets.values())
            self.assertGreaterEqual(watchers, min(required, node_count))
        shuffler.shuffle(nodes)
        shuffler.shuffle(workers)
        self.assertEqual(all_sets(nodes, workers, policy), sets)

    def test_mean_degree_is_near_the_requested_degree(self) -> None:
        for degree in (4, 8, 16, 32):
            sets = all_sets(make_nodes(41), make_workers(70), SubsetPolicy(degree=degree))
            mean = sum(len(chosen) for chosen in sets.values()) / len(sets)
            self.assertLessEqual(mean, degree * 1.25)
            self.assertLessEqual(max(map(len, sets.values())), degree + 4 * math.sqrt(degree))

    def test_membership_changes_move_few_pairs(self) -> None:
        """A membership change affects few pairs of random regular subsets, many of modular ones."""

        def moved_pairs(design: SubsetDesign) -> int:
            policy = SubsetPolicy(design=design, degree=8)
            nodes, workers = make_nodes(41), make_workers(70)
            full = all_sets(nodes, workers, policy)
            total = 0
            for index in range(0, 41, 8):
                left = all_sets(nodes[:index] + nodes[index + 1 :], workers, policy)
                total += sum(len(chosen ^ full[node_id]) for node_id, chosen in left.items())
            for index in range(0, 70, 14):
                removed = workers[index].backend_id
                left = all_sets(nodes, workers[:index] + workers[index + 1 :], policy)
                total += sum(
                    len((chosen ^ full[node_id]) - {removed}) for node_id, chosen in left.items()
                )
            return total

        changes = 11
        self.assertLessEqual(moved_pairs(SubsetDesign.RANDOM_REGULAR), 4 * changes)
        self.assertGreater(moved_pairs(SubsetDesign.RANDOM_MODULAR), 4 * changes)

    def test_unknown_node_has_no_workers(self) -> None:
        self.assertEqual(
            assign_workers(NodeId("?"), make_nodes(3), make_workers(3), SubsetPolicy()), ()
        )

    def test_each_group_is_assigned_with_full_degree(self) -> None:
        groups = [
            BackendGroup(
                name=name,
                backend_kind=BackendKind.ENGINE,
                backends=tuple(
                    Backend(id=f"{name}-{index}", url="http://127.0.0.1:1", zone="z0")
                    for index in range(size)
                ),
            )
            for name, size in (("large", 60), ("small", 5))
        ]
        nodes = make_nodes(30)
        watched = assign_groups(nodes[0].node_id, nodes, groups, SubsetPolicy(degree=8))
        counts = [sum(entry.startswith(name) for entry in watched) for name in ("large", "small")]
        self.assertGreaterEqual(counts[0], 8)
        self.assertEqual(counts[1], 5)
        directory = BackendDirectory()
        directory.apply_configuration(
            ConfigurationView(groups={group.name: group for group in groups}), 0.0
        )
        self.assertEqual(len(directory.watched_views(0.0)), 65)
        directory.set_watched(watched)
        self.assertEqual({view.backend_id for view in directory.watched_views(0.0)}, watched)
        self.assertEqual(len(directory.views(0.0)), 65)
        addresses = directory.watched_addresses(BackendKind.ENGINE)
        self.assertEqual({address.backend_id for address in addresses}, watched)

    def test_same_zone_weight_prefers_workers_of_the_same_zone(self) -> None:
        nodes, workers = make_nodes(30), make_workers(60)

        def same_zone_share(weight: float) -> float:
            sets = all_sets(nodes, workers, SubsetPolicy(degree=8, same_zone_weight=weight))
            zone_of = {worker.backend_id: worker.zone for worker in workers}
            pairs = [
                zone_of[worker] == node.zone for node in nodes for worker in sets[node.node_id]
            ]
            return sum(pairs) / len(pairs)

        self.assertLess(same_zone_share(1.0), 0.45)
        self.assertGreater(same_zone_share(4.0), 0.55)


class CapacityTest(unittest.TestCase):
    def test_known_capacities(self) -> None:
        two_clusters = SubsetGraph(
            worker_sets=((0, 1), (2, 3)), node_zones=(0, 0), worker_zones=(0, 0, 0, 0)
        )
        self.assertAlmostEqual(capacity_share(two_clusters, [0.5, 0.5]), 1.0, places=3)
        self.assertAlmostEqual(capacity_share(two_clusters, [0.8, 0.2]), 0.625, places=3)
        chain = SubsetGraph(
            worker_sets=((0, 1), (1, 2), (2, 3)), node_zones=(0,) * 3, worker_zones=(0,) * 4
        )
        self.assertAlmostEqual(capacity_share(chain, [0.5, 0.25, 0.25]), 1.0, places=2)
        self.assertAlmostEqual(capacity_share(chain, [0.8, 0.1, 0.1]), 0.625, places=2)

    def test_random_regular_subsets_serve_skewed_demand_better_than_clusters(self) -> None:
        capacities = {}
        for design in SubsetDesign:
            graph = build_graph(41, 70, SubsetPolicy(design=design, degree=16))
            shares = demand_shares(graph, Demand.HOT_NEIGHBOURS, random.Random(1))
            capacities[design] = capacity_share(graph, shares)
        self.assertAlmostEqual(capacities[SubsetDesign.ALL], 1.0, places=2)
        self.assertGreater(capacities[SubsetDesign.RANDOM_REGULAR], 0.9)
        self.assertLess(capacities[SubsetDesign.RANDOM_MODULAR], 0.6)
        self.assertLess(capacities[SubsetDesign.ZONE_MODULAR], 0.6)
