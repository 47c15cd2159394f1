"""`stonecove configuration`: roll settings changes out to all routers and report progress."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from stonecove.commands.members import new_table, print_table

if TYPE_CHECKING:
    from stonecove.fleet.rollout_controller import RolloutController
    from stonecove.protocols.zookeeper.session import Server
    from stonecove.rollout.messages import Report, Target

EXIT_COMPLETE, EXIT_HALTED, EXIT_INVALID, EXIT_INCOMPLETE = 0, 1, 2, 3
MAX_LISTED_ROUTERS = 20  # routers listed by name


def _servers(context: click.Context, option: click.Parameter, value: str) -> tuple[Server, ...]:
    """Parse HOST:PORT addresses separated by commas."""
    addresses = []
    for text in value.split(","):
        host, _, port = text.strip().rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
            raise click.BadParameter(f"{text!r} is not an address such as 10.0.0.4:2181")
        addresses.append((host, int(port)))
    return tuple(addresses)


def _path(context: click.Context, option: click.Parameter, value: str) -> str:
    """Validate an absolute node path without a trailing slash."""
    if not value.startswith("/") or value.endswith("/") or "//" in value:
        raise click.BadParameter(f"{value!r} is not a path such as /stonecove/configuration")
    return value


def _waves(context: click.Context, option: click.Parameter, value: str) -> tuple[float, ...]:
    """Parse the cumulative shares of the fleet, which increase to 1."""
    from stonecove.rollout.messages import MessageError, validate_waves

    try:
        return validate_waves(tuple(float(text) for text in value.split(",")))
    except MessageError as error:
        raise click.BadParameter(str(error).partition(": ")[2]) from None
    except ValueError:
        raise click.BadParameter(f"{value!r} is not a list of shares such as 0.02,0.2,1") from None


def _credentials(
    context: click.Context, option: click.Parameter, value: tuple[str, ...]
) -> tuple[tuple[str, bytes], ...]:
    """Read SCHEME=FILE pairs; return each scheme with its file's content, without trailing newlines."""
    credentials = []
    for text in value:
        scheme, _, file = text.partition("=")
        try:
            credentials.append((scheme, Path(file).read_bytes().rstrip(b"\r\n")))
        except OSError as error:
            raise click.BadParameter(f"{file or text!r}: {error.strerror}") from None
    return tuple(credentials)


class Access:
    """Location of the roll-out in the coordination service, credentials and timeout (seconds)."""

    def __init__(
        self, servers: tuple[Server, ...], path: str, timeout_s: float, auth: tuple[tuple[str, bytes], ...]
    ) -> None:
        """Store the options of a command."""
        self.servers, self.path, self.timeout_s, self.auth = servers, path, timeout_s, auth


def _with_access(command: Callable[..., None]) -> Callable[..., None]:
    """Add the connection options to a command and pass them as one `access` argument."""

    def call(
        servers: tuple[Server, ...],
        path: str,
        patience: float,
        auth: tuple[tuple[str, bytes], ...],
        **options: Any,
    ) -> None:
        command(access=Access(servers, path, patience, auth), **options)

    call.__doc__ = command.__doc__
    for option in (
        click.option(
            "--auth",
            multiple=True,
            metavar="SCHEME=FILE",
            callback=_credentials,
            help="Credentials for the servers.",
        ),
        click.option(
            "--patience",
            default=10.0,
            show_default=True,
            type=click.FloatRange(0.1, 600),
            help="Seconds to wait for the service.",
        ),
        click.option(
            "--path",
            default="/stonecove/configuration",
            show_default=True,
            callback=_path,
            help="Same as configuration.path in the routers' operator's file.",
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
    """Roll out settings changes to all routers.

    Exit codes: 0 in force everywhere (or done), 1 halted, 2 invalid input, 3 not in force everywhere yet,
    or unknown. The last line of output is machine-readable.
    """


def _exit_invalid(reason: str) -> NoReturn:
    click.echo(f"stonecove configuration: {reason}", err=True)
    sys.exit(EXIT_INVALID)


def _run(
    access: Access, action: Callable[[RolloutController], Awaitable[Any]]
) -> tuple[Target | None, dict[str, Any]]:
    """Run the action in a session; return the target and the reports afterwards, or exit on failure."""
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
            access.servers, SessionConfig(auth=access.auth), access.timeout_s
        ) as service:
            controller = RolloutController(access.path, service, access.timeout_s)
            try:
                await action(controller)
                return await controller.status(), dict(controller.reports.by_name)
            except (InputError, RolloutError, ServiceError, OvertakenError) as error:
                errors.append(error)
                return None, {}

    errors: list[Exception] = []
    outcome = trio.run(session)
    if errors:
        click.echo(f"stonecove configuration: {errors[0]}", err=True)
        sys.exit(EXIT_INVALID if isinstance(errors[0], (InputError, RolloutError)) else EXIT_INCOMPLETE)
    return outcome


def _print_progress(target: Target | None, reports: dict[str, Report], as_json: bool = False) -> int:
    """Print the fleet's progress; return the exit code."""
    from stonecove.rollout.messages import RolloutState
    from stonecove.rollout.progress import progress_of
    from stonecove.rollout.selection import wanted_version

    if target is None:
        click.echo(f"state=none live={len(reports)}")
        return EXIT_INCOMPLETE
    progress = progress_of(target, reports)
    click.echo(
        f"version {target.version}, after {target.previous}: {target.state.value} {target.why}".rstrip()
    )
    for version, count in progress.by_version.items():
        click.echo(f"  version {version} is in force at {count}")
    if progress.lagging or progress.refused:
        table = new_table("router", "in force", "wanted", "refused", "why")
        for name in (*progress.refused, *progress.lagging)[:MAX_LISTED_ROUTERS]:
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
        f"share={target.share:.3f} round={target.round} live={progress.live} in_force={progress.in_force} "
        f"lagging={len(progress.lagging)} refused={len(progress.refused)}"
    )
    if target.state is RolloutState.HALTED:
        return EXIT_HALTED
    return EXIT_COMPLETE if progress.in_force_everywhere else EXIT_INCOMPLETE


