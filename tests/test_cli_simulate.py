"""The command ``drumbay simulate``."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from drumbay.cli.main import make_app
from drumbay.simulation.scenario import shipped_scenarios

SCENARIO = """
name = "tiny"
description = "One zone, lookups alone."
duration_seconds = 20.0
zones = [{name = "callao", region = "lima", nodes = 3, disks = 3}]
pools = [{name = "consulta", kind = "application", workers = 2}]
load = {lookups_per_second = 2.0, operators = 1, change_interval_seconds = 5.0}
faults = {kinds = [], first_seconds = 5.0, quiet_seconds = 5.0}
"""
KILL = {"type": "KillHost", "at_seconds": 6.0, "duration_seconds": 2.0, "host": "callao-1"}


class SimulateCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.scenario = Path(folder.name) / "tiny.toml"
        self.scenario.write_text(SCENARIO)
        self.plan = Path(folder.name) / "plan.json"
        self.plan.write_text(json.dumps({"faults": [KILL]}))
        self.history = Path(folder.name) / "history.jsonl"
        self.log = Path(folder.name) / "nodes.log"

    def run_command(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(make_app(["simulate"]), ["simulate", *arguments])
        return result.exit_code, result.output

    def test_list_names_the_shipped_scenarios(self) -> None:
        code, output = self.run_command("--list")
        self.assertEqual(code, 0)
        for name in shipped_scenarios():
            self.assertIn(name, output)

    def test_scenario_file_is_run_and_reported_as_json(self) -> None:
        code, output = self.run_command(
            *("--scenario", str(self.scenario), "--seeds", "1..2", "--json"),
            *("--plan-file", str(self.plan), "--history-file", str(self.history)),
            *("--log-file", str(self.log)),
        )
        self.assertEqual(code, 0, output)
        reports = json.loads(output)
        self.assertEqual([report["seed"] for report in reports], [1, 2])
        self.assertEqual([report["faults"] for report in reports], [1, 1])
        self.assertIn(b"NodeDisturbed", self.history.read_bytes())
        # Log lines carry the virtual time and the incarnation of the process.
        lines = self.log.read_text()
        self.assertRegex(lines, r"time=8\.\d+ process=callao-1#2 level=info event=node_started")

    def test_violation_exits_with_1_and_prints_the_replay_command(self) -> None:
        # No change can take effect within 0 seconds.
        strict = SCENARIO + "limits = {configuration_seconds = 0.0}\n"
        self.scenario.write_text(strict)
        code, output = self.run_command("--scenario", str(self.scenario), "--seed", "4")
        self.assertEqual(code, 1, output)
        self.assertIn("configuration_in_force broken", output)
        replay = f"replay: drumbay simulate --scenario {self.scenario} --seed 4"
        self.assertIn(replay, output)

    def test_invalid_input_exits_with_2(self) -> None:
        self.plan.write_text("{}")
        cases = (
            ("--scenario", "nowhere"),
            ("--seeds", "5..1"),
            ("--plan-file", str(self.plan)),
        )
        for arguments in cases:
            with self.subTest(arguments=arguments):
                code, output = self.run_command(*arguments)
                self.assertEqual(code, 2, output)


if __name__ == "__main__":
    unittest.main()
