"""Parameters of the rollout scheduler, and their choice from a deployment's objective."""

import msgspec

from drumbay.resources.schema import RolloutObjective


class SchedulingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How rollouts are ordered, placed and moved.

    Attributes:
        longest_first: Within a step, start the samples that are expected to be longest.
        prioritise_last: Raise the priority of the last samples of the earliest step.
        last_share: Share of a step that counts as its last samples.
        move_long: Move a running sample to an emptier engine when nothing waits.
        move_cost_seconds: Time that a move costs; it must gain more than that.
        keep_partial: Keep the tokens of an interrupted sample, if they are accepted.
        newest_version_first: Prefer the newest weights to the emptiest engine.
        avoid_expiry: Do not start a sample that is expected to end too old while
            another engine serves, or is about to serve, newer weights.
    """

    longest_first: bool
    prioritise_last: bool
    move_long: bool
    keep_partial: bool
    newest_version_first: bool
    avoid_expiry: bool
    last_share: float = 0.25
    move_cost_seconds: float = 1.0


BASELINE_POLICY = SchedulingPolicy(
    longest_first=False,
    prioritise_last=False,
    move_long=False,
    keep_partial=False,
    newest_version_first=False,
    avoid_expiry=False,
)
"""First come, least loaded: what the benchmark compares with."""


def policy_for(objective: RolloutObjective) -> SchedulingPolicy:
    """Return the policy of a deployment."""
    weighs_staleness = objective is RolloutObjective.STALENESS
    return SchedulingPolicy(
        longest_first=True,
        prioritise_last=True,
        move_long=True,
        keep_partial=True,
        newest_version_first=weighs_staleness,
        avoid_expiry=True,
    )
