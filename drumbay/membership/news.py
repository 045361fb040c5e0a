"""Merging of news: what one node comes to believe, what it passes on, what it refutes."""

import msgspec

from drumbay.identifiers import NodeId
from drumbay.membership.dissemination import DisseminationQueue
from drumbay.membership.local_health import LocalHealth
from drumbay.membership.member_table import MemberTable, News
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


class NewsHandler:
    """Applies news to the table and does what it asks for."""

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

    def take_changes(self) -> tuple[MemberChange, ...]:
        """Return the changes since the last call, in order."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def merge_record(self, now: float, record: Member) -> bool:
        """Take in a full record and pass it on if it is news; return whether it is."""
        if record.node_id == self._table.self_member.node_id:
            self._hear_of_self(now, state_update_of(record))
            return False
        news = self._table.apply_record(now, record)
        if news is None:
            return False
        self._react(now, news, record.node_id)
        self._queue.add(record)
        return True

    def merge_update(self, now: float, update: StateUpdate) -> None:
        """Take in compact news, and pass it on if it is news here."""
        if update.node_id == self._table.self_member.node_id:
            self._hear_of_self(now, update)
            return
        if update.state is MemberState.SUSPECT and self._is_known_suspicion(update):
            self._accuse(now, update.node_id, update.incarnation, update.accuser)
            return
        news = self._table.apply_update(now, update)
        if news is not None:
            self._react(now, news, update.accuser)
            self._queue.add(update)
        else:
            self._correct(update)

    def merge_synced_updates(self, now: float, updates: tuple[StateUpdate, ...]) -> bool:
        """Take in what an anti-entropy exchange tells; return whether any of it was news.

        NOTE: an exchange never accuses. After a cut each side holds the other side's members
        for dead; if the sides believed each other, everyone would be dead until it refuted.
        A member that a peer holds for dead is probed next instead.
        """
        any_news = False
        for update in updates:
            if update.node_id == self._table.self_member.node_id:
                self._hear_of_self(now, update)
                continue
            known = self._table.get(update.node_id)
            if known is not None and known.is_reachable and update.state is MemberState.DEAD:
                self._schedule.probe_soon(known)
                continue
            if update.state is MemberState.SUSPECT:
                update = msgspec.structs.replace(update, state=MemberState.ALIVE)
            news = self._table.apply_update(now, update)
            if news is not None:
                self._react(now, news, NO_ACCUSER)
                self._queue.add(update)
                any_news = True
        return any_news

    def merge_synced_members(self, now: float, members: tuple[Member, ...]) -> bool:
        """Take in records that this node asked for; return whether any was news."""
        any_news = False
        for record in members:
            if record.node_id == self._table.self_member.node_id:
                self._hear_of_self(now, state_update_of(record))
                continue
            if record.state is MemberState.SUSPECT:
                record = msgspec.structs.replace(record, state=MemberState.ALIVE)
            news = self._table.apply_record(now, record)
            if news is None:
                continue
            any_news = True
            self._react(now, news, NO_ACCUSER)
            if news.previous is not None:
                # A new member is announced by itself; a restarted one may have been missed.
                self._queue.add(record)
        return any_news

    def suspect(self, now: float, target: Member) -> None:
        """Suspect a member that did not answer this node's probe."""
        member = self._table.get(target.node_id)
        if member is None or member.incarnation != target.incarnation:
            # It has announced itself anew since the probe started.
            return
        if member.is_reachable:
            suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
            self.merge_update(now, state_update_of(suspect, self._table.self_member.node_id))

    def end_suspicions(self, now: float) -> None:
        """Declare dead the members whose suspicion has run out."""
        for node_id in self._suspicions.expired(now):
            self._suspicions.end(node_id)
            member = self._table.get(node_id)
            if member is not None and member.state is MemberState.SUSPECT:
                dead = msgspec.structs.replace(member, state=MemberState.DEAD)
                self.merge_update(now, state_update_of(dead))

    def announce_left(self, now: float) -> None:
        """Announce that this node leaves."""
        own = self._table.self_member
        if own.state is MemberState.LEFT:
            return
        self._table.set_self(now, msgspec.structs.replace(own, state=MemberState.LEFT))
        self._announce_self(now, own.incarnation + 1, full=False)

    def _correct(self, update: StateUpdate) -> None:
        """Pass on again what overrides an outdated accusation: somebody has missed it."""
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

    def _accuse(self, now: float, node_id: NodeId, incarnation: int, accuser: NodeId) -> None:
        counts = self._suspicions.accuse(now, node_id, incarnation, accuser, self._member_count())
        member = self._table.get(node_id)
        if counts and member is not None:
            self._queue.add(state_update_of(member, accuser))

    def _react(self, now: float, news: News, accuser: NodeId) -> None:
        """Bring timers, probe schedule and the list of changes in line with news."""
        member = news.member
        if member.state is MemberState.SUSPECT:
            self._suspicions.accuse(
                now, member.node_id, member.incarnation, accuser, self._member_count()
            )
        else:
            self._suspicions.end(member.node_id)
        if news.kind is MemberChangeKind.RESTARTED or not member.is_reachable:
            self._schedule.remove(member.node_id)
        if member.is_reachable:
            self._schedule.add(member)
        if news.kind is not None:
            self._changes.append(
                MemberChange(kind=news.kind, member=member, previous=news.previous)
            )

    def _hear_of_self(self, now: float, update: StateUpdate) -> None:
        """Refute what is said about this node, if it is not what the node announces."""
        own = self._table.self_member
        if update.incarnation < own.incarnation:
            self._correct(update)
            return
        same_boot = update.boot_mark == boot_mark_of(own.boot_id)
        if same_boot and update.state is own.state and update.incarnation == own.incarnation:
            return
        if not same_boot:
            self._note_foreign_boot(own, update.boot_mark)
        if update.state is MemberState.SUSPECT:
            self._health.note_trouble()
        self._announce_self(now, update.incarnation + 1, full=not same_boot)

    def _note_foreign_boot(self, own: Member, boot_mark: int) -> None:
        """Report another process under this node's name.

        The first time it may be this node's former boot. One that has overridden this node's
        own announcement is running now.
        """
        if boot_mark in self._foreign_boot_marks:
            conflict = MemberChangeKind.IDENTITY_CONFLICT
            self._changes.append(MemberChange(kind=conflict, member=own, previous=None))
        self._foreign_boot_marks[boot_mark] = None

    def _announce_self(self, now: float, incarnation: int, *, full: bool) -> None:
        member = msgspec.structs.replace(self._table.self_member, incarnation=incarnation)
        self._table.set_self(now, member)
        self._queue.add(member if full else state_update_of(member))
