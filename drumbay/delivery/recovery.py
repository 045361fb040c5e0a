"""Choice of the log that a new owner continues, from the promises of a majority.

Lamport, "Paxos Made Simple" (2001), section 3: per position, the accepted entry with the
highest ballot among a majority is the only one that can have been chosen.
"""

from collections.abc import Iterable

import msgspec

from drumbay.delivery.exceptions import LogInvariantError
from drumbay.delivery.log_entries import StreamSnapshot, decode_snapshot
from drumbay.delivery.messages import AcceptedEntry


class ReplicaHistory(msgspec.Struct, frozen=True, kw_only=True):
    """All pages of one replica's promise."""

    snapshot: bytes | None
    entries: tuple[AcceptedEntry, ...]


class RecoveredLog(msgspec.Struct, frozen=True, kw_only=True):
    """What a new owner must re-accept: consecutive entries above a snapshot."""

    snapshot: StreamSnapshot
    entries: tuple[bytes, ...]


def majority(member_count: int) -> int:
    """Return how many of the members are more than half."""
    return member_count // 2 + 1


def recover_log(histories: Iterable[ReplicaHistory]) -> RecoveredLog:
    """Combine the histories of a majority.

    A snapshot holds only chosen entries, so the one that reaches furthest replaces the
    entries below it. Owners propose one entry at a time, so a majority that holds a later
    position holds all earlier ones too.

    Raises:
        LogInvariantError: A position is missing, as after replicas lost their disks.
    """
    newest = StreamSnapshot()
    highest: dict[int, AcceptedEntry] = {}
    for history in histories:
        if history.snapshot is not None:
            snapshot = decode_snapshot(history.snapshot)
            newest = max(newest, snapshot, key=lambda held: held.next_position)
        for entry in history.entries:
            held = highest.get(entry.position)
            if held is None or entry.ballot > held.ballot:
                highest[entry.position] = entry
    end = max(highest, default=-1) + 1
    positions = range(newest.next_position, end)
    missing = [position for position in positions if position not in highest]
    if missing:
        raise LogInvariantError(f"no replica holds position {missing[0]} of {end}")
    entries = tuple(highest[position].entry for position in positions)
    return RecoveredLog(snapshot=newest, entries=entries)
