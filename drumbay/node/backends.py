"""Back ends of a node: directory, reports, machine list, and records of what changed."""

from drumbay.backends.interface import EngineClient
from drumbay.clock import Clock
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import BackendId
from drumbay.machines.interface import MachineListClient
from drumbay.machines.watcher import DEFAULT_POLL_INTERVAL_SECONDS, MachineListWatcher
from drumbay.node.backend_monitor import BackendMonitor
from drumbay.observability.logs import log_event
from drumbay.routing.directory import AvailabilityChange, BackendDirectory
from drumbay.tasks import TaskOwner


class BackendSupervisor:
    """Feeds the directory and records each change of a back end's availability.

    Args:
        clock: Time.
        engine_client: Talks to engines.
        machine_list: The platform's machine list, if there is one.
        directory: Takes what is learned.
        recorder: Takes decision records.
        task_owner: Owns the polling tasks.
        machine_list_interval_seconds: Time between two reads of the machine list.
    """

    def __init__(
        self,
        clock: Clock,
        engine_client: EngineClient,
        machine_list: MachineListClient | None,
        directory: BackendDirectory,
        recorder: DecisionRecorder,
        task_owner: TaskOwner,
        machine_list_interval_seconds: float = DEFAULT_POLL_INTERVAL_SECONDS,
    ) -> None:
        """Create a supervisor that watches nothing yet."""
        self._clock = clock
        self._machine_list = machine_list
        self._directory = directory
        self._recorder = recorder
        self._task_owner = task_owner
        self._machine_list_interval_seconds = machine_list_interval_seconds
        self._monitor = BackendMonitor(
            clock, engine_client, directory, self._record_changes, task_owner
        )

    def start(self) -> None:
        """Start to watch the machine list."""
        if self._machine_list is None:
            return
        watcher = MachineListWatcher(
            self._clock,
            self._machine_list,
            self._set_leaving,
            self._machine_list_interval_seconds,
        )
        self._task_owner.spawn(watcher.run(), "machine-list")

    def apply_configuration(self, view: ConfigurationView) -> None:
        """Take in the groups and drains in force."""
        changes = self._directory.apply_configuration(view, self._clock.monotonic())
        self._record_changes(changes)
        self._monitor.watch_all()

    def _set_leaving(self, leaving: tuple[BackendId, ...]) -> None:
        self._record_changes(self._directory.set_leaving(leaving))

    def _record_changes(self, changes: tuple[AvailabilityChange, ...]) -> None:
        for change in changes:
            event = "backend_available" if change.available else "backend_excluded"
            detail = f"{change.reason.value}: {change.detail}"
            self._recorder.record(SubjectKind.BACKEND, change.backend_id, event, detail=detail)
            log_event(event, backend_id=change.backend_id, reason=change.reason.value)
