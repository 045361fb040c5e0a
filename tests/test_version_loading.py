"""Weight version loading: planning, leader failover, and load orders that execute late."""

import asyncio
import unittest

from drumbay.identifiers import WeightVersion
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.worker_pool import EmulatedWorkerPool
from drumbay.weights.version_planner import LoadPolicy, VersionPlanner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import OrderOutcome
from tests.serving_world import ServingWorld, WorldNode, run_in_world

LEASE_SECONDS = 3.0


class PlannerTest(unittest.TestCase):
    def make_directory(self, **versions: int) -> WorkerDirectory:
        pool = EmulatedWorkerPool(SimulationClock())
        for name, version in versions.items():
            models = {"m": WeightVersion(version), "n": WeightVersion(version)}
            pool.add(name, "engines", models)
        directory = WorkerDirectory()
        directory.replace_all(pool.entries())
        return directory

    def plan_loads(
        self, directory: WorkerDirectory, **announced: int
    ) -> list[tuple[str, str, int]]:
        planner = VersionPlanner(LoadPolicy(min_concurrent_loads=10))
        versions = {model: WeightVersion(version) for model, version in announced.items()}
        loads = planner.plan(versions, directory.all_records().values(), 0.0)
        return [(load.worker_id, load.model, load.version) for load in loads]

    def test_half_of_the_workers_load_each_new_version(self) -> None:
        directory = self.make_directory(a=1, b=1, c=1, d=1)
        self.assertEqual(len(self.plan_loads(directory, m=2)), 2)
        self.assertEqual(len(self.plan_loads(directory, m=2, n=1)), 2)

    def test_latest_version_is_loaded_everywhere_after_a_delay(self) -> None:
        directory = self.make_directory(a=2, b=2, c=1, d=1)
        planner = VersionPlanner(LoadPolicy(min_concurrent_loads=10))
        announced = {"m": WeightVersion(2)}
        records = list(directory.all_records().values())
        self.assertEqual(planner.plan(announced, records, 0.0), ())
        self.assertEqual(planner.plan(announced, records, 14.9), ())
        self.assertEqual(len(planner.plan(announced, records, 15.0)), 2)

    def test_workers_without_usable_versions_load_first(self) -> None:
        directory = self.make_directory(a=2, b=2, c=1, d=1)
        loads = self.plan_loads(directory, m=3, n=1)
        self.assertEqual(loads, [("c", "m", 3), ("d", "m", 3)])

    def test_no_model_waits_until_the_others_have_loaded(self) -> None:
        """Three models were announced at once: the last by name had no load for seconds."""
        directory = self.make_directory(**{f"worker{number}": 1 for number in range(10)})
        for record in directory.all_records().values():
            record.versions["o"] = WeightVersion(1)
        planner = VersionPlanner(LoadPolicy())
        announced = {model: WeightVersion(2) for model in "mno"}
        records = list(directory.all_records().values())
        first = planner.plan(announced, records, 0.0)
        self.assertEqual(sorted(load.model for load in first), ["m", "m", "n", "o"])

    def test_model_without_a_usable_worker_goes_before_a_model_with_some(self) -> None:
        """Workers two versions behind are more urgent only within their model."""
        directory = self.make_directory(a=3, b=3, c=1, d=1, e=1)
        for record in directory.all_records().values():
            record.versions["n"] = WeightVersion(1)
        planner = VersionPlanner(LoadPolicy())
        announced = {"m": WeightVersion(3), "n": WeightVersion(2)}
        records = list(directory.all_records().values())
        loads = planner.plan(announced, records, 0.0)
        self.assertEqual([load.model for load in loads], ["n", "n"])
        for load in loads:
            planner.record_load_started(load.worker_id, load.model)
        self.assertEqual(planner.plan(announced, records, 0.1), ())

    def test_concurrent_loads_are_limited(self) -> None:
        directory = self.make_directory(a=1, b=1, c=1, d=1)
        planner = VersionPlanner(LoadPolicy())
        announced = {"m": WeightVersion(2)}
        records = list(directory.all_records().values())
        first = planner.plan(announced, records, 0.0)
        self.assertEqual(len(first), 2)
        for load in first:
            planner.record_load_started(load.worker_id, load.model)
        self.assertEqual(planner.plan(announced, records, 0.1), ())

    def test_concurrent_load_limit_grows_with_the_worker_count(self) -> None:
        for worker_count, expected_loads in ((3, 2), (6, 2), (23, 9), (24, 10)):
            directory = self.make_directory(**{f"w{number}": 1 for number in range(worker_count)})
            planner = VersionPlanner(LoadPolicy(full_rollout_after_seconds=0.0))
            records = list(directory.all_records().values())
            announced = {"m": WeightVersion(2), "n": WeightVersion(2)}
            self.assertEqual(len(planner.plan(announced, records, 0.0)), expected_loads)


