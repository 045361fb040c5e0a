"""Sound items and reward requests under which workers crash are run again soon."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from drumbay.batches.records import BatchSpec, ResultState
from drumbay.quarantine.crash_retry import (
    MAX_BACKOFF_SECONDS,
    MAX_CHECK_WAIT_SECONDS,
    MAX_ISOLATION_WAIT_SECONDS,
    backoff_seconds,
    decide_retry,
)
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import CrashPolicy, Decision, RequestActivity
from drumbay.quarantine.suspicions import SUSPICION_TIMEOUT_SECONDS
from tests.serving_world import (
    SCORING_SERVICE,
    SERVICE,
    ServingWorld,
    WorldNode,
    batch_spec,
    read_all,
    reward_id,
    run_in_world,
)

REGISTRATION_SECONDS = 3.0
MAX_WAIT_SECONDS = 5.0
"""An item must be at a worker again within this time, while workers are idle."""

GENERATION_SECONDS = 8.0
"""Time to generate a long text."""

SPACINGS_SECONDS = (0.02, 0.4, 1.2)
CRASH_COUNTS = (2, 3, 5)
CONTACT_SECONDS = 3.0
"""Crashed workers are back after this time."""

POLL_SECONDS = 0.01
UNLIMITED = RequestActivity()


async def start_nodes(world: ServingWorld) -> None:
    for node in world.nodes:
        node.lead()
    await asyncio.sleep(REGISTRATION_SECONDS)


class WorkerCrashes:
    """Crashes workers; they start again after a while."""

    def __init__(self, world: ServingWorld) -> None:
        self._world = world
        self._restarts: set[asyncio.Future[None]] = set()

    def crash(self, worker_id: str) -> None:
        """Crash a worker."""
        restart = asyncio.ensure_future(self._world.workers.end(self._world.workers[worker_id]))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def crash_under(self, request_id: str, count: int, spacing_seconds: float) -> float:
        """Crash the worker of a request, several times; return the time of the last crash.

        ``spacing_seconds`` is the time from the start of a run to the crash.
        """
        crash_at = 0.0
        for _ in range(count):
            worker_id = await self._worker_that_runs(request_id)
            await asyncio.sleep(spacing_seconds)
            crash_at = self._world.clock.monotonic()
            self.crash(worker_id)
            await asyncio.sleep(POLL_SECONDS)
        return crash_at

    async def _worker_that_runs(self, request_id: str) -> str:
        workers = self._world.workers
        async with asyncio.timeout(CONTACT_SECONDS + MAX_WAIT_SECONDS):
            while True:
                running = [run for run in workers.runs_of(request_id) if run.ended_at is None]
                if running and not workers[running[-1].worker_id].has_stopped:
                    return running[-1].worker_id
                await asyncio.sleep(POLL_SECONDS)


def first_start_after(world: ServingWorld, request_id: str, at: float) -> float:
    starts = (run.started_at for run in world.workers.runs_of(request_id))
    return min((start for start in starts if start > at), default=float("inf"))


class CrashedItemsTest(unittest.TestCase):
    def run_started(self, scenario: Callable[[ServingWorld], Awaitable[None]]) -> None:
        async def main(world: ServingWorld) -> None:
            await start_nodes(world)
            await scenario(world)

        run_in_world(main, node_count=3, worker_count=8, scorer_count=3, workers_keep_ids=True)

    async def assert_all_done(
        self, node: WorldNode, spec: BatchSpec, limit_seconds: float = GENERATION_SECONDS
    ) -> None:
        results = await read_all(node.batches, spec.batch_id, limit_seconds)
        self.assertEqual(len(results), len(spec.items))
        self.assertEqual({result.state for result in results}, {ResultState.DONE})

    def assert_starts_again(self, world: ServingWorld, request_id: str, crash_at: float) -> None:
        """Assert that a request was at a worker again in time after the last crash."""
        waited = first_start_after(world, request_id, crash_at) - crash_at
        self.assertLessEqual(waited, MAX_WAIT_SECONDS)

    def test_item_starts_again_after_any_number_of_crashes_at_any_spacing(self) -> None:
        """Guards against sound items that are held back since workers crashed under them."""
        for spacing_seconds in SPACINGS_SECONDS:
            for count in CRASH_COUNTS:

                async def scenario(
                    world: ServingWorld, spacing: float = spacing_seconds, count: int = count
                ) -> None:
                    world.workers.long_texts = True
                    spec = batch_spec(queue_limit_seconds=600.0)
                    item_id = spec.items[0].item_id
                    await world.nodes[0].batches.submit(spec)
                    crash_at = await WorkerCrashes(world).crash_under(item_id, count, spacing)
                    await asyncio.sleep(MAX_WAIT_SECONDS)
                    self.assert_starts_again(world, item_id, crash_at)
                    await self.assert_all_done(world.nodes[0], spec, 2 * GENERATION_SECONDS)

                with self.subTest(spacing_seconds=spacing_seconds, crashes=count):
                    self.run_started(scenario)

    def test_item_starts_again_at_the_next_owner_of_its_batch_job(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            spec = batch_spec(queue_limit_seconds=600.0)
            item_id = spec.items[0].item_id
            await world.nodes[0].batches.submit(spec)
            await WorkerCrashes(world).crash_under(item_id, 4, 0.4)
            await world.nodes[0].kill()
            ended_at = world.clock.monotonic()
            self.assertEqual((await world.nodes[1].batches.read(spec.batch_id, 0, 0.0)).total, 12)
            await asyncio.sleep(MAX_WAIT_SECONDS)
            self.assert_starts_again(world, item_id, ended_at)
            await self.assert_all_done(world.nodes[1], spec, 2 * GENERATION_SECONDS)

        self.run_started(scenario)

    def test_item_starts_again_after_all_nodes_have_restarted(self) -> None:
        """What nodes have stored about crashes holds no item back either."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            spec = batch_spec(queue_limit_seconds=600.0)
            item_id = spec.items[0].item_id
            await world.nodes[0].batches.submit(spec)
            await WorkerCrashes(world).crash_under(item_id, 4, 0.4)
            await asyncio.sleep(0.2)
            for number, node in enumerate(list(world.nodes), start=1):
                await node.kill()
                world.nodes[number - 1] = WorldNode(world, number, 1)
                world.nodes[number - 1].lead()
            restarted_at = world.clock.monotonic()
            await asyncio.sleep(REGISTRATION_SECONDS)
            await world.nodes[0].batches.read(spec.batch_id, 0, 0.0)
            await asyncio.sleep(MAX_WAIT_SECONDS - REGISTRATION_SECONDS)
            self.assert_starts_again(world, item_id, restarted_at)
            await self.assert_all_done(world.nodes[0], spec, 2 * GENERATION_SECONDS)

        self.run_started(scenario)

    def test_group_that_returns_in_a_later_batch_job(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            spec = batch_spec(queue_limit_seconds=600.0)
            item_id = spec.items[0].item_id
            await world.nodes[0].batches.submit(spec)
            await WorkerCrashes(world).crash_under(item_id, 6, 0.4)
            await world.nodes[0].batches.end(spec.batch_id)
            items = tuple(item for item in spec.items if item.group == spec.items[0].group)
            later = msgspec.structs.replace(batch_spec("later"), items=items)
            submitted_at = world.clock.monotonic()
            await world.nodes[1].batches.submit(later)
            await asyncio.sleep(MAX_WAIT_SECONDS)
            self.assert_starts_again(world, item_id, submitted_at)
            await self.assert_all_done(world.nodes[1], later, 2 * GENERATION_SECONDS)

        self.run_started(scenario)

    def test_identical_items_of_a_group_all_start_again(self) -> None:
        """The items of a group share their prompt, and so what is known of its crashes."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            spec = batch_spec(groups=1, group_size=12, queue_limit_seconds=600.0)
            items = tuple(msgspec.structs.replace(item, body=b"prompt") for item in spec.items)
            spec = msgspec.structs.replace(spec, items=items)
            await world.nodes[0].batches.submit(spec)
            crash_at = await WorkerCrashes(world).crash_under(spec.items[0].item_id, 5, 0.4)
            await asyncio.sleep(MAX_WAIT_SECONDS)
            for item in spec.items:
                running = [r for r in world.workers.runs_of(item.item_id) if r.ended_at is None]
                if not running:
                    self.assertIsNotNone(world.workers.first_completed_at(item.item_id))
            self.assert_starts_again(world, spec.items[0].item_id, crash_at)
            await self.assert_all_done(world.nodes[0], spec, 2 * GENERATION_SECONDS)

        self.run_started(scenario)

    def test_bursts_of_crashes_hold_no_item_back(self) -> None:
        """Bursts of crashes of a third of the workers, as in ``deploy/days/unlucky.toml``."""

        async def scenario(world: ServingWorld) -> None:
            world.workers.long_texts = True
            crashes = WorkerCrashes(world)
            spec = batch_spec(groups=6, queue_limit_seconds=600.0)
            await world.nodes[0].batches.submit(spec)
            for _ in range(3):
                for _ in range(5):
                    alive = [
                        entry.worker_id
                        for entry in world.workers.entries()
                        if entry.service == SERVICE
                        and not world.workers[entry.worker_id].has_stopped
                    ]
                    busiest = sorted(alive, key=lambda name: -world.workers[name].active)[:3]
                    for name in busiest:
                        crashes.crash(name)
                    await asyncio.sleep(0.4)
                await asyncio.sleep(4.0)
            calm_at = world.clock.monotonic()
            await asyncio.sleep(MAX_WAIT_SECONDS)
            for item in spec.items:
                if world.workers.first_completed_at(item.item_id) is None:
                    runs = world.workers.runs_of(item.item_id)
                    self.assertTrue(any(run.ended_at is None for run in runs), item.item_id)
            self.assertLess(world.clock.monotonic() - calm_at, MAX_WAIT_SECONDS + 1.0)
            await self.assert_all_done(world.nodes[0], spec, 2 * GENERATION_SECONDS)

        self.run_started(scenario)

    def test_reward_request_starts_again_after_crashes(self) -> None:
        for count in CRASH_COUNTS:

            async def scenario(world: ServingWorld, count: int = count) -> None:
                spec = batch_spec(scored=True, queue_limit_seconds=600.0)
                request_id = reward_id(spec.items[0].item_id)
                await world.nodes[0].batches.submit(spec)
                crash_at = await WorkerCrashes(world).crash_under(request_id, count, 0.0)
                await asyncio.sleep(MAX_WAIT_SECONDS)
                self.assert_starts_again(world, request_id, crash_at)
                await self.assert_all_done(world.nodes[0], spec)

            with self.subTest(crashes=count):
                self.run_started(scenario)

    def test_crashes_do_not_count_as_failures_of_an_item(self) -> None:
        """Guards against items that are given up, or wait, for failures that were crashes."""
        for failures in (1, 2):

            async def scenario(world: ServingWorld, failures: int = failures) -> None:
                spec = batch_spec(queue_limit_seconds=600.0)
                item = spec.items[0]
                workers = world.workers
                workers.failing_requests.add(item.item_id)
                await world.nodes[0].batches.submit(spec)
                await self.wait_for_runs(world, item.item_id, failures)
                workers.failing_requests.discard(item.item_id)
                workers.crashing_bodies.add(item.body)
                await self.wait_for_runs(world, item.item_id, failures + 9)
                workers.crashing_bodies.discard(item.body)
                crash_at = world.clock.monotonic()
                await asyncio.sleep(MAX_WAIT_SECONDS)
                self.assert_starts_again(world, item.item_id, crash_at)
                await self.assert_all_done(world.nodes[0], spec)

            with self.subTest(failures=failures):
                self.run_started(scenario)

    async def wait_for_runs(self, world: ServingWorld, request_id: str, count: int) -> None:
        """Wait until so many runs of a request have ended."""
        async with asyncio.timeout(count * (MAX_BACKOFF_SECONDS + MAX_ISOLATION_WAIT_SECONDS)):
            while True:
                runs = world.workers.runs_of(request_id)
                if len(runs) >= count and all(run.ended_at is not None for run in runs):
                    return
                await asyncio.sleep(POLL_SECONDS)

    def test_live_requests_are_held_as_before(self) -> None:
        """What lets items run again must not let live requests crash further workers."""

        async def scenario(world: ServingWorld) -> None:
            quarantine = world.nodes[0].node.quarantine
            fingerprint = Fingerprint("live")
            crashes = WorkerCrashes(world)
            for number in (1, 2, 3):
                worker = world.workers[f"scorer-{number}"].worker
                began_at = world.clock.monotonic()
                await asyncio.sleep(0.1)
                crashes.crash(f"scorer-{number}")
                quarantine.record_broken_run(fingerprint, "r", worker, began_at)
                await asyncio.sleep(0.5)
            await asyncio.sleep(10.0)
            held = quarantine.verdict(fingerprint, SCORING_SERVICE)
            retried = quarantine.verdict(fingerprint, SCORING_SERVICE, policy=CrashPolicy.RETRY)
            self.assertEqual(held.decision, Decision.HOLD)
            self.assertGreater(held.retry_after_seconds, MAX_BACKOFF_SECONDS)
            self.assertEqual(retried.decision, Decision.RUN)

        self.run_started(scenario)

    def test_check_that_never_ends_holds_no_item_back(self) -> None:
        """A suspended process may skip the time in which a check should have ended."""

        async def scenario(world: ServingWorld) -> None:
            quarantine = world.nodes[0].node.quarantine
            worker = world.workers["worker-1"].worker
            world.workers["worker-1"].faults.unreachable = True
            for _ in range(3):
                quarantine.record_unanswered_run(Fingerprint("f"), "r", worker, 0.0)
            await asyncio.sleep(MAX_CHECK_WAIT_SECONDS + MAX_BACKOFF_SECONDS)
            self.assertLess(MAX_CHECK_WAIT_SECONDS + MAX_BACKOFF_SECONDS, SUSPICION_TIMEOUT_SECONDS)
            verdict = quarantine.verdict(Fingerprint("f"), SERVICE, policy=CrashPolicy.RETRY)
            self.assertEqual(verdict.decision, Decision.RUN)

        self.run_started(scenario)


class RetryDecisionTest(unittest.TestCase):
    def test_longest_wait_is_shorter_than_allowed(self) -> None:
        waits = MAX_BACKOFF_SECONDS + MAX_ISOLATION_WAIT_SECONDS
        self.assertLess(max(waits, MAX_CHECK_WAIT_SECONDS), MAX_WAIT_SECONDS)
        self.assertEqual(backoff_seconds(1), 0.0)
        self.assertEqual(backoff_seconds(1_000), MAX_BACKOFF_SECONDS)

    def test_work_waits_for_isolation_only_for_a_while(self) -> None:
        busy = RequestActivity(runs=1, trials=5)
        backoff = backoff_seconds(3)
        for seconds, activity, decision, is_trial in (
            (0.0, UNLIMITED, Decision.HOLD, False),
            (backoff, UNLIMITED, Decision.RUN, True),
            (backoff, busy, Decision.WAIT, False),
            (backoff + MAX_ISOLATION_WAIT_SECONDS, busy, Decision.RUN, False),
        ):
            with self.subTest(seconds=seconds, activity=activity):
                verdict = decide_retry(3, 10.0, activity, 2, 10.0 + seconds)
                self.assertEqual((verdict.decision, verdict.is_trial), (decision, is_trial))

    def test_single_crash_delays_nothing(self) -> None:
        verdict = decide_retry(1, 10.0, RequestActivity(runs=3, trials=9), 1, 10.0)
        self.assertEqual((verdict.decision, verdict.is_trial), (Decision.RUN, False))
