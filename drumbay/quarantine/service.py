"""Keeps a request that crashes its workers away from them, at one node.

A run that ends without an answer is no evidence by itself: resets, lost answers and cuts do the
same. Its worker is looked at over a new connection. If nobody listens there, or another worker has
the address by the time the request comes again, or it has started again under its id, it has ended
under it. Deaths are told to every node at once, and kept in the store for nodes that start later.

A worker that was taken for ended takes its deaths back. Where workers tell their starts, an answer
proves nothing: it may come from the next start, of which discovery tells some time later, or may
have been sent before the worker ended and read after that. The worker is then asked for a report,
which names its start. Only one that was asked for after this node learnt of the death counts.
"""

from collections import Counter
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.ledger import DEATHS_UNTIL_TRIAL, QuarantineLedger
from drumbay.quarantine.records import (
    Activity,
    Decision,
    QuarantineNotice,
    RequestProvedSound,
    RequestSuspected,
    ServiceOutlook,
    ToldDeath,
    Verdict,
    WorkerDeath,
    WorkerKind,
    WorkerProvedAlive,
)
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Listening, Worker, WorkerError, WorkerStart

SUSPICION_SECONDS = 30.0
"""How long a run that broke may still turn out to have ended its worker: workers are back within
seconds, and their entries lapse within some heartbeats."""

REPORT_PAUSE_SECONDS = 1.0
"""A worker that was taken for ended and answers is asked for its start so often: a report costs a
call, and such a worker may have many answers a second."""

MOST_SUSPICIONS = 1_024
MOST_RUNS_OF_A_SUSPICION = 8
"""Requests, and broken runs of each; while answers get lost in numbers, the oldest are forgotten
first. At 203 bytes a run (measured over 8,192 runs by tracemalloc), 1.7 MB at the most."""


