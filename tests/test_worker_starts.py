"""Workers that start again under their ids: what is forgotten, and which deaths stay.

A worker that has started again holds and knows nothing of before. Taken for the start before, it
kept that start's loads, paces, pauses and runs, and each of its answers took back the deaths under
requests that had ended it.
"""

import asyncio
import random
import unittest

import msgspec

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.kv.interface import KeyValue
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import LoadingNotice
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import (
    QuarantineNotice,
    RequestSuspected,
    ToldDeath,
    WorkerKind,
    WorkerProvedAlive,
)
from drumbay.quarantine.service import REPORT_PAUSE_SECONDS, Quarantine
from drumbay.quarantine.stored import PREFIX, StoredDeath, StoredQuarantine
from drumbay.simulation.outside_clock import OutsideClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.worker_pool import RESTART_SECONDS, EmulatedWorkerPool
from drumbay.tasks import TaskOwner
from drumbay.weights.version_planner import LoadPolicy, VersionPlanner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerLoad, WorkerState, WorkerStatus
from drumbay.workers.silence_check import CHECK_SECONDS, FEWEST_SILENT_RUNS, SilenceCheck
from drumbay.workers.worker_record import WorkerRecord
from tests.serving_world import MODEL, SERVICE, ServingWorld, play

WORKER = BackendId("w")
REQUEST = Fingerprint("request")
FIRST_MS = 1_700_000_000_000
SECOND_MS = FIRST_MS + 9_000


def worker(started_at_ms: int = FIRST_MS, version: int = 1) -> Worker:
    return Worker(
        worker_id=WORKER,
        service=SERVICE,
        address=NetworkAddress("w", 80),
        zone="z",
        slots=4,
        state=WorkerState.READY,
        versions={MODEL: WeightVersion(version)},
        started_at_ms=started_at_ms,
    )


