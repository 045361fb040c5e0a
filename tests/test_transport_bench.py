"""The benches of membership and transport give whole reports."""

import unittest

import msgspec

from drumbay.bench.membership import run_membership_bench
from drumbay.bench.membership_memory import measure_bytes_per_member
from drumbay.bench.transport import run_transport_bench


class MembershipBenchTest(unittest.TestCase):
    def test_every_scenario_ends_and_nobody_is_blamed(self) -> None:
        report = run_membership_bench((6,), seed=3)
        measurement = report.measurements[0]
        self.assertNotIn(None, msgspec.structs.astuple(measurement))
        self.assertEqual((measurement.false_suspicions_steady, measurement.false_deaths), (0, 0))
        self.assertLessEqual(measurement.largest_datagram_bytes, 1200)


class TransportBenchTest(unittest.TestCase):
    def test_all_calls_are_counted(self) -> None:
        report = run_transport_bench(call_count=40, concurrency=4, body_bytes=10)
        self.assertEqual((report.call_count, report.concurrency), (40, 4))


class MembershipMemoryTest(unittest.TestCase):
    def test_memory_grows_with_the_members_alone(self) -> None:
        small, large = measure_bytes_per_member(200), measure_bytes_per_member(800)
        self.assertLess(abs(large - small) / small, 0.25)
