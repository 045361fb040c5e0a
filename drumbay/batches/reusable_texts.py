"""Decides which texts of an ended batch job a later one can use. No I/O."""

from drumbay.batches.records import BatchSpec, ItemResult, PartialText, ResultState
from drumbay.identifiers import WeightVersion


def next_minimum_version(
    spec: BatchSpec, version_at_start: WeightVersion, newest_version: WeightVersion
) -> WeightVersion:
    """Return the oldest version that the trainer's next batch job will accept.

    The next job is expected to follow the next version, with the same lag between newest and
    minimum version. If no version was known at the start, the minimum is assumed to increase by
    one.
    """
    lag = version_at_start - spec.minimum_version
    if lag < 0:
        return WeightVersion(spec.minimum_version + 1)
    return WeightVersion(newest_version + 1 - lag)


def finished_text(result: ItemResult | None, minimum_version: WeightVersion) -> PartialText | None:
    """Return the text of a finished item if it satisfies a minimum version."""
    if result is None or result.state is not ResultState.DONE:
        return None
    if min(result.versions) < minimum_version:
        return None
    return PartialText(
        item_id=result.item_id,
        texts=(result.text,),
        last_number=0,
        versions=result.versions,
        complete=True,
        reward=result.reward,
    )
