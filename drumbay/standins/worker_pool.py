"""Emulated workers on a passed-in clock: streams, answers, orders, and their faults.

Implements :class:`drumbay.workers.interface.WorkerClient` in process. Every call is logged, so
that tests can compare what callers were told with what the workers did.
"""

import asyncio
import zlib
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager

import msgspec

from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.worker_log import LoggedCrash, LoggedOrder, LoggedRun, WorkerFaults
from drumbay.workers.records import (
    LoadOrder,
    OrderOutcome,
    ProbeResult,
    StreamEvent,
    Worker,
    WorkerBrokenError,
    WorkerError,
    WorkerFailedError,
    WorkerLoad,
    WorkerMisdirectedError,
    WorkerRefusedError,
    WorkerRejectedError,
    WorkerRequest,
    WorkerResponse,
    WorkerState,
    WorkerStatus,
    WorkerUnreachableError,
)

LONGEST_TEXT_EVENTS = 16
LONG_TEXT_EVENTS = 160

CRASH_SECONDS = 0.05
"""A request that crashes its worker has run for so long when the worker ends."""

RETURN_SECONDS = 3.1
"""A worker that has ended is back after so long, under another id at the same address."""

RESTART_SECONDS = 2.5
"""One that starts again under its own id is back after so long: within three heartbeats, so that
discovery never misses it."""


class EmulatedWorker:
    """State of one worker."""

    def __init__(self, worker: Worker) -> None:
        """Start sound and idle."""
        self.worker = worker
        self.versions: dict[str, WeightVersion] = dict(worker.versions)
        self.faults = WorkerFaults()
        self.active = 0
        self.busy = False
        self.sequence = 0
        self.highest_fence = 0
        self.has_ended = False


