"""What a thousand more of something adds to the memory of one node.

Python's allocator is asked (``tracemalloc``): pages that the process keeps after a free do not
count. The resident memory of a process that has imported a whole node is given beside it.
"""

import gc
import tracemalloc
from collections.abc import Callable

import msgspec
import psutil

from drumbay.backends.interface import EngineStatus, FinishReason, TokenChunk
from drumbay.bench.claims_store import REQUEST_DIGEST, make_claim, make_key
from drumbay.bench.configuration_objects import measure_objects
from drumbay.claims.record_table import RecordTable, TableLimits
from drumbay.claims.records import AnsweredClaim, StoredAnswer
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.records import (
    CandidateVerdict,
    DecisionRecord,
    RejectionReason,
    SubjectKind,
)
from drumbay.explain.store import DecisionStore
from drumbay.identifiers import (
    AttemptId,
    BackendId,
    BootId,
    Fence,
    NodeId,
    Revision,
    WeightVersion,
)
from drumbay.resources.schema import Backend, BackendGroup, BackendKind
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleBuilder, SampleKey
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.prefix_index import PrefixIndex

COUNT = 1000
SAMPLE_TOKENS = 313
"""940,000 tokens over 3,000 requests."""

TOKEN_CHARACTERS = 4
FIRST_TOKEN_ID = 70_000
"""Ids of usual vocabularies need three or four bytes."""

ANSWER_BYTES = 200
CANDIDATES = 64
PROMPT_CHARACTERS = 400


class MemorySlope(msgspec.Struct, frozen=True, kw_only=True):
    """Memory that one kind of thing takes.

    Attributes:
        what: What was added.
        count: How many.
        bytes_per_thousand: Memory of a thousand.
    """

    what: str
    count: int
    bytes_per_thousand: float


class MemoryReport(msgspec.Struct, frozen=True, kw_only=True):
    """All slopes.

    Attributes:
        resident_bytes: Resident memory of this process before anything was added; a whole
            node, and this bench, are imported.
        slopes: One for each kind of thing.
        sample_wire_bytes: A finished sample in its encoded form, as logs and messages
            carry it.
        sample_tokens: Tokens of that sample.
    """

    resident_bytes: int
    slopes: tuple[MemorySlope, ...]
    sample_wire_bytes: int
    sample_tokens: int


def _slope(what: str, build: Callable[[int], object], count: int = COUNT) -> MemorySlope:
    """Measure what ``build`` keeps, once it has run and its arguments exist."""
    build(1)
    gc.collect()
    tracemalloc.start()
    kept = build(count)
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return MemorySlope(what=what, count=count, bytes_per_thousand=1000 * memory_bytes / count)


def _build_back_ends(count: int) -> object:
    group = BackendGroup(
        name="group",
        backend_kind=BackendKind.ENGINE,
        model="model",
        backends=tuple(
            Backend(id=f"engine-{number:04d}", url=f"http://10.1.0.1:{8000 + number}", zone="z")
            for number in range(count)
        ),
    )
    directory = BackendDirectory()
    directory.apply_configuration(ConfigurationView(groups={"group": group}), 0.0)
    for backend in group.backends:
        status = EngineStatus(
            backend_id=BackendId(backend.id),
            boot_id=BootId(f"boot-{backend.id}"),
            model="model",
            weight_version=WeightVersion(1),
            highest_fence=Fence(1),
            running=3,
            waiting=0,
        )
        directory.record_report(status, 1.0)
    directory.views(1.0)
    return directory, group


def _build_prefixes(count: int) -> object:
    index = PrefixIndex(max_entries_per_backend=count)
    hashes = tuple(f"{number:032x}" for number in range(count))
    index.record_dispatch(BackendId("engine"), hashes, WeightVersion(1))
    return index


def _build_samples(count: int) -> list[SampleBuilder]:
    return [make_sample(number) for number in range(count)]


def _build_finished(count: int) -> list[Sample]:
    return [make_sample(number).finish() for number in range(count)]


def make_sample(number: int) -> SampleBuilder:
    """Return a whole sample that came token by token."""
    prompt = RolloutPrompt(
        text=f"{number:0{PROMPT_CHARACTERS}d}", group=f"group-{number}", max_tokens=SAMPLE_TOKENS
    )
    builder = SampleBuilder(SampleKey(1, number), prompt)
    attempt = AttemptId(f"node-000/boot/{number}/1")
    builder.start_attempt(attempt)
    for index in range(SAMPLE_TOKENS):
        is_last = index == SAMPLE_TOKENS - 1
        chunk = TokenChunk(
            attempt_id=attempt,
            boot_id=BootId("boot"),
            weight_version=WeightVersion(1),
            first_index=index,
            token_ids=(FIRST_TOKEN_ID + index,),
            text=f"{index:0{TOKEN_CHARACTERS}d}",
            finish_reason=FinishReason.STOP if is_last else None,
        )
        builder.add_chunk(chunk)
    return builder


def _build_claims(count: int) -> object:
    table = RecordTable(TableLimits())
    answer = StoredAnswer(status=200, content_type="application/json", body=bytes(ANSWER_BYTES))
    for number in range(count):
        answered = AnsweredClaim(
            attempt_id=make_claim(number).attempt_id, digest=REQUEST_DIGEST, answer=answer
        )
        table.store_answer(make_key(number), answered, 0.0)
    return table


def _build_decisions(count: int) -> object:
    store = DecisionStore()
    for number in range(count):
        store.add(_decision(number))
    return store


def _decision(number: int) -> DecisionRecord:
    verdicts = tuple(
        CandidateVerdict(
            backend_id=BackendId(f"engine-{candidate:04d}"),
            rejection=RejectionReason.NOT_SAMPLED if candidate else None,
            weight_version=WeightVersion(1),
            outstanding=2,
        )
        for candidate in range(CANDIDATES)
    )
    return DecisionRecord(
        subject_kind=SubjectKind.REQUEST,
        subject_id=f"node-000/boot/{number}",
        event="dispatched",
        node_id=NodeId("node-000"),
        wall_time_seconds=1.5,
        configuration_revision=Revision(7),
        detail=f"route live, attempt node-000/boot/{number}/1",
        candidates=verdicts,
    )


def _configuration_slope() -> MemorySlope:
    cost = measure_objects(COUNT)
    return MemorySlope(
        what="configuration objects",
        count=COUNT,
        bytes_per_thousand=1000 * cost.memory_bytes / cost.resources,
    )


def run_memory_bench() -> MemoryReport:
    """Measure every slope; run it in a fresh process."""
    resident_bytes = int(psutil.Process().memory_info().rss)
    sample: Sample = make_sample(1).finish()
    slopes = (
        _configuration_slope(),
        _slope("back ends", _build_back_ends),
        _slope("prefixes of one engine", _build_prefixes),
        _slope(f"outstanding samples of {SAMPLE_TOKENS} tokens", _build_samples),
        _slope(f"finished samples of {SAMPLE_TOKENS} tokens", _build_finished),
        _slope(f"answered claims of {ANSWER_BYTES} bytes", _build_claims),
        _slope(f"decision records of {CANDIDATES} candidates", _build_decisions),
    )
    return MemoryReport(
        resident_bytes=resident_bytes,
        slopes=slopes,
        sample_wire_bytes=len(msgspec.msgpack.encode(sample)),
        sample_tokens=len(sample.token_ids),
    )
