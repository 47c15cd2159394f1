"""`stonecove swarm`: asks a running router what it makes of the other routers."""

from __future__ import annotations

import sys
import time
from typing import Any

import click

from stonecove.commands.members import ask, asking, print_table, table_of

GOOD, DIVIDED = 0, 3


swarm = asking(
    "swarm",
    "Which routers there are, as a running one sees it. Ends with 0, 1: not known, 2: it can't be asked.",
)


def _seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f} s"


def _show(answer: dict[str, Any]) -> None:
    status = answer["status"]
    click.echo(
        f"{status['name']} ({status['member']}): view {status['view']} of {status['members']} members, "
        f"digest {status['digest']}, for {status['stands_s']:.1f} s, {len(status['disagree'])} disagree"
    )
    joined = "joined" if status["joined"] else f"not joined, {status['not_answered']} have not answered yet"
    click.echo(
        f"  {joined}; {status['own']:.3f} of 1/{status['fleet']} ({status['share']:.4f}); "
        f"by zone {status['by_zone']}; doubt in itself {status['doubt']}"
    )
    if status["name_twice"]:
        click.echo("  ALARM: another router that started later bears this name")
    table = table_of("member", "state", "since", "heard", "reached", "zone", "counts", "view", "address")
    for one in answer["members"]:
        table.add_row(
            one["member"],
            one["state"],
            _seconds(one["since_s"]),
            _seconds(one["heard_s"]),
            _seconds(one["reached_s"]),
            str(one["zone"]),
            "yes" if one["counts"] else "no",
            f"{one['view']}{'' if one['agrees'] else ' (another)'}",
            one["address"],
        )
    print_table(table)


@swarm.command("status")
@click.pass_context
def status_command(context: click.Context) -> None:
    """List all routers with their states. Ends with 3 where others hold another view."""
    answer = ask(context, "swarm status")
    _show(answer)
    sys.exit(DIVIDED if answer["status"]["disagree"] else GOOD)


@swarm.command("watch")
@click.option("--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 60), help="Seconds.")
@click.option("--times", default=0, type=click.IntRange(0), help="How often; 0: until it is ended.")
@click.pass_context
def watch_command(context: click.Context, every: float, times: int) -> None:
    """Show the status again and again."""
    shown = 0
    while True:
        click.clear()
        _show(ask(context, "swarm status"))
        shown += 1
        if shown == times:
            return
        time.sleep(every)


@swarm.command("explain")
@click.argument("name")
@click.pass_context
def explain_command(context: click.Context, name: str) -> None:
    """Tell how a router stands, by its name or id, and on what evidence."""
    answer = ask(context, f"swarm explain {name}")
    one = answer["member"]
    click.echo(
        f"{name} ({one['member']}) is {one['state']} since {one['since_s']:.1f} s; life {one['life']}, "
        f"incarnation {one['incarnation']}, {'counts' if one['counts'] else 'does not count'} in the shares"
    )
    click.echo(
        f"  heard {_seconds(one['heard_s'])} ago, reached {_seconds(one['reached_s'])} ago, "
        f"through others {_seconds(one['through_others_s'])} ago"
    )
    for line in answer["evidence"]:
        click.echo(f"  {line['ago_s']:8.1f} s ago  {line['what']}")


@swarm.command("gone")
@click.argument("address")
@click.confirmation_option(prompt="Is the machine at that address surely off? Others use its share then.")
@click.pass_context
def gone_command(context: click.Context, address: str) -> None:
    """Declare that nobody is at a peer's address: a machine that is off refuses nothing."""
    ask(context, f"swarm gone {address}")
    click.echo(f"{address} counts as gone at this router")


@swarm.command("history")
@click.pass_context
def history_command(context: click.Context) -> None:
    """List the views that this router has had."""
    table = table_of("view", "digest", "since", "members", "came", "went")
    for one in ask(context, "swarm history")["views"]:
        table.add_row(
            str(one["view"]),
            one["digest"],
            _seconds(one["ago_s"]),
            *map(str, (one["members"], one["came"], one["went"])),
        )
    print_table(table)
