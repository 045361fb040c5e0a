"""Changes of the replica set in simulated clusters."""

import asyncio
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import ClassVar

from loguru import logger

from drumbay.bench.configuration_cluster import ConfigurationCluster, ServiceType
from drumbay.bench.configuration_history import find_reversions
from drumbay.configuration.messages import ConfigurationUpdate
from drumbay.configuration.outcomes import WriteOutcome
from drumbay.configuration.replication import ReplicaClient
from drumbay.configuration.service import ConfigurationService
from drumbay.configuration.state import ConfigurationState
from drumbay.identifiers import NodeId
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults
from tests.configuration_support import ZONES, route

SETTLE_SECONDS = 60.0
REPLACEMENT_SECONDS = 240.0
FORMATION_SECONDS = 12.0

Scenario = Callable[[ConfigurationCluster], Awaitable[None]]


def setUpModule() -> None:
    logger.remove()


class StoreSkippingClient(ReplicaClient):
    """Fault: a revision is applied before any replica has stored it."""

    async def store(self, state: ConfigurationState, update: ConfigurationUpdate) -> None:
        return


class StoreSkippingService(ConfigurationService):
    replica_client_type: ClassVar[type[ReplicaClient]] = StoreSkippingClient


class SlowFormationService(ConfigurationService):
    """Fault: a new cluster forms its replica set only at the next confirmation."""

    def is_replica_set_forming(self) -> bool:
        return False


class SlowPollingService(ConfigurationService):
    """Fault: a starting node reads the replicas as rarely as the key-value service."""

    load_retry_seconds: ClassVar[float] = 5.0


class MajorityRecoveryTest(unittest.TestCase):
    """A node starts while a majority of the replicas is down, and the majority recovers."""

    def is_ready_after_recovery(self, service_type: ServiceType) -> bool:
        async def main(folder: Path) -> bool:
            cluster = ConfigurationCluster(
                seed=3, locations=ZONES, node_count=5, disk_count=3, folder=folder
            )
            cluster.start_all(service_type)
            await cluster.wait_loaded()
            await asyncio.sleep(SETTLE_SECONDS)
            cluster.model.set_faults(KeyValueFaults(outage=True))
            for name in ("node-000", "node-001", "node-004"):
                await cluster.nodes[name].kill()
            starting = cluster.nodes["node-004"]
            starting.start(service_type)
            operations = starting.store.operations
            await asyncio.sleep(30)
            self.assertLess(starting.store.operations - operations, 20)
            cluster.nodes["node-001"].start(service_type)
            await asyncio.sleep(2)
            return starting.service.readiness().ready

        with tempfile.TemporaryDirectory() as folder:
            return run_simulation(lambda: main(Path(folder)))

    def test_starting_node_is_ready_soon_after_the_recovery(self) -> None:
        self.assertFalse(self.is_ready_after_recovery(SlowPollingService))
        self.assertTrue(self.is_ready_after_recovery(ConfigurationService))


class ReplicaSetFormationTest(unittest.TestCase):
    """A node restarts during an outage that begins seconds after the cluster's first start."""

    def is_ready_after_restart(self, service_type: ServiceType) -> bool:
        async def main(folder: Path) -> bool:
            cluster = ConfigurationCluster(
                seed=3, locations=ZONES, node_count=5, disk_count=3, folder=folder
            )
            cluster.start_all(service_type)
            await cluster.wait_loaded()
            await asyncio.sleep(FORMATION_SECONDS)
            cluster.model.set_faults(KeyValueFaults(outage=True))
            restarted = cluster.nodes["node-001"]
            await restarted.kill()
            restarted.start(service_type)
            await asyncio.sleep(10)
            return restarted.service.readiness().ready

        with tempfile.TemporaryDirectory() as folder:
            return run_simulation(lambda: main(Path(folder)))

    def test_replica_set_forms_within_seconds(self) -> None:
        self.assertFalse(self.is_ready_after_restart(SlowFormationService))
        self.assertTrue(self.is_ready_after_restart(ConfigurationService))


