"""Sends usage reports to the platform while this node is the leader."""

import asyncio
from collections.abc import Callable, Collection

import msgspec

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.duties.interface import DutyOutcome, DutyToken, PlatformDuties, UsageReport
from drumbay.identifiers import Fence
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.ownership.leader import LeaderElection
from drumbay.peers.directory import PeerDirectory
from drumbay.peers.messages import CollectUsage, UsageReply
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.usage.collector import UsageCollector
from drumbay.usage.ledger import CollectedUsage, UsageLedger
from drumbay.usage.records import WindowCounts, WindowNumber
from drumbay.usage.schedule import ReportSchedule
from drumbay.usage.window_clock import WindowClock

TICK_SECONDS = 0.25
COLLECT_INTERVAL_SECONDS = 1.0
"""Interval at which counts are fetched; limits what is lost if a node is killed."""

QUERY_NODES_AFTER_SECONDS = 2.0
"""Time after the end of a window from which nodes with incomplete counts are queried directly."""

SAVE_INTERVAL_SECONDS = 2.0
"""Interval at which collected counts are saved; limits what is lost if all processes are killed.
Each save is a billed call."""

CALL_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 0.5
"""Pause after a report that the platform did not accept."""


class _Term(msgspec.Struct, kw_only=True):
    """State of one leadership term.

    ``undelivered`` are final reports that the platform may not have accepted, oldest first.
    """

    fence: Fence
    next_window: WindowNumber
    delivered: WindowNumber
    undelivered: list[WindowCounts]
    collected_at: float = float("-inf")
    saved_at: float = float("-inf")
    retry_at: float = float("-inf")


