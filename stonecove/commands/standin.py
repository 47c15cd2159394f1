"""`stonecove standin`: stand-ins that implement outside systems' published protocols, on loopback."""

from __future__ import annotations

import ipaddress
import sys

import click


@click.group()
def standin() -> None:
    """Run stand-ins for outside systems, on loopback only."""


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback or not port.isdecimal() or int(port) > 65_535:
        raise click.BadParameter(f"{text!r} is not a loopback address such as 127.0.0.1:2181")
    return host, int(port)


@standin.command("zookeeper")
@click.option(
    "--listen", default="127.0.0.1:0", show_default=True, help="Address for clients; port 0: any free port."
)
@click.option("--control", default="127.0.0.1:0", show_default=True, help="Address for control commands.")
@click.option(
    "--servers",
    default=1,
    show_default=True,
    type=click.IntRange(1, 9),
    help="Servers of the ensemble, on consecutive ports.",
)
@click.option(
    "--lag",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 60_000),
    help="Milliseconds by which the last server lags.",
)
def zookeeper_command(listen: str, control: str, servers: int, lag: float) -> None:
    """Run a coordination server with ephemeral nodes that injects faults on command."""
    import trio

    from stonecove.standins.zookeeper import serve

    host, port = _parse_address(listen)
    ports = [port + index if port else 0 for index in range(servers)]
    control_address = _parse_address(control)
    try:
        trio.run(serve, host, ports, control_address, lag, lambda text: print(text, flush=True))
    except* KeyboardInterrupt:
        pass
    except* OSError as errors:
        click.echo(f"stonecove standin: {errors.exceptions[0]}", err=True)
        sys.exit(2)
