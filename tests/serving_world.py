"""Serving nodes with an emulated store and emulated workers, on virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from drumbay.batches.owners import ServiceIdentity
from drumbay.batches.records import (
    BatchId,
    BatchItem,
    BatchSpec,
    ItemId,
    ItemResult,
    RewardRequest,
)
from drumbay.batches.service import BatchService
from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import DeadlineExceededError
from drumbay.forwarding.routes import (
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfiguration,
    ServiceShare,
)
from drumbay.identifiers import WeightVersion
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.peers.messages import PeerReply, PeerRequest, Ping
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.placement.evacuations import EvacuatedZones
from drumbay.placement.gate import PlacementGate
from drumbay.placement.topology import Topology
from drumbay.placement.warm_up import WarmUpTolerance
from drumbay.serving.node import ServingNode
from drumbay.serving.settings import ServingEnvironment, ServingSettings
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.platform_duties import EmulatedPlatformDuties
from drumbay.standins.worker_pool import EmulatedWorkerPool
from drumbay.usage.service import UsageSettings

ResultT = TypeVar("ResultT")

SERVICE = "engines"
MODEL = "m"
SCORING_SERVICE = "scores"
SCORING_ROUTE = Route(
    name="scores",
    host="scores.example",
    path_prefix="/scores/",
    kind=RequestKind.IDEMPOTENT,
    shares=(ServiceShare(service=SCORING_SERVICE, weight=1.0),),
    timeout_seconds=1.5,
    target_seconds=0.15,
    attempts=3,
)
SCORING_CONFIGURATION = RoutingConfiguration(
    version=1, routes=(SCORING_ROUTE,), limits=RequestLimits()
)


def unrestricted_placement(clock: Clock, zone: str = "zone-1") -> PlacementGate:
    """Return a gate of a node in a zone, without evacuations or limits."""
    return PlacementGate(clock, Topology(zone=zone), EvacuatedZones(), ServingMetrics())


class LoopbackPeers:
    """In-process calls between the nodes of a world; unreachable nodes time out."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.nodes: dict[NetworkAddress, WorldNode] = {}
        self.cut: set[NetworkAddress] = set()
        self.lose_replies: set[NetworkAddress] = set()
        self.congested: set[NetworkAddress] = set()
        self.frozen: set[NetworkAddress] = set()
        self.delivered: list[tuple[NetworkAddress, PeerRequest]] = []

    async def call(
        self, address: NetworkAddress, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        node = self.nodes.get(address)
        if address in self.frozen:
            await self._clock.sleep(timeout_seconds)
            raise PeerUnavailableError(str(address))
        if node is None or address in self.cut:
            await self._clock.sleep(min(0.3, timeout_seconds))
            raise PeerUnavailableError(str(address))
        await self._clock.sleep(0.001)
        if address in self.congested and not isinstance(request, Ping):
            await self._clock.sleep(timeout_seconds)
            raise PeerUnavailableError(str(address))
        self.delivered.append((address, request))
        try:
            reply = await self._clock.wait_for(node.node.handle_peer(request), timeout_seconds)
            if address in self.lose_replies:
                await self._clock.sleep(timeout_seconds)
                raise PeerUnavailableError(str(address))
            return reply
        except DeadlineExceededError as error:
            raise PeerUnavailableError(str(address)) from error


class WorldNode:
    """One process of a node; a restart creates another one at the same address."""

    def __init__(
        self,
        world: "ServingWorld",
        number: int,
        boot: int,
        store: MemoryKeyValueStore | None = None,
        clock: Clock | None = None,
        peers: PeerClient | None = None,
    ) -> None:
        self._world = world
        self.address = NetworkAddress(f"10.0.0.{number}", 7000)
        self.store = store or MemoryKeyValueStore(world.model, world.clock, timeout_seconds=1.0)
        identity = ServiceIdentity(address=self.address, boot=f"boot-{number}-{boot}")
        self.node = ServingNode(
            ServingSettings(
                machine=str(self.address),
                zone=world.zone_of(number),
                regions=world.regions,
                identity=identity,
                workers_check_fences=world.workers_check_fences,
                settle_seconds=world.settle_seconds,
                is_restart=boot > 0,
                usage=world.usage,
                orders_workers=world.orders_workers,
                warm_up_tolerance=world.warm_up_tolerance,
            ),
            ServingEnvironment(
                clock=clock or world.clock,
                store=self.store,
                workers=world.workers,
                peers=peers or world.peers,
                generator=random.Random(100 * number + boot),
                duties=world.duties,
            ),
        )
        self.directory = self.node.directory
        self.directory.replace_all(world.workers.entries())
        if world.configuration is not None:
            self.node.apply_configuration(world.configuration)
        world.workers.add_listener(self.directory.put)
        world.workers.add_removal_listener(self.directory.remove)
        self.batches = self.node.batches
        self.leader = self.node.leader
        self.announced = self.node.announced_versions
        world.peers.nodes[self.address] = self

    def lead(self) -> None:
        """Start the node's background tasks, including leader election."""
        self.node.start(())

    async def kill(self) -> None:
        """End the process without a graceful shutdown."""
        self._world.peers.nodes.pop(self.address, None)
        self.store.reachable = False
        await self.node.close()


class ServingWorld:
    """A store, workers and nodes, connected in process."""

    def __init__(
        self,
        node_count: int = 2,
        worker_count: int = 3,
        workers_check_fences: bool = False,
        settle_seconds: float = 0.0,
        scorer_count: int = 0,
        usage: UsageSettings | None = None,
        orders_workers: bool = False,
        workers_keep_ids: bool = False,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.regions = dict(regions or {})
        self.usage = usage
        self.warm_up_tolerance = WarmUpTolerance()
        self.orders_workers = orders_workers
        self.settle_seconds = settle_seconds
        self.workers_check_fences = workers_check_fences
        self.clock = SimulationClock()
        self.model = KeyValueModel(self.clock)
        self.duties = EmulatedPlatformDuties(self.clock)
        self.workers = EmulatedWorkerPool(self.clock, reports_start_times=workers_keep_ids)
        self.workers.keep_ids = workers_keep_ids
        for number in range(1, worker_count + 1):
            self.workers.add(
                f"worker-{number}", SERVICE, {MODEL: WeightVersion(1)}, zone=self.zone_of(number)
            )
        for number in range(1, scorer_count + 1):
            self.workers.add(f"scorer-{number}", SCORING_SERVICE)
        self.configuration = SCORING_CONFIGURATION if scorer_count else None
        self.peers = LoopbackPeers(self.clock)
        self.nodes = [WorldNode(self, number, 0) for number in range(1, node_count + 1)]

    def zone_of(self, number: int) -> str:
        """Return the zone of a node or worker: the zones with a region in turn."""
        zones = list(self.regions) or ["zone-1"]
        return zones[(number - 1) % len(zones)]

    async def close(self) -> None:
        """End every process."""
        for node in list(self.peers.nodes.values()):
            await node.kill()


def run_in_world(
    scenario: Callable[[ServingWorld], Awaitable[ResultT]],
    *,
    node_count: int = 2,
    worker_count: int = 3,
    workers_check_fences: bool = False,
    settle_seconds: float = 0.0,
    scorer_count: int = 0,
    usage: UsageSettings | None = None,
    orders_workers: bool = False,
    workers_keep_ids: bool = False,
    regions: Mapping[str, str] | None = None,
) -> ResultT:
    """Run a scenario in a new world on virtual time."""

    async def main() -> ResultT:
        world = ServingWorld(
            node_count,
            worker_count,
            workers_check_fences,
            settle_seconds,
            scorer_count,
            usage,
            orders_workers,
            workers_keep_ids,
            regions,
        )
        try:
            return await scenario(world)
        finally:
            await world.close()

    return run_simulation(main)


def batch_spec(
    name: str = "batch",
    *,
    groups: int = 3,
    group_size: int = 4,
    minimum_version: int = 1,
    attempts: int = 3,
    queue_limit_seconds: float = 40.0,
    one_version_only: bool = False,
    scored: bool = False,
) -> BatchSpec:
    """Return a batch job whose texts the emulated workers can generate.

    With ``scored``, each item has a reward request with the identifier of :func:`reward_id`.
    """
    items = [
        BatchItem(
            item_id=ItemId(f"{name}-{group}-{number}"),
            target="/items/x",
            headers=(("model", MODEL),),
            body=f"body {group} {number}".encode(),
            token_limit=100,
            expected_tokens=50,
            group=f"group-{group}",
            reward_request=_reward_request(f"{name}-{group}-{number}") if scored else None,
        )
        for group in range(groups)
        for number in range(group_size)
    ]
    return BatchSpec(
        batch_id=BatchId(name),
        host="host.example",
        route_name="rollouts",
        service=SERVICE,
        model=MODEL,
        step=1,
        minimum_version=WeightVersion(minimum_version),
        wanted_groups=groups,
        attempts=attempts,
        queue_limit_seconds=queue_limit_seconds,
        one_version_only=one_version_only,
        items=tuple(items),
    )


def reward_id(item_id: str) -> str:
    """Return the identifier of an item's reward request."""
    return f"reward-{item_id}"


def _reward_request(item_id: str) -> RewardRequest:
    return RewardRequest(
        request_id=reward_id(item_id), host="scores.example", target="/scores/1", body=b"text"
    )


async def read_all(
    service: BatchService, batch_id: BatchId, limit_seconds: float = 20.0
) -> tuple[ItemResult, ...]:
    """Poll like a trainer until all results are listed or the time is up."""
    results: list[ItemResult] = []
    async with asyncio.timeout(limit_seconds):
        while True:
            page = await service.read(batch_id, len(results), 0.5)
            results.extend(page.results)
            if len(results) >= page.total:
                return tuple(results)
            await asyncio.sleep(0.1)
