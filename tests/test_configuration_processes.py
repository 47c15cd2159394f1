"""Tests of roll-outs over sockets: commands in processes, a stand-in ensemble and configuration agents."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import trio
from coordination_harness import CoordinationEnsemble
from kazoo.client import KazooClient
from process_harness import WAIT_TIMEOUT_S, ProcessHarness

from stonecove.fleet.rollout_controller import RolloutController, service_session
from stonecove.operator_config.records import ConfigurationRecord
from stonecove.protocols.zookeeper.session import SessionConfig
from stonecove.rollout.messages import Bounds, Report, RolloutState, Target
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.server.config import config_from
from stonecove.server.configuration import ConfigurationAgent
from stonecove.server.reconfigure import SettingsRefused
from stonecove.transport.zookeeper import ZooKeeperClient

PATH = "/stonecove/configuration"
SESSION_CONFIG = SessionConfig(session_timeout_s=1.0, connect_timeout_s=0.5, backoff_range_s=(0.02, 0.1))


class FakeSettingsReceiver:
    """Records applied settings; rejects those with a slow start in `rejected_warm_ups`."""

    def __init__(self) -> None:
        self.settings: Settings | None = None
        self.rejected_warm_ups: set[float] = set()
        self.unreadable_overlays: list[tuple[int, str]] = []

    def apply(self, settings: Settings, version: int) -> None:
        """Apply settings; raises SettingsRefused for a slow start that is to be rejected."""
        if settings.slow_start_ms in self.rejected_warm_ups:
            raise SettingsRefused(f"rules.warm_up: {settings.slow_start_ms:g} can't be taken over")
        self.settings = settings

    def refuse(self, reason: str, version: int) -> None:
        """Record an overlay that can't be read."""
        self.unreadable_overlays.append((version, reason))


class SimulatedRouter:
    """One router's agent and session; it reports its health only once the agent's `run` is started."""

    def __init__(self, name: str, servers: list[str], start_wait: float = 5000.0) -> None:
        addresses = addresses_of(servers)
        config = {**ProcessHarness.config_without_nodes(), "name": name}
        self.name = name
        self.receiver = FakeSettingsReceiver()
        self.coordination = ZooKeeperClient(addresses, 1, SESSION_CONFIG, lambda: None)
        self.counts = {"served": 10}
        self.agent = ConfigurationAgent(
            ConfigurationRecord(True, PATH, start_wait),
            config_from(config, {}),
            config["settings"],
            self.receiver,
            self.counts,
            Clock(),
        )
        self.agent.attach(self.coordination)

    @property
    def in_force(self) -> int:
        """Return the version in force."""
        return self.agent.follower.in_force

    @property
    def warm_up(self) -> float:
        """Return the slow start of the applied settings in ms; -1 without settings."""
        return self.receiver.settings.slow_start_ms if self.receiver.settings is not None else -1.0


def addresses_of(servers: list[str]) -> tuple[tuple[str, int], ...]:
    """Return servers as pairs of host and port."""
    return tuple((server.rpartition(":")[0], int(server.rpartition(":")[2])) for server in servers)


