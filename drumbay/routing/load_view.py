"""What this node knows of each back end: its reports, and this node's own attempts.

A report lags. The view therefore counts which of this node's attempts a report cannot
contain (started after the moment it refers to) and which ended since, so that a choice can
correct the reported load. Time is passed in; nothing here does I/O.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from drumbay.backends.interface import EngineStatus
from drumbay.explain.records import RejectionReason
from drumbay.identifiers import AttemptId, BackendId, BootId, Fence, WeightVersion
from drumbay.routing.engine_choice import BackendView

MAX_FINISHED_ATTEMPTS = 1024
"""Ended attempts remembered per back end until a report that knows of them arrives."""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest attempt in the moving mean of the service time."""

_NO_FENCE = Fence(0)


class BackendFlags(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a back end may be used at all, as other parts of the node know it.

    Attributes:
        is_reachable: Whether the back end answers.
        circuit_admits: Whether its circuit breaker admits a request.
        is_draining: An operator's drain covers it.
        is_leaving: It is leaving the cluster.
    """

    is_reachable: bool = True
    circuit_admits: bool = True
    is_draining: bool = False
    is_leaving: bool = False

    def unavailability(self) -> RejectionReason | None:
        """Return why the back end may not be used, or ``None``."""
        if self.is_draining:
            return RejectionReason.DRAINED
        if self.is_leaving:
            return RejectionReason.LEAVING
        if not self.is_reachable:
            return RejectionReason.UNREACHABLE
        if not self.circuit_admits:
            return RejectionReason.CIRCUIT_OPEN
        return None


class _FinishedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Monotonic times between which one of this node's attempts ran."""

    started_at: float
    finished_at: float


@dataclass
class _Entry:
    """Mutable state of one back end."""

    labels: Mapping[str, str]
    zone: str
    flags: BackendFlags = field(default_factory=BackendFlags)
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

    def observe_service(self, seconds: float) -> None:
        """Take in the duration of one of this node's attempts."""
        if self.mean_service_seconds is None:
            self.mean_service_seconds = seconds
        else:
            self.mean_service_seconds += SERVICE_TIME_WEIGHT * (seconds - self.mean_service_seconds)

    def correct_from(self, refers_to: float) -> None:
        """Count anew what a report that refers to a moment cannot know."""
        while self.finished and self.finished[0].finished_at <= refers_to:
            self.finished.popleft()
        self.started_since_report = sum(
            1 for started_at in self.started_at.values() if started_at > refers_to
        )
        self.finished_since_report = sum(
            1 for attempt in self.finished if attempt.started_at <= refers_to
        )


class LoadView:
    """Back ends assigned to this node, with their load as this node sees it."""

    def __init__(self) -> None:
        """Create a view without back ends."""
        self._entries: dict[BackendId, _Entry] = {}

    def set_backend(self, backend_id: BackendId, labels: Mapping[str, str], zone: str) -> None:
        """Add a back end or change its labels; its load is kept."""
        entry = self._entries.get(backend_id)
        if entry is None:
            self._entries[backend_id] = _Entry(labels=labels, zone=zone)
            return
        entry.labels = labels
        entry.zone = zone
        entry.view = None

    def remove_backend(self, backend_id: BackendId) -> None:
        """Forget a back end; attempts that are still running on it may end later."""
        self._entries.pop(backend_id, None)

    def set_flags(self, backend_id: BackendId, flags: BackendFlags) -> None:
        """Set whether a back end may be used."""
        entry = self._entries.get(backend_id)
        if entry is not None and entry.flags != flags:
            entry.flags = flags
            entry.view = None

    def start_attempt(self, backend_id: BackendId, attempt_id: AttemptId, now: float) -> None:
        """Count an attempt as outstanding from now on."""
        entry = self._entries.get(backend_id)
        if entry is None or attempt_id in entry.started_at:
            return
        entry.started_at[attempt_id] = now
        entry.started_since_report += 1
        entry.view = None

    def finish_attempt(
        self, backend_id: BackendId, attempt_id: AttemptId, now: float, *, succeeded: bool = True
    ) -> None:
        """Count an attempt as ended, however it ended; a second call has no effect.

        Only the duration of one that succeeded counts towards the mean service time: a
        refusal within a millisecond says nothing about it.
        """
        entry = self._entries.get(backend_id)
        if entry is None:
            return
        started_at = entry.started_at.pop(attempt_id, None)
        if started_at is None:
            return
        if succeeded:
            entry.observe_service(now - started_at)
        entry.finished.append(_FinishedAttempt(started_at=started_at, finished_at=now))
        if entry.reported_at is None or started_at > entry.reported_at:
            entry.started_since_report -= 1
        else:
            entry.finished_since_report += 1
        entry.view = None

    def record_report(self, status: EngineStatus, received_at: float) -> bool:
        """Take in a back end's report.

        Args:
            status: The report.
            received_at: Monotonic time of its arrival.

        Returns:
            False if the report was ignored: the back end is not in the view, the report
            refers to an earlier moment than one already taken in, or its fence is older
            than one the same run of the back end is known to have seen.
        """
        entry = self._entries.get(status.backend_id)
        if entry is None:
            return False
        refers_to = received_at - status.observed_age_seconds
        is_same_run = entry.boot_id == status.boot_id
        if entry.reported_at is not None and refers_to < entry.reported_at:
            return False
        if is_same_run and status.highest_fence < entry.highest_fence:
            return False
        entry.boot_id = status.boot_id
        entry.running = status.running
        entry.waiting = status.waiting
        entry.weight_version = status.weight_version
        entry.highest_fence = status.highest_fence
        entry.reported_at = refers_to
        entry.correct_from(refers_to)
        entry.view = None
        return True

    def reported_version(self, backend_id: BackendId) -> WeightVersion | None:
        """Return the version that a back end last reported."""
        entry = self._entries.get(backend_id)
        return None if entry is None else entry.weight_version

    def outstanding(self, backend_id: BackendId) -> int:
        """Return this node's attempts on a back end that have not ended."""
        entry = self._entries.get(backend_id)
        return 0 if entry is None else len(entry.started_at)

    def view(self, backend_id: BackendId) -> BackendView | None:
        """Return the view of one back end; ``None`` if it is not known."""
        entry = self._entries.get(backend_id)
        if entry is None:
            return None
        return entry.view or _build_view(backend_id, entry)

    def views(self) -> list[BackendView]:
        """Return the views of all back ends, in the order they were added."""
        return [
            entry.view or _build_view(backend_id, entry)
            for backend_id, entry in self._entries.items()
        ]


def _build_view(backend_id: BackendId, entry: _Entry) -> BackendView:
    entry.view = BackendView(
        backend_id=backend_id,
        labels=entry.labels,
        zone=entry.zone,
        running=entry.running,
        waiting=entry.waiting,
        reported_at=entry.reported_at,
        own_outstanding=len(entry.started_at),
        own_started_since_report=entry.started_since_report,
        own_finished_since_report=entry.finished_since_report,
        mean_service_seconds=entry.mean_service_seconds,
        weight_version=entry.weight_version,
        highest_fence=entry.highest_fence,
        unavailability=entry.flags.unavailability(),
    )
    return entry.view
