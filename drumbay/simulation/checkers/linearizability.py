"""Checks whether the operations on one register are linearizable.

Depth-first search over linearization orders (Wing and Gong, "Testing and Verifying
Concurrent Objects", 1993, section 4) that visits each pair of linearized operations and
register state once (Lowe, "Testing for linearizability", 2017, section 3).
"""

from collections.abc import Sequence

import msgspec

from drumbay.simulation.history import RegisterOperation, RegisterOperationKind


class _SearchState(msgspec.Struct, frozen=True):
    """Bit set of linearized operations, and the register value after them."""

    linearized: int
    value: str | None


def is_linearizable(operations: Sequence[RegisterOperation], initial: str | None = None) -> bool:
    """Return whether a linearization of the operations exists.

    Args:
        operations: Operations on one key. One that never returned may take effect at any
            time after its invocation, or never.
        initial: Initial value of the register; ``None`` if it is absent.
    """
    ordered = sorted(operations, key=lambda operation: operation.time_seconds)
    required = 0
    for index, operation in enumerate(ordered):
        if operation.returned_seconds is not None:
            required |= 1 << index
    start = _SearchState(0, initial)
    pending = [start]
    visited = {start}
    while pending:
        state = pending.pop()
        if state.linearized & required == required:
            return True
        for successor in _successors(ordered, state):
            if successor not in visited:
                visited.add(successor)
                pending.append(successor)
    return False


def _successors(ordered: list[RegisterOperation], state: _SearchState) -> list[_SearchState]:
    """Return the states after each operation that may be linearized next."""
    successors = []
    earliest_return = float("inf")
    for index, operation in enumerate(ordered):
        if operation.time_seconds > earliest_return:
            break
        bit = 1 << index
        if state.linearized & bit:
            continue
        if operation.returned_seconds is not None:
            earliest_return = min(earliest_return, operation.returned_seconds)
        if _is_possible(operation, state.value):
            value = _value_after(operation, state.value)
            successors.append(_SearchState(state.linearized | bit, value))
    return successors


def _is_possible(operation: RegisterOperation, value: str | None) -> bool:
    match operation.kind:
        case RegisterOperationKind.READ:
            return operation.value == value
        case RegisterOperationKind.WRITE:
            return True
        case RegisterOperationKind.COMPARE_AND_SET:
            return operation.succeeded == (operation.expected == value)


def _value_after(operation: RegisterOperation, value: str | None) -> str | None:
    if operation.kind is RegisterOperationKind.READ or not operation.succeeded:
        return value
    return operation.value
