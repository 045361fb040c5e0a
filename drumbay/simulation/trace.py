"""Trace of a simulation: a digest of all events and the most recent events in full."""

import asyncio
from collections import deque

import msgspec
import xxhash

DEFAULT_KEPT_EVENTS = 2000

TraceValue = str | int | float | bool | bytes | None


class TraceEvent(msgspec.Struct, frozen=True):
    """One event.

    Attributes:
        time_seconds: Virtual time.
        name: Kind of the event.
        values: Details, in an order fixed by the kind.
    """

    time_seconds: float
    name: str
    values: tuple[TraceValue, ...]


class Trace:
    """Collects the events of one simulation.

    Two runs with the same seed must have the same digest; a difference reveals
    nondeterminism.
    """

    def __init__(self, kept_events: int = DEFAULT_KEPT_EVENTS) -> None:
        """Create an empty trace that keeps the latest ``kept_events`` events."""
        self._hash = xxhash.xxh3_128()
        self._encoder = msgspec.msgpack.Encoder()
        self._recent: deque[TraceEvent] = deque(maxlen=kept_events)
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of events so far."""
        return self._count

    def record(self, name: str, *values: TraceValue) -> None:
        """Add one event at the current virtual time."""
        event = TraceEvent(asyncio.get_running_loop().time(), name, values)
        self._hash.update(self._encoder.encode(event))
        self._recent.append(event)
        self._count += 1

    def digest(self) -> str:
        """Return the hash of all events so far, in hexadecimal."""
        return self._hash.hexdigest()

    def between(self, start_seconds: float, end_seconds: float) -> tuple[TraceEvent, ...]:
        """Return the kept events of a virtual time span, ends included."""
        return tuple(
            event for event in self._recent if start_seconds <= event.time_seconds <= end_seconds
        )
