"""Batches of finished samples, and the rule that composes them."""

from collections.abc import Iterable

import msgspec

from drumbay.identifiers import Cursor, StreamName, WeightVersion
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleKey

MAX_BATCH_BYTES = 2 * 1024 * 1024
"""A batch travels in one frame to each replica; frames are limited to 4 MiB."""


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """The samples at one cursor of a stream; fixed durably before it is handed out.

    Attributes:
        stream: The sample stream.
        cursor: Position of the batch in the stream.
        oldest_accepted_version: Oldest version that the trainer accepted at the first pull.
        samples: The samples; every token is of that version or a newer one.
    """

    stream: StreamName
    cursor: Cursor
    oldest_accepted_version: WeightVersion
    samples: tuple[Sample, ...]

    @property
    def oldest_version(self) -> WeightVersion:
        """Return the oldest version that produced a token of the batch."""
        return min(sample.oldest_version for sample in self.samples)


class OutstandingSample(msgspec.Struct, frozen=True, kw_only=True):
    """A sample that a trainer asked for and that is in no batch yet."""

    key: SampleKey
    prompt: RolloutPrompt


def is_fresh(sample: Sample, oldest_accepted: WeightVersion) -> bool:
    """Return whether every token of a sample is inside the accepted versions."""
    return sample.oldest_version >= oldest_accepted


def select_samples(
    ready: Iterable[Sample],
    oldest_accepted: WeightVersion,
    max_samples: int,
    max_bytes: int = MAX_BATCH_BYTES,
) -> tuple[Sample, ...]:
    """Return the samples of the next batch: fresh ones, earliest step first.

    Args:
        ready: Finished samples.
        oldest_accepted: Oldest version that the trainer accepts.
        max_samples: Most samples.
        max_bytes: Most bytes once encoded; a single larger sample is taken alone.
    """
    fresh = [sample for sample in ready if is_fresh(sample, oldest_accepted)]
    fresh.sort(key=lambda sample: sample.key)
    selected: list[Sample] = []
    total_bytes = 0
    for sample in fresh[:max_samples]:
        total_bytes += len(msgspec.msgpack.encode(sample))
        if selected and total_bytes > max_bytes:
            break
        selected.append(sample)
    return tuple(selected)
