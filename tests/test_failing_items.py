"""Items that fail at each run: their failures count over owners and batch jobs."""

import asyncio
import unittest
from contextlib import suppress

import msgspec

from drumbay.batches.decisions import RunFailure, StartRun
from drumbay.batches.exceptions import BatchUnavailableError
from drumbay.batches.item_failures import (
    FailureHistory,
    ItemFailures,
    OwnerFailures,
    OwnerKey,
    PastFailures,
)
from drumbay.batches.ledger import ITEM_FAILURES_PREFIX, BatchLedger
from drumbay.batches.records import BatchId, BatchSpec, ItemId, ResultState
from drumbay.batches.scheduler import BatchScheduler
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.kv.interface import Put
from drumbay.standins.kv_faults import KeyValueFaults
from drumbay.tenants.records import TenantName
from drumbay.workers.records import StreamEvent, Worker, WorkerState
from drumbay.workers.worker_record import WorkerRecord
from tests.serving_world import (
    MODEL,
    SERVICE,
    ServingWorld,
    WorldNode,
    batch_spec,
    read_all,
    run_in_world,
)

ATTEMPTS = 3
ALLOWED_FAILURES = 3 * ATTEMPTS
ALLOWED_REJECTIONS = 3
STEP_SECONDS = 2.0
SLOW_STORE_SECONDS = 0.3
LATE_ANSWER_SECONDS = 0.3
SHORT_STEP_SECONDS = 0.6
"""Ends between the second run of a failing item and its late answer."""

