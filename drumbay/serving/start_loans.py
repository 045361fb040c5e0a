"""Loans of starts at cold workers, from nodes that do not use their part to those that lack one.

With many nodes the part of each is a start a second or none. Without loans a node that gets several
requests at once would reject them while the parts of other nodes lie unused.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.peers.messages import BorrowStarts, LentStarts
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.placement.start_limits import LOAN_SECONDS, StartLimits
from drumbay.tasks import TaskOwner
from drumbay.workers.records import Worker
from drumbay.workers.worker_record import WorkerRecord

NODES_PER_ROUND = 3
"""Nodes that are asked at once."""

MAX_STARTS_PER_NODE = 8
ROUND_INTERVAL_SECONDS = 0.05
OWN_NEED_SECONDS = 0.2
"""For how long a node lends nothing of a service after one of its own requests lacked a start."""


class StartLoans:
    """Borrows starts for the requests of this node, and lends its own."""

    def __init__(
        self,
        clock: Clock,
        limits: StartLimits,
        peers: PeerClient,
        candidates: Callable[[int], Sequence[NetworkAddress]],
        records: Callable[[], Mapping[BackendId, WorkerRecord]],
        task_owner: TaskOwner,
    ) -> None:
        """Create loans; none have been made.

        Args:
            clock: Time.
            limits: The starts of this node.
            peers: Calls other nodes.
            candidates: Returns up to a number of nodes to ask, in random order.
            records: Returns the known workers.
            task_owner: Runs the calls.
        """
        self._clock = clock
        self._limits = limits
        self._peers = peers
        self._candidates = candidates
        self._records = records
        self._task_owner = task_owner
        self._waiting: dict[str, int] = {}
        """Requests that asked since the last round, by service; a round is under way for each."""
        self._last_asked_at: dict[str, float] = {}

    def ask(self, service: str, workers: Iterable[Worker]) -> bool:
        """Ask for a start at one of a service's workers; return whether one may come."""
        worker_ids = tuple(worker.worker_id for worker in workers)
        if not worker_ids or not self._candidates(1):
            return False
        self._last_asked_at[service] = self._clock.monotonic()
        if service in self._waiting:
            self._waiting[service] += 1
        else:
            self._waiting[service] = 1
            self._task_owner.spawn(self._run_round(service, worker_ids), "start-loans")
        return True

    async def _run_round(self, service: str, worker_ids: tuple[BackendId, ...]) -> None:
        try:
            # Requests that arrive together are served by one round.
            await asyncio.sleep(0)
            wanted = min(self._waiting[service], MAX_STARTS_PER_NODE)
            request = BorrowStarts(worker_ids=worker_ids, count=wanted)
            calls = [self._borrow_from(node, request) for node in self._candidates(NODES_PER_ROUND)]
            borrowed = sum(await asyncio.gather(*calls))
            log_event(
                "starts_borrowed",
                service=service,
                nodes=len(calls),
                wanted=wanted,
                borrowed=borrowed,
            )
            await self._clock.sleep(ROUND_INTERVAL_SECONDS)
        finally:
            del self._waiting[service]

    async def _borrow_from(self, node: NetworkAddress, request: BorrowStarts) -> int:
        asked_at = self._clock.monotonic()
        try:
            reply = await self._peers.call(node, request, LOAN_SECONDS)
        except PeerUnavailableError as error:
            log_event("starts_not_borrowed", level="DEBUG", node=str(node), error=error.code)
            return 0
        if not isinstance(reply, LentStarts):
            return 0
        for worker_id, count in reply.starts.items():
            self._limits.borrow(worker_id, count, asked_at)
        return sum(reply.starts.values())

    def lend(self, request: BorrowStarts) -> LentStarts:
        """Lend starts that this node does not need."""
        now = self._clock.monotonic()
        records = self._records()
        left = min(request.count, MAX_STARTS_PER_NODE)
        lent: dict[BackendId, int] = {}
        for worker_id in request.worker_ids:
            record = records.get(worker_id)
            if record is None or self._needs_starts(record.worker.service, now):
                continue
            count = self._limits.lend(record.worker, left, now)
            if count:
                lent[worker_id] = count
                left -= count
        return LentStarts(starts=lent)

    def _needs_starts(self, service: str, now: float) -> bool:
        return now - self._last_asked_at.get(service, float("-inf")) < OWN_NEED_SECONDS
