"""Measures the claims on a real disk and over real loopback connections.

Replicas and dispatcher share one process and one thread, so the cluster figures are those of
one core that does all the work; replicas on machines of their own do better.
"""

import asyncio
import random
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from drumbay.claims.acceptor import Acceptor
from drumbay.claims.messages import ActivateReplica, ClaimKey
from drumbay.claims.record_table import TableLimits
from drumbay.claims.records import AnsweredClaim, Claim, StoredAnswer
from drumbay.claims.replica import ClaimReplica
from drumbay.claims.replica_set import ReplicaMember, ReplicaSet, ReplicaSetPhase
from drumbay.claims.service import ClaimService
from drumbay.claims.store import ReplicaStore
from drumbay.clock import Clock, SystemClock
from drumbay.comm.interface import Address
from drumbay.comm.tornado_transport import TornadoTransport
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import AttemptId, BootId, Epoch, IdempotencyKey, NodeId
from drumbay.storage.durable_log import DurableLog
from drumbay.storage.interface import StoreId
from drumbay.tasks import TaskOwner

REPLICAS = 3
REQUEST_DIGEST = bytes(16)
ANSWER = StoredAnswer(status=200, content_type="application/json", body=bytes(200))
CLUSTER_KEY = bytes(range(32))
EPOCH = Epoch(1)
NO_LIMITS = TableLimits()
TAIL_QUANTILE = 0.99


class BenchmarkFailedError(UnavailableError):
    """The measured system did not do what the measurement needs."""

    code = "benchmark_failed"


class ReplicaRate(msgspec.Struct, frozen=True, kw_only=True):
    """Claims of one replica made durable, without network, at one concurrency."""

    concurrency: int
    claims_per_second: float
    claims_per_commit: float


class RequestRate(msgspec.Struct, frozen=True, kw_only=True):
    """Whole requests at one concurrency, against the same dispatch without a claim.

    Attributes:
        concurrency: Requests in flight.
        requests_per_second: Requests claimed, dispatched and stored.
        median_milliseconds: Time of one request.
        tail_milliseconds: 99th percentile of it.
        unclaimed_median_milliseconds: Time of one dispatch without a claim.
    """

    concurrency: int
    requests_per_second: float
    median_milliseconds: float
    tail_milliseconds: float
    unclaimed_median_milliseconds: float


class RecoveryTime(msgspec.Struct, frozen=True, kw_only=True):
    """Opening a store with so many answered keys, and their size."""

    records: int
    open_seconds: float
    disk_bytes_per_record: float
    memory_bytes_per_record: float


class ClaimsReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures; ``recovery_seconds_per_million`` is the slope of the opening times."""

    replica_rates: tuple[ReplicaRate, ...]
    request_rates: tuple[RequestRate, ...]
    recoveries: tuple[RecoveryTime, ...]
    recovery_seconds_per_million: float


def _claim(number: int) -> Claim:
    return Claim(
        attempt_id=AttemptId(f"{number:016x}-1"),
        node_id=NodeId("node-1"),
        boot_id=BootId(f"{0:016x}"),
        digest=REQUEST_DIGEST,
        claimed_at_seconds=0.0,
    )


def _key(number: int) -> IdempotencyKey:
    return IdempotencyKey(f"order-{number:032x}")


def _open_log(folder: Path, name: str) -> DurableLog:
    return DurableLog.open(folder, name, new_store_id=StoreId(name))


def _activate(acceptor: Acceptor) -> None:
    """Let an empty replica take part in the epoch."""
    acceptor.activate(ActivateReplica(store_id=acceptor.store_id, epoch=EPOCH))


def _create_acceptor(log: object) -> Acceptor:
    acceptor = Acceptor(StoreId("bench"), NO_LIMITS)
    _activate(acceptor)
    return acceptor


async def _run_concurrently(
    count: int, concurrency: int, work: Callable[[int], Awaitable[None]]
) -> float:
    """Run ``work(0)`` to ``work(count - 1)``; return the elapsed seconds."""
    numbers = iter(range(count))

    async def worker() -> None:
        for number in numbers:
            await work(number)

    started = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(concurrency)))
    return time.perf_counter() - started


async def measure_replica(folder: Path, count: int, concurrency: int) -> ReplicaRate:
    """Measure the claims that one replica makes durable."""
    log = _open_log(folder, f"replica-{concurrency}")
    store = ReplicaStore(log, _create_acceptor)

    async def claim(number: int) -> None:
        request = ClaimKey(
            store_id=store.acceptor.store_id, epoch=EPOCH, key=_key(number), claim=_claim(number)
        )
        rows = store.acceptor.claim(request, 0.0).rows
        if rows is None:
            raise BenchmarkFailedError("a claim was refused")
        await store.append(rows)

    elapsed_seconds = await _run_concurrently(count, concurrency, claim)
    commits = log.commits
    await store.close()
    return ReplicaRate(
        concurrency=concurrency,
        claims_per_second=count / elapsed_seconds,
        claims_per_commit=count / commits,
    )


class _Cluster:
    """Three replicas and a dispatcher in this process, joined by loopback connections."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._clock: Clock = SystemClock()
        self._owner = TaskOwner()
        self._transports: list[TornadoTransport] = []
        self._replicas: list[ClaimReplica] = []
        self._replica_set: ReplicaSet | None = None

    async def start(self) -> ClaimService:
        """Start everything and return the dispatcher's service."""
        members = [await self._start_replica(f"replica-{index}") for index in range(REPLICAS)]
        self._replica_set = ReplicaSet(
            epoch=EPOCH, members=tuple(members), phase=ReplicaSetPhase.ACTIVE
        )
        return ClaimService(
            clock=self._clock,
            transport=await self._start_transport(),
            node_id=NodeId("dispatcher"),
            boot_id=BootId("boot"),
            random=random.Random(1),
            replica_set_view=lambda: self._replica_set,
            task_owner=self._owner,
        )

    async def _start_transport(self) -> TornadoTransport:
        address = Address("127.0.0.1", 0)
        transport = TornadoTransport(address, CLUSTER_KEY, self._clock, self._owner)
        await transport.start()
        self._transports.append(transport)
        return transport

    async def _start_replica(self, name: str) -> ReplicaMember:
        transport = await self._start_transport()
        replica = ClaimReplica(
            node_id=NodeId(name),
            clock=self._clock,
            transport=transport,
            open_log=lambda: _open_log(self._folder, name),
            limits=NO_LIMITS,
            task_owner=self._owner,
        )
        replica.start()
        _activate(replica.acceptor)
        self._replicas.append(replica)
        return ReplicaMember(
            node_id=NodeId(name), store_id=StoreId(name), address=transport.address
        )

    async def close(self) -> None:
        """Stop everything."""
        await self._owner.close()
        for transport in self._transports:
            await transport.close()
        for replica in self._replicas:
            await replica.close()


