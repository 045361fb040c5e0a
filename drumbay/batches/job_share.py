"""Worker slots of one batch job: usage, demand, and its share when other jobs compete."""

from collections import Counter
from collections.abc import Callable, Iterable, Set

import msgspec

from drumbay.batches.decisions import SlotShare
from drumbay.batches.job_service import JobService
from drumbay.batches.records import BatchSpec, ItemId
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.slot_contention import Contention
from drumbay.batches.slot_sharing import SlotSharing
from drumbay.batches.slot_usage import JobSlotUsage, time_slot
from drumbay.batches.worker_selector import UNVERSIONED
from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.worker_record import WorkerRecord

SETTLE_SECONDS = 0.08
"""Time for owners that start together to exchange their first slot notices."""


class JobShare:
    """Tracks the slots that a batch job uses, publishes its demand and returns its share.

    Attributes:
        is_open: Whether the batch job is open; an ended one starts no more items.
        held_back_items: Items that must not start now and therefore need no slot.
    """

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        slot_sharing: SlotSharing,
        metrics: ServingMetrics,
        placement: PlacementGate,
        allowed_regions: Callable[[], AllowedRegions],
        service: JobService,
        spec: BatchSpec,
        scheduler: BatchScheduler,
        submitted_at: float,
    ) -> None:
        """Create the share of a job that uses no slots.

        Args:
            clock: Time.
            directory: The workers.
            slot_sharing: Slot usage of the other jobs.
            metrics: Counts deferred steps.
            placement: Decides which workers may run the items.
            allowed_regions: Returns the regions in which the items may run now.
            service: The service that runs the items.
            spec: The batch job.
            scheduler: Schedules its items.
            submitted_at: Monotonic time of its submission.
        """
        self.is_open = True
        self.held_back_items: Set[ItemId] = frozenset()
        self._clock = clock
        self._directory = directory
        self._slot_sharing = slot_sharing
        self._metrics = metrics
        self._placement = placement
        self._allowed_regions = allowed_regions
        self._service = service
        self._spec = spec
        self._scheduler = scheduler
        self._submitted_at = submitted_at
        self._owned_at = clock.monotonic()
        self._late_streak = slot_sharing.late_streak_before(spec)
        self._running: Counter[BackendId] = Counter()
        self._slot_usage: JobSlotUsage | None = None
        self._is_feasible = True

    def add_run(self, worker_id: BackendId) -> None:
        """Record a run that takes a slot."""
        self._running[worker_id] += 1

    def remove_run(self, worker_id: BackendId) -> None:
        """Record a run that frees its slot."""
        self._running[worker_id] -= 1
        self._slot_sharing.schedule_notice()

    def slot_usage(self) -> JobSlotUsage:
        """Return the slots that the batch job uses and needs.

        Waiting items that would not fit even if every usable slot were free are not startable.
        """
        now = self._clock.monotonic()
        wall_offset = self._clock.wall() - now
        waiting: list[float | None] = []
        startable: list[float | None] = []
        if self.is_open:
            waiting = self._scheduler.latest_starts(self.held_back_items, now)
            startable = waiting[: self._free_slots(now)]
        due_at = self._scheduler.due_at
        self._slot_usage = JobSlotUsage(
            batch_id=self._spec.batch_id,
            service=self._service.name,
            model=self._spec.model,
            priority=self._spec.priority,
            is_open=self.is_open,
            began_slot=time_slot(self._submitted_at + wall_offset),
            due_slot=None if due_at is None else time_slot(due_at + wall_offset),
            missed=self._late_streak,
            missing_groups=self._scheduler.missing_groups,
            running={worker_id: count for worker_id, count in self._running.items() if count},
            waiting=len(waiting),
            startable=len(startable),
            starts=Counter(time_slot(at + wall_offset) for at in startable if at is not None),
            work_seconds=self._scheduler.work_seconds() if self.is_open else 0.0,
        )
        return self._slot_usage

    @property
    def last_slot_usage(self) -> JobSlotUsage:
        """Return the result of the last :meth:`slot_usage` call."""
        return self._slot_usage or self.slot_usage()

    def _free_slots(self, now: float) -> int:
        """Return the slots that the job's waiting items could take.

        Runs that end in an evacuated zone take no slot of the other workers.
        """
        records = self._directory.of_service(self._service.name)
        in_service = self._placement.in_service(records, self._allowed_regions())
        running = self._running.total()
        if len(in_service) < len(records):
            running -= self._running_out_of_service(records, in_service)
        return max(0, self._usable_slots(in_service, now) - running)

    def _running_out_of_service(
        self, records: Iterable[WorkerRecord], in_service: Iterable[WorkerRecord]
    ) -> int:
        out_of_service = {r.worker.worker_id for r in records} - {
            r.worker.worker_id for r in in_service
        }
        return sum(self._running[worker_id] for worker_id in out_of_service)

    def _usable_slots(self, records: Iterable[WorkerRecord], now: float) -> int:
        """Return all slots, used or free, of the workers that may run the items."""
        model = self._spec.model
        return sum(
            record.worker.slots
            for record in records
            if record.accepts_model(model, now)
            and not record.is_refusing(model, now)
            and (record.version_of(model, now) or UNVERSIONED) >= self._spec.minimum_version
        )

    def current_share(self, now: float) -> SlotShare:
        """Return the slots left by other batch jobs; log when the step's feasibility changes.

        Steps of several trainers often start together. Until the demand of the others is known,
        only long items start, since they start first in any case.
        """
        share = self._slot_sharing.share_for(self, self._service.name)
        contention = share.contention
        if contention is None:
            is_settling = now < self._owned_at + SETTLE_SECONDS
            long_items_only = is_settling and self._slot_sharing.has_competing_routes(
                self._service.name
            )
            return msgspec.structs.replace(share, long_items_only=long_items_only)
        if contention.is_feasible != self._is_feasible and self.last_slot_usage.startable:
            self._is_feasible = contention.is_feasible
            self._log_feasibility_change(contention, now)
        return share

    def _log_feasibility_change(self, contention: Contention, now: float) -> None:
        self._metrics.count_step_turn("in_time" if contention.is_feasible else "deferred")
        own = self.last_slot_usage
        due_at = self._scheduler.due_at
        log_event(
            "step_turn",
            batch=self._spec.batch_id,
            model=self._spec.model,
            is_in_time=contention.is_feasible,
            age_seconds=round(now - self._submitted_at, 3),
            due_in_seconds=None if due_at is None else round(due_at - now, 3),
            work_seconds=round(own.work_seconds, 3),
            others_work_seconds=round(contention.others_work_seconds, 3),
            places=contention.total_slots,
            free=contention.free_slots,
            waiting=own.waiting,
            missed=own.missed,
        )
