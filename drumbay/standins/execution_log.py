"""Execution logs: what an emulator truly did, whatever it answered.

The proofs read these records. Each is appended at the moment of the effect.
"""

import itertools
from collections import deque
from enum import StrEnum

import msgspec

from drumbay.identifiers import AttemptId, BackendId, BootId, Fence, SampleId, WeightVersion


class ExecutionRecord(msgspec.Struct, frozen=True, kw_only=True, tag=True, tag_field="record"):
    """Base class of log records.

    Attributes:
        time_seconds: Monotonic clock of the emulator.
        source: Name of the emulator.
    """

    time_seconds: float
    source: str


class GenerationAccepted(ExecutionRecord, frozen=True, kw_only=True):
    """An engine took a request into its queue; from here on it may run."""

    boot_id: BootId
    attempt_id: AttemptId
    requested_version: WeightVersion | None


class GenerationRefused(ExecutionRecord, frozen=True, kw_only=True):
    """An engine refused a request without running it."""

    boot_id: BootId
    attempt_id: AttemptId
    reason: str


class GenerationOutcome(StrEnum):
    """How a generation truly ended on the engine."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    TRUNCATED = "truncated"
    MODEL_CHANGED = "model_changed"


class VersionSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens produced by one weight version."""

    weight_version: WeightVersion
    first_index: int
    count: int


class GenerationEnded(ExecutionRecord, frozen=True, kw_only=True):
    """A generation ended.

    Attributes:
        boot_id: Run of the engine process.
        attempt_id: The attempt.
        outcome: How it ended.
        spans: Versions that truly produced the tokens, in order of index.
        digest: Hash of the produced tokens, without the resumed ones.
        started_at_seconds: When the first prefill began; ``None`` if it never left the queue.
    """

    boot_id: BootId
    attempt_id: AttemptId
    outcome: GenerationOutcome
    spans: tuple[VersionSpan, ...]
    digest: str
    started_at_seconds: float | None


class OrderOutcome(StrEnum):
    """What a fenced order truly did."""

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
    """An emulated process died."""

    boot_id: BootId


class ApplicationExecuted(ExecutionRecord, frozen=True, kw_only=True):
    """An application server ran a request; one record for each execution."""

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
    """A reader got the whole weights of a version."""

    model: str
    weight_version: WeightVersion
    reader: BackendId


class SampleConsumed(ExecutionRecord, frozen=True, kw_only=True):
    """A trainer consumed one sample.

    Attributes:
        step: Training step the sample went into.
        cursor: Position of the sample in the stream.
        sample_id: The sample.
        weight_versions: Versions the sample names.
        trainer_version: Version of the trainer when it consumed the sample.
        oldest_accepted_version: Bound that the trainer had stated.
        trainer_run: Number of the trainer's run; a restart begins another.
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
"""Every record, for decoding a log that was fetched over HTTP."""


class ExecutionLogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Part of a log.

    Attributes:
        first: Number of the first record returned.
        total: Records ever appended.
        records: The records.
    """

    first: int
    total: int
    records: tuple[AnyExecutionRecord, ...]


DEFAULT_CAPACITY_RECORDS = 1_000_000


class ExecutionLog:
    """An append-only log of bounded size.

    NOTE: a proof must see every record. It compares ``total`` with what it read, and a
    reader that asks for records that were already dropped gets a page that starts later.
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
        """Return every record still held, oldest first."""
        return tuple(self._records)

    def page(self, first: int, count: int) -> ExecutionLogPage:
        """Return at most ``count`` records from number ``first`` on."""
        dropped = self._total - len(self._records)
        start = max(first, dropped)
        offset = start - dropped
        chosen = tuple(itertools.islice(self._records, offset, offset + count))
        return ExecutionLogPage(first=start, total=self._total, records=chosen)
