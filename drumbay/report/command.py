"""Implements ``drumbay report``: reads files, compares them and writes the page."""

from pathlib import Path

import msgspec

from drumbay.report.comparison import Comparison, compare_files, compare_with_baseline
from drumbay.report.page import Page, render_page
from drumbay.report.runs import ReportInputError, RunFile, load_runs


class ReportOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the command line.

    Attributes:
        file: First input file.
        other: Second input file, if two are compared.
        output: HTML file to write.
        baseline: Variant of the first file to compare its other variants with.
        title: Title of the page.
    """

    file: Path
    other: Path | None
    output: Path
    baseline: str | None
    title: str


def write_report(options: ReportOptions) -> None:
    """Write the page.

    Raises:
        ReportInputError: A file is not a report, or the page cannot be written.
        NothingToCompareError: The requested sides have no runs to compare.
    """
    first_label, second_label = _labels(options)
    first = load_runs(options.file, first_label)
    files: tuple[RunFile, ...] = (first,)
    comparisons: tuple[Comparison, ...] = ()
    if options.other is not None:
        second = load_runs(options.other, second_label)
        files += (second,)
        comparisons += (compare_files(first, second),)
    if options.baseline is not None:
        comparisons += compare_with_baseline(first, options.baseline)
    page = Page(title=options.title, files=files, comparisons=comparisons)
    try:
        options.output.write_text(render_page(page), encoding="utf-8")
    except OSError as error:
        raise ReportInputError(
            f"{options.output}: expected a writable file ({error.strerror})"
        ) from error


def _labels(options: ReportOptions) -> tuple[str, str]:
    """Return distinct labels for the two files, as short as possible."""
    other = options.other
    if other is None or other.name != options.file.name:
        return options.file.name, other.name if other else ""
    return str(options.file), str(other)
