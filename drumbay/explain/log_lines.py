"""Parses the key=value log lines of drumbay processes."""

import shlex
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import msgspec

TIME_KEY = "time="


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One log event.

    Attributes:
        at: Seconds since the Unix epoch.
        process: Name of the process that logged it.
        event: Name of the event.
        fields: Further fields, as text.
    """

    at: float
    process: str
    event: str
    fields: dict[str, str]

    def get(self, name: str) -> str:
        """Return a field, empty if it is missing."""
        return self.fields.get(name, "")

    def get_number(self, name: str) -> float:
        """Return a field as a number, 0 if it is missing or not a number."""
        try:
            return float(self.get(name))
        except ValueError:
            return 0.0


def parse_line(text: str, process: str) -> LogLine | None:
    """Parse a log line; a word before the time overrides ``process``.

    Returns ``None`` for lines that are not log events.
    """
    prefix, separator, remainder = text.partition(TIME_KEY)
    if not separator:
        return None
    try:
        words = shlex.split(remainder)
        at = datetime.fromisoformat(words[0]).timestamp()
    except (ValueError, IndexError):
        return None
    fields = dict(word.split("=", 1) for word in words[1:] if "=" in word)
    event = fields.pop("event", "")
    fields.pop("level", None)
    prefix_words = prefix.split()
    return LogLine(
        at=at, process=prefix_words[-1] if prefix_words else process, event=event, fields=fields
    )


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the events of files, and of all files in the given folders.

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
