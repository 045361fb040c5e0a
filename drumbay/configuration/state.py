"""The configuration applied on one node: entries, change log and digest. No I/O."""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum

import msgspec
import xxhash

from drumbay.configuration.messages import (
    NO_REVISION,
    REPLICA_SET_KEY,
    ConfigurationEntry,
    ConfigurationUpdate,
    ReplicaSet,
)
from drumbay.identifiers import Revision

DELTA_LOG_ENTRIES = 1024
"""Changes kept to send as deltas; a peer that is further behind gets a snapshot."""


class ApplyOutcome(StrEnum):
    """Result of applying an update."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"


def _entry_hash(entry: ConfigurationEntry) -> int:
    return xxhash.xxh3_64_intdigest(f"{entry.key}\x00{entry.mod_revision}".encode())


def _entry_size_bytes(entry: ConfigurationEntry) -> int:
    return len(entry.key) + len(entry.value or b"")


def decode_replica_set(entry: ConfigurationEntry | None) -> ReplicaSet:
    """Return the replica set of an entry; empty if the key is absent."""
    if entry is None or entry.value is None:
        return ReplicaSet(members=())
    return msgspec.msgpack.decode(entry.value, type=ReplicaSet)


def replica_set_in(update: ConfigurationUpdate) -> ReplicaSet | None:
    """Return the replica set in an update; ``None`` if the update does not change it."""
    newest: ConfigurationEntry | None = None
    for entry in update.entries:
        if entry.key == REPLICA_SET_KEY:
            newest = entry
    if newest is not None:
        return decode_replica_set(newest)
    return ReplicaSet(members=()) if update.base_revision is None else None


class ConfigurationState:
    """Entries that are complete up to one revision, which never decreases.

    The revision is that of the key-value service: every change of the prefix up to it is
    applied, and later entries at or below it are ignored as old.
    """

    def __init__(self, log_entries: int = DELTA_LOG_ENTRIES) -> None:
        """Create an empty state at revision 0."""
        self._entries: dict[str, ConfigurationEntry] = {}
        self._log: deque[ConfigurationEntry] = deque()
        self._log_entries = log_entries
        self._log_base = NO_REVISION
        self._revision = NO_REVISION
        self._content_hash = 0
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of all keys and values."""
        return self._size_bytes

    @property
    def revision(self) -> Revision:
        """Return the revision up to which every change is applied."""
        return self._revision

    @property
    def content_hash(self) -> int:
        """Return the hash over keys and modification revisions."""
        return self._content_hash

    @property
    def replica_set(self) -> ReplicaSet:
        """Return the nodes that store this configuration on disk."""
        return decode_replica_set(self._entries.get(REPLICA_SET_KEY))

    def entry(self, key: str) -> ConfigurationEntry | None:
        """Return the entry of a key, if existing."""
        return self._entries.get(key)

    def entries(self) -> tuple[ConfigurationEntry, ...]:
        """Return all entries, sorted by key."""
        return tuple(self._entries[key] for key in sorted(self._entries))

    def classify(self, update: ConfigurationUpdate) -> ApplyOutcome:
        """Return the outcome that :meth:`apply` would have."""
        if update.revision <= self._revision:
            return ApplyOutcome.OLD
        if update.base_revision is not None and update.base_revision > self._revision:
            return ApplyOutcome.GAP
        return ApplyOutcome.APPLIED

    def apply(self, update: ConfigurationUpdate) -> ApplyOutcome:
        """Apply a delta or a snapshot unless it is old or would leave a gap."""
        outcome = self.classify(update)
        if outcome is not ApplyOutcome.APPLIED:
            return outcome
        if update.base_revision is None:
            self._replace(update.entries)
            self._log.clear()
            self._log_base = update.revision
        else:
            for entry in update.entries:
                if self._is_newer(entry):
                    self._set(entry)
                    self._append_to_log(entry)
        self._revision = update.revision
        return outcome

    def _is_newer(self, entry: ConfigurationEntry) -> bool:
        existing = self._entries.get(entry.key)
        if existing is not None and entry.mod_revision <= existing.mod_revision:
            return False
        return entry.mod_revision > self._revision

    def update_since(self, revision: Revision) -> ConfigurationUpdate | None:
        """Return the changes after ``revision``: a delta if the log has them, else a snapshot."""
        if revision >= self._revision:
            return None
        if revision < self._log_base:
            return self.snapshot()
        missing = tuple(entry for entry in self._log if entry.mod_revision > revision)
        return ConfigurationUpdate(revision=self._revision, base_revision=revision, entries=missing)

    def snapshot(self) -> ConfigurationUpdate:
        """Return a snapshot of all entries."""
        ordered = sorted(self._entries.values(), key=lambda entry: (entry.mod_revision, entry.key))
        return ConfigurationUpdate(
            revision=self._revision, base_revision=None, entries=tuple(ordered)
        )

    def copy(self) -> "ConfigurationState":
        """Return an independent state with the same entries and an empty log."""
        duplicate = ConfigurationState(self._log_entries)
        duplicate.apply(self.snapshot())
        return duplicate

    def _replace(self, entries: Iterable[ConfigurationEntry]) -> None:
        self._entries = {}
        self._content_hash = 0
        self._size_bytes = 0
        for entry in entries:
            self._set(entry)

    def _set(self, entry: ConfigurationEntry) -> None:
        previous = self._entries.pop(entry.key, None)
        if previous is not None:
            self._content_hash ^= _entry_hash(previous)
            self._size_bytes -= _entry_size_bytes(previous)
        if entry.value is not None:
            self._entries[entry.key] = entry
            self._content_hash ^= _entry_hash(entry)
            self._size_bytes += _entry_size_bytes(entry)

    def _append_to_log(self, entry: ConfigurationEntry) -> None:
        self._log.append(entry)
        while len(self._log) > self._log_entries:
            self._log_base = self._log.popleft().mod_revision
