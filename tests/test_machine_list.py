"""Reading of the machine list and propagation of leaving back ends."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from random import Random

from drumbay.clock import SystemClock
from drumbay.comm.interface import Address
from drumbay.configuration.messages import PeerView
from drumbay.identifiers import BackendId, BootId, NodeId
from drumbay.machines.http import HttpMachineListClient
from drumbay.machines.interface import (
    MachineListUnavailableError,
    MachineRecord,
    MachineState,
    leaving_backends,
)
from drumbay.machines.leaving import LeavingReports
from drumbay.machines.messages import LeavingReport
from drumbay.machines.readers import seconds_until_read, select_readers
from drumbay.machines.watcher import MachineListWatcher
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import Cut, Scope, SimulatedNetwork
from drumbay.simulation.process import SimulatedProcess
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.machine_list_model import Machine, MachineListModel
from drumbay.standins.machine_list_model import MachineState as EmulatedState
from drumbay.standins.machine_list_server import MACHINES_PATH, MachineListServer
from drumbay.tasks import TaskOwner

ZONES = ("a-0", "a-1", "b-0")
ENGINE = BackendId("engine-7")


class MachineList:
    """The platform's list, which may be down."""

    def __init__(self) -> None:
        self.reads = 0
        self.is_down = False
        self.leaving: tuple[BackendId, ...] = ()
        self.latency_seconds = 0.0

    async def read(self) -> tuple[MachineRecord, ...]:
        await asyncio.sleep(self.latency_seconds)
        if self.is_down:
            raise MachineListUnavailableError("down")
        self.reads += 1
        return tuple(MachineRecord(name=name, state=MachineState.LEAVING) for name in self.leaving)


class NotificationsDisabled(MachineListWatcher):
    """Fault: nodes neither notify each other nor fetch reports."""

    async def _notify_all(self, report: LeavingReport) -> None:
        return

    async def _repair(self) -> None:
        return


class RenewalDisabled(MachineListWatcher):
    """Fault: state from before a pause is not renewed."""

    async def ensure_fresh(self) -> None:
        return


class WatcherCluster:
    """Simulated nodes that run only the machine list watcher."""

    def __init__(self, count: int, watcher_type: type[MachineListWatcher]) -> None:
        self.list = MachineList()
        self.network = SimulatedNetwork(Random(1), LatencyModel(), Trace(0))
        self.members = tuple(
            PeerView(
                node_id=NodeId(f"node-{index:02d}"),
                address=Address(f"10.0.0.{index + 1}", 7000),
                zone=ZONES[index % len(ZONES)],
                region=ZONES[index % len(ZONES)][0],
            )
            for index in range(count)
        )
        self.known: dict[NodeId, tuple[BackendId, ...]] = {}
        self.processes: dict[NodeId, SimulatedProcess] = {}
        self.watchers: dict[NodeId, MachineListWatcher] = {}
        for peer in self.members:
            self._start(peer, watcher_type)

    def _start(self, peer: PeerView, watcher_type: type[MachineListWatcher]) -> None:
        host = SimulatedHost(
            peer.node_id, peer.address, Location(zone=peer.zone, region=peer.region)
        )
        self.network.add_host(host)
        process = host.start()

        def record_leaving(leaving: tuple[BackendId, ...]) -> None:
            self.known[peer.node_id] = leaving

        watcher = watcher_type(
            clock=host.clock(),
            transport=SimulatedTransport(self.network, host.address, process),
            client=self.list,
            node_id=peer.node_id,
            boot_id=BootId(peer.node_id),
            members=lambda: self.members,
            on_leaving=record_leaving,
            random=Random(peer.node_id),
            task_owner=TaskOwner(),
        )
        self.processes[peer.node_id] = process
        self.watchers[peer.node_id] = watcher
        process.run(watcher.start)

    async def sends_after_pause(self, node_id: NodeId) -> bool:
        """Return whether a node, paused while the engine starts to leave, then sends work to it."""
        process = self.processes[node_id]
        process.freeze()
        await asyncio.sleep(5.0)
        self.list.leaving = (ENGINE,)
        await asyncio.sleep(15.0)
        process.resume()
        return await process.spawn(self._would_send(node_id), "request")

    async def _would_send(self, node_id: NodeId) -> bool:
        await self.watchers[node_id].ensure_fresh()
        return ENGINE not in self.known[node_id]

    def informed_count(self) -> int:
        """Return how many nodes know that the engine is leaving."""
        return sum(ENGINE in leaving for leaving in self.known.values())


def simulate(
    count: int,
    scenario: Callable[[WatcherCluster], Awaitable[None]],
    watcher_type: type[MachineListWatcher] = MachineListWatcher,
) -> None:
    async def main() -> None:
        await scenario(WatcherCluster(count, watcher_type))

    run_simulation(main)


