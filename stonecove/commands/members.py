"""`stonecove members`: asks a running router what it makes of its sources."""

from __future__ import annotations

import datetime
import json
import socket
import sys
from pathlib import Path
from typing import Any

import click

from stonecove.commands.options import operator_option

GOOD, NONE, UNUSABLE = 0, 1, 2
PATIENCE = 5.0


def asking(name: str, what: str) -> click.Group:
    """A group of commands that ask a running router by its members socket."""

    @click.group(name, help=what)
    @click.option("--socket", "path", help="The router's members.socket; else that of the operator's file.")
    @operator_option(None)
    @click.option("--json", "as_json", is_flag=True, help="For programs.")
    @click.pass_context
    def group(context: click.Context, path: str | None, operator: Path, as_json: bool) -> None:
        context.obj = (name, path, operator, as_json)

    return group


members = asking(
    "members",
    "What a running router makes of its sources. Ends with 0, 1: not known, 2: the router can't be asked.",
)


def ask(context: click.Context, question: str) -> dict[str, Any]:
    """Asks the router's members socket, and ends the program where it can't answer, or was asked for JSON."""
    name, path, operator, as_json = context.obj
    if path is None:
        from stonecove.operator_config.grammar import OperatorError
        from stonecove.operator_config.reader import read

        try:
            path = read(operator).operator.members.socket
        except OperatorError as error:
            click.echo(str(error), err=True)
            sys.exit(UNUSABLE)
        if not path:
            click.echo(f"{operator}: names no members.socket", err=True)
            sys.exit(UNUSABLE)
        if "{name}" in path:
            click.echo(f"{operator}: {path} is one for each router; say which by --socket", err=True)
            sys.exit(UNUSABLE)
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(PATIENCE)
            sock.connect(path)
            sock.sendall(question.encode() + b"\n")
            data = b"".join(iter(lambda: sock.recv(65_536), b""))
        answer: dict[str, Any] = json.loads(data)
    except (OSError, ValueError) as error:
        click.echo(f"stonecove {name}: {path}: {error}", err=True)
        sys.exit(UNUSABLE)
    if "error" in answer:
        click.echo(f"stonecove {name}: {answer['error']}", err=True)
        sys.exit(NONE)
    if as_json:
        click.echo(json.dumps(answer))
        sys.exit(GOOD)
    return answer


def _moment(at: float) -> str:
    if not at:
        return "-"
    return datetime.datetime.fromtimestamp(at / 1000).strftime("%H:%M:%S.%f")[:-3]


def table_of(*columns: str) -> Any:
    """An empty table for people."""
    from rich.table import Table

    return Table(*columns)


def print_table(table: Any) -> None:
    """Prints it, however wide the terminal."""
    from rich.console import Console

    Console(width=max(100, Console().width)).print(table)


@members.command("explain")
@click.argument("ident", metavar="ID")
@click.pass_context
def explain_command(context: click.Context, ident: str) -> None:
    """Tell who says what of a node, since when, and why it is what it is."""
    answer = ask(context, f"explain {ident}")
    node, life = answer["node"], answer["life"]
    click.echo(f"{node['id']} is {node['state']} since {_moment(node['since'])}: {node['why']}")
    click.echo(
        f"  at {node['address']}, zone {node['zone']}, kind {node['kind']}, "
        f"started {_moment(node['started'])}"
    )
    for claim in node["claims"]:
        say = "" if claim["has_say"] else " (has no say)"
        click.echo(
            f"  {claim['source']}, rank {claim['rank']}{say}: {claim['state']} since "
            f"{_moment(claim['since'])}, {claim['why']}; {claim['address'] or 'no address'}"
        )
    if life:
        click.echo(
            f"  last fresh work as target {_moment(life['last_as_target'])}, as source "
            f"{_moment(life['last_as_source'])}; told to stop {_moment(life['told_at'])}"
        )


@members.command("list")
@click.pass_context
def list_command(context: click.Context) -> None:
    """List all nodes with their states."""
    table = table_of("node", "state", "since", "address", "why")
    for node in ask(context, "list")["nodes"]:
        table.add_row(node["id"], node["state"], _moment(node["since"]), node["address"], node["why"])
    print_table(table)


@members.command("trace")
@click.option("--id", "only", default="", help="Of one node alone.")
@click.pass_context
def trace_command(context: click.Context, only: str) -> None:
    """Tell when each node was told to stop, and when it got its last fresh work, as target and as source."""
    answer = ask(context, "trace")
    for line in answer["lines"]:
        if line["id"].startswith(only):
            click.echo(
                f"{_moment(line['at'])} {line['id']} {line['what']:5} {line.get('source', ''):9} "
                f"{line['state']:8} {line['why']}"
            )
    table = table_of("node", "state", "told to stop", "last as target", "last as source", "late ms")
    for life in answer["lives"]:
        if life["id"].startswith(only):
            table.add_row(
                life["id"],
                life["state"],
                _moment(life["told_at"]),
                _moment(life["last_as_target"]),
                _moment(life["last_as_source"]),
                f"{life['late_ms']:.0f}",
            )
    print_table(table)


@members.command("sources")
@click.pass_context
def sources_command(context: click.Context) -> None:
    """Tell which sources have a say, and how the session stands."""
    answer = ask(context, "sources")
    for source in answer["sources"]:
        click.echo(
            f"{source['source']}, rank {source['rank']}: {'has a say' if source['has_say'] else 'no say'}"
        )
    for name, value in answer["coordination"].items():
        click.echo(f"  {name} {value}")


@members.command("configuration")
@click.pass_context
def configuration_command(context: click.Context) -> None:
    """Tell which version of the settings is in force, and what was refused last."""
    answer = ask(context, "configuration")["configuration"]
    click.echo(f"version {answer['version']} in force since {_moment(answer['in_force_since_ms'])}")
    if answer["refused"] is not None:
        version = answer["refused"]["version"]
        click.echo(
            f"refused {'a file' if version is None else f'version {version}'}: {answer['refused']['why']}"
        )


@members.command("fleet")
@click.pass_context
def fleet_command(context: click.Context) -> None:
    """List the routers that are there, and the count that holds."""
    answer = ask(context, "fleet")
    table = table_of("node", "zone", "state", "listens at", "started")
    for peer in answer["peers"]:
        table.add_row(
            peer["node"], str(peer["zone"]), peer["state"], peer["listen"], _moment(peer["started"])
        )
    print_table(table)
    click.echo(f"holds: {answer['holds']['fleet']} routers, by zone {answer['holds']['by_zone']}")
