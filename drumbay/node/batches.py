"""Converts batches to the HTTP responses that trainers receive."""

from drumbay.api.schema import BatchBody, DeliveredSample
from drumbay.delivery.batch import Batch
from drumbay.node.stream_messages import PullRequest
from drumbay.rollout.sample import Sample


def batch_body(batch: Batch) -> BatchBody:
    """Return the response to a pull that has a batch."""
    return BatchBody(
        stream=batch.stream,
        cursor=batch.cursor,
        next_cursor=batch.cursor + 1,
        oldest_version=batch.oldest_version,
        samples=tuple(_delivered_sample(batch, sample) for sample in batch.samples),
    )


def empty_batch_body(request: PullRequest) -> BatchBody:
    """Return the response to a pull while no sample is ready."""
    return BatchBody(
        stream=request.stream,
        cursor=request.cursor,
        next_cursor=request.cursor,
        oldest_version=request.oldest_version,
    )


def _delivered_sample(batch: Batch, sample: Sample) -> DeliveredSample:
    versions = dict.fromkeys(span.weight_version for span in sample.spans)
    return DeliveredSample(
        sample_id=sample.key.sample_id(batch.stream),
        cursor=batch.cursor,
        weight_versions=tuple(versions),
        step=sample.key.step,
        index=sample.key.index,
        prompt=sample.prompt.text,
        text=sample.text,
        token_ids=sample.token_ids,
        spans=sample.spans,
    )
