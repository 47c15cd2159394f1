"""`stonecove config`: checks, shows and explains an operator's file."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from stonecove.commands.options import operator_option

if TYPE_CHECKING:
    from stonecove.operator_config.reader import LoadedFile

GOOD, NONE, UNUSABLE = 0, 1, 2
_file = operator_option(parameter="file")


@click.group()
def config() -> None:
    """The operator's file. Ends with 0: good, 1: no such path, 2: the file can't be used."""


def _read(file: Path) -> LoadedFile:
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.operator_config.reader import read

    try:
        return read(file)
    except OperatorError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        click.echo(f"{file}: {len(error.problems)} problem{'s' * (len(error.problems) > 1)}", err=True)
        sys.exit(UNUSABLE)


@config.command("check")
@click.argument("path", type=click.Path(path_type=Path), required=False)
@_file
def check_command(path: Path | None, file: Path) -> None:
    """Check a file against the schema; tells all that is wrong at once."""
    file = path or file
    _read(file)
    click.echo(f"{file}: good")


@config.command("show")
@_file
def show_command(file: Path) -> None:
    """Show all settings, with the defaults where the file says nothing."""
    from stonecove.operator_config.reader import show

    for line in show(_read(file).value):
        click.echo(line)


@config.command("explain")
@click.argument("path")
@_file
def explain_command(path: str, file: Path) -> None:
    """Tell what holds at a path such as sources.zookeeper.linger, and which places say so."""
    from stonecove.operator_config.reader import explain

    lines = explain(_read(file).value, path)
    if lines is None:
        click.echo(f"{file}: nothing at {path}", err=True)
        sys.exit(NONE)
    for line in lines:
        click.echo(line)
