"""`stonecove fleet`: many instances on this host, run as one."""

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

GOOD, FAILED, UNUSABLE, LATE = 0, 1, 2, 3
_ready = ("ready", "held", "stopped")


@click.group()
@operator_option("The operator's file, which names the fleet.")
@click.option("--folder", type=click.Path(path_type=Path), help="The fleet's folder, without the file.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.pass_context
def fleet(context: click.Context, operator: Path, folder: Path | None, as_json: bool) -> None:
    """Run many instances. Ends with 0; 1: refused or failed, 2: can't be used or asked, 3: not done in
    time.
    """
    context.obj = (operator, folder, as_json)


def _folder(context: click.Context) -> Path:
    operator, folder, _ = context.obj
    if folder is not None:
        return Path(folder)
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.operator_config.reader import read

    try:
        found = read(operator).operator.fleet
    except OperatorError as error:
        click.echo(str(error), err=True)
        sys.exit(UNUSABLE)
    if found is None:
        click.echo(f"{operator}: names no fleet", err=True)
        sys.exit(UNUSABLE)
    return Path(found.folder)


def _ask(context: click.Context, do: str, **what: Any) -> dict[str, Any]:
    from stonecove.fleet.control import ControlError, send_command

    folder = _folder(context)
    try:
        return send_command(folder, do, **what)
    except ControlError as error:
        click.echo(f"stonecove fleet: {error}", err=True)
        sys.exit(UNUSABLE if "supervisor" in str(error) or "control.sock" in str(error) else FAILED)


def _wait(context: click.Context, names: tuple[str, ...], phases: tuple[str, ...], patience: float) -> None:
    """Until those instances are in one of these phases; ends with 3 if they are not in time, 1 if one is
    held.
    """
    end = time.monotonic() + patience
    while True:
        units = [unit for unit in _ask(context, "status")["instances"] if not names or unit["name"] in names]
        if all(unit["phase"] in phases for unit in units):
            held = [unit for unit in units if unit["phase"] == "held" and "held" not in phases[:1]]
            for unit in held:
                click.echo(f"{unit['name']} is held: {unit['why']}", err=True)
            if held:
                sys.exit(FAILED)
            return
        if time.monotonic() > end:
            for unit in units:
                if unit["phase"] not in phases:
                    click.echo(f"{unit['name']} is {unit['phase']}: {unit['why']}", err=True)
            sys.exit(LATE)
        time.sleep(0.05)


@fleet.command("run")
@click.pass_context
def run_command(context: click.Context) -> None:
    """Supervise the fleet in the foreground. SIGTERM drains all and ends; SIGHUP reads the file again."""
    import trio

    from stonecove.fleet.supervisor import FleetError, run

    operator, _, _ = context.obj
    try:
        trio.run(run, operator)
    except* FleetError as errors:
        for error in errors.exceptions:
            click.echo(f"stonecove fleet: {error}", err=True)
        sys.exit(UNUSABLE)


def _refused_by(stats: dict[str, str]) -> str:
    """What turned requests away since the last line of counts, most first."""
    names = {"no_room": "no_room", "shed": "cpu"}
    found = [
        (int(count), names.get(field, field.removeprefix("limit:")))
        for field, count in stats.items()
        if (field in names or field.startswith("limit:")) and count.isdigit()
    ]
    return " ".join(f"{name} {count}" for count, name in sorted(found, reverse=True)) or "-"


def _table(answer: dict[str, Any]) -> Any:
    from rich.table import Table

    columns = "name|state|for|restarts|pid|listens at|cpu|MB|fds|open|refused by|why"
    table = Table(*columns.split("|"))
    for unit in answer["instances"]:
        table.add_row(
            unit["name"],
            unit["phase"],
            f"{unit['for_s']:.0f} s",
            str(unit["restarts"]),
            str(unit["pid"] or "-"),
            unit["listen"],
            "-" if unit["cpu"] is None else str(unit["cpu"]),
            f"{unit['memory_mb']:.0f}/{unit['memory_most_mb']:.0f}",
            f"{unit['descriptors']}/{unit['descriptors_most']}",
            unit["stats"].get("open", "-"),
            _refused_by(unit["stats"]),
            unit["why"],
        )
    return table


@fleet.command("status")
@click.argument("names", nargs=-1)
@click.pass_context
def status_command(context: click.Context, names: tuple[str, ...]) -> None:
    """Tell what each instance does, since when, and why. Ends with 1 if one that is wanted is not ready."""
    answer = _ask(context, "status")
    if names:
        answer["instances"] = [unit for unit in answer["instances"] if unit["name"] in names]
        if missing := set(names) - {unit["name"] for unit in answer["instances"]}:
            click.echo(f"stonecove fleet: no instance {sorted(missing)[0]}", err=True)
            sys.exit(FAILED)
    if context.obj[2]:
        click.echo(json.dumps(answer))
    else:
        from rich.console import Console

        console = Console(width=max(120, Console().width))
        console.print(_table(answer))
        for unit in answer["instances"] if names else ():
            for field, value in sorted(unit["stats"].items()):
                console.print(f"  {unit['name']} {field} {value}")
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
    bad = any(unit["wanted"] and unit["phase"] != "ready" for unit in answer["instances"])
    sys.exit(FAILED if bad else GOOD)


def _act(name: str, help_text: str, do: str, phases: tuple[str, ...]) -> None:
    @fleet.command(name, help=help_text)
    @click.argument("names", nargs=-1)
    @click.option("--wait/--no-wait", default=True, show_default=True, help="Until it is done.")
    @click.option("--within", default=30.0, show_default=True, type=click.FloatRange(0), help="Seconds.")
    @click.pass_context
    def command(context: click.Context, names: tuple[str, ...], wait: bool, within: float) -> None:
        _ask(context, do, names=list(names))
        if wait:
            _wait(context, names, phases, within)


_act("start", "Start instances (all without names); releases held ones.", "start", _ready[:2])
_act("stop", "Drain and end instances (all without names); they stay ended.", "stop", ("stopped", "held"))
_act("restart", "Drain, end and start instances anew, all at once.", "restart", _ready[:2])


@fleet.command("drain")
@click.argument("name")
@click.option("--within", default=30.0, show_default=True, type=click.FloatRange(0), help="Seconds.")
@click.pass_context
def drain_command(context: click.Context, name: str, within: float) -> None:
    """Take one instance out: it finishes what it took, ends, and stays ended until it is started."""
    _ask(context, "stop", names=[name])
    _wait(context, (name,), ("stopped",), within)


def _roll(context: click.Context, do: str, names: tuple[str, ...], out: int | None, within: float) -> None:
    _ask(context, do, names=list(names), out=out)
    end = time.monotonic() + within
    while (roll := _ask(context, "status")["roll"])["state"] == "rolling":
        if time.monotonic() > end:
            click.echo(f"still rolling: {len(roll['done'])} done, {len(roll['left'])} left", err=True)
            sys.exit(LATE)
        time.sleep(0.05)
    click.echo(f"{roll['state']}: {len(roll['done'])} done, {len(roll['left'])} left {roll['why']}".strip())
    sys.exit(GOOD if roll["state"] == "done" else FAILED)


_out = click.option("--out", type=click.IntRange(1), help="So many out at once; else as the file says.")
_within = click.option(
    "--within", default=600.0, show_default=True, type=click.FloatRange(0), help="Seconds."
)


@fleet.command("roll")
@click.argument("names", nargs=-1)
@_out
@_within
@click.pass_context
def roll_command(context: click.Context, names: tuple[str, ...], out: int | None, within: float) -> None:
    """Restart instances in turn; stops when a new one does not become ready."""
    _roll(context, "roll", names, out, within)


@fleet.command("reload")
@click.argument("names", nargs=-1)
@_out
@_within
@click.pass_context
def reload_command(context: click.Context, names: tuple[str, ...], out: int | None, within: float) -> None:
    """Read the operator's file again, and have instances read their configuration, in turn."""
    _roll(context, "reload", names, out, within)


@fleet.command("logs")
@click.argument("names", nargs=-1)
@click.option("--lines", default=200, show_default=True, type=click.IntRange(1), help="The last so many.")
@click.option("--since", default=0.0, help="From this Unix second on.")
@click.option("--grep", default="", help="Lines with this text.")
@click.pass_context
def logs_command(context: click.Context, names: tuple[str, ...], lines: int, since: float, grep: str) -> None:
    """Show the logs of instances, merged by time. Works without a supervisor, too."""
    from stonecove.fleet.logs import LOG_NAME, merge_logs

    folder = _folder(context)
    try:
        found = sorted(path for path in folder.iterdir() if (path / LOG_NAME).exists())
    except OSError as error:
        click.echo(f"stonecove fleet: {folder}: {error.strerror}", err=True)
        sys.exit(UNUSABLE)
    folders = [(path.name, path) for path in found if not names or path.name in names]
    last: deque[tuple[float, str, str]] = deque(maxlen=lines)
    last.extend(entry for entry in merge_logs(folders) if entry[0] >= since and grep in entry[2])
    for moment, name, line in last:
        click.echo(
            json.dumps({"time": moment, "name": name, "line": line}) if context.obj[2] else f"{name} {line}"
        )


@fleet.command("trace")
@click.argument("txn")
@click.pass_context
def trace_command(context: click.Context, txn: str) -> None:
    """Tell what became of a request, by its id (X-Txn), if it was sampled. Ends with 1 if it was not."""
    from stonecove.fleet.traces import format_spans, read_spans

    try:
        found = list(read_spans(_folder(context), txn))
    except ValueError:
        click.echo(f"stonecove fleet: {txn!r} is no id of 16 hex digits", err=True)
        sys.exit(UNUSABLE)
    for line in map(json.dumps, found) if context.obj[2] else format_spans(found):
        click.echo(line)
    sys.exit(GOOD if found else FAILED)


@fleet.command("leases")
@click.pass_context
def leases_command(context: click.Context) -> None:
    """Tell what the instances share: by cold cache what is lent, who asked, which limits refused."""
    leases = _ask(context, "status")["leases"]
    if leases is None:
        click.echo("stonecove fleet: fleet.leases is not set", err=True)
        sys.exit(FAILED)
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
@click.option("--times", default=0, type=click.IntRange(0), help="So often; 0: until it is interrupted.")
@click.pass_context
def top_command(context: click.Context, every: float, times: int) -> None:
    """Show the fleet, refreshed in place."""
    from rich.console import Console
    from rich.live import Live

    signal.signal(signal.SIGINT, signal.default_int_handler)
    done = 0
    try:
        with Live(
            _table(_ask(context, "status")),
            console=Console(width=max(120, Console().width)),
            auto_refresh=False,
        ) as view:
            while not times or done < times:
                view.update(_table(_ask(context, "status")), refresh=True)
                done += 1
                if not times or done < times:
                    time.sleep(every)
    except KeyboardInterrupt:
        pass
