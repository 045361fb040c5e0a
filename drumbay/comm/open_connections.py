"""The connections that this process has opened, and when each peer was last heard on them.

A path can go silent for every connection that is open at a moment, as when a device on the way
loses its state: no reset, no end, while new connections work. Nothing but time shows that, so
each connection remembers when it was asked and when its peer was last heard.
"""

from collections.abc import Callable
from typing import Protocol
from weakref import WeakSet

from drumbay.clock import Clock
from drumbay.observability.logs import log_event

SILENCE_SECONDS = 0.5
"""A question without a byte of an answer for so long is logged when it is given up: several times
what a report, an order, a lookup or a call of the store takes."""


RECENT_SECONDS = 0.35
"""A connection on which the peer was heard so lately is alive: many times the 0.04 s between the
events of a stream, and less than any silence that is taken for one."""


class Closable(Protocol):
    """The stream of a connection."""

    def close(self) -> None:
        """Close the connection."""
        ...

    def closed(self) -> bool:
        """Return whether the connection is closed."""
        ...


class OpenConnection:
    """One connection that this process has opened. Times are monotonic seconds.

    Attributes:
        peer: Where it goes, for logs.
        opened_at: When it came up.
        asked_at: When the last question went out on it; ``None`` once that is answered.
        heard_at: When the peer was last heard: at the opening, or with the last byte.
        is_replaceable: Whether its holder goes on over another one by itself if it is closed: it
            waits in a pool, or its question can be asked again and has no answer yet.
    """

    def __init__(self, registry: "OpenConnections", stream: Closable, peer: str) -> None:
        """Take over a connection that has just come up."""
        self._registry = registry
        self._stream = stream
        self.peer = peer
        self.opened_at = registry.clock.monotonic()
        self.heard_at = self.opened_at
        self.asked_at: float | None = None
        self.is_replaceable = False

    def note_asked(self) -> None:
        """Note that a question goes out."""
        self.asked_at = self._registry.clock.monotonic()

    def note_heard(self) -> None:
        """Note that bytes have come."""
        self.heard_at = self._registry.clock.monotonic()

    def note_answered(self) -> None:
        """Note that the answer is whole."""
        self.asked_at = None

    def close_if_unheard(self, since: float) -> bool:
        """Close it if it can be replaced and has been silent since a time; return whether."""
        if not self.is_replaceable or self.heard_at >= since or self._stream.closed():
            return False
        self._stream.close()
        return True

    def note_given_up(self, expected_seconds: float = 0.0) -> None:
        """Note that nobody waits for the answer any more.

        ``expected_seconds`` is how long the peer was allowed to take.
        """
        if self.asked_at is None or self._stream.closed():
            return
        now = self._registry.clock.monotonic()
        unheard_seconds = now - max(self.asked_at + expected_seconds, self.heard_at)
        self.asked_at = None
        if unheard_seconds >= SILENCE_SECONDS:
            self._registry.report_silent(self, unheard_seconds)


class OpenConnections:
    """Every connection that this process has opened and not closed."""

    def __init__(self, clock: Clock) -> None:
        """Start without a connection."""
        self.clock = clock
        self._connections: WeakSet[OpenConnection] = WeakSet()
        self._on_silent: Callable[[], None] = _ignore

    def count_silent_with(self, on_silent: Callable[[], None]) -> None:
        """Call ``on_silent`` for each connection that was given up unheard."""
        self._on_silent = on_silent

    def add(self, stream: Closable, peer: str) -> OpenConnection:
        """Remember a connection that has just come up, until its holder lets it go."""
        connection = OpenConnection(self, stream, peer)
        self._connections.add(connection)
        return connection

    def close_unheard(self) -> None:
        """Close what may have fallen silent, after one open connection was found to have.

        New connections work in the same moment, and all that was open may have gone with that one:
        found one by one, each costs a request or a watch its own time limit.
        """
        since = self.clock.monotonic() - RECENT_SECONDS
        closed = sum(connection.close_if_unheard(since) for connection in list(self._connections))
        log_event(
            "connections_renewed",
            level="WARNING",
            closed=closed,
            connections=len(self._connections),
        )

    def report_silent(self, connection: OpenConnection, unheard_seconds: float) -> None:
        """Log a connection that was given up without a word from its peer."""
        self._on_silent()
        log_event(
            "connection_silent",
            level="WARNING",
            peer=connection.peer,
            unheard_seconds=round(unheard_seconds, 3),
            age_seconds=round(self.clock.monotonic() - connection.opened_at, 3),
        )


def _ignore() -> None:
    """Count nothing: nobody asked for it."""
