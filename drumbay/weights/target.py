"""Determines the target version of a rollout; pure functions."""

from collections.abc import Iterable, Sequence

from drumbay.identifiers import WeightVersion
from drumbay.weights.events import Withdrawal


def is_withdrawn(version: WeightVersion, withdrawals: Sequence[Withdrawal]) -> bool:
    """Return whether an operator's rollback withdrew a version."""
    return any(withdrawal.keep < version <= withdrawal.through for withdrawal in withdrawals)


def target_version(
    published: Iterable[WeightVersion], withdrawals: Sequence[Withdrawal]
) -> WeightVersion | None:
    """Return the newest version that is published and not withdrawn.

    The target depends only on the published versions and the configuration, so successive
    owners agree on it. It moves back only when an operator withdraws the newer versions.
    """
    allowed = [version for version in published if not is_withdrawn(version, withdrawals)]
    return max(allowed, default=None)
