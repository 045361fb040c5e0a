"""Heartbeat interval of a node: long as a follower, renewed at once on becoming a watcher."""

import asyncio
import random
import unittest

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import Revision
from drumbay.kv.interface import KeyValue
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.peers.directory import (
    FOLLOWER_HEARTBEAT_SECONDS,
    LEASE_SECONDS,
    NODE_PREFIX,
    PeerDirectory,
)
from drumbay.placement.topology import Topology
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_model import KeyValueModel

OWN = NetworkAddress("10.0.0.99", 7000)
OTHER_NODE_COUNT = 20


class CountingStore(MemoryKeyValueStore):
    """Store that counts lease renewals."""

    renewals = 0

    async def keep_lease_alive(self, lease_id: int) -> float:
        self.renewals += 1
        return await super().keep_lease_alive(lease_id)


def entry(address: NetworkAddress, created: int) -> KeyValue:
    return KeyValue(
        key=f"{NODE_PREFIX}{address}",
        value=msgspec.msgpack.encode(address),
        create_revision=Revision(created),
        mod_revision=Revision(created),
        version=0,
    )


def entries(*, own_created: int) -> tuple[KeyValue, ...]:
    others = [
        entry(NetworkAddress(f"10.0.0.{number}", 7000), 100 + number)
        for number in range(OTHER_NODE_COUNT)
    ]
    return (entry(OWN, own_created), *others)


class NodeHeartbeatTest(unittest.TestCase):
    def renewals(self, *, becomes_watcher: bool, seconds: float) -> int:
        async def scenario() -> int:
            clock = SimulationClock()
            store = CountingStore(KeyValueModel(clock), clock)
            directory = PeerDirectory(
                clock, store, OWN, Topology(zone="zone-1"), random.Random(1), lambda: None
            )
            directory.feed.on_snapshot(entries(own_created=500), 0.0)
            heartbeat = asyncio.ensure_future(directory.run_heartbeat())
            await asyncio.sleep(1.0)
            if becomes_watcher:
                directory.feed.on_snapshot(entries(own_created=1), 0.0)
            await asyncio.sleep(seconds)
            heartbeat.cancel()
            return store.renewals

        return run_simulation(scenario)

    def test_follower_renews_well_within_its_lease(self) -> None:
        self.assertLess(3 * FOLLOWER_HEARTBEAT_SECONDS, LEASE_SECONDS)
        self.assertEqual(self.renewals(becomes_watcher=False, seconds=4.0), 0)
        self.assertEqual(self.renewals(becomes_watcher=False, seconds=12.0), 2)

    def test_node_that_becomes_a_watcher_renews_at_once(self) -> None:
        self.assertGreaterEqual(self.renewals(becomes_watcher=True, seconds=0.1), 1)


if __name__ == "__main__":
    unittest.main()
