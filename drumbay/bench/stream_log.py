"""What one replica of sample streams can take: bytes and commits per second of its log.

The log is the real one on a real disk; the network and the other replicas are left out.
"""

import asyncio
import tempfile
import time
from pathlib import Path

import msgspec

from drumbay.bench.memory import SAMPLE_TOKENS, make_sample
from drumbay.delivery.batch import Batch
from drumbay.delivery.log_entries import BatchFixed, encode_entry
from drumbay.identifiers import Cursor, StreamName, WeightVersion
from drumbay.storage.durable_log import DurableLog
from drumbay.storage.interface import StoreId


class StreamLogReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one replica's log.

    Attributes:
        batch_samples: Samples of a batch.
        sample_tokens: Tokens of a sample.
        entry_bytes: A batch as the log carries it.
        bytes_per_token: The same by token, prompts and spans included.
        encode_milliseconds: Processor time of the owner to encode a batch.
        streams: Appends under way at once, one for each stream.
        bytes_per_second: Bytes made durable.
        commits_per_second: Commits, each with one fsync.
        cpu_milliseconds_per_megabyte: Processor time of the replica's log.
    """

    batch_samples: int
    sample_tokens: int
    entry_bytes: int
    bytes_per_token: float
    encode_milliseconds: float
    streams: int
    bytes_per_second: float
    commits_per_second: float
    cpu_milliseconds_per_megabyte: float


def _make_entry(batch_samples: int) -> BatchFixed:
    samples = tuple(make_sample(number).finish() for number in range(batch_samples))
    batch = Batch(
        stream=StreamName("stream"),
        cursor=Cursor(0),
        oldest_accepted_version=WeightVersion(1),
        samples=samples,
    )
    return BatchFixed(batch=batch)


async def _append(folder: Path, entry: bytes, streams: int, batches: int) -> tuple[float, int]:
    log = DurableLog.open(folder, "streams", new_store_id=StoreId("bench"))

    async def one_stream() -> None:
        for _ in range(batches):
            await log.append((entry,))

    started = time.perf_counter()
    await asyncio.gather(*(one_stream() for _ in range(streams)))
    elapsed = time.perf_counter() - started
    commits = log.commits
    await log.close()
    return elapsed, commits


def run_stream_log_bench(
    *, batch_samples: int = 256, streams: int = 8, batches: int = 20
) -> StreamLogReport:
    """Append batches of several streams to one log.

    Args:
        batch_samples: Samples of a batch.
        streams: Streams that append at once.
        batches: Batches of each stream.
    """
    fixed = _make_entry(batch_samples)
    started = time.process_time()
    entry = encode_entry(fixed)
    encode_seconds = time.process_time() - started
    with tempfile.TemporaryDirectory(prefix="drumbay-bench-") as folder:
        cpu_started = time.process_time()
        elapsed, commits = asyncio.run(_append(Path(folder), entry, streams, batches))
        cpu_seconds = time.process_time() - cpu_started
    total_bytes = len(entry) * streams * batches
    return StreamLogReport(
        batch_samples=batch_samples,
        sample_tokens=SAMPLE_TOKENS,
        entry_bytes=len(entry),
        bytes_per_token=len(entry) / (batch_samples * SAMPLE_TOKENS),
        encode_milliseconds=1000 * encode_seconds,
        streams=streams,
        bytes_per_second=total_bytes / elapsed,
        commits_per_second=commits / elapsed,
        cpu_milliseconds_per_megabyte=1000 * cpu_seconds / (total_bytes / 1e6),
    )
