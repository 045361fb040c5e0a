"""Shares worker slots between the batch jobs of this node and those of other owners.

When disabled, no notices are sent and each job uses all slots that it finds free.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from drumbay.batches.decisions import SlotShare
from drumbay.batches.owners import OwnerTable
from drumbay.batches.records import BatchSpec
from drumbay.batches.slot_contention import SlotCapacity
from drumbay.batches.slot_exchange import SlotExchange
from drumbay.batches.slot_usage import JobSlotUsage
from drumbay.batches.start_times import EventSizeEstimate
from drumbay.batches.step_history import MAX_TRACKED_MODELS
from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.routes import ServiceUse
from drumbay.identifiers import BackendId
from drumbay.peers.messages import PlacesNotice
from drumbay.placement.gate import PlacementGate
from drumbay.workers.directory import WorkerDirectory


class SharingJob(Protocol):
    """A batch job of this node that takes part in slot sharing."""

    def slot_usage(self) -> JobSlotUsage:
        """Return the slots that it uses and needs now."""
        ...

    @property
    def last_slot_usage(self) -> JobSlotUsage:
        """Return the result of the last :meth:`slot_usage` call."""
        ...


class SlotSharing:
    """Computes the share of slots of each of this node's batch jobs."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        owners: OwnerTable,
        service_use: ServiceUse,
        placement: PlacementGate,
        send_notice: Callable[[Iterable[NetworkAddress], PlacesNotice], None],
        jobs: Callable[[], Iterable[SharingJob]],
        *,
        is_enabled: bool,
    ) -> None:
        """Create an instance without reports of other owners.

        Args:
            clock: Time.
            directory: The workers.
            owners: Maps batch jobs to owners.
            service_use: Returns which kinds of requests reach a service.
            placement: Decides which workers are in service.
            send_notice: Sends a notice to other nodes.
            jobs: Returns this node's jobs, including ended ones with lingering runs.
            is_enabled: Whether slots are shared at all.
        """
        self._clock = clock
        self._directory = directory
        self._service_use = service_use
        self._placement = placement
        self._jobs = jobs
        self._is_enabled = is_enabled
        self._own_address = owners.identity.address
        self._event_sizes: dict[str, EventSizeEstimate] = {}
        self._exchange = SlotExchange(
            clock,
            owners.identity.address,
            owners.identity.boot,
            self.slot_usage if is_enabled else tuple,
            owners.open_batch_owners,
            send_notice,
        )

    def slot_usage(self) -> tuple[JobSlotUsage, ...]:
        """Return the slot usage of this node's jobs."""
        return tuple(job.slot_usage() for job in self._jobs())

    @property
    def is_enabled(self) -> bool:
        """Return whether slots are shared, so that owners send their slot usage."""
        return self._is_enabled

    def remote_owners(self) -> set[NetworkAddress]:
        """Return the other owners that have sent their slot usage."""
        return set(self._exchange.remote_usage.owners)

    def idle_owners(self) -> frozenset[NetworkAddress]:
        """Return the owners without waiting items, from what they and this node last reported."""
        idle = self._exchange.remote_usage.idle_owners
        if any(job.last_slot_usage.waiting for job in self._jobs()):
            return idle
        return idle | {self._own_address}

    def schedule_notice(self) -> None:
        """Send a notice soon, as a job or one of its runs has started or ended."""
        self._exchange.schedule_notice()

    def handle_notice(self, notice: PlacesNotice) -> None:
        """Store the slot usage that another owner sent."""
        if self._is_enabled:
            self._exchange.handle_notice(notice)

    async def run(self) -> None:
        """Send the slot usage of this node's jobs to other owners until cancelled."""
        await self._exchange.run()

    def has_competing_routes(self, service: str) -> bool:
        """Return whether several routes send batch jobs to a service."""
        return self._is_enabled and self._service_use.batch_routes(service) > 1

    def late_streak_before(self, spec: BatchSpec) -> int:
        """Return how many consecutive steps of the trainer before this job were late."""
        return self._exchange.history.late_streak_before(spec.model, spec.batch_id)

    def event_size_of(self, model: str) -> EventSizeEstimate:
        """Return the event size estimate of a model."""
        if model not in self._event_sizes and len(self._event_sizes) >= MAX_TRACKED_MODELS:
            del self._event_sizes[next(iter(self._event_sizes))]
        return self._event_sizes.setdefault(model, EventSizeEstimate())

    def share_for(self, job: SharingJob, service: str) -> SlotShare:
        """Return the slots that other batch jobs leave to one of this node's."""
        now = self._clock.monotonic()
        remote_usage = self._exchange.remote_usage
        remote_usage.expire(now)
        others = [other for other in self._jobs() if other is not job]
        if not self._is_enabled or (not remote_usage.owners and not others):
            return SlotShare()
        used = self._used_by_others(service, now)
        own = [job.slot_usage(), *(other.last_slot_usage for other in others)]
        wall_offset = self._clock.wall() - now
        capacity = self._capacity(service, used or {}, now)
        contention = remote_usage.contention(own[0], own, capacity, now, wall_offset)
        return SlotShare(used_by_others=used, contention=contention)

    def _capacity(self, service: str, used: Mapping[BackendId, int], now: float) -> SlotCapacity:
        in_service = self._placement.in_service(self._directory.of_service(service))
        records = [record for record in in_service if record.is_available(now)]
        return SlotCapacity(
            total=sum(record.worker.slots for record in records),
            free=sum(
                max(0, r.worker.slots - r.in_flight - used.get(r.worker.worker_id, 0))
                for r in records
            ),
        )

    def _used_by_others(self, service: str, now: float) -> Mapping[BackendId, int] | None:
        """Return the runs of other nodes by worker; ``None`` to use the workers' load reports.

        Notices cover batch items only. Where other requests reach the workers too, the higher one
        of both counts is used.
        """
        used = self._exchange.remote_usage.used_by_others(service)
        if used is None or self._service_use.has_only_batches(service):
            return used
        return {
            record.worker.worker_id: max(
                used.get(record.worker.worker_id, 0), record.reported_other_requests(now)
            )
            for record in self._directory.of_service(service)
        }
