"""The share of one batch job in the places of its service's workers, at the node that owns it."""

from collections import Counter
from collections.abc import Set

import msgspec

from drumbay.batches.decisions import PlaceShare
from drumbay.batches.place_sharing import PlaceSharing
from drumbay.batches.places import JobPlaces, time_slot
from drumbay.batches.records import BatchSpec, ItemId
from drumbay.batches.scheduler import BatchScheduler
from drumbay.batches.shared_places import Competition
from drumbay.batches.worker_choice import UNVERSIONED
from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.workers.directory import WorkerDirectory

SETTLE_SECONDS = 0.08
"""Owners that begin in one moment have told each other by then what they want: more than the time
between two notices and a call."""


class JobShare:
    """Counts the places that a batch job holds, tells what it wants, and learns its share.

    Attributes:
        is_open: Whether the batch job is; an ended one starts nothing more.
        held_items: Items that must not start now, and so want no place.
    """

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        sharing: PlaceSharing,
        metrics: ServingMetrics,
        spec: BatchSpec,
        scheduler: BatchScheduler,
        began_at: float,
    ) -> None:
        """Create the share of a job that holds nothing.

        Args:
            clock: Time.
            directory: The workers.
            sharing: What other jobs leave.
            metrics: Counts steps that are deferred.
            spec: The batch job.
            scheduler: Its items.
            began_at: Monotonic time of its submission.
        """
        self.is_open = True
        self.held_items: Set[ItemId] = frozenset()
        self._clock = clock
        self._directory = directory
        self._sharing = sharing
        self._metrics = metrics
        self._spec = spec
        self._scheduler = scheduler
        self._began_at = began_at
        self._owned_at = clock.monotonic()
        self._missed = sharing.missed_before(spec)
        self._running: Counter[BackendId] = Counter()
        self._places: JobPlaces | None = None
        self._is_feasible = True

    def hold(self, worker_id: BackendId) -> None:
        """Note a run that takes a place."""
        self._running[worker_id] += 1

    def release(self, worker_id: BackendId) -> None:
        """Note a run that gives its place back."""
        self._running[worker_id] -= 1
        self._sharing.note_change()

    def places(self) -> JobPlaces:
        """Return what the batch job holds and wants at the workers.

        What could start nowhere, were every place free, is not startable: others may go first.
        """
        now = self._clock.monotonic()
        offset = self._clock.wall() - now
        waiting: list[float | None] = []
        startable: list[float | None] = []
        if self.is_open:
            room = max(0, self._usable_places(now) - self._running.total())
            waiting = self._scheduler.latest_starts(self.held_items, now)
            startable = waiting[:room]
        due_at = self._scheduler.due_at
        self._places = JobPlaces(
            batch_id=self._spec.batch_id,
            service=self._spec.service,
            model=self._spec.model,
            priority=self._spec.priority,
            is_open=self.is_open,
            began_slot=time_slot(self._began_at + offset),
            due_slot=None if due_at is None else time_slot(due_at + offset),
            missed=self._missed,
            missing_groups=self._scheduler.missing_groups,
            running={worker_id: count for worker_id, count in self._running.items() if count},
            waiting=len(waiting),
            startable=len(startable),
            starts=Counter(time_slot(at + offset) for at in startable if at is not None),
            work_seconds=self._scheduler.work_seconds() if self.is_open else 0.0,
        )
        return self._places

    @property
    def last_places(self) -> JobPlaces:
        """Return what the batch job held and wanted when that was worked out last."""
        return self._places or self.places()

    def _usable_places(self, now: float) -> int:
        """Return the places of the workers that may run items, taken ones included."""
        model = self._spec.model
        return sum(
            record.worker.slots
            for record in self._directory.of_service(self._spec.service)
            if record.takes(model, now)
            and not record.is_refusing(model, now)
            and (record.version_of(model, now) or UNVERSIONED) >= self._spec.minimum_version
        )

    def learn(self, now: float) -> PlaceShare:
        """Return what other batch jobs leave to this one; log when it begins or ceases to wait.

        Steps of several trainers often begin in one moment: until it is known what the others
        want, only long items start, which go first whatever others want.
        """
        share = self._sharing.share_for(self, self._spec.service)
        competition = share.competition
        if competition is None:
            is_settling = now < self._owned_at + SETTLE_SECONDS
            long_only = is_settling and self._sharing.has_rivals(self._spec.service)
            return msgspec.structs.replace(share, long_only=long_only)
        if competition.is_feasible != self._is_feasible and self.last_places.startable:
            self._is_feasible = competition.is_feasible
            self._log_turn(competition, now)
        return share

    def _log_turn(self, competition: Competition, now: float) -> None:
        self._metrics.count_step_turn("in_time" if competition.is_feasible else "deferred")
        own = self.last_places
        due_at = self._scheduler.due_at
        log_event(
            "step_turn",
            batch=self._spec.batch_id,
            model=self._spec.model,
            is_in_time=competition.is_feasible,
            age_seconds=round(now - self._began_at, 3),
            due_in_seconds=None if due_at is None else round(due_at - now, 3),
            work_seconds=round(own.work_seconds, 3),
            others_work_seconds=round(competition.others_work_seconds, 3),
            places=competition.places,
            free=competition.free,
            waiting=own.waiting,
            missed=own.missed,
        )
