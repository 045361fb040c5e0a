"""Registry of workers with their load, pauses and latency statistics.

A worker that restarts under the same id is a new incarnation: its record is replaced, and reports
about the previous incarnation are ignored.
"""

from collections.abc import Callable, Container, Iterable, Mapping

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.workers.records import (
    Worker,
    WorkerIncarnation,
    WorkerLoad,
    WorkerState,
    WorkerStatus,
)
from drumbay.workers.worker_record import (
    ModelRefusals,
    PendingWeightLoad,
    WorkerChange,
    WorkerEndEvidence,
    WorkerRecord,
)

MIN_REFUSAL_PAUSE_SECONDS = 0.1
MAX_REFUSAL_PAUSE_SECONDS = 0.8
"""Bounds of the exponential backoff after a worker refuses requests for a model."""

MIN_FAILURE_PAUSE_SECONDS = 0.8
MAX_FAILURE_PAUSE_SECONDS = 4.0
"""Bounds of the exponential backoff after failures of a worker."""


class WorkerDirectory:
    """The workers of all services; listeners are called after changes.

    Methods that record an outcome accept the ``started_at_ms`` of the incarnation that it belongs
    to, by default the current one. Outcomes of other incarnations are ignored.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self._records: dict[BackendId, WorkerRecord] = {}
        self._listeners: list[Callable[[], None]] = []
        self._restart_listeners: list[Callable[[BackendId], None]] = []
        self._report_listeners: list[Callable[[WorkerIncarnation, float], None]] = []
        self._entry_listeners: list[Callable[[Worker, WorkerChange], None]] = []
        self._end_listeners: list[Callable[[Worker, WorkerEndEvidence], None]] = []
        self._contact_listeners: list[Callable[[BackendId, bool], None]] = []
        self._warm_up_listeners: list[Callable[[BackendId, float | None, float, float], None]] = []
        self._pause_callback: Callable[[], None] = lambda: None
        self.is_loaded = False

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the set of workers."""
        self._listeners.append(listener)

    def add_restart_listener(self, listener: Callable[[BackendId], None]) -> None:
        """Call ``listener`` with the id of each worker that has restarted."""
        self._restart_listeners.append(listener)

    def add_report_listener(self, listener: Callable[[WorkerIncarnation, float], None]) -> None:
        """Call ``listener`` with each incarnation that sent a report, and the query time."""
        self._report_listeners.append(listener)

    def add_entry_listener(self, listener: Callable[[Worker, WorkerChange], None]) -> None:
        """Call ``listener`` with each worker as its entry is applied, or its restart is seen."""
        self._entry_listeners.append(listener)

    def add_end_listener(self, listener: Callable[[Worker, WorkerEndEvidence], None]) -> None:
        """Call ``listener`` with each worker that discovery shows to have ended, as last listed.

        A worker whose address is taken is told, and again when its entry goes.
        """
        self._end_listeners.append(listener)

    def add_contact_listener(self, listener: Callable[[BackendId, bool], None]) -> None:
        """Call ``listener`` with a worker's id and false when it is unreachable, true when not.

        Broken runs count only from the end of the first pause: several may have one short cause.
        """
        self._contact_listeners.append(listener)

    def add_warm_up_listener(
        self, listener: Callable[[BackendId, float | None, float, float], None]
    ) -> None:
        """Call ``listener`` with how long a response says that a worker stays cold.

        Arguments are the worker's id, the seconds, when it was asked, and the current time.
        """
        self._warm_up_listeners.append(listener)

    def set_pause_callback(self, on_pause: Callable[[], None]) -> None:
        """Call ``on_pause`` for each pause that follows a failure."""
        self._pause_callback = on_pause

    def replace_all(
        self,
        workers: Iterable[Worker],
        missing_until: float | None = None,
        unusable: Container[BackendId] = (),
    ) -> tuple[BackendId, ...]:
        """Apply a snapshot of the discovery entries.

        Workers missing from it are removed. With ``missing_until``, ready workers are kept until
        :meth:`drop_missing` is called at or after that monotonic time, except ``unusable`` ones,
        whose entries exist but are invalid.

        Returns:
            The workers that are kept although they are missing.
        """
        by_id = {worker.worker_id: worker for worker in workers}
        retained: list[BackendId] = []
        for worker_id in [known for known in self._records if known not in by_id]:
            record = self._records[worker_id]
            is_entry_lost = worker_id not in unusable and record.worker.state is WorkerState.READY
            if missing_until is None or not is_entry_lost:
                del self._records[worker_id]
                if worker_id not in unusable:
                    self._notify_end(record.worker, WorkerEndEvidence.ENTRY_GONE)
                continue
            record.missing_until = missing_until
            retained.append(worker_id)
        for worker in by_id.values():
            self._apply_entry(worker)
        self.is_loaded = True
        self._notify_listeners()
        return tuple(retained)

    def drop_missing(self, now: float) -> tuple[BackendId, ...]:
        """Remove and return the missing workers whose grace period has expired."""
        dropped = [
            worker_id
            for worker_id, record in self._records.items()
            if record.missing_until is not None and record.missing_until <= now
        ]
        for worker_id in dropped:
            self.remove(worker_id)
        return tuple(dropped)

    def put(self, worker: Worker) -> None:
        """Add or update a worker."""
        self._apply_entry(worker)
        self._notify_listeners()

    def remove(self, worker_id: BackendId) -> None:
        """Remove a worker whose entry is gone."""
        record = self._records.pop(worker_id, None)
        if record is not None:
            self._notify_end(record.worker, WorkerEndEvidence.ENTRY_GONE)
        self._notify_listeners()

    def exclude(self, worker_id: BackendId) -> None:
        """Remove a worker that is not used any more, though its entry exists."""
        self._records.pop(worker_id, None)
        self._notify_listeners()

    def _apply_entry(self, worker: Worker) -> None:
        record = self._records.get(worker.worker_id)
        if record is None:
            self._notify_addresses_taken(worker)
            self._add_record(worker)
            is_first = not self.is_loaded
            self._notify_entry(worker, WorkerChange.LISTED if is_first else WorkerChange.STARTED)
            return
        known_ms = record.worker.started_at_ms
        if 0 < worker.started_at_ms < known_ms and record.is_start_reported:
            _log_ignored_incarnation(worker.worker_id, worker.started_at_ms, known_ms)
            return
        if worker.started_at_ms not in (0, known_ms):
            # Entries arrive in order, so the newer one is valid even if its start time is earlier,
            # as after a clock was set back.
            self._replace_record(worker, known_ms)
            return
        if worker.started_at_ms:
            record.is_start_reported = False
        # An entry without a start time does not identify the incarnation: keep the known one.
        record.worker = msgspec.structs.replace(worker, started_at_ms=known_ms)
        record.missing_until = None
        self._notify_entry(record.worker, WorkerChange.UPDATED)
        # Versions in stream headers are newer than those from discovery, and versions only
        # increase.
        for model, version in worker.versions.items():
            if version > record.versions.get(model, WeightVersion(-1)):
                record.versions[model] = version
                record.pending_loads.pop(model, None)

    def _add_record(self, worker: Worker) -> WorkerRecord:
        record = WorkerRecord(worker=worker, versions=dict(worker.versions))
        self._records[worker.worker_id] = record
        return record

    def _replace_record(self, worker: Worker, known_ms: int) -> WorkerRecord:
        """Replace the record of a restarted worker; runs in flight keep the old record."""
        log_event(
            "worker_started_again",
            worker=worker.worker_id,
            started_at_ms=worker.started_at_ms,
            before_ms=known_ms,
        )
        previous = self._records[worker.worker_id].worker
        record = self._add_record(worker)
        if known_ms:
            self._notify_end(previous, WorkerEndEvidence.RESTARTED)
        self._notify_entry(worker, WorkerChange.STARTED)
        for listener in self._restart_listeners:
            listener(worker.worker_id)
        return record

    def apply_status(
        self, worker_id: BackendId, status: WorkerStatus, now: float, *, asked_at: float
    ) -> None:
        """Apply a worker's status report, which may reveal a restart before discovery does.

        Args:
            worker_id: The worker.
            status: The report.
            now: Current monotonic time.
            asked_at: Monotonic time of the query; the worker may have ended since then.
        """
        record = self._records.get(worker_id)
        if record is None:
            return
        known_ms = record.worker.started_at_ms
        if 0 < status.started_at_ms < known_ms:
            _log_ignored_incarnation(worker_id, status.started_at_ms, known_ms)
            return
        if known_ms and status.started_at_ms > known_ms:
            self._apply_reported_restart(record, status)
        else:
            if not known_ms and status.started_at_ms:
                # The entry has no start time: the report belongs to the known worker.
                record.worker = msgspec.structs.replace(
                    record.worker, started_at_ms=status.started_at_ms
                )
                record.is_start_reported = True
            for model, version in status.versions.items():
                if version > record.versions.get(model, WeightVersion(0)):
                    self.observe_version(worker_id, model, version, now)
        self.observe_warm_up(worker_id, status.warm_up_left_seconds, asked_at, now)
        incarnation = WorkerIncarnation(worker_id=worker_id, started_at_ms=status.started_at_ms)
        for listener in self._report_listeners:
            listener(incarnation, asked_at)

    def _apply_reported_restart(self, previous: WorkerRecord, status: WorkerStatus) -> None:
        """Replace the record of a restarted worker; a missing discovery entry stays missing."""
        restarted = msgspec.structs.replace(
            previous.worker,
            versions=dict(status.versions),
            started_at_ms=status.started_at_ms,
        )
        record = self._replace_record(restarted, previous.worker.started_at_ms)
        record.missing_until = previous.missing_until
        record.is_start_reported = True
        self._notify_listeners()

    def _notify_entry(self, worker: Worker, change: WorkerChange) -> None:
        for listener in self._entry_listeners:
            listener(worker, change)

    def _notify_addresses_taken(self, worker: Worker) -> None:
        """Report the ends of workers whose address a newly listed one has."""
        if not self.is_loaded:
            return
        for record in list(self._records.values()):
            if record.worker.address == worker.address:
                self._notify_end(record.worker, WorkerEndEvidence.ADDRESS_TAKEN)

    def _notify_end(self, worker: Worker, evidence: WorkerEndEvidence) -> None:
        for listener in self._end_listeners:
            listener(worker, evidence)

    def _notify_contact(self, record: WorkerRecord) -> None:
        for listener in self._contact_listeners:
            listener(record.worker.worker_id, not record.is_unreachable)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def get(self, worker_id: BackendId, started_at_ms: int | None = None) -> WorkerRecord | None:
        """Return a worker's record; ``None`` if it is gone or another incarnation."""
        record = self._records.get(worker_id)
        if record is None or not started_at_ms:
            return record
        return record if record.worker.started_at_ms in (0, started_at_ms) else None

    def has_restarted(self, worker: Worker) -> bool:
        """Return whether a different incarnation of the worker is known."""
        record = self._records.get(worker.worker_id)
        if record is None or not worker.started_at_ms:
            return False
        return record.worker.started_at_ms not in (0, worker.started_at_ms)

    def is_replaced(self, worker: Worker) -> bool:
        """Return whether a newer incarnation, or another worker, has replaced the worker."""
        record = self._records.get(worker.worker_id)
        if record is not None and 0 < worker.started_at_ms < record.worker.started_at_ms:
            return True
        return any(
            record.worker.address == worker.address and worker_id != worker.worker_id
            for worker_id, record in self._records.items()
        )

    def of_service(self, service: str) -> list[WorkerRecord]:
        """Return the workers of a service, sorted by id."""
        matching = [r for r in self._records.values() if r.worker.service == service]
        return sorted(matching, key=lambda record: record.worker.worker_id)

    def workers_with_model(self, model: str) -> list[WorkerRecord]:
        """Return the workers that have a model loaded, sorted by id."""
        matching = [r for r in self._records.values() if model in r.versions]
        return sorted(matching, key=lambda record: record.worker.worker_id)

    def all_records(self) -> Mapping[BackendId, WorkerRecord]:
        """Return all records by worker id."""
        return self._records

    def observe_version(
        self,
        worker_id: BackendId,
        model: str,
        version: WeightVersion,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Record the weight version reported by a response."""
        record = self.get(worker_id, started_at_ms)
        if record is None:
            return
        load = record.pending_loads.get(model)
        if load is not None and (version >= load.version or now >= load.until):
            del record.pending_loads[model]
        record.versions[model] = version

    def observe_load(
        self,
        worker_id: BackendId,
        load: WorkerLoad,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Record a load report; requests beyond this node's own are those of other nodes."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.other_requests = max(0, load.running + load.waiting - record.in_flight)
            record.slowdown = load.slowdown
            record.reported_at = now
            record.is_shared = load.is_shared

    def observe_warm_up(
        self, worker_id: BackendId, left_seconds: float | None, asked_at: float, now: float
    ) -> None:
        """Pass on how long a response says that a worker stays cold; ``None`` if it doesn't."""
        for listener in self._warm_up_listeners:
            listener(worker_id, left_seconds, asked_at, now)

    def observe_event_interval(
        self,
        worker_id: BackendId,
        seconds_per_event: float,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Record the time between two events of a stream."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.event_intervals.observe(seconds_per_event, now)

    def record_weight_load(
        self,
        worker_id: BackendId,
        model: str,
        version: WeightVersion,
        until: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Stop sending requests for a model while the worker loads new weights for it."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.pending_loads[model] = PendingWeightLoad(version=version, until=until)

    def observe_refusal(
        self, worker_id: BackendId, model: str, now: float, started_at_ms: int | None = None
    ) -> None:
        """Pause a model on a worker; the pause doubles with each further refusal."""
        record = self.get(worker_id, started_at_ms)
        if record is None:
            return
        refusals = record.refusals.setdefault(model, ModelRefusals())
        if now < refusals.paused_until:
            return
        pause_seconds = MIN_REFUSAL_PAUSE_SECONDS * 2**refusals.count
        refusals.count += 1
        refusals.paused_until = now + min(pause_seconds, MAX_REFUSAL_PAUSE_SECONDS)

    def observe_acceptance(
        self, worker_id: BackendId, model: str, started_at_ms: int | None = None
    ) -> None:
        """Record that a worker accepted a request for a model."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.refusals.pop(model, None)
            self._end_failures(record)

    def _end_failures(self, record: WorkerRecord) -> None:
        record.failures = 0
        if record.is_unreachable:
            record.is_unreachable = False
            self._notify_contact(record)

    def observe_response(
        self,
        worker_id: BackendId,
        relative_latency: float | None,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Record a complete response; the relative latency is ``None`` if unknown."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.response_stats.observe_response(relative_latency, now)
            self._end_failures(record)

    def observe_cancelled_run(
        self,
        worker_id: BackendId,
        relative_latency: float,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Record a run that was cancelled after a multiple of the typical latency."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.response_stats.observe_cancelled_run(relative_latency, now)

    def observe_failed_run(
        self, worker_id: BackendId, now: float, started_at_ms: int | None = None
    ) -> None:
        """Record a failed run without pausing the worker."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.response_stats.observe_failure(now)

    def observe_failure(
        self,
        worker_id: BackendId,
        now: float,
        started_at_ms: int | None = None,
        *,
        is_unreachable: bool = False,
    ) -> None:
        """Pause a worker; the pause doubles with each consecutive failure.

        Args:
            worker_id: The worker.
            now: Monotonic time.
            started_at_ms: The incarnation.
            is_unreachable: Whether no connection could be opened.
        """
        record = self.get(worker_id, started_at_ms)
        if record is None:
            return
        pause_seconds = min(
            MAX_FAILURE_PAUSE_SECONDS, MIN_FAILURE_PAUSE_SECONDS * 2**record.failures
        )
        if is_unreachable or (record.failures and now >= record.paused_until):
            record.is_unreachable = True
            self._notify_contact(record)
        record.failures = min(record.failures + 1, 8)
        record.paused_until = now + pause_seconds
        self._pause_callback()
        log_event(
            "worker_paused",
            level="WARNING",
            worker=worker_id,
            failures=record.failures,
            pause_seconds=pause_seconds,
        )

    def end_pause(self, worker_id: BackendId, now: float) -> None:
        """End a worker's pause."""
        record = self._records.get(worker_id)
        if record is not None:
            record.paused_until = min(record.paused_until, now)
            self._notify_listeners()

    def pause(
        self, worker_id: BackendId, now: float, seconds: float, started_at_ms: int | None = None
    ) -> None:
        """Pause a worker without counting a failure."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.paused_until = max(record.paused_until, now + seconds)


def _log_ignored_incarnation(worker_id: BackendId, started_at_ms: int, known_ms: int) -> None:
    """Log that information about a previous incarnation was ignored."""
    log_event(
        "worker_start_passed_over",
        worker=worker_id,
        started_at_ms=started_at_ms,
        known_ms=known_ms,
    )
