"""`stonecove members`: query a running router about its nodes and their sources."""

from __future__ import annotations

import datetime
import json
import socket
import sys
from pathlib import Path
from typing import Any

import click

from stonecove.commands.options import operator_option

EXIT_OK, EXIT_NOT_FOUND, EXIT_INVALID = 0, 1, 2
SOCKET_TIMEOUT_S = 5.0


def query_group(name: str, help_text: str) -> click.Group:
    """Return a command group that queries a running router through its members socket."""

    @click.group(name, help=help_text)
    @click.option(
        "--socket", "path", help="The router's members.socket; default: the one in the operator's file."
    )
    @operator_option(None)
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @click.pass_context
    def group(context: click.Context, path: str | None, operator: Path, as_json: bool) -> None:
        context.obj = (name, path, operator, as_json)

    return group


members = query_group(
    "members",
    "Query a running router about its sources. Exit codes: 0 success, 1 unknown, 2 can't be queried.",
)


def query(context: click.Context, request: str) -> dict[str, Any]:
    """Query the router's members socket and return the answer.

    Exit if the router can't answer, or after printing the answer if JSON was requested.
    """
    name, path, operator, as_json = context.obj
    if path is None:
        from stonecove.operator_config.grammar import OperatorError
        from stonecove.operator_config.reader import read

        try:
            path = read(operator).operator.members.socket
        except OperatorError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_INVALID)
        if not path:
            click.echo(f"{operator}: names no members.socket", err=True)
            sys.exit(EXIT_INVALID)
        if "{name}" in path:
            click.echo(f"{operator}: {path} is one for each router; say which by --socket", err=True)
            sys.exit(EXIT_INVALID)
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(SOCKET_TIMEOUT_S)
            sock.connect(path)
            sock.sendall(request.encode() + b"\n")
            data = b"".join(iter(lambda: sock.recv(65_536), b""))
        answer: dict[str, Any] = json.loads(data)
    except (OSError, ValueError) as error:
        click.echo(f"stonecove {name}: {path}: {error}", err=True)
        sys.exit(EXIT_INVALID)
    if "error" in answer:
        click.echo(f"stonecove {name}: {answer['error']}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    if as_json:
        click.echo(json.dumps(answer))
        sys.exit(EXIT_OK)
    return answer


def _format_time(unix_ms: float) -> str:
    if not unix_ms:
        return "-"
    return datetime.datetime.fromtimestamp(unix_ms / 1000).strftime("%H:%M:%S.%f")[:-3]


def new_table(*columns: str) -> Any:
    """Return an empty table with these column titles."""
    from rich.table import Table

    return Table(*columns)


def print_table(table: Any) -> None:
    """Print a table at least 100 characters wide, even if the terminal is narrower."""
    from rich.console import Console

    Console(width=max(100, Console().width)).print(table)


@members.command("explain")
@click.argument("ident", metavar="ID")
@click.pass_context
def explain_command(context: click.Context, ident: str) -> None:
    """Show a node's state, the claims of each source, and the reasons."""
    answer = query(context, f"explain {ident}")
    node, times = answer["node"], answer["life"]
    click.echo(f"{node['id']} is {node['state']} since {_format_time(node['since'])}: {node['why']}")
    click.echo(
        f"  at {node['address']}, zone {node['zone']}, kind {node['kind']}, "
        f"started {_format_time(node['started'])}"
    )
    for claim in node["claims"]:
        note = "" if claim["has_say"] else " (has no say)"
        click.echo(
            f"  {claim['source']}, rank {claim['rank']}{note}: {claim['state']} since "
            f"{_format_time(claim['since'])}, {claim['why']}; {claim['address'] or 'no address'}"
        )
    if times:
        click.echo(
            f"  last fresh work as target {_format_time(times['last_as_target'])}, as source "
            f"{_format_time(times['last_as_source'])}; told to stop {_format_time(times['told_at'])}"
        )


@members.command("list")
@click.pass_context
def list_command(context: click.Context) -> None:
    """List all nodes with their states."""
    table = new_table("node", "state", "since", "address", "why")
    for node in query(context, "list")["nodes"]:
        table.add_row(node["id"], node["state"], _format_time(node["since"]), node["address"], node["why"])
    print_table(table)


@members.command("trace")
@click.option("--id", "only", default="", help="Only nodes whose id starts with this.")
@click.pass_context
def trace_command(context: click.Context, only: str) -> None:
    """Show when each node was told to stop and when it last received new work, as target and as source."""
    answer = query(context, "trace")
    for line in answer["lines"]:
        if line["id"].startswith(only):
            click.echo(
                f"{_format_time(line['at'])} {line['id']} {line['what']:5} {line.get('source', ''):9} "
                f"{line['state']:8} {line['why']}"
            )
    table = new_table("node", "state", "told to stop", "last as target", "last as source", "late ms")
    for times in answer["lives"]:
        if times["id"].startswith(only):
            table.add_row(
                times["id"],
                times["state"],
                _format_time(times["told_at"]),
                _format_time(times["last_as_target"]),
                _format_time(times["last_as_source"]),
                f"{times['late_ms']:.0f}",
            )
    print_table(table)


@members.command("sources")
@click.pass_context
def sources_command(context: click.Context) -> None:
    """Show which sources are authoritative, and the state of the coordination session."""
    answer = query(context, "sources")
    for source in answer["sources"]:
        click.echo(
            f"{source['source']}, rank {source['rank']}: {'has a say' if source['has_say'] else 'no say'}"
        )
    for name, value in answer["coordination"].items():
        click.echo(f"  {name} {value}")


@members.command("configuration")
@click.pass_context
def configuration_command(context: click.Context) -> None:
    """Show the settings version in force and the last refusal."""
    answer = query(context, "configuration")["configuration"]
    click.echo(f"version {answer['version']} in force since {_format_time(answer['in_force_since_ms'])}")
    if answer["refused"] is not None:
        version = answer["refused"]["version"]
        click.echo(
            f"refused {'a file' if version is None else f'version {version}'}: {answer['refused']['why']}"
        )


@members.command("fleet")
@click.pass_context
def fleet_command(context: click.Context) -> None:
    """List the routers of the fleet and the fleet size in use."""
    answer = query(context, "fleet")
    table = new_table("node", "zone", "state", "listens at", "started")
    for peer in answer["peers"]:
        table.add_row(
            peer["node"], str(peer["zone"]), peer["state"], peer["listen"], _format_time(peer["started"])
        )
    print_table(table)
    click.echo(f"holds: {answer['holds']['fleet']} routers, by zone {answer['holds']['by_zone']}")
