"""Reports: reading and pairing of runs, and the self-contained HTML page."""

import subprocess
import sys
import tempfile
import unittest
from html.parser import HTMLParser
from pathlib import Path
from typing import Any

import msgspec
from typer.testing import CliRunner

from drumbay.bench.rollout import (
    DEPLOYMENTS,
    DeploymentReport,
    RolloutBenchReport,
    RunMetrics,
    VariantReport,
)
from drumbay.cli.errors import ExitCode
from drumbay.cli.main import make_app
from drumbay.report.comparison import (
    Direction,
    FigureComparison,
    NothingToCompareError,
    compare_files,
    compare_with_baseline,
    direction_of,
)
from drumbay.report.page import format_seeds
from drumbay.report.runs import RunFile, load_runs

SEEDS = (1, 2, 3)

app = make_app(["report"])


def simulation_report(seed: int, idle: float, samples: int) -> dict[str, Any]:
    """Return a report of one run, in the format of ``drumbay simulate --json``."""
    return {
        "scenario": "small",
        "seed": seed,
        "digest": "<b>d</b>",
        "samples": samples,
        "idle_shares": {"drafts": idle},
        "violations": [],
    }


def benchmark_report() -> RolloutBenchReport:
    """Return a benchmark report with two variants; the second has less idle time."""

    def figures(idle_share: float) -> RunMetrics:
        return RunMetrics(
            idle_share=idle_share,
            mean_staleness_versions=0.5,
            fresh_share=0.5,
            max_staleness_versions=1,
            seconds_per_step=100.0,
            wasted_token_share=0.0,
        )

    variants = tuple(
        VariantReport(
            name=name,
            runs=tuple(figures(idle_share + seed / 100) for seed in SEEDS),
            idle_share_ratio=1.0,
            staleness_ratio=1.0,
            seconds_per_step_ratio=1.0,
        )
        for name, idle_share in (("baseline", 0.4), ("drumbay", 0.1))
    )
    deployments = tuple(
        DeploymentReport(deployment=deployment, seeds=SEEDS, variants=variants)
        for deployment in DEPLOYMENTS
    )
    return RolloutBenchReport(deployments=deployments)


class ReportTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, document: object) -> Path:
        file = self.folder / name
        file.write_bytes(msgspec.json.encode(document))
        return file

    def load(self, name: str, document: object) -> RunFile:
        return load_runs(self.write(name, document), name)


class ComparisonTest(ReportTestCase):
    def entry(self, first: object, second: object, figure: str) -> FigureComparison:
        comparison = compare_files(self.load("a", first), self.load("b", second))
        return next(entry for entry in comparison.figures if entry.figure == figure)

    def test_runs_are_paired_by_seed_in_any_order(self) -> None:
        first = [
            simulation_report(1, 0.2, 10),
            simulation_report(2, 0.4, 10),
            simulation_report(3, 0.1, 10),
        ]
        second = [
            simulation_report(3, 0.2, 10),
            simulation_report(1, 0.1, 12),
            simulation_report(2, 0.2, 10),
        ]
        idle = self.entry(first, second, "idle_shares.drafts")
        self.assertEqual([pair.seed for pair in idle.pairs], [1, 2, 3])
        self.assertEqual((idle.median_ratio, idle.better, idle.worse), (0.5, 2, 1))
        samples = self.entry(first, second, "samples")
        self.assertEqual((samples.better, samples.worse), (1, 0))
        self.assertEqual(self.entry(first, second, "violations").median_ratio, None)

    def test_unpaired_runs_are_listed_and_excluded(self) -> None:
        first = self.load("a", [simulation_report(1, 0.2, 10), simulation_report(2, 0.4, 10)])
        second = self.load("b", [simulation_report(2, 0.3, 10), simulation_report(9, 0.4, 10)])
        comparison = compare_files(first, second)
        self.assertEqual(comparison.unpaired, ("small seed 1", "small seed 9"))
        self.assertTrue(all(len(entry.pairs) == 1 for entry in comparison.figures))

    def test_files_without_common_runs_are_rejected(self) -> None:
        with self.assertRaises(NothingToCompareError):
            compare_files(
                self.load("a", [simulation_report(1, 0.2, 1)]),
                self.load("b", [simulation_report(2, 0.2, 1)]),
            )

    def test_variants_are_compared_with_the_baseline(self) -> None:
        file = self.load("bench", benchmark_report())
        self.assertEqual(len(file.runs), 2 * len(DEPLOYMENTS) * len(SEEDS))
        (comparison,) = compare_with_baseline(file, "baseline")
        idle = [entry for entry in comparison.figures if entry.figure == "idle_share"]
        names = [deployment.name for deployment in DEPLOYMENTS]
        self.assertEqual([entry.series for entry in idle], names)
        self.assertEqual([(entry.better, entry.worse) for entry in idle], [(3, 0)] * len(names))
        with self.assertRaises(NothingToCompareError):
            compare_with_baseline(file, "absent")

    def test_report_without_seeds_is_one_run(self) -> None:
        file = self.load("bench", {"calls": 5, "p99_milliseconds": 1.5, "machine": "m"})
        (run,) = file.runs
        self.assertEqual(run.values, {"calls": 5.0, "p99_milliseconds": 1.5})

    def test_direction_is_derived_from_the_name(self) -> None:
        self.assertEqual(direction_of("idle_shares.drafts"), Direction.LOWER)
        self.assertEqual(direction_of("fresh_share"), Direction.HIGHER)
        self.assertEqual(direction_of("virtual_seconds"), Direction.NEITHER)

    def test_seeds_are_formatted_as_ranges(self) -> None:
        self.assertEqual(format_seeds((3, 1, 2, 9)), "1..3, 9")


