"""Exchanges slot usage between the owners of batch jobs."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress

from drumbay.batches.slot_contention import RemoteSlotUsage
from drumbay.batches.slot_usage import JobSlotUsage, NoticeNumber, time_slot
from drumbay.batches.step_history import StepHistory
from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import PlacesNotice

MIN_NOTICE_INTERVAL_SECONDS = 0.05
"""Minimum time between two notices."""

NOTICE_REPEAT_SECONDS = 0.5
"""Unchanged usage is sent again after this time, so that ended owners are noticed."""


class SlotExchange:
    """Sends the slot usage of this node's jobs to other owners, and stores theirs."""

    def __init__(
        self,
        clock: Clock,
        own_address: NetworkAddress,
        boot: str,
        own_jobs: Callable[[], tuple[JobSlotUsage, ...]],
        other_owners: Callable[[], Iterable[NetworkAddress]],
        send: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
    ) -> None:
        """Create an exchange without reports.

        Args:
            clock: Time.
            own_address: Address of this node.
            boot: Boot identifier of this process.
            own_jobs: Returns the slot usage of this node's jobs.
            other_owners: Returns the nodes that own open batch jobs, as far as known.
            send: Sends a notice to nodes.
        """
        self.remote_usage = RemoteSlotUsage()
        self.history = StepHistory()
        self._clock = clock
        self._own_address = own_address
        self._own_jobs = own_jobs
        self._other_owners = other_owners
        self._send = send
        self._boot = boot
        self._notice_count = 0
        self._changed = asyncio.Event()
        self._last_sent: tuple[JobSlotUsage, ...] = ()

    def schedule_notice(self) -> None:
        """Send a notice soon, as a job or one of its runs has started or ended."""
        self._changed.set()

    def handle_notice(self, notice: PlacesNotice) -> None:
        """Store the slot usage that another owner sent."""
        if notice.holder == self._own_address:
            return
        now = self._clock.monotonic()
        if self.remote_usage.update(notice.holder, notice.jobs, now, notice.number):
            self._record_steps(notice.jobs)
            # Wakes run(), which expires the report even if this node owns no job.
            self._changed.set()

    async def run(self) -> None:
        """Send notices until cancelled; sends none while this node owns no job."""
        while True:
            if not self._last_sent and not self.remote_usage.owners:
                await self._changed.wait()
            else:
                with suppress(TimeoutError):
                    async with asyncio.timeout(NOTICE_REPEAT_SECONDS):
                        await self._changed.wait()
            self._changed.clear()
            for owner in self.remote_usage.expire(self._clock.monotonic()):
                log_event("places_of_owner_expired", owner=str(owner))
            self._send_notice()
            await self._clock.sleep(MIN_NOTICE_INTERVAL_SECONDS)

    def _send_notice(self) -> None:
        jobs = self._own_jobs()
        self._record_steps(jobs)
        addresses = {*self._other_owners(), *self.remote_usage.owners} - {self._own_address}
        if addresses and (jobs or self._last_sent):
            self._notice_count += 1
            number = NoticeNumber(self._boot, self._notice_count)
            notice = PlacesNotice(holder=self._own_address, number=number, jobs=jobs)
            self._send(sorted(addresses), notice)
        self._last_sent = jobs

    def _record_steps(self, jobs: Iterable[JobSlotUsage]) -> None:
        current_time_slot = time_slot(self._clock.wall())
        for job in jobs:
            self.history.observe(job, current_time_slot)
