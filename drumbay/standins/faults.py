"""Switchable faults of the emulators."""

from enum import StrEnum

import msgspec

from drumbay.exceptions import DrumbayError


class FaultKind(StrEnum):
    """A fault that can be armed on an emulator."""

    SWAP_FAILS_ACKNOWLEDGED = "swap_fails_acknowledged"
    """An order to load a version is answered as done, but the old weights stay."""

    SWAP_FAILS = "swap_fails"
    """An order to load a version is answered with a failure; the old weights stay."""

    ORDER_ANSWER_LOST = "order_answer_lost"
    """An order is carried out, but its answer is lost."""

    CROSSED_ANSWER = "crossed_answer"
    """A request is answered with the answer of the previous one."""

    TRUNCATED_ANSWER = "truncated_answer"
    """An answer ends in the middle."""

    SLOW = "slow"
    """Work takes ``SLOW_FACTOR`` times as long."""

    LATE_ANSWER = "late_answer"
    """The work is done in time, but its answer leaves late."""

    CRASH_AFTER_EFFECT = "crash_after_effect"
    """The process dies after the work took effect and before the answer leaves."""


SLOW_FACTOR = 8.0


class FaultCommand(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Arm or disarm one fault; ``count`` is how often it strikes, ``None`` for always."""

    fault: FaultKind
    armed: bool = True
    count: int | None = None


class UnsupportedFaultError(DrumbayError):
    """The emulator has no such fault."""

    code = "unsupported_fault"


class FaultSwitches:
    """The armed faults of one emulator."""

    def __init__(self, supported: tuple[FaultKind, ...]) -> None:
        """Create switches for ``supported`` faults, all off."""
        self._supported = supported
        self._armed: dict[FaultKind, int | None] = {}

    def apply(self, command: FaultCommand) -> None:
        """Arm or disarm one fault.

        Raises:
            UnsupportedFaultError: The emulator has no such fault.
        """
        if command.fault not in self._supported:
            raise UnsupportedFaultError(command.fault)
        if command.armed:
            self._armed[command.fault] = command.count
        else:
            self._armed.pop(command.fault, None)

    def strikes(self, fault: FaultKind) -> bool:
        """Return whether an armed fault strikes now, and count it."""
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
