"""Client requests and the errors of forwarding them."""

from collections.abc import Callable

import msgspec

from drumbay.exceptions import Execution, RequestFailedError
from drumbay.placement.regions import AllowedRegions, any_region
from drumbay.quarantine.fingerprint import Fingerprint, fingerprint_of
from drumbay.quarantine.records import CrashPolicy
from drumbay.tenants.records import TenantName


class ForwardingError(RequestFailedError):
    """A request could not be served.

    Attributes:
        worker_failures: Number of workers that ran the request and failed.
    """

    def __init__(
        self,
        detail: str,
        *,
        execution: Execution,
        retry_after_seconds: float | None = None,
        worker_failures: int = 0,
    ) -> None:
        """Store the details of the failure."""
        super().__init__(detail, execution=execution, retry_after_seconds=retry_after_seconds)
        self.worker_failures = worker_failures


class NoWorkerError(ForwardingError):
    """No worker accepted the request."""

    code = "no_worker"


class RequestTimedOutError(ForwardingError):
    """The request's deadline or the route's timeout expired."""

    code = "request_timed_out"
    http_status = 504


class ResponseLostError(ForwardingError):
    """The request may have run, but no complete response arrived."""

    code = "answer_lost"
    http_status = 502


class RequestQuarantinedError(ForwardingError):
    """Workers crashed while running the request, and it is quarantined."""

    code = "held_back"
    http_status = 502


class RewardOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Queueing order of reward requests: oldest batch job first, then the lowest priority value.

    ``ends_at`` is the monotonic time at which workers stop, the same for each repetition: whoever
    sends a request again has only what is left of its first budget.
    """

    batch_started_at: float
    batch_priority: int
    ends_at: float


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A client request to be forwarded to a worker.

    ``tenant`` is the owner of the request's API key. ``caller_address`` is the client's address,
    empty for internal requests. ``priority`` 0 is the most urgent. ``reward_order`` is set for
    reward requests, which are queued behind client requests. ``allowed_regions`` returns the
    regions that restrict the request now in addition to its route and tenant.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    budget_seconds: float
    tenant: TenantName | None = None
    caller_address: str = ""
    priority: int = 0
    reward_order: RewardOrder | None = None
    allowed_regions: Callable[[], AllowedRegions] = any_region

    @property
    def is_interactive(self) -> bool:
        """Return whether a client waits for the response, in contrast to internal requests."""
        return self.caller_address != ""

    def worker_budget_seconds(self, remaining: float, now: float) -> float:
        """Return the time that a worker gets, if so much is left until the deadline."""
        return remaining if self.reward_order is None else self.reward_order.ends_at - now

    @property
    def crash_policy(self) -> CrashPolicy:
        """Return what happens to the request after crashes of its workers."""
        return CrashPolicy.HOLD if self.reward_order is None else CrashPolicy.RETRY

    @property
    def fingerprint(self) -> Fingerprint:
        """Return a fingerprint that is the same for all retries of the request.

        Tenants are kept apart, so that none can get the requests of another one held. Clients
        without a key are not: one may have several addresses, and several may have one.
        """
        return fingerprint_of(
            caller=self.tenant or "",
            method=self.method,
            host=self.host,
            target=self.target,
            body=self.body,
        )
