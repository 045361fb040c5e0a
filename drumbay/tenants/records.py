"""Tenants and the table of their keys, as a configuration names them."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NewType

import msgspec

TenantName = NewType("TenantName", str)

KeyDigest = NewType("KeyDigest", bytes)
"""SHA-256 of a key. Keys are compared by it, so that no table, log or dump holds one in clear."""


def digest_of(key: str) -> KeyDigest:
    """Return the digest under which a key is kept."""
    return KeyDigest(hashlib.sha256(key.encode()).digest())


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """One tenant and its keys in one configuration."""

    name: TenantName
    key_digests: tuple[KeyDigest, ...]


class KeyTable(msgspec.Struct, frozen=True, kw_only=True):
    """The tenant of each key of one configuration; built once for it."""

    owners: Mapping[KeyDigest, TenantName]

    @classmethod
    def of(cls, tenants: Iterable[Tenant]) -> "KeyTable":
        """Build the table of all keys of some tenants."""
        return cls(
            owners={digest: tenant.name for tenant in tenants for digest in tenant.key_digests}
        )

    def tenant_of(self, key: str) -> TenantName | None:
        """Return the tenant that holds a key, ``None`` if none does."""
        return self.owners.get(digest_of(key))
