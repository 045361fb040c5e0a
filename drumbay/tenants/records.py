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
    """One tenant and its keys in one configuration.

    ``priority`` ranks its requests in place of their routes' rank; ``None`` leaves that in force.
    """

    name: TenantName
    key_digests: tuple[KeyDigest, ...]
    priority: int | None = None


class KeyTable(msgspec.Struct, frozen=True, kw_only=True):
    """The tenant of each key of one configuration; built once for it.

    ``priorities`` has the tenants whose requests have a rank of their own.
    """

    owners: Mapping[KeyDigest, TenantName]
    priorities: Mapping[TenantName, int] = msgspec.field(default_factory=dict)

    @classmethod
    def of(cls, tenants: Iterable[Tenant]) -> "KeyTable":
        """Build the table of all keys of some tenants."""
        named = tuple(tenants)
        return cls(
            owners={digest: tenant.name for tenant in named for digest in tenant.key_digests},
            priorities={t.name: t.priority for t in named if t.priority is not None},
        )

    def tenant_of(self, key: str) -> TenantName | None:
        """Return the tenant that holds a key, ``None`` if none does."""
        return self.owners.get(digest_of(key))
