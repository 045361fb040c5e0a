"""Tenants and their API keys, as configured."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NewType

import msgspec

from drumbay.placement.regions import ANY_REGION, AllowedRegions

TenantName = NewType("TenantName", str)

KeyDigest = NewType("KeyDigest", bytes)
"""SHA-256 of a key. Keys are compared by digest so that no table, log or dump contains them."""


def digest_of(key: str) -> KeyDigest:
    """Return the digest of a key."""
    return KeyDigest(hashlib.sha256(key.encode()).digest())


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant and its API keys.

    ``priority`` overrides the priority of the route; ``None`` keeps it.
    """

    name: TenantName
    key_digests: tuple[KeyDigest, ...]
    priority: int | None = None
    allowed_regions: AllowedRegions = ANY_REGION


class KeyTable(msgspec.Struct, frozen=True, kw_only=True):
    """Maps the API keys of a configuration to tenants.

    ``priorities`` contains the tenants with a priority of their own, ``allowed_regions`` every
    configured tenant.
    """

    tenants_by_digest: Mapping[KeyDigest, TenantName]
    priorities: Mapping[TenantName, int] = msgspec.field(default_factory=dict)
    allowed_regions: Mapping[TenantName, AllowedRegions] = msgspec.field(default_factory=dict)

    @classmethod
    def of(cls, tenants: Iterable[Tenant]) -> "KeyTable":
        """Build the table from the tenants of a configuration."""
        tenant_list = tuple(tenants)
        return cls(
            tenants_by_digest={
                digest: tenant.name for tenant in tenant_list for digest in tenant.key_digests
            },
            priorities={t.name: t.priority for t in tenant_list if t.priority is not None},
            allowed_regions={tenant.name: tenant.allowed_regions for tenant in tenant_list},
        )

    def tenant_of(self, key: str) -> TenantName | None:
        """Return the tenant that owns a key, ``None`` if there is none."""
        return self.tenants_by_digest.get(digest_of(key))
