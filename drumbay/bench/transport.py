"""Measures calls and datagrams between two transports over loopback, in one process."""

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
    """A call that carries a body."""

    body: bytes


class BenchReply(Message, frozen=True, kw_only=True):
    """The reply to a :class:`BenchCall`."""

    size_bytes: int


class TransportBenchReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run; processor time covers both ends of a call.

    Attributes:
        call_count: Calls made.
        concurrency: Calls outstanding at a time.
        body_bytes: Body of each call.
        calls_per_second: Calls by wall-clock time.
        cpu_microseconds_per_call: Processor time per call, both ends.
        latency_p50_milliseconds: Median time of a call.
        latency_p99_milliseconds: 99th percentile.
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
    seconds: list[float] = []
    for _ in range(count):
        started = time.perf_counter()
        await client.call(peer, request, timeout_seconds=CALL_TIMEOUT_SECONDS)
        seconds.append(time.perf_counter() - started)
    return seconds


async def _measure(call_count: int, concurrency: int, body_bytes: int) -> TransportBenchReport:
    owner, clock = TaskOwner(), SystemClock()
    server = TornadoTransport(LOOPBACK, CLUSTER_KEY, clock, owner)
    client = TornadoTransport(LOOPBACK, CLUSTER_KEY, clock, owner)
    await server.start()
    await client.start()
    server.handle_calls(BenchCall, _echo_size)
    request = BenchCall(body=bytes(body_bytes))
    await _call_repeatedly(client, server.address, request, concurrency)
    per_caller = max(1, call_count // concurrency)
    wall_started, cpu_started = time.perf_counter(), time.process_time()
    callers = [
        _call_repeatedly(client, server.address, request, per_caller) for _ in range(concurrency)
    ]
    results = await asyncio.gather(*callers)
    cpu_seconds = time.process_time() - cpu_started
    wall_seconds = time.perf_counter() - wall_started
    await client.close()
    await server.close()
    await owner.close()
    seconds = [each for result in results for each in result]
    percentiles = statistics.quantiles(seconds, n=100)
    return TransportBenchReport(
        call_count=len(seconds),
        concurrency=concurrency,
        body_bytes=body_bytes,
        calls_per_second=len(seconds) / wall_seconds,
        cpu_microseconds_per_call=1e6 * cpu_seconds / len(seconds),
        latency_p50_milliseconds=1000 * percentiles[49],
        latency_p99_milliseconds=1000 * percentiles[98],
    )


def run_transport_bench(call_count: int, concurrency: int, body_bytes: int) -> TransportBenchReport:
    """Measure calls between two transports of this process over loopback."""
    return asyncio.run(_measure(call_count, concurrency, body_bytes))
