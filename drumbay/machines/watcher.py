"""Follows the machine list and tells which back ends are leaving.

In a small cluster every node reads the list. In a large one a few read it in turns, call
every other node when something changed, and answer the others' occasional questions, which
repairs calls that were lost.
"""

import asyncio
from collections.abc import Callable
from random import Random

from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport, TransportError
from drumbay.configuration.messages import PeerView
from drumbay.identifiers import BackendId, BootId, NodeId
from drumbay.machines.freshness import Freshness
from drumbay.machines.interface import (
    MachineListClient,
    MachineListUnavailableError,
    leaving_backends,
)
from drumbay.machines.leaving import LeavingReports
from drumbay.machines.messages import (
    FetchLeaving,
    KnownLeaving,
    LeavingChanged,
    LeavingReport,
)
from drumbay.machines.readers import (
    READ_ALL_UP_TO_NODES,
    TURN_SECONDS,
    readers_of,
    seconds_to_turn,
)
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner

REPAIR_INTERVAL_SECONDS = 10.0
FIRST_REPAIR_SECONDS = 1.0
SHORTEST_REPAIR_SHARE = 0.5
CALL_TIMEOUT_SECONDS = 1.0
CALL_ATTEMPTS = 2
CONCURRENT_CALLS = 32


class MachineListWatcher:
    """Keeps the set of leaving back ends fresh.

    While the list cannot be read the last known set stays in force: a back end that was
    leaving gets no work again just because the list is out.

    Args:
        clock: Time.
        transport: Exchange with other nodes.
        client: Reads the list.
        node_id: This node.
        boot_id: Run of this node.
        members: Returns the live nodes, this one included; the same tuple while they do
            not change.
        on_leaving: Told of the leaving back ends after each read or report.
        random: Source of jitter.
        task_owner: Owns the tasks.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        client: MachineListClient,
        node_id: NodeId,
        boot_id: BootId,
        members: Callable[[], tuple[PeerView, ...]],
        on_leaving: Callable[[tuple[BackendId, ...]], None],
        random: Random,
        task_owner: TaskOwner,
    ) -> None:
        """Create a watcher; :meth:`start` starts it."""
        self._clock = clock
        self._transport = transport
        self._client = client
        self._node_id = node_id
        self._boot_id = boot_id
        self._members = members
        self._on_leaving = on_leaving
        self._random = random
        self._task_owner = task_owner
        self._reports = LeavingReports()
        self._sequence = 0
        self._own: tuple[BackendId, ...] = ()
        self._readers: tuple[NodeId, ...] = ()
        self._readers_of: tuple[PeerView, ...] | None = None
        self._calls = asyncio.Semaphore(CONCURRENT_CALLS)
        self._freshness = Freshness(clock, self._renew)

    def start(self) -> None:
        """Serve other nodes, and start to read and to ask."""
        self._transport.handle_calls(LeavingChanged, self._handle_change)
        self._transport.handle_calls(FetchLeaving, self._handle_fetch)
        self._task_owner.spawn(self._read_forever(), "machine-list")
        self._task_owner.spawn(self._repair_forever(), "machine-list-repair")
        self._task_owner.spawn(self._freshness.run(), "machine-list-freshness")

    async def ensure_fresh(self) -> None:
        """Return once what is known is not from before a pause of this process.

        While neither the list nor a reader answers, the last known set stays in force.
        """
        await self._freshness.ensure()

    async def _renew(self) -> None:
        if self._node_id in self._current_readers():
            await self._read()
        else:
            await self._repair()

    @property
    def is_shared(self) -> bool:
        """Return whether the cluster is large enough to have readers."""
        return len(self._members()) > READ_ALL_UP_TO_NODES

    def _current_readers(self) -> tuple[NodeId, ...]:
        members = self._members()
        if members is not self._readers_of:
            self._readers_of = members
            self._readers = readers_of(members)
            self._reports.keep_only(self._readers)
        return self._readers

    async def _read_forever(self) -> None:
        while True:
            if self._node_id in self._current_readers():
                await self._read()
            await self._clock.sleep(self._pause_seconds())

    def _pause_seconds(self) -> float:
        readers = self._current_readers()
        if not self.is_shared or self._node_id not in readers:
            return TURN_SECONDS
        rank = readers.index(self._node_id)
        return seconds_to_turn(rank, len(readers), self._clock.wall())

    async def _read(self) -> None:
        try:
            machines = await self._client.read()
        except MachineListUnavailableError as error:
            log_event("machine_list_unavailable", level="WARNING", detail=str(error))
            return
        leaving = tuple(sorted(leaving_backends(machines)))
        is_new = self._sequence == 0 or leaving != self._own
        self._own = leaving
        if is_new:
            self._sequence += 1
        report = self._own_report()
        self._reports.take(report)
        self._announce()
        if is_new and self.is_shared:
            self._task_owner.spawn(self._tell_all(report), "machine-list-change")

    def _own_report(self) -> LeavingReport:
        return LeavingReport(
            reader=self._node_id,
            boot_id=self._boot_id,
            sequence=self._sequence,
            leaving=self._own,
        )

    def _announce(self) -> None:
        self._on_leaving(self._reports.leaving() if self.is_shared else self._own)

    async def _tell_all(self, report: LeavingReport) -> None:
        others = [peer for peer in self._members() if peer.node_id != self._node_id]
        await asyncio.gather(*(self._tell(peer.address, report) for peer in others))

    async def _tell(self, peer: Address, report: LeavingReport) -> None:
        for _ in range(CALL_ATTEMPTS):
            async with self._calls:
                try:
                    await self._call(peer, LeavingChanged(report=report))
                    return
                except TransportError:
                    continue

    async def _call(self, peer: Address, request: Message) -> Message:
        return await self._transport.call(peer, request, timeout_seconds=CALL_TIMEOUT_SECONDS)

    async def _handle_change(self, request: LeavingChanged) -> KnownLeaving:
        self._take((request.report,))
        return KnownLeaving()

    async def _handle_fetch(self, request: FetchLeaving) -> KnownLeaving:
        if request.digest == self._reports.digest():
            return KnownLeaving()
        return KnownLeaving(reports=self._reports.sorted())

    def _take(self, reports: tuple[LeavingReport, ...]) -> None:
        readers = self._current_readers()
        taken = [report for report in reports if report.reader in readers]
        changed = [report for report in taken if self._reports.take(report)]
        if changed and self.is_shared:
            self._announce()

    async def _repair_forever(self) -> None:
        while True:
            share = self._random.uniform(SHORTEST_REPAIR_SHARE, 1.0)
            await self._clock.sleep(share * self._repair_interval_seconds())
            if self.is_shared:
                await self._repair()

    def _repair_interval_seconds(self) -> float:
        """Return a short time for a node that has joined and knows nothing yet."""
        return REPAIR_INTERVAL_SECONDS if self._reports.sorted() else FIRST_REPAIR_SECONDS

    async def _repair(self) -> None:
        """Ask one reader for what it knows."""
        readers = self._current_readers()
        peers = [
            peer
            for peer in self._members()
            if peer.node_id in readers and peer.node_id != self._node_id
        ]
        if not peers:
            return
        digest = self._reports.digest()
        try:
            reply = await self._call(
                self._random.choice(peers).address, FetchLeaving(digest=digest)
            )
        except TransportError:
            return
        if isinstance(reply, KnownLeaving):
            self._take(reply.reports)
