"""Pure: which workers have ended under which requests, and whether a request may run again.

A request is held back once workers have ended under three runs of it in a row, each of which began
after the one before had ended its worker. Runs side by side count as one: a rack that loses power
ends them all, and they say nothing of the request. One answer of any worker proves the request
sound and clears it. So neither resets, lost answers and cuts, which end no worker, nor the company
of a request that does, hold a sound one back for long.
"""

from collections.abc import Iterable

import msgspec

from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import (
    Activity,
    Decision,
    Reason,
    ServiceOutlook,
    Verdict,
    WorkerDeath,
    WorkerKind,
)
from drumbay.workers.records import WorkerStart

DEATHS_UNTIL_HELD = 3
"""One worker may end by chance while it runs a request, and two in a bad minute; each further one
costs the service a worker for the seconds until it is back."""

DEATHS_UNTIL_TRIAL = 2
WORKERS_PER_TRIAL = 2
"""Requests under which so many workers ended in a row run few at a time at a node, one for each two
workers: most of them have only been on a worker together with the one that ends it, and apart from
it they prove it. One at a time would hold up a step whose items lost two workers by chance."""

FEWEST_WORKERS_LEFT = 1
FEWEST_LEFT_BY_A_TRIAL = 2
"""A request under which a worker has ended runs only where so many others would be left, or all
others of a smaller service: after two deaths in a row it is likely to take its worker, and another
such request may come at the same time."""

NEWS_SECONDS = 0.1
"""By then each node has heard what else ran on a worker that ended: ten times what a call takes."""

FIRST_HOLD_SECONDS = 30.0
HOLD_GROWTH = 8.0
LONGEST_HOLD_SECONDS = 3_600.0
"""A held request gets one run after 30 s, 4 min, 32 min, then each hour: a cause that went is
found, and one that did not costs three workers in the first 37 minutes."""

FORGET_SECONDS = 2 * LONGEST_HOLD_SECONDS
"""Nothing has been heard of the request for longer than it is ever held."""

WAIT_SECONDS = 1.0
"""A worker that ended is back after some seconds, and discovery tells within one."""

CLOCK_SLACK_SECONDS = 0.01
"""Times that other nodes told are off by the time of a call between nodes."""

MOST_REQUESTS = 1_024
MOST_DEATHS = 16
"""At 351 bytes a death (4,096 deaths, 16 a request, measured by tracemalloc), at most 5.8 MB."""


