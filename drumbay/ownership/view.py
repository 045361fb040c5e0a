"""A node's view of the owners of all resources, read from the key-value store."""

import msgspec

from drumbay.identifiers import Fence, NodeId, Revision
from drumbay.kv.interface import KeyValue, RangeResult, WatchEvent
from drumbay.ownership.records import OWNERSHIP_PREFIX, OwnerRecord, OwnerValue

UNKNOWN_NODE = NodeId("")
"""Placeholder for the owner if the value of a key cannot be decoded."""


def decode_owner(item: KeyValue) -> OwnerRecord:
    """Return the owner stored in a key."""
    try:
        node_id = msgspec.json.decode(item.value, type=OwnerValue).node_id
    except msgspec.MsgspecError:
        node_id = UNKNOWN_NODE
    return OwnerRecord(
        name=item.key.removeprefix(OWNERSHIP_PREFIX),
        node_id=node_id,
        fence=Fence(item.create_revision),
        lease_id=item.lease_id,
    )


class OwnershipView:
    """Owners by resource; updates older than the known state are ignored."""

    def __init__(self) -> None:
        """Create an empty view."""
        self._owners: dict[str, OwnerRecord] = {}
        self._absent_since: dict[str, float] = {}
        self._revisions: dict[str, Revision] = {}
        self._loaded_revision = Revision(0)
        self._complete_revision = Revision(0)

    @property
    def loaded_revision(self) -> Revision:
        """Return the revision of the last read of all owners; 0 if one is needed."""
        return self._loaded_revision

    @property
    def complete_revision(self) -> Revision:
        """Return the revision up to which every change is known."""
        return self._complete_revision

    def mark_complete(self, revision: Revision) -> None:
        """Record that every change up to ``revision`` was applied."""
        self._complete_revision = max(self._complete_revision, revision)

    def require_reload(self) -> None:
        """Require a new read of all owners because changes were missed."""
        self._loaded_revision = Revision(0)

    def owner(self, name: str) -> OwnerRecord | None:
        """Return the last known owner of a resource."""
        return self._owners.get(name)

    def owners(self) -> tuple[OwnerRecord, ...]:
        """Return the last known owners of all resources, sorted by name."""
        return tuple(self._owners[name] for name in sorted(self._owners))

    def absent_seconds(self, name: str, now: float) -> float | None:
        """Return how long a resource has had no owner; ``None`` if owned or not loaded."""
        if name in self._owners or self._loaded_revision == 0:
            return None
        return now - self._absent_since.setdefault(name, now)

    def load(self, result: RangeResult, now: float) -> tuple[OwnerRecord, ...]:
        """Apply a read of all owners; return the owners whose keys were removed."""
        if result.revision < self._loaded_revision:
            return ()
        found = [decode_owner(item) for item in result.items]
        found_names = {owner.name for owner in found}
        removed: list[OwnerRecord] = []
        for name in sorted(self._owners):
            if name not in found_names:
                removed.extend(self._remove(name, result.revision, now))
        for owner in found:
            self.record_owner(owner)
        self._loaded_revision = result.revision
        self.mark_complete(result.revision)
        return tuple(removed)

    def apply(self, event: WatchEvent, now: float) -> tuple[OwnerRecord, ...]:
        """Apply one change; return the owner whose key was removed, if any."""
        if event.item is not None:
            self.record_owner(decode_owner(event.item))
            return ()
        name = event.key.removeprefix(OWNERSHIP_PREFIX)
        return self._remove(name, event.mod_revision, now)

    def record_owner(self, owner: OwnerRecord) -> bool:
        """Record an owner; return ``False`` if a newer state is known."""
        if owner.fence < self._revisions.get(owner.name, 0):
            return False
        self._owners[owner.name] = owner
        self._revisions[owner.name] = Revision(owner.fence)
        self._absent_since.pop(owner.name, None)
        return True

    def _remove(self, name: str, revision: Revision, now: float) -> tuple[OwnerRecord, ...]:
        if revision < self._revisions.get(name, 0):
            return ()
        self._revisions[name] = revision
        owner = self._owners.pop(name, None)
        if owner is None:
            return ()
        self._absent_since[name] = now
        return (owner,)
