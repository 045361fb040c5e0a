"""Fair queue of the requests that wait for one service.

Callers' requests go before reward requests, and smaller ranks go first. Flows of the same rank take
turns by start-time fair queueing (Goyal, Vin and Cheng 1996, section 2), one request at a time;
within a flow the earliest deadline goes first. To prevent starvation, the rank of a waiting flow
improves over time, and a share of the turns is reserved for reward requests.
"""

import math

import msgspec

from drumbay.admission.records import AdmissionRequest

SECONDS_PER_RANK = 0.5
"""A flow's rank improves by one each time its oldest request has waited this long."""

TURNS_PER_REWARD = 4
"""While callers' requests wait too, every n-th turn goes to a reward request."""


class _Flow(msgspec.Struct):
    """The waiting requests of one rank and flow; ``start_tag`` belongs to the first one."""

    key: "_FlowKey"
    start_tag: float
    requests: list[AdmissionRequest] = msgspec.field(default_factory=list)


class _FlowKey(msgspec.Struct, frozen=True):
    is_reward: bool
    rank: int
    flow: str


class AdmissionQueue:
    """Queue of the requests that wait for one service."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._flows: dict[_FlowKey, _Flow] = {}
        self._finish_tags: dict[_FlowKey, float] = {}
        self._virtual_time = 0.0
        self._turns_since_reward = 0
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._count

    def push(self, request: AdmissionRequest) -> None:
        """Add a request."""
        key = _key_of(request)
        flow = self._flows.get(key)
        if flow is None:
            start_tag = max(self._virtual_time, self._finish_tags.pop(key, 0.0))
            flow = self._flows[key] = _Flow(key, start_tag)
        flow.requests.append(request)
        flow.requests.sort(key=lambda queued: queued.order_in_flow)
        self._count += 1

    def remove(self, request: AdmissionRequest) -> bool:
        """Remove a request; return whether it was queued."""
        flow = self._flows.get(_key_of(request))
        if flow is None or request not in flow.requests:
            return False
        self._remove(flow, request)
        return True

    def pop(self, now: float) -> AdmissionRequest:
        """Remove and return the next request; the queue must not be empty."""
        flow = self._next_flow(now)
        request = flow.requests[0]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += 1.0
        self._turns_since_reward = 0 if request.is_reward else self._turns_since_reward + 1
        self._remove(flow, request)
        self._drop_expired_tags()
        return request

    def requests(self) -> tuple[AdmissionRequest, ...]:
        """Return all queued requests, each flow in reverse order."""
        return tuple(
            request for flow in self._flows.values() for request in reversed(flow.requests)
        )

    def count_ahead(self, request: AdmissionRequest, now: float) -> int:
        """Estimate how many queued requests go before a queued or a new one.

        Each other flow of the same rank is assumed to get as many turns as the request's own flow.
        Later arrivals and turns reserved for reward requests are not counted.
        """
        own_key = _key_of(request)
        own_flow = self._flows.get(own_key)
        ahead_in_flow = 0
        if own_flow is not None:
            ahead_in_flow = sum(
                1 for queued in own_flow.requests if queued.order_in_flow < request.order_in_flow
            )
        own_order = (
            request.is_reward,
            self._effective_rank(own_flow, now) if own_flow else request.rank,
        )
        ahead = ahead_in_flow
        for key, flow in self._flows.items():
            order = (key.is_reward, self._effective_rank(flow, now))
            if key == own_key or order > own_order:
                continue
            is_same_order = order == own_order
            ahead += (
                min(len(flow.requests), ahead_in_flow + 1) if is_same_order else len(flow.requests)
            )
        return ahead

    def _next_flow(self, now: float) -> _Flow:
        flows = list(self._flows.values())
        rewards = [flow for flow in flows if flow.key.is_reward]
        if rewards and self._turns_since_reward >= TURNS_PER_REWARD - 1:
            flows = rewards
        return min(
            flows,
            key=lambda flow: (
                flow.key.is_reward,
                self._effective_rank(flow, now),
                flow.start_tag,
                flow.requests[0].deadline,
                flow.key.flow,
            ),
        )

    @staticmethod
    def _effective_rank(flow: _Flow, now: float) -> int:
        """Return the rank of a flow, improved by the time that its oldest request has waited."""
        oldest = min(request.arrived_at for request in flow.requests)
        return max(0, flow.key.rank - math.floor((now - oldest) / SECONDS_PER_RANK))

    def _remove(self, flow: _Flow, request: AdmissionRequest) -> None:
        flow.requests.remove(request)
        self._count -= 1
        if not flow.requests:
            del self._flows[flow.key]
            self._finish_tags[flow.key] = flow.start_tag

    def _drop_expired_tags(self) -> None:
        """Drop finish tags up to the virtual time, which no longer delay their flow."""
        if not self._flows:
            self._finish_tags.clear()
            return
        expired = [key for key, tag in self._finish_tags.items() if tag <= self._virtual_time]
        for key in expired:
            del self._finish_tags[key]


def _key_of(request: AdmissionRequest) -> _FlowKey:
    return _FlowKey(request.is_reward, request.rank, request.flow)
