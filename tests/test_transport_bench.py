"""The transport bench reports the number of its calls and their concurrency."""

import unittest

from drumbay.bench.transport import run_transport_bench


class TransportBenchTest(unittest.TestCase):
    def test_all_calls_are_counted(self) -> None:
        report = run_transport_bench(call_count=40, concurrency=4, body_bytes=10)
        self.assertEqual((report.call_count, report.concurrency), (40, 4))


if __name__ == "__main__":
    unittest.main()
