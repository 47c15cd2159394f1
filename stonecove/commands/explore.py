"""`stonecove explore`: model checking of the router's code within stated bounds."""

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

EXIT_OK, EXIT_VIOLATED, EXIT_INVALID = 0, 1, 2
MAX_SHOWN_VIOLATIONS = 6


@click.group()
def explore() -> None:
    """Explore all event orders within stated bounds. Exit codes: 0 all hold, 1 violated, 2 invalid input."""


def _process_count(requested: int) -> int:
    return requested or min(8, len(os.sched_getaffinity(0)))


def _exit_invalid(reason: str) -> None:
    click.echo(f"stonecove explore: {reason}", err=True)
    sys.exit(EXIT_INVALID)


def _summary_line(scope: str, result: Result) -> str:
    rate = result.states / result.seconds if result.seconds else 0.0
    return (
        f"scope={scope} states={result.states} transitions={result.transitions} depth={result.depth} "
        f"violations={len(result.found)} seconds={result.seconds:.1f} states_per_s={rate:.0f}"
    )


def _print_violations(scope_name: str, result: Result, scopes: tuple[Any, ...], folder: Path | None) -> None:
    """Print the first violation of each property and save its trace."""
    from stonecove.explore.scope import named
    from stonecove.explore.trace import Trace, shrink, simulation_start

    shown: set[str] = set()
    for finding in result.found:
        if finding.violation.prop in shown or len(shown) >= MAX_SHOWN_VIOLATIONS:
            continue
        shown.add(finding.violation.prop)
        if scope_name in ("channel", "codecs") or scope_name.startswith(("zk-", "lease-", "life-", "swarm-")):
            click.echo(f"  {finding.violation.prop}: {finding.violation.why}: {' / '.join(finding.steps)}")
            continue
        scope = named(scopes, scope_name)
        steps = shrink(simulation_start(scope), finding.steps, finding.violation.prop)
        trace = Trace(scope, steps, finding.violation.prop, finding.violation.why)
        click.echo(trace.format_report())
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"{scope_name}-{finding.violation.prop}.json"
            path.write_text(trace.to_json())
            click.echo(f"  saved as {path}")


@explore.command("run")
@click.option(
    "--scope", "scope_name", default="small", show_default=True, help="small, full, or one of their parts."
)
@click.option("--processes", default=0, type=click.IntRange(0, 64), help="0: one per core, at most 8.")
@click.option(
    "--save",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Save the frontier to this file at intervals; resume from it if it exists.",
)
@click.option(
    "--save-every",
    default=20.0,
    show_default=True,
    type=click.FloatRange(0.0),
    help="Seconds between two saves of the frontier.",
)
@click.option(
    "--traces", type=click.Path(path_type=Path, file_okay=False), help="Save counterexamples in this folder."
)
@click.option("--depth", type=click.IntRange(1, 60), help="Maximum depth; only for a single part.")
def run_command(
    scope_name: str,
    processes: int,
    save: Path | None,
    save_every: float,
    traces: Path | None,
    depth: int | None,
) -> None:
    """Explore a scope exhaustively."""
    from stonecove.explore.runner import ALL_MACHINES, SMALL_MACHINES, explore_all, explore_machine
    from stonecove.explore.scope import SCOPES, named
    from stonecove.explore.search import SavedError, WorkerPool

    if scope_name in ALL_MACHINES:
        bounds = ALL_MACHINES[scope_name]
        with WorkerPool(_process_count(processes)) as pool:
            result = explore_machine(bounds._replace(depth=depth or bounds.depth), pool)
        _print_violations(scope_name, result, (), None)
        click.echo(_summary_line(scope_name, result))
        sys.exit(EXIT_VIOLATED if result.found else EXIT_OK)

    try:
        scopes = (
            SCOPES[scope_name]
            if scope_name in SCOPES
            else (named(SCOPES["small"] + SCOPES["full"], scope_name),)
        )
    except KeyError:
        names = [scope.name for scope in SCOPES["full"]] + list(SMALL_MACHINES)
        parts = ", ".join(names)
        _exit_invalid(f"no scope {scope_name!r}; there are small, full, and their parts {parts}")
    if depth is not None:
        if scope_name in SCOPES:
            _exit_invalid("--depth goes with one part of a scope")
        scopes = (scopes[0].with_bounds(depth=depth),)

    def print_result(name: str, result: Result) -> None:
        suffix = "" if result.complete else " (incomplete: the exploration was stopped early)"
        click.echo(
            f"{name:10} {result.states:9} states {result.transitions:9} transitions "
            f"{result.seconds:6.1f} s  {len(result.found)} violations{suffix}"
        )
        _print_violations(name, result, scopes, traces)

    started_at_s = time.monotonic()
    extra_depth = {"small": 0, "full": 1}.get(scope_name)
    try:
        with WorkerPool(_process_count(processes)) as pool:
            total = explore_all(scopes, pool, save, print_result, save_every, extra_depth)
    except SavedError as error:
        _exit_invalid(str(error))
    total.seconds = time.monotonic() - started_at_s
    click.echo(_summary_line(scope_name, total))
    sys.exit(EXIT_VIOLATED if total.found else EXIT_OK)


