"""Typed view of the configuration for the other services of a node."""

import msgspec

from drumbay.configuration.messages import (
    NO_REVISION,
    REPLICA_SET_KEY,
    RESOURCE_PREFIX,
    ConfigurationEntry,
    StoredRecord,
)
from drumbay.configuration.state import ConfigurationState
from drumbay.identifiers import Revision
from drumbay.observability.logs import log_event
from drumbay.resources.schema import (
    AccessToken,
    AnyResource,
    BackendGroup,
    Drain,
    Route,
    WeightPolicy,
    WeightRollback,
    ZoneEvacuation,
)


class ConfigurationView(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' resources applied on one node, by name.

    Attributes:
        revision: Revision of the key-value service up to which every change is applied.
        resource_revisions: Modification revision by ``<Kind>/<name>``, deleted resources
            included; an operator's write may expect this revision.
    """

    revision: Revision = NO_REVISION
    groups: dict[str, BackendGroup] = {}
    routes: dict[str, Route] = {}
    policies: dict[str, WeightPolicy] = {}
    rollbacks: dict[str, WeightRollback] = {}
    drains: dict[str, Drain] = {}
    evacuations: dict[str, ZoneEvacuation] = {}
    tokens: dict[str, AccessToken] = {}
    resource_revisions: dict[str, Revision] = {}

    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones whose back ends get no new work."""
        return frozenset(evacuation.zone for evacuation in self.evacuations.values())


class ViewBuilder:
    """Builds views and caches the decoded entries."""

    def __init__(self) -> None:
        """Create a builder without cached entries."""
        self._decoded: dict[str, tuple[Revision, StoredRecord | None]] = {}

    def build(self, state: ConfigurationState) -> ConfigurationView:
        """Return the view of a state."""
        view = ConfigurationView(revision=state.revision)
        decoded: dict[str, tuple[Revision, StoredRecord | None]] = {}
        for entry in state.entries():
            if entry.key == REPLICA_SET_KEY:
                continue
            record = self._decode_if_changed(entry)
            decoded[entry.key] = (entry.mod_revision, record)
            view.resource_revisions[entry.key.removeprefix(RESOURCE_PREFIX)] = entry.mod_revision
            if record is not None and not record.deleted:
                _add_resource(view, record.resource)
        self._decoded = decoded
        return view

    def _decode_if_changed(self, entry: ConfigurationEntry) -> StoredRecord | None:
        known = self._decoded.get(entry.key)
        if known is not None and known[0] == entry.mod_revision:
            return known[1]
        return decode_record(entry)


def decode_record(entry: ConfigurationEntry) -> StoredRecord | None:
    """Return the record of an entry; ``None`` if this version cannot decode it.

    A newer version of drumbay may use unknown kinds or fields. Such an entry is part of the
    revision and the digest, but not of the view.
    """
    if entry.value is None:
        return None
    try:
        return msgspec.msgpack.decode(entry.value, type=StoredRecord)
    except msgspec.MsgspecError as error:
        log_event(
            "configuration_entry_unreadable",
            level="ERROR",
            key=entry.key,
            mod_revision=entry.mod_revision,
            detail=str(error),
        )
        return None


def _add_resource(view: ConfigurationView, resource: AnyResource) -> None:
    match resource:
        case BackendGroup():
            view.groups[resource.name] = resource
        case Route():
            view.routes[resource.name] = resource
        case WeightPolicy():
            view.policies[resource.name] = resource
        case WeightRollback():
            view.rollbacks[resource.name] = resource
        case Drain():
            view.drains[resource.name] = resource
        case ZoneEvacuation():
            view.evacuations[resource.name] = resource
        case AccessToken():
            view.tokens[resource.name] = resource