class LeaderTest(unittest.TestCase):
    def test_single_leader_loads_every_announced_version(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(1.0)
            for version in (2, 3, 4):
                for node in world.nodes:
                    node.announced.announce("m", WeightVersion(version))
                await asyncio.sleep(4.0)
                versions = [entry.versions["m"] for entry in world.workers.entries()]
                self.assertEqual(max(versions), version)
                self.assertGreaterEqual(min(versions), version - 1)
            await asyncio.sleep(33.0 - 4.0)
            for entry in world.workers.entries():
                self.assertEqual(entry.versions["m"], 4)
            self.assertEqual(len({logged.order.holder for logged in world.workers.orders}), 1)

        run_in_world(scenario, node_count=3)

    def test_successor_waits_for_the_lease_to_expire(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(1.0)
            for node in world.nodes:
                node.announced.announce("m", WeightVersion(2))
            await asyncio.sleep(0.5)
            leader = next(
                node
                for node in world.nodes
                if node.leader.fence(world.clock.monotonic()) is not None
            )
            await leader.kill()
            for node in world.nodes:
                node.announced.announce("m", WeightVersion(3))
            await asyncio.sleep(33.0)
            orders = world.workers.orders
            holders = [logged.order.holder for logged in orders]
            first_by_successor = next(i for i, holder in enumerate(holders) if holder != holders[0])
            self.assertGreaterEqual(
                orders[first_by_successor].at - orders[first_by_successor - 1].at, LEASE_SECONDS
            )
            self.assertGreater(
                orders[first_by_successor].order.fence, orders[first_by_successor - 1].order.fence
            )
            for entry in world.workers.entries():
                self.assertEqual(entry.versions["m"], 3)

        run_in_world(scenario, node_count=3)

    def test_with_fence_checks_successor_waits_only_for_recently_ordered_workers(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(1.0)
            for node in world.nodes:
                node.announced.announce("m", WeightVersion(2))
            await asyncio.sleep(0.5)
            now = world.clock.monotonic()
            leader = next(n for n in world.nodes if n.leader.fence(now) is not None)
            ordered_at = {logged.worker_id: logged.at for logged in world.workers.orders}
            self.assertEqual(len(ordered_at), 2)
            await leader.kill()
            for node in world.nodes:
                node.announced.announce("m", WeightVersion(3))
            await asyncio.sleep(10.0)
            successor_orders = [
                o for o in world.workers.orders if o.order.holder != str(leader.address)
            ]
            first_order_at: dict[str, float] = {}
            for logged in successor_orders:
                first_order_at.setdefault(logged.worker_id, logged.at)
            for worker_id, at in ordered_at.items():
                self.assertGreaterEqual(first_order_at.get(worker_id, at + 9.0) - at, LEASE_SECONDS)
            first_at_other_workers = [
                at for worker_id, at in first_order_at.items() if worker_id not in ordered_at
            ]
            self.assertLess(min(first_at_other_workers) - now, 2.8)

        run_in_world(scenario, node_count=3, worker_count=6, workers_check_fences=True)

    def test_successor_of_a_resigned_leader_waits_for_the_lease(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(1.0)
            for node in world.nodes:
                node.announced.announce("m", WeightVersion(2))
            await asyncio.sleep(0.5)
            now = world.clock.monotonic()
            leader = next(node for node in world.nodes if node.leader.fence(now) is not None)
            await leader.leader.resign()
            for node in world.nodes:
                node.announced.announce("m", WeightVersion(3))
            await leader.kill()
            await asyncio.sleep(33.0)
            orders = world.workers.orders
            holders = [logged.order.holder for logged in orders]
            first_by_successor = next(i for i, holder in enumerate(holders) if holder != holders[0])
            self.assertGreaterEqual(
                orders[first_by_successor].at - orders[first_by_successor - 1].at, LEASE_SECONDS
            )

        run_in_world(scenario, node_count=3)

    def test_restarted_leader_resumes_immediately_with_a_newer_fence(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.nodes[0].lead()
            await asyncio.sleep(1.0)
            before = world.nodes[0].leader.fence(world.clock.monotonic())
            await world.nodes[0].kill()
            restarted = WorldNode(world, 1, 1)
            restarted.lead()
            await asyncio.sleep(0.2)
            after = restarted.leader.fence(world.clock.monotonic())
            assert before is not None and after is not None
            self.assertGreater(after, before)

        run_in_world(scenario, node_count=1)

    def test_leader_gives_no_orders_after_its_lease_expired_in_an_outage(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.nodes[0].lead()
            await asyncio.sleep(1.0)
            world.model.set_faults(KeyValueFaults(outage=True))
            await asyncio.sleep(LEASE_SECONDS)
            world.nodes[0].announced.announce("m", WeightVersion(2))
            await asyncio.sleep(5.0)
            self.assertEqual(world.workers.orders, [])
            world.model.set_faults(KeyValueFaults())
            await asyncio.sleep(25.0)
            self.assertEqual(len(world.workers.orders), 3)

        run_in_world(scenario, node_count=1)


class LateOrderTest(unittest.TestCase):
    def test_late_order_does_not_restore_an_old_version(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.nodes[0].lead()
            await asyncio.sleep(1.0)
            late_worker = world.workers["worker-1"]
            late_worker.faults.orders_unanswered = True
            late_worker.faults.orders_late_seconds = 5.0
            world.nodes[0].announced.announce("m", WeightVersion(2))
            await asyncio.sleep(1.0)
            late_worker.faults.orders_unanswered = False
            world.nodes[0].announced.announce("m", WeightVersion(3))
            await asyncio.sleep(33.0)
            self.assertEqual(late_worker.versions["m"], 3)
            outcomes = [o.outcome for o in world.workers.orders if o.worker_id == "worker-1"]
            self.assertIn(OrderOutcome.CONFLICT, outcomes)

        run_in_world(scenario, node_count=1)


if __name__ == "__main__":
    unittest.main()
