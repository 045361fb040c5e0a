"""Registry of outgoing connections, to detect those that have gone silent.

When a middlebox such as a firewall loses its state, all connections open at that moment go silent
without a reset, while new connections work. Only a timeout reveals this, so each connection records
when a request was sent and when data was last received.
"""

from collections.abc import Callable
from typing import Protocol
from weakref import WeakSet

from drumbay.clock import Clock
from drumbay.observability.logs import log_event

MIN_REPORTED_SILENCE_SECONDS = 0.5
"""An abandoned request is reported if nothing was received for this long. Much longer than usual
response times."""


RECENTLY_ACTIVE_SECONDS = 0.35
"""A connection that received data within this time counts as alive. It is many times the interval
between the events of a stream, and less than any silence that counts as a stall."""


class Closable(Protocol):
    """The stream of a connection."""

    def close(self) -> None:
        """Close the connection."""
        ...

    def closed(self) -> bool:
        """Return whether the connection is closed."""
        ...


class TrackedConnection:
    """An outgoing connection. Times are monotonic seconds.

    Attributes:
        peer: Address of the peer, for logs.
        opened_at: When the connection was established.
        request_sent_at: When the pending request was sent; ``None`` if there is none.
        last_received_at: When data was last received, or the connection was established.
        is_replaceable: Whether its user continues over another connection if it is closed: it is
            idle in a pool, or its request is repeatable and has no response yet.
    """

    def __init__(self, registry: "ConnectionRegistry", stream: Closable, peer: str) -> None:
        """Track a newly established connection."""
        self._registry = registry
        self._stream = stream
        self.peer = peer
        self.opened_at = registry.clock.monotonic()
        self.last_received_at = self.opened_at
        self.request_sent_at: float | None = None
        self.is_replaceable = False

    def record_request_sent(self) -> None:
        """Record that a request is sent."""
        self.request_sent_at = self._registry.clock.monotonic()

    def record_received(self) -> None:
        """Record that data was received."""
        self.last_received_at = self._registry.clock.monotonic()

    def record_response_complete(self) -> None:
        """Record that the response is complete."""
        self.request_sent_at = None

    def close_if_silent(self, since: float) -> bool:
        """Close a replaceable connection that has been silent since a time; return whether."""
        if not self.is_replaceable or self.last_received_at >= since or self._stream.closed():
            return False
        self._stream.close()
        return True

    def record_abandoned(self, allowed_silence_seconds: float = 0.0) -> None:
        """Record that the pending request was abandoned.

        ``allowed_silence_seconds`` is how long the peer was allowed to send nothing.
        """
        if self.request_sent_at is None or self._stream.closed():
            return
        now = self._registry.clock.monotonic()
        unheard_seconds = now - max(
            self.request_sent_at + allowed_silence_seconds, self.last_received_at
        )
        self.request_sent_at = None
        if unheard_seconds >= MIN_REPORTED_SILENCE_SECONDS:
            self._registry.report_silent(self, unheard_seconds)


class ConnectionRegistry:
    """All open connections that this process has established."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty registry."""
        self.clock = clock
        self._connections: WeakSet[TrackedConnection] = WeakSet()
        self._on_silent: Callable[[], None] = _do_nothing

    def set_silence_callback(self, on_silent: Callable[[], None]) -> None:
        """Call ``on_silent`` for each connection that is reported as silent."""
        self._on_silent = on_silent

    def add(self, stream: Closable, peer: str) -> TrackedConnection:
        """Track a new connection for as long as its user holds the returned object."""
        connection = TrackedConnection(self, stream, peer)
        self._connections.add(connection)
        return connection

    def close_silent(self) -> None:
        """Close all connections that may be dead, after one of them was found to be.

        All connections open at that time may be affected. Without this, each would cost a request
        or a watch its own timeout.
        """
        since = self.clock.monotonic() - RECENTLY_ACTIVE_SECONDS
        closed = sum(connection.close_if_silent(since) for connection in list(self._connections))
        log_event(
            "connections_renewed",
            level="WARNING",
            closed=closed,
            connections=len(self._connections),
        )

    def report_silent(self, connection: TrackedConnection, unheard_seconds: float) -> None:
        """Report a connection whose request was abandoned without receiving data."""
        self._on_silent()
        log_event(
            "connection_silent",
            level="WARNING",
            peer=connection.peer,
            unheard_seconds=round(unheard_seconds, 3),
            age_seconds=round(self.clock.monotonic() - connection.opened_at, 3),
        )


def _do_nothing() -> None:
    """Default callback, which does nothing."""
