"""Nodes that do not watch the replica set learn of changes from their peers."""

import asyncio
import unittest
from random import Random

from drumbay.bench.configuration_cluster import InstrumentedStore
from drumbay.claims.replica_set import (
    REPLICA_SET_KEY,
    ReplicaSet,
    ReplicaSetPhase,
    encode_replica_set,
)
from drumbay.claims.replica_set_watcher import ReplicaSetWatcher
from drumbay.comm.interface import Address
from drumbay.identifiers import Epoch, Revision
from drumbay.kv.interface import ModRevisionIs, Put
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import Cut, Scope, SimulatedNetwork
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_model import KeyValueModel

NODE_COUNT = 40
WATCHER_COUNT = 2


class IsolatedWatcher(ReplicaSetWatcher):
    """Fault: neither notifies nor queries other nodes."""

    def _others(self, count: int) -> list[Address]:
        return []


class WatcherCluster:
    def __init__(self, watcher_type: type[ReplicaSetWatcher]) -> None:
        self.model = KeyValueModel(SimulationClock())
        self.network = SimulatedNetwork(Random(1), LatencyModel(), Trace(0))
        self.store = InstrumentedStore(MemoryKeyValueStore(self.model, SimulationClock()))
        addresses = tuple(Address(f"10.0.0.{index + 1}", 7000) for index in range(NODE_COUNT))
        self.watchers = []
        for index, address in enumerate(addresses):
            region = "far" if index == NODE_COUNT - 1 else "near"
            host = SimulatedHost(f"n{index}", address, Location(zone=region, region=region))
            self.network.add_host(host)
            process = host.start()
            watcher = watcher_type(
                clock=host.clock(),
                transport=SimulatedTransport(self.network, address, process),
                key_value_store=self.store,
                random=Random(index),
                peers=lambda: addresses,
                may_watch=lambda index=index: index < WATCHER_COUNT,  # type: ignore[misc]
            )
            process.spawn(watcher.run(), "watch")
            self.watchers.append(watcher)

    def write(self, epoch: int, expected: int) -> None:
        replica_set = ReplicaSet(epoch=Epoch(epoch), members=(), phase=ReplicaSetPhase.ACTIVE)
        put = Put(key=REPLICA_SET_KEY, value=encode_replica_set(replica_set))
        compare = ModRevisionIs(key=REPLICA_SET_KEY, mod_revision=Revision(expected))
        assert self.model.transact((compare,), (put,)).succeeded

    def informed_count(self, epoch: int) -> int:
        replica_sets = [watcher.replica_set() for watcher in self.watchers]
        return sum(known is not None and known.epoch == epoch for known in replica_sets)


class ReplicaSetPropagationTest(unittest.TestCase):
    def test_change_reaches_all_nodes_with_few_service_requests(self) -> None:
        async def main() -> None:
            cluster = WatcherCluster(ReplicaSetWatcher)
            cluster.write(1, 0)
            await asyncio.sleep(30.0)
            self.assertEqual(cluster.informed_count(1), NODE_COUNT)
            operations = cluster.store.operations
            cluster.write(2, cluster.model.revision)
            await asyncio.sleep(1.0)
            self.assertGreaterEqual(cluster.informed_count(2), NODE_COUNT - 4)
            await asyncio.sleep(100.0)
            self.assertEqual(cluster.informed_count(2), NODE_COUNT)
            self.assertLessEqual(cluster.store.operations - operations, 12)

        run_simulation(main)

    def test_without_notifications_only_watchers_learn_of_a_change(self) -> None:
        async def main() -> None:
            cluster = WatcherCluster(IsolatedWatcher)
            cluster.write(1, 0)
            await asyncio.sleep(30.0)
            cluster.write(2, cluster.model.revision)
            await asyncio.sleep(100.0)
            self.assertEqual(cluster.informed_count(2), WATCHER_COUNT)

        run_simulation(main)

    def test_disconnected_node_queries_its_peers(self) -> None:
        async def main() -> None:
            cluster = WatcherCluster(ReplicaSetWatcher)
            cluster.write(1, 0)
            await asyncio.sleep(30.0)
            cut = Cut(scope=Scope.REGION, source="near", target="far")
            cluster.network.cut(cut, both_ways=True)
            cluster.write(2, cluster.model.revision)
            await asyncio.sleep(60.0)
            self.assertEqual(cluster.informed_count(2), NODE_COUNT - 1)
            cluster.network.heal(cut, both_ways=True)
            await asyncio.sleep(12.0)
            self.assertEqual(cluster.informed_count(2), NODE_COUNT)

        run_simulation(main)
