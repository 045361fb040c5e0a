"""What the planner knows of each engine."""

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import BackendId, BootId, Fence, WeightVersion

REPORT_LIMIT_SECONDS = 15.0
"""An engine whose last report is older does not count as serving."""

RESTART_RETRY_SECONDS = 5.0
"""Longest wait for an order after a restart, which may have mended what failed before. It is
not zero, so that an engine that dies of its orders does not get them without a pause."""

STAMP_GRACE_SECONDS = 2.0
"""Tokens made before a swap may arrive after its acknowledgement by this much."""


class OpenOrder:
    """An order whose outcome is not known."""

    def __init__(self, version: WeightVersion, fence: Fence, given_at: float) -> None:
        """Record an order that was given at ``given_at``."""
        self.version = version
        self.fence = fence
        self.given_at = given_at


class EngineRecord:
    """One engine of the rollout.

    Attributes:
        engine: The engine.
        version: Version it serves, by its report or by the stamps of its tokens.
        load: Requests running and waiting.
        highest_fence: Fence of the newest order that the engine has seen.
        open_order: Order that it works on.
        failures: Failed orders in a row.
        retry_at: No order is given before.
        set_aside: Whether it failed so often that it is left out until ``retry_at``.
        last_failure: Why the last order failed.
        uncertain_until: Until then a failed order may still keep the engine busy.
    """

    def __init__(self, engine: BackendId) -> None:
        """Create a record of an engine that has not reported."""
        self.engine = engine
        self.version: WeightVersion | None = None
        self.load = 0
        self.highest_fence = Fence(0)
        self.open_order: OpenOrder | None = None
        self.failures = 0
        self.retry_at = 0.0
        self.set_aside = False
        self.last_failure = ""
        self.uncertain_until = 0.0
        self._boot_id: BootId | None = None
        self._reported_at: float | None = None
        self._loaded_at = 0.0
        self._disproved_version: WeightVersion | None = None

    def is_serving(self, now: float) -> bool:
        """Tell whether the engine counts towards the capacity for live requests."""
        if self._reported_at is None or now - self._reported_at > REPORT_LIMIT_SECONDS:
            return False
        return self.open_order is None and now >= self.uncertain_until

    def has_reported(self) -> bool:
        """Tell whether the engine reported since it was last missed."""
        return self._reported_at is not None

    def take_status(self, status: EngineStatus, now: float) -> None:
        """Take in the engine's own report."""
        if status.boot_id != self._boot_id:
            self._take_restart(status.boot_id, now)
        self._reported_at = now
        self.load = status.running + status.waiting
        self.highest_fence = status.highest_fence
        if status.weight_version != self._disproved_version:
            self.version = status.weight_version

    def _take_restart(self, boot_id: BootId, now: float) -> None:
        """Take in that the engine has restarted.

        It has forgotten the order it worked on, and is not kept busy by one whose outcome was
        not known.
        """
        self._boot_id = boot_id
        self.open_order = None
        self._disproved_version = None
        self.uncertain_until = 0.0
        self.retry_at = min(self.retry_at, now + RESTART_RETRY_SECONDS)

    def take_success(self, status: EngineStatus, now: float) -> None:
        """Take in that the engine acknowledged its order."""
        self._disproved_version = None
        self._loaded_at = now
        self.take_status(status, now)
        self.open_order = None

    def take_stamp(self, boot_id: BootId, version: WeightVersion, now: float) -> bool:
        """Take in a stamp; tell whether it proves that an acknowledged swap did not happen."""
        if boot_id != self._boot_id or version == self.version or self.version is None:
            return False
        if self.open_order is not None or now - self._loaded_at < STAMP_GRACE_SECONDS:
            return False
        self._disproved_version = self.version
        self.version = version
        return True

    def lose(self) -> None:
        """Take in that the engine gave no report."""
        self._reported_at = None
