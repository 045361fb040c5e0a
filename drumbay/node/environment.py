"""External dependencies of a node: time, network, platform, backends, randomness."""

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
    """External dependencies of one node; real, emulated or simulated.

    Attributes:
        clock: Source of the current time.
        transport: Messages to and from other nodes.
        store: The platform's key-value service.
        engine_client: Engine API client.
        application_client: Application server client.
        machine_list: The platform's machine list; ``None`` if there is none.
        weight_store: The weight store; ``None`` if trainers announce all versions.
        open_log: Opens record logs in the data folder.
        random: Random number generator; seeded in simulations.
        boot_id: Identifier of this process incarnation.
        run_blocking: Runs blocking disk operations off the event loop.
        rejected_frames: Returns the number of rejected frames by code, for the metrics.
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
    rejected_frames: Callable[[], dict[str, int]] = dict
