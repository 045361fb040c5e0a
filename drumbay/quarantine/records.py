"""Deaths of workers under requests, and what is decided about the next run of a request."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import BackendId
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.workers.records import WorkerStart


class WorkerKind(msgspec.Struct, frozen=True, order=True):
    """Workers that a request may find alike: one service, one release of its software."""

    service: str
    release: str


class WorkerDeath(msgspec.Struct, frozen=True, kw_only=True):
    """A start of a worker that ended while it ran a request.

    ``started_at_ms`` tells the starts of a worker apart, 0 where it does not tell. The other times
    are monotonic seconds of this node; ``learnt_at`` is when it learnt of the death.
    """

    worker_id: BackendId
    kind: WorkerKind
    began_at: float
    ended_at: float
    started_at_ms: int = 0
    learnt_at: float = float("-inf")

    @property
    def start(self) -> WorkerStart:
        """Return which start of which worker ended."""
        return WorkerStart(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


class ToldDeath(msgspec.Struct, frozen=True, kw_only=True):
    """A death as nodes tell each other: its times are ages, since clocks differ."""

    worker_id: BackendId
    kind: WorkerKind
    began_seconds_ago: float
    ended_seconds_ago: float
    started_at_ms: int = 0

    @classmethod
    def of(cls, death: WorkerDeath, now: float) -> "ToldDeath":
        """Return a death as it is told at a monotonic time."""
        return cls(
            worker_id=death.worker_id,
            kind=death.kind,
            began_seconds_ago=now - death.began_at,
            ended_seconds_ago=now - death.ended_at,
            started_at_ms=death.started_at_ms,
        )

    def heard(self, now: float) -> WorkerDeath:
        """Return the death as it is kept by a node that hears of it now."""
        return WorkerDeath(
            worker_id=self.worker_id,
            kind=self.kind,
            began_at=now - self.began_seconds_ago,
            ended_at=now - self.ended_seconds_ago,
            started_at_ms=self.started_at_ms,
            learnt_at=now,
        )


class RequestSuspected(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notice: workers have ended under a request."""

    fingerprint: Fingerprint
    deaths: tuple[ToldDeath, ...]


class RequestProvedSound(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notice: a worker has answered a request under which others had ended."""

    fingerprint: Fingerprint


class WorkerProvedAlive(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Notice: a start of a worker that was taken for ended lives."""

    worker_id: BackendId
    started_at_ms: int = 0

    @property
    def start(self) -> WorkerStart:
        """Return which start of which worker lives."""
        return WorkerStart(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


QuarantineNotice = RequestSuspected | RequestProvedSound | WorkerProvedAlive


class Decision(StrEnum):
    """What becomes of the next run of a request."""

    RUN = "run"
    WAIT = "wait"
    """Something is under way that decides it within tenths of a second."""
    HOLD = "hold"
    """It must not run now."""


class Reason(StrEnum):
    """Why a request waits or is held back."""

    NONE = "none"
    RUN_UNDER_WAY = "run_under_way"
    CHECK_UNDER_WAY = "check_under_way"
    FEW_WORKERS_LEFT = "few_workers_left"
    CRASHES_ITS_WORKERS = "crashes_its_workers"


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """A decision; a request that is held may come back after ``retry_after_seconds``.

    A run must not go to a worker of ``apart_from``, where another request runs that may end it.
    """

    decision: Decision
    reason: Reason = Reason.NONE
    deaths_in_a_row: int = 0
    retry_after_seconds: float = 0.0
    apart_from: frozenset[BackendId] = frozenset()


class ServiceOutlook(msgspec.Struct, frozen=True, kw_only=True):
    """The workers that a request could run on.

    Attributes:
        ready: Workers that discovery calls ready.
        available: Those of them that get new requests now.
        kinds: The kinds of these.
    """

    ready: int
    available: int
    kinds: frozenset[WorkerKind]


class Activity(msgspec.Struct, frozen=True, kw_only=True):
    """What this node has under way that bears on a request.

    Attributes:
        runs: Runs of the same request.
        trials: Runs of any request that has ended two workers in a row or more.
        checks: Runs of the same request that broke, whose workers are being asked.
    """

    runs: int = 0
    trials: int = 0
    checks: int = 0
