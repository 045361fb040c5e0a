"""Typed records of what happened in a run, as seen from outside drumbay.

Callers, back ends, trainers and the fault injector write these records; drumbay's own
claims appear only as the answers that callers and trainers got. All times are seconds on
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
    """Base class of the records of a history."""

    time_seconds: float


class RequestOutcome(StrEnum):
    """What a caller learned about one invocation."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """Refused, with the claim that it did not run."""
    MAY_HAVE_RUN = "may_have_run"
    CUT_OFF = "cut_off"
    """The connection ended without an answer."""


class RequestInvoked(HistoryEvent, frozen=True, kw_only=True):
    """A caller sent a request.

    Attributes:
        invocation_id: Identity of this sending.
        operation_id: What the caller wants done; its retries carry the same one. It
            travels in the request body, so that back ends log it too.
        node_id: Node that the caller sent it to.
        repeatable: Whether the operation may run more than once.
    """

    invocation_id: str
    operation_id: str
    node_id: NodeId
    repeatable: bool


class RequestReturned(HistoryEvent, frozen=True, kw_only=True):
    """A caller got the end of an invocation.

    Attributes:
        invocation_id: The invocation.
        outcome: What the caller learned.
        answer: The answer as the caller got it; empty unless answered.
    """

    invocation_id: str
    outcome: RequestOutcome
    answer: bytes = b""


class ExecutionStarted(HistoryEvent, frozen=True, kw_only=True):
    """A back end began to run an operation.

    Attributes:
        execution_id: Identity of this run in the back end's own log.
        backend_id: The back end.
        operation_id: The operation, from the request body.
        invocation_id: The invocation, where the request body names it.
    """

    execution_id: str
    backend_id: BackendId
    operation_id: str
    invocation_id: str | None = None


class ExecutionFinished(HistoryEvent, frozen=True, kw_only=True):
    """A back end finished an execution and gave this whole answer."""

    execution_id: str
    answer: bytes


class ExecutionAborted(HistoryEvent, frozen=True, kw_only=True):
    """An execution ended without an answer, by the death of its back end."""

    execution_id: str


class TokensProduced(HistoryEvent, frozen=True, kw_only=True):
    """An engine produced consecutive tokens of an operation.

    Attributes:
        execution_id: Identity of the run in the engine's own log.
        operation_id: The operation, from the prompt.
        weight_version: Weights that produced the tokens.
        first_index: Index of the first token in the whole completion.
        token_ids: The tokens.
        finished: Whether the completion ends with the last of them.
    """

    execution_id: str
    operation_id: str
    weight_version: WeightVersion
    first_index: int
    token_ids: tuple[int, ...]
    finished: bool = False


class VersionSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens of a sample and the weights that they are said to come from."""

    weight_version: WeightVersion
    first_index: int
    token_ids: tuple[int, ...]


class CompletionReturned(HistoryEvent, frozen=True, kw_only=True):
    """A caller got a completion that it was told is whole."""

    invocation_id: str
    spans: tuple[VersionSpan, ...]


class StepRequested(HistoryEvent, frozen=True, kw_only=True):
    """A trainer asked for the samples of one step."""

    stream: StreamName
    step: int
    sample_ids: tuple[SampleId, ...]


class SampleConsumed(HistoryEvent, frozen=True, kw_only=True):
    """A trainer trained on a sample, from the trainer's own log.

    Attributes:
        stream: Sample stream of the trainer.
        sample_id: The sample.
        operation_id: The operation named in the prompt, as engines log it.
        trainer_version: Weights the trainer had at that moment.
        spans: The tokens with the versions that the sample names.
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
    """A back end that was leaving may get work again."""

    backend_id: BackendId


class BackendStopped(HistoryEvent, frozen=True, kw_only=True):
    """A back end's process ended; ``planned`` if it was asked to leave first."""

    backend_id: BackendId
    planned: bool


class PlannedStopStarted(HistoryEvent, frozen=True, kw_only=True):
    """A node was asked to stop."""

    node_id: NodeId


class NodeStarted(HistoryEvent, frozen=True, kw_only=True):
    """A node's process started and could reach its peers and services."""

    node_id: NodeId
    boot_id: BootId


class NodeDisturbed(HistoryEvent, frozen=True, kw_only=True):
    """From now on a node is down, frozen or cut off.

    Attributes:
        node_id: The node.
        planned: Whether it ended as asked.
        cut_off: Whether only paths to it are cut: its process runs.
        disk_lost: Whether its disk was emptied.
    """

    node_id: NodeId
    planned: bool = False
    cut_off: bool = False
    disk_lost: bool = False


class NodeRestored(HistoryEvent, frozen=True, kw_only=True):
    """A disturbance of a node has ended; ``cut_off`` as of its beginning."""

    node_id: NodeId
    cut_off: bool = False


class KeyValueOutage(HistoryEvent, frozen=True, kw_only=True):
    """An outage of the key-value service began, or has ended."""

    began: bool


class ReplicaSetCommitted(HistoryEvent, frozen=True, kw_only=True):
    """The key-value service took a new set of the configuration's replicas.

    Attributes:
        members: Nodes of which a majority stores a change before it is in force.
        previous: Nodes of which a majority is needed too while the set changes.
    """

    members: tuple[NodeId, ...]
    previous: tuple[NodeId, ...] = ()


class ConfigurationInForce(HistoryEvent, frozen=True, kw_only=True):
    """A node began to act on a revision of the configuration."""

    node_id: NodeId
    boot_id: BootId
    revision: Revision


class ConfigurationAccepted(HistoryEvent, frozen=True, kw_only=True):
    """An operator was told that a change is accepted, as this revision."""

    revision: Revision


class RegisterOperationKind(StrEnum):
    """Operations on one configuration key."""

    READ = "read"
    WRITE = "write"
    COMPARE_AND_SET = "compare_and_set"


class RegisterOperation(HistoryEvent, frozen=True, kw_only=True):
    """One operation on a configuration key, recorded when its end is known.

    ``time_seconds`` is the time of the invocation.

    Attributes:
        key: The key.
        kind: What was done.
        returned_seconds: When the outcome was known; ``None`` if it never was, so that
            the operation may take effect at any later time or never.
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
    """An engine accepted a fenced order, from the engine's own log.

    Attributes:
        backend_id: The engine.
        boot_id: Run of the engine's process.
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
    """The records of one run, in the order in which they were written."""

    def __init__(self, events: Iterable[AnyHistoryEvent] = ()) -> None:
        """Create a history with these records."""
        self._events: dict[type[HistoryEvent], list[HistoryEvent]] = {}
        for event in events:
            self.add(event)

    def add(self, event: AnyHistoryEvent) -> None:
        """Add one record."""
        self._events.setdefault(type(event), []).append(event)

    def of(self, event_type: type[EventT]) -> tuple[EventT, ...]:
        """Return the records of one type, in order of time."""
        events = [event for event in self._events.get(event_type, ()) if type(event) is event_type]
        return tuple(sorted(events, key=lambda event: event.time_seconds))

    def between(self, start_seconds: float, end_seconds: float) -> tuple[HistoryEvent, ...]:
        """Return all records of a span of time, in order of time."""
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
        """Return the records as JSON, one a line, for other tools and later runs."""
        encoder = msgspec.json.Encoder()
        return encoder.encode_lines(list(self.between(float("-inf"), float("inf"))))

    @classmethod
    def from_json_lines(cls, data: bytes) -> "History":
        """Read what :meth:`to_json_lines` wrote.

        Raises:
            msgspec.ValidationError: A line is not a history record.
        """
        return cls(_LINES_DECODER.decode_lines(data))
