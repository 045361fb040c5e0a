"""Which requests of one service go out, wait or are rejected at one node.

The load it answers: callers compete for the places of few workers; bursts of several times the
usual traffic, a large tenant's among them; a service that is four to six times slower for some
seconds. A request that can still be served waits; one whose wait would be too long is rejected as
soon as that is known, and its caller told when the queue ahead will be served.
"""

import hashlib
import math
from collections import deque

from drumbay.admission.limit import ConcurrencyLimit
from drumbay.admission.queue import AdmissionQueue
from drumbay.admission.records import (
    AdmissionRequest,
    Admitted,
    Queued,
    Rejected,
    RejectionReason,
    ServiceRoom,
)

LONGEST_WAIT_SHARE = 0.5
"""A request waits at most this share of the time its caller gave it: what is left is enough to be
served, or for the caller to try again at another node."""

LONGEST_WAIT_SHARE_UNANSWERED = 0.25
"""The share while the service has answered nothing of late: nothing speaks for waiting here, and
the caller has most of its time left for another node."""

ANSWER_MEMORY_SECONDS = 5.0
"""A service that has answered within this time and refuses now is full, not gone: places come free
with the requests that it works on, which callers wait for no longer than some seconds."""

RATE_WINDOW_SECONDS = 1.0
"""The service's rate is counted over this time, once requests have waited that long without a
break: before, the queue and not the service may have been what was short."""

SHORTEST_RETRY_AFTER_SECONDS = 0.05
"""A caller that comes back sooner meets the same moment."""

LONGEST_RETRY_AFTER_SHARE = 1 / 3
"""Callers wait for no more than this share of the time they have left."""

RETRY_SPREAD = 0.5
"""Callers that are rejected at one moment come back spread over this share of their wait."""


