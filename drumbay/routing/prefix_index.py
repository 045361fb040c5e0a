"""Estimates which prompt prefixes each engine holds in its prefix cache.

Prompts are identified by the hashes of their prefixes (``drumbay.backends.prefix_hash``).
Engines publish cache events when they store or evict a prefix; events may be late or missing.
A wrong entry costs performance, not correctness.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from drumbay.backends.interface import CacheEvent, CacheEventKind
from drumbay.backends.prefix_hash import BLOCK_CHARACTERS, prefix_hashes
from drumbay.identifiers import BackendId, WeightVersion

MAX_AFFINITY_BLOCKS = 64
DEFAULT_MAX_ENTRIES_PER_BACKEND = 512
"""Bounds the memory of a node that watches a hundred engines; see docs/CAPACITY.md."""

_NO_EVENT = -1


def affinity_hashes(model: str | None, prompt: str) -> tuple[str, ...]:
    """Return the prefix hashes of a prompt's first blocks, shortest prefix first.

    Uses the same hashes as the engines. Only whole blocks count, and at most
    ``MAX_AFFINITY_BLOCKS`` of them, which bounds the cost of routing long prompts. A request
    without a model has no hashes.
    """
    if model is None:
        return ()
    return prefix_hashes(model, prompt[: MAX_AFFINITY_BLOCKS * BLOCK_CHARACTERS])


@dataclass
class _EngineCacheEstimate:
    """Estimated cache of one engine: prefix hash to version, least recently stored first."""

    versions: OrderedDict[str, WeightVersion] = field(default_factory=OrderedDict)
    last_sequence: int = _NO_EVENT


class PrefixIndex:
    """Estimated prefix caches of the engines, by cached prefix."""

    def __init__(self, max_entries_per_backend: int = DEFAULT_MAX_ENTRIES_PER_BACKEND) -> None:
        """Create an empty index that keeps at most this many prefixes per engine."""
        self._max_entries = max_entries_per_backend
        self._caches: dict[BackendId, _EngineCacheEstimate] = {}
        self._holders: dict[str, dict[BackendId, WeightVersion]] = {}

    def last_sequence(self, backend_id: BackendId) -> int:
        """Return the sequence number of the last event applied; -1 if none."""
        cache = self._caches.get(backend_id)
        return _NO_EVENT if cache is None else cache.last_sequence

    def apply_events(self, backend_id: BackendId, events: Iterable[CacheEvent]) -> int:
        """Apply cache events of one engine.

        Events already applied are ignored. A gap in the sequence numbers clears the engine's
        entries, because an eviction may have been lost.

        Returns:
            The number of gaps found.
        """
        cache = self._caches.setdefault(backend_id, _EngineCacheEstimate())
        gap_count = 0
        for event in sorted(events, key=lambda entry: entry.sequence):
            if event.sequence <= cache.last_sequence:
                continue
            is_first = cache.last_sequence == _NO_EVENT
            if not is_first and event.sequence > cache.last_sequence + 1:
                gap_count += 1
                self._clear(backend_id, cache)
            cache.last_sequence = event.sequence
            self._apply(backend_id, cache, event)
        return gap_count

    def record_dispatch(
        self, backend_id: BackendId, hashes: tuple[str, ...], weight_version: WeightVersion
    ) -> None:
        """Record the prefixes of a prompt sent to an engine, before its cache events arrive."""
        cache = self._caches.setdefault(backend_id, _EngineCacheEstimate())
        for prefix_hash in hashes:
            self._store(backend_id, cache, prefix_hash, weight_version)

    def remove_backend(self, backend_id: BackendId) -> None:
        """Remove the entries of an engine, e.g. after it restarted."""
        cache = self._caches.pop(backend_id, None)
        if cache is not None:
            self._clear(backend_id, cache)

    def affinities(
        self, hashes: tuple[str, ...], weight_version: WeightVersion | None = None
    ) -> dict[BackendId, float]:
        """Return the estimated share of a prompt's prefix blocks that each engine caches.

        Args:
            hashes: Result of :func:`affinity_hashes`.
            weight_version: Count only prefixes computed with this version; ``None``: any.

        Returns:
            Shares above 0 and up to 1 by engine; engines without a cached block are absent.
        """
        shares: dict[BackendId, float] = {}
        for block_count in range(len(hashes), 0, -1):
            holders = self._holders.get(hashes[block_count - 1])
            if holders is None:
                continue
            share = block_count / len(hashes)
            for backend_id, version in holders.items():
                if weight_version is None or version == weight_version:
                    shares.setdefault(backend_id, share)
        return shares

    def _apply(self, backend_id: BackendId, cache: _EngineCacheEstimate, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.STORED:
            self._store(backend_id, cache, event.prefix_hash, event.weight_version)
        elif cache.versions.get(event.prefix_hash) == event.weight_version:
            del cache.versions[event.prefix_hash]
            self._remove_holder(event.prefix_hash, backend_id)

    def _store(
        self,
        backend_id: BackendId,
        cache: _EngineCacheEstimate,
        prefix_hash: str,
        weight_version: WeightVersion,
    ) -> None:
        cache.versions[prefix_hash] = weight_version
        cache.versions.move_to_end(prefix_hash)
        self._holders.setdefault(prefix_hash, {})[backend_id] = weight_version
        if len(cache.versions) > self._max_entries:
            oldest, _ = cache.versions.popitem(last=False)
            self._remove_holder(oldest, backend_id)

    def _clear(self, backend_id: BackendId, cache: _EngineCacheEstimate) -> None:
        for prefix_hash in cache.versions:
            self._remove_holder(prefix_hash, backend_id)
        cache.versions.clear()

    def _remove_holder(self, prefix_hash: str, backend_id: BackendId) -> None:
        holders = self._holders.get(prefix_hash)
        if holders is None:
            return
        holders.pop(backend_id, None)
        if not holders:
            del self._holders[prefix_hash]