class MachineListTest(unittest.TestCase):
    def test_every_node_is_informed_within_seconds_by_few_reads(self) -> None:
        async def scenario(cluster: WatcherCluster) -> None:
            # Reads happen on whole seconds, so count half a second away from them.
            await asyncio.sleep(20.5)
            reads = cluster.list.reads
            await asyncio.sleep(30.0)
            self.assertEqual(cluster.list.reads - reads, 30)
            cluster.list.leaving = (ENGINE,)
            await asyncio.sleep(2.5)
            self.assertEqual(cluster.informed_count(), 40)
            cluster.list.leaving = ()
            await asyncio.sleep(8.0)
            self.assertEqual(cluster.informed_count(), 0)

        simulate(40, scenario)

    def test_only_readers_are_informed_without_notifications(self) -> None:
        async def scenario(cluster: WatcherCluster) -> None:
            await asyncio.sleep(20.0)
            cluster.list.leaving = (ENGINE,)
            await asyncio.sleep(30.0)
            self.assertEqual(cluster.informed_count(), 6)

        simulate(40, scenario, NotificationsDisabled)

    def test_every_node_of_a_small_cluster_reads(self) -> None:
        async def scenario(cluster: WatcherCluster) -> None:
            cluster.list.leaving = (ENGINE,)
            await asyncio.sleep(1.5)
            self.assertEqual(cluster.informed_count(), 5)
            self.assertGreaterEqual(cluster.list.reads, 5)

        simulate(5, scenario)

    def test_partitioned_region_is_informed_and_an_outage_keeps_the_set(self) -> None:
        async def scenario(cluster: WatcherCluster) -> None:
            await asyncio.sleep(20.0)
            cut = Cut(scope=Scope.REGION, source="a", target="b")
            cluster.network.cut(cut, both_ways=True)
            cluster.list.leaving = (ENGINE,)
            await asyncio.sleep(8.0)
            self.assertEqual(cluster.informed_count(), 40)
            cluster.list.is_down = True
            cluster.network.heal(cut, both_ways=True)
            await asyncio.sleep(30.0)
            self.assertEqual(cluster.informed_count(), 40)

        simulate(40, scenario)


class PauseTest(unittest.TestCase):
    def sends_after_pause(self, count: int, watcher_type: type[MachineListWatcher]) -> bool:
        outcomes: list[bool] = []

        async def scenario(cluster: WatcherCluster) -> None:
            cluster.list.latency_seconds = 0.01
            await asyncio.sleep(20.0)
            outcomes.append(await cluster.sends_after_pause(cluster.members[0].node_id))

        simulate(count, scenario, watcher_type)
        return outcomes[0]

    def test_paused_node_renews_before_it_sends(self) -> None:
        for count in (5, 40):
            self.assertFalse(self.sends_after_pause(count, MachineListWatcher))

    def test_paused_node_without_renewal_sends(self) -> None:
        self.assertTrue(self.sends_after_pause(5, RenewalDisabled))

    def test_outage_of_the_list_delays_no_request(self) -> None:
        async def scenario(cluster: WatcherCluster) -> None:
            cluster.list.is_down = True
            await asyncio.sleep(1.0)
            before = asyncio.get_running_loop().time()
            await cluster.watchers[cluster.members[0].node_id].ensure_fresh()
            self.assertEqual(asyncio.get_running_loop().time(), before)

        simulate(5, scenario)


class ReadersTest(unittest.TestCase):
    def test_two_readers_of_each_zone_rotate(self) -> None:
        peers = tuple(
            PeerView(
                node_id=NodeId(f"node-{index}"),
                address=Address("10.0.0.1", index),
                zone=ZONES[index % 3],
                region="r",
            )
            for index in range(30)
        )
        readers = select_readers(peers)
        zones = [peer.zone for peer in peers if peer.node_id in readers]
        self.assertEqual(sorted(zones), sorted(ZONES * 2))
        read_times = sorted((100.5 + seconds_until_read(rank, 6, 100.5)) % 6 for rank in range(6))
        self.assertEqual(read_times, [0.0, 1.0, 2.0, 3.0, 4.0, 5.0])

    def test_back_end_is_leaving_while_any_reader_reports_it(self) -> None:
        def report(reader: str, sequence: int, *leaving: str) -> LeavingReport:
            return LeavingReport(
                reader=NodeId(reader),
                boot_id=BootId("1"),
                sequence=sequence,
                leaving=tuple(BackendId(name) for name in leaving),
            )

        reports = LeavingReports()
        self.assertTrue(reports.add(report("n1", 2, "x")))
        self.assertTrue(reports.add(report("n2", 1)))
        self.assertEqual(reports.leaving(), ("x",))
        self.assertFalse(reports.add(report("n1", 1)))
        digest = reports.digest()
        self.assertTrue(reports.add(report("n1", 3)))
        self.assertNotEqual(reports.digest(), digest)
        self.assertEqual(reports.leaving(), ())
        reports.add(report("n1", 4, "x"))
        reports.retain_readers((NodeId("n2"),))
        self.assertEqual(reports.leaving(), ())


class HttpMachineListTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a client that cannot decode the list which the emulated platform serves."""

    async def asyncSetUp(self) -> None:
        clock = SystemClock()
        self.machines = MachineListModel(clock, lag_seconds=0.0)
        self.server = MachineListServer(self.machines, clock, host="127.0.0.1", port=0)
        self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def test_leaving_machines_are_read_over_http(self) -> None:
        states = (EmulatedState.LIVE, EmulatedState.LEAVING, EmulatedState.GONE)
        for state in states:
            machine = Machine(name=state.value, address="127.0.0.1:1", zone="callao", state=state)
            self.machines.set_machine(machine)
        client = HttpMachineListClient(self.server.base_url + MACHINES_PATH)
        read = await client.read()
        self.assertEqual(
            [(machine.name, machine.state) for machine in read],
            [("live", MachineState.LIVE), ("leaving", MachineState.LEAVING)],
        )
        self.assertEqual(leaving_backends(read), (BackendId("leaving"),))

    async def test_unreadable_list_is_unavailable(self) -> None:
        missing_page = HttpMachineListClient(self.server.base_url + "/missing_page")
        other_page = HttpMachineListClient(self.server.base_url + MACHINES_PATH + "/changes")
        for client in (missing_page, other_page):
            with self.assertRaises(MachineListUnavailableError):
                await client.read()
