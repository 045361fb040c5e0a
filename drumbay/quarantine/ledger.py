"""Records which workers crashed under which requests, and decides whether a request may run again.

Accepted work is retried, see :mod:`drumbay.quarantine.crash_retry`. Any other request is held once
workers have crashed under three consecutive runs of it, each of which began after the previous
crash. Concurrent runs count as one, since a common cause, such as a power loss, may have ended all
their workers.

An answer clears no request, since its worker may crash after it, or under the next run. What speaks
for a request is a run that its worker has outlived: crashes count only if they are a fifth of the
last runs, and are forgotten after a number of outlived runs.

A worker that has not responded since a run may be unreachable: until its crash is confirmed, or it
responds, the crash counts, but does not hold the request for long.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import (
    Decision,
    Reason,
    RequestActivity,
    Verdict,
    WorkerAvailability,
    WorkerCrash,
    WorkerKind,
)
from drumbay.workers.records import WorkerIncarnation

CRASHES_UNTIL_HELD = 3
"""Number of consecutive crashes from which a request is held; fewer may be coincidence."""

CRASHES_UNTIL_TRIAL = 2
WORKERS_PER_TRIAL = 2
"""From this number of consecutive crashes, runs of the request are trials: a node runs at most one
trial per ``WORKERS_PER_TRIAL`` workers at a time, on separate workers. This clears requests that
only shared a worker with the cause."""

MIN_WORKERS_LEFT = 1
MIN_WORKERS_LEFT_BY_TRIAL = 2
"""Workers that must stay available if the run of a suspected request crashes its worker. In smaller
services, all other workers must be available."""

PROPAGATION_SECONDS = 0.1
"""Time in which the notice of a crash reaches every node."""

INITIAL_HOLD_SECONDS = 30.0
HOLD_GROWTH_FACTOR = 8.0
MAX_HOLD_SECONDS = 3_600.0
"""A held request runs again after a hold that grows with each crash, in case the cause is fixed."""

EXPIRY_SECONDS = 2 * MAX_HOLD_SECONDS
"""Requests without a crash for this time are dropped. Longer than the longest hold."""

RECOVERY_WAIT_SECONDS = 1.0
"""Retry delay while too few workers are available, or crashes are not confirmed."""

UNCONFIRMED_SECONDS = 30.0
"""A crash that is not confirmed within this time is dropped."""

CLOCK_TOLERANCE_SECONDS = 0.01
"""Times reported by other nodes are off by up to the duration of a call."""

OUTLIVED_RUNS_UNTIL_FORGOTTEN = 12
"""A crash is forgotten once workers have outlived so many later runs of the request."""

MAX_OUTLIVED_RUNS = 28
MIN_CRASH_SHARE = 0.2
"""Crashes that are a smaller share of a request's last runs, of which so many outlived ones are
remembered, are taken for coincidence: frequent requests run on many workers that crash."""

RECENT_END_SECONDS = 30.0
EXPOSED_SECONDS = 1.5
"""Ends of workers within ``RECENT_END_SECONDS`` tell how likely one is by chance within the time
after an answer in which it makes the request suspect."""

CHANCE_FACTOR = 3.0
MAX_REQUIRED_SHARE = 0.9
"""Crashes count only if they are so many times more than those by chance."""

LIKELIER_SHARE_FACTOR = 2.0
"""A request whose share of crashes is so much larger explains the crashes under another one."""

MAX_RECENT_ENDS = 256
MAX_REQUESTS = 1_024
MAX_CRASHES_PER_REQUEST = 16
"""Bounds on the size of the ledger."""


class _WorkerEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a worker, whatever its cause, as one of a number of workers of its service."""

    incarnation: WorkerIncarnation
    service: str
    at: float
    worker_count: int


