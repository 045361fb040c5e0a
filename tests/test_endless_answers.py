"""Answers that do not end until they are closed: outcomes that are known are not waited for."""

import asyncio
import unittest
from unittest import mock

from drumbay_platform import store as store_module
from drumbay_platform.store import PlatformStore
from drumbay_platform.workers import PlatformWorkerClient

from drumbay.clock import SystemClock
from drumbay.comm.transfer_limits import BodyPace
from drumbay.identifiers import BackendId, Fence, Revision, WeightVersion
from drumbay.kv.interface import KeyValueOutcomeUnknownError, KeyValueUnavailableError
from drumbay.workers.records import (
    LoadMode,
    LoadOrder,
    OrderOutcome,
    ProbeResult,
    Worker,
    WorkerAnswerLostError,
    WorkerBrokenError,
    WorkerCutOffError,
    WorkerError,
    WorkerFailedError,
    WorkerMisdirectedError,
    WorkerRefusedError,
    WorkerRejectedError,
    WorkerRequest,
    WorkerState,
)
from tests.endless_server import PIECE, EndlessServer

CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
BODIES = {
    "chunked": ("Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "until close": ("\r\n", PIECE),
    "length": ("Content-Length: 10000000\r\n\r\n", PIECE),
}
CALLER_SECONDS = 20.0
"""How long callers wait; an outcome that is known must come well before."""

MAX_SENT_BYTES = 1_000_000
"""What a server may have sent until then."""


def worker_at(server: EndlessServer) -> Worker:
    return Worker(
        worker_id=BackendId("i-1"),
        service="a",
        address=server.address,
        zone="z",
        slots=1,
        state=WorkerState.READY,
        versions={},
    )


def request(*, repeatable: bool = True) -> WorkerRequest:
    return WorkerRequest(
        request_id="r1",
        method="POST",
        target="/l/x",
        host="h.example",
        headers=(("X-Drumbay-Attempt-Id", "r1"),),
        body=b"body",
        budget_seconds=CALLER_SECONDS,
        repeatable=repeatable,
    )


def head(status: int, *fields: str) -> str:
    lines = [f"HTTP/1.1 {status} X", "X-Drumbay-Attempt-Id: r1", *fields]
    return "".join(f"{line}\r\n" for line in lines)


class EndlessStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_of_the_store_ends_though_its_answer_does_not(self) -> None:
        """Guards against a lease that is never renewed, as its last renewal has no end."""
        pace = BodyPace(grace_seconds=0.2, bytes_per_second=16_384)
        for name, (rest, _) in BODIES.items():
            piece = b"1\r\nx\r\n" if name == "chunked" else b"x"
            server = EndlessServer(f"HTTP/1.1 200 X\r\n{rest}".encode(), piece, 0.01)
            await server.start()
            self.addAsyncCleanup(server.close)
            store = PlatformStore(SystemClock(), server.address)
            with self.subTest(name), mock.patch.object(store_module, "STORE_PACE", pace):
                async with asyncio.timeout(CALLER_SECONDS):
                    with self.assertRaises(KeyValueOutcomeUnknownError):
                        await store.keep_lease_alive(1)
                    with self.assertRaises(KeyValueUnavailableError):
                        await anext(store.watch_prefix("servers/", Revision(1)))
                    await server.wait_closed_by_clients()


class EndlessAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = PlatformWorkerClient(SystemClock())
        self.addCleanup(self.client.close)

    async def server(self, beginning: str, piece: bytes, pause_seconds: float = 0.02) -> Worker:
        self.endless = EndlessServer(beginning.encode(), piece, pause_seconds)
        await self.endless.start()
        self.addAsyncCleanup(self.endless.close)
        return worker_at(self.endless)

    async def stream_outcome(self, worker: Worker) -> type[WorkerError] | None:
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                async with self.client.stream(worker, request()) as stream:
                    async for _ in stream.events():
                        pass
        except WorkerError as error:
            return type(error)
        return None

    async def call_outcome(
        self, worker: Worker, *, repeatable: bool = True
    ) -> type[WorkerError] | None:
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                await self.client.call(worker, request(repeatable=repeatable))
        except WorkerError as error:
            return type(error)
        return None

    async def assert_disconnected(self) -> None:
        async with asyncio.timeout(CALLER_SECONDS):
            await self.endless.wait_closed_by_clients()

    async def test_failure_of_an_item_counts_though_its_body_does_not_end(self) -> None:
        for status, error in ((422, WorkerRejectedError), (500, WorkerFailedError)):
            for name, (rest, piece) in BODIES.items():
                with self.subTest(name, status=status):
                    worker = await self.server(head(status) + rest, piece)
                    self.assertIs(await self.stream_outcome(worker), error)
                    self.assertLess(self.endless.sent_bytes, MAX_SENT_BYTES)
                    await self.assert_disconnected()

    async def test_rejection_counts_at_once_though_its_body_does_not_end(self) -> None:
        for beginning, error in (
            (head(421), WorkerMisdirectedError),
            (head(503, "X-Drumbay-Not-Executed: 1"), WorkerRefusedError),
            (head(500), WorkerFailedError),
        ):
            for name, (rest, piece) in BODIES.items():
                for repeatable in (True, False):
                    with self.subTest(name, error=error, repeatable=repeatable):
                        worker = await self.server(beginning + rest, piece)
                        self.assertIs(await self.call_outcome(worker, repeatable=repeatable), error)
                        self.assertLess(self.endless.sent_bytes, MAX_SENT_BYTES)
                        await self.assert_disconnected()

    async def test_failure_without_an_id_counts_only_once_it_is_whole(self) -> None:
        """It does not say whose answer it is; as before, it counts if all of it has come."""
        rest, piece = BODIES["until close"]
        worker = await self.server("HTTP/1.1 422 X\r\n" + rest, piece)
        self.assertIs(await self.stream_outcome(worker), WorkerBrokenError)
        self.assertLess(self.endless.sent_bytes, MAX_SENT_BYTES)
        await self.assert_disconnected()

    async def test_order_and_probe_count_though_their_answers_do_not_end(self) -> None:
        order = LoadOrder(
            model="m",
            version=WeightVersion(2),
            mode=LoadMode.KEEP_RUNNING,
            holder="n",
            fence=Fence(1),
            expected_sequence=0,
        )
        for name, (rest, piece) in BODIES.items():
            with self.subTest(name):
                worker = await self.server("HTTP/1.1 202 X\r\n" + rest, piece)
                self.assertIs(await self.client.order(worker, order), OrderOutcome.STARTED)
                self.assertIs(await self.client.probe(worker), ProbeResult.RESPONDS)
                self.assertTrue(await self.client.responds(worker, CALLER_SECONDS))
                with self.assertRaises(WorkerError):
                    await self.client.status(worker)
                await self.assert_disconnected()

    async def test_failure_counts_though_its_head_does_not_end(self) -> None:
        """A status line for this attempt is enough: nothing that follows makes it a success."""
        worker = await self.server(head(422), b"X-Filler: 1\r\n", 0.1)
        self.assertIs(await self.stream_outcome(worker), WorkerRejectedError)
        await self.assert_disconnected()
        worker = await self.server(head(421), b"X-Filler: 1\r\n" * 1_000, 0.0)
        self.assertIs(await self.call_outcome(worker), WorkerMisdirectedError)
        await self.assert_disconnected()

    async def test_success_whose_head_does_not_end_is_broken(self) -> None:
        for pause_seconds in (0.1, 0.0):
            worker = await self.server(head(200), b"X-Filler: 1\r\n", pause_seconds)
            self.assertIs(await self.call_outcome(worker), WorkerCutOffError)
            await self.assert_disconnected()

    async def test_failure_of_another_attempt_whose_head_does_not_end_is_broken(self) -> None:
        beginning = head(422).replace("r1", "r2")
        worker = await self.server(beginning, b"X-Filler: 1\r\n", 0.1)
        self.assertIs(await self.stream_outcome(worker), WorkerBrokenError)

    async def test_success_without_a_seal_is_broken_at_once(self) -> None:
        """No body can make it a success."""
        for name, (rest, piece) in BODIES.items():
            with self.subTest(name):
                worker = await self.server(head(200) + rest, piece)
                self.assertIs(await self.call_outcome(worker), WorkerBrokenError)
                self.assertLess(self.endless.sent_bytes, MAX_SENT_BYTES)
                await self.assert_disconnected()

    async def test_interim_heads_without_end_are_broken(self) -> None:
        for pause_seconds in (0.02, 0.0):
            worker = await self.server("", b"HTTP/1.1 100 X\r\n\r\n", pause_seconds)
            self.assertIs(await self.call_outcome(worker), WorkerAnswerLostError)
            await self.assert_disconnected()

    async def test_stream_of_bytes_without_an_event_is_broken(self) -> None:
        for name, (rest, piece) in BODIES.items():
            for pause_seconds in (0.02, 0.0):
                with self.subTest(name, pause_seconds=pause_seconds):
                    beginning = head(200, "X-Drumbay-Weight-Versions: 1") + rest
                    worker = await self.server(beginning, piece, pause_seconds)
                    self.assertIs(await self.stream_outcome(worker), WorkerBrokenError)
                    await self.assert_disconnected()
                    self.assertLess(self.endless.sent_bytes, 16_000_000)


if __name__ == "__main__":
    unittest.main()
