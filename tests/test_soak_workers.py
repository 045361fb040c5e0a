"""Tests of the soak's workers: processes that are stopped and killed, and answers that get lost."""

import asyncio
import itertools
import re
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

from drumbay_platform.workers import PlatformWorkerClient
from drumbay_soak.answer_faults import AnswerFault
from drumbay_soak.answers import FAILURE_BODY
from drumbay_soak.fault_plan import (
    ENDLESS_FORM_KINDS,
    ENGINE_ANSWER_KINDS,
    ENGINE_ENDLESS_KINDS,
    ENGINE_SPOILT_KINDS,
    FaultKind,
    FaultSchedule,
    draw_faults,
)
from drumbay_soak.frames import encode_frame, split_frames
from drumbay_soak.request_marks import FAILING_MARK, REJECTED_MARK
from drumbay_soak.worker_log_file import WorkerLogWriter, read_worker_logs
from drumbay_soak.worker_messages import End, EntryRemoved, WorkerSpec
from drumbay_soak.worker_process import WorkerEnds, WorkerProcess

from drumbay.clock import SystemClock
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.free_addresses import free_address
from drumbay.standins.worker_log import LoggedCrash, LoggedRun
from drumbay.workers.records import (
    Worker,
    WorkerBrokenError,
    WorkerFailedError,
    WorkerRejectedError,
    WorkerRequest,
    WorkerUnreachableError,
)

TIMEOUT_SECONDS = 30.0
ANSWERS = 40
PAUSE_SECONDS = 0.5


def request(request_id: str, *, repeatable: bool = False) -> WorkerRequest:
    return WorkerRequest(
        request_id=request_id,
        method="POST",
        target="/x",
        host="h.example",
        headers=(("X-Drumbay-Model", "alpha"),),
        body=b"body",
        budget_seconds=TIMEOUT_SECONDS,
        repeatable=repeatable,
    )


class WorkerProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.client = PlatformWorkerClient(SystemClock())
        self.addCleanup(self.client.close)
        self.ends = WorkerEnds(restart_at_once=True)
        self.removed: list[BackendId] = []

    async def start(self, *, streams: bool = False) -> WorkerProcess:
        spec = WorkerSpec(
            worker_id=BackendId("w"),
            service="s",
            zone="zone-1",
            address=free_address(),
            slots=4,
            streams=streams,
            versions={"alpha": WeightVersion(1)},
            warm_up_seconds=0.0,
            cold_crash_rate=None,
            is_restart=False,
            log_file=str(self.folder / "w.runs"),
        )
        process = WorkerProcess(
            spec, self.ends, on_entry=lambda _: None, on_removal=self.removed.append
        )
        self.addAsyncCleanup(process.close)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await process.start()
        return process

    async def test_a_killed_worker_refuses_connections_until_its_successor_has_its_address(
        self,
    ) -> None:
        process = await self.start()
        assert process.worker is not None
        worker = process.worker
        await self.client.call(worker, request("before"))
        self.ends.restart_at_once = False
        process.kill()
        with self.assertRaises(WorkerUnreachableError):
            for _ in range(100):
                await self.try_call(worker)
        successor = await process.successor_of(worker)
        self.assertEqual(successor.address, worker.address)
        self.assertEqual((successor.worker_id, self.removed), ("w~1", ["w"]))
        await self.client.call(successor, request("after"))
        logs = read_worker_logs([process.log_file])
        self.assertEqual([crash.worker_id for crash in logs.crashes], ["w"])
        self.assertEqual([run.request_id for run in logs.runs], ["before", "after"])

    async def try_call(self, worker: Worker) -> None:
        try:
            await self.client.call(worker, request("between"))
        except WorkerBrokenError:
            await asyncio.sleep(0.01)

    async def test_a_worker_that_keeps_its_id_is_back_as_another_incarnation(self) -> None:
        self.ends.keeps_ids = True
        process = await self.start()
        assert process.worker is not None
        worker = process.worker
        process.send(End())
        successor = await process.successor_of(worker)
        self.assertEqual(successor.worker_id, worker.worker_id)
        self.assertGreater(successor.started_at_ms, worker.started_at_ms)
        self.assertEqual(self.removed, [])

    async def test_a_stopped_worker_runs_what_it_got_once_it_goes_on(self) -> None:
        process = await self.start()
        assert process.worker is not None
        process.pause()
        calls = [
            asyncio.create_task(self.client.call(process.worker, request(f"r{n}")))
            for n in range(3)
        ]
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(read_worker_logs([process.log_file]).arrivals, [])
        self.assertFalse(any(call.done() for call in calls))
        process.resume()
        await asyncio.gather(*calls)
        self.assertEqual(len(read_worker_logs([process.log_file]).arrivals), 3)

    async def outcomes(self, fault: AnswerFault, mark: str) -> list[str]:
        """Return how runs of items ended at an engine of whose answers a share is struck."""
        process = await self.start(streams=True)
        assert process.worker is not None
        worker = process.worker
        process.set_answer_fault(fault)

        async def run(number: int) -> str:
            try:
                async with asyncio.timeout(3.0):
                    async with self.client.stream(worker, request(f"i{number}{mark}")) as stream:
                        return str(len([events async for events in stream.events()]))
            except (WorkerBrokenError, WorkerFailedError, WorkerRejectedError) as error:
                return error.code
            except TimeoutError:
                return "silent"

        return [await run(number) for number in range(ANSWERS)]

    async def assert_share_is_struck(
        self, outcomes: Callable[[], Awaitable[list[str]]], struck: str
    ) -> None:
        count = (await outcomes()).count(struck)
        self.assertGreater(count, 0)
        self.assertLess(count, ANSWERS)

    async def test_a_share_of_the_failures_of_items_is_lost(self) -> None:
        await self.assert_share_is_struck(
            lambda: self.outcomes(AnswerFault.LOST, FAILING_MARK), "worker_answer_lost"
        )

    async def test_a_share_of_the_texts_is_lost_too(self) -> None:
        await self.assert_share_is_struck(
            lambda: self.outcomes(AnswerFault.LOST, ""), "worker_answer_lost"
        )

    async def test_a_rejected_item_keeps_its_status(self) -> None:
        outcomes = await self.outcomes(AnswerFault.LOST, REJECTED_MARK)
        self.assertEqual(set(outcomes), {"worker_answer_lost", "worker_rejected"})
        runs = read_worker_logs([self.folder / "w.runs"]).runs
        self.assertEqual({run.failed_with for run in runs}, {422})

    async def test_all_failures_are_replaced_by_bytes_that_are_no_answer(self) -> None:
        outcomes = await self.outcomes(AnswerFault.FAILURES_SPOILT, REJECTED_MARK)
        self.assertEqual(set(outcomes), {"worker_answer_lost"})

    async def test_answers_without_a_length_are_whole(self) -> None:
        outcomes = await self.outcomes(AnswerFault.UNFRAMED, "")
        self.assertLessEqual({outcome.isdigit() for outcome in outcomes}, {True})

    async def test_failures_carry_the_id_the_seal_and_a_body(self) -> None:
        process = await self.start(streams=True)
        assert process.worker is not None
        address = process.worker.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: h\r\nX-Drumbay-Attempt-Id: r-rejected\r\n"
            b"X-Drumbay-Model: alpha\r\nContent-Length: 0\r\n\r\n"
        )
        answer = await reader.readuntil(FAILURE_BODY)
        writer.close()
        self.assertIn(b"HTTP/1.1 422", answer)
        for name in (b"X-Drumbay-Attempt-Id: r-rejected", b"X-Drumbay-Server-Seal: "):
            self.assertIn(name, answer)

    async def test_surplus_answers_come_at_once_or_before_the_next(self) -> None:
        process = await self.start(streams=True)
        assert process.worker is not None
        process.set_answer_fault(None, adds_surplus=True)
        address = process.worker.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        for number in range(ANSWERS):
            writer.write(
                f"POST /x HTTP/1.1\r\nHost: h\r\nX-Drumbay-Attempt-Id: r{number}-rejected\r\n"
                "X-Drumbay-Model: alpha\r\nContent-Length: 0\r\n\r\n".encode()
            )
        received = b""
        last = f"r{ANSWERS - 1}-rejected".encode()
        while last not in received:
            received += await reader.read(65_536)
        writer.close()
        ids = re.findall(rb"X-Drumbay-Attempt-Id: (r\d+)-", received)
        doubled = [first for first, second in itertools.pairwise(ids) if first == second]
        self.assertGreater(len(doubled), ANSWERS // 5)
        self.assertLess(len(doubled), ANSWERS * 4 // 5)


class WorkerLogFileTest(unittest.TestCase):
    def test_a_run_without_an_end_was_ended_by_the_end_of_its_worker(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        writer = WorkerLogWriter(folder / "w.runs")
        whole, cut = (
            LoggedRun(
                worker_id=BackendId("w"),
                request_id=name,
                started_at=at,
                budget_seconds=float("inf"),
            )
            for name, at in (("whole", 1.0), ("cut", 2.0))
        )
        writer.write(whole)
        writer.write(cut)
        whole.ended_at = 1.5
        writer.write(whole)
        writer.write(LoggedCrash(worker_id=BackendId("w"), at=3.0))
        runs = read_worker_logs([folder / "w.runs"]).runs
        self.assertEqual(
            [(run.request_id, run.ended_at) for run in runs], [("whole", 1.5), ("cut", 3.0)]
        )

    def test_a_frame_without_its_end_is_passed_over(self) -> None:
        frame = encode_frame(EntryRemoved(worker_id=BackendId("w")))
        self.assertEqual(len(list(split_frames(frame + frame[:-1]))), 1)
        self.assertEqual(len(list(split_frames(frame + frame[:2]))), 1)


class EngineAnswersTest(unittest.TestCase):
    def drawn(self, seed: int, kinds: frozenset[FaultKind] = frozenset()) -> set[FaultKind]:
        schedule = FaultSchedule(
            length_seconds=40.0, node_count=4, worker_count=9, application_count=3, kinds=kinds
        )
        return {fault.kind for fault in draw_faults(seed, schedule)}

    def test_engines_answer_badly_in_one_way_at_most(self) -> None:
        kinds = frozenset(ENGINE_ANSWER_KINDS)
        found = [self.drawn(seed) & kinds for seed in range(40)]
        self.assertEqual(max(map(len, found)), 1)
        self.assertEqual(set().union(*found), kinds)
        self.assertIn(set(), found)

    def test_endless_answers_replace_no_other_fault_of_engines(self) -> None:
        kinds = frozenset(ENGINE_ENDLESS_KINDS)
        for seed in range(40):
            drawn = self.drawn(seed)
            self.assertLessEqual(len(drawn & (kinds | frozenset(ENGINE_ANSWER_KINDS))), 1)
            self.assertEqual(len(drawn & frozenset(ENDLESS_FORM_KINDS)), 1)

    def test_spoilt_answers_replace_no_other_fault_of_engines(self) -> None:
        others = frozenset({*ENGINE_ENDLESS_KINDS, *ENGINE_ANSWER_KINDS})
        spoilt = frozenset(ENGINE_SPOILT_KINDS)
        drawn = [self.drawn(seed) & (spoilt | others) for seed in range(200)]
        self.assertEqual(max(map(len, drawn)), 1)
        self.assertLessEqual(spoilt, set().union(*drawn))

    def test_surplus_answers_are_drawn_in_half_of_the_runs(self) -> None:
        drawn = [FaultKind.ENGINE_ANSWERS_SURPLUS in self.drawn(seed) for seed in range(40)]
        self.assertTrue(10 < sum(drawn) < 30)

    def test_endless_answers_are_drawn_only_if_selected(self) -> None:
        drawn = self.drawn(1, frozenset({FaultKind.WORKER_KILLED}))
        self.assertEqual(drawn, {FaultKind.WORKER_KILLED})
        selected = frozenset({FaultKind.ENGINE_FAILURES_ENDLESS, FaultKind.ENDLESS_HEAD})
        self.assertEqual([self.drawn(seed, selected) for seed in range(5)], [set(selected)] * 5)

    def test_a_selected_way_is_drawn(self) -> None:
        selected = frozenset({FaultKind.ENGINE_ANSWERS_CUT})
        self.assertEqual([self.drawn(seed, selected) for seed in range(5)], [set(selected)] * 5)


if __name__ == "__main__":
    unittest.main()
