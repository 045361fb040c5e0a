"""Prefix cache of an emulated engine and the feed of its events."""

from collections import OrderedDict, deque

import msgspec

from drumbay.backends.interface import CacheEvent, CacheEventKind
from drumbay.identifiers import WeightVersion


class CacheKey(msgspec.Struct, frozen=True):
    """Key of a cached block; cached values are valid for one weight version."""

    weight_version: WeightVersion
    prefix_hash: str


class PrefixCache:
    """LRU cache of prompt prefix blocks."""

    def __init__(self, capacity_blocks: int) -> None:
        """Create an empty cache of at most ``capacity_blocks`` blocks."""
        self._capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[CacheKey, None] = OrderedDict()
        self._next_sequence = 1

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_blocks(self, version: WeightVersion, hashes: tuple[str, ...]) -> int:
        """Return the number of leading blocks that are cached, and mark them as used."""
        count = 0
        for prefix_hash in hashes:
            key = CacheKey(version, prefix_hash)
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            count += 1
        return count

    def store(self, version: WeightVersion, hashes: tuple[str, ...]) -> list[CacheEvent]:
        """Cache all blocks of a prefix and return the events, including evictions."""
        events: list[CacheEvent] = []
        for prefix_hash in hashes:
            key = CacheKey(version, prefix_hash)
            if key in self._blocks:
                self._blocks.move_to_end(key)
                continue
            self._blocks[key] = None
            events.append(self._event(CacheEventKind.STORED, key))
            events.extend(self._evict_excess())
        return events

    def _evict_excess(self) -> list[CacheEvent]:
        events: list[CacheEvent] = []
        while len(self._blocks) > self._capacity_blocks:
            key, _ = self._blocks.popitem(last=False)
            events.append(self._event(CacheEventKind.EVICTED, key))
        return events

    def _event(self, kind: CacheEventKind, key: CacheKey) -> CacheEvent:
        sequence = self._next_sequence
        self._next_sequence += 1
        return CacheEvent(
            sequence=sequence,
            kind=kind,
            prefix_hash=key.prefix_hash,
            weight_version=key.weight_version,
        )


class _DelayedEvent(msgspec.Struct, frozen=True):
    published_at_seconds: float
    event: CacheEvent


class CacheEventFeed:
    """Bounded feed of cache events that are published after a delay."""

    def __init__(self, delay_seconds: float, capacity: int) -> None:
        """Create a feed that keeps the newest ``capacity`` events."""
        self._delay_seconds = delay_seconds
        self._events: deque[_DelayedEvent] = deque(maxlen=capacity)

    def append(self, now: float, event: CacheEvent) -> None:
        """Add an event that is published after the delay."""
        self._events.append(_DelayedEvent(now + self._delay_seconds, event))

    def published(self, now: float, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Return the published events after a sequence number, oldest first."""
        return tuple(
            delayed.event
            for delayed in self._events
            if delayed.published_at_seconds <= now and delayed.event.sequence > after_sequence
        )
