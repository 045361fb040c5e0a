"""Forwards one client request to workers: choice, retries, hedging, deadline.

Idempotent requests may go to several workers, at most ``route.attempts``; the first whole
answer wins and the others are closed. A request that may run once only is sent again only
when the worker before has proved that it did not run.
"""

import asyncio

import msgspec

from drumbay.clock import Clock
from drumbay.exceptions import Execution, RequestFailedError
from drumbay.forwarding.routes import RequestKind, Route, RouteTable
from drumbay.observability.logs import log_event
from drumbay.workers.directory import WorkerDirectory, WorkerRecord
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import (
    WorkerAnswer,
    WorkerBrokenError,
    WorkerError,
    WorkerMisdirectedError,
    WorkerRefusedError,
    WorkerRequest,
    WorkerUnreachableError,
)

MINIMUM_BUDGET_SECONDS = 0.02
"""With less time left, no worker is asked any more."""

HEDGE_SHARE_OF_TARGET = 0.45
"""A second worker is asked once this share of the route's target has passed."""

MAXIMUM_REFUSALS = 6
RETRY_AFTER_SECONDS = 0.25
REFUSAL_PAUSE_SECONDS = 0.05
MISDIRECTED_PAUSE_SECONDS = 5.0


class NoWorkerError(RequestFailedError):
    """No worker could take the request."""

    code = "no_worker"


class RequestTimedOutError(RequestFailedError):
    """The deadline or the route's time limit passed without an answer."""

    code = "request_timed_out"
    http_status = 504


class AnswerLostError(RequestFailedError):
    """The request may have run, but no whole answer came."""

    code = "answer_lost"
    http_status = 502


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A client's request, as it goes out to a worker."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget_seconds: float


class _Progress(msgspec.Struct, kw_only=True):
    """What has happened to one request so far."""

    sent: int = 0
    refusals: int = 0
    may_have_run: bool = False
    tried: set[str] = msgspec.field(default_factory=set)


