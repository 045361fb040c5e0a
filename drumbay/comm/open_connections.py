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
    """

    def __init__(self, registry: "OpenConnections", stream: Closable, peer: str) -> None:
        """Take over a connection that has just come up."""
        self._registry = registry
        self._stream = stream
        self.peer = peer
        self.opened_at = registry.clock.monotonic()
        self.heard_at = self.opened_at
        self.asked_at: float | None = None

    def note_asked(self) -> None:
        """Note that a question goes out."""
        self.asked_at = self._registry.clock.monotonic()

    def note_heard(self) -> None:
        """Note that bytes have come."""
        self.heard_at = self._registry.clock.monotonic()

    def note_answered(self) -> None:
        """Note that the answer is whole."""
        self.asked_at = None

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
