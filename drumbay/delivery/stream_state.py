"""State of a stream after its chosen log entries were applied in order."""

from drumbay.delivery.batch import Batch, OutstandingSample
from drumbay.delivery.exceptions import LogInvariantError
from drumbay.delivery.log_entries import (
    BatchFixed,
    BatchRefused,
    LogEntry,
    StepSubmitted,
    StreamSnapshot,
)
from drumbay.identifiers import Cursor, WeightVersion
from drumbay.rollout.sample import SampleKey


class StreamState:
    """Deterministic state machine of the replicated log."""

    def __init__(self, snapshot: StreamSnapshot | None = None) -> None:
        """Start from a snapshot, or from the empty stream."""
        initial = StreamSnapshot() if snapshot is None else snapshot
        self.next_position = initial.next_position
        self.next_cursor = initial.next_cursor
        self.first_cursor = initial.next_cursor
        self.next_step = initial.next_step
        self.oldest_accepted_version = initial.oldest_accepted_version
        self.outstanding = {sample.key: sample for sample in initial.outstanding}
        self.batches: dict[Cursor, Batch] = {}
        self.batch_positions: dict[Cursor, int] = {}
        # NOTE: counted since the snapshot, so only differences are meaningful.
        self.delivered_samples = 0
        self.refused: dict[Cursor, None] = dict.fromkeys(initial.refused)

    def apply(self, entry: LogEntry) -> None:
        """Apply the entry at ``next_position``.

        Raises:
            LogInvariantError: The entry does not continue the stream.
        """
        match entry:
            case StepSubmitted():
                self._apply_step(entry)
            case BatchFixed():
                self._apply_batch(entry)
            case BatchRefused():
                self._apply_refusal(entry)
        self.next_position += 1

    def _apply_step(self, entry: StepSubmitted) -> None:
        for index, prompt in enumerate(entry.prompts):
            key = SampleKey(entry.step, index)
            self.outstanding[key] = OutstandingSample(key=key, prompt=prompt)
        self.next_step = entry.step + 1

    def _apply_batch(self, entry: BatchFixed) -> None:
        batch = entry.batch
        if batch.cursor != self.next_cursor:
            raise LogInvariantError(f"batch {batch.cursor} chosen after {self.next_cursor}")
        for sample in batch.samples:
            self.outstanding.pop(sample.key, None)
        self.delivered_samples += len(batch.samples)
        self.batches[batch.cursor] = batch
        self.batch_positions[batch.cursor] = self.next_position
        self.next_cursor = Cursor(batch.cursor + 1)
        self._raise_oldest_accepted_version(batch.oldest_accepted_version)

    def _apply_refusal(self, entry: BatchRefused) -> None:
        self.refused[entry.cursor] = None
        for replacement in entry.replacements:
            self.outstanding[replacement.key] = replacement
        self._raise_oldest_accepted_version(entry.oldest_accepted_version)

    def _raise_oldest_accepted_version(self, version: WeightVersion) -> None:
        self.oldest_accepted_version = max(self.oldest_accepted_version, version)

    def snapshot(self) -> StreamSnapshot:
        """Return the state below ``next_position``, without the contents of batches."""
        return StreamSnapshot(
            next_position=self.next_position,
            next_cursor=self.next_cursor,
            next_step=self.next_step,
            oldest_accepted_version=self.oldest_accepted_version,
            outstanding=tuple(self.outstanding[key] for key in sorted(self.outstanding)),
            refused=tuple(self.refused),
        )

    def drop_below(self, cursor: Cursor) -> None:
        """Drop the batches and refusals below a trimmed cursor."""
        self.first_cursor = max(self.first_cursor, cursor)
        for outdated in [outdated for outdated in self.batches if outdated < cursor]:
            del self.batches[outdated]
            del self.batch_positions[outdated]
        for outdated in [outdated for outdated in self.refused if outdated < cursor]:
            del self.refused[outdated]
