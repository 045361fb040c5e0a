"""Regression: after a machine was suspended, expired leases and stale data counted as fresh.

``CLOCK_MONOTONIC`` does not advance during a suspension, ``CLOCK_BOOTTIME`` does. Leases, ages,
deadlines and timers must use the latter.
"""

import asyncio
import random
import socket
import time
import unittest
from collections.abc import Callable, Coroutine
from unittest import mock

from drumbay.clock import SystemClock, run_on_system_clock
from drumbay.comm.connection_pool import ConnectionPool
from drumbay.comm.network_address import NetworkAddress
from drumbay.comm.observed_stream import ObservedStream
from drumbay.exceptions import DeadlineExceededError
from drumbay.forwarding.records import RequestTimedOutError
from drumbay.forwarding.routes import RequestKind
from drumbay.kv.memory import MemoryKeyValueStore
from drumbay.kv.mirror import FeedMirror, PrefixFeed
from drumbay.ownership.leader import LeaderElection, LeaderRecord, LeadershipPolicy
from drumbay.peers.messages import FollowFeeds, PeerReply, PeerRequest
from drumbay.peers.pause_detector import PauseDetector
from drumbay.peers.transport import PeerUnavailableError
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.worker_pool import EmulatedWorkerPool
from drumbay.usage.window_clock import WindowClock
from tests.serving_world import LoopbackPeers, ServingWorld, WorldNode, run_in_world
from tests.test_crashing_requests import LOOKUPS, request, route
from tests.test_forwarding import forwarder_of
from tests.test_shared_feeds import RecordingFeed

SUSPENDED_SECONDS = 6.0
TICK_SECONDS = 0.01
ELECTION_TICKS = 100
PROMPT_SECONDS = 1.0
"""Much longer than a step on a busy machine, much shorter than the suspension."""


class SuspendableMachine:
    """Clocks of a machine whose ``CLOCK_MONOTONIC`` does not advance while it is suspended."""

    def __init__(self) -> None:
        self._real_monotonic = time.monotonic
        self._real_clock_gettime = time.clock_gettime
        self._real_time = time.time
        self._suspended_seconds = 0.0

    def suspend(self, seconds: float = SUSPENDED_SECONDS) -> None:
        self._suspended_seconds += seconds

    def monotonic(self) -> float:
        return self._real_monotonic()

    def clock_gettime(self, clock_id: int) -> float:
        suspended_seconds = self._suspended_seconds if clock_id == time.CLOCK_BOOTTIME else 0.0
        return self._real_clock_gettime(clock_id) + suspended_seconds

    def wall(self) -> float:
        return self._real_time() + self._suspended_seconds


class SuspendedMachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = SuspendableMachine()
        for name, replacement in (
            ("monotonic", self.machine.monotonic),
            ("clock_gettime", self.machine.clock_gettime),
            ("time", self.machine.wall),
        ):
            patch = mock.patch.object(time, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)
        self.clock = SystemClock()

    async def clock_includes_suspension(self) -> None:
        before = self.clock.monotonic()
        self.machine.suspend()
        self.assertGreaterEqual(self.clock.monotonic() - before, SUSPENDED_SECONDS)

    async def lease_expires(self) -> None:
        election = LeaderElection(
            self.clock,
            MemoryKeyValueStore(KeyValueModel(self.clock), self.clock, timeout_seconds=1.0),
            LeaderRecord(machine="m", boot="b"),
            random.Random(1),
            LeadershipPolicy(order_delay_seconds=0.0),
            is_candidate=lambda: True,
        )
        running = asyncio.ensure_future(election.run())
        for _ in range(ELECTION_TICKS):
            if election.fence(self.clock.monotonic()) is None:
                await asyncio.sleep(TICK_SECONDS)
        self.assertIsNotNone(election.fence(self.clock.monotonic()))
        self.machine.suspend()
        self.assertIsNone(election.fence(self.clock.monotonic()))
        running.cancel()

    async def mirror_age_includes_suspension(self) -> None:
        """This age decides whether a 404 or the refusal of a key may be final."""
        feed = PrefixFeed(
            prefix="p", on_snapshot=lambda items, unseen: None, on_event=lambda event: None
        )
        mirror = FeedMirror(feed)
        mirror.confirm(self.clock.monotonic())
        self.machine.suspend()
        self.assertGreaterEqual(self.clock.monotonic() - mirror.confirmed_at, SUSPENDED_SECONDS)

    async def pause_is_detected(self) -> None:
        pause_detector = PauseDetector(self.clock)
        running = asyncio.ensure_future(pause_detector.run())
        await asyncio.sleep(0.3)
        self.assertTrue(pause_detector.has_run_for(0.2))
        self.machine.suspend()
        self.assertFalse(pause_detector.has_run_for(0.2))
        running.cancel()

    async def idle_connection_is_not_reused(self) -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        address = NetworkAddress("127.0.0.1", server.sockets[0].getsockname()[1])
        stream = ObservedStream(socket.socket())
        await stream.connect((address.host, address.port))
        pool = ConnectionPool(self.clock)
        pool.put(address, stream, idle_seconds=2.0)
        self.assertTrue(pool.has(address))
        self.machine.suspend()
        self.assertIsNone(pool.take(address))
        server.close()

    async def usage_windows_follow_the_wall_clock(self) -> None:
        windows = WindowClock(self.clock)
        self.machine.suspend()
        self.assertAlmostEqual(windows.now(), self.clock.wall(), delta=0.1)

    async def request_times_out(self) -> None:
        workers = EmulatedWorkerPool(self.clock, response_seconds=0.5)
        workers.add("lookup-1", LOOKUPS)
        forwarder = forwarder_of(self.clock, workers)
        calling = asyncio.ensure_future(
            forwarder.forward(route(RequestKind.IDEMPOTENT), request("r", b"sound"))
        )
        await asyncio.sleep(0.05)
        self.machine.suspend()
        started_at = self.machine.monotonic()
        with self.assertRaises(RequestTimedOutError):
            await calling
        self.assertLess(self.machine.monotonic() - started_at, PROMPT_SECONDS)

    async def timers_expire(self) -> None:
        asleep = asyncio.ensure_future(self.clock.sleep(SUSPENDED_SECONDS))
        waiting = asyncio.ensure_future(
            self.clock.wait_for(asyncio.Event().wait(), SUSPENDED_SECONDS - 1.0)
        )
        await asyncio.sleep(0.05)
        self.machine.suspend()
        started_at = self.machine.monotonic()
        await asyncio.sleep(0.05)
        await asyncio.wait([asleep, waiting], timeout=SUSPENDED_SECONDS)
        self.assertLess(self.machine.monotonic() - started_at, PROMPT_SECONDS)
        self.assertIsInstance(waiting.exception(), DeadlineExceededError)

    def test_clock_includes_suspended_time(self) -> None:
        scenarios: tuple[Callable[[], Coroutine[None, None, None]], ...] = (
            self.clock_includes_suspension,
            self.lease_expires,
            self.mirror_age_includes_suspension,
            self.pause_is_detected,
            self.idle_connection_is_not_reused,
            self.usage_windows_follow_the_wall_clock,
            self.request_times_out,
            self.timers_expire,
        )
        for scenario in scenarios:
            with self.subTest(scenario=scenario.__name__):
                run_on_system_clock(scenario())


class SuspendableClock(SimulationClock):
    """Virtual clock that advances during a suspension while timers do not."""

    def __init__(self) -> None:
        self.suspended_seconds = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.suspended_seconds


class SuspendedBeforeReplies:
    """Peer client of a machine that is suspended while a reply waits in its socket."""

    def __init__(self, peers: LoopbackPeers, clock: SuspendableClock) -> None:
        self._peers = peers
        self._clock = clock
        self.suspend_on_reply = False
        self.is_suspended = False

    async def call(
        self, address: NetworkAddress, request: PeerRequest, timeout_seconds: float
    ) -> PeerReply:
        if self.is_suspended:
            raise PeerUnavailableError(str(address))
        reply = await self._peers.call(address, request, timeout_seconds)
        if self.suspend_on_reply and isinstance(request, FollowFeeds):
            self._clock.suspended_seconds += SUSPENDED_SECONDS
            self.is_suspended = True
        return reply


class FollowerTest(unittest.TestCase):
    def test_reply_from_before_a_suspension_is_stale_after_it(self) -> None:
        async def scenario(world: ServingWorld) -> None:
            clock = SuspendableClock()
            peers = SuspendedBeforeReplies(world.peers, clock)
            follower = WorldNode(world, 20, 0, clock=clock, peers=peers)
            for node in world.nodes:
                node.node.start((RecordingFeed().feed(),))
            await asyncio.sleep(4.0)
            follower.node.start((RecordingFeed().feed(),))
            await asyncio.sleep(8.0)
            self.assertLess(follower.node.configuration_age_seconds, 1.5)
            peers.suspend_on_reply = True
            follower.store.reachable = False
            await asyncio.sleep(1.5)
            self.assertTrue(peers.is_suspended)
            self.assertGreaterEqual(follower.node.configuration_age_seconds, SUSPENDED_SECONDS)

        run_in_world(scenario, node_count=16)