class _ExternalResourceParser(HTMLParser):
    """Collects the external resources that a page would load."""

    def __init__(self) -> None:
        super().__init__()
        self.svg_count = 0
        self.resources: list[str] = []

    def handle_starttag(self, tag: str, attributes: list[tuple[str, str | None]]) -> None:
        self.svg_count += tag == "svg"
        for name, value in attributes:
            is_reference = name in ("src", "href", "xlink:href") and value is not None
            if is_reference and not str(value).startswith("#"):
                self.resources.append(str(value))
        if tag in ("script", "link", "iframe"):
            self.resources.append(tag)


class ReportCommandTest(ReportTestCase):
    def report(self, *arguments: str) -> tuple[int, Path]:
        output = self.folder / "out.html"
        result = CliRunner().invoke(app, ["report", *arguments, "--output", str(output)])
        return result.exit_code, output

    def test_page_is_self_contained_and_names_the_runs(self) -> None:
        first = self.write("a.json", [simulation_report(seed, 0.1 * seed, 10) for seed in SEEDS])
        second = self.write("b.json", [simulation_report(seed, 0.05 * seed, 10) for seed in SEEDS])
        code, output = self.report(str(first), str(second))
        self.assertEqual(code, ExitCode.SUCCESS)
        text = output.read_text()
        parser = _ExternalResourceParser()
        parser.feed(text)
        self.assertEqual(parser.resources, [])
        self.assertEqual(parser.svg_count, 3)
        for expected in ("a.json", "b.json", "small", "1..3", "b.json against a.json"):
            self.assertIn(expected, text)
        self.assertNotIn("<b>d</b>", text)
        code, output = self.report(str(first), str(second))
        self.assertEqual(output.read_text(), text)

    def test_baseline_option(self) -> None:
        file = self.write("bench.json", benchmark_report())
        code, output = self.report(str(file), "--baseline", "baseline")
        self.assertEqual(code, ExitCode.SUCCESS)
        self.assertIn("drumbay against baseline", output.read_text())

    def test_invalid_input(self) -> None:
        (self.folder / "text").write_text("{")
        empty = self.write("empty", [])
        for name in (str(self.folder / "text"), str(empty), str(self.folder / "absent")):
            self.assertEqual(self.report(name)[0], ExitCode.INVALID_INPUT)

    def test_command_line_does_not_import_matplotlib(self) -> None:
        check = (
            "import sys; from drumbay.cli.main import make_app; make_app([]);"
            " print('matplotlib' in sys.modules)"
        )
        result = subprocess.run(
            [sys.executable, "-c", check], capture_output=True, text=True, check=True
        )
        self.assertEqual(result.stdout.strip(), "False")
