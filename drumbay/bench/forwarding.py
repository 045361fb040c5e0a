"""What a node adds to a request: latency and CPU time, beside the way straight to the back end.

The same closed-loop load is sent straight to an emulator and through one node, one after the
other in one run, and compared as ratios. The processes are started by ``bench/forwarding.sh``
or by hand; this program sends the load and reads their CPU time.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import psutil

from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.wire import (
    COMPLETIONS_PATH,
    IDEMPOTENCY_KEY_HEADER,
    JSON_TYPE,
    REQUEST_ID_HEADER,
    CompletionBody,
)
from drumbay.bench.closed_loop import (
    ClosedLoopParameters,
    ClosedLoopRatios,
    ClosedLoopResult,
    cpu_seconds,
    ratios,
    run_closed_loop,
)
from drumbay.clock import Clock, SystemClock
from drumbay.exceptions import UnavailableError

REQUEST_TIMEOUT_SECONDS = 30.0
MAXIMUM_ANSWER_BYTES = 1 << 20
ARTICLE_PATH = "/articles/article-1"
APPLICATION_PREFIX = "/app"
BYTES_PER_MEGABYTE = 1_000_000
MILLISECONDS_PER_SECOND = 1_000
TOKENS_PER_REPORTED_COST = 1_000


class UnexpectedStatusError(UnavailableError):
    """An answer was no success."""

    code = "unexpected_status"


class ForwardingTargets(msgspec.Struct, frozen=True, kw_only=True):
    """Processes under load.

    Attributes:
        node: Base URL of the node that carries the load.
        node_processes: Process ids of all nodes, first the one that carries the load.
        application: Base URL of the application's emulator.
        application_process: Its process id.
        engine: Base URL of the only engine of the model.
        engine_process: Its process id.
        model: The model.
        tokens: Tokens of one completion.
    """

    node: str
    node_processes: tuple[int, ...]
    application: str
    application_process: int
    engine: str
    engine_process: int
    model: str
    tokens: int = 64


class ForwardingComparison(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of request, straight and through the node.

    Attributes:
        straight: Load sent straight to the emulator; the CPU time is the emulator's.
        through_node: Load sent through the node; the CPU time is the node's.
        ratios: ``through_node`` relative to ``straight``.
        node_cpu_milliseconds_per_request: CPU time of the node that carried the load.
        all_nodes_cpu_milliseconds_per_request: The same of all nodes together; replicas of
            claims work at each.
    """

    straight: ClosedLoopResult
    through_node: ClosedLoopResult
    ratios: ClosedLoopRatios
    node_cpu_milliseconds_per_request: float
    all_nodes_cpu_milliseconds_per_request: float


class IdleUse(msgspec.Struct, frozen=True, kw_only=True):
    """A node without traffic: CPU in percent of one core, and memory."""

    seconds: float
    cpu_percent: float
    resident_megabytes: float


