"""Plots of a report as SVG text; needs matplotlib.

A figure is a number of a run, as in :mod:`drumbay.report.runs`; ``mpl_figure`` is matplotlib's.
"""

import io
from collections.abc import Sequence
from statistics import median
from typing import Any

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import EngFormatter, FuncFormatter, MaxNLocator

from drumbay.report.comparison import Direction, FigureComparison
from drumbay.report.runs import Run

WIDTH_INCHES = 4.4
PAIRS_HEIGHT_INCHES = 3.6
SERIES_HEIGHT_INCHES = 1.0
ROW_HEIGHT_INCHES = 0.35
LABEL_INCHES_PER_CHARACTER = 0.06
BETTER_COLOR = "#1b7f4d"
WORSE_COLOR = "#b3412f"
NEUTRAL_COLOR = "#45608a"
GRID_COLOR = "#dddddd"
MARGIN_FRACTION = 0.08
MIN_PREFIXED_VALUE = 10_000.0

_STYLE: Any = {
    "svg.fonttype": "none",
    "svg.hashsalt": "drumbay",
    "font.family": "sans-serif",
    "font.size": 9,
    "axes.spines.top": False,
    "axes.spines.right": False,
}


def plot_pairs(comparison: FigureComparison, first: str, second: str) -> str:
    """Return a scatter plot of pairs; unchanged pairs are on the diagonal."""
    with mpl.rc_context(_STYLE):
        title = f"{comparison.figure}\n{comparison.series}"
        mpl_figure, axes = _new_axes(title, PAIRS_HEIGHT_INCHES)
        values = [value for pair in comparison.pairs for value in (pair.first, pair.second)]
        low, high = _limits(values)
        axes.plot((low, high), (low, high), color="#999999", linewidth=1, zorder=1)
        axes.scatter(
            [pair.first for pair in comparison.pairs],
            [pair.second for pair in comparison.pairs],
            c=[_color(comparison.direction, pair.first, pair.second) for pair in comparison.pairs],
            s=26,
            alpha=0.8,
            zorder=2,
        )
        axes.set_xlim(low, high)
        axes.set_ylim(low, high)
        axes.set_aspect("equal")
        axes.yaxis.set_major_locator(MaxNLocator(5))
        axes.yaxis.set_major_formatter(FuncFormatter(_format_tick))
        axes.set_xlabel(first)
        axes.set_ylabel(second)
        return _to_svg(mpl_figure)


def plot_series(figure_name: str, series: Sequence[str], runs: Sequence[Run]) -> str:
    """Return a plot with a row per series, a point per run and a bar at the median."""
    with mpl.rc_context(_STYLE):
        height = SERIES_HEIGHT_INCHES + ROW_HEIGHT_INCHES * len(series)
        width = WIDTH_INCHES + LABEL_INCHES_PER_CHARACTER * max(map(len, series))
        mpl_figure, axes = _new_axes(figure_name, height, width)
        max_value = 0.0
        for row, name in enumerate(series):
            values = sorted(
                run.values[figure_name]
                for run in runs
                if run.series == name and figure_name in run.values
            )
            if not values:
                continue
            axes.scatter(values, [row] * len(values), color=NEUTRAL_COLOR, s=26, alpha=0.7)
            max_value = max(max_value, *values)
            median_value = median(values)
            axes.plot(
                (median_value, median_value), (row - 0.25, row + 0.25), color="black", linewidth=1.5
            )
        axes.set_yticks(range(len(series)), series)
        axes.set_ylim(len(series) - 0.5, -0.5)
        axes.set_xlim(min(0.0, axes.get_xlim()[0]), max_value * (1 + MARGIN_FRACTION) or 1.0)
        return _to_svg(mpl_figure)


def _new_axes(
    title: str, height_inches: float, width_inches: float = WIDTH_INCHES
) -> tuple[Figure, Axes]:
    mpl_figure = Figure(figsize=(width_inches, height_inches), layout="constrained")
    axes = mpl_figure.add_subplot()
    axes.set_title(title, fontsize=9, loc="left")
    axes.grid(color=GRID_COLOR, linewidth=0.6)
    axes.set_axisbelow(True)
    axes.xaxis.set_major_locator(MaxNLocator(5))
    axes.xaxis.set_major_formatter(FuncFormatter(_format_tick))
    return mpl_figure, axes


def _format_tick(value: float, position: int | None) -> str:
    """Format large values with an SI prefix."""
    if abs(value) >= MIN_PREFIXED_VALUE:
        return EngFormatter(sep="\u202f")(value)
    return f"{value:.4g}"


def _limits(values: Sequence[float]) -> tuple[float, float]:
    low, high = min(values), max(values)
    margin = MARGIN_FRACTION * (high - low) or MARGIN_FRACTION * abs(high) or 1.0
    return low - margin, high + margin


def _color(direction: Direction, first: float, second: float) -> str:
    if direction is Direction.NEITHER or first == second:
        return NEUTRAL_COLOR
    is_better = (second < first) == (direction is Direction.LOWER)
    return BETTER_COLOR if is_better else WORSE_COLOR


def _to_svg(mpl_figure: Figure) -> str:
    buffer = io.StringIO()
    mpl_figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    # Removes the XML prologue, which is not valid inside HTML.
    return text[text.index("<svg") :]
