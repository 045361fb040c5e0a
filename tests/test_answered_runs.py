"""Answered runs until their workers have outlived them, and what discovery shows of their ends."""

import asyncio
import socket
import unittest

import msgspec

from drumbay.clock import SystemClock
from drumbay.comm.connection_pool import ConnectionPool
from drumbay.comm.network_address import NetworkAddress
from drumbay.comm.observed_stream import ObservedStream
from drumbay.identifiers import BackendId
from drumbay.quarantine.answered_runs import (
    MAX_RUNS_PER_WORKER,
    MAX_WORKERS,
    MEMORY_SECONDS,
    OUTLIVED_AFTER_SECONDS,
    AnsweredRun,
    AnsweredRuns,
)
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import Worker, WorkerState
from drumbay.workers.worker_record import WorkerEndEvidence


def worker(number: int, started_at_ms: int = 1, port: int = 80) -> Worker:
    return Worker(
        worker_id=BackendId(f"w{number}"),
        service="lookups",
        address=NetworkAddress("host", port),
        zone="zone-1",
        slots=1,
        state=WorkerState.READY,
        versions={},
        started_at_ms=started_at_ms,
    )


def run(at: float, of: Worker, name: str = "f") -> AnsweredRun:
    return AnsweredRun(
        fingerprint=Fingerprint(name),
        request_id=f"{name}-{at}",
        worker=of,
        began_at=at - 0.03,
        answered_at=at,
    )


class AnsweredRunsTest(unittest.TestCase):
    def test_worker_outlives_a_run_once_it_sends_something_later(self) -> None:
        runs = AnsweredRuns()
        first, second = run(1.0, worker(1)), run(1.5, worker(1))
        self.assertEqual(runs.add(first), ())
        self.assertEqual(runs.add(second), ())
        alive_at = first.answered_at + OUTLIVED_AFTER_SECONDS
        self.assertEqual(runs.take_outlived(worker(2).incarnation, alive_at), ())
        self.assertEqual(runs.take_outlived(worker(1).incarnation, alive_at), (first,))
        self.assertEqual(runs.of_worker(worker(1).incarnation), (second,))

    def test_run_without_a_later_sign_of_life_expires(self) -> None:
        runs = AnsweredRuns()
        old = run(1.0, worker(1))
        runs.add(old)
        self.assertEqual(runs.take_expired(1.0 + MEMORY_SECONDS - 0.1), ())
        self.assertEqual(runs.take_expired(1.0 + MEMORY_SECONDS + OUTLIVED_AFTER_SECONDS), (old,))

    def test_runs_are_bounded(self) -> None:
        runs = AnsweredRuns()
        for number in range(2 * MAX_RUNS_PER_WORKER):
            runs.add(run(1.0 + number / 1_000, worker(0)))
        self.assertEqual(len(runs.of_worker(worker(0).incarnation)), MAX_RUNS_PER_WORKER)
        for number in range(1, MAX_WORKERS + 1):
            runs.add(run(1.0, worker(number)))
        self.assertEqual(runs.of_worker(worker(0).incarnation), ())


class WorkerEndsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = WorkerDirectory()
        self.ends: list[tuple[str, int, WorkerEndEvidence]] = []
        self.directory.add_end_listener(
            lambda ended, evidence: self.ends.append(
                (ended.worker_id, ended.started_at_ms, evidence)
            )
        )
        self.directory.replace_all([worker(1), worker(2, port=81)])

    def test_each_way_in_which_discovery_shows_an_end_is_told(self) -> None:
        self.directory.put(worker(1, started_at_ms=2))
        self.directory.put(worker(3, port=81))
        self.directory.remove(BackendId("w2"))
        self.directory.replace_all([worker(1, started_at_ms=2)])
        self.assertEqual(
            self.ends,
            [
                ("w1", 1, WorkerEndEvidence.RESTARTED),
                ("w2", 1, WorkerEndEvidence.ADDRESS_TAKEN),
                ("w2", 1, WorkerEndEvidence.ENTRY_GONE),
                ("w3", 1, WorkerEndEvidence.ENTRY_GONE),
            ],
        )

    def test_worker_that_is_not_used_any_more_has_not_ended(self) -> None:
        self.directory.exclude(BackendId("w1"))
        self.directory.replace_all([], missing_until=9.0)
        self.directory.put(msgspec.structs.replace(worker(2, port=81), slots=2))
        self.assertEqual(self.ends, [])


class ClosedConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against ends of workers that are seen only when the next request is sent."""

    async def put_connection(self, pool: ConnectionPool, idle_seconds: float) -> NetworkAddress:
        """Put a connection to a server that closes it soon into the pool."""

        async def close_soon(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            del reader
            await asyncio.sleep(0.05)
            writer.close()

        server = await asyncio.start_server(close_soon, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = NetworkAddress("127.0.0.1", server.sockets[0].getsockname()[1])
        stream = ObservedStream(socket.socket())
        await stream.connect((address.host, address.port))
        pool.put(address, stream, idle_seconds)
        return address

    async def test_connection_that_its_peer_closes_is_told_without_a_request(self) -> None:
        closed: asyncio.Queue[NetworkAddress] = asyncio.Queue()
        pool = ConnectionPool(SystemClock())
        self.addCleanup(pool.close)
        pool.set_close_listener(closed.put_nowait)
        address = await self.put_connection(pool, 60.0)
        async with asyncio.timeout(10.0):
            self.assertEqual(await closed.get(), address)

    async def test_connection_that_has_only_expired_is_not_told(self) -> None:
        closed: list[NetworkAddress] = []
        pool = ConnectionPool(SystemClock())
        self.addCleanup(pool.close)
        pool.set_close_listener(closed.append)
        address = await self.put_connection(pool, 0.0)
        await asyncio.sleep(0.1)
        self.assertIsNone(pool.take(address))
        self.assertEqual(closed, [])
