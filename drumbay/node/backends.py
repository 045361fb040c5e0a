"""Back ends of a node: directory, reports, and records of what changed."""

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
from drumbay.routing.directory import AvailabilityChange, BackendDirectory
from drumbay.tasks import TaskOwner

SUBSET_REFRESH_SECONDS = 5.0
"""Working out the subset costs tens of milliseconds at hundreds of nodes and back ends, so
a burst of membership changes is taken as one."""


class BackendSupervisor:
    """Feeds the directory and records each change of a back end's availability.

    Args:
        clock: Time.
        engine_client: Talks to engines.
        directory: Takes what is learned.
        subset: Says which back ends are watched.
        recorder: Takes decision records.
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
        """Create a supervisor that watches nothing yet."""
        self._clock = clock
        self._directory = directory
        self._subset = subset
        self._recorder = recorder
        self._task_owner = task_owner
        self._monitor = BackendMonitor(
            clock, engine_client, directory, self._record_changes, task_owner, random
        )

    def start(self) -> None:
        """Start to follow the live nodes."""
        self._task_owner.spawn(self._follow_members(), "backend-subset")

    def apply_configuration(self, view: ConfigurationView) -> None:
        """Take in the groups and drains in force."""
        changes = self._directory.apply_configuration(view, self._clock.monotonic())
        self._record_changes(changes)
        self._subset.set_groups(view)
        self._monitor.watch_all()

    def pin(self, owner: str, backend_ids: tuple[BackendId, ...]) -> None:
        """Watch back ends that something owned by this node needs; none ends it."""
        if self._subset.pin(owner, backend_ids):
            self._monitor.watch_all()

    async def _follow_members(self) -> None:
        while True:
            await self._clock.sleep(SUBSET_REFRESH_SECONDS)
            if self._subset.refresh():
                self._monitor.watch_all()

    def set_leaving(self, leaving: tuple[BackendId, ...]) -> None:
        """Take in which back ends the machine list names as leaving."""
        self._record_changes(self._directory.set_leaving(leaving))

    def _record_changes(self, changes: tuple[AvailabilityChange, ...]) -> None:
        for change in changes:
            event = "backend_available" if change.available else "backend_excluded"
            detail = f"{change.reason.value}: {change.detail}"
            self._recorder.record(SubjectKind.BACKEND, change.backend_id, event, detail=detail)
            log_event(event, backend_id=change.backend_id, reason=change.reason.value)
