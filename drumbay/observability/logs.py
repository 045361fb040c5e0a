"""Structured logs through loguru, with one logfmt line per event."""

import logging
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from logfmter import Logfmter
from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

LogValue = str | int | float | bool | None

EVENT_FIELDS_KEY = "event_fields"


def _format_record(record: "Record") -> str:
    """Render a loguru record as one logfmt line (a format string without fields)."""
    return render_record(record, time=record["time"].isoformat(timespec="milliseconds"))


def render_record(record: "Record", **leading_fields: LogValue) -> str:
    """Render a loguru record as one logfmt line (a format string without fields).

    Args:
        record: The record of one event.
        leading_fields: Fields placed before the level, the event and its own fields.
    """
    fields: dict[str, object] = {
        **leading_fields,
        "level": record["level"].name.lower(),
        "event": record["message"],
    }
    fields.update(record["extra"].get(EVENT_FIELDS_KEY, {}))
    line: str = Logfmter.format_params(fields)
    # NOTE: loguru applies str.format and markup to what a format function returns.
    record["extra"]["line"] = line
    return "{extra[line]}\n"


class _LibraryLogHandler(logging.Handler):
    """Converts log messages of libraries to events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one message of a library as an event."""
        log_event(
            "library_message",
            level=record.levelname,
            logger=record.name,
            detail=record.getMessage(),
        )


def _write_line(line: str) -> None:
    # NOTE: sys.stderr is looked up for each line, since a test runner may replace the stream.
    sys.stderr.write(line)


def configure_logs(level: str = "INFO", write_line: Callable[[str], None] = _write_line) -> None:
    """Configure the output of logs, including those of libraries.

    Args:
        level: Name of the lowest level to output.
        write_line: Receives each line; writes to standard error by default.
    """
    logging.basicConfig(handlers=[_LibraryLogHandler()], level=logging.WARNING, force=True)
    logger.remove()
    logger.add(write_line, level=level, format=_format_record, colorize=False, backtrace=False)


def log_event(event: str, *, level: str = "INFO", **fields: LogValue) -> None:
    """Log one event.

    Args:
        event: Stable name of the event, listed in ``docs/OPERATIONS.md``.
        level: Name of the loguru level.
        fields: Fields of the event; key names include the unit.
    """
    logger.bind(**{EVENT_FIELDS_KEY: fields}).log(level, event)
