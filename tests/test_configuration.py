"""An accepted configuration reaches every node and never reverts, in simulated clusters."""

import asyncio
import shutil
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import ClassVar

from loguru import logger

from drumbay.bench.configuration_cluster import ConfigurationCluster, ServiceType
from drumbay.bench.configuration_history import find_reversions
from drumbay.configuration.dissemination import Dissemination
from drumbay.configuration.errors import ConfigurationNotCurrentError
from drumbay.configuration.messages import (
    ConfigurationEntry,
    ConfigurationUpdate,
    ReadinessReason,
    ReplicaReadReply,
    ReplicaSet,
)
from drumbay.configuration.outcomes import WriteOutcome
from drumbay.configuration.replication import ReplicaClient
from drumbay.configuration.service import ConfigurationService
from drumbay.configuration.state import ApplyOutcome, ConfigurationState
from drumbay.configuration.watcher import ConfigurationWatcher
from drumbay.identifiers import NodeId, Revision
from drumbay.simulation.host import Location
from drumbay.simulation.network import Cut, Scope
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults
from tests.configuration_support import ZONES, route

TWO_REGIONS = (*ZONES, Location(zone="zwolle-hal", region="nl-oost"))
REPLICA_SET_SECONDS = 60.0
OUTAGE = KeyValueFaults(outage=True)


def setUpModule() -> None:
    logger.remove()


class SingleReplicaMajority(ReplicaClient):
    """Fault: a single replica counts as a majority."""

    def _has_majority(self, replica_set: ReplicaSet, voters: Sequence[NodeId]) -> bool:
        return len(voters) > 0


class IncompleteReplicasVote(ReplicaClient):
    """Fault: a replica whose disk was emptied still votes."""

    def _voters(self, replies: Sequence[ReplicaReadReply]) -> list[NodeId]:
        return [reply.node_id for reply in replies]


class UncheckedState(ConfigurationState):
    """Fault: revisions are not compared; the last update wins."""

    def classify(self, update: ConfigurationUpdate) -> ApplyOutcome:
        return ApplyOutcome.APPLIED

    def _is_newer(self, entry: ConfigurationEntry) -> bool:
        return True


class DigestsDisabled(Dissemination):
    """Fault: no digest is sent."""

    def _send_digest(self, address: object, *, is_reply: bool) -> None:
        pass


class CompactionIgnored(ConfigurationWatcher):
    """Fault: after a compaction the watch restarts without reading a snapshot."""

    async def _read_snapshot(self) -> None:
        pass


class SingleReplicaService(ConfigurationService):
    replica_client_type: ClassVar[type[ReplicaClient]] = SingleReplicaMajority


class IncompleteVotesService(ConfigurationService):
    replica_client_type: ClassVar[type[ReplicaClient]] = IncompleteReplicasVote


class UncheckedStateService(ConfigurationService):
    state_type: ClassVar[type[ConfigurationState]] = UncheckedState


class DigestsDisabledService(ConfigurationService):
    dissemination_type: ClassVar[type[Dissemination]] = DigestsDisabled


class CompactionIgnoredService(ConfigurationService):
    watcher_type: ClassVar[type[ConfigurationWatcher]] = CompactionIgnored


Scenario = Callable[[ConfigurationCluster], Awaitable[None]]


class ConfigurationScenarioTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="drumbay-configuration-"))
        self.addCleanup(shutil.rmtree, self.folder)
        self.runs = 0

    def run_cluster(
        self,
        scenario: Scenario,
        service_type: ServiceType = ConfigurationService,
        *,
        locations: tuple[Location, ...] = ZONES,
        node_count: int = 6,
        disk_count: int = 3,
        history_limit: int = 1000,
    ) -> ConfigurationCluster:
        self.runs += 1

        async def main() -> ConfigurationCluster:
            cluster = ConfigurationCluster(
                seed=7,
                locations=locations,
                node_count=node_count,
                disk_count=disk_count,
                folder=self.folder / str(self.runs),
                history_limit=history_limit,
            )
            cluster.start_all(service_type)
            await cluster.wait_loaded()
            # The nodes with disks join the replica set in two steps.
            await asyncio.sleep(REPLICA_SET_SECONDS)
            await scenario(cluster)
            return cluster

        return run_simulation(main)

    async def accept(
        self, cluster: ConfigurationCluster, priority: int, name: str = "node-005"
    ) -> Revision:
        result = await cluster.nodes[name].operators.apply(route(priority), None, f"set-{priority}")
        self.assertEqual(result.outcome, WriteOutcome.ACCEPTED, result.detail)
        assert result.committed_revision is not None
        return result.committed_revision

    def test_restart_without_disk_during_an_outage_keeps_the_applied_revision(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await cluster.wait_in_force(await self.accept(cluster, 1))
            await cluster.nodes["node-000"].kill()
            await cluster.wait_in_force(await self.accept(cluster, 2))
            cluster.model.set_faults(OUTAGE)
            service_type = type(cluster.nodes["node-005"].service)
            await cluster.nodes["node-005"].kill()
            for behind in ("node-001", "node-002"):
                await cluster.nodes[behind].kill()
            cluster.nodes["node-000"].start(service_type)
            cluster.nodes["node-005"].start(service_type)
            await asyncio.sleep(10)
            self.ready_without_majority = cluster.nodes["node-005"].service.readiness().ready
            cluster.nodes["node-001"].start(service_type)
            await asyncio.sleep(10)
            self.assertTrue(cluster.nodes["node-005"].service.readiness().ready)

        correct = self.run_cluster(scenario)
        self.assertFalse(self.ready_without_majority)
        self.assertEqual(find_reversions(correct.observations), [])
        self.assertEqual(
            correct.nodes["node-005"].service.current_view().routes["consulta"].priority, 2
        )
        faulty = self.run_cluster(scenario, SingleReplicaService)
        self.assertTrue(self.ready_without_majority)
        self.assertNotEqual(find_reversions(faulty.observations), [])

    def test_replica_with_an_emptied_disk_does_not_vote(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            service_type = type(cluster.nodes["node-005"].service)
            await cluster.wait_in_force(await self.accept(cluster, 1))
            await cluster.nodes["node-002"].kill()
            await cluster.wait_in_force(await self.accept(cluster, 2))
            cluster.model.set_faults(OUTAGE)
            for name in ("node-000", "node-001", "node-005"):
                await cluster.nodes[name].kill()
            lost = cluster.nodes["node-001"].host.data_folder
            assert lost is not None
            shutil.rmtree(lost)
            for name in ("node-001", "node-002", "node-005"):
                cluster.nodes[name].start(service_type)
            await asyncio.sleep(20)

        correct = self.run_cluster(scenario)
        self.assertFalse(correct.nodes["node-005"].service.readiness().ready)
        self.assertEqual(find_reversions(correct.observations), [])
        faulty = self.run_cluster(scenario, IncompleteVotesService)
        self.assertNotEqual(find_reversions(faulty.observations), [])

    def test_old_events_of_a_slow_watcher_are_ignored(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            slow = next(node for node in cluster.nodes.values() if node.service.is_watching)
            slow.store.batch_delay_seconds = 5.0
            for priority in range(1, 6):
                await self.accept(cluster, priority)
                await asyncio.sleep(1)
            await asyncio.sleep(40)

        correct = self.run_cluster(scenario)
        self.assertEqual(find_reversions(correct.observations), [])
        for node in correct.nodes.values():
            self.assertEqual(node.service.current_view().routes["consulta"].priority, 5)
        faulty = self.run_cluster(scenario, UncheckedStateService)
        self.assertNotEqual(find_reversions(faulty.observations), [])

    def test_partitioned_region_is_unconfirmed_refuses_writes_and_catches_up(self) -> None:
        cut = Cut(scope=Scope.REGION, source="nl-oost", target="lima")

        async def scenario(cluster: ConfigurationCluster) -> None:
            await cluster.wait_in_force(await self.accept(cluster, 1, "node-000"))
            far = [node for node in cluster.nodes.values() if node.host.location.region != "lima"]
            cluster.network.cut(cut, both_ways=True)
            for node in far:
                node.store.cut = True
            accepted = await self.accept(cluster, 2, "node-000")
            await asyncio.sleep(70)
            for node in far:
                self.assertEqual(node.service.readiness().reason, ReadinessReason.UNCONFIRMED)
                self.assertEqual(node.service.current_view().routes["consulta"].priority, 1)
                with self.assertRaises(ConfigurationNotCurrentError):
                    await node.operators.apply(route(9), None, "from-the-cut")
            self.assertTrue(cluster.nodes["node-001"].service.readiness().current)
            cluster.network.heal(cut, both_ways=True)
            self.seconds = await cluster.wait_in_force(accepted, 16.0)

        correct = self.run_cluster(scenario, locations=TWO_REGIONS, node_count=9, disk_count=5)
        self.assertEqual(find_reversions(correct.observations), [])
        with self.assertRaises(TimeoutError):
            self.run_cluster(
                region_without_store(cut),
                DigestsDisabledService,
                locations=TWO_REGIONS,
                node_count=9,
                disk_count=5,
            )

    def test_compaction_while_watches_are_broken(self) -> None:
        async def scenario(cluster: ConfigurationCluster) -> None:
            await cluster.wait_in_force(await self.accept(cluster, 1))
            cluster.model.set_faults(KeyValueFaults(watches_broken=True))
            operators = cluster.nodes["node-005"].operators
            writes = [
                cluster.nodes["node-005"].host.process.spawn(
                    operators.apply(route(priority, f"ruta-{priority}"), None, f"set-{priority}"),
                    "write",
                )
                for priority in range(2, 12)
            ]
            await asyncio.gather(*writes, return_exceptions=True)
            self.assertGreater(
                cluster.model.compacted_revision,
                cluster.nodes["node-005"].service.current_view().revision,
            )
            cluster.model.set_faults(KeyValueFaults())
            await cluster.wait_in_force(cluster.model.revision, 16.0)

        correct = self.run_cluster(scenario, history_limit=3)
        self.assertEqual(find_reversions(correct.observations), [])
        with self.assertRaises(TimeoutError):
            self.run_cluster(scenario, CompactionIgnoredService, history_limit=3)


def region_without_store(cut: Cut) -> Scenario:
    """Heal a partition between nodes while the far region cannot reach the key-value service."""

    async def scenario(cluster: ConfigurationCluster) -> None:
        cluster.network.cut(cut, both_ways=True)
        for node in cluster.nodes.values():
            node.store.cut = node.host.location.region != "lima"
        result = await cluster.nodes["node-000"].operators.apply(route(2), None, "set-2")
        assert result.committed_revision is not None
        cluster.network.heal(cut, both_ways=True)
        await cluster.wait_in_force(result.committed_revision, 16.0)

    return scenario


if __name__ == "__main__":
    unittest.main()
