"""Typed records of a run as observed from outside the nodes.

Callers, back ends, trainers and the fault injector write these records; the nodes' own view
appears only in the responses that callers and trainers received. All times are seconds on
one clock: virtual time in a simulation, the observer's monotonic clock otherwise.
"""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import TypeVar

import msgspec

from drumbay.identifiers import (
    BackendId,
    BootId,
    Fence,
    NodeId,
    Revision,
    SampleId,
    StreamName,
    WeightVersion,
)


class HistoryEvent(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of history records."""

    time_seconds: float


class RequestOutcome(StrEnum):
    """Outcome of an invocation as known to the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """Refused with the assurance that it did not run."""
    MAY_HAVE_RUN = "may_have_run"
    CUT_OFF = "cut_off"
    """The connection closed without a response."""


class RequestInvoked(HistoryEvent, frozen=True, kw_only=True):
    """A caller sent a request.

    Attributes:
        invocation_id: Identity of this attempt.
        operation_id: Identity of the operation, shared by its retries. Part of the request
            body, so that back ends log it too.
        node_id: Node that the request was sent to.
        repeatable: Whether the operation may run more than once.
    """

    invocation_id: str
    operation_id: str
    node_id: NodeId
    repeatable: bool


class RequestReturned(HistoryEvent, frozen=True, kw_only=True):
    """An invocation ended for its caller.

    Attributes:
        invocation_id: The invocation.
        outcome: Outcome as known to the caller.
        answer: Response that the caller received; empty unless answered.
    """

    invocation_id: str
    outcome: RequestOutcome
    answer: bytes = b""


class ExecutionStarted(HistoryEvent, frozen=True, kw_only=True):
    """A back end started to execute an operation.

    Attributes:
        execution_id: Identity of the execution in the back end's log.
        backend_id: The back end.
        operation_id: The operation, from the request body.
        invocation_id: The invocation, if the request body names it.
    """

    execution_id: str
    backend_id: BackendId
    operation_id: str
    invocation_id: str | None = None


class ExecutionFinished(HistoryEvent, frozen=True, kw_only=True):
    """A back end finished an execution with this complete response."""

    execution_id: str
    answer: bytes


class ExecutionAborted(HistoryEvent, frozen=True, kw_only=True):
    """An execution ended without a response because its back end crashed."""

    execution_id: str


class TokensProduced(HistoryEvent, frozen=True, kw_only=True):
    """An engine produced consecutive tokens of an operation.

    Attributes:
        execution_id: Identity of the execution in the engine's log.
        operation_id: The operation, from the prompt.
        weight_version: Weights that produced the tokens.
        first_index: Index of the first token in the completion.
        token_ids: The tokens.
        finished: Whether the completion ends with the last of these tokens.
    """

    execution_id: str
    operation_id: str
    weight_version: WeightVersion
    first_index: int
    token_ids: tuple[int, ...]
    finished: bool = False


class VersionSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens of a sample with the weight version reported for them."""

    weight_version: WeightVersion
    first_index: int
    token_ids: tuple[int, ...]


class CompletionReturned(HistoryEvent, frozen=True, kw_only=True):
    """A caller received a completion that was reported as complete."""

    invocation_id: str
    spans: tuple[VersionSpan, ...]


class StepRequested(HistoryEvent, frozen=True, kw_only=True):
    """A trainer requested the samples of one step."""

    stream: StreamName
    step: int
    sample_ids: tuple[SampleId, ...]


class SampleConsumed(HistoryEvent, frozen=True, kw_only=True):
    """A trainer trained on a sample, as recorded in the trainer's log.

    Attributes:
        stream: Sample stream of the trainer.
        sample_id: The sample.
        operation_id: The operation named in the prompt, as engines log it.
        trainer_version: Weight version of the trainer at that time.
        spans: The tokens with the versions reported for them.
    """

    stream: StreamName
    sample_id: SampleId
    operation_id: str
    trainer_version: WeightVersion
    spans: tuple[VersionSpan, ...]


class BackendLeaving(HistoryEvent, frozen=True, kw_only=True):
    """A back end was announced as leaving."""

    backend_id: BackendId


class BackendReturned(HistoryEvent, frozen=True, kw_only=True):
    """A leaving back end is available for work again."""

    backend_id: BackendId


class BackendStopped(HistoryEvent, frozen=True, kw_only=True):
    """A back end's process ended; ``planned`` if it was announced as leaving first."""

    backend_id: BackendId
    planned: bool


class PlannedStopStarted(HistoryEvent, frozen=True, kw_only=True):
    """A graceful shutdown of a node began."""

    node_id: NodeId


class NodeStarted(HistoryEvent, frozen=True, kw_only=True):
    """A node's process started and could reach its peers and services."""

    node_id: NodeId
    boot_id: BootId


class NodeDisturbed(HistoryEvent, frozen=True, kw_only=True):
    """A node is down, frozen or cut off from now on.

    Attributes:
        node_id: The node.
        planned: Whether it is down because of a graceful shutdown.
        cut_off: Whether only network paths are cut, while its process runs.
        disk_lost: Whether its disk was erased.
    """

    node_id: NodeId
    planned: bool = False
    cut_off: bool = False
    disk_lost: bool = False


class NodeRestored(HistoryEvent, frozen=True, kw_only=True):
    """A disturbance of a node ended; ``cut_off`` as in its :class:`NodeDisturbed`."""

    node_id: NodeId
    cut_off: bool = False


class KeyValueOutage(HistoryEvent, frozen=True, kw_only=True):
    """An outage of the key-value service began or ended."""

    began: bool


class ReplicaSetCommitted(HistoryEvent, frozen=True, kw_only=True):
    """The key-value service committed a new set of configuration replicas.

    Attributes:
        members: Nodes of which a majority must store a change before it is in force.
        previous: Old members, whose majority is required too during a reconfiguration.
    """

    members: tuple[NodeId, ...]
    previous: tuple[NodeId, ...] = ()


class ConfigurationInForce(HistoryEvent, frozen=True, kw_only=True):
    """A node applied a configuration revision."""

    node_id: NodeId
    boot_id: BootId
    revision: Revision


class ConfigurationAccepted(HistoryEvent, frozen=True, kw_only=True):
    """An operator's change was acknowledged with this revision."""

    revision: Revision


class RegisterOperationKind(StrEnum):
    """Operations on one configuration key."""

    READ = "read"
    WRITE = "write"
    COMPARE_AND_SET = "compare_and_set"


class RegisterOperation(HistoryEvent, frozen=True, kw_only=True):
    """One operation on a configuration key, recorded when its outcome is known.

    ``time_seconds`` is the time of the invocation.

    Attributes:
        key: The key.
        kind: Kind of the operation.
        returned_seconds: Time at which the outcome was known; ``None`` if it never was, so
            that the operation may take effect at any later time or never.
        value: Value read or written; ``None`` for an absent key.
        expected: Value that a compare-and-set requires.
        succeeded: Whether a compare-and-set took effect.
    """

    key: str
    kind: RegisterOperationKind
    returned_seconds: float | None
    value: str | None
    expected: str | None = None
    succeeded: bool = True


class OrderAccepted(HistoryEvent, frozen=True, kw_only=True):
    """An engine accepted a fenced order, as recorded in the engine's log.

    Attributes:
        backend_id: The engine.
        boot_id: Boot of the engine's process.
        fence: Fence of the order.
    """

    backend_id: BackendId
    boot_id: BootId
    fence: Fence


class LeaseHeld(HistoryEvent, frozen=True, kw_only=True):
    """A process believed to hold a lease until ``until_seconds``."""

    lease_name: str
    holder: BootId
    fence: Fence
    until_seconds: float


AnyHistoryEvent = (
    RequestInvoked
    | RequestReturned
    | ExecutionStarted
    | ExecutionFinished
    | ExecutionAborted
    | TokensProduced
    | CompletionReturned
    | StepRequested
    | SampleConsumed
    | BackendLeaving
    | BackendReturned
    | BackendStopped
    | PlannedStopStarted
    | NodeStarted
    | NodeDisturbed
    | NodeRestored
    | KeyValueOutage
    | ReplicaSetCommitted
    | ConfigurationInForce
    | ConfigurationAccepted
    | RegisterOperation
    | OrderAccepted
    | LeaseHeld
)

EventT = TypeVar("EventT", bound=HistoryEvent)

_LINES_DECODER = msgspec.json.Decoder(AnyHistoryEvent)


class History:
    """The records of one run, grouped by type."""

    def __init__(self, events: Iterable[AnyHistoryEvent] = ()) -> None:
        """Create a history of ``events``."""
        self._events: dict[type[HistoryEvent], list[HistoryEvent]] = {}
        for event in events:
            self.add(event)

    def add(self, event: AnyHistoryEvent) -> None:
        """Add one record."""
        self._events.setdefault(type(event), []).append(event)

    def of(self, event_type: type[EventT]) -> tuple[EventT, ...]:
        """Return the records of one type, ordered by time."""
        events = [event for event in self._events.get(event_type, ()) if type(event) is event_type]
        return tuple(sorted(events, key=lambda event: event.time_seconds))

    def between(self, start_seconds: float, end_seconds: float) -> tuple[HistoryEvent, ...]:
        """Return all records of a time span, ends included, ordered by time."""
        inside = [
            event for event in self._all() if start_seconds <= event.time_seconds <= end_seconds
        ]
        return tuple(sorted(inside, key=lambda event: event.time_seconds))

    def end_seconds(self) -> float:
        """Return the time of the last record, 0 if there is none."""
        return max((event.time_seconds for event in self._all()), default=0.0)

    def _all(self) -> Iterator[HistoryEvent]:
        for events in self._events.values():
            yield from events

    def to_json_lines(self) -> bytes:
        """Return the records as JSON lines."""
        encoder = msgspec.json.Encoder()
        return encoder.encode_lines(list(self.between(float("-inf"), float("inf"))))

    @classmethod
    def from_json_lines(cls, data: bytes) -> "History":
        """Decode the output of :meth:`to_json_lines`.

        Raises:
            msgspec.ValidationError: A line is not a history record.
        """
        return cls(_LINES_DECODER.decode_lines(data))
