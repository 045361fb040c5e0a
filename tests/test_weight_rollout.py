"""Weight rollouts on emulated engines, verified against the engines' execution logs."""

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
from drumbay.weights.events import (
    PolicyChanged,
    VersionNeed,
    WeightRolloutDecision,
    WeightRolloutEvent,
)
from drumbay.weights.planner import WeightRolloutPlanner
from drumbay.weights.service import WeightRolloutService

ENGINES = 12
SHARE = 0.75
MAX_BUSY_ENGINES = 3


def setUpModule() -> None:
    logger.remove()


class NoMinimumPlanner(WeightRolloutPlanner):
    """Injected fault: ignores the minimum serving capacity."""

    def _min_serving_engines(self) -> int:
        return 0


class NoNeedsPlanner(WeightRolloutPlanner):
    """Injected fault: ignores the versions that running samples need."""

    def _surplus_by_version(self, now: float) -> dict[WeightVersion, int]:
        return {}


class LeaseFencePlanner(WeightRolloutPlanner):
    """Injected fault: all orders of an owner have the same fence."""

    def _next_fence(self, lease_fence: Fence) -> Fence:
        return Fence(lease_fence << 24)


class ConstantFencePlanner(WeightRolloutPlanner):
    """Injected fault: orders of all owners have the same fence."""

    def _next_fence(self, lease_fence: Fence) -> Fence:
        return Fence(1)


class IgnoreTokenVersionsPlanner(WeightRolloutPlanner):
    """Injected fault: trusts acknowledgements and ignores the versions of tokens."""

    def _apply_event(
        self, event: WeightRolloutEvent, now: float
    ) -> Iterator[WeightRolloutDecision]:
        for record in self._engines.values():
            record.record_token_version = _ignore_token_version  # type: ignore[method-assign]
        return super()._apply_event(event, now)


def _ignore_token_version(boot_id: BootId, version: WeightVersion, now: float) -> bool:
    return False


class NoReportResolutionPlanner(WeightRolloutPlanner):
    """Injected fault: pending orders are not resolved from status reports."""

    def _resolve_pending_order(
        self, record: EngineRecord, status: EngineStatus, now: float
    ) -> Iterator[WeightRolloutDecision]:
        return iter(())


class NoWithdrawalPlanner(WeightRolloutPlanner):
    """Injected fault: ignores rollbacks."""

    def handle(self, event: WeightRolloutEvent, now: float) -> tuple[WeightRolloutDecision, ...]:
        if isinstance(event, PolicyChanged):
            event = PolicyChanged(policy=event.policy)
        return super().handle(event, now)


def service_with(planner: type[WeightRolloutPlanner]) -> type[WeightRolloutService]:
    class Service(WeightRolloutService):
        planner_type: ClassVar[type[WeightRolloutPlanner]] = planner

    return Service


class DelayedOrderClient(MemoryEngineClient):
    """Delays the first order to each engine in ``order_delays`` by the given seconds."""

    order_delays: dict[BackendId, float]

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        await asyncio.sleep(self.order_delays.pop(engine.backend_id, 0.0))
        return await super().order(engine, order, timeout_seconds=timeout_seconds)


Scenario = Callable[[RolloutCluster, RolloutNode], Awaitable[None]]


