"""Pool of idle HTTP connections for reuse."""

import asyncio
import socket
from collections.abc import Callable
from enum import StrEnum

import msgspec

from drumbay.clock import Clock
from drumbay.comm.connection_registry import ConnectionRegistry, TrackedConnection
from drumbay.comm.network_address import NetworkAddress
from drumbay.comm.observed_stream import ObservedStream
from drumbay.comm.response_guard import RESPONSE_GUARD
from drumbay.comm.transfer_limits import ExcessReason

MAX_IDLE_PER_ADDRESS = 16
IDLE_CHECK_SECONDS = 0.5
"""Interval at which idle connections that cannot be used any more are closed."""


class IdleState(StrEnum):
    """Whether an idle connection can be used."""

    REUSABLE = "reusable"
    ENDED = "ended"
    """It has expired or is closed."""
    HAS_SURPLUS_BYTES = "has_surplus_bytes"
    """It has received bytes since its last response, which belong to no request."""


class IdleConnection(msgspec.Struct, frozen=True):
    """An idle connection that may be reused until a monotonic time.

    ``last_request_id`` is the id of the request that it served last, if that has one.
    """

    stream: ObservedStream
    usable_until: float
    connection: TrackedConnection | None
    last_request_id: str | None

    def state(self, now: float) -> IdleState:
        """Return whether the connection is open and has received nothing since its response."""
        if self.stream.closed():
            return IdleState.ENDED
        # NOTE: IOStream has no public accessor for bytes that it has already read.
        if self.stream._read_buffer_size:
            return IdleState.HAS_SURPLUS_BYTES
        if now >= self.usable_until:
            return IdleState.ENDED
        try:
            surplus = self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return IdleState.REUSABLE
        except OSError:
            return IdleState.ENDED
        return IdleState.HAS_SURPLUS_BYTES if surplus else IdleState.ENDED


class ConnectionPool:
    """Idle connections by address; the most recently used one is taken first."""

    def __init__(self, clock: Clock, connections: ConnectionRegistry | None = None) -> None:
        """Create an empty pool; ``connections`` tracks the connections opened for it."""
        self.connections = connections
        self._clock = clock
        self._idle: dict[NetworkAddress, list[IdleConnection]] = {}
        self._check: asyncio.TimerHandle | None = None
        self._on_closed_by_peer: Callable[[NetworkAddress], None] = lambda _: None

    def set_close_listener(self, listener: Callable[[NetworkAddress], None]) -> None:
        """Call ``listener`` with the address of each idle connection that its peer has closed."""
        self._on_closed_by_peer = listener

    def take(self, address: NetworkAddress, request_id: str | None = None) -> IdleConnection | None:
        """Return a reusable idle connection if there is one; close those that are not.

        One that has just served the request with the given id is left in the pool.
        """
        now = self._clock.monotonic()
        connections = self._idle.get(address, [])
        for connection in reversed(list(connections)):
            state = connection.state(now)
            if state is not IdleState.REUSABLE:
                connections.remove(connection)
                self._close(address, connection, state, now)
            elif request_id is None or connection.last_request_id != request_id:
                connections.remove(connection)
                return connection
        if not connections:
            self._idle.pop(address, None)
        return None

    def has(self, address: NetworkAddress) -> bool:
        """Return whether there is an idle connection; it may still turn out to be closed."""
        now = self._clock.monotonic()
        return any(
            now < connection.usable_until and not connection.stream.closed()
            for connection in self._idle.get(address, [])
        )

    def put(
        self,
        address: NetworkAddress,
        stream: ObservedStream,
        idle_seconds: float,
        connection: TrackedConnection | None = None,
        last_request_id: str | None = None,
    ) -> None:
        """Add a connection whose response is complete."""
        connections = self._idle.setdefault(address, [])
        if len(connections) >= MAX_IDLE_PER_ADDRESS:
            connections.pop(0).stream.close()
        expires_at = self._clock.monotonic() + idle_seconds
        connections.append(IdleConnection(stream, expires_at, connection, last_request_id))
        if connection is not None:
            connection.is_replaceable = True
        if self._check is None:
            self._schedule_check()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(IDLE_CHECK_SECONDS, self._close_unusable)

    def _close_unusable(self) -> None:
        """Close the connections that cannot be used any more.

        A peer that sends without end would keep filling buffers otherwise.
        """
        now = self._clock.monotonic()
        for address, connections in list(self._idle.items()):
            reusable: list[IdleConnection] = []
            for connection in connections:
                state = connection.state(now)
                if state is IdleState.REUSABLE:
                    reusable.append(connection)
                else:
                    self._close(address, connection, state, now)
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]
        self._check = None
        if self._idle:
            self._schedule_check()

    def _close(
        self, address: NetworkAddress, connection: IdleConnection, state: IdleState, now: float
    ) -> None:
        """Close a connection that cannot be used any more."""
        if state is IdleState.HAS_SURPLUS_BYTES:
            RESPONSE_GUARD.report(ExcessReason.SURPLUS_BYTES, str(address))
        connection.stream.close()
        if state is IdleState.ENDED and now < connection.usable_until:
            self._on_closed_by_peer(address)

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.stream.close()
        self._idle.clear()
        if self._check is not None:
            self._check.cancel()
            self._check = None
