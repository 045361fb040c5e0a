"""Workers that restart under their ids: previous state is dropped, crashes are kept.

Guards against applying loads, latencies, pauses and runs of the previous incarnation to a restarted
worker, and against its responses withdrawing crashes of the previous incarnation.
"""

import asyncio
import random
import unittest

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId, Revision, WeightVersion
from drumbay.kv.interface import KeyValue
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import LoadingNotice
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import (
    CrashReport,
    QuarantineNotice,
    RequestSuspected,
    WorkerKind,
    WorkerProvedAlive,
)
from drumbay.quarantine.service import REPORT_REQUEST_INTERVAL_SECONDS, Quarantine
from drumbay.quarantine.stored import PREFIX, StoredCrash, StoredQuarantine
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.worker_pool import RESTART_SECONDS, EmulatedWorkerPool
from drumbay.tasks import TaskOwner
from drumbay.weights.version_planner import LoadPolicy, VersionPlanner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerLoad, WorkerState, WorkerStatus
from drumbay.workers.silence_check import CHECK_SECONDS, MIN_SILENT_RUNS, SilenceCheck
from drumbay.workers.worker_record import WorkerRecord
from tests.serving_world import MODEL, SERVICE, ServingWorld, run_in_world, unrestricted_placement

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

    def record_with_full_state(self) -> WorkerRecord:
        """Set every field of the record for the first incarnation."""
        record = self.record()
        record.in_flight = 3
        record.expected_tokens = 100
        self.directory.observe_load(WORKER, WorkerLoad(running=4, waiting=2, slots=4), 1.0)
        self.directory.observe_event_interval(WORKER, 0.5, 1.0)
        self.directory.observe_response(WORKER, 2.0, 1.0)
        self.directory.observe_failed_run(WORKER, 1.0)
        self.directory.record_weight_load(WORKER, MODEL, WeightVersion(9), 50.0)
        self.directory.observe_refusal(WORKER, MODEL, 1.0)
        self.directory.observe_failure(WORKER, 1.0)
        return record

    def assert_reset(self, version: int, *, is_start_reported: bool = False) -> None:
        expected = WorkerRecord(
            worker=worker(SECOND_MS, version),
            versions={MODEL: WeightVersion(version)},
            is_start_reported=is_start_reported,
        )
        record = msgspec.structs.replace(
            self.record(),
            event_intervals=expected.event_intervals,
            response_stats=expected.response_stats,
        )
        self.assertEqual(record, expected)
        self.assertIsNone(self.record().event_intervals.current(1.0))
        self.assertEqual(self.record().response_stats.relative_latency(1.0), 1.0)
        self.assertEqual(self.record().response_stats.failure_rate(1.0), 0.0)
        self.assertTrue(self.record().is_available(1.0))
        self.assertEqual(self.restarted, [WORKER])

    def test_later_start_in_discovery_replaces_the_record(self) -> None:
        self.record_with_full_state()
        self.directory.put(worker(SECOND_MS, version=2))
        self.assert_reset(version=2)

    def test_later_start_in_a_snapshot_replaces_the_record(self) -> None:
        self.record_with_full_state()
        self.directory.replace_all([worker(SECOND_MS, version=2)])
        self.assert_reset(version=2)

    def test_later_start_in_a_report_replaces_the_record(self) -> None:
        self.record_with_full_state()
        self.directory.apply_status(WORKER, status(SECOND_MS, version=2), 1.0, asked_at=0.9)
        self.assert_reset(version=2, is_start_reported=True)
        self.directory.put(worker(FIRST_MS, version=3))
        self.assert_reset(version=2, is_start_reported=True)
        self.directory.put(worker(SECOND_MS, version=2))
        self.assert_reset(version=2)

    def test_start_earlier_than_the_reported_one_is_ignored(self) -> None:
        self.directory.apply_status(WORKER, status(SECOND_MS, version=2), 1.0, asked_at=0.9)
        self.directory.put(msgspec.structs.replace(worker(), state=WorkerState.DRAINING))
        self.directory.apply_status(WORKER, status(FIRST_MS, version=8), 1.0, asked_at=0.9)
        self.assert_reset(version=2, is_start_reported=True)

    def test_newer_entry_wins_regardless_of_its_start_time(self) -> None:
        """An entry of another writer, or a clock set back, must not hide a drain."""
        draining = msgspec.structs.replace(worker(FIRST_MS, version=2), state=WorkerState.DRAINING)
        for reports in (False, True):
            with self.subTest(reports=reports):
                self.directory.put(worker(SECOND_MS, version=9))
                if reports:
                    reported = status(SECOND_MS, version=9)
                    self.directory.apply_status(WORKER, reported, 1.0, asked_at=0.9)
                self.directory.put(draining)
                self.assertEqual(self.record().worker, draining)
                self.assertEqual(self.record().versions[MODEL], 2)
        self.directory.apply_status(WORKER, status(SECOND_MS), 1.0, asked_at=0.9)
        self.directory.put(worker(SECOND_MS))
        self.directory.put(draining)
        self.assertEqual(self.record().worker, draining)

    def test_reported_restart_does_not_restore_a_lapsed_entry(self) -> None:
        self.directory.replace_all([], missing_until=5.0)
        self.directory.apply_status(WORKER, status(SECOND_MS), 1.0, asked_at=0.9)
        self.assertEqual(self.directory.drop_missing(5.0), (WORKER,))
        self.directory.put(worker(SECOND_MS))
        self.directory.replace_all([], missing_until=5.0)
        self.directory.apply_status(WORKER, status(SECOND_MS + 1), 1.0, asked_at=0.9)
        self.directory.put(worker(SECOND_MS + 1))
        self.assertEqual(self.directory.drop_missing(5.0), ())

    def test_report_supplies_a_start_time_missing_from_the_entry(self) -> None:
        self.directory.remove(WORKER)
        self.directory.put(worker(0, version=3))
        record = self.record_with_full_state()
        self.directory.apply_status(WORKER, status(FIRST_MS, version=4), 1.0, asked_at=0.9)
        self.assertIs(self.record(), record)
        self.assertEqual(record.worker, worker(FIRST_MS, version=3))
        self.assertEqual(record.versions[MODEL], 4)
        self.assertEqual(record.in_flight, 3)
        self.assertEqual(self.restarted, [])
        # Runs that began without a known incarnation belong to this record.
        self.assertIs(self.directory.get(WORKER, 0), record)
        self.assertFalse(self.directory.has_restarted(worker(0)))
        self.directory.apply_status(WORKER, status(SECOND_MS), 1.0, asked_at=0.9)
        self.assertEqual(self.restarted, [WORKER])

    def test_only_a_different_known_start_is_a_restart(self) -> None:
        self.assertFalse(self.directory.has_restarted(worker()))
        self.assertTrue(self.directory.has_restarted(worker(SECOND_MS)))
        self.directory.remove(WORKER)
        self.assertFalse(self.directory.has_restarted(worker(SECOND_MS)))
        self.directory.put(worker(0))
        self.assertFalse(self.directory.has_restarted(worker()))

    def test_same_start_keeps_the_record(self) -> None:
        record = self.record_with_full_state()
        for same in (worker(version=1), worker(0, version=1)):
            self.directory.put(same)
            self.assertIs(self.record(), record)
            self.assertEqual(record.worker.started_at_ms, FIRST_MS)
            self.assertEqual(record.versions[MODEL], 3)
            self.assertEqual(record.in_flight, 3)
        self.assertEqual(self.restarted, [])

    def test_runs_of_the_previous_start_do_not_affect_the_next(self) -> None:
        before = self.record_with_full_state()
        self.directory.put(worker(SECOND_MS, version=2))
        before.in_flight -= 3
        self.directory.observe_failure(WORKER, 1.0, FIRST_MS)
        self.directory.pause(WORKER, 1.0, 5.0, FIRST_MS)
        self.directory.observe_refusal(WORKER, MODEL, 1.0, FIRST_MS)
        self.directory.observe_version(WORKER, MODEL, WeightVersion(9), 1.0, FIRST_MS)
        self.directory.observe_event_interval(WORKER, 0.5, 1.0, FIRST_MS)
        self.directory.observe_response(WORKER, 2.0, 1.0, FIRST_MS)
        self.directory.observe_cancelled_run(WORKER, 2.0, 1.0, FIRST_MS)
        self.directory.observe_failed_run(WORKER, 1.0, FIRST_MS)
        self.directory.record_weight_load(WORKER, MODEL, WeightVersion(9), 50.0, FIRST_MS)
        load = WorkerLoad(running=4, waiting=2, slots=4)
        self.directory.observe_load(WORKER, load, 1.0, FIRST_MS)
        self.assert_reset(version=2)

    def test_start_is_replaced_only_by_a_different_start(self) -> None:
        self.assertFalse(self.directory.is_replaced(worker()))
        self.directory.put(worker(SECOND_MS))
        self.assertTrue(self.directory.is_replaced(worker()))
        self.assertFalse(self.directory.is_replaced(worker(SECOND_MS)))
        self.assertFalse(self.directory.is_replaced(worker(0)))

    def test_lapsed_worker_returns_with_its_new_entry(self) -> None:
        self.directory.remove(WORKER)
        self.directory.put(worker(version=2))
        self.assertEqual(self.record().versions[MODEL], 2)
        self.assertEqual(self.restarted, [])


