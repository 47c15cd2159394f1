"""Measure the cost of the control plane by fleet size and extrapolate it to 730 routers.

    python -m benchmarks.capacity_control [--part NAME]... [--short] [--sizes 25,50] [--figures FILE]

`swarm`         datagrams, bytes, CPU and memory of the decisions, on a simulated clock (`trial.model`)
`log`           bytes and TCP segments of one follower of the change log, by the server's batching window
`fanout`        CPU of a server that notifies N followers
`follower`      CPU and memory of the real router by purges, restarts and SIGHUPs
`coordination`  bytes of ZooKeeper sessions against the stand-in ensemble
`supervisor`    the supervisor of a host by its instances
`processes`     CPU of 20 idle routers with and without a swarm
`days`          whole days, computed from the figures of the other parts (this run or `--figures FILE`)

Bytes include IP and UDP or TCP headers, sent plus received. All sockets are on loopback. The last
line is `key=value ...`; without `--part` all parts run.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import click

from benchmarks.capacity_coordination import coordination
from benchmarks.capacity_days import days, read_figures
from benchmarks.capacity_fits import Figures
from benchmarks.capacity_log import fanout, log
from benchmarks.capacity_processes import follower, processes, supervisor
from benchmarks.capacity_swarm import swarm

SIZES, SHORT_SIZES = (25, 50, 100, 150, 200), (10, 20)  # of simulated fleets

PARTS: dict[str, Callable[[bool], Figures]] = {
    "log": log,
    "fanout": fanout,
    "follower": follower,
    "coordination": coordination,
    "supervisor": supervisor,
    "processes": processes,
}


@click.command()
@click.option("--part", "parts", multiple=True, type=click.Choice(("swarm", *PARTS, "days")))
@click.option("--short", is_flag=True, help="Small sizes, a few seconds each.")
@click.option("--sizes", default="", help="Sizes of simulated fleets, as 25,50,100.")
@click.option("--figures", "earlier", type=click.Path(exists=True, path_type=Path))
def main(parts: tuple[str, ...], short: bool, sizes: str, earlier: Path | None) -> None:
    """Run the selected parts, or all of them."""
    selected_parts = parts or ("swarm", *PARTS, "days")
    fleet_sizes = [int(size) for size in sizes.split(",") if size] or (SHORT_SIZES if short else SIZES)
    figures: Figures = {}
    for part in selected_parts:
        if part == "swarm":
            figures |= swarm(short, fleet_sizes)
        elif part != "days":
            figures |= PARTS[part](short)
        sys.stdout.flush()
    available_figures = (read_figures(earlier) if earlier else {}) | figures
    if "days" in selected_parts and not (short and not earlier):
        figures |= days(available_figures)
    print(" ".join(f"{key}={value:.4g}" for key, value in figures.items()))


if __name__ == "__main__":
    main()
