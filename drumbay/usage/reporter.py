"""Reports usage to the platform while this node leads."""

import asyncio
from collections.abc import Callable, Collection

import msgspec

from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
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
COLLECT_SECONDS = 1.0
"""A node that is killed takes with it what nobody has fetched; nodes that follow a watcher tell it
their counts about as often."""

ASK_NODES_AFTER_SECONDS = 2.0
"""So long after the end of a window nodes that are still missing are asked themselves: they follow
nobody just now, or a watcher that died."""

SAVE_SECONDS = 2.0
"""Counts that are lost if every process is killed at once are at most so old. Each save is a priced
call."""

CALL_SECONDS = 0.5
RETRY_SECONDS = 0.5
"""Pause after a call that the platform did not accept."""


class _Lead(msgspec.Struct, kw_only=True):
    """What this node does under one fence.

    ``undelivered`` are reports that are fixed and not surely accepted, oldest first.
    """

    fence: Fence
    next_window: WindowNumber
    delivered: WindowNumber
    undelivered: list[WindowCounts]
    collected_at: float = float("-inf")
    saved_at: float = float("-inf")
    not_before: float = float("-inf")


class UsageReporter:
    """Collects, fixes and delivers one report per window."""

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
        note_own: Callable[[], None],
    ) -> None:
        """Create a reporter that does not lead.

        Args:
            clock: Time.
            window_clock: Time of day for windows.
            schedule: When reports are fixed.
            collector: What nodes have told this one.
            ledger: What is kept in the store.
            leader: Says whether this node holds the duty.
            duties: The platform.
            peers: Calls to other nodes.
            directory: The nodes.
            holder: This machine, as the platform knows it.
            metrics: Counts reports.
            note_own: Takes this node's own counts into the collector.
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
        self._note_own = note_own
        self._lead: _Lead | None = None

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            fence = self._leader.duty_fence(self._clock.monotonic())
            if fence is None:
                self._lead = None
                continue
            try:
                await self._advance(fence)
            except KeyValueError as error:
                # A write may have been carried out: the store says what stands.
                log_event("usage_not_stored", level="WARNING", error=error.code, fence=fence)
                self._lead = None

    async def _advance(self, fence: Fence) -> None:
        lead = self._lead
        if lead is None or lead.fence != fence:
            lead = self._lead = await self._take_up(fence)
        self._note_own()
        await self._collect(lead)
        if not await self._fix_reports(lead) or not await self._save(lead):
            # Another node leads, or an earlier write of this one was carried out.
            self._lead = None
            return
        await self._deliver(lead)

    async def _take_up(self, fence: Fence) -> _Lead:
        """Go on from what the store holds."""
        stored = await self._ledger.read()
        collected = stored.collected
        if collected is not None:
            self._collector.take_all(collected.nodes)
        last = stored.reports[-1].window if stored.reports else None
        next_window = self._schedule.first_after(last, self._window_clock.now())
        if last is not None and next_window > last + 1:
            log_event(
                "usage_windows_skipped",
                level="WARNING",
                first=last + 1,
                count=next_window - last - 1,
            )
        delivered = collected.delivered if collected is not None else WindowNumber(-1)
        undelivered = [report for report in stored.reports if report.window > delivered]
        log_event(
            "usage_taken_up", fence=fence, next_window=next_window, undelivered=len(undelivered)
        )
        return _Lead(
            fence=fence, next_window=next_window, delivered=delivered, undelivered=undelivered
        )

    # Collecting

    async def _collect(self, lead: _Lead) -> None:
        """Fetch what the nodes hold that watch for others, and what missing nodes have counted."""
        now = self._clock.monotonic()
        if now - lead.collected_at < COLLECT_SECONDS:
            return
        lead.collected_at = now
        asked = set(self._directory.ranking.watchers)
        end = self._schedule.length.end_of(lead.next_window)
        if self._window_clock.now() - end >= ASK_NODES_AFTER_SECONDS:
            asked.update(self._collector.missing(self._directory.ranking.nodes, end))
        await self._ask(self._directory.others_responsive(asked))

    async def _ask(self, addresses: Collection[NetworkAddress]) -> None:
        await asyncio.gather(*(self._ask_one(address) for address in addresses))

    async def _ask_one(self, address: NetworkAddress) -> None:
        try:
            reply = await self._peers.call(address, CollectUsage(), CALL_SECONDS)
        except PeerUnavailableError as error:
            self._directory.note_silent(address)
            log_event("usage_not_collected", level="DEBUG", node=str(address), error=error.code)
            return
        if isinstance(reply, UsageReply):
            self._collector.take_all(reply.nodes)

    # Fixing

    async def _fix_reports(self, lead: _Lead) -> bool:
        """Fix the reports of the windows that are over; return whether this node may go on."""
        while True:
            window = lead.next_window
            now = self._window_clock.now()
            end = self._schedule.length.end_of(window)
            missing = self._collector.missing(self._directory.ranking.nodes, end)
            if not self._schedule.may_fix(window, now, is_complete=not missing):
                return True
            report = WindowCounts(window=window, counts=self._collector.counts(window))
            if not await self._ledger.decide(report, self._leader.guard(lead.fence)):
                return False
            log_event(
                "usage_fixed",
                window=window,
                requests=sum(report.counts.values()),
                tenants=len(report.counts),
                missing_nodes=len(missing),
                waited_seconds=round(now - end, 3),
            )
            lead.undelivered.append(report)
            lead.next_window = WindowNumber(window + 1)
            self._collector.forget_before(lead.next_window)

    async def _save(self, lead: _Lead) -> bool:
        """Keep the counts on their way from time to time; return whether this node may go on."""
        now = self._clock.monotonic()
        if now - lead.saved_at < SAVE_SECONDS:
            return True
        lead.saved_at = now
        self._collector.forget_silent(self._schedule.length.end_of(lead.next_window))
        collected = CollectedUsage(delivered=lead.delivered, nodes=self._collector.snapshot())
        return await self._ledger.save(collected, self._leader.guard(lead.fence))

    # Delivering

    async def _deliver(self, lead: _Lead) -> None:
        """Tell the platform what is fixed, in order, until a call is not accepted."""
        while lead.undelivered and self._clock.monotonic() >= lead.not_before:
            if self._leader.duty_fence(self._clock.monotonic()) != lead.fence:
                return
            report = lead.undelivered[0]
            token = DutyToken(holder=self._holder, fence=lead.fence)
            outcome = await self._duties.report_usage(
                token, UsageReport(window=report.window, counts=report.counts)
            )
            self._metrics.count_duty("usage", outcome)
            log_event(
                "usage_reported",
                window=report.window,
                fence=lead.fence,
                outcome=outcome,
                late_seconds=round(self._lateness(report.window), 3),
            )
            if outcome is DutyOutcome.FENCED:
                self._leader.step_down("fenced")
                return
            if outcome is not DutyOutcome.ACCEPTED:
                lead.not_before = self._clock.monotonic() + RETRY_SECONDS
                return
            lead.undelivered.pop(0)
            lead.delivered = report.window

    def _lateness(self, window: WindowNumber) -> float:
        """Return how long ago a window's report fell due; negative before that."""
        due_at = self._schedule.length.end_of(window) + self._schedule.due_seconds
        return self._window_clock.now() - due_at
