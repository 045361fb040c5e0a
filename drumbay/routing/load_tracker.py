"""Load of each backend, from its status reports and this node's own attempts.

Status reports lag behind. The tracker counts this node's attempts that started or finished
after a report was taken, so that the reported load can be corrected. The caller passes in the
time; nothing here does I/O.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from drumbay.backends.interface import EngineStatus
from drumbay.explain.records import RejectionReason
from drumbay.identifiers import AttemptId, BackendId, BootId, Fence, WeightVersion
from drumbay.placement.topology import UNKNOWN_REGION
from drumbay.routing.backend_choice import BackendView

MAX_FINISHED_ATTEMPTS = 1024
"""Finished attempts kept per backend until a report covers them."""

SERVICE_TIME_EMA_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of the service time."""

_NO_FENCE = Fence(0)


class BackendAvailability(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a backend may be used, as determined by other components of the node.

    Attributes:
        is_reachable: Whether the backend answers status requests.
        circuit_admits: Whether its circuit breaker admits a request.
        is_draining: Whether a drain applies to it.
        is_evacuated: Whether its zone is being evacuated.
        is_leaving: Whether it is about to leave the cluster.
    """

    is_reachable: bool = True
    circuit_admits: bool = True
    is_draining: bool = False
    is_evacuated: bool = False
    is_leaving: bool = False

    def unavailability(self) -> RejectionReason | None:
        """Return why the backend must not be used; ``None`` if it is available."""
        if self.is_draining:
            return RejectionReason.DRAINED
        if self.is_evacuated:
            return RejectionReason.ZONE_EVACUATED
        if self.is_leaving:
            return RejectionReason.LEAVING
        if not self.is_reachable:
            return RejectionReason.UNREACHABLE
        if not self.circuit_admits:
            return RejectionReason.CIRCUIT_OPEN
        return None


class _FinishedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Start and end of one of this node's attempts, in monotonic time."""

    started_at: float
    finished_at: float


@dataclass
class _Entry:
    """Mutable state of one backend."""

    labels: Mapping[str, str]
    zone: str
    region: str = UNKNOWN_REGION
    availability: BackendAvailability = field(default_factory=BackendAvailability)
    running: int = 0
    waiting: int = 0
    reported_at: float | None = None
    boot_id: BootId | None = None
    weight_version: WeightVersion | None = None
    highest_fence: Fence = _NO_FENCE
    started_at: dict[AttemptId, float] = field(default_factory=dict)
    started_since_report: int = 0
    finished_since_report: int = 0
    finished: deque[_FinishedAttempt] = field(
        default_factory=lambda: deque(maxlen=MAX_FINISHED_ATTEMPTS)
    )
    mean_service_seconds: float | None = None
    view: BackendView | None = None

    def record_service_time(self, seconds: float) -> None:
        """Update the moving average with the duration of an attempt."""
        if self.mean_service_seconds is None:
            self.mean_service_seconds = seconds
        else:
            self.mean_service_seconds += SERVICE_TIME_EMA_WEIGHT * (
                seconds - self.mean_service_seconds
            )

    def recount_attempts(self, report_time: float) -> None:
        """Recount the attempts that started or finished after a report was taken."""
        while self.finished and self.finished[0].finished_at <= report_time:
            self.finished.popleft()
        self.started_since_report = sum(
            1 for started_at in self.started_at.values() if started_at > report_time
        )
        self.finished_since_report = sum(
            1 for attempt in self.finished if attempt.started_at <= report_time
        )


class LoadTracker:
    """Tracks the load of the backends known to this node."""

    def __init__(self) -> None:
        """Create a tracker without backends."""
        self._entries: dict[BackendId, _Entry] = {}

    def set_backend(
        self,
        backend_id: BackendId,
        labels: Mapping[str, str],
        zone: str,
        region: str = UNKNOWN_REGION,
    ) -> None:
        """Add a backend, or update its labels and place without resetting its load."""
        entry = self._entries.get(backend_id)
        if entry is None:
            self._entries[backend_id] = _Entry(labels=labels, zone=zone, region=region)
            return
        entry.labels = labels
        entry.zone = zone
        entry.region = region
        entry.view = None

    def remove_backend(self, backend_id: BackendId) -> None:
        """Remove a backend; its running attempts may still finish later."""
        self._entries.pop(backend_id, None)

    def set_availability(self, backend_id: BackendId, availability: BackendAvailability) -> None:
        """Set whether a backend may be used."""
        entry = self._entries.get(backend_id)
        if entry is not None and entry.availability != availability:
            entry.availability = availability
            entry.view = None

    def start_attempt(self, backend_id: BackendId, attempt_id: AttemptId, now: float) -> None:
        """Record the start of an attempt."""
        entry = self._entries.get(backend_id)
        if entry is None or attempt_id in entry.started_at:
            return
        entry.started_at[attempt_id] = now
        entry.started_since_report += 1
        entry.view = None

    def finish_attempt(
        self, backend_id: BackendId, attempt_id: AttemptId, now: float, *, succeeded: bool = True
    ) -> None:
        """Record the end of an attempt, whatever its outcome; a second call has no effect.

        Only successful attempts count towards the mean service time, since a refused one
        ends almost immediately.
        """
        entry = self._entries.get(backend_id)
        if entry is None:
            return
        started_at = entry.started_at.pop(attempt_id, None)
        if started_at is None:
            return
        if succeeded:
            entry.record_service_time(now - started_at)
        entry.finished.append(_FinishedAttempt(started_at=started_at, finished_at=now))
        if entry.reported_at is None or started_at > entry.reported_at:
            entry.started_since_report -= 1
        else:
            entry.finished_since_report += 1
        entry.view = None

    def record_report(self, status: EngineStatus, received_at: float) -> bool:
        """Apply a status report of a backend.

        Args:
            status: The report.
            received_at: Monotonic time at which it arrived.

        Returns:
            False if the report was ignored: the backend is unknown, the report is older than
            the last one applied, or its fence is lower than one that the same process of the
            backend has already reported.
        """
        entry = self._entries.get(status.backend_id)
        if entry is None:
            return False
        report_time = received_at - status.observed_age_seconds
        is_same_process = entry.boot_id == status.boot_id
        if entry.reported_at is not None and report_time < entry.reported_at:
            return False
        if is_same_process and status.highest_fence < entry.highest_fence:
            return False
        entry.boot_id = status.boot_id
        entry.running = status.running
        entry.waiting = status.waiting
        entry.weight_version = status.weight_version
        entry.highest_fence = status.highest_fence
        entry.reported_at = report_time
        entry.recount_attempts(report_time)
        entry.view = None
        return True

    def reported_version(self, backend_id: BackendId) -> WeightVersion | None:
        """Return the weight version that a backend last reported."""
        entry = self._entries.get(backend_id)
        return None if entry is None else entry.weight_version

    def outstanding(self, backend_id: BackendId) -> int:
        """Return the number of this node's unfinished attempts on a backend."""
        entry = self._entries.get(backend_id)
        return 0 if entry is None else len(entry.started_at)

    def view(self, backend_id: BackendId) -> BackendView | None:
        """Return the view of one backend; ``None`` if it is unknown."""
        entry = self._entries.get(backend_id)
        if entry is None:
            return None
        return entry.view or _build_view(backend_id, entry)

    def views(self) -> list[BackendView]:
        """Return the views of all backends, in the order they were added."""
        return [
            entry.view or _build_view(backend_id, entry)
            for backend_id, entry in self._entries.items()
        ]


def _build_view(backend_id: BackendId, entry: _Entry) -> BackendView:
    entry.view = BackendView(
        backend_id=backend_id,
        labels=entry.labels,
        zone=entry.zone,
        region=entry.region,
        running=entry.running,
        waiting=entry.waiting,
        reported_at=entry.reported_at,
        own_outstanding=len(entry.started_at),
        own_started_since_report=entry.started_since_report,
        own_finished_since_report=entry.finished_since_report,
        mean_service_seconds=entry.mean_service_seconds,
        weight_version=entry.weight_version,
        highest_fence=entry.highest_fence,
        unavailability=entry.availability.unavailability(),
    )
    return entry.view
