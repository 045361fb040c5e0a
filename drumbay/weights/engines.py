"""Engine state tracked by the rollout planner."""

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import BackendId, BootId, Fence, WeightVersion

MAX_REPORT_AGE_SECONDS = 15.0
"""An engine whose last report is older than this does not count as serving."""

MAX_RESTART_BACKOFF_SECONDS = 5.0
"""Maximum remaining backoff after a restart. Above zero, so that an engine that crashes while
loading is not ordered again immediately."""

TOKEN_VERSION_GRACE_SECONDS = 2.0
"""Tokens generated before a weight swap may arrive this long after its acknowledgement."""


class PendingOrder:
    """A load order whose outcome is not known yet."""

    def __init__(self, version: WeightVersion, fence: Fence, issued_at: float) -> None:
        """Record an order that was issued at ``issued_at``."""
        self.version = version
        self.fence = fence
        self.issued_at = issued_at


class EngineRecord:
    """State of one engine in a rollout.

    Attributes:
        engine: The engine.
        in_service: Whether it gets requests.
        version: Version that it serves, by its report or by the version of its tokens.
        load: Number of running and queued requests.
        highest_fence: Highest fencing token that the engine has seen.
        pending_order: Order whose outcome is not known yet.
        failures: Consecutive failed orders.
        retry_at: Earliest time of the next order.
        set_aside: Whether repeated failures exclude it from the rollout until ``retry_at``.
        last_failure: Why the last order failed.
        maybe_busy_until: Time until which an order with unknown outcome may keep it busy.
    """

    def __init__(self, engine: BackendId) -> None:
        """Create the record of an engine that has not reported."""
        self.engine = engine
        self.in_service = True
        self.version: WeightVersion | None = None
        self.load = 0
        self.highest_fence = Fence(0)
        self.pending_order: PendingOrder | None = None
        self.failures = 0
        self.retry_at = 0.0
        self.set_aside = False
        self.last_failure = ""
        self.maybe_busy_until = 0.0
        self._boot_id: BootId | None = None
        self._reported_at: float | None = None
        self._loaded_at = 0.0
        self._contradicted_version: WeightVersion | None = None

    def is_serving(self, now: float) -> bool:
        """Return whether the engine counts towards the capacity for live requests."""
        return self.in_service and self.may_be_ordered(now)

    def may_be_ordered(self, now: float) -> bool:
        """Return whether the engine reports and is not known to be busy with an order."""
        if self._reported_at is None or now - self._reported_at > MAX_REPORT_AGE_SECONDS:
            return False
        return self.pending_order is None and now >= self.maybe_busy_until

    def has_reported(self) -> bool:
        """Return whether there is a report since the last failed status request."""
        return self._reported_at is not None

    def record_status(self, status: EngineStatus, now: float) -> None:
        """Apply a status report."""
        if status.boot_id != self._boot_id:
            self._record_restart(status.boot_id, now)
        self._reported_at = now
        self.load = status.running + status.waiting
        self.highest_fence = status.highest_fence
        if status.weight_version != self._contradicted_version:
            self.version = status.weight_version

    def _record_restart(self, boot_id: BootId, now: float) -> None:
        """Reset the state that a restart invalidates.

        The engine no longer executes its order, whether or not the outcome was known.
        """
        self._boot_id = boot_id
        self.pending_order = None
        self._contradicted_version = None
        self.maybe_busy_until = 0.0
        self.retry_at = min(self.retry_at, now + MAX_RESTART_BACKOFF_SECONDS)

    def record_success(self, status: EngineStatus, now: float) -> None:
        """Record that the engine acknowledged its order."""
        self._contradicted_version = None
        self._loaded_at = now
        self.record_status(status, now)
        self.pending_order = None

    def record_token_version(self, boot_id: BootId, version: WeightVersion, now: float) -> bool:
        """Record the version of generated tokens.

        Returns:
            Whether it shows that an acknowledged weight swap did not happen.
        """
        if boot_id != self._boot_id or version == self.version or self.version is None:
            return False
        if self.pending_order is not None or now - self._loaded_at < TOKEN_VERSION_GRACE_SECONDS:
            return False
        self._contradicted_version = self.version
        self.version = version
        return True

    def clear_report(self) -> None:
        """Record that a status request failed."""
        self._reported_at = None