@explore.command("seeded")
@click.option("--only", multiple=True, help="Name of a planted fault; default: all.")
@click.option("--processes", default=0, type=click.IntRange(0, 64), help="0: one per core, at most 8.")
def seeded_command(only: tuple[str, ...], processes: int) -> None:
    """Plant one-line faults, one at a time, and show which property detects each."""
    from stonecove.explore.runner import find_seeded_faults
    from stonecove.explore.seeds import SEEDS

    names = [planted_fault.name for planted_fault in SEEDS]
    if unknown := [name for name in only if name not in names]:
        _exit_invalid(f"no fault {unknown[0]!r}")
    start_s = time.monotonic()
    results = find_seeded_faults(list(only) or names, _process_count(processes))
    from rich.console import Console
    from rich.table import Table

    table = Table("fault", "found by", "in", "states", "steps", "seconds")
    for planted in results:
        found_by = (
            planted.found.violation.prop
            if planted.found
            else f"crash: {planted.crash}"
            if planted.crash
            else "nothing"
        )
        table.add_row(
            planted.name,
            found_by,
            planted.where or "-",
            str(planted.states),
            str(len(planted.found.steps)) if planted.found else "-",
            f"{planted.seconds:.1f}",
        )
    Console(width=120).print(table)
    missed = [planted.name for planted in results if planted.found is None]
    click.echo(
        f"seeded={len(results)} found={len(results) - len(missed)} seconds={time.monotonic() - start_s:.1f}"
    )
    sys.exit(EXIT_VIOLATED if missed else EXIT_OK)


@explore.command("walk")
@click.option("--walks", default=16, show_default=True, type=click.IntRange(1, 100_000))
@click.option(
    "--steps",
    default=3000,
    show_default=True,
    type=click.IntRange(10, 1_000_000),
    help="Maximum number of steps per walk.",
)
@click.option("--seed", default=1, show_default=True, type=int, help="Random seed of the first walk.")
@click.option("--processes", default=0, type=click.IntRange(0, 64), help="0: one per core, at most 8.")
@click.option(
    "--traces", type=click.Path(path_type=Path, file_okay=False), help="Save counterexamples in this folder."
)
def walk_command(walks: int, steps: int, seed: int, processes: int, traces: Path | None) -> None:
    """Run seeded random walks beyond the bounds."""
    from stonecove.explore.runner import run_walks_in_pool
    from stonecove.explore.scope import WALK
    from stonecove.explore.search import Result

    started_at_s = time.monotonic()
    totals = run_walks_in_pool(seed, walks, steps, _process_count(processes))
    _print_violations(WALK.name, Result(found=totals.found), (WALK,), traces)
    click.echo(
        f"walks={totals.walks} steps={totals.steps} kinds={len(totals.steps_by_action)} "
        f"violations={len(totals.found)} seconds={time.monotonic() - started_at_s:.1f}"
    )
    sys.exit(EXIT_VIOLATED if totals.found else EXIT_OK)


def _read_trace(path: Path) -> Trace:
    from stonecove.explore.trace import Trace

    try:
        return Trace.read(path)
    except (OSError, ValueError) as error:
        _exit_invalid(f"{path}: {error}")
        raise


@explore.command("replay")
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option(
    "--chart",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Draw the trace to this .svg or .png file.",
)
def replay_command(file: Path, chart: Path | None) -> None:
    """Replay a saved trace and print its steps. Exits with 1 if it still violates the property."""
    trace = _read_trace(file)
    _, violations = trace.play()
    click.echo(trace.format_report())
    if chart is not None:
        from stonecove.explore.chart import draw

        if chart.suffix not in (".svg", ".png"):
            _exit_invalid(f"{chart}: a chart is .svg or .png")
        draw(trace, chart)
        click.echo(f"drawn in {chart}")
    sys.exit(EXIT_VIOLATED if violations else EXIT_OK)


@explore.command("report")
@click.option("--lines/--no-lines", default=True, help="List the lines that were not reached.")
@click.option(
    "--depth",
    default=5,
    show_default=True,
    type=click.IntRange(1, 12),
    help="Maximum depth in each part of the small scope.",
)
def report_command(lines: bool, depth: int) -> None:
    """Report the properties, the hard cases, and the coverage of the core's lines and branches."""
    from stonecove.explore.reach import report

    for line in report(depth, lines):
        click.echo(line)
