"""`stonecove trial`: routers as real processes, with faults between them, and a judge."""

from __future__ import annotations

import json
import sys
import tempfile
from importlib import resources
from pathlib import Path
from typing import TYPE_CHECKING

import click

from stonecove.commands.overload import BOOK

if TYPE_CHECKING:
    from stonecove.trial.testbed import TrialRecord

GOOD, BROKEN, UNUSABLE = 0, 1, 2


@click.group()
def trial() -> None:
    """Trials of many routers. Ends with 0: all rules kept, 1: one was broken, 2: it could not be played."""


def _folder() -> Path:
    return Path(str(resources.files("stonecove.trial").joinpath("trials")))


def _file(name: str) -> Path:
    """A file by its path, or one of those that come along by its name."""
    path = Path(name)
    ours = _folder() / f"{name}.cue"
    return path if path.exists() or not ours.exists() else ours


@trial.command("list")
def list_command() -> None:
    """List the trials that come along."""
    from stonecove.trial.schedule import read_trial

    for path in sorted(_folder().glob("*.cue")):
        click.echo(f"{path.stem:16} {read_trial(path, 1).title}")


@trial.command("run")
@click.argument("name", metavar="FILE")
@click.option("--seed", default=1, show_default=True, help="Draws routers, losses and load.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), help="Where logs and samples stay.")
def run_command(name: str, seed: int, as_json: bool, logs: Path | None) -> None:
    """Play a trial file, or one of those that come along, and judge it."""
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.trial.judge import play
    from stonecove.trial.schedule import read_trial
    from stonecove.trial.testbed import TrialError

    try:
        found = read_trial(_file(name), seed)
    except OperatorError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        sys.exit(UNUSABLE)
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or Path(temporary)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            played, verdict = play(found, seed, folder)
        except (OSError, TrialError) as error:
            click.echo(f"stonecove trial: {error}", err=True)
            sys.exit(UNUSABLE)
        if logs is not None:
            _keep(logs, played, [fault.summary() for fault in found.faults])
    if as_json:
        click.echo(json.dumps(verdict.as_dict()))
    else:
        click.echo(f"{verdict.title}: {'BROKEN' if verdict.violations else 'all rules kept'}")
        for fault in found.faults:
            click.echo(f"  {fault.summary()}")
        for one in verdict.violations:
            click.echo(f"  BROKEN {one.summary()}")
        click.echo("  " + " ".join(f"{key}={value:.4g}" for key, value in verdict.figures.items()))
    sys.exit(BROKEN if verdict.violations else GOOD)


def _keep(folder: Path, played: TrialRecord, faults: list[str]) -> None:
    """What `trial plot` and `overload report` read."""
    from stonecove.trial.judge import events_of

    told = [{"at": at - played.began, "by": place, **found} for at, place, found in played.samples]
    samples = {"ids": played.ids, "faults": faults, "samples": told}
    (folder / "samples.json").write_text(json.dumps(samples))
    if played.trial.open_loop is not None:
        first, last = played.trial.span
        book = {"title": played.trial.title, "faults": faults, "first": first, "last": last,
                "events": events_of(played)}  # fmt: skip
        (folder / BOOK).write_text(json.dumps(book))


@trial.command("plot")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def plot_command(folder: Path) -> None:
    """Draw what each router held of each other over time, from the --logs of a run; names the picture."""
    from stonecove.trial.plot import draw

    try:
        click.echo(str(draw(folder)))
    except (OSError, ValueError, KeyError) as error:
        click.echo(f"stonecove trial: {folder}: {error}", err=True)
        sys.exit(UNUSABLE)
