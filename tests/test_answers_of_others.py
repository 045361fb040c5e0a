"""Answers that are not the request's own, or come with bytes that are none: the own one counts."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from drumbay_platform.workers import PlatformWorkerClient

from drumbay.clock import SystemClock
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.workers.records import (
    LoadMode,
    LoadOrder,
    Worker,
    WorkerAnswerLostError,
    WorkerBrokenError,
    WorkerConnectionClosedError,
    WorkerCutOffError,
    WorkerError,
    WorkerFailedError,
    WorkerMisdirectedError,
    WorkerRefusedError,
    WorkerRejectedError,
    WorkerRequest,
    WorkerState,
)
from tests.scripted_server import ScriptedServer
from tests.sequence_server import SequenceServer

TIMEOUT_SECONDS = 10.0
NO_ANSWER = b"\x00\x01 no answer in the protocol\r\n\r\n"
MALFORMED = "A line without a colon"
FAILURES = ((422, WorkerRejectedError), (421, WorkerMisdirectedError), (500, WorkerFailedError))
EVENT = b"id: 1\ndata: text\n\n"


def answer(name: str, status: int = 200, *lines: str, body: bytes = b"") -> bytes:
    """Return the whole answer to the request with an id."""
    head = [
        f"HTTP/1.1 {status} X",
        *lines,
        f"X-Drumbay-Attempt-Id: {name}",
        "X-Drumbay-Server-Seal: s",
        "X-Drumbay-Weight-Versions: 1",
        f"Content-Length: {len(body)}",
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def request(name: str) -> WorkerRequest:
    return WorkerRequest(
        request_id=name,
        method="POST",
        target="/l/x",
        host="h.example",
        headers=(("X-Drumbay-Attempt-Id", name),),
        body=b"body",
        budget_seconds=TIMEOUT_SECONDS,
        repeatable=True,
    )


def worker_at(address: NetworkAddress) -> Worker:
    return Worker(
        worker_id=BackendId("i-1"),
        service="a",
        address=address,
        zone="z",
        slots=1,
        state=WorkerState.READY,
        versions={},
    )


class WorkerClientCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = PlatformWorkerClient(SystemClock())
        self.addCleanup(self.client.close)

    async def server(self, *script: bytes | None) -> Worker:
        self.scripted = SequenceServer(*script)
        await self.scripted.start()
        self.addAsyncCleanup(self.scripted.close)
        return worker_at(self.scripted.address)

    async def stream(self, worker: Worker, name: str) -> str:
        async with self.client.stream(worker, request(name)) as stream:
            return "".join([event.data async for events in stream.events() for event in events])

    async def call(self, worker: Worker, name: str) -> str:
        return (await self.client.call(worker, request(name))).body.decode()

    async def outcome(
        self, send: Callable[[Worker, str], Awaitable[str]], worker: Worker, name: str
    ) -> str | type[WorkerError]:
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await send(worker, name)
        except WorkerError as error:
            return type(error)


class SurplusAnswersTest(WorkerClientCase):
    """A second answer to one request comes before the answer to the next one."""

    async def test_an_item_keeps_its_outcome(self) -> None:
        for status, error in FAILURES:
            with self.subTest(status=status):
                surplus = answer("r1", 500, body=b"x" * 10_000)
                worker = await self.server(answer("r1"), surplus + answer("r2", status))
                await self.outcome(self.stream, worker, "r1")
                self.assertIs(await self.outcome(self.stream, worker, "r2"), error)
                self.assertEqual(self.scripted.connections, 1)

    async def test_an_item_keeps_its_text(self) -> None:
        surplus = answer("r1", body=b"id: 1\ndata: other\n\n")
        worker = await self.server(answer("r1"), 2 * surplus + answer("r2", body=EVENT))
        await self.outcome(self.stream, worker, "r1")
        self.assertEqual(await self.outcome(self.stream, worker, "r2"), "text")

    async def test_a_call_keeps_its_outcome(self) -> None:
        refused = answer("r2", 503, "X-Drumbay-Not-Executed: 1")
        for own, expected in (
            (answer("r2", body=b"own"), "own"),
            (answer("r2", 500), WorkerFailedError),
            (refused, WorkerRefusedError),
        ):
            with self.subTest(expected=expected):
                worker = await self.server(answer("r1"), answer("r1", 503) + own)
                await self.outcome(self.call, worker, "r1")
                self.assertEqual(await self.outcome(self.call, worker, "r2"), expected)
                self.assertEqual(self.scripted.connections, 1)

    async def test_a_call_is_broken_if_only_answers_of_others_come(self) -> None:
        for rest in (b"", answer("r1")[:-4], b"HTTP/1.1 200 X\r\nX-Drumbay-Attempt-Id: r1\r\n\r\n"):
            worker = await self.server(answer("r1"), answer("r1") + rest, None)
            await self.outcome(self.call, worker, "r1")
            call = asyncio.create_task(self.outcome(self.call, worker, "r2"))
            async with asyncio.timeout(2.0):
                await asyncio.sleep(0.1)
                await self.scripted.close()
                self.assertIs(await call, WorkerBrokenError)

    async def test_a_request_does_not_follow_itself_on_a_connection(self) -> None:
        """Its second answer would not be told from the answer to its next run."""
        worker = await self.server(answer("r1", 500), answer("r1", 500))
        for _ in range(2):
            await self.outcome(self.stream, worker, "r1")
        self.assertEqual(self.scripted.connections, 2)

    async def test_an_order_does_not_take_the_answer_to_an_earlier_call(self) -> None:
        """Answers to orders and reports name no request."""
        report = b"HTTP/1.1 200 X\r\nContent-Length: 34\r\n\r\n" + (
            b'{"models":[],"busy":false,"seq":1}'
        )
        worker = await self.server(report, report)
        await self.client.status(worker)
        order = LoadOrder(
            model="m",
            version=WeightVersion(2),
            mode=LoadMode.KEEP_RUNNING,
            holder="n",
            fence=Fence(1),
            expected_sequence=0,
        )
        await self.client.order(worker, order)
        self.assertEqual(self.scripted.connections, 2)

    async def test_a_report_is_read_after_the_answer_to_a_request(self) -> None:
        report = b"HTTP/1.1 200 X\r\nContent-Length: 34\r\n\r\n" + (
            b'{"models":[],"busy":false,"seq":7}'
        )
        worker = await self.server(answer("r1", body=b"{}") + report)
        status = await self.client.status(worker)
        self.assertEqual(status.sequence, 7)


class SpoiltHeadsTest(WorkerClientCase):
    """Bytes that are no part of an answer come with one that names the request."""

    async def test_a_malformed_line_leaves_the_outcome(self) -> None:
        for status, error in FAILURES:
            for position in ("before", "after"):
                with self.subTest(status=status, position=position):
                    spoilt = answer("r1", status, MALFORMED)
                    if position == "after":
                        line = f"{MALFORMED}\r\n".encode()
                        spoilt = answer("r1", status).replace(b"Content-L", line + b"Content-L")
                    worker = await self.server(spoilt)
                    self.assertIs(await self.outcome(self.stream, worker, "r1"), error)

    async def test_bytes_before_an_answer_leave_the_outcome(self) -> None:
        for status, error in FAILURES:
            with self.subTest(status=status):
                worker = await self.server(NO_ANSWER + answer("r1", status))
                self.assertIs(await self.outcome(self.stream, worker, "r1"), error)

    async def test_bytes_before_the_answer_of_another_request_leave_nothing(self) -> None:
        worker = await self.server(NO_ANSWER + answer("r2", 422))
        outcome = await self.outcome(self.stream, worker, "r1")
        assert isinstance(outcome, type)
        self.assertTrue(issubclass(outcome, WorkerBrokenError))

    async def test_bytes_that_are_no_answer_are_no_close_of_an_idle_connection(self) -> None:
        """The worker has run the request; it is not sent there again."""
        worker = await self.server(answer("r1", body=b"first"), NO_ANSWER, None)
        await self.outcome(self.call, worker, "r1")
        self.assertIs(await self.outcome(self.call, worker, "r2"), WorkerAnswerLostError)

    async def test_a_worker_that_ends_an_exchange_without_an_answer_has_run_the_request(
        self,
    ) -> None:
        for part in (NO_ANSWER, None):
            with self.subTest(part=part):
                worker = await self.server(part, None)
                outcome = await self.outcome(self.stream, worker, "r1")
                self.assertIs(outcome, WorkerAnswerLostError)

    async def test_a_reset_or_the_close_of_a_kept_connection_says_nothing_of_a_run(self) -> None:
        worker = await self.server(answer("r1"), None)
        await self.outcome(self.stream, worker, "r1")
        self.assertIs(await self.outcome(self.stream, worker, "r2"), WorkerConnectionClosedError)
        resetting = ScriptedServer(lambda _: b"", reset=True)
        await resetting.start()
        self.addAsyncCleanup(resetting.close)
        worker = worker_at(resetting.address)
        self.assertIs(await self.outcome(self.stream, worker, "r1"), WorkerBrokenError)

    async def test_a_success_with_a_malformed_line_is_cut_off(self) -> None:
        worker = await self.server(answer("r1", 200, MALFORMED, body=EVENT))
        self.assertIs(await self.outcome(self.stream, worker, "r1"), WorkerCutOffError)


if __name__ == "__main__":
    unittest.main()
