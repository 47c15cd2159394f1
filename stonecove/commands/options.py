"""Options shared by several command groups."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

Command = TypeVar("Command", bound=Callable[..., object])

DEFAULT_OPERATOR_FILE = "deploy/operator.cue"


def operator_option(
    help_text: str | None = "The operator's file.", parameter: str = "operator"
) -> Callable[[Command], Command]:
    """Return a decorator that adds --operator, with STONECOVE_OPERATOR as its environment variable.

    `parameter` is the name of the decorated function's parameter.
    """
    return click.option(
        "--operator",
        parameter,
        type=click.Path(path_type=Path),
        envvar="STONECOVE_OPERATOR",
        default=DEFAULT_OPERATOR_FILE,
        show_default=True,
        help=help_text,
    )
