"""Emulated platform API for the duties of one node: fences, outages, and calls carried out late."""

import asyncio
from collections.abc import Mapping

import msgspec

from drumbay.clock import Clock
from drumbay.duties.interface import DutyOutcome, DutyToken, UsageReport, WorkerCount
from drumbay.tenants.records import TenantName

ANSWER_SECONDS = 0.004
UNANSWERED_SECONDS = 2.0


class LoggedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that was carried out, and when."""

    at: float
    token: DutyToken
    report: UsageReport | None = None
    count: WorkerCount | None = None


class EmulatedPlatformDuties:
    """The platform as all nodes of a world reach it.

    Attributes:
        down: Whether calls are refused without being carried out.
        silent_next: So many of the next calls get no answer.
        silent_late_seconds: Calls without an answer are carried out after this time; never if
            ``None``.
        calls: Every call that was carried out, oldest first.
        refused: Calls whose fence was too low.
        usage: The counts accepted for each window; a second report of other counts stands in
            ``contradictions``.
    """

    def __init__(self, clock: Clock) -> None:
        """Start sound, without a call seen."""
        self._clock = clock
        self._highest_fence = 0
        self._late: set[asyncio.Task[None]] = set()
        self.down = False
        self.silent_next = 0
        self.silent_late_seconds: float | None = None
        self.calls: list[LoggedCall] = []
        self.refused: list[DutyToken] = []
        self.usage: dict[int, Mapping[TenantName, int]] = {}
        self.contradictions: list[UsageReport] = []

    async def report_usage(self, token: DutyToken, report: UsageReport) -> DutyOutcome:
        """Take one report."""
        return await self._take(LoggedCall(at=0.0, token=token, report=report))

    async def set_worker_count(self, token: DutyToken, count: WorkerCount) -> DutyOutcome:
        """Take one order."""
        return await self._take(LoggedCall(at=0.0, token=token, count=count))

    async def _take(self, call: LoggedCall) -> DutyOutcome:
        if self.silent_next:
            self.silent_next -= 1
            if self.silent_late_seconds is not None:
                task = asyncio.ensure_future(self._carry_out_late(call, self.silent_late_seconds))
                self._late.add(task)
                task.add_done_callback(self._late.discard)
            await self._clock.sleep(UNANSWERED_SECONDS)
            return DutyOutcome.UNANSWERED
        await self._clock.sleep(ANSWER_SECONDS)
        if self.down:
            return DutyOutcome.DEFERRED
        return self._carry_out(call)

    async def _carry_out_late(self, call: LoggedCall, seconds: float) -> None:
        await self._clock.sleep(seconds)
        self._carry_out(call)

    def _carry_out(self, call: LoggedCall) -> DutyOutcome:
        if call.token.fence < self._highest_fence:
            self.refused.append(call.token)
            return DutyOutcome.FENCED
        self._highest_fence = call.token.fence
        self.calls.append(msgspec.structs.replace(call, at=self._clock.monotonic()))
        if call.report is not None:
            self._note_usage(call.report)
        return DutyOutcome.ACCEPTED

    def _note_usage(self, report: UsageReport) -> None:
        known = self.usage.setdefault(report.window, report.counts)
        if known != report.counts:
            self.contradictions.append(report)

    def holders_in_turns(self, turn_seconds: float) -> bool:
        """Return whether two machines called in turns: A, B and A again within a turn."""
        last_of: dict[str, float] = {}
        previous: str | None = None
        for call in self.calls:
            holder = call.token.holder
            returned = previous is not None and holder != previous and holder in last_of
            if returned and call.at - last_of[holder] < turn_seconds:
                return True
            last_of[holder] = call.at
            previous = holder
        return False
