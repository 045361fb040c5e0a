"""What each configured resource costs a node in memory and processor time."""

import time
import tracemalloc

import msgspec

from drumbay.configuration.messages import (
    ConfigurationEntry,
    ConfigurationUpdate,
    StoredRecord,
    resource_key,
)
from drumbay.configuration.state import ConfigurationState
from drumbay.configuration.view import ViewBuilder
from drumbay.identifiers import Revision
from drumbay.resources.schema import Route, RouteKind, Selector

APPLY_REPETITIONS = 50


class ObjectCost(msgspec.Struct, frozen=True, kw_only=True):
    """What resources cost one node.

    Attributes:
        resources: Resources in the configuration.
        memory_bytes: Memory of the applied state and its view.
        snapshot_bytes: Encoded snapshot.
        apply_seconds: Processor time to apply one change and build the view.
    """

    resources: int
    memory_bytes: int
    snapshot_bytes: int
    apply_seconds: float


def sample_route(index: int, priority: int) -> Route:
    """Return a route of usual size."""
    return Route(
        name=f"ruta-{index}",
        route_kind=RouteKind.LIVE,
        selector=Selector(match_labels={"pool": "modelos", "zone": "miraflores"}),
        model="modelos",
        priority=priority,
    )


def _entry(index: int, revision: int) -> ConfigurationEntry:
    record = StoredRecord(resource=sample_route(index, revision), operation_id=f"set-{revision}")
    return ConfigurationEntry(
        key=resource_key("Route", f"ruta-{index}"),
        mod_revision=Revision(revision),
        value=msgspec.msgpack.encode(record),
    )


def measure_objects(resource_count: int) -> ObjectCost:
    """Measure memory and processor time of one node with this many resources."""
    snapshot = ConfigurationUpdate(
        revision=Revision(resource_count),
        base_revision=None,
        entries=tuple(_entry(index, index + 1) for index in range(resource_count)),
    )
    encoded = msgspec.msgpack.encode(snapshot)
    del snapshot
    tracemalloc.start()
    state = ConfigurationState()
    builder = ViewBuilder()
    state.apply(msgspec.msgpack.decode(encoded, type=ConfigurationUpdate))
    view = builder.build(state)
    memory_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    for turn in range(APPLY_REPETITIONS):
        revision = resource_count + turn + 1
        state.apply(
            ConfigurationUpdate(
                revision=Revision(revision),
                base_revision=Revision(revision - 1),
                entries=(_entry(turn, revision),),
            )
        )
        view = builder.build(state)
    apply_seconds = (time.process_time() - started) / APPLY_REPETITIONS
    return ObjectCost(
        resources=len(view.routes),
        memory_bytes=memory_bytes,
        snapshot_bytes=len(encoded),
        apply_seconds=apply_seconds,
    )