class UsageReporter:
    """Collects, finalizes and delivers one report per window."""

    def __init__(
        self,
        clock: Clock,
        window_clock: WindowClock,
        schedule: ReportSchedule,
        collector: UsageCollector,
        ledger: UsageLedger,
        leader: LeaderElection,
        duties: PlatformDuties,
        peers: PeerClient,
        directory: PeerDirectory,
        holder: str,
        metrics: ServingMetrics,
        merge_own: Callable[[], None],
    ) -> None:
        """Create an inactive reporter.

        Args:
            clock: Clock.
            window_clock: Wall clock time for windows.
            schedule: When reports are finalized.
            collector: Counts received from the nodes.
            ledger: Usage data in the store.
            leader: Tells whether this node is the leader.
            duties: Client of the platform.
            peers: Calls to other nodes.
            directory: Directory of the nodes.
            holder: Name of this machine at the platform.
            metrics: Counts reports.
            merge_own: Merges this node's own counts into the collector.
        """
        self._clock = clock
        self._window_clock = window_clock
        self._schedule = schedule
        self._collector = collector
        self._ledger = ledger
        self._leader = leader
        self._duties = duties
        self._peers = peers
        self._directory = directory
        self._holder = holder
        self._metrics = metrics
        self._merge_own = merge_own
        self._term: _Term | None = None

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            fence = self._leader.duty_fence(self._clock.monotonic())
            if fence is None:
                self._term = None
                continue
            try:
                await self._run_cycle(fence)
            except KeyValueError as error:
                # The write may have succeeded: read the state from the store again.
                log_event("usage_not_stored", level="WARNING", error=error.code, fence=fence)
                self._term = None

    async def _run_cycle(self, fence: Fence) -> None:
        term = self._term
        if term is None or term.fence != fence:
            term = self._term = await self._resume(fence)
        self._merge_own()
        await self._collect(term)
        if not await self._finalize_reports(term) or not await self._save(term):
            # Another node is the leader, or an earlier write has succeeded.
            self._term = None
            return
        await self._deliver(term)

    async def _resume(self, fence: Fence) -> _Term:
        """Resume from the data in the store."""
        stored = await self._ledger.read()
        collected = stored.collected
        if collected is not None:
            self._collector.merge_all(collected.nodes)
        last_window = stored.reports[-1].window if stored.reports else None
        next_window = self._schedule.window_to_report(last_window, self._window_clock.now())
        if last_window is not None and next_window > last_window + 1:
            log_event(
                "usage_windows_skipped",
                level="WARNING",
                first=last_window + 1,
                count=next_window - last_window - 1,
            )
        delivered = collected.delivered if collected is not None else WindowNumber(-1)
        undelivered = [report for report in stored.reports if report.window > delivered]
        log_event(
            "usage_taken_up", fence=fence, next_window=next_window, undelivered=len(undelivered)
        )
        return _Term(
            fence=fence, next_window=next_window, delivered=delivered, undelivered=undelivered
        )

    # Collecting

    async def _collect(self, term: _Term) -> None:
        """Fetch counts from the watchers and, after a while, from incomplete nodes."""
        now = self._clock.monotonic()
        if now - term.collected_at < COLLECT_INTERVAL_SECONDS:
            return
        term.collected_at = now
        targets = set(self._directory.ranking.watchers)
        end = self._schedule.length.end_of(term.next_window)
        if self._window_clock.now() - end >= QUERY_NODES_AFTER_SECONDS:
            targets.update(self._collector.incomplete_nodes(self._directory.ranking.nodes, end))
        await self._query(self._directory.responsive_among(targets))

    async def _query(self, addresses: Collection[NetworkAddress]) -> None:
        await asyncio.gather(*(self._query_node(address) for address in addresses))

    async def _query_node(self, address: NetworkAddress) -> None:
        try:
            reply = await self._peers.call(address, CollectUsage(), CALL_TIMEOUT_SECONDS)
        except PeerUnavailableError as error:
            self._directory.mark_unresponsive(address)
            log_event("usage_not_collected", level="DEBUG", node=str(address), error=error.code)
            return
        if isinstance(reply, UsageReply):
            self._collector.merge_all(reply.nodes)

    # Finalizing

    async def _finalize_reports(self, term: _Term) -> bool:
        """Finalize reports of completed windows; return whether this node is still the leader."""
        while True:
            window = term.next_window
            now = self._window_clock.now()
            end = self._schedule.length.end_of(window)
            incomplete_nodes = self._collector.incomplete_nodes(self._directory.ranking.nodes, end)
            if not self._schedule.can_finalize(window, now, is_complete=not incomplete_nodes):
                return True
            report = WindowCounts(window=window, counts=self._collector.counts(window))
            if not await self._ledger.write_report(report, self._leader.guard(term.fence)):
                return False
            log_event(
                "usage_fixed",
                window=window,
                requests=sum(report.counts.values()),
                tenants=len(report.counts),
                missing_nodes=len(incomplete_nodes),
                waited_seconds=round(now - end, 3),
            )
            term.undelivered.append(report)
            term.next_window = WindowNumber(window + 1)
            self._collector.discard_before(term.next_window)

    async def _save(self, term: _Term) -> bool:
        """Save collected counts periodically; return whether this node is still the leader."""
        now = self._clock.monotonic()
        if now - term.saved_at < SAVE_INTERVAL_SECONDS:
            return True
        term.saved_at = now
        self._collector.discard_inactive(self._schedule.length.end_of(term.next_window))
        collected = CollectedUsage(delivered=term.delivered, nodes=self._collector.snapshot())
        return await self._ledger.save_collected(collected, self._leader.guard(term.fence))

    # Delivering

    async def _deliver(self, term: _Term) -> None:
        """Send final reports to the platform in order, until one is not accepted."""
        while term.undelivered and self._clock.monotonic() >= term.retry_at:
            if self._leader.duty_fence(self._clock.monotonic()) != term.fence:
                return
            report = term.undelivered[0]
            token = DutyToken(holder=self._holder, fence=term.fence)
            outcome = await self._duties.report_usage(
                token, UsageReport(window=report.window, counts=report.counts)
            )
            self._metrics.count_duty("usage", outcome)
            log_event(
                "usage_reported",
                window=report.window,
                fence=term.fence,
                outcome=outcome,
                late_seconds=round(self._lateness(report.window), 3),
            )
            if outcome is DutyOutcome.FENCED:
                self._leader.step_down("fenced")
                return
            if outcome is not DutyOutcome.ACCEPTED:
                term.retry_at = self._clock.monotonic() + RETRY_SECONDS
                return
            term.undelivered.pop(0)
            term.delivered = report.window

    def _lateness(self, window: WindowNumber) -> float:
        """Return the time since a window's report was due; negative before that."""
        due_at = self._schedule.length.end_of(window) + self._schedule.due_seconds
        return self._window_clock.now() - due_at
