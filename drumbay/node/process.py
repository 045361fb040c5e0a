"""Runs one node as a process with real clock, network, disk, backends and signals."""

import asyncio
import secrets
import signal
from random import Random

from prometheus_client import ProcessCollector

from drumbay.backends.connector import HttpConnector
from drumbay.backends.http_application import HttpApplicationClient
from drumbay.backends.http_engine import HttpEngineClient
from drumbay.clock import SystemClock
from drumbay.comm.tornado_transport import TornadoTransport, new_boot_id
from drumbay.kv.etcd_gateway import EtcdGatewayStore
from drumbay.machines.http import HttpMachineListClient
from drumbay.node.environment import NodeEnvironment
from drumbay.node.node import Node
from drumbay.node.planned_stop import PlannedStop
from drumbay.node.server import NodeHttpServer
from drumbay.node.stop_sequence import StopStep
from drumbay.observability.logs import log_event
from drumbay.settings import NodeSettings
from drumbay.storage.durable_log import DurableLog
from drumbay.storage.writer_thread import WriterThread
from drumbay.tasks import TaskOwner
from drumbay.weights.http_store import HttpWeightStoreClient

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
NETWORK_CLOSE_TIMEOUT_SECONDS = 8.0


async def run_node(settings: NodeSettings, cluster_key: bytes) -> None:
    """Run a node until it receives a stop signal.

    The first SIGTERM or SIGINT starts a planned stop: new requests are rejected, those in
    flight complete. A second one terminates the process immediately, without data loss: durable
    state is written to a majority of replicas before it takes effect.

    Raises:
        ListenError: The peer address cannot be used.
        OSError: The HTTP address cannot be used.
        CertificateError: The certificate or private key cannot be used.
        StorageError: The data folder cannot be used.
    """
    transport_tasks = TaskOwner()
    clock = SystemClock()
    boot_id = new_boot_id()
    transport = TornadoTransport(
        settings.peers.address, cluster_key, clock, transport_tasks, boot_id=boot_id
    )
    machine_list = settings.machine_list
    weight_store = settings.weight_store
    connector = HttpConnector(
        certificate_authority_file=settings.backends.certificate_authority_file
    )
    environment = NodeEnvironment(
        clock=clock,
        transport=transport,
        store=EtcdGatewayStore(settings.key_value.urls, clock),
        engine_client=HttpEngineClient(connector, transport_tasks),
        application_client=HttpApplicationClient(connector),
        machine_list=HttpMachineListClient(machine_list.url) if machine_list else None,
        weight_store=HttpWeightStoreClient(weight_store.url) if weight_store else None,
        open_log=DurableLog.open,
        random=Random(secrets.randbits(64)),
        boot_id=boot_id,
        run_blocking=WriterThread("configuration").run,
        rejected_frames=lambda: transport.rejected_frame_counts,
    )
    node = Node(settings, environment)
    ProcessCollector(registry=node.metrics_registry())
    await transport.start()
    node.start()
    server = NodeHttpServer(node, settings.http, clock)
    server.start()
    log_event(
        "node_listening",
        node_id=settings.node_id,
        http=f"{settings.http.host}:{settings.http.port}",
        peers=f"{settings.peers.host}:{settings.peers.port}",
    )
    await _wait_for_signal()
    stop = PlannedStop(node, server, settings.stop, clock)
    await stop.drain()
    close_network = StopStep(
        name="close-network",
        run=lambda: _close_network(connector, transport, transport_tasks),
        timeout_seconds=NETWORK_CLOSE_TIMEOUT_SECONDS,
    )
    await stop.finish(close_network)
    log_event("node_stopped", node_id=settings.node_id)


async def _close_network(
    connector: HttpConnector, transport: TornadoTransport, transport_tasks: TaskOwner
) -> None:
    connector.close()
    await transport.close()
    await transport_tasks.close()


async def _wait_for_signal() -> None:
    """Wait for the first stop signal and restore the default action for the next one."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    for signal_number in STOP_SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_DFL)