VERSION = WeightVersion(1)
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

    def test_rejected_items_are_not_sent_again_by_owners_with_a_slow_store(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            world.model.set_faults(KeyValueFaults(request_delay_seconds=SLOW_STORE_SECONDS))
            for step in range(6):
                await run_step(world.nodes[0], step)
                await world.nodes[0].kill()
                world.nodes[0] = WorldNode(world, 1, step + 1)
                world.nodes[0].lead()
                await asyncio.sleep(STEP_SECONDS)
            self.assert_within_limits(world)
            self.assertEqual(len(world.workers.runs_of(REJECTED)), 1)

        run_in_world(scenario, node_count=1)

    def test_failures_whose_answers_are_cut_off_by_the_end_of_a_batch_job_count(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            for number in range(1, 4):
                faults = world.workers[f"worker-{number}"].faults
                faults.failure_delay_seconds = LATE_ANSWER_SECONDS
            for step in range(12):
                spec = returning_group(step)
                await world.nodes[step % 3].batches.submit(spec)
                await asyncio.sleep(SHORT_STEP_SECONDS)
                await world.nodes[step % 3].batches.end(spec.batch_id)
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

    def test_stored_failures_are_deleted_with_their_batch_job(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            await run_step(world.nodes[0], 0)
            ledger = BatchLedger(world.nodes[0].store)
            self.assertEqual(len(await ledger.read_failures()), 1)
            await ledger.delete(BatchId("step-0"))
            self.assertEqual(await ledger.read_failures(), ())

        run_in_world(scenario)

    def test_a_record_of_another_form_is_passed_over(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            make_items_fail(world)
            for name in ("no-revision", "batch/000000000001"):
                put = Put(key=f"{ITEM_FAILURES_PREFIX}{name}", value=b"not a record")
                await world.nodes[0].store.transact((), (put,))
            await run_step(world.nodes[0], 0)
            self.assertEqual(failure_counts(world), (ATTEMPTS, 1))

        run_in_world(scenario)


class PastFailuresTest(unittest.TestCase):
    """The scheduler gives up items by what earlier owners have seen."""

    def setUp(self) -> None:
        self.scheduler = BatchScheduler(returning_group(1), 0.0, ())

    def given_up(self, past: PastFailures, *, is_complete: bool = True) -> list[ItemId]:
        results = self.scheduler.set_past_failures(
            {FAILING: past}, is_complete=is_complete, now=0.0, wall_now=0.0
        )
        return [result.item_id for result in results]

    def started(self, now: float) -> set[ItemId]:
        worker = worker_record()
        decisions = self.scheduler.plan({worker.worker.worker_id: worker}, VERSION, now)
        return {decision.item.item_id for decision in decisions if isinstance(decision, StartRun)}

    def test_failures_in_the_same_batch_job_use_up_its_attempts(self) -> None:
        self.assertEqual(self.given_up(PastFailures(in_job=ItemFailures(runs=2))), [])
        self.assertEqual(self.given_up(PastFailures(in_job=ItemFailures(runs=3))), [FAILING])

    def test_an_item_gets_its_attempts_in_two_batch_jobs(self) -> None:
        in_other_jobs = ItemFailures(runs=2 * ATTEMPTS - 1)
        self.assertEqual(self.given_up(PastFailures(in_other_jobs=in_other_jobs)), [])
        self.started(0.0)
        result = self.scheduler.handle_run_failure(FAILING, RunFailure.FAILED, 0.1)
        assert result is not None
        self.assertEqual(result.state, ResultState.DEAD)

    def test_an_item_that_runs_is_not_given_up_for_its_past(self) -> None:
        self.started(0.0)
        in_other_jobs = ItemFailures(runs=2 * ATTEMPTS)
        self.assertEqual(self.given_up(PastFailures(in_other_jobs=in_other_jobs)), [])
        event = StreamEvent(number=1, data="text", version=VERSION)
        self.scheduler.handle_event(FAILING, event, 0.2)
        result = self.scheduler.handle_completion(FAILING)
        assert result is not None
        self.assertEqual(result.state, ResultState.DONE)

    def test_an_item_that_was_rejected_does_not_run_again(self) -> None:
        past = PastFailures(in_other_jobs=ItemFailures(rejections=1))
        self.assertEqual(self.given_up(past, is_complete=False), [FAILING])

    def test_a_failed_item_waits_until_its_past_is_known(self) -> None:
        self.given_up(PastFailures(), is_complete=False)
        self.assertIn(FAILING, self.started(0.0))
        self.scheduler.handle_run_failure(FAILING, RunFailure.FAILED, 0.1)
        self.assertNotIn(FAILING, self.started(2.0))
        self.given_up(PastFailures(), is_complete=True)
        self.assertIn(FAILING, self.started(2.0))

    def test_an_older_copy_of_a_record_takes_nothing_away(self) -> None:
        spec = returning_group(1)
        history = FailureHistory()
        earlier = OwnerKey(batch_id=BatchId("step-0"), revision=Revision(1))
        for runs in (1, 2, 1):
            failures = {FAILING: ItemFailures(runs=runs)}
            history.put(earlier, OwnerFailures(host=spec.host, tenant=None, items=failures))
        owner = OwnerKey(batch_id=spec.batch_id, revision=Revision(2))
        self.assertEqual(history.past(spec, owner)[FAILING].in_other_jobs.runs, 2)

    def test_a_record_with_more_evidence_alone_replaces_an_older_copy(self) -> None:
        spec = returning_group(1)
        history = FailureHistory()
        earlier = OwnerKey(batch_id=BatchId("step-0"), revision=Revision(1))
        for evidence in (1.0, 4.5):
            failures = {FAILING: ItemFailures(unanswered=3, lost=3, lost_evidence=evidence)}
            history.put(earlier, OwnerFailures(host=spec.host, tenant=None, items=failures))
        owner = OwnerKey(batch_id=spec.batch_id, revision=Revision(2))
        self.assertEqual(history.past(spec, owner)[FAILING].in_other_jobs.lost_evidence, 4.5)

    def test_items_of_other_tenants_with_the_same_id_are_not_counted(self) -> None:
        spec = returning_group(1)
        failures = {FAILING: ItemFailures(runs=1)}
        history = FailureHistory()
        for number, tenant in enumerate((None, TenantName("other")), start=1):
            key = OwnerKey(batch_id=BatchId("step-0"), revision=Revision(number))
            history.put(key, OwnerFailures(host=spec.host, tenant=tenant, items=failures))
        owner = OwnerKey(batch_id=spec.batch_id, revision=Revision(3))
        self.assertEqual(history.past(spec, owner)[FAILING].in_other_jobs.runs, 1)


def worker_record() -> WorkerRecord:
    worker = Worker(
        worker_id=BackendId("worker-1"),
        service=SERVICE,
        address=NetworkAddress("worker-1", 80),
        zone="zone-1",
        slots=8,
        state=WorkerState.READY,
        versions={MODEL: VERSION},
    )
    return WorkerRecord(worker=worker, versions={MODEL: VERSION})


if __name__ == "__main__":
    unittest.main()
