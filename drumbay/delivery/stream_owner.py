"""The state machine of the owner of one stream; it does no input or output.

The owner proposes one entry at a time. An entry whose outcome is unknown must be proposed again,
unchanged, before the next one: with one ballot, a position has only one value.
"""

from collections.abc import Iterable

import msgspec

from drumbay.delivery.batch import Batch, OutstandingSample, is_fresh, select_samples
from drumbay.delivery.exceptions import (
    CursorAheadError,
    CursorTrimmedError,
    NothingReadyError,
    StaleBatchError,
    StepOutOfOrderError,
)
from drumbay.delivery.log_entries import (
    BatchFixed,
    BatchRefused,
    LogEntry,
    StepSubmitted,
    StreamSnapshot,
)
from drumbay.delivery.messages import Ballot
from drumbay.delivery.stream_state import StreamState
from drumbay.identifiers import Cursor, StreamName, WeightVersion
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleKey

DEFAULT_TRIM_MARGIN = 8
"""Batches kept below the checkpointed cursor, for a restart from an older checkpoint."""


class DeliverBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm the ballot with a majority, then deliver a batch that was chosen before."""

    batch: Batch


class FixBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Get the entry accepted by a majority, then deliver its batch."""

    entry: BatchFixed


class RefuseBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Get the entry accepted by a majority, then raise :class:`StaleBatchError`."""

    entry: BatchRefused


PullDecision = DeliverBatch | FixBatch | RefuseBatch


class Trim(msgspec.Struct, frozen=True, kw_only=True):
    """Replace the entries below the snapshot's position on the replicas."""

    snapshot: StreamSnapshot


