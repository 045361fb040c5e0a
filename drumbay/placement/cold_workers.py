"""Tracks which workers are cold, and until when. No I/O."""

import math
from collections.abc import Container
from enum import StrEnum

import msgspec

from drumbay.identifiers import BackendId
from drumbay.workers.records import Worker
from drumbay.workers.worker_record import WorkerChange

UNREACHABLE_PERIODS = 3
"""Warm-up times after which a worker that was unreachable no longer counts as cold at a node that
has not heard from it. A node that may send it nothing meanwhile would never hear from it."""


class ColdReason(StrEnum):
    """Why a worker counts as cold."""

    REPORTED = "reported"
    """Its entry or a response says so."""

    STARTED = "started"
    ZONE_RETURNED = "zone_returned"
    WAS_UNREACHABLE = "was_unreachable"


class ColdPeriod(msgspec.Struct, frozen=True, kw_only=True):
    """A time in which a worker counts as cold: its monotonic end, and the reason."""

    until: float
    reason: ColdReason


NEVER_COLD = ColdPeriod(until=-math.inf, reason=ColdReason.REPORTED)


class _ColdState(msgspec.Struct, kw_only=True):
    """What is known of one worker; times are monotonic.

    ``reported_until`` is what the worker has said; ``assumed_since`` is the last event after which
    it is assumed to be cold for the warm-up time. ``entry_left_seconds`` is the last value from its
    entry.
    """

    reported_until: float = -math.inf
    assumed_since: float = -math.inf
    assumed_reason: ColdReason = ColdReason.STARTED
    entry_left_seconds: float = 0.0
    is_unreachable: bool = False


class ColdWorkers:
    """The workers that may be cold.

    States are kept by worker id, as a request to an ended incarnation reaches its successor at the
    same address. Only a worker's start or response may shorten a cold period, and only an assumed
    one; everything else extends it.
    """

    def __init__(self) -> None:
        """Start without cold workers."""
        self._states: dict[BackendId, _ColdState] = {}

    def handle_entry(self, worker: Worker, change: WorkerChange, now: float) -> None:
        """Apply a worker's entry; the time that it is still cold counts from now."""
        if change is WorkerChange.STARTED:
            self._assume_cold(worker.worker_id, ColdReason.STARTED, now)
            self._state(worker.worker_id).is_unreachable = False
        left_seconds = worker.warm_up_left_seconds
        known = self._states.get(worker.worker_id)
        known_left_seconds = known.entry_left_seconds if known is not None else 0.0
        # An entry that is read again unchanged says nothing new.
        if left_seconds == known_left_seconds:
            return
        state = self._state(worker.worker_id)
        state.entry_left_seconds = left_seconds
        if left_seconds > 0:
            state.reported_until = max(state.reported_until, now + left_seconds)

    def handle_response(
        self, worker_id: BackendId, left_seconds: float | None, asked_at: float, now: float
    ) -> None:
        """Apply what a response to a request of ``asked_at`` says; ``None`` if nothing."""
        if left_seconds is None:
            return
        if left_seconds > 0:
            state = self._state(worker_id)
            state.reported_until = max(state.reported_until, now + left_seconds)
            return
        known = self._states.get(worker_id)
        if known is not None and known.assumed_since < asked_at:
            known.assumed_since = -math.inf

    def handle_zone_return(self, worker_id: BackendId, now: float) -> None:
        """Record that the evacuation of a worker's zone has ended."""
        self._assume_cold(worker_id, ColdReason.ZONE_RETURNED, now)

    def handle_contact(self, worker_id: BackendId, now: float, *, is_reachable: bool) -> None:
        """Record that a worker is unreachable, or responds again.

        It counts as cold in both cases: several requests are sent before the first response.
        """
        self._assume_cold(worker_id, ColdReason.WAS_UNREACHABLE, now)
        self._state(worker_id).is_unreachable = not is_reachable

    def last_period(self, worker_id: BackendId, warm_up_seconds: float) -> ColdPeriod:
        """Return a worker's current or last cold period."""
        state = self._states.get(worker_id)
        if state is None:
            return NEVER_COLD
        periods = UNREACHABLE_PERIODS if state.is_unreachable else 1
        assumed_until = state.assumed_since + periods * warm_up_seconds
        if state.reported_until >= assumed_until:
            return ColdPeriod(until=state.reported_until, reason=ColdReason.REPORTED)
        return ColdPeriod(until=assumed_until, reason=state.assumed_reason)

    def forget_except(self, known: Container[BackendId]) -> None:
        """Forget the workers that are gone; one that appears again has started."""
        for worker_id in [w for w in self._states if w not in known]:
            del self._states[worker_id]

    def _assume_cold(self, worker_id: BackendId, reason: ColdReason, now: float) -> None:
        state = self._state(worker_id)
        state.assumed_since = now
        state.assumed_reason = reason

    def _state(self, worker_id: BackendId) -> _ColdState:
        return self._states.setdefault(worker_id, _ColdState())
