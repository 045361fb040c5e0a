"""Configuration of a node that reaches the key-value service but no majority of the replicas.

After a limited wait the node must apply the revision that the service has committed, instead of
waiting for a majority to store it. A node without a disk needs one replica that has stored it.
"""

import asyncio
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import ClassVar

from loguru import logger

from drumbay.bench.configuration_cluster import ConfigurationCluster, InstrumentedStore, ServiceType
from drumbay.bench.configuration_history import find_reversions
from drumbay.configuration.outcomes import WriteOutcome
from drumbay.configuration.service import ConfigurationService
from drumbay.identifiers import Revision
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.node.node import Node
from drumbay.simulation.network import Cut, Scope
from drumbay.simulation.runner import run_scenario
from drumbay.simulation.scenario import find_scenario
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.kv_model import KeyValueModel
from tests.configuration_support import ZONES, route

IN_FORCE_SECONDS = 10.0
"""Limit for an accepted change to be in force on an undisturbed node."""

SETTLE_SECONDS = 60.0
REGRESSION_SEEDS = (
    ("small", 9175),
    ("small", 150),
    ("small", 94),
    ("small", 136),
    ("vakhandel-oost-short", 56),
)

Scenario = Callable[[ConfigurationCluster], Awaitable[None]]


def setUpModule() -> None:
    logger.remove()


class ServiceWithoutFallback(ConfigurationService):
    """Fault: waits for a majority of the replicas forever."""

    majority_wait_seconds: ClassVar[float] = float("inf")


