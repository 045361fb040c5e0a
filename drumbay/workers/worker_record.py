"""A worker and this node's observations of it."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import WeightVersion
from drumbay.workers.event_intervals import EventIntervalEstimate
from drumbay.workers.records import Worker, WorkerState
from drumbay.workers.response_stats import ResponseStats
from drumbay.workers.responsiveness import Responsiveness

LOAD_REPORT_LIFETIME_SECONDS = 0.6
"""Age after which a load report is ignored."""


class WorkerChange(StrEnum):
    """What the entry of a worker, or its status report, shows."""

    LISTED = "listed"
    """The worker is in the first snapshot."""

    STARTED = "started"
    """It was not known during operation, or is another incarnation."""

    UPDATED = "updated"
    """Also if the entry was missing while the worker remained in use."""


class WorkerEndEvidence(StrEnum):
    """What shows that a worker has ended."""

    ENTRY_GONE = "entry_gone"
    """Its discovery entry is gone: it has ended, or has left, or cannot reach the store."""
    RESTARTED = "restarted"
    """Another incarnation of it is listed, or has reported."""
    ADDRESS_TAKEN = "address_taken"
    """Another worker is listed at its address."""


class ModelRefusals(msgspec.Struct, kw_only=True):
    """Consecutive refusals of requests for one model, for example while its weights are loading."""

    count: int = 0
    paused_until: float = float("-inf")


class PendingWeightLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A weight load ordered from a worker, and the time at which it should be complete."""

    version: WeightVersion
    until: float


class WorkerRecord(msgspec.Struct, kw_only=True):
    """A worker and this node's observations of it.

    ``in_flight`` counts this node's requests on the worker, ``body_bytes`` is the size of their
    bodies, and ``expected_tokens`` the total expected output of batch items, which occupies the
    worker's memory. ``event_intervals`` describes streams, ``response_stats`` complete responses,
    and ``responsiveness`` whether it responds at all.
    ``other_requests``, ``slowdown`` and ``is_shared`` come from the last load report, received at
    ``reported_at``. ``is_start_reported`` is set if a status report revealed the incarnation before
    discovery did. ``is_unreachable`` is set if no connection could be opened or the worker failed
    again after its pause, until it responds.
    """

    worker: Worker
    versions: dict[str, WeightVersion]
    in_flight: int = 0
    body_bytes: int = 0
    expected_tokens: int = 0
    other_requests: int = 0
    is_shared: bool = False
    slowdown: float = 1.0
    reported_at: float = float("-inf")
    paused_until: float = float("-inf")
    failures: int = 0
    event_intervals: EventIntervalEstimate = msgspec.field(default_factory=EventIntervalEstimate)
    response_stats: ResponseStats = msgspec.field(default_factory=ResponseStats)
    responsiveness: Responsiveness = msgspec.field(default_factory=Responsiveness)
    pending_loads: dict[str, PendingWeightLoad] = msgspec.field(default_factory=dict)
    refusals: dict[str, ModelRefusals] = msgspec.field(default_factory=dict)
    missing_until: float | None = None
    is_start_reported: bool = False
    is_unreachable: bool = False

    def estimated_requests(self, now: float) -> int:
        """Return the number of requests on the worker, as far as it is known."""
        return self.in_flight + self.reported_other_requests(now)

    def reported_other_requests(self, now: float) -> int:
        """Return the last reported number of other nodes' requests; 0 if the report is outdated."""
        if now - self.reported_at > LOAD_REPORT_LIFETIME_SECONDS:
            return 0
        return self.other_requests

    def free_slots(self, now: float) -> int:
        """Return the number of slots that this node may still use."""
        return max(0, self.worker.slots - self.estimated_requests(now))

    def is_available(self, now: float) -> bool:
        """Return whether new requests may be sent to the worker."""
        return self.worker.state is WorkerState.READY and now >= self.paused_until

    def accepts_model(self, model: str, now: float) -> bool:
        """Return whether the worker accepts requests for a model if it has a free slot."""
        load = self.pending_loads.get(model)
        return self.is_available(now) and (load is None or now >= load.until)

    def is_refusing(self, model: str, now: float) -> bool:
        """Return whether requests for a model are paused after refusals."""
        refusals = self.refusals.get(model)
        return refusals is not None and now < refusals.paused_until

    def free_slots_for(self, model: str, now: float, others: int | None = None) -> int:
        """Return the free slots for a model; after refusals at most one, as a probe.

        Args:
            model: The model.
            now: Monotonic time.
            others: Requests of other nodes on the worker; ``None`` to use the last load report.
        """
        if not self.accepts_model(model, now):
            return 0
        other_requests = self.reported_other_requests(now) if others is None else others
        free = max(0, self.worker.slots - self.in_flight - other_requests)
        if self.is_refusing(model, now):
            return 0
        return min(1, free) if model in self.refusals else free

    def version_of(self, model: str, now: float) -> WeightVersion | None:
        """Return the version of a model, ``None`` if it is not loaded.

        A load that should be complete counts as complete, since discovery reports it up to a second
        late. If it is still running, the worker refuses requests; if it was not carried out,
        response headers show the old version.
        """
        observed = self.versions.get(model)
        load = self.pending_loads.get(model)
        if load is None or observed is None or now < load.until:
            return observed
        return max(observed, load.version)
