"""`stonecove swarm`: query a running router about the members of its gossip group."""

from __future__ import annotations

import sys
import time
from typing import Any

import click

from stonecove.commands.members import new_table, print_table, query, query_group

EXIT_OK, EXIT_DIVIDED = 0, 3


swarm = query_group(
    "swarm",
    "Show a running router's gossip membership. Exit codes: 0 success, 1 unknown, 2 can't be queried.",
)


def _format_seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f} s"


def _print_status(answer: dict[str, Any]) -> None:
    status = answer["status"]
    click.echo(
        f"{status['name']} ({status['member']}): view {status['view']} of {status['members']} members, "
        f"digest {status['digest']}, for {status['stands_s']:.1f} s, {len(status['disagree'])} disagree"
    )
    joined_text = (
        "joined" if status["joined"] else f"not joined, {status['not_answered']} have not answered yet"
    )
    click.echo(
        f"  {joined_text}; {status['own']:.3f} of 1/{status['fleet']} ({status['share']:.4f}); "
        f"by zone {status['by_zone']}; doubt in itself {status['doubt']}"
    )
    if status["name_twice"]:
        click.echo("  ALARM: another router that started later bears this name")
    table = new_table("member", "state", "since", "heard", "reached", "zone", "counts", "view", "address")
    for member in answer["members"]:
        table.add_row(
            member["member"],
            member["state"],
            _format_seconds(member["since_s"]),
            _format_seconds(member["heard_s"]),
            _format_seconds(member["reached_s"]),
            str(member["zone"]),
            "yes" if member["counts"] else "no",
            f"{member['view']}{'' if member['agrees'] else ' (another)'}",
            member["address"],
        )
    print_table(table)


@swarm.command("status")
@click.pass_context
def status_command(context: click.Context) -> None:
    """List all routers with their states. Exits with 3 if other members hold a different view."""
    answer = query(context, "swarm status")
    _print_status(answer)
    sys.exit(EXIT_DIVIDED if answer["status"]["disagree"] else EXIT_OK)


@swarm.command("watch")
@click.option("--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 60), help="Seconds.")
@click.option("--times", default=0, type=click.IntRange(0), help="Number of refreshes; 0: until interrupted.")
@click.pass_context
def watch_command(context: click.Context, every: float, times: int) -> None:
    """Show the status repeatedly."""
    refreshes = 0
    while True:
        click.clear()
        _print_status(query(context, "swarm status"))
        refreshes += 1
        if refreshes == times:
            return
        time.sleep(every)


@swarm.command("explain")
@click.argument("name")
@click.pass_context
def explain_command(context: click.Context, name: str) -> None:
    """Show a router's state, by its name or id, and the evidence for it."""
    answer = query(context, f"swarm explain {name}")
    peer = answer["member"]
    click.echo(
        f"{name} ({peer['member']}) is {peer['state']} since {peer['since_s']:.1f} s; life {peer['life']}, "
        f"incarnation {peer['incarnation']}, {'counts' if peer['counts'] else 'does not count'} in the shares"
    )
    click.echo(
        f"  heard {_format_seconds(peer['heard_s'])} ago, reached {_format_seconds(peer['reached_s'])} ago, "
        f"through others {_format_seconds(peer['through_others_s'])} ago"
    )
    for line in answer["evidence"]:
        click.echo(f"  {line['ago_s']:8.1f} s ago  {line['what']}")


@swarm.command("gone")
@click.argument("address")
@click.confirmation_option(
    prompt="Is the machine at that address certainly off? Other routers will take over its share."
)
@click.pass_context
def gone_command(context: click.Context, address: str) -> None:
    """Declare a peer's machine gone: a machine that is off does not refuse connections."""
    query(context, f"swarm gone {address}")
    click.echo(f"{address} counts as gone at this router")


@swarm.command("history")
@click.pass_context
def history_command(context: click.Context) -> None:
    """List the membership views that this router has held."""
    table = new_table("view", "digest", "since", "members", "came", "went")
    for view in query(context, "swarm history")["views"]:
        table.add_row(
            str(view["view"]),
            view["digest"],
            _format_seconds(view["ago_s"]),
            *map(str, (view["members"], view["came"], view["went"])),
        )
    print_table(table)
