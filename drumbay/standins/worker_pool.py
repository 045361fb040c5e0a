"""Emulated workers on an injected clock: streams, calls, load orders and faults.

Implements :class:`drumbay.workers.interface.WorkerClient` in process. Runs and orders are
logged, so that tests can compare the results of callers with what the workers executed.
"""

import asyncio
import math
import zlib
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager

import msgspec

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.placement.regions import AllowedRegions
from drumbay.standins.crash_timing import CrashTiming, crashes_in
from drumbay.standins.warm_up_state import WarmUpState
from drumbay.standins.worker_end import WorkerEnd
from drumbay.standins.worker_log import (
    LoggedArrival,
    LoggedCrash,
    LoggedOrder,
    LoggedRun,
    LogRecord,
    WorkerFaults,
)
from drumbay.workers.records import (
    LoadOrder,
    OrderOutcome,
    ProbeResult,
    StreamEvent,
    Worker,
    WorkerAnswerLostError,
    WorkerBrokenError,
    WorkerConnectionClosedError,
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

MAX_TEXT_EVENTS = 16
LONG_TEXT_EVENTS = 160

FAILED_STATUS = 500
REJECTED_STATUS = 422

CRASH_SECONDS = 0.05
"""Time that a crashing request runs before its worker ends."""

REPLACEMENT_SECONDS = 3.1
"""Delay until a stopped worker is replaced by one with another id at the same address."""

STANDSTILL_POLL_SECONDS = 0.05
CONTROL_TIMEOUT_SECONDS = 0.6
"""Timeout of status requests."""

RESTART_SECONDS = 2.5
"""Delay until a worker restarts under its own id: less than three heartbeats, so that discovery
does not remove its entry."""


class EmulatedWorker:
    """State of an emulated worker."""

    def __init__(self, worker: Worker) -> None:
        """Create a healthy, idle worker."""
        self.worker = worker
        self.versions: dict[str, WeightVersion] = dict(worker.versions)
        self.faults = WorkerFaults()
        self.active = 0
        self.busy = False
        self.sequence = 0
        self.highest_fence = 0
        self.has_stopped = False
        self.warm_up = WarmUpState()


class EmulatedWorkerPool:
    """All workers of a deployment.

    Attributes:
        long_texts: Whether every text has 160 events; otherwise 2 to 16, depending on the request.
        failing_requests: Ids of requests that fail on every worker.
        rejected_requests: Ids of streams that every worker rejects as invalid.
        long_requests: Ids of requests whose texts have 160 events.
        crashing_bodies: Bodies of requests that crash the workers that run them.
        crash_timings: When they do, for bodies that do not crash each worker before it answers.
        crash_seconds: Time that such a request runs before the crash.
        crashes: Workers that ended, oldest first.
        close_listeners: Called with the address of each worker that closes idle connections.
        closes_connections: Whether callers keep idle connections, and see those of ended workers
            close.
        worker_end: What callers see of workers that have ended.
        keep_ids: Whether workers restart under their own id.
        discovery_delay_seconds: Delay until discovery reports a restarted worker.
        idle_connections: Workers to which the caller has an idle connection.
        stall_count: Number of times that all open streams have stalled.
        warm_up_seconds: Time for which restarted workers stay cold, by service.
        cold_crash_rates: Requests in a second above which a cold worker ends, by service.
        arrivals: Requests that reached a worker, refused ones included, oldest first.
        runs: Started runs, oldest first.
        orders: Received orders, oldest first.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        seconds_per_event: float = 0.05,
        response_seconds: float = 0.03,
        load_seconds: float = 0.9,
        reports_start_times: bool = False,
    ) -> None:
        """Create an empty pool; ``reports_start_times`` makes workers report their start time."""
        self._clock = clock
        self._reports_start_times = reports_start_times
        self.keep_ids = False
        self.discovery_delay_seconds = 0.0
        self._seconds_per_event = seconds_per_event
        self._response_seconds = response_seconds
        self._load_seconds = load_seconds
        self._workers: dict[BackendId, EmulatedWorker] = {}
        self._listeners: list[Callable[[Worker], None]] = []
        self._removal_listeners: list[Callable[[BackendId], None]] = []
        self._end_listeners: list[Callable[[Worker], None]] = []
        self.close_listeners: list[Callable[[NetworkAddress], None]] = []
        self._log_listeners: list[Callable[[LogRecord], None]] = []
        self._replaced_ids: set[BackendId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.long_texts = False
        self.failing_requests: set[str] = set()
        self.rejected_requests: set[str] = set()
        self.long_requests: set[str] = set()
        self.crashing_bodies: set[bytes] = set()
        self.crash_timings: dict[bytes, CrashTiming] = {}
        self.crash_seconds = CRASH_SECONDS
        self.crashes: list[LoggedCrash] = []
        self.closes_connections = True
        self.worker_end = WorkerEnd.REFUSES
        self.idle_connections: set[BackendId] = set()
        self.stall_count = 0
        self.warm_up_seconds: dict[str, float] = {}
        self.cold_crash_rates: dict[str, float] = {}
        self.arrivals: list[LoggedArrival] = []
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
            started_at_ms=self._now_ms() if self._reports_start_times else 0,
        )
        emulated = EmulatedWorker(worker)
        self._workers[worker.worker_id] = emulated
        return emulated

    def _now_ms(self) -> int:
        return int(self._clock.wall() * 1000)

    def add_listener(self, listener: Callable[[Worker], None]) -> None:
        """Call ``listener`` when the discovery entry of a worker changes."""
        self._listeners.append(listener)

    def add_end_listener(self, listener: Callable[[Worker], None]) -> None:
        """Call ``listener`` when a worker ends, before discovery reports it."""
        self._end_listeners.append(listener)

    def add_removal_listener(self, listener: Callable[[BackendId], None]) -> None:
        """Call ``listener`` when the discovery entry of a worker is removed."""
        self._removal_listeners.append(listener)

    def add_log_listener(self, listener: Callable[[LogRecord], None]) -> None:
        """Call ``listener`` with each record; with runs again when they get a version, and end."""
        self._log_listeners.append(listener)

    def log(self, record: LogRecord) -> None:
        """Tell the listeners of a record."""
        for listener in self._log_listeners:
            listener(record)

    def entries(self) -> list[Worker]:
        """Return the current discovery entries of all workers."""
        return [self._entry_of(emulated) for emulated in self._workers.values()]

    def _entry_of(self, emulated: EmulatedWorker) -> Worker:
        """Return the discovery entry of a worker."""
        entry = msgspec.structs.replace(emulated.worker, versions=dict(emulated.versions))
        if not emulated.warm_up.cold_until:
            return entry
        left_seconds = emulated.warm_up.announced_seconds(self._clock.monotonic())
        return msgspec.structs.replace(entry, warm_up_left_seconds=left_seconds)

    def _publish(self, emulated: EmulatedWorker) -> None:
        entry = self._entry_of(emulated)
        for on_changed in self._listeners:
            on_changed(entry)

    def __getitem__(self, name: str) -> EmulatedWorker:
        """Return a worker by its name."""
        return self._workers[BackendId(name)]

    def runs_of(self, request_id: str) -> list[LoggedRun]:
        """Return the runs of one request."""
        return [run for run in self.runs if run.request_id == request_id]

    def first_completed_at(self, request_id: str) -> float | None:
        """Return when a run first completed the text of a request; ``None`` if none did."""
        count = self._event_count_of(request_id)
        ends = [
            run.ended_at
            for run in self.runs_of(request_id)
            if run.ended_at is not None and (run.resume_after or 0) + run.events >= count
        ]
        return min(ends, default=None)

    # Warm-up

    def turn_cold(self, name: str, seconds: float, *, unannounced_seconds: float = 0.0) -> None:
        """Make a worker cold; discovery reports it after ``unannounced_seconds``."""
        emulated = self[name]
        warm_up = emulated.warm_up
        warm_up.turn_cold(seconds, self._clock.monotonic())
        warm_up.is_announced = not unannounced_seconds
        if unannounced_seconds:
            self._spawn(self._announce_warm_up(emulated, unannounced_seconds))
        else:
            self._announce(emulated)

    async def _announce_warm_up(self, emulated: EmulatedWorker, delay_seconds: float) -> None:
        await self._clock.sleep(delay_seconds)
        emulated.warm_up.is_announced = True
        if not emulated.has_stopped:
            self._announce(emulated)

    def _announce(self, emulated: EmulatedWorker) -> None:
        """Report a warm-up now, and its end when it comes."""
        if self._workers.get(emulated.worker.worker_id) is not emulated:
            return
        self._publish(emulated)
        if emulated.warm_up.is_cold(self._clock.monotonic()):
            self._spawn(self._announce_end_of_warm_up(emulated))

    async def _announce_end_of_warm_up(self, emulated: EmulatedWorker) -> None:
        await self._clock.sleep(emulated.warm_up.cold_until - self._clock.monotonic())
        if not emulated.has_stopped:
            self._announce(emulated)

    def _log_arrival(self, worker: Worker, request: WorkerRequest) -> None:
        """Log a request that reaches the process of a worker."""
        emulated = self._workers.get(worker.worker_id)
        if emulated is None or emulated.has_stopped or emulated.faults.unreachable:
            return
        now = self._clock.monotonic()
        is_cold = emulated.warm_up.is_cold(now)
        arrival = LoggedArrival(
            worker_id=worker.worker_id,
            service=emulated.worker.service,
            zone=emulated.worker.zone,
            request_id=request.request_id,
            target=request.target,
            at=now,
            tenant=request.tenant,
            is_cold=is_cold,
            cold_seconds=now - emulated.warm_up.cold_from if is_cold else 0.0,
            budget_seconds=request.budget_seconds,
        )
        self.arrivals.append(arrival)
        self.log(arrival)
        crash_rate = self.cold_crash_rates.get(emulated.worker.service, math.inf)
        if is_cold and emulated.warm_up.record_arrival(now) > crash_rate:
            self._spawn(self.end(emulated))

    # Requests

    def set_send_check(self, may_send: Callable[[Worker, AllowedRegions], bool]) -> None:
        """Ignore the check, since requests arrive as soon as they are sent."""

    def set_close_listener(self, listener: Callable[[NetworkAddress], None]) -> None:
        """Call ``listener`` with the address of each worker that ends and closes connections."""
        self.close_listeners.append(listener)

    def has_idle_connection(self, worker: Worker) -> bool:
        """Return whether the caller has an idle connection to a worker."""
        return worker.worker_id in self.idle_connections

    async def probe(self, worker: Worker) -> ProbeResult:
        """Return whether a worker, or its successor, responds at its address."""
        emulated = self._workers.get(worker.worker_id)
        if worker.worker_id in self._replaced_ids:
            return ProbeResult.REPLACED
        if emulated is not None and emulated.has_stopped:
            if self.worker_end is WorkerEnd.REFUSES:
                return ProbeResult.REFUSES
            await self._clock.sleep(
                0.001 if self.worker_end is WorkerEnd.RESETS else CONTROL_TIMEOUT_SECONDS
            )
            return ProbeResult.SILENT
        if emulated is None or emulated.faults.unreachable or emulated.faults.stands_still:
            await self._clock.sleep(CONTROL_TIMEOUT_SECONDS)
            return ProbeResult.SILENT
        await self._clock.sleep(0.001)
        is_later = 0 < worker.started_at_ms < emulated.worker.started_at_ms
        return ProbeResult.REPLACED if is_later else ProbeResult.RESPONDS

    async def responds(self, worker: Worker, timeout_seconds: float) -> bool:
        """Return whether a worker responds within a time; reports take no slot."""
        emulated = self._workers.get(worker.worker_id)
        if emulated is None or emulated.has_stopped:
            if self.worker_end in (WorkerEnd.SILENT, WorkerEnd.CLOSES):
                await self._clock.sleep(timeout_seconds)
            return False
        if emulated.faults.unreachable or emulated.faults.stands_still:
            await self._clock.sleep(timeout_seconds)
            return False
        await self._clock.sleep(0.001)
        return True

    async def call(self, worker: Worker, request: WorkerRequest) -> WorkerResponse:
        """Run a request and return its response."""
        self._log_arrival(worker, request)
        emulated = await self._connect(worker)
        run = self._begin_run(emulated, request)
        is_reused = worker.worker_id in self.idle_connections and not request.fresh_connection
        try:
            await self._wait_until_it_goes_on(emulated)
            seconds = self._response_seconds * emulated.faults.slowdown
            await self._work(emulated, request, run, seconds)
            self._raise_if_failing(emulated, run)
            run.events = 1
        finally:
            self._end_run(emulated, run)
            self._crash_after_answer(emulated, request)
        if is_reused and emulated.faults.closes_idle_connections:
            raise WorkerConnectionClosedError("the idle connection was closed")
        if emulated.faults.lose_responses:
            raise WorkerBrokenError("answer lost")
        return WorkerResponse(
            status=200,
            headers=(("Worker", worker.worker_id),),
            body=request.body,
            load=self._current_load(emulated),
            stamp=run.stamp,
        )

    @asynccontextmanager
    async def stream(
        self, worker: Worker, request: WorkerRequest
    ) -> AsyncIterator["EmulatedStream"]:
        """Stream the text of a request, starting after the event ``resume_after``."""
        self._log_arrival(worker, request)
        emulated = await self._connect(worker)
        run = self._begin_run(emulated, request)
        try:
            await self._raise_if_failing_stream(emulated, run)
            _spoil_or_lose_answer(emulated, run)
            model = dict(request.headers).get("model", "m")
            seconds = self._seconds_per_event
            count = self._event_count_of(request.request_id)
            if self._crashes_before_answer(request, run):
                await self._work(emulated, request, run, 0.0)
            yield EmulatedStream(self._clock, emulated, run, request, model, seconds, count, self)
        finally:
            self._end_run(emulated, run)
            self._crash_after_answer(emulated, request)

    async def _raise_if_failing_stream(self, emulated: EmulatedWorker, run: LoggedRun) -> None:
        try:
            self._raise_if_failing(emulated, run)
            if emulated.faults.rejecting or run.request_id in self.rejected_requests:
                run.failed_with = REJECTED_STATUS
                raise WorkerRejectedError(str(REJECTED_STATUS))
        except WorkerError as error:
            await self._clock.sleep(emulated.faults.failure_delay_seconds)
            if emulated.faults.spoils_failures:
                raise WorkerAnswerLostError("bytes of no answer") from error
            _spoil_or_lose_answer(emulated, run)
            raise

    def _raise_if_failing(self, emulated: EmulatedWorker, run: LoggedRun) -> None:
        if emulated.faults.failing or run.request_id in self.failing_requests:
            run.failed_with = FAILED_STATUS
            raise WorkerFailedError(str(FAILED_STATUS))

    def _event_count_of(self, request_id: str) -> int:
        is_long = self.long_texts or request_id in self.long_requests
        return LONG_TEXT_EVENTS if is_long else text_event_count(request_id)

    def text(self, request_id: str) -> str:
        """Return the complete text of a request."""
        return make_text(request_id, self._event_count_of(request_id))

    async def _connect(self, worker: Worker) -> EmulatedWorker:
        if worker.worker_id in self._replaced_ids:
            raise WorkerMisdirectedError("another worker has the address")
        emulated = self._workers.get(worker.worker_id)
        if emulated is not None and emulated.has_stopped:
            await self._connect_to_ended(emulated)
        if emulated is None or emulated.faults.unreachable:
            await self._clock.sleep(0.3)
            raise WorkerUnreachableError("no connection")
        if emulated.worker.address != worker.address:
            raise WorkerMisdirectedError("another worker")
        if emulated.faults.full:
            raise WorkerRefusedError("full")
        await self._clock.sleep(0.001)
        return emulated

    async def _connect_to_ended(self, emulated: EmulatedWorker) -> None:
        """Fail as a new connection to an ended worker does."""
        if self.worker_end is WorkerEnd.REFUSES:
            raise WorkerUnreachableError("nobody listens")
        await self._clock.sleep(0.001)
        if self.worker_end is not WorkerEnd.RESETS:
            await self._wait_until_replaced(emulated)
        raise WorkerBrokenError("the connection was reset")

    async def _wait_until_replaced(self, emulated: EmulatedWorker) -> None:
        while self._workers.get(emulated.worker.worker_id) is emulated:
            await self._clock.sleep(STANDSTILL_POLL_SECONDS)

    async def break_run(self, emulated: EmulatedWorker) -> None:
        """Fail as the open connection of a run does whose worker has ended."""
        if self.worker_end is WorkerEnd.SILENT:
            await self._wait_until_replaced(emulated)
        raise WorkerBrokenError("the worker ended")

    def _begin_run(self, emulated: EmulatedWorker, request: WorkerRequest) -> LoggedRun:
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
        self.log(run)
        if self._crashes_before_answer(request, run):
            self._spawn(self._crash(emulated, self.crash_seconds))
        elif self._crash_timing_of(request) is CrashTiming.AFTER_FAILURE:
            self.failing_requests.add(request.request_id)
        return run

    def _crash_timing_of(self, request: WorkerRequest) -> CrashTiming | None:
        if request.body not in self.crashing_bodies:
            return None
        return self.crash_timings.get(request.body, CrashTiming.BEFORE_ANSWER)

    def _crashes_before_answer(self, request: WorkerRequest, run: LoggedRun) -> bool:
        timing = self._crash_timing_of(request)
        return timing is not None and timing.crashes_before_answer(run.stamp)

    def _crash_after_answer(self, emulated: EmulatedWorker, request: WorkerRequest) -> None:
        """Crash a worker that has answered a request, if the request does that."""
        timing = self._crash_timing_of(request)
        delay_seconds = crashes_in(timing) if timing is not None else None
        if delay_seconds is not None and not emulated.has_stopped:
            self._spawn(self._crash(emulated, delay_seconds))

    async def _wait_until_it_goes_on(self, emulated: EmulatedWorker) -> None:
        while emulated.faults.stands_still:
            await self._clock.sleep(STANDSTILL_POLL_SECONDS)

    async def _work(
        self, emulated: EmulatedWorker, request: WorkerRequest, run: LoggedRun, seconds: float
    ) -> None:
        """Spend time on work, which is lost if the worker ends."""
        crashes = self._crashes_before_answer(request, run)
        await self._clock.sleep(self.crash_seconds if crashes else seconds)
        if emulated.has_stopped or crashes:
            await self.break_run(emulated)

    async def _crash(self, emulated: EmulatedWorker, delay_seconds: float) -> None:
        await self._clock.sleep(delay_seconds)
        await self.end(emulated)

    async def end(self, emulated: EmulatedWorker) -> None:
        """End a worker; after a delay it is restarted or replaced, depending on ``keep_ids``."""
        if emulated.has_stopped:
            return
        emulated.has_stopped = True
        for listener in self._end_listeners:
            listener(emulated.worker)
        crash = LoggedCrash(
            worker_id=emulated.worker.worker_id,
            worker_started_at_ms=emulated.worker.started_at_ms,
            at=self._clock.monotonic(),
        )
        self.crashes.append(crash)
        self.log(crash)
        if self.closes_connections and self.worker_end is not WorkerEnd.SILENT:
            for on_closed in self.close_listeners:
                on_closed(emulated.worker.address)
        if self.keep_ids:
            await self._restart(emulated)
        else:
            await self._replace(emulated)

    async def _restart(self, emulated: EmulatedWorker) -> None:
        await self._clock.sleep(RESTART_SECONDS)
        restarted = msgspec.structs.replace(
            emulated.worker,
            versions=dict(emulated.versions),
            started_at_ms=max(self._now_ms(), emulated.worker.started_at_ms + 1),
        )
        successor = self._add_started(restarted)
        await self._clock.sleep(self.discovery_delay_seconds)
        self._announce(successor)

    def _add_started(self, worker: Worker) -> EmulatedWorker:
        """Add a worker that starts now, and is cold if its service warms up."""
        started = EmulatedWorker(worker)
        seconds = self.warm_up_seconds.get(worker.service, 0.0)
        started.warm_up.turn_cold(seconds, self._clock.monotonic())
        self._workers[worker.worker_id] = started
        return started

    async def _replace(self, emulated: EmulatedWorker) -> None:
        ended_id = emulated.worker.worker_id
        await self._clock.sleep(REPLACEMENT_SECONDS)
        del self._workers[ended_id]
        self._replaced_ids.add(ended_id)
        successor = msgspec.structs.replace(
            emulated.worker,
            worker_id=successor_id(ended_id),
            versions=dict(emulated.versions),
            started_at_ms=self._now_ms() if self._reports_start_times else 0,
        )
        started = self._add_started(successor)
        for on_removed in self._removal_listeners:
            on_removed(ended_id)
        self._announce(started)

    def _end_run(self, emulated: EmulatedWorker, run: LoggedRun) -> None:
        emulated.active -= 1
        run.ended_at = self._clock.monotonic()
        self.log(run)

    @staticmethod
    def _current_load(emulated: EmulatedWorker) -> WorkerLoad:
        slots = emulated.worker.slots
        running = min(slots, emulated.active)
        return WorkerLoad(running=running, waiting=emulated.active - running, slots=slots)

    # Orders

    async def status(self, worker: Worker, *, fresh_connection: bool = False) -> WorkerStatus:
        """Return the status of a worker; every call uses a new connection."""
        del fresh_connection
        try:
            emulated = await self._clock.wait_for(self._connect(worker), CONTROL_TIMEOUT_SECONDS)
        except DeadlineExceededError as error:
            raise WorkerError("no status report") from error
        return WorkerStatus(
            busy=emulated.busy,
            sequence=emulated.sequence,
            versions=dict(emulated.versions),
            started_at_ms=emulated.worker.started_at_ms,
        )

    async def order(self, worker: Worker, order: LoadOrder) -> OrderOutcome:
        """Start a load, unless the fence or the sequence number of the order is outdated."""
        emulated = await self._connect(worker)
        if emulated.faults.orders_unanswered:
            if emulated.faults.orders_late_seconds:
                self._spawn(
                    self._handle_order_late(emulated, order, emulated.faults.orders_late_seconds)
                )
            await self._clock.sleep(0.6)
            raise WorkerError("order unanswered")
        return self._handle_order(emulated, order)

    async def _handle_order_late(
        self, emulated: EmulatedWorker, order: LoadOrder, delay_seconds: float
    ) -> None:
        await self._clock.sleep(delay_seconds)
        if not emulated.has_stopped:
            self._handle_order(emulated, order)

    def _handle_order(self, emulated: EmulatedWorker, order: LoadOrder) -> OrderOutcome:
        outcome = self._decide_outcome(emulated, order)
        logged = LoggedOrder(
            worker_id=emulated.worker.worker_id,
            order=order,
            at=self._clock.monotonic(),
            outcome=outcome,
        )
        self.orders.append(logged)
        self.log(logged)
        if outcome is OrderOutcome.STARTED:
            emulated.busy = True
            emulated.sequence += 1
            self._spawn(self._load(emulated, order))
        return outcome

    @staticmethod
    def _decide_outcome(emulated: EmulatedWorker, order: LoadOrder) -> OrderOutcome:
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
        if emulated.has_stopped:
            return
        emulated.versions[order.model] = order.version
        emulated.busy = False
        self._publish(emulated)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class EmulatedStream:
    """Event stream of a run; its text is a function of the request."""

    def __init__(
        self,
        clock: Clock,
        emulated: EmulatedWorker,
        run: LoggedRun,
        request: WorkerRequest,
        model: str,
        seconds_per_event: float,
        event_count: int,
        pool: EmulatedWorkerPool,
    ) -> None:
        """Create a stream of the events after ``resume_after``.

        It stalls when the pool stalls its open streams.
        """
        self._clock = clock
        self._emulated = emulated
        self._run = run
        self._request = request
        self._model = model
        self._seconds_per_event = seconds_per_event
        self._event_count = event_count
        self.version: WeightVersion | None = emulated.versions.get(model)
        self.load: WorkerLoad | None = None
        self._pool = pool
        self._initial_stall_count = pool.stall_count

    async def events(self) -> AsyncIterator[tuple[StreamEvent, ...]]:
        """Yield the events one by one."""
        faults = self._emulated.faults
        first = (self._request.resume_after or 0) + 1
        for number in range(first, self._event_count + 1):
            await self._clock.sleep(self._seconds_per_event * faults.slowdown)
            if faults.unreachable:
                await self._clock.sleep(3_600.0)
            if self._emulated.has_stopped:
                await self._pool.break_run(self._emulated)
            if self._pool.stall_count != self._initial_stall_count:
                await self._clock.sleep(3_600.0)
            limit = faults.break_after_events
            if limit is not None and self._run.events >= limit:
                raise WorkerBrokenError("stream cut")
            self._run.events += 1
            version = self._emulated.versions.get(self._model, WeightVersion(0))
            if version not in self._run.versions:
                self._run.versions.append(version)
                self._pool.log(self._run)
            data = f"{self._request.request_id}:{number}"
            yield (StreamEvent(number=number, data=data, version=version),)


def _spoil_or_lose_answer(emulated: EmulatedWorker, run: LoggedRun) -> None:
    """Raise an error if the answer of a run is lost or spoilt, which follows from the run alone."""
    share = zlib.crc32(run.stamp.encode()) / 2**32
    if share < emulated.faults.lost_answer_share:
        raise WorkerBrokenError("answer lost")
    if share < emulated.faults.spoilt_answer_share:
        raise WorkerAnswerLostError("bytes of no answer")


def text_event_count(request_id: str) -> int:
    """Return the number of events in the text of a request."""
    return 2 + zlib.crc32(request_id.encode()) % (MAX_TEXT_EVENTS - 1)


def full_text(request_id: str) -> str:
    """Return the complete text of a request."""
    return make_text(request_id, text_event_count(request_id))


def successor_id(worker_id: BackendId) -> BackendId:
    """Return the id of the worker that replaces an ended one."""
    name, _, number = worker_id.partition("~")
    return BackendId(f"{name}~{int(number or 0) + 1}")


def make_text(request_id: str, count: int) -> str:
    """Return the text of a request that has this many events."""
    return "\n".join(f"{request_id}:{number}" for number in range(1, count + 1))