class RolloutTest(unittest.TestCase):
    def run_rollout(
        self,
        scenario: Scenario,
        planner: type[WeightRolloutPlanner] = WeightRolloutPlanner,
        order_delays: dict[BackendId, float] | None = None,
    ) -> RolloutCluster:
        async def main() -> RolloutCluster:
            cluster = RolloutCluster(engine_count=ENGINES, min_serving_share=SHARE)
            client = DelayedOrderClient(
                cluster.clock,
                {f"http://{engine.backend_id}": engine for engine in cluster.engines},
                cluster.network,
            )
            client.order_delays = dict(order_delays or {})
            node = cluster.add_node("owner", service_with(planner), client)
            node.lease_fence = Fence(10)
            await scenario(cluster, node)
            return cluster

        return run_simulation(main)

    def test_new_version_reaches_all_engines_within_capacity(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_for_version(2)
            await asyncio.sleep(1)
            self.assertIn("weights_rollout_done", [record.event for record in node.records])

        correct = self.run_rollout(scenario)
        self.assertEqual(correct.peak_loading_engines(), MAX_BUSY_ENGINES)
        self.assertEqual(correct.find_version_regressions(), [])
        faulty = self.run_rollout(scenario, NoMinimumPlanner)
        self.assertGreater(faulty.peak_loading_engines(), MAX_BUSY_ENGINES)

    def test_versions_needed_by_running_samples_stay_loaded(self) -> None:
        kept_counts: list[int] = []

        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.needs = (VersionNeed(version=WeightVersion(1), engines=2),)
            cluster.publish(2, node)
            await asyncio.sleep(60)
            kept_counts.append(cluster.serving_versions().count(1))
            cluster.needs = ()
            await cluster.wait_for_version(2)

        self.run_rollout(scenario)
        self.run_rollout(scenario, NoNeedsPlanner)
        self.assertEqual(kept_counts, [2, 0])

    def test_failed_swaps_are_retried_or_set_aside(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            once = FaultCommand(fault=FaultKind.SWAP_FAILS, count=1)
            cluster.engines[0].faults.apply(once)
            always = FaultCommand(fault=FaultKind.SWAP_FAILS)
            cluster.engines[1].faults.apply(always)
            cluster.publish(2, node)
            await cluster.wait_until(lambda: cluster.serving_versions().count(2) == ENGINES - 1, 60)
            await asyncio.sleep(30)
            set_aside = [
                decision
                for decision in node.records
                if decision.event == "weights_engine_set_aside"
            ]
            self.assertEqual([decision.subject_id for decision in set_aside], ["engine-001"])
            self.assertIn("3 orders in a row failed", set_aside[0].detail)
            completed = [
                decision for decision in node.records if decision.event == "weights_rollout_done"
            ]
            self.assertIn("1 set aside", completed[0].detail)
            cluster.engines[1].faults.apply(FaultCommand(fault=FaultKind.SWAP_FAILS, armed=False))
            await cluster.wait_for_version(2)

        self.run_rollout(scenario)

    def test_failed_but_acknowledged_swap_is_detected_by_token_versions(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            fault = FaultCommand(fault=FaultKind.SWAP_FAILS_ACKNOWLEDGED, count=1)
            cluster.engines[0].faults.apply(fault)
            cluster.publish(2, node)
            await cluster.wait_until(lambda: cluster.serving_versions().count(2) == ENGINES - 1, 60)
            await asyncio.sleep(5)
            engine = cluster.engines[0]
            cluster.owner_address = node.host.address
            status = await engine.status()
            other = cluster.add_node("other")
            await asyncio.sleep(1)
            other.service.observe_token_version(
                "modelos",
                engine.backend_id,
                engine.boot_id,
                engine.actual_version,
                status.weight_version,
            )
            await asyncio.sleep(30)

        self.assertEqual(set(self.run_rollout(scenario).serving_versions()), {2})
        self.assertIn(1, self.run_rollout(scenario, IgnoreTokenVersionsPlanner).serving_versions())

    def test_delayed_order_does_not_revert_a_newer_rollout(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await asyncio.sleep(3)
            cluster.publish(3, node)
            await cluster.wait_for_version(3)
            await asyncio.sleep(60)
            self.assertEqual(set(cluster.serving_versions()), {3})

        order_delays = {BackendId("engine-000"): 40.0}
        self.assertEqual(
            self.run_rollout(scenario, order_delays=order_delays).find_version_regressions(), []
        )
        self.assertNotEqual(
            self.run_rollout(scenario, LeaseFencePlanner, order_delays).find_version_regressions(),
            [],
        )

    def test_paused_owner_does_not_revert_its_successor(self) -> None:
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
            node.host.resume()
            await asyncio.sleep(120)
            self.assertEqual(set(cluster.serving_versions()), {4})

        def count_stale_loads(cluster: RolloutCluster) -> int:
            """Count loads of the previous owner that took effect after one of its successor."""
            count = 0
            for engine in cluster.engines:
                newest = 0
                for entry in engine.log.records():
                    if isinstance(entry, OrderHandled) and entry.outcome is OrderOutcome.DONE:
                        count += entry.fence < newest
                        newest = max(newest, entry.fence)
            return count

        correct = self.run_rollout(scenario)
        self.assertEqual((correct.find_version_regressions(), count_stale_loads(correct)), ([], 0))

    def test_fences_prevent_regressions_with_two_owners(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await asyncio.sleep(1)
            successor = cluster.add_node("successor", type(node.service))
            successor.lease_fence = Fence(11)
            cluster.publish(3, successor)
            await asyncio.sleep(100)

        order_delays = {BackendId("engine-000"): 60.0}
        self.assertEqual(
            self.run_rollout(scenario, order_delays=order_delays).find_version_regressions(), []
        )
        faulty = self.run_rollout(scenario, ConstantFencePlanner, order_delays)
        self.assertNotEqual(faulty.find_version_regressions(), [])

    def test_successor_of_a_crashed_owner_continues_from_the_reports(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_until(lambda: cluster.serving_versions().count(2) >= 2, 60)
            await node.host.kill()
            self.assertIn(1, cluster.serving_versions())
            successor = cluster.add_node("successor")
            successor.lease_fence = Fence(11)
            await cluster.wait_for_version(2)

        correct = self.run_rollout(scenario)
        self.assertEqual(correct.peak_loading_engines(), MAX_BUSY_ENGINES)
        self.assertEqual(correct.find_version_regressions(), [])

    def test_rollback_during_a_rollout_survives_a_change_of_owner(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_for_version(2)
            cluster.publish(3, node)
            await cluster.wait_until(lambda: cluster.serving_versions().count(3) >= 4, 60)
            cluster.roll_back(keep=2, withdrawn_through=3)
            await cluster.wait_for_version(2)
            await node.host.kill()
            successor = cluster.add_node("successor", type(node.service))
            successor.lease_fence = Fence(11)
            for version in (2, 3):
                successor.service.publish("modelos", WeightVersion(version))
            await asyncio.sleep(60)
            self.assertEqual(set(cluster.serving_versions()), {2})
            cluster.publish(4, successor)
            await cluster.wait_for_version(4)

        self.run_rollout(scenario)
        with self.assertRaises(TimeoutError):
            self.run_rollout(scenario, NoWithdrawalPlanner)

    def test_order_without_a_reply_is_resolved_by_a_report(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            reply_lost = FaultCommand(fault=FaultKind.ORDER_ANSWER_LOST, count=1)
            cluster.engines[0].faults.apply(reply_lost)
            cluster.publish(2, node)
            await cluster.wait_until(
                lambda: "weights_rollout_done" in [record.event for record in node.records], 60
            )

        # A lost reply breaks the connection, so it is detected immediately.
        self.assertEqual(set(self.run_rollout(scenario).serving_versions()), {2})
        order_delays = {BackendId("engine-001"): 80.0}
        self.assertEqual(
            set(self.run_rollout(scenario, order_delays=order_delays).serving_versions()), {2}
        )
        with self.assertRaises(TimeoutError):
            self.run_rollout(scenario, NoReportResolutionPlanner, order_delays)

    def test_restarted_engine_reloads_the_target_version(self) -> None:
        async def scenario(cluster: RolloutCluster, node: RolloutNode) -> None:
            cluster.publish(2, node)
            await cluster.wait_for_version(2)
            cluster.engines[3].crash()
            await asyncio.sleep(10)
            cluster.engines[3].restart()
            self.assertEqual(cluster.serving_versions()[3], 1)
            await cluster.wait_for_version(2, limit_seconds=30)

        self.run_rollout(scenario)


if __name__ == "__main__":
    unittest.main()
