"""Roll-outs over sockets: commands in processes, a stand-in ensemble and configuration agents."""

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
FIGURES = SessionConfig(session_timeout_s=1.0, connect_timeout_s=0.5, backoff_range_s=(0.02, 0.1))


class FakeRouter:
    """Applies settings, except those listed in `refuses`."""

    def __init__(self) -> None:
        self.settings: Settings | None = None
        self.refuses: set[float] = set()
        self.unreadable: list[tuple[int, str]] = []

    def apply(self, settings: Settings, version: int) -> None:
        """Apply settings; raises SettingsRefused for the listed ones."""
        if settings.slow_start_ms in self.refuses:
            raise SettingsRefused(f"rules.warm_up: {settings.slow_start_ms:g} can't be taken over")
        self.settings = settings

    def refuse(self, reason: str, version: int) -> None:
        """Record an unreadable overlay."""
        self.unreadable.append((version, reason))


class Member:
    """One router's agent and session; it reports its health only once the agent's `run` is started."""

    def __init__(self, name: str, servers: list[str], start_wait: float = 5000.0) -> None:
        addresses = addresses_of(servers)
        table = {**ProcessHarness.config_without_nodes(), "name": name}
        self.name = name
        self.router = FakeRouter()
        self.ensemble = ZooKeeperClient(addresses, 1, FIGURES, lambda: None)
        self.counts = {"served": 10}
        self.agent = ConfigurationAgent(
            ConfigurationRecord(True, PATH, start_wait),
            config_from(table, {}),
            table["settings"],
            self.router,
            self.counts,
            Clock(),
        )
        self.agent.attach(self.ensemble)

    @property
    def in_force(self) -> int:
        """Return the version in force."""
        return self.agent.follower.in_force

    @property
    def warm_up(self) -> float:
        """Return the slow start of the applied settings in ms; -1 without settings."""
        return self.router.settings.slow_start_ms if self.router.settings is not None else -1.0


def addresses_of(servers: list[str]) -> tuple[tuple[str, int], ...]:
    """Return servers as pairs of host and port."""
    return tuple((one.rpartition(":")[0], int(one.rpartition(":")[2])) for one in servers)


