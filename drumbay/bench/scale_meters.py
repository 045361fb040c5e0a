"""Counts what hollow nodes send: messages by subsystem, and polls of back ends."""

import time
from collections.abc import AsyncIterator, Callable

import msgspec

from drumbay.backends.interface import (
    BackendAddress,
    BackendNotReachedError,
    CacheEvent,
    EngineStatus,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.clock import SystemClock
from drumbay.comm.authentication import DatagramOpener, FrameSealer
from drumbay.comm.codec import FrameKind, encode_envelope
from drumbay.comm.interface import Message
from drumbay.identifiers import AttemptId, BootId, Fence, NodeId, WeightVersion
from drumbay.membership.messages import Gossip
from drumbay.simulation.trace import Trace, TraceValue
from drumbay.simulation.transport import SimulatedTransport

IP_AND_UDP_HEADER_BYTES = 28
IP_AND_TCP_HEADER_BYTES = 52
"""With TCP timestamps, as Linux sends them; acknowledgements alone are not counted."""

FRAME_SAMPLES = 2000
SAMPLE_KEY = b"key of the hollow cluster"
SAMPLE_PEER = "10.0.0.1:7000"
REPLY_EVENT = "reply"
DATAGRAM_EVENT = "datagram"


class Traffic(msgspec.Struct, kw_only=True):
    """Messages and bytes that one node sent for one subsystem."""

    messages: int = 0
    sent_bytes: int = 0


class FrameCost(msgspec.Struct, frozen=True, kw_only=True):
    """What authentication adds to a message.

    Attributes:
        added_bytes: Envelope and seal, without IP headers.
        seconds: Processor time of the sender and the receiver together.
    """

    added_bytes: int
    seconds: float


def measure_frame() -> FrameCost:
    """Measure the sealing and opening of a small datagram."""
    clock = SystemClock()
    sealer = FrameSealer(SAMPLE_KEY, BootId(f"{1:016x}"), clock)
    opener = DatagramOpener(SAMPLE_KEY, clock)
    message = Gossip(sender=NodeId("node-000"))
    payload = encode_envelope(FrameKind.DATAGRAM, 0, message)
    frame = sealer.seal(SAMPLE_PEER, payload)
    started = time.process_time()
    for _ in range(FRAME_SAMPLES):
        opener.open(SAMPLE_PEER, sealer.seal(SAMPLE_PEER, payload))
    spent = time.process_time() - started
    return FrameCost(
        added_bytes=len(frame) - len(msgspec.msgpack.encode(message)),
        seconds=spent / FRAME_SAMPLES,
    )


class MessageMeter(Trace):
    """A trace that keeps no events and counts messages by sender and subsystem.

    Attributes:
        replying_to: Type of the request whose reply is recorded next.
    """

    def __init__(self, frame: FrameCost) -> None:
        """Count from 0."""
        super().__init__(kept_events=0)
        self.replying_to: type[Message] = Message
        self._frame = frame
        self._subsystems: dict[str, str] = {}
        self._traffic: dict[tuple[str, str], Traffic] = {}

    def record(self, name: str, *values: TraceValue) -> None:
        """Count a message; the sender's host comes first, the payload last."""
        payload = values[-1]
        assert isinstance(payload, bytes)
        message_type = self.replying_to.__name__ if name == REPLY_EVENT else str(values[2])
        is_datagram = name == DATAGRAM_EVENT
        headers = IP_AND_UDP_HEADER_BYTES if is_datagram else IP_AND_TCP_HEADER_BYTES
        key = (str(values[0]), self._subsystem(message_type))
        traffic = self._traffic.setdefault(key, Traffic())
        traffic.messages += 1
        traffic.sent_bytes += len(payload) + self._frame.added_bytes + headers

    def _subsystem(self, message_type: str) -> str:
        if message_type not in self._subsystems:
            self._subsystems = {
                each.__name__: each.__module__.split(".")[1] for each in _subclasses(Message)
            }
        return self._subsystems[message_type]

    def reset(self) -> None:
        """Count from 0 again."""
        self._traffic = {}

    def subsystems(self) -> tuple[str, ...]:
        """Return the subsystems that sent anything, sorted."""
        return tuple(sorted({subsystem for _, subsystem in self._traffic}))

    def traffic(self, host: str, subsystem: str) -> Traffic:
        """Return what one host sent for one subsystem."""
        return self._traffic.get((host, subsystem), Traffic())


def _subclasses(parent: type[Message]) -> list[type[Message]]:
    found: list[type[Message]] = []
    for child in parent.__subclasses__():
        found.append(child)
        found.extend(_subclasses(child))
    return found


class MeteredTransport(SimulatedTransport):
    """Tells the meter which request a reply belongs to."""

    async def _handle(self, frame: object) -> Message:
        reply = await super()._handle(frame)  # type: ignore[arg-type]
        # NOTE: the caller records the reply without yielding to another task in between.
        meter = self._network.trace
        assert isinstance(meter, MessageMeter)
        meter.replying_to = frame.message_type  # type: ignore[attr-defined]
        return reply


class PollCounter(msgspec.Struct, kw_only=True):
    """Polls of back ends by one node."""

    statuses: int = 0
    cache_events: int = 0

    @property
    def exchanges(self) -> int:
        """Return the HTTP exchanges that the polls stand for."""
        return self.statuses + self.cache_events


class HollowEngineClient:
    """Engines that answer polls at once, idle and at version 1, and serve nothing else."""

    def __init__(self, model_of: Callable[[BackendAddress], str]) -> None:
        """Create the client of one node."""
        self.polls = PollCounter()
        self._model_of = model_of

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        """Refuse: hollow engines generate nothing."""
        raise BackendNotReachedError("a hollow engine generates nothing")
        yield  # pragma: no cover - makes this an async generator

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Do nothing."""

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Answer an order as a status."""
        return await self.status(engine, timeout_seconds=timeout_seconds)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return an idle engine's report."""
        self.polls.statuses += 1
        return EngineStatus(
            backend_id=engine.backend_id,
            boot_id=BootId("boot"),
            model=self._model_of(engine),
            weight_version=WeightVersion(1),
            highest_fence=Fence(0),
            running=0,
            waiting=0,
        )

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return no events."""
        self.polls.cache_events += 1
        return ()