class _BrokenRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run without an answer, whose worker may have ended. Times are monotonic seconds."""

    request_id: str
    worker: Worker
    began_at: float
    broke_at: float

    def death(self, now: float) -> WorkerDeath:
        """Return the death of its worker, as it is learnt of now."""
        return WorkerDeath(
            worker_id=self.worker.worker_id,
            kind=_kind(self.worker),
            began_at=self.began_at,
            ended_at=self.broke_at,
            started_at_ms=self.worker.started_at_ms,
            learnt_at=now,
        )


class Quarantine:
    """Says whether a request may run, from what this node and others have seen of it."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        task_owner: TaskOwner,
        metrics: ServingMetrics,
        tell: Callable[[QuarantineNotice], None],
    ) -> None:
        """Create a quarantine that holds nothing.

        Args:
            clock: Time.
            directory: The workers.
            client: Looks whether a worker listens.
            task_owner: Runs these looks.
            metrics: Counts deaths and held requests.
            tell: Tells every other node.
        """
        self.ledger = QuarantineLedger()
        self._clock = clock
        self._directory = directory
        self._client = client
        self._task_owner = task_owner
        self._metrics = metrics
        self._tell = tell
        self._listeners: list[Callable[[Fingerprint, bool], None]] = []
        self._runs: dict[Fingerprint, list[BackendId]] = {}
        self._checks: Counter[Fingerprint] = Counter()
        self._suspicions: dict[Fingerprint, list[_BrokenRun]] = {}
        self._asked_at: dict[WorkerStart, float] = {}
        directory.add_report_listener(self._note_report)

    def add_listener(self, listener: Callable[[Fingerprint, bool], None]) -> None:
        """Call ``listener`` after each change of a request, with whether this node saw why."""
        self._listeners.append(listener)

    @property
    def is_idle(self) -> bool:
        """Return whether every request may run: nothing is known of any."""
        return self.ledger.is_empty and not self._checks and not self._suspicions

    @property
    def suspicions(self) -> int:
        """Return of how many requests a run broke lately whose worker may have ended."""
        return len(self._suspicions)

    def knows(self, fingerprint: Fingerprint) -> bool:
        """Return whether anything is known of a request."""
        return (
            fingerprint in self.ledger
            or fingerprint in self._checks
            or fingerprint in self._suspicions
        )

    # Deciding

    def verdict(self, fingerprint: Fingerprint, service: str, starting: int = 0) -> Verdict:
        """Return whether a request may run now on a worker of a service.

        Args:
            fingerprint: The request.
            service: The service.
            starting: Requests under which workers have ended in a row that are about to run.
        """
        if not self.knows(fingerprint):
            return Verdict(decision=Decision.RUN)
        now = self._clock.monotonic()
        self._confirm(fingerprint, now)
        trials = [
            worker_id
            for running, workers in self._runs.items()
            if self.ledger.in_a_row(running) >= DEATHS_UNTIL_TRIAL
            for worker_id in workers
        ]
        activity = Activity(
            runs=len(self._runs.get(fingerprint, ())),
            trials=len(trials) + starting,
            checks=self._checks[fingerprint],
        )
        verdict = self.ledger.judge(fingerprint, self._outlook(service, now), activity, now)
        if verdict.deaths_in_a_row < DEATHS_UNTIL_TRIAL:
            return verdict
        return msgspec.structs.replace(verdict, apart_from=frozenset(trials))

    def _outlook(self, service: str, now: float) -> ServiceOutlook:
        records = self._directory.of_service(service)
        ended = self.ledger.ended_workers()
        available = [
            record.worker
            for record in records
            if record.is_available(now) and record.worker.start not in ended
        ]
        return ServiceOutlook(
            ready=len(records),
            available=len(available),
            kinds=frozenset(_kind(worker) for worker in available),
        )

    def log_held(self, request_id: str, fingerprint: Fingerprint, verdict: Verdict) -> None:
        """Log and count a request that is held back."""
        self._metrics.count_held_request(verdict.reason)
        log_event(
            "request_held_back",
            level="WARNING",
            request=request_id,
            fingerprint=fingerprint,
            reason=verdict.reason,
            deaths_in_a_row=verdict.deaths_in_a_row,
            retry_after_seconds=round(verdict.retry_after_seconds, 3),
        )

    # Runs

    def begin(self, fingerprint: Fingerprint, worker_id: BackendId) -> None:
        """Note that a run begins on a worker; :meth:`end` it."""
        self._runs.setdefault(fingerprint, []).append(worker_id)

    def end(self, fingerprint: Fingerprint, worker_id: BackendId) -> None:
        """Note that a run on a worker has ended, however."""
        workers = self._runs[fingerprint]
        workers.remove(worker_id)
        if not workers:
            del self._runs[fingerprint]

    def note_broken(
        self, fingerprint: Fingerprint, request_id: str, worker: Worker, began_at: float
    ) -> None:
        """Look whether the worker of a run that ended without an answer has ended."""
        broken = _BrokenRun(
            request_id=request_id,
            worker=worker,
            began_at=began_at,
            broke_at=self._clock.monotonic(),
        )
        self._checks[fingerprint] += 1
        self._task_owner.spawn(self._check(fingerprint, broken), "worker-end-check")

    async def _check(self, fingerprint: Fingerprint, broken: _BrokenRun) -> None:
        try:
            listening = await self._client.listening(broken.worker)
        finally:
            self._checks[fingerprint] -= 1
            if not self._checks[fingerprint]:
                del self._checks[fingerprint]
        if listening is Listening.REFUSES:
            self._note_death(fingerprint, broken, "refused")
        else:
            self._suspect(fingerprint, broken)

    def note_unanswered(
        self, fingerprint: Fingerprint, request_id: str, worker: Worker, began_at: float
    ) -> None:
        """Note a run that was given up without an answer: its worker may have gone dark."""
        now = self._clock.monotonic()
        broken = _BrokenRun(request_id=request_id, worker=worker, began_at=began_at, broke_at=now)
        self._suspect(fingerprint, broken)

    def _suspect(self, fingerprint: Fingerprint, broken: _BrokenRun) -> None:
        self._drop_old_suspicions(broken.broke_at)
        if fingerprint not in self._suspicions and len(self._suspicions) >= MOST_SUSPICIONS:
            del self._suspicions[next(iter(self._suspicions))]
        kept = self._suspicions.pop(fingerprint, [])
        self._suspicions[fingerprint] = [*kept, broken][-MOST_RUNS_OF_A_SUSPICION:]

    def _drop_old_suspicions(self, now: float) -> None:
        """Forget requests whose last broken run is long past; the oldest stand first."""
        for fingerprint, runs in list(self._suspicions.items()):
            if now - runs[-1].broke_at <= SUSPICION_SECONDS:
                return
            del self._suspicions[fingerprint]

    def _confirm(self, fingerprint: Fingerprint, now: float) -> None:
        """Look which workers of broken runs have been replaced at their addresses since."""
        suspicions = self._suspicions.get(fingerprint, [])
        replaced = [run for run in suspicions if self._directory.is_replaced(run.worker)]
        kept = [
            run
            for run in suspicions
            if run not in replaced and now - run.broke_at <= SUSPICION_SECONDS
        ]
        if kept:
            self._suspicions[fingerprint] = kept
        else:
            self._suspicions.pop(fingerprint, None)
        for run in replaced:
            self._note_death(fingerprint, run, "replaced")

    def _note_death(self, fingerprint: Fingerprint, broken: _BrokenRun, evidence: str) -> None:
        now = self._clock.monotonic()
        if not self.ledger.note_deaths(fingerprint, (broken.death(now),)):
            return
        self._metrics.count_worker_death()
        log_event(
            "worker_ended_under_request",
            level="WARNING",
            request=broken.request_id,
            fingerprint=fingerprint,
            worker=broken.worker.worker_id,
            started_at_ms=broken.worker.started_at_ms,
            evidence=evidence,
            run_seconds=round(broken.broke_at - broken.began_at, 4),
            deaths_in_a_row=self.ledger.in_a_row(fingerprint),
        )
        deaths = tuple(ToldDeath.of(death, now) for death in self.ledger.deaths(fingerprint))
        self._tell(RequestSuspected(fingerprint=fingerprint, deaths=deaths))
        self._announce(fingerprint, was_seen=True)

    # Answers

    def note_answer(self, fingerprint: Fingerprint) -> None:
        """Note that a worker has answered a request, whatever it answered: it is sound."""
        self._suspicions.pop(fingerprint, None)
        deaths_in_a_row = self.ledger.in_a_row(fingerprint)
        if not self.ledger.clear(fingerprint):
            return
        log_event("request_proved_sound", fingerprint=fingerprint, deaths_in_a_row=deaths_in_a_row)
        self._tell(RequestProvedSound(fingerprint=fingerprint))
        self._announce(fingerprint, was_seen=True)

    def note_alive(self, worker: Worker) -> None:
        """Note that a worker has answered a run.

        One that was taken for ended may live, or may have started again since. Its answer may also
        have been on its way when it ended.
        """
        if self.ledger.last_learnt_of(worker.start) is None:
            return
        if worker.started_at_ms:
            self._ask_for_report(worker)
        else:
            self._withdraw_and_tell(worker.start)

    def _ask_for_report(self, worker: Worker) -> None:
        """Ask a worker which start it is, unless it was asked lately."""
        now = self._clock.monotonic()
        self._asked_at = {
            start: at for start, at in self._asked_at.items() if now - at < REPORT_PAUSE_SECONDS
        }
        if worker.start not in self._asked_at:
            self._asked_at[worker.start] = now
            self._task_owner.spawn(self._ask(worker), "worker-start-question")

    async def _ask(self, worker: Worker) -> None:
        asked_at = self._clock.monotonic()
        try:
            status = await self._client.status(worker)
        except WorkerError as error:
            log_event("worker_start_unknown", worker=worker.worker_id, error=error.code)
            return
        self._directory.take_status(
            worker.worker_id, status, self._clock.monotonic(), asked_at=asked_at
        )

    def _note_report(self, start: WorkerStart, asked_at: float) -> None:
        """Note that a start of a worker lives; the deaths of others of its starts stay.

        A report that was asked for before a death was learnt of may have left before it.
        """
        learnt_at = self.ledger.last_learnt_of(start)
        if learnt_at is not None and learnt_at <= asked_at:
            self._withdraw_and_tell(start)

    def _withdraw_and_tell(self, start: WorkerStart) -> None:
        if self._withdraw(start):
            self._tell(
                WorkerProvedAlive(worker_id=start.worker_id, started_at_ms=start.started_at_ms)
            )

    def _withdraw(self, start: WorkerStart) -> bool:
        blamed = self.ledger.withdraw(start)
        if blamed:
            log_event(
                "worker_proved_alive",
                worker=start.worker_id,
                started_at_ms=start.started_at_ms,
                requests=",".join(blamed),
            )
        for fingerprint in blamed:
            self._announce(fingerprint, was_seen=True)
        return bool(blamed)

    # Other nodes

    def take(self, notice: QuarantineNotice) -> None:
        """Take what another node tells."""
        match notice:
            case RequestSuspected(fingerprint=fingerprint, deaths=told):
                now = self._clock.monotonic()
                self.take_deaths(fingerprint, tuple(death.heard(now) for death in told))
            case RequestProvedSound(fingerprint=fingerprint):
                self.take_cleared(fingerprint)
            case WorkerProvedAlive():
                self._withdraw(notice.start)

    def take_deaths(self, fingerprint: Fingerprint, deaths: tuple[WorkerDeath, ...]) -> None:
        """Take deaths that another node has seen."""
        if self.ledger.note_deaths(fingerprint, deaths):
            self._announce(fingerprint, was_seen=False)

    def take_cleared(self, fingerprint: Fingerprint) -> None:
        """Take that another node has seen an answer to a request."""
        self._suspicions.pop(fingerprint, None)
        if self.ledger.clear(fingerprint):
            self._announce(fingerprint, was_seen=False)

    def _announce(self, fingerprint: Fingerprint, *, was_seen: bool) -> None:
        for listener in self._listeners:
            listener(fingerprint, was_seen)


def _kind(worker: Worker) -> WorkerKind:
    return WorkerKind(service=worker.service, release=worker.release)
