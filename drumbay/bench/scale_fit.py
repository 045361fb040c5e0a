"""Slopes over several reports of the scale bench, and what they give at another size."""

import statistics
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from drumbay.bench.scale import ScaleMeasurement

FIGURES: dict[str, Callable[[ScaleMeasurement], float]] = {
    "sent_bytes_per_second": lambda run: run.sent_bytes.mean,
    "sent_bytes_per_second_busiest": lambda run: run.sent_bytes.maximum,
    "status_polls_per_second": lambda run: run.status_polls.mean,
    "status_polls_per_second_busiest": lambda run: run.status_polls.maximum,
    "store_operations_per_second": lambda run: run.store_operations,
    "machine_list_reads_per_second": lambda run: run.machine_list_reads,
    "cpu_milliseconds_per_second": lambda run: run.cpu_milliseconds + run.frame_milliseconds,
    "memory_bytes": lambda run: run.memory_bytes,
    "change_bytes": lambda run: run.change_bytes,
    "longest_change_seconds": lambda run: max(run.change_seconds),
    "start_store_operations": lambda run: float(run.start_store_operations),
}


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A straight line through the measured sizes.

    Attributes:
        figure: What was measured, per node unless it is of the key-value service, the
            machine list or a change.
        measured: The figure at each size.
        per_node: Growth for one more node.
        extrapolated: The figure at the size that was asked for.
    """

    figure: str
    measured: tuple[float, ...]
    per_node: float
    extrapolated: float


class ScaleFit(msgspec.Struct, frozen=True, kw_only=True):
    """Slopes of all figures.

    Attributes:
        nodes: Sizes that were measured.
        target_nodes: Size of the extrapolation.
        slopes: One for each figure.
    """

    nodes: tuple[int, ...]
    target_nodes: int
    slopes: tuple[Slope, ...]


def read_measurement(file: Path) -> ScaleMeasurement:
    """Read a report that ``drumbay bench scale`` printed.

    Raises:
        OSError: The file cannot be read.
        msgspec.DecodeError: It is no such report.
    """
    return msgspec.json.decode(file.read_bytes(), type=ScaleMeasurement)


def fit_slopes(runs: Sequence[ScaleMeasurement], target_nodes: int) -> ScaleFit:
    """Fit a straight line through each figure of at least two sizes."""
    nodes = [run.nodes for run in runs]
    slopes = []
    for name, figure in FIGURES.items():
        measured = [figure(run) for run in runs]
        line = statistics.linear_regression([float(count) for count in nodes], measured)
        slopes.append(
            Slope(
                figure=name,
                measured=tuple(measured),
                per_node=line.slope,
                extrapolated=line.intercept + line.slope * target_nodes,
            )
        )
    return ScaleFit(nodes=tuple(nodes), target_nodes=target_nodes, slopes=tuple(slopes))