class StreamOwner:
    """State of the owner of a stream."""

    def __init__(
        self,
        stream: StreamName,
        ballot: Ballot,
        snapshot: StreamSnapshot,
        *,
        trim_margin: int = DEFAULT_TRIM_MARGIN,
        max_open_steps: int | None = None,
    ) -> None:
        """Create an owner at a recovered snapshot; ``apply_chosen`` applies the entries after it.

        Args:
            stream: The sample stream.
            ballot: Ballot of this owner.
            snapshot: Start of the recovered log.
            trim_margin: Batches kept below the trainer's checkpointed cursor.
            max_open_steps: How many of the newest steps may have unfinished samples when
                a batch is composed; ``None`` for any number. It bounds how long a slow
                sample is delayed in favor of faster ones of later steps.
        """
        self.stream = stream
        self.ballot = ballot
        self.state = StreamState(snapshot)
        self.ready: dict[SampleKey, Sample] = {}
        self.unresolved: LogEntry | None = None
        # NOTE: a snapshot must match the exact position of a trim, so the owner keeps the state
        # at the last trim and the entries chosen since.
        self._trimmed_state = StreamState(snapshot)
        self._entries_since_trim: list[LogEntry] = []
        self._trim_margin = trim_margin
        self._max_open_steps = max_open_steps

    def apply_chosen(self, entry: LogEntry) -> None:
        """Apply an entry that a majority accepted at the next position."""
        self.unresolved = None
        self.state.apply(entry)
        self._entries_since_trim.append(entry)
        for key in [key for key in self.ready if key not in self.state.outstanding]:
            del self.ready[key]

    def add_sample(self, sample: Sample) -> bool:
        """Keep a finished sample until it is added to a batch.

        Returns:
            ``False`` if the sample was delivered, replaced or added before.
        """
        if sample.key not in self.state.outstanding or sample.key in self.ready:
            return False
        self.ready[sample.key] = sample
        return True

    def missing(self) -> tuple[OutstandingSample, ...]:
        """Return the samples that must still be generated, earliest step first."""
        wanted = sorted(key for key in self.state.outstanding if key not in self.ready)
        return tuple(self.state.outstanding[key] for key in wanted)

    def drop_stale(self, oldest_accepted: WeightVersion) -> tuple[SampleKey, ...]:
        """Drop finished samples that are too old for a batch; they must be generated again."""
        oldest_allowed = max(oldest_accepted, self.state.oldest_accepted_version)
        stale = [key for key, sample in self.ready.items() if not is_fresh(sample, oldest_allowed)]
        for key in stale:
            del self.ready[key]
        return tuple(stale)

    def decide_submit(self, step: int, prompts: Iterable[RolloutPrompt]) -> StepSubmitted | None:
        """Return the entry for a step, or ``None`` if the step was submitted before.

        Raises:
            StepOutOfOrderError: An earlier step was not submitted.
        """
        if step < self.state.next_step:
            return None
        if step > self.state.next_step:
            raise StepOutOfOrderError(f"step {step}, expected {self.state.next_step}")
        return StepSubmitted(step=step, prompts=tuple(prompts))

    def decide_pull(
        self,
        cursor: Cursor,
        max_samples: int,
        oldest_accepted: WeightVersion,
        *,
        min_samples: int = 1,
    ) -> PullDecision:
        """Return how to serve a pull of the batch at a cursor.

        Raises:
            StaleBatchError: The batch was refused before.
            CursorTrimmedError: The batch was deleted.
            CursorAheadError: An earlier batch does not exist yet.
            NothingReadyError: Fewer than ``min_samples`` fresh samples are ready.
        """
        if cursor < self.state.first_cursor:
            raise CursorTrimmedError(f"cursor {cursor}, first kept {self.state.first_cursor}")
        if cursor > self.state.next_cursor:
            raise CursorAheadError(f"cursor {cursor}, next is {self.state.next_cursor}")
        if cursor < self.state.next_cursor:
            return self._decide_repeated(cursor, oldest_accepted)
        return self._decide_first(cursor, max_samples, oldest_accepted, min_samples)

    def _decide_repeated(self, cursor: Cursor, oldest_accepted: WeightVersion) -> PullDecision:
        if cursor in self.state.refused:
            raise StaleBatchError(f"batch {cursor} was refused")
        batch = self.state.batches[cursor]
        if batch.oldest_version >= oldest_accepted:
            return DeliverBatch(batch=batch)
        replacements = [
            OutstandingSample(key=sample.key.next_reroll(), prompt=sample.prompt)
            for sample in batch.samples
        ]
        entry = BatchRefused(
            cursor=cursor,
            oldest_accepted_version=oldest_accepted,
            replacements=tuple(replacements),
        )
        return RefuseBatch(entry=entry)

    def _decide_first(
        self,
        cursor: Cursor,
        max_samples: int,
        oldest_accepted: WeightVersion,
        min_samples: int,
    ) -> FixBatch:
        oldest_allowed = max(oldest_accepted, self.state.oldest_accepted_version)
        samples = select_samples(self.ready.values(), oldest_allowed, max_samples)
        if len(samples) < max(1, min_samples):
            raise NothingReadyError(f"{len(samples)} fresh samples, {min_samples} wanted")
        overdue = self._overdue_count(oldest_allowed)
        if overdue:
            raise NothingReadyError(f"{overdue} samples of an overdue step are not ready")
        batch = Batch(
            stream=self.stream,
            cursor=cursor,
            oldest_accepted_version=oldest_allowed,
            samples=samples,
        )
        return FixBatch(entry=BatchFixed(batch=batch))

    def _overdue_count(self, oldest_allowed: WeightVersion) -> int:
        """Return the number of unfinished samples of steps older than the open steps."""
        if self._max_open_steps is None:
            return 0
        first_open_step = self.state.next_step - self._max_open_steps
        overdue = [key for key in self.state.outstanding if key.step < first_open_step]
        return sum(
            1
            for key in overdue
            if key not in self.ready or not is_fresh(self.ready[key], oldest_allowed)
        )

    def decide_trim(self, checkpointed: Cursor) -> Trim | None:
        """Return the trim after the trainer checkpointed a cursor, or ``None``.

        Batches from ``checkpointed - trim_margin`` on are kept.
        """
        first_kept = Cursor(min(checkpointed, self.state.next_cursor) - self._trim_margin)
        if first_kept <= self.state.first_cursor:
            return None
        below_position = self.state.batch_positions[first_kept]
        count = below_position - self._trimmed_state.next_position
        for entry in self._entries_since_trim[:count]:
            self._trimmed_state.apply(entry)
        del self._entries_since_trim[:count]
        self._trimmed_state.drop_below(first_kept)
        self.state.drop_below(first_kept)
        return Trim(snapshot=self._trimmed_state.snapshot())
