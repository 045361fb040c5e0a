"""Crashes of workers under requests, and decisions about the next run of a request."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import BackendId
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.run_announcements import RunAnnounced
from drumbay.workers.records import WorkerIncarnation


class WorkerKind(msgspec.Struct, frozen=True, order=True):
    """Service and software release of a worker."""

    service: str
    release: str


class WorkerCrash(msgspec.Struct, frozen=True, kw_only=True):
    """A crash of a worker while it ran a request. Times are monotonic seconds of this node.

    Attributes:
        worker_id: The worker.
        kind: Service and release of the worker.
        began_at: When the run began.
        ended_at: When the run ended without a response.
        started_at_ms: Identifies the incarnation of the worker; 0 if unknown.
        learned_at: When this node learned of the crash.
        is_confirmed: Whether the worker has certainly ended. If not, it has not responded since,
            but may be unreachable.
    """

    worker_id: BackendId
    kind: WorkerKind
    began_at: float
    ended_at: float
    started_at_ms: int = 0
    learned_at: float = float("-inf")
    is_confirmed: bool = True

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Return the worker incarnation that crashed."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """A crash as reported between nodes; ages replace times, since clocks differ."""

    worker_id: BackendId
    kind: WorkerKind
    began_seconds_ago: float
    ended_seconds_ago: float
    started_at_ms: int = 0
    is_confirmed: bool = True

    @classmethod
    def of(cls, crash: WorkerCrash, now: float) -> "CrashReport":
        """Return the report of a crash at a monotonic time."""
        return cls(
            worker_id=crash.worker_id,
            kind=crash.kind,
            began_seconds_ago=now - crash.began_at,
            ended_seconds_ago=now - crash.ended_at,
            started_at_ms=crash.started_at_ms,
            is_confirmed=crash.is_confirmed,
        )

    def to_crash(self, now: float) -> WorkerCrash:
        """Return the crash in the monotonic time of a node that receives the report now."""
        return WorkerCrash(
            worker_id=self.worker_id,
            kind=self.kind,
            began_at=now - self.began_seconds_ago,
            ended_at=now - self.ended_seconds_ago,
            started_at_ms=self.started_at_ms,
            learned_at=now,
            is_confirmed=self.is_confirmed,
        )


class RequestSuspected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notice: workers crashed under a request."""

    fingerprint: Fingerprint
    deaths: tuple[CrashReport, ...]


class RunOutlived(msgspec.Struct, frozen=True, kw_only=True, tag="RequestProvedSound"):
    """Notice: a worker has outlived a run of a request under which others had crashed.

    Its tag is that of the notice by which earlier releases clear the request.
    """

    fingerprint: Fingerprint
    began_seconds_ago: float = 0.0


class WorkerProvedAlive(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notice: a worker incarnation that was reported as crashed is alive."""

    worker_id: BackendId
    started_at_ms: int = 0

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Return the worker incarnation that is alive."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


QuarantineNotice = RequestSuspected | RunOutlived | WorkerProvedAlive | RunAnnounced


class CrashPolicy(StrEnum):
    """What happens to a request under which workers have crashed."""

    HOLD = "hold"
    """It is held: its caller is told when to come back."""
    RETRY = "retry"
    """It is accepted work, which must run: it runs again after a capped backoff."""


class Decision(StrEnum):
    """Whether the next run of a request may start."""

    RUN = "run"
    WAIT = "wait"
    """The request waits a fraction of a second for the outcome of another run or check."""
    HOLD = "hold"
    """The request is quarantined or backs off, or too few workers are available to risk another
    crash."""


class Reason(StrEnum):
    """Why a request waits or is held."""

    NONE = "none"
    RUN_IN_PROGRESS = "run_under_way"
    CHECK_IN_PROGRESS = "check_under_way"
    RUN_AT_OTHER_NODE = "run_at_other_node"
    FEW_WORKERS_LEFT = "few_workers_left"
    CRASHES_ITS_WORKERS = "crashes_its_workers"
    WORKERS_MAY_HAVE_CRASHED = "workers_may_have_crashed"
    BACKOFF_AFTER_CRASHES = "backoff_after_crashes"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """A decision with its reason.

    Attributes:
        decision: The decision.
        reason: Why the request waits or is held.
        consecutive_crashes: Number of consecutive crashes under the request.
        retry_after_seconds: When a held request may be retried.
        is_trial: Whether the next run may well crash its worker, so that nothing else of the kind
            should run there.
        avoided_workers: Workers to avoid: they run trials, which may crash them.
    """

    decision: Decision
    reason: Reason = Reason.NONE
    consecutive_crashes: int = 0
    retry_after_seconds: float = 0.0
    is_trial: bool = False
    avoided_workers: frozenset[BackendId] = frozenset()


class WorkerAvailability(msgspec.Struct, frozen=True, kw_only=True):
    """The workers that a request could run on.

    Attributes:
        ready: Number of workers in service.
        available: Number of these that accept new requests now.
        kinds: Kinds of the available workers.
    """

    ready: int
    available: int
    kinds: frozenset[WorkerKind]


class RequestActivity(msgspec.Struct, frozen=True, kw_only=True):
    """Runs and checks in progress at this node that affect a request.

    Attributes:
        runs: Runs of the same request.
        trials: Runs of all requests with at least ``CRASHES_UNTIL_TRIAL`` consecutive crashes.
        checks: Failed runs of the same request whose workers are being checked.
    """

    runs: int = 0
    trials: int = 0
    checks: int = 0
