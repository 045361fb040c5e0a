"""Log output of simulated processes, with virtual time and process id."""

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

from drumbay.observability.logs import render_record
from drumbay.simulation.process import process_of

if TYPE_CHECKING:
    from loguru import Record

NO_PROCESS = "outside"
"""Logged as ``process`` for lines written outside any simulated process."""


def log_to_file(file: Path) -> None:
    """Write the log events of all simulated processes to a file as key=value lines.

    ``time`` is in virtual seconds; ``process`` is the boot id of the process that wrote the line.
    """
    logger.add(file, level="DEBUG", format=_format_record, colorize=False, mode="w")


def _format_record(record: "Record") -> str:
    process = process_of(None)
    return render_record(
        record,
        time=f"{_virtual_seconds():.3f}",
        process=NO_PROCESS if process is None else process.boot_id,
    )


def _virtual_seconds() -> float:
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        # Logged while no event loop runs: before the simulation or after it.
        return 0.0
