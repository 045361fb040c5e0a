"""The configuration applied on this node: its state, typed view and change callbacks."""

import asyncio
from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.configuration.messages import (
    NO_REVISION,
    ConfigurationReadiness,
    ConfigurationUpdate,
    ReadinessReason,
)
from drumbay.configuration.state import ApplyOutcome, ConfigurationState
from drumbay.configuration.view import ConfigurationView, ViewBuilder
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import Revision

MAX_CONFIRMATION_AGE_SECONDS = 60.0
"""A configuration counts as current for this long after its last confirmation."""

ChangeCallback = Callable[[ConfigurationView], None]


class AppliedConfiguration:
    """Holds the applied configuration and reports changes to callbacks and waiting tasks."""

    def __init__(self, clock: Clock, state: ConfigurationState) -> None:
        """Create an empty configuration that is not ready."""
        self._clock = clock
        self._state = state
        self._builder = ViewBuilder()
        self._view = ConfigurationView()
        self._callbacks: list[ChangeCallback] = []
        self._changed = asyncio.Event()
        self._loaded = False
        self._durable_revision = NO_REVISION
        self._confirmed_at: float | None = None

    @property
    def state(self) -> ConfigurationState:
        """Return the applied state."""
        return self._state

    @property
    def revision(self) -> Revision:
        """Return the applied revision."""
        return self._state.revision

    @property
    def view(self) -> ConfigurationView:
        """Return the typed view."""
        return self._view

    @property
    def is_loaded(self) -> bool:
        """Return whether a configuration has been loaded since the process started."""
        return self._loaded

    @property
    def is_durable(self) -> bool:
        """Return whether a majority of the replicas has stored the applied revision."""
        return self._durable_revision >= self.revision

    def add_callback(self, callback: ChangeCallback) -> None:
        """Call ``callback`` with the new view after each change; it must not raise."""
        self._callbacks.append(callback)

    def apply(self, update: ConfigurationUpdate, *, is_durable: bool = True) -> ApplyOutcome:
        """Apply an update, and report the change to callbacks and waiting tasks.

        Args:
            update: A delta or a snapshot.
            is_durable: Whether a majority of the replicas has stored it.
        """
        outcome = self._state.apply(update)
        if outcome is not ApplyOutcome.APPLIED:
            return outcome
        if is_durable:
            self._durable_revision = self.revision
        self._view = self._builder.build(self._state)
        self._notify_waiters()
        for callback in self._callbacks:
            callback(self._view)
        return outcome

    def mark_durable(self, revision: Revision) -> None:
        """Record that a majority of the replicas has stored every change up to a revision."""
        self._durable_revision = max(self._durable_revision, revision)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def mark_loaded(self) -> None:
        """Record that the initial configuration has been loaded."""
        self._loaded = True

    def confirm(self, at_seconds: float) -> None:
        """Record that the applied revision was the newest at a given time.

        Args:
            at_seconds: Time on this node's monotonic clock.
        """
        if self._confirmed_at is None or at_seconds > self._confirmed_at:
            self._confirmed_at = at_seconds

    def confirmed_age_seconds(self) -> float | None:
        """Return the time since the last confirmation; ``None`` if there was none."""
        if self._confirmed_at is None:
            return None
        return max(0.0, self._clock.monotonic() - self._confirmed_at)

    def readiness(self) -> ConfigurationReadiness:
        """Return the readiness that ``/readyz`` reports."""
        age_seconds = self.confirmed_age_seconds()
        current = (
            self._loaded and age_seconds is not None and age_seconds <= MAX_CONFIRMATION_AGE_SECONDS
        )
        if not self._loaded:
            reason = ReadinessReason.STARTING
        elif current:
            reason = ReadinessReason.CURRENT
        else:
            reason = ReadinessReason.UNCONFIRMED
        return ConfigurationReadiness(
            ready=self._loaded,
            current=current,
            reason=reason,
            revision=self.revision,
            confirmed_age_seconds=age_seconds,
        )

    async def wait_for_revision(self, revision: Revision, timeout_seconds: float) -> bool:
        """Wait until ``revision`` is applied here and stored by a majority of the replicas.

        Returns:
            ``False`` if the timeout expired first.
        """
        deadline = self._clock.monotonic() + timeout_seconds
        while not self._is_durably_applied(revision):
            remaining_seconds = deadline - self._clock.monotonic()
            if remaining_seconds <= 0:
                return False
            try:
                await self._clock.wait_for(self._changed.wait(), remaining_seconds)
            except DeadlineExceededError:
                return self._is_durably_applied(revision)
        return True

    def _is_durably_applied(self, revision: Revision) -> bool:
        return min(self.revision, self._durable_revision) >= revision
