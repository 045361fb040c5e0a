"""The order in which waiting requests of one service go out.

The load it answers: a tenant's burst beside many small tenants, urgent requests beside others, and
the reward requests of a training step, sixty at a moment, beside lookups.

Callers' requests go before reward requests, and the smallest rank first. Flows of one rank share by
start-time fair queueing (Goyal, Vin and Cheng 1996, section 2), one request at a time; within a
flow the earliest deadline goes first. Ranks rise with the wait, and reward requests keep a part of
the turns, so that neither is starved.
"""

import math

import msgspec

from drumbay.admission.records import AdmissionRequest

SECONDS_A_RANK = 0.5
"""A flow rises by one rank for each such time that its oldest request has waited: within the usual
deadlines, of two seconds, a request that is two ranks behind still has its turn."""

TURNS_A_REWARD = 4
"""One turn in so many is a reward request's while both kinds wait: a step waits for its last score,
and trainers for their steps, yet callers have the larger part."""


class _Flow(msgspec.Struct):
    """The waiting requests of one rank and flow; ``start`` is the start tag of the first."""

    key: "_FlowKey"
    start: float
    requests: list[AdmissionRequest] = msgspec.field(default_factory=list)


class _FlowKey(msgspec.Struct, frozen=True):
    is_reward: bool
    rank: int
    flow: str


class AdmissionQueue:
    """Requests that wait for one service."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._flows: dict[_FlowKey, _Flow] = {}
        self._finish: dict[_FlowKey, float] = {}
        self._virtual_time = 0.0
        self._turns_since_reward = 0
        self._count = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return self._count

    def push(self, request: AdmissionRequest) -> None:
        """Add a request."""
        key = _key_of(request)
        flow = self._flows.get(key)
        if flow is None:
            start = max(self._virtual_time, self._finish.pop(key, 0.0))
            flow = self._flows[key] = _Flow(key, start)
        flow.requests.append(request)
        flow.requests.sort(key=lambda waiting: waiting.order_in_flow)
        self._count += 1

    def remove(self, request: AdmissionRequest) -> bool:
        """Take out a request that waits no longer; return whether it did."""
        flow = self._flows.get(_key_of(request))
        if flow is None or request not in flow.requests:
            return False
        self._take_out(flow, request)
        return True

    def pop(self, now: float) -> AdmissionRequest:
        """Return the request whose turn it is; the queue must not be empty."""
        flow = self._next_flow(now)
        request = flow.requests[0]
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += 1.0
        self._turns_since_reward = 0 if request.is_reward else self._turns_since_reward + 1
        self._take_out(flow, request)
        self._forget_past_tags()
        return request

    def waiting(self) -> tuple[AdmissionRequest, ...]:
        """Return all requests, the last of each flow first."""
        return tuple(
            request for flow in self._flows.values() for request in reversed(flow.requests)
        )

    def count_ahead(self, request: AdmissionRequest, now: float) -> int:
        """Return about how many go out before a request, whether or not it is in the queue.

        Flows of its rank have as many turns as its own before it. What comes later is not counted,
        nor are the turns that reward requests keep.
        """
        own_key = _key_of(request)
        own_flow = self._flows.get(own_key)
        own_ahead = 0
        if own_flow is not None:
            own_ahead = sum(1 for w in own_flow.requests if w.order_in_flow < request.order_in_flow)
        own_order = (request.is_reward, self._rank(own_flow, now) if own_flow else request.rank)
        ahead = own_ahead
        for key, flow in self._flows.items():
            order = (key.is_reward, self._rank(flow, now))
            if key == own_key or order > own_order:
                continue
            is_equal = order == own_order
            ahead += min(len(flow.requests), own_ahead + 1) if is_equal else len(flow.requests)
        return ahead

    def _next_flow(self, now: float) -> _Flow:
        flows = list(self._flows.values())
        rewards = [flow for flow in flows if flow.key.is_reward]
        if rewards and self._turns_since_reward >= TURNS_A_REWARD - 1:
            flows = rewards
        return min(
            flows,
            key=lambda flow: (
                flow.key.is_reward,
                self._rank(flow, now),
                flow.start,
                flow.requests[0].deadline,
                flow.key.flow,
            ),
        )

    @staticmethod
    def _rank(flow: _Flow, now: float) -> int:
        """Return the rank of a flow's requests, which rises with their wait."""
        oldest = min(request.arrived_at for request in flow.requests)
        return max(0, flow.key.rank - math.floor((now - oldest) / SECONDS_A_RANK))

    def _take_out(self, flow: _Flow, request: AdmissionRequest) -> None:
        flow.requests.remove(request)
        self._count -= 1
        if not flow.requests:
            del self._flows[flow.key]
            self._finish[flow.key] = flow.start

    def _forget_past_tags(self) -> None:
        """Forget flows whose next request would start at the present virtual time anyway."""
        if not self._flows:
            self._finish.clear()
            return
        past = [key for key, tag in self._finish.items() if tag <= self._virtual_time]
        for key in past:
            del self._finish[key]


def _key_of(request: AdmissionRequest) -> _FlowKey:
    return _FlowKey(request.is_reward, request.rank, request.flow)
