"""Weight rollouts against emulated engines; checkers read the engines' own logs."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Iterator
from typing import ClassVar

from loguru import logger

from drumbay.backends.interface import BackendAddress, EngineStatus, FencedOrder
from drumbay.backends.memory import MemoryEngineClient
from drumbay.bench.weights_cluster import RolloutCluster, RolloutNode
from drumbay.identifiers import BackendId, BootId, Fence, WeightVersion
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.execution_log import OrderHandled, OrderOutcome
from drumbay.standins.faults import FaultCommand, FaultKind
from drumbay.weights.engines import EngineRecord
from drumbay.weights.events import PolicyChanged, RolloutDecision, RolloutEvent, VersionNeed
from drumbay.weights.planner import RolloutPlanner
from drumbay.weights.service import WeightRolloutService

ENGINES = 12
SHARE = 0.75
MOST_BUSY = 3


def setUpModule() -> None:
    logger.remove()


class NoFloorPlanner(RolloutPlanner):
    """Fault: the capacity for live requests is not kept."""

    def _serving_floor(self) -> int:
        return 0


class NoNeedsPlanner(RolloutPlanner):
    """Fault: versions of running samples are not kept."""

    def _spare_by_version(self, now: float) -> dict[WeightVersion, int]:
        return {}


class LeaseFencePlanner(RolloutPlanner):
    """Fault: all orders of one owner carry the same fence."""

    def _next_fence(self, lease_fence: Fence) -> Fence:
        return Fence(lease_fence << 24)


class ConstantFencePlanner(RolloutPlanner):
    """Fault: the fence of an order does not tell its owner."""

    def _next_fence(self, lease_fence: Fence) -> Fence:
        return Fence(1)


class TrustingPlanner(RolloutPlanner):
    """Fault: an acknowledgement is believed against the stamps of the tokens."""

    def _take_in(self, event: RolloutEvent, now: float) -> Iterator[RolloutDecision]:
        for record in self._engines.values():
            record.take_stamp = _ignore_stamp  # type: ignore[method-assign]
        return super()._take_in(event, now)


def _ignore_stamp(boot_id: BootId, version: WeightVersion, now: float) -> bool:
    return False


class WaitingPlanner(RolloutPlanner):
    """Fault: an order ends by its answer or its time limit only."""

    def _settle_open_order(
        self, record: EngineRecord, status: EngineStatus, now: float
    ) -> Iterator[RolloutDecision]:
        return iter(())


class NoWithdrawalPlanner(RolloutPlanner):
    """Fault: an operator's rollback is not part of the target."""

    def handle(self, event: RolloutEvent, now: float) -> tuple[RolloutDecision, ...]:
        if isinstance(event, PolicyChanged):
            event = PolicyChanged(policy=event.policy)
        return super().handle(event, now)


def service_with(planner: type[RolloutPlanner]) -> type[WeightRolloutService]:
    class Service(WeightRolloutService):
        planner_type: ClassVar[type[RolloutPlanner]] = planner

    return Service


class DelayedOrderClient(MemoryEngineClient):
    """Holds back the first order to each engine of ``held`` on its way."""

    held: dict[BackendId, float]

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        await asyncio.sleep(self.held.pop(engine.backend_id, 0.0))
        return await super().order(engine, order, timeout_seconds=timeout_seconds)


Scenario = Callable[[RolloutCluster, RolloutNode], Awaitable[None]]


