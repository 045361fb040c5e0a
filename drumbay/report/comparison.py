"""Compares pairs of runs that have the same series and seed."""

import math
from collections.abc import Iterable
from enum import StrEnum
from statistics import median

import msgspec

from drumbay.exceptions import ConfigurationError
from drumbay.report.runs import SERIES_SEPARATOR, Run, RunFile


class NothingToCompareError(ConfigurationError):
    """The two sides have no runs in common."""

    code = "nothing_to_compare"


class Direction(StrEnum):
    """Which values of a figure are better."""

    LOWER = "lower"
    HIGHER = "higher"
    NEITHER = "neither"


_LOWER_IS_BETTER = (
    "idle",
    "staleness",
    "wasted",
    "violation",
    "bytes_sent",
    "latency",
    "p50",
    "p90",
    "p99",
    "cpu",
    "processor",
    "memory",
    "overhead",
    "seconds_per_step",
    "failed",
    "refused",
)
_HIGHER_IS_BETTER = (
    "answered",
    "completions",
    "samples",
    "fresh_share",
    "calls_per_second",
    "requests_per_second",
)


def direction_of(figure: str) -> Direction:
    """Return which values of a figure are better, according to its name."""
    # Lower-is-better words take precedence, as in "refused_requests_per_second".
    if any(part in figure for part in _LOWER_IS_BETTER):
        return Direction.LOWER
    if any(part in figure for part in _HIGHER_IS_BETTER):
        return Direction.HIGHER
    return Direction.NEITHER


class Pair(msgspec.Struct, frozen=True, kw_only=True):
    """The values of one figure in two runs with the same seed."""

    seed: int | None
    first: float
    second: float


class FigureComparison(msgspec.Struct, frozen=True, kw_only=True):
    """One figure over all pairs of a series.

    Attributes:
        series: Name of the scenario or variant.
        figure: Dotted path of the figure.
        direction: Which values are better.
        pairs: The pairs, by seed.
    """

    series: str
    figure: str
    direction: Direction
    pairs: tuple[Pair, ...]

    @property
    def median_ratio(self) -> float | None:
        """Return the median of second / first; ``None`` if any first value is 0."""
        if any(pair.first == 0 for pair in self.pairs):
            return None
        return median(pair.second / pair.first for pair in self.pairs)

    @property
    def higher(self) -> int:
        """Return the number of pairs whose second value is higher."""
        return sum(pair.second > pair.first for pair in self.pairs)

    @property
    def lower(self) -> int:
        """Return the number of pairs whose second value is lower."""
        return sum(pair.second < pair.first for pair in self.pairs)

    @property
    def better(self) -> int | None:
        """Return the number of pairs whose second value is better; ``None`` if undefined."""
        counts = {Direction.LOWER: self.lower, Direction.HIGHER: self.higher}
        return counts.get(self.direction)

    @property
    def worse(self) -> int | None:
        """Return the number of pairs whose second value is worse; ``None`` if undefined."""
        counts = {Direction.LOWER: self.higher, Direction.HIGHER: self.lower}
        return counts.get(self.direction)


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """A comparison of two sides.

    Attributes:
        first: Name of the first side.
        second: Name of the second side.
        figures: One entry per series and figure.
        unpaired: Series and seeds of runs without a counterpart, which are excluded.
    """

    first: str
    second: str
    figures: tuple[FigureComparison, ...]
    unpaired: tuple[str, ...]


def compare_files(first: RunFile, second: RunFile) -> Comparison:
    """Compare runs of the same series and seed in two files.

    Raises:
        NothingToCompareError: They have no runs in common.
    """
    return _compare(first.label, first.runs, second.label, second.runs)


def compare_with_baseline(file: RunFile, baseline: str) -> tuple[Comparison, ...]:
    """Compare each variant of a report with the variant ``baseline`` of the same parent series.

    Raises:
        NothingToCompareError: There is no such variant.
    """
    variants = dict.fromkeys(_variant(run) for run in file.runs)
    first = tuple(_with_parent_series(run) for run in file.runs if _variant(run) == baseline)
    if not first:
        raise NothingToCompareError(f"{file.label}: no series is named {baseline}")
    others = [name for name in variants if name != baseline]
    return tuple(
        _compare(
            baseline,
            first,
            name,
            tuple(_with_parent_series(run) for run in file.runs if _variant(run) == name),
        )
        for name in others
    )


def _variant(run: Run) -> str:
    return run.series.rpartition(SERIES_SEPARATOR)[2]


def _with_parent_series(run: Run) -> Run:
    return msgspec.structs.replace(run, series=run.series.rpartition(SERIES_SEPARATOR)[0])


def _compare(
    first_label: str, first: Iterable[Run], second_label: str, second: Iterable[Run]
) -> Comparison:
    first_runs = {(run.series, run.seed): run for run in first}
    second_runs = {(run.series, run.seed): run for run in second}
    common = [key for key in first_runs if key in second_runs]
    if not common:
        raise NothingToCompareError(f"{first_label} and {second_label} have no run in common")
    pairs: dict[tuple[str, str], list[Pair]] = {}
    for key in common:
        first_run, second_run = first_runs[key], second_runs[key]
        for figure, first_value in first_run.values.items():
            second_value = second_run.values.get(figure)
            if second_value is None or not (
                math.isfinite(first_value) and math.isfinite(second_value)
            ):
                continue
            pair = Pair(seed=first_run.seed, first=first_value, second=second_value)
            pairs.setdefault((first_run.series, figure), []).append(pair)
    unpaired = [f"{series} seed {seed}" for series, seed in (*first_runs, *second_runs)]
    paired_names = {f"{series} seed {seed}" for series, seed in common}
    return Comparison(
        first=first_label,
        second=second_label,
        figures=tuple(
            FigureComparison(
                series=series,
                figure=figure,
                direction=direction_of(figure),
                pairs=tuple(figure_pairs),
            )
            for (series, figure), figure_pairs in pairs.items()
        ),
        unpaired=tuple(name for name in unpaired if name not in paired_names),
    )
