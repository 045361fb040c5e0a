"""Recovery of a stream's log from the promises of a majority.

Lamport, "Paxos Made Simple" (2001), section 3: at each position, only the accepted entry with the
highest ballot among a majority can have been chosen.
"""

from collections.abc import Iterable

import msgspec

from drumbay.delivery.exceptions import LogInvariantError
from drumbay.delivery.log_entries import StreamSnapshot, decode_snapshot
from drumbay.delivery.messages import AcceptedEntry


class ReplicaHistory(msgspec.Struct, frozen=True, kw_only=True):
    """The accepted entries of one replica, from all pages of its promise."""

    snapshot: bytes | None
    entries: tuple[AcceptedEntry, ...]


class RecoveredLog(msgspec.Struct, frozen=True, kw_only=True):
    """A snapshot and the consecutive entries after it, which must be accepted again."""

    snapshot: StreamSnapshot
    entries: tuple[bytes, ...]


def majority(member_count: int) -> int:
    """Return the number of members that form a majority."""
    return member_count // 2 + 1


def recover_log(histories: Iterable[ReplicaHistory]) -> RecoveredLog:
    """Combine the histories of a majority.

    A snapshot contains only chosen entries, so the newest one replaces the entries below it.
    Owners propose one entry at a time, so there are no gaps below the last position.

    Raises:
        LogInvariantError: A position is missing, e.g. because replicas lost their disks.
    """
    newest = StreamSnapshot()
    entry_by_position: dict[int, AcceptedEntry] = {}
    for history in histories:
        if history.snapshot is not None:
            snapshot = decode_snapshot(history.snapshot)
            newest = max(newest, snapshot, key=lambda other: other.next_position)
        for entry in history.entries:
            other = entry_by_position.get(entry.position)
            if other is None or entry.ballot > other.ballot:
                entry_by_position[entry.position] = entry
    end = max(entry_by_position, default=-1) + 1
    positions = range(newest.next_position, end)
    missing = [position for position in positions if position not in entry_by_position]
    if missing:
        raise LogInvariantError(f"no replica holds position {missing[0]} of {end}")
    entries = tuple(entry_by_position[position].entry for position in positions)
    return RecoveredLog(snapshot=newest, entries=entries)
