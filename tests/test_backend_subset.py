"""Which backends a node watches, and how often it polls them."""

import unittest
from collections import Counter
from random import Random

from drumbay.backends.interface import (
    BackendAddress,
    BackendNotReachedError,
    CacheEvent,
    EngineStatus,
)
from drumbay.configuration.view import ConfigurationView
from drumbay.identifiers import BackendId, NodeId
from drumbay.node.backend_monitor import BackendMonitor, PollPolicy
from drumbay.node.backend_subset import BackendSubset, WatchPolicy, group_degree
from drumbay.resources.schema import Backend, BackendGroup, BackendKind, Selector
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.selectors import compile_selector
from drumbay.routing.subsets import NodeMember
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.tasks import TaskOwner
from tests.idle_engines import IdleEngineClient

NODES = tuple(NodeMember(node_id=NodeId(f"n{index:02d}"), zone="z") for index in range(40))


def make_view(**sizes: int) -> ConfigurationView:
    groups = {
        name: BackendGroup(
            name=name,
            backend_kind=BackendKind.ENGINE,
            model=name,
            backends=tuple(
                Backend(id=f"{name}-{number}", url=f"http://{name}-{number}", zone="z")
                for number in range(size)
            ),
        )
        for name, size in sizes.items()
    }
    return ConfigurationView(groups=groups)


class CountingClient(IdleEngineClient):
    """Counts polls per engine; the engines in ``unreachable`` fail."""

    def __init__(self, unreachable: frozenset[str] = frozenset()) -> None:
        super().__init__(lambda engine: "model")
        self.counts: Counter[str] = Counter()
        self._unreachable = unreachable

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        self.counts[engine.backend_id] += 1
        if engine.backend_id in self._unreachable:
            raise BackendNotReachedError("down")
        return await super().status(engine, timeout_seconds=timeout_seconds)

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        self.counts["events"] += 1
        return ()


class BackendSubsetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.nodes = NODES
        self.view = make_view(large=120, small=6)
        self.directory = BackendDirectory()
        self.directory.apply_configuration(self.view, 0.0)

    def make_subset(self, node_id: str = "n00") -> BackendSubset:
        subset = BackendSubset(NodeId(node_id), lambda: self.nodes, self.directory)
        subset.set_groups(self.view)
        return subset

    def watched(self) -> Counter[str]:
        return Counter(view.backend_id.split("-")[0] for view in self.directory.watched_views(0.0))

    def test_large_groups_are_watched_in_part_and_small_groups_completely(self) -> None:
        self.make_subset()
        watched = self.watched()
        self.assertEqual(watched["small"], 6)
        self.assertLess(watched["large"], 60)
        self.assertGreaterEqual(watched["large"], 32)

    def test_every_backend_is_watched_by_at_least_two_nodes(self) -> None:
        watcher_counts: Counter[str] = Counter()
        for node in NODES:
            watcher_counts.update(self.make_subset(node.node_id).assigned)
        self.assertEqual(len(watcher_counts), 126)
        self.assertGreaterEqual(min(watcher_counts.values()), 2)

    def test_pinned_backends_are_watched_until_they_are_unpinned(self) -> None:
        subset = self.make_subset()
        before = self.watched()
        all_backend_ids = [
            address.backend_id
            for address in self.directory.select(compile_selector(Selector()), "large")
        ]
        self.assertEqual(len(all_backend_ids), 120)
        self.assertTrue(subset.pin("stream.s", all_backend_ids))
        self.assertFalse(subset.pin("stream.s", all_backend_ids))
        self.assertEqual(self.watched()["large"], 120)
        subset.pin("stream.s", ())
        self.assertEqual(self.watched(), before)

    def test_subset_is_recomputed_when_nodes_or_groups_change(self) -> None:
        subset = self.make_subset()
        self.assertFalse(subset.refresh())
        self.nodes = NODES[:2]
        self.assertTrue(subset.refresh())
        self.assertEqual(self.watched()["large"], 120)
        self.view = make_view(large=10)
        self.directory.apply_configuration(self.view, 0.0)
        subset.set_groups(self.view)
        self.assertEqual(self.watched(), Counter(large=10))

    def test_group_degree_is_proportional_to_group_size(self) -> None:
        policy = WatchPolicy()
        self.assertEqual(group_degree(16, 700, policy), 16)
        self.assertEqual(group_degree(700, 700, policy), 32)
        self.assertEqual(group_degree(350, 700, policy), 16)
        self.assertEqual(group_degree(88, 700, policy), 8)


class PollPolicyTest(unittest.TestCase):
    def polls(
        self, backends: int, seconds: float, unreachable: frozenset[str] = frozenset()
    ) -> Counter[str]:
        """Return how often one node polls each backend of a group within ``seconds``."""
        client = CountingClient(unreachable)

        async def main() -> None:
            tasks = TaskOwner()
            directory = BackendDirectory()
            clock = SimulationClock()
            directory.apply_configuration(make_view(e=backends), 0.0)
            monitor = BackendMonitor(
                clock, client, directory, lambda changes: None, tasks, Random(1)
            )
            monitor.poll_watched_engines()
            await clock.sleep(seconds)
            await tasks.close()

        run_simulation(main)
        return client.counts

    def test_small_set_is_polled_every_second_with_cache_events(self) -> None:
        counts = self.polls(6, seconds=10.5)
        self.assertEqual(counts[BackendId("e-0")], 11)
        self.assertEqual(counts["events"], 66)

    def test_poll_rate_of_a_large_set_is_bounded(self) -> None:
        counts = self.polls(64, seconds=120.0)
        self.assertEqual(counts["events"], 0)
        self.assertLess(counts.total() / 120.0, 7.0)
        self.assertEqual(len(counts), 64)

    def test_failing_engine_is_polled_again_soon(self) -> None:
        counts = self.polls(64, seconds=20.0, unreachable=frozenset({"e-5"}))
        self.assertGreaterEqual(counts["e-5"], 3)
        self.assertEqual(PollPolicy().interval_seconds(700), 15.0)
