"""Quarantine of requests that crash their workers, at one node.

A run without a response may be due to a network fault, so its worker is asked for a response over
a new connection. The worker crashed if the connection is refused, or if discovery replaces it.
While it just does not respond, its crash counts but is not confirmed. Crashes are broadcast to all
nodes at once; confirmed ones are stored for nodes that start later. A worker may also crash after
its answer: see :mod:`drumbay.quarantine.answer_monitor`.

A crash is withdrawn when its worker turns out to be alive. If workers report their start times, a
response is not sufficient: it may come from a restarted worker, or may have been sent before the
crash. The worker is then asked for a status report, which identifies its incarnation. Only a report
requested after this node learned of the crash counts.
"""

import math
from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.quarantine.answer_monitor import AnswerListener, AnswerMonitor
from drumbay.quarantine.answered_runs import AnsweredRun
from drumbay.quarantine.crash_retry import (
    CRASHES_UNTIL_LAST_WORKER_IS_SPARED,
    MAX_CHECK_WAIT_SECONDS,
    decide_retry,
    isolation_ends_at,
)
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.ledger import (
    CRASHES_UNTIL_TRIAL,
    QuarantineLedger,
    max_trials,
    risks_too_many_workers,
)
from drumbay.quarantine.records import (
    CrashPolicy,
    CrashReport,
    Decision,
    QuarantineNotice,
    Reason,
    RequestActivity,
    RequestSuspected,
    RunOutlived,
    Verdict,
    WorkerAvailability,
    WorkerCrash,
    WorkerKind,
    WorkerProvedAlive,
)
from drumbay.quarantine.run_announcements import RunAnnounced, RunAnnouncements
from drumbay.quarantine.suspicions import SuspectRun, Suspicions
from drumbay.quarantine.worker_checks import WorkerChecks, WorkerCondition
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerError, WorkerIncarnation

REPORT_REQUEST_INTERVAL_SECONDS = 1.0
"""Minimum interval between two report requests to the same worker."""


MIN_WORKERS_THAT_FAILED = 2
"""Workers that failed a request and may have crashed since, from which on the last is not risked.
A single one is left out, since requests of others may have crashed it."""


class _RunInProgress(msgspec.Struct, frozen=True):
    worker_id: BackendId
    policy: CrashPolicy