class Fleet:
    """Routers at one ensemble, a folder for change files, and the commands of the program."""

    def __init__(self, ensemble: CoordinationEnsemble, folder: Path, nursery: trio.Nursery) -> None:
        self.ensemble, self.folder, self.nursery = ensemble, folder, nursery
        self.client = KazooClient(hosts=ensemble.servers[0], timeout=5.0)
        self.client.start(timeout=WAIT_TIMEOUT_S)
        self.routers: list[SimulatedRouter] = []

    def start_router(
        self, name: str, reports_health: bool = True, servers: list[str] | None = None, **options: Any
    ) -> SimulatedRouter:
        """Start a router, with its health reports if `reports_health`."""
        router = SimulatedRouter(name, servers or self.ensemble.servers, **options)
        self.routers.append(router)
        self.nursery.start_soon(router.coordination.run)
        if reports_health:
            self.nursery.start_soon(router.agent.run)
        return router

    async def start_routers(self, count: int, **options: Any) -> None:
        """Start routers, and wait until all report."""
        for number in range(count):
            self.start_router(f"r{number}", **options)
        await self.wait_until(lambda: len(self.reports()) == count, "reports of all routers")

    def reports(self) -> dict[str, Report]:
        """Return the stored reports by router."""
        if not self.client.exists(f"{PATH}/routers"):
            return {}
        names = self.client.get_children(f"{PATH}/routers")
        return {name: Report.decode(self.client.get(f"{PATH}/routers/{name}")[0]) for name in names}

    def target(self) -> Target:
        """Return the stored target."""
        return Target.decode(self.client.get(f"{PATH}/target")[0])

    async def publish(self, warm_up: float, servers: list[str] | None = None) -> RolloutState:
        """Publish to all routers at once, with the controller in this process."""
        addresses = addresses_of(servers or self.ensemble.servers)
        async with service_session(addresses, SESSION_CONFIG, WAIT_TIMEOUT_S) as session:
            controller = RolloutController(PATH, session, WAIT_TIMEOUT_S)
            return await controller.publish({"rules": {"warm_up": warm_up}}, (1.0,), Bounds())

    async def wait_until(self, condition: Callable[[], object], what: str) -> None:
        """Wait for a condition; fails with `what` after WAIT_TIMEOUT_S."""
        with trio.move_on_after(WAIT_TIMEOUT_S) as scope:
            while not await trio.to_thread.run_sync(condition):
                await trio.sleep(0.02)
        assert not scope.cancelled_caught, f"timed out: {what}"

    def write_change(self, warm_up: float, **fields: Any) -> Path:
        """Write a change file that sets the slow start."""
        file = self.folder / f"change-{warm_up:g}.json"
        file.write_text(json.dumps({"rules": {"warm_up": warm_up}, **fields}))
        return file

    def start_command(self, *arguments: object, servers: list[str] | None = None) -> subprocess.Popen[str]:
        """Start a command as a process."""
        return subprocess.Popen(
            [
                *(sys.executable, "-m", "stonecove", "configuration", str(arguments[0])),
                *("--servers", ",".join(servers or self.ensemble.servers), "--path", PATH),
                *map(str, arguments[1:]),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    async def run_command(self, *arguments: object, **options: Any) -> tuple[int, str, str]:
        """Run a command; return its exit code, the last line of its output, and its error output."""
        return await self.wait_for_exit(self.start_command(*arguments, **options))

    async def wait_for_exit(self, process: subprocess.Popen[str]) -> tuple[int, str, str]:
        """Wait for a command's exit; return the same as `run_command`."""
        stdout, stderr = await trio.to_thread.run_sync(lambda: process.communicate(timeout=WAIT_TIMEOUT_S))
        return process.returncode, (stdout.splitlines() or [""])[-1], stderr


def parse_fields(line: str) -> dict[str, str]:
    """Return the `name=value` fields of a line."""
    return dict(field.split("=", 1) for field in line.split())


@pytest.fixture
def run_with_fleet(tmp_path: Path) -> Iterator[Callable[[Callable[[Fleet], Awaitable[None]]], None]]:
    """Provide a function that runs a check on a fleet with an ensemble of two servers."""
    ensemble = CoordinationEnsemble(2)

    async def main(check: Callable[[Fleet], Awaitable[None]]) -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(ensemble, tmp_path, nursery)
            try:
                await check(fleet)
            finally:
                fleet.client.stop()
                fleet.client.close()
            nursery.cancel_scope.cancel()

    yield lambda check: trio.run(main, check)
    ensemble.close()


RunWithFleet = Callable[[Callable[[Fleet], Awaitable[None]]], None]


def test_a_change_is_applied_everywhere_and_a_rejected_one_halts_the_rollout(
    run_with_fleet: RunWithFleet,
) -> None:
    async def check(fleet: Fleet) -> None:
        await fleet.start_routers(6)
        code, line, error = await fleet.run_command("publish", fleet.write_change(1000.0))
        assert code == 0, error
        fields = parse_fields(line)
        assert (fields["version"], fields["state"], fields["live"], fields["in_force"]) == (
            "1",
            "complete",
            "6",
            "6",
        )
        assert [router.warm_up for router in fleet.routers] == [1000.0] * 6
        assert {report.in_force for report in fleet.reports().values()} == {1}

        for router in fleet.routers:
            router.receiver.rejected_warm_ups.add(2000.0)
        code, line, error = await fleet.run_command("publish", fleet.write_change(2000.0), "--waves", "0.1,1")
        assert code == 1, error
        assert parse_fields(line)["state"] == "halted"
        assert fleet.target().why.startswith("refused by 1 of 1")
        assert {router.in_force for router in fleet.routers} == {1}
        assert {router.warm_up for router in fleet.routers} == {1000.0}
        refused = [report.refused for report in fleet.reports().values() if report.refused is not None]
        assert [refusal.why for refusal in refused] == ["rules.warm_up: 2000 can't be taken over"]
        code, line, _ = await fleet.run_command("status")
        assert code == 1 and parse_fields(line)["refused"] == "1"

        for router in fleet.routers:
            router.receiver.rejected_warm_ups.clear()
        assert (await fleet.run_command("resume"))[0] == 0
        assert [router.warm_up for router in fleet.routers] == [2000.0] * 6
        assert (await fleet.run_command("rollback", 0))[0] == 0
        assert [router.warm_up for router in fleet.routers] == [16000.0] * 6

    run_with_fleet(check)


def test_another_controller_continues_a_rollout_after_the_first_is_killed(
    run_with_fleet: RunWithFleet,
) -> None:
    async def check(fleet: Fleet) -> None:
        await fleet.start_routers(5, reports_health=False)
        first_controller = fleet.start_command(
            "publish", fleet.write_change(1000.0), "--waves", "0.5,1", "--wave-timeout", 60_000
        )
        await fleet.wait_until(
            lambda: any(router.in_force == 1 for router in fleet.routers),
            "version 1 in force in the first wave",
        )
        code, _, error = await fleet.run_command("publish", fleet.write_change(2000.0))
        assert code == 2 and "version 1 is being rolled out" in error
        first_controller.kill()
        await fleet.wait_for_exit(first_controller)
        assert {router.in_force for router in fleet.routers} == {0, 1}
        assert (await fleet.run_command("status"))[0] == 3

        second_controller = fleet.start_command("resume")
        writer = fleet.target().writer
        await fleet.wait_until(lambda: fleet.target().writer != writer, "takeover by the second controller")
        third_controller = fleet.start_command("resume")
        code, _, error = await fleet.wait_for_exit(second_controller)
        assert code == 3 and "has taken over" in error
        for router in fleet.routers:
            fleet.nursery.start_soon(router.agent.run)
        assert (await fleet.wait_for_exit(third_controller))[0] == 0
        assert {router.in_force for router in fleet.routers} == {1}

    run_with_fleet(check)


def test_a_halt_ends_the_controller_and_restores_the_previous_version(run_with_fleet: RunWithFleet) -> None:
    async def check(fleet: Fleet) -> None:
        await fleet.start_routers(5, reports_health=False)
        first_controller = fleet.start_command(
            "publish", fleet.write_change(1000.0), "--waves", "0.5,1", "--wave-timeout", 60_000
        )
        await fleet.wait_until(
            lambda: any(router.in_force == 1 for router in fleet.routers),
            "version 1 in force in the first wave",
        )
        assert (await fleet.run_command("halt"))[0] == 0
        code, line, _ = await fleet.wait_for_exit(first_controller)
        assert code == 1 and parse_fields(line)["lagging"] == "0"
        assert {router.in_force for router in fleet.routers} == {0}
        assert {router.warm_up for router in fleet.routers} == {-1.0, 16000.0}
        code, _, error = await fleet.run_command("halt")
        assert code == 2 and "nothing is rolled out" in error

    run_with_fleet(check)


def test_a_starting_router_applies_the_target_before_it_is_ready(run_with_fleet: RunWithFleet) -> None:
    async def check(fleet: Fleet) -> None:
        await fleet.start_routers(2)
        assert await fleet.publish(1000.0) is RolloutState.COMPLETE
        late_router = fleet.start_router("late")
        await late_router.agent.ready()
        assert late_router.in_force == 1 and late_router.warm_up == 1000.0

        unconnected_router = fleet.start_router("alone", servers=["127.0.0.1:1"], start_wait=100.0)
        await unconnected_router.agent.ready()
        assert unconnected_router.in_force == 0 and unconnected_router.receiver.settings is None

    run_with_fleet(check)


def test_a_partitioned_router_applies_the_current_version_after_reconnecting(
    run_with_fleet: RunWithFleet,
) -> None:
    async def check(fleet: Fleet) -> None:
        near_server, far_server = fleet.ensemble.servers
        await fleet.start_routers(3, servers=[near_server])
        partitioned_router = fleet.start_router("away", servers=[far_server])
        await fleet.wait_until(lambda: len(fleet.reports()) == 4, "reports of all routers")
        assert await fleet.publish(1000.0, [near_server]) is RolloutState.COMPLETE
        fleet.ensemble.run_command("partition 1")
        await fleet.wait_until(
            lambda: "away" not in fleet.reports(), "expiry of the partitioned router's session"
        )
        for warm_up in (2000.0, 3000.0):
            assert await fleet.publish(warm_up, [near_server]) is RolloutState.COMPLETE
        assert partitioned_router.in_force == 1 and partitioned_router.warm_up == 1000.0
        fleet.ensemble.run_command("heal 1")
        await fleet.wait_until(
            lambda: partitioned_router.in_force == 3, "version 3 in force in the partitioned router"
        )
        await fleet.wait_until(
            lambda: fleet.reports().get("away", Report()).in_force == 3,
            "report of version 3 by the partitioned router",
        )
        assert partitioned_router.warm_up == 3000.0

    run_with_fleet(check)


def test_a_rollout_completes_after_a_loss_of_the_coordination_service(run_with_fleet: RunWithFleet) -> None:
    async def check(fleet: Fleet) -> None:
        await fleet.start_routers(4, reports_health=False)
        change = fleet.write_change(1000.0)
        process = fleet.start_command("publish", change, "--waves", "0.5,1", "--wave-timeout", 60_000)
        await fleet.wait_until(
            lambda: any(router.in_force == 1 for router in fleet.routers),
            "version 1 in force in the first wave",
        )
        fleet.ensemble.run_command("partition")
        await fleet.wait_until(
            lambda: not any(router.coordination.session.connected for router in fleet.routers),
            "loss of all connections",
        )
        for router in fleet.routers:
            fleet.nursery.start_soon(router.agent.run)
        assert {router.in_force for router in fleet.routers} == {0, 1}
        fleet.ensemble.run_command("heal")
        code, line, error = await fleet.wait_for_exit(process)
        assert code == 0, error
        assert parse_fields(line)["in_force"] == "4"
        assert {router.warm_up for router in fleet.routers} == {1000.0}

    run_with_fleet(check)


def test_a_corrupt_overlay_is_rejected(run_with_fleet: RunWithFleet) -> None:
    async def check(fleet: Fleet) -> None:
        await fleet.start_routers(2)
        client = fleet.client
        target = Target(7, 0, 1.0, RolloutState.ROLLING)
        client.create(f"{PATH}/versions/0000000007", b'{"version": 6, "merge": {}}', makepath=True)
        client.create(f"{PATH}/target", target.encode())
        await fleet.wait_until(
            lambda: all(report.refused is not None for report in fleet.reports().values()),
            "refusals by both routers",
        )
        client.set(f"{PATH}/target", b"nonsense")
        code, _, error = await fleet.run_command("status")
        assert code == 2 and f"{PATH}/target: target: not JSON" in error
        reasons = {report.refused.why for report in fleet.reports().values() if report.refused is not None}
        assert reasons == {"version: 6 in the node of version 7"}
        assert [router.receiver.unreadable_overlays for router in fleet.routers] == [[(7, reasons.pop())]] * 2
        assert {router.in_force for router in fleet.routers} == {0}

    run_with_fleet(check)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("{", "FILE: "),
        ("[]", "FILE: "),
        ('{"zone": 3}', "FILE: merge.zone: "),
        ('{"a": "' + "x" * 70_000 + '"}', "FILE: merge: "),
        ('{"rules": {"warm_up": "long"}}', "FILE: settings can't be used: "),
        ('{"classes": null}', "FILE: settings can't be used: settings lack 'classes'"),
    ],
)
def test_invalid_input_is_reported_in_one_line(tmp_path: Path, text: str, field: str) -> None:
    from click.testing import CliRunner

    from stonecove.commands.main import cli

    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(ProcessHarness.config_without_nodes()))
    change_file = tmp_path / "change.json"
    change_file.write_text(text)
    result = CliRunner().invoke(
        cli,
        [
            "configuration",
            "publish",
            str(change_file),
            "--servers",
            "127.0.0.1:1",
            "--against",
            str(config_file),
        ],
    )
    assert result.exit_code == 2
    assert field in result.output and len(result.output.splitlines()) == 1


def test_commands_report_missing_routers_and_an_unreachable_service(
    run_with_fleet: RunWithFleet, tmp_path: Path
) -> None:
    async def check(fleet: Fleet) -> None:
        assert (await fleet.run_command("status"))[:2] == (3, "state=none live=0")
        code, _, error = await fleet.run_command("publish", fleet.write_change(1.0))
        assert code == 2 and f"--path: no router reports below {PATH}/routers" in error
        code, _, error = await fleet.run_command("rollback", 1)
        assert code == 2 and "VERSION: 1 is not kept" in error
        code, _, error = await fleet.run_command("halt")
        assert code == 2 and "--path: nothing was published" in error
        code, _, error = await fleet.run_command("status", "--patience", 0.3, servers=["127.0.0.1:1"])
        assert code == 3 and "--servers: no connection" in error

    run_with_fleet(check)