class QuarantineLedger:
    """Deaths of workers by request.

    A death is of one start of a worker: one that starts again under its id may end once more.
    """

    def __init__(self) -> None:
        """Know of no death."""
        self._deaths: dict[Fingerprint, dict[WorkerStart, WorkerDeath]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._deaths

    def __contains__(self, fingerprint: object) -> bool:
        """Return whether a worker has ended under a request."""
        return fingerprint in self._deaths

    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the requests that are suspected, the one suspected first before the others."""
        return tuple(self._deaths)

    def deaths(self, fingerprint: Fingerprint) -> tuple[WorkerDeath, ...]:
        """Return the deaths under a request."""
        return tuple(self._deaths.get(fingerprint, {}).values())

    def in_a_row(self, fingerprint: Fingerprint) -> int:
        """Return the largest number of deaths of which each run began after the death before."""
        count, ended_at = 0, float("-inf")
        for death in sorted(self.deaths(fingerprint), key=lambda death: death.ended_at):
            if death.began_at >= ended_at - CLOCK_SLACK_SECONDS:
                count, ended_at = count + 1, death.ended_at
        return count

    def ended_workers(self) -> frozenset[WorkerStart]:
        """Return every start of a worker that has ended under a request."""
        return frozenset(start for deaths in self._deaths.values() for start in deaths)

    def last_learnt_of(self, start: WorkerStart) -> float | None:
        """Return when this node last learnt of a death that a proof of this start takes back."""
        starts = _starts_proved_by(start)
        learnt = [
            deaths[each].learnt_at
            for deaths in self._deaths.values()
            for each in starts
            if each in deaths
        ]
        return max(learnt, default=None)

    # What is learned

    def note_deaths(
        self, fingerprint: Fingerprint, deaths: Iterable[WorkerDeath]
    ) -> tuple[WorkerDeath, ...]:
        """Note deaths under a request; return those that were not known.

        Of a death that is told again the earlier time stays: each message makes it look later by
        the time that it took, and deaths in a row must not seem to be side by side.
        """
        known = self._deaths.get(fingerprint, {})
        told = tuple(deaths)
        for death in told:
            before = known.get(death.start)
            if before is not None and death.ended_at < before.ended_at:
                known[death.start] = msgspec.structs.replace(death, learnt_at=before.learnt_at)
        new = tuple(death for death in told if death.start not in known)
        if not new:
            return ()
        if fingerprint not in self._deaths and len(self._deaths) >= MOST_REQUESTS:
            self._drop_one()
        entry = self._deaths.setdefault(fingerprint, {})
        for death in new:
            entry[death.start] = death
        for start in list(entry)[: max(0, len(entry) - MOST_DEATHS)]:
            del entry[start]
        return new

    def _drop_one(self) -> None:
        """Forget the request with the fewest deaths in a row, of those the oldest."""
        del self._deaths[min(self._deaths, key=self.in_a_row)]

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Forget a request that is sound; return whether it was suspected."""
        return self._deaths.pop(fingerprint, None) is not None

    def withdraw(self, start: WorkerStart) -> tuple[Fingerprint, ...]:
        """Forget the deaths of a start that lives; return the requests that were blamed."""
        starts = _starts_proved_by(start)
        blamed = tuple(
            f for f, deaths in self._deaths.items() if any(each in deaths for each in starts)
        )
        for fingerprint in blamed:
            for each in starts:
                self._deaths[fingerprint].pop(each, None)
            if not self._deaths[fingerprint]:
                del self._deaths[fingerprint]
        return blamed

    def expire(self, now: float) -> tuple[Fingerprint, ...]:
        """Forget requests that have ended no worker for long; return them."""
        old = tuple(f for f in self._deaths if now - self._last_death_at(f) > FORGET_SECONDS)
        for fingerprint in old:
            del self._deaths[fingerprint]
        return old

    def _last_death_at(self, fingerprint: Fingerprint) -> float:
        return max(death.ended_at for death in self.deaths(fingerprint))

    # What is decided

    def judge(
        self,
        fingerprint: Fingerprint,
        outlook: ServiceOutlook,
        activity: Activity,
        now: float,
    ) -> Verdict:
        """Decide about the next run of a request.

        Args:
            fingerprint: The request.
            outlook: The workers that it could run on.
            activity: What this node has under way.
            now: Monotonic time.
        """
        deaths = self.in_a_row(fingerprint)
        takes_too_many = _takes_too_many(deaths, outlook)
        # With a hedge still out, one more run could take a third worker before the first is known
        # to have ended.
        is_decisive = takes_too_many or deaths + activity.checks >= DEATHS_UNTIL_HELD
        if activity.checks and (activity.runs or is_decisive):
            return _wait(Reason.CHECK_UNDER_WAY, deaths)
        if not deaths or self._is_bystander(fingerprint, deaths):
            return Verdict(decision=Decision.RUN, deaths_in_a_row=deaths)
        remaining = self._held_until(fingerprint, deaths, outlook.kinds) - now
        if remaining > 0:
            return _hold(Reason.CRASHES_ITS_WORKERS, deaths, remaining)
        most_trials = max(1, outlook.available // WORKERS_PER_TRIAL)
        is_trial = deaths >= DEATHS_UNTIL_TRIAL
        if activity.runs or (is_trial and activity.trials >= most_trials):
            return _wait(Reason.RUN_UNDER_WAY, deaths)
        if takes_too_many and now - self._last_death_at(fingerprint) < NEWS_SECONDS:
            return _wait(Reason.CHECK_UNDER_WAY, deaths)
        if takes_too_many:
            return _hold(Reason.FEW_WORKERS_LEFT, deaths, WAIT_SECONDS)
        return Verdict(decision=Decision.RUN, deaths_in_a_row=deaths)

    def _is_bystander(self, fingerprint: Fingerprint, deaths: int) -> bool:
        """Return whether another request ran on each worker that ended, and ended more in a row.

        That one was the cause: most requests on a worker that ends have only been there too.
        """
        own = self._deaths[fingerprint].keys()
        return any(
            own < others.keys() and self.in_a_row(other) > deaths
            for other, others in self._deaths.items()
        )

    def _held_until(
        self, fingerprint: Fingerprint, deaths: int, kinds: frozenset[WorkerKind]
    ) -> float:
        if deaths < DEATHS_UNTIL_HELD:
            return float("-inf")
        blamed = {death.kind for death in self.deaths(fingerprint)}
        if kinds and blamed.isdisjoint(kinds):
            # Another release, or another service by a newer configuration: the cause may be gone.
            return float("-inf")
        growth = HOLD_GROWTH ** (deaths - DEATHS_UNTIL_HELD)
        seconds = min(LONGEST_HOLD_SECONDS, FIRST_HOLD_SECONDS * growth)
        return self._last_death_at(fingerprint) + seconds


def _starts_proved_by(start: WorkerStart) -> tuple[WorkerStart, ...]:
    """Return the starts whose deaths are taken back: also one told by a node that knows none."""
    untold = WorkerStart(worker_id=start.worker_id)
    return (start,) if start == untold else (start, untold)


def _takes_too_many(deaths: int, outlook: ServiceOutlook) -> bool:
    """Return whether too few workers would be left, did the next run end its worker."""
    wanted = FEWEST_WORKERS_LEFT if deaths < DEATHS_UNTIL_TRIAL else FEWEST_LEFT_BY_A_TRIAL
    return outlook.available - 1 < min(wanted, outlook.ready - 1)


def _wait(reason: Reason, deaths: int) -> Verdict:
    return Verdict(decision=Decision.WAIT, reason=reason, deaths_in_a_row=deaths)


def _hold(reason: Reason, deaths: int, seconds: float) -> Verdict:
    return Verdict(
        decision=Decision.HOLD,
        reason=reason,
        deaths_in_a_row=deaths,
        retry_after_seconds=seconds,
    )
