"""Fencing at the receivers of orders: those of earlier owners are rejected."""

from drumbay.identifiers import Fence
from drumbay.ownership.records import StaleOwnerError


class FenceGuard:
    """Tracks the newest fence of each resource and rejects older ones.

    A receiver must store the newest fence together with the state that it protects; otherwise it
    would accept an earlier owner again after a restart.
    """

    def __init__(self, newest: dict[str, Fence] | None = None) -> None:
        """Create a guard, optionally with stored fences."""
        self._newest = dict(newest) if newest is not None else {}

    def admit(self, name: str, fence: Fence) -> None:
        """Accept ``fence`` for a resource and record it.

        Raises:
            StaleOwnerError: A newer fence was recorded; nothing is changed.
        """
        newest = self.newest(name)
        if fence < newest:
            raise StaleOwnerError(f"{name}: fence {fence} is older than {newest}")
        self._newest[name] = fence

    def newest(self, name: str) -> Fence:
        """Return the newest recorded fence of a resource; 0 if there is none."""
        return self._newest.get(name, Fence(0))