class QuarantineFixture:
    """A quarantine with one emulated worker; collects its notices to other nodes."""

    def __init__(self, *, reports_start_times: bool = True) -> None:
        self.clock = SimulationClock()
        self.pool = EmulatedWorkerPool(self.clock, reports_start_times=reports_start_times)
        self.pool.keep_ids = True
        self.first = self.pool.add("w", SERVICE)
        self.directory = WorkerDirectory()
        self.directory.put(self.first.worker)
        self.notices: list[QuarantineNotice] = []
        self.quarantine = Quarantine(
            self.clock,
            self.directory,
            unrestricted_placement(self.clock),
            self.pool,
            TaskOwner(),
            ServingMetrics(),
            self.notices.append,
            NetworkAddress("127.0.0.1", 1),
        )

    def receive_crash(
        self, *, ended_seconds_ago: float = 0.0, started_at_ms: int | None = None
    ) -> None:
        """Receive a crash of the worker under a run that began half a second ago."""
        if started_at_ms is None:
            started_at_ms = self.first.worker.started_at_ms
        crash = CrashReport(
            worker_id=WORKER,
            kind=WorkerKind(service=SERVICE, release=""),
            began_seconds_ago=0.5,
            ended_seconds_ago=ended_seconds_ago,
            started_at_ms=started_at_ms,
        )
        self.quarantine.handle_notice(RequestSuspected(fingerprint=REQUEST, deaths=(crash,)))

    @property
    def crash_count(self) -> int:
        return len(self.quarantine.ledger.crashes(REQUEST))


