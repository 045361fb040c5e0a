"""Contract of a transport, run against the network transport on loopback.

``TransportContract`` is also run against the in-memory transport of the simulation.
"""

import asyncio
import socket
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable

import msgspec
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from drumbay.clock import SystemClock
from drumbay.comm import peer_connection
from drumbay.comm.codec import (
    MAX_DATAGRAM_MESSAGE_BYTES,
    MAX_FRAME_BYTES,
    FrameTooLargeError,
    encoded_size_bytes,
)
from drumbay.comm.frame_stream import LENGTH_BYTES, NONCE_BYTES, send_nonce, write_frame
from drumbay.comm.interface import (
    Address,
    Message,
    PeerUnreachableError,
    RemoteFailureError,
    ReplyLostError,
    Transport,
)
from drumbay.comm.introduction import BootVerifier
from drumbay.comm.tornado_transport import ListenError, TornadoTransport
from drumbay.exceptions import ConfigurationError
from drumbay.tasks import TaskOwner

KEY = b"a cluster key of 32 bytes length"
LONG_SECONDS = 20.0


class EchoCall(Message, frozen=True, kw_only=True):
    number: int
    body: bytes = b""


class EchoReply(Message, frozen=True, kw_only=True):
    number: int
    body: bytes = b""


class UnhandledCall(Message, frozen=True, kw_only=True):
    pass


class EchoDatagram(Message, frozen=True, kw_only=True):
    body: bytes


class TransportContract:
    """Tests that every transport must pass. Mix into an ``IsolatedAsyncioTestCase``."""

    async def start_transport(self) -> Transport:
        raise NotImplementedError

    async def unused_address(self) -> Address:
        raise NotImplementedError

    async def test_concurrent_calls_get_their_own_replies(self) -> None:
        server, client = await self.start_transport(), await self.start_transport()
        turns = [asyncio.Event() for _ in range(20)]

        async def reply_in_reverse(request: EchoCall) -> Message:
            if request.number + 1 < len(turns):
                await turns[request.number + 1].wait()
            turns[request.number].set()
            return EchoReply(number=request.number)

        server.handle_calls(EchoCall, reply_in_reverse)
        calls = [
            client.call(server.address, EchoCall(number=number), timeout_seconds=LONG_SECONDS)
            for number in range(len(turns))
        ]
        replies = await asyncio.gather(*calls)
        expected = [EchoReply(number=number) for number in range(len(turns))]
        unittest.TestCase().assertEqual(replies, expected)

    async def test_handler_error_arrives_with_its_code(self) -> None:
        server, client = await self.start_transport(), await self.start_transport()

        async def fail(request: EchoCall) -> Message:
            if request.number == 1:
                raise ConfigurationError("detail")
            raise ValueError("not of the exception tree")

        server.handle_calls(EchoCall, fail)
        for number, code in ((1, "invalid_configuration"), (2, "internal")):
            with unittest.TestCase().assertRaises(RemoteFailureError) as caught:
                await client.call(
                    server.address, EchoCall(number=number), timeout_seconds=LONG_SECONDS
                )
            unittest.TestCase().assertEqual(caught.exception.remote_code, code)

    async def test_absent_peer_is_unreachable(self) -> None:
        client, address = await self.start_transport(), await self.unused_address()
        with unittest.TestCase().assertRaises(PeerUnreachableError):
            await client.call(address, EchoCall(number=1), timeout_seconds=LONG_SECONDS)

    async def test_no_reply_in_time_is_reply_lost(self) -> None:
        server, client = await self.start_transport(), await self.start_transport()
        started = asyncio.Event()

        async def never_reply(request: EchoCall) -> Message:
            started.set()
            await asyncio.Event().wait()
            return EchoReply(number=0)

        server.handle_calls(EchoCall, never_reply)
        with unittest.TestCase().assertRaises(ReplyLostError):
            await client.call(server.address, EchoCall(number=1), timeout_seconds=0.5)
        unittest.TestCase().assertTrue(started.is_set())

    async def test_datagram_arrives_with_its_sender(self) -> None:
        server, client = await self.start_transport(), await self.start_transport()
        arrived: asyncio.Future[tuple[Address, EchoDatagram]] = asyncio.Future()

        def record(sender: Address, message: EchoDatagram) -> None:
            if not arrived.done():
                arrived.set_result((sender, message))

        server.handle_datagrams(EchoDatagram, record)
        message = EchoDatagram(body=b"x" * 1000)
        client.send_datagram(server.address, message)
        unittest.TestCase().assertEqual(await arrived, (client.address, message))


class SkewedClock(SystemClock):
    """A clock whose wall time is wrong."""

    def __init__(self, skew_seconds: float) -> None:
        self._skew_seconds = skew_seconds

    def wall(self) -> float:
        return super().wall() + self._skew_seconds


