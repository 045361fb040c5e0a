"""Simulated nodes that campaign for the ownership of resources, with checkers.

The checkers use the log of the emulated key-value service and the orders accepted by a
receiver. From the ownership managers they use only the claims that they check.
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
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.process import SimulatedProcess
from drumbay.simulation.process_clients import ProcessKeyValueStore
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_records import LoggedChange
from drumbay.tasks import TaskOwner

LOCATION = Location(zone="zone-1", region="region-1")
CLIENT_TIMEOUT_SECONDS = 5.0
ORDER_INTERVAL_SECONDS = 1.0


class AcceptedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order that a receiver accepted."""

    at_seconds: float
    node: str
    fence: Fence


class OrderReceiver:
    """A back end that accepts orders unless their fence is stale.

    Attributes:
        accepted: Accepted orders in order of arrival.
        refused: Number of refused orders.
    """

    def __init__(self, guard: FenceGuard) -> None:
        """Create a receiver that checks fences with ``guard``."""
        self.accepted: list[AcceptedOrder] = []
        self.refused = 0
        self._guard = guard

    def order(self, name: str, order: AcceptedOrder) -> None:
        """Accept an order.

        Raises:
            StaleOwnerError: The receiver has seen a newer fence.
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
        manager: Ownership manager of the current process.
        store: Connection to the key-value service.
        changes: Ownership changes announced by the managers of this machine.
    """

    def __init__(self, cluster: "OwnershipCluster", host: SimulatedHost) -> None:
        """Create a machine without a process."""
        self.host = host
        self.store = MemoryKeyValueStore(
            cluster.model, cluster.model.clock, timeout_seconds=CLIENT_TIMEOUT_SECONDS
        )
        self.changes: list[OwnershipChange] = []
        self._cluster = cluster
        self._boot_count = 0

    @property
    def node_id(self) -> NodeId:
        """Return the name of the node."""
        return NodeId(self.host.name)

    def start(self, names: Sequence[str]) -> None:
        """Start a process that campaigns for ``names``."""
        process = self.host.start()
        self._boot_count += 1
        cluster = self._cluster
        self.manager = OwnershipManager(
            self.host.clock(),
            ProcessKeyValueStore(process, self.store),
            self.node_id,
            TaskOwner(),
            random.Random(f"{cluster.seed} {self.host.name} {self._boot_count}"),
            live_members=lambda: cluster.live_members(self.node_id),
            parameters=cluster.parameters,
            lease_state=cluster.make_state(cluster.parameters),
        )
        self.manager.add_listener(self.changes.append)
        for name in names:
            self.manager.campaign(name)
        process.run(self.manager.start)

    def start_sending_orders(self, name: str, receiver: OrderReceiver, gap_seconds: float) -> None:
        """Send an order every second while the process is the owner.

        Args:
            name: Name of the resource.
            receiver: Receiver of the orders.
            gap_seconds: Delay between the ownership check and the order.
        """
        process = self.host.process
        process.spawn(self._send_orders(process, name, receiver, gap_seconds), "orders")

    async def _send_orders(
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
            await clock.sleep(ORDER_INTERVAL_SECONDS - gap_seconds)


class OwnershipClaim(msgspec.Struct, frozen=True, kw_only=True):
    """A node considered itself the owner of a resource at a time."""

    at_seconds: float
    node: str
    name: str
    fence: Fence


class OwnershipCluster:
    """Nodes and a key-value service; must be created within a simulation.

    Attributes:
        seed: Seed of all random choices.
        parameters: Ownership parameters of all nodes.
        model: The key-value service.
        nodes: Nodes by name.
        live_members: Returns the live members from the view of a node.
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
        """Create the machines without processes."""
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
        """Return the nodes with a running process."""
        return [node.node_id for node in self.nodes.values() if node.host.running]

    def claims(self, names: Sequence[str]) -> list[OwnershipClaim]:
        """Return the current ownership claims of all processes that are not frozen."""
        now = self.model.now()
        claims: list[OwnershipClaim] = []
        for node in self.nodes.values():
            if not node.host.running or node.host.process.frozen:
                continue
            for name in names:
                fence = node.manager.valid_fence(name, now)
                if fence is not None:
                    claims.append(
                        OwnershipClaim(at_seconds=now, node=node.host.name, name=name, fence=fence)
                    )
        return claims

    async def run_for(self, seconds: float, names: Sequence[str] = ()) -> list[OwnershipClaim]:
        """Advance time and return the claims on ``names``, sampled every 50 ms."""
        claims: list[OwnershipClaim] = []
        ends_at = self.model.now() + seconds
        while self.model.now() < ends_at:
            claims.extend(self.claims(names))
            await asyncio.sleep(0.05)
        self.model.expire_leases()
        return claims

    async def wait_for_owner(self, name: str, limit_seconds: float = 60.0) -> OwnershipNode:
        """Wait until a running node owns a resource.

        Raises:
            TimeoutError: The resource got no owner within the limit.
        """
        deadline = self.model.now() + limit_seconds
        while self.model.now() < deadline:
            claims = self.claims([name])
            if claims:
                return self.nodes[claims[0].node]
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{name} has no owner after {limit_seconds} s")


class OwnershipPeriod(msgspec.Struct, frozen=True, kw_only=True):
    """Time span of one ownership of a resource in the key-value service's log."""

    fence: Fence
    start_seconds: float
    end_seconds: float


def read_ownership_periods(model: KeyValueModel, name: str) -> list[OwnershipPeriod]:
    """Return the ownership periods of a resource, ordered by fence."""
    key = OWNERSHIP_PREFIX + name
    periods: list[OwnershipPeriod] = []
    current: OwnershipPeriod | None = None
    for entry in model.log:
        if not isinstance(entry, LoggedChange):
            continue
        for event in entry.events:
            if event.key != key:
                continue
            if current is not None:
                periods.append(msgspec.structs.replace(current, end_seconds=entry.at_seconds))
            current = None
            if event.item is not None:
                current = OwnershipPeriod(
                    fence=Fence(event.item.create_revision),
                    start_seconds=entry.at_seconds,
                    end_seconds=float("inf"),
                )
    return [*periods, current] if current is not None else periods


def find_invalid_claims(
    model: KeyValueModel, claims: Sequence[OwnershipClaim]
) -> list[OwnershipClaim]:
    """Return the claims outside the ownership period of their fence."""
    names = dict.fromkeys(claim.name for claim in claims)
    periods_by_fence = {
        (name, period.fence): period
        for name in names
        for period in read_ownership_periods(model, name)
    }
    invalid: list[OwnershipClaim] = []
    for claim in claims:
        period = periods_by_fence.get((claim.name, claim.fence))
        if period is None or not period.start_seconds <= claim.at_seconds < period.end_seconds:
            invalid.append(claim)
    return invalid


def find_stale_orders(accepted: Sequence[AcceptedOrder]) -> list[AcceptedOrder]:
    """Return the orders that were accepted after one with a newer fence."""
    newest_fence = Fence(0)
    stale: list[AcceptedOrder] = []
    for order in accepted:
        if order.fence < newest_fence:
            stale.append(order)
        newest_fence = max(newest_fence, order.fence)
    return stale