class ServiceAdmission:
    """The requests of one service at one node: those under way, and those that wait."""

    def __init__(self) -> None:
        """Start without requests."""
        self._limit = ConcurrencyLimit()
        self._queue = AdmissionQueue()
        self._under_way = 0
        self._answered_at: deque[float] = deque()
        self._last_answer_at = -math.inf
        self._waiting_since: float | None = None

    @property
    def needs_room(self) -> bool:
        """Return whether decisions depend on what the workers bear."""
        return self._limit.is_in_force or len(self._queue) > 0

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    @property
    def under_way(self) -> int:
        """Return how many requests are under way."""
        return self._under_way

    def arrive(
        self, request: AdmissionRequest, now: float, room: ServiceRoom | None
    ) -> Admitted | Queued | Rejected:
        """Take a new request; ``room`` may be ``None`` unless :attr:`needs_room`."""
        if not len(self._queue):
            self._limit.note_idle(now)
        if room is None or not self.needs_room or self._has_place(room, now):
            self._under_way += 1
            return Admitted(request=request)
        return self._reject_or_queue(request, now, room)

    def take_back(
        self, request: AdmissionRequest, now: float, room: ServiceRoom
    ) -> Queued | Rejected:
        """Take back a request that was under way, and that every worker refused."""
        self._limit.note_refused(self._under_way, now)
        self._under_way -= 1
        return self._reject_or_queue(request, now, room)

    def answered(self, seconds: float, now: float) -> None:
        """Take the end of a request that a worker answered."""
        self._under_way -= 1
        self._limit.note_answered(seconds)
        self._answered_at.append(now)
        self._last_answer_at = now
        self._forget_old_answers(now)

    def ended(self) -> None:
        """Take the end of a request that no worker answered, or whose caller has left."""
        self._under_way -= 1

    def leave(self, request: AdmissionRequest, now: float) -> None:
        """Take out a waiting request whose caller has left."""
        if self._queue.remove(request):
            self._note_queue(now)

    def advance(self, now: float, room: ServiceRoom) -> list[Admitted | Rejected]:
        """Return what is decided about waiting requests now."""
        decisions: list[Admitted | Rejected] = []
        while len(self._queue) and self._has_room(room, now):
            request = self._queue.pop(now)
            if now > self._give_up_at(request, now):
                decisions.append(self._rejected(request, now, room))
                continue
            self._under_way += 1
            decisions.append(Admitted(request=request))
        for request in self._queue.waiting():
            if self._is_too_late(request, now, room):
                self._queue.remove(request)
                decisions.append(self._rejected(request, now, room))
        self._note_queue(now)
        return decisions

    def _has_place(self, room: ServiceRoom, now: float) -> bool:
        """Return whether a new request may pass: there is room, and nobody waits for it."""
        return not len(self._queue) and self._has_room(room, now)

    def _has_room(self, room: ServiceRoom, now: float) -> bool:
        if not self._limit.is_in_force:
            return True
        if now < self._limit.pause_ends_at(room, now):
            return False
        return self._under_way < self._limit.current(room)

    def _reject_or_queue(
        self, request: AdmissionRequest, now: float, room: ServiceRoom
    ) -> Queued | Rejected:
        if self._is_too_late(request, now, room):
            return self._rejected(request, now, room)
        self._queue.push(request)
        self._note_queue(now)
        return Queued(request=request)

    def _is_too_late(self, request: AdmissionRequest, now: float, room: ServiceRoom) -> bool:
        return now + self._predicted_wait(request, now, room) > self._give_up_at(request, now)

    def _give_up_at(self, request: AdmissionRequest, now: float) -> float:
        """Return until when a request may wait."""
        known_since = min(request.arrived_at, now - ANSWER_MEMORY_SECONDS)
        is_answering = self._last_answer_at >= known_since
        share = LONGEST_WAIT_SHARE if is_answering else LONGEST_WAIT_SHARE_UNANSWERED
        return request.arrived_at + share * (request.deadline - request.arrived_at)

    def _rejected(self, request: AdmissionRequest, now: float, room: ServiceRoom) -> Rejected:
        predicted = self._predicted_wait(request, now, room)
        is_over = now > self._give_up_at(request, now)
        return Rejected(
            request=request,
            reason=RejectionReason.WAITED_TOO_LONG if is_over else RejectionReason.QUEUE_TOO_LONG,
            predicted_wait_seconds=predicted,
            retry_after_seconds=retry_after_seconds(
                request.request_id, predicted, request.deadline - now
            ),
            queue_length=len(self._queue),
            limit=self._limit.current(room),
        )

    def _predicted_wait(self, request: AdmissionRequest, now: float, room: ServiceRoom) -> float:
        """Return how long the queue ahead of a request takes, as far as it is known."""
        pause_seconds = max(0.0, self._limit.pause_ends_at(room, now) - now)
        rate = self._requests_a_second(now, room)
        if rate is None:
            return pause_seconds
        return max(pause_seconds, self._queue.count_ahead(request, now) / rate)

    def _requests_a_second(self, now: float, room: ServiceRoom) -> float | None:
        since = self._waiting_since
        if since is not None and now - since >= RATE_WINDOW_SECONDS:
            self._forget_old_answers(now)
            return max(1, len(self._answered_at)) / RATE_WINDOW_SECONDS
        seconds = self._limit.answer_seconds
        if not seconds:
            return None
        # Little's law; more than the limit may be under way when it has just been lowered.
        return max(self._limit.current(room), self._under_way) / seconds

    def _forget_old_answers(self, now: float) -> None:
        while self._answered_at and now - self._answered_at[0] > RATE_WINDOW_SECONDS:
            self._answered_at.popleft()

    def _note_queue(self, now: float) -> None:
        if not len(self._queue):
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now


def retry_after_seconds(request_id: str, prospect_seconds: float, left_seconds: float) -> float:
    """Return when a caller should come back: once the queue is served, within its own time.

    The same request id gives the same time; different ones are spread.
    """
    digest = hashlib.blake2s(request_id.encode(), digest_size=4).digest()
    spread = 1.0 + RETRY_SPREAD * int.from_bytes(digest) / 2**32
    wanted = spread * max(prospect_seconds, SHORTEST_RETRY_AFTER_SECONDS)
    longest = LONGEST_RETRY_AFTER_SHARE * max(0.0, left_seconds)
    if wanted > longest:
        wanted = longest * spread / (1.0 + RETRY_SPREAD)
    return round(wanted, 3)
