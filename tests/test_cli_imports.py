"""Commands import only the modules that they need."""

import subprocess
import sys
import unittest

from drumbay.cli.main import COMMANDS, make_app

TIMEOUT_SECONDS = 60
FORBIDDEN_IN_NODE = (
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
    """Run code in a new interpreter and return its standard output."""
    command = (sys.executable, "-c", code)
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_SECONDS, check=True
    )
    return result.stdout


class ImportsTest(unittest.TestCase):
    def test_node_imports_no_emulators_or_benchmarks(self) -> None:
        code = "import sys, drumbay.cli.main, drumbay.cli.node; print(*sorted(sys.modules))"
        loaded = run_python(code).split()
        self.assertIn("drumbay.node.process", loaded)
        forbidden = [
            name
            for name in loaded
            for prefix in FORBIDDEN_IN_NODE
            if name == prefix or name.startswith(f"{prefix}.")
        ]
        self.assertEqual(forbidden, [])

    def test_only_the_requested_command_is_loaded(self) -> None:
        for name in COMMANDS:
            app = make_app([name, "--help"])
            names = [entry.name for entry in app.registered_commands]
            names += [group.name for group in app.registered_groups]
            self.assertEqual([known for known in names if known], [name])
