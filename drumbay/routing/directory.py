"""Directory of the backends known to one node: configuration, status reports and attempts.

Does no I/O and reads no clock: the caller passes in events and the current time, and gets
changes of availability back as records for the decision log.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from drumbay.backends.interface import BackendAddress, EngineStatus
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.records import RejectionReason
from drumbay.identifiers import AttemptId, BackendId, BootId, WeightVersion
from drumbay.limits.circuit_breaker import CircuitBreaker, CircuitPermit, CircuitPolicy
from drumbay.placement.topology import Topology
from drumbay.resources.schema import BackendKind
from drumbay.routing.backend_choice import BackendView
from drumbay.routing.load_tracker import BackendAvailability, LoadTracker
from drumbay.routing.prefix_index import PrefixIndex
from drumbay.routing.selectors import MODEL_LABEL, LabelPredicate, compile_selector, labels_of

MAX_REPORT_FAILURES = 3
"""Consecutive failed status requests after which a backend counts as unreachable."""


class AvailabilityChange(msgspec.Struct, frozen=True, kw_only=True):
    """A backend became unavailable, or available again, with respect to one reason.

    Attributes:
        backend_id: The backend.
        reason: Why the backend became, or had been, unavailable.
        available: Whether the reason no longer applies.
        detail: Human-readable explanation.
    """

    backend_id: BackendId
    reason: RejectionReason
    available: bool
    detail: str = ""


class AttemptOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an attempt for the circuit breaker; ``None``: neither success nor failure."""

    succeeded: bool | None


@dataclass
class _Entry:
    """State of one backend."""

    address: BackendAddress
    kind: BackendKind
    zone: str
    labels: Mapping[str, str]
    breaker: CircuitBreaker
    boot_id: BootId | None = None
    consecutive_report_failures: int = 0
    active_drain: str | None = None
    is_evacuated: bool = False
    is_leaving: bool = False

    @property
    def is_reachable(self) -> bool:
        """Return whether fewer than ``MAX_REPORT_FAILURES`` status requests failed in a row."""
        return self.consecutive_report_failures < MAX_REPORT_FAILURES


