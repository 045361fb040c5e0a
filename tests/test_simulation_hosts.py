"""Virtual time, frozen and killed processes, and the simulated network."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from random import Random

from drumbay.comm.interface import (
    Address,
    Message,
    PeerUnreachableError,
    RemoteFailureError,
    ReplyLostError,
)
from drumbay.exceptions import DeadlineExceededError
from drumbay.simulation.exceptions import RealInputOutputError, SimulationDeadlockError
from drumbay.simulation.host import Location, SimulatedHost
from drumbay.simulation.latency import LatencyModel
from drumbay.simulation.network import Cut, Scope, SimulatedNetwork
from drumbay.simulation.trace import Trace
from drumbay.simulation.transport import SimulatedTransport
from drumbay.simulation.virtual_time import run_simulation


class SimulationEcho(Message, frozen=True, kw_only=True):
    text: str


class SimulationUnencodable(Message, frozen=True, kw_only=True):
    value: object


def now() -> float:
    return asyncio.get_running_loop().time()


class HostPair:
    """Two hosts in two zones that echo calls and record datagrams."""

    def __init__(self, latency: LatencyModel | None = None) -> None:
        self.network = SimulatedNetwork(Random(1), latency or LatencyModel(), Trace())
        self.hosts = []
        for index, zone in enumerate(("miraflores", "surquillo")):
            location = Location(zone=zone, region="lima")
            host = SimulatedHost(zone, Address(f"10.0.0.{index}", 7000), location)
            self.network.add_host(host)
            host.start()
            self.hosts.append(host)
        self.client, self.server = self.hosts
        self.received: list[str] = []
        self.handled = 0
        self.client_transport = self.attach(self.client)
        self.attach(self.server)

    def attach(self, host: SimulatedHost) -> SimulatedTransport:
        transport = SimulatedTransport(self.network, host.address, host.process)
        clock = host.clock()

        async def echo(request: SimulationEcho) -> Message:
            self.handled += 1
            if request.text == "slow":
                await clock.sleep(5)
            if request.text == "fail":
                raise DeadlineExceededError("no")
            return request

        transport.handle_calls(SimulationEcho, echo)
        transport.handle_datagrams(
            SimulationEcho, lambda _source, message: self.received.append(message.text)
        )
        return transport

    async def call(self, text: str = "hello", timeout_seconds: float = 1.0) -> Message:
        return await self.client_transport.call(
            self.server.address, SimulationEcho(text=text), timeout_seconds=timeout_seconds
        )


def run_with_pair(main: Callable[[HostPair], Awaitable[None]]) -> None:
    async def build_and_run() -> None:
        await main(HostPair())

    run_simulation(build_and_run)


class VirtualTimeTest(unittest.TestCase):
    def test_timers_fire_at_their_exact_time(self) -> None:
        async def main() -> list[float]:
            times: list[float] = []
            for delay in (0.0001, 0.0005, 7200.0):
                await asyncio.sleep(delay)
                times.append(round(now(), 6))
            return times

        self.assertEqual(run_simulation(main), [0.0001, 0.0006, 7200.0006])

    def test_deadlock_is_an_error(self) -> None:
        async def main() -> None:
            await asyncio.get_running_loop().create_future()

        with self.assertRaises(SimulationDeadlockError):
            run_simulation(main)

    def test_sockets_and_threads_are_rejected(self) -> None:
        async def use_socket() -> None:
            with socket.socket() as server:
                server.setblocking(False)
                asyncio.get_running_loop().add_reader(server, lambda: None)

        async def use_thread() -> None:
            await asyncio.to_thread(int)

        for main in (use_socket, use_thread):
            with self.subTest(main=main.__name__), self.assertRaises(RealInputOutputError):
                run_simulation(main)


class HostTest(unittest.TestCase):
    def test_frozen_process_handles_timers_on_resuming(self) -> None:
        async def main(pair: HostPair) -> None:
            clock = pair.client.clock()

            async def sleep_once() -> float:
                await clock.sleep(1)
                return clock.monotonic()

            async def wait_with_timeout() -> float:
                with self.assertRaises(DeadlineExceededError):
                    await clock.wait_for(clock.sleep(60), 2)
                return clock.monotonic()

            process = pair.client.process
            tasks = [
                process.spawn(sleep_once(), "nap"),
                process.spawn(wait_with_timeout(), "limited"),
            ]
            await asyncio.sleep(0.5)
            pair.client.freeze()
            await asyncio.sleep(30)
            self.assertFalse(any(task.done() for task in tasks))
            pair.client.resume()
            self.assertEqual(await asyncio.gather(*tasks), [30.5, 30.5])

        run_with_pair(main)

    def test_killed_process_has_no_effect_and_a_new_one_has_another_boot_id(self) -> None:
        async def main(pair: HostPair) -> None:
            process = pair.client.process
            clock = pair.client.clock()

            async def work() -> None:
                try:
                    await clock.sleep(60)
                finally:
                    pair.client_transport.send_datagram(
                        pair.server.address, SimulationEcho(text="after the kill")
                    )
                    await pair.call("after the kill")

            async def start_child() -> None:
                asyncio.get_running_loop().create_task(work())

            process.spawn(start_child(), "parent")
            await asyncio.sleep(1)
            await pair.client.kill()
            await asyncio.sleep(5)
            self.assertEqual((pair.received, pair.handled), ([], 0))
            self.assertNotEqual(pair.client.start().boot_id, process.boot_id)

        run_with_pair(main)

    def test_wall_clock_jumps_and_monotonic_does_not(self) -> None:
        async def main(pair: HostPair) -> None:
            clock = pair.client.clock()
            before = clock.wall()
            pair.client.wall_clock.jump(-300)
            self.assertEqual(clock.wall() - before, -300)
            self.assertEqual(clock.monotonic(), now())

        run_with_pair(main)


class NetworkTest(unittest.TestCase):
    def test_call_returns_the_reply_after_the_latency(self) -> None:
        async def main(pair: HostPair) -> None:
            self.assertEqual(await pair.call(), SimulationEcho(text="hello"))
            self.assertGreaterEqual(now(), 0.001)

        run_with_pair(main)

    def test_handler_error_is_returned_to_the_caller(self) -> None:
        async def main(pair: HostPair) -> None:
            with self.assertRaises(RemoteFailureError) as caught:
                await pair.call("fail")
            self.assertEqual(caught.exception.remote_code, "deadline_exceeded")

        run_with_pair(main)

    def test_peer_unreachable_is_reported_only_if_not_handled(self) -> None:
        async def main(pair: HostPair) -> None:
            forward = Cut(scope=Scope.ZONE, source="miraflores", target="surquillo")
            outcomes: dict[str, int] = {}
            for cut in (forward, forward.reversed()):
                pair.network.cut(cut)
                for _ in range(20):
                    handled_before = pair.handled
                    try:
                        await pair.call()
                    except (PeerUnreachableError, ReplyLostError) as error:
                        handled = pair.handled > handled_before
                        key = f"{error.code} handled={handled}"
                        outcomes[key] = outcomes.get(key, 0) + 1
                pair.network.heal(cut)
            expected = {
                "peer_unreachable handled=False",
                "reply_lost handled=False",
                "reply_lost handled=True",
            }
            self.assertEqual(set(outcomes), expected)
            await pair.call()

        run_with_pair(main)

    def test_kill_resets_open_calls_and_refuses_new_ones(self) -> None:
        async def main(pair: HostPair) -> None:
            task = asyncio.get_running_loop().create_task(pair.call("slow", 60))
            await asyncio.sleep(1)
            await pair.server.kill()
            with self.assertRaises(ReplyLostError):
                await task
            with self.assertRaises(PeerUnreachableError):
                await pair.call("hello", 60)
            self.assertLess(now(), 2)

        run_with_pair(main)

    def test_call_to_a_frozen_peer_is_handled_on_resuming(self) -> None:
        async def main(pair: HostPair) -> None:
            pair.server.freeze()
            with self.assertRaises(ReplyLostError):
                await pair.call()
            self.assertEqual(pair.handled, 0)
            pair.server.resume()
            await asyncio.sleep(1)
            self.assertEqual(pair.handled, 1)

        run_with_pair(main)

    def test_datagrams_are_lost_duplicated_and_reordered(self) -> None:
        async def main(pair: HostPair) -> None:
            pair.network.latency = LatencyModel(
                loss_probability=0.2, duplicate_probability=0.2, reorder_probability=0.2
            )
            sent = [f"{number:03}" for number in range(200)]
            for text in sent:
                pair.client_transport.send_datagram(pair.server.address, SimulationEcho(text=text))
                await asyncio.sleep(0.001)
            await asyncio.sleep(1)
            distinct = set(pair.received)
            self.assertLess(len(distinct), len(sent))
            self.assertGreater(len(pair.received), len(distinct))
            self.assertNotEqual(pair.received, sorted(pair.received))

        run_with_pair(main)

    def test_messages_are_encoded(self) -> None:
        async def main(pair: HostPair) -> None:
            with self.assertRaises(TypeError):
                pair.client_transport.send_datagram(
                    pair.server.address, SimulationUnencodable(value=object())
                )

        run_with_pair(main)


if __name__ == "__main__":
    unittest.main()
