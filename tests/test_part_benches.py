"""The benches of single parts run and count what they measure."""

import unittest

from drumbay.bench.backend_polls import run_poll_bench
from drumbay.bench.forwarding_cost import run_forwarding_cost_bench
from drumbay.bench.stream_log import run_stream_log_bench


class PartBenchesTest(unittest.TestCase):
    def test_a_poll_is_counted_in_both_directions(self) -> None:
        report = run_poll_bench(polls=5)
        for cost in (report.status, report.cache_events):
            self.assertGreater(cost.sent_bytes, 100)
            self.assertGreater(cost.received_bytes, 100)

    def test_the_stream_log_counts_whole_batches(self) -> None:
        report = run_stream_log_bench(batch_samples=2, streams=2, batches=2)
        self.assertGreater(report.bytes_per_token, 4.0)
        self.assertGreater(report.commits_per_second, 0.0)

    def test_requests_are_forwarded_at_both_sizes_of_chunks(self) -> None:
        report = run_forwarding_cost_bench(requests=4, idle_seconds=0.2)
        self.assertEqual([cost.chunk_tokens for cost in report.costs], [1, 16])
        self.assertGreater(min(cost.cpu_milliseconds for cost in report.costs), 0.0)
        self.assertGreater(report.idle_milliseconds, 0.0)
