"""Weight rollout planner under random sequences of events."""

import math
import random
import unittest

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import BackendId, BootId, Fence, WeightVersion
from drumbay.weights.events import (
    EnginesChanged,
    IssueLoadOrder,
    OrderFailed,
    OrderSucceeded,
    OwnershipChanged,
    PolicyChanged,
    StatusReported,
    StatusRequestFailed,
    Tick,
    VersionPublished,
    WeightRolloutDecision,
    WeightRolloutEvent,
    WeightRolloutPolicy,
    Withdrawal,
)
from drumbay.weights.fences import (
    SEQUENCE_BITS,
    OrderSequenceExhaustedError,
    lease_fence,
    order_fence,
)
from drumbay.weights.planner import WeightRolloutPlanner
from drumbay.weights.target import target_version

ENGINES = tuple(BackendId(f"engine-{index}") for index in range(8))
MIN_SERVING_SHARE = 0.7
MIN_SERVING = math.ceil(MIN_SERVING_SHARE * len(ENGINES))


def status(engine: BackendId, version: int, fence: int = 0) -> EngineStatus:
    return EngineStatus(
        backend_id=engine,
        boot_id=BootId("boot"),
        model="modelos",
        weight_version=WeightVersion(version),
        highest_fence=Fence(fence),
        running=0,
        waiting=0,
    )


class RandomEventDriver:
    """Feeds a planner with random events of engines that execute or fail its orders."""

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.planner = WeightRolloutPlanner(
            WeightRolloutPolicy(min_serving_share=MIN_SERVING_SHARE)
        )
        self.versions = dict.fromkeys(ENGINES, 1)
        self.pending: dict[BackendId, IssueLoadOrder] = {}
        self.orders: list[IssueLoadOrder] = []
        self.now = 0.0
        self.published = 1
        self.withdrawals: tuple[Withdrawal, ...] = ()
        self.fence = 1
        self.send(EnginesChanged(engines=ENGINES))
        self.send(OwnershipChanged(lease_fence=Fence(1)))
        for engine in ENGINES:
            self.send(StatusReported(status=status(engine, 1)))

    def send(self, event: WeightRolloutEvent) -> tuple[WeightRolloutDecision, ...]:
        decisions = self.planner.handle(event, self.now)
        for decision in decisions:
            if isinstance(decision, IssueLoadOrder):
                self.pending[decision.engine] = decision
                self.orders.append(decision)
        return decisions

    def step(self) -> None:
        self.now += self.generator.uniform(0.1, 2.0)
        random_value = self.generator.random()
        engine = self.generator.choice(ENGINES)
        if random_value < 0.05:
            self.published += 1
            self.send(VersionPublished(version=WeightVersion(self.published)))
        elif random_value < 0.07 and self.published > 1:
            through = WeightVersion(self.published)
            keep = WeightVersion(self.published - 1)
            self.withdrawals = (*self.withdrawals, Withdrawal(keep=keep, through=through))
            self.send(self.policy_changed())
        elif random_value < 0.10:
            self.fence += 1
            self.pending.clear()
            self.send(OwnershipChanged(lease_fence=Fence(self.fence)))
        elif random_value < 0.12:
            self.interrupt_ownership()
        elif random_value < 0.17:
            self.send(StatusRequestFailed(engine=engine))
        elif random_value < 0.5 and engine in self.pending:
            self.finish_order(self.pending.pop(engine))
        else:
            self.report(engine)
            self.send(Tick())

    def interrupt_ownership(self) -> None:
        """Lose the lease and regain it later under the same fence."""
        self.send(OwnershipChanged(lease_fence=None))
        self.now += self.generator.uniform(0.0, 20.0)
        self.send(OwnershipChanged(lease_fence=Fence(self.fence)))

    def policy_changed(self) -> PolicyChanged:
        policy = WeightRolloutPolicy(min_serving_share=MIN_SERVING_SHARE)
        return PolicyChanged(policy=policy, withdrawals=self.withdrawals)

    def finish_order(self, order: IssueLoadOrder) -> None:
        if self.generator.random() < 0.3:
            failed = OrderFailed(engine=order.engine, fence=order.fence, reason="backend")
            self.send(failed)
            return
        self.versions[order.engine] = order.version
        report = status(order.engine, order.version, order.fence)
        self.send(OrderSucceeded(engine=order.engine, fence=order.fence, status=report))

    def report(self, engine: BackendId) -> None:
        self.send(StatusReported(status=status(engine, self.versions[engine])))


