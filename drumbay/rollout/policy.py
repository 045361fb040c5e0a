"""Parameters of the rollout scheduler, and their choice from a deployment's objective."""

import msgspec

from drumbay.resources.schema import RolloutObjective

HELD_QUANTILE = 0.85
"""Share of samples that wait for newer weights where staleness is weighed more."""


class SchedulingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How rollouts are ordered, placed and moved.

    Attributes:
        longest_first: Within a step, start the samples that are expected to be longest.
        prioritise_last: Raise the priority of the last samples of the earliest step.
        hold_below_quantile: Before the weights of a step's turn are published, its samples
            start only if they are expected to be longer than this quantile of recent ones;
            the others wait for those weights. 0 starts all of them.
        last_share: Share of a step that counts as its last samples.
        move_long: Move a running sample to an emptier engine when nothing waits.
        move_cost_seconds: Time that a move costs; it must gain more than that.
        keep_partial: Keep the tokens of an interrupted sample, if they are accepted.
        newest_version_first: Prefer the newest weights to the emptiest engine.
        load_wait_seconds: With ``newest_version_first``, how long after a publication nothing
            starts on engines that have not loaded it yet.
        avoid_expiry: Do not start a sample that is expected to end too old while
            another engine serves, or is about to serve, newer weights.
    """

    longest_first: bool
    prioritise_last: bool
    move_long: bool
    keep_partial: bool
    newest_version_first: bool
    avoid_expiry: bool
    hold_below_quantile: float = 0.0
    load_wait_seconds: float = 15.0
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
        hold_below_quantile=HELD_QUANTILE if weighs_staleness else 0.0,
    )
