"""Selection of probe targets and helpers.

Members are probed in random order, each once per traversal (SWIM, section 4.3). Members of the
node's own region and of other regions are traversed separately. Other regions get at most a fixed
fraction of the probes, and no more than their fraction of the members, to limit the load on the
links between regions and on small regions. Zones are not distinguished: their delays are similar,
and probes across zones detect the loss of a zone.
"""

import random

from drumbay.identifiers import NodeId
from drumbay.membership.member_table import MemberTable
from drumbay.membership.records import Member, MembershipSettings

MAX_PRIORITIZED_MEMBERS = 16
"""Limit on members probed ahead of the traversal."""


class _ProbeOrder:
    """A shuffled traversal, reshuffled at its end."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._order: list[NodeId] = []
        self._position = 0
        self._prioritized: dict[NodeId, None] = {}

    def insert(self, node_id: NodeId) -> None:
        """Insert a new member at a random position of the rest of the traversal."""
        position = self._random.randint(self._position, len(self._order))
        self._order.insert(position, node_id)

    def prioritize(self, node_id: NodeId) -> None:
        """Return a member ahead of the traversal."""
        if len(self._prioritized) < MAX_PRIORITIZED_MEMBERS:
            self._prioritized[node_id] = None

    def next(self, candidates: dict[NodeId, None]) -> NodeId | None:
        """Return the next candidate, reshuffling at the end of the traversal."""
        while self._prioritized:
            node_id = next(iter(self._prioritized))
            del self._prioritized[node_id]
            if node_id in candidates:
                return node_id
        for _ in range(2):
            while self._position < len(self._order):
                node_id = self._order[self._position]
                self._position += 1
                if node_id in candidates:
                    return node_id
            self._order = list(candidates)
            self._random.shuffle(self._order)
            self._position = 0
        return None


class ProbeSchedule:
    """Selects targets and helpers of probes."""

    def __init__(
        self, table: MemberTable, settings: MembershipSettings, rng: random.Random
    ) -> None:
        """Create a schedule over the members of a table."""
        self._table = table
        self._settings = settings
        self._random = rng
        self._local: dict[NodeId, None] = {}
        self._remote: dict[NodeId, None] = {}
        self._local_order = _ProbeOrder(rng)
        self._remote_order = _ProbeOrder(rng)

    def add(self, member: Member) -> None:
        """Add a member to the schedule."""
        if member.node_id in self._local or member.node_id in self._remote:
            return
        if self.is_remote(member):
            self._remote[member.node_id] = None
            self._remote_order.insert(member.node_id)
        else:
            self._local[member.node_id] = None
            self._local_order.insert(member.node_id)

    def probe_next(self, member: Member) -> None:
        """Probe a member ahead of the traversal, as another node considers it dead."""
        order = self._remote_order if self.is_remote(member) else self._local_order
        order.prioritize(member.node_id)

    def remove(self, node_id: NodeId) -> None:
        """Remove a member from the schedule."""
        self._local.pop(node_id, None)
        self._remote.pop(node_id, None)

    def is_remote(self, member: Member) -> bool:
        """Return whether a member is in another region."""
        return member.region != self._table.self_member.region

    def next_target(self) -> Member | None:
        """Return the member to probe next; ``None`` without members."""
        orders = [(self._local_order, self._local), (self._remote_order, self._remote)]
        if self._random.random() < self._remote_probability():
            orders.reverse()
        for order, candidates in orders:
            node_id = order.next(candidates)
            if node_id is not None:
                return self._table.get(node_id)
        return None

    def _remote_probability(self) -> float:
        count = len(self._local) + len(self._remote)
        if count == 0:
            return 0.0
        return min(self._settings.max_remote_probe_share, len(self._remote) / count)

    def helpers(self, target: Member) -> list[Member]:
        """Return members to probe ``target`` indirectly.

        One helper is in the target's zone, so that its path to the target differs most from
        this node's. One is in this node's region: its response shows that this node's own
        network works.
        """
        members = [
            member
            for node_id in self._table.reachable()
            if node_id != target.node_id and (member := self._table.get(node_id)) is not None
        ]
        self._random.shuffle(members)
        near_target = [each for each in members if _is_same_zone(each, target)][:1]
        near_self = [each for each in members if not self.is_remote(each)][:1]
        chosen = {each.node_id: each for each in near_target + near_self + members}
        return list(chosen.values())[: self._settings.indirect_probes]


def _is_same_zone(left: Member, right: Member) -> bool:
    return left.region == right.region and left.zone == right.zone
