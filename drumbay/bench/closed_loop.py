"""Closed-loop load generator: each worker waits for a response before its next request.

The rate of a closed loop adapts to the measured system, so its latencies do not apply to a given
arrival rate; see Schroeder, Wierman and Harchol-Balter, "Open Versus Closed" (NSDI 2006). It
compares two paths to the same server under the same concurrency.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import psutil
from hdrh.histogram import HdrHistogram

from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 600_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000

SendRequest = Callable[[int], Awaitable[None]]
"""Sends a request, given its number, and returns after the complete response."""


class ClosedLoopParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one run, which ends at the request count or the time limit.

    Attributes:
        concurrency: Number of workers.
        requests: Number of measured requests.
        warmup_requests: Number of requests sent before the measurement.
        max_seconds: Time limit; requests in flight are completed.
    """

    concurrency: int = 32
    requests: int = 5_000
    warmup_requests: int = 500
    max_seconds: float = 20.0


class ClosedLoopResult(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements of one run.

    Attributes:
        requests: Answered requests.
        failures: Failed requests by error code.
        seconds: Duration.
        requests_per_second: Rate of answered requests.
        p50_milliseconds: Median latency.
        p99_milliseconds: 99th percentile of the latency.
        max_milliseconds: Maximum latency.
        cpu_seconds: User and system CPU time of the measured processes.
        requests_per_cpu_second: Answered requests per second of CPU time.
    """

    requests: int
    failures: dict[str, int]
    seconds: float
    requests_per_second: float
    p50_milliseconds: float
    p99_milliseconds: float
    max_milliseconds: float
    cpu_seconds: float
    requests_per_cpu_second: float


class ClosedLoopRatios(msgspec.Struct, frozen=True, kw_only=True):
    """Ratios of one run to another."""

    requests_per_second: float
    p50: float
    p99: float
    requests_per_cpu_second: float


def ratios(result: ClosedLoopResult, baseline: ClosedLoopResult) -> ClosedLoopRatios:
    """Return the ratios of a run to its baseline."""
    return ClosedLoopRatios(
        requests_per_second=_ratio(result.requests_per_second, baseline.requests_per_second),
        p50=_ratio(result.p50_milliseconds, baseline.p50_milliseconds),
        p99=_ratio(result.p99_milliseconds, baseline.p99_milliseconds),
        requests_per_cpu_second=_ratio(
            result.requests_per_cpu_second, baseline.requests_per_cpu_second
        ),
    )


def _ratio(value: float, baseline: float) -> float:
    return value / baseline if baseline > 0.0 else float("nan")


class _LoadWorkers:
    """Concurrent workers that together send a given number of requests."""

    def __init__(self, clock: Clock, send: SendRequest) -> None:
        self._clock = clock
        self._send = send
        self._next_number = 0
        self._last_number = 0
        self._deadline = 0.0
        self.failures: dict[str, int] = {}
        self.histogram = HdrHistogram(
            MIN_LATENCY_MICROSECONDS, MAX_LATENCY_MICROSECONDS, HISTOGRAM_SIGNIFICANT_DIGITS
        )

    async def run(self, concurrency: int, requests: int, max_seconds: float) -> None:
        """Send ``requests`` requests or as many as the time limit allows."""
        self.failures = {}
        self.histogram.reset()
        self._last_number = self._next_number + requests
        self._deadline = self._clock.monotonic() + max_seconds
        await asyncio.gather(*(self._run_worker() for _ in range(concurrency)))

    async def _run_worker(self) -> None:
        while self._next_number < self._last_number and self._clock.monotonic() < self._deadline:
            number = self._next_number
            self._next_number += 1
            await self._measure(number)

    async def _measure(self, number: int) -> None:
        started_at = self._clock.monotonic()
        try:
            await self._send(number)
        except DrumbayError as error:
            self.failures[error.code] = self.failures.get(error.code, 0) + 1
            return
        elapsed = self._clock.monotonic() - started_at
        self.histogram.record_value(max(round(elapsed * MICROSECONDS_PER_SECOND), 1))


async def run_closed_loop(
    send: SendRequest,
    clock: Clock,
    parameters: ClosedLoopParameters,
    process_ids: tuple[int, ...],
) -> ClosedLoopResult:
    """Send requests in a closed loop and measure them.

    Args:
        send: Sends one request; a :class:`~drumbay.exceptions.DrumbayError` is a failure.
        clock: Clock for the measurement.
        parameters: Bounds of the run.
        process_ids: Processes whose CPU time is measured.
    """
    workers = _LoadWorkers(clock, send)
    concurrency = parameters.concurrency
    await workers.run(concurrency, parameters.warmup_requests, parameters.max_seconds)
    cpu_before = cpu_seconds(process_ids)
    started_at = clock.monotonic()
    await workers.run(concurrency, parameters.requests, parameters.max_seconds)
    elapsed = clock.monotonic() - started_at
    cpu_used = cpu_seconds(process_ids) - cpu_before
    histogram = workers.histogram
    answered = int(histogram.get_total_count())
    return ClosedLoopResult(
        requests=answered,
        failures=workers.failures,
        seconds=elapsed,
        requests_per_second=_ratio(answered, elapsed),
        p50_milliseconds=histogram.get_value_at_percentile(50.0) / MICROSECONDS_PER_MILLISECOND,
        p99_milliseconds=histogram.get_value_at_percentile(99.0) / MICROSECONDS_PER_MILLISECOND,
        max_milliseconds=histogram.get_max_value() / MICROSECONDS_PER_MILLISECOND,
        cpu_seconds=cpu_used,
        requests_per_cpu_second=_ratio(answered, cpu_used),
    )


def cpu_seconds(pids: tuple[int, ...]) -> float:
    """Return the total user and system CPU time of processes."""
    total = 0.0
    for pid in pids:
        times = psutil.Process(pid).cpu_times()
        total += times.user + times.system
    return total