class CrashesByStartTest(unittest.TestCase):
    def test_response_of_an_undiscovered_restart_withdraws_no_crash(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            fixture.receive_crash()
            known = fixture.first.worker
            await fixture.pool.end(fixture.first)
            fixture.quarantine.record_worker_response(known)
            self.assertEqual(fixture.crash_count, 1)
            await asyncio.sleep(0.1)
            self.assertEqual(fixture.crash_count, 1)
            record = fixture.directory.get(WORKER)
            assert record is not None
            self.assertGreater(record.worker.started_at_ms, known.started_at_ms)
            self.assertTrue(fixture.directory.is_replaced(known))
            fixture.quarantine.record_worker_response(record.worker)
            self.assertEqual(fixture.crash_count, 1)
            self.assertEqual(fixture.notices, [])

        run_simulation(scenario)

    def test_response_sent_before_the_crash_does_not_withdraw_it(self) -> None:
        """A crashed worker refuses report requests, so the crash stays."""

        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            ending = asyncio.ensure_future(fixture.pool.end(fixture.first))
            await asyncio.sleep(0.1)
            fixture.receive_crash()
            fixture.quarantine.record_worker_response(fixture.first.worker)
            await asyncio.sleep(0.1)
            self.assertEqual(fixture.crash_count, 1)
            await ending
            self.assertEqual(fixture.crash_count, 1)
            self.assertEqual(fixture.notices, [])

        run_simulation(scenario)

    def test_report_requested_before_the_crash_was_known_is_ignored(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            report = await fixture.pool.status(fixture.first.worker)
            asked_at = fixture.clock.monotonic()
            await asyncio.sleep(0.1)
            fixture.receive_crash()
            await asyncio.sleep(0.1)
            now = fixture.clock.monotonic()
            fixture.directory.apply_status(WORKER, report, now, asked_at=asked_at)
            self.assertEqual(fixture.crash_count, 1)
            # The crash is reported again, with an earlier time.
            fixture.receive_crash(ended_seconds_ago=0.4)
            fixture.directory.apply_status(WORKER, report, now, asked_at=now - 0.05)
            self.assertEqual(fixture.crash_count, 0)

        run_simulation(scenario)

    def test_stored_crash_counts_as_learned_when_loaded(self) -> None:
        """With different clocks, the crash may look older than the report request."""

        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            store = MemoryKeyValueStore(KeyValueModel(fixture.clock), fixture.clock)
            stored = StoredQuarantine(
                fixture.clock, store, fixture.quarantine, random.Random(1), lambda: False
            )
            crash = StoredCrash(
                worker_id=WORKER,
                kind=WorkerKind(service=SERVICE, release=""),
                began_at=fixture.clock.wall() - 50.0,
                ended_at=fixture.clock.wall() - 40.0,
                started_at_ms=fixture.first.worker.started_at_ms,
            )
            report = await fixture.pool.status(fixture.first.worker)
            asked_at = fixture.clock.monotonic()
            await asyncio.sleep(0.1)
            item = KeyValue(
                key=f"{PREFIX}{REQUEST}",
                value=msgspec.msgpack.encode((crash,)),
                create_revision=Revision(1),
                mod_revision=Revision(1),
                version=1,
            )
            stored.feed.on_snapshot((item,), 0.0)
            fixture.directory.apply_status(
                WORKER, report, fixture.clock.monotonic(), asked_at=asked_at
            )
            self.assertEqual(fixture.crash_count, 1)

        run_simulation(scenario)

    def test_live_start_withdraws_crashes_without_a_start(self) -> None:
        """A crash without a start time may refer to any incarnation of the worker."""

        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            fixture.receive_crash(started_at_ms=0)
            fixture.quarantine.record_worker_response(fixture.first.worker)
            await asyncio.sleep(0.1)
            self.assertEqual(fixture.crash_count, 0)
            fixture.receive_crash(started_at_ms=0)
            incarnation = fixture.first.worker.incarnation
            fixture.quarantine.handle_notice(
                WorkerProvedAlive(worker_id=WORKER, started_at_ms=incarnation.started_at_ms)
            )
            self.assertEqual(fixture.crash_count, 0)

        run_simulation(scenario)

    def test_withdrawal_is_broadcast(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            fixture.receive_crash()
            fixture.quarantine.record_worker_response(fixture.first.worker)
            await asyncio.sleep(0.1)
            self.assertEqual(fixture.crash_count, 0)
            started_at_ms = fixture.first.worker.started_at_ms
            alive = WorkerProvedAlive(worker_id=WORKER, started_at_ms=started_at_ms)
            self.assertEqual(fixture.notices, [alive])

        run_simulation(scenario)

    def test_report_of_a_live_worker_withdraws_its_crash(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            fixture.receive_crash()
            fixture.quarantine.record_worker_response(fixture.first.worker)
            self.assertEqual(fixture.crash_count, 1)
            await asyncio.sleep(0.1)
            self.assertEqual(fixture.crash_count, 0)

        run_simulation(scenario)

    def test_report_requests_are_rate_limited(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            await asyncio.sleep(1.0)
            fixture.receive_crash()
            request_count = 0
            fixture.first.faults.full = True
            fetch_status = fixture.pool.status

            async def count(worker: Worker, *, fresh_connection: bool = False) -> WorkerStatus:
                nonlocal request_count
                request_count += 1
                return await fetch_status(worker, fresh_connection=fresh_connection)

            fixture.pool.status = count  # type: ignore[method-assign]
            for _ in range(21):
                fixture.quarantine.record_worker_response(fixture.first.worker)
                await asyncio.sleep(REPORT_REQUEST_INTERVAL_SECONDS / 10)
            self.assertEqual(request_count, 3)
            self.assertEqual(fixture.crash_count, 1)

        run_simulation(scenario)

    def test_any_response_withdraws_a_crash_without_reported_starts(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture(reports_start_times=False)
            await asyncio.sleep(1.0)
            fixture.receive_crash()
            fixture.quarantine.record_worker_response(fixture.first.worker)
            self.assertEqual(fixture.crash_count, 0)

        run_simulation(scenario)

    def test_notice_concerns_one_start(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            fixture.receive_crash()
            started_at_ms = fixture.first.worker.started_at_ms
            for other in (0, started_at_ms + 1):
                fixture.quarantine.handle_notice(
                    WorkerProvedAlive(worker_id=WORKER, started_at_ms=other)
                )
                self.assertEqual(fixture.crash_count, 1)
            fixture.quarantine.handle_notice(
                WorkerProvedAlive(worker_id=WORKER, started_at_ms=started_at_ms)
            )
            self.assertEqual(fixture.crash_count, 0)

        run_simulation(scenario)

    def test_each_start_of_a_worker_may_crash(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            for _ in range(3):
                record = fixture.directory.get(WORKER)
                assert record is not None
                began_at = fixture.clock.monotonic()
                fixture.quarantine.record_unanswered_run(REQUEST, "r", record.worker, began_at)
                await fixture.pool.end(fixture.pool["w"])
                fixture.directory.put(fixture.pool["w"].worker)
                fixture.quarantine.verdict(REQUEST, SERVICE)
            self.assertEqual(fixture.quarantine.ledger.consecutive_crashes(REQUEST), 3)
            self.assertEqual(fixture.clock.monotonic(), 3 * RESTART_SECONDS)

        run_simulation(scenario)

    def test_stored_crash_without_a_start_still_decodes(self) -> None:
        class OldCrash(msgspec.Struct, frozen=True, kw_only=True):
            worker_id: BackendId
            kind: WorkerKind
            began_at: float
            ended_at: float

        old = OldCrash(
            worker_id=WORKER, kind=WorkerKind(service="s", release="r"), began_at=1.0, ended_at=2.0
        )
        (found,) = msgspec.msgpack.decode(msgspec.msgpack.encode((old,)), type=tuple[StoredCrash])
        self.assertEqual(found.incarnation, worker(0).incarnation)


class LoadsTest(unittest.TestCase):
    def test_load_interrupted_by_a_restart_is_ordered_again(self) -> None:
        """The next order carries the expected sequence of the new incarnation."""

        async def scenario(world: ServingWorld) -> None:
            for node in world.nodes:
                node.lead()
            await asyncio.sleep(1.0)
            for node in world.nodes:
                node.announced.announce(MODEL, WeightVersion(2))
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

        run_in_world(scenario, node_count=2, worker_count=1, workers_keep_ids=True)

    def test_load_ends_when_its_worker_is_dropped(self) -> None:
        """The returning worker is new to the directory, so no restart is reported."""

        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            node.lead()
            await asyncio.sleep(1.0)
            node.announced.announce(MODEL, WeightVersion(2))
            await asyncio.sleep(0.5)
            loading = world.workers["worker-1"]
            self.assertTrue(loading.busy)
            node.directory.remove(loading.worker.worker_id)
            await world.workers.end(loading)
            await asyncio.sleep(8.0)
            self.assertEqual(world.workers["worker-1"].versions[MODEL], 2)

        run_in_world(scenario, node_count=1, worker_count=1, workers_keep_ids=True)

    def test_worker_removed_during_its_status_call_gets_no_order(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            node = world.nodes[0]
            fetch_status = world.workers.status

            async def remove_and_report(
                worker: Worker, *, fresh_connection: bool = False
            ) -> WorkerStatus:
                report = await fetch_status(worker, fresh_connection=fresh_connection)
                node.directory.remove(worker.worker_id)
                return report

            world.workers.status = remove_and_report  # type: ignore[method-assign]
            node.lead()
            await asyncio.sleep(1.0)
            node.announced.announce(MODEL, WeightVersion(2))
            await asyncio.sleep(1.0)
            self.assertEqual(world.workers.orders, [])

        run_in_world(scenario, node_count=1, worker_count=1)

    def test_end_of_a_load_does_not_end_a_later_one(self) -> None:
        planner = VersionPlanner(LoadPolicy())
        first = planner.record_load_started(WORKER, MODEL)
        planner.record_worker_restarted(WORKER)
        second = planner.record_load_started(WORKER, MODEL)
        self.assertFalse(planner.record_load_ended(WORKER, first))
        planner.record_load_failed(WORKER, first, 0.0)
        self.assertTrue(planner.record_load_ended(WORKER, second))
        self.assertFalse(planner.record_load_ended(WORKER, second))

    def test_planner_drops_loads_in_progress_on_restart(self) -> None:
        directory = WorkerDirectory()
        directory.put(worker())
        planner = VersionPlanner(LoadPolicy())
        named = {MODEL: WeightVersion(2)}
        records = list(directory.all_records().values())
        planner.record_load_started(WORKER, MODEL)
        self.assertEqual(planner.plan(named, records, 0.1), ())
        planner.record_worker_restarted(WORKER)
        self.assertEqual(len(planner.plan(named, records, 0.1)), 1)

    def test_loading_notice_concerns_one_start(self) -> None:
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
                changed = msgspec.structs.replace(notice, started_at_ms=started_at_ms)
                node._take_notices((changed,))
                self.assertEqual(len(record.pending_loads), loads)

        run_in_world(scenario, node_count=1, worker_count=1, workers_keep_ids=True)


class SilenceCheckTest(unittest.TestCase):
    def test_connections_are_renewed_for_a_removed_worker(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            renewed: list[None] = []
            check = SilenceCheck(
                fixture.clock,
                fixture.directory,
                fixture.pool,
                TaskOwner(),
                lambda: renewed.append(None),
            )
            for _ in range(MIN_SILENT_RUNS):
                check.report_silent_run(WORKER)
            fixture.directory.remove(WORKER)
            await asyncio.sleep(CHECK_SECONDS / 2)
            self.assertEqual(renewed, [None])

        run_simulation(scenario)

    def test_connections_are_kept_for_a_restarted_worker(self) -> None:
        async def scenario() -> None:
            fixture = QuarantineFixture()
            renewed: list[None] = []
            check = SilenceCheck(
                fixture.clock,
                fixture.directory,
                fixture.pool,
                TaskOwner(),
                lambda: renewed.append(None),
            )
            await fixture.pool.end(fixture.first)
            for _ in range(MIN_SILENT_RUNS):
                check.report_silent_run(WORKER)
            await asyncio.sleep(CHECK_SECONDS / 2)
            record = fixture.directory.get(WORKER)
            assert record is not None
            self.assertGreater(record.worker.started_at_ms, fixture.first.worker.started_at_ms)
            self.assertTrue(record.is_available(fixture.clock.monotonic()))
            self.assertEqual(renewed, [])

        run_simulation(scenario)


if __name__ == "__main__":
    unittest.main()
