"""Settings and dependencies of a serving node."""

import random
from collections.abc import Mapping

import msgspec

from drumbay.batches.owners import ServiceIdentity
from drumbay.clock import Clock
from drumbay.comm.connection_registry import ConnectionRegistry
from drumbay.duties.interface import PlatformDuties
from drumbay.kv.interface import KeyValueStore
from drumbay.peers.transport import PeerClient
from drumbay.placement.warm_up import WarmUpTolerance
from drumbay.serving.load_features import LoadFeature
from drumbay.usage.service import UsageSettings
from drumbay.workers.interface import WorkerClient


class ServingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a serving node.

    Attributes:
        machine: Name of the machine, used as the holder of orders.
        zone: The node's zone; workers of the same zone are preferred.
        identity: The address at which other nodes reach this one, and the boot id of the process.
        in_force_seconds: Time after its acceptance within which every node must have applied a
            configuration.
        settle_seconds: Delay before a node that starts together with all others looks for them.
        turn_seconds: Minimum time between orders of two machines to the same worker.
        workers_check_fences: Whether workers reject orders with a lower fencing token than they
            have seen.
        stop_seconds: Maximum duration of a planned shutdown.
        turn_away_seconds: How long the node still accepts requests after announcing its shutdown.
        keep_results_seconds: How long after its submission a finished batch job can be read.
        is_restart: Whether an earlier process at this address may have owned batch jobs.
        usage: Settings of usage reports; ``None`` if there are none.
        orders_workers: Whether this system manages the worker count.
        held_bytes: Memory limit for client requests and responses; ``None`` if unlimited.
        disabled_parts: Load management features that are disabled.
        regions: Region of each zone; empty in deployments without regions.
        warm_up_tolerance: By how much a cold worker's rate may be exceeded.
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
    disabled_parts: frozenset[LoadFeature] = frozenset()
    regions: Mapping[str, str] = msgspec.field(default_factory=dict)
    warm_up_tolerance: WarmUpTolerance = WarmUpTolerance()

    def is_enabled(self, feature: LoadFeature) -> bool:
        """Return whether a load management feature is enabled."""
        return feature not in self.disabled_parts


class ServingEnvironment(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies of a serving node.

    ``duties`` is ``None`` if the platform has no calls for the leader to make. ``connections``
    tracks the connections of the given clients, ``None`` if they open none.
    """

    clock: Clock
    store: KeyValueStore
    workers: WorkerClient
    peers: PeerClient
    generator: random.Random
    duties: PlatformDuties | None = None
    connections: ConnectionRegistry | None = None
