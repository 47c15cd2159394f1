"""`stonecove overload`: what requests led to over a whole fleet, from the logs of a trial."""

from __future__ import annotations

import json
import math
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from stonecove.commands.members import print_table, table_of

if TYPE_CHECKING:
    from stonecove.overload.book import AmplificationStatistics

UNUSABLE = 2
BOOK = "book.json"


@click.group()
def overload() -> None:
    """What came of what clients meant. Ends with 0, 2: the folder holds no book that can be read."""


def _read(folder: Path) -> tuple[dict[str, Any], AmplificationStatistics]:
    """What a trial has left, and its book; ends the program where there is none."""
    from stonecove.overload.book import AmplificationStatistics, LoadEvent

    try:
        found = json.loads((folder / BOOK).read_text())
        return found, AmplificationStatistics(
            LoadEvent(float(at), str(what), int(meaning), str(cls))
            for at, what, meaning, cls in found["events"]
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        click.echo(f"stonecove overload: {folder / BOOK}: {error}", err=True)
        sys.exit(UNUSABLE)


def _figures(found: dict[str, Any], book: AmplificationStatistics) -> dict[str, Any]:
    from stonecove.overload.book import INTENDED, OUTCOMES, WORK_KINDS

    calm, ended = float(found["first"]), float(found["last"])
    back = book.recovery_s(ended)
    return {
        "meant": book.intended,
        "ends": {outcome: book.total(outcome) for outcome in OUTCOMES},
        "causes": {
            cause: {
                "all": book.total(cause), "of_each_meant": book.total(cause) / max(1, book.intended),
                "worst": book.worst_second(cause)[1], "worst_at": book.worst_second(cause)[0],
                "most_of_one": book.most_amplified(cause)[1],
            }
            for cause in WORK_KINDS
        },
        "classes": {name: dict(came) for name, came in sorted(book.by_class.items()) if came[INTENDED]},
        "recovery_s": None if math.isinf(back) else back,
        "sustained_by": [{"cause": cause, "times": times} for cause, times in
                         book.sustained_by(ended, calm)],
    }  # fmt: skip


@overload.command("report")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.option("--seconds", is_flag=True, help="A line for each second as well.")
def report_command(folder: Path, as_json: bool, seconds: bool) -> None:
    """Tell by cause what each meant request led to, from the --logs of a trial."""
    from stonecove.overload.book import ATTEMPT, SERVED, WORK_KINDS

    found, book = _read(folder)
    figures = _figures(found, book)
    if as_json:
        click.echo(json.dumps(figures))
        return
    click.echo(f"{found['title']}: {figures['meant']} requests were meant")
    for fault in found["faults"]:
        click.echo(f"  {fault}")
    click.echo("  " + ", ".join(f"{count} {outcome}" for outcome, count in figures["ends"].items() if count))
    table = table_of("cause", "in all", "of each meant", "worst second", "at", "most of one")
    for cause, one in figures["causes"].items():
        table.add_row(
            cause,
            str(one["all"]),
            f"{one['of_each_meant']:.2f}",
            f"{one['worst']:.2f}",
            f"{one['worst_at']} s",
            str(one["most_of_one"]),
        )
    print_table(table)
    for name, came in figures["classes"].items():
        click.echo(
            f"  {name}: {came.get(SERVED, 0) / came['meant']:.3f} served, "
            f"{came.get(ATTEMPT, 0) / came['meant']:.2f} attempts each"
        )
    back = figures["recovery_s"]
    told = "service did not come back" if back is None else f"good service {back:.0f} s later"
    click.echo(f"  after the last fault: {told}")
    for one in figures["sustained_by"]:
        click.echo(f"  until then {one['cause']} were {one['times']:.1f} times those of the calm")
    if seconds:
        table = table_of("second", "meant", "served", *WORK_KINDS)
        for at in sorted(book.seconds):
            second = book.seconds[at]
            table.add_row(
                str(at),
                str(second.intended),
                f"{second.served_share:.2f}",
                *(f"{second.ratio(cause):.2f}" for cause in WORK_KINDS),
            )
        print_table(table)


@overload.command("plot")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def plot_command(folder: Path) -> None:
    """Draw demand, service and what each meant request led to, by second; names the picture."""
    from stonecove.trial.plot import draw_book

    found, book = _read(folder)
    click.echo(str(draw_book(folder, found["title"], found["faults"], book)))