class Quarantine:
    """Decides whether a request may run, based on crashes seen by all nodes."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        placement: PlacementGate,
        client: WorkerClient,
        task_owner: TaskOwner,
        metrics: ServingMetrics,
        broadcast: Callable[[QuarantineNotice], None],
        address: NetworkAddress,
    ) -> None:
        """Create an empty quarantine.

        Args:
            clock: Time.
            directory: The workers.
            placement: Decides which of them are in service.
            client: Asks workers whether they respond.
            task_owner: Runs the checks.
            metrics: Counts crashes and held requests.
            broadcast: Sends a notice to every other node.
            address: Where other nodes reach this one.
        """
        self.ledger = QuarantineLedger()
        self._clock = clock
        self._directory = directory
        self._placement = placement
        self._client = client
        self._task_owner = task_owner
        self._metrics = metrics
        self._broadcast = broadcast
        self._announcements = RunAnnouncements(address, broadcast)
        self._listeners: list[Callable[[Fingerprint, bool], None]] = []
        self._runs: dict[Fingerprint, list[_RunInProgress]] = {}
        self._suspicions = Suspicions()
        self._checks = WorkerChecks(clock, directory, client, task_owner, self._on_condition)
        listener = AnswerListener(
            is_suspected=self.ledger.__contains__,
            on_outlived=self._record_outlived,
            on_suspect=self._suspect_answered,
            on_end=self._record_end,
        )
        self._answers = AnswerMonitor(clock, directory, client, task_owner, listener)
        self._report_requested_at: dict[WorkerIncarnation, float] = {}
        directory.add_report_listener(self._on_report)

    def add_listener(self, listener: Callable[[Fingerprint, bool], None]) -> None:
        """Call ``listener`` with each changed request and whether the change is from this node."""
        self._listeners.append(listener)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is recorded or suspected, so that every request may run."""
        return self.ledger.is_empty and not self._suspicions

    @property
    def suspected_requests(self) -> int:
        """Return the number of requests with a recent run that may have crashed its worker."""
        return len(self._suspicions)

    def is_tracked(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is recorded, suspected or being checked."""
        return fingerprint in self.ledger or fingerprint in self._suspicions

    # Decisions

    def verdict(
        self,
        fingerprint: Fingerprint,
        service: str,
        starting: int = 0,
        policy: CrashPolicy = CrashPolicy.HOLD,
    ) -> Verdict:
        """Return whether a request may run now on a worker of a service.

        Args:
            fingerprint: The request.
            service: The service.
            starting: Number of other trials that the caller is about to start.
            policy: What happens to the request after crashes.
        """
        if not self.is_tracked(fingerprint):
            return Verdict(decision=Decision.RUN)
        now = self._clock.monotonic()
        self.ledger.drop_old_ends(now)
        self._confirm_replaced(fingerprint, now)
        trials = self._trials(now)
        activity = self._activity(fingerprint, len(trials) + starting, policy, now)
        availability = self._availability(service, now)
        if policy is CrashPolicy.RETRY:
            verdict = decide_retry(
                self.ledger.consecutive_crashes(fingerprint),
                self.ledger.last_crash_at(fingerprint),
                activity,
                max_trials(availability),
                now,
                is_last_worker=self._is_last_worker(fingerprint, availability),
            )
        else:
            verdict = self._decide_live(fingerprint, availability, activity, now)
        if not verdict.is_trial:
            return verdict
        return msgspec.structs.replace(verdict, avoided_workers=frozenset(trials))

    def _activity(
        self, fingerprint: Fingerprint, trials: int, policy: CrashPolicy, now: float
    ) -> RequestActivity:
        """Return what is in progress that affects a request.

        An answered run counts until its worker has outlived it: as a check, or as a run if it has
        failed, since the next one would follow at once and could crash one more worker.
        """
        checks_since = now - MAX_CHECK_WAIT_SECONDS if policy is CrashPolicy.RETRY else -math.inf
        answered = self._open_answers(fingerprint)
        failed_count = sum(run.has_failed for run in answered)
        checks = self._suspicions.checks_of(fingerprint, checks_since)
        return RequestActivity(
            runs=self._runs_in_progress(fingerprint) + failed_count,
            trials=trials,
            checks=checks + len(answered) - failed_count,
        )

    def _decide_live(
        self,
        fingerprint: Fingerprint,
        availability: WorkerAvailability,
        activity: RequestActivity,
        now: float,
    ) -> Verdict:
        """Decide on the next run of a live request, which may have to be announced first."""
        verdict = self.ledger.decide(fingerprint, availability, activity, now)
        if verdict.decision is Decision.RUN and not self._may_run_here(fingerprint, now):
            return msgspec.structs.replace(
                verdict, decision=Decision.WAIT, reason=Reason.RUN_AT_OTHER_NODE
            )
        is_trial = self._possible_crashes(fingerprint) >= CRASHES_UNTIL_TRIAL
        return msgspec.structs.replace(verdict, is_trial=is_trial)

    def _is_last_worker(self, fingerprint: Fingerprint, availability: WorkerAvailability) -> bool:
        """Return whether a request that crashed several workers would get the last one."""
        crash_count = len(self.ledger.crashes(fingerprint))
        has_crashed_several = crash_count >= CRASHES_UNTIL_LAST_WORKER_IS_SPARED
        return has_crashed_several and availability.available <= 1 < availability.ready

    def _may_run_here(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether no other node is about to run a request that must run alone."""
        if not self.ledger.needs_announcement(fingerprint):
            return True
        return self._announcements.may_run(fingerprint, now)

    def _open_answers(self, fingerprint: Fingerprint) -> tuple[AnsweredRun, ...]:
        """Return the answered runs of a suspected request that no worker has outlived yet."""
        if not self.ledger.consecutive_crashes(fingerprint):
            return ()
        return self._answers.open_runs(fingerprint)

    def awaits_workers_that_failed(self, fingerprint: Fingerprint, service: str) -> bool:
        """Return whether a request waits until workers that failed it are known to live on.

        Several may have crashed since, and one more could be the last; they are checked now.
        """
        unchecked = self._answers.unchecked_failures(fingerprint)
        failed_on = frozenset(run.worker.worker_id for run in unchecked)
        crashed_count = len(self.ledger.crashes(fingerprint))
        if not failed_on or len(failed_on) + crashed_count < MIN_WORKERS_THAT_FAILED:
            return False
        if not self.leaves_too_few_workers(service, failed_on):
            return False
        for run in unchecked:
            self._answers.check(run.worker)
        return True

    def _trials(self, now: float) -> list[BackendId]:
        """Return the workers of all trials in progress at this node."""
        return [
            run.worker_id
            for fingerprint, runs in self._runs.items()
            if self._possible_crashes(fingerprint) >= CRASHES_UNTIL_TRIAL
            for run in runs
            if run.policy is CrashPolicy.HOLD or self._is_isolated(fingerprint, now)
        ]

    def _is_isolated(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether runs of accepted work must be isolated."""
        crash_count = self.ledger.consecutive_crashes(fingerprint)
        return now < isolation_ends_at(crash_count, self.ledger.last_crash_at(fingerprint))

    def _runs_in_progress(self, fingerprint: Fingerprint) -> int:
        """Return the number of runs of a request whose workers have not crashed under it."""
        crashes = self.ledger.crashes(fingerprint)
        return sum(
            not any(self._has_ended(run.worker_id, crash) for crash in crashes)
            for run in self._runs.get(fingerprint, ())
        )

    def _has_ended(self, worker_id: BackendId, crash: WorkerCrash) -> bool:
        """Return whether a crash is that of a worker as discovery lists it now, or did last."""
        record = self._directory.get(worker_id)
        if record is None:
            return crash.worker_id == worker_id
        return crash.incarnation == record.worker.incarnation

    def _possible_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the consecutive crashes, and the runs whose workers are being checked."""
        checks = self._suspicions.checks_of(fingerprint)
        return self.ledger.consecutive_crashes(fingerprint) + checks

    def leaves_too_few_workers(self, service: str, running_on: frozenset[BackendId]) -> bool:
        """Return whether too few workers would be left if a request crashed all that run it.

        Args:
            service: The service.
            running_on: The workers that run the request now.
        """
        availability = self._availability(service, self._clock.monotonic(), running_on)
        return risks_too_many_workers(0, availability)

    def _availability(
        self, service: str, now: float, excluded: frozenset[BackendId] = frozenset()
    ) -> WorkerAvailability:
        records = self._placement.in_service(self._directory.of_service(service))
        crashed = self.ledger.crashed_workers()
        available = [
            record.worker
            for record in records
            if record.is_available(now)
            and record.worker.worker_id not in excluded
            and not record.responsiveness.is_avoided(now)
            and record.worker.incarnation not in crashed
        ]
        return WorkerAvailability(
            ready=len(records),
            available=len(available),
            kinds=frozenset(_kind(worker) for worker in available),
        )

    def log_held(self, request_id: str, fingerprint: Fingerprint, verdict: Verdict) -> None:
        """Log and count a held request."""
        self._metrics.count_held_request(verdict.reason)
        log_event(
            "request_held_back",
            level="WARNING",
            request=request_id,
            fingerprint=fingerprint,
            reason=verdict.reason,
            deaths_in_a_row=verdict.consecutive_crashes,
            retry_after_seconds=round(verdict.retry_after_seconds, 3),
        )

    # Runs

    def begin_run(
        self,
        fingerprint: Fingerprint,
        worker_id: BackendId,
        policy: CrashPolicy = CrashPolicy.HOLD,
    ) -> None:
        """Record the beginning of a run on a worker; :meth:`end_run` must follow."""
        self._runs.setdefault(fingerprint, []).append(_RunInProgress(worker_id, policy))

    def end_run(
        self,
        fingerprint: Fingerprint,
        worker_id: BackendId,
        policy: CrashPolicy = CrashPolicy.HOLD,
    ) -> None:
        """Record the end of a run on a worker, with any outcome."""
        runs = self._runs[fingerprint]
        runs.remove(_RunInProgress(worker_id, policy))
        if not runs:
            del self._runs[fingerprint]

    def record_broken_run(
        self,
        fingerprint: Fingerprint,
        request_id: str,
        worker: Worker,
        began_at: float,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Check whether the worker of a run that failed without a response has crashed.

        ``on_crash`` is called once that is certain.
        """
        run = self._unanswered_run(fingerprint, request_id, worker, began_at, on_crash)
        self._suspect(run, may_be_slow=False)

    def record_unanswered_run(
        self,
        fingerprint: Fingerprint,
        request_id: str,
        worker: Worker,
        began_at: float,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Record a run that was abandoned without a response; its worker may have crashed.

        If the worker is known not to respond, other nodes are told at once: the caller may ask
        them next. ``on_crash`` is called once it is certain that the worker has crashed.
        """
        run = self._unanswered_run(fingerprint, request_id, worker, began_at, on_crash)
        record = self._directory.get(worker.worker_id, worker.started_at_ms)
        is_silent = record is not None and record.responsiveness.is_avoided(run.failed_at)
        run.awaits_check = not is_silent
        if self._suspect(run, may_be_slow=not is_silent) and is_silent:
            self._record_crash(run, WorkerCondition.SILENT)

    def _unanswered_run(
        self,
        fingerprint: Fingerprint,
        request_id: str,
        worker: Worker,
        began_at: float,
        on_crash: Callable[[], None] | None,
    ) -> SuspectRun:
        return SuspectRun(
            fingerprint=fingerprint,
            request_id=request_id,
            worker=worker,
            began_at=began_at,
            failed_at=self._clock.monotonic(),
            on_crash=on_crash,
        )

    def _suspect(self, run: SuspectRun, *, may_be_slow: bool) -> bool:
        """Suspect a request and check the worker; return false if its crash came before the run."""
        if self.ledger.has_crashed_before(run.worker.incarnation, run.began_at):
            return False
        self._suspicions.add(run)
        self._checks.start(run.worker, may_be_slow=may_be_slow)
        return True

    def _on_condition(self, worker: Worker, condition: WorkerCondition, since: float) -> bool:
        """Apply the result of a check; return whether the worker must be checked again."""
        now = self._clock.monotonic()
        runs = self._suspicions.of_worker(worker.incarnation, now)
        if condition is WorkerCondition.RESPONDS:
            alive = [run for run in runs if run.failed_at <= since]
            self._suspicions.drop(alive)
            self._on_report(worker.incarnation, since)
            return len(alive) < len(runs)
        for run in runs:
            run.awaits_check = False
            self._record_crash(run, condition)
        if condition is WorkerCondition.SILENT:
            return bool(runs)
        self._suspicions.drop(runs)
        return False

    def _confirm_replaced(self, fingerprint: Fingerprint, now: float) -> None:
        """Confirm crashes of workers that discovery has replaced."""
        self.ledger.drop_unconfirmed(fingerprint, now)
        runs = self._suspicions.of_request(fingerprint, now)
        replaced = [run for run in runs if self._directory.is_replaced(run.worker)]
        self._suspicions.drop(replaced)
        for run in replaced:
            self._record_crash(run, WorkerCondition.REPLACED)
        confirmed = [
            msgspec.structs.replace(crash, is_confirmed=True)
            for crash in self.ledger.crashes(fingerprint)
            if not crash.is_confirmed
            and self._directory.get(crash.worker_id, crash.started_at_ms) is None
        ]
        if self.ledger.add_crashes(fingerprint, confirmed):
            self._notify_listeners(fingerprint, is_local=False)

    def _record_crash(self, run: SuspectRun, condition: WorkerCondition) -> None:
        now = self._clock.monotonic()
        fingerprint = run.fingerprint
        crash = run.crash(now, is_confirmed=condition is not WorkerCondition.SILENT)
        if crash.is_confirmed:
            run.notify_of_crash()
        if not self.ledger.add_crashes(fingerprint, (crash,)):
            return
        if crash.is_confirmed:
            self._metrics.count_worker_crash()
        deaths_in_a_row = self.ledger.consecutive_crashes(fingerprint)
        # Each end of a worker that broke no run makes several requests suspect for the first time.
        is_notable = run.answered_at is None or deaths_in_a_row > 1
        log_event(
            "worker_ended_under_request",
            level="WARNING" if is_notable else "INFO",
            request=run.request_id,
            fingerprint=fingerprint,
            worker=run.worker.worker_id,
            started_at_ms=run.worker.started_at_ms,
            evidence=condition,
            run_seconds=round((run.answered_at or run.failed_at) - run.began_at, 4),
            answered_seconds_ago=round(now - run.answered_at, 3)
            if run.answered_at is not None
            else None,
            failed_seconds_ago=round(now - run.failed_at, 3),
            deaths_in_a_row=deaths_in_a_row,
        )
        reports = tuple(CrashReport.of(crash, now) for crash in self.ledger.crashes(fingerprint))
        self._broadcast(RequestSuspected(fingerprint=fingerprint, deaths=reports))
        self._notify_listeners(fingerprint, is_local=True)

    # Answers

    def record_answer(
        self,
        fingerprint: Fingerprint,
        request_id: str,
        worker: Worker,
        began_at: float,
        *,
        has_failed: bool,
    ) -> None:
        """Record that a worker answered a run, and whether the answer says that it has failed."""
        now = self._clock.monotonic()
        self.record_worker_response(worker)
        run = AnsweredRun(
            fingerprint=fingerprint,
            request_id=request_id,
            worker=worker,
            began_at=began_at,
            answered_at=now,
            has_failed=has_failed,
        )
        self._answers.record(run)

    def _record_outlived(self, run: AnsweredRun) -> None:
        """Record a run that its worker has outlived."""
        fingerprint = run.fingerprint
        is_suspected = fingerprint in self.ledger
        if self.ledger.record_outlived(fingerprint, run.began_at):
            self._log_forgotten(fingerprint)
            self._notify_listeners(fingerprint, is_local=True)
        if is_suspected:
            age_seconds = self._clock.monotonic() - run.began_at
            self._broadcast(RunOutlived(fingerprint=fingerprint, began_seconds_ago=age_seconds))

    def _log_forgotten(self, fingerprint: Fingerprint) -> None:
        log_event(
            "request_proved_sound",
            fingerprint=fingerprint,
            deaths_in_a_row=self.ledger.consecutive_crashes(fingerprint),
        )

    def _record_end(self, worker: Worker) -> None:
        """Record the end of a worker, which says how likely one is by chance."""
        others = self._directory.of_service(worker.service)
        now = self._clock.monotonic()
        self.ledger.record_end(worker.incarnation, worker.service, len(others) + 1, now)

    def _suspect_answered(self, answer: AnsweredRun, condition: WorkerCondition) -> None:
        """Suspect a request whose worker has ended, or does not respond, after its answer."""
        run = SuspectRun(
            fingerprint=answer.fingerprint,
            request_id=answer.request_id,
            worker=answer.worker,
            began_at=answer.began_at,
            failed_at=self._clock.monotonic(),
            answered_at=answer.answered_at,
        )
        is_certain = condition is not WorkerCondition.SILENT
        if is_certain or self._suspect(run, may_be_slow=False):
            self._record_crash(run, condition)

    # Responses

    def record_worker_response(self, worker: Worker) -> None:
        """Record that a worker responded to a run.

        If it was recorded as crashed, it may be alive or may have restarted; the response may also
        have been sent before the crash.
        """
        if self.ledger.is_empty or self.ledger.last_learned_at(worker.incarnation) is None:
            return
        if worker.started_at_ms:
            self._request_report(worker)
        else:
            self._withdraw_and_broadcast(worker.incarnation)

    def _request_report(self, worker: Worker) -> None:
        """Request a report from a worker, unless one was requested recently."""
        now = self._clock.monotonic()
        self._report_requested_at = {
            incarnation: at
            for incarnation, at in self._report_requested_at.items()
            if now - at < REPORT_REQUEST_INTERVAL_SECONDS
        }
        if worker.incarnation not in self._report_requested_at:
            self._report_requested_at[worker.incarnation] = now
            self._task_owner.spawn(self._fetch_status(worker), "worker-start-question")

    async def _fetch_status(self, worker: Worker) -> None:
        asked_at = self._clock.monotonic()
        try:
            status = await self._client.status(worker)
        except WorkerError as error:
            log_event("worker_start_unknown", worker=worker.worker_id, error=error.code)
            return
        self._directory.apply_status(
            worker.worker_id, status, self._clock.monotonic(), asked_at=asked_at
        )

    def _on_report(self, incarnation: WorkerIncarnation, asked_at: float) -> None:
        """Withdraw the crashes of an incarnation that is alive; those of other incarnations stay.

        A report requested before this node learned of the crash may have been sent before it.
        """
        learned_at = self.ledger.last_learned_at(incarnation)
        if learned_at is not None and learned_at <= asked_at:
            self._withdraw_and_broadcast(incarnation)

    def _withdraw_and_broadcast(self, incarnation: WorkerIncarnation) -> None:
        if self._withdraw(incarnation):
            self._broadcast(
                WorkerProvedAlive(
                    worker_id=incarnation.worker_id, started_at_ms=incarnation.started_at_ms
                )
            )

    def _withdraw(self, incarnation: WorkerIncarnation) -> bool:
        affected = self.ledger.withdraw(incarnation)
        if affected:
            log_event(
                "worker_proved_alive",
                worker=incarnation.worker_id,
                started_at_ms=incarnation.started_at_ms,
                requests=",".join(affected),
            )
        for fingerprint in affected:
            self._notify_listeners(fingerprint, is_local=True)
        return bool(affected)

    # Other nodes

    def handle_notice(self, notice: QuarantineNotice) -> None:
        """Process a notice from another node."""
        match notice:
            case RequestSuspected(fingerprint=fingerprint, deaths=reports):
                now = self._clock.monotonic()
                self.add_crashes(fingerprint, tuple(report.to_crash(now) for report in reports))
            case RunOutlived(fingerprint=fingerprint):
                began_at = self._clock.monotonic() - notice.began_seconds_ago
                if self.ledger.record_outlived(fingerprint, began_at):
                    self._log_forgotten(fingerprint)
                    self._notify_listeners(fingerprint, is_local=False)
            case RunAnnounced():
                self._announcements.receive(notice, self._clock.monotonic())
            case WorkerProvedAlive():
                self._withdraw(notice.incarnation)

    def add_crashes(self, fingerprint: Fingerprint, crashes: tuple[WorkerCrash, ...]) -> None:
        """Record crashes seen by another node."""
        new = self.ledger.add_crashes(fingerprint, crashes)
        now = self._clock.monotonic()
        deaths_in_a_row = self.ledger.consecutive_crashes(fingerprint)
        for crash in new:
            log_event(
                "worker_end_learned",
                level="INFO" if deaths_in_a_row > 1 else "DEBUG",
                fingerprint=fingerprint,
                worker=crash.worker_id,
                started_at_ms=crash.started_at_ms,
                is_confirmed=crash.is_confirmed,
                ended_seconds_ago=round(now - crash.ended_at, 3),
                deaths_in_a_row=deaths_in_a_row,
            )
        if new:
            self._notify_listeners(fingerprint, is_local=False)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a request that another node has cleared."""
        self._suspicions.drop_request(fingerprint)
        if self.ledger.clear(fingerprint):
            self._notify_listeners(fingerprint, is_local=False)

    def _notify_listeners(self, fingerprint: Fingerprint, *, is_local: bool) -> None:
        for listener in self._listeners:
            listener(fingerprint, is_local)


def _kind(worker: Worker) -> WorkerKind:
    return WorkerKind(service=worker.service, release=worker.release)
