"""What a serving node is told about itself, and what it uses."""

import random

import msgspec

from drumbay.batches.owners import ServiceIdentity
from drumbay.clock import Clock
from drumbay.comm.open_connections import OpenConnections
from drumbay.duties.interface import PlatformDuties
from drumbay.kv.interface import KeyValueStore
from drumbay.peers.transport import PeerClient
from drumbay.serving.load_parts import LoadPart
from drumbay.usage.service import UsageSettings
from drumbay.workers.interface import WorkerClient


class ServingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a serving node is told about itself.

    Attributes:
        machine: Name of the machine, under which it gives orders.
        zone: Where it stands; workers of the same zone are preferred.
        identity: The address for other nodes, and the boot of the process.
        in_force_seconds: Within this time after its acceptance, a configuration is to be in force
            at every node.
        settle_seconds: How long a node that starts together with all others waits before it
            looks for them.
        turn_seconds: Orders of two machines to one worker lie at least so far apart.
        workers_check_fences: Whether workers refuse an order with a fence below one that they
            have seen.
        stop_seconds: Longest planned stop.
        turn_away_seconds: How long the node still takes requests after it has said that it is
            leaving.
        keep_results_seconds: How long after its submission an ended batch job can be read.
        is_restart: Whether an earlier process at this address may have owned batch jobs.
        usage: What usage reports are to be; ``None`` where none are asked for.
        orders_workers: Whether the number of workers is this system's to order.
        held_bytes: Most bytes that are held for callers; ``None`` where no limit is known.
        disabled_parts: Parts that decide under load and are switched off.
    """

    machine: str
    zone: str
    identity: ServiceIdentity
    in_force_seconds: float = 2.0
    settle_seconds: float = 0.0
    turn_seconds: float = 3.0
    workers_check_fences: bool = False
    stop_seconds: float = 7.0
    turn_away_seconds: float = 2.5
    keep_results_seconds: float = 120.0
    is_restart: bool = False
    usage: UsageSettings | None = None
    orders_workers: bool = False
    held_bytes: int | None = None
    disabled_parts: frozenset[LoadPart] = frozenset()

    def has(self, part: LoadPart) -> bool:
        """Return whether a part that decides under load is switched on."""
        return part not in self.disabled_parts


class ServingEnvironment(msgspec.Struct, frozen=True, kw_only=True):
    """What a serving node uses.

    ``duties`` is ``None`` where the platform has none for it; ``connections`` are those that the
    clients passed in have opened, ``None`` where these open none.
    """

    clock: Clock
    store: KeyValueStore
    workers: WorkerClient
    peers: PeerClient
    generator: random.Random
    duties: PlatformDuties | None = None
    connections: OpenConnections | None = None
