"""A simulated network between hosts, with delays, losses and cuts."""

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
    """What the ends of a cut name."""

    HOST = "host"
    ZONE = "zone"
    REGION = "region"


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """Messages from ``source`` do not reach ``target``; the other direction may work."""

    scope: Scope
    source: str
    target: str

    def reversed(self) -> "Cut":
        """Return the cut of the other direction."""
        return Cut(scope=self.scope, source=self.target, target=self.source)


class SimulatedNetwork:
    """Carries frames between the transports of simulated hosts.

    Attributes:
        latency: Delays in force; may be replaced while the simulation runs.
        random: Source of all chance in the network.
        trace: Where sent and delivered frames are recorded.
    """

    def __init__(self, random: Random, latency: LatencyModel, trace: Trace) -> None:
        """Create a network without hosts and cuts."""
        self.random = random
        self.latency = latency
        self.trace = trace
        self._hosts: dict[Address, SimulatedHost] = {}
        self._transports: dict[Address, SimulatedTransport] = {}
        self._cuts: dict[Cut, int] = {}
        self._bytes_sent = 0

    @property
    def bytes_sent(self) -> int:
        """Return the encoded bytes that all hosts have sent."""
        return self._bytes_sent

    def add_host(self, host: SimulatedHost) -> None:
        """Connect a machine.

        Raises:
            SimulationError: The address is taken.
        """
        if host.address in self._hosts:
            raise SimulationError(f"address {host.address} is taken")
        self._hosts[host.address] = host

    def host_at(self, address: Address) -> SimulatedHost:
        """Return the machine at an address.

        Raises:
            SimulationError: There is none.
        """
        if address not in self._hosts:
            raise SimulationError(f"no host at {address}")
        return self._hosts[address]

    def attach(self, transport: "SimulatedTransport") -> None:
        """Let a process receive; it takes the place of the host's earlier process."""
        self._transports[transport.address] = transport

    def transport_at(self, address: Address) -> "SimulatedTransport | None":
        """Return the transport of the live process at an address."""
        transport = self._transports.get(address)
        if transport is None or not transport.process.alive:
            return None
        return transport

    def cut(self, cut: Cut, *, both_ways: bool = False) -> None:
        """Cut a path; cuts of one path add up and are healed one by one."""
        self._cuts[cut] = self._cuts.get(cut, 0) + 1
        if both_ways:
            self.cut(cut.reversed())

    def heal(self, cut: Cut, *, both_ways: bool = False) -> None:
        """Undo one :meth:`cut` of a path."""
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
        first = self._hosts.get(source)
        second = self._hosts.get(target)
        if first is None or second is None:
            return False
        paths = (
            (Scope.HOST, first.name, second.name),
            (Scope.ZONE, first.location.zone, second.location.zone),
            (Scope.REGION, first.location.region, second.location.region),
        )
        return any(
            Cut(scope=scope, source=start, target=end) in self._cuts for scope, start, end in paths
        )

    def draw_delay(self, source: Address, target: Address) -> float:
        """Return the delay in seconds of one message."""
        start = self.host_at(source).location
        end = self.host_at(target).location
        return self.latency.draw_seconds(self.random, start, end)

    def carry(
        self, source: Address, target: Address, size: int, arrive: Callable[[], None]
    ) -> None:
        """Carry one frame that is sent again until it arrives, as TCP does.

        Args:
            source: Address of the sender.
            target: Address of the receiver.
            size: Encoded bytes.
            arrive: Called at the other end, not at all if the path is cut on arrival.
        """
        delay = self.draw_delay(source, target)
        if self.random.random() < self.latency.loss_probability:
            delay += self.latency.retransmission_delay_seconds
        self._send(source, target, size, delay, arrive)

    def carry_datagram(
        self, source: Address, target: Address, size: int, arrive: Callable[[], None]
    ) -> None:
        """Carry one datagram, which may be lost or arrive twice."""
        if target not in self._hosts or self.random.random() < self.latency.loss_probability:
            self._bytes_sent += size
            return
        self._send(source, target, size, self.draw_delay(source, target), arrive)
        if self.random.random() < self.latency.duplicate_probability:
            self._send(source, target, size, self.draw_delay(source, target), arrive)

    def _send(
        self, source: Address, target: Address, size: int, delay: float, arrive: Callable[[], None]
    ) -> None:
        self._bytes_sent += size

        def arrive_unless_cut() -> None:
            if not self.is_cut(source, target):
                arrive()

        asyncio.get_running_loop().call_later(delay, arrive_unless_cut)
