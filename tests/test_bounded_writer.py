"""Log output is rate-limited and never blocks."""

import os
import unittest

from drumbay.observability.bounded_writer import BoundedLineWriter


class BoundedLineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.pipe = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.pipe)
        self.now = 0.0

    def writer(self, lines_per_second: float = 10.0, burst_lines: int = 5) -> BoundedLineWriter:
        return BoundedLineWriter(
            self.pipe,
            lines_per_second=lines_per_second,
            burst_lines=burst_lines,
            monotonic=lambda: self.now,
        )

    def read_lines(self) -> list[str]:
        return os.read(self.reader, 1_000_000).decode().splitlines()

    def test_lines_over_the_rate_are_dropped_and_counted(self) -> None:
        writer = self.writer()
        for number in range(8):
            writer.write(f"line {number}\n")
        self.assertEqual(self.read_lines(), [f"line {number}" for number in range(5)])
        self.assertEqual(writer.dropped, 3)
        self.now = 1.0
        writer.write("later\n")
        self.assertEqual(
            self.read_lines(), ["level=warning event=log_lines_dropped lines=3", "later"]
        )

    def test_stalled_reader_does_not_block_the_writer(self) -> None:
        writer = self.writer(lines_per_second=1e9, burst_lines=1_000_000)
        for _ in range(2_000):
            writer.write("x" * 200 + "\n")
        self.assertGreater(writer.dropped, 0)
        first = self.read_lines()
        self.assertTrue(all(line == "x" * 200 for line in first[:-1]))
        self.now = 1.0
        writer.write("later\n")
        writer.write("after\n")
        text = first[-1] + "\n".join(self.read_lines())
        self.assertTrue(text.startswith("x" * 200))
        self.assertTrue(text.endswith("after"))

    def test_closed_reader_does_not_raise(self) -> None:
        reader, pipe = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, pipe)
        writer = BoundedLineWriter(pipe)
        writer.write("nobody\n")
        self.assertEqual(writer.dropped, 1)


if __name__ == "__main__":
    unittest.main()
