"""Time breakdown of each training step, from log lines.

A step is complete once as many groups are finished as its trainer waits for. The breakdown covers
the item that completes the step: its first run, complete text, score and listed result.
"""

from collections.abc import Iterable, Sequence

import msgspec

from drumbay.explain.log_lines import LogLine


class ItemTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Stages of one item, in seconds since its batch job was accepted.

    ``score_seconds`` is a duration, 0 for an item without a score. ``listed_after`` is ``None`` if
    no line reports its result as listed.
    """

    item: str
    started_after: float
    text_after: float
    score_seconds: float
    finished_after: float
    listed_after: float | None
    runs: int
    interruptions: tuple[str, ...]


class StepTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of one batch job, in seconds since it was accepted.

    ``completed_after`` and ``last_item`` are ``None`` if it was not completed. ``ended_after`` is
    when its client ended it. ``late_starts`` counts items that started after more than
    :data:`LATE_START_SECONDS`.
    """

    batch: str
    model: str
    step: int
    accepted_at: float
    takeovers: int
    completed_after: float | None
    ended_after: float | None
    late_starts: int
    last_item: ItemTiming | None


LATE_START_SECONDS = 0.5


def step_timings(lines: Iterable[LogLine]) -> tuple[StepTiming, ...]:
    """Return the timings of all batch jobs in the lines, oldest first."""
    by_batch: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.get("batch"):
            by_batch.setdefault(line.get("batch"), []).append(line)
    timings = [
        _step_timing(batch, sorted(batch_lines, key=_timestamp))
        for batch, batch_lines in by_batch.items()
    ]
    return tuple(sorted(timings, key=lambda timing: timing.accepted_at))


def _timestamp(line: LogLine) -> float:
    return line.at


def _step_timing(batch: str, lines: Sequence[LogLine]) -> StepTiming:
    accepted = _first(lines, "batch_accepted") or lines[0]
    owned = _first(lines, "batch_owned") or accepted
    ended = _first(lines, "batch_ended")
    last_item = _completing_item(lines, accepted.at)
    started: dict[str, float] = {}
    for line in lines:
        if line.event == "item_run_started":
            started.setdefault(line.get("item"), line.at - accepted.at)
    return StepTiming(
        batch=batch,
        model=owned.get("model"),
        step=int(owned.get_number("step")),
        accepted_at=accepted.at,
        takeovers=sum(1 for line in lines if line.event == "batch_taken_over"),
        completed_after=last_item.finished_after if last_item is not None else None,
        ended_after=ended.at - accepted.at if ended is not None else None,
        late_starts=sum(1 for after in started.values() if after > LATE_START_SECONDS),
        last_item=last_item,
    )


def _first(lines: Iterable[LogLine], event: str) -> LogLine | None:
    return next((line for line in lines if line.event == event), None)


def _completing_item(lines: Sequence[LogLine], accepted_at: float) -> ItemTiming | None:
    completed = next(
        (
            line
            for line in lines
            if line.event == "item_finished" and line.get("missing_groups") == "0"
        ),
        None,
    )
    if completed is None:
        return None
    item = completed.get("item")
    item_lines = [line for line in lines if line.get("item") == item and line.at <= completed.at]
    starts = [line for line in item_lines if line.event == "item_run_started"]
    reward_request = _first(item_lines, "reward_requested")
    listed = next(
        (line for line in lines if line.event == "results_listed" and line.at >= completed.at), None
    )
    text_at = reward_request.at if reward_request is not None else completed.at
    return ItemTiming(
        item=item,
        started_after=(starts[0].at if starts else completed.at) - accepted_at,
        text_after=text_at - accepted_at,
        score_seconds=completed.at - text_at,
        finished_after=completed.at - accepted_at,
        listed_after=listed.at - accepted_at if listed is not None else None,
        runs=len(starts),
        interruptions=tuple(
            line.get("failure") or line.get("reason")
            for line in item_lines
            if line.event in ("item_run_failed", "item_run_stopped", "item_not_scored")
            and line.get("failure") != "stopped"
        ),
    )
