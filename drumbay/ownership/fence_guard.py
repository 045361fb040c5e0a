"""The receivers' side of fencing: orders of earlier owners are refused."""

from drumbay.identifiers import Fence
from drumbay.ownership.records import StaleOwnerError


class FenceGuard:
    """Remembers the newest fence of each resource and refuses older ones.

    A receiver must store the newest fence with the state that it protects: a receiver that
    forgets it on a restart would accept an earlier owner again.
    """

    def __init__(self, newest: dict[str, Fence] | None = None) -> None:
        """Create a guard, with the fences that were stored earlier."""
        self._newest = dict(newest) if newest is not None else {}

    def admit(self, name: str, fence: Fence) -> None:
        """Accept ``fence`` for a resource and remember it.

        Raises:
            StaleOwnerError: A newer fence was seen; nothing was changed.
        """
        newest = self.newest(name)
        if fence < newest:
            raise StaleOwnerError(f"{name}: fence {fence} is below {newest}")
        self._newest[name] = fence

    def newest(self, name: str) -> Fence:
        """Return the newest fence seen of a resource; 0 if none."""
        return self._newest.get(name, Fence(0))
