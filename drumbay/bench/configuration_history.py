"""What nodes had in force over time, and the check that nothing went back."""

import msgspec

from drumbay.identifiers import Revision
from drumbay.standins.kv_model import KeyValueModel
from drumbay.standins.kv_records import LoggedChange


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that one node had in force from a time on."""

    at_seconds: float
    node: str
    boot: int
    revision: Revision
    resource_revisions: dict[str, Revision]


class Reversion(msgspec.Struct, frozen=True, kw_only=True):
    """A node had an older state of a resource in force after a newer one."""

    at_seconds: float
    node: str
    resource: str
    before: Revision
    after: Revision


def find_reversions(observations: list[Observation]) -> list[Reversion]:
    """Check every node's history, over restarts, for a resource that went back."""
    newest: dict[str, dict[str, Revision]] = {}
    reversions: list[Reversion] = []
    for observation in observations:
        known = newest.get(observation.node, {})
        newest[observation.node] = observation.resource_revisions
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
    """Return when the key-value service committed each revision."""
    return {
        entry.revision: entry.at_seconds for entry in model.log if isinstance(entry, LoggedChange)
    }
