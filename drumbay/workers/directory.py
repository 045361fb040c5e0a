"""Which workers can take a request now: discovery, load, pace and recent failures.

A worker that has started again under its id is another one: it holds and knows nothing of before.
Its record is replaced whole, and what a run at the start before still tells is passed over.
"""

from collections.abc import Callable, Container, Iterable, Mapping

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.workers.records import (
    Worker,
    WorkerLoad,
    WorkerStart,
    WorkerState,
    WorkerStatus,
)
from drumbay.workers.worker_record import LoadUnderWay, Refusals, WorkerRecord

FIRST_REFUSAL_PAUSE_SECONDS = 0.1
LONGEST_REFUSAL_PAUSE_SECONDS = 0.8
"""A worker that refuses a model is asked again after the first, doubled each time up to the
longest: weights are in place within seconds, and a refusal costs a connection."""

FAILURE_PAUSE_SECONDS = 0.8
LONGEST_PAUSE_SECONDS = 4.0
"""A worker that failed gets nothing for the first, doubled each time up to the longest: a restarted
worker is back within seconds, and one that is cut off costs each request sent there a retry."""


class WorkerDirectory:
    """The workers of all services; changes wake the listeners.

    What a run tells of its worker concerns the start that it ran at: callers name it by
    ``started_at_ms``, and without it the one that is known is meant.
    """

    def __init__(self) -> None:
        """Create an empty directory."""
        self._records: dict[BackendId, WorkerRecord] = {}
        self._listeners: list[Callable[[], None]] = []
        self._restart_listeners: list[Callable[[BackendId], None]] = []
        self._report_listeners: list[Callable[[WorkerStart, float], None]] = []
        self._on_pause: Callable[[], None] = lambda: None
        self.loaded = False

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the set of workers."""
        self._listeners.append(listener)

    def add_restart_listener(self, listener: Callable[[BackendId], None]) -> None:
        """Call ``listener`` with each worker that has started again under its id."""
        self._restart_listeners.append(listener)

    def add_report_listener(self, listener: Callable[[WorkerStart, float], None]) -> None:
        """Call ``listener`` with each start that reports of itself, and when it was asked."""
        self._report_listeners.append(listener)

    def count_pauses_with(self, on_pause: Callable[[], None]) -> None:
        """Call ``on_pause`` for each pause after a failure."""
        self._on_pause = on_pause

    def replace_all(
        self,
        workers: Iterable[Worker],
        missing_until: float | None = None,
        unusable: Container[BackendId] = (),
    ) -> tuple[BackendId, ...]:
        """Take a snapshot of discovery.

        Workers that it lacks are gone. With ``missing_until``, those that were ready are kept
        until :meth:`drop_missing` is called at that monotonic time, but for ``unusable`` ones,
        whose entries are there and name no worker.

        Returns:
            The workers that are kept though the snapshot lacks them.
        """
        by_id = {worker.worker_id: worker for worker in workers}
        kept: list[BackendId] = []
        for worker_id in [known for known in self._records if known not in by_id]:
            record = self._records[worker_id]
            is_lapsed = worker_id not in unusable and record.worker.state is WorkerState.READY
            if missing_until is None or not is_lapsed:
                del self._records[worker_id]
                continue
            record.missing_until = missing_until
            kept.append(worker_id)
        for worker in by_id.values():
            self._put(worker)
        self.loaded = True
        self._announce()
        return tuple(kept)

    def drop_missing(self, now: float) -> tuple[BackendId, ...]:
        """Forget the workers that have not come back in time, and return them."""
        dropped = [
            worker_id
            for worker_id, record in self._records.items()
            if record.missing_until is not None and record.missing_until <= now
        ]
        for worker_id in dropped:
            self.remove(worker_id)
        return tuple(dropped)

    def put(self, worker: Worker) -> None:
        """Take in a new or changed worker."""
        self._put(worker)
        self._announce()

    def remove(self, worker_id: BackendId) -> None:
        """Forget a worker that has left."""
        self._records.pop(worker_id, None)
        self._announce()

    def _put(self, worker: Worker) -> None:
        record = self._records.get(worker.worker_id)
        if record is None:
            self._take_new(worker)
            return
        known_ms = record.worker.started_at_ms
        if 0 < worker.started_at_ms < known_ms and record.is_start_reported:
            _log_start_passed_over(worker.worker_id, worker.started_at_ms, known_ms)
            return
        if worker.started_at_ms not in (0, known_ms):
            # Entries come in order: the newer one holds, also with an earlier start than another
            # writer's entry or a clock that was set back has told.
            self._take_restart(worker, known_ms)
            return
        if worker.started_at_ms:
            record.is_start_reported = False
        # One that names no start says nothing of it: what was told before holds.
        record.worker = msgspec.structs.replace(worker, started_at_ms=known_ms)
        record.missing_until = None
        # A stream's head is newer than discovery, and versions only rise.
        for model, version in worker.versions.items():
            if version > record.versions.get(model, WeightVersion(-1)):
                record.versions[model] = version
                record.loads.pop(model, None)

    def _take_new(self, worker: Worker) -> WorkerRecord:
        record = WorkerRecord(worker=worker, versions=dict(worker.versions))
        self._records[worker.worker_id] = record
        return record

    def _take_restart(self, worker: Worker, known_ms: int) -> WorkerRecord:
        """Forget all of the start before; runs there end as broken, on the record that they had."""
        log_event(
            "worker_started_again",
            worker=worker.worker_id,
            started_at_ms=worker.started_at_ms,
            before_ms=known_ms,
        )
        record = self._take_new(worker)
        for listener in self._restart_listeners:
            listener(worker.worker_id)
        return record

    def take_status(
        self, worker_id: BackendId, status: WorkerStatus, now: float, *, asked_at: float
    ) -> None:
        """Take a worker's own report, which may tell of a start before discovery does.

        Args:
            worker_id: The worker.
            status: Its report.
            now: Monotonic time.
            asked_at: When the report was asked for; the worker may have ended since.
        """
        record = self._records.get(worker_id)
        if record is None:
            return
        known_ms = record.worker.started_at_ms
        if 0 < status.started_at_ms < known_ms:
            _log_start_passed_over(worker_id, status.started_at_ms, known_ms)
            return
        if known_ms and status.started_at_ms > known_ms:
            self._take_reported_restart(record, status)
        else:
            if not known_ms and status.started_at_ms:
                # Its entry does not tell: this is the worker that is known.
                record.worker = msgspec.structs.replace(
                    record.worker, started_at_ms=status.started_at_ms
                )
                record.is_start_reported = True
            for model, version in status.versions.items():
                if version > record.versions.get(model, WeightVersion(0)):
                    self.observe_version(worker_id, model, version, now)
        reported = WorkerStart(worker_id=worker_id, started_at_ms=status.started_at_ms)
        for listener in self._report_listeners:
            listener(reported, asked_at)

    def _take_reported_restart(self, before: WorkerRecord, status: WorkerStatus) -> None:
        """Replace a record; a report says nothing of an entry that has lapsed."""
        restarted = msgspec.structs.replace(
            before.worker,
            versions=dict(status.versions),
            started_at_ms=status.started_at_ms,
        )
        record = self._take_restart(restarted, before.worker.started_at_ms)
        record.missing_until = before.missing_until
        record.is_start_reported = True
        self._announce()

    def _announce(self) -> None:
        for listener in self._listeners:
            listener()

    def get(self, worker_id: BackendId, started_at_ms: int | None = None) -> WorkerRecord | None:
        """Return one worker; ``None`` if it is gone, or has started again since then."""
        record = self._records.get(worker_id)
        if record is None or not started_at_ms:
            return record
        return record if record.worker.started_at_ms in (0, started_at_ms) else None

    def has_restarted(self, worker: Worker) -> bool:
        """Return whether another start of a worker is known than this one."""
        record = self._records.get(worker.worker_id)
        if record is None or not worker.started_at_ms:
            return False
        return record.worker.started_at_ms not in (0, worker.started_at_ms)

    def is_replaced(self, worker: Worker) -> bool:
        """Return whether a start of a worker has ended: another one, or worker, has its address."""
        record = self._records.get(worker.worker_id)
        if record is not None and 0 < worker.started_at_ms < record.worker.started_at_ms:
            return True
        return any(
            record.worker.address == worker.address and worker_id != worker.worker_id
            for worker_id, record in self._records.items()
        )

    def of_service(self, service: str) -> list[WorkerRecord]:
        """Return the workers of a service, in a stable order."""
        found = [r for r in self._records.values() if r.worker.service == service]
        return sorted(found, key=lambda record: record.worker.worker_id)

    def with_model(self, model: str) -> list[WorkerRecord]:
        """Return the workers that hold a model, in a stable order."""
        found = [r for r in self._records.values() if model in r.versions]
        return sorted(found, key=lambda record: record.worker.worker_id)

    def all_records(self) -> Mapping[BackendId, WorkerRecord]:
        """Return every worker."""
        return self._records

    def observe_version(
        self,
        worker_id: BackendId,
        model: str,
        version: WeightVersion,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Take the version that an answer named, which is newer than what was expected."""
        record = self.get(worker_id, started_at_ms)
        if record is None:
            return
        load = record.loads.get(model)
        if load is not None and (version >= load.version or now >= load.until):
            del record.loads[model]
        record.versions[model] = version

    def observe_load(
        self,
        worker_id: BackendId,
        load: WorkerLoad,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Take a load report: what is beyond this node's own requests belongs to others."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.others = max(0, load.running + load.waiting - record.in_flight)
            record.slowdown = load.slowdown
            record.reported_at = now
            record.is_shared = load.is_shared

    def observe_pace(
        self,
        worker_id: BackendId,
        seconds_per_event: float,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Take the time between two events of a stream."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.pace.observe(seconds_per_event, now)

    def note_loading(
        self,
        worker_id: BackendId,
        model: str,
        version: WeightVersion,
        until: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Send a worker nothing for a model whose weights it loads until then."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.loads[model] = LoadUnderWay(version=version, until=until)

    def observe_refusal(
        self, worker_id: BackendId, model: str, now: float, started_at_ms: int | None = None
    ) -> None:
        """Pause a model on a worker; the pause doubles with each refused probe."""
        record = self.get(worker_id, started_at_ms)
        if record is None:
            return
        refusals = record.refusals.setdefault(model, Refusals())
        if now < refusals.paused_until:
            return
        pause_seconds = FIRST_REFUSAL_PAUSE_SECONDS * 2**refusals.count
        refusals.count += 1
        refusals.paused_until = now + min(pause_seconds, LONGEST_REFUSAL_PAUSE_SECONDS)

    def observe_acceptance(
        self, worker_id: BackendId, model: str, started_at_ms: int | None = None
    ) -> None:
        """Note that a worker took a request for a model."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.refusals.pop(model, None)
            record.failures = 0

    def observe_answer(
        self,
        worker_id: BackendId,
        relative_time: float | None,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Take a whole answer and its time relative to the usual, ``None`` if that is unknown."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.answers.observe_answer(relative_time, now)
            record.failures = 0

    def observe_unanswered(
        self,
        worker_id: BackendId,
        relative_time: float,
        now: float,
        started_at_ms: int | None = None,
    ) -> None:
        """Take a run that was given up after a multiple of the usual time."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.answers.observe_unanswered(relative_time, now)

    def observe_failed_run(
        self, worker_id: BackendId, now: float, started_at_ms: int | None = None
    ) -> None:
        """Take a request that brought no whole answer; others there may go well."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.answers.observe_failure(now)

    def observe_failure(
        self, worker_id: BackendId, now: float, started_at_ms: int | None = None
    ) -> None:
        """Pause a worker; the pause doubles with each failure in a row."""
        record = self.get(worker_id, started_at_ms)
        if record is None:
            return
        pause_seconds = min(LONGEST_PAUSE_SECONDS, FAILURE_PAUSE_SECONDS * 2**record.failures)
        record.failures = min(record.failures + 1, 8)
        record.paused_until = now + pause_seconds
        self._on_pause()
        log_event(
            "worker_paused",
            level="WARNING",
            worker=worker_id,
            failures=record.failures,
            pause_seconds=pause_seconds,
        )

    def end_pause(self, worker_id: BackendId, now: float) -> None:
        """Let a worker get new requests again."""
        record = self._records.get(worker_id)
        if record is not None:
            record.paused_until = min(record.paused_until, now)
            self._announce()

    def pause(
        self, worker_id: BackendId, now: float, seconds: float, started_at_ms: int | None = None
    ) -> None:
        """Send a worker nothing for a while, without counting a failure."""
        record = self.get(worker_id, started_at_ms)
        if record is not None:
            record.paused_until = max(record.paused_until, now + seconds)


def _log_start_passed_over(worker_id: BackendId, started_at_ms: int, known_ms: int) -> None:
    """Log that something was told of a start that has ended: it is as old as that."""
    log_event(
        "worker_start_passed_over",
        worker=worker_id,
        started_at_ms=started_at_ms,
        known_ms=known_ms,
    )
