"""Execution logs: the effects of an emulator, independent of its responses.

A record is appended when the effect happens. Tests compare the logs with what clients saw.
"""

import itertools
from collections import deque
from enum import StrEnum

import msgspec

from drumbay.identifiers import AttemptId, BackendId, BootId, Fence, SampleId, WeightVersion


class ExecutionRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True, tag_field="record"):
    """Base class of execution log records.

    Attributes:
        time_seconds: Monotonic clock of the emulator.
        source: Name of the emulator.
    """

    time_seconds: float
    source: str


class GenerationAccepted(ExecutionRecord, frozen=True, kw_only=True):
    """An engine added a request to its queue; it may run from then on."""

    boot_id: BootId
    attempt_id: AttemptId
    requested_version: WeightVersion | None


class GenerationRefused(ExecutionRecord, frozen=True, kw_only=True):
    """An engine refused a request without running it."""

    boot_id: BootId
    attempt_id: AttemptId
    reason: str


class GenerationOutcome(StrEnum):
    """How a generation ended on the engine."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    TRUNCATED = "truncated"
    MODEL_CHANGED = "model_changed"


class VersionSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Range of consecutive tokens produced by one weight version."""

    weight_version: WeightVersion
    first_index: int
    count: int


class GenerationEnded(ExecutionRecord, frozen=True, kw_only=True):
    """A generation ended.

    Attributes:
        boot_id: Identity of the engine process.
        attempt_id: The attempt.
        outcome: How it ended.
        spans: Versions that produced the tokens, in order of index.
        digest: Hash of the generated tokens, without the resumed ones.
        started_at_seconds: Start of the prefill; ``None`` if it never left the queue.
    """

    boot_id: BootId
    attempt_id: AttemptId
    outcome: GenerationOutcome
    spans: tuple[VersionSpan, ...]
    digest: str
    started_at_seconds: float | None


class OrderOutcome(StrEnum):
    """Effect of a fenced order."""

    DONE = "done"
    STALE_FENCE = "stale_fence"
    FAILED = "failed"
    FAILED_ACKNOWLEDGED = "failed_acknowledged"


class OrderHandled(ExecutionRecord, frozen=True, kw_only=True):
    """An engine handled a fenced order."""

    boot_id: BootId
    fence: Fence
    kind: str
    weight_version: WeightVersion | None
    outcome: OrderOutcome


class ProcessStarted(ExecutionRecord, frozen=True, kw_only=True):
    """An emulated process started or restarted."""

    boot_id: BootId


class ProcessCrashed(ExecutionRecord, frozen=True, kw_only=True):
    """An emulated process crashed."""

    boot_id: BootId


class ApplicationExecuted(ExecutionRecord, frozen=True, kw_only=True):
    """An application server executed a request; one record per execution."""

    boot_id: BootId
    attempt_id: AttemptId
    idempotency_key: str | None
    operation: str
    article: str
    answer_digest: str


class ApplicationRefused(ExecutionRecord, frozen=True, kw_only=True):
    """An application server refused a request without running it."""

    boot_id: BootId
    attempt_id: AttemptId
    idempotency_key: str | None
    reason: str


class ScoringExecuted(ExecutionRecord, frozen=True, kw_only=True):
    """A scoring service scored one completion."""

    boot_id: BootId
    attempt_id: AttemptId
    score: float


class VersionPublished(ExecutionRecord, frozen=True, kw_only=True):
    """A weight version became available in the weight store."""

    model: str
    weight_version: WeightVersion


class WeightsFetched(ExecutionRecord, frozen=True, kw_only=True):
    """A reader received the complete weights of a version."""

    model: str
    weight_version: WeightVersion
    reader: BackendId


class SampleConsumed(ExecutionRecord, frozen=True, kw_only=True):
    """A trainer consumed one sample.

    Attributes:
        step: Training step that used the sample.
        cursor: Position of the sample in the stream.
        sample_id: The sample.
        weight_versions: Versions that generated the sample, as the sample states them.
        trainer_version: Version of the trainer when it consumed the sample.
        oldest_accepted_version: Staleness bound that the trainer had set.
        trainer_run: Run number of the trainer; each restart increments it.
    """

    step: int
    cursor: int
    sample_id: SampleId
    weight_versions: tuple[WeightVersion, ...]
    trainer_version: WeightVersion
    oldest_accepted_version: WeightVersion
    trainer_run: int


class StepFinished(ExecutionRecord, frozen=True, kw_only=True):
    """A trainer finished a step and published a version."""

    step: int
    weight_version: WeightVersion
    idle_seconds: float
    busy_seconds: float
    trainer_run: int


class TrainerRestarted(ExecutionRecord, frozen=True, kw_only=True):
    """A trainer restarted from a checkpoint."""

    step: int
    cursor: int
    trainer_run: int


AnyExecutionRecord = (
    GenerationAccepted
    | GenerationRefused
    | GenerationEnded
    | OrderHandled
    | ProcessStarted
    | ProcessCrashed
    | ApplicationExecuted
    | ApplicationRefused
    | ScoringExecuted
    | VersionPublished
    | WeightsFetched
    | SampleConsumed
    | StepFinished
    | TrainerRestarted
)
"""Union of all records, for decoding a log fetched over HTTP."""


class ExecutionLogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Page of an execution log.

    Attributes:
        first: Index of the first record of the page.
        total: Number of records appended so far, including dropped ones.
        records: Records of the page.
    """

    first: int
    total: int
    records: tuple[AnyExecutionRecord, ...]


DEFAULT_CAPACITY_RECORDS = 1_000_000


class ExecutionLog:
    """An append-only log of bounded size.

    The oldest records are dropped when the log is full. A reader detects missing records by a
    page that starts after the requested index, or by comparing ``total`` with its own count.
    """

    def __init__(self, capacity_records: int = DEFAULT_CAPACITY_RECORDS) -> None:
        """Create an empty log."""
        self._records: deque[AnyExecutionRecord] = deque(maxlen=capacity_records)
        self._total = 0

    def append(self, record: AnyExecutionRecord) -> None:
        """Add a record."""
        self._records.append(record)
        self._total += 1

    def records(self) -> tuple[AnyExecutionRecord, ...]:
        """Return the records that were not dropped, oldest first."""
        return tuple(self._records)

    def page(self, first: int, count: int) -> ExecutionLogPage:
        """Return at most ``count`` records starting at index ``first``."""
        dropped = self._total - len(self._records)
        start = max(first, dropped)
        offset = start - dropped
        page_records = tuple(itertools.islice(self._records, offset, offset + count))
        return ExecutionLogPage(first=start, total=self._total, records=page_records)