def _read_overlay(file: Path, against: Path | None) -> dict[str, Any]:
    """Read a merge patch; exit with a message that names the field if no router could apply it."""
    import ujson

    from stonecove.rollout.merge import settings_with
    from stonecove.rollout.messages import MessageError, Overlay, check_overlay

    def read_object(path: Path, name: str) -> dict[str, Any]:
        try:
            table = ujson.loads(path.read_bytes())
        except OSError as error:
            _exit_invalid(f"{name}: {path}: {error.strerror}")
        except (ValueError, RecursionError) as error:
            _exit_invalid(f"{name}: {path} is not JSON: {error}")
        if not isinstance(table, dict):
            _exit_invalid(f"{name}: {path} holds no JSON object")
        return table

    patch = read_object(file, "FILE")
    try:
        check_overlay(patch)
        overlay = Overlay(1, patch)
        overlay.encode()
        if against is not None:
            base = read_object(against, "--against").get("settings")
            if not isinstance(base, dict):
                _exit_invalid(f"--against: {against} holds no settings")
            settings_with(base, overlay)
    except MessageError as error:
        _exit_invalid(f"FILE: {error}")
    return patch


@configuration.command("publish")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--waves",
    default="0.02,0.2,1",
    show_default=True,
    callback=_waves,
    help="Cumulative shares of the fleet, one per wave.",
)
@click.option(
    "--wave-timeout",
    default=2000.0,
    show_default=True,
    type=click.FloatRange(10),
    help="Timeout of a wave in milliseconds.",
)
@click.option(
    "--refused",
    default=0.01,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Fraction of a wave that may refuse the change.",
)
@click.option(
    "--missing",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Fraction of a wave that may fail to report within the timeout.",
)
@click.option(
    "--worse",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Allowed rise of the fraction of requests refused or failed.",
)
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="A router's configuration file: validate the change against its settings first.",
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
    """Roll out FILE, a JSON merge patch (RFC 7396) of the settings, in waves with automatic halt.

    It replaces the previously published patch: settings that it omits follow each router's own file.
    """
    from stonecove.rollout.messages import Bounds

    patch = _read_overlay(file, against)
    bounds = Bounds(refused, missing, worse, wave_timeout)
    sys.exit(_print_progress(*_run(access, lambda controller: controller.publish(patch, waves, bounds))))


@configuration.command("status")
@_with_access
def status_command(access: Access) -> None:
    """Show progress: routers by version, lagging routers and refusals."""
    sys.exit(_print_progress(*_run(access, lambda controller: controller.status())))


@configuration.command("halt")
@_with_access
def halt_command(access: Access) -> None:
    """Halt the roll-out; all routers return to the previous version. Exits with 0 once this is published."""
    _print_progress(*_run(access, lambda controller: controller.halt()))


@configuration.command("resume")
@_with_access
def resume_command(access: Access) -> None:
    """Restart a halted roll-out, or continue one whose controller has exited."""
    sys.exit(_print_progress(*_run(access, lambda controller: controller.resume())))


@configuration.command("rollback")
@click.argument("version", type=click.IntRange(0))
@click.option("--waves", default="1", show_default=True, callback=_waves, help="Same as for publish.")
@_with_access
def rollback_command(access: Access, version: int, waves: tuple[float, ...]) -> None:
    """Restore an earlier VERSION on all routers at once; 0 restores their own files' settings."""
    sys.exit(_print_progress(*_run(access, partial(_roll_back, version, waves))))


async def _roll_back(version: int, waves: tuple[float, ...], controller: RolloutController) -> None:
    await controller.roll_back(version, waves)
