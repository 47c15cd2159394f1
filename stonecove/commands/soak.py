"""`stonecove soak`: seeded soak tests of routers under signals, misbehaving clients and failing servers."""

from __future__ import annotations

import json
import sys

import click

EXIT_PASSED, EXIT_VIOLATED = 0, 1


def _parse_seeds(text: str) -> list[int]:
    """Parse seeds and ranges of seeds, as in `1-50` or `3,7,12-14`; raises BadParameter."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        if not first.isdigit() or (dash and not last.isdigit()):
            raise click.BadParameter(f"{part!r} is neither a seed nor a range of seeds", param_hint="--seeds")
        seeds += range(int(first), int(last or first) + 1)
    if not seeds:
        raise click.BadParameter(f"{text!r} contains no seed", param_hint="--seeds")
    return seeds


@click.command()
@click.option("--seeds", default="1-4", show_default=True, help="Seeds to run, as 1-50 or 3,7.")
@click.option(
    "--jobs",
    default=2,
    show_default=True,
    type=click.IntRange(1, 32),
    help="Maximum number of parallel runs.",
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    type=click.FloatRange(4.0, 3600.0),
    help="Load duration of each run in seconds.",
)
@click.option(
    "--reduce/--no-reduce",
    default=True,
    show_default=True,
    help="Rerun failing seeds and reduce their faults.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line for each seed.")
def soak(seeds: str, jobs: int, seconds: float, reduce: bool, as_json: bool) -> None:
    """Run seeded soak tests and judge them. Exits with 0 if all rules passed, 1 if one was violated."""
    from stonecove.soak.plan import draw_plan
    from stonecove.soak.run import reduce_seed, run_seeds

    requested_seeds = _parse_seeds(seeds)
    failed_seeds = []
    for verdict in run_seeds(requested_seeds, seconds, jobs):
        if verdict.violations:
            failed_seeds.append(verdict.seed)
        if as_json:
            click.echo(json.dumps(verdict.as_dict()))
            continue
        figures = " ".join(f"{name}={value:g}" for name, value in verdict.figures.items())
        click.echo(f"seed {verdict.seed}: {'BROKEN' if verdict.violations else 'kept'} {figures}")
        for violation in verdict.violations[:5]:
            click.echo(f"  {violation.summary()}")
        if verdict.violations:
            for fault in draw_plan(verdict.seed, seconds).faults:
                click.echo(f"    {fault.summary()}")
    for seed in sorted(failed_seeds) if reduce else []:
        reduction = reduce_seed(seed, seconds)
        outcome = "fails alone" if reduction.failed_again else "passed all rules when it was rerun alone"
        click.echo(f"seed {seed} {outcome} ({reduction.run_count} runs)", err=True)
        for summary in reduction.faults if reduction.failed_again else []:
            click.echo(f"  requires {summary}", err=True)
    click.echo(f"seeds={len(requested_seeds)} broken={len(failed_seeds)}", err=as_json)
    sys.exit(EXIT_VIOLATED if failed_seeds else EXIT_PASSED)
