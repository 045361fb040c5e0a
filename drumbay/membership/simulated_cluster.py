"""Simulated cluster of membership state machines in one process, on virtual time.

A simulated node is the real state machine with real, authenticated frames; only sockets and
timers are replaced. Nodes can be killed, restarted, frozen and partitioned.
"""

import heapq
import random
from collections.abc import Callable

from drumbay.clock import SystemClock
from drumbay.comm.authentication import DatagramOpener, FrameSealer
from drumbay.comm.codec import (
    FrameError,
    FrameKind,
    MessageRegistry,
    decode_envelope,
    encode_envelope,
)
from drumbay.comm.interface import Address
from drumbay.identifiers import BootId, NodeId
from drumbay.membership.messages import MembershipDatagram
from drumbay.membership.records import Member, MemberChange, MembershipSettings
from drumbay.membership.swim import Output, Swim

IP_AND_UDP_HEADER_BYTES = 28
SAME_ZONE_DELAY_SECONDS = 0.00025
SAME_REGION_DELAY_SECONDS = 0.001
OTHER_REGION_DELAY_SECONDS = 0.030
DELAY_JITTER_FRACTION = 0.2
SOCKET_BUFFER_DATAGRAMS = 200
SEED_COUNT = 3
CLUSTER_KEY = b"key of the hollow cluster"
WALL_ORIGIN_SECONDS = 1_700_000_000.0

ChangeObserver = Callable[[float, NodeId, MemberChange], None]


class SimulatedClock(SystemClock):
    """Clock that returns the virtual time of a simulated cluster."""

    def __init__(self) -> None:
        """Start at 0."""
        self.now = 0.0

    def monotonic(self) -> float:
        """Return virtual seconds."""
        return self.now

    def wall(self) -> float:
        """Return virtual seconds since the Unix epoch."""
        return WALL_ORIGIN_SECONDS + self.now


class SimulatedNode:
    """One node: its state machine, process state and traffic counters."""

    def __init__(self, member: Member, swim: Swim, clock: SimulatedClock) -> None:
        """Create a running node."""
        self.member = member
        self.swim = swim
        self.sealer = FrameSealer(CLUSTER_KEY, member.boot_id, clock)
        self.opener = DatagramOpener(CLUSTER_KEY, clock)
        self.is_up = True
        self.frozen_until = 0.0
        self.inbox: list[tuple[Address, bytes]] = []
        self.next_tick_at = float("inf")
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self.max_datagram_bytes = 0


