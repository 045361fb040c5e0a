"""``drumbay standin``: emulators of external systems, one process each."""

import asyncio
import random
import signal
from typing import Annotated, Protocol

import typer

from drumbay.backends.connector import HttpConnector
from drumbay.clock import SystemClock
from drumbay.identifiers import BackendId, StreamName, WeightVersion
from drumbay.observability.logs import configure_logs
from drumbay.standins.application_model import ApplicationModel
from drumbay.standins.batch_rate import BatchRate
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.engine_server import EngineServer
from drumbay.standins.kv_server import serve_key_value_emulator
from drumbay.standins.machine_list_model import MachineListModel
from drumbay.standins.machine_list_server import MachineListServer
from drumbay.standins.scoring_model import ScoringModel
from drumbay.standins.service_model import ServiceParameters
from drumbay.standins.service_server import ServiceServer
from drumbay.standins.trainer_model import TrainerModel, TrainerParameters
from drumbay.standins.trainer_server import HttpSampleSource, TrainerProcess, TrainerServer
from drumbay.standins.weight_store_model import WeightStoreModel, WeightStoreParameters
from drumbay.standins.weight_store_server import HttpWeightStore, WeightStoreServer

app = typer.Typer(
    name="standin",
    no_args_is_help=True,
    help="Run one emulator of a system around drumbay. Each serves /log, /faults and /healthz.",
)

Host = Annotated[str, typer.Option(help="IP address to listen on.")]
Port = Annotated[int, typer.Option(help="Port to listen on; 0 takes a free one.")]
Seed = Annotated[int, typer.Option(help="Seed of everything drawn at random.")]
Name = Annotated[str, typer.Option(help="Name of the emulator in its log.")]
ModelName = Annotated[str, typer.Option(help="Name of the model.")]


class Server(Protocol):
    """A server that a command can run."""

    def start(self) -> None:
        """Bind the port and start serving."""
        ...

    async def stop(self) -> None:
        """Stop serving."""
        ...


async def _wait_for_stop_signal() -> None:
    """Wait for SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()


async def _serve_until_stopped(server: Server) -> None:
    """Serve until SIGINT or SIGTERM."""
    server.start()
    await _wait_for_stop_signal()
    await server.stop()


@app.callback()
def main() -> None:
    """Write logs as one line per event."""
    configure_logs()


@app.command(
    epilog="Example: drumbay standin engine --name advies-1 --model advies --port 9101 "
    "--weight-store http://127.0.0.1:9300"
)
def engine(
    name: Name = "engine-1",
    model: ModelName = "model",
    host: Host = "127.0.0.1",
    port: Port = 9101,
    seed: Seed = 1,
    version: Annotated[int, typer.Option(help="Weight version at the start.")] = 1,
    weight_store: Annotated[
        str | None, typer.Option(help="URL of the weight store; without it no fetch is needed.")
    ] = None,
    max_batch: Annotated[int, typer.Option(help="Requests that decode together.")] = 16,
    max_waiting: Annotated[int, typer.Option(help="Requests that may queue.")] = 64,
    step_seconds: Annotated[float, typer.Option(help="Fixed time of a decoding step.")] = 0.010,
    sequence_seconds: Annotated[
        float, typer.Option(help="Time each sequence of the batch adds to a step.")
    ] = 0.001,
    load_seconds: Annotated[float, typer.Option(help="Time to load fetched weights.")] = 2.0,
    chunk_tokens: Annotated[int, typer.Option(min=1, help="Tokens of a streamed chunk.")] = 16,
) -> None:
    """Emulate a model engine with OpenAI-compatible completions."""

    async def run() -> None:
        clock = SystemClock()
        connector = HttpConnector(max_connections=8)
        weight_source = None if weight_store is None else HttpWeightStore(connector, weight_store)
        parameters = EngineParameters(
            max_batch=max_batch,
            max_waiting=max_waiting,
            load_seconds=load_seconds,
            chunk_tokens=chunk_tokens,
            rate=BatchRate(step_seconds=step_seconds, step_seconds_per_sequence=sequence_seconds),
        )
        emulator = EngineModel(
            clock,
            BackendId(name),
            model,
            WeightVersion(version),
            random.Random(seed),
            parameters,
            weight_source,
        )
        await _serve_until_stopped(EngineServer(emulator, clock, host=host, port=port))
        connector.close()

    asyncio.run(run())


@app.command(epilog="Example: drumbay standin application --name balie-1 --port 9201")
def application(
    name: Name = "application-1",
    host: Host = "127.0.0.1",
    port: Port = 9201,
    seed: Seed = 1,
    service_seconds: Annotated[float, typer.Option(help="Mean time of one request.")] = 0.02,
    max_running: Annotated[int, typer.Option(help="Requests that run together.")] = 8,
) -> None:
    """Emulate a lookup and ordering application."""

    async def run() -> None:
        clock = SystemClock()
        parameters = ServiceParameters(service_seconds=service_seconds, max_running=max_running)
        emulator = ApplicationModel(clock, BackendId(name), random.Random(seed), parameters)
        await _serve_until_stopped(ServiceServer(emulator, clock, host=host, port=port))

    asyncio.run(run())


@app.command(epilog="Example: drumbay standin scoring --name score-1 --port 9251")
def scoring(
    name: Name = "scoring-1",
    host: Host = "127.0.0.1",
    port: Port = 9251,
    seed: Seed = 1,
    service_seconds: Annotated[float, typer.Option(help="Mean time of one score.")] = 0.02,
) -> None:
    """Emulate a scoring service."""

    async def run() -> None:
        clock = SystemClock()
        parameters = ServiceParameters(service_seconds=service_seconds)
        emulator = ScoringModel(clock, BackendId(name), random.Random(seed), parameters)
        await _serve_until_stopped(ServiceServer(emulator, clock, host=host, port=port))

    asyncio.run(run())


@app.command(epilog="Example: drumbay standin weight-store --model advies --port 9300")
def weight_store(
    name: Name = "weight-store",
    model: Annotated[
        list[str] | None, typer.Option(help="Model whose version 1 is there at the start.")
    ] = None,
    host: Host = "127.0.0.1",
    port: Port = 9300,
    megabytes_per_second: Annotated[
        float, typer.Option(help="Rate shared by all readers, in 10^6 bytes per second.")
    ] = 64.0,
    version_megabytes: Annotated[
        float, typer.Option(help="Size of one version, in 10^6 bytes.")
    ] = 16.0,
) -> None:
    """Emulate a rate-limited weight store."""

    async def run() -> None:
        clock = SystemClock()
        parameters = WeightStoreParameters(
            bytes_per_second=megabytes_per_second * 1e6,
            version_bytes=int(version_megabytes * 1e6),
            part_bytes=1_000_000,
        )
        emulator = WeightStoreModel(clock, name, parameters)
        for model_name in model or []:
            emulator.publish(model_name, WeightVersion(1))
        await _serve_until_stopped(WeightStoreServer(emulator, clock, host=host, port=port))

    asyncio.run(run())


@app.command(
    epilog="Example: drumbay standin trainer --model advies --stream advies "
    "--node http://127.0.0.1:9001 --weight-store http://127.0.0.1:9300 --steps 2"
)
def trainer(
    node: Annotated[list[str], typer.Option(help="URL of a node; repeat for more.")],
    weight_store: Annotated[str, typer.Option(help="URL of the weight store.")],
    name: Name = "trainer",
    model: ModelName = "model",
    stream: Annotated[str, typer.Option(help="Sample stream of the trainer.")] = "model",
    host: Host = "127.0.0.1",
    port: Port = 9400,
    token: Annotated[
        str | None, typer.Option(envvar="DRUMBAY_TOKEN", help="Bearer token of a trainer.")
    ] = None,
    steps: Annotated[int, typer.Option(help="Steps to train.")] = 2,
    samples_per_step: Annotated[int, typer.Option(help="Samples of one step.")] = 64,
    step_seconds: Annotated[float, typer.Option(help="Time of one step.")] = 5.0,
    max_staleness: Annotated[int, typer.Option(help="Oldest weights, in versions.")] = 1,
    version: Annotated[int, typer.Option(help="Weight version at the start.")] = 1,
) -> None:
    """Emulate a trainer that pulls samples and publishes weight versions."""

    async def run() -> None:
        clock = SystemClock()
        connector = HttpConnector(max_connections=8)
        emulator = TrainerModel(
            clock,
            name,
            model,
            StreamName(stream),
            WeightVersion(version),
            HttpSampleSource(connector, tuple(node), token),
            HttpWeightStore(connector, weight_store),
            TrainerParameters(
                samples_per_step=samples_per_step,
                step_seconds=step_seconds,
                max_staleness_versions=max_staleness,
            ),
        )
        process = TrainerProcess(emulator, steps)
        await _serve_until_stopped(TrainerServer(process, clock, host=host, port=port))
        connector.close()

    asyncio.run(run())


@app.command(epilog="Example: drumbay standin machine-list --lag-seconds 5 --port 9500")
def machine_list(
    host: Host = "127.0.0.1",
    port: Port = 9500,
    lag_seconds: Annotated[float, typer.Option(help="Delay until a change is visible.")] = 5.0,
) -> None:
    """Emulate the lagging list of live and leaving machines."""

    async def run() -> None:
        clock = SystemClock()
        emulator = MachineListModel(clock, lag_seconds)
        await _serve_until_stopped(MachineListServer(emulator, clock, host=host, port=port))

    asyncio.run(run())


@app.command(epilog="Example: drumbay standin key-value --port 2379")
def key_value(
    host: Host = "127.0.0.1",
    port: Port = 2379,
) -> None:
    """Emulate the key-value service (etcd v3 JSON gateway)."""

    async def run() -> None:
        server_task = asyncio.ensure_future(serve_key_value_emulator(host, port))
        await _wait_for_stop_signal()
        server_task.cancel()
        await asyncio.gather(server_task, return_exceptions=True)

    asyncio.run(run())
