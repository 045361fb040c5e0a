"""Measures sample delivery on a real disk and over real loopback connections.

Owner and replicas share one process and one thread, so the figures are those of one core
that does all the work; replicas on machines of their own do better.
"""

import asyncio
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from drumbay.backends.interface import FinishReason
from drumbay.clock import SystemClock
from drumbay.comm.interface import Address
from drumbay.comm.tornado_transport import TornadoTransport
from drumbay.delivery.quorum import ReplicaView
from drumbay.delivery.replica import DeliveryReplica
from drumbay.delivery.service import DeliveryService
from drumbay.identifiers import (
    AttemptId,
    BootId,
    Cursor,
    Epoch,
    Fence,
    StreamName,
    WeightVersion,
)
from drumbay.rollout.sample import RolloutPrompt, Sample, TokenSpan
from drumbay.storage.durable_log import DurableLog
from drumbay.storage.interface import StoreId
from drumbay.tasks import TaskOwner

REPLICAS = 3
EPOCH = Epoch(1)
STREAM = StreamName("bench")
CLUSTER_KEY = b"delivery-bench-cluster-key-of-32-bytes"
TOKENS_PER_SAMPLE = 500
SAMPLES_PER_BATCH = 64
VERSION = WeightVersion(1)


class DeliveryRate(msgspec.Struct, frozen=True, kw_only=True):
    """Throughput of first pulls, each durable on a majority before it is handed out."""

    samples_per_second: float
    batch_seconds_median: float
    batch_seconds_p99: float
    bytes_per_sample: float
    repeated_pull_seconds_median: float


class RecoveryFigure(msgspec.Struct, frozen=True, kw_only=True):
    """Time to restore three replicas from disk and to take a stream over."""

    batches: int
    stored_bytes: int
    restore_seconds: float
    take_over_seconds: float


class DeliveryReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures; the slopes are per GiB that one replica stores."""

    rate: DeliveryRate
    recoveries: tuple[RecoveryFigure, ...]
    restore_seconds_per_gib: float
    take_over_seconds_per_gib: float


class BenchCluster:
    """Three replicas with stores on disk, and an owner, over loopback."""

    def __init__(self, folder: Path) -> None:
        """Create a cluster whose stores lie under ``folder``."""
        self._folder = folder
        self._clock = SystemClock()
        self._tasks = TaskOwner()
        self._transports: list[TornadoTransport] = []
        self.logs: list[DurableLog] = []
        self.restore_seconds = 0.0

    async def start(self, boot_id: str) -> DeliveryService:
        """Open the stores, start the replicas and return an owner without streams."""
        began = time.perf_counter()
        for index in range(REPLICAS):
            log = DurableLog.open(
                self._folder, f"streams-{index}", new_store_id=StoreId(str(index))
            )
            self.logs.append(log)
            transport = await self._listen()
            DeliveryReplica(transport, log, lambda: EPOCH).start()
        self.restore_seconds = time.perf_counter() - began
        members = tuple(transport.address for transport in self._transports)
        return DeliveryService(
            await self._listen(),
            self._clock,
            self._tasks,
            BootId(boot_id),
            lambda: ReplicaView(epoch=EPOCH, members=members),
        )

    async def _listen(self) -> TornadoTransport:
        transport = TornadoTransport(Address("127.0.0.1", 0), CLUSTER_KEY, self._clock, self._tasks)
        await transport.start()
        self._transports.append(transport)
        return transport

    async def close(self) -> None:
        """Stop everything; the stores stay."""
        for transport in self._transports:
            await transport.close()
        await self._tasks.close()
        for log in self.logs:
            await log.close()


async def _deliver(owner: DeliveryService, batches: int) -> list[float]:
    """Deliver batches and return the seconds that each first pull took."""
    seconds: list[float] = []
    for cursor in range(batches):
        prompts = [
            RolloutPrompt(text=f"prompt {index}", group="g", max_tokens=TOKENS_PER_SAMPLE)
            for index in range(SAMPLES_PER_BATCH)
        ]
        await owner.submit_step(STREAM, cursor, prompts)
        for outstanding in owner.missing(STREAM):
            span = TokenSpan(
                weight_version=VERSION,
                boot_id=BootId("engine"),
                attempt_id=AttemptId("attempt"),
                first_index=0,
                token_count=TOKENS_PER_SAMPLE,
            )
            sample = Sample(
                key=outstanding.key,
                prompt=outstanding.prompt,
                token_ids=tuple(range(100_000, 100_000 + TOKENS_PER_SAMPLE)),
                text="word " * TOKENS_PER_SAMPLE,
                spans=(span,),
                finish_reason=FinishReason.STOP,
            )
            owner.add_sample(STREAM, sample)
        began = time.perf_counter()
        await owner.pull(STREAM, Cursor(cursor), SAMPLES_PER_BATCH, VERSION)
        seconds.append(time.perf_counter() - began)
    return seconds


async def _measure_rate(folder: Path, batches: int) -> DeliveryRate:
    cluster = BenchCluster(folder)
    owner = await cluster.start("owner")
    await owner.take_over(STREAM, Fence(1))
    seconds = await _deliver(owner, batches)
    repeated: list[float] = []
    for cursor in range(batches):
        began = time.perf_counter()
        batch = await owner.pull(STREAM, Cursor(cursor), SAMPLES_PER_BATCH, VERSION)
        repeated.append(time.perf_counter() - began)
    encoded_bytes = len(msgspec.msgpack.encode(batch))
    await cluster.close()
    return DeliveryRate(
        samples_per_second=batches * SAMPLES_PER_BATCH / sum(seconds),
        batch_seconds_median=statistics.median(seconds),
        batch_seconds_p99=sorted(seconds)[int(0.99 * len(seconds))],
        bytes_per_sample=encoded_bytes / SAMPLES_PER_BATCH,
        repeated_pull_seconds_median=statistics.median(repeated),
    )


async def _measure_recovery(folder: Path, batches: int) -> RecoveryFigure:
    cluster = BenchCluster(folder)
    owner = await cluster.start("first")
    await owner.take_over(STREAM, Fence(1))
    await _deliver(owner, batches)
    await cluster.close()
    stored_bytes = cluster.logs[0].size_bytes
    cluster = BenchCluster(folder)
    owner = await cluster.start("second")
    began = time.perf_counter()
    await owner.take_over(STREAM, Fence(2))
    take_over_seconds = time.perf_counter() - began
    await cluster.close()
    return RecoveryFigure(
        batches=batches,
        stored_bytes=stored_bytes,
        restore_seconds=cluster.restore_seconds,
        take_over_seconds=take_over_seconds,
    )


async def _run(folder: Path, batches: int, sizes: Sequence[int]) -> DeliveryReport:
    rate = await _measure_rate(folder / "rate", batches)
    recoveries = [await _measure_recovery(folder / f"recovery-{size}", size) for size in sizes]
    return DeliveryReport(
        rate=rate,
        recoveries=tuple(recoveries),
        restore_seconds_per_gib=_slope(recoveries, [each.restore_seconds for each in recoveries]),
        take_over_seconds_per_gib=_slope(
            recoveries, [each.take_over_seconds for each in recoveries]
        ),
    )


def _slope(recoveries: Sequence[RecoveryFigure], seconds: Sequence[float]) -> float:
    gib = [each.stored_bytes / 1024**3 for each in recoveries]
    return statistics.linear_regression(gib, seconds).slope


def run_delivery_bench(
    folder: Path | None = None, *, batches: int = 100, sizes: Sequence[int] = (25, 100, 200)
) -> DeliveryReport:
    """Run every measurement and return the figures.

    Args:
        folder: Where the stores are made, on the disk to measure; a temporary folder by
            default. It must be empty.
        batches: Batches delivered for the rate.
        sizes: Batches in the stores that are recovered; at least two.
    """
    if folder is not None:
        return asyncio.run(_run(folder, batches, sizes))
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(_run(Path(temporary), batches, sizes))


if __name__ == "__main__":
    print(msgspec.json.format(msgspec.json.encode(run_delivery_bench())).decode())
