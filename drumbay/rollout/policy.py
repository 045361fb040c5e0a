"""Parameters of the rollout scheduler, derived from the configured objective."""

import msgspec

from drumbay.resources.schema import RolloutObjective

DEFERRED_QUANTILE = 0.85
"""Share of the samples that wait for newer weights under the staleness objective."""


class SchedulingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Order, placement and moves of rollouts.

    Attributes:
        longest_first: Within a step, start the samples with the most expected tokens first.
        prioritize_last: Raise the priority of the last samples of the earliest step.
        defer_below_quantile: Until the weights for a step are published, start only those of its
            samples whose expected length is at least this quantile of recent lengths. 0 starts
            all samples.
        last_share: Share of a step that counts as its last samples.
        move_long: Move a running sample to a less loaded engine when no sample is queued.
        move_cost_seconds: Cost of a move; a move must save more time than that.
        keep_partial: Keep the accepted tokens of an interrupted sample.
        newest_version_first: Prefer the newest weights over the least loaded engine.
        load_wait_seconds: With ``newest_version_first``, how long after a version is published
            no sample starts on engines that have not loaded it.
        avoid_expiry: Do not start a sample that is expected to become too stale while
            another engine serves, or is about to serve, newer weights.
    """

    longest_first: bool
    prioritize_last: bool
    move_long: bool
    keep_partial: bool
    newest_version_first: bool
    avoid_expiry: bool
    defer_below_quantile: float = 0.0
    load_wait_seconds: float = 15.0
    last_share: float = 0.25
    move_cost_seconds: float = 1.0


BASELINE_POLICY = SchedulingPolicy(
    longest_first=False,
    prioritize_last=False,
    move_long=False,
    keep_partial=False,
    newest_version_first=False,
    avoid_expiry=False,
)
"""First come, first served on the least loaded engine; baseline of the benchmark."""


def policy_for(objective: RolloutObjective) -> SchedulingPolicy:
    """Return the policy for an objective."""
    minimizes_staleness = objective is RolloutObjective.STALENESS
    return SchedulingPolicy(
        longest_first=True,
        prioritize_last=True,
        move_long=True,
        keep_partial=True,
        newest_version_first=minimizes_staleness,
        avoid_expiry=True,
        defer_below_quantile=DEFERRED_QUANTILE if minimizes_staleness else 0.0,
    )
