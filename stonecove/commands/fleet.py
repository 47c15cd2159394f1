"""`stonecove fleet`: operate all router instances of this host."""

from __future__ import annotations

import json
import signal
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

import click

from stonecove.commands.options import operator_option

EXIT_OK, EXIT_FAILED, EXIT_INVALID, EXIT_TIMEOUT = 0, 1, 2, 3
_READY_PHASES = ("ready", "held", "stopped")


@click.group()
@operator_option("The operator's file, which defines the fleet.")
@click.option(
    "--folder", type=click.Path(path_type=Path), help="The fleet's folder, instead of the one in the file."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def fleet(context: click.Context, operator: Path, folder: Path | None, as_json: bool) -> None:
    """Operate a fleet of instances.

    Exit codes: 0 success, 1 refused or failed, 2 invalid input or no supervisor, 3 timed out.
    """
    context.obj = (operator, folder, as_json)


def _folder(context: click.Context) -> Path:
    operator, folder, _ = context.obj
    if folder is not None:
        return Path(folder)
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.operator_config.reader import read

    try:
        fleet_config = read(operator).operator.fleet
    except OperatorError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID)
    if fleet_config is None:
        click.echo(f"{operator}: names no fleet", err=True)
        sys.exit(EXIT_INVALID)
    return Path(fleet_config.folder)


def _request(context: click.Context, command: str, **arguments: Any) -> dict[str, Any]:
    from stonecove.fleet.control import ControlError, send_command

    folder = _folder(context)
    try:
        return send_command(folder, command, **arguments)
    except ControlError as error:
        click.echo(f"stonecove fleet: {error}", err=True)
        sys.exit(EXIT_INVALID if "supervisor" in str(error) or "control.sock" in str(error) else EXIT_FAILED)


def _wait(context: click.Context, names: tuple[str, ...], phases: tuple[str, ...], timeout_s: float) -> None:
    """Wait until the named instances (all if none is named) are in one of the phases.

    Exit with 3 on timeout, or with 1 if an instance is held.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        instances = [
            instance
            for instance in _request(context, "status")["instances"]
            if not names or instance["name"] in names
        ]
        if all(instance["phase"] in phases for instance in instances):
            instances_on_hold = [
                instance for instance in instances if instance["phase"] == "held" and "held" not in phases[:1]
            ]
            for instance in instances_on_hold:
                click.echo(f"{instance['name']} is held: {instance['why']}", err=True)
            if instances_on_hold:
                sys.exit(EXIT_FAILED)
            return
        if time.monotonic() > deadline:
            for instance in instances:
                if instance["phase"] not in phases:
                    click.echo(f"{instance['name']} is {instance['phase']}: {instance['why']}", err=True)
            sys.exit(EXIT_TIMEOUT)
        time.sleep(0.05)


@fleet.command("run")
@click.pass_context
def run_command(context: click.Context) -> None:
    """Supervise the fleet in the foreground.

    SIGTERM drains all instances and exits; SIGHUP reloads the file.
    """
    import trio

    from stonecove.fleet.supervisor import FleetError, run

    operator, _, _ = context.obj
    try:
        trio.run(run, operator)
    except* FleetError as errors:
        for error in errors.exceptions:
            click.echo(f"stonecove fleet: {error}", err=True)
        sys.exit(EXIT_INVALID)


def _format_refusals(stats: dict[str, str]) -> str:
    """Format the causes of rejected requests since the last line of counts, most frequent first."""
    names = {"no_room": "no_room", "shed": "cpu"}
    counts = [
        (int(count), names.get(field, field.removeprefix("limit:")))
        for field, count in stats.items()
        if (field in names or field.startswith("limit:")) and count.isdigit()
    ]
    return " ".join(f"{name} {count}" for count, name in sorted(counts, reverse=True)) or "-"


def _status_table(answer: dict[str, Any]) -> Any:
    from rich.table import Table

    columns = "name|state|for|restarts|pid|listens at|cpu|MB|fds|open|refused by|why"
    table = Table(*columns.split("|"))
    for instance in answer["instances"]:
        table.add_row(
            instance["name"],
            instance["phase"],
            f"{instance['for_s']:.0f} s",
            str(instance["restarts"]),
            str(instance["pid"] or "-"),
            instance["listen"],
            "-" if instance["cpu"] is None else str(instance["cpu"]),
            f"{instance['memory_mb']:.0f}/{instance['memory_most_mb']:.0f}",
            f"{instance['descriptors']}/{instance['descriptors_most']}",
            instance["stats"].get("open", "-"),
            _format_refusals(instance["stats"]),
            instance["why"],
        )
    return table


@fleet.command("status")
@click.argument("names", nargs=-1)
@click.pass_context
def status_command(context: click.Context, names: tuple[str, ...]) -> None:
    """Show each instance's state, since when, and why. Exits with 1 if one that should run is not ready."""
    answer = _request(context, "status")
    if names:
        answer["instances"] = [instance for instance in answer["instances"] if instance["name"] in names]
        if missing := set(names) - {instance["name"] for instance in answer["instances"]}:
            click.echo(f"stonecove fleet: no instance {sorted(missing)[0]}", err=True)
            sys.exit(EXIT_FAILED)
    if context.obj[2]:
        click.echo(json.dumps(answer))
    else:
        from rich.console import Console

        console = Console(width=max(120, Console().width))
        console.print(_status_table(answer))
        for instance in answer["instances"] if names else ():
            for field, value in sorted(instance["stats"].items()):
                console.print(f"  {instance['name']} {field} {value}")
        roll = answer["roll"]
        if roll["state"] != "none":
            console.print(
                f"roll {roll['state']}: {len(roll['done'])} done, under way "
                f"{', '.join(roll['under_way']) or 'none'}, {len(roll['left'])} left {roll['why']}"
            )
        if answer["journal"]["failed"] or answer["log_dropped"]:
            console.print(
                f"journal writes that failed {answer['journal']['failed']}, "
                f"log lines dropped {answer['log_dropped']}"
            )
    not_ready = any(instance["wanted"] and instance["phase"] != "ready" for instance in answer["instances"])
    sys.exit(EXIT_FAILED if not_ready else EXIT_OK)


