"""Puts a report together as one HTML file that needs nothing else."""

import math

import msgspec
from jinja2 import Environment, PackageLoader, StrictUndefined

from drumbay import __version__
from drumbay.report.comparison import Comparison, Direction, FigureComparison, direction_of
from drumbay.report.plots import plot_pairs, plot_series
from drumbay.report.runs import Run, RunFile

MOST_PLOTS = 16
NOTHING = "-"
TEMPLATE = "report.html.jinja"


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """What a report shows.

    Attributes:
        title: Title of the page.
        files: Files that the figures are from.
        comparisons: Comparisons of two sides each.
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
        figures_of=_figures_of,
        pair_plots=_pair_plots,
        series_plots=_series_plots,
    )


def format_figure(value: float | None) -> str:
    """Return a number with about four significant digits; a dash for none."""
    if value is None:
        return NOTHING
    if not math.isfinite(value):
        return str(value)
    if value == int(value) and abs(value) < 1e15:
        return f"{int(value):,}"
    return f"{value:,.4g}" if abs(value) < 1e4 else f"{value:,.0f}"


def format_seeds(seeds: tuple[int, ...]) -> str:
    """Return seeds as ranges."""
    ranges: list[list[int]] = []
    for seed in sorted(seeds):
        if ranges and seed == ranges[-1][1] + 1:
            ranges[-1][1] = seed
        else:
            ranges.append([seed, seed])
    return (
        ", ".join(str(low) if low == high else f"{low}..{high}" for low, high in ranges) or NOTHING
    )


def _figures_of(runs: tuple[Run, ...]) -> list[str]:
    """Return the figures that differ or that say which value is better, in their order."""
    return list(dict.fromkeys(name for run in runs for name in run.values))


def _pair_plots(comparison: Comparison) -> list[str]:
    worth = [figure for figure in comparison.figures if _is_worth_a_plot(figure)]
    return [
        plot_pairs(figure, comparison.first, comparison.second) for figure in worth[:MOST_PLOTS]
    ]


def _is_worth_a_plot(figure: FigureComparison) -> bool:
    changed = any(pair.first != pair.second for pair in figure.pairs)
    return changed and len(figure.pairs) > 1 and figure.direction is not Direction.NEITHER


def _series_plots(file: RunFile) -> list[str]:
    """Return plots of the figures that say which value is better and differ between runs."""
    plots = []
    for name in _figures_of(file.runs):
        values = {run.values[name] for run in file.runs if name in run.values}
        if len(values) > 1 and direction_of(name) is not Direction.NEITHER:
            with_figure = [
                series
                for series in file.series()
                if any(run.series == series and name in run.values for run in file.runs)
            ]
            plots.append(plot_series(name, with_figure, file.runs))
    return plots[:MOST_PLOTS]
