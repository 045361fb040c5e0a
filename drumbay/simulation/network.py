"""Simulated network between hosts with delays, message loss and partitions."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

import msgspec

from drumbay.comm.interface import Address
from drumbay.simulation.exceptions import SimulationError
from drumbay.simulation.host import SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.trace import Trace

if TYPE_CHECKING:
    from drumbay.simulation.transport import SimulatedTransport


class Scope(StrEnum):
    """Kind of the end points that a cut names."""

    HOST = "host"
    ZONE = "zone"
    REGION = "region"


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """One-way partition: messages from ``source`` do not reach ``target``."""

    scope: Scope
    source: str
    target: str

    def reversed(self) -> "Cut":
        """Return the cut in the opposite direction."""
        return Cut(scope=self.scope, source=self.target, target=self.source)


class SimulatedNetwork:
    """Carries frames between the transports of simulated hosts.

    Attributes:
        latency: Current delays; may be replaced while the simulation runs.
        random: Source of randomness.
        trace: Where sent and delivered frames are recorded.
    """

    def __init__(self, random: Random, latency: LatencyModel, trace: Trace) -> None:
        """Create a network without hosts or cuts."""
        self.random = random
        self.latency = latency
        self.trace = trace
        self._hosts: dict[Address, SimulatedHost] = {}
        self._transports: dict[Address, SimulatedTransport] = {}
        self._cuts: dict[Cut, int] = {}
        self._bytes_sent = 0

    @property
    def bytes_sent(self) -> int:
        """Return the encoded bytes sent by all hosts."""
        return self._bytes_sent

    def add_host(self, host: SimulatedHost) -> None:
        """Add a machine.

        Raises:
            SimulationError: The address is already in use.
        """
        if host.address in self._hosts:
            raise SimulationError(f"address {host.address} is taken")
        self._hosts[host.address] = host

    def host_at(self, address: Address) -> SimulatedHost:
        """Return the machine at an address.

        Raises:
            SimulationError: No machine has this address.
        """
        if address not in self._hosts:
            raise SimulationError(f"no host at {address}")
        return self._hosts[address]

    def attach(self, transport: "SimulatedTransport") -> None:
        """Register the transport of a process; replaces that of the host's previous process."""
        self._transports[transport.address] = transport

    def transport_at(self, address: Address) -> "SimulatedTransport | None":
        """Return the transport of the live process at an address."""
        transport = self._transports.get(address)
        if transport is None or not transport.process.alive:
            return None
        return transport

    def cut(self, cut: Cut, *, both_ways: bool = False) -> None:
        """Apply a cut; equal cuts are counted and healed one by one."""
        self._cuts[cut] = self._cuts.get(cut, 0) + 1
        if both_ways:
            self.cut(cut.reversed())

    def heal(self, cut: Cut, *, both_ways: bool = False) -> None:
        """Undo one earlier :meth:`cut`."""
        remaining = self._cuts.get(cut, 0) - 1
        if remaining > 0:
            self._cuts[cut] = remaining
        else:
            self._cuts.pop(cut, None)
        if both_ways:
            self.heal(cut.reversed())

    def is_cut(self, source: Address, target: Address) -> bool:
        """Return whether messages from ``source`` to ``target`` are dropped."""
        if not self._cuts:
            return False
        source_host = self._hosts.get(source)
        target_host = self._hosts.get(target)
        if source_host is None or target_host is None:
            return False
        paths = (
            (Scope.HOST, source_host.name, target_host.name),
            (Scope.ZONE, source_host.location.zone, target_host.location.zone),
            (Scope.REGION, source_host.location.region, target_host.location.region),
        )
        return any(
            Cut(scope=scope, source=source_end, target=target_end) in self._cuts
            for scope, source_end, target_end in paths
        )

    def draw_delay(self, source: Address, target: Address) -> float:
        """Draw the delay of one message in seconds."""
        source_end = self.host_at(source).location
        target_end = self.host_at(target).location
        return self.latency.draw_seconds(self.random, source_end, target_end)

    def transmit_frame(
        self, source: Address, target: Address, size: int, on_arrival: Callable[[], None]
    ) -> None:
        """Send one frame with retransmission on loss, as TCP does.

        Args:
            source: Address of the sender.
            target: Address of the receiver.
            size: Encoded bytes.
            on_arrival: Called on arrival, unless the path is cut by then.
        """
        delay = self.draw_delay(source, target)
        if self.random.random() < self.latency.loss_probability:
            delay += self.latency.retransmission_delay_seconds
        self._deliver_later(source, target, size, delay, on_arrival)

    def transmit_datagram(
        self, source: Address, target: Address, size: int, on_arrival: Callable[[], None]
    ) -> None:
        """Send one datagram, which may be lost or arrive twice."""
        if target not in self._hosts or self.random.random() < self.latency.loss_probability:
            self._bytes_sent += size
            return
        self._deliver_later(source, target, size, self.draw_delay(source, target), on_arrival)
        if self.random.random() < self.latency.duplicate_probability:
            self._deliver_later(source, target, size, self.draw_delay(source, target), on_arrival)

    def _deliver_later(
        self,
        source: Address,
        target: Address,
        size: int,
        delay: float,
        on_arrival: Callable[[], None],
    ) -> None:
        self._bytes_sent += size

        def deliver_unless_cut() -> None:
            if not self.is_cut(source, target):
                on_arrival()

        asyncio.get_running_loop().call_later(delay, deliver_unless_cut)
