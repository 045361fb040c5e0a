"""Fault injection for the emulators."""

from enum import StrEnum

import msgspec

from drumbay.exceptions import DrumbayError


class FaultKind(StrEnum):
    """Fault that can be injected into an emulator."""

    SWAP_FAILS_ACKNOWLEDGED = "swap_fails_acknowledged"
    """A load order is acknowledged, but the old weights stay."""

    SWAP_FAILS = "swap_fails"
    """A load order fails; the old weights stay."""

    ORDER_ANSWER_LOST = "order_answer_lost"
    """An order is executed, but its response is lost."""

    CROSSED_ANSWER = "crossed_answer"
    """A request gets the response of the previous request."""

    TRUNCATED_ANSWER = "truncated_answer"
    """A response is cut off in the middle."""

    SLOW = "slow"
    """Work takes ``SLOW_FACTOR`` times as long."""

    LATE_ANSWER = "late_answer"
    """The response is sent late, although the work finished in time."""

    CRASH_AFTER_EFFECT = "crash_after_effect"
    """The process crashes after the effect and before the response."""


SLOW_FACTOR = 8.0


class FaultCommand(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Arms or disarms a fault; ``count`` limits how often it is injected, ``None`` for no limit."""

    fault: FaultKind
    armed: bool = True
    count: int | None = None


class UnsupportedFaultError(DrumbayError):
    """The emulator does not support the fault."""

    code = "unsupported_fault"


class FaultSwitches:
    """Armed faults of an emulator."""

    def __init__(self, supported: tuple[FaultKind, ...]) -> None:
        """Create switches for the ``supported`` faults, none of them armed."""
        self._supported = supported
        self._armed: dict[FaultKind, int | None] = {}

    def apply(self, command: FaultCommand) -> None:
        """Arm or disarm a fault.

        Raises:
            UnsupportedFaultError: The emulator does not support the fault.
        """
        if command.fault not in self._supported:
            raise UnsupportedFaultError(command.fault)
        if command.armed:
            self._armed[command.fault] = command.count
        else:
            self._armed.pop(command.fault, None)

    def should_inject(self, fault: FaultKind) -> bool:
        """Return whether to inject a fault now, and count the injection against its limit."""
        if fault not in self._armed:
            return False
        remaining = self._armed[fault]
        if remaining is None:
            return True
        if remaining <= 1:
            self._armed.pop(fault)
        else:
            self._armed[fault] = remaining - 1
        return remaining > 0

    def armed(self) -> tuple[FaultKind, ...]:
        """Return the armed faults in the order of arming."""
        return tuple(self._armed)
