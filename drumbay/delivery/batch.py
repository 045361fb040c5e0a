"""Batches of finished samples, and the selection of their samples."""

from collections.abc import Iterable

import msgspec

from drumbay.identifiers import Cursor, StreamName, WeightVersion
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleKey

MAX_BATCH_BYTES = 2 * 1024 * 1024
"""A batch is sent to each replica in one frame, which is limited to 4 MiB."""


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """The samples at one cursor of a stream, durable before they are delivered.

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
    """A sample that a trainer requested and that is not in a batch yet."""

    key: SampleKey
    prompt: RolloutPrompt


def is_fresh(sample: Sample, oldest_accepted: WeightVersion) -> bool:
    """Return whether every token of a sample has an accepted version."""
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
        max_samples: Maximum number of samples.
        max_bytes: Maximum encoded size; a larger sample is returned alone.
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
