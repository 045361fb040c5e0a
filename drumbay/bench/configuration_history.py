"""Configurations observed on nodes over time, and a check for reversions."""

import msgspec

from drumbay.identifiers import Revision
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_records import LoggedChange


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration that a node applied at a time."""

    at_seconds: float
    node: str
    boot: int
    revision: Revision
    resource_revisions: dict[str, Revision]


class Reversion(msgspec.Struct, frozen=True, kw_only=True):
    """A node applied an older revision of a resource after a newer one."""

    at_seconds: float
    node: str
    resource: str
    before: Revision
    after: Revision


def find_reversions(observations: list[Observation]) -> list[Reversion]:
    """Return the resources that reverted on a node, also across restarts."""
    latest_revisions: dict[str, dict[str, Revision]] = {}
    reversions: list[Reversion] = []
    for observation in observations:
        known = latest_revisions.get(observation.node, {})
        latest_revisions[observation.node] = observation.resource_revisions
        for resource, before in known.items():
            after = observation.resource_revisions.get(resource, Revision(0))
            if after < before:
                reversions.append(
                    Reversion(
                        at_seconds=observation.at_seconds,
                        node=observation.node,
                        resource=resource,
                        before=before,
                        after=after,
                    )
                )
    return reversions


def commit_times(model: KeyValueModel) -> dict[Revision, float]:
    """Return the commit time of each revision in the key-value service."""
    return {
        entry.revision: entry.at_seconds for entry in model.log if isinstance(entry, LoggedChange)
    }
