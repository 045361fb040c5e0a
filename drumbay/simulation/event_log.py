"""Log of the simulated processes: virtual times, and the process that wrote each line."""

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

from drumbay.observability.logs import render_record
from drumbay.simulation.process import process_of

if TYPE_CHECKING:
    from loguru import Record

OUTSIDE = "outside"
"""Stands for the process of lines that no simulated process wrote."""


def log_to_file(file: Path) -> None:
    """Write the events of all simulated processes to a file, one key=value line each.

    ``time`` is in virtual seconds; ``process`` is the boot id of the run that wrote the line.
    """
    logger.add(file, level="DEBUG", format=_format_record, colorize=False, mode="w")


def _format_record(record: "Record") -> str:
    process = process_of(None)
    return render_record(
        record,
        time=f"{_virtual_seconds():.3f}",
        process=OUTSIDE if process is None else process.boot_id,
    )


def _virtual_seconds() -> float:
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        # Written before the simulation's loop runs, or after its end.
        return 0.0
