"""Reads runs and their figures from the JSON of ``drumbay simulate --json`` and benchmarks.

No report schema is assumed: every number inside a run becomes a figure named by its dotted
path. A run is an object with a ``seed``, or an entry of a ``runs`` list as long as the nearest
enclosing ``seeds`` list, which gives the seeds. A report without either is one run. Numbers
outside of runs are parameters of the whole report and are ignored.
"""

import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from drumbay.exceptions import ConfigurationError

NAME_KEYS = ("name", "scenario", "deployment")
COUNTED_LISTS = ("violations",)
"""Lists that are reduced to their length."""

PATH_SEPARATOR = "."
SERIES_SEPARATOR = "/"
UNNAMED_SERIES = "whole file"
"""Series name of a report without names."""


class ReportInputError(ConfigurationError):
    """A file is not a valid report, or cannot be read or written."""

    code = "invalid_report"


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one run.

    Attributes:
        series: Name of the scenario, or path of the variant.
        seed: Seed of the run, if it has one.
        values: Figures by dotted path.
        texts: Text values by dotted path, e.g. a digest.
    """

    series: str
    seed: int | None
    values: dict[str, float]
    texts: dict[str, str]


class RunFile(msgspec.Struct, frozen=True, kw_only=True):
    """The runs of one file.

    Attributes:
        label: Name of the file in the report.
        sha256: SHA-256 of the file content.
        runs: Its runs, in the order of the file.
    """

    label: str
    sha256: str
    runs: tuple[Run, ...]

    def series(self) -> tuple[str, ...]:
        """Return the distinct series, in order of first occurrence."""
        return tuple(dict.fromkeys(run.series for run in self.runs))

    def seeds_of(self, series: str) -> tuple[int, ...]:
        """Return the seeds of a series."""
        return tuple(run.seed for run in self.runs if run.series == series and run.seed is not None)


def load_runs(file: Path, label: str) -> RunFile:
    """Read a report.

    Raises:
        ReportInputError: The file cannot be read, is not JSON, or contains no numbers.
    """
    try:
        content = file.read_bytes()
        document = msgspec.json.decode(content)
    except OSError as error:
        raise ReportInputError(f"{file}: expected a readable file ({error.strerror})") from error
    except msgspec.DecodeError as error:
        raise ReportInputError(f"{file}: expected JSON ({error})") from error
    runs = tuple(run for run in _find_runs(document, (), ()) if run.values)
    if not runs:
        raise ReportInputError(f"{file}: expected a report with numbers")
    return RunFile(label=label, sha256=hashlib.sha256(content).hexdigest(), runs=runs)


def _find_runs(node: Any, path: tuple[str, ...], seeds: tuple[int, ...]) -> Iterator[Run]:
    """Yield the run that a JSON value represents, or the runs inside it."""
    if not _contains_runs(node) or (isinstance(node, dict) and "seed" in node):
        yield _to_run(node, path or _identifying_name(node))
    elif isinstance(node, list):
        for index, item in enumerate(node):
            yield from _find_runs(item, (*path, *(_identifying_name(item) or (str(index),))), seeds)
    else:
        inner_seeds = tuple(node.get("seeds", seeds))
        for key, item in node.items():
            if key == "runs" and len(item) == len(inner_seeds):
                for seed, run in zip(inner_seeds, item, strict=True):
                    yield _to_run({"seed": seed, **run}, path)
            elif _contains_runs(item):
                yield from _find_runs(item, path, inner_seeds)


def _contains_runs(node: Any) -> bool:
    if isinstance(node, dict):
        return "seed" in node or "runs" in node or any(map(_contains_runs, node.values()))
    return isinstance(node, list) and any(map(_contains_runs, node))


def _identifying_name(node: Any) -> tuple[str, ...]:
    """Return the name that identifies an object in a list, as a path component."""
    if isinstance(node, dict):
        for key in NAME_KEYS:
            value = node.get(key)
            if isinstance(value, dict):
                value = value.get("name")
            if isinstance(value, str):
                return (value,)
    return ()


def _to_run(node: Any, path: tuple[str, ...]) -> Run:
    seed = node.get("seed") if isinstance(node, dict) else None
    values: dict[str, float] = {}
    texts: dict[str, str] = {}
    for key, leaf in _iterate_leaves(node, ()):
        if isinstance(leaf, str):
            texts[key] = leaf
        elif isinstance(leaf, int | float) and key != "seed":
            values[key] = float(leaf)
    series = SERIES_SEPARATOR.join(path) or UNNAMED_SERIES
    return Run(series=series, seed=seed, values=values, texts=texts)


def _iterate_leaves(node: Any, path: tuple[str, ...]) -> Iterator[tuple[str, Any]]:
    """Yield the leaf values inside a JSON value, with their dotted paths."""
    if isinstance(node, dict):
        for key, item in node.items():
            yield from _iterate_leaves(item, (*path, key))
    elif isinstance(node, list) and path and path[-1] in COUNTED_LISTS:
        yield PATH_SEPARATOR.join(path), len(node)
    elif isinstance(node, list):
        for index, item in enumerate(node):
            yield from _iterate_leaves(item, (*path, *(_identifying_name(item) or (str(index),))))
    else:
        yield PATH_SEPARATOR.join(path), node
