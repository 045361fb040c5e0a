"""A worker and what this node has seen of it: whether requests may go there, and what they meet."""

import msgspec

from drumbay.identifiers import WeightVersion
from drumbay.workers.answer_pace import AnswerPace
from drumbay.workers.pace import PaceEstimate
from drumbay.workers.records import Worker, WorkerState

LOAD_REPORT_LIFETIME_SECONDS = 0.6
"""How long a load report counts; runs last about as long."""


class Refusals(msgspec.Struct, kw_only=True):
    """Refusals in a row of requests for one model, as while its weights are loaded."""

    count: int = 0
    paused_until: float = float("-inf")


class LoadUnderWay(msgspec.Struct, frozen=True, kw_only=True):
    """Weights that a worker was ordered to load, and when they should be in place."""

    version: WeightVersion
    until: float


class WorkerRecord(msgspec.Struct, kw_only=True):
    """A worker and what this node has seen of it.

    ``in_flight`` counts this node's requests there, ``body_bytes`` the bodies that clients sent
    with them; ``expected_tokens`` is the sum of what those of batch items are expected to generate,
    which the worker keeps in its memory meanwhile. ``pace`` is that of its streams, ``answers``
    that of its whole answers; ``slowdown`` is part of its last load report. A worker that
    ``is_shared`` says that others use its machine as well.
    With ``is_start_reported`` a report told of the start before any entry of discovery did.
    """

    worker: Worker
    versions: dict[str, WeightVersion]
    in_flight: int = 0
    body_bytes: int = 0
    expected_tokens: int = 0
    others: int = 0
    is_shared: bool = False
    slowdown: float = 1.0
    reported_at: float = float("-inf")
    paused_until: float = float("-inf")
    failures: int = 0
    pace: PaceEstimate = msgspec.field(default_factory=PaceEstimate)
    answers: AnswerPace = msgspec.field(default_factory=AnswerPace)
    loads: dict[str, LoadUnderWay] = msgspec.field(default_factory=dict)
    refusals: dict[str, Refusals] = msgspec.field(default_factory=dict)
    missing_until: float | None = None
    is_start_reported: bool = False

    def busy(self, now: float) -> int:
        """Return the requests on the worker as far as known."""
        return self.in_flight + self.others_busy(now)

    def others_busy(self, now: float) -> int:
        """Return the requests of other nodes on the worker as far as known."""
        if now - self.reported_at > LOAD_REPORT_LIFETIME_SECONDS:
            return 0
        return self.others

    def free_slots(self, now: float) -> int:
        """Return the places that this node may still take; never more than its slots."""
        return max(0, self.worker.slots - self.busy(now))

    def is_available(self, now: float) -> bool:
        """Return whether new requests may go there."""
        return self.worker.state is WorkerState.READY and now >= self.paused_until

    def takes(self, model: str, now: float) -> bool:
        """Return whether requests for a model may go there, should a place be free."""
        load = self.loads.get(model)
        return self.is_available(now) and (load is None or now >= load.until)

    def is_refusing(self, model: str, now: float) -> bool:
        """Return whether the worker has refused requests for a model so lately that none goes."""
        refusals = self.refusals.get(model)
        return refusals is not None and now < refusals.paused_until

    def free_slots_for(self, model: str, now: float, others: int | None = None) -> int:
        """Return the places for requests of a model: after refusals, one probe at a time.

        Args:
            model: The model.
            now: Monotonic time.
            others: Requests of other nodes there; ``None`` to go by the worker's last report.
        """
        if not self.takes(model, now):
            return 0
        busy_others = self.others_busy(now) if others is None else others
        free = max(0, self.worker.slots - self.in_flight - busy_others)
        if self.is_refusing(model, now):
            return 0
        return min(1, free) if model in self.refusals else free

    def version_of(self, model: str, now: float) -> WeightVersion | None:
        """Return the version of a model, as seen or as due by now; ``None`` if it holds none.

        Discovery tells of a load up to a second after its end. A worker that is late refuses
        requests meanwhile, and the head of an answer tells if the load was not carried out.
        """
        seen = self.versions.get(model)
        load = self.loads.get(model)
        if load is None or seen is None or now < load.until:
            return seen
        return max(seen, load.version)
