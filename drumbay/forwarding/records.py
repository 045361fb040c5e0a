"""A client's request on its way to workers, and the ways in which it can fail."""

import msgspec

from drumbay.exceptions import Execution, RequestFailedError
from drumbay.quarantine.fingerprint import Fingerprint, fingerprint_of
from drumbay.tenants.records import TenantName


class ForwardingError(RequestFailedError):
    """A request was not served.

    Attributes:
        worker_failures: How many workers ran the request and failed.
    """

    def __init__(
        self,
        detail: str,
        *,
        execution: Execution,
        retry_after_seconds: float | None = None,
        worker_failures: int = 0,
    ) -> None:
        """Store what is known about the failure."""
        super().__init__(detail, execution=execution, retry_after_seconds=retry_after_seconds)
        self.worker_failures = worker_failures


class NoWorkerError(ForwardingError):
    """No worker could take the request."""

    code = "no_worker"


class RequestTimedOutError(ForwardingError):
    """The deadline or the route's time limit passed without an answer."""

    code = "request_timed_out"
    http_status = 504


class AnswerLostError(ForwardingError):
    """The request may have run, but no whole answer came."""

    code = "answer_lost"
    http_status = 502


class RequestHeldBackError(ForwardingError):
    """Workers have ended under the request, and it must not reach another one now."""

    code = "held_back"
    http_status = 502


class RewardOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Which reward requests go first: those of the oldest batch job, then the smaller priority."""

    batch_started_at: float
    batch_priority: int


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A client's request, as it goes out to a worker.

    ``tenant`` is the one whose key it had; ``caller_address`` is where it came from, empty for
    requests of the system's own. ``priority`` ranks it where requests compete: 0 goes first.
    ``reward_order`` is given for a reward request, which goes behind callers' requests.
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

    @property
    def is_awaited(self) -> bool:
        """Return whether a caller waits for the answer: it is not a request of the system's own."""
        return self.caller_address != ""

    @property
    def fingerprint(self) -> Fingerprint:
        """Return what all tries of the same request have in common."""
        return fingerprint_of(
            caller=self.tenant or self.caller_address,
            method=self.method,
            host=self.host,
            target=self.target,
            body=self.body,
        )
