"""``drumbay bench sharing``: live traffic and a trainer on shared engines, in virtual time."""

from typing import Annotated

import typer
from loguru import logger


def sharing(
    deployment: Annotated[
        list[str] | None, typer.Option(help="Deployment to run; repeatable; all by default.")
    ] = None,
    variant: Annotated[
        list[str] | None, typer.Option(help="Variant to run; repeatable; all by default.")
    ] = None,
    seed: Annotated[list[int] | None, typer.Option(help="Seed; repeatable; 1 to 3.")] = None,
    duration_seconds: Annotated[
        float, typer.Option(min=10, help="Virtual time of one run.")
    ] = 60.0,
) -> None:
    """Measure live latency and trainer idle share, with engines shared and not shared.

    Example: drumbay bench sharing --deployment bitacora-andina --variant all
    """
    logger.remove()
    # Imported here, since it needs the optional dependencies of simulations.
    from drumbay.bench.sharing import (
        DEFAULT_SEEDS,
        DEPLOYMENT_NAMES,
        format_sharing,
        run_sharing_bench,
    )
    from drumbay.bench.sharing_run import SharingLoad

    reports = run_sharing_bench(
        deployment_names=deployment or DEPLOYMENT_NAMES,
        variant_names=variant or (),
        seeds=seed or DEFAULT_SEEDS,
        load=SharingLoad(duration_seconds=duration_seconds),
    )
    typer.echo(format_sharing(reports))
