"""Tests of claims under random fault schedules, with callers that retry at other nodes."""

import asyncio
import unittest
from random import Random

from loguru import logger

from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed, ClaimFailure
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.virtual_time import run_simulation
from tests.claims_world import Call, Implementations, Settings, World
from tests.test_claims_scenarios import ReleaseAfterBrokenExchange, SingleVoteQuorum

SEEDS = range(20)
FAULTY_SECONDS = 20.0
HEALED_SECONDS = 60.0
KEYS = 16
BACKEND_RESULTS = ("ok", "ok", "ok", "broken", "late", "not_reached", "refused")
NON_BLOCKING_FAILURES = (
    ClaimFailure.NOT_RUN,
    ClaimFailure.BACKEND_NOT_RUN,
    ClaimFailure.IN_PROGRESS,
    ClaimFailure.UNRESOLVED,
)


class Schedule:
    """One seeded run: concurrent faults and callers, then a healthy cluster."""

    def __init__(self, seed: int, implementations: Implementations | None = None) -> None:
        self.implementations = implementations
        self.settings = Settings(seed=seed, disk_nodes=5, commit_seconds=0.003)
        self.random = Random(f"schedule {seed}")
        self.cuts: list[tuple[str, str]] = []
        self.max_pause_seconds = self.random.choice((1.0, 3.0, 6.0))

    async def run(self) -> list[str]:
        self.world = World(self.implementations, self.settings)
        await self.world.start_all()
        self.world.network.latency = LatencyModel(
            loss_probability=0.02, reorder_probability=0.1, reorder_delay_seconds=0.8
        )
        callers = [self.call_repeatedly(f"key-{index}") for index in range(KEYS)]
        await asyncio.gather(self.inject_faults(), *callers)
        await self.heal()
        blocked = await self.blocked_keys()
        await self.world.clock.sleep(5.0)
        return self.world.violations() + blocked

    def names(self) -> list[str]:
        return list(self.world.hosts)

    async def call_repeatedly(self, key: str) -> None:
        """Call random nodes with one key, sometimes two of them concurrently."""
        await self.world.clock.sleep(self.random.uniform(0.0, FAULTY_SECONDS))
        for _ in range(4):
            calls = [self.call(key) for _ in range(self.random.choice((1, 1, 2)))]
            outcomes = await asyncio.gather(*calls)
            if any(isinstance(outcome, ClaimAnswered) for outcome in outcomes):
                return
            await self.world.clock.sleep(self.random.uniform(0.0, 2.0))

    async def call(self, key: str) -> object:
        return await self.world.call(
            self.random.choice(self.names()),
            key,
            self.random.choice(BACKEND_RESULTS),
            delay=self.random.choice((0.001, 0.05, 1.0)),
            patience=self.random.choice((0.3, 3.0)),
        )

    async def inject_faults(self) -> None:
        end = self.world.clock.monotonic() + FAULTY_SECONDS
        while self.world.clock.monotonic() < end:
            pause_seconds = self.random.uniform(0.0, self.max_pause_seconds)
            await self.world.clock.sleep(pause_seconds)
            faults = (self.stop, self.stop, self.freeze, self.partition, self.change_members)
            await self.random.choice(faults)()

    async def stop(self) -> None:
        """Kill a node, or restart it, sometimes with an empty disk."""
        name = self.random.choice(self.names())
        if self.world.hosts[name].running:
            await self.world.kill(name)
        else:
            has_disk = name in self.world.disks
            await self.world.restart(name, lose_disk=has_disk and self.random.random() < 0.3)

    async def freeze(self) -> None:
        name = self.random.choice(self.names())
        host = self.world.hosts[name]
        if not host.running:
            return
        process = host.process
        process.freeze()
        delay = self.random.uniform(0.0, 6.0)
        asyncio.get_running_loop().call_later(delay, process.resume)

    async def partition(self) -> None:
        if len(self.cuts) > 2:
            self.world.heal(*self.cuts.pop(0))
            return
        first, second = self.random.sample(self.names(), 2)
        self.world.cut(first, second)
        self.cuts.append((first, second))

    async def change_members(self) -> None:
        """Start a change to three random stores, as a coordinator would."""
        current = self.world.replica_set()
        running = [name for name in self.world.disks if self.world.hosts[name].running]
        if current is None or not current.is_active or len(running) < 3:
            return
        target = self.world.members(self.random.sample(running, 3))
        self.world.request_change(current, target)

    async def heal(self) -> None:
        for cut in self.cuts:
            self.world.heal(*cut)
        self.world.network.latency = LatencyModel()
        for name in self.names():
            if not self.world.hosts[name].running:
                await self.world.restart(name)
        await self.world.clock.sleep(HEALED_SECONDS)

    async def blocked_keys(self) -> list[str]:
        """Return keys that are still blocked although nothing ran."""
        if not isinstance(await self.world.call("n1", "probe"), ClaimAnswered):
            # A majority of the members lost their disks, so no claim can be granted.
            return []
        blocked: list[str] = []
        for index in range(KEYS):
            key = f"key-{index}"
            if not self.may_block(key):
                outcome = await self.world.call("n2", key)
                if not isinstance(outcome, ClaimAnswered):
                    blocked.append(f"{key} is blocked although nothing ran")
        return blocked

    def may_block(self, key: str) -> bool:
        """Return whether a call with the key got no answer or an unknown outcome."""
        calls = [call for call in self.world.calls if call.key == key]
        return any(not self.is_non_blocking(call) for call in calls)

    @staticmethod
    def is_non_blocking(call: Call) -> bool:
        return (
            isinstance(call.outcome, ClaimFailed) and call.outcome.failure in NON_BLOCKING_FAILURES
        )


def setUpModule() -> None:
    logger.disable("drumbay")


def tearDownModule() -> None:
    logger.enable("drumbay")


class ScheduleTest(unittest.TestCase):
    def run_seeds(self, implementations: Implementations | None) -> dict[int, list[str]]:
        results = {seed: run_simulation(Schedule(seed, implementations).run) for seed in SEEDS}
        return {seed: violations for seed, violations in results.items() if violations}

    def test_no_schedule_violates_at_most_once_execution(self) -> None:
        self.assertEqual(self.run_seeds(None), {})

    def test_schedules_detect_a_missing_quorum(self) -> None:
        self.assertTrue(self.run_seeds(Implementations(service=SingleVoteQuorum)))

    def test_schedules_detect_a_wrong_release(self) -> None:
        self.assertTrue(self.run_seeds(Implementations(service=ReleaseAfterBrokenExchange)))
