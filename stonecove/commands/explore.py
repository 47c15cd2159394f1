"""`stonecove explore`: every order of events within stated bounds, on the router's own code."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from stonecove.explore.search import Result
    from stonecove.explore.trace import Trace

HELD, VIOLATED, UNUSABLE = 0, 1, 2
MOST_SHOWN = 6


@click.group()
def explore() -> None:
    """Play every order of events within stated bounds. Ends with 0: all held, 1: violated, 2: unusable."""


def _processes(wanted: int) -> int:
    return wanted or min(8, len(os.sched_getaffinity(0)))


def _unusable(why: str) -> None:
    click.echo(f"stonecove explore: {why}", err=True)
    sys.exit(UNUSABLE)


def _line(scope: str, result: Result) -> str:
    rate = result.states / result.seconds if result.seconds else 0.0
    return (
        f"scope={scope} states={result.states} transitions={result.transitions} depth={result.depth} "
        f"violations={len(result.found)} seconds={result.seconds:.1f} states_per_s={rate:.0f}"
    )


def _show(scope_name: str, result: Result, scopes: tuple[Any, ...], folder: Path | None) -> None:
    """Tells of the first violation of each property, and keeps its trace."""
    from stonecove.explore.scope import named
    from stonecove.explore.trace import Trace, shrink, simulation_start

    shown: set[str] = set()
    for found in result.found:
        if found.violation.prop in shown or len(shown) >= MOST_SHOWN:
            continue
        shown.add(found.violation.prop)
        if scope_name in ("channel", "codecs") or scope_name.startswith(("zk-", "lease-", "life-", "swarm-")):
            click.echo(f"  {found.violation.prop}: {found.violation.why}: {' / '.join(found.steps)}")
            continue
        scope = named(scopes, scope_name)
        steps = shrink(simulation_start(scope), found.steps, found.violation.prop)
        trace = Trace(scope, steps, found.violation.prop, found.violation.why)
        click.echo(trace.story())
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"{scope_name}-{found.violation.prop}.json"
            path.write_text(trace.to_json())
            click.echo(f"  kept as {path}")


@explore.command("run")
@click.option(
    "--scope", "scope_name", default="small", show_default=True, help="small, full, or one of their parts."
)
@click.option("--processes", default=0, type=click.IntRange(0, 64), help="0: all cores, at most 8.")
@click.option(
    "--save",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Keep the frontier here now and then; go on from it if it is there.",
)
@click.option(
    "--save-every",
    default=20.0,
    show_default=True,
    type=click.FloatRange(0.0),
    help="Seconds between two saved frontiers.",
)
@click.option("--traces", type=click.Path(path_type=Path, file_okay=False), help="Keep counterexamples here.")
@click.option("--depth", type=click.IntRange(1, 60), help="Another depth, for one part.")
def run_command(
    scope_name: str,
    processes: int,
    save: Path | None,
    save_every: float,
    traces: Path | None,
    depth: int | None,
) -> None:
    """Explore a scope whole."""
    from stonecove.explore.runner import ALL_MACHINES, SMALL_MACHINES, explore_all, explore_machine
    from stonecove.explore.scope import SCOPES, named
    from stonecove.explore.search import SavedError, WorkerPool

    if scope_name in ALL_MACHINES:
        bounds = ALL_MACHINES[scope_name]
        with WorkerPool(_processes(processes)) as pool:
            result = explore_machine(bounds._replace(depth=depth or bounds.depth), pool)
        _show(scope_name, result, (), None)
        click.echo(_line(scope_name, result))
        sys.exit(VIOLATED if result.found else HELD)

    try:
        scopes = (
            SCOPES[scope_name]
            if scope_name in SCOPES
            else (named(SCOPES["small"] + SCOPES["full"], scope_name),)
        )
    except KeyError:
        names = [scope.name for scope in SCOPES["full"]] + list(SMALL_MACHINES)
        parts = ", ".join(names)
        _unusable(f"no scope {scope_name!r}; there are small, full, and their parts {parts}")
    if depth is not None:
        if scope_name in SCOPES:
            _unusable("--depth goes with one part of a scope")
        scopes = (scopes[0].with_bounds(depth=depth),)

    def tell(name: str, result: Result) -> None:
        note = "" if result.complete else " (given up: not all was played)"
        click.echo(
            f"{name:10} {result.states:9} states {result.transitions:9} transitions "
            f"{result.seconds:6.1f} s  {len(result.found)} violations{note}"
        )
        _show(name, result, scopes, traces)

    began = time.monotonic()
    deeper = {"small": 0, "full": 1}.get(scope_name)
    try:
        with WorkerPool(_processes(processes)) as pool:
            total = explore_all(scopes, pool, save, tell, save_every, deeper)
    except SavedError as error:
        _unusable(str(error))
    total.seconds = time.monotonic() - began
    click.echo(_line(scope_name, total))
    sys.exit(VIOLATED if total.found else HELD)


@explore.command("seeded")
@click.option("--only", multiple=True, help="Names of faults; all without.")
@click.option("--processes", default=0, type=click.IntRange(0, 64), help="0: all cores, at most 8.")
def seeded_command(only: tuple[str, ...], processes: int) -> None:
    """Plant faults of one line, one after the other, and show by what each is found."""
    from stonecove.explore.runner import find_seeded_faults
    from stonecove.explore.seeds import SEEDS

    names = [seed.name for seed in SEEDS]
    if unknown := [name for name in only if name not in names]:
        _unusable(f"no fault {unknown[0]!r}")
    began = time.monotonic()
    found = find_seeded_faults(list(only) or names, _processes(processes))
    from rich.console import Console
    from rich.table import Table

    table = Table("fault", "found by", "in", "states", "steps", "seconds")
    for caught in found:
        by = (
            caught.found.violation.prop
            if caught.found
            else f"crash: {caught.crash}"
            if caught.crash
            else "nothing"
        )
        table.add_row(
            caught.name,
            by,
            caught.where or "-",
            str(caught.states),
            str(len(caught.found.steps)) if caught.found else "-",
            f"{caught.seconds:.1f}",
        )
    Console(width=120).print(table)
    missed = [caught.name for caught in found if caught.found is None]
    click.echo(f"seeded={len(found)} found={len(found) - len(missed)} seconds={time.monotonic() - began:.1f}")
    sys.exit(VIOLATED if missed else HELD)


@explore.command("walk")
@click.option("--walks", default=16, show_default=True, type=click.IntRange(1, 100_000))
@click.option(
    "--steps",
    default=3000,
    show_default=True,
    type=click.IntRange(10, 1_000_000),
    help="At most so many in each walk.",
)
@click.option("--seed", default=1, show_default=True, type=int, help="Chance seed of the first walk.")
@click.option("--processes", default=0, type=click.IntRange(0, 64), help="0: all cores, at most 8.")
@click.option("--traces", type=click.Path(path_type=Path, file_okay=False), help="Keep counterexamples here.")
def walk_command(walks: int, steps: int, seed: int, processes: int, traces: Path | None) -> None:
    """Walk at random beyond the bounds, seeded."""
    from stonecove.explore.runner import run_walks_in_pool
    from stonecove.explore.scope import WALK
    from stonecove.explore.search import Result

    began = time.monotonic()
    done = run_walks_in_pool(seed, walks, steps, _processes(processes))
    _show(WALK.name, Result(found=done.found), (WALK,), traces)
    click.echo(
        f"walks={done.walks} steps={done.steps} kinds={len(done.words)} violations={len(done.found)} "
        f"seconds={time.monotonic() - began:.1f}"
    )
    sys.exit(VIOLATED if done.found else HELD)


def _read(path: Path) -> Trace:
    from stonecove.explore.trace import Trace

    try:
        return Trace.read(path)
    except (OSError, ValueError) as error:
        _unusable(f"{path}: {error}")
        raise


@explore.command("replay")
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--chart", type=click.Path(path_type=Path, dir_okay=False), help="Draw it, as .svg or .png.")
def replay_command(file: Path, chart: Path | None) -> None:
    """Take the steps of a kept trace again, and tell them. Ends with 1 if they still break the property."""
    trace = _read(file)
    _, violations = trace.play()
    click.echo(trace.story())
    if chart is not None:
        from stonecove.explore.chart import draw

        if chart.suffix not in (".svg", ".png"):
            _unusable(f"{chart}: a chart is .svg or .png")
        draw(trace, chart)
        click.echo(f"drawn in {chart}")
    sys.exit(VIOLATED if violations else HELD)


@explore.command("report")
@click.option("--lines/--no-lines", default=True, help="List the lines that were not reached.")
@click.option(
    "--depth",
    default=5,
    show_default=True,
    type=click.IntRange(1, 12),
    help="To this depth in each part of the small scope.",
)
def report_command(lines: bool, depth: int) -> None:
    """Tell the properties, the hard cases, and which lines and branches of the core were played."""
    from stonecove.explore.reach import report

    for line in report(depth, lines):
        click.echo(line)
