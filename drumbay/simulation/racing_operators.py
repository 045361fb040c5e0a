"""Operators who change the same resources at the same time, through different nodes."""

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
from drumbay.simulation.outside_clock import virtual_now

APPLY_TIMEOUT_SECONDS = 40.0
SETTLE_PAUSE_SECONDS = 5.0
MOST_QUESTIONS = 20
SET_UP_PAUSE_SECONDS = 1.0


class AttemptedChange(msgspec.Struct, frozen=True, kw_only=True):
    """One compare-and-swap by an operator.

    Attributes:
        operation_id: Identity of the change.
        route: Route that was changed.
        expected_revision: Revision that the operator had seen.
        invoked_seconds: When it was sent.
        returned_seconds: When the outcome was known; ``None`` if it never was.
    """

    operation_id: str
    route: str
    expected_revision: Revision
    invoked_seconds: float
    returned_seconds: float | None


class RacingOperators:
    """Sets a deployment up and then changes its routes.

    Attributes:
        changes: Changes that were accepted or never had an outcome; refused ones are
            checked as requests that did not run.
    """

    def __init__(
        self, gateway: Gateway, history: History, random: Random, node_ids: tuple[NodeId, ...]
    ) -> None:
        """Create operators who reach these nodes."""
        self._gateway = gateway
        self._history = history
        self._random = random
        self._node_ids = node_ids
        self.changes: list[AttemptedChange] = []

    async def set_up(self, resources: tuple[AnyResource, ...]) -> None:
        """Apply the first resources, each until it is accepted."""
        for number, resource in enumerate(resources):
            operation_id = f"set-up-{number}"
            body = ApplyBody(resource=resource, operation_id=operation_id)
            for attempt in itertools.count():
                outcome = await self._apply(self._pick_node(), body, attempt)
                if outcome is RequestOutcome.ANSWERED:
                    break
                await asyncio.sleep(SET_UP_PAUSE_SECONDS)

    async def change_forever(self, name: str, mean_interval_seconds: float) -> None:
        """Change routes at random times until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(self._random.expovariate(1.0 / mean_interval_seconds))
            await self._change_one(f"{name}-{number}")
            number += 1

    async def _change_one(self, operation_id: str) -> None:
        node_id = self._pick_node()
        try:
            found = await self._gateway.call(node_id, _read_routes, APPLY_TIMEOUT_SECONDS)
        except DrumbayError:
            return
        if not found:
            return
        route, revision = self._random.choice(found)
        # The priority is changed within a range that changes no request's fate.
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
            outcome = await self._apply_and_settle(node_id, body)
        except asyncio.CancelledError:
            # The run ends; the change may be made all the same.
            self.changes.append(change)
            raise
        if outcome is RequestOutcome.ANSWERED:
            change = msgspec.structs.replace(change, returned_seconds=virtual_now())
        if outcome is not RequestOutcome.NOT_RUN:
            self.changes.append(change)

    async def _apply_and_settle(self, node_id: NodeId, body: ApplyBody) -> RequestOutcome:
        outcome = await self._apply(node_id, body, 0)
        if outcome in (RequestOutcome.MAY_HAVE_RUN, RequestOutcome.CUT_OFF):
            return await self._settle(body.operation_id)
        return outcome

    async def _apply(self, node_id: NodeId, body: ApplyBody, number: int) -> RequestOutcome:
        """Send one change and return what the operator learned."""
        invocation = Invocation(self._history, body.operation_id, number, node_id)
        invocation.invoked(repeatable=False)
        try:
            answer = await self._gateway.call(
                node_id, lambda run: run.node.apply(body), APPLY_TIMEOUT_SECONDS
            )
        except DrumbayError as error:
            return invocation.returned(outcome_of(error))
        return self._take_answer(invocation, answer)

    async def _settle(self, operation_id: str) -> RequestOutcome:
        """Ask until the outcome of a change is known."""
        for number in range(1, MOST_QUESTIONS + 1):
            await asyncio.sleep(SETTLE_PAUSE_SECONDS)
            node_id = self._pick_node()
            try:
                answer = await self._gateway.call(
                    node_id, lambda run: run.node.operation(operation_id), APPLY_TIMEOUT_SECONDS
                )
            except DrumbayError as error:
                if outcome_of(error) is RequestOutcome.NOT_RUN and _is_verdict(error):
                    return self._note_refusal(operation_id, number, node_id)
                continue
            if answer.outcome == WriteOutcome.ACCEPTED:
                self._accept(answer)
                return RequestOutcome.ANSWERED
        return RequestOutcome.MAY_HAVE_RUN

    def _note_refusal(self, operation_id: str, number: int, node_id: NodeId) -> RequestOutcome:
        """Note that a change, once in doubt, certainly was not made."""
        invocation = Invocation(self._history, operation_id, number, node_id)
        invocation.invoked(repeatable=False)
        return invocation.returned(RequestOutcome.NOT_RUN)

    def _take_answer(self, invocation: Invocation, answer: ApplyOutcomeBody) -> RequestOutcome:
        if answer.outcome == WriteOutcome.ACCEPTED:
            self._accept(answer)
            return invocation.returned(RequestOutcome.ANSWERED, invocation.operation_id.encode())
        return invocation.returned(RequestOutcome.MAY_HAVE_RUN)

    def _accept(self, answer: ApplyOutcomeBody) -> None:
        if answer.mod_revision is not None:
            accepted = ConfigurationAccepted(
                time_seconds=virtual_now(), revision=answer.mod_revision
            )
            self._history.add(accepted)

    def _pick_node(self) -> NodeId:
        return self._random.choice(self._node_ids)


def _is_verdict(error: DrumbayError) -> bool:
    """Return whether the node itself answered, so that the change was not made."""
    return isinstance(error, RequestFailedError)


async def _read_routes(run: NodeRun) -> list[tuple[Route, Revision]]:
    items = run.node.resources("Route", None).items
    return [
        (item.resource, item.mod_revision) for item in items if isinstance(item.resource, Route)
    ]
