"""A burst at a node without starts at cold workers, while the parts of other nodes lie unused."""

import asyncio
import random
import unittest
from collections import Counter

from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.records import ForwardingError
from drumbay.identifiers import BackendId
from drumbay.placement.cold_workers import ColdWorkers
from drumbay.placement.start_limits import LOAN_SECONDS, Senders, StartLimits, budget_of
from drumbay.placement.warm_up import WarmUp, WarmUpTolerance
from drumbay.workers.records import Worker, WorkerState
from drumbay.workers.worker_record import WorkerChange
from tests.test_forwarding import LOOKUPS, request, route
from tests.test_warm_up_sends import COLD_SECONDS, LIMIT, ZONE, WarmUpWorld, run_warm_up

NODE_COUNT = 24
BURST_CALLS = 8
BURST_COUNT = 5
BURST_INTERVAL_SECONDS = 0.8
LEAVE_INTERVAL_SECONDS = 1.3
WARM_UP = WarmUp(service=LOOKUPS, seconds=60.0, requests_per_second=12.0)
TOLERANCE = WarmUpTolerance(factor=1.5, extra_requests=5.0)


class FixedSenders:
    """The same nodes for all services."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self._senders = Senders(nodes=names)

    def senders(self, service: str, now: float) -> Senders:
        return self._senders


class LentStartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.worker = Worker(
            worker_id=BackendId("w1"),
            service=LOOKUPS,
            address=NetworkAddress("10.0.1.1", 8000),
            zone=ZONE,
            slots=4,
            versions={},
            state=WorkerState.READY,
        )
        self.names = tuple(f"node-{number}" for number in range(6))
        self.nodes = [self.limits(name) for name in self.names]

    def limits(self, name: str) -> StartLimits:
        cold = ColdWorkers()
        cold.handle_entry(self.worker, WorkerChange.STARTED, 0.0)
        return StartLimits(
            name,
            lambda: {LOOKUPS: WARM_UP},
            TOLERANCE,
            cold,
            FixedSenders(self.names),
            -10.0,
        )

    def test_all_starts_stay_within_the_budget_whoever_lends_to_whom(self) -> None:
        budget = budget_of(WARM_UP, TOLERANCE, is_cold=True)
        generator = random.Random(1)
        starts: list[float] = []
        loans = 0
        now = 2.0
        while now < 30.0:
            now += generator.expovariate(60.0)
            borrower, lender = generator.sample(self.nodes, 2)
            lent = lender.lend(self.worker, generator.randrange(3), now)
            borrower.borrow(self.worker.worker_id, lent, now - generator.random() * 0.1)
            loans += lent
            sender = generator.choice(self.nodes)
            if sender.remaining_starts(self.worker, now) >= 1:
                sender.record_start(self.worker, now)
                starts.append(now)
        most = max(sum(start <= at < start + 1.0 for at in starts) for start in starts)
        self.assertLessEqual(most, budget)
        self.assertGreater(loans, 50)
        self.assertGreater(len(starts), 100)

    def test_a_loan_ends(self) -> None:
        borrower = self.nodes[0]
        before = borrower.remaining_starts(self.worker, 2.0)
        borrower.borrow(self.worker.worker_id, 2, 2.0)
        self.assertEqual(borrower.remaining_starts(self.worker, 2.1), before + 2)
        self.assertEqual(borrower.remaining_starts(self.worker, 2.0 + LOAN_SECONDS), before)


class BurstTest(unittest.TestCase):
    def test_a_burst_at_one_of_many_nodes_is_served_by_cold_workers(self) -> None:
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(NODE_COUNT)
            world.set_evacuated((ZONE,))
            await asyncio.sleep(1.0)
            world.set_evacuated(())
            outcomes: Counter[str] = Counter()

            async def send(name: str) -> None:
                node = world.nodes[0].node
                try:
                    await node.forwarder.forward(route(), request(name))
                    outcomes["served"] += 1
                except ForwardingError as error:
                    outcomes[error.code] += 1

            async with asyncio.TaskGroup() as tasks:
                for burst in range(BURST_COUNT):
                    for number in range(BURST_CALLS):
                        tasks.create_task(send(f"burst-{burst}-{number}"))
                    await asyncio.sleep(BURST_INTERVAL_SECONDS)
            self.assertGreater(COLD_SECONDS, BURST_COUNT * BURST_INTERVAL_SECONDS)
            self.assertEqual(outcomes, {"served": BURST_COUNT * BURST_CALLS})
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario)

    def test_nodes_that_leave_one_after_the_other_stay_within_the_limit(self) -> None:
        # Each one that has left is no longer counted by those after it, but goes on serving.
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(4)
            async with asyncio.TaskGroup() as tasks:
                for node in world.nodes[:3]:
                    tasks.create_task(node.node.leave())
                    await asyncio.sleep(LEAVE_INTERVAL_SECONDS)
                world.set_evacuated((ZONE,))
                world.set_evacuated(())
                outcomes = await world.all_lookups()
            self.assertGreater(outcomes["served"], LIMIT)
            self.assertLessEqual(world.workers.peak(), LIMIT)

        run_warm_up(scenario, worker_count=1)

    def test_a_node_lends_nothing_that_its_own_requests_need(self) -> None:
        async def scenario(world: WarmUpWorld) -> None:
            await world.start_nodes(NODE_COUNT)
            world.set_evacuated((ZONE,))
            await asyncio.sleep(1.0)
            world.set_evacuated(())
            await world.all_lookups()
            self.assertLessEqual(world.workers.peak(), LIMIT)
            self.assertGreater(len(world.workers.received), 0)

        run_warm_up(scenario)


if __name__ == "__main__":
    unittest.main()
