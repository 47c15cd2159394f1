"""`stonecove scale`: measure control-plane cost by fleet size and predict the largest size."""

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

EXIT_OK, EXIT_FAILED, EXIT_INVALID = 0, 1, 2
MIN_TABLE_WIDTH = 140  # minimum table width in characters, even if the terminal is narrower


class UnusableError(click.ClickException):
    """Invalid input or environment, reported in one line."""

    exit_code = EXIT_INVALID

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message in one line, by default to standard error."""
        click.echo(f"stonecove scale: {self.format_message()}", file=file, err=file is None)


class OneLineCommand(click.Command):
    """A command that reports invalid options in one line, without the usage text."""

    def parse_args(self, context: click.Context, arguments: list[str]) -> list[str]:
        """Parse as click does, but raise UnusableError for usage errors."""
        try:
            return super().parse_args(context, arguments)
        except click.UsageError as error:
            raise UnusableError(error.format_message()) from None


class _ProgressPrinter:
    """Prints the progress of a series."""

    def __init__(self, to_error: bool) -> None:
        """Print to standard error if `to_error`, else to standard output."""
        self._to_error = to_error

    def played(self, measured: Measurement) -> None:
        """Print one line for a measured size."""
        from stonecove.scale.report import played_line

        click.echo(played_line(measured), err=self._to_error)

    def predicted(self, predictions: tuple[Prediction, ...]) -> None:
        """Print all predictions, before the last size is measured."""
        from stonecove.scale.report import prediction_lines

        for line in prediction_lines(predictions):
            click.echo(line, err=self._to_error)


@click.group()
def scale() -> None:
    """Measure control cost by fleet size. Exit codes: 0 passed, 1 events lost or bound exceeded, 2 error."""


@scale.command("run", cls=OneLineCommand)
@click.argument("file", required=False, type=click.Path(path_type=Path, dir_okay=False))
@click.option("--short", is_flag=True, help="Small sizes and short load; takes less than 90 s.")
@click.option("--sizes", help="Numbers of routers, such as 50,150,400,730; the last one is predicted.")
@click.option("--seconds", type=float, help="Seconds of load at each size.")
@click.option("--real", type=int, help="Number of routers that run as real processes.")
@click.option("--faults", help="Fault names, separated by commas.")
@click.option("--no-faults", is_flag=True, help="Inject no faults.")
@click.option("--swarm", is_flag=True, default=None, help="Run gossip between hollow routers, too.")
@click.option("--rollout", is_flag=True, default=None, help="Roll out settings changes to the routers.")
@click.option("--seed", type=int, help="Random seed for purges and faults.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON; progress goes to standard error.")
@click.option(
    "--plot", type=click.Path(path_type=Path, file_okay=False), help="Draw charts into this folder."
)
@click.option("--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep logs in this folder.")
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
    """Measure all sizes in order; predict the last one from the others before it is measured.

    Options override FILE, and FILE overrides the defaults.
    """
    from stonecove.scale.child import ChildError
    from stonecove.scale.options import OptionError, check_machine, check_options
    from stonecove.scale.real_routers import RealRouterError
    from stonecove.scale.run import ScaleError
    from stonecove.scale.series import play_series

    try:
        given = {"seconds": seconds, "real": real, "swarm": swarm, "rollout": rollout, "seed": seed,
                 "folder": logs, "sizes": _sizes(sizes), "faults": _faults(faults, no_faults)}  # fmt: skip
        options = _load_options(file, short, given)
        check_options(options)
        check_machine(options)
        _make_folders(plot, logs)
    except OptionError as error:
        raise UnusableError(str(error)) from None
    try:
        series = play_series(options, _player(), _ProgressPrinter(as_json))
    except (OSError, ScaleError, ChildError, RealRouterError) as error:
        raise UnusableError(str(error)) from None
    _report(series, as_json, plot)


def _sizes(text: str | None) -> tuple[int, ...] | None:
    from stonecove.scale.options import OptionError

    if text is None:
        return None
    try:
        return tuple(int(size) for size in text.split(","))
    except ValueError:
        raise OptionError("sizes", f"{text!r} is no list of whole numbers with commas between them") from None


def _faults(text: str | None, no_faults: bool) -> tuple[str, ...] | None:
    from stonecove.scale.options import OptionError

    if no_faults and text is not None:
        raise OptionError("faults", "--faults and --no-faults exclude each other")
    if no_faults:
        return ()
    return tuple(name.strip() for name in text.split(",")) if text is not None else None


def _load_options(file: Path | None, short: bool, given: dict[str, Any]) -> ScaleOptions:
    """Return the defaults, overridden by the file and then by the command line."""
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
    """Return the function that measures one size; tests replace it."""
    from stonecove.scale.run import play

    return play


def _report(series: Series, as_json: bool, plot: Path | None) -> None:
    """Print the results and exit."""
    import json

    from rich.console import Console

    from stonecove.scale import report

    if as_json:
        click.echo(json.dumps(report.record(series)))
    else:
        console = Console(width=max(MIN_TABLE_WIDTH, Console().width))
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
    sys.exit(EXIT_FAILED if report.broken_rules(series) else EXIT_OK)