class EmulatedWorkerPool:
    """All workers of a deployment.

    Attributes:
        long_texts: Whether every text has 160 events; otherwise up to 16, by the request.
        failing_requests: Requests that every worker answers with a failure.
        crashing_bodies: A request with such a body ends each worker that begins to run it.
        crash_seconds: How long it has run then.
        crashes: Workers that ended under such a request, with the time, oldest first.
        keep_ids: Whether workers that end start again under their own id.
        discovery_seconds: Discovery tells of a worker that is back so much later.
        kept_connections: Workers to which a caller seems to keep a connection.
        silences: How often the open connections of all workers have fallen silent.
        runs: Every run that began, oldest first.
        orders: Every order that arrived, oldest first.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        seconds_per_event: float = 0.05,
        answer_seconds: float = 0.03,
        load_seconds: float = 0.9,
        tells_starts: bool = False,
    ) -> None:
        """Create a pool without workers; with ``tells_starts`` they tell when they started."""
        self._clock = clock
        self._tells_starts = tells_starts
        self.keep_ids = False
        self.discovery_seconds = 0.0
        self._seconds_per_event = seconds_per_event
        self._answer_seconds = answer_seconds
        self._load_seconds = load_seconds
        self._workers: dict[BackendId, EmulatedWorker] = {}
        self._listeners: list[Callable[[Worker], None]] = []
        self._removal_listeners: list[Callable[[BackendId], None]] = []
        self._end_listeners: list[Callable[[Worker], None]] = []
        self._replaced: set[BackendId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.long_texts = False
        self.failing_requests: set[str] = set()
        self.crashing_bodies: set[bytes] = set()
        self.crash_seconds = CRASH_SECONDS
        self.crashes: list[LoggedCrash] = []
        self.kept_connections: set[BackendId] = set()
        self.silences = 0
        self.runs: list[LoggedRun] = []
        self.orders: list[LoggedOrder] = []

    def add(
        self,
        name: str,
        service: str,
        versions: Mapping[str, WeightVersion] | None = None,
        *,
        slots: int = 4,
        zone: str = "zone-1",
    ) -> EmulatedWorker:
        """Add a worker and return it."""
        worker = Worker(
            worker_id=BackendId(name),
            service=service,
            address=NetworkAddress(name, 80),
            zone=zone,
            slots=slots,
            state=WorkerState.READY,
            versions=dict(versions or {}),
            started_at_ms=self._now_ms() if self._tells_starts else 0,
        )
        emulated = EmulatedWorker(worker)
        self._workers[worker.worker_id] = emulated
        return emulated

    def _now_ms(self) -> int:
        return int(self._clock.wall() * 1000)

    def add_listener(self, listener: Callable[[Worker], None]) -> None:
        """Tell ``listener`` when a worker's entry changes, as discovery would."""
        self._listeners.append(listener)

    def add_end_listener(self, listener: Callable[[Worker], None]) -> None:
        """Tell ``listener`` when a worker ends; discovery does not know of it yet."""
        self._end_listeners.append(listener)

    def add_removal_listener(self, listener: Callable[[BackendId], None]) -> None:
        """Tell ``listener`` when a worker's entry goes, as discovery would."""
        self._removal_listeners.append(listener)

    def entries(self) -> list[Worker]:
        """Return every worker as discovery describes it now."""
        return [
            msgspec.structs.replace(emulated.worker, versions=dict(emulated.versions))
            for emulated in self._workers.values()
        ]

    def __getitem__(self, name: str) -> EmulatedWorker:
        """Return a worker by its name."""
        return self._workers[BackendId(name)]

    def runs_of(self, request_id: str) -> list[LoggedRun]:
        """Return the runs of one request."""
        return [run for run in self.runs if run.request_id == request_id]

    def first_whole_at(self, request_id: str) -> float | None:
        """Return when a run made the last event of a request's text; ``None`` if none did."""
        count = self._text_events(request_id)
        ends = [
            run.ended_at
            for run in self.runs_of(request_id)
            if run.ended_at is not None and (run.resume_after or 0) + run.events >= count
        ]
        return min(ends, default=None)

    # Calls

    def has_idle_connection(self, worker: Worker) -> bool:
        """Return whether a worker is one of those in :attr:`kept_connections`."""
        return worker.worker_id in self.kept_connections

    async def listening(self, worker: Worker) -> ProbeResult:
        """Look whether anybody listens at a worker's address."""
        emulated = self._workers.get(worker.worker_id)
        if worker.worker_id in self._replaced:
            return ProbeResult.ACCEPTS
        if emulated is not None and emulated.has_ended:
            return ProbeResult.REFUSES
        if emulated is None or emulated.faults.dark:
            await self._clock.sleep(0.3)
            return ProbeResult.SILENT
        await self._clock.sleep(0.001)
        return ProbeResult.ACCEPTS

    async def call(self, worker: Worker, request: WorkerRequest) -> WorkerResponse:
        """Answer a request after the worker's time."""
        emulated = await self._reach(worker)
        run = self._begin(emulated, request)
        try:
            await self._work(emulated, request, self._answer_seconds * emulated.faults.slowdown)
            if emulated.faults.failing or request.request_id in self.failing_requests:
                raise WorkerFailedError("500")
            run.events = 1
        finally:
            self._end(emulated, run)
        if emulated.faults.lose_answers:
            raise WorkerBrokenError("answer lost")
        return WorkerResponse(
            status=200,
            headers=(("Worker", worker.worker_id),),
            body=request.body,
            load=self._load_of(emulated),
            stamp=run.stamp,
        )

    @asynccontextmanager
    async def stream(
        self, worker: Worker, request: WorkerRequest
    ) -> AsyncIterator["EmulatedStream"]:
        """Stream the text of a request, from the event after ``resume_after``."""
        emulated = await self._reach(worker)
        run = self._begin(emulated, request)
        try:
            if emulated.faults.failing:
                raise WorkerFailedError("500")
            if emulated.faults.rejecting:
                raise WorkerRejectedError("422")
            model = dict(request.headers).get("model", "m")
            seconds = self._seconds_per_event
            count = self._text_events(request.request_id)
            if request.body in self.crashing_bodies:
                await self._work(emulated, request, 0.0)
            stream = EmulatedStream(self._clock, emulated, run, request, model, seconds, count)
            stream.is_cut_off_by(self)
            yield stream
        finally:
            self._end(emulated, run)

    def _text_events(self, request_id: str) -> int:
        return LONG_TEXT_EVENTS if self.long_texts else text_events(request_id)

    def text(self, request_id: str) -> str:
        """Return the whole text of a request."""
        return _text(request_id, self._text_events(request_id))

    async def _reach(self, worker: Worker) -> EmulatedWorker:
        if worker.worker_id in self._replaced:
            raise WorkerMisdirectedError("another worker has the address")
        emulated = self._workers.get(worker.worker_id)
        if emulated is not None and emulated.has_ended:
            raise WorkerUnreachableError("nobody listens")
        if emulated is None or emulated.faults.dark:
            await self._clock.sleep(0.3)
            raise WorkerUnreachableError("no connection")
        if emulated.worker.address != worker.address:
            raise WorkerMisdirectedError("another worker")
        if emulated.faults.full:
            raise WorkerRefusedError("full")
        await self._clock.sleep(0.001)
        return emulated

    def _begin(self, emulated: EmulatedWorker, request: WorkerRequest) -> LoggedRun:
        if emulated.active >= 3 * emulated.worker.slots:
            raise WorkerRefusedError("full")
        emulated.active += 1
        run = LoggedRun(
            worker_id=emulated.worker.worker_id,
            worker_started_at_ms=emulated.worker.started_at_ms,
            request_id=request.request_id,
            started_at=self._clock.monotonic(),
            budget_seconds=request.budget_seconds,
            resume_after=request.resume_after,
            tenant=request.tenant,
            headers=request.headers,
        )
        self.runs.append(run)
        if request.body in self.crashing_bodies:
            self._spawn(self._crash(emulated))
        return run

    async def _work(self, emulated: EmulatedWorker, request: WorkerRequest, seconds: float) -> None:
        """Let the time of a piece of work pass; all work on a worker that ends is lost."""
        crashes = request.body in self.crashing_bodies
        await self._clock.sleep(self.crash_seconds if crashes else seconds)
        if emulated.has_ended or crashes:
            raise WorkerBrokenError("the worker ended")

    async def _crash(self, emulated: EmulatedWorker) -> None:
        await self._clock.sleep(self.crash_seconds)
        await self.end(emulated)

    async def end(self, emulated: EmulatedWorker) -> None:
        """End a worker; after a while another one stands at its address, or it starts again."""
        if emulated.has_ended:
            return
        emulated.has_ended = True
        for listener in self._end_listeners:
            listener(emulated.worker)
        self.crashes.append(
            LoggedCrash(
                worker_id=emulated.worker.worker_id,
                worker_started_at_ms=emulated.worker.started_at_ms,
                at=self._clock.monotonic(),
            )
        )
        if self.keep_ids:
            await self._start_again(emulated)
        else:
            await self._replace(emulated)

    async def _start_again(self, emulated: EmulatedWorker) -> None:
        await self._clock.sleep(RESTART_SECONDS)
        restarted = msgspec.structs.replace(
            emulated.worker,
            versions=dict(emulated.versions),
            started_at_ms=max(self._now_ms(), emulated.worker.started_at_ms + 1),
        )
        self._workers[restarted.worker_id] = EmulatedWorker(restarted)
        await self._clock.sleep(self.discovery_seconds)
        if self._workers[restarted.worker_id].worker == restarted:
            for changed in self._listeners:
                changed(restarted)

    async def _replace(self, emulated: EmulatedWorker) -> None:
        ended_id = emulated.worker.worker_id
        await self._clock.sleep(RETURN_SECONDS)
        del self._workers[ended_id]
        self._replaced.add(ended_id)
        name, _, number = ended_id.partition("~")
        successor = msgspec.structs.replace(
            emulated.worker,
            worker_id=BackendId(f"{name}~{int(number or 0) + 1}"),
            versions=dict(emulated.versions),
            started_at_ms=self._now_ms() if self._tells_starts else 0,
        )
        self._workers[successor.worker_id] = EmulatedWorker(successor)
        for removed in self._removal_listeners:
            removed(ended_id)
        for changed in self._listeners:
            changed(successor)

    def _end(self, emulated: EmulatedWorker, run: LoggedRun) -> None:
        emulated.active -= 1
        run.ended_at = self._clock.monotonic()

    @staticmethod
    def _load_of(emulated: EmulatedWorker) -> WorkerLoad:
        slots = emulated.worker.slots
        running = min(slots, emulated.active)
        return WorkerLoad(running=running, waiting=emulated.active - running, slots=slots)

    # Orders

    async def status(self, worker: Worker, *, fresh_connection: bool = False) -> WorkerStatus:
        """Report the worker's state; every call is as one over a new connection."""
        del fresh_connection
        emulated = await self._reach(worker)
        return WorkerStatus(
            busy=emulated.busy,
            sequence=emulated.sequence,
            versions=dict(emulated.versions),
            started_at_ms=emulated.worker.started_at_ms,
        )

    async def order(self, worker: Worker, order: LoadOrder) -> OrderOutcome:
        """Take an order, unless its fence or sequence number is out of date."""
        emulated = await self._reach(worker)
        if emulated.faults.orders_unanswered:
            if emulated.faults.orders_late_seconds:
                self._spawn(self._take_late(emulated, order, emulated.faults.orders_late_seconds))
            await self._clock.sleep(0.6)
            raise WorkerError("order unanswered")
        return self._take(emulated, order)

    async def _take_late(
        self, emulated: EmulatedWorker, order: LoadOrder, delay_seconds: float
    ) -> None:
        await self._clock.sleep(delay_seconds)
        if not emulated.has_ended:
            self._take(emulated, order)

    def _take(self, emulated: EmulatedWorker, order: LoadOrder) -> OrderOutcome:
        outcome = self._judge(emulated, order)
        self.orders.append(
            LoggedOrder(
                worker_id=emulated.worker.worker_id,
                order=order,
                at=self._clock.monotonic(),
                outcome=outcome,
            )
        )
        if outcome is OrderOutcome.STARTED:
            emulated.busy = True
            emulated.sequence += 1
            self._spawn(self._load(emulated, order))
        return outcome

    @staticmethod
    def _judge(emulated: EmulatedWorker, order: LoadOrder) -> OrderOutcome:
        if order.fence < emulated.highest_fence:
            return OrderOutcome.FENCED
        emulated.highest_fence = order.fence
        if emulated.versions.get(order.model) == order.version:
            return OrderOutcome.ALREADY_HELD
        if emulated.busy or order.expected_sequence != emulated.sequence:
            return OrderOutcome.CONFLICT
        return OrderOutcome.STARTED

    async def _load(self, emulated: EmulatedWorker, order: LoadOrder) -> None:
        await self._clock.sleep(self._load_seconds * emulated.faults.slowdown)
        if emulated.has_ended:
            return
        emulated.versions[order.model] = order.version
        emulated.busy = False
        entry = msgspec.structs.replace(emulated.worker, versions=dict(emulated.versions))
        for listener in self._listeners:
            listener(entry)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class EmulatedStream:
    """The stream of one run; its text depends on the request alone."""

    def __init__(
        self,
        clock: Clock,
        emulated: EmulatedWorker,
        run: LoggedRun,
        request: WorkerRequest,
        model: str,
        seconds_per_event: float,
        event_count: int,
    ) -> None:
        """Prepare the events after ``resume_after``."""
        self._clock = clock
        self._emulated = emulated
        self._run = run
        self._request = request
        self._model = model
        self._seconds_per_event = seconds_per_event
        self._event_count = event_count
        self.version: WeightVersion | None = emulated.versions.get(model)
        self.load: WorkerLoad | None = None
        self._pool: EmulatedWorkerPool | None = None
        self._silences = 0

    def is_cut_off_by(self, pool: EmulatedWorkerPool) -> None:
        """Let the stream say nothing more once the open connections of a pool fall silent."""
        self._pool = pool
        self._silences = pool.silences

    async def events(self) -> AsyncIterator[tuple[StreamEvent, ...]]:
        """Yield one event at a time."""
        faults = self._emulated.faults
        first = (self._request.resume_after or 0) + 1
        for number in range(first, self._event_count + 1):
            await self._clock.sleep(self._seconds_per_event * faults.slowdown)
            if faults.dark:
                await self._clock.sleep(3_600.0)
            if self._emulated.has_ended:
                raise WorkerBrokenError("the worker ended")
            if self._pool is not None and self._pool.silences != self._silences:
                await self._clock.sleep(3_600.0)
            limit = faults.break_after_events
            if limit is not None and self._run.events >= limit:
                raise WorkerBrokenError("stream cut")
            self._run.events += 1
            version = self._emulated.versions.get(self._model, WeightVersion(0))
            if version not in self._run.versions:
                self._run.versions.append(version)
            data = f"{self._request.request_id}:{number}"
            yield (StreamEvent(number=number, data=data, version=version),)


def text_events(request_id: str) -> int:
    """Return how many events the text of a request has."""
    return 2 + zlib.crc32(request_id.encode()) % (LONGEST_TEXT_EVENTS - 1)


def whole_text(request_id: str) -> str:
    """Return the whole text of a request."""
    return _text(request_id, text_events(request_id))


def _text(request_id: str, count: int) -> str:
    return "\n".join(f"{request_id}:{number}" for number in range(1, count + 1))
