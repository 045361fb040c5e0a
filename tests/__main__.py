"""Run every test but those listed in ``KNOWN-RED.txt``, which are printed.

``KNOWN-RED.txt`` names at most three tests that fail for a fault that is not mended yet, one
line each: ``test id: cause, issue``. The last line printed is ``N passed, N failed``.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
MAXIMUM_KNOWN_RED = 3


def read_known_red() -> dict[str, str]:
    """Return the cause of each known red test by test id."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    known = dict(line.split(": ", 1) for line in lines)
    if len(known) > MAXIMUM_KNOWN_RED:
        sys.exit(f"{KNOWN_RED_FILE.name}: at most {MAXIMUM_KNOWN_RED} tests may be listed")
    return known


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield every test of a suite."""
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            yield from flatten(entry)
        else:
            yield entry


def main() -> int:
    """Run the tests and return the exit code."""
    known_red = read_known_red()
    found = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    tests = list(flatten(found))
    unknown = sorted(set(known_red) - {test.id() for test in tests})
    if unknown:
        sys.exit(f"{KNOWN_RED_FILE.name} names tests that do not exist: {unknown}")
    selected = [test for test in tests if test.id() not in known_red]
    result = unittest.TextTestRunner(buffer=True).run(unittest.TestSuite(selected))
    for test_id, cause in known_red.items():
        print(f"known red, not run: {test_id}: {cause}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
