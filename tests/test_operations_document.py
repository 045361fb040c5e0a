"""The operations document lists every log event with its keys, and every metric."""

import ast
import re
import tempfile
import unittest
from pathlib import Path

from prometheus_client import CollectorRegistry

from drumbay.node import state_metrics
from drumbay.observability import metrics, serving_metrics
from drumbay.observability.metrics import NodeMetrics
from tests.documents import DOCS, sections
from tests.log_events import events_in_code

DOCUMENT = "OPERATIONS.md"
CELL = re.compile(r"`([^`]+)`")
LINK = re.compile(r"\]\(([^)#:]+)\)")


def rows(title: str) -> dict[str, set[str]]:
    """Return the names in the second column of a section's table, keyed by the first column."""
    found = {}
    for line in sections(DOCUMENT)[title].text.splitlines():
        cells = line.split("|")
        if len(cells) > 3 and CELL.search(cells[1]):
            found[CELL.findall(cells[1])[0]] = set(CELL.findall(cells[2]))
    return found


class LogEventTableTest(unittest.TestCase):
    def test_every_event_is_documented_with_its_keys(self) -> None:
        documented, in_code = rows("Log events"), events_in_code()
        for name in sorted({*documented, *in_code}):
            with self.subTest(event=name):
                self.assertEqual(documented.get(name), in_code.get(name))

    def test_events_with_computed_names_are_found(self) -> None:
        source = (
            'log_event("plain", level="INFO", one=1)\n'
            'event = "first" if x else "second"\n'
            "log_event(event, two=2)\n"
            'name, other = "paired", 1\n'
            "log_event(name)\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "module.py").write_text(source)
            found = events_in_code(Path(folder))
            self.assertEqual(
                found, {"plain": {"one"}, "first": {"two"}, "second": {"two"}, "paired": set()}
            )
            (Path(folder) / "module.py").write_text("log_event(make_name())")
            with self.assertRaises(AssertionError):
                events_in_code(Path(folder))


class MetricTableTest(unittest.TestCase):
    def metrics_in_code(self) -> set[str]:
        """Return the names of all metrics defined in code."""
        names = set()
        for module in (metrics, state_metrics, serving_metrics):
            tree = ast.parse(Path(str(module.__file__)).read_text())
            for node in ast.walk(tree):
                if isinstance(node, ast.Constant) and str(node.value).startswith("drumbay_"):
                    names.add(str(node.value))
        return names

    def test_every_metric_is_documented(self) -> None:
        documented = {name.removesuffix("_total") for name in rows("Metrics")}
        self.assertEqual(documented, self.metrics_in_code())

    def test_counters_are_documented_with_their_exported_names(self) -> None:
        registry = CollectorRegistry()
        NodeMetrics(registry)
        counters = {family.name for family in registry.collect() if family.type == "counter"}
        documented = {name for name in rows("Metrics") if name.endswith("_total")}
        counters.add("drumbay_frames_refused")
        counters |= {
            f"drumbay_serving_{name}"
            for name in (
                "requests",
                "batches",
                "item_runs",
                "rewards",
                "step_turns",
                "store_calls",
                "loads",
                "duties",
                "refused_keys",
                "silent_connections",
                "worker_pauses",
                "worker_deaths",
                "held_requests",
                "ineligible_workers",
                "shed_requests",
                "cut_off_responses",
                "store_purposes",
                "hedges",
                "worker_refusals",
                "admitted",
                "rejected",
            )
        }
        self.assertEqual(documented, {f"{name}_total" for name in counters})


class LinkTest(unittest.TestCase):
    def test_links_between_documents_are_valid(self) -> None:
        for name in (DOCUMENT, "CONFIGURATION.md", "operations/security.md"):
            file = DOCS / name
            for target in LINK.findall(file.read_text()):
                self.assertTrue((file.parent / target).exists(), f"{name}: {target}")