def status(started_at_ms: int, version: int = 1) -> WorkerStatus:
    return WorkerStatus(
        busy=False,
        sequence=0,
        versions={MODEL: WeightVersion(version)},
        started_at_ms=started_at_ms,
    )


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = WorkerDirectory()
        self.directory.put(worker(version=3))
        self.restarted: list[BackendId] = []
        self.directory.add_restart_listener(self.restarted.append)

    def record(self) -> WorkerRecord:
        record = self.directory.get(WORKER)
        assert record is not None
        return record

    def load_with_everything(self) -> WorkerRecord:
        """Let all be known of the first start that can be."""
        record = self.record()
        record.in_flight = 3
        record.expected_tokens = 100
        self.directory.observe_load(WORKER, WorkerLoad(running=4, waiting=2, slots=4), 1.0)
        self.directory.observe_pace(WORKER, 0.5, 1.0)
        self.directory.observe_answer(WORKER, 2.0, 1.0)
        self.directory.observe_failed_run(WORKER, 1.0)
        self.directory.note_loading(WORKER, MODEL, WeightVersion(9), 50.0)
        self.directory.observe_refusal(WORKER, MODEL, 1.0)
        self.directory.observe_failure(WORKER, 1.0)
        return record

    def assert_new(self, version: int, *, is_start_reported: bool = False) -> None:
        expected = WorkerRecord(
            worker=worker(SECOND_MS, version),
            versions={MODEL: WeightVersion(version)},
            is_start_reported=is_start_reported,
        )
        record = msgspec.structs.replace(
            self.record(), pace=expected.pace, answers=expected.answers
        )
        self.assertEqual(record, expected)
        self.assertIsNone(self.record().pace.current(1.0))
        self.assertEqual(self.record().answers.relative_time(1.0), 1.0)
        self.assertEqual(self.record().answers.failure_share(1.0), 0.0)
        self.assertTrue(self.record().is_available(1.0))
        self.assertEqual(self.restarted, [WORKER])

    def test_a_later_start_in_discovery_replaces_the_whole_record(self) -> None:
        self.load_with_everything()
        self.directory.put(worker(SECOND_MS, version=2))
        self.assert_new(version=2)

    def test_a_snapshot_tells_of_a_later_start_too(self) -> None:
        self.load_with_everything()
        self.directory.replace_all([worker(SECOND_MS, version=2)])
        self.assert_new(version=2)

    def test_a_report_tells_of_it_before_discovery_does(self) -> None:
        self.load_with_everything()
        self.directory.take_status(WORKER, status(SECOND_MS, version=2), 1.0, asked_at=0.9)
        self.assert_new(version=2, is_start_reported=True)
        self.directory.put(worker(FIRST_MS, version=3))
        self.assert_new(version=2, is_start_reported=True)
        self.directory.put(worker(SECOND_MS, version=2))
        self.assert_new(version=2)

    def test_an_earlier_start_than_a_report_told_is_passed_over(self) -> None:
        self.directory.take_status(WORKER, status(SECOND_MS, version=2), 1.0, asked_at=0.9)
        self.directory.put(msgspec.structs.replace(worker(), state=WorkerState.DRAINING))
        self.directory.take_status(WORKER, status(FIRST_MS, version=8), 1.0, asked_at=0.9)
        self.assert_new(version=2, is_start_reported=True)

    def test_of_two_entries_the_newer_one_holds_whatever_start_it_tells(self) -> None:
        """Another writer's entry, or a clock that was set back, must not hide a drain."""
        draining = msgspec.structs.replace(worker(FIRST_MS, version=2), state=WorkerState.DRAINING)
        for reports in (False, True):
            with self.subTest(reports=reports):
                self.directory.put(worker(SECOND_MS, version=9))
                if reports:
                    told = status(SECOND_MS, version=9)
                    self.directory.take_status(WORKER, told, 1.0, asked_at=0.9)
                self.directory.put(draining)
                self.assertEqual(self.record().worker, draining)
                self.assertEqual(self.record().versions[MODEL], 2)
        self.directory.take_status(WORKER, status(SECOND_MS), 1.0, asked_at=0.9)
        self.directory.put(worker(SECOND_MS))
        self.directory.put(draining)
        self.assertEqual(self.record().worker, draining)

    def test_a_restart_that_a_report_tells_brings_no_lapsed_entry_back(self) -> None:
        self.directory.replace_all([], missing_until=5.0)
        self.directory.take_status(WORKER, status(SECOND_MS), 1.0, asked_at=0.9)
        self.assertEqual(self.directory.drop_missing(5.0), (WORKER,))
        self.directory.put(worker(SECOND_MS))
        self.directory.replace_all([], missing_until=5.0)
        self.directory.take_status(WORKER, status(SECOND_MS + 1), 1.0, asked_at=0.9)
        self.directory.put(worker(SECOND_MS + 1))
        self.assertEqual(self.directory.drop_missing(5.0), ())

    def test_a_report_names_the_start_of_one_whose_entry_does_not(self) -> None:
        self.directory.remove(WORKER)
        self.directory.put(worker(0, version=3))
        record = self.load_with_everything()
        self.directory.take_status(WORKER, status(FIRST_MS, version=4), 1.0, asked_at=0.9)
        self.assertIs(self.record(), record)
        self.assertEqual(record.worker, worker(FIRST_MS, version=3))
        self.assertEqual(record.versions[MODEL], 4)
        self.assertEqual(record.in_flight, 3)
        self.assertEqual(self.restarted, [])
        # Runs that began before knew no start; they ran there.
        self.assertIs(self.directory.get(WORKER, 0), record)
        self.assertFalse(self.directory.has_restarted(worker(0)))
        self.directory.take_status(WORKER, status(SECOND_MS), 1.0, asked_at=0.9)
        self.assertEqual(self.restarted, [WORKER])

    def test_only_another_start_that_is_known_is_a_restart(self) -> None:
        self.assertFalse(self.directory.has_restarted(worker()))
        self.assertTrue(self.directory.has_restarted(worker(SECOND_MS)))
        self.directory.remove(WORKER)
        self.assertFalse(self.directory.has_restarted(worker(SECOND_MS)))
        self.directory.put(worker(0))
        self.assertFalse(self.directory.has_restarted(worker()))

    def test_the_same_start_keeps_what_is_known(self) -> None:
        record = self.load_with_everything()
        for same in (worker(version=1), worker(0, version=1)):
            self.directory.put(same)
            self.assertIs(self.record(), record)
            self.assertEqual(record.worker.started_at_ms, FIRST_MS)
            self.assertEqual(record.versions[MODEL], 3)
            self.assertEqual(record.in_flight, 3)
        self.assertEqual(self.restarted, [])

    def test_runs_of_the_start_before_say_nothing_of_the_next(self) -> None:
        before = self.load_with_everything()
        self.directory.put(worker(SECOND_MS, version=2))
        before.in_flight -= 3
        self.directory.observe_failure(WORKER, 1.0, FIRST_MS)
        self.directory.pause(WORKER, 1.0, 5.0, FIRST_MS)
        self.directory.observe_refusal(WORKER, MODEL, 1.0, FIRST_MS)
        self.directory.observe_version(WORKER, MODEL, WeightVersion(9), 1.0, FIRST_MS)
        self.directory.observe_pace(WORKER, 0.5, 1.0, FIRST_MS)
        self.directory.observe_answer(WORKER, 2.0, 1.0, FIRST_MS)
        self.directory.observe_unanswered(WORKER, 2.0, 1.0, FIRST_MS)
        self.directory.observe_failed_run(WORKER, 1.0, FIRST_MS)
        self.directory.note_loading(WORKER, MODEL, WeightVersion(9), 50.0, FIRST_MS)
        load = WorkerLoad(running=4, waiting=2, slots=4)
        self.directory.observe_load(WORKER, load, 1.0, FIRST_MS)
        self.assert_new(version=2)

    def test_one_start_is_replaced_by_the_next_and_not_by_itself(self) -> None:
        self.assertFalse(self.directory.is_replaced(worker()))
        self.directory.put(worker(SECOND_MS))
        self.assertTrue(self.directory.is_replaced(worker()))
        self.assertFalse(self.directory.is_replaced(worker(SECOND_MS)))
        self.assertFalse(self.directory.is_replaced(worker(0)))

    def test_one_that_lapsed_and_is_back_with_the_same_start_is_taken_as_it_tells(self) -> None:
        self.directory.remove(WORKER)
        self.directory.put(worker(version=2))
        self.assertEqual(self.record().versions[MODEL], 2)
        self.assertEqual(self.restarted, [])


