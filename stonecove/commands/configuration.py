"""`stonecove configuration`: rolls a change of the settings out to all routers, and tells how far it is."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from stonecove.commands.members import print_table, table_of

if TYPE_CHECKING:
    from stonecove.fleet.rollout_controller import RolloutController
    from stonecove.protocols.zookeeper.session import Server
    from stonecove.rollout.messages import Report, Target

EVERYWHERE, HALTED, UNUSABLE, UNFINISHED = 0, 1, 2, 3
MOST_LISTED = 20  # routers that are named


def _servers(context: click.Context, option: click.Parameter, value: str) -> tuple[Server, ...]:
    """Addresses of the service's servers."""
    found = []
    for text in value.split(","):
        host, _, port = text.strip().rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
            raise click.BadParameter(f"{text!r} is no address like 10.0.0.4:2181")
        found.append((host, int(port)))
    return tuple(found)


def _path(context: click.Context, option: click.Parameter, value: str) -> str:
    """A node's path."""
    if not value.startswith("/") or value.endswith("/") or "//" in value:
        raise click.BadParameter(f"{value!r} is no path like /stonecove/configuration")
    return value


def _waves(context: click.Context, option: click.Parameter, value: str) -> tuple[float, ...]:
    """Shares of the fleet, rising to 1."""
    from stonecove.rollout.messages import MessageError, validate_waves

    try:
        return validate_waves(tuple(float(text) for text in value.split(",")))
    except MessageError as error:
        raise click.BadParameter(str(error).partition(": ")[2]) from None
    except ValueError:
        raise click.BadParameter(f"{value!r} is no list of shares like 0.02,0.2,1") from None


def _credentials(
    context: click.Context, option: click.Parameter, value: tuple[str, ...]
) -> tuple[tuple[str, bytes], ...]:
    """Schemes, and what their files hold without the end of the last line."""
    found = []
    for text in value:
        scheme, _, file = text.partition("=")
        try:
            found.append((scheme, Path(file).read_bytes().rstrip(b"\r\n")))
        except OSError as error:
            raise click.BadParameter(f"{file or text!r}: {error.strerror}") from None
    return tuple(found)


class Access:
    """Where the roll-out is kept, and how long the service is waited for."""

    def __init__(
        self, servers: tuple[Server, ...], path: str, patience: float, auth: tuple[tuple[str, bytes], ...]
    ) -> None:
        self.servers, self.path, self.patience, self.auth = servers, path, patience, auth


def _with_access(command: Callable[..., None]) -> Callable[..., None]:
    """The options of all commands, as one `access`."""

    def call(
        servers: tuple[Server, ...],
        path: str,
        patience: float,
        auth: tuple[tuple[str, bytes], ...],
        **more: Any,
    ) -> None:
        command(access=Access(servers, path, patience, auth), **more)

    call.__doc__ = command.__doc__
    for option in (
        click.option(
            "--auth",
            multiple=True,
            metavar="SCHEME=FILE",
            callback=_credentials,
            help="Who we are to the servers.",
        ),
        click.option(
            "--patience",
            default=10.0,
            show_default=True,
            type=click.FloatRange(0.1, 600),
            help="Seconds for which the service is waited for.",
        ),
        click.option(
            "--path",
            default="/stonecove/configuration",
            show_default=True,
            callback=_path,
            help="As configuration.path of the routers' operator's file.",
        ),
        click.option(
            "--servers",
            required=True,
            metavar="HOST:PORT,...",
            callback=_servers,
            help="Servers of the coordination service.",
        ),
    ):
        call = option(call)
    return call


@click.group()
def configuration() -> None:
    """Roll changes of the settings out to all routers.

    Ends with 0: in force everywhere (or done), 1: halted, 2: the input can't be used, 3: not everywhere yet,
    or not known. The last line is for programs.
    """


def _unusable(why: str) -> NoReturn:
    click.echo(f"stonecove configuration: {why}", err=True)
    sys.exit(UNUSABLE)


def _run(
    access: Access, work: Callable[[RolloutController], Awaitable[Any]]
) -> tuple[Target | None, dict[str, Any]]:
    """Does the work in a session, and returns the target and the reports after it; else ends the program."""
    import trio

    from stonecove.fleet.rollout_controller import (
        InputError,
        OvertakenError,
        RolloutController,
        RolloutError,
        ServiceError,
        service_session,
    )
    from stonecove.protocols.zookeeper.session import SessionConfig

    async def session() -> tuple[Target | None, dict[str, Any]]:
        async with service_session(
            access.servers, SessionConfig(auth=access.auth), access.patience
        ) as service:
            controller = RolloutController(access.path, service, access.patience)
            try:
                await work(controller)
                return await controller.status(), dict(controller.reports.by_name)
            except (InputError, RolloutError, ServiceError, OvertakenError) as error:
                failed.append(error)
                return None, {}

    failed: list[Exception] = []
    found = trio.run(session)
    if failed:
        click.echo(f"stonecove configuration: {failed[0]}", err=True)
        sys.exit(UNUSABLE if isinstance(failed[0], (InputError, RolloutError)) else UNFINISHED)
    return found


