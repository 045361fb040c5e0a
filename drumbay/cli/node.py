"""``drumbay node``: run one node."""

from pathlib import Path
from typing import Annotated

import typer

from drumbay.cli.errors import exit_on_error
from drumbay.clock import run_on_system_clock
from drumbay.node.process import run_node
from drumbay.observability.logs import configure_logs
from drumbay.settings import SettingsOverrides, load_cluster_key, load_settings


def node(
    settings: Annotated[Path, typer.Option(help="Settings file (TOML).")],
    node_id: Annotated[str | None, typer.Option(help="Overrides node_id.")] = None,
    zone: Annotated[str | None, typer.Option(help="Overrides zone.")] = None,
    region: Annotated[str | None, typer.Option(help="Overrides region.")] = None,
    http_port: Annotated[int | None, typer.Option(help="Overrides http.port.")] = None,
    peer_port: Annotated[int | None, typer.Option(help="Overrides peers.port.")] = None,
    data_folder: Annotated[str | None, typer.Option(help="Overrides data_folder.")] = None,
) -> None:
    """Run a node until SIGTERM; it then ends what is in flight and leaves.

    Example: drumbay node --settings node.toml
    """
    with exit_on_error():
        overrides = SettingsOverrides(
            node_id=node_id,
            zone=zone,
            region=region,
            http_port=http_port,
            peer_port=peer_port,
            data_folder=data_folder,
        )
        checked = load_settings(settings, overrides)
        cluster_key = load_cluster_key(checked, settings)
        configure_logs(checked.logs.level)
        run_on_system_clock(run_node(checked, cluster_key))