class ForwardingReport(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of one run."""

    idle: tuple[IdleUse, ...]
    lookups: ForwardingComparison
    claimed_bookings: ForwardingComparison
    streamed_completions: ForwardingComparison
    node_cpu_milliseconds_per_1000_tokens: float


class _Sender:
    """Sends one kind of request to one URL and checks the answer."""

    def __init__(self, connector: HttpConnector, name: str) -> None:
        self._connector = connector
        self._name = name

    async def _send(self, call: HttpCall) -> None:
        answer = await self._connector.exchange(call)
        await answer.body(MAXIMUM_ANSWER_BYTES)
        if answer.status >= 300:
            raise UnexpectedStatusError(f"{call.url}: status {answer.status}")

    def lookup(self, base_url: str) -> Callable[[int], Awaitable[None]]:
        async def send(number: int) -> None:
            headers = {REQUEST_ID_HEADER: f"{self._name}-{number}"}
            await self._send(
                HttpCall(
                    method="GET",
                    url=base_url + ARTICLE_PATH,
                    headers=headers,
                    timeout_seconds=REQUEST_TIMEOUT_SECONDS,
                )
            )

        return send

    def booking(self, base_url: str) -> Callable[[int], Awaitable[None]]:
        async def send(number: int) -> None:
            headers = {
                REQUEST_ID_HEADER: f"{self._name}-{number}",
                IDEMPOTENCY_KEY_HEADER: f"{self._name}-{number}",
                "Content-Type": JSON_TYPE,
            }
            await self._send(
                HttpCall(
                    method="POST",
                    url=base_url + ARTICLE_PATH,
                    headers=headers,
                    body=b"{}",
                    timeout_seconds=REQUEST_TIMEOUT_SECONDS,
                )
            )

        return send

    def completion(
        self, base_url: str, model: str, tokens: int
    ) -> Callable[[int], Awaitable[None]]:
        async def send(number: int) -> None:
            body = CompletionBody(
                model=model,
                prompt=f"question {number}",
                max_tokens=tokens,
                target_tokens=tokens,
                stream=True,
            )
            headers = {
                REQUEST_ID_HEADER: f"{self._name}-{number}",
                "Content-Type": JSON_TYPE,
            }
            await self._send(
                HttpCall(
                    method="POST",
                    url=base_url + COMPLETIONS_PATH,
                    headers=headers,
                    body=msgspec.json.encode(body),
                    timeout_seconds=REQUEST_TIMEOUT_SECONDS,
                )
            )

        return send


class _Comparer:
    """Runs one load straight and through the node."""

    def __init__(
        self, clock: Clock, parameters: ClosedLoopParameters, node_processes: tuple[int, ...]
    ) -> None:
        self._clock = clock
        self._parameters = parameters
        self._node_processes = node_processes

    async def compare(
        self,
        straight: Callable[[int], Awaitable[None]],
        through_node: Callable[[int], Awaitable[None]],
        backend_process: int,
    ) -> ForwardingComparison:
        baseline = await run_closed_loop(
            straight, self._clock, self._parameters, (backend_process,)
        )
        before = cpu_seconds(self._node_processes[1:])
        result = await run_closed_loop(
            through_node, self._clock, self._parameters, self._node_processes[:1]
        )
        # NOTE: the other nodes' share includes the warm-up, which is counted for below.
        others = cpu_seconds(self._node_processes[1:]) - before
        sent = result.requests + self._parameters.warmup_requests
        own = _milliseconds_per(result.cpu_seconds, result.requests)
        return ForwardingComparison(
            straight=baseline,
            through_node=result,
            ratios=ratios(result, baseline),
            node_cpu_milliseconds_per_request=own,
            all_nodes_cpu_milliseconds_per_request=own + _milliseconds_per(others, sent),
        )


def _milliseconds_per(seconds: float, count: int) -> float:
    return seconds * MILLISECONDS_PER_SECOND / count if count else float("nan")


async def measure_idle(
    clock: Clock, processes: tuple[int, ...], seconds: float
) -> tuple[IdleUse, ...]:
    """Return what processes use while no request is sent."""
    before = [cpu_seconds((process,)) for process in processes]
    began = clock.monotonic()
    await clock.sleep(seconds)
    elapsed = clock.monotonic() - began
    return tuple(
        IdleUse(
            seconds=elapsed,
            cpu_percent=100.0 * (cpu_seconds((process,)) - used) / elapsed,
            resident_megabytes=psutil.Process(process).memory_info().rss / BYTES_PER_MEGABYTE,
        )
        for process, used in zip(processes, before, strict=True)
    )


async def _measure(
    targets: ForwardingTargets, parameters: ClosedLoopParameters, idle_seconds: float
) -> ForwardingReport:
    clock = SystemClock()
    connector = HttpConnector()
    comparer = _Comparer(clock, parameters, targets.node_processes)
    straight = _Sender(connector, "straight")
    through = _Sender(connector, "through-node")
    application_at_node = targets.node + APPLICATION_PREFIX
    try:
        idle = await measure_idle(clock, targets.node_processes, idle_seconds)
        lookups = await comparer.compare(
            straight.lookup(targets.application),
            through.lookup(application_at_node),
            targets.application_process,
        )
        bookings = await comparer.compare(
            straight.booking(targets.application),
            through.booking(application_at_node),
            targets.application_process,
        )
        completions = await comparer.compare(
            straight.completion(targets.engine, targets.model, targets.tokens),
            through.completion(targets.node, targets.model, targets.tokens),
            targets.engine_process,
        )
    finally:
        connector.close()
    per_request = completions.node_cpu_milliseconds_per_request
    return ForwardingReport(
        idle=idle,
        lookups=lookups,
        claimed_bookings=bookings,
        streamed_completions=completions,
        node_cpu_milliseconds_per_1000_tokens=per_request
        * TOKENS_PER_REPORTED_COST
        / targets.tokens,
    )


def run_forwarding_bench(
    targets: ForwardingTargets, parameters: ClosedLoopParameters, idle_seconds: float
) -> ForwardingReport:
    """Measure the cost of forwarding.

    Args:
        targets: The processes, already running.
        parameters: Bounds of each of the six loads.
        idle_seconds: How long the idle nodes are watched first.
    """
    return asyncio.run(_measure(targets, parameters, idle_seconds))
