"""The simulated transport fulfils the transport contract."""

import unittest
from random import Random

from drumbay.comm.interface import Address
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from tests import test_comm_transport


class SimulatedTransportTest(
    test_comm_transport.TransportContract, unittest.IsolatedAsyncioTestCase
):
    def setUp(self) -> None:
        self.network = SimulatedNetwork(Random(1), LatencyModel(), Trace())
        self.host_count = 0

    def add_host(self) -> SimulatedHost:
        self.host_count += 1
        address = Address(f"10.0.0.{self.host_count}", 7000)
        location = Location(zone="surquillo", region="lima")
        host = SimulatedHost(f"host-{self.host_count}", address, location)
        self.network.add_host(host)
        return host

    async def start_transport(self) -> SimulatedTransport:
        host = self.add_host()
        host.start()
        return SimulatedTransport(self.network, host.address, host.process)

    async def unused_address(self) -> Address:
        return self.add_host().address
