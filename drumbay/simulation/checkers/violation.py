"""Results and parameters of the checkers."""

from enum import StrEnum

import msgspec


class Promise(StrEnum):
    """Guarantees that histories are checked against."""

    AT_MOST_ONCE = "at_most_once"
    REFUSED_NOT_RUN = "refused_not_run"
    WHOLE_ANSWERS = "whole_answers"
    SAMPLE_VERSIONS = "sample_versions"
    STALENESS = "staleness"
    EXACTLY_ONCE = "exactly_once"
    LEAVING_BACKENDS = "leaving_backends"
    PLANNED_STOP = "planned_stop"
    CONFIGURATION_LINEARIZABLE = "configuration_linearizable"
    CONFIGURATION_MONOTONIC = "configuration_monotonic"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    FENCED_ORDERS = "fenced_orders"


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """A violation of a promise in a history.

    Attributes:
        promise: The broken promise.
        subject: Affected operation, sample, back end, node or key.
        time_seconds: Time of the violation on the clock of the history.
        detail: Description of the violation.
    """

    promise: Promise
    subject: str
    time_seconds: float
    detail: str


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Configurable bounds of the promises.

    Attributes:
        leaving_seconds: Time after which a leaving back end gets no new work.
        configuration_seconds: Time within which an accepted change must be in force.
        max_staleness_versions: Maximum staleness of a sample at its consumption, in versions
            behind the trainer.
        settled: Whether the run ended after a fault-free time, so that every requested sample
            must have been consumed.
    """

    leaving_seconds: float = 5.0
    configuration_seconds: float = 10.0
    max_staleness_versions: int = 1
    settled: bool = True
