"""Choice of the log that a new owner continues, from the promises of a majority.

Lamport, "Paxos Made Simple" (2001), section 3: per position, the accepted entry with the
highest ballot among a majority is the only one that can have been chosen.
"""

from collections.abc import Iterable

import msgspec

from drumbay.delivery.log_entries import (
    NoOperation,
    StreamSnapshot,
    decode_snapshot,
    encode_entry,
)
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
    entries below it. A position that no history holds was not chosen; it gets an entry
    without effect.
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
    entries = [
        highest[position].entry if position in highest else encode_entry(NoOperation())
        for position in range(newest.next_position, end)
    ]
    return RecoveredLog(snapshot=newest, entries=tuple(entries))
