"""What a node knows from the key-value service about the owners of all resources."""

import msgspec

from drumbay.identifiers import Fence, NodeId, Revision
from drumbay.kv.interface import KeyValue, RangeResult, WatchEvent
from drumbay.ownership.records import OWNERSHIP_PREFIX, OwnerRecord, OwnerValue

UNKNOWN_NODE = NodeId("")
"""Stands for the owner if a key's value can not be read."""


def read_owner(item: KeyValue) -> OwnerRecord:
    """Return the owner that a key names."""
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
    """Owners by resource; news older than what is known is ignored."""

    def __init__(self) -> None:
        """Create a view that knows nothing."""
        self._owners: dict[str, OwnerRecord] = {}
        self._absent_since: dict[str, float] = {}
        self._revisions: dict[str, Revision] = {}
        self._loaded_revision = Revision(0)
        self._complete_revision = Revision(0)

    @property
    def loaded_revision(self) -> Revision:
        """Return the revision of the last read of all owners; 0 if there was none."""
        return self._loaded_revision

    @property
    def complete_revision(self) -> Revision:
        """Return the revision up to which every change is known."""
        return self._complete_revision

    def advance(self, revision: Revision) -> None:
        """Take in that every change up to ``revision`` was applied."""
        self._complete_revision = max(self._complete_revision, revision)

    def forget_loaded(self) -> None:
        """Take in that changes were missed: all owners must be read again."""
        self._loaded_revision = Revision(0)

    def owner(self, name: str) -> OwnerRecord | None:
        """Return the last known owner of a resource."""
        return self._owners.get(name)

    def owners(self) -> tuple[OwnerRecord, ...]:
        """Return the last known owners of all resources, sorted by name."""
        return tuple(self._owners[name] for name in sorted(self._owners))

    def absent_seconds(self, name: str, now: float) -> float | None:
        """Return for how long a resource has been seen without owner; ``None`` if owned."""
        if name in self._owners or self._loaded_revision == 0:
            return None
        return now - self._absent_since.setdefault(name, now)

    def load(self, result: RangeResult, now: float) -> tuple[OwnerRecord, ...]:
        """Take in a read of all owners; return those whose key is gone."""
        if result.revision < self._loaded_revision:
            return ()
        found = [read_owner(item) for item in result.items]
        found_names = {owner.name for owner in found}
        gone: list[OwnerRecord] = []
        for name in sorted(self._owners):
            if name not in found_names:
                gone.extend(self._remove(name, result.revision, now))
        for owner in found:
            self.observe(owner)
        self._loaded_revision = result.revision
        self.advance(result.revision)
        return tuple(gone)

    def apply(self, event: WatchEvent, now: float) -> tuple[OwnerRecord, ...]:
        """Take in one change; return the owner whose key is gone, if one is."""
        if event.item is not None:
            self.observe(read_owner(event.item))
            return ()
        name = event.key.removeprefix(OWNERSHIP_PREFIX)
        return self._remove(name, event.mod_revision, now)

    def observe(self, owner: OwnerRecord) -> bool:
        """Take in that an owner was seen; return ``False`` if newer news are known."""
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
