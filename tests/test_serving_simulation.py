"""Serving nodes under random faults, drawn from seeds, on virtual time; read histories are checked.

Trainers submit batch jobs on any node, read them from others and end some of them, while nodes
crash and restart, lose connections to peers or the store, the store fails or loses answers, and
workers fail. Results that were read must never change, and every accepted batch job that was not
ended must complete after the faults.
"""

import asyncio
import random
import unittest

from drumbay.batches.exceptions import (
    BatchEndedError,
    BatchNotFoundError,
    BatchUnavailableError,
)
from drumbay.batches.records import BatchId, ItemResult, ResultState
from drumbay.exceptions import RequestFailedError
from drumbay.identifiers import WeightVersion
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.standins.worker_log import WorkerFaults
from tests.serving_world import ServingWorld, WorldNode, batch_spec, reward_id, run_in_world

SEEDS = range(1, 41)
FAULTY_SECONDS = 40.0
RECOVERY_SECONDS = 40.0
NODES = 4
STORE_FAULTS = (
    KeyValueFaults(outage=True),
    KeyValueFaults(lost_answer_probability=0.5),
    KeyValueFaults(request_delay_seconds=0.3),
    KeyValueFaults(watches_stalled=True),
    KeyValueFaults(lost_request_probability=0.4),
)


class Reader:
    """The results read of one batch job, which must never change."""

    def __init__(self, batch_id: BatchId) -> None:
        self.batch_id = batch_id
        self.read: list[ItemResult] = []
        self.violations: list[str] = []
        self.total: int | None = None

    def take(self, position: int, results: tuple[ItemResult, ...], total: int) -> None:
        if self.total not in (None, total):
            self.violations.append(f"{self.batch_id}: total {self.total} became {total}")
        self.total = total
        for offset, result in enumerate(results):
            at = position + offset
            if at < len(self.read) and self.read[at] != result:
                self.violations.append(f"{self.batch_id}: position {at} changed")
            if at == len(self.read):
                self.read.append(result)


