"""Operators that change the same resources concurrently through different nodes."""

import asyncio
import itertools
from random import Random

import msgspec

from drumbay.api.schema import ApplyBody, ApplyOutcomeBody
from drumbay.configuration.outcomes import WriteOutcome
from drumbay.exceptions import DrumbayError, RequestFailedError
from drumbay.identifiers import NodeId, Revision
from drumbay.resources.schema import AnyResource, Route
from drumbay.simulation.callers import Invocation, outcome_of
from drumbay.simulation.gateway import Gateway, NodeRun
from drumbay.simulation.history import (
    ConfigurationAccepted,
    History,
    RequestOutcome,
)
from drumbay.simulation.simulation_clock import virtual_now

APPLY_TIMEOUT_SECONDS = 40.0
STATUS_QUERY_INTERVAL_SECONDS = 5.0
MAX_STATUS_QUERIES = 20
SET_UP_RETRY_SECONDS = 1.0


class AttemptedChange(msgspec.Struct, frozen=True, kw_only=True):
    """One compare-and-set by an operator.

    Attributes:
        operation_id: Identity of the change.
        route: Name of the changed route.
        expected_revision: Revision of the route that the operator read.
        invoked_seconds: Time at which the change was sent.
        returned_seconds: Time at which the outcome was known; ``None`` if it never was.
    """

    operation_id: str
    route: str
    expected_revision: Revision
    invoked_seconds: float
    returned_seconds: float | None


class ConcurrentOperators:
    """Applies the initial resources of a deployment and then changes its routes.

    Attributes:
        changes: Changes that were accepted or whose outcome is unknown; refused ones are
            recorded in the history as not run.
    """

    def __init__(
        self, gateway: Gateway, history: History, random: Random, node_ids: tuple[NodeId, ...]
    ) -> None:
        """Create operators that send to ``node_ids``."""
        self._gateway = gateway
        self._history = history
        self._random = random
        self._node_ids = node_ids
        self.changes: list[AttemptedChange] = []

    async def set_up(self, resources: tuple[AnyResource, ...]) -> None:
        """Apply the initial resources, retrying each until it is accepted."""
        for number, resource in enumerate(resources):
            operation_id = f"set-up-{number}"
            body = ApplyBody(resource=resource, operation_id=operation_id)
            for attempt in itertools.count():
                outcome = await self._apply(self._pick_node(), body, attempt)
                if outcome is RequestOutcome.ANSWERED:
                    break
                await asyncio.sleep(SET_UP_RETRY_SECONDS)

    async def run_changes(self, name: str, mean_interval_seconds: float) -> None:
        """Change routes at random times until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(self._random.expovariate(1.0 / mean_interval_seconds))
            await self._change_random_route(f"{name}-{number}")
            number += 1

    async def _change_random_route(self, operation_id: str) -> None:
        node_id = self._pick_node()
        try:
            routes = await self._gateway.call(node_id, _read_routes, APPLY_TIMEOUT_SECONDS)
        except DrumbayError:
            return
        if not routes:
            return
        route, revision = self._random.choice(routes)
        # Changes only the lowest bit, so that the order of the routes stays the same.
        priority = route.priority // 2 * 2 + self._random.randint(0, 1)
        changed = msgspec.structs.replace(route, priority=priority)
        body = ApplyBody(resource=changed, operation_id=operation_id, expected_revision=revision)
        change = AttemptedChange(
            operation_id=operation_id,
            route=route.name,
            expected_revision=revision,
            invoked_seconds=virtual_now(),
            returned_seconds=None,
        )
        try:
            outcome = await self._apply_and_poll(node_id, body)
        except asyncio.CancelledError:
            # The run ends, but the change may still be committed.
            self.changes.append(change)
            raise
        if outcome is RequestOutcome.ANSWERED:
            change = msgspec.structs.replace(change, returned_seconds=virtual_now())
        if outcome is not RequestOutcome.NOT_RUN:
            self.changes.append(change)

    async def _apply_and_poll(self, node_id: NodeId, body: ApplyBody) -> RequestOutcome:
        outcome = await self._apply(node_id, body, 0)
        if outcome in (RequestOutcome.MAY_HAVE_RUN, RequestOutcome.CUT_OFF):
            return await self._poll_outcome(body.operation_id)
        return outcome

    async def _apply(self, node_id: NodeId, body: ApplyBody, number: int) -> RequestOutcome:
        """Send one change and return its outcome as known to the operator."""
        invocation = Invocation(self._history, body.operation_id, number, node_id)
        invocation.record_invoked(repeatable=False)
        try:
            response = await self._gateway.call(
                node_id, lambda run: run.node.apply(body), APPLY_TIMEOUT_SECONDS
            )
        except DrumbayError as error:
            return invocation.record_returned(outcome_of(error))
        return self._record_response(invocation, response)

    async def _poll_outcome(self, operation_id: str) -> RequestOutcome:
        """Query the status of a change until its outcome is known."""
        for number in range(1, MAX_STATUS_QUERIES + 1):
            await asyncio.sleep(STATUS_QUERY_INTERVAL_SECONDS)
            node_id = self._pick_node()
            try:
                response = await self._gateway.call(
                    node_id, lambda run: run.node.operation(operation_id), APPLY_TIMEOUT_SECONDS
                )
            except DrumbayError as error:
                if outcome_of(error) is RequestOutcome.NOT_RUN and _is_node_response(error):
                    return self._record_refusal(operation_id, number, node_id)
                continue
            if response.outcome == WriteOutcome.ACCEPTED:
                self._record_accepted(response)
                return RequestOutcome.ANSWERED
        return RequestOutcome.MAY_HAVE_RUN

    def _record_refusal(self, operation_id: str, number: int, node_id: NodeId) -> RequestOutcome:
        """Record that a change with an unknown outcome turned out not to have run."""
        invocation = Invocation(self._history, operation_id, number, node_id)
        invocation.record_invoked(repeatable=False)
        return invocation.record_returned(RequestOutcome.NOT_RUN)

    def _record_response(
        self, invocation: Invocation, response: ApplyOutcomeBody
    ) -> RequestOutcome:
        if response.outcome == WriteOutcome.ACCEPTED:
            self._record_accepted(response)
            return invocation.record_returned(
                RequestOutcome.ANSWERED, invocation.operation_id.encode()
            )
        return invocation.record_returned(RequestOutcome.MAY_HAVE_RUN)

    def _record_accepted(self, response: ApplyOutcomeBody) -> None:
        if response.mod_revision is not None:
            accepted = ConfigurationAccepted(
                time_seconds=virtual_now(), revision=response.mod_revision
            )
            self._history.add(accepted)

    def _pick_node(self) -> NodeId:
        return self._random.choice(self._node_ids)


def _is_node_response(error: DrumbayError) -> bool:
    """Return whether the node itself reported the failure."""
    return isinstance(error, RequestFailedError)


async def _read_routes(run: NodeRun) -> list[tuple[Route, Revision]]:
    items = run.node.resources("Route", None).items
    return [
        (item.resource, item.mod_revision) for item in items if isinstance(item.resource, Route)
    ]
