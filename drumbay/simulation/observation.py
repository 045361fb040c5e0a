"""Converts the logs of emulated back ends and the key-value service to history records."""

from collections.abc import Iterator

import msgspec

from drumbay.configuration.messages import (
    REPLICA_SET_KEY,
    RESOURCE_PREFIX,
    ReplicaSet,
    StoredRecord,
    resource_key,
)
from drumbay.identifiers import BackendId, Revision
from drumbay.kv.interface import KeyValue
from drumbay.simulation.concurrent_operators import AttemptedChange
from drumbay.simulation.history import (
    ExecutionAborted,
    ExecutionFinished,
    ExecutionStarted,
    History,
    OrderAccepted,
    RegisterOperation,
    RegisterOperationKind,
    ReplicaSetCommitted,
    TokensProduced,
)
from drumbay.simulation.observed_engine import ObservedEngine
from drumbay.simulation.platform import SimulatedPlatform
from drumbay.standins.application_model import ApplicationModel
from drumbay.standins.execution_log import (
    ApplicationExecuted,
    GenerationAccepted,
    GenerationEnded,
    GenerationOutcome,
    OrderHandled,
    OrderOutcome,
)
from drumbay.standins.kv_records import LoggedChange
from drumbay.standins.token_source import token_at

CONFIGURATION_BACKEND = BackendId("key-value")
"""Back end id under which committed changes are recorded as executions."""


def add_platform_logs(
    history: History, platform: SimulatedPlatform, changes: list[AttemptedChange]
) -> None:
    """Add the contents of all platform logs to the history."""
    for engine in platform.engines.values():
        _add_engine(history, engine)
    for application in platform.applications.values():
        _add_application(history, application)
    commits = _read_commits(platform)
    _add_commits(history, commits)
    _add_register_operations(history, commits, changes)
    _add_replica_sets(history, platform)


def _add_engine(history: History, engine: ObservedEngine) -> None:
    for record in engine.log.records():
        match record:
            case GenerationAccepted():
                history.add(
                    ExecutionStarted(
                        time_seconds=record.time_seconds,
                        execution_id=record.attempt_id,
                        backend_id=engine.backend_id,
                        operation_id=engine.requests[record.attempt_id].prompt,
                    )
                )
            case GenerationEnded():
                _add_generation(history, engine, record)
            case OrderHandled() if record.outcome is not OrderOutcome.STALE_FENCE:
                history.add(
                    OrderAccepted(
                        time_seconds=record.time_seconds,
                        backend_id=engine.backend_id,
                        boot_id=record.boot_id,
                        fence=record.fence,
                    )
                )
            case _:
                continue


def _add_generation(history: History, engine: ObservedEngine, ended: GenerationEnded) -> None:
    request = engine.requests[ended.attempt_id]
    finished = ended.outcome is GenerationOutcome.FINISHED
    for number, span in enumerate(ended.spans, start=1):
        indexes = range(span.first_index, span.first_index + span.count)
        token_ids = tuple(
            token_at(request.model, request.seed, request.prompt, span.weight_version, index)
            for index in indexes
        )
        history.add(
            TokensProduced(
                time_seconds=ended.time_seconds,
                execution_id=ended.attempt_id,
                operation_id=request.prompt,
                weight_version=span.weight_version,
                first_index=span.first_index,
                token_ids=token_ids,
                finished=finished and number == len(ended.spans),
            )
        )
    # A crash counts as an abort only if the reader had not closed the stream before, for
    # example because its node was killed.
    closed_at = engine.closed_at_seconds.get(ended.attempt_id, ended.time_seconds)
    if ended.outcome is GenerationOutcome.CRASHED and closed_at >= ended.time_seconds:
        history.add(
            ExecutionAborted(time_seconds=ended.time_seconds, execution_id=ended.attempt_id)
        )
    else:
        finished_at = min(closed_at, ended.time_seconds)
        history.add(
            ExecutionFinished(time_seconds=finished_at, execution_id=ended.attempt_id, answer=b"")
        )