class Scene:
    """Routers, a folder for change files, and the commands."""

    def __init__(self, ensemble: CoordinationEnsemble, folder: Path, nursery: trio.Nursery) -> None:
        self.ensemble, self.folder, self.nursery = ensemble, folder, nursery
        self.client = KazooClient(hosts=ensemble.servers[0], timeout=5.0)
        self.client.start(timeout=WAIT_TIMEOUT_S)
        self.members: list[Member] = []

    def add(
        self, name: str, reports_health: bool = True, servers: list[str] | None = None, **more: Any
    ) -> Member:
        """Start a router, with its health reports if `reports_health`."""
        member = Member(name, servers or self.ensemble.servers, **more)
        self.members.append(member)
        self.nursery.start_soon(member.ensemble.run)
        if reports_health:
            self.nursery.start_soon(member.agent.run)
        return member

    async def fleet(self, count: int, **more: Any) -> None:
        """Start routers, and wait until all report."""
        for number in range(count):
            self.add(f"r{number}", **more)
        await self.wait(lambda: len(self.reports()) == count, "all report")

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
        async with service_session(addresses, FIGURES, WAIT_TIMEOUT_S) as session:
            controller = RolloutController(PATH, session, WAIT_TIMEOUT_S)
            return await controller.publish({"rules": {"warm_up": warm_up}}, (1.0,), Bounds())

    async def wait(self, condition: Callable[[], object], what: str) -> None:
        """Wait for a condition; fails with `what` after PATIENCE seconds."""
        with trio.move_on_after(WAIT_TIMEOUT_S) as scope:
            while not await trio.to_thread.run_sync(condition):
                await trio.sleep(0.02)
        assert not scope.cancelled_caught, f"timed out: {what}"

    def change(self, warm_up: float, **more: Any) -> Path:
        """Write a change file that sets the slow start."""
        file = self.folder / f"change-{warm_up:g}.json"
        file.write_text(json.dumps({"rules": {"warm_up": warm_up}, **more}))
        return file

    def start(self, *words: object, servers: list[str] | None = None) -> subprocess.Popen[str]:
        """Start a command as a process."""
        return subprocess.Popen(
            [
                *(sys.executable, "-m", "stonecove", "configuration", str(words[0])),
                *("--servers", ",".join(servers or self.ensemble.servers), "--path", PATH),
                *map(str, words[1:]),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    async def run(self, *words: object, **more: Any) -> tuple[int, str, str]:
        """Run a command; return its exit code, the last line of its output and its errors."""
        return await self.end(self.start(*words, **more))

    async def end(self, process: subprocess.Popen[str]) -> tuple[int, str, str]:
        """Wait for a command's exit; returns the same as `run`."""
        out, error = await trio.to_thread.run_sync(lambda: process.communicate(timeout=WAIT_TIMEOUT_S))
        return process.returncode, (out.splitlines() or [""])[-1], error


def values(line: str) -> dict[str, str]:
    """Return the `name=value` fields of a line."""
    return dict(word.split("=", 1) for word in line.split())


@pytest.fixture
def play(tmp_path: Path) -> Iterator[Callable[[Callable[[Scene], Awaitable[None]]], None]]:
    """Provide a function that plays a scene with an ensemble of two servers."""
    ensemble = CoordinationEnsemble(2)

    async def main(scene: Callable[[Scene], Awaitable[None]]) -> None:
        async with trio.open_nursery() as nursery:
            created = Scene(ensemble, tmp_path, nursery)
            try:
                await scene(created)
            finally:
                created.client.stop()
                created.client.close()
            nursery.cancel_scope.cancel()

    yield lambda scene: trio.run(main, scene)
    ensemble.close()


Play = Callable[[Callable[[Scene], Awaitable[None]]], None]


def test_a_change_is_applied_everywhere_and_a_rejected_one_halts(play: Play) -> None:
    async def scene(scene: Scene) -> None:
        await scene.fleet(6)
        code, line, error = await scene.run("publish", scene.change(1000.0))
        assert code == 0, error
        fields = values(line)
        assert (fields["version"], fields["state"], fields["live"], fields["in_force"]) == (
            "1",
            "complete",
            "6",
            "6",
        )
        assert [member.warm_up for member in scene.members] == [1000.0] * 6
        assert {report.in_force for report in scene.reports().values()} == {1}

        for member in scene.members:
            member.router.refuses.add(2000.0)
        code, line, error = await scene.run("publish", scene.change(2000.0), "--waves", "0.1,1")
        assert code == 1, error
        assert values(line)["state"] == "halted"
        assert scene.target().why.startswith("refused by 1 of 1")
        assert {member.in_force for member in scene.members} == {1}
        assert {member.warm_up for member in scene.members} == {1000.0}
        refused = [report.refused for report in scene.reports().values() if report.refused is not None]
        assert [one.why for one in refused] == ["rules.warm_up: 2000 can't be taken over"]
        code, line, _ = await scene.run("status")
        assert code == 1 and values(line)["refused"] == "1"

        for member in scene.members:
            member.router.refuses.clear()
        assert (await scene.run("resume"))[0] == 0
        assert [member.warm_up for member in scene.members] == [2000.0] * 6
        assert (await scene.run("rollback", 0))[0] == 0
        assert [member.warm_up for member in scene.members] == [16000.0] * 6

    play(scene)


def test_another_controller_continues_after_a_kill(play: Play) -> None:
    async def scene(scene: Scene) -> None:
        await scene.fleet(5, reports_health=False)
        first = scene.start("publish", scene.change(1000.0), "--waves", "0.5,1", "--wave-timeout", 60_000)
        await scene.wait(lambda: any(member.in_force == 1 for member in scene.members), "the first wave")
        code, _, error = await scene.run("publish", scene.change(2000.0))
        assert code == 2 and "version 1 is being rolled out" in error
        first.kill()
        await scene.end(first)
        assert {member.in_force for member in scene.members} == {0, 1}
        assert (await scene.run("status"))[0] == 3

        second = scene.start("resume")
        writer = scene.target().writer
        await scene.wait(lambda: scene.target().writer != writer, "the second controller has taken over")
        third = scene.start("resume")
        code, _, error = await scene.end(second)
        assert code == 3 and "has taken over" in error
        for member in scene.members:
            scene.nursery.start_soon(member.agent.run)
        assert (await scene.end(third))[0] == 0
        assert {member.in_force for member in scene.members} == {1}

    play(scene)


def test_a_halt_ends_the_controller_and_restores_the_previous_version(play: Play) -> None:
    async def scene(scene: Scene) -> None:
        await scene.fleet(5, reports_health=False)
        first = scene.start("publish", scene.change(1000.0), "--waves", "0.5,1", "--wave-timeout", 60_000)
        await scene.wait(lambda: any(member.in_force == 1 for member in scene.members), "the first wave")
        assert (await scene.run("halt"))[0] == 0
        code, line, _ = await scene.end(first)
        assert code == 1 and values(line)["lagging"] == "0"
        assert {member.in_force for member in scene.members} == {0}
        assert {member.warm_up for member in scene.members} == {-1.0, 16000.0}
        code, _, error = await scene.run("halt")
        assert code == 2 and "nothing is rolled out" in error

    play(scene)


def test_a_starting_router_applies_the_target_before_it_is_ready(play: Play) -> None:
    async def scene(scene: Scene) -> None:
        await scene.fleet(2)
        assert await scene.publish(1000.0) is RolloutState.COMPLETE
        late = scene.add("late")
        await late.agent.ready()
        assert late.in_force == 1 and late.warm_up == 1000.0

        unconnected = scene.add("alone", servers=["127.0.0.1:1"], start_wait=100.0)
        await unconnected.agent.ready()
        assert unconnected.in_force == 0 and unconnected.router.settings is None

    play(scene)


def test_a_partitioned_region_applies_the_present_version_once_it_is_back(play: Play) -> None:
    async def scene(scene: Scene) -> None:
        near, far = scene.ensemble.servers
        await scene.fleet(3, servers=[near])
        partitioned = scene.add("away", servers=[far])
        await scene.wait(lambda: len(scene.reports()) == 4, "all report")
        assert await scene.publish(1000.0, [near]) is RolloutState.COMPLETE
        scene.ensemble.run_command("partition 1")
        await scene.wait(lambda: "away" not in scene.reports(), "its session has expired")
        for warm_up in (2000.0, 3000.0):
            assert await scene.publish(warm_up, [near]) is RolloutState.COMPLETE
        assert partitioned.in_force == 1 and partitioned.warm_up == 1000.0
        scene.ensemble.run_command("heal 1")
        await scene.wait(lambda: partitioned.in_force == 3, "it applies the present version")
        await scene.wait(lambda: scene.reports().get("away", Report()).in_force == 3, "it reports so")
        assert partitioned.warm_up == 3000.0

    play(scene)


def test_the_service_is_lost_during_a_rollout(play: Play) -> None:
    async def scene(scene: Scene) -> None:
        await scene.fleet(4, reports_health=False)
        change = scene.change(1000.0)
        process = scene.start("publish", change, "--waves", "0.5,1", "--wave-timeout", 60_000)
        await scene.wait(lambda: any(member.in_force == 1 for member in scene.members), "the first wave")
        scene.ensemble.run_command("partition")
        await scene.wait(
            lambda: not any(member.ensemble.session.connected for member in scene.members),
            "all are disconnected",
        )
        for member in scene.members:
            scene.nursery.start_soon(member.agent.run)
        assert {member.in_force for member in scene.members} == {0, 1}
        scene.ensemble.run_command("heal")
        code, line, error = await scene.end(process)
        assert code == 0, error
        assert values(line)["in_force"] == "4"
        assert {member.warm_up for member in scene.members} == {1000.0}

    play(scene)


def test_a_corrupt_overlay_is_rejected(play: Play) -> None:
    async def scene(scene: Scene) -> None:
        await scene.fleet(2)
        client = scene.client
        target = Target(7, 0, 1.0, RolloutState.ROLLING)
        client.create(f"{PATH}/versions/0000000007", b'{"version": 6, "merge": {}}', makepath=True)
        client.create(f"{PATH}/target", target.encode())
        await scene.wait(
            lambda: all(report.refused is not None for report in scene.reports().values()), "both refuse"
        )
        client.set(f"{PATH}/target", b"nonsense")
        code, _, error = await scene.run("status")
        assert code == 2 and f"{PATH}/target: target: not JSON" in error
        reasons = {report.refused.why for report in scene.reports().values() if report.refused is not None}
        assert reasons == {"version: 6 in the node of version 7"}
        assert [member.router.unreadable for member in scene.members] == [[(7, reasons.pop())]] * 2
        assert {member.in_force for member in scene.members} == {0}

    play(scene)


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

    own = tmp_path / "config.json"
    own.write_text(json.dumps(ProcessHarness.config_without_nodes()))
    file = tmp_path / "change.json"
    file.write_text(text)
    done = CliRunner().invoke(
        cli,
        ["configuration", "publish", str(file), "--servers", "127.0.0.1:1", "--against", str(own)],
    )
    assert done.exit_code == 2
    assert field in done.output and len(done.output.splitlines()) == 1


def test_commands_without_routers_and_without_the_service(play: Play, tmp_path: Path) -> None:
    async def scene(scene: Scene) -> None:
        assert (await scene.run("status"))[:2] == (3, "state=none live=0")
        code, _, error = await scene.run("publish", scene.change(1.0))
        assert code == 2 and f"--path: no router reports below {PATH}/routers" in error
        code, _, error = await scene.run("rollback", 1)
        assert code == 2 and "VERSION: 1 is not kept" in error
        code, _, error = await scene.run("halt")
        assert code == 2 and "--path: nothing was published" in error
        code, _, error = await scene.run("status", "--patience", 0.3, servers=["127.0.0.1:1"])
        assert code == 3 and "--servers: no connection" in error

    play(scene)