class MajorityFallbackTest(unittest.TestCase):
    def run_cluster(
        self, scenario: Scenario, service_type: ServiceType = ConfigurationService
    ) -> ConfigurationCluster:
        """Run ``scenario`` on five nodes, three of them with disks."""

        async def main(folder: Path) -> ConfigurationCluster:
            cluster = ConfigurationCluster(
                seed=5, locations=ZONES, node_count=5, disk_count=3, folder=folder
            )
            cluster.start_all(service_type)
            await cluster.wait_loaded()
            await asyncio.sleep(SETTLE_SECONDS)
            await scenario(cluster)
            return cluster

        with tempfile.TemporaryDirectory() as folder:
            return run_simulation(lambda: main(Path(folder)))

    async def write(self, cluster: ConfigurationCluster, node: str, priority: int) -> WriteOutcome:
        written = await cluster.nodes[node].operators.apply(
            route(priority), None, f"set-{priority}"
        )
        self.last_revision = written.committed_revision or Revision(0)
        return written.outcome

    async def lose_majority(self, cluster: ConfigurationCluster) -> None:
        self.assertIs(await self.write(cluster, "node-004", 1), WriteOutcome.ACCEPTED)
        await cluster.wait_in_force(self.last_revision)
        for name in ("node-000", "node-001", "node-002"):
            await cluster.nodes[name].kill()

    def is_ready_in_time(self, service_type: ServiceType) -> bool:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await self.lose_majority(cluster)
            started = cluster.nodes["node-002"]
            started.start(service_type)
            await asyncio.sleep(IN_FORCE_SECONDS)
            in_force = started.service.current_view().revision >= self.last_revision
            self.in_time = in_force and started.service.readiness().ready

        self.run_cluster(scenario, service_type)
        return self.in_time

    def test_starting_node_with_disk_applies_committed_revision(self) -> None:
        self.assertFalse(self.is_ready_in_time(ServiceWithoutFallback))
        self.assertTrue(self.is_ready_in_time(ConfigurationService))

    def is_change_in_force_in_time(self, service_type: ServiceType) -> bool:
        """Return whether a node applies a change that was accepted while it was disconnected."""
        cut = Cut(scope=Scope.HOST, source="node-002", target="node-000")
        second_cut = Cut(scope=Scope.HOST, source="node-002", target="node-001")

        async def scenario(cluster: ConfigurationCluster) -> None:
            returning = cluster.nodes["node-002"]
            for path in (cut, second_cut):
                cluster.network.cut(path, both_ways=True)
            returning.store.cut = True
            for name in ("node-003", "node-004"):
                await cluster.nodes[name].kill()
            self.assertIs(await self.write(cluster, "node-000", 1), WriteOutcome.ACCEPTED)
            for name in ("node-000", "node-001"):
                await cluster.nodes[name].kill()
            cluster.set_members([returning])
            returning.store.cut = False
            for path in (cut, second_cut):
                cluster.network.heal(path, both_ways=True)
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.in_time = returning.service.current_view().revision >= self.last_revision

        cluster = self.run_cluster(scenario, service_type)
        self.assertEqual(find_reversions(cluster.observations), [])
        return self.in_time

    def test_running_node_applies_committed_revision(self) -> None:
        self.assertFalse(self.is_change_in_force_in_time(ServiceWithoutFallback))
        self.assertTrue(self.is_change_in_force_in_time(ConfigurationService))

    def test_node_without_disk_applies_revision_stored_by_one_replica(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await self.lose_majority(cluster)
            await cluster.nodes["node-003"].kill()
            cluster.nodes["node-002"].start()
            cluster.nodes["node-003"].start()
            await self.write(cluster, "node-004", 2)
            await asyncio.sleep(IN_FORCE_SECONDS)
            started = cluster.nodes["node-003"]
            self.assertTrue(started.service.readiness().ready)
            # On its restart in an outage one replica has the change and another one is behind.
            cluster.model.set_faults(KeyValueFaults(outage=True))
            await started.kill()
            cluster.nodes["node-000"].start()
            started.start()
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertTrue(started.service.readiness().ready)
            self.assertEqual(started.service.current_view().routes["consulta"].priority, 2)

        self.assertEqual(find_reversions(self.run_cluster(scenario).observations), [])

    def test_node_without_disk_waits_for_a_replica(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await self.lose_majority(cluster)
            await cluster.nodes["node-003"].kill()
            cluster.nodes["node-003"].start()
            await asyncio.sleep(3 * IN_FORCE_SECONDS)
            self.assertFalse(cluster.nodes["node-003"].service.readiness().ready)

        self.run_cluster(scenario)

    def test_service_behind_the_local_disk_is_not_trusted(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await self.lose_majority(cluster)
            started = cluster.nodes["node-002"]
            empty_model = KeyValueModel(cluster.clock)
            started.store = InstrumentedStore(MemoryKeyValueStore(empty_model, cluster.clock))
            started.start()
            await asyncio.sleep(3 * IN_FORCE_SECONDS)
            self.assertFalse(started.service.readiness().ready)

        self.run_cluster(scenario)

    def test_revision_is_acknowledged_and_spread_only_once_a_majority_has_stored_it(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await self.lose_majority(cluster)
            cluster.nodes["node-002"].start()
            await asyncio.sleep(1.0)
            # Cut off from the service, this node learns of changes only from its peers.
            disconnected = cluster.nodes["node-003"]
            disconnected.store.cut = True
            # Committed by the service, but not stored by a majority.
            self.assertIs(await self.write(cluster, "node-004", 2), WriteOutcome.UNKNOWN_YET)
            await asyncio.sleep(IN_FORCE_SECONDS)
            fallback_node = cluster.nodes["node-002"]
            self.assertEqual(fallback_node.service.current_view().routes["consulta"].priority, 2)
            self.assertEqual(disconnected.service.current_view().routes["consulta"].priority, 1)
            status = await fallback_node.operators.operation_status("set-2")
            self.assertIs(status.outcome, WriteOutcome.UNKNOWN_YET)
            cluster.nodes["node-000"].start()
            await cluster.wait_in_force(self.last_revision, IN_FORCE_SECONDS)
            status = await fallback_node.operators.operation_status("set-2")
            self.assertIs(status.outcome, WriteOutcome.ACCEPTED)

        self.assertEqual(find_reversions(self.run_cluster(scenario).observations), [])

    def test_restart_in_an_outage_does_not_revert(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await self.lose_majority(cluster)
            cluster.nodes["node-002"].start()
            await asyncio.sleep(1.0)
            await self.write(cluster, "node-004", 2)
            await asyncio.sleep(IN_FORCE_SECONDS)
            cluster.model.set_faults(KeyValueFaults(outage=True))
            await cluster.nodes["node-002"].kill()
            for name in ("node-000", "node-001"):
                cluster.nodes[name].start()
            await asyncio.sleep(IN_FORCE_SECONDS)
            cluster.nodes["node-002"].start()
            await asyncio.sleep(IN_FORCE_SECONDS)
            restarted = cluster.nodes["node-002"].service
            self.assertTrue(restarted.readiness().ready)
            self.assertEqual(restarted.current_view().routes["consulta"].priority, 2)

        self.assertEqual(find_reversions(self.run_cluster(scenario).observations), [])


class SeedsTest(unittest.TestCase):
    def test_regression_seeds(self) -> None:
        for scenario, seed in REGRESSION_SEEDS:
            with self.subTest(scenario=scenario, seed=seed):
                report = run_scenario(find_scenario(scenario), seed, Node).report
                self.assertEqual(report.violations, ())
