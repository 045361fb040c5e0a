"""Items that fail at each run: their failures count over owners and batch jobs."""

import asyncio
import unittest
from contextlib import suppress

import msgspec

from drumbay.batches.exceptions import BatchUnavailableError
from drumbay.batches.records import BatchId, BatchSpec, ItemId, ResultState
from drumbay.standins.kv_faults import KeyValueFaults
from tests.serving_world import ServingWorld, WorldNode, batch_spec, read_all, run_in_world

ATTEMPTS = 3
ALLOWED_FAILURES = 3 * ATTEMPTS
ALLOWED_REJECTIONS = 3
STEP_SECONDS = 2.0
FAILING, REJECTED, LONG, SOUND = (ItemId(f"group-0-{number}") for number in range(4))


def returning_group(step: int) -> BatchSpec:
    """Return a batch job with the same items in each step."""
    spec = batch_spec("group", groups=1, attempts=ATTEMPTS)
    return msgspec.structs.replace(spec, batch_id=BatchId(f"step-{step}"), step=step)


def make_items_fail(world: ServingWorld) -> None:
    world.workers.failing_requests.add(FAILING)
    world.workers.rejected_requests.add(REJECTED)
    world.workers.long_requests.add(LONG)


def failure_counts(world: ServingWorld) -> tuple[int, int]:
    """Return how often workers failed the failing item, and rejected the other one."""
    return len(world.workers.runs_of(FAILING)), len(world.workers.runs_of(REJECTED))


async def run_step(node: WorldNode, step: int) -> None:
    """Run a batch job that its trainer ends before the long text is whole."""
    spec = returning_group(step)
    await node.batches.submit(spec)
    await asyncio.sleep(STEP_SECONDS)
    await node.batches.end(spec.batch_id)


class RepeatedFailuresTest(unittest.TestCase):
    def assert_within_limits(self, world: ServingWorld) -> None:
        failures, rejections = failure_counts(world)
        self.assertLessEqual(failures, ALLOWED_FAILURES)
        self.assertLessEqual(rejections, ALLOWED_REJECTIONS)

    def test_failing_items_are_not_sent_without_end_in_later_batch_jobs(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            for step in range(6):
                await run_step(world.nodes[step % 3], step)
            self.assert_within_limits(world)

        run_in_world(scenario, node_count=3)

    def test_failing_items_are_not_sent_without_end_by_later_owners(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            reader = world.nodes[-1]
            spec = returning_group(0)
            await world.nodes[0].batches.submit(spec)
            for owner in world.nodes[:-1]:
                await asyncio.sleep(0.4)
                await owner.kill()
                with suppress(BatchUnavailableError):
                    await world.nodes[world.nodes.index(owner) + 1].batches.read(
                        spec.batch_id, 0, 0.0
                    )
            await asyncio.sleep(3.0)
            await reader.batches.end(spec.batch_id)
            self.assert_within_limits(world)

        run_in_world(scenario, node_count=7)

    def test_failures_during_a_store_outage_count_after_it(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            for step in range(6):
                await world.nodes[0].batches.submit(returning_group(step))
                world.model.set_faults(KeyValueFaults(outage=True))
                await asyncio.sleep(STEP_SECONDS)
                world.model.set_faults(KeyValueFaults())
                await asyncio.sleep(1.0)
                await world.nodes[0].batches.end(BatchId(f"step-{step}"))
                if step % 2:
                    await world.nodes[0].kill()
                    world.nodes[0] = WorldNode(world, 1, step)
            self.assert_within_limits(world)

        run_in_world(scenario, node_count=3)

    def test_sound_items_are_done_beside_failing_ones(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            spec = returning_group(0)
            await world.nodes[0].batches.submit(spec)
            states = {
                result.item_id: result.state
                for result in await read_all(world.nodes[1].batches, spec.batch_id)
            }
            dead, done = ResultState.DEAD, ResultState.DONE
            self.assertEqual(states, {FAILING: dead, REJECTED: dead, LONG: done, SOUND: done})
            self.assertEqual(failure_counts(world), (ATTEMPTS, 1))

        run_in_world(scenario)


if __name__ == "__main__":
    unittest.main()
