"""Entry point of `stonecove`: the router, its tools and the demonstration."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from stonecove.commands.config import config
from stonecove.commands.configuration import configuration
from stonecove.commands.explore import explore
from stonecove.commands.fleet import fleet
from stonecove.commands.members import members
from stonecove.commands.overload import overload
from stonecove.commands.scale import scale
from stonecove.commands.soak import soak
from stonecove.commands.standin import standin
from stonecove.commands.swarm import swarm
from stonecove.commands.token import keys, token
from stonecove.commands.trial import trial


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Run and operate an edge router between web servers (FastCGI) and caches (RESP)."""


@cli.command()
@click.option(
    "--operator",
    type=click.Path(path_type=Path, dir_okay=False),
    help="The operator's file; default: the path in STONECOVE_OPERATOR.",
)
def run(operator: Path | None) -> None:
    """Start one edge router, configured by the file that RELAY_CONFIG names."""
    from stonecove.server.serve import main as serve

    sys.exit(serve(operator))


@cli.command()
@click.option(
    "--requests",
    default=300,
    show_default=True,
    type=click.IntRange(10, 5000),
    help="Number of requests to send.",
)
def demo(requests: int) -> None:
    """Run the router against a simulated depot, through a drain, a purge and a cache failure."""
    from stonecove.commands.demo import run_demo

    sys.exit(run_demo(requests))


for _command in (
    explore,
    config,
    configuration,
    fleet,
    members,
    standin,
    swarm,
    token,
    keys,
    trial,
    overload,
    scale,
    soak,
):
    cli.add_command(_command)


def main() -> None:
    """Run the console script; exit with 2 if the arguments are invalid."""
    cli()
