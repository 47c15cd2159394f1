"""`stonecove overload`: amplification of requests across a fleet, from the logs of a trial."""

from __future__ import annotations

import json
import math
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from stonecove.commands.members import new_table, print_table

if TYPE_CHECKING:
    from stonecove.overload.amplification import AmplificationStatistics

EXIT_INVALID = 2
LOAD_RECORD_FILE = "book.json"


@click.group()
def overload() -> None:
    """Analyse load amplification. Exit codes: 0 success, 2 no readable load record in the folder."""


def _read_record(folder: Path) -> tuple[dict[str, Any], AmplificationStatistics]:
    """Read a trial's load record and its statistics; exit if it is missing or invalid."""
    from stonecove.overload.amplification import AmplificationStatistics, LoadEvent

    try:
        record = json.loads((folder / LOAD_RECORD_FILE).read_text())
        return record, AmplificationStatistics(
            LoadEvent(float(at_s), str(kind), int(intent), str(request_class))
            for at_s, kind, intent, request_class in record["events"]
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        click.echo(f"stonecove overload: {folder / LOAD_RECORD_FILE}: {error}", err=True)
        sys.exit(EXIT_INVALID)


def _compute_figures(record: dict[str, Any], book: AmplificationStatistics) -> dict[str, Any]:
    from stonecove.overload.amplification import INTENDED, OUTCOMES, WORK_KINDS

    steady_until_s, fault_ended_s = float(record["first"]), float(record["last"])
    recovery_s = book.recovery_s(fault_ended_s)
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
        "classes": {name: dict(counts) for name, counts in sorted(book.by_class.items()) if counts[INTENDED]},
        "recovery_s": None if math.isinf(recovery_s) else recovery_s,
        "sustained_by": [{"cause": cause, "times": times} for cause, times in
                         book.sustained_by(fault_ended_s, steady_until_s)],
    }  # fmt: skip


@overload.command("report")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--seconds", is_flag=True, help="Also print one row per second.")
def report_command(folder: Path, as_json: bool, seconds: bool) -> None:
    """Report by cause the work per intended request, from the --logs of a trial."""
    from stonecove.overload.amplification import ATTEMPT, SERVED, WORK_KINDS

    record, book = _read_record(folder)
    figures = _compute_figures(record, book)
    if as_json:
        click.echo(json.dumps(figures))
        return
    click.echo(f"{record['title']}: {figures['meant']} requests were meant")
    for fault in record["faults"]:
        click.echo(f"  {fault}")
    click.echo("  " + ", ".join(f"{count} {outcome}" for outcome, count in figures["ends"].items() if count))
    table = new_table("cause", "in all", "of each meant", "worst second", "at", "most of one")
    for cause, entry in figures["causes"].items():
        table.add_row(
            cause,
            str(entry["all"]),
            f"{entry['of_each_meant']:.2f}",
            f"{entry['worst']:.2f}",
            f"{entry['worst_at']} s",
            str(entry["most_of_one"]),
        )
    print_table(table)
    for name, counts in figures["classes"].items():
        click.echo(
            f"  {name}: {counts.get(SERVED, 0) / counts['meant']:.3f} served, "
            f"{counts.get(ATTEMPT, 0) / counts['meant']:.2f} attempts each"
        )
    recovery_s = figures["recovery_s"]
    recovery = "service did not come back" if recovery_s is None else f"good service {recovery_s:.0f} s later"
    click.echo(f"  after the last fault: {recovery}")
    for entry in figures["sustained_by"]:
        click.echo(f"  until then {entry['cause']} were {entry['times']:.1f} times those of the calm")
    if seconds:
        table = new_table("second", "meant", "served", *WORK_KINDS)
        for second_number in sorted(book.seconds):
            second = book.seconds[second_number]
            table.add_row(
                str(second_number),
                str(second.intended),
                f"{second.served_share:.2f}",
                *(f"{second.ratio(cause):.2f}" for cause in WORK_KINDS),
            )
        print_table(table)


@overload.command("plot")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def plot_command(folder: Path) -> None:
    """Draw demand, service and work per intended request by second; print the chart's path."""
    from stonecove.trial.plot import draw_load

    record, book = _read_record(folder)
    click.echo(str(draw_load(folder, record["title"], record["faults"], book)))