class BackendDirectory:
    """Tracks the backends of one node and their availability.

    Args:
        circuit_policy: Thresholds of the circuit breakers.
        topology: The regions of zones; no region is known without it.
    """

    def __init__(
        self, circuit_policy: CircuitPolicy | None = None, topology: Topology | None = None
    ) -> None:
        """Create an empty directory."""
        self._topology = topology or Topology(zone="")
        self._circuit_policy = circuit_policy or CircuitPolicy()
        self._entries: dict[BackendId, _Entry] = {}
        self._leaving: frozenset[BackendId] = frozenset()
        self._watched: frozenset[BackendId] | None = None
        self._watched_entries: dict[BackendId, _Entry] = self._entries
        self._load = LoadTracker()
        self._revision = 0
        self.prefixes = PrefixIndex()

    @property
    def revision(self) -> int:
        """Return a counter that increases whenever addresses or labels may have changed."""
        return self._revision

    def apply_configuration(
        self, view: ConfigurationView, now: float
    ) -> tuple[AvailabilityChange, ...]:
        """Apply the backend groups, drains and zone evacuations of a configuration."""
        self._revision += 1
        configured = {
            BackendId(backend.id): (group, backend)
            for _, group in sorted(view.groups.items())
            for backend in group.backends
        }
        for backend_id in [known for known in self._entries if known not in configured]:
            self._remove(backend_id)
        for backend_id, (group, backend) in configured.items():
            entry = self._entries.get(backend_id)
            breaker = entry.breaker if entry else CircuitBreaker(self._circuit_policy, now)
            labels = labels_of(group, backend)
            replacement = _Entry(
                address=backend.address,
                kind=group.backend_kind,
                zone=backend.zone,
                labels=labels,
                breaker=breaker,
                is_leaving=backend_id in self._leaving,
            )
            if entry is not None:
                replacement.boot_id = entry.boot_id
                replacement.consecutive_report_failures = entry.consecutive_report_failures
                replacement.active_drain = entry.active_drain
                replacement.is_evacuated = entry.is_evacuated
            self._entries[backend_id] = replacement
            region = self._topology.region_of(backend.zone)
            self._load.set_backend(backend_id, labels, backend.zone, region)
        self._update_watched_entries()
        return self._apply_drains(view) + self._apply_evacuations(view.evacuated_zones())

    def _remove(self, backend_id: BackendId) -> None:
        del self._entries[backend_id]
        self._load.remove_backend(backend_id)
        self.prefixes.remove_backend(backend_id)

    def _apply_drains(self, view: ConfigurationView) -> tuple[AvailabilityChange, ...]:
        drains = [
            (name, compile_selector(drain.selector)) for name, drain in sorted(view.drains.items())
        ]
        changes: list[AvailabilityChange] = []
        for backend_id, entry in self._entries.items():
            matching_drains = [
                name for name, matches_selector in drains if matches_selector(entry.labels)
            ]
            active_drain = matching_drains[0] if matching_drains else None
            if (active_drain is None) != (entry.active_drain is None):
                drain = active_drain or entry.active_drain
                changes.append(
                    _operators_change(
                        backend_id,
                        RejectionReason.DRAINED,
                        f"drain {drain}",
                        available=active_drain is None,
                    )
                )
            entry.active_drain = active_drain
        return tuple(changes)

    def _apply_evacuations(self, zones: frozenset[str]) -> tuple[AvailabilityChange, ...]:
        changes: list[AvailabilityChange] = []
        for backend_id, entry in self._entries.items():
            is_evacuated = entry.zone in zones
            if is_evacuated != entry.is_evacuated:
                changes.append(
                    _operators_change(
                        backend_id,
                        RejectionReason.ZONE_EVACUATED,
                        f"evacuation of zone {entry.zone}",
                        available=not is_evacuated,
                    )
                )
            entry.is_evacuated = is_evacuated
        return tuple(changes)

    def set_leaving(self, leaving: Iterable[BackendId]) -> tuple[AvailabilityChange, ...]:
        """Set the backends that the machine list marks as leaving."""
        self._leaving = frozenset(leaving)
        changes: list[AvailabilityChange] = []
        for backend_id, entry in self._entries.items():
            is_leaving = backend_id in self._leaving
            if is_leaving != entry.is_leaving:
                entry.is_leaving = is_leaving
                changes.append(
                    AvailabilityChange(
                        backend_id=backend_id,
                        reason=RejectionReason.LEAVING,
                        available=not is_leaving,
                        detail="named by the machine list",
                    )
                )
        return tuple(changes)

    def send_refusal(self, backend_id: BackendId) -> RejectionReason | None:
        """Return why a chosen backend must not be sent its request after all.

        A drain does not hold back a request whose backend was chosen before it.
        """
        if backend_id in self._leaving:
            return RejectionReason.LEAVING
        return RejectionReason.ZONE_EVACUATED if self.is_evacuated(backend_id) else None

    def is_evacuated(self, backend_id: BackendId) -> bool:
        """Return whether the zone of a backend is being evacuated."""
        entry = self._entries.get(backend_id)
        return entry is not None and entry.is_evacuated

    def record_report(self, status: EngineStatus, now: float) -> tuple[AvailabilityChange, ...]:
        """Apply a status report of a backend."""
        entry = self._entries.get(status.backend_id)
        if entry is None:
            return ()
        if entry.boot_id is not None and entry.boot_id != status.boot_id:
            self.prefixes.remove_backend(status.backend_id)
        entry.boot_id = status.boot_id
        self._load.record_report(status, now)
        was_reachable = entry.is_reachable
        entry.consecutive_report_failures = 0
        return (
            () if was_reachable else (_reachability_availability_change(status.backend_id, True),)
        )

    def record_report_failure(self, backend_id: BackendId) -> tuple[AvailabilityChange, ...]:
        """Count a failed status request."""
        entry = self._entries.get(backend_id)
        if entry is None:
            return ()
        was_reachable = entry.is_reachable
        entry.consecutive_report_failures += 1
        became_unreachable = was_reachable and not entry.is_reachable
        return (_reachability_availability_change(backend_id, False),) if became_unreachable else ()

    def has_recent_report_failures(self, backend_id: BackendId) -> bool:
        """Return whether recent status requests failed, but too few to mark it unreachable."""
        entry = self._entries.get(backend_id)
        return entry is not None and 0 < entry.consecutive_report_failures < MAX_REPORT_FAILURES

    def start_attempt(
        self, backend_id: BackendId, attempt_id: AttemptId, now: float
    ) -> CircuitPermit | None:
        """Count an attempt as outstanding.

        Returns:
            The permit of the circuit breaker; ``None`` if it refuses the attempt.
        """
        entry = self._entries.get(backend_id)
        permit = entry.breaker.try_acquire(now) if entry else None
        if permit is not None:
            self._load.start_attempt(backend_id, attempt_id, now)
        return permit

    def finish_attempt(
        self,
        backend_id: BackendId,
        attempt_id: AttemptId,
        permit: CircuitPermit,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Record the end of an attempt."""
        succeeded = outcome.succeeded is True
        self._load.finish_attempt(backend_id, attempt_id, now, succeeded=succeeded)
        entry = self._entries.get(backend_id)
        if entry is None:
            return
        if outcome.succeeded is None:
            entry.breaker.record_no_outcome(permit)
        elif outcome.succeeded:
            entry.breaker.record_success(permit, now)
        else:
            entry.breaker.record_failure(permit, now)

    def set_watched(self, watched: frozenset[BackendId] | None) -> None:
        """Set the backends that this node polls and sends requests to; ``None``: all.

        The owner of a weight rollout or a sample stream has to watch all engines of its
        policy in addition to the node's subset.
        """
        self._watched = watched
        self._update_watched_entries()

    def _update_watched_entries(self) -> None:
        """Update the watched entries, in configuration order."""
        watched = self._watched
        if watched is None:
            self._watched_entries = self._entries
        else:
            self._watched_entries = {
                backend_id: entry
                for backend_id, entry in self._entries.items()
                if backend_id in watched
            }

    def is_watched(self, backend_id: BackendId) -> bool:
        """Return whether this node watches a backend."""
        return self._watched is None or backend_id in self._watched

    def views(self, now: float) -> list[BackendView]:
        """Return the views of all backends at ``now``, watched or not."""
        return self._build_views(self._entries, now)

    def watched_views(self, now: float) -> list[BackendView]:
        """Return the views of the watched backends at ``now``."""
        return self._build_views(self._watched_entries, now)

    def views_for(self, addresses: Iterable[BackendAddress], now: float) -> list[BackendView]:
        """Return the views of the given backends at ``now``, watched or not; skips unknown ones."""
        entries = {
            address.backend_id: self._entries[address.backend_id]
            for address in addresses
            if address.backend_id in self._entries
        }
        return self._build_views(entries, now)

    def _build_views(self, entries: Mapping[BackendId, _Entry], now: float) -> list[BackendView]:
        views: list[BackendView] = []
        for backend_id, entry in entries.items():
            availability = BackendAvailability(
                is_reachable=entry.is_reachable,
                circuit_admits=entry.breaker.admits(now),
                is_draining=entry.active_drain is not None,
                is_evacuated=entry.is_evacuated,
                is_leaving=entry.is_leaving,
            )
            self._load.set_availability(backend_id, availability)
            view = self._load.view(backend_id)
            if view is not None:
                views.append(view)
        return views

    def select(self, matches_selector: LabelPredicate, model: str) -> tuple[BackendAddress, ...]:
        """Return the addresses of a model's backends that match a selector, watched or not."""
        return tuple(
            entry.address
            for entry in self._entries.values()
            if entry.labels.get(MODEL_LABEL) == model and matches_selector(entry.labels)
        )

    def reported_version(self, backend_id: BackendId) -> WeightVersion | None:
        """Return the weight version that a backend last reported; ``None`` without a report."""
        return self._load.reported_version(backend_id)

    def address(self, backend_id: BackendId) -> BackendAddress | None:
        """Return the address of a backend; ``None`` if it is unknown."""
        entry = self._entries.get(backend_id)
        return entry.address if entry else None

    def watched_addresses(self, kind: BackendKind) -> tuple[BackendAddress, ...]:
        """Return the addresses of the watched backends of one kind, sorted."""
        return tuple(
            address for address in self.addresses(kind) if self.is_watched(address.backend_id)
        )

    def addresses(self, kind: BackendKind | None = None) -> tuple[BackendAddress, ...]:
        """Return the addresses of all backends, or of those of one kind, sorted."""
        return tuple(
            sorted(
                entry.address
                for entry in self._entries.values()
                if kind is None or entry.kind is kind
            )
        )


def _operators_change(
    backend_id: BackendId, reason: RejectionReason, cause: str, *, available: bool
) -> AvailabilityChange:
    """Return the change that a resource of the operators, the cause, has brought."""
    return AvailabilityChange(
        backend_id=backend_id,
        reason=reason,
        available=available,
        detail=f"{cause} {'ended' if available else 'in force'}",
    )


def _reachability_availability_change(backend_id: BackendId, available: bool) -> AvailabilityChange:
    detail = "it reports again" if available else "its reports could not be had"
    return AvailabilityChange(
        backend_id=backend_id,
        reason=RejectionReason.UNREACHABLE,
        available=available,
        detail=detail,
    )
