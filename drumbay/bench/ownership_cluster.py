"""Simulated nodes that campaign for resources, and checkers of what came of it.

The checkers read the execution log of the key-value stand-in and what the receiver of
orders accepted; they do not ask the managers who owns what, except for the claims that
they check.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec

from drumbay.comm.interface import Address
from drumbay.identifiers import Fence, NodeId
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.ownership.fence_guard import FenceGuard
from drumbay.ownership.lease_state import LeaseState
from drumbay.ownership.manager import OwnershipManager
from drumbay.ownership.records import (
    OWNERSHIP_PREFIX,
    OwnershipChange,
    OwnershipParameters,
    StaleOwnerError,
)
from drumbay.simulation.gated_clients import GatedKeyValueStore
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.process import SimulatedProcess
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_records import LoggedChange
from drumbay.tasks import TaskOwner

LOCATION = Location(zone="zone-1", region="region-1")
CLIENT_TIMEOUT_SECONDS = 5.0
WRITE_INTERVAL_SECONDS = 1.0


class AcceptedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order that a receiver carried out."""

    at_seconds: float
    node: str
    fence: Fence


class OrderReceiver:
    """A back end that obeys orders for one resource unless their fence is old.

    Attributes:
        accepted: Orders carried out, in their order.
        refused: Number of orders refused.
    """

    def __init__(self, guard: FenceGuard) -> None:
        """Create a receiver that checks fences with ``guard``."""
        self.accepted: list[AcceptedOrder] = []
        self.refused = 0
        self._guard = guard

    def order(self, name: str, order: AcceptedOrder) -> None:
        """Carry out an order.

        Raises:
            StaleOwnerError: A newer fence was seen.
        """
        try:
            self._guard.admit(name, order.fence)
        except StaleOwnerError:
            self.refused += 1
            raise
        self.accepted.append(order)


