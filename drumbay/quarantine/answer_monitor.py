"""Finds out whether workers live on after their answers.

A node learns of the end of a worker from discovery, from an idle connection that the worker closes,
and from checks after answers to suspected requests. The last runs that the worker had answered are
then suspect, unless it was asked to leave.
"""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.clock import Clock
from drumbay.comm.connection_pool import IDLE_CHECK_SECONDS
from drumbay.comm.network_address import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.quarantine.answer_checks import AnswerChecks
from drumbay.quarantine.answered_runs import OUTLIVED_AFTER_SECONDS, AnsweredRun, AnsweredRuns
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.worker_checks import WorkerCondition
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerState
from drumbay.workers.worker_record import WorkerEndEvidence

MAX_SUSPECT_ANSWERS = 16
"""Requests, the latest ones, that a worker had answered and that its end makes suspect."""

MAX_LOGGED_ANSWERS = 8
"""Requests that a log line names which a worker had answered before its end."""


class AnswerListener(msgspec.Struct, frozen=True, kw_only=True):
    """Who is told what became of answered runs.

    Attributes:
        is_suspected: Tells whether workers have crashed under a request before.
        on_outlived: Called with each run that its worker has outlived.
        on_suspect: Called with each run whose worker has ended since, or does not respond.
        on_end: Called with each worker that discovery shows to have ended unasked.
    """

    is_suspected: Callable[[Fingerprint], bool]
    on_outlived: Callable[[AnsweredRun], None]
    on_suspect: Callable[[AnsweredRun, WorkerCondition], None]
    on_end: Callable[[Worker], None]


class AnswerMonitor:
    """Remembers answered runs of one node until it is known what became of their workers."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        task_owner: TaskOwner,
        listener: AnswerListener,
    ) -> None:
        """Create a monitor without runs.

        Args:
            clock: Time.
            directory: Tells of ends of workers.
            client: Tells of closed connections, and checks workers.
            task_owner: Runs the checks.
            listener: Who is told what became of the runs.
        """
        self._clock = clock
        self._listener = listener
        self._runs = AnsweredRuns()
        self._checks = AnswerChecks(
            clock, client, task_owner, self._runs, listener.is_suspected, self._on_check
        )
        directory.add_end_listener(self._on_worker_end)
        client.set_close_listener(self._on_connection_closed)

    def record(self, run: AnsweredRun) -> None:
        """Record a run that has just been answered; its worker has outlived earlier ones."""
        self._report_outlived(self._runs.add(run))
        self._report_outlived(self._runs.take_expired(run.answered_at))
        if self._listener.is_suspected(run.fingerprint):
            self._checks.start(run.worker)

    def open_runs(self, fingerprint: Fingerprint) -> tuple[AnsweredRun, ...]:
        """Return the recent runs of a request that their workers may not have outlived."""
        since = self._clock.monotonic() - OUTLIVED_AFTER_SECONDS
        return self._runs.of_request(fingerprint, since)

    def unchecked_failures(self, fingerprint: Fingerprint) -> tuple[AnsweredRun, ...]:
        """Return recent runs that workers failed that are not known to live on."""
        return tuple(
            run
            for run in self.open_runs(fingerprint)
            if run.has_failed and not self._runs.was_alive_after(run)
        )

    def check(self, worker: Worker) -> None:
        """Check whether a worker lives on after its last answer, unless that is under way."""
        self._checks.start(worker)

    def _report_outlived(self, runs: Iterable[AnsweredRun]) -> None:
        for run in runs:
            self._listener.on_outlived(run)

    def _on_worker_end(self, worker: Worker, evidence: WorkerEndEvidence) -> None:
        """Handle what discovery shows; a worker may live on without an entry."""
        if worker.state is WorkerState.DRAINING:
            self._runs.take_all(worker.incarnation)
            return
        self._listener.on_end(worker)
        if evidence is WorkerEndEvidence.ENTRY_GONE:
            self._checks.check_gone(worker)
        else:
            self._suspect(worker, WorkerCondition.REPLACED)

    def _on_connection_closed(self, address: NetworkAddress) -> None:
        """Check the worker at an address, which closed a connection and may have ended.

        It had not ended when the connection was last seen open.
        """
        alive_at = self._clock.monotonic() - IDLE_CHECK_SECONDS
        for worker in self._runs.workers_at(address):
            self._report_outlived(self._runs.take_outlived(worker.incarnation, alive_at))
            self._checks.check_once(worker)

    def _on_check(self, worker: Worker, condition: WorkerCondition, since: float) -> None:
        if condition is WorkerCondition.RESPONDS:
            self._runs.record_alive(worker.incarnation, since)
            self._report_outlived(self._runs.take_outlived(worker.incarnation, since))
        else:
            self._suspect(worker, condition)

    def _suspect(self, worker: Worker, condition: WorkerCondition) -> None:
        """Suspect the requests that a worker answered last, before it ended or fell silent."""
        answered = self._runs.take_all(worker.incarnation)
        if not answered:
            return
        self._log_answered(worker, condition, answered)
        last_runs = {run.fingerprint: run for run in answered}
        for run in list(last_runs.values())[-MAX_SUSPECT_ANSWERS:]:
            self._listener.on_suspect(run, condition)

    def _log_answered(
        self, worker: Worker, condition: WorkerCondition, answered: tuple[AnsweredRun, ...]
    ) -> None:
        """Log what a worker that is gone had answered just before, the latest last."""
        now = self._clock.monotonic()
        latest = answered[-MAX_LOGGED_ANSWERS:]
        log_event(
            "worker_gone_after_answers",
            level="WARNING",
            worker=worker.worker_id,
            started_at_ms=worker.started_at_ms,
            evidence=condition,
            answered=len(answered),
            requests=",".join(run.request_id for run in latest),
            fingerprints=",".join(run.fingerprint for run in latest),
            seconds_ago=",".join(f"{now - run.answered_at:.3f}" for run in latest),
            failed=sum(run.has_failed for run in answered),
        )