class Told:
    """A quarantine over one worker of an emulated pool, and what it tells other nodes."""

    def __init__(self, *, tells_starts: bool = True) -> None:
        self.clock = OutsideClock()
        self.pool = EmulatedWorkerPool(self.clock, tells_starts=tells_starts)
        self.pool.keep_ids = True
        self.first = self.pool.add("w", SERVICE)
        self.directory = WorkerDirectory()
        self.directory.put(self.first.worker)
        self.notices: list[QuarantineNotice] = []
        self.quarantine = Quarantine(
            self.clock,
            self.directory,
            self.pool,
            TaskOwner(),
            ServingMetrics(),
            self.notices.append,
        )

    def take_death(
        self, *, ended_seconds_ago: float = 0.0, started_at_ms: int | None = None
    ) -> None:
        """Hear that the worker has ended, by a run that began half a second ago."""
        if started_at_ms is None:
            started_at_ms = self.first.worker.started_at_ms
        death = ToldDeath(
            worker_id=WORKER,
            kind=WorkerKind(service=SERVICE, release=""),
            began_seconds_ago=0.5,
            ended_seconds_ago=ended_seconds_ago,
            started_at_ms=started_at_ms,
        )
        self.quarantine.take(RequestSuspected(fingerprint=REQUEST, deaths=(death,)))

    @property
    def deaths(self) -> int:
        return len(self.quarantine.ledger.deaths(REQUEST))


