"""Which version a rollout leads to. Pure."""

from collections.abc import Iterable, Sequence

from drumbay.identifiers import WeightVersion
from drumbay.weights.events import Withdrawal


def is_withdrawn(version: WeightVersion, withdrawals: Sequence[Withdrawal]) -> bool:
    """Tell whether an operator's rollback withdrew a version."""
    return any(one.keep < version <= one.through for one in withdrawals)


def target_version(
    published: Iterable[WeightVersion], withdrawals: Sequence[Withdrawal]
) -> WeightVersion | None:
    """Return the newest version that is published and not withdrawn.

    The target depends on the published versions and the configuration alone. Every owner
    comes to the same one, whoever owned the rollout before and whatever it had done; a
    version leads back only if an operator withdrew those above it, and a version published
    later leads forward again.
    """
    allowed = [version for version in published if not is_withdrawn(version, withdrawals)]
    return max(allowed, default=None)
