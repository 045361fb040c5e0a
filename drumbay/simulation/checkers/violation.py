"""What a checker reports."""

from enum import StrEnum

import msgspec


class Promise(StrEnum):
    """The promises that histories are checked against."""

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
    """A promise that a history breaks.

    Attributes:
        promise: The promise.
        subject: Operation, sample, back end, node or key that it was broken for.
        time_seconds: When it was broken, on the clock of the history.
        detail: What the history shows, in one sentence.
    """

    promise: Promise
    subject: str
    time_seconds: float
    detail: str


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds that the promises leave open.

    Attributes:
        leaving_seconds: Time after which a leaving back end gets no new work.
        configuration_seconds: Time after which an accepted change is in force.
        max_staleness_versions: Oldest weights of a sample at its consumption, in
            versions behind the trainer.
        settled: Whether the run ended in quiet, so that all that was asked for is due.
    """

    leaving_seconds: float = 5.0
    configuration_seconds: float = 10.0
    max_staleness_versions: int = 1
    settled: bool = True
