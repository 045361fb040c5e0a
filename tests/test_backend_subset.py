"""A node watches its share of large groups, all of small ones, and what it owns needs."""

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
from drumbay.node.backend_monitor import BackendMonitor, PollPace
from drumbay.node.backend_subset import BackendSubset, WatchPolicy, group_degree
from drumbay.resources.schema import Backend, BackendGroup, BackendKind, Selector
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.selectors import compile_selector
from drumbay.routing.subsets import NodeMember
from drumbay.simulation.outside_clock import OutsideClock
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
    """Counts polls by engine; some engines cannot be reached."""

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

    def subset(self, node_id: str = "n00") -> BackendSubset:
        subset = BackendSubset(NodeId(node_id), lambda: self.nodes, self.directory)
        subset.set_groups(self.view)
        return subset

    def watched(self) -> Counter[str]:
        return Counter(view.backend_id.split("-")[0] for view in self.directory.watched_views(0.0))

    def test_the_share_bounds_large_groups_and_keeps_small_ones_whole(self) -> None:
        self.subset()
        watched = self.watched()
        self.assertEqual(watched["small"], 6)
        self.assertLess(watched["large"], 60)
        self.assertGreaterEqual(watched["large"], 32)

    def test_every_back_end_is_watched_by_two_nodes_at_least(self) -> None:
        holders: Counter[str] = Counter()
        for node in NODES:
            holders.update(self.subset(node.node_id).assigned)
        self.assertEqual(len(holders), 126)
        self.assertGreaterEqual(min(holders.values()), 2)

    def test_pinned_back_ends_are_watched_until_the_pin_ends(self) -> None:
        subset = self.subset()
        before = self.watched()
        every = [
            address.backend_id
            for address in self.directory.select(compile_selector(Selector()), "large")
        ]
        self.assertEqual(len(every), 120)
        self.assertTrue(subset.pin("stream.s", every))
        self.assertFalse(subset.pin("stream.s", every))
        self.assertEqual(self.watched()["large"], 120)
        subset.pin("stream.s", ())
        self.assertEqual(self.watched(), before)

    def test_the_share_follows_nodes_and_groups(self) -> None:
        subset = self.subset()
        self.assertFalse(subset.refresh())
        self.nodes = NODES[:2]
        self.assertTrue(subset.refresh())
        self.assertEqual(self.watched()["large"], 120)
        self.view = make_view(large=10)
        self.directory.apply_configuration(self.view, 0.0)
        subset.set_groups(self.view)
        self.assertEqual(self.watched(), Counter(large=10))

    def test_degrees_are_shared_out_by_size(self) -> None:
        policy = WatchPolicy()
        self.assertEqual(group_degree(16, 700, policy), 16)
        self.assertEqual(group_degree(700, 700, policy), 32)
        self.assertEqual(group_degree(350, 700, policy), 16)
        self.assertEqual(group_degree(88, 700, policy), 8)


class PollPaceTest(unittest.TestCase):
    def polls(
        self, backends: int, seconds: float, unreachable: frozenset[str] = frozenset()
    ) -> Counter[str]:
        """Return the polls that one node makes of a group within a time."""
        client = CountingClient(unreachable)

        async def main() -> None:
            tasks = TaskOwner()
            directory = BackendDirectory()
            clock = OutsideClock()
            directory.apply_configuration(make_view(e=backends), 0.0)
            monitor = BackendMonitor(
                clock, client, directory, lambda changes: None, tasks, Random(1)
            )
            monitor.watch_all()
            await clock.sleep(seconds)
            await tasks.close()

        run_simulation(main)
        return client.counts

    def test_a_small_set_is_asked_each_second_with_its_cache_events(self) -> None:
        counts = self.polls(6, seconds=10.5)
        self.assertEqual(counts[BackendId("e-0")], 11)
        self.assertEqual(counts["events"], 66)

    def test_the_polls_of_a_large_set_are_bounded(self) -> None:
        counts = self.polls(64, seconds=120.0)
        self.assertEqual(counts["events"], 0)
        self.assertLess(counts.total() / 120.0, 7.0)
        self.assertEqual(len(counts), 64)

    def test_a_failing_engine_is_asked_again_soon_until_it_counts_as_lost(self) -> None:
        counts = self.polls(64, seconds=20.0, unreachable=frozenset({"e-5"}))
        self.assertGreaterEqual(counts["e-5"], 3)
        self.assertEqual(PollPace().interval_seconds(700), 15.0)
