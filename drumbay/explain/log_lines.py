"""Reads the key=value lines that drumbay's processes write."""

import shlex
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import msgspec

TIME_KEY = "time="


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One event: seconds since the Unix epoch, process, name and fields as written."""

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field, empty if it is missing."""
        return self.fields.get(name, "")

    def number(self, name: str) -> float:
        """Return a field as a number, 0 if it is none."""
        try:
            return float(self.get(name))
        except ValueError:
            return 0.0


def parse_line(text: str, process: str) -> LogLine | None:
    """Parse a line; what stands before its time names the process, if anything does.

    Returns ``None`` for lines that are no event.
    """
    before, found, rest = text.partition(TIME_KEY)
    if not found:
        return None
    try:
        words = shlex.split(rest)
        at = datetime.fromisoformat(words[0]).timestamp()
    except (ValueError, IndexError):
        return None
    fields = dict(word.split("=", 1) for word in words[1:] if "=" in word)
    event = fields.pop("event", "")
    fields.pop("level", None)
    named = before.split()
    return LogLine(at=at, process=named[-1] if named else process, event=event, fields=fields)


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the events of files, and of all files in folders.

    Raises:
        OSError: A file cannot be read.
    """
    for path in paths:
        files = sorted(path.iterdir()) if path.is_dir() else [path]
        for file in files:
            with file.open(errors="replace") as stream:
                for text in stream:
                    line = parse_line(text, file.stem)
                    if line is not None:
                        yield line
