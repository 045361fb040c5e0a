"""Watcher of the machine list, which reports the leaving back ends.

In a small cluster every node reads the list. In a large one a few readers read it in turn and call
every other node after a change. The others also fetch the reports periodically, in case a call was
lost.
"""

import asyncio
from collections.abc import Callable
from random import Random

from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport, TransportError
from drumbay.configuration.messages import PeerView
from drumbay.identifiers import BackendId, BootId, NodeId
from drumbay.machines.freshness import FreshnessGuard
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
    MAX_NODES_WITHOUT_SHARING,
    READ_PERIOD_SECONDS,
    seconds_until_read,
    select_readers,
)
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner

REPAIR_INTERVAL_SECONDS = 10.0
FIRST_REPAIR_INTERVAL_SECONDS = 1.0
MIN_REPAIR_JITTER = 0.5
CALL_TIMEOUT_SECONDS = 1.0
CALL_ATTEMPTS = 2
MAX_CONCURRENT_CALLS = 32


class MachineListWatcher:
    """Keeps the set of leaving back ends up to date.

    While the list cannot be read, the last known set is kept, so that leaving back ends get no work
    during an outage of the list.

    Args:
        clock: Time.
        transport: Messages to and from other nodes.
        client: Client of the list.
        node_id: This node.
        boot_id: Identifies this run of the process.
        members: Returns the live nodes, this one included; the same tuple while they do
            not change.
        on_leaving: Called with the leaving back ends after each read or new report.
        random: Source of jitter.
        task_owner: Owner of the background tasks.
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
        self._own_leaving: tuple[BackendId, ...] = ()
        self._readers: tuple[NodeId, ...] = ()
        self._members_at_selection: tuple[PeerView, ...] | None = None
        self._call_semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._freshness = FreshnessGuard(clock, self._renew)

    def start(self) -> None:
        """Register the message handlers and start the background tasks."""
        self._transport.handle_calls(LeavingChanged, self._handle_change)
        self._transport.handle_calls(FetchLeaving, self._handle_fetch)
        self._task_owner.spawn(self._run_reads(), "machine-list")
        self._task_owner.spawn(self._run_repairs(), "machine-list-repair")
        self._task_owner.spawn(self._freshness.run(), "machine-list-freshness")

    async def ensure_fresh(self) -> None:
        """Renew the set of leaving back ends if it is from before a pause of this process.

        If neither the list nor a reader responds, the last known set is kept.
        """
        await self._freshness.ensure()

    async def _renew(self) -> None:
        if self._node_id in self._current_readers():
            await self._read()
        else:
            await self._repair()

    @property
    def is_shared(self) -> bool:
        """Return whether only a few nodes read the list."""
        return len(self._members()) > MAX_NODES_WITHOUT_SHARING

    def _current_readers(self) -> tuple[NodeId, ...]:
        members = self._members()
        if members is not self._members_at_selection:
            self._members_at_selection = members
            self._readers = select_readers(members)
            self._reports.retain_readers(self._readers)
        return self._readers

    async def _run_reads(self) -> None:
        while True:
            if self._node_id in self._current_readers():
                await self._read()
            await self._clock.sleep(self._read_delay_seconds())

    def _read_delay_seconds(self) -> float:
        readers = self._current_readers()
        if not self.is_shared or self._node_id not in readers:
            return READ_PERIOD_SECONDS
        rank = readers.index(self._node_id)
        return seconds_until_read(rank, len(readers), self._clock.wall())

    async def _read(self) -> None:
        try:
            machines = await self._client.read()
        except MachineListUnavailableError as error:
            log_event("machine_list_unavailable", level="WARNING", detail=str(error))
            return
        leaving = tuple(sorted(leaving_backends(machines)))
        is_new = self._sequence == 0 or leaving != self._own_leaving
        self._own_leaving = leaving
        if is_new:
            self._sequence += 1
        report = self._own_report()
        self._reports.add(report)
        self._notify_listener()
        if is_new and self.is_shared:
            self._task_owner.spawn(self._notify_all(report), "machine-list-change")

    def _own_report(self) -> LeavingReport:
        return LeavingReport(
            reader=self._node_id,
            boot_id=self._boot_id,
            sequence=self._sequence,
            leaving=self._own_leaving,
        )

    def _notify_listener(self) -> None:
        self._on_leaving(self._reports.leaving() if self.is_shared else self._own_leaving)

    async def _notify_all(self, report: LeavingReport) -> None:
        others = [peer for peer in self._members() if peer.node_id != self._node_id]
        await asyncio.gather(*(self._notify(peer.address, report) for peer in others))

    async def _notify(self, peer: Address, report: LeavingReport) -> None:
        for _ in range(CALL_ATTEMPTS):
            async with self._call_semaphore:
                try:
                    await self._call(peer, LeavingChanged(report=report))
                    return
                except TransportError:
                    continue

    async def _call(self, peer: Address, request: Message) -> Message:
        return await self._transport.call(peer, request, timeout_seconds=CALL_TIMEOUT_SECONDS)

    async def _handle_change(self, request: LeavingChanged) -> KnownLeaving:
        self._apply_reports((request.report,))
        return KnownLeaving()

    async def _handle_fetch(self, request: FetchLeaving) -> KnownLeaving:
        if request.digest == self._reports.digest():
            return KnownLeaving()
        return KnownLeaving(reports=self._reports.sorted())

    def _apply_reports(self, reports: tuple[LeavingReport, ...]) -> None:
        readers = self._current_readers()
        accepted = [report for report in reports if report.reader in readers]
        changed = [report for report in accepted if self._reports.add(report)]
        if changed and self.is_shared:
            self._notify_listener()

    async def _run_repairs(self) -> None:
        while True:
            jitter = self._random.uniform(MIN_REPAIR_JITTER, 1.0)
            await self._clock.sleep(jitter * self._repair_interval_seconds())
            if self.is_shared:
                await self._repair()

    def _repair_interval_seconds(self) -> float:
        """Return the interval between fetches, which is shorter until the first report."""
        return REPAIR_INTERVAL_SECONDS if self._reports.sorted() else FIRST_REPAIR_INTERVAL_SECONDS

    async def _repair(self) -> None:
        """Fetch the reports of a random reader."""
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
            self._apply_reports(reply.reports)
