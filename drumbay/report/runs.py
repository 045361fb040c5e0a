"""Reads the JSON of ``drumbay simulate --json`` and of benches as runs with numbers.

The shape of a report is not fixed here: every number below a run is taken under its dotted
path. A run is what has a ``seed``, or an entry of ``runs`` in a list that is as long as the
``seeds`` around it. A report without seeds is one run. Numbers beside runs are parameters of
the whole report and are not taken.
"""

import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from drumbay.exceptions import ConfigurationError

NAME_KEYS = ("name", "scenario", "deployment")
COUNTED_LISTS = ("violations",)
"""Lists whose length is a figure."""

PATH_SEPARATOR = "."
SERIES_SEPARATOR = "/"
WHOLE_FILE = "whole file"
"""Series of a report without names."""


class ReportInputError(ConfigurationError):
    """A file holds no report."""

    code = "invalid_report"


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one run.

    Attributes:
        series: What was run: a scenario, or the path of a variant.
        seed: Seed of the run; ``None`` if there was none.
        values: Figures by dotted path.
        texts: Words that go with them, e.g. a digest.
    """

    series: str
    seed: int | None
    values: dict[str, float]
    texts: dict[str, str]


class RunFile(msgspec.Struct, frozen=True, kw_only=True):
    """The runs of one file.

    Attributes:
        label: Name of the file in the report.
        sha256: Hash of the file.
        runs: Its runs, in the order of the file.
    """

    label: str
    sha256: str
    runs: tuple[Run, ...]

    def series(self) -> tuple[str, ...]:
        """Return what was run, each once, in order."""
        return tuple(dict.fromkeys(run.series for run in self.runs))

    def seeds_of(self, series: str) -> tuple[int, ...]:
        """Return the seeds of a series."""
        return tuple(run.seed for run in self.runs if run.series == series and run.seed is not None)


def load_runs(file: Path, label: str) -> RunFile:
    """Read a report.

    Raises:
        ReportInputError: The file cannot be read, is no JSON, or holds no number.
    """
    try:
        content = file.read_bytes()
        document = msgspec.json.decode(content)
    except OSError as error:
        raise ReportInputError(f"{file}: expected a readable file ({error.strerror})") from error
    except msgspec.DecodeError as error:
        raise ReportInputError(f"{file}: expected JSON ({error})") from error
    runs = tuple(run for run in _runs_of(document, (), ()) if run.values)
    if not runs:
        raise ReportInputError(f"{file}: expected a report with numbers")
    return RunFile(label=label, sha256=hashlib.sha256(content).hexdigest(), runs=runs)


def _runs_of(node: Any, path: tuple[str, ...], seeds: tuple[int, ...]) -> Iterator[Run]:
    """Yield the run that a node is, or the runs below it."""
    if not _contains_runs(node) or (isinstance(node, dict) and "seed" in node):
        yield _run(node, path or _name_of(node))
    elif isinstance(node, list):
        for index, item in enumerate(node):
            yield from _runs_of(item, (*path, *(_name_of(item) or (str(index),))), seeds)
    else:
        own_seeds = tuple(node.get("seeds", seeds))
        for key, item in node.items():
            if key == "runs" and len(item) == len(own_seeds):
                for seed, run in zip(own_seeds, item, strict=True):
                    yield _run({"seed": seed, **run}, path)
            elif _contains_runs(item):
                yield from _runs_of(item, path, own_seeds)


def _contains_runs(node: Any) -> bool:
    if isinstance(node, dict):
        return "seed" in node or "runs" in node or any(map(_contains_runs, node.values()))
    return isinstance(node, list) and any(map(_contains_runs, node))


def _name_of(node: Any) -> tuple[str, ...]:
    """Return the name by which an object of a list is told from the others."""
    if isinstance(node, dict):
        for key in NAME_KEYS:
            value = node.get(key)
            if isinstance(value, dict):
                value = value.get("name")
            if isinstance(value, str):
                return (value,)
    return ()


def _run(node: Any, path: tuple[str, ...]) -> Run:
    seed = node.get("seed") if isinstance(node, dict) else None
    values: dict[str, float] = {}
    texts: dict[str, str] = {}
    for key, leaf in _leaves(node, ()):
        if isinstance(leaf, str):
            texts[key] = leaf
        elif isinstance(leaf, int | float) and key != "seed":
            values[key] = float(leaf)
    series = SERIES_SEPARATOR.join(path) or WHOLE_FILE
    return Run(series=series, seed=seed, values=values, texts=texts)


def _leaves(node: Any, path: tuple[str, ...]) -> Iterator[tuple[str, Any]]:
    """Yield what is below a node under its dotted path."""
    if isinstance(node, dict):
        for key, item in node.items():
            yield from _leaves(item, (*path, key))
    elif isinstance(node, list) and path and path[-1] in COUNTED_LISTS:
        yield PATH_SEPARATOR.join(path), len(node)
    elif isinstance(node, list):
        for index, item in enumerate(node):
            yield from _leaves(item, (*path, *(_name_of(item) or (str(index),))))
    else:
        yield PATH_SEPARATOR.join(path), node
