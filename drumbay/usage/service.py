"""Usage at one node: what it counts, what others tell it, and the reports while it leads."""

import asyncio
from collections.abc import Iterable

import msgspec

from drumbay.batches.owners import ServiceIdentity
from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.duties.interface import PlatformDuties
from drumbay.kv.interface import KeyValueStore
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership.leader import LeaderElection
from drumbay.peers.directory import PeerDirectory
from drumbay.peers.messages import UsageNotice
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.usage.collector import UsageCollector
from drumbay.usage.counter import UsageCounter
from drumbay.usage.ledger import UsageLedger
from drumbay.usage.records import NodeUsage, WindowLength
from drumbay.usage.reporter import UsageReporter
from drumbay.usage.schedule import ReportSchedule
from drumbay.usage.window_clock import WindowClock

NOTICE_SECONDS = 0.3


class UsageSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator asks of usage reports.

    Attributes:
        window_seconds: Length of a window.
        due_seconds: A window's report falls due so long after its end.
    """

    window_seconds: float = 5.0
    due_seconds: float = 10.0


class UsageService:
    """Counts always; collects and reports where reports are asked for."""

    def __init__(
        self, clock: Clock, settings: UsageSettings | None, identity: ServiceIdentity
    ) -> None:
        """Create a service; without settings nothing is told to anybody."""
        self._clock = clock
        self._settings = settings or UsageSettings()
        self._is_reported = settings is not None
        self._window_clock = WindowClock(clock)
        self._length = WindowLength(self._settings.window_seconds)
        self.counter = UsageCounter(
            self._window_clock, self._length, identity.address, identity.boot
        )
        self.collector = UsageCollector()

    def own_report(self) -> NodeUsage | None:
        """Return what this node has counted; ``None`` where no reports are asked for."""
        return self.counter.report() if self._is_reported else None

    def take(self, usage: NodeUsage | None) -> None:
        """Take what another node has counted."""
        if usage is not None:
            self.collector.take(usage)

    def known(self) -> tuple[NodeUsage, ...]:
        """Return all that this node knows, its own counts included."""
        self._note_own()
        return self.collector.snapshot()

    def _note_own(self) -> None:
        self.take(self.own_report())

    async def tell(self, peers: PeerClient, addresses: Iterable[NetworkAddress]) -> None:
        """Tell some nodes what this one has counted, before its process ends."""
        usage = self.own_report()
        if usage is None:
            return
        notice = UsageNotice(usage=usage)
        await asyncio.gather(*(_tell(peers, address, notice) for address in addresses))

    async def run(
        self,
        store: KeyValueStore,
        leader: LeaderElection,
        duties: PlatformDuties,
        peers: PeerClient,
        directory: PeerDirectory,
        holder: str,
        metrics: ServingMetrics,
    ) -> None:
        """Report to the platform while this node leads, until cancelled."""
        reporter = UsageReporter(
            self._clock,
            self._window_clock,
            ReportSchedule(length=self._length, due_seconds=self._settings.due_seconds),
            self.collector,
            UsageLedger(store),
            leader,
            duties,
            peers,
            directory,
            holder,
            metrics,
            self._note_own,
        )
        await reporter.run()


async def _tell(peers: PeerClient, address: NetworkAddress, notice: UsageNotice) -> None:
    try:
        await peers.call(address, notice, NOTICE_SECONDS)
    except PeerUnavailableError as error:
        log_event("usage_not_told", level="WARNING", node=str(address), error=error.code)
