"""Requests of one node to create, read and remove ownership keys."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import Fence, NodeId, Revision
from drumbay.kv.interface import (
    Delete,
    KeyValueOutcomeUnknownError,
    KeyValueStore,
    LeaseNotFoundError,
    ModRevisionIs,
    Put,
)
from drumbay.observability.logs import log_event
from drumbay.ownership.records import OWNERSHIP_PREFIX, OwnerRecord, OwnerValue
from drumbay.ownership.view import decode_owner

ABSENT_REVISION = Revision(0)


class CampaignOutcome(StrEnum):
    """Outcome of an attempt to become the owner of a resource."""

    WON = "won"
    HELD_BY_OTHER = "held_by_other"
    LEASE_LOST = "lease_lost"
    NOT_SETTLED = "not_settled"


class CampaignResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a campaign, and the owner if known."""

    outcome: CampaignOutcome
    owner: OwnerRecord | None = None


class OwnershipKeys:
    """Creates, reads and removes ownership keys for one node.

    Every method may raise :class:`drumbay.kv.interface.KeyValueError`.
    """

    def __init__(self, store: KeyValueStore, node_id: NodeId) -> None:
        """Create a client for ``node_id``."""
        self._store = store
        self._node_id = node_id

    async def create(self, name: str, lease_id: int) -> CampaignResult:
        """Try to become the owner of a resource that has none.

        After a lost response or a failed compare, the key is read to determine the owner: the
        request may have been sent twice, or an earlier one may have arrived late.
        """
        key = OWNERSHIP_PREFIX + name
        value = msgspec.json.encode(OwnerValue(node_id=self._node_id))
        put = Put(key=key, value=value, lease_id=lease_id)
        try:
            compare = ModRevisionIs(key=key, mod_revision=ABSENT_REVISION)
            result = await self._store.transact((compare,), (put,))
        except LeaseNotFoundError:
            return CampaignResult(outcome=CampaignOutcome.LEASE_LOST)
        except KeyValueOutcomeUnknownError:
            log_event("ownership_campaign_answer_lost", level="WARNING", resource=name)
            return await self._resolve(name, lease_id)
        if not result.succeeded:
            return await self._resolve(name, lease_id)
        owner = OwnerRecord(
            name=name, node_id=self._node_id, fence=Fence(result.revision), lease_id=lease_id
        )
        return CampaignResult(outcome=CampaignOutcome.WON, owner=owner)

    async def _resolve(self, name: str, lease_id: int) -> CampaignResult:
        owner = await self.read(name)
        if owner is None:
            return CampaignResult(outcome=CampaignOutcome.NOT_SETTLED)
        outcome = CampaignOutcome.HELD_BY_OTHER
        if owner.lease_id == lease_id:
            outcome = CampaignOutcome.WON
        return CampaignResult(outcome=outcome, owner=owner)

    async def read(self, name: str) -> OwnerRecord | None:
        """Return the owner of a resource; ``None`` if it has none."""
        key = OWNERSHIP_PREFIX + name
        result = await self._store.range_prefix(key)
        for item in result.items:
            if item.key == key:
                return decode_owner(item)
        return None

    async def remove(self, name: str, fence: Fence) -> None:
        """Remove the key that this node created with ``fence``.

        A key that was created again since then is kept.
        """
        key = OWNERSHIP_PREFIX + name
        # NOTE: ownership keys are never overwritten, so the modification revision of a key is
        # its create revision.
        compare = ModRevisionIs(key=key, mod_revision=Revision(fence))
        await self._store.transact((compare,), (Delete(key=key),))
