"""Tests of claims in a simulated cluster: replays, freezes, lost disks, epoch changes."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest.mock import patch

from loguru import logger

from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed, ClaimFailure, ClaimOutcome
from drumbay.claims.replica_set import ReplicaMember
from drumbay.claims.state_copy import StateCopier
from drumbay.exceptions import Execution
from drumbay.identifiers import Epoch
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_faults import KeyValueFaults
from tests.claims_world import Implementations, Settings, World

KEY = "pallet-1"


def setUpModule() -> None:
    logger.disable("drumbay")


def tearDownModule() -> None:
    logger.enable("drumbay")


class StopAfterFirstActivation(StateCopier):
    """Simulates a coordinator that stops after it activated one member."""

    async def activate(self, target: ReplicaMember, next_epoch: Epoch) -> None:
        if target.node_id == "d1":
            await super().activate(target, next_epoch)
        await asyncio.get_running_loop().create_future()


class ClusterTest(unittest.TestCase):
    def run_world(
        self,
        scenario: Callable[[World], Awaitable[None]],
        *,
        disk_nodes: int = 3,
        executions: int = 1,
    ) -> None:
        async def main() -> None:
            world = World(Implementations(), Settings(disk_nodes=disk_nodes))
            await world.start_all()
            await scenario(world)
            await world.clock.sleep(5.0)
            self.assertEqual(world.violations(), [])
            self.assertEqual(len(world.executions), executions)

        run_simulation(main)

    def assert_failed(self, outcome: ClaimOutcome | None, failure: ClaimFailure) -> None:
        assert isinstance(outcome, ClaimFailed)
        self.assertIs(outcome.failure, failure)

    def assert_answered(self, outcome: ClaimOutcome | None, *, replayed: bool) -> None:
        assert isinstance(outcome, ClaimAnswered)
        self.assertIs(outcome.replayed, replayed)

    def test_answer_is_replayed_by_another_node(self) -> None:
        async def scenario(world: World) -> None:
            self.assert_answered(await world.call("n1", KEY), replayed=False)
            self.assert_answered(await world.call("n2", KEY), replayed=True)
            await world.kill("n1")
            for name in ("d1", "d2", "d3"):
                await world.restart(name)
            self.assert_answered(await world.call("n2", KEY), replayed=True)

        self.run_world(scenario)

    def test_cancelled_caller_gets_the_answer_on_retry(self) -> None:
        async def scenario(world: World) -> None:
            self.assertIsNone(await world.call("n1", KEY, delay=1.0, patience=0.1))
            self.assertEqual(world.nodes["n1"].service.active_dispatches, 1)
            self.assert_failed(await world.call("n2", KEY), ClaimFailure.IN_PROGRESS)
            await world.clock.sleep(2.0)
            self.assertEqual(world.nodes["n1"].service.active_dispatches, 0)
            self.assert_answered(await world.call("n2", KEY), replayed=True)

        self.run_world(scenario)

    def test_key_of_a_dead_dispatcher_is_in_progress(self) -> None:
        async def scenario(world: World) -> None:
            first = asyncio.create_task(world.call("n1", KEY, "late", delay=0.2))
            await world.clock.sleep(0.1)
            await world.kill("n1")
            await first
            outcome = await world.call("n2", KEY)
            self.assert_failed(outcome, ClaimFailure.IN_PROGRESS)
            assert isinstance(outcome, ClaimFailed)
            self.assertIs(outcome.to_error().execution, Execution.MAY_HAVE_RUN)

        self.run_world(scenario, executions=0)

    def test_frozen_dispatcher_keeps_its_claim(self) -> None:
        async def scenario(world: World) -> None:
            first = asyncio.create_task(world.call("n1", KEY, delay=0.2, patience=60.0))
            await world.clock.sleep(0.1)
            world.hosts["n1"].freeze()
            await world.clock.sleep(9.0)
            self.assert_failed(await world.call("n2", KEY), ClaimFailure.IN_PROGRESS)
            world.hosts["n1"].resume()
            self.assert_answered(await first, replayed=False)

        self.run_world(scenario)

    def test_dispatch_proved_not_run_releases_the_key(self) -> None:
        async def scenario(world: World) -> None:
            for backend_result in ("not_reached", "refused"):
                outcome = await world.call("n1", KEY, backend_result)
                self.assert_failed(outcome, ClaimFailure.BACKEND_NOT_RUN)
                await world.clock.sleep(0.1)
            self.assert_answered(await world.call("n2", KEY), replayed=False)

        self.run_world(scenario)

    def test_release_missed_by_a_replica_is_repaired(self) -> None:
        async def scenario(world: World) -> None:
            first = asyncio.create_task(world.call("n1", KEY, "not_reached", delay=0.2))
            await world.clock.sleep(0.1)
            world.cut("n1", "d1")
            await first
            await world.clock.sleep(0.1)
            await world.kill("n1")
            await world.kill("d3")
            self.assert_answered(await world.call("n2", KEY), replayed=False)

        self.run_world(scenario)

    def test_same_key_for_another_request_conflicts(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY)
            node = world.nodes["n2"]
            running = node.service.run_once(world.calls[0].key, b"other", world.dispatch("n2", KEY))
            outcome = await node.process.spawn(running, "request")
            self.assert_failed(outcome, ClaimFailure.KEY_CONFLICT)

        self.run_world(scenario)

    def test_outcome_is_unknown_without_a_quorum(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY, "broken")
            await world.kill("d1")
            await world.kill("d2")
            self.assert_failed(await world.call("n2", KEY), ClaimFailure.IN_PROGRESS)
            outcome = await world.call("n2", "never used")
            self.assert_failed(outcome, ClaimFailure.UNRESOLVED)
            assert isinstance(outcome, ClaimFailed)
            self.assertIs(outcome.execution, Execution.MAY_HAVE_RUN)

        self.run_world(scenario)

    def test_dead_member_is_replaced_and_its_claims_are_kept(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY, "broken")
            await world.kill("d1")
            await world.clock.sleep(15.0)
            replica_set = world.replica_set()
            assert replica_set is not None
            self.assertEqual(replica_set.epoch, 2)
            self.assertEqual([each.node_id for each in replica_set.members], ["d2", "d3", "d4"])
            await world.kill("d2")
            self.assert_failed(await world.call("n2", KEY), ClaimFailure.IN_PROGRESS)

        self.run_world(scenario, disk_nodes=4)

    def test_lost_disks_are_replaced_by_new_stores_with_copied_state(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY)
            await world.restart("d1", lose_disk=True)
            await world.clock.sleep(10.0)
            await world.restart("d2", lose_disk=True)
            await world.clock.sleep(10.0)
            await world.restart("d3", lose_disk=True)
            await world.clock.sleep(10.0)
            self.assert_answered(await world.call("n2", KEY), replayed=True)

        self.run_world(scenario)

    def test_claims_outlast_a_lost_disk_while_all_other_nodes_lose_power(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY)
            await world.call("n1", "unknown outcome", "broken")
            names = list(world.nodes)
            for name in names:
                await world.kill(name)
            await world.restart("d1", lose_disk=True)
            for name in names:
                if name != "d1":
                    world.start(name)
            await world.clock.sleep(10.0)
            self.assert_answered(await world.call("n2", KEY), replayed=True)
            outcome = await world.call("n2", "unknown outcome")
            self.assert_failed(outcome, ClaimFailure.IN_PROGRESS)

        self.run_world(scenario, executions=2)

    def test_change_waits_for_the_key_value_store(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY, "broken")
            await world.kill("d1")
            world.kv.set_faults(KeyValueFaults(outage=True))
            await world.clock.sleep(30.0)
            self.assert_answered(await world.call("n1", "other"), replayed=False)
            world.kv.set_faults(KeyValueFaults(lost_answers=4))
            await world.clock.sleep(40.0)
            replica_set = world.replica_set()
            assert replica_set is not None
            self.assertTrue(replica_set.is_active)
            self.assertEqual(replica_set.epoch, 2)

        self.run_world(scenario, disk_nodes=4, executions=2)

    def test_node_started_during_an_outage_gets_the_replica_set_from_peers(self) -> None:
        async def scenario(world: World) -> None:
            world.kv.set_faults(KeyValueFaults(outage=True))
            for name in ("n1", "d1", "d2"):
                await world.restart(name)
            await world.clock.sleep(5.0)
            self.assert_answered(await world.call("n1", KEY), replayed=False)

        self.run_world(scenario)

    def test_interrupted_change_is_finished_by_another_coordinator(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY, "broken")
            current = world.replica_set()
            assert current is not None
            for node in list(world.nodes.values())[:4]:
                node.reconfigurator._copier.__class__ = StopAfterFirstActivation
            world.request_change(current, world.members(("d1", "d2", "d4")))
            await world.clock.sleep(10.0)
            epochs = [
                world.nodes[name].replica.acceptor.epochs.active_epoch for name in world.disks
            ]
            self.assertIn(2, epochs)
            unfinished = world.replica_set()
            assert unfinished is not None
            self.assertEqual((unfinished.epoch, unfinished.is_active), (1, False))
            for name in world.disks:
                await world.restart(name)
            await world.clock.sleep(10.0)
            changed = world.replica_set()
            assert changed is not None
            self.assertEqual((changed.epoch, changed.is_active), (2, True))
            self.assert_failed(await world.call("n2", KEY), ClaimFailure.IN_PROGRESS)

        self.run_world(scenario, disk_nodes=4)

    def test_replica_with_a_full_disk_does_not_vote(self) -> None:
        async def scenario(world: World) -> None:
            for name in ("d1", "d2"):
                world.disks[name].full = True
            outcome = await world.call("n1", KEY)
            self.assert_failed(outcome, ClaimFailure.UNRESOLVED)
            for name in ("d1", "d2"):
                world.disks[name].full = False
            await world.clock.sleep(10.0)
            self.assert_answered(await world.call("n2", KEY), replayed=False)

        self.run_world(scenario)

    def test_store_emptied_while_running_is_not_reused(self) -> None:
        async def scenario(world: World) -> None:
            await world.call("n1", KEY, "broken")
            world.disks["d1"].full = True
            await world.call("n1", "other")
            world.disks["d1"].records.clear()
            world.disks["d1"].full = False
            await world.clock.sleep(20.0)
            replica_set = world.replica_set()
            assert replica_set is not None
            self.assertEqual([each.node_id for each in replica_set.members], ["d2", "d3", "d4"])
            self.assert_failed(await world.call("n2", KEY), ClaimFailure.IN_PROGRESS)

        self.run_world(scenario, disk_nodes=4, executions=2)

    def test_snapshot_compacts_the_log_and_keeps_the_state(self) -> None:
        async def scenario(world: World) -> None:
            with patch("drumbay.claims.store.MIN_RECORDS_BEFORE_SNAPSHOT", 20):
                for _ in range(30):
                    await world.call("n1", KEY, "not_reached")
                    await world.clock.sleep(0.1)
            self.assertLess(len(world.disks["d1"].records["claims"]), 30)
            for name in world.disks:
                await world.restart(name)
            await world.clock.sleep(1.0)
            self.assert_answered(await world.call("n2", KEY), replayed=False)

        self.run_world(scenario)
