"""Whole nodes in virtual time: a run serves requests and is determined by its seed."""

import os
import subprocess
import sys
import unittest

from loguru import logger

from drumbay.node.node import Node
from drumbay.simulation.faults import FaultKind
from drumbay.simulation.runner import RunReport, run_scenario
from tests.simulated_runs import small_scenario

KINDS = (FaultKind.KILL, FaultKind.FREEZE, FaultKind.CUT, FaultKind.KEY_VALUE)
PROGRAM = "from tests.test_simulation_cluster import digest_of; print(digest_of(5))"


def digest_of(seed: int) -> str:
    """Return the trace digest of a short run with faults."""
    logger.remove()
    scenario = small_scenario(*KINDS, duration_seconds=70.0)
    return run_scenario(scenario, seed, Node).report.digest


class WholeSystemTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        logger.remove()

    def assert_served(self, report: RunReport) -> None:
        self.assertEqual(report.violations, ())
        self.assertGreater(report.answered, 0)
        self.assertGreater(report.completions, 0)
        self.assertGreater(report.samples, 0)

    def test_run_without_faults_answers_every_request(self) -> None:
        report = run_scenario(small_scenario(), 1, Node).report
        self.assert_served(report)
        self.assertEqual(report.answered, report.requests)

    def test_run_depends_only_on_the_seed(self) -> None:
        digests = {digest_of(5)}
        for hash_seed in ("0", "424242"):
            environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
            completed = subprocess.run(
                [sys.executable, "-c", PROGRAM],
                env=environment,
                capture_output=True,
                text=True,
                check=True,
            )
            digests.add(completed.stdout.strip())
        self.assertEqual(len(digests), 1, digests)
        self.assertNotIn(digest_of(6), digests)


if __name__ == "__main__":
    unittest.main()
