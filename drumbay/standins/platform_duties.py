"""Emulated platform API for leader duties: fencing, outages and delayed calls."""

import asyncio
from collections.abc import Mapping

import msgspec

from drumbay.clock import Clock
from drumbay.duties.interface import DutyOutcome, DutyToken, UsageReport, WorkerCount
from drumbay.tenants.records import TenantName

RESPONSE_DELAY_SECONDS = 0.004
CALL_TIMEOUT_SECONDS = 2.0


class LoggedCall(msgspec.Struct, frozen=True, kw_only=True):
    """An executed call."""

    at: float
    token: DutyToken
    report: UsageReport | None = None
    count: WorkerCount | None = None


class EmulatedPlatformDuties:
    """Emulated platform, shared by all nodes.

    Attributes:
        down: Whether calls are deferred without being executed.
        unanswered_next: Number of next calls that get no response.
        late_execution_seconds: Delay after which calls without a response are executed; never if
            ``None``.
        calls: Executed calls, oldest first.
        refused: Tokens of calls whose fence was too low.
        usage: First accepted counts of each window.
        conflicting_reports: Accepted reports whose counts differ from the first ones of the window.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a platform without faults and calls."""
        self._clock = clock
        self._highest_fence = 0
        self._late_tasks: set[asyncio.Task[None]] = set()
        self.down = False
        self.unanswered_next = 0
        self.late_execution_seconds: float | None = None
        self.calls: list[LoggedCall] = []
        self.refused: list[DutyToken] = []
        self.usage: dict[int, Mapping[TenantName, int]] = {}
        self.conflicting_reports: list[UsageReport] = []

    async def report_usage(self, token: DutyToken, report: UsageReport) -> DutyOutcome:
        """Handle a usage report."""
        return await self._handle(LoggedCall(at=0.0, token=token, report=report))

    async def set_worker_count(self, token: DutyToken, count: WorkerCount) -> DutyOutcome:
        """Handle an order for a worker count."""
        return await self._handle(LoggedCall(at=0.0, token=token, count=count))

    async def _handle(self, call: LoggedCall) -> DutyOutcome:
        if self.unanswered_next:
            self.unanswered_next -= 1
            if self.late_execution_seconds is not None:
                task = asyncio.ensure_future(self._execute_late(call, self.late_execution_seconds))
                self._late_tasks.add(task)
                task.add_done_callback(self._late_tasks.discard)
            await self._clock.sleep(CALL_TIMEOUT_SECONDS)
            return DutyOutcome.UNANSWERED
        await self._clock.sleep(RESPONSE_DELAY_SECONDS)
        if self.down:
            return DutyOutcome.DEFERRED
        return self._execute(call)

    async def _execute_late(self, call: LoggedCall, seconds: float) -> None:
        await self._clock.sleep(seconds)
        self._execute(call)

    def _execute(self, call: LoggedCall) -> DutyOutcome:
        if call.token.fence < self._highest_fence:
            self.refused.append(call.token)
            return DutyOutcome.FENCED
        self._highest_fence = call.token.fence
        self.calls.append(msgspec.structs.replace(call, at=self._clock.monotonic()))
        if call.report is not None:
            self._record_usage(call.report)
        return DutyOutcome.ACCEPTED

    def _record_usage(self, report: UsageReport) -> None:
        accepted = self.usage.setdefault(report.window, report.counts)
        if accepted != report.counts:
            self.conflicting_reports.append(report)

    def has_alternating_holders(self, window_seconds: float) -> bool:
        """Return whether calls went from one holder to another and back within a window."""
        last_call_at: dict[str, float] = {}
        previous: str | None = None
        for call in self.calls:
            holder = call.token.holder
            returned = previous is not None and holder != previous and holder in last_call_at
            if returned and call.at - last_call_at[holder] < window_seconds:
                return True
            last_call_at[holder] = call.at
            previous = holder
        return False
