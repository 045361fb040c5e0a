"""Handling of membership updates: merging, forwarding and refuting them."""

import msgspec

from drumbay.identifiers import NodeId
from drumbay.membership.dissemination import DisseminationQueue
from drumbay.membership.local_health import LocalHealth
from drumbay.membership.member_table import MemberTable, TableChange
from drumbay.membership.probe_schedule import ProbeSchedule
from drumbay.membership.records import (
    NO_ACCUSER,
    Member,
    MemberChange,
    MemberChangeKind,
    MemberState,
    StateUpdate,
    boot_mark_of,
    state_update_of,
)
from drumbay.membership.suspicion import SuspicionTimers


class UpdateHandler:
    """Applies updates to the member table and updates timers, schedule and queue accordingly."""

    def __init__(
        self,
        table: MemberTable,
        queue: DisseminationQueue,
        suspicions: SuspicionTimers,
        schedule: ProbeSchedule,
        health: LocalHealth,
    ) -> None:
        """Create a handler without pending changes."""
        self._table = table
        self._queue = queue
        self._suspicions = suspicions
        self._schedule = schedule
        self._health = health
        self._changes: list[MemberChange] = []
        self._foreign_boot_marks: dict[int, None] = {}

    def drain_changes(self) -> tuple[MemberChange, ...]:
        """Return and clear the pending changes, in order."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def merge_record(self, now: float, record: Member) -> bool:
        """Apply a full record and forward it if it changed the table; return whether it did."""
        if record.node_id == self._table.self_member.node_id:
            self._handle_update_about_self(now, state_update_of(record))
            return False
        change = self._table.apply_record(now, record)
        if change is None:
            return False
        self._process_change(now, change, record.node_id)
        self._queue.add(record)
        return True

    def merge_update(self, now: float, update: StateUpdate) -> None:
        """Apply a compact update and forward it if it changed the table."""
        if update.node_id == self._table.self_member.node_id:
            self._handle_update_about_self(now, update)
            return
        if update.state is MemberState.SUSPECT and self._is_known_suspicion(update):
            self._record_suspicion(now, update.node_id, update.incarnation, update.accuser)
            return
        change = self._table.apply_update(now, update)
        if change is not None:
            self._process_change(now, change, update.accuser)
            self._queue.add(update)
        else:
            self._requeue_newer_state(update)

    def merge_synced_updates(self, now: float, updates: tuple[StateUpdate, ...]) -> bool:
        """Apply the updates of an anti-entropy exchange; return whether the table changed.

        NOTE: suspicions, and deaths of reachable members, are not merged. After a partition each
        side considers the other dead, and merging both views would declare every member dead.
        A reachable member that a peer considers dead is probed next instead.
        """
        any_change = False
        for update in updates:
            if update.node_id == self._table.self_member.node_id:
                self._handle_update_about_self(now, update)
                continue
            known = self._table.get(update.node_id)
            if known is not None and known.is_reachable and update.state is MemberState.DEAD:
                self._schedule.probe_next(known)
                continue
            if update.state is MemberState.SUSPECT:
                update = msgspec.structs.replace(update, state=MemberState.ALIVE)
            change = self._table.apply_update(now, update)
            if change is not None:
                self._process_change(now, change, NO_ACCUSER)
                self._queue.add(update)
                any_change = True
        return any_change

    def merge_synced_members(self, now: float, members: tuple[Member, ...]) -> bool:
        """Apply records that this node requested; return whether the table changed."""
        any_change = False
        for record in members:
            if record.node_id == self._table.self_member.node_id:
                self._handle_update_about_self(now, state_update_of(record))
                continue
            if record.state is MemberState.SUSPECT:
                record = msgspec.structs.replace(record, state=MemberState.ALIVE)
            change = self._table.apply_record(now, record)
            if change is None:
                continue
            any_change = True
            self._process_change(now, change, NO_ACCUSER)
            if change.previous is not None:
                # New members announce themselves, but the announcement of a restart may be lost.
                self._queue.add(record)
        return any_change

    def suspect(self, now: float, target: Member) -> None:
        """Suspect a member that did not acknowledge this node's probe."""
        member = self._table.get(target.node_id)
        if member is None or member.incarnation != target.incarnation:
            # The member has announced a new incarnation since the probe started.
            return
        if member.is_reachable:
            suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
            self.merge_update(now, state_update_of(suspect, self._table.self_member.node_id))

    def expire_suspicions(self, now: float) -> None:
        """Declare members dead whose suspicion has timed out."""
        for node_id in self._suspicions.expired(now):
            self._suspicions.end(node_id)
            member = self._table.get(node_id)
            if member is not None and member.state is MemberState.SUSPECT:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self.merge_update(now, state_update_of(dead))

    def announce_leave(self, now: float) -> None:
        """Announce that this node leaves."""
        own = self._table.self_member
        if own.state is MemberState.LEFT:
            return
        self._table.set_self(now, msgspec.structs.replace(own, state=MemberState.LEFT))
        self._announce_self(now, own.incarnation + 1, is_full=False)

    def _requeue_newer_state(self, update: StateUpdate) -> None:
        """Queue the newer alive state again, since the sender of an old update has missed it."""
        known = self._table.get(update.node_id)
        if (
            known is not None
            and known.state is MemberState.ALIVE
            and update.state is not MemberState.ALIVE
            and update.incarnation < known.incarnation
        ):
            self._queue.add_if_absent(state_update_of(known))

    def _member_count(self) -> int:
        return self._table.reachable_count + 1

    def _is_known_suspicion(self, update: StateUpdate) -> bool:
        known = self._table.get(update.node_id)
        return (
            known is not None
            and known.state is MemberState.SUSPECT
            and known.incarnation == update.incarnation
            and boot_mark_of(known.boot_id) == update.boot_mark
        )

    def _record_suspicion(
        self, now: float, node_id: NodeId, incarnation: int, accuser: NodeId
    ) -> None:
        is_counted = self._suspicions.record_suspicion(
            now, node_id, incarnation, accuser, self._member_count()
        )
        member = self._table.get(node_id)
        if is_counted and member is not None:
            self._queue.add(state_update_of(member, accuser))

    def _process_change(self, now: float, change: TableChange, accuser: NodeId) -> None:
        """Update suspicion timers, probe schedule and pending changes after a table change."""
        member = change.member
        if member.state is MemberState.SUSPECT:
            self._suspicions.record_suspicion(
                now, member.node_id, member.incarnation, accuser, self._member_count()
            )
        else:
            self._suspicions.end(member.node_id)
        if change.kind is MemberChangeKind.RESTARTED or not member.is_reachable:
            self._schedule.remove(member.node_id)
        if member.is_reachable:
            self._schedule.add(member)
        if change.kind is not None:
            self._changes.append(
                MemberChange(kind=change.kind, member=member, previous=change.previous)
            )

    def _handle_update_about_self(self, now: float, update: StateUpdate) -> None:
        """Refute an update about this node that differs from its own announcement."""
        own = self._table.self_member
        if update.incarnation < own.incarnation:
            self._requeue_newer_state(update)
            return
        is_same_boot = update.boot_mark == boot_mark_of(own.boot_id)
        if is_same_boot and update.state is own.state and update.incarnation == own.incarnation:
            return
        if not is_same_boot:
            self._record_foreign_boot(own, update.boot_mark)
        if update.state is MemberState.SUSPECT:
            self._health.record_failure()
        self._announce_self(now, update.incarnation + 1, is_full=not is_same_boot)

    def _record_foreign_boot(self, own: Member, boot_mark: int) -> None:
        """Report another running process with this node's name.

        The first update of a foreign boot may be about this node's previous boot. Another one
        after this node's refutation comes from a process that is still running.
        """
        if boot_mark in self._foreign_boot_marks:
            kind = MemberChangeKind.IDENTITY_CONFLICT
            self._changes.append(MemberChange(kind=kind, member=own, previous=None))
        self._foreign_boot_marks[boot_mark] = None

    def _announce_self(self, now: float, incarnation: int, *, is_full: bool) -> None:
        member = msgspec.structs.replace(self._table.self_member, incarnation=incarnation)
        self._table.set_self(now, member)
        self._queue.add(member if is_full else state_update_of(member))
