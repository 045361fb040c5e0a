"""Renders a report as one self-contained HTML file."""

import math

import msgspec
from jinja2 import Environment, PackageLoader, StrictUndefined

from drumbay import __version__
from drumbay.report.comparison import Comparison, Direction, FigureComparison, direction_of
from drumbay.report.plots import plot_pairs, plot_series
from drumbay.report.runs import Run, RunFile

MAX_PLOTS = 16
EMPTY_VALUE = "-"
TEMPLATE = "report.html.jinja"


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a report.

    Attributes:
        title: Title of the page.
        files: Input files.
        comparisons: Comparisons to show.
    """

    title: str
    files: tuple[RunFile, ...]
    comparisons: tuple[Comparison, ...]


def render_page(page: Page) -> str:
    """Return the HTML of a report."""
    environment = Environment(
        loader=PackageLoader("drumbay.report", "templates"),
        autoescape=True,
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters["figure"] = format_figure
    environment.filters["seeds"] = format_seeds
    return environment.get_template(TEMPLATE).render(
        page=page,
        version=__version__,
        figures_of=_figure_names,
        pair_plots=_pair_plots,
        series_plots=_series_plots,
    )


def format_figure(value: float | None) -> str:
    """Format a number with about four significant digits; ``None`` as a dash."""
    if value is None:
        return EMPTY_VALUE
    if not math.isfinite(value):
        return str(value)
    if value == int(value) and abs(value) < 1e15:
        return f"{int(value):,}"
    return f"{value:,.4g}" if abs(value) < 1e4 else f"{value:,.0f}"


def format_seeds(seeds: tuple[int, ...]) -> str:
    """Format seeds as ranges."""
    ranges: list[list[int]] = []
    for seed in sorted(seeds):
        if ranges and seed == ranges[-1][1] + 1:
            ranges[-1][1] = seed
        else:
            ranges.append([seed, seed])
    return (
        ", ".join(str(low) if low == high else f"{low}..{high}" for low, high in ranges)
        or EMPTY_VALUE
    )


def _figure_names(runs: tuple[Run, ...]) -> list[str]:
    """Return the names of all figures, in order of first occurrence."""
    return list(dict.fromkeys(name for run in runs for name in run.values))


def _pair_plots(comparison: Comparison) -> list[str]:
    plotted_figures = [figure for figure in comparison.figures if _is_plotted(figure)]
    return [
        plot_pairs(figure, comparison.first, comparison.second)
        for figure in plotted_figures[:MAX_PLOTS]
    ]


def _is_plotted(figure: FigureComparison) -> bool:
    changed = any(pair.first != pair.second for pair in figure.pairs)
    return changed and len(figure.pairs) > 1 and figure.direction is not Direction.NEITHER


def _series_plots(file: RunFile) -> list[str]:
    """Plot the figures that differ between runs and whose better direction is known."""
    plots = []
    for name in _figure_names(file.runs):
        values = {run.values[name] for run in file.runs if name in run.values}
        if len(values) > 1 and direction_of(name) is not Direction.NEITHER:
            series_with_figure = [
                series
                for series in file.series()
                if any(run.series == series and name in run.values for run in file.runs)
            ]
            plots.append(plot_series(name, series_with_figure, file.runs))
    return plots[:MAX_PLOTS]