class OwnershipNode:
    """A machine that runs an ownership manager.

    Attributes:
        host: The machine.
        manager: The manager of its running process.
        store: The machine's way to the key-value service.
        changes: Every change that the managers of this machine announced.
    """

    def __init__(self, cluster: "OwnershipCluster", host: SimulatedHost) -> None:
        """Create a machine without process."""
        self.host = host
        self.store = MemoryKeyValueStore(
            cluster.model, cluster.model.clock, timeout_seconds=CLIENT_TIMEOUT_SECONDS
        )
        self.changes: list[OwnershipChange] = []
        self._cluster = cluster
        self._boots = 0

    @property
    def node_id(self) -> NodeId:
        """Return the name of the node."""
        return NodeId(self.host.name)

    def start(self, names: Sequence[str]) -> None:
        """Start a process that campaigns for ``names``."""
        process = self.host.start()
        self._boots += 1
        cluster = self._cluster
        self.manager = OwnershipManager(
            self.host.clock(),
            GatedKeyValueStore(process, self.store),
            self.node_id,
            TaskOwner(),
            random.Random(f"{cluster.seed} {self.host.name} {self._boots}"),
            live_members=lambda: cluster.live_members(self.node_id),
            parameters=cluster.parameters,
            lease_state=cluster.make_state(cluster.parameters),
        )
        self.manager.add_listener(self.changes.append)
        for name in names:
            self.manager.campaign(name)
        process.run(self.manager.start)

    def start_ordering(self, name: str, receiver: OrderReceiver, gap_seconds: float) -> None:
        """Let the process give an order each second while it may continue as owner.

        Args:
            name: The resource.
            receiver: Gets the orders.
            gap_seconds: Time between the check of ownership and the order.
        """
        process = self.host.process
        process.spawn(self._give_orders(process, name, receiver, gap_seconds), "orders")

    async def _give_orders(
        self, process: SimulatedProcess, name: str, receiver: OrderReceiver, gap_seconds: float
    ) -> None:
        clock = self.host.clock()
        while True:
            fence = self.manager.fence_to_continue(name, clock.monotonic())
            await clock.sleep(gap_seconds)
            if fence is not None:
                order = AcceptedOrder(
                    at_seconds=clock.monotonic(), node=self.host.name, fence=fence
                )
                try:
                    receiver.order(name, order)
                except StaleOwnerError:
                    await self.manager.report_stale_fence(name, fence)
            await clock.sleep(WRITE_INTERVAL_SECONDS - gap_seconds)


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A node claimed at some moment that it may hand out new authority."""

    at_seconds: float
    node: str
    name: str
    fence: Fence


class OwnershipCluster:
    """Nodes and a key-value service on one virtual clock; call it inside a simulation.

    Attributes:
        seed: Seed of every random choice.
        parameters: Timing of all nodes.
        model: The key-value service.
        nodes: Every node by name.
        live_members: Returns what a node believes to be the live members.
        make_state: Creates the lease state of a node.
    """

    def __init__(
        self,
        *,
        seed: int,
        node_count: int,
        parameters: OwnershipParameters | None = None,
        make_state: Callable[[OwnershipParameters], LeaseState] = LeaseState,
        log_renewals: bool = True,
    ) -> None:
        """Create the machines without starting their processes."""
        self.seed = seed
        self.parameters = parameters or OwnershipParameters()
        self.make_state = make_state
        service_host = SimulatedHost("kv", Address("10.255.255.1", 2379), LOCATION)
        service_host.start()
        self.model = KeyValueModel(
            service_host.clock(), generator=random.Random(seed), log_renewals=log_renewals
        )
        self.nodes: dict[str, OwnershipNode] = {}
        for index in range(node_count):
            address = Address(f"10.0.{index // 250}.{index % 250 + 1}", 7000)
            host = SimulatedHost(f"node-{index:03d}", address, LOCATION)
            self.nodes[host.name] = OwnershipNode(self, host)
        self.live_members: Callable[[NodeId], Sequence[NodeId]] = self.running_members

    def running_members(self, _observer: NodeId) -> Sequence[NodeId]:
        """Return the nodes that run a process, as an ideal membership service would."""
        return [node.node_id for node in self.nodes.values() if node.host.running]

    def claims(self, names: Sequence[str]) -> list[Claim]:
        """Return what the processes that run now claim; a frozen one claims nothing."""
        now = self.model.now()
        claims: list[Claim] = []
        for node in self.nodes.values():
            if not node.host.running or node.host.process.frozen:
                continue
            for name in names:
                fence = node.manager.valid_fence(name, now)
                if fence is not None:
                    claims.append(
                        Claim(at_seconds=now, node=node.host.name, name=name, fence=fence)
                    )
        return claims

    async def run_for(self, seconds: float, names: Sequence[str] = ()) -> list[Claim]:
        """Let time pass and return the claims on ``names``, sampled every 50 ms."""
        claims: list[Claim] = []
        end = self.model.now() + seconds
        while self.model.now() < end:
            claims.extend(self.claims(names))
            await asyncio.sleep(0.05)
        self.model.expire_leases()
        return claims

    async def wait_for_owner(self, name: str, limit_seconds: float = 60.0) -> OwnershipNode:
        """Wait until a running node may hand out new authority for a resource.

        Raises:
            TimeoutError: There was none in time.
        """
        end = self.model.now() + limit_seconds
        while self.model.now() < end:
            found = self.claims([name])
            if found:
                return self.nodes[found[0].node]
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{name} has no owner after {limit_seconds} s")


class Reign(msgspec.Struct, frozen=True, kw_only=True):
    """A span in which a resource had one owner, from the key-value service's log."""

    fence: Fence
    start_seconds: float
    end_seconds: float


def read_reigns(model: KeyValueModel, name: str) -> list[Reign]:
    """Return the spans of a resource's owners in the order of their fences."""
    key = OWNERSHIP_PREFIX + name
    reigns: list[Reign] = []
    current: Reign | None = None
    for entry in model.log:
        if not isinstance(entry, LoggedChange):
            continue
        for event in entry.events:
            if event.key != key:
                continue
            if current is not None:
                reigns.append(msgspec.structs.replace(current, end_seconds=entry.at_seconds))
            current = None
            if event.item is not None:
                current = Reign(
                    fence=Fence(event.item.create_revision),
                    start_seconds=entry.at_seconds,
                    end_seconds=float("inf"),
                )
    return [*reigns, current] if current is not None else reigns


def find_unfounded_claims(model: KeyValueModel, claims: Sequence[Claim]) -> list[Claim]:
    """Return the claims made while, by the service's log, the fence was not in force."""
    names = dict.fromkeys(claim.name for claim in claims)
    spans = {(name, reign.fence): reign for name in names for reign in read_reigns(model, name)}
    unfounded: list[Claim] = []
    for claim in claims:
        span = spans.get((claim.name, claim.fence))
        if span is None or not span.start_seconds <= claim.at_seconds < span.end_seconds:
            unfounded.append(claim)
    return unfounded


def find_orders_out_of_turn(accepted: Sequence[AcceptedOrder]) -> list[AcceptedOrder]:
    """Return the orders carried out after one with a newer fence."""
    newest = Fence(0)
    found: list[AcceptedOrder] = []
    for order in accepted:
        if order.fence < newest:
            found.append(order)
        newest = max(newest, order.fence)
    return found
