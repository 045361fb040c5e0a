"""Adaptive timeout of store calls: short while the store is fast, longer once it is slow."""

import unittest

from drumbay.kv.timeout_estimator import MAX_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS, TimeoutEstimator


class TimeoutEstimatorTest(unittest.TestCase):
    def test_first_call_has_the_maximum_timeout(self) -> None:
        self.assertEqual(TimeoutEstimator().timeout_seconds, MAX_TIMEOUT_SECONDS)

    def test_fast_store_gets_a_short_timeout(self) -> None:
        estimator = TimeoutEstimator()
        for _ in range(20):
            estimator.record_response(0.005)
        self.assertEqual(estimator.timeout_seconds, MIN_TIMEOUT_SECONDS)

    def test_timeout_adapts_to_a_slow_store_after_one_timeout(self) -> None:
        estimator = TimeoutEstimator()
        for _ in range(20):
            estimator.record_response(0.005)
        timeouts = 0
        while estimator.timeout_seconds <= 0.4:
            estimator.record_timeout()
            timeouts += 1
        self.assertEqual(timeouts, 1)
        for _ in range(20):
            estimator.record_response(0.4)
            self.assertGreater(estimator.timeout_seconds, 0.4)

    def test_timeout_does_not_exceed_its_maximum(self) -> None:
        estimator = TimeoutEstimator()
        estimator.record_response(0.01)
        for _ in range(10):
            estimator.record_timeout()
        self.assertEqual(estimator.timeout_seconds, MAX_TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()
