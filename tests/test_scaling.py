"""Worker counts: orders, repeated orders and leader changes."""

import asyncio
import json
import unittest

from drumbay_platform.feeds import parse_configuration

from drumbay.duties.interface import DutyOutcome, WorkerCount
from drumbay.forwarding.routes import RequestLimits, RoutingConfiguration
from drumbay.scaling.planner import (
    BASELINE_WINDOW_SECONDS,
    REPLACEMENT_MARGIN_SECONDS,
    RETRY_DELAY_SECONDS,
    WorkerCountPlanner,
)
from drumbay.scaling.records import ServiceScaling, ServiceZone, ZoneWorkers
from tests.serving_world import SERVICE, ServingWorld, run_in_world

NEAR, FAR = ServiceZone(SERVICE, "near"), ServiceZone(SERVICE, "far")
SCALING = ServiceScaling(
    service=SERVICE,
    minimum=1,
    maximum=5,
    boot_seconds=4.0,
    zone_prices={"near": 1.0, "far": 0.8},
)
REPLACEMENT_SECONDS = SCALING.boot_seconds + REPLACEMENT_MARGIN_SECONDS


class PlannerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = WorkerCountPlanner()
        self.planner.restore({NEAR: 3, FAR: 2})

    def plan(self, now: float, *, near: int = 3, far: int = 2) -> list[tuple[str, int]]:
        workers = (ZoneWorkers(place=NEAR, ready=near), ZoneWorkers(place=FAR, ready=far))
        orders = self.planner.plan(SCALING, workers, now)
        return [(order.zone, order.workers) for order in orders]

    def test_baseline_is_not_ordered(self) -> None:
        self.assertEqual([self.plan(float(now)) for now in range(60)], [[]] * 60)

    def test_workers_that_register_one_after_the_other_are_all_counted(self) -> None:
        self.planner = WorkerCountPlanner()
        for now, (near, far) in enumerate([(0, 0), (0, 1), (2, 1), (3, 2)]):
            self.assertEqual(self.plan(float(now), near=near, far=far), [])
        for now in range(4, 30):
            self.assertEqual(self.plan(float(now)), [])
        self.assertEqual(self.planner.baselines, {NEAR: 3, FAR: 2})

    def test_replaced_workers_are_not_counted_twice(self) -> None:
        for now in range(60):
            near = 5 if 20 <= now < 20 + BASELINE_WINDOW_SECONDS - 1 else 3
            self.assertEqual(self.plan(float(now), near=near), [])
        self.assertEqual(self.planner.baselines[NEAR], 3)

    def test_no_order_is_below_the_current_count(self) -> None:
        self.planner.restore({NEAR: 1, FAR: 0})
        self.assertEqual([self.plan(float(now)) for now in range(60)], [[]] * 60)

    def test_missing_workers_are_ordered_again(self) -> None:
        self.assertEqual(self.plan(0.0), [])
        self.assertEqual(self.plan(10.0, near=2), [])
        self.assertEqual(self.plan(10.0 + REPLACEMENT_SECONDS - 0.1, near=2), [])
        self.assertEqual(self.plan(10.0 + REPLACEMENT_SECONDS, near=2), [("near", 3)])
        self.assertEqual(self.plan(11.0 + REPLACEMENT_SECONDS, near=2), [])

    def test_worker_that_recovers_is_not_ordered(self) -> None:
        self.plan(0.0)
        self.plan(10.0, near=2)
        self.plan(14.0)
        self.assertEqual(self.plan(15.0, near=2), [])
        self.assertEqual(self.plan(14.0 + REPLACEMENT_SECONDS, near=2), [])

    def test_unaccepted_count_is_ordered_again(self) -> None:
        self.plan(0.0)
        self.plan(10.0, near=2)
        now = 10.0 + REPLACEMENT_SECONDS
        self.assertEqual(self.plan(now, near=2), [("near", 3)])
        order = WorkerCount(service=SERVICE, zone="near", workers=3)
        self.planner.record_outcome(order, DutyOutcome.UNANSWERED, now)
        self.assertEqual(self.plan(now + RETRY_DELAY_SECONDS / 2, near=2), [])
        self.assertEqual(self.plan(now + RETRY_DELAY_SECONDS, near=2), [("near", 3)])

    def test_counts_stay_within_the_configured_bounds(self) -> None:
        self.planner.restore({NEAR: 7})
        self.assertEqual(self.plan(0.0), [])
        now = REPLACEMENT_SECONDS
        self.assertEqual(self.plan(now), [("near", 5)])


class WorkerCountControllerTest(unittest.TestCase):
    def test_successor_orders_the_baseline(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            limits = ServiceScaling(
                service=SERVICE,
                minimum=1,
                maximum=9,
                boot_seconds=4.0,
                zone_prices={"zone-1": 1.0},
            )
            configuration = RoutingConfiguration(
                version=1, routes=(), limits=RequestLimits(), scaling=(limits,)
            )
            for node in world.nodes:
                node.node.apply_configuration(configuration)
                node.lead()
            await asyncio.sleep(12.0)
            self.assertEqual(world.duties.calls, [])
            for node in world.nodes:
                node.directory.replace_all(world.workers.entries()[:2])
            leader = next(n for n in world.nodes if n.leader.fence(world.clock.monotonic()))
            await leader.kill()
            await asyncio.sleep(20.0)
            (call,) = world.duties.calls[:1]
            self.assertEqual(call.count, WorkerCount(service=SERVICE, zone="zone-1", workers=3))
            self.assertNotEqual(call.token.holder, str(leader.address))

        run_in_world(scenario, node_count=3, worker_count=3, orders_workers=True)

    def test_nothing_is_ordered_without_the_duty(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
                node.directory.replace_all(world.workers.entries()[:1])
            await asyncio.sleep(20.0)
            self.assertEqual(world.duties.calls, [])

        run_in_world(scenario, node_count=3, worker_count=3)


class ConfigurationTest(unittest.TestCase):
    def test_only_services_with_bounds_are_scaled(self) -> None:
        scaling = {
            "min": 1,
            "max": 15,
            "bootS": 4.0,
            "spotPrice": 0.2,
            "zonePrices": {"a": 1.0, "b": 0.8},
        }
        services = [{"name": "engines", "scaling": scaling}, {"name": "lookups"}]
        found = parse_configuration(json.dumps({"ver": 1, "routes": [], "svcs": services}).encode())
        self.assertEqual(
            found.scaling,
            (
                ServiceScaling(
                    service="engines",
                    minimum=1,
                    maximum=15,
                    boot_seconds=4.0,
                    zone_prices={"a": 1.0, "b": 0.8},
                ),
            ),
        )


if __name__ == "__main__":
    unittest.main()
