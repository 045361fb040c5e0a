"""Client interface for calls to workers."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import WeightVersion
from drumbay.placement.regions import AllowedRegions
from drumbay.workers.records import (
    LoadOrder,
    OrderOutcome,
    ProbeResult,
    StreamEvent,
    Worker,
    WorkerLoad,
    WorkerRequest,
    WorkerResponse,
    WorkerStatus,
)


class WorkerStream(Protocol):
    """An open event stream."""

    @property
    def version(self) -> WeightVersion | None:
        """Return the weight version from the response headers."""
        ...

    @property
    def load(self) -> WorkerLoad | None:
        """Return the load from the response headers."""
        ...

    def events(self) -> AsyncIterator[tuple[StreamEvent, ...]]:
        """Yield events as they arrive; ends only when the stream is complete.

        Raises:
            WorkerBrokenError: The stream was cut off.
        """
        ...


class WorkerClient(Protocol):
    """Sends requests and orders to workers.

    Cancelling a call closes its connection, upon which the worker stops processing it.
    """

    def set_send_check(self, may_send: Callable[[Worker, AllowedRegions], bool]) -> None:
        """Ask ``may_send`` before a request is sent on a new connection, once it is open.

        It gets the worker and the regions in which the request may run at that time.
        """
        ...

    def set_close_listener(self, listener: Callable[[NetworkAddress], None]) -> None:
        """Call ``listener`` with the address of each idle connection that its worker closes.

        Workers that end do that, and others from time to time.
        """
        ...

    def has_idle_connection(self, worker: Worker) -> bool:
        """Return whether a repeatable request could reuse an idle connection."""
        ...

    async def probe(self, worker: Worker) -> ProbeResult:
        """Ask the worker for a response over a new connection."""
        ...

    async def responds(self, worker: Worker, timeout_seconds: float) -> bool:
        """Return whether the worker's process responds over a new connection, whatever it says."""
        ...

    async def call(self, worker: Worker, request: WorkerRequest) -> WorkerResponse:
        """Send a request and return the complete response.

        Raises:
            WorkerRefusedError: It did not run.
            WorkerBrokenError: It may have run.
        """
        ...

    def stream(
        self, worker: Worker, request: WorkerRequest
    ) -> AbstractAsyncContextManager[WorkerStream]:
        """Send a request with a streaming response; leaving the context closes it.

        Raises:
            WorkerRefusedError: It did not run.
            WorkerBrokenError: It may have run.
            WorkerFailedError: It ran and failed.
            WorkerRejectedError: It can never be served.
        """
        ...

    async def status(self, worker: Worker, *, fresh_connection: bool = False) -> WorkerStatus:
        """Return the worker's status report, over a new connection if requested.

        Raises:
            WorkerError: No report arrived.
        """
        ...

    async def order(self, worker: Worker, order: LoadOrder) -> OrderOutcome:
        """Send an order to load weights.

        Raises:
            WorkerError: No reply arrived; the order may still be carried out.
        """
        ...
