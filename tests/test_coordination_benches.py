"""The benches of configuration and weight rollout at small sizes, on virtual time."""

import unittest

from loguru import logger

from drumbay.bench.configuration import run_configuration_bench
from drumbay.bench.weights import measure_rollout

IN_FORCE_LIMIT_SECONDS = 16.0


def setUpModule() -> None:
    logger.remove()


class CoordinationBenchTest(unittest.TestCase):
    def test_configuration(self) -> None:
        report = run_configuration_bench((12,), seed=5)
        measurement = report.measurements[0]
        self.assertLess(max(measurement.in_force_seconds), IN_FORCE_LIMIT_SECONDS)
        self.assertLess(measurement.healed_cut_seconds, IN_FORCE_LIMIT_SECONDS)
        self.assertEqual(measurement.reversions, 0)

    def test_weights(self) -> None:
        slow = measure_rollout(20, 10, 4e9)
        fast = measure_rollout(20, 10, 8e9)
        assert slow.seconds is not None and fast.seconds is not None
        self.assertLess(fast.seconds, slow.seconds)
        self.assertLessEqual(slow.most_busy, 10)


if __name__ == "__main__":
    unittest.main()
