"""Runs all tests except those listed in ``KNOWN-RED.txt``, and prints its entries.

The last line printed is ``N passed, N failed``.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.known_red import KnownRedFormatError, read_known_red

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield every test of a suite, recursively."""
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            yield from flatten(entry)
        else:
            yield entry


def main() -> int:
    """Run the tests and return the exit code."""
    try:
        known_red = read_known_red(KNOWN_RED_FILE)
    except KnownRedFormatError as error:
        sys.exit(str(error))
    excluded = {entry.test for entry in known_red if entry.is_test}
    discovered = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    tests = list(flatten(discovered))
    unknown = sorted(excluded - {test.id() for test in tests})
    if unknown:
        sys.exit(f"{KNOWN_RED_FILE.name} names tests that do not exist: {unknown}")
    selected = [test for test in tests if test.id() not in excluded]
    result = unittest.TextTestRunner(buffer=True).run(unittest.TestSuite(selected))
    for entry in known_red:
        print(f"known red: {entry.test}; {entry.command}; {entry.seen} (issue {entry.issue})")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
