"""Explains the outcome of a request, batch job or item from log lines."""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from drumbay.explain.log_lines import LogLine

SUBJECT_KEYS = ("request", "batch", "item")
SLOWEST_ITEM_COUNT = 3
RELATED_FAILURE_SECONDS = 5.0
"""Time window for counting failures of other requests at the same workers."""

LATE_START_SECONDS = 0.5


class LogExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """A summary of what happened, and the relevant log lines in chronological order."""

    summary: str
    lines: tuple[LogLine, ...]


def explain_from_logs(subject_id: str, lines: Iterable[LogLine]) -> LogExplanation | None:
    """Explain what happened to a subject; ``None`` if no line names its id."""
    all_lines = sorted(lines, key=lambda line: line.at)
    subject_lines = [
        line for line in all_lines if subject_id in (line.get(key) for key in SUBJECT_KEYS)
    ]
    if not subject_lines:
        return None
    if any(line.get("item") == subject_id for line in subject_lines):
        return LogExplanation(
            summary=_describe_item(subject_lines),
            lines=_add_reward_requests(subject_lines, all_lines),
        )
    if any(line.get("batch") == subject_id for line in subject_lines):
        return _explain_batch(subject_lines)
    return LogExplanation(
        summary=_describe_request(subject_lines, all_lines), lines=tuple(subject_lines)
    )


def _describe_request(subject_lines: Sequence[LogLine], all_lines: Sequence[LogLine]) -> str:
    last = subject_lines[-1]
    match last.event:
        case "request_served":
            return (
                f"answered {last.get('status')} after {last.get('elapsed_seconds')} s,"
                f" sent to {last.get('sent')} worker(s): {last.get('workers')}"
            )
        case "request_without_route":
            return (
                f"no route for {last.get('host')}{last.get('path')} in configuration"
                f" {last.get('configuration')} at {last.process}"
            )
        case "request_not_served" if last.get("error") == "held_back":
            return f"held back: {_describe_worker_ends(last, all_lines)}"
        case "request_not_served":
            return (
                f"{last.get('error')} ({last.get('execution')}):"
                f" {_describe_failure(last, all_lines)}"
            )
        case _:
            return f"the last that is known of it is {last.event}"


def _describe_worker_ends(last: LogLine, all_lines: Sequence[LogLine]) -> str:
    """List the workers that ended while running any attempt of the same request."""
    fingerprint = last.get("fingerprint")
    ended = [
        f"{line.get('worker')} under {line.get('request')} at {line.process}"
        for line in all_lines
        if line.event == "worker_ended_under_request" and line.get("fingerprint") == fingerprint
    ]
    return f"workers ended under it: {'; '.join(ended) or 'not in these logs'}"


def _describe_failure(last: LogLine, all_lines: Sequence[LogLine]) -> str:
    sent = int(last.get_number("sent"))
    refusals = int(last.get_number("refusals"))
    if not sent:
        return f"no worker of {last.get('service')} could be used"
    if sent == refusals:
        return f"each of the {sent} sends was refused: full, loading or unreachable"
    workers = set(last.get("workers").split(","))
    related_failures = sum(
        1
        for line in all_lines
        if line.event == "request_not_served"
        and line is not last
        and abs(line.at - last.at) < RELATED_FAILURE_SECONDS
        and workers & set(line.get("workers").split(","))
    )
    return (
        f"no whole answer within {last.get('elapsed_seconds')} s from {last.get('workers')};"
        f" {related_failures} other request(s) failed at the same workers"
        f" within {RELATED_FAILURE_SECONDS:g} s"
    )


