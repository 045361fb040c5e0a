"""Processor time of a node for the requests that it forwards, over loopback HTTP.

One real node runs in the main thread, whose processor time is measured. The emulated engine
and the callers have threads of their own.
"""

import asyncio
import time
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from random import Random

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from drumbay.api.application import make_application
from drumbay.api.schema import ApplyBody, CompletionBody
from drumbay.backends.connector import HttpConnector
from drumbay.backends.http_application import HttpApplicationClient
from drumbay.backends.http_engine import HttpEngineClient
from drumbay.bench.backend_polls import LOOPBACK, EngineThread
from drumbay.clock import SystemClock
from drumbay.comm.interface import Address
from drumbay.comm.tornado_transport import TornadoTransport, new_boot_id
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.node.environment import NodeEnvironment
from drumbay.node.node import Node
from drumbay.resources.schema import (
    AnyResource,
    Backend,
    BackendGroup,
    BackendKind,
    Route,
    RouteKind,
    Selector,
)
from drumbay.settings import HttpSettings, KeyValueSettings, NodeSettings, PeerSettings
from drumbay.standins.batch_rate import BatchRate
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.kv_model import KeyValueModel
from drumbay.storage.durable_log import DurableLog
from drumbay.tasks import TaskOwner

MODEL = "model"
CALLERS = 8
REQUEST_TOKENS = 320
PROMPT = "which primer for plaster " * 16
WARM_UP_REQUESTS = 16
REQUEST_TIMEOUT_SECONDS = 30.0
IDLE_SECONDS = 5.0
READY_SECONDS = 1.0
CLUSTER_KEY = b"key of the benchmark, not secret!"


class ForwardingCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost at one size of the chunks that the engine streams.

    Attributes:
        chunk_tokens: Tokens of a chunk.
        request_tokens: Tokens of an answer.
        requests: Requests that were measured.
        cpu_milliseconds: Processor time of the node for one request.
    """

    chunk_tokens: int
    request_tokens: int
    requests: int
    cpu_milliseconds: float


class ForwardingReport(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of a request, and the model that two sizes of chunks give.

    Attributes:
        costs: One for each size of chunks.
        milliseconds_per_request: Cost of a request without its chunks.
        microseconds_per_chunk: Cost of one more chunk.
        idle_milliseconds: Processor time of the idle node per second, one engine watched.
    """

    costs: tuple[ForwardingCost, ...]
    milliseconds_per_request: float
    microseconds_per_chunk: float
    idle_milliseconds: float


class _NodeUnderTest:
    """One node with an engine, served over HTTP on loopback."""

    def __init__(self, engine_url: str) -> None:
        self._engine_url = engine_url
        self._tasks = TaskOwner()
        self._connector = HttpConnector()
        clock = SystemClock()
        self._transport = TornadoTransport(Address(LOOPBACK, 0), CLUSTER_KEY, clock, self._tasks)
        environment = NodeEnvironment(
            clock=clock,
            transport=self._transport,
            store=MemoryKeyValueStore(KeyValueModel(clock), clock),
            engine_client=HttpEngineClient(self._connector, self._tasks),
            application_client=HttpApplicationClient(self._connector),
            machine_list=None,
            weight_store=None,
            open_log=DurableLog.open,
            random=Random(1),
            boot_id=new_boot_id(),
        )
        self._node = Node(_settings(), environment)
        self._server = HTTPServer(make_application(self._node, False))

    async def start(self) -> str:
        """Start the node; return its base URL."""
        await self._transport.start()
        self._node.start()
        await asyncio.sleep(READY_SECONDS)
        for number, resource in enumerate(self._resources()):
            await self._node.apply(ApplyBody(resource=resource, operation_id=f"set-{number}"))
        sockets = bind_sockets(0, LOOPBACK)
        self._server.add_sockets(sockets)
        await asyncio.sleep(READY_SECONDS)
        return f"http://{LOOPBACK}:{sockets[0].getsockname()[1]}"

    def _resources(self) -> tuple[AnyResource, ...]:
        group = BackendGroup(
            name="engines",
            backend_kind=BackendKind.ENGINE,
            model=MODEL,
            backends=(Backend(id="engine-000", url=self._engine_url, zone="z"),),
        )
        route = Route(name="live", route_kind=RouteKind.LIVE, model=MODEL, selector=Selector())
        return group, route

    async def close(self) -> None:
        """End everything at once."""
        self._server.stop()
        await self._node.close()
        await self._server.close_all_connections()
        self._connector.close()
        await self._transport.close()
        await self._tasks.close()


