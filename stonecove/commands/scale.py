"""`stonecove scale`: what control costs at several sizes, and how well these predict the largest."""

from __future__ import annotations

import importlib.util
import sys
from dataclasses import replace
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from stonecove.scale.options import ScaleOptions
    from stonecove.scale.results import Measurement
    from stonecove.scale.series import Play, Series
    from stonecove.scale.slopes import Prediction

GOOD, BROKEN, UNUSABLE = 0, 1, 2
LEAST_WIDTH = 140  # characters of a line of the tables, however narrow the terminal


class UnusableError(click.ClickException):
    """Something can't be used; told in one line."""

    exit_code = UNUSABLE

    def show(self, file: IO[Any] | None = None) -> None:
        """Prints the line to standard error."""
        click.echo(f"stonecove scale: {self.format_message()}", file=file, err=file is None)


class OneLineCommand(click.Command):
    """A command that tells of options that can't be used in one line, without its usage."""

    def parse_args(self, context: click.Context, arguments: list[str]) -> list[str]:
        """Parses as click does; raises UnusableError."""
        try:
            return super().parse_args(context, arguments)
        except click.UsageError as error:
            raise UnusableError(error.format_message()) from None


class _Teller:
    """Tells people of a series while it is played."""

    def __init__(self, to_error: bool) -> None:
        self._to_error = to_error

    def played(self, measured: Measurement) -> None:
        """One line for a size."""
        from stonecove.scale.report import played_line

        click.echo(played_line(measured), err=self._to_error)

    def predicted(self, predictions: tuple[Prediction, ...]) -> None:
        """All predictions, before the last size."""
        from stonecove.scale.report import prediction_lines

        for line in prediction_lines(predictions):
            click.echo(line, err=self._to_error)


@click.group()
def scale() -> None:
    """Costs of control by size. Ends with 0: all kept, 1: events lost or a bound broken, 2: unusable."""


@scale.command("run", cls=OneLineCommand)
@click.argument("file", required=False, type=click.Path(path_type=Path, dir_okay=False))
@click.option("--short", is_flag=True, help="Small sizes and few seconds: under 90 s.")
@click.option("--sizes", help="Routers at each size, such as 50,150,400,730; the last is predicted.")
@click.option("--seconds", type=float, help="Of load at each size.")
@click.option("--real", type=int, help="How many routers are whole processes.")
@click.option("--faults", help="Names, with commas between them.")
@click.option("--no-faults", is_flag=True, help="Play none.")
@click.option(
    "--swarm", is_flag=True, default=None, help="Hollow routers also tell each other of themselves."
)
@click.option("--rollout", is_flag=True, default=None, help="Roll changes of settings out to the routers.")
@click.option("--seed", type=int, help="Draws what is purged and what fails.")
@click.option("--json", "as_json", is_flag=True, help="For programs; what goes on is told on standard error.")
@click.option(
    "--plot", type=click.Path(path_type=Path, file_okay=False), help="Draw a picture in this folder."
)
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), help="Where logs stay.")
def run_command(
    file: Path | None,
    short: bool,
    sizes: str | None,
    seconds: float | None,
    real: int | None,
    faults: str | None,
    no_faults: bool,
    swarm: bool | None,
    rollout: bool | None,
    seed: int | None,
    as_json: bool,
    plot: Path | None,
    logs: Path | None,
) -> None:
    """Play all sizes in order, and predict the last from the others before it is played.

    What a FILE names goes before the defaults, and options go before both.
    """
    from stonecove.scale.child import ChildError
    from stonecove.scale.options import OptionError, check_machine, check_options
    from stonecove.scale.real_routers import RealRouterError
    from stonecove.scale.run import ScaleError
    from stonecove.scale.series import play_series

    try:
        given = {"seconds": seconds, "real": real, "swarm": swarm, "rollout": rollout, "seed": seed,
                 "folder": logs, "sizes": _sizes(sizes), "faults": _faults(faults, no_faults)}  # fmt: skip
        options = _options(file, short, given)
        check_options(options)
        check_machine(options)
        _make_folders(plot, logs)
    except OptionError as error:
        raise UnusableError(str(error)) from None
    try:
        series = play_series(options, _player(), _Teller(as_json))
    except (OSError, ScaleError, ChildError, RealRouterError) as error:
        raise UnusableError(str(error)) from None
    _report(series, as_json, plot)


def _sizes(text: str | None) -> tuple[int, ...] | None:
    from stonecove.scale.options import OptionError

    if text is None:
        return None
    try:
        return tuple(int(word) for word in text.split(","))
    except ValueError:
        raise OptionError("sizes", f"{text!r} is no list of whole numbers with commas between them") from None


def _faults(text: str | None, none: bool) -> tuple[str, ...] | None:
    from stonecove.scale.options import OptionError

    if none and text is not None:
        raise OptionError("faults", "--faults and --no-faults exclude each other")
    if none:
        return ()
    return tuple(word.strip() for word in text.split(",")) if text is not None else None


def _options(file: Path | None, short: bool, given: dict[str, Any]) -> ScaleOptions:
    """The defaults, changed by a file, changed by what the command line gives."""
    from stonecove.scale.options import SHORT, ScaleOptions, read_options

    options = SHORT if short else ScaleOptions()
    if file is not None:
        options = read_options(file, options)
    return replace(options, **{name: value for name, value in given.items() if value is not None})


def _make_folders(plot: Path | None, logs: Path | None) -> None:
    from stonecove.scale.options import OptionError

    for name, folder in (("plot", plot), ("logs", logs)):
        if folder is None:
            continue
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise OptionError(name, str(error)) from None
    if plot is not None and importlib.util.find_spec("matplotlib") is None:
        raise OptionError("plot", "matplotlib is not installed (extra `laboratory`)")


def _player() -> Play:
    """What plays one size."""
    from stonecove.scale.run import play

    return play


def _report(series: Series, as_json: bool, plot: Path | None) -> None:
    """Prints all that came of it and ends the program."""
    import json

    from rich.console import Console

    from stonecove.scale import report

    if as_json:
        click.echo(json.dumps(report.record(series)))
    else:
        console = Console(width=max(LEAST_WIDTH, Console().width))
        console.print(report.table(series))
        if (faults := report.fault_table(series)) is not None:
            console.print(faults)
        for line in report.closing_lines(series):
            click.echo(line)
    if plot is not None:
        from stonecove.scale.plot import draw

        click.echo(f"drawn in {draw(series, plot)}", err=as_json)
    if not as_json:
        click.echo(report.summary_line(series))
    sys.exit(BROKEN if report.broken_rules(series) else GOOD)