async def _answer_at_once(_attempt_id: AttemptId) -> StoredAnswer:
    return ANSWER


async def measure_requests(folder: Path, count: int, concurrency: int) -> RequestRate:
    """Measure whole requests over loopback connections to three replicas."""
    cluster = _Cluster(folder)
    service = await cluster.start()
    claimed: list[float] = []
    unclaimed: list[float] = []

    async def run_claimed(number: int) -> None:
        started = time.perf_counter()
        outcome = await service.run_once(_key(number), REQUEST_DIGEST, _answer_at_once)
        claimed.append(time.perf_counter() - started)
        if not hasattr(outcome, "answer"):
            raise BenchmarkFailedError(str(outcome))

    async def run_unclaimed(number: int) -> None:
        started = time.perf_counter()
        await _answer_at_once(AttemptId(str(number)))
        unclaimed.append(time.perf_counter() - started)

    elapsed_seconds = await _run_concurrently(count, concurrency, run_claimed)
    await _run_concurrently(count, concurrency, run_unclaimed)
    await cluster.close()
    return RequestRate(
        concurrency=concurrency,
        requests_per_second=count / elapsed_seconds,
        median_milliseconds=1000 * statistics.median(claimed),
        tail_milliseconds=1000 * sorted(claimed)[int(TAIL_QUANTILE * len(claimed))],
        unclaimed_median_milliseconds=1000 * statistics.median(unclaimed),
    )


async def measure_recovery(folder: Path, records: int) -> RecoveryTime:
    """Measure opening a store whose keys are all answered."""
    name = f"recovery-{records}"
    log = _open_log(folder, name)
    acceptor = _create_acceptor(log)
    rows = []
    for number in range(records):
        answered = AnsweredClaim(
            attempt_id=_claim(number).attempt_id, digest=REQUEST_DIGEST, answer=ANSWER
        )
        rows.append(acceptor.table.store_answer(_key(number), answered, 0.0))
    await log.append(rows)
    await log.close()
    del acceptor, rows
    return await _measure_opening(folder, name, records)


async def _measure_opening(folder: Path, name: str, records: int) -> RecoveryTime:
    started = time.perf_counter()
    store = ReplicaStore(_open_log(folder, name), _create_acceptor)
    open_seconds = time.perf_counter() - started
    disk_bytes = store.size_bytes
    await store.close()
    del store
    # Tracing slows the opening down, so memory is measured on a second one.
    tracemalloc.start()
    store = ReplicaStore(_open_log(folder, name), _create_acceptor)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    await store.close()
    return RecoveryTime(
        records=records,
        open_seconds=open_seconds,
        disk_bytes_per_record=disk_bytes / records,
        memory_bytes_per_record=memory_bytes / records,
    )


async def _run(
    folder: Path, claims: int, concurrencies: tuple[int, ...], record_counts: tuple[int, ...]
) -> ClaimsReport:
    replica_rates = [await measure_replica(folder, claims, each) for each in concurrencies]
    request_rates = []
    for concurrency in concurrencies:
        subfolder = folder / f"requests-{concurrency}"
        request_rates.append(await measure_requests(subfolder, claims, concurrency))
    recoveries = [await measure_recovery(folder, count) for count in record_counts]
    slope = statistics.linear_regression(
        [float(each.records) for each in recoveries], [each.open_seconds for each in recoveries]
    ).slope
    return ClaimsReport(
        replica_rates=tuple(replica_rates),
        request_rates=tuple(request_rates),
        recoveries=tuple(recoveries),
        recovery_seconds_per_million=1_000_000 * slope,
    )


def run_claims_bench(
    folder: Path | None = None,
    *,
    claims: int = 2000,
    concurrencies: tuple[int, ...] = (1, 16, 64),
    record_counts: tuple[int, ...] = (10_000, 50_000, 100_000),
) -> ClaimsReport:
    """Run every measurement and return the figures.

    Args:
        folder: Where the stores are made, on the disk to measure; a temporary folder by
            default. It must be empty.
        claims: Claims and requests per rate.
        concurrencies: Requests in flight.
        record_counts: Sizes of the stores that are opened; at least two.
    """
    if folder is not None:
        return asyncio.run(_run(folder, claims, concurrencies, record_counts))
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(_run(Path(temporary), claims, concurrencies, record_counts))
