"""Benchmark of calls between two transports over loopback in one process."""

import asyncio
import statistics
import time

import msgspec

from drumbay.clock import SystemClock
from drumbay.comm.interface import Address, Message
from drumbay.comm.tornado_transport import TornadoTransport
from drumbay.tasks import TaskOwner

CLUSTER_KEY = b"key of the transport bench"
CALL_TIMEOUT_SECONDS = 30.0
LOOPBACK = Address("127.0.0.1", 0)


class BenchCall(Message, frozen=True, kw_only=True):
    """A call with a body."""

    body: bytes


class BenchReply(Message, frozen=True, kw_only=True):
    """Reply to a :class:`BenchCall`."""

    size_bytes: int


class TransportBenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run.

    Attributes:
        call_count: Number of calls.
        concurrency: Number of concurrent calls.
        body_bytes: Size of the body of each call.
        calls_per_second: Calls per second of wall-clock time.
        cpu_microseconds_per_call: CPU time per call of client and server together.
        latency_p50_milliseconds: Median latency.
        latency_p99_milliseconds: 99th percentile of the latency.
    """

    call_count: int
    concurrency: int
    body_bytes: int
    calls_per_second: float
    cpu_microseconds_per_call: float
    latency_p50_milliseconds: float
    latency_p99_milliseconds: float


async def _echo_size(request: BenchCall) -> Message:
    return BenchReply(size_bytes=len(request.body))


async def _call_repeatedly(
    client: TornadoTransport, peer: Address, request: BenchCall, count: int
) -> list[float]:
    latencies: list[float] = []
    for _ in range(count):
        started = time.perf_counter()
        await client.call(peer, request, timeout_seconds=CALL_TIMEOUT_SECONDS)
        latencies.append(time.perf_counter() - started)
    return latencies


async def _measure(call_count: int, concurrency: int, body_bytes: int) -> TransportBenchReport:
    task_owner, clock = TaskOwner(), SystemClock()
    server = TornadoTransport(LOOPBACK, CLUSTER_KEY, clock, task_owner)
    client = TornadoTransport(LOOPBACK, CLUSTER_KEY, clock, task_owner)
    await server.start()
    await client.start()
    server.handle_calls(BenchCall, _echo_size)
    request = BenchCall(body=bytes(body_bytes))
    await _call_repeatedly(client, server.address, request, concurrency)
    calls_per_caller = max(1, call_count // concurrency)
    wall_started, cpu_started = time.perf_counter(), time.process_time()
    callers = [
        _call_repeatedly(client, server.address, request, calls_per_caller)
        for _ in range(concurrency)
    ]
    results = await asyncio.gather(*callers)
    cpu_seconds = time.process_time() - cpu_started
    wall_seconds = time.perf_counter() - wall_started
    await client.close()
    await server.close()
    await task_owner.close()
    latencies = [latency for result in results for latency in result]
    percentiles = statistics.quantiles(latencies, n=100)
    return TransportBenchReport(
        call_count=len(latencies),
        concurrency=concurrency,
        body_bytes=body_bytes,
        calls_per_second=len(latencies) / wall_seconds,
        cpu_microseconds_per_call=1e6 * cpu_seconds / len(latencies),
        latency_p50_milliseconds=1000 * percentiles[49],
        latency_p99_milliseconds=1000 * percentiles[98],
    )


def run_transport_bench(call_count: int, concurrency: int, body_bytes: int) -> TransportBenchReport:
    """Measure calls between two transports of this process over loopback."""
    return asyncio.run(_measure(call_count, concurrency, body_bytes))
