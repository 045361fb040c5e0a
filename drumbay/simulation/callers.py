"""Clients that send live requests and record the outcomes in the history."""

import asyncio
from collections.abc import AsyncIterator
from random import Random

from drumbay.backends.interface import ApplicationResponse, TokenChunk
from drumbay.exceptions import DrumbayError, Execution, RequestFailedError
from drumbay.identifiers import IdempotencyKey, NodeId
from drumbay.requests.records import ApplicationCall, LiveRequest
from drumbay.simulation.gateway import (
    ConnectionClosedError,
    Gateway,
    NodeRefusedConnectionError,
    NodeRun,
)
from drumbay.simulation.history import (
    CompletionReturned,
    History,
    RequestInvoked,
    RequestOutcome,
    RequestReturned,
    VersionSpan,
)
from drumbay.simulation.simulation_clock import virtual_now
from drumbay.standins.application_model import answer_digest

MAX_INVOCATIONS = 4
MAX_RETRY_DELAY_SECONDS = 1.0
CALLER_TIMEOUT_SECONDS = 60.0


class Invocation:
    """One attempt to run an operation on one node."""

    def __init__(self, history: History, operation_id: str, number: int, node_id: NodeId) -> None:
        """Create an invocation without recording it."""
        self._history = history
        self.invocation_id = f"{operation_id}@{number}"
        self.operation_id = operation_id
        self.node_id = node_id

    def record_invoked(self, *, repeatable: bool) -> None:
        """Record that the request was sent."""
        self._history.add(
            RequestInvoked(
                time_seconds=virtual_now(),
                invocation_id=self.invocation_id,
                operation_id=self.operation_id,
                node_id=self.node_id,
                repeatable=repeatable,
            )
        )

    def record_returned(self, outcome: RequestOutcome, response: bytes = b"") -> RequestOutcome:
        """Record the outcome."""
        self._history.add(
            RequestReturned(
                time_seconds=virtual_now(),
                invocation_id=self.invocation_id,
                outcome=outcome,
                answer=response,
            )
        )
        return outcome

    def record_completion(self, chunks: list[TokenChunk]) -> None:
        """Record the returned completion."""
        spans = tuple(
            VersionSpan(
                weight_version=chunk.weight_version,
                first_index=chunk.first_index,
                token_ids=chunk.token_ids,
            )
            for chunk in chunks
            if chunk.token_ids
        )
        self._history.add(
            CompletionReturned(
                time_seconds=virtual_now(), invocation_id=self.invocation_id, spans=spans
            )
        )


def outcome_of(error: DrumbayError) -> RequestOutcome:
    """Map an error to the outcome that the caller can conclude from it."""
    if isinstance(error, RequestFailedError):
        not_run = error.execution is Execution.NOT_RUN
        return RequestOutcome.NOT_RUN if not_run else RequestOutcome.MAY_HAVE_RUN
    if isinstance(error, NodeRefusedConnectionError):
        return RequestOutcome.NOT_RUN
    if isinstance(error, ConnectionClosedError):
        return RequestOutcome.CUT_OFF
    return RequestOutcome.MAY_HAVE_RUN


class Callers:
    """Sends completions, lookups and bookings to randomly chosen nodes."""

    def __init__(
        self,
        gateway: Gateway,
        history: History,
        random: Random,
        node_ids: tuple[NodeId, ...],
        retry_probability: float,
    ) -> None:
        """Create callers that send to ``node_ids``."""
        self._gateway = gateway
        self._history = history
        self._random = random
        self._node_ids = node_ids
        self._retry_probability = retry_probability

    async def send_completion(self, operation_id: str, model: str, max_tokens: int) -> None:
        """Request one completion and read it to the end."""
        invocation = self._invocation(operation_id, 0)
        invocation.record_invoked(repeatable=True)
        try:
            chunks = await self._gateway.call(
                invocation.node_id,
                lambda run: _read_completion(run, operation_id, model, max_tokens),
                CALLER_TIMEOUT_SECONDS,
            )
        except DrumbayError as error:
            invocation.record_returned(outcome_of(error))
            return
        invocation.record_completion(chunks)
        invocation.record_returned(RequestOutcome.ANSWERED)

    async def send_lookup(self, operation_id: str, path_prefix: str) -> None:
        """Send one idempotent request."""
        invocation = self._invocation(operation_id, 0)
        await self._send(invocation, path_prefix, repeatable=True)

    async def send_booking(self, operation_id: str, path_prefix: str) -> None:
        """Send one at-most-once request; retry on other nodes if the outcome is unknown."""
        for number in range(MAX_INVOCATIONS):
            invocation = self._invocation(operation_id, number)
            outcome = await self._send(invocation, path_prefix, repeatable=False)
            if outcome is RequestOutcome.ANSWERED:
                return
            if self._random.random() > self._retry_probability:
                return
            await asyncio.sleep(self._random.uniform(0.0, MAX_RETRY_DELAY_SECONDS))

    def _invocation(self, operation_id: str, number: int) -> Invocation:
        node_id = self._random.choice(self._node_ids)
        return Invocation(self._history, operation_id, number, node_id)

    async def _send(
        self, invocation: Invocation, path_prefix: str, *, repeatable: bool
    ) -> RequestOutcome:
        invocation.record_invoked(repeatable=repeatable)
        try:
            response = await self._gateway.call(
                invocation.node_id,
                lambda run: _run_application(
                    run, invocation.operation_id, path_prefix, repeatable=repeatable
                ),
                CALLER_TIMEOUT_SECONDS,
            )
        except DrumbayError as error:
            return invocation.record_returned(outcome_of(error))
        digest = answer_digest(response.body).encode()
        return invocation.record_returned(RequestOutcome.ANSWERED, digest)


async def _read_completion(
    run: NodeRun, operation_id: str, model: str, max_tokens: int
) -> list[TokenChunk]:
    request = LiveRequest(
        request_id=run.node.new_request_id(),
        model=model,
        prompt=operation_id,
        max_tokens=max_tokens,
    )
    chunks: AsyncIterator[TokenChunk] = run.node.generate(request)
    return [chunk async for chunk in chunks]


async def _run_application(
    run: NodeRun, operation_id: str, path_prefix: str, *, repeatable: bool
) -> ApplicationResponse:
    call = ApplicationCall(
        request_id=run.node.new_request_id(),
        method="GET" if repeatable else "POST",
        path=f"{path_prefix}/{operation_id}",
        idempotency_key=None if repeatable else IdempotencyKey(operation_id),
        repeatable=repeatable,
    )
    return await run.node.run_application(call)
