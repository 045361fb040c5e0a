"""Pool of idle HTTP connections for reuse."""

import socket

import msgspec
from tornado.iostream import IOStream

from drumbay.clock import Clock
from drumbay.comm.connection_registry import ConnectionRegistry, TrackedConnection
from drumbay.comm.network_address import NetworkAddress

MAX_IDLE_PER_ADDRESS = 16


class IdleConnection(msgspec.Struct, frozen=True):
    """An idle connection that may be reused until a monotonic time."""

    stream: IOStream
    usable_until: float
    connection: TrackedConnection | None

    def is_reusable(self, now: float) -> bool:
        """Return whether the connection is open and has received nothing since its response."""
        if now >= self.usable_until or self.stream.closed():
            return False
        # NOTE: IOStream has no public accessor for bytes that it has already read.
        if self.stream._read_buffer_size:
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Either surplus bytes that belong to no request, or the end of the connection.
        return False


class ConnectionPool:
    """Idle connections by address; the most recently used one is taken first."""

    def __init__(self, clock: Clock, connections: ConnectionRegistry | None = None) -> None:
        """Create an empty pool; ``connections`` tracks the connections opened for it."""
        self.connections = connections
        self._clock = clock
        self._idle: dict[NetworkAddress, list[IdleConnection]] = {}

    def take(self, address: NetworkAddress) -> IdleConnection | None:
        """Return a reusable idle connection if there is one; close those that are not."""
        now = self._clock.monotonic()
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_reusable(now):
                return connection
            connection.stream.close()
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
        stream: IOStream,
        idle_seconds: float,
        connection: TrackedConnection | None = None,
    ) -> None:
        """Add a connection whose response is complete."""
        connections = self._idle.setdefault(address, [])
        if len(connections) >= MAX_IDLE_PER_ADDRESS:
            connections.pop(0).stream.close()
        expires_at = self._clock.monotonic() + idle_seconds
        connections.append(IdleConnection(stream, expires_at, connection))
        if connection is not None:
            connection.is_replaceable = True

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.stream.close()
        self._idle.clear()
