"""`stonecove trial`: run router processes under injected faults and check the rules."""

from __future__ import annotations

import json
import sys
import tempfile
from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING

import click

from stonecove.commands.overload import LOAD_RECORD_FILE

if TYPE_CHECKING:
    from stonecove.trial.testbed import TrialRecord

EXIT_OK, EXIT_VIOLATED, EXIT_INVALID = 0, 1, 2


@click.group()
def trial() -> None:
    """Run trials of many routers. Exit codes: 0 all rules hold, 1 a rule was violated, 2 could not run."""


def _bundled_folder() -> Path:
    return Path(str(resources.files("stonecove.trial").joinpath("trials")))


def _trial_path(name: str) -> Path:
    """Return the path of a trial: an existing file, or a bundled trial by its name."""
    path = Path(name)
    bundled = _bundled_folder() / f"{name}.cue"
    return path if path.exists() or not bundled.exists() else bundled


@trial.command("list")
def list_command() -> None:
    """List the bundled trials."""
    from stonecove.trial.schedule import read_trial

    for path in sorted(_bundled_folder().glob("*.cue")):
        click.echo(f"{path.stem:16} {read_trial(path, 1).title}")


@trial.command("run")
@click.argument("name", metavar="FILE")
@click.option("--seed", default=1, show_default=True, help="Random seed for routers, losses and load.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep logs and samples in this folder."
)
def run_command(name: str, seed: int, as_json: bool, logs: Path | None) -> None:
    """Run a trial file or a bundled trial, and check its rules."""
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.trial.judge import run_trial
    from stonecove.trial.schedule import read_trial
    from stonecove.trial.testbed import TrialError

    try:
        schedule = read_trial(_trial_path(name), seed)
    except OperatorError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        sys.exit(EXIT_INVALID)
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or Path(temporary)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            record, verdict = run_trial(schedule, seed, folder)
        except (OSError, TrialError) as error:
            click.echo(f"stonecove trial: {error}", err=True)
            sys.exit(EXIT_INVALID)
        if logs is not None:
            _write_samples(logs, record, [fault.summary() for fault in schedule.faults])
    if as_json:
        click.echo(json.dumps(verdict.as_dict()))
    else:
        click.echo(f"{verdict.title}: {'BROKEN' if verdict.violations else 'all rules kept'}")
        for fault in schedule.faults:
            click.echo(f"  {fault.summary()}")
        for violation in verdict.violations:
            click.echo(f"  BROKEN {violation.summary()}")
        click.echo("  " + " ".join(f"{key}={value:.4g}" for key, value in verdict.figures.items()))
    sys.exit(EXIT_VIOLATED if verdict.violations else EXIT_OK)


def _write_samples(folder: Path, record: TrialRecord, faults: list[str]) -> None:
    """Write the files that `trial plot` and `overload report` read."""
    from stonecove.trial.judge import events_of

    samples = [
        {"at": at_s - record.started_at, "by": router_index, **sample}
        for at_s, router_index, sample in record.samples
    ]
    contents = {"ids": record.member_ids, "faults": faults, "samples": samples}
    (folder / "samples.json").write_text(json.dumps(contents))
    if record.trial.open_loop is not None:
        first, last = record.trial.span
        load_record = {"title": record.trial.title, "faults": faults, "first": first, "last": last,
                "events": events_of(record)}  # fmt: skip
        (folder / LOAD_RECORD_FILE).write_text(json.dumps(load_record))


@trial.command("plot")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def plot_command(folder: Path) -> None:
    """Draw each router's view of the others over time, from the --logs of a run; print the chart's path."""
    from stonecove.trial.plot import draw_member_states

    try:
        click.echo(str(draw_member_states(folder)))
    except (OSError, ValueError, KeyError) as error:
        click.echo(f"stonecove trial: {folder}: {error}", err=True)
        sys.exit(EXIT_INVALID)