def _add_command(name: str, help_text: str, verb: str, phases: tuple[str, ...]) -> None:
    @fleet.command(name, help=help_text)
    @click.argument("names", nargs=-1)
    @click.option("--wait/--no-wait", default=True, show_default=True, help="Wait for completion.")
    @click.option("--within", default=30.0, show_default=True, type=click.FloatRange(0), help="Seconds.")
    @click.pass_context
    def command(context: click.Context, names: tuple[str, ...], wait: bool, within: float) -> None:
        _request(context, verb, names=list(names))
        if wait:
            _wait(context, names, phases, within)


_add_command("start", "Start instances (default: all); releases held ones.", "start", _READY_PHASES[:2])
_add_command(
    "stop", "Drain and stop instances (default: all); they stay stopped.", "stop", ("stopped", "held")
)
_add_command("restart", "Drain, stop and start instances, all at once.", "restart", _READY_PHASES[:2])


@fleet.command("drain")
@click.argument("name")
@click.option("--within", default=30.0, show_default=True, type=click.FloatRange(0), help="Seconds.")
@click.pass_context
def drain_command(context: click.Context, name: str, within: float) -> None:
    """Drain one instance: it finishes its open requests and stays stopped until it is started."""
    _request(context, "stop", names=[name])
    _wait(context, (name,), ("stopped",), within)


def _roll(context: click.Context, verb: str, names: tuple[str, ...], out: int | None, within: float) -> None:
    _request(context, verb, names=list(names), out=out)
    deadline = time.monotonic() + within
    while (roll := _request(context, "status")["roll"])["state"] == "rolling":
        if time.monotonic() > deadline:
            click.echo(f"still rolling: {len(roll['done'])} done, {len(roll['left'])} left", err=True)
            sys.exit(EXIT_TIMEOUT)
        time.sleep(0.05)
    click.echo(f"{roll['state']}: {len(roll['done'])} done, {len(roll['left'])} left {roll['why']}".strip())
    sys.exit(EXIT_OK if roll["state"] == "done" else EXIT_FAILED)


_out_option = click.option(
    "--out", type=click.IntRange(1), help="Maximum number out of service at once; default: as in the file."
)
_within_option = click.option(
    "--within", default=600.0, show_default=True, type=click.FloatRange(0), help="Seconds."
)


@fleet.command("roll")
@click.argument("names", nargs=-1)
@_out_option
@_within_option
@click.pass_context
def roll_command(context: click.Context, names: tuple[str, ...], out: int | None, within: float) -> None:
    """Restart instances in turn; stop if a restarted one does not become ready."""
    _roll(context, "roll", names, out, within)


