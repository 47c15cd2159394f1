"""`stonecove`: the router itself, the explorer and the demonstration."""

from __future__ import annotations

import sys

import click

from stonecove.commands.explore import explore


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """An edge router between web servers (FastCGI) and caches (RESP)."""


@cli.command()
def run() -> None:
    """Start one edge router, configured by the file that RELAY_CONFIG names."""
    from stonecove.lifecycle.serve import main as serve

    sys.exit(serve())


@cli.command()
@click.option(
    "--requests",
    default=300,
    show_default=True,
    type=click.IntRange(10, 5000),
    help="How many requests are sent.",
)
def demo(requests: int) -> None:
    """Run the router in a made-up depot: a drain, a purge and a cache that dies, told as it happens."""
    from stonecove.commands.demo import play

    sys.exit(play(requests))


cli.add_command(explore)


def main() -> None:
    """Entry point of the console script; ends with 2 where arguments can't be used."""
    cli()
