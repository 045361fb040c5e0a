"""Limits this node's starts at workers that warm up, to its part of what all nodes may send."""

import math
from bisect import insort
from collections import deque
from collections.abc import Callable, Container, Iterable, Mapping
from typing import NamedTuple, Protocol

import msgspec

from drumbay.identifiers import BackendId
from drumbay.placement.cold_workers import ColdReason, ColdWorkers
from drumbay.placement.rendezvous import rendezvous_hash
from drumbay.placement.warm_up import WarmUp, WarmUpTolerance
from drumbay.workers.records import Worker

WINDOW_SECONDS = 1.05
"""Window in which starts count: any second, and a reserve as clocks run at different rates."""

LOAN_SECONDS = 0.3
"""For how long a node may use a start that another one has lent it."""

RAMP_SECONDS = 6.0
"""For how long a worker that is no longer cold gets clients' requests only gradually: twice as many
each second. Otherwise every node would send to it at once, as it is the least used."""

SAFE_SENDERS = 7
"""Number of nodes that together stay within the limit of a worker that turns cold unannounced, even
if they do not know of each other. More do so only if they know of each other."""


class Senders(msgspec.Struct, frozen=True, kw_only=True):
    """The nodes that may send requests to a service's workers.

    ``nodes`` share the starts at a cold worker, ``warm_nodes`` those at a worker not known to be
    cold; these are ``None`` if starts there are not limited. Both include this node, but ``nodes``
    is empty if it has no part.
    """

    nodes: tuple[str, ...]
    warm_nodes: tuple[str, ...] | None = None


class _Rank(NamedTuple):
    """This node's rank for a worker among the nodes that may send to it."""

    nodes: tuple[str, ...]
    rank: int


class SenderView(Protocol):
    """Tells which nodes may send requests, as far as this node knows."""

    def senders(self, service: str, now: float) -> Senders:
        """Return the nodes that may send requests to a service's workers."""
        ...


