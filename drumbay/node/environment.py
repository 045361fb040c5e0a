"""Everything a node takes from outside: time, network, platform, back ends, randomness."""

from collections.abc import Callable
from random import Random

import msgspec

from drumbay.backends.interface import ApplicationClient, EngineClient
from drumbay.clock import Clock
from drumbay.comm.interface import Transport
from drumbay.identifiers import BootId
from drumbay.kv.interface import KeyValueStore
from drumbay.machines.interface import MachineListClient
from drumbay.storage.interface import LogOpener
from drumbay.storage.writer_thread import BlockingRunner, run_inline
from drumbay.weights.store_interface import WeightStoreClient


class NodeEnvironment(msgspec.Struct, frozen=True, kw_only=True):
    """The outside world of one node; real, hollow or simulated.

    Attributes:
        clock: Time.
        transport: Exchange with other nodes.
        store: The platform's key-value service.
        engine_client: Talks to engines.
        application_client: Talks to application servers.
        machine_list: The platform's machine list; ``None`` if there is none.
        weight_store: The weight store; ``None`` if versions are only announced.
        open_log: Opens record logs below the data folder.
        random: Seeded source of random numbers.
        boot_id: Identity of this run of the process.
        run_blocking: Does what waits for the disk off the event loop.
        refused_frames: Returns the frames refused so far, by code, for the metrics.
    """

    clock: Clock
    transport: Transport
    store: KeyValueStore
    engine_client: EngineClient
    application_client: ApplicationClient
    machine_list: MachineListClient | None
    weight_store: WeightStoreClient | None
    open_log: LogOpener
    random: Random
    boot_id: BootId
    run_blocking: BlockingRunner = run_inline
    refused_frames: Callable[[], dict[str, int]] = dict
