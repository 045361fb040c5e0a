"""Caches which engines each weight policy selects."""

import msgspec

from drumbay.backends.interface import BackendAddress
from drumbay.resources.schema import WeightPolicy
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.selectors import compile_selector


class _CachedSelection(msgspec.Struct, frozen=True, kw_only=True):
    """Engines selected for a policy at a revision of the directory."""

    policy: WeightPolicy
    revision: int
    engines: tuple[BackendAddress, ...]


class PolicyEngines:
    """Evaluates the selectors of weight policies, and caches the result until an input changes.

    Args:
        directory: The backends known to this node.
    """

    def __init__(self, directory: BackendDirectory) -> None:
        """Create an empty cache."""
        self._directory = directory
        self._cache: dict[str, _CachedSelection] = {}

    def engines_for(self, policy: WeightPolicy) -> tuple[BackendAddress, ...]:
        """Return the addresses of a policy's engines, watched or not."""
        cached = self._cache.get(policy.name)
        revision = self._directory.revision
        # Unchanged resources are the same objects in successive configuration views.
        if cached is not None and cached.policy is policy and cached.revision == revision:
            return cached.engines
        matches_selector = compile_selector(policy.selector)
        engines = self._directory.select(matches_selector, policy.model)
        self._cache[policy.name] = _CachedSelection(
            policy=policy, revision=revision, engines=engines
        )
        return engines
