"""Which workers can take a request now: discovery, load, pace and recent failures."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.workers.pace import PaceEstimate
from drumbay.workers.records import Worker, WorkerLoad, WorkerState

LOAD_REPORT_LIFETIME_SECONDS = 0.6
"""How long a load report counts; runs last about as long."""

LATENCY_SMOOTHING = 0.15
"""Weight of the newest answer's time in a worker's latency: about the last ten answers count."""

FIRST_REFUSAL_PAUSE_SECONDS = 0.1
LONGEST_REFUSAL_PAUSE_SECONDS = 0.8
FAILURE_PAUSE_SECONDS = 0.8
LONGEST_PAUSE_SECONDS = 4.0


class Refusals(msgspec.Struct, kw_only=True):
    """Refusals in a row of requests for one model, as while its weights are loaded."""

    count: int = 0
    paused_until: float = float("-inf")


class LoadUnderWay(msgspec.Struct, frozen=True, kw_only=True):
    """Weights that a worker was ordered to load, and when they should be in place."""

    version: WeightVersion
    until: float


class WorkerRecord(msgspec.Struct, kw_only=True):
    """A worker and what this node has seen of it.

    ``in_flight`` counts this node's requests there; ``expected_tokens`` is the sum of what those
    of batch items are expected to generate, which the worker keeps in its memory meanwhile.
    """

    worker: Worker
    versions: dict[str, WeightVersion]
    in_flight: int = 0
    expected_tokens: int = 0
    others: int = 0
    reported_at: float = float("-inf")
    paused_until: float = float("-inf")
    failures: int = 0
    pace: PaceEstimate = msgspec.field(default_factory=PaceEstimate)
    loads: dict[str, LoadUnderWay] = msgspec.field(default_factory=dict)
    refusals: dict[str, Refusals] = msgspec.field(default_factory=dict)
    latency_seconds: float | None = None
    missing_until: float | None = None

    def busy(self, now: float) -> int:
        """Return the requests on the worker as far as known."""
        return self.in_flight + self.others_busy(now)

    def others_busy(self, now: float) -> int:
        """Return the requests of other nodes on the worker as far as known."""
        if now - self.reported_at > LOAD_REPORT_LIFETIME_SECONDS:
            return 0
        return self.others

    def free_slots(self, now: float) -> int:
        """Return the places that this node may still take; never more than its slots."""
        return max(0, self.worker.slots - self.busy(now))

    def is_available(self, now: float) -> bool:
        """Return whether new requests may go there."""
        return self.worker.state is WorkerState.READY and now >= self.paused_until

    def free_slots_for(self, model: str, now: float) -> int:
        """Return the places for requests of a model: after refusals, one probe at a time."""
        load = self.loads.get(model)
        if not self.is_available(now) or (load is not None and now < load.until):
            return 0
        refusals = self.refusals.get(model)
        if refusals is None:
            return self.free_slots(now)
        if now < refusals.paused_until:
            return 0
        return min(1, self.free_slots(now))

    def version_of(self, model: str, now: float) -> WeightVersion | None:
        """Return the version of a model, as seen or as due by now; ``None`` if it holds none.

        Discovery tells of a load up to a second after its end. A worker that is late refuses
        requests meanwhile, and the head of an answer tells if the load was not carried out.
        """
        seen = self.versions.get(model)
        load = self.loads.get(model)
        if load is None or seen is None or now < load.until:
            return seen
        return max(seen, load.version)


class WorkerDirectory:
    """The workers of all services; changes wake the listeners."""

    def __init__(self) -> None:
        """Create an empty directory."""
        self._records: dict[BackendId, WorkerRecord] = {}
        self._listeners: list[Callable[[], None]] = []
        self._on_pause: Callable[[], None] = lambda: None
        self.loaded = False

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the set of workers."""
        self._listeners.append(listener)

    def count_pauses_with(self, on_pause: Callable[[], None]) -> None:
        """Call ``on_pause`` for each pause after a failure."""
        self._on_pause = on_pause

    def replace_all(
        self, workers: Iterable[Worker], missing_until: float | None = None
    ) -> tuple[BackendId, ...]:
        """Take a snapshot of discovery.

        Workers that it lacks are gone. With ``missing_until``, those that were ready are kept
        until :meth:`drop_missing` is called at that monotonic time.

        Returns:
            The workers that are kept though the snapshot lacks them.
        """
        by_id = {worker.worker_id: worker for worker in workers}
        kept: list[BackendId] = []
        for worker_id in [known for known in self._records if known not in by_id]:
            record = self._records[worker_id]
            if missing_until is None or record.worker.state is not WorkerState.READY:
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
            self._records[worker.worker_id] = WorkerRecord(
                worker=worker, versions=dict(worker.versions)
            )
            return
        record.worker = worker
        record.missing_until = None
        # A stream's head is newer than discovery, and versions only rise.
        for model, version in worker.versions.items():
            if version > record.versions.get(model, WeightVersion(-1)):
                record.versions[model] = version
                record.loads.pop(model, None)

    def _announce(self) -> None:
        for listener in self._listeners:
            listener()

    def get(self, worker_id: BackendId) -> WorkerRecord | None:
        """Return one worker."""
        return self._records.get(worker_id)

    def is_replaced(self, worker: Worker) -> bool:
        """Return whether another worker has the address of one: it has ended."""
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
        self, worker_id: BackendId, model: str, version: WeightVersion, now: float
    ) -> None:
        """Take the version that an answer named, which is newer than what was expected."""
        record = self._records.get(worker_id)
        if record is None:
            return
        load = record.loads.get(model)
        if load is not None and (version >= load.version or now >= load.until):
            del record.loads[model]
        record.versions[model] = version

    def observe_load(self, worker_id: BackendId, load: WorkerLoad, now: float) -> None:
        """Take a load report: what is beyond this node's own requests belongs to others."""
        record = self._records.get(worker_id)
        if record is not None:
            record.others = max(0, load.running + load.waiting - record.in_flight)
            record.reported_at = now

    def observe_pace(self, worker_id: BackendId, seconds_per_event: float, now: float) -> None:
        """Take the time between two events of a stream."""
        record = self._records.get(worker_id)
        if record is not None:
            record.pace.observe(seconds_per_event, now)

    def note_loading(
        self, worker_id: BackendId, model: str, version: WeightVersion, until: float
    ) -> None:
        """Send a worker nothing for a model whose weights it loads until then."""
        record = self._records.get(worker_id)
        if record is not None:
            record.loads[model] = LoadUnderWay(version=version, until=until)

    def observe_refusal(self, worker_id: BackendId, model: str, now: float) -> None:
        """Pause a model on a worker; the pause doubles with each refused probe."""
        record = self._records.get(worker_id)
        if record is None:
            return
        refusals = record.refusals.setdefault(model, Refusals())
        if now < refusals.paused_until:
            return
        pause_seconds = FIRST_REFUSAL_PAUSE_SECONDS * 2**refusals.count
        refusals.count += 1
        refusals.paused_until = now + min(pause_seconds, LONGEST_REFUSAL_PAUSE_SECONDS)

    def observe_acceptance(self, worker_id: BackendId, model: str) -> None:
        """Note that a worker took a request for a model."""
        record = self._records.get(worker_id)
        if record is not None:
            record.refusals.pop(model, None)
            record.failures = 0

    def observe_latency(self, worker_id: BackendId, seconds: float) -> None:
        """Take the time of a whole answer."""
        record = self._records.get(worker_id)
        if record is not None:
            record.latency_seconds = _smooth(record.latency_seconds, seconds)
            record.failures = 0

    def observe_failure(self, worker_id: BackendId, now: float) -> None:
        """Pause a worker; the pause doubles with each failure in a row."""
        record = self._records.get(worker_id)
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

    def pause(self, worker_id: BackendId, now: float, seconds: float) -> None:
        """Send a worker nothing for a while, without counting a failure."""
        record = self._records.get(worker_id)
        if record is not None:
            record.paused_until = max(record.paused_until, now + seconds)


def _smooth(previous: float | None, value: float) -> float:
    if previous is None:
        return value
    return previous + LATENCY_SMOOTHING * (value - previous)
