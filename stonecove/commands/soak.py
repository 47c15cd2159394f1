"""`stonecove soak`: seeded plays of real routers under signals, rude clients and failing servers."""

from __future__ import annotations

import json
import sys

import click

KEPT, BROKEN = 0, 1


def _seeds(text: str) -> list[int]:
    """Return the seeds that a text names, as in `1-50` or `3,7,12-14`."""
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        if not first.isdigit() or (dash and not last.isdigit()):
            raise click.BadParameter(f"{part!r} is no seed and no range of seeds", param_hint="--seeds")
        found += range(int(first), int(last or first) + 1)
    if not found:
        raise click.BadParameter(f"{text!r} names no seed", param_hint="--seeds")
    return found


@click.command()
@click.option("--seeds", default="1-4", show_default=True, help="Seeds to play, as 1-50 or 3,7.")
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, 32), help="Plays at once.")
@click.option(
    "--seconds", default=10.0, show_default=True, type=click.FloatRange(4.0, 3600.0), help="Load of each."
)
@click.option("--reduce/--no-reduce", default=True, show_default=True, help="Make failing seeds smaller.")
@click.option("--json", "as_json", is_flag=True, help="For programs: one line for each seed.")
def soak(seeds: str, jobs: int, seconds: float, reduce: bool, as_json: bool) -> None:
    """Play seeded soaks and judge them. Ends with 0: all rules kept, 1: one was broken."""
    from stonecove.soak.plan import draw_plan
    from stonecove.soak.run import play_seeds, reduce_seed

    wanted = _seeds(seeds)
    failing = []
    for verdict in play_seeds(wanted, seconds, jobs):
        if verdict.broken:
            failing.append(verdict.seed)
        if as_json:
            click.echo(json.dumps(verdict.as_dict()))
            continue
        told = " ".join(f"{name}={value:g}" for name, value in verdict.figures.items())
        click.echo(f"seed {verdict.seed}: {'BROKEN' if verdict.broken else 'kept'} {told}")
        for one in verdict.broken[:5]:
            click.echo(f"  {one.summary()}")
        if verdict.broken:
            for trouble in draw_plan(verdict.seed, seconds).troubles:
                click.echo(f"    {trouble.summary()}")
    for seed in sorted(failing) if reduce else []:
        found = reduce_seed(seed, seconds)
        again = "fails alone" if found.failed_again else "kept all rules when it was played again alone"
        click.echo(f"seed {seed} {again} ({found.plays} plays)", err=True)
        for summary in found.troubles if found.failed_again else []:
            click.echo(f"  needs {summary}", err=True)
    click.echo(f"seeds={len(wanted)} broken={len(failing)}", err=as_json)
    sys.exit(BROKEN if failing else KEPT)
