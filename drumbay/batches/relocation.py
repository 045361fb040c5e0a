"""Gives batch jobs away that this node may no longer hold, as the allowed regions have changed."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.delegation import Delegation
from drumbay.batches.records import BatchId
from drumbay.batches.runner import BatchRunner
from drumbay.clock import Clock
from drumbay.observability.logs import log_event

RELOCATION_INTERVAL_SECONDS = 1.0
MAX_PAUSE_SECONDS = 8.0
"""Longest pause between attempts: each one holds back starts for up to ``RUNS_END_SECONDS``."""

RUNS_END_SECONDS = 3.0
"""How long the runs of a batch job that is about to move may go on."""

RUNS_END_POLL_SECONDS = 0.05


class _Pause(msgspec.Struct, frozen=True):
    """Time until the next attempt for a batch job that no node has taken over."""

    seconds: float
    ends_at: float


class Relocation:
    """Lets nodes in the allowed regions take over; a batch job goes on here while none does."""

    def __init__(
        self,
        clock: Clock,
        holders: BodyHolders,
        delegation: Delegation,
        owned_runners: Callable[[], Iterable[BatchRunner]],
        drop_runner: Callable[[BatchId], None],
    ) -> None:
        """Create the relocation of the batch jobs that ``owned_runners`` returns.

        Args:
            clock: Time.
            holders: Decides which nodes may hold a batch job.
            delegation: Asks other nodes to take over.
            owned_runners: Returns the runners of the owned batch jobs.
            drop_runner: Called once another node owns a batch job.
        """
        self._clock = clock
        self._holders = holders
        self._delegation = delegation
        self._owned_runners = owned_runners
        self._drop_runner = drop_runner
        self._pauses: dict[BatchId, _Pause] = {}

    async def run(self) -> None:
        """Give away the batch jobs that this node may no longer hold, until cancelled."""
        while True:
            await self._clock.sleep(RELOCATION_INTERVAL_SECONDS)
            outside = [runner for runner in self._owned_runners() if not self._is_allowed(runner)]
            ids = {runner.spec.batch_id for runner in outside}
            self._pauses = {key: pause for key, pause in self._pauses.items() if key in ids}
            await asyncio.gather(
                *(self._relocate(runner) for runner in outside if self._is_due(runner))
            )

    def _is_allowed(self, runner: BatchRunner) -> bool:
        return self._holders.includes_this_node(self._holders.regions_of(runner.spec))

    def _is_due(self, runner: BatchRunner) -> bool:
        pause = self._pauses.get(runner.spec.batch_id)
        return pause is None or pause.ends_at <= self._clock.monotonic()

    async def _relocate(self, runner: BatchRunner) -> None:
        batch_id = runner.spec.batch_id
        try:
            if self._holders.ranked(batch_id, self._holders.regions_of(runner.spec)):
                runner.holds_starts = True
                await self._wait_until_idle(runner)
            if self._is_allowed(runner):
                return
            regions = self._holders.regions_of(runner.spec)
            is_replaced = await self._delegation.take_over(
                batch_id, runner.revision, regions, owner_is_gone=False
            )
        finally:
            runner.holds_starts = False
        if not is_replaced:
            self._lengthen_pause(batch_id)
        elif any(owned is runner for owned in self._owned_runners()):
            log_event("batch_relocated", batch=batch_id, allowed_regions=",".join(regions.names()))
            runner.close()
            self._drop_runner(batch_id)

    async def _wait_until_idle(self, runner: BatchRunner) -> None:
        until = self._clock.monotonic() + RUNS_END_SECONDS
        while not runner.is_idle and self._clock.monotonic() < until:
            await self._clock.sleep(RUNS_END_POLL_SECONDS)

    def _lengthen_pause(self, batch_id: BatchId) -> None:
        previous = self._pauses.get(batch_id)
        seconds = 2 * previous.seconds if previous else RELOCATION_INTERVAL_SECONDS
        seconds = min(seconds, MAX_PAUSE_SECONDS)
        self._pauses[batch_id] = _Pause(seconds, self._clock.monotonic() + seconds)