class TornadoTransportTest(TransportContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.task_owner = TaskOwner()
        self.addAsyncCleanup(self.task_owner.close)

    async def start_transport(
        self, key: bytes = KEY, port: int = 0, skew: float = 0.0
    ) -> TornadoTransport:
        address = Address("127.0.0.1", port)
        transport = TornadoTransport(address, key, SkewedClock(skew), self.task_owner)
        await transport.start()
        self.addAsyncCleanup(transport.close)
        return transport

    async def unused_address(self) -> Address:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            return Address("127.0.0.1", unused.getsockname()[1])

    async def start_stream_server(
        self, handle: Callable[[IOStream], Awaitable[None]]
    ) -> tuple[Address, list[IOStream]]:
        """Start a bare TCP server; return its address and the streams it accepted."""
        streams: list[IOStream] = []

        class StreamServer(TCPServer):
            async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
                streams.append(stream)
                await handle(stream)

        server = StreamServer()
        server.listen(0, "127.0.0.1")
        self.addCleanup(server.stop)
        port = next(iter(server._sockets.values())).getsockname()[1]
        return Address("127.0.0.1", port), streams

    async def echo(self, request: EchoCall) -> Message:
        return EchoReply(number=request.number, body=request.body)

    async def test_calls_share_one_connection_and_reconnect_to_a_restarted_peer(self) -> None:
        server, client = await self.start_transport(), await self.start_transport()
        server.handle_calls(EchoCall, self.echo)
        request = EchoCall(number=1, body=b"x" * 100_000)
        for _ in range(3):
            await client.call(server.address, request, timeout_seconds=LONG_SECONDS)
        self.assertEqual(len(server._server._connections), 1)
        await server.close()
        with self.assertRaises((ReplyLostError, PeerUnreachableError)):
            await client.call(server.address, request, timeout_seconds=LONG_SECONDS)
        restarted = await self.start_transport(port=server.address.port)
        restarted.handle_calls(EchoCall, self.echo)
        reply = await client.call(server.address, request, timeout_seconds=LONG_SECONDS)
        self.assertEqual(reply, EchoReply(number=1, body=request.body))

    async def test_connection_broken_after_the_request_is_reply_lost(self) -> None:
        async def read_and_close(stream: IOStream) -> None:
            send_nonce(stream)
            await stream.read_bytes(1, partial=True)
            stream.close()

        address, _ = await self.start_stream_server(read_and_close)
        client = await self.start_transport()
        with self.assertRaises(ReplyLostError):
            await client.call(address, EchoCall(number=1), timeout_seconds=LONG_SECONDS)

    async def test_replayed_request_does_not_run_twice(self) -> None:
        """An attacker replays a captured request on the same and on a new connection."""
        server, client = await self.start_transport(), await self.start_transport()
        runs: list[int] = []

        async def count(request: EchoCall) -> Message:
            runs.append(request.number)
            return EchoReply(number=request.number)

        server.handle_calls(EchoCall, count)
        captured: list[bytes] = []

        def capture(stream: IOStream, frame: bytes) -> None:
            captured.append(frame)
            write_frame(stream, frame)

        with unittest.mock.patch.object(peer_connection, "write_frame", capture):
            await client.call(server.address, EchoCall(number=1), timeout_seconds=LONG_SECONDS)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        writer.write(len(captured[0]).to_bytes(4, "big") + captured[0])
        nonce_and_end = await reader.read()
        writer.close()
        self.assertEqual(len(nonce_and_end), LENGTH_BYTES + NONCE_BYTES)
        self.assertEqual(server.rejected_frame_counts, {"bad_frame_tag": 1})
        link = await client._connection_to(server.address)._open_link(LONG_SECONDS)
        write_frame(link.stream, captured[0])
        with self.assertRaises(ReplyLostError):
            await client.call(server.address, EchoCall(number=2), timeout_seconds=LONG_SECONDS)
        self.assertEqual(server.rejected_frame_counts, {"bad_frame_tag": 1, "replayed_frame": 1})
        self.assertEqual(runs, [1])

    async def test_machines_with_different_clocks_can_call_each_other(self) -> None:
        server, client = await self.start_transport(), await self.start_transport(skew=7200.0)
        server.handle_calls(EchoCall, self.echo)
        request = EchoCall(number=1)
        reply = await client.call(server.address, request, timeout_seconds=LONG_SECONDS)
        self.assertEqual(reply, EchoReply(number=1))

    async def datagram_over_different_clocks(self, attempts: int) -> bool:
        """Send datagrams repeatedly; return whether one arrived after a boot query."""
        server, client = await self.start_transport(), await self.start_transport(skew=-7200.0)
        arrived = asyncio.Event()
        server.handle_datagrams(EchoDatagram, lambda sender, message: arrived.set())
        for _ in range(attempts):
            client.send_datagram(server.address, EchoDatagram(body=b""))
            if arrived.is_set():
                break
            await asyncio.sleep(0.05)
        self.assertGreater(server.rejected_frame_counts["unfamiliar_boot"], 0)
        return arrived.is_set()

    async def test_machines_with_different_clocks_exchange_datagrams(self) -> None:
        with unittest.mock.patch.object(BootVerifier, "request", lambda *arguments: None):
            self.assertFalse(await self.datagram_over_different_clocks(attempts=20))
        self.assertTrue(await self.datagram_over_different_clocks(attempts=400))

    async def test_peer_with_another_protocol_is_unreachable(self) -> None:
        async def greet(stream: IOStream) -> None:
            await stream.write(b"220 mail.example ESMTP\r\n")

        address, _ = await self.start_stream_server(greet)
        client = await self.start_transport()
        with self.assertRaises(PeerUnreachableError):
            await client.call(address, EchoCall(number=1), timeout_seconds=LONG_SECONDS)

    async def test_other_key_is_refused_on_both_channels(self) -> None:
        server = await self.start_transport()
        server.handle_calls(EchoCall, self.echo)
        outsider = await self.start_transport(key=KEY[::-1])
        with self.assertRaises(ReplyLostError):
            await outsider.call(server.address, EchoCall(number=1), timeout_seconds=LONG_SECONDS)
        server.receive_datagram(outsider.address, b"garbage")
        self.assertEqual(server.rejected_frame_counts, {"bad_frame_tag": 1, "invalid_frame": 1})

    async def test_oversize_frames_are_refused(self) -> None:
        server, client = await self.start_transport(), await self.start_transport()
        server.handle_calls(EchoCall, self.echo)
        large = EchoCall(number=1, body=b"x" * MAX_FRAME_BYTES)
        with self.assertRaises(PeerUnreachableError):
            await client.call(server.address, large, timeout_seconds=LONG_SECONDS)

        async def reply_too_large(request: EchoCall) -> Message:
            return EchoReply(number=1, body=b"x" * MAX_FRAME_BYTES)

        server.handle_calls(EchoCall, reply_too_large)
        with self.assertRaises(RemoteFailureError) as caught:
            await client.call(server.address, EchoCall(number=1), timeout_seconds=LONG_SECONDS)
        self.assertEqual(caught.exception.remote_code, "frame_too_large")
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        writer.write(b"\xff\xff\xff\xff")
        self.assertEqual(len(await reader.read()), LENGTH_BYTES + NONCE_BYTES)
        writer.close()
        self.assertEqual(server.rejected_frame_counts, {"frame_too_large": 1})

    async def test_largest_datagram_message_fits_and_a_larger_one_is_refused(self) -> None:
        client = await self.start_transport()
        empty = encoded_size_bytes(EchoDatagram(body=b"x" * 256))
        body = b"x" * (MAX_DATAGRAM_MESSAGE_BYTES - empty + 256)
        client.send_datagram(await self.unused_address(), EchoDatagram(body=body))
        with self.assertRaises(FrameTooLargeError):
            client.send_datagram(client.address, EchoDatagram(body=body + b"x" * 160))

    async def test_calls_without_handler_or_over_the_limit_are_not_handled(self) -> None:
        server, client = await self.start_transport(), await self.start_transport()
        with self.assertRaises(PeerUnreachableError):
            await client.call(server.address, UnhandledCall(), timeout_seconds=LONG_SECONDS)

        started = asyncio.Event()

        async def never_reply(request: EchoCall) -> Message:
            started.set()
            await asyncio.Event().wait()
            return EchoReply(number=0)

        server.handle_calls(EchoCall, never_reply)
        call = client.call(server.address, EchoCall(number=1), timeout_seconds=LONG_SECONDS)
        waiting = asyncio.create_task(call)
        await started.wait()
        with (
            unittest.mock.patch.object(peer_connection, "MAX_OUTSTANDING_CALLS", 1),
            self.assertRaises(peer_connection.TooManyOutstandingCallsError),
        ):
            await client.call(server.address, EchoCall(number=2), timeout_seconds=1.0)
        await client.close()
        with self.assertRaises(ReplyLostError):
            await waiting

    async def test_listening_on_a_used_port_raises_listen_error(self) -> None:
        server = await self.start_transport()
        with self.assertRaises(ListenError):
            await self.start_transport(port=server.address.port)


class WireCompatibilityTest(unittest.TestCase):
    def test_messages_ignore_fields_they_do_not_know(self) -> None:
        """A rolling upgrade may add fields, which older nodes must ignore."""
        newer = {"type": "EchoReply", "number": 1, "added_later": True}
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(newer), type=EchoReply)
        self.assertEqual(decoded, EchoReply(number=1))
