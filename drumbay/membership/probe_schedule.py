"""Which member is probed next, and who helps.

Members are probed in random order, each once per traversal (SWIM, section 4.3). Members of the
node's own region and of other regions have an order each; other regions get a smaller share of
the probes, at most their share of the members, so that neither the links between regions nor a
small region is flooded. Zones are not told apart here: their delays are alike, and probes
across zones are what notices a lost zone.
"""

import random

from drumbay.identifiers import NodeId
from drumbay.membership.member_table import MemberTable
from drumbay.membership.records import Member, MembershipSettings

MAX_URGENT_MEMBERS = 16
"""Bound on the members that come before their turn; the rest are left to the traversal."""


class _ProbeOrder:
    """One shuffled traversal, renewed when it is through."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._order: list[NodeId] = []
        self._position = 0
        self._urgent: dict[NodeId, None] = {}

    def insert(self, node_id: NodeId) -> None:
        """Put a new member at a random place of the present traversal."""
        place = self._random.randint(self._position, len(self._order))
        self._order.insert(place, node_id)

    def put_first(self, node_id: NodeId) -> None:
        """Return a member before its turn."""
        if len(self._urgent) < MAX_URGENT_MEMBERS:
            self._urgent[node_id] = None

    def next(self, candidates: dict[NodeId, None]) -> NodeId | None:
        """Return the next of the candidates; the order is renewed at its end."""
        while self._urgent:
            node_id = next(iter(self._urgent))
            del self._urgent[node_id]
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
    """Chooses targets and helpers of probes."""

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
        """Probe a member from now on."""
        if member.node_id in self._local or member.node_id in self._remote:
            return
        if self.is_remote(member):
            self._remote[member.node_id] = None
            self._remote_order.insert(member.node_id)
        else:
            self._local[member.node_id] = None
            self._local_order.insert(member.node_id)

    def probe_soon(self, member: Member) -> None:
        """Probe a member next: somebody holds it for dead."""
        order = self._remote_order if self.is_remote(member) else self._local_order
        order.put_first(member.node_id)

    def remove(self, node_id: NodeId) -> None:
        """Stop probing a member."""
        self._local.pop(node_id, None)
        self._remote.pop(node_id, None)

    def is_remote(self, member: Member) -> bool:
        """Return whether a member is in another region."""
        return member.region != self._table.self_member.region

    def next_target(self) -> Member | None:
        """Return the member to probe next; ``None`` without members."""
        orders = [(self._local_order, self._local), (self._remote_order, self._remote)]
        if self._random.random() < self._remote_share():
            orders.reverse()
        for order, candidates in orders:
            node_id = order.next(candidates)
            if node_id is not None:
                return self._table.get(node_id)
        return None

    def _remote_share(self) -> float:
        count = len(self._local) + len(self._remote)
        if count == 0:
            return 0.0
        return min(self._settings.max_remote_probe_share, len(self._remote) / count)

    def helpers(self, target: Member) -> list[Member]:
        """Return members to probe ``target`` indirectly.

        One is in the target's zone, so that it shares the fewest links with this node's path;
        one is in this node's region, so that its answer shows whether this node itself is well.
        """
        members = [
            member
            for node_id in self._table.reachable()
            if node_id != target.node_id and (member := self._table.get(node_id)) is not None
        ]
        self._random.shuffle(members)
        near_target = [each for each in members if _same_zone(each, target)][:1]
        near_self = [each for each in members if not self.is_remote(each)][:1]
        chosen = {each.node_id: each for each in near_target + near_self + members}
        return list(chosen.values())[: self._settings.indirect_probes]


def _same_zone(left: Member, right: Member) -> bool:
    return left.region == right.region and left.zone == right.zone
