"""Measures the claims on a real disk and over real loopback connections.

Replicas and dispatcher share one process and one thread, so the cluster figures are those of
one core that does all the work; replicas on machines of their own do better.
"""

import asyncio
import statistics
import tempfile
from pathlib import Path

import msgspec

from drumbay.bench.claims_cluster import (
    ChangeTime,
    RequestRate,
    measure_change,
    measure_requests,
)
from drumbay.bench.claims_store import (
    RecoveryTime,
    ReplicaRate,
    measure_recovery,
    measure_replica,
)


class ClaimsReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures; ``recovery_seconds_per_million`` is the slope of the opening times."""

    replica_rates: tuple[ReplicaRate, ...]
    request_rates: tuple[RequestRate, ...]
    recoveries: tuple[RecoveryTime, ...]
    changes: tuple[ChangeTime, ...]
    recovery_seconds_per_million: float


async def _run(
    folder: Path, claims: int, concurrencies: tuple[int, ...], record_counts: tuple[int, ...]
) -> ClaimsReport:
    replica_rates = [await measure_replica(folder, claims, each) for each in concurrencies]
    request_rates = []
    for concurrency in concurrencies:
        subfolder = folder / f"requests-{concurrency}"
        request_rates.append(await measure_requests(subfolder, claims, concurrency))
    recoveries = [await measure_recovery(folder, count) for count in record_counts]
    changes = [await measure_change(folder / f"change-{each}", each) for each in record_counts]
    slope = statistics.linear_regression(
        [float(each.records) for each in recoveries], [each.open_seconds for each in recoveries]
    ).slope
    return ClaimsReport(
        replica_rates=tuple(replica_rates),
        request_rates=tuple(request_rates),
        recoveries=tuple(recoveries),
        changes=tuple(changes),
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