class ReplicaSetChangeTest(unittest.TestCase):
    def run_cluster(
        self, scenario: Scenario, service_type: ServiceType = ConfigurationService
    ) -> ConfigurationCluster:
        async def main(folder: Path) -> ConfigurationCluster:
            cluster = ConfigurationCluster(
                seed=11, locations=ZONES, node_count=7, disk_count=4, folder=folder
            )
            # The fourth disk is a spare that joins later.
            spare = cluster.nodes["node-003"]
            cluster.set_members([node for node in cluster.nodes.values() if node is not spare])
            for node in cluster.nodes.values():
                if node is not spare:
                    node.start(service_type)
            await cluster.wait_loaded()
            await asyncio.sleep(SETTLE_SECONDS)
            await scenario(cluster)
            return cluster

        with tempfile.TemporaryDirectory() as folder:
            return run_simulation(lambda: main(Path(folder)))

    async def write(self, cluster: ConfigurationCluster, priority: int) -> WriteOutcome:
        operators = cluster.nodes["node-006"].operators
        return (await operators.apply(route(priority), None, f"set-{priority}")).outcome

    def members(self, cluster: ConfigurationCluster) -> tuple[str, ...]:
        state = cluster.nodes["node-006"].service.applied.state
        self.assertEqual(state.replica_set.previous, ())
        return state.replica_set.members

    def test_lost_replica_is_replaced_and_its_successor_votes(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            service_type = type(cluster.nodes["node-006"].service)
            self.assertEqual(self.members(cluster), ("node-000", "node-001", "node-002"))
            await self.write(cluster, 1)
            await cluster.nodes["node-000"].kill()
            cluster.nodes["node-003"].start(service_type)
            cluster.set_members(
                [node for node in cluster.nodes.values() if node.name != "node-000"]
            )
            await asyncio.sleep(REPLACEMENT_SECONDS)
            self.assertEqual(self.members(cluster), ("node-001", "node-002", "node-003"))
            self.assertEqual(await self.write(cluster, 2), WriteOutcome.ACCEPTED)
            cluster.model.set_faults(KeyValueFaults(outage=True))
            for name in ("node-001", "node-002", "node-003", "node-006"):
                await cluster.nodes[name].kill()
            # The replaced replica returns with its old disk, together with one of the new set.
            cluster.set_members(list(cluster.nodes.values()))
            for name in ("node-000", "node-003", "node-006"):
                cluster.nodes[name].start(service_type)
            await asyncio.sleep(10)
            self.assertFalse(cluster.nodes["node-006"].service.readiness().ready)
            cluster.nodes["node-002"].start(service_type)
            await asyncio.sleep(10)
            self.assertTrue(cluster.nodes["node-006"].service.readiness().ready)

        cluster = self.run_cluster(scenario)
        self.assertEqual(find_reversions(cluster.observations), [])

    def test_change_that_no_replica_stores_is_not_accepted(self) -> None:
        outcomes: list[WriteOutcome] = []

        async def scenario(cluster: ConfigurationCluster) -> None:
            service_type = type(cluster.nodes["node-006"].service)
            await self.write(cluster, 1)
            for name in ("node-000", "node-001", "node-002"):
                await cluster.nodes[name].kill()
            outcomes.append(await self.write(cluster, 2))
            cluster.model.set_faults(KeyValueFaults(outage=True))
            await cluster.nodes["node-006"].kill()
            for name in ("node-000", "node-001", "node-002", "node-006"):
                cluster.nodes[name].start(service_type)
            await asyncio.sleep(20)

        correct = self.run_cluster(scenario)
        self.assertEqual(outcomes, [WriteOutcome.UNKNOWN_YET])
        self.assertEqual(find_reversions(correct.observations), [])
        faulty = self.run_cluster(scenario, StoreSkippingService)
        self.assertEqual(outcomes[1:], [WriteOutcome.ACCEPTED])
        self.assertNotEqual(find_reversions(faulty.observations), [])

    def test_operator_replaces_a_set_whose_majority_is_lost(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            for name in ("node-000", "node-001"):
                await cluster.nodes[name].kill()
            self.assertEqual(await self.write(cluster, 1), WriteOutcome.UNKNOWN_YET)
            # Remove the dead nodes from the membership, so that they are not proposed again.
            cluster.set_members(cluster.running())
            operators = cluster.nodes["node-006"].operators
            await operators.force_replica_set((NodeId("node-002"),))
            await cluster.wait_in_force(cluster.model.revision, 16.0)
            resolved = await operators.operation_status("set-1")
            self.assertEqual(resolved.outcome, WriteOutcome.ACCEPTED)
            cluster.model.set_faults(KeyValueFaults(outage=True))
            await cluster.nodes["node-006"].kill()
            cluster.nodes["node-006"].start()
            await asyncio.sleep(5)
            view = cluster.nodes["node-006"].service.current_view()
            self.assertEqual(view.routes["consulta"].priority, 1)

        cluster = self.run_cluster(scenario)
        self.assertEqual(find_reversions(cluster.observations), [])


if __name__ == "__main__":
    unittest.main()