class Forwarder:
    """Serves requests of routes that are answered at once."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        routes: RouteTable,
        client: WorkerClient,
        zone: str,
    ) -> None:
        """Create a forwarder for a node in ``zone``."""
        self._clock = clock
        self._directory = directory
        self._routes = routes
        self._client = client
        self._zone = zone

    async def forward(self, route: Route, request: ClientRequest) -> WorkerAnswer:
        """Return a worker's whole answer.

        Raises:
            RequestFailedError: The final answer is a failure; says whether it may have run.
        """
        started_at = self._clock.monotonic()
        deadline = started_at + min(request.budget_seconds, route.timeout_seconds)
        service = self._routes.choose_service(route)
        progress = _Progress()
        attempts: dict[asyncio.Task[WorkerAnswer], WorkerRecord] = {}
        try:
            return await self._run(route, request, service, deadline, progress, attempts)
        except RequestFailedError as error:
            log_event(
                "request_failed",
                level="WARNING",
                request=request.request_id,
                route=route.name,
                service=service,
                error=error.code,
                execution=error.execution,
                sent=progress.sent,
                refusals=progress.refusals,
                workers=",".join(sorted(progress.tried)),
                elapsed_seconds=round(self._clock.monotonic() - started_at, 4),
            )
            raise
        finally:
            for task in attempts:
                task.cancel()

    async def _run(
        self,
        route: Route,
        request: ClientRequest,
        service: str,
        deadline: float,
        progress: _Progress,
        attempts: dict[asyncio.Task[WorkerAnswer], WorkerRecord],
    ) -> WorkerAnswer:
        hedge_seconds = route.target_seconds * HEDGE_SHARE_OF_TARGET
        next_hedge = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            remaining = deadline - now
            if remaining < MINIMUM_BUDGET_SECONDS:
                raise self._timed_out(progress)
            if now >= next_hedge and self._may_send(route, progress, bool(attempts)):
                record = self._choose(service, progress, now)
                if record is not None:
                    self._send(record, request, remaining, progress, attempts)
                elif not attempts:
                    raise self._no_worker(progress)
                next_hedge = now + hedge_seconds
            if not attempts:
                if not self._may_send(route, progress, False):
                    raise self._exhausted(progress)
                next_hedge = now
                await self._clock.sleep(min(REFUSAL_PAUSE_SECONDS, remaining))
                continue
            wait_seconds = remaining
            if self._may_send(route, progress, True):
                wait_seconds = min(remaining, max(next_hedge - now, MINIMUM_BUDGET_SECONDS))
            done, _ = await asyncio.wait(
                attempts, timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                record = attempts.pop(task)
                answer = self._settle(task, record, progress)
                if answer is not None:
                    return answer
                next_hedge = self._clock.monotonic()

    def _may_send(self, route: Route, progress: _Progress, is_hedge: bool) -> bool:
        if progress.refusals > MAXIMUM_REFUSALS:
            return False
        if route.kind is RequestKind.AT_MOST_ONCE:
            return not is_hedge and not progress.may_have_run
        return progress.sent - progress.refusals < route.attempts

    def _choose(self, service: str, progress: _Progress, now: float) -> WorkerRecord | None:
        records = self._directory.of_service(service)
        available = [record for record in records if record.is_available(now)]
        untried = [r for r in available if r.worker.worker_id not in progress.tried]
        candidates = untried or available
        if not candidates and not progress.sent:
            candidates = [record for record in records if record.worker.state == "ready"]
        if not candidates:
            return None
        return min(candidates, key=lambda record: self._cost(record, now))

    def _cost(self, record: WorkerRecord, now: float) -> tuple[bool, float, bool, str]:
        """Order by a free place, then by the expected time, then by the zone."""
        latency = record.latency_seconds or 0.0
        waiting = record.busy(now) / max(1, record.worker.slots)
        return (
            record.free_slots(now) == 0,
            round(latency * (1.0 + waiting) + 0.01 * waiting, 2),
            record.worker.zone != self._zone,
            record.worker.worker_id,
        )

    def _send(
        self,
        record: WorkerRecord,
        request: ClientRequest,
        remaining: float,
        progress: _Progress,
        attempts: dict[asyncio.Task[WorkerAnswer], WorkerRecord],
    ) -> None:
        progress.sent += 1
        progress.tried.add(record.worker.worker_id)
        outgoing = WorkerRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            budget_seconds=remaining,
        )
        task = asyncio.get_running_loop().create_task(self._attempt(record, outgoing))
        attempts[task] = record

    async def _attempt(self, record: WorkerRecord, request: WorkerRequest) -> WorkerAnswer:
        started_at = self._clock.monotonic()
        record.in_flight += 1
        try:
            answer = await self._client.call(record.worker, request)
        except asyncio.CancelledError:
            # Slower than the hedge or the deadline: remember at least the time it took.
            elapsed_seconds = self._clock.monotonic() - started_at
            if elapsed_seconds > (record.latency_seconds or 0.0):
                self._directory.observe_latency(record.worker.worker_id, elapsed_seconds)
            raise
        finally:
            record.in_flight -= 1
        now = self._clock.monotonic()
        self._directory.observe_latency(record.worker.worker_id, now - started_at)
        if answer.load is not None:
            self._directory.observe_load(record.worker.worker_id, answer.load, now)
        return answer

    def _settle(
        self, task: "asyncio.Task[WorkerAnswer]", record: WorkerRecord, progress: _Progress
    ) -> WorkerAnswer | None:
        """Take a finished attempt; return its answer if it is final."""
        now = self._clock.monotonic()
        worker_id = record.worker.worker_id
        try:
            return task.result()
        except WorkerMisdirectedError:
            progress.refusals += 1
            self._directory.pause(worker_id, now, MISDIRECTED_PAUSE_SECONDS)
        except WorkerUnreachableError:
            progress.refusals += 1
            self._directory.observe_failure(worker_id, now)
        except WorkerRefusedError:
            progress.refusals += 1
            self._directory.pause(worker_id, now, REFUSAL_PAUSE_SECONDS)
        except WorkerBrokenError:
            progress.may_have_run = True
            self._directory.observe_failure(worker_id, now)
        except WorkerError:
            progress.may_have_run = True
        return None

    def _timed_out(self, progress: _Progress) -> RequestFailedError:
        if progress.sent == progress.refusals:
            return self._no_worker(progress)
        return RequestTimedOutError(
            "no answer before the deadline", execution=Execution.MAY_HAVE_RUN
        )

    def _exhausted(self, progress: _Progress) -> RequestFailedError:
        if progress.may_have_run:
            return AnswerLostError("no whole answer came", execution=Execution.MAY_HAVE_RUN)
        return self._no_worker(progress)

    @staticmethod
    def _no_worker(progress: _Progress) -> RequestFailedError:
        if progress.sent > progress.refusals:
            return AnswerLostError("no whole answer came", execution=Execution.MAY_HAVE_RUN)
        return NoWorkerError(
            "no worker took the request",
            execution=Execution.NOT_RUN,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )


