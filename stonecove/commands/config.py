"""`stonecove config`: check, show and explain an operator's file."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from stonecove.commands.options import operator_option

if TYPE_CHECKING:
    from stonecove.operator_config.reader import LoadedFile

EXIT_OK, EXIT_NOT_FOUND, EXIT_INVALID = 0, 1, 2
_file_option = operator_option(parameter="file")


@click.group()
def config() -> None:
    """Check and show the operator's file. Exit codes: 0 valid, 1 no such path, 2 invalid file."""


def _read(file: Path) -> LoadedFile:
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.operator_config.reader import read

    try:
        return read(file)
    except OperatorError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        click.echo(f"{file}: {len(error.problems)} problem{'s' * (len(error.problems) > 1)}", err=True)
        sys.exit(EXIT_INVALID)


@config.command("check")
@click.argument("path", type=click.Path(path_type=Path), required=False)
@_file_option
def check_command(path: Path | None, file: Path) -> None:
    """Check a file against the schema and report all problems at once."""
    file = path or file
    _read(file)
    click.echo(f"{file}: good")


@config.command("show")
@_file_option
def show_command(file: Path) -> None:
    """Show all settings, including the defaults of those that the file does not set."""
    from stonecove.operator_config.reader import show

    for line in show(_read(file).value):
        click.echo(line)


@config.command("explain")
@click.argument("path")
@_file_option
def explain_command(path: str, file: Path) -> None:
    """Show the value at a path such as sources.zookeeper.linger and where it is defined."""
    from stonecove.operator_config.reader import explain

    lines = explain(_read(file).value, path)
    if lines is None:
        click.echo(f"{file}: nothing at {path}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for line in lines:
        click.echo(line)