def _settings() -> NodeSettings:
    return NodeSettings(
        node_id="node-000",
        zone="z",
        region="r",
        http=HttpSettings(host=LOOPBACK, port=1),
        peers=PeerSettings(host=LOOPBACK, port=2, cluster_key_file=""),
        key_value=KeyValueSettings(urls=(f"http://{LOOPBACK}:1",)),
    )


def _call(base_url: str) -> None:
    """Stream one completion as a caller would."""
    body = CompletionBody(
        model=MODEL,
        prompt=PROMPT,
        max_tokens=REQUEST_TOKENS,
        target_tokens=REQUEST_TOKENS,
        stream=True,
    )
    request = urllib.request.Request(
        f"{base_url}/v1/completions",
        data=msgspec.json.encode(body),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_SECONDS) as answer:
        answer.read()


async def _call_many(base_url: str, count: int) -> None:
    loop = asyncio.get_running_loop()
    with ThreadPoolExecutor(CALLERS) as pool:
        calls = [loop.run_in_executor(pool, _call, base_url) for _ in range(count)]
        await asyncio.gather(*calls)


async def _measure(engine_url: str, requests: int, idle_seconds: float) -> tuple[float, float]:
    """Return processor milliseconds per request, and per second when idle."""
    node = _NodeUnderTest(engine_url)
    base_url = await node.start()
    await _call_many(base_url, WARM_UP_REQUESTS)
    started = time.thread_time()
    await _call_many(base_url, requests)
    request_milliseconds = 1000 * (time.thread_time() - started) / requests
    started = time.thread_time()
    await asyncio.sleep(idle_seconds)
    idle_milliseconds = 1000 * (time.thread_time() - started) / idle_seconds
    await node.close()
    return request_milliseconds, idle_milliseconds


def run_forwarding_cost_bench(
    *,
    requests: int = 100,
    chunk_sizes: tuple[int, int] = (1, 16),
    idle_seconds: float = IDLE_SECONDS,
) -> ForwardingReport:
    """Measure both sizes of chunks and fit the cost of a chunk."""
    costs = []
    idle = []
    for chunk_tokens in chunk_sizes:
        parameters = EngineParameters(
            chunk_tokens=chunk_tokens,
            max_batch=CALLERS,
            rate=BatchRate(step_seconds=0.001, step_seconds_per_sequence=0.0),
        )
        engine = EngineThread(parameters)
        engine.start()
        milliseconds, idle_milliseconds = asyncio.run(
            _measure(engine.base_url, requests, idle_seconds)
        )
        engine.stop()
        idle.append(idle_milliseconds)
        costs.append(
            ForwardingCost(
                chunk_tokens=chunk_tokens,
                request_tokens=REQUEST_TOKENS,
                requests=requests,
                cpu_milliseconds=milliseconds,
            )
        )
    first, second = costs
    chunks = [REQUEST_TOKENS / each.chunk_tokens for each in costs]
    per_chunk = (first.cpu_milliseconds - second.cpu_milliseconds) / (chunks[0] - chunks[1])
    return ForwardingReport(
        costs=tuple(costs),
        milliseconds_per_request=second.cpu_milliseconds - per_chunk * chunks[1],
        microseconds_per_chunk=1000 * per_chunk,
        idle_milliseconds=max(idle),
    )