class FaultSimulation:
    """One simulation run: faults and clients drawn from one seed."""

    def __init__(self, world: ServingWorld, seed: int) -> None:
        self.world = world
        self.generator = random.Random(seed)
        self.readers: dict[BatchId, Reader] = {}
        self.ended: set[BatchId] = set()
        self.boots = 0
        self.nodes: list[WorldNode | None] = list(world.nodes)

    def random_node(self) -> WorldNode:
        return self.generator.choice([node for node in self.nodes if node is not None])

    async def submit(self, number: int) -> None:
        spec = batch_spec(
            f"batch-{number}", groups=3, queue_limit_seconds=400.0, scored=number % 2 == 1
        )
        try:
            await self.random_node().batches.submit(spec)
        except RequestFailedError:
            return
        except asyncio.CancelledError:
            return
        self.readers[spec.batch_id] = Reader(spec.batch_id)

    async def read(self, reader: Reader) -> None:
        position = self.generator.choice((0, len(reader.read)))
        try:
            page = await self.random_node().batches.read(reader.batch_id, position, 0.3)
        except (BatchUnavailableError, asyncio.CancelledError):
            return
        except BatchNotFoundError:
            reader.violations.append(f"{reader.batch_id}: accepted but not found")
            return
        reader.take(position, page.results, page.total)

    async def end(self, reader: Reader) -> None:
        try:
            await self.random_node().batches.end(reader.batch_id)
        except (BatchUnavailableError, BatchEndedError):
            return
        self.ended.add(reader.batch_id)

    async def run_clients(self, until: float, *, submitting: bool) -> None:
        number = 0
        while self.world.clock.monotonic() < until:
            if submitting and number < 12 and self.generator.random() < 0.1:
                number += 1
                await self.submit(number)
            for reader in list(self.readers.values()):
                if self.generator.random() < 0.5:
                    await self.read(reader)
                if len(reader.read) > 6 and self.generator.random() < 0.02:
                    await self.end(reader)
            await asyncio.sleep(0.3)

    async def run_faults(self, until: float) -> None:
        while self.world.clock.monotonic() < until:
            await asyncio.sleep(self.generator.uniform(0.5, 4.0))
            fault = self.generator.choice(
                (
                    self.kill_node,
                    self.disconnect_node,
                    self.fault_store,
                    self.fault_worker,
                    self.announce_version,
                )
            )
            await fault()

    async def kill_node(self) -> None:
        alive = [at for at, node in enumerate(self.nodes) if node is not None]
        if len(alive) < 2:
            return
        at = self.generator.choice(alive)
        node = self.nodes[at]
        assert node is not None
        self.nodes[at] = None
        await node.kill()
        await asyncio.sleep(self.generator.uniform(0.1, 3.0))
        self.restart(at)

    def restart(self, at: int) -> None:
        self.boots += 1
        node = WorldNode(self.world, at + 1, self.boots)
        node.lead()
        self.nodes[at] = node

    async def disconnect_node(self) -> None:
        node = self.random_node()
        from_store = self.generator.random() < 0.5
        if from_store:
            node.store.reachable = False
        else:
            self.world.peers.cut.add(node.address)
        await asyncio.sleep(self.generator.uniform(0.5, 6.0))
        node.store.reachable = node in self.nodes
        self.world.peers.cut.discard(node.address)

    async def fault_store(self) -> None:
        self.world.model.set_faults(self.generator.choice(STORE_FAULTS))
        await asyncio.sleep(self.generator.uniform(0.5, 5.0))
        self.world.model.set_faults(KeyValueFaults())

    async def fault_worker(self) -> None:
        kind = self.generator.choice(("worker", "scorer"))
        worker = self.world.workers[f"{kind}-{self.generator.randint(1, 3)}"]
        worker.faults = self.generator.choice(
            (
                WorkerFaults(unreachable=True),
                WorkerFaults(slowdown=6.0),
                WorkerFaults(break_after_events=2),
                WorkerFaults(full=True),
                WorkerFaults(lose_responses=True),
            )
        )
        await asyncio.sleep(self.generator.uniform(0.5, 5.0))
        worker.faults = WorkerFaults()

    async def announce_version(self) -> None:
        for node in self.nodes:
            if node is not None:
                node.announced.announce("m", WeightVersion(node.announced.newest_of("m") + 1))

    async def run(self) -> list[str]:
        """Run the simulation and return all violations."""
        for node in self.world.nodes:
            node.lead()
        await asyncio.sleep(5.0)
        until = self.world.clock.monotonic() + FAULTY_SECONDS
        await asyncio.gather(self.run_clients(until, submitting=True), self.run_faults(until))
        self.world.model.set_faults(KeyValueFaults())
        self.world.peers.cut.clear()
        for at, current in enumerate(self.nodes):
            if current is None:
                self.restart(at)
            else:
                current.store.reachable = True
        until = self.world.clock.monotonic() + RECOVERY_SECONDS
        await self.run_clients(until, submitting=False)
        for reader in self.readers.values():
            await self.read(reader)
            self.check_complete(reader)
        return [text for reader in self.readers.values() for text in reader.violations]

    def check_complete(self, reader: Reader) -> None:
        names = [result.item_id for result in reader.read]
        if len(set(names)) != len(names):
            reader.violations.append(f"{reader.batch_id}: an item is listed twice")
        for result in reader.read:
            if result.state is not ResultState.DONE:
                reader.violations.append(f"{result.item_id}: given up")
            elif result.text != self.world.workers.text(result.item_id):
                reader.violations.append(f"{result.item_id}: text is incomplete")
            elif not result.versions:
                reader.violations.append(f"{result.item_id}: lists no version")
            else:
                self.check_score(reader, result)
        if reader.batch_id not in self.ended and len(names) != reader.total:
            reader.violations.append(f"{reader.batch_id}: {len(names)} of {reader.total} listed")

    def check_score(self, reader: Reader, result: ItemResult) -> None:
        """Record a violation unless the score comes from a request after the complete text."""
        number = int(reader.batch_id.removeprefix("batch-"))
        if number % 2 == 0:
            if result.reward is not None:
                reader.violations.append(f"{result.item_id}: a score without a reward request")
            return
        stamp = result.reward.stamp if result.reward is not None else None
        calls = self.world.workers.runs_of(reward_id(result.item_id))
        call = next((call for call in calls if call.stamp == stamp), None)
        if call is None:
            reader.violations.append(f"{result.item_id}: score {stamp} of no reward request")
            return
        whole = self.world.workers.first_completed_at(result.item_id)
        if whole is None or call.started_at < whole:
            reader.violations.append(f"{result.item_id}: scored before its text was complete")


class SeedTest(unittest.TestCase):
    def test_histories_hold_over_seeds(self) -> None:
        for seed in SEEDS:

            async def scenario(world: ServingWorld, seed: int = seed) -> list[str]:
                run = FaultSimulation(world, seed)
                violations = await run.run()
                self.assertGreater(len(run.readers), 0)
                return violations

            with self.subTest(seed=seed):
                self.assertEqual(run_in_world(scenario, node_count=NODES, scorer_count=3), [])


if __name__ == "__main__":
    unittest.main()
