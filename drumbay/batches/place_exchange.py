"""Tells the other owners of batch jobs what this node's jobs hold and want, and hears of theirs."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress

from drumbay.batches.places import JobPlaces, NoticeNumber, time_slot
from drumbay.batches.shared_places import SharedPlaces
from drumbay.batches.step_history import StepHistory
from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import PlacesNotice

TELL_INTERVAL_SECONDS = 0.05
"""Shortest time between two notices: half of the time between two plans of an owner."""

REPEAT_SECONDS = 0.5
"""What has not changed is told again after this time, so that an owner that ended is noticed."""


class PlaceExchange:
    """Keeps what owners of batch jobs know of each other's places."""

    def __init__(
        self,
        clock: Clock,
        own_address: NetworkAddress,
        boot: str,
        own_jobs: Callable[[], tuple[JobPlaces, ...]],
        other_owners: Callable[[], Iterable[NetworkAddress]],
        tell: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
    ) -> None:
        """Create an exchange that knows nothing.

        Args:
            clock: Time.
            own_address: Where other nodes call this one.
            boot: This process.
            own_jobs: Returns what this node's jobs hold and want.
            other_owners: Returns the other nodes that own open batch jobs, as far as known.
            tell: Sends a notice to some nodes.
        """
        self.shared = SharedPlaces()
        self.history = StepHistory()
        self._clock = clock
        self._own_address = own_address
        self._own_jobs = own_jobs
        self._other_owners = other_owners
        self._tell = tell
        self._boot = boot
        self._notices = 0
        self._changed = asyncio.Event()
        self._told: tuple[JobPlaces, ...] = ()

    def note_change(self) -> None:
        """Tell soon: a job came, or an item started or ended."""
        self._changed.set()

    def take(self, notice: PlacesNotice) -> None:
        """Take what another owner tells."""
        if notice.holder == self._own_address:
            return
        now = self._clock.monotonic()
        if self.shared.take(notice.holder, notice.jobs, now, notice.number):
            self._observe(notice.jobs)
            # What it told must expire even if this node has nothing to tell.
            self._changed.set()

    async def run(self) -> None:
        """Tell until cancelled; says nothing while this node owns no job."""
        while True:
            if not self._told and not self.shared.holders:
                await self._changed.wait()
            else:
                with suppress(TimeoutError):
                    async with asyncio.timeout(REPEAT_SECONDS):
                        await self._changed.wait()
            self._changed.clear()
            for holder in self.shared.expire(self._clock.monotonic()):
                log_event("places_of_owner_expired", owner=str(holder))
            self._tell_others()
            await self._clock.sleep(TELL_INTERVAL_SECONDS)

    def _tell_others(self) -> None:
        jobs = self._own_jobs()
        self._observe(jobs)
        addresses = {*self._other_owners(), *self.shared.holders} - {self._own_address}
        if addresses and (jobs or self._told):
            self._notices += 1
            number = NoticeNumber(self._boot, self._notices)
            notice = PlacesNotice(holder=self._own_address, number=number, jobs=jobs)
            self._tell(sorted(addresses), notice)
        self._told = jobs

    def _observe(self, jobs: Iterable[JobPlaces]) -> None:
        now_slot = time_slot(self._clock.wall())
        for job in jobs:
            self.history.observe(job, now_slot)
