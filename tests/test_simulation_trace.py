"""Runs with the same seed have the same trace."""

import asyncio
import os
import subprocess
import sys
import unittest
from random import Random

from drumbay.comm.interface import Address, Message
from drumbay.simulation.host import HostClock, Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import SimulatedNetwork
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.simulation.virtual_time import run_simulation

HOST_COUNT = 12
SIMULATED_SECONDS = 20.0
PROGRAM = "from tests.test_simulation_trace import gossip_digest; print(gossip_digest(7))"


class SimulationRumour(Message, frozen=True, kw_only=True):
    number: int


def gossip_digest(seed: int) -> str:
    """Gossip over a lossy network with a killed and a frozen host; return the trace digest."""

    async def main() -> str:
        random = Random(seed)
        latency = LatencyModel(
            loss_probability=0.1, duplicate_probability=0.1, reorder_probability=0.1
        )
        network = SimulatedNetwork(random, latency, Trace())
        hosts = []
        for index in range(HOST_COUNT):
            location = Location(zone=f"zone-{index % 3}", region="nl-oost")
            host = SimulatedHost(f"host-{index}", Address(f"10.0.0.{index}", 7000), location)
            network.add_host(host)
            hosts.append(host)

        def start(host: SimulatedHost) -> None:
            process = host.start()
            transport = SimulatedTransport(network, host.address, process)
            process.spawn(gossip(transport, host.clock()), "gossip")

        async def gossip(transport: SimulatedTransport, clock: HostClock) -> None:
            highest = 0

            def receive(_source: Address, rumour: SimulationRumour) -> None:
                nonlocal highest
                highest = max(highest, rumour.number)

            transport.handle_datagrams(SimulationRumour, receive)
            while True:
                await clock.sleep(random.uniform(0.1, 0.3))
                peer = random.choice(hosts).address
                transport.send_datagram(peer, SimulationRumour(number=highest + 1))

        for host in hosts:
            start(host)
        await asyncio.sleep(SIMULATED_SECONDS / 2)
        await hosts[3].kill()
        hosts[5].freeze()
        await asyncio.sleep(SIMULATED_SECONDS / 4)
        start(hosts[3])
        hosts[5].resume()
        await asyncio.sleep(SIMULATED_SECONDS / 4)
        return network.trace.digest()

    return run_simulation(main)


def digest_in_new_process(hash_seed: str) -> str:
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM], env=environment, capture_output=True, text=True, check=True
    )
    return completed.stdout.strip()


class TraceTest(unittest.TestCase):
    def test_same_seed_gives_same_trace_under_any_hash_seed(self) -> None:
        digests = [gossip_digest(7), gossip_digest(7)]
        digests += [digest_in_new_process(hash_seed) for hash_seed in ("0", "1", "424242")]
        self.assertEqual(len(set(digests)), 1, digests)

    def test_different_seeds_give_different_traces(self) -> None:
        self.assertNotEqual(gossip_digest(7), gossip_digest(8))

    def test_latest_events_are_kept(self) -> None:
        async def main() -> None:
            trace = Trace(kept_events=3)
            for number in range(5):
                trace.record("tick", number)
                await asyncio.sleep(1)
            self.assertEqual([event.values for event in trace.between(1, 3)], [(2,), (3,)])
            self.assertEqual(trace.count, 5)

        run_simulation(main)


if __name__ == "__main__":
    unittest.main()
