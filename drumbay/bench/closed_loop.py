"""A closed-loop load generator: each worker sends its next request after its last answer.

NOTE: a closed loop slows down with the system it measures, so its latencies say nothing of
an arrival rate; see Schroeder, Wierman and Harchol-Balter, "Open Versus Closed" (NSDI 2006).
It compares two ways to the same server under the same concurrency, as ratios.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import psutil
from hdrh.histogram import HdrHistogram

from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000

SendRequest = Callable[[int], Awaitable[None]]
"""Sends request number N and returns once its answer is whole."""


class ClosedLoopParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one run; it ends at whichever of count and time is reached first.

    Attributes:
        concurrency: Workers.
        requests: Requests measured.
        warmup_requests: Requests sent before, which are not measured.
        max_seconds: Limit of the measured part; requests under way are finished.
    """

    concurrency: int = 32
    requests: int = 5_000
    warmup_requests: int = 500
    max_seconds: float = 20.0


class ClosedLoopResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one run measured.

    Attributes:
        requests: Requests answered.
        failures: Requests that failed, by code of the exception.
        seconds: Duration.
        requests_per_second: Rate of answered requests.
        p50_milliseconds: Median latency.
        p99_milliseconds: 99th percentile.
        max_milliseconds: Largest latency.
        cpu_seconds: CPU time of the watched processes, user and system.
        requests_per_cpu_second: Answered requests per second of that CPU time.
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
    """One run relative to another."""

    requests_per_second: float
    p50: float
    p99: float
    requests_per_cpu_second: float


def ratios(result: ClosedLoopResult, baseline: ClosedLoopResult) -> ClosedLoopRatios:
    """Return a run relative to its baseline."""
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


class _Workers:
    """Workers that share a budget of requests."""

    def __init__(self, clock: Clock, send: SendRequest) -> None:
        self._clock = clock
        self._send = send
        self._next_number = 0
        self._last_number = 0
        self._ends_at = 0.0
        self.failures: dict[str, int] = {}
        self.histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    async def run(self, concurrency: int, requests: int, max_seconds: float) -> None:
        """Send a number of requests within a time."""
        self.failures = {}
        self.histogram.reset()
        self._last_number = self._next_number + requests
        self._ends_at = self._clock.monotonic() + max_seconds
        await asyncio.gather(*(self._work() for _ in range(concurrency)))

    async def _work(self) -> None:
        while self._next_number < self._last_number and self._clock.monotonic() < self._ends_at:
            number = self._next_number
            self._next_number += 1
            await self._measure(number)

    async def _measure(self, number: int) -> None:
        began = self._clock.monotonic()
        try:
            await self._send(number)
        except DrumbayError as error:
            self.failures[error.code] = self.failures.get(error.code, 0) + 1
            return
        elapsed = self._clock.monotonic() - began
        self.histogram.record_value(max(round(elapsed * MICROSECONDS_PER_SECOND), 1))


async def run_closed_loop(
    send: SendRequest,
    clock: Clock,
    parameters: ClosedLoopParameters,
    watched_processes: tuple[int, ...],
) -> ClosedLoopResult:
    """Send requests in a closed loop and measure them.

    Args:
        send: Sends one request; a :class:`~drumbay.exceptions.DrumbayError` counts as failure.
        clock: Time of the measurement.
        parameters: Bounds of the run.
        watched_processes: Process ids whose CPU time is counted.
    """
    workers = _Workers(clock, send)
    concurrency = parameters.concurrency
    await workers.run(concurrency, parameters.warmup_requests, parameters.max_seconds)
    cpu_before = cpu_seconds(watched_processes)
    began = clock.monotonic()
    await workers.run(concurrency, parameters.requests, parameters.max_seconds)
    elapsed = clock.monotonic() - began
    used = cpu_seconds(watched_processes) - cpu_before
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
        cpu_seconds=used,
        requests_per_cpu_second=_ratio(answered, used),
    )


def cpu_seconds(processes: tuple[int, ...]) -> float:
    """Return the user and system CPU time of processes so far."""
    total = 0.0
    for number in processes:
        times = psutil.Process(number).cpu_times()
        total += times.user + times.system
    return total
