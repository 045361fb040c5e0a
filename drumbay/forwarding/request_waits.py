"""Decides what a request does that no worker takes now: wait, queue again or be rejected. No I/O.

Times are monotonic.
"""

import msgspec

from drumbay.admission.service import MAX_WAIT_FRACTION

START_POLL_SECONDS = 0.05
"""Interval at which a request asks again whether a worker may get it from this node."""

MAX_LOAN_WAIT_SECONDS = 0.4
"""How long a request waits for other nodes to lend it a start."""

REGION_RETRY_SECONDS = 0.1
"""Pause after which a request tries the workers of its regions again that have refused it."""

MAX_REGION_WAIT_FRACTION = 0.5
"""Longest wait for the workers of the allowed regions, as a fraction of the time from arrival to
deadline; a retry needs the rest."""


class SendFrom(msgspec.Struct, frozen=True):
    """The request may be sent from a time on.

    ``forgives_refusals`` is set if it may then try workers that have refused it too often before.
    """

    time: float
    forgives_refusals: bool = False


class QueueAgain(msgspec.Struct, frozen=True):
    """The request goes back to the admission queue of its service."""


class Reject(msgspec.Struct, frozen=True):
    """The request ends, early enough for a retry at another node."""


class WaitLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How long a request may wait, from its arrival and its deadline."""

    arrived_at: float
    deadline: float

    @property
    def region_wait_ends_at(self) -> float:
        """Return until when it may wait for the workers of its regions."""
        return self._after(MAX_REGION_WAIT_FRACTION)

    def start_wait_ends_at(self, *, has_not_run: bool) -> float:
        """Return until when it may wait for a start.

        One that has not run is rejected early enough for a retry at another node.
        """
        return self._after(MAX_WAIT_FRACTION) if has_not_run else self.deadline

    def _after(self, fraction: float) -> float:
        return self.arrived_at + fraction * (self.deadline - self.arrived_at)


def after_refusal(*, has_too_many_refusals: bool, has_free_worker: bool) -> QueueAgain | None:
    """Decide on a request of any region that workers have refused; ``None``: try the next one."""
    return QueueAgain() if has_too_many_refusals or not has_free_worker else None


def after_refusal_in_regions(
    limits: WaitLimits, free_from: float, now: float, *, has_too_many_refusals: bool
) -> SendFrom | Reject:
    """Decide on a request bound to regions that their workers have refused.

    It waits for these workers, not in the queue, which moves with the workers of all regions.
    ``free_from`` is the time from which one of them is not paused.
    """
    send_at = max(free_from, now + REGION_RETRY_SECONDS) if has_too_many_refusals else free_from
    if send_at > limits.region_wait_ends_at:
        return Reject()
    return SendFrom(send_at, forgives_refusals=has_too_many_refusals)


def without_start(
    limits: WaitLimits,
    next_start_at: float,
    now: float,
    *,
    has_not_run: bool,
    may_borrow: bool = False,
) -> SendFrom | Reject:
    """Decide on a request for which no worker has a start left.

    The next start is this node's, and another request may take it: so it asks again at intervals.
    With ``may_borrow`` another node may lend a start before.
    """
    next_poll_at = now + START_POLL_SECONDS
    send_at = next_poll_at if may_borrow else max(next_start_at, next_poll_at)
    if send_at > limits.start_wait_ends_at(has_not_run=has_not_run):
        return Reject()
    return SendFrom(next_poll_at)
