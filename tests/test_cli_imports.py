"""What a process loads: only its own command."""

import subprocess
import sys
import unittest

from drumbay.cli.main import COMMANDS, make_app

LIMIT_SECONDS = 60
NOT_FOR_A_NODE = (
    "drumbay.standins",
    "drumbay.simulation",
    "drumbay.bench",
    "drumbay.acceptance",
    "aiotools",
    "simpy",
    "numpy",
    "matplotlib",
    "hdrh",
    "psutil",
)


def run_python(code: str) -> str:
    """Run code in a new interpreter and return what it printed."""
    command = (sys.executable, "-c", code)
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=LIMIT_SECONDS, check=True
    )
    return done.stdout


class ImportsTest(unittest.TestCase):
    def test_a_node_imports_no_emulator_and_no_bench(self) -> None:
        code = "import sys, drumbay.cli.main, drumbay.cli.node; print(*sorted(sys.modules))"
        loaded = run_python(code).split()
        self.assertIn("drumbay.node.process", loaded)
        superfluous = [
            name
            for name in loaded
            for prefix in NOT_FOR_A_NODE
            if name == prefix or name.startswith(f"{prefix}.")
        ]
        self.assertEqual(superfluous, [])

    def test_a_command_line_has_the_command_that_is_called(self) -> None:
        for name in COMMANDS:
            app = make_app([name, "--help"])
            names = [entry.name for entry in app.registered_commands]
            names += [group.name for group in app.registered_groups]
            self.assertEqual([known for known in names if known], [name])
