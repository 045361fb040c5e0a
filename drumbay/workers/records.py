"""Records of workers, and the messages exchanged with them."""

from collections.abc import Callable, Mapping
from enum import StrEnum

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.placement.regions import AllowedRegions, any_region
from drumbay.tenants.records import TenantName


class WorkerState(StrEnum):
    """Whether a worker accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class ProbeResult(StrEnum):
    """Result of asking a worker for a response over a new connection."""

    RESPONDS = "responds"
    REPLACED = "replaced"
    """Another worker, or another incarnation of it, responds at its address."""
    REFUSES = "refuses"
    """The connection is refused: the worker process has ended."""
    SILENT = "silent"
    """No response: a network partition, a failed machine, a proxy without it or high latency."""


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as described by service discovery.

    ``versions`` maps models to weight versions; ``release`` is the software version. A worker that
    restarts under the same id has lost its state; ``started_at_ms`` (Unix milliseconds, 0 if
    unknown) identifies the incarnation. ``warm_up_left_seconds`` is how long it stays cold, as of
    its entry.
    """

    worker_id: BackendId
    service: str
    address: NetworkAddress
    zone: str
    slots: int
    state: WorkerState
    versions: Mapping[str, WeightVersion]
    release: str = ""
    started_at_ms: int = 0
    warm_up_left_seconds: float = 0.0

    @property
    def incarnation(self) -> "WorkerIncarnation":
        """Return the worker's incarnation."""
        return WorkerIncarnation(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


class WorkerIncarnation(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One incarnation of a worker; ``started_at_ms`` is 0 if unknown."""

    worker_id: BackendId
    started_at_ms: int = 0


class WorkerLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load reported by a worker: running and waiting requests, and slots.

    ``slowdown`` is the current run time relative to the normal one, since other workloads may share
    the machine; 1 if not reported. ``is_shared`` says whether the worker reports it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    is_shared: bool = False


class WorkerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to one worker.

    ``headers`` are sent unchanged. ``budget_seconds`` is the time that the worker may spend.
    ``resume_after`` requests the events after that number. ``priority`` is the admission priority
    at the worker (0 is the most urgent); ``None`` leaves it to the worker. A ``repeatable`` request
    may be resent if an idle connection turns out to be closed. ``tenant`` is sent in place of the
    client's key. With ``fresh_connection`` idle connections are not used, since they may be
    stalled. ``allowed_regions`` returns the regions in which the request may run now.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget_seconds: float
    resume_after: int | None = None
    priority: int | None = None
    repeatable: bool = False
    tenant: TenantName | None = None
    fresh_connection: bool = False
    allowed_regions: Callable[[], AllowedRegions] = any_region


class WorkerResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's complete response, returned to the client unchanged.

    ``stamp`` is the worker's identifier of the run. ``warm_up_left_seconds`` is how long the worker
    stays cold, ``None`` if it does not say.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    load: WorkerLoad | None
    stamp: str = ""
    warm_up_left_seconds: float | None = None


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a stream, with the weight version that it was generated with."""

    number: int
    data: str
    version: WeightVersion


class LoadMode(StrEnum):
    """What happens to running requests of a model whose weights are replaced."""

    FINISH_FIRST = "finish_first"
    KEEP_RUNNING = "keep_running"


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's status report.

    ``sequence`` is the number of orders accepted since its start at ``started_at_ms`` (0 if
    unknown). ``warm_up_left_seconds`` is how long the worker stays cold, ``None`` if it does not
    say.
    """

    busy: bool
    sequence: int
    versions: Mapping[str, WeightVersion]
    started_at_ms: int = 0
    warm_up_left_seconds: float | None = None


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to load a weight version; valid only if the worker is at ``expected_sequence``."""

    model: str
    version: WeightVersion
    mode: LoadMode
    holder: str
    fence: Fence
    expected_sequence: int


class OrderOutcome(StrEnum):
    """A worker's reply to an order."""

    STARTED = "started"
    ALREADY_HELD = "already_held"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"


class WorkerError(UnavailableError):
    """A worker did not serve a request.

    ``is_response`` states whether the worker itself has said so.
    """

    code = "worker"
    is_response = False


class WorkerRefusedError(WorkerError):
    """The worker did not run the request."""

    code = "worker_refused"
    is_response = True


class WorkerNotEligibleError(WorkerRefusedError):
    """This node must not send the request to the worker now; it was not sent."""

    code = "worker_not_eligible"
    is_response = False


class WorkerMisdirectedError(WorkerRefusedError):
    """Another worker, or one with other weights, has the address; the request did not run."""

    code = "worker_misdirected"
    is_response = False


class WorkerUnreachableError(WorkerRefusedError):
    """The connection could not be opened; the request was not sent."""

    code = "worker_unreachable"
    is_response = False


class WorkerBrokenError(WorkerError):
    """The response is incomplete or missing; the request may have run."""

    code = "worker_broken"


class WorkerAnswerLostError(WorkerBrokenError):
    """The worker ended the exchange itself, without a response that can be read."""

    code = "worker_answer_lost"


class WorkerCutOffError(WorkerBrokenError):
    """The worker accepted the request, but its response is incomplete."""

    code = "worker_cut_off"


class WorkerConnectionClosedError(WorkerBrokenError):
    """The reused connection closed before the response.

    The worker may have run the request, may have crashed, or may have closed the idle connection
    while the request was on its way.
    """

    code = "worker_connection_closed"


class WorkerFailedError(WorkerError):
    """The worker ran the request and failed."""

    code = "worker_failed"
    is_response = True


class WorkerTimedOutError(WorkerFailedError):
    """The worker ran the request until its deadline."""

    code = "worker_timed_out"


class WorkerRejectedError(WorkerError):
    """The worker will never be able to serve the request."""

    code = "worker_rejected"
    is_response = True
