"""The members that one node knows, the order of updates, and digests for anti-entropy.

Updates about a member are ordered by incarnation, then by state (SWIM, section 4.2). Digests
exclude unreachable members: nodes purge them at different times, and this difference alone must not
start an exchange.
"""

import msgspec
import xxhash

from drumbay.comm.interface import Address
from drumbay.identifiers import NodeId
from drumbay.membership.records import (
    Member,
    MemberChangeKind,
    MemberState,
    StateUpdate,
    boot_mark_of,
)

DIGEST_BUCKETS = 64


def bucket_of(node_id: NodeId) -> int:
    """Return the digest bucket of a member."""
    return xxhash.xxh32_intdigest(node_id.encode()) % DIGEST_BUCKETS


def _hash_member(member: Member) -> int:
    text = f"{member.node_id}\0{member.boot_id}\0{member.incarnation}"
    return xxhash.xxh64_intdigest(text.encode())


def _change_kind(previous: Member, member: Member) -> MemberChangeKind | None:
    if member.state is MemberState.LEFT:
        return MemberChangeKind.LEFT
    if member.state is MemberState.DEAD:
        return MemberChangeKind.DIED
    if previous.boot_id != member.boot_id:
        return MemberChangeKind.RESTARTED
    if member.state is MemberState.SUSPECT:
        return MemberChangeKind.SUSPECTED
    if previous.state is MemberState.SUSPECT:
        return MemberChangeKind.REFUTED
    if not previous.is_reachable:
        return MemberChangeKind.RETURNED
    return None


class TableChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the table.

    Attributes:
        member: The member after the change.
        previous: The member before the change; ``None`` if it was not known.
        kind: Kind of the change; ``None`` if only the incarnation increased.
    """

    member: Member
    previous: Member | None
    kind: MemberChangeKind | None


class MemberTable:
    """All known members, the node itself included, in the order of their discovery."""

    def __init__(self, self_member: Member) -> None:
        """Create a table that contains only the node itself."""
        self._self_id = self_member.node_id
        self._members: dict[NodeId, Member] = {}
        self._by_address: dict[Address, NodeId] = {}
        self._reachable: dict[NodeId, None] = {}
        self._changed_at: dict[NodeId, float] = {}
        self._digests = [0] * DIGEST_BUCKETS
        self._bucket_members: list[dict[NodeId, None]] = [{} for _ in range(DIGEST_BUCKETS)]
        self._store(0.0, None, self_member)

    @property
    def self_member(self) -> Member:
        """Return the node's own record."""
        return self._members[self._self_id]

    def set_self(self, now: float, member: Member) -> None:
        """Replace the node's own record."""
        self._store(now, self.self_member, member)

    def get(self, node_id: NodeId) -> Member | None:
        """Return a member, or ``None`` if it is not known."""
        return self._members.get(node_id)

    def find_by_address(self, address: Address) -> Member | None:
        """Return the member last known at an address."""
        node_id = self._by_address.get(address)
        return None if node_id is None else self._members[node_id]

    def members(self) -> tuple[Member, ...]:
        """Return every known member."""
        return tuple(self._members.values())

    def reachable(self) -> list[NodeId]:
        """Return the other members that are alive or suspect."""
        return list(self._reachable)

    @property
    def reachable_count(self) -> int:
        """Return how many other members are alive or suspect."""
        return len(self._reachable)

    def dead(self) -> list[Member]:
        """Return the dead members that have not been purged."""
        return [each for each in self._members.values() if each.state is MemberState.DEAD]

    def bucket(self, index: int) -> list[Member]:
        """Return the members of a digest bucket, in any state."""
        return [self._members[node_id] for node_id in self._bucket_members[index]]

    def digests(self) -> list[int]:
        """Return one digest per bucket over its reachable members."""
        return list(self._digests)

    def apply_record(self, now: float, record: Member) -> TableChange | None:
        """Apply a full record; return the change, or ``None`` if there was none."""
        known = self._members.get(record.node_id)
        if known is None:
            if not record.is_reachable:
                # NOTE: otherwise dead members would stay forever, since nodes that have purged
                # them would learn of them again.
                return None
            self._store(now, None, record)
            return TableChange(member=record, previous=None, kind=MemberChangeKind.JOINED)
        if not _overrides(record.incarnation, record.state, known):
            return None
        if record.boot_id == known.boot_id:
            revision = max(record.application_revision, known.application_revision)
            record = msgspec.structs.replace(record, application_revision=revision)
        return self._replace(now, known, record)

    def apply_update(self, now: float, update: StateUpdate) -> TableChange | None:
        """Apply a compact update; return the change, or ``None`` if there was none."""
        known = self._members.get(update.node_id)
        if known is None or boot_mark_of(known.boot_id) != update.boot_mark:
            return None
        if not _overrides(update.incarnation, update.state, known):
            return None
        member = msgspec.structs.replace(known, incarnation=update.incarnation, state=update.state)
        return self._replace(now, known, member)

    def record_application_revision(self, node_id: NodeId, revision: int) -> None:
        """Record the application revision that a member announced."""
        known = self._members.get(node_id)
        if known is not None and known.application_revision != revision:
            self._members[node_id] = msgspec.structs.replace(known, application_revision=revision)

    def purge_before(self, dead_before: float, left_before: float) -> None:
        """Remove the members that died before ``dead_before`` or left before ``left_before``."""
        for member in list(self._members.values()):
            cutoff = left_before if member.state is MemberState.LEFT else dead_before
            expired = self._changed_at[member.node_id] < cutoff
            if expired and not member.is_reachable and member.node_id != self._self_id:
                self._remove(member)

    def _replace(self, now: float, known: Member, member: Member) -> TableChange:
        self._store(now, known, member)
        return TableChange(member=member, previous=known, kind=_change_kind(known, member))

    def _store(self, now: float, known: Member | None, member: Member) -> None:
        bucket = bucket_of(member.node_id)
        if known is not None:
            self._remove_address(known)
            if known.is_reachable:
                self._digests[bucket] ^= _hash_member(known)
        if member.is_reachable:
            self._digests[bucket] ^= _hash_member(member)
        if member.is_reachable and member.node_id != self._self_id:
            self._reachable[member.node_id] = None
        else:
            self._reachable.pop(member.node_id, None)
        self._members[member.node_id] = member
        self._by_address[member.address] = member.node_id
        self._bucket_members[bucket][member.node_id] = None
        self._changed_at[member.node_id] = now

    def _remove(self, member: Member) -> None:
        self._remove_address(member)
        del self._members[member.node_id]
        del self._changed_at[member.node_id]
        del self._bucket_members[bucket_of(member.node_id)][member.node_id]

    def _remove_address(self, member: Member) -> None:
        if self._by_address.get(member.address) == member.node_id:
            del self._by_address[member.address]


def _overrides(incarnation: int, state: MemberState, known: Member) -> bool:
    if incarnation != known.incarnation:
        return incarnation > known.incarnation
    return state > known.state
