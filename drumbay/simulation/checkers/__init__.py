"""History checkers, one module per promise."""

from collections.abc import Callable

from drumbay.simulation.checkers.at_most_once import check_at_most_once
from drumbay.simulation.checkers.configuration import (
    check_configuration_in_force,
    check_configuration_linearizable,
    check_configuration_monotonic,
)
from drumbay.simulation.checkers.exactly_once import check_exactly_once
from drumbay.simulation.checkers.fenced_orders import check_fenced_orders
from drumbay.simulation.checkers.leaving_backends import check_leaving_backends
from drumbay.simulation.checkers.planned_stop import check_planned_stop
from drumbay.simulation.checkers.refused_not_run import check_refused_not_run
from drumbay.simulation.checkers.sample_versions import check_sample_versions
from drumbay.simulation.checkers.staleness import check_staleness
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.checkers.whole_answers import check_whole_answers
from drumbay.simulation.history import History

Checker = Callable[[History, Limits], tuple[Violation, ...]]

CHECKERS: dict[Promise, Checker] = {
    Promise.AT_MOST_ONCE: check_at_most_once,
    Promise.REFUSED_NOT_RUN: check_refused_not_run,
    Promise.WHOLE_ANSWERS: check_whole_answers,
    Promise.SAMPLE_VERSIONS: check_sample_versions,
    Promise.STALENESS: check_staleness,
    Promise.EXACTLY_ONCE: check_exactly_once,
    Promise.LEAVING_BACKENDS: check_leaving_backends,
    Promise.PLANNED_STOP: check_planned_stop,
    Promise.CONFIGURATION_LINEARIZABLE: check_configuration_linearizable,
    Promise.CONFIGURATION_MONOTONIC: check_configuration_monotonic,
    Promise.CONFIGURATION_IN_FORCE: check_configuration_in_force,
    Promise.FENCED_ORDERS: check_fenced_orders,
}


def check_all(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Return the violations found by all checkers, in the order of :data:`CHECKERS`."""
    violations: list[Violation] = []
    for checker in CHECKERS.values():
        violations += checker(history, limits)
    return tuple(violations)


__all__ = ["CHECKERS", "Checker", "Limits", "Promise", "Violation", "check_all"]
