"""Usage counting of one node, and reporting while it is the leader."""

import asyncio
from collections.abc import Iterable

import msgspec

from drumbay.batches.owners import ServiceIdentity
from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
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

NOTICE_TIMEOUT_SECONDS = 0.3


class UsageSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of usage reports.

    Attributes:
        window_seconds: Length of a window.
        due_seconds: Time after the end of a window when its report is due.
    """

    window_seconds: float = 5.0
    due_seconds: float = 10.0


class UsageService:
    """Counts requests, and collects and reports the counts if reports are enabled."""

    def __init__(
        self, clock: Clock, settings: UsageSettings | None, identity: ServiceIdentity
    ) -> None:
        """Create a service; without ``settings`` reports are disabled."""
        self._clock = clock
        self._settings = settings or UsageSettings()
        self._is_enabled = settings is not None
        self._window_clock = WindowClock(clock)
        self._length = WindowLength(self._settings.window_seconds)
        self.counter = UsageCounter(
            self._window_clock, self._length, identity.address, identity.boot
        )
        self.collector = UsageCollector()

    def own_report(self) -> NodeUsage | None:
        """Return this node's counts; ``None`` if reports are disabled."""
        return self.counter.report() if self._is_enabled else None

    def merge(self, usage: NodeUsage | None) -> None:
        """Merge the counts of another node."""
        if usage is not None:
            self.collector.merge(usage)

    def collected_usage(self) -> tuple[NodeUsage, ...]:
        """Return all counts known to this node, including its own."""
        self._merge_own()
        return self.collector.snapshot()

    def _merge_own(self) -> None:
        self.merge(self.own_report())

    async def send_to(self, peers: PeerClient, addresses: Iterable[NetworkAddress]) -> None:
        """Send this node's counts to other nodes before it shuts down."""
        usage = self.own_report()
        if usage is None:
            return
        notice = UsageNotice(usage=usage)
        await asyncio.gather(*(_send(peers, address, notice) for address in addresses))

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
        """Report to the platform while this node is the leader, until cancelled."""
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
            self._merge_own,
        )
        await reporter.run()


async def _send(peers: PeerClient, address: NetworkAddress, notice: UsageNotice) -> None:
    try:
        await peers.call(address, notice, NOTICE_TIMEOUT_SECONDS)
    except PeerUnavailableError as error:
        log_event("usage_not_told", level="WARNING", node=str(address), error=error.code)
