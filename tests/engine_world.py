"""Test fixture: one emulated engine on virtual time."""

import random
from collections.abc import Awaitable, Callable

from drumbay.backends.interface import (
    BackendAddress,
    FencedOrder,
    GenerationRequest,
    OrderKind,
    TokenChunk,
)
from drumbay.backends.memory import BackendNetwork, MemoryEngineClient
from drumbay.identifiers import AttemptId, BackendId, Fence, WeightVersion
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.execution_log import (
    GenerationEnded,
    VersionSpan,
)
from drumbay.standins.faults import FaultCommand, FaultKind

MODEL = "advies"
URL = "http://engine"
ADDRESS = BackendAddress(BackendId("engine"), URL)
TIMEOUT_SECONDS = 1000.0


class EngineHarness:
    """One engine with a client."""

    def __init__(self, parameters: EngineParameters | None = None) -> None:
        clock = SimulationClock()
        rng = random.Random(7)
        version = WeightVersion(1)
        self.engine = EngineModel(clock, BackendId("engine"), MODEL, version, rng, parameters)
        self.network = BackendNetwork(clock)
        self.client = MemoryEngineClient(clock, {URL: self.engine}, self.network)
        self.responses: dict[AttemptId, list[TokenChunk]] = {}

    async def generate(self, request: GenerationRequest) -> list[TokenChunk]:
        chunks = self.responses.setdefault(request.attempt_id, [])
        stream = self.client.generate(ADDRESS, request, timeout_seconds=TIMEOUT_SECONDS)
        async for chunk in stream:
            chunks.append(chunk)
        return chunks

    async def load(self, version: int, fence: int) -> None:
        order = FencedOrder(
            fence=Fence(fence),
            kind=OrderKind.LOAD_VERSION,
            model=MODEL,
            weight_version=WeightVersion(version),
        )
        await self.client.order(ADDRESS, order, timeout_seconds=TIMEOUT_SECONDS)

    def arm(self, fault: FaultKind) -> None:
        self.engine.faults.apply(FaultCommand(fault=fault, count=1))

    def ended(self) -> dict[AttemptId, GenerationEnded]:
        records = self.engine.log.records()
        return {
            record.attempt_id: record for record in records if isinstance(record, GenerationEnded)
        }


def request(name: str, tokens: int = 64, **changes: object) -> GenerationRequest:
    fields: dict[str, object] = {"prompt": "which glue holds on a wet floor? " * 8, **changes}
    return GenerationRequest(
        attempt_id=AttemptId(name),
        model=MODEL,
        max_tokens=tokens,
        target_tokens=tokens,
        **fields,  # type: ignore[arg-type]
    )


def spans_of(chunks: list[TokenChunk]) -> tuple[VersionSpan, ...]:
    spans: list[VersionSpan] = []
    for chunk in chunks:
        count = len(chunk.token_ids)
        if spans and spans[-1].weight_version == chunk.weight_version:
            last = spans.pop()
            span = VersionSpan(
                weight_version=last.weight_version,
                first_index=last.first_index,
                count=last.count + count,
            )
        else:
            span = VersionSpan(
                weight_version=chunk.weight_version, first_index=chunk.first_index, count=count
            )
        spans.append(span)
    return tuple(spans)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    run_simulation(scenario)