def rank_of(nodes: Iterable[str], own: str, worker_id: BackendId) -> int:
    """Return how many nodes rendezvous hashing ranks before one node for a worker.

    Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    own_hash = rendezvous_hash(own, worker_id)
    return sum(rendezvous_hash(node, worker_id) < own_hash for node in nodes)


def part_of(budget: int, node_count: int, rank: int) -> int:
    """Return how many of ``budget`` starts at a worker are one node's.

    What does not divide evenly goes to the nodes with the lowest ranks for the worker. The parts of
    all nodes of one view add up to the budget.
    """
    whole, rest = divmod(budget, node_count)
    return whole + (rank < rest)


def warm_part_of(budget: int, node_count: int, rank: int) -> int:
    """Return how many of ``budget`` starts at a worker not known to be cold are one node's.

    Fewer nodes than :data:`SAFE_SENDERS` get a fixed part each, if the budget has one for all, so
    that others may begin to send at any moment. Otherwise the nodes divide the budget, less the
    part of one that is not known yet.
    """
    if node_count < SAFE_SENDERS <= budget:
        return budget // SAFE_SENDERS
    reserved = math.ceil(budget / (node_count + 1)) if budget > 1 else 0
    return part_of(budget - reserved, node_count, rank)


def budget_of(warm_up: WarmUp, tolerance: WarmUpTolerance, *, is_cold: bool) -> int:
    """Return the starts a second that are shared out among the senders of one view.

    For a cold worker at most half the limit, so that two views that have no node in common stay
    within it together; at least 1, or the worker would get nothing.
    """
    limit = tolerance.limit(warm_up)
    if is_cold:
        limit = min(limit / 2, warm_up.requests_per_second)
    return max(1, int(limit))


class StartLimits:
    """This node's starts in the last second, and how many more are allowed.

    Implements :class:`drumbay.placement.warm_up.StartLimiter`.
    """

    def __init__(
        self,
        own: str,
        warm_ups: Callable[[], Mapping[str, WarmUp]],
        tolerance: WarmUpTolerance,
        cold_workers: ColdWorkers,
        sender_view: SenderView,
        created_at: float,
    ) -> None:
        """Create limits of a node that has just started.

        Args:
            own: The name of this node among the senders.
            warm_ups: Returns the services whose workers warm up, by name.
            tolerance: By how much all nodes together may exceed the rate of a cold worker.
            cold_workers: The workers that are cold.
            sender_view: The nodes that may send.
            created_at: Monotonic time of the start.
        """
        self._own = own
        self._warm_ups = warm_ups
        self._tolerance = tolerance
        self._cold_workers = cold_workers
        self._sender_view = sender_view
        # The previous process at this address may have used its part just before.
        self._first_start_at = created_at + WINDOW_SECONDS
        self._starts: dict[BackendId, deque[float]] = {}
        self._borrowed: dict[BackendId, deque[float]] = {}
        """Ends of the loans that have not been used, soonest first."""
        self._ranks: dict[BackendId, _Rank] = {}

    def remaining_starts(self, worker: Worker, now: float) -> float:
        """Return how many requests may be started now; infinite without a limit."""
        return self._own_starts(worker, now) + self._borrowed_starts(worker.worker_id, now)

    def _own_starts(self, worker: Worker, now: float) -> float:
        """Return how many more requests this node's part allows now; infinite without a limit."""
        part = self._current_part(worker, now)
        if part is None:
            return math.inf
        if now < self._first_start_at:
            return 0
        return max(0, part - self._recent_starts(worker.worker_id, now))

    def lend(self, worker: Worker, wanted: int, now: float) -> int:
        """Give unused starts of this node's part to another node; return how many.

        The borrower may use them for :data:`LOAN_SECONDS`. Here they count as starts at the end of
        that time, so that the parts of all nodes still add up to the budget in any second.
        """
        own_starts = self._own_starts(worker, now)
        if math.isinf(own_starts):
            return 0
        lent = min(wanted, int(own_starts))
        for _ in range(lent):
            insort(self._starts.setdefault(worker.worker_id, deque()), now + LOAN_SECONDS)
        return lent

    def borrow(self, worker_id: BackendId, count: int, asked_at: float) -> None:
        """Add starts that another node has lent after it was asked at a monotonic time."""
        ends = self._borrowed.setdefault(worker_id, deque())
        for _ in range(count):
            insort(ends, asked_at + LOAN_SECONDS)

    def _borrowed_starts(self, worker_id: BackendId, now: float) -> int:
        ends = self._borrowed.get(worker_id)
        while ends and ends[0] <= now:
            ends.popleft()
        return len(ends) if ends else 0

    def next_start_at(self, worker: Worker, now: float) -> float:
        """Return from when another request may be started; infinite if this node has no part."""
        part = self._current_part(worker, now)
        if part is None:
            return now
        if not part:
            return math.inf
        recent = self._recent_starts(worker.worker_id, now)
        if recent < part:
            return max(now, self._first_start_at)
        return self._starts[worker.worker_id][recent - part] + WINDOW_SECONDS

    def _current_part(self, worker: Worker, now: float) -> int | None:
        """Return how many requests this node may start at a worker in a second, if limited."""
        warm_up = self._warm_ups().get(worker.service)
        if warm_up is None:
            return None
        period = self._cold_workers.last_period(worker.worker_id, warm_up.seconds)
        warm_seconds = now - period.until
        senders = self._sender_view.senders(worker.service, now)
        if warm_seconds >= 0 and senders.warm_nodes is not None:
            budget = budget_of(warm_up, self._tolerance, is_cold=False)
            rank = self._rank(worker.worker_id, senders.warm_nodes)
            return warm_part_of(budget, len(senders.warm_nodes), rank)
        if warm_seconds >= RAMP_SECONDS:
            return None
        if not senders.nodes:
            return 0
        budget = budget_of(warm_up, self._tolerance, is_cold=True)
        if warm_seconds >= 0:
            budget = int(budget * 2**warm_seconds)
        return part_of(budget, len(senders.nodes), self._rank(worker.worker_id, senders.nodes))

    def _rank(self, worker_id: BackendId, nodes: tuple[str, ...]) -> int:
        found = self._ranks.get(worker_id)
        if found is not None and (found.nodes is nodes or found.nodes == nodes):
            return found.rank
        rank = rank_of(nodes, self._own, worker_id)
        self._ranks[worker_id] = _Rank(nodes, rank)
        return rank

    def cold_reason(self, worker: Worker, now: float) -> ColdReason | None:
        """Return why a worker counts as cold; ``None`` if it does not or has no limit."""
        warm_up = self._warm_ups().get(worker.service)
        if warm_up is None:
            return None
        period = self._cold_workers.last_period(worker.worker_id, warm_up.seconds)
        return period.reason if now < period.until else None

    def is_cold(self, worker: Worker, now: float) -> bool:
        """Return whether a worker is known to be cold."""
        return self.cold_reason(worker, now) is not None

    def record_start(self, worker: Worker, now: float) -> None:
        """Record that a request is sent to a worker, with a borrowed start if need be."""
        if worker.service not in self._warm_ups():
            return
        if self._own_starts(worker, now) < 1 and self._borrowed_starts(worker.worker_id, now):
            self._borrowed[worker.worker_id].popleft()
            return
        insort(self._starts.setdefault(worker.worker_id, deque()), now)
        self._recent_starts(worker.worker_id, now)

    def forget_except(self, known: Container[BackendId], now: float) -> None:
        """Forget the workers that are gone, and starts of more than a second ago."""
        for worker_id in [w for w in self._ranks if w not in known]:
            del self._ranks[worker_id]
        for worker_id in list(self._starts):
            if not self._recent_starts(worker_id, now):
                del self._starts[worker_id]
        for worker_id in list(self._borrowed):
            if not self._borrowed_starts(worker_id, now):
                del self._borrowed[worker_id]

    def _recent_starts(self, worker_id: BackendId, now: float) -> int:
        starts = self._starts.get(worker_id)
        if starts is None:
            return 0
        while starts and starts[0] + WINDOW_SECONDS <= now:
            starts.popleft()
        return len(starts)
