"""The list of known failures is read completely or rejected."""

import tempfile
import unittest
from pathlib import Path

from drumbay_soak.known_red import known_red_checks

from tests.known_red import KnownRedFormatError, read_known_red

TEST = """test: tests.test_x.XTest.test_y
command: python -m unittest tests.test_x (no seed)
seen: two of thirty runs failed
issue: 41
"""
RUN = """test: soak steps_are_whole_in_time
command: platform/soak.py --seed 7
seen: a step took 6.4 s
issue: 41
"""


class KnownRedTest(unittest.TestCase):
    def read(self, text: str) -> list[tuple[str, bool]]:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "KNOWN-RED.txt"
            file.write_text(text)
            return [(entry.test, entry.is_test) for entry in read_known_red(file)]

    def test_tests_are_distinguished_from_checks_of_runs(self) -> None:
        read = self.read(f"{TEST}\n\n{RUN}")
        self.assertEqual(
            read,
            [("tests.test_x.XTest.test_y", True), ("soak steps_are_whole_in_time", False)],
        )
        self.assertEqual(self.read(""), [])
        self.assertEqual(read_known_red(Path("nowhere")), ())

    def test_incomplete_and_duplicate_entries_are_rejected(self) -> None:
        entries = (
            TEST.replace("command: python -m unittest tests.test_x (no seed)\n", ""),
            TEST.replace("issue: 41", "issue: none"),
            TEST.replace("two of thirty runs failed", ""),
            TEST + "\n" + TEST,
        )
        for text in entries:
            with self.subTest(text=text), self.assertRaises(KnownRedFormatError):
                self.read(text)

    def test_a_soak_check_is_known_red_at_the_listed_seed_alone(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "KNOWN-RED.txt"
            file.write_text(f"{TEST}\n{RUN}")
            self.assertEqual(known_red_checks(7, file), {"steps_are_whole_in_time"})
            self.assertEqual(known_red_checks(70, file), frozenset())