def _add_application(history: History, application: ApplicationModel) -> None:
    for number, record in enumerate(application.log.records()):
        if not isinstance(record, ApplicationExecuted):
            continue
        execution_id = f"{application.backend_id}#{number}"
        history.add(
            ExecutionStarted(
                time_seconds=record.time_seconds,
                execution_id=execution_id,
                backend_id=application.backend_id,
                operation_id=record.article,
            )
        )
        history.add(
            ExecutionFinished(
                time_seconds=record.time_seconds,
                execution_id=execution_id,
                answer=record.answer_digest.encode(),
            )
        )


class _Commit(msgspec.Struct, frozen=True, kw_only=True):
    """One committed resource change in the key-value service's log."""

    time_seconds: float
    key: str
    revision: Revision
    operation_id: str


def _iterate_writes(platform: SimulatedPlatform) -> Iterator[tuple[LoggedChange, KeyValue]]:
    """Yield every committed write with its change."""
    for entry in platform.key_value.log:
        if isinstance(entry, LoggedChange):
            for event in entry.events:
                if event.item is not None:
                    yield entry, event.item


def _read_commits(platform: SimulatedPlatform) -> list[_Commit]:
    commits = []
    for change, item in _iterate_writes(platform):
        if not _is_resource(item.key):
            continue
        stored = msgspec.msgpack.decode(item.value, type=StoredRecord)
        commits.append(
            _Commit(
                time_seconds=change.at_seconds,
                key=item.key,
                revision=change.revision,
                operation_id=stored.operation_id,
            )
        )
    return commits


def _add_replica_sets(history: History, platform: SimulatedPlatform) -> None:
    for change, item in _iterate_writes(platform):
        if item.key == REPLICA_SET_KEY:
            committed = msgspec.msgpack.decode(item.value, type=ReplicaSet)
            history.add(
                ReplicaSetCommitted(
                    time_seconds=change.at_seconds,
                    members=committed.members,
                    previous=committed.previous,
                )
            )


def _is_resource(key: str) -> bool:
    return key.startswith(RESOURCE_PREFIX) and key != REPLICA_SET_KEY


def _add_commits(history: History, commits: list[_Commit]) -> None:
    for commit in commits:
        execution_id = f"{CONFIGURATION_BACKEND}#{commit.revision}"
        history.add(
            ExecutionStarted(
                time_seconds=commit.time_seconds,
                execution_id=execution_id,
                backend_id=CONFIGURATION_BACKEND,
                operation_id=commit.operation_id,
            )
        )
        history.add(
            ExecutionFinished(
                time_seconds=commit.time_seconds,
                execution_id=execution_id,
                answer=commit.operation_id.encode(),
            )
        )


def _add_register_operations(
    history: History, commits: list[_Commit], changes: list[AttemptedChange]
) -> None:
    """Add the attempted compare-and-sets, and the first write and a final read of each key.

    The id of the writing operation stands for the value of a key.
    """
    writers = {(commit.key, commit.revision): commit.operation_id for commit in commits}
    for change in changes:
        key = resource_key("Route", change.route)
        history.add(
            RegisterOperation(
                time_seconds=change.invoked_seconds,
                key=key,
                kind=RegisterOperationKind.COMPARE_AND_SET,
                returned_seconds=change.returned_seconds,
                value=change.operation_id,
                expected=writers.get((key, change.expected_revision)),
            )
        )
    _add_first_and_last_values(history, commits)


def _add_first_and_last_values(history: History, commits: list[_Commit]) -> None:
    end = history.end_seconds()
    first: dict[str, _Commit] = {}
    last: dict[str, _Commit] = {}
    for commit in commits:
        first.setdefault(commit.key, commit)
        last[commit.key] = commit
    for key, commit in first.items():
        history.add(
            _register_operation(RegisterOperationKind.WRITE, key, commit.time_seconds, commit)
        )
        history.add(_register_operation(RegisterOperationKind.READ, key, end, last[key]))


def _register_operation(
    kind: RegisterOperationKind, key: str, time_seconds: float, commit: _Commit
) -> RegisterOperation:
    return RegisterOperation(
        time_seconds=time_seconds,
        key=key,
        kind=kind,
        returned_seconds=time_seconds,
        value=commit.operation_id,
    )
