"""Keeps a node's view of its backends up to date and records availability changes."""

from random import Random

from drumbay.backends.interface import EngineClient
from drumbay.clock import Clock
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import BackendId
from drumbay.node.backend_monitor import BackendMonitor
from drumbay.node.backend_subset import BackendSubset
from drumbay.observability.logs import log_event
from drumbay.placement.evacuations import EvacuatedZones
from drumbay.routing.directory import AvailabilityChange, BackendDirectory
from drumbay.tasks import TaskOwner

SUBSET_REFRESH_SECONDS = 5.0
"""Coalesces bursts of membership changes, since computing the subset is expensive."""


class BackendSupervisor:
    """Updates the backend directory and records each change of a backend's availability.

    Args:
        clock: Source of the current time.
        engine_client: Engine API client.
        directory: Updated with reports and configuration.
        subset: Selects the backends to watch.
        recorder: Receives decision records.
        task_owner: Owns the polling tasks.
        random: Source of jitter.
    """

    def __init__(
        self,
        clock: Clock,
        engine_client: EngineClient,
        directory: BackendDirectory,
        subset: BackendSubset,
        recorder: DecisionRecorder,
        task_owner: TaskOwner,
        random: Random,
    ) -> None:
        """Create a supervisor; it watches no backends yet."""
        self._clock = clock
        self._directory = directory
        self._subset = subset
        self._recorder = recorder
        self._task_owner = task_owner
        self._evacuated_zones = EvacuatedZones()
        self._monitor = BackendMonitor(
            clock, engine_client, directory, self._record_changes, task_owner, random
        )

    def start(self) -> None:
        """Start refreshing the subset as nodes join and leave."""
        self._task_owner.spawn(self._refresh_subset(), "backend-subset")

    def apply_configuration(self, view: ConfigurationView) -> None:
        """Apply the current groups, drains and zone evacuations."""
        self._evacuated_zones.replace_all(view.evacuated_zones())
        changes = self._directory.apply_configuration(view, self._clock.monotonic())
        self._record_changes(changes)
        self._subset.set_groups(view)
        self._monitor.poll_watched_engines()

    def pin(self, owner: str, backend_ids: tuple[BackendId, ...]) -> None:
        """Watch backends that ``owner`` needs; an empty tuple removes the pin."""
        if self._subset.pin(owner, backend_ids):
            self._monitor.poll_watched_engines()

    async def _refresh_subset(self) -> None:
        while True:
            await self._clock.sleep(SUBSET_REFRESH_SECONDS)
            if self._subset.refresh():
                self._monitor.poll_watched_engines()

    def set_leaving(self, leaving: tuple[BackendId, ...]) -> None:
        """Replace the set of backends whose machines the platform is about to remove."""
        self._record_changes(self._directory.set_leaving(leaving))

    def _record_changes(self, changes: tuple[AvailabilityChange, ...]) -> None:
        for change in changes:
            event = "backend_available" if change.available else "backend_excluded"
            detail = f"{change.reason.value}: {change.detail}"
            self._recorder.record(SubjectKind.BACKEND, change.backend_id, event, detail=detail)
            log_event(event, backend_id=change.backend_id, reason=change.reason.value)
