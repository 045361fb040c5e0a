"""Where the time of each training step went, from log lines: the item that made it whole last.

A step is whole once as many groups are finished as its trainer waits for. The item whose result
makes it so decides; its time is told by stages: until its first run, until its text was whole,
until its score, until its result was listed.
"""

from collections.abc import Iterable, Sequence

import msgspec

from drumbay.explain.log_lines import LogLine


class ItemStages(msgspec.Struct, frozen=True, kw_only=True):
    """Time of one item, in seconds since its batch job was accepted.

    ``score_seconds`` is 0 for an item that needs no score; ``listed_after`` is ``None`` if no line
    tells that its result was listed.
    """

    item: str
    started_after: float
    text_after: float
    score_seconds: float
    finished_after: float
    listed_after: float | None
    runs: int
    interruptions: tuple[str, ...]


class StepAccount(msgspec.Struct, frozen=True, kw_only=True):
    """One batch job; times in seconds since it was accepted.

    ``whole_after`` and ``last`` are ``None`` if it never became whole. ``ended_after`` is when
    its client ended it. ``late_starts`` counts items that began over half a second late.
    """

    batch: str
    model: str
    step: int
    accepted_at: float
    takeovers: int
    whole_after: float | None
    ended_after: float | None
    late_starts: int
    last: ItemStages | None


LATE_START_SECONDS = 0.5


def account_steps(lines: Iterable[LogLine]) -> tuple[StepAccount, ...]:
    """Return the accounts of all batch jobs that the lines name, oldest first."""
    by_batch: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.get("batch"):
            by_batch.setdefault(line.get("batch"), []).append(line)
    accounts = [_account(batch, sorted(own, key=_at)) for batch, own in by_batch.items()]
    return tuple(sorted(accounts, key=lambda account: account.accepted_at))


def _at(line: LogLine) -> float:
    return line.at


def _account(batch: str, lines: Sequence[LogLine]) -> StepAccount:
    accepted = _first(lines, "batch_accepted") or lines[0]
    owned = _first(lines, "batch_owned") or accepted
    ended = _first(lines, "batch_ended")
    last = _deciding_item(lines, accepted.at)
    started: dict[str, float] = {}
    for line in lines:
        if line.event == "item_run_started":
            started.setdefault(line.get("item"), line.at - accepted.at)
    return StepAccount(
        batch=batch,
        model=owned.get("model"),
        step=int(owned.number("step")),
        accepted_at=accepted.at,
        takeovers=sum(1 for line in lines if line.event == "batch_taken_over"),
        whole_after=last.finished_after if last is not None else None,
        ended_after=ended.at - accepted.at if ended is not None else None,
        late_starts=sum(1 for after in started.values() if after > LATE_START_SECONDS),
        last=last,
    )


def _first(lines: Iterable[LogLine], event: str) -> LogLine | None:
    return next((line for line in lines if line.event == event), None)


def _deciding_item(lines: Sequence[LogLine], accepted_at: float) -> ItemStages | None:
    whole = next(
        (
            line
            for line in lines
            if line.event == "item_finished" and line.get("missing_groups") == "0"
        ),
        None,
    )
    if whole is None:
        return None
    item = whole.get("item")
    own = [line for line in lines if line.get("item") == item and line.at <= whole.at]
    starts = [line for line in own if line.event == "item_run_started"]
    asked = _first(own, "reward_requested")
    listed = next(
        (line for line in lines if line.event == "results_listed" and line.at >= whole.at), None
    )
    text_at = asked.at if asked is not None else whole.at
    return ItemStages(
        item=item,
        started_after=(starts[0].at if starts else whole.at) - accepted_at,
        text_after=text_at - accepted_at,
        score_seconds=whole.at - text_at,
        finished_after=whole.at - accepted_at,
        listed_after=listed.at - accepted_at if listed is not None else None,
        runs=len(starts),
        interruptions=tuple(
            line.get("failure") or line.get("reason")
            for line in own
            if line.event in ("item_run_failed", "item_run_stopped", "item_not_scored")
            and line.get("failure") != "stopped"
        ),
    )