class QuarantineLedger:
    """Crashes of workers by request.

    A crash belongs to one incarnation of a worker, which may restart under its id and crash again.
    """

    def __init__(self) -> None:
        """Create an empty ledger."""
        self._crashes: dict[Fingerprint, dict[WorkerIncarnation, WorkerCrash]] = {}
        self._outlived: dict[Fingerprint, deque[float]] = {}
        self._ends: deque[_WorkerEnd] = deque(maxlen=MAX_RECENT_ENDS)

    @property
    def is_empty(self) -> bool:
        """Return whether the ledger has no crashes."""
        return not self._crashes

    def __contains__(self, fingerprint: object) -> bool:
        """Return whether a worker crashed under a request."""
        return fingerprint in self._crashes

    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the requests under which workers crashed, the oldest entry first."""
        return tuple(self._crashes)

    def crashes(self, fingerprint: Fingerprint) -> tuple[WorkerCrash, ...]:
        """Return the crashes under a request."""
        return tuple(self._crashes.get(fingerprint, {}).values())

    def consecutive_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the largest number of crashes whose runs each began after the previous crash.

        It is 0 if they are too small a share of the request's last runs.
        """
        return self._count_unless_rare(fingerprint, self.crashes(fingerprint))

    def confirmed(self, fingerprint: Fingerprint) -> list[WorkerCrash]:
        """Return the confirmed crashes under a request."""
        return [crash for crash in self.crashes(fingerprint) if crash.is_confirmed]

    def confirmed_consecutive_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the same for the confirmed crashes alone."""
        return self._count_unless_rare(fingerprint, self.confirmed(fingerprint))

    def _count_unless_rare(self, fingerprint: Fingerprint, crashes: Iterable[WorkerCrash]) -> int:
        crash_count = len(_consecutive(crashes))
        if not crash_count:
            return 0
        share = self._crash_share(fingerprint, crash_count)
        return crash_count if share >= self._required_share(fingerprint) else 0

    def _required_share(self, fingerprint: Fingerprint) -> float:
        """Return the share of a request's runs that must crash, more where others crash too."""
        own = self._crashes[fingerprint]
        services = {crash.kind.service for crash in own.values()}
        other_ends = sum(
            1 / end.worker_count
            for end in self._ends
            if end.service in services and end.incarnation not in own
        )
        by_chance = other_ends * EXPOSED_SECONDS / RECENT_END_SECONDS
        return min(MAX_REQUIRED_SHARE, max(MIN_CRASH_SHARE, CHANCE_FACTOR * by_chance))

    def _crash_share(self, fingerprint: Fingerprint, crash_count: int) -> float:
        """Return the share of a request's last runs whose workers crashed; 0 without any run."""
        run_count = crash_count + len(self._outlived.get(fingerprint, ()))
        return crash_count / run_count if run_count else 0.0

    def has_unconfirmed(self, fingerprint: Fingerprint) -> bool:
        """Return whether a worker has not responded since it ran a request."""
        return any(not crash.is_confirmed for crash in self.crashes(fingerprint))

    def has_crashed_before(self, incarnation: WorkerIncarnation, began_at: float) -> bool:
        """Return whether a worker whose incarnation is known had crashed before a run began."""
        return incarnation.started_at_ms > 0 and any(
            crashes[incarnation].ended_at <= began_at
            for crashes in self._crashes.values()
            if incarnation in crashes
        )

    def crashed_workers(self) -> frozenset[WorkerIncarnation]:
        """Return every worker incarnation that crashed under a request."""
        return frozenset(
            incarnation for crashes in self._crashes.values() for incarnation in crashes
        )

    def last_learned_at(self, incarnation: WorkerIncarnation) -> float | None:
        """Return when this node last learned of a crash that :meth:`withdraw` would drop."""
        incarnations = _incarnations_cleared_by(incarnation)
        learned_times = [
            crashes[each].learned_at
            for crashes in self._crashes.values()
            for each in incarnations
            if each in crashes
        ]
        return max(learned_times, default=None)

    # Recording

    def record_end(
        self, incarnation: WorkerIncarnation, service: str, worker_count: int, now: float
    ) -> None:
        """Record that a worker of a service has ended unasked, whatever the cause.

        Args:
            incarnation: The worker.
            service: Its service.
            worker_count: The workers of the service, this one included.
            now: Monotonic time.
        """
        if all(end.incarnation != incarnation for end in self._ends):
            self._ends.append(
                _WorkerEnd(
                    incarnation=incarnation, service=service, at=now, worker_count=worker_count
                )
            )

    def drop_old_ends(self, now: float) -> None:
        """Drop the ends that say nothing of the present any more."""
        while self._ends and now - self._ends[0].at > RECENT_END_SECONDS:
            self._ends.popleft()

    def add_crashes(
        self, fingerprint: Fingerprint, crashes: Iterable[WorkerCrash]
    ) -> tuple[WorkerCrash, ...]:
        """Add crashes under a request; return those that were new or are confirmed now.

        If a crash is reported again, its earliest time is kept: a delayed report makes a crash look
        later than it was, and consecutive crashes could look concurrent.
        """
        known = self._crashes.get(fingerprint, {})
        reported = tuple(crash for crash in crashes if not self._is_forgotten(fingerprint, crash))
        for crash in reported:
            previous = known.get(crash.incarnation)
            if previous is not None and crash.ended_at < previous.ended_at:
                known[crash.incarnation] = msgspec.structs.replace(
                    crash, learned_at=previous.learned_at, is_confirmed=previous.is_confirmed
                )
        confirmed = tuple(
            crash
            for crash in reported
            if crash.is_confirmed
            and crash.incarnation in known
            and not known[crash.incarnation].is_confirmed
        )
        for crash in confirmed:
            known[crash.incarnation] = msgspec.structs.replace(
                known[crash.incarnation], is_confirmed=True
            )
        new = tuple(crash for crash in reported if crash.incarnation not in known)
        if not new:
            return confirmed
        if fingerprint not in self._crashes and len(self._crashes) >= MAX_REQUESTS:
            self._evict()
        entry = self._crashes.setdefault(fingerprint, {})
        for crash in new:
            entry[crash.incarnation] = crash
        for incarnation in list(entry)[: max(0, len(entry) - MAX_CRASHES_PER_REQUEST)]:
            del entry[incarnation]
        return (*confirmed, *new)

    def _evict(self) -> None:
        """Drop the oldest of the requests with the fewest crashes."""
        del self._crashes[min(self._crashes, key=lambda each: len(self._crashes[each]))]

    def record_outlived(self, fingerprint: Fingerprint, began_at: float) -> bool:
        """Record a run that its worker has outlived; return whether a crash is forgotten by that.

        Args:
            fingerprint: The request.
            began_at: When the run began.
        """
        outlived = self._outlived.pop(fingerprint, None)
        if outlived is None:
            outlived = deque(maxlen=MAX_OUTLIVED_RUNS)
            if len(self._outlived) >= MAX_REQUESTS:
                del self._outlived[next(iter(self._outlived))]
        outlived.append(began_at)
        self._outlived[fingerprint] = outlived
        crashes = self._crashes.get(fingerprint, {})
        forgotten = [
            incarnation
            for incarnation, crash in crashes.items()
            if self._is_forgotten(fingerprint, crash)
        ]
        for incarnation in forgotten:
            del crashes[incarnation]
        if not crashes:
            self._crashes.pop(fingerprint, None)
        return bool(forgotten)

    def _is_forgotten(self, fingerprint: Fingerprint, crash: WorkerCrash) -> bool:
        """Return whether workers have outlived enough runs that began after a crash."""
        outlived = self._outlived.get(fingerprint, ())
        later_count = sum(began_at > crash.ended_at for began_at in outlived)
        return later_count >= OUTLIVED_RUNS_UNTIL_FORGOTTEN

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Drop a request that another node has cleared; return whether it was recorded."""
        return self._crashes.pop(fingerprint, None) is not None

    def withdraw(self, incarnation: WorkerIncarnation) -> tuple[Fingerprint, ...]:
        """Drop the crashes of an incarnation that is alive; return the affected requests."""
        incarnations = _incarnations_cleared_by(incarnation)
        affected = tuple(
            f
            for f, crashes in self._crashes.items()
            if any(each in crashes for each in incarnations)
        )
        for fingerprint in affected:
            for each in incarnations:
                self._crashes[fingerprint].pop(each, None)
            if not self._crashes[fingerprint]:
                del self._crashes[fingerprint]
        return affected

    def drop_unconfirmed(self, fingerprint: Fingerprint, now: float) -> None:
        """Drop crashes under a request that nobody has confirmed in time."""
        entry = self._crashes.get(fingerprint, {})
        for incarnation, crash in list(entry.items()):
            if not crash.is_confirmed and now - crash.learned_at > UNCONFIRMED_SECONDS:
                del entry[incarnation]
        if not entry:
            self._crashes.pop(fingerprint, None)

    def expire(self, now: float) -> tuple[Fingerprint, ...]:
        """Drop requests without a recent crash; return them."""
        old = tuple(f for f in self._crashes if now - self.last_crash_at(f) > EXPIRY_SECONDS)
        for fingerprint in old:
            del self._crashes[fingerprint]
        return old

    def last_crash_at(self, fingerprint: Fingerprint) -> float:
        """Return when the last crash under a request was; minus infinity without any."""
        ends = (crash.ended_at for crash in self.crashes(fingerprint))
        return max(ends, default=float("-inf"))

    # Deciding

    def decide(
        self,
        fingerprint: Fingerprint,
        availability: WorkerAvailability,
        activity: RequestActivity,
        now: float,
    ) -> Verdict:
        """Decide on the next run of a request.

        Args:
            fingerprint: The request.
            availability: The workers that it could run on.
            activity: The runs in progress at this node.
            now: Monotonic time.
        """
        crash_count = self.consecutive_crashes(fingerprint)
        is_risky = risks_too_many_workers(crash_count, availability)
        # While a failed run is checked and its hedge is pending, a third run could crash one more
        # worker before the first crash is known.
        may_hold = is_risky or crash_count + activity.checks >= CRASHES_UNTIL_HELD
        if activity.checks and (activity.runs or may_hold):
            return _wait(Reason.CHECK_IN_PROGRESS, crash_count)
        if not crash_count or self._has_likelier_cause(fingerprint, crash_count):
            return Verdict(decision=Decision.RUN, consecutive_crashes=crash_count)
        remaining = self._held_until(fingerprint, availability.kinds) - now
        if remaining > 0:
            return _hold(Reason.CRASHES_ITS_WORKERS, crash_count, remaining)
        if self.has_unconfirmed(fingerprint) and crash_count >= CRASHES_UNTIL_HELD:
            return _hold(Reason.WORKERS_MAY_HAVE_CRASHED, crash_count, RECOVERY_WAIT_SECONDS)
        is_trial = crash_count >= CRASHES_UNTIL_TRIAL
        if activity.runs or (is_trial and activity.trials >= max_trials(availability)):
            return _wait(Reason.RUN_IN_PROGRESS, crash_count)
        if is_risky and now - self.last_crash_at(fingerprint) < PROPAGATION_SECONDS:
            return _wait(Reason.CHECK_IN_PROGRESS, crash_count)
        if is_risky:
            return _hold(Reason.FEW_WORKERS_LEFT, crash_count, RECOVERY_WAIT_SECONDS)
        return Verdict(decision=Decision.RUN, consecutive_crashes=crash_count)

    def needs_announcement(self, fingerprint: Fingerprint) -> bool:
        """Return whether nodes announce runs of a request, and run it one at a time.

        It has crashed workers in a row, or in the same moment, at several nodes or hedged.
        """
        crash_count = self.consecutive_crashes(fingerprint)
        if not crash_count or self._has_likelier_cause(fingerprint, crash_count):
            return False
        return len(self.crashes(fingerprint)) > 1

    def _has_likelier_cause(self, fingerprint: Fingerprint, crash_count: int) -> bool:
        """Return whether other requests probably caused all crashes under this one.

        One ran on all of the crashed workers and on others, and has more consecutive crashes, in no
        smaller share of its runs. Or each of the crashes is also one of a request that crashed
        several workers, in a much larger share.
        """
        own = self._crashes[fingerprint].keys()
        own_share = self._crash_share(fingerprint, crash_count)
        explained: set[WorkerIncarnation] = set()
        for other, others in self._crashes.items():
            shared = own & others.keys()
            if other == fingerprint or not shared:
                continue
            other_count = self.consecutive_crashes(other)
            other_share = self._crash_share(other, other_count)
            has_more = own < others.keys() and other_count > crash_count
            if has_more and other_share >= own_share:
                return True
            is_likelier = other_share >= LIKELIER_SHARE_FACTOR * own_share
            if other_count >= CRASHES_UNTIL_TRIAL and is_likelier:
                explained |= shared
        return explained == own

    def _held_until(self, fingerprint: Fingerprint, kinds: frozenset[WorkerKind]) -> float:
        """Return the end of the hold, which grows with each run after a hold that crashed again.

        Runs that began during a hold, before their nodes knew of it, only renew it.
        """
        crashes = _consecutive(self.confirmed(fingerprint))
        if len(crashes) < CRASHES_UNTIL_HELD:
            return float("-inf")
        affected = {crash.kind for crash in crashes}
        if kinds and affected.isdisjoint(kinds):
            # The workers run another release or another service: the cause may be gone.
            return float("-inf")
        seconds = INITIAL_HOLD_SECONDS
        held_until = crashes[CRASHES_UNTIL_HELD - 1].ended_at + seconds
        for crash in crashes[CRASHES_UNTIL_HELD:]:
            if crash.began_at >= held_until - CLOCK_TOLERANCE_SECONDS:
                seconds = min(MAX_HOLD_SECONDS, seconds * HOLD_GROWTH_FACTOR)
            held_until = crash.ended_at + seconds
        return held_until


def _consecutive(crashes: Iterable[WorkerCrash]) -> list[WorkerCrash]:
    """Return the crashes whose runs each began after the previous crash, by time."""
    consecutive: list[WorkerCrash] = []
    ended_at = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.ended_at):
        if crash.began_at >= ended_at - CLOCK_TOLERANCE_SECONDS:
            consecutive.append(crash)
            ended_at = crash.ended_at
    return consecutive


def _incarnations_cleared_by(incarnation: WorkerIncarnation) -> tuple[WorkerIncarnation, ...]:
    """Return the incarnations whose crashes a live one withdraws: itself and the unknown one."""
    unknown_incarnation = WorkerIncarnation(worker_id=incarnation.worker_id)
    return (
        (incarnation,) if incarnation == unknown_incarnation else (incarnation, unknown_incarnation)
    )


def max_trials(availability: WorkerAvailability) -> int:
    """Return how many trials a node may have in progress."""
    return max(1, availability.available // WORKERS_PER_TRIAL)


def risks_too_many_workers(crash_count: int, availability: WorkerAvailability) -> bool:
    """Return whether too few workers would be left if the next run crashed its worker."""
    min_left = MIN_WORKERS_LEFT if crash_count < CRASHES_UNTIL_TRIAL else MIN_WORKERS_LEFT_BY_TRIAL
    return availability.available - 1 < min(min_left, availability.ready - 1)


def _wait(reason: Reason, crash_count: int) -> Verdict:
    return Verdict(decision=Decision.WAIT, reason=reason, consecutive_crashes=crash_count)


def _hold(reason: Reason, crash_count: int, seconds: float) -> Verdict:
    return Verdict(
        decision=Decision.HOLD,
        reason=reason,
        consecutive_crashes=crash_count,
        retry_after_seconds=seconds,
    )
