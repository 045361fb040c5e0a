"""Authenticates requests by API key."""

from typing import ClassVar

from drumbay.exceptions import DrumbayError, Execution, RequestFailedError
from drumbay.tenants.records import KeyTable, TenantName

ANONYMOUS = TenantName("")
"""Caller without a key where a key may be needed; only what belongs to no tenant is visible."""

OUTDATED_RETRY_SECONDS = 0.3
"""Retry-After for keys unknown to a node that may be outdated; the retry may reach another node."""


class UnknownKeyError(DrumbayError):
    """The request has no API key or an unknown one; it has not run."""

    code = "key_unknown"


class KeysOutdatedError(RequestFailedError):
    """The key is unknown, but this node may have missed the configuration that adds it."""

    code = "keys_outdated"
    http_status: ClassVar[int] = 503


def authenticate(
    keys: KeyTable | None,
    key: str | None,
    *,
    needs_key: bool,
    configuration_age_seconds: float,
    in_force_seconds: float,
) -> TenantName | None:
    """Return the tenant of a request; ``None`` if no key is needed.

    Clients treat a rejected key as final. A node that may have missed a configuration change
    therefore asks the client to retry instead of rejecting an unknown key.

    Args:
        keys: Keys of the current configuration; ``None`` if no tenants are configured.
        key: The request's key.
        needs_key: Whether its route requires one.
        configuration_age_seconds: Time since the configuration was last confirmed to be current.
        in_force_seconds: Time after its acceptance within which every node must have applied a
            configuration.

    Raises:
        UnknownKeyError: The key is invalid.
        KeysOutdatedError: The configuration may be outdated; another node may know the key.
    """
    if keys is None or not needs_key:
        return None
    if key is None:
        raise UnknownKeyError("no key")
    tenant = keys.tenant_of(key)
    if tenant is not None:
        return tenant
    if configuration_age_seconds > in_force_seconds:
        raise KeysOutdatedError(
            "the configuration here may be outdated",
            execution=Execution.NOT_RUN,
            retry_after_seconds=OUTDATED_RETRY_SECONDS,
        )
    raise UnknownKeyError("unknown key")