class DeathsOfStartsTest(unittest.TestCase):
    def test_an_answer_before_discovery_tells_takes_back_no_death(self) -> None:
        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            told.take_death()
            known = told.first.worker
            await told.pool.end(told.first)
            told.quarantine.note_alive(known)
            self.assertEqual(told.deaths, 1)
            await asyncio.sleep(0.1)
            self.assertEqual(told.deaths, 1)
            record = told.directory.get(WORKER)
            assert record is not None
            self.assertGreater(record.worker.started_at_ms, known.started_at_ms)
            self.assertTrue(told.directory.is_replaced(known))
            told.quarantine.note_alive(record.worker)
            self.assertEqual(told.deaths, 1)
            self.assertEqual(told.notices, [])

        run_simulation(scenario)

    def test_an_answer_that_is_read_after_the_death_takes_it_not_back(self) -> None:
        """It was sent before the worker ended; reports are refused by a worker that is away."""

        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            ending = asyncio.ensure_future(told.pool.end(told.first))
            await asyncio.sleep(0.1)
            told.take_death()
            told.quarantine.note_alive(told.first.worker)
            await asyncio.sleep(0.1)
            self.assertEqual(told.deaths, 1)
            await ending
            self.assertEqual(told.deaths, 1)
            self.assertEqual(told.notices, [])

        run_simulation(scenario)

    def test_a_report_that_was_asked_for_before_a_death_was_learnt_of_says_nothing(self) -> None:
        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            report = await told.pool.status(told.first.worker)
            asked_at = told.clock.monotonic()
            await asyncio.sleep(0.1)
            told.take_death()
            await asyncio.sleep(0.1)
            now = told.clock.monotonic()
            told.directory.take_status(WORKER, report, now, asked_at=asked_at)
            self.assertEqual(told.deaths, 1)
            # The death is told once more, as an older one than it seemed.
            told.take_death(ended_seconds_ago=0.4)
            told.directory.take_status(WORKER, report, now, asked_at=now - 0.05)
            self.assertEqual(told.deaths, 0)

        run_simulation(scenario)

    def test_the_time_of_a_stored_death_is_when_it_was_read(self) -> None:
        """Clocks differ: the death may seem older than the question for the report."""

        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            store = MemoryKeyValueStore(KeyValueModel(told.clock), told.clock)
            stored = StoredQuarantine(told.clock, store, told.quarantine, random.Random(1))
            death = StoredDeath(
                worker_id=WORKER,
                kind=WorkerKind(service=SERVICE, release=""),
                began_at=told.clock.wall() - 50.0,
                ended_at=told.clock.wall() - 40.0,
                started_at_ms=told.first.worker.started_at_ms,
            )
            report = await told.pool.status(told.first.worker)
            asked_at = told.clock.monotonic()
            await asyncio.sleep(0.1)
            item = KeyValue(
                key=f"{PREFIX}{REQUEST}",
                value=msgspec.msgpack.encode((death,)),
                create_revision=Revision(1),
                mod_revision=Revision(1),
                version=1,
            )
            stored.feed.on_snapshot((item,), 0.0)
            told.directory.take_status(WORKER, report, told.clock.monotonic(), asked_at=asked_at)
            self.assertEqual(told.deaths, 1)

        run_simulation(scenario)

    def test_a_start_that_lives_takes_deaths_without_a_start_back_too(self) -> None:
        """A node that knows no starts told of them: any start of the worker may have been meant."""

        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            told.take_death(started_at_ms=0)
            told.quarantine.note_alive(told.first.worker)
            await asyncio.sleep(0.1)
            self.assertEqual(told.deaths, 0)
            told.take_death(started_at_ms=0)
            start = told.first.worker.start
            told.quarantine.take(
                WorkerProvedAlive(worker_id=WORKER, started_at_ms=start.started_at_ms)
            )
            self.assertEqual(told.deaths, 0)

        run_simulation(scenario)

    def test_one_that_lives_tells_the_other_nodes(self) -> None:
        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            told.take_death()
            told.quarantine.note_alive(told.first.worker)
            await asyncio.sleep(0.1)
            self.assertEqual(told.deaths, 0)
            started_at_ms = told.first.worker.started_at_ms
            alive = WorkerProvedAlive(worker_id=WORKER, started_at_ms=started_at_ms)
            self.assertEqual(told.notices, [alive])

        run_simulation(scenario)

    def test_one_that_lives_proves_it_by_its_report(self) -> None:
        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            told.take_death()
            told.quarantine.note_alive(told.first.worker)
            self.assertEqual(told.deaths, 1)
            await asyncio.sleep(0.1)
            self.assertEqual(told.deaths, 0)

        run_simulation(scenario)

    def test_one_that_gives_no_report_is_asked_once_a_second(self) -> None:
        async def scenario() -> None:
            told = Told()
            await asyncio.sleep(1.0)
            told.take_death()
            asked = 0
            told.first.faults.full = True
            answer = told.pool.status

            async def count(worker: Worker, *, fresh_connection: bool = False) -> WorkerStatus:
                nonlocal asked
                asked += 1
                return await answer(worker, fresh_connection=fresh_connection)

            told.pool.status = count  # type: ignore[method-assign]
            for _ in range(21):
                told.quarantine.note_alive(told.first.worker)
                await asyncio.sleep(REPORT_PAUSE_SECONDS / 10)
            self.assertEqual(asked, 3)
            self.assertEqual(told.deaths, 1)

        run_simulation(scenario)

    def test_where_no_start_is_told_any_answer_proves_it(self) -> None:
        async def scenario() -> None:
            told = Told(tells_starts=False)
            await asyncio.sleep(1.0)
            told.take_death()
            told.quarantine.note_alive(told.first.worker)
            self.assertEqual(told.deaths, 0)

        run_simulation(scenario)

    def test_a_notice_concerns_one_start(self) -> None:
        async def scenario() -> None:
            told = Told()
            told.take_death()
            started_at_ms = told.first.worker.started_at_ms
            for other in (0, started_at_ms + 1):
                told.quarantine.take(WorkerProvedAlive(worker_id=WORKER, started_at_ms=other))
                self.assertEqual(told.deaths, 1)
            told.quarantine.take(WorkerProvedAlive(worker_id=WORKER, started_at_ms=started_at_ms))
            self.assertEqual(told.deaths, 0)

        run_simulation(scenario)

    def test_each_start_of_one_worker_may_end(self) -> None:
        async def scenario() -> None:
            told = Told()
            for _ in range(3):
                record = told.directory.get(WORKER)
                assert record is not None
                began_at = told.clock.monotonic()
                told.quarantine.note_unanswered(REQUEST, "r", record.worker, began_at)
                await told.pool.end(told.pool["w"])
                told.directory.put(told.pool["w"].worker)
                told.quarantine.verdict(REQUEST, SERVICE)
            self.assertEqual(told.quarantine.ledger.in_a_row(REQUEST), 3)
            self.assertEqual(told.clock.monotonic(), 3 * RESTART_SECONDS)

        run_simulation(scenario)

    def test_what_nodes_without_starts_have_stored_still_decodes(self) -> None:
        class OldDeath(msgspec.Struct, frozen=True, kw_only=True):
            worker_id: BackendId
            kind: WorkerKind
            began_at: float
            ended_at: float

        old = OldDeath(
            worker_id=WORKER, kind=WorkerKind(service="s", release="r"), began_at=1.0, ended_at=2.0
        )
        (found,) = msgspec.msgpack.decode(msgspec.msgpack.encode((old,)), type=tuple[StoredDeath])
        self.assertEqual(found.start, worker(0).start)


