"""Finds all log events in the source code, with their keys."""

import ast
from collections.abc import Iterator
from pathlib import Path

import drumbay

SOURCE = Path(drumbay.__file__).parent
LEVEL = "level"


def events_in_code(source: Path = SOURCE) -> dict[str, set[str]]:
    """Return the keys of all ``log_event`` calls by event name."""
    events: dict[str, set[str]] = {}
    for file in sorted(source.rglob("*.py")):
        module = ast.parse(file.read_text())
        for call in _log_event_calls(module):
            keys = {keyword.arg or "**" for keyword in call.keywords} - {LEVEL}
            for name in _event_names(call.args[0], module):
                events.setdefault(name, set()).update(keys)
    return events


def _log_event_calls(module: ast.Module) -> Iterator[ast.Call]:
    for node in ast.walk(module):
        if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "log_event":
            yield node


def _event_names(argument: ast.expr, module: ast.Module) -> list[str]:
    """Return the possible values of an event name argument."""
    if isinstance(argument, ast.Constant):
        return [str(argument.value)]
    if not isinstance(argument, ast.Name):
        raise AssertionError(f"the name of an event is computed: {ast.unparse(argument)}")
    values = list(_assigned_values(argument.id, module))
    if not values:
        raise AssertionError(f"no value is assigned to {argument.id}")
    return values


def _assigned_values(variable: str, module: ast.Module) -> Iterator[str]:
    for node in ast.walk(module):
        if isinstance(node, ast.Assign):
            for target in node.targets:
                yield from _values_assigned_to(target, node.value, variable)


def _values_assigned_to(target: ast.expr, value: ast.expr, variable: str) -> Iterator[str]:
    if isinstance(target, ast.Tuple) and isinstance(value, ast.Tuple):
        for inner, assigned in zip(target.elts, value.elts, strict=True):
            yield from _values_assigned_to(inner, assigned, variable)
    elif isinstance(target, ast.Name) and target.id == variable:
        choices = [value.body, value.orelse] if isinstance(value, ast.IfExp) else [value]
        yield from (str(choice.value) for choice in choices if isinstance(choice, ast.Constant))