def _tell(target: Target | None, reports: dict[str, Report], as_json: bool = False) -> int:
    """Prints how far the fleet is; returns the exit code."""
    from stonecove.rollout.messages import RolloutState
    from stonecove.rollout.progress import progress_of
    from stonecove.rollout.selection import wanted_version

    if target is None:
        click.echo(f"state=none live={len(reports)}")
        return UNFINISHED
    found = progress_of(target, reports)
    click.echo(
        f"version {target.version}, after {target.previous}: {target.state.value} {target.why}".rstrip()
    )
    for version, count in found.by_version.items():
        click.echo(f"  version {version} is in force at {count}")
    if found.lagging or found.refused:
        table = table_of("router", "in force", "wanted", "refused", "why")
        for name in (*found.refused, *found.lagging)[:MOST_LISTED]:
            report = reports[name]
            refused = report.refused
            table.add_row(
                name,
                str(report.in_force),
                str(wanted_version(target, name)),
                str(refused.version) if refused is not None else "",
                refused.why if refused is not None else "",
            )
        print_table(table)
    click.echo(
        f"version={target.version} previous={target.previous} state={target.state.value} "
        f"share={target.share:.3f} round={target.round} live={found.live} in_force={found.in_force} "
        f"lagging={len(found.lagging)} refused={len(found.refused)}"
    )
    if target.state is RolloutState.HALTED:
        return HALTED
    return EVERYWHERE if found.in_force_everywhere else UNFINISHED


def _read_overlay(file: Path, against: Path | None) -> dict[str, Any]:
    """The merge patch of a file; ends the program, with the field, if no router could use it."""
    import ujson

    from stonecove.rollout.merge import settings_with
    from stonecove.rollout.messages import MessageError, Overlay, check_overlay

    def table_in(path: Path, name: str) -> dict[str, Any]:
        try:
            table = ujson.loads(path.read_bytes())
        except OSError as error:
            _unusable(f"{name}: {path}: {error.strerror}")
        except (ValueError, RecursionError) as error:
            _unusable(f"{name}: {path} is not JSON: {error}")
        if not isinstance(table, dict):
            _unusable(f"{name}: {path} holds no JSON object")
        return table

    merge = table_in(file, "FILE")
    try:
        check_overlay(merge)
        overlay = Overlay(1, merge)
        overlay.encode()
        if against is not None:
            base = table_in(against, "--against").get("settings")
            if not isinstance(base, dict):
                _unusable(f"--against: {against} holds no settings")
            settings_with(base, overlay)
    except MessageError as error:
        _unusable(f"FILE: {error}")
    return merge


@configuration.command("publish")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--waves",
    default="0.02,0.2,1",
    show_default=True,
    callback=_waves,
    help="Shares of the fleet, one after the other.",
)
@click.option("--wave-timeout", default=2000.0, show_default=True, type=click.FloatRange(10), help="In ms.")
@click.option(
    "--refused",
    default=0.01,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Part of a wave that may refuse the change.",
)
@click.option(
    "--missing",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Part of a wave that may tell nothing within the time-out.",
)
@click.option(
    "--worse",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="By which the part of requests refused or failed may rise.",
)
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="A router's own configuration file: the change is tried on its settings first.",
)
@_with_access
def publish_command(
    access: Access,
    file: Path,
    waves: tuple[float, ...],
    wave_timeout: float,
    refused: float,
    missing: float,
    worse: float,
    against: Path | None,
) -> None:
    """Roll out FILE, a JSON merge patch (RFC 7396) over the settings, wave by wave; it halts by itself.

    It takes the place of what was published before: what it does not name is as each router's own file says.
    """
    from stonecove.rollout.messages import Bounds

    merge = _read_overlay(file, against)
    bounds = Bounds(refused, missing, worse, wave_timeout)
    sys.exit(_tell(*_run(access, lambda controller: controller.publish(merge, waves, bounds))))


@configuration.command("status")
@_with_access
def status_command(access: Access) -> None:
    """Tell how far the fleet is: versions by count, who lags, who refused."""
    sys.exit(_tell(*_run(access, lambda controller: controller.status())))


@configuration.command("halt")
@_with_access
def halt_command(access: Access) -> None:
    """Stop the roll-out: all routers go back to the version before. Ends with 0 once that is told."""
    _tell(*_run(access, lambda controller: controller.halt()))


@configuration.command("resume")
@_with_access
def resume_command(access: Access) -> None:
    """Begin a halted roll-out again, or go on with one whose controller is gone."""
    sys.exit(_tell(*_run(access, lambda controller: controller.resume())))


@configuration.command("rollback")
@click.argument("version", type=click.IntRange(0))
@click.option("--waves", default="1", show_default=True, callback=_waves, help="As for publish.")
@_with_access
def rollback_command(access: Access, version: int, waves: tuple[float, ...]) -> None:
    """Bring an earlier VERSION back, to all routers at once; 0: what their own files say."""
    sys.exit(_tell(*_run(access, partial(_roll_back, version, waves))))


async def _roll_back(version: int, waves: tuple[float, ...], controller: RolloutController) -> None:
    await controller.roll_back(version, waves)