@fleet.command("reload")
@click.argument("names", nargs=-1)
@_out_option
@_within_option
@click.pass_context
def reload_command(context: click.Context, names: tuple[str, ...], out: int | None, within: float) -> None:
    """Reload the operator's file and have instances reload their configuration in turn."""
    _roll(context, "reload", names, out, within)


@fleet.command("logs")
@click.argument("names", nargs=-1)
@click.option(
    "--lines",
    default=200,
    show_default=True,
    type=click.IntRange(1),
    help="Maximum number of lines, the latest ones.",
)
@click.option("--since", default=0.0, help="Only lines from this Unix time (seconds) on.")
@click.option("--grep", default="", help="Only lines that contain this text.")
@click.pass_context
def logs_command(context: click.Context, names: tuple[str, ...], lines: int, since: float, grep: str) -> None:
    """Show the logs of instances, merged by time. Needs no running supervisor."""
    from stonecove.fleet.logs import LOG_NAME, merge_logs

    folder = _folder(context)
    try:
        paths = sorted(path for path in folder.iterdir() if (path / LOG_NAME).exists())
    except OSError as error:
        click.echo(f"stonecove fleet: {folder}: {error.strerror}", err=True)
        sys.exit(EXIT_INVALID)
    folders = [(path.name, path) for path in paths if not names or path.name in names]
    latest: deque[tuple[float, str, str]] = deque(maxlen=lines)
    latest.extend(entry for entry in merge_logs(folders) if entry[0] >= since and grep in entry[2])
    for unix_s, name, line in latest:
        click.echo(
            json.dumps({"time": unix_s, "name": name, "line": line}) if context.obj[2] else f"{name} {line}"
        )


@fleet.command("trace")
@click.argument("txn")
@click.pass_context
def trace_command(context: click.Context, txn: str) -> None:
    """Show the trace of a sampled request by its id (X-Txn). Exits with 1 if there is none."""
    from stonecove.fleet.traces import format_spans, read_spans

    try:
        spans = list(read_spans(_folder(context), txn))
    except ValueError:
        click.echo(f"stonecove fleet: {txn!r} is no id of 16 hex digits", err=True)
        sys.exit(EXIT_INVALID)
    for line in map(json.dumps, spans) if context.obj[2] else format_spans(spans):
        click.echo(line)
    sys.exit(EXIT_OK if spans else EXIT_FAILED)


@fleet.command("leases")
@click.pass_context
def leases_command(context: click.Context) -> None:
    """Show the shared budgets: what is lent by cold cache, requests by holder, and refusals by limit."""
    leases = _request(context, "status")["leases"]
    if leases is None:
        click.echo("stonecove fleet: fleet.leases is not set", err=True)
        sys.exit(EXIT_FAILED)
    if context.obj[2]:
        click.echo(json.dumps(leases))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console(width=max(120, Console().width))
    nodes = Table("node", "pool", "rule in a window", "lent")
    for name, node in leases["nodes"].items():
        nodes.add_row(name, node["pool"], str(node["rule"]), str(node["lent"]))
    holders = Table("holder", "asked", "granted", "refused")
    for name, holder in leases["holders"].items():
        holders.add_row(name, *(str(holder[field]) for field in ("asked", "granted", "refused")))
    console.print(nodes, holders)
    for limit, count in leases["limits"].items():
        console.print(f"limit {limit} held back {count}")


@fleet.command("top")
@click.option("--every", default=1.0, show_default=True, type=click.FloatRange(0.1), help="Seconds.")
@click.option("--times", default=0, type=click.IntRange(0), help="Number of refreshes; 0: until interrupted.")
@click.pass_context
def top_command(context: click.Context, every: float, times: int) -> None:
    """Show the fleet's status, refreshed in place."""
    from rich.console import Console
    from rich.live import Live

    signal.signal(signal.SIGINT, signal.default_int_handler)
    refreshes = 0
    try:
        with Live(
            _status_table(_request(context, "status")),
            console=Console(width=max(120, Console().width)),
            auto_refresh=False,
        ) as live:
            while not times or refreshes < times:
                live.update(_status_table(_request(context, "status")), refresh=True)
                refreshes += 1
                if not times or refreshes < times:
                    time.sleep(every)
    except KeyboardInterrupt:
        pass