def _describe_item(subject_lines: Sequence[LogLine]) -> str:
    starts = [line for line in subject_lines if line.event == "item_run_started"]
    interruption_counts = Counter(
        line.get("failure") or line.get("reason")
        for line in subject_lines
        if line.event in ("item_run_failed", "item_run_stopped")
        and line.get("failure") != "stopped"
    )
    finishes = [line for line in subject_lines if line.event in ("item_finished",)]
    seconds = subject_lines[-1].at - subject_lines[0].at
    state = finishes[-1].get("state") if finishes else "unfinished"
    reward_requests = [line for line in subject_lines if line.event == "reward_requested"]
    interruptions = ", ".join(
        f"{count} x {name}" for name, count in sorted(interruption_counts.items())
    )
    return (
        f"{state} after {seconds:.2f} s in {len(starts)} run(s)"
        f" on {len({line.get('worker') for line in starts})} worker(s)"
        + (f"; interrupted: {interruptions}" if interruptions else "")
        + (_describe_reward_requests(subject_lines, reward_requests) if reward_requests else "")
    )


def _describe_reward_requests(
    subject_lines: Sequence[LogLine], reward_requests: Sequence[LogLine]
) -> str:
    """Return when the text was complete, and the outcomes of its reward requests."""
    failures = Counter(
        line.get("reason") for line in subject_lines if line.event == "item_not_scored"
    )
    reasons = ", ".join(f"{count} x {name}" for name, count in sorted(failures.items()))
    return (
        f"; text whole after {reward_requests[0].at - subject_lines[0].at:.2f} s,"
        f" {len(reward_requests)} request(s) for its score"
        + (f", without one: {reasons}" if reasons else "")
    )


def _add_reward_requests(
    subject_lines: Sequence[LogLine], all_lines: Sequence[LogLine]
) -> tuple[LogLine, ...]:
    """Return an item's lines and those of its reward requests, in chronological order."""
    requests = {line.get("request") for line in subject_lines if line.event == "reward_requested"}
    reward_lines = [
        line for line in all_lines if line.get("request") in requests and line not in subject_lines
    ]
    return tuple(sorted([*subject_lines, *reward_lines], key=lambda line: line.at))


def _explain_batch(subject_lines: Sequence[LogLine]) -> LogExplanation:
    accepted = next(
        (line for line in subject_lines if line.event == "batch_accepted"), subject_lines[0]
    )
    slowest = _slowest_items(subject_lines)
    parts = [_describe_milestones(subject_lines, accepted)]
    failures = Counter(line.event for line in subject_lines if line.event.endswith("_failed"))
    failures.pop("item_run_failed", None)
    parts.extend(f"{count} x {event}" for event, count in sorted(failures.items()))
    takeovers = [line for line in subject_lines if line.event == "batch_taken_over"]
    parts.extend(
        f"taken over from {line.get('previous')} by {line.process} after"
        f" {line.at - accepted.at:.2f} s with {line.get('listed')} listed and"
        f" {line.get('saved')} saved"
        for line in takeovers
    )
    for item_id, lines in slowest:
        start_delay = lines[0].at - accepted.at
        start = f", started {start_delay:.2f} s late" if start_delay > LATE_START_SECONDS else ""
        parts.append(f"item {item_id} {_describe_item(lines)}{start}")
    shown_lines = [line for line in subject_lines if not line.get("item")]
    for _, lines in slowest:
        shown_lines.extend(lines)
    shown_lines.sort(key=lambda line: line.at)
    return LogExplanation(summary="; ".join(parts), lines=tuple(shown_lines))


def _describe_milestones(subject_lines: Sequence[LogLine], accepted: LogLine) -> str:
    listed = next((line for line in subject_lines if line.event == "batch_listed"), None)
    ended = next((line for line in subject_lines if line.event == "batch_ended"), None)
    milestones = [
        f"{name} after {line.at - accepted.at:.2f} s"
        for name, line in (("listed whole", listed), ("ended by its client", ended))
        if line is not None
    ]
    return ", ".join(milestones) or "neither listed whole nor ended"


def _slowest_items(subject_lines: Sequence[LogLine]) -> list[tuple[str, list[LogLine]]]:
    """Return the items whose last log line is latest, each with its lines."""
    by_item: dict[str, list[LogLine]] = {}
    for line in subject_lines:
        if line.get("item"):
            by_item.setdefault(line.get("item"), []).append(line)
    found = sorted(by_item.items(), key=lambda entry: entry[1][-1].at, reverse=True)
    return found[:SLOWEST_ITEM_COUNT]