class LoadsTest(unittest.TestCase):
    def test_a_load_that_a_restart_ended_is_begun_again(self) -> None:
        """The order that follows carries the expected sequence of the start that takes it."""

        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(1.0)
            for node in world.nodes:
                node.named.name(MODEL, WeightVersion(2))
            await asyncio.sleep(0.5)
            loading = world.workers["worker-1"]
            self.assertTrue(loading.busy)
            await world.workers.end(loading)
            orders = len(world.workers.orders)
            await asyncio.sleep(1.0)
            (again,) = world.workers.orders[orders:]
            self.assertEqual(again.worker_id, loading.worker.worker_id)
            self.assertEqual(again.order.expected_sequence, 0)
            await asyncio.sleep(1.0)
            self.assertEqual(world.workers["worker-1"].versions[MODEL], 2)

        play(scenario, node_count=2, worker_count=1, workers_keep_ids=True)

    def test_a_load_ends_also_if_its_worker_is_dropped_meanwhile(self) -> None:
        """Back with a later start, it is new to the directory: nobody is told of a restart."""

        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            node.lead()
            await asyncio.sleep(1.0)
            node.named.name(MODEL, WeightVersion(2))
            await asyncio.sleep(0.5)
            loading = world.workers["worker-1"]
            self.assertTrue(loading.busy)
            node.directory.remove(loading.worker.worker_id)
            await world.workers.end(loading)
            await asyncio.sleep(8.0)
            self.assertEqual(world.workers["worker-1"].versions[MODEL], 2)

        play(scenario, node_count=1, worker_count=1, workers_keep_ids=True)

    def test_one_that_leaves_while_it_is_asked_gets_no_order(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            ask = world.workers.status

            async def leave(worker: Worker, *, fresh_connection: bool = False) -> WorkerStatus:
                report = await ask(worker, fresh_connection=fresh_connection)
                node.directory.remove(worker.worker_id)
                return report

            world.workers.status = leave  # type: ignore[method-assign]
            node.lead()
            await asyncio.sleep(1.0)
            node.named.name(MODEL, WeightVersion(2))
            await asyncio.sleep(1.0)
            self.assertEqual(world.workers.orders, [])

        play(scenario, node_count=1, worker_count=1)

    def test_the_end_of_a_load_ends_no_later_one(self) -> None:
        planner = VersionPlanner(LoadPolicy())
        first = planner.note_started(WORKER)
        planner.note_restarted(WORKER)
        second = planner.note_started(WORKER)
        self.assertFalse(planner.note_ended(WORKER, first))
        planner.note_failed(WORKER, first, 0.0)
        self.assertTrue(planner.note_ended(WORKER, second))
        self.assertFalse(planner.note_ended(WORKER, second))

    def test_the_planner_forgets_what_was_under_way(self) -> None:
        directory = WorkerDirectory()
        directory.put(worker())
        planner = VersionPlanner(LoadPolicy())
        named = {MODEL: WeightVersion(2)}
        records = list(directory.all_records().values())
        planner.note_started(WORKER)
        self.assertEqual(planner.plan(named, records, 0.1), ())
        planner.note_restarted(WORKER)
        self.assertEqual(len(planner.plan(named, records, 0.1)), 1)

    def test_a_notice_of_a_load_concerns_the_start_that_took_the_order(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0].node
            entry = world.workers["worker-1"].worker
            notice = LoadingNotice(
                worker_id=entry.worker_id,
                model=MODEL,
                version=WeightVersion(2),
                seconds=2.0,
                holder="another",
                started_at_ms=entry.started_at_ms - 1,
            )
            record = node.directory.get(entry.worker_id)
            assert record is not None
            for started_at_ms, loads in ((entry.started_at_ms - 1, 0), (entry.started_at_ms, 1)):
                told = msgspec.structs.replace(notice, started_at_ms=started_at_ms)
                node._take_notices((told,))
                self.assertEqual(len(record.loads), loads)

        play(scenario, node_count=1, worker_count=1, workers_keep_ids=True)


class SilenceCheckTest(unittest.TestCase):
    def test_one_whose_entry_has_gone_may_have_lost_its_connections(self) -> None:
        async def scenario() -> None:
            told = Told()
            renewed: list[None] = []
            check = SilenceCheck(
                told.clock,
                told.directory,
                told.pool,
                TaskOwner(),
                lambda: renewed.append(None),
            )
            for _ in range(FEWEST_SILENT_RUNS):
                check.suspect(WORKER)
            told.directory.remove(WORKER)
            await asyncio.sleep(CHECK_SECONDS / 2)
            self.assertEqual(renewed, [None])

        run_simulation(scenario)

    def test_one_that_has_started_again_has_not_lost_its_connections(self) -> None:
        async def scenario() -> None:
            told = Told()
            renewed: list[None] = []
            check = SilenceCheck(
                told.clock,
                told.directory,
                told.pool,
                TaskOwner(),
                lambda: renewed.append(None),
            )
            await told.pool.end(told.first)
            for _ in range(FEWEST_SILENT_RUNS):
                check.suspect(WORKER)
            await asyncio.sleep(CHECK_SECONDS / 2)
            record = told.directory.get(WORKER)
            assert record is not None
            self.assertGreater(record.worker.started_at_ms, told.first.worker.started_at_ms)
            self.assertTrue(record.is_available(told.clock.monotonic()))
            self.assertEqual(renewed, [])

        run_simulation(scenario)


if __name__ == "__main__":
    unittest.main()
