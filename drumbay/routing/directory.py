"""Directory of back ends as one node knows them: configuration, reports and own attempts.

Pure: events and ``now`` come in, changes of a back end's availability go out as records,
so that each can be explained afterwards.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from drumbay.backends.interface import BackendAddress, EngineStatus
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.records import RejectionReason
from drumbay.identifiers import AttemptId, BackendId, BootId, WeightVersion
from drumbay.limits.circuit_breaker import CircuitBreaker, CircuitPermit, CircuitPolicy
from drumbay.resources.schema import BackendKind
from drumbay.routing.engine_choice import BackendView
from drumbay.routing.load_view import BackendFlags, LoadView
from drumbay.routing.prefix_index import PrefixIndex
from drumbay.routing.selectors import MODEL_LABEL, LabelPredicate, compile_selector, labels_of

REPORT_FAILURES_TO_UNREACHABLE = 3


class AvailabilityChange(msgspec.Struct, frozen=True, kw_only=True):
    """A back end stopped or started to be eligible for one reason.

    Attributes:
        backend_id: The back end.
        reason: Why work stopped or may go on.
        available: Whether this reason no longer holds.
        detail: One sentence for a person.
    """

    backend_id: BackendId
    reason: RejectionReason
    available: bool
    detail: str = ""


class AttemptOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended, as the circuit breaker counts it; ``None``: says nothing."""

    succeeded: bool | None


@dataclass
class _Entry:
    address: BackendAddress
    kind: BackendKind
    zone: str
    labels: Mapping[str, str]
    breaker: CircuitBreaker
    boot_id: BootId | None = None
    report_failures: int = 0
    drained_by: str | None = None
    is_leaving: bool = False

    @property
    def is_reachable(self) -> bool:
        """Return whether recent reports could be had."""
        return self.report_failures < REPORT_FAILURES_TO_UNREACHABLE


