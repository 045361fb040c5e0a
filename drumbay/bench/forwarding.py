"""Forwarding overhead of a node: latency and CPU time compared with direct requests.

The same closed-loop load is sent first directly to an emulated back end and then through one
node. The processes must be running already, for example from ``bench/forwarding.sh``; this
module sends the load and measures their CPU time.
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
MAX_RESPONSE_BYTES = 1 << 20
ARTICLE_PATH = "/articles/article-1"
APPLICATION_PREFIX = "/app"
BYTES_PER_MEGABYTE = 1_000_000
MILLISECONDS_PER_SECOND = 1_000
TOKENS_PER_COST_UNIT = 1_000


class UnexpectedStatusError(UnavailableError):
    """A response has an unexpected status."""

    code = "unexpected_status"


class ForwardingTargets(msgspec.Struct, frozen=True, kw_only=True):
    """Processes under load.

    Attributes:
        node: Base URL of the node under load.
        node_processes: Process ids of all nodes, starting with the node under load.
        application: Base URL of the emulated application server.
        application_process: Process id of the application server.
        engine: Base URL of the only engine of the model.
        engine_process: Process id of the engine.
        model: Name of the model.
        tokens: Tokens per completion.
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
    """One kind of request, sent directly and through the node.

    Attributes:
        straight: Load sent directly to the back end, with the CPU time of the back end.
        through_node: Load sent through the node, with the CPU time of the node.
        ratios: ``through_node`` relative to ``straight``.
        node_cpu_milliseconds_per_request: CPU time of the node under load.
        all_nodes_cpu_milliseconds_per_request: CPU time of all nodes, which includes the
            replicas of claims.
    """

    straight: ClosedLoopResult
    through_node: ClosedLoopResult
    ratios: ClosedLoopRatios
    node_cpu_milliseconds_per_request: float
    all_nodes_cpu_milliseconds_per_request: float


class IdleUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Resource usage of an idle node; CPU in percent of one core."""

    seconds: float
    cpu_percent: float
    resident_megabytes: float


class ForwardingReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run."""

    idle: tuple[IdleUsage, ...]
    lookups: ForwardingComparison
    claimed_bookings: ForwardingComparison
    streamed_completions: ForwardingComparison
    node_cpu_milliseconds_per_1000_tokens: float


class _RequestSender:
    """Creates functions that send one request and check the status of the response."""

    def __init__(self, connector: HttpConnector, name: str) -> None:
        self._connector = connector
        self._name = name

    async def _send(self, call: HttpCall) -> None:
        response = await self._connector.exchange(call)
        await response.body(MAX_RESPONSE_BYTES)
        if response.status >= 300:
            raise UnexpectedStatusError(f"{call.url}: status {response.status}")

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


class _LoadComparison:
    """Runs the same load directly and through the node."""

    def __init__(
        self, clock: Clock, parameters: ClosedLoopParameters, node_processes: tuple[int, ...]
    ) -> None:
        self._clock = clock
        self._parameters = parameters
        self._node_processes = node_processes

    async def compare(
        self,
        send_directly: Callable[[int], Awaitable[None]],
        send_through_node: Callable[[int], Awaitable[None]],
        backend_process: int,
    ) -> ForwardingComparison:
        baseline = await run_closed_loop(
            send_directly, self._clock, self._parameters, (backend_process,)
        )
        before = cpu_seconds(self._node_processes[1:])
        result = await run_closed_loop(
            send_through_node, self._clock, self._parameters, self._node_processes[:1]
        )
        # The CPU time of the other nodes includes the warm-up requests.
        other_nodes_cpu_seconds = cpu_seconds(self._node_processes[1:]) - before
        total_requests = result.requests + self._parameters.warmup_requests
        node_milliseconds = _milliseconds_per(result.cpu_seconds, result.requests)
        return ForwardingComparison(
            straight=baseline,
            through_node=result,
            ratios=ratios(result, baseline),
            node_cpu_milliseconds_per_request=node_milliseconds,
            all_nodes_cpu_milliseconds_per_request=node_milliseconds
            + _milliseconds_per(other_nodes_cpu_seconds, total_requests),
        )


def _milliseconds_per(seconds: float, count: int) -> float:
    return seconds * MILLISECONDS_PER_SECOND / count if count else float("nan")


async def measure_idle(
    clock: Clock, processes: tuple[int, ...], seconds: float
) -> tuple[IdleUsage, ...]:
    """Measure the resource usage of idle processes."""
    before = [cpu_seconds((process,)) for process in processes]
    started_at = clock.monotonic()
    await clock.sleep(seconds)
    elapsed = clock.monotonic() - started_at
    return tuple(
        IdleUsage(
            seconds=elapsed,
            cpu_percent=100.0 * (cpu_seconds((process,)) - cpu_before) / elapsed,
            resident_megabytes=psutil.Process(process).memory_info().rss / BYTES_PER_MEGABYTE,
        )
        for process, cpu_before in zip(processes, before, strict=True)
    )


async def _measure(
    targets: ForwardingTargets, parameters: ClosedLoopParameters, idle_seconds: float
) -> ForwardingReport:
    clock = SystemClock()
    connector = HttpConnector()
    comparison = _LoadComparison(clock, parameters, targets.node_processes)
    direct = _RequestSender(connector, "straight")
    via_node = _RequestSender(connector, "through-node")
    application_via_node = targets.node + APPLICATION_PREFIX
    try:
        idle = await measure_idle(clock, targets.node_processes, idle_seconds)
        lookups = await comparison.compare(
            direct.lookup(targets.application),
            via_node.lookup(application_via_node),
            targets.application_process,
        )
        bookings = await comparison.compare(
            direct.booking(targets.application),
            via_node.booking(application_via_node),
            targets.application_process,
        )
        completions = await comparison.compare(
            direct.completion(targets.engine, targets.model, targets.tokens),
            via_node.completion(targets.node, targets.model, targets.tokens),
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
        node_cpu_milliseconds_per_1000_tokens=per_request * TOKENS_PER_COST_UNIT / targets.tokens,
    )


def run_forwarding_bench(
    targets: ForwardingTargets, parameters: ClosedLoopParameters, idle_seconds: float
) -> ForwardingReport:
    """Measure the forwarding overhead.

    Args:
        targets: Running processes.
        parameters: Bounds of each load.
        idle_seconds: Duration of the idle measurement.
    """
    return asyncio.run(_measure(targets, parameters, idle_seconds))
