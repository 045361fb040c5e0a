"""Tests of the soak's parts: addresses, suspendable processes and faulty proxies."""

import asyncio
import signal
import socket
import struct
import tempfile
import time
import unittest
from contextlib import suppress
from pathlib import Path

from drumbay_soak.node_process import NodeAddresses, NodeProcess
from drumbay_soak.proxy import FaultyProxy, ProxyMode
from drumbay_soak.suspendable import SteppedClock

from drumbay.comm.network_address import NetworkAddress
from drumbay.standins.free_addresses import free_address, loopback_host

TIMEOUT_SECONDS = 30.0


class AddressTest(unittest.TestCase):
    def test_no_address_is_allocated_twice(self) -> None:
        addresses = [free_address() for _ in range(2_000)]
        self.assertEqual(len(set(addresses)), len(addresses))

    def test_outgoing_connections_do_not_use_the_host_of_allocated_addresses(self) -> None:
        """Guards against an outgoing connection that takes a port before its process binds it."""
        with (
            socket.create_server((loopback_host(), 0)) as server,
            socket.create_connection(server.getsockname()) as connection,
        ):
            self.assertNotEqual(connection.getsockname()[0], loopback_host())

    def test_an_address_is_free_for_datagrams_too(self) -> None:
        address = free_address()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            datagram.bind((address.host, address.port))


class SuspensionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_suspension_does_not_end_a_program_that_is_being_loaded(self) -> None:
        """Guards against SIGUSR1 during imports, before its handler is installed.

        The default action of SIGUSR1 would end the process.
        """
        with tempfile.TemporaryDirectory() as folder:
            addresses = NodeAddresses(
                listen=free_address(),
                advertised=free_address(),
                store=free_address(),
                api=free_address(),
            )
            node = NodeProcess(0, Path(folder), addresses)
            await node.start()
            try:
                for _ in range(5):
                    await node.stop_monotonic_clock()
                    node.step_wall_clock()
                self.assertIsNone(node.exit_code)
            finally:
                await node.stop(signal.SIGKILL)


class SteppedClockTest(unittest.TestCase):
    def test_the_time_of_day_jumps_and_jumps_back(self) -> None:
        clock = SteppedClock(-2_400.0)
        for expected_seconds in (-2_400.0, 0.0):
            clock.step(signal.SIGUSR2, None)
            self.assertAlmostEqual(clock.time() - time.time(), expected_seconds, delta=1.0)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received = asyncio.Queue[bytes]()
        server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.proxy = FaultyProxy(NetworkAddress("127.0.0.1", port), delay_seconds=0.05)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while chunk := await reader.read(100):
                self.received.put_nowait(chunk)
                writer.write(chunk)
        writer.close()

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.address.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self) -> bytes:
        reader, writer = await self.open()
        writer.write(b"x")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await reader.read(1)

    async def test_data_is_forwarded_with_and_without_a_delay(self) -> None:
        for mode in (ProxyMode.PASS, ProxyMode.DELAY):
            self.proxy.set_mode(mode)
            self.assertEqual(await self.exchange(), b"x")

    async def test_a_reset_ends_connections_with_an_error(self) -> None:
        reader, writer = await self.open()
        writer.write(b"x")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await reader.read(1), b"x")
            self.proxy.set_mode(ProxyMode.RESET)
            with self.assertRaises(ConnectionError):
                while await reader.read(1):
                    pass

    async def test_data_held_by_a_silent_proxy_is_forwarded_afterwards(self) -> None:
        self.proxy.set_mode(ProxyMode.SILENT)
        waiting = asyncio.create_task(self.exchange())
        for _ in range(20):
            await asyncio.sleep(0.005)
        self.assertFalse(waiting.done())
        self.assertTrue(self.received.empty())
        self.proxy.set_mode(ProxyMode.PASS)
        self.assertEqual(await waiting, b"x")

    async def reset_within(self, mode: ProxyMode) -> None:
        """Send data while the proxy holds it, and reset the connection."""
        self.proxy.set_mode(mode)
        _, writer = await self.open()
        writer.write(b"x")
        await asyncio.sleep(0.05)
        raw_socket = writer.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        await asyncio.sleep(0.05)
        self.proxy.set_mode(ProxyMode.PASS)

    async def test_lost_data_of_a_reset_connection_does_not_arrive(self) -> None:
        await self.reset_within(ProxyMode.SILENT)
        self.assertEqual(await self.exchange(), b"x")
        self.received.get_nowait()
        self.assertTrue(self.received.empty())

    async def test_a_paused_target_gets_data_of_a_reset_connection(self) -> None:
        await self.reset_within(ProxyMode.PAUSED)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await self.received.get(), b"x")

    async def test_silenced_connections_stay_silent_and_new_ones_work(self) -> None:
        reader, writer = await self.open()
        writer.write(b"x")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await reader.read(1), b"x")
            self.received.get_nowait()
            self.proxy.silence_open()
            writer.write(b"y")
            for _ in range(3):
                self.assertEqual(await self.exchange(), b"x")
                self.assertEqual(self.received.get_nowait(), b"x")
        self.assertTrue(self.received.empty())

    async def test_a_machine_that_is_gone_says_nothing_and_gets_nothing_later(self) -> None:
        reader, writer = await self.open()
        for mode in (ProxyMode.GONE, ProxyMode.CLOSED):
            self.proxy.set_mode(mode)
            waiting = asyncio.create_task(self.exchange())
            writer.write(b"y")
            await asyncio.sleep(0.05)
            self.assertFalse(waiting.done())
            self.proxy.set_mode(ProxyMode.PASS)
            with self.assertRaises(ConnectionError):
                await waiting
            self.assertEqual(await self.exchange(), b"x")
            self.assertEqual(self.received.get_nowait(), b"x")
            self.assertTrue(self.received.empty())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with self.assertRaises(ConnectionError):
                await reader.read(1)

    async def test_a_closed_address_closes_open_connections(self) -> None:
        reader, _ = await self.open()
        await asyncio.sleep(0.05)
        self.proxy.set_mode(ProxyMode.CLOSED)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await reader.read(1), b"")

    async def test_one_way_forwards_requests_and_holds_responses(self) -> None:
        self.proxy.set_mode(ProxyMode.ONE_WAY)
        waiting = asyncio.create_task(self.exchange())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await self.received.get(), b"x")
        self.assertFalse(waiting.done())
        self.proxy.set_mode(ProxyMode.PASS)
        self.assertEqual(await waiting, b"x")

    async def test_a_proxy_that_refuses_listens_again_at_the_same_address(self) -> None:
        address = self.proxy.address
        self.proxy.set_mode(ProxyMode.REFUSE)
        await asyncio.sleep(0)
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(address.host, address.port)
        self.proxy.set_mode(ProxyMode.PASS)
        await self.proxy.start()
        self.assertEqual(self.proxy.address, address)
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.close()
