"""The engines that weight policies select, looked up again only when something changed."""

import msgspec

from drumbay.backends.interface import BackendAddress
from drumbay.resources.schema import WeightPolicy
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.selectors import compile_selector


class _Selected(msgspec.Struct, frozen=True, kw_only=True):
    policy: WeightPolicy
    revision: int
    engines: tuple[BackendAddress, ...]


class PolicyEngines:
    """Selects over hundreds of back ends several times a second, at the cost of a look-up.

    Args:
        directory: Back ends as this node knows them.
    """

    def __init__(self, directory: BackendDirectory) -> None:
        """Create an empty memory."""
        self._directory = directory
        self._selected: dict[str, _Selected] = {}

    def of(self, policy: WeightPolicy) -> tuple[BackendAddress, ...]:
        """Return the addresses of a policy's engines, watched or not."""
        known = self._selected.get(policy.name)
        revision = self._directory.revision
        # NOTE: resources that did not change are the same objects in the next view.
        if known is not None and known.policy is policy and known.revision == revision:
            return known.engines
        selects = compile_selector(policy.selector)
        engines = self._directory.select(selects, policy.model)
        self._selected[policy.name] = _Selected(policy=policy, revision=revision, engines=engines)
        return engines
