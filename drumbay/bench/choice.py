"""Bench of the choice of a back end: its cost at several numbers of candidates.

Run with ``python -m drumbay.bench.choice``.
"""

import random
import statistics
import time
from collections.abc import Callable, Sequence

import msgspec
import typer

from drumbay.backends.interface import EngineStatus
from drumbay.identifiers import AttemptId, BackendId, BootId, Fence, WeightVersion
from drumbay.resources.schema import Selector, SelectorExpression, SelectorOperator
from drumbay.routing.engine_choice import ChoicePolicy, ChoiceRequest, choose_backend
from drumbay.routing.load_view import LoadView
from drumbay.routing.selectors import MODEL_LABEL, ZONE_LABEL, compile_selector

CANDIDATE_COUNTS = (2, 8, 32, 128, 700)
DEFAULT_REPEATS = 300
ROUNDS = 5
_MICROSECONDS_PER_SECOND = 1e6


class ChoiceCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost at one number of candidates: medians over the rounds.

    Attributes:
        candidate_count: Back ends among which was chosen.
        choose_microseconds: One choice.
        verdicts_microseconds: The explanation of one choice, built only when it is kept.
        changed_view_microseconds: Starting and ending one attempt and reading the views.
    """

    candidate_count: int
    choose_microseconds: float
    verdicts_microseconds: float
    changed_view_microseconds: float


def run_choice_bench(
    counts: Sequence[int] = CANDIDATE_COUNTS, repeats: int = DEFAULT_REPEATS
) -> tuple[ChoiceCost, ...]:
    """Measure the choice at each number of candidates on the machine's clock."""
    return tuple(_measure(count, repeats) for count in counts)


def _measure(count: int, repeats: int) -> ChoiceCost:
    loads = _example_loads(count)
    request = _example_request()
    policy = ChoicePolicy()
    generator = random.Random(1)
    views = loads.views()
    choice = choose_backend(request, views, policy, generator)
    changed = BackendId("worker-0")
    attempt = AttemptId("attempt")

    def start_finish_and_read() -> None:
        loads.start_attempt(changed, attempt, 0.5)
        loads.finish_attempt(changed, attempt, 0.6)
        loads.views()

    return ChoiceCost(
        candidate_count=count,
        choose_microseconds=_median_microseconds(
            lambda: choose_backend(request, views, policy, generator), repeats
        ),
        verdicts_microseconds=_median_microseconds(choice.verdicts, repeats),
        changed_view_microseconds=_median_microseconds(start_finish_and_read, repeats),
    )


def _median_microseconds(action: Callable[[], object], repeats: int) -> float:
    rounds: list[float] = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        for _ in range(repeats):
            action()
        elapsed = time.perf_counter() - started_at
        rounds.append(elapsed / repeats * _MICROSECONDS_PER_SECOND)
    return statistics.median(rounds)


def _example_loads(count: int) -> LoadView:
    loads = LoadView()
    for index in range(count):
        backend_id = BackendId(f"worker-{index}")
        zone = f"zone-{index % 3}"
        labels = {"tier": "gold", MODEL_LABEL: "model", ZONE_LABEL: zone}
        loads.set_backend(backend_id, labels, zone)
        status = EngineStatus(
            backend_id=backend_id,
            boot_id=BootId("boot"),
            model="model",
            weight_version=WeightVersion(7),
            highest_fence=Fence(1),
            running=index % 5,
            waiting=index % 2,
        )
        loads.record_report(status, received_at=0.0)
    return loads


def _example_request() -> ChoiceRequest:
    zones = SelectorExpression(
        key=ZONE_LABEL, operator=SelectorOperator.IN, values=("zone-0", "zone-1", "zone-2")
    )
    selector = Selector(match_labels={"tier": "gold"}, match_expressions=(zones,))
    return ChoiceRequest(
        now=1.0,
        zone="zone-0",
        selects=compile_selector(selector),
        model="model",
        oldest_version=WeightVersion(6),
        prefix_affinity={BackendId("worker-1"): 0.5},
    )


def main() -> None:
    """Print the cost at each number of candidates."""
    for cost in run_choice_bench():
        typer.echo(
            f"candidates={cost.candidate_count} choose_us={cost.choose_microseconds:.1f} "
            f"verdicts_us={cost.verdicts_microseconds:.1f} "
            f"changed_view_us={cost.changed_view_microseconds:.1f}"
        )


if __name__ == "__main__":
    typer.run(main)
