"""Measures one claim replica on a real disk, without network."""

import asyncio
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from drumbay.claims.acceptor import Acceptor
from drumbay.claims.messages import ActivateReplica, ClaimKey
from drumbay.claims.record_table import TableLimits
from drumbay.claims.records import AnsweredClaim, Claim, StoredAnswer
from drumbay.claims.store import ReplicaStore
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import AttemptId, BootId, Epoch, IdempotencyKey, NodeId
from drumbay.storage.durable_log import DurableLog
from drumbay.storage.interface import StoreId

REQUEST_DIGEST = bytes(16)
ANSWER = StoredAnswer(status=200, content_type="application/json", body=bytes(200))
EPOCH = Epoch(1)
NO_LIMITS = TableLimits()


class BenchmarkFailedError(UnavailableError):
    """The measured system did not do what the measurement needs."""

    code = "benchmark_failed"


class ReplicaRate(msgspec.Struct, frozen=True, kw_only=True):
    """Claims of one replica made durable, without network, at one concurrency."""

    concurrency: int
    claims_per_second: float
    claims_per_commit: float


class RecoveryTime(msgspec.Struct, frozen=True, kw_only=True):
    """Opening a store with so many answered keys, its snapshot, and its size."""

    records: int
    open_seconds: float
    snapshot_seconds: float
    disk_bytes_per_record: float
    memory_bytes_per_record: float


def make_claim(number: int) -> Claim:
    """Return the claim of one attempt."""
    return Claim(
        attempt_id=AttemptId(f"{number:016x}-1"),
        node_id=NodeId("node-1"),
        boot_id=BootId(f"{0:016x}"),
        digest=REQUEST_DIGEST,
        claimed_at_seconds=0.0,
    )


def make_key(number: int) -> IdempotencyKey:
    """Return a key of a usual length."""
    return IdempotencyKey(f"order-{number:032x}")


def open_log(folder: Path, name: str) -> DurableLog:
    """Open a log whose store identity is its name."""
    return DurableLog.open(folder, name, new_store_id=StoreId(name))


def activate(acceptor: Acceptor) -> None:
    """Let an empty replica take part in the epoch."""
    acceptor.activate(ActivateReplica(store_id=acceptor.store_id, epoch=EPOCH))


def _create_acceptor(log: object) -> Acceptor:
    acceptor = Acceptor(StoreId("bench"), NO_LIMITS)
    activate(acceptor)
    return acceptor


async def run_concurrently(
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
    log = open_log(folder, f"replica-{concurrency}")
    store = ReplicaStore(log, _create_acceptor)

    async def claim(number: int) -> None:
        request = ClaimKey(
            store_id=store.acceptor.store_id,
            epoch=EPOCH,
            key=make_key(number),
            claim=make_claim(number),
        )
        rows = store.acceptor.claim(request, 0.0).rows
        if rows is None:
            raise BenchmarkFailedError("a claim was refused")
        await store.append(rows)

    elapsed_seconds = await run_concurrently(count, concurrency, claim)
    commits = log.commits
    await store.close()
    return ReplicaRate(
        concurrency=concurrency,
        claims_per_second=count / elapsed_seconds,
        claims_per_commit=count / commits,
    )


async def measure_recovery(folder: Path, records: int) -> RecoveryTime:
    """Measure opening a store whose keys are all answered."""
    name = f"recovery-{records}"
    log = open_log(folder, name)
    await log.append(fill(_create_acceptor(log), records))
    await log.close()
    return await _measure_opening(folder, name, records)


def fill(acceptor: Acceptor, records: int) -> list[bytes]:
    """Record answered keys; return the rows to make durable."""
    rows = []
    for number in range(records):
        answered = AnsweredClaim(
            attempt_id=make_claim(number).attempt_id, digest=REQUEST_DIGEST, answer=ANSWER
        )
        rows.append(acceptor.table.store_answer(make_key(number), answered, 0.0))
    return rows


async def _measure_opening(folder: Path, name: str, records: int) -> RecoveryTime:
    started = time.perf_counter()
    store = ReplicaStore(open_log(folder, name), _create_acceptor)
    open_seconds = time.perf_counter() - started
    disk_bytes = store.size_bytes
    started = time.perf_counter()
    await store.take_snapshot()
    snapshot_seconds = time.perf_counter() - started
    await store.close()
    del store
    # Tracing slows the opening down, so memory is measured on a second one.
    tracemalloc.start()
    store = ReplicaStore(open_log(folder, name), _create_acceptor)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    await store.close()
    return RecoveryTime(
        records=records,
        open_seconds=open_seconds,
        snapshot_seconds=snapshot_seconds,
        disk_bytes_per_record=disk_bytes / records,
        memory_bytes_per_record=memory_bytes / records,
    )
