"""Output formats of the command line: tables, JSON and YAML."""

from collections.abc import Sequence
from enum import StrEnum

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from drumbay.api.schema import ApplyOutcomeBody


class OutputFormat(StrEnum):
    """How a command prints its result."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a change of one resource."""

    kind: str
    name: str
    outcome: ApplyOutcomeBody


class ChangeList(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``drumbay apply`` and ``drumbay delete``, in the order of the changes."""

    changes: tuple[Change, ...]


def print_record(record: object, output: OutputFormat) -> None:
    """Print a record as JSON or YAML."""
    if output is OutputFormat.YAML:
        typer.echo(msgspec.yaml.encode(record).decode(), nl=False)
        return
    typer.echo(msgspec.json.format(msgspec.json.encode(record)).decode())


def print_table(columns: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> None:
    """Print rows under column headings."""
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column.upper(), overflow="fold")
    for row in rows:
        table.add_row(*row)
    Console(soft_wrap=True).print(table)
