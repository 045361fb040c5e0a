"""The list of tests and runs that fail for a fault which is not mended yet: ``KNOWN-RED.txt``.

Entries are separated by an empty line. Each has four lines, in this order::

    test: tests.test_x.XTest.test_y (or the name of a run's check)
    command: what runs it, with its seed
    seen: what was seen, in a sentence
    issue: number of the open issue

An entry whose ``test`` starts with ``tests.`` keeps that test out of the run of all tests; every
entry is printed.
"""

from pathlib import Path

import msgspec

FIELDS = ("test", "command", "seen", "issue")
TEST_PREFIX = "tests."


class KnownRedFormatError(ValueError):
    """An entry lacks a line, or has one that does not belong there."""


class KnownRed(msgspec.Struct, frozen=True, kw_only=True):
    """One fault that is not mended yet.

    Attributes:
        test: The test, or the check of a run.
        command: What runs it, with its seed.
        seen: What was seen.
        issue: Number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Return whether it names a test, which is then left out."""
        return self.test.startswith(TEST_PREFIX)


def read_known_red(file: Path) -> tuple[KnownRed, ...]:
    """Return the entries of a list; none if there is no file.

    Raises:
        KnownRedFormatError: An entry is not of the form above, or its test is named twice.
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
