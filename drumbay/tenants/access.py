"""Pure decision: whether a request may be taken, and for which tenant."""

from typing import ClassVar

from drumbay.exceptions import DrumbayError, Execution, RequestFailedError
from drumbay.tenants.records import KeyTable, TenantName

OUTDATED_RETRY_SECONDS = 0.3
"""When a caller may come back whose key is not known at a node that is behind: the next try reaches
another node, which needs no time."""


class UnknownKeyError(DrumbayError):
    """The request carries no key, or one that no tenant holds; it has not run."""

    code = "key_unknown"


class KeysOutdatedError(RequestFailedError):
    """The key is not known here, but this node may have missed the configuration that adds it."""

    code = "keys_outdated"
    http_status: ClassVar[int] = 503


def admit(
    keys: KeyTable | None,
    key: str | None,
    *,
    needs_key: bool,
    configuration_age_seconds: float,
    in_force_seconds: float,
) -> TenantName | None:
    """Return the tenant of a request; ``None`` if none is needed.

    A refusal of a key is final for its caller. So a node that has not heard of changes for longer
    than a configuration may take to be in force does not refuse a key that it lacks, and asks the
    caller to come back instead. It goes on taking the keys that it knows.

    Args:
        keys: Keys of the configuration in force; ``None`` if it names no tenants.
        key: The request's key.
        needs_key: Whether its route asks for one.
        configuration_age_seconds: How long ago this node last knew that its configuration was
            the newest.
        in_force_seconds: Within this time after its acceptance, a configuration is to be in
            force at every node.

    Raises:
        UnknownKeyError: The request is refused for good.
        KeysOutdatedError: This node cannot tell; another may.
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