class RolloutTest(unittest.TestCase):
    def run_rollout(
        self,
        scenario: Scenario,
        planner: type[RolloutPlanner] = RolloutPlanner,
        held: dict[BackendId, float] | None = None,
    ) -> RolloutCluster:
        async def main() -> RolloutCluster:
            cluster = RolloutCluster(engine_count=ENGINES, min_serving_share=SHARE)
            client = DelayedOrderClient(
                cluster.clock,
                {f"http://{engine.backend_id}": engine for engine in cluster.engines},
                cluster.network,
            )
            client.held = dict(held or {})
            node = cluster.add_node("owner", service_with(planner), client)
            node.lease_fence = Fence(10)
            await scenario(cluster, node)
            return cluster

        return run_simulation(main)

    def test_new_version_everywhere_within_the_capacity_floor(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_for_version(2)
            await asyncio.sleep(1)
            self.assertIn("weights_rollout_done", [record.event for record in node.records])

        green = self.run_rollout(scenario)
        self.assertEqual(green.most_busy(), MOST_BUSY)
        self.assertEqual(green.steps_back(), [])
        red = self.run_rollout(scenario, NoFloorPlanner)
        self.assertGreater(red.most_busy(), MOST_BUSY)

    def test_version_of_running_samples_is_kept(self) -> None:
        least: list[int] = []

        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.needs = (VersionNeed(version=WeightVersion(1), engines=2),)
            cluster.publish(2, node)
            await asyncio.sleep(60)
            least.append(cluster.true_versions().count(1))
            cluster.needs = ()
            await cluster.wait_for_version(2)

        self.run_rollout(scenario)
        self.run_rollout(scenario, NoNeedsPlanner)
        self.assertEqual(least, [2, 0])

    def test_failed_swaps_are_retried_or_set_aside_and_explained(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            once = FaultCommand(fault=FaultKind.SWAP_FAILS, count=1)
            cluster.engines[0].faults.apply(once)
            always = FaultCommand(fault=FaultKind.SWAP_FAILS)
            cluster.engines[1].faults.apply(always)
            cluster.publish(2, node)
            await cluster.wait_until(lambda: cluster.true_versions().count(2) == ENGINES - 1, 60)
            await asyncio.sleep(30)
            aside = [one for one in node.records if one.event == "weights_engine_set_aside"]
            self.assertEqual([one.subject_id for one in aside], ["engine-001"])
            self.assertIn("3 orders in a row failed", aside[0].detail)
            done = [one for one in node.records if one.event == "weights_rollout_done"]
            self.assertIn("1 set aside", done[0].detail)
            cluster.engines[1].faults.apply(FaultCommand(fault=FaultKind.SWAP_FAILS, armed=False))
            await cluster.wait_for_version(2)

        self.run_rollout(scenario)

    def test_swap_that_was_only_acknowledged_is_found_by_its_stamps(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            fault = FaultCommand(fault=FaultKind.SWAP_FAILS_ACKNOWLEDGED, count=1)
            cluster.engines[0].faults.apply(fault)
            cluster.publish(2, node)
            await cluster.wait_until(lambda: cluster.true_versions().count(2) == ENGINES - 1, 60)
            await asyncio.sleep(5)
            engine = cluster.engines[0]
            cluster.owner_address = node.host.address
            status = await engine.status()
            other = cluster.add_node("other")
            await asyncio.sleep(1)
            other.service.observe_stamp(
                "modelos",
                engine.backend_id,
                engine.boot_id,
                engine.true_version,
                status.weight_version,
            )
            await asyncio.sleep(30)

        self.assertEqual(set(self.run_rollout(scenario).true_versions()), {2})
        self.assertIn(1, self.run_rollout(scenario, TrustingPlanner).true_versions())

    def test_two_rollouts_at_once_with_an_order_held_back(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await asyncio.sleep(3)
            cluster.publish(3, node)
            await cluster.wait_for_version(3)
            await asyncio.sleep(60)
            self.assertEqual(set(cluster.true_versions()), {3})

        held = {BackendId("engine-000"): 40.0}
        self.assertEqual(self.run_rollout(scenario, held=held).steps_back(), [])
        self.assertNotEqual(self.run_rollout(scenario, LeaseFencePlanner, held).steps_back(), [])

    def test_owner_paused_in_the_middle_does_no_harm(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await asyncio.sleep(4)
            node.host.freeze()
            successor = cluster.add_node("successor", type(node.service))
            successor.lease_fence = Fence(11)
            cluster.publish(3, successor)
            await cluster.wait_for_version(3)
            cluster.publish(4, successor)
            await asyncio.sleep(1)
            node.host.wake()
            await asyncio.sleep(120)
            self.assertEqual(set(cluster.true_versions()), {4})

        def stale_done(cluster: RolloutCluster) -> int:
            """Count loads of the earlier owner that took effect after one of the later."""
            count = 0
            for engine in cluster.engines:
                newest = 0
                for entry in engine.log.records():
                    if isinstance(entry, OrderHandled) and entry.outcome is OrderOutcome.DONE:
                        count += entry.fence < newest
                        newest = max(newest, entry.fence)
            return count

        green = self.run_rollout(scenario)
        self.assertEqual((green.steps_back(), stale_done(green)), ([], 0))

    def test_two_owners_without_fences_do_harm(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await asyncio.sleep(1)
            successor = cluster.add_node("successor", type(node.service))
            successor.lease_fence = Fence(11)
            cluster.publish(3, successor)
            await asyncio.sleep(100)

        held = {BackendId("engine-000"): 60.0}
        self.assertEqual(self.run_rollout(scenario, held=held).steps_back(), [])
        red = self.run_rollout(scenario, ConstantFencePlanner, held)
        self.assertNotEqual(red.steps_back(), [])

    def test_successor_of_a_dead_owner_needs_the_reports_only(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_until(lambda: cluster.true_versions().count(2) >= 2, 60)
            await node.host.kill()
            self.assertIn(1, cluster.true_versions())
            successor = cluster.add_node("successor")
            successor.lease_fence = Fence(11)
            await cluster.wait_for_version(2)

        green = self.run_rollout(scenario)
        self.assertEqual(green.most_busy(), MOST_BUSY)
        self.assertEqual(green.steps_back(), [])

    def test_rollback_in_the_middle_outlives_its_owner(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_for_version(2)
            cluster.publish(3, node)
            await cluster.wait_until(lambda: cluster.true_versions().count(3) >= 4, 60)
            cluster.roll_back(keep=2, withdrawn_through=3)
            await cluster.wait_for_version(2)
            await node.host.kill()
            successor = cluster.add_node("successor", type(node.service))
            successor.lease_fence = Fence(11)
            for version in (2, 3):
                successor.service.publish("modelos", WeightVersion(version))
            await asyncio.sleep(60)
            self.assertEqual(set(cluster.true_versions()), {2})
            cluster.publish(4, successor)
            await cluster.wait_for_version(4)

        self.run_rollout(scenario)
        with self.assertRaises(TimeoutError):
            self.run_rollout(scenario, NoWithdrawalPlanner)

    def test_order_without_an_answer_is_settled_by_the_report(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            lost = FaultCommand(fault=FaultKind.ORDER_ANSWER_LOST, count=1)
            cluster.engines[0].faults.apply(lost)
            cluster.publish(2, node)
            await cluster.wait_until(
                lambda: "weights_rollout_done" in [record.event for record in node.records], 60
            )

        # The emulator breaks the exchange, so a lost answer alone is noticed at once.
        self.assertEqual(set(self.run_rollout(scenario).true_versions()), {2})
        held = {BackendId("engine-001"): 80.0}
        self.assertEqual(set(self.run_rollout(scenario, held=held).true_versions()), {2})
        with self.assertRaises(TimeoutError):
            self.run_rollout(scenario, WaitingPlanner, held)

    def test_restarted_engine_is_brought_up_again(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_for_version(2)
            cluster.engines[3].crash()
            await asyncio.sleep(10)
            cluster.engines[3].restart()
            self.assertEqual(cluster.true_versions()[3], 1)
            await cluster.wait_for_version(2, limit_seconds=30)

        self.run_rollout(scenario)


if __name__ == "__main__":
    unittest.main()