class PlannerTest(unittest.TestCase):
    def test_capacity_fences_and_target_under_random_events(self) -> None:
        for seed in range(200):
            driver = RandomEventDriver(seed)
            for _ in range(150):
                before = len(driver.orders)
                driver.step()
                self.assertLessEqual(len(driver.planner.busy_engines()), len(ENGINES) - MIN_SERVING)
                for order in driver.orders[before:]:
                    self.assertEqual(order.version, self.expected_target(driver))
            fences = [order.fence for order in driver.orders]
            self.assertEqual(fences, sorted(set(fences)))

    def test_all_engines_reach_the_target_once_failures_stop(self) -> None:
        for seed in range(50):
            driver = RandomEventDriver(seed)
            for _ in range(150):
                driver.step()
            for _ in range(200):
                driver.now += 1.0
                for engine in ENGINES:
                    order = driver.pending.pop(engine, None)
                    if order is not None:
                        driver.versions[engine] = order.version
                        report = status(engine, order.version, order.fence)
                        driver.send(OrderSucceeded(engine=engine, fence=order.fence, status=report))
                    driver.report(engine)
                driver.send(Tick())
            self.assertEqual(set(driver.versions.values()), {self.expected_target(driver)}, seed)

    def expected_target(self, driver: RandomEventDriver) -> WeightVersion | None:
        published = [WeightVersion(version) for version in range(1, driver.published + 1)]
        return target_version(published, driver.withdrawals)

    def test_stale_fence_revokes_ownership(self) -> None:
        driver = RandomEventDriver(1)
        driver.send(VersionPublished(version=WeightVersion(2)))
        order = driver.orders[0]
        failed = OrderFailed(
            engine=order.engine, fence=order.fence, reason="stale_fence", stale_fence=True
        )
        driver.send(failed)
        count = len(driver.orders)
        driver.send(OwnershipChanged(lease_fence=Fence(1)))
        driver.send(Tick())
        self.assertEqual(len(driver.orders), count)

    def test_resumed_lease_keeps_its_orders_and_sequence_numbers(self) -> None:
        driver = RandomEventDriver(1)
        driver.send(VersionPublished(version=WeightVersion(2)))
        issued = list(driver.orders)
        driver.send(OwnershipChanged(lease_fence=None))
        driver.now += 5.0
        driver.send(OwnershipChanged(lease_fence=Fence(1)))
        for engine in ENGINES:
            driver.report(engine)
        self.assertEqual(driver.planner.busy_engines(), tuple(order.engine for order in issued))
        driver.send(VersionPublished(version=WeightVersion(3)))
        superseding = driver.orders[len(issued) :]
        self.assertEqual(len(superseding), len(issued))
        newest = max(order.fence for order in issued)
        self.assertTrue(all(order.fence > newest for order in superseding))

    def test_report_with_the_fence_and_version_of_an_order_completes_it(self) -> None:
        driver = RandomEventDriver(1)
        driver.send(VersionPublished(version=WeightVersion(2)))
        order = driver.orders[0]
        driver.send(StatusReported(status=status(order.engine, 1, order.fence)))
        self.assertIn(order.engine, driver.planner.busy_engines())
        driver.send(StatusReported(status=status(order.engine, 2, order.fence)))
        self.assertNotIn(order.engine, driver.planner.busy_engines())

    def test_small_group_updates_one_engine_at_a_time_unless_all_must_serve(self) -> None:
        for share, expected in ((0.9, 1), (1.0, 0)):
            planner = WeightRolloutPlanner(WeightRolloutPolicy(min_serving_share=share))
            planner.handle(EnginesChanged(engines=ENGINES[:2]), 0.0)
            planner.handle(OwnershipChanged(lease_fence=Fence(1)), 0.0)
            for engine in ENGINES[:2]:
                planner.handle(StatusReported(status=status(engine, 1)), 0.0)
            planner.handle(VersionPublished(version=WeightVersion(2)), 0.0)
            self.assertEqual(len(planner.busy_engines()), expected)

    def test_engines_out_of_service_load_without_being_capacity(self) -> None:
        """Counted as capacity, they would let all engines that serve load at once."""
        planner = WeightRolloutPlanner(WeightRolloutPolicy(min_serving_share=0.5))
        engines = EnginesChanged(engines=ENGINES, out_of_service=frozenset(ENGINES[:4]))
        planner.handle(engines, 0.0)
        planner.handle(OwnershipChanged(lease_fence=Fence(1)), 0.0)
        for engine in ENGINES:
            planner.handle(StatusReported(status=status(engine, 1)), 0.0)
        orders = [
            decision
            for decision in planner.handle(VersionPublished(version=WeightVersion(2)), 0.0)
            if isinstance(decision, IssueLoadOrder)
        ]
        ordered = {order.engine for order in orders}
        self.assertLessEqual(set(ENGINES[:4]), ordered)
        self.assertEqual(len(ordered & set(ENGINES[4:])), 2)
        for order in orders:
            report = status(order.engine, 2, order.fence)
            planner.handle(OrderSucceeded(engine=order.engine, fence=order.fence, status=report), 1)
        last = set(planner.busy_engines())
        self.assertEqual(last, set(ENGINES[4:]) - ordered)

    def test_fences_of_orders(self) -> None:
        self.assertEqual(lease_fence(order_fence(Fence(7), 3)), 7)
        self.assertGreater(order_fence(Fence(8), 0), order_fence(Fence(7), 5))
        with self.assertRaises(OrderSequenceExhaustedError):
            order_fence(Fence(7), 1 << SEQUENCE_BITS)


if __name__ == "__main__":
    unittest.main()