class SimulatedCluster:
    """An event queue over simulated nodes, spread evenly over regions and zones.

    Attributes:
        clock: Virtual time.
        nodes: The nodes, by index; a restarted node keeps its index.
        loss_rate: Fraction of datagrams that are lost.
        is_cut: Returns whether datagrams from one member to another are dropped.
        observers: Called for every change that a running node reports.
    """

    def __init__(
        self,
        node_count: int,
        *,
        seed: int,
        settings: MembershipSettings | None = None,
        region_count: int = 2,
        zones_per_region: int = 3,
    ) -> None:
        """Create the nodes; they start at random times within the first second."""
        self.clock = SimulatedClock()
        self.loss_rate = 0.0
        self.is_cut: Callable[[Member, Member], bool] = lambda sender, receiver: False
        self.observers: list[ChangeObserver] = []
        self.nodes: list[SimulatedNode] = []
        self._settings = settings if settings is not None else MembershipSettings()
        self._random = random.Random(seed)
        self._registry = MessageRegistry()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._boot_count = 0
        self._index_by_address: dict[Address, int] = {}
        for index in range(node_count):
            region = index % region_count
            zone = (index // region_count) % zones_per_region
            address = Address(f"10.{region}.{index // 250}.{index % 250 + 1}", 7000)
            self._index_by_address[address] = index
            member = Member(
                node_id=NodeId(f"node-{index:04d}"),
                address=address,
                zone=f"zone-{region}-{zone}",
                region=f"region-{region}",
                boot_id=self._new_boot_id(),
            )
            self.nodes.append(self._new_node(member))
            self._schedule_tick(self.nodes[index], self._random.random())

    def _seeds(self) -> tuple[Address, ...]:
        return tuple(self._index_by_address)[:SEED_COUNT]

    def _new_boot_id(self) -> BootId:
        self._boot_count += 1
        return BootId(f"{self._boot_count:016x}")

    def _new_node(self, member: Member) -> SimulatedNode:
        rng = random.Random(self._random.random())
        swim = Swim(member, self._seeds(), self._settings, rng)
        return SimulatedNode(member, swim, self.clock)

    @property
    def now(self) -> float:
        """Return virtual seconds."""
        return self.clock.now

    def running(self) -> list[SimulatedNode]:
        """Return the nodes that are neither killed nor frozen."""
        return [each for each in self.nodes if each.is_up and each.frozen_until <= self.now]

    def run_for(self, seconds: float) -> None:
        """Run the events of the next ``seconds``."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            time, _, action = heapq.heappop(self._events)
            self.clock.now = time
            action()
        self.clock.now = until

    def run_until(
        self, condition: Callable[[], bool], limit_seconds: float, step_seconds: float = 0.1
    ) -> float | None:
        """Run until a condition holds; return the elapsed seconds, or ``None`` on a timeout."""
        started = self.now
        while not condition():
            if self.now - started >= limit_seconds:
                return None
            self.run_for(step_seconds)
        return self.now - started

    def kill(self, index: int) -> None:
        """End a node's process abruptly."""
        self.nodes[index].is_up = False

    def restart(self, index: int) -> None:
        """Restart a node's process without any state."""
        self.kill(index)
        member = self.nodes[index].member
        restarted = Member(
            node_id=member.node_id,
            address=member.address,
            zone=member.zone,
            region=member.region,
            boot_id=self._new_boot_id(),
        )
        self.nodes[index] = self._new_node(restarted)
        self._schedule_tick(self.nodes[index], self.now)

    def freeze(self, index: int, seconds: float) -> None:
        """Freeze a node's process for some time; its socket buffers a few datagrams."""
        node = self.nodes[index]
        node.frozen_until = self.now + seconds
        self._schedule(node.frozen_until, lambda: self._resume(node))

    def leave(self, index: int) -> None:
        """Make a node announce that it leaves; its process keeps running."""
        node = self.nodes[index]
        self._handle_output(node, node.swim.leave(self.now))

    def _resume(self, node: SimulatedNode) -> None:
        inbox, node.inbox = node.inbox, []
        self._tick(node)
        for sender, frame in inbox:
            self._receive(node, sender, frame)

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, action))

    def _schedule_tick(self, node: SimulatedNode, time: float) -> None:
        if time >= node.next_tick_at:
            return
        node.next_tick_at = time
        self._schedule(time, lambda: self._tick_if_due(node, time))

    def _tick_if_due(self, node: SimulatedNode, time: float) -> None:
        # Skip a tick that was replaced by an earlier one, or whose node is not running.
        if node.next_tick_at == time and node.is_up and node.frozen_until <= self.now:
            self._tick(node)

    def _tick(self, node: SimulatedNode) -> None:
        if not node.is_up:
            return
        node.next_tick_at = float("inf")
        self._handle_output(node, node.swim.tick(self.now))

    def _handle_output(self, node: SimulatedNode, output: Output) -> None:
        for datagram in output.datagrams:
            self._send(node, datagram.address, datagram.message)
        for change in output.changes:
            for observer in self.observers:
                observer(self.now, node.member.node_id, change)
        self._schedule_tick(node, output.next_tick_at)

    def _send(self, node: SimulatedNode, address: Address, message: MembershipDatagram) -> None:
        payload = encode_envelope(FrameKind.DATAGRAM, 0, message)
        frame = node.sealer.seal(f"{address.host}:{address.port}", payload)
        node.sent_datagrams += 1
        node.sent_bytes += len(frame) + IP_AND_UDP_HEADER_BYTES
        node.max_datagram_bytes = max(node.max_datagram_bytes, len(frame))
        index = self._index_by_address.get(address)
        if index is None or self._random.random() < self.loss_rate:
            return
        receiver = self.nodes[index].member
        if self.is_cut(node.member, receiver):
            return
        arrival = self.now + self._delay_seconds(node.member, receiver)
        self._schedule(arrival, lambda: self._deliver(index, node.member.address, frame))

    def _delay_seconds(self, sender: Member, receiver: Member) -> float:
        if sender.region != receiver.region:
            delay = OTHER_REGION_DELAY_SECONDS
        elif sender.zone != receiver.zone:
            delay = SAME_REGION_DELAY_SECONDS
        else:
            delay = SAME_ZONE_DELAY_SECONDS
        return delay * (1.0 + DELAY_JITTER_FRACTION * self._random.random())

    def _deliver(self, index: int, sender: Address, frame: bytes) -> None:
        node = self.nodes[index]
        if not node.is_up:
            return
        if node.frozen_until > self.now:
            if len(node.inbox) < SOCKET_BUFFER_DATAGRAMS:
                node.inbox.append((sender, frame))
            return
        self._receive(node, sender, frame)

    def _receive(self, node: SimulatedNode, sender: Address, frame: bytes) -> None:
        own = node.member.address
        try:
            opened = node.opener.open(f"{own.host}:{own.port}", frame)
            message = self._registry.decode(decode_envelope(opened.payload))
        except FrameError:
            return
        assert isinstance(message, MembershipDatagram)
        self._handle_output(node, node.swim.receive(self.now, sender, message))
