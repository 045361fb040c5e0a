"""What is known about workers, and what is exchanged with them."""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import BackendId, Fence, WeightVersion
from drumbay.tenants.records import TenantName


class WorkerState(StrEnum):
    """Whether a worker takes new requests."""

    READY = "ready"
    DRAINING = "draining"


class Listening(StrEnum):
    """Whether anybody takes connections at a worker's address; it may be another worker."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    """The machine answers that nobody listens: the process there has ended."""
    SILENT = "silent"
    """Nothing is known: a cut, a machine without power, or a long way."""


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """One worker as discovery describes it.

    ``versions`` maps models to weight versions; ``release`` names that of its software. A worker
    may start again under its id, and then knows nothing of before: ``started_at_ms`` tells the
    starts apart (Unix milliseconds). 0 where the worker does not tell it.
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

    @property
    def start(self) -> "WorkerStart":
        """Return which start of the worker this is."""
        return WorkerStart(worker_id=self.worker_id, started_at_ms=self.started_at_ms)


class WorkerStart(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One start of a worker; ``started_at_ms`` is 0 where the worker does not tell it."""

    worker_id: BackendId
    started_at_ms: int = 0


class WorkerLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a worker reports: requests running, requests waiting, places.

    ``slowdown`` is the time that work takes there at the moment, relative to its usual time: a
    worker shares its machine with others. 1 where the worker does not tell; ``is_shared`` says
    whether it does.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    is_shared: bool = False


class WorkerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for one worker.

    ``headers`` go out unchanged; ``budget_seconds`` tells the worker how long to work;
    ``resume_after`` asks for the events after that number; ``priority`` says which requests
    the worker admits first (0 the most urgent), ``None`` leaves it to the worker. A request
    that is ``repeatable`` may be sent again when a kept connection turns out to be closed.
    ``tenant`` is told to the worker in place of the caller's key. With ``fresh_connection`` it
    goes out over a new connection: those that are kept may have fallen silent.
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


class WorkerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's whole answer, to be returned unchanged.

    ``stamp`` is the worker's own mark of the run that made the answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    load: WorkerLoad | None
    stamp: str = ""


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a stream, with the weight version that made it."""

    number: int
    data: str
    version: WeightVersion


class LoadMode(StrEnum):
    """What happens to runs of a model whose weights are replaced."""

    FINISH_FIRST = "finish_first"
    KEEP_RUNNING = "keep_running"


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's own report.

    ``sequence`` counts the orders it has taken since its start, ``started_at_ms`` (0 if it does
    not tell).
    """

    busy: bool
    sequence: int
    versions: Mapping[str, WeightVersion]
    started_at_ms: int = 0


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to load one version of a model, valid only at ``expected_sequence``."""

    model: str
    version: WeightVersion
    mode: LoadMode
    holder: str
    fence: Fence
    expected_sequence: int


class OrderOutcome(StrEnum):
    """What a worker answered to an order."""

    STARTED = "started"
    ALREADY_HELD = "already_held"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"


class WorkerError(UnavailableError):
    """A worker did not serve a request."""

    code = "worker"


class WorkerRefusedError(WorkerError):
    """The worker proved that it did not run the request."""

    code = "worker_refused"


class WorkerMisdirectedError(WorkerRefusedError):
    """Another worker, or other weights, stand at the address; the request did not run."""

    code = "worker_misdirected"


class WorkerUnreachableError(WorkerRefusedError):
    """No connection came up; the request did not reach the worker."""

    code = "worker_unreachable"


class WorkerBrokenError(WorkerError):
    """No whole answer came; the request may have run."""

    code = "worker_broken"


class WorkerFailedError(WorkerError):
    """The worker ran the request and failed."""

    code = "worker_failed"


class WorkerTimedOutError(WorkerFailedError):
    """The worker ran the request until its time was up."""

    code = "worker_timed_out"


class WorkerRejectedError(WorkerError):
    """The worker says that the request can never be served."""

    code = "worker_rejected"
