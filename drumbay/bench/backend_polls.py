"""What one poll of an engine costs over HTTP: bytes on the wire and processor time.

The engine's emulator answers in a thread of its own, so that only the node's side of the
exchange is timed. A relay between the two counts the bytes.
"""

import asyncio
import random
import threading
import time

import msgspec

from drumbay.backends.connector import HttpConnector
from drumbay.backends.http_engine import HttpEngineClient
from drumbay.backends.interface import BackendAddress
from drumbay.clock import SystemClock
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.engine_server import EngineServer
from drumbay.tasks import TaskOwner

IP_AND_TCP_HEADER_BYTES = 52
"""With TCP timestamps, as Linux sends them; acknowledgements alone are not counted."""

LOOPBACK = "127.0.0.1"
ENGINE = BackendId("engine-000")
TIMEOUT_SECONDS = 5.0
WARM_UP_POLLS = 20
READ_BYTES = 65536


class ExchangeCost(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP exchange of a poll on a kept connection.

    Attributes:
        request: Path that was asked.
        sent_bytes: Bytes of the request, one IP and TCP header included.
        received_bytes: Bytes of the answer, one IP and TCP header included.
        cpu_milliseconds: Processor time of the node's thread.
    """

    request: str
    sent_bytes: float
    received_bytes: float
    cpu_milliseconds: float


class PollReport(msgspec.Struct, frozen=True, kw_only=True):
    """The two exchanges of a poll."""

    polls: int
    status: ExchangeCost
    cache_events: ExchangeCost


class EngineThread:
    """An emulated engine that serves HTTP in a thread of its own.

    Attributes:
        base_url: Where it is reached once started.
    """

    def __init__(self, parameters: EngineParameters | None = None) -> None:
        """Create an engine that is not started."""
        self.base_url = ""
        self._parameters = parameters or EngineParameters()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to serve, and wait until it does."""
        self._thread.start()
        self._started.wait()

    def stop(self) -> None:
        """End the thread."""
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join()

    def _run(self) -> None:
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        clock = SystemClock()
        model = EngineModel(
            clock, ENGINE, "model", WeightVersion(1), random.Random(1), parameters=self._parameters
        )
        server = EngineServer(model, clock, host=LOOPBACK, port=0)
        server.start()
        self.base_url = server.base_url
        self._started.set()
        await self._stopping.wait()
        await server.stop()


class _Relay:
    """Passes connections on to a port and counts the bytes of each direction."""

    def __init__(self, port: int) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self._port = port
        self._tasks = TaskOwner()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._connect, LOOPBACK, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        self._server.close()
        await self._tasks.close()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        engine_reader, engine_writer = await asyncio.open_connection(LOOPBACK, self._port)
        self._tasks.spawn(self._pass(reader, engine_writer, True), "requests")
        self._tasks.spawn(self._pass(engine_reader, writer, False), "answers")

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_request: bool
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if is_request:
                self.sent_bytes += len(data)
            else:
                self.received_bytes += len(data)
            writer.write(data)


class _Meter:
    def __init__(self, engine_port: int, polls: int) -> None:
        self._engine_port = engine_port
        self._polls = polls
        self._tasks = TaskOwner()
        self._connector = HttpConnector()
        self._client = HttpEngineClient(self._connector, self._tasks)

    async def close(self) -> None:
        self._connector.close()
        await self._tasks.close()

    async def measure(self, request: str) -> ExchangeCost:
        """Count bytes through the relay, then time without it."""
        relay = _Relay(self._engine_port)
        relayed = f"http://{LOOPBACK}:{await relay.start()}"
        await self._poll(relayed, request, WARM_UP_POLLS)
        sent, received = relay.sent_bytes, relay.received_bytes
        await self._poll(relayed, request, self._polls)
        sent_bytes = (relay.sent_bytes - sent) / self._polls
        received_bytes = (relay.received_bytes - received) / self._polls
        await relay.close()
        direct = f"http://{LOOPBACK}:{self._engine_port}"
        await self._poll(direct, request, WARM_UP_POLLS)
        started = time.thread_time()
        await self._poll(direct, request, self._polls)
        cpu_seconds = time.thread_time() - started
        return ExchangeCost(
            request=request,
            sent_bytes=sent_bytes + IP_AND_TCP_HEADER_BYTES,
            received_bytes=received_bytes + IP_AND_TCP_HEADER_BYTES,
            cpu_milliseconds=1000 * cpu_seconds / self._polls,
        )

    async def _poll(self, base_url: str, request: str, count: int) -> None:
        address = BackendAddress(ENGINE, base_url)
        for _ in range(count):
            if request == "status":
                await self._client.status(address, timeout_seconds=TIMEOUT_SECONDS)
            else:
                await self._client.cache_events(address, 0, timeout_seconds=TIMEOUT_SECONDS)


def run_poll_bench(polls: int = 500) -> PollReport:
    """Measure both exchanges of a poll over loopback."""
    engine = EngineThread()
    engine.start()
    port = int(engine.base_url.rpartition(":")[2])

    async def main() -> PollReport:
        meter = _Meter(port, polls)
        status = await meter.measure("status")
        cache_events = await meter.measure("cache_events")
        await meter.close()
        return PollReport(polls=polls, status=status, cache_events=cache_events)

    report = asyncio.run(main())
    engine.stop()
    return report
