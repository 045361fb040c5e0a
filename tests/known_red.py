"""Reads ``KNOWN-RED.txt``, the list of tests and runs that fail because of open bugs.

Entries are separated by an empty line. Each has four lines, in this order::

    test: tests.test_x.XTest.test_y (or the name of a check)
    command: command that runs it, with its seed
    seen: what was observed, in one sentence
    issue: number of the open issue

An entry whose ``test`` starts with ``tests.`` excludes that test from the full test run. All
entries are printed.
"""

from pathlib import Path

import msgspec

FIELDS = ("test", "command", "seen", "issue")
TEST_PREFIX = "tests."


class KnownRedFormatError(ValueError):
    """An entry has missing, unexpected or invalid lines, or repeats a test."""


class KnownRed(msgspec.Struct, frozen=True, kw_only=True):
    """One known failure.

    Attributes:
        test: Id of the test, or name of the check.
        command: Command that runs it, with its seed.
        seen: What was observed.
        issue: Number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Return whether the entry names a test, which is then excluded."""
        return self.test.startswith(TEST_PREFIX)


def read_known_red(file: Path) -> tuple[KnownRed, ...]:
    """Return the entries of a file; none if it does not exist.

    Raises:
        KnownRedFormatError: An entry does not have the format above, or a test occurs twice.
    """
    if not file.exists():
        return ()
    blocks = [block for block in file.read_text().split("\n\n") if block.strip()]
    entries = tuple(_read_entry(block.strip()) for block in blocks)
    tests = [entry.test for entry in entries]
    if len(set(tests)) < len(tests):
        raise KnownRedFormatError(f"{file.name} names a test twice")
    return entries


def _read_entry(block: str) -> KnownRed:
    lines = [line.partition(": ") for line in block.splitlines()]
    names = tuple(name for name, _, _ in lines)
    values = [value.strip() for _, _, value in lines]
    if names != FIELDS or not all(values):
        raise KnownRedFormatError(f"expected the lines {', '.join(FIELDS)}: {block!r}")
    test, command, seen, issue = values
    if not issue.isdecimal():
        raise KnownRedFormatError(f"the issue is not a number: {issue!r}")
    return KnownRed(test=test, command=command, seen=seen, issue=issue)