class BackendDirectory:
    """What one node knows of the back ends, and which of them may get work.

    Args:
        circuit_policy: When circuit breakers open and close.
    """

    def __init__(self, circuit_policy: CircuitPolicy | None = None) -> None:
        """Create an empty directory."""
        self._circuit_policy = circuit_policy or CircuitPolicy()
        self._entries: dict[BackendId, _Entry] = {}
        self._leaving: frozenset[BackendId] = frozenset()
        self._watched: frozenset[BackendId] | None = None
        self._watched_entries: dict[BackendId, _Entry] = self._entries
        self._load = LoadView()
        self._revision = 0
        self.prefixes = PrefixIndex()

    @property
    def revision(self) -> int:
        """Return a number that grows whenever addresses or labels may have changed."""
        return self._revision

    def apply_configuration(
        self, view: ConfigurationView, now: float
    ) -> tuple[AvailabilityChange, ...]:
        """Take in the groups and drains in force."""
        self._revision += 1
        wanted = {
            BackendId(backend.id): (group, backend)
            for _, group in sorted(view.groups.items())
            for backend in group.backends
        }
        for backend_id in [known for known in self._entries if known not in wanted]:
            self._remove(backend_id)
        for backend_id, (group, backend) in wanted.items():
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
                replacement.report_failures = entry.report_failures
                replacement.drained_by = entry.drained_by
            self._entries[backend_id] = replacement
            self._load.set_backend(backend_id, labels, backend.zone)
        self._select_watched()
        return self._apply_drains(view)

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
            matching = [name for name, selects in drains if selects(entry.labels)]
            drained_by = matching[0] if matching else None
            if (drained_by is None) != (entry.drained_by is None):
                changes.append(
                    _drain_change(
                        backend_id, drained_by or entry.drained_by or "", drained_by is None
                    )
                )
            entry.drained_by = drained_by
        return tuple(changes)

    def set_leaving(self, leaving: Iterable[BackendId]) -> tuple[AvailabilityChange, ...]:
        """Take in which back ends the machine list names as leaving."""
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

    def is_leaving(self, backend_id: BackendId) -> bool:
        """Return whether the machine list names a back end as leaving."""
        return backend_id in self._leaving

    def record_report(self, status: EngineStatus, now: float) -> tuple[AvailabilityChange, ...]:
        """Take in a back end's report of itself."""
        entry = self._entries.get(status.backend_id)
        if entry is None:
            return ()
        if entry.boot_id is not None and entry.boot_id != status.boot_id:
            self.prefixes.remove_backend(status.backend_id)
        entry.boot_id = status.boot_id
        self._load.record_report(status, now)
        was_reachable = entry.is_reachable
        entry.report_failures = 0
        return () if was_reachable else (_reachability_change(status.backend_id, True),)

    def record_report_failure(self, backend_id: BackendId) -> tuple[AvailabilityChange, ...]:
        """Count a report that could not be had."""
        entry = self._entries.get(backend_id)
        if entry is None:
            return ()
        was_reachable = entry.is_reachable
        entry.report_failures += 1
        lost = was_reachable and not entry.is_reachable
        return (_reachability_change(backend_id, False),) if lost else ()

    def is_failing(self, backend_id: BackendId) -> bool:
        """Return whether reports failed lately, but not often enough to give up."""
        entry = self._entries.get(backend_id)
        return entry is not None and 0 < entry.report_failures < REPORT_FAILURES_TO_UNREACHABLE

    def start_attempt(
        self, backend_id: BackendId, attempt_id: AttemptId, now: float
    ) -> CircuitPermit | None:
        """Count an attempt as outstanding; ``None`` if the circuit breaker refuses it."""
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
        """Count an attempt as ended."""
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
        """Set which back ends this node watches and chooses from; ``None``: all.

        The owner of a weight rollout or a sample stream must watch all engines of its
        policy besides its own set.
        """
        self._watched = watched
        self._select_watched()

    def _select_watched(self) -> None:
        """Pick the watched entries, in the order of the configuration."""
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
        """Return whether this node watches a back end."""
        return self._watched is None or backend_id in self._watched

    def views(self, now: float) -> list[BackendView]:
        """Return every back end as this node sees it at ``now``, watched or not."""
        return self._views_of(self._entries, now)

    def watched_views(self, now: float) -> list[BackendView]:
        """Return the watched back ends as a choice sees them at ``now``."""
        return self._views_of(self._watched_entries, now)

    def views_for(self, addresses: Iterable[BackendAddress], now: float) -> list[BackendView]:
        """Return these back ends as this node sees them at ``now``, watched or not."""
        entries = {
            address.backend_id: self._entries[address.backend_id]
            for address in addresses
            if address.backend_id in self._entries
        }
        return self._views_of(entries, now)

    def _views_of(self, entries: Mapping[BackendId, _Entry], now: float) -> list[BackendView]:
        views: list[BackendView] = []
        for backend_id, entry in entries.items():
            flags = BackendFlags(
                is_reachable=entry.is_reachable,
                circuit_admits=entry.breaker.admits(now),
                is_draining=entry.drained_by is not None,
                is_leaving=entry.is_leaving,
            )
            self._load.set_flags(backend_id, flags)
            view = self._load.view(backend_id)
            if view is not None:
                views.append(view)
        return views

    def select(self, selects: LabelPredicate, model: str) -> tuple[BackendAddress, ...]:
        """Return the addresses of a model's back ends by their labels, watched or not."""
        return tuple(
            entry.address
            for entry in self._entries.values()
            if entry.labels.get(MODEL_LABEL) == model and selects(entry.labels)
        )

    def reported_version(self, backend_id: BackendId) -> WeightVersion | None:
        """Return the version that a back end last reported; ``None`` if it has not."""
        return self._load.reported_version(backend_id)

    def address(self, backend_id: BackendId) -> BackendAddress | None:
        """Return where a back end is reached; ``None`` if it is not known."""
        entry = self._entries.get(backend_id)
        return entry.address if entry else None

    def watched_addresses(self, kind: BackendKind) -> tuple[BackendAddress, ...]:
        """Return the addresses of the watched back ends of one kind, sorted."""
        return tuple(
            address for address in self.addresses(kind) if self.is_watched(address.backend_id)
        )

    def addresses(self, kind: BackendKind | None = None) -> tuple[BackendAddress, ...]:
        """Return the addresses of all back ends, of one kind if given, sorted."""
        return tuple(
            sorted(
                entry.address
                for entry in self._entries.values()
                if kind is None or entry.kind is kind
            )
        )


def _drain_change(backend_id: BackendId, drain: str, available: bool) -> AvailabilityChange:
    return AvailabilityChange(
        backend_id=backend_id,
        reason=RejectionReason.DRAINED,
        available=available,
        detail=f"drain {drain} {'ended' if available else 'in force'}",
    )


def _reachability_change(backend_id: BackendId, available: bool) -> AvailabilityChange:
    detail = "it reports again" if available else "its reports could not be had"
    return AvailabilityChange(
        backend_id=backend_id,
        reason=RejectionReason.UNREACHABLE,
        available=available,
        detail=detail,
    )
