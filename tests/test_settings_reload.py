"""Test reloads of the settings of a running router, with the real program over loopback."""

from __future__ import annotations

import contextlib
import copy
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import trio
from conftest import make_class, make_settings
from process_harness import SETTINGS, WAIT_TIMEOUT_S, ChangeLog, ProcessHarness

from stonecove.operator_config.reader import read_text
from stonecove.operator_config.records import ConfigurationRecord
from stonecove.pipeline.route import Route
from stonecove.protocols.change_log import Follower
from stonecove.routing.events import FleetSizeChanged
from stonecove.routing.settings import Idempotency, Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.timers import Timers
from stonecove.runtime.unix import bind_private, serve_connections
from stonecove.server.config import config_from
from stonecove.server.leases import LeaseClient, LeaseFile
from stonecove.server.members import Members
from stonecove.server.reconfigure import ActiveSettings, SettingsRefused
from stonecove.server.swarm import SwarmAgent
from stonecove.state.budget import MemoryBudget
from stonecove.transport.change_log_follower import ChangeLogClient as ChangeLogFollower

RELOAD_SETTINGS_RECORD = "configuration: settings: true\n"


@contextlib.contextmanager
def running(
    folder: Path, operator: str = RELOAD_SETTINGS_RECORD, **settings: Any
) -> Iterator[ProcessHarness]:
    """Run a router with an operator file, or without one if `operator` is empty."""
    env = {}
    if operator:
        file = folder / "site.cue"
        file.write_text(f'{operator}members: socket: "{folder}/members.sock"\n')
        env = {"STONECOVE_OPERATOR": str(file)}
    harness = ProcessHarness(env=env, **settings)
    try:
        yield harness
    finally:
        harness.close()


def reload_settings(
    harness: ProcessHarness, edit: Callable[[dict[str, Any]], object], version: int | None = None
) -> str:
    """Make the router reload a changed configuration; return the log line of the result."""
    config = copy.deepcopy(harness.config)
    edit(config["settings"])
    if version is not None:
        config["version"] = version
    lines = len(reload_lines(harness))
    harness.reload(json.dumps(config))
    harness.wait_until(lambda: len(reload_lines(harness)) > lines, "the log line of the reload")
    return reload_lines(harness)[-1]


def reload_lines(harness: ProcessHarness) -> list[str]:
    return harness.log_lines("config_reloaded") + harness.log_lines("config_reload_rejected")


def query_configuration(folder: Path) -> dict[str, Any]:
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(folder / "members.sock"))
        sock.sendall(b"configuration\n")
        answer: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))
    return answer


def change_nothing(settings: dict[str, Any]) -> None:
    """Change nothing."""


def test_settings_wait_for_restart_without_operator_record(tmp_path: Path) -> None:
    for operator in ("", "configuration: settings: false\n"):
        with running(tmp_path, operator) as harness:
            line = reload_settings(
                harness, lambda settings: settings["limits"].update(most_tries=1), version=3
            )
            assert line.endswith("waits_for_restart=settings") and "version" not in line
            client = harness.client()
            client.send()
            harness.next_command().reply("503", tell="")  # a second attempt is still allowed
            harness.next_command().reply(body=b"x")
            assert client.read_answer().body == b"x"


def test_operator_record_applies_from_the_reload_after_the_one_that_reads_it(tmp_path: Path) -> None:
    with running(tmp_path, "configuration: settings: false\n") as harness:
        file = tmp_path / "site.cue"
        file.write_text(file.read_text().replace("false", "true"))
        assert "waits_for_restart=settings" in reload_settings(
            harness, lambda settings: settings.update(weights="silent")
        )
        assert "settings=in-force" in reload_settings(
            harness, lambda settings: settings.update(weights="silent"), version=2
        )
        assert query_configuration(tmp_path)["configuration"]["version"] == 2
        file.write_text(file.read_text().replace("true", "false"))
        assert "settings=in-force" in reload_settings(harness, change_nothing)
        assert reload_settings(harness, lambda settings: settings.update(weights="silent")).endswith(
            "waits_for_restart=settings"
        )


def test_reconfigure_module_is_not_imported_without_operator_record() -> None:
    code = "import sys, stonecove.server.serve; sys.exit('stonecove.server.reconfigure' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_new_settings_apply_to_new_requests_and_open_ones_keep_their_deadline(tmp_path: Path) -> None:
    with running(tmp_path) as harness:
        early = harness.client()
        early.send(X_TTL_MS="9000")
        first = harness.next_command()
        assert query_configuration(tmp_path)["configuration"]["version"] == 0
        line = reload_settings(
            harness,
            lambda settings: (
                settings["limits"].update(most_tries=1),
                settings["classes"].append({"name": "film", "deadline": 9000.0, "on_time": 4000.0}),
            ),
            version=7,
        )
        assert "settings=in-force version=7" in line and "waits_for_restart=nothing" in line
        found = query_configuration(tmp_path)["configuration"]
        assert found["version"] == 7 and found["refused"] is None and found["in_force_since_ms"] > 1e12
        late = harness.client()
        late.send(path="/svc/film")
        second = harness.next_command()
        second.reply("503", tell="")
        assert late.read_answer().status == 503  # no second attempt is allowed
        assert second.fields["cls"] == "film"
        assert int(first.fields["limit"]) > 8000
        first.reply(body=b"early")
        assert early.read_answer().body == b"early"


def test_open_request_keeps_its_class_and_gets_one_answer(tmp_path: Path) -> None:
    with running(tmp_path) as harness:
        client = harness.client()
        client.send(path="/svc/confirm", body=b"once")
        fetch = harness.next_command()
        reload_settings(
            harness,
            lambda settings: (
                settings["classes"][1].update(effect="pure"),
                settings["domain"].update(never_kept=[False, False, False]),
            ),
        )
        # In a class whose answers are cached, a reply without a tag would fail and close its connection.
        fetch.reply(body=b"done", ver="", born="")
        assert client.read_answer().body == b"done"
        assert harness.next_command_within(0.3) is None
        client.send(ident=2, path="/svc/confirm")
        harness.next_command().reply(body=b"cached")
        assert client.read_answer().body == b"cached"


def test_earlier_purge_stays_enforced(tmp_path: Path) -> None:
    with running(tmp_path) as harness:
        key = 0x7F3A9C21E0B4D655
        harness.change_log.send_event(2, 3, struct.pack(">QQ", key, int(time.time() * 1000)))
        client = harness.client()

        def requested_max_age_ms() -> int:
            client.send()
            fetch = harness.next_command()
            fetch.reply(body=b"x")
            client.read_answer()
            return int(fetch.fields.get("oldest", 0))

        harness.wait_until(requested_max_age_ms, "enforcement of the purge")
        reload_settings(
            harness, lambda settings: settings["domain"].update(heed_within=1.0, purge_settles=1.0)
        )
        time.sleep(0.1)  # the new retention period has passed
        assert 0 < requested_max_age_ms() < 9500


INVALID_CHANGES: list[tuple[Callable[[dict[str, Any]], Any], str]] = [
    (lambda settings: settings.update(zone=0), "zone: 0 in place of 1"),
    (lambda settings: settings["classes"].pop(), "classes: image, confirm does not begin with"),
    (lambda settings: settings["classes"].reverse(), "classes: page, confirm, image"),
    (lambda settings: settings["classes"].append(settings["classes"][0]), "classes: image is there twice"),
    (lambda settings: settings.update(areas=["edge-1", "hub"]), "zones: edge-1, hub"),
    (lambda settings: settings["models"].reverse(), "kinds: origin, parent, box"),
    (lambda settings: settings["domain"].update(shield_kind=0), "parent_kind: 0"),
    (lambda settings: settings["domain"].update(store_kind=0), "origin_kind: 0"),
    (lambda settings: settings["domain"].update(client_kb_per_s=1.0), "client_pace: 1.0"),
    (lambda settings: settings["rules"].update(overload_for=1.0), "fall_window: 1.0"),
    (lambda settings: settings.update(discovery="ask"), "list_by_asking: True"),
    (lambda settings: settings["domain"].update(purge_settles=-1.0), "purge_done: -1"),
    (lambda settings: settings["classes"][0].update(importance=-2.0), "classes[0].worth: -2"),
    (lambda settings: settings["classes"][0].update(deadline="soon"), "the configuration can't be used"),
]


def test_one_invalid_field_changes_nothing_and_is_reported_in_one_line(tmp_path: Path) -> None:
    with running(tmp_path) as harness:
        for index, (make_invalid, reason) in enumerate(INVALID_CHANGES):

            def edit(
                settings: dict[str, Any], make_invalid: Callable[[dict[str, Any]], Any] = make_invalid
            ) -> None:
                settings["limits"].update(most_tries=1)
                make_invalid(settings)

            line = reload_settings(harness, edit, version=50 + index)
            assert reason in line and "in-force" not in line
            found = query_configuration(tmp_path)["configuration"]
            assert found["version"] == 0 and reason in found["refused"]["why"]
            assert found["refused"]["version"] in (50 + index, None)
        assert len(reload_lines(harness)) == len(INVALID_CHANGES)
        client = harness.client()
        client.send()
        harness.next_command().reply("503", tell="")
        harness.next_command().reply(body=b"x")  # the earlier limit on attempts
        assert client.read_answer().body == b"x"
        reload_settings(harness, change_nothing, version=99)
        assert query_configuration(tmp_path)["configuration"]["refused"] is None


def test_reload_during_drain_is_ignored(tmp_path: Path) -> None:
    with running(tmp_path) as harness:
        client = harness.client()
        client.send()
        fetch = harness.next_command()
        harness.process.send_signal(signal.SIGTERM)
        harness.wait_until(lambda: harness.log_lines("router_stopping"), "the drain to begin")
        config = copy.deepcopy(harness.config)
        config["settings"]["limits"]["most_tries"] = 1
        harness.reload(json.dumps(config))
        fetch.reply(body=b"last")
        assert client.read_answer().body == b"last"
        assert harness.process.wait(10) == 0
        assert not reload_lines(harness)


def test_reload_during_startup_is_handled_once_router_is_ready(tmp_path: Path) -> None:
    change_log, frame_released = ChangeLog(), threading.Event()
    change_log.first_frames = lambda: (
        frame_released.wait(WAIT_TIMEOUT_S) and struct.pack(">IQB", 9, 0, 0) or b""
    )
    config = ProcessHarness.config_without_nodes()
    config["changelog"] = f"127.0.0.1:{change_log.listener.port}"
    config["settings"] = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": 60_000.0}}
    file, operator = tmp_path / "config.json", tmp_path / "site.cue"
    file.write_text(json.dumps(config))
    operator.write_text(RELOAD_SETTINGS_RECORD)
    env = {**os.environ, "RELAY_CONFIG": str(file), "STONECOVE_OPERATOR": str(operator)}
    with subprocess.Popen([sys.executable, "-m", "stonecove"], env=env, stderr=subprocess.PIPE) as process:
        try:
            ProcessHarness.wait_until(lambda: change_log.listener.accepted, "a connection to the change log")
            config["settings"] = {**config["settings"], "weights": "silent"}
            file.write_text(json.dumps({**config, "version": 2}))
            process.send_signal(signal.SIGHUP)
            frame_released.set()
            assert process.stderr is not None
            lines = list(itertools.takewhile(lambda line: b" config_reloaded " not in line, process.stderr))
            assert any(b" router_ready " in line for line in lines)
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_TIMEOUT_S) == 0
        finally:
            frame_released.set()
            process.kill()
            change_log.listener.close()


def test_drain_uses_deadlines_in_force(tmp_path: Path) -> None:
    with running(tmp_path) as harness:

        def shorten_deadlines(settings: dict[str, Any]) -> None:
            for cls in settings["classes"]:
                cls.update(deadline=1000.0, on_time=500.0)

        assert "in-force" in reload_settings(harness, shorten_deadlines)
        client = harness.client()
        client.send()
        harness.next_command()
        harness.process.send_signal(signal.SIGTERM)
        harness.wait_until(lambda: harness.log_lines("router_stopping"), "the drain to begin")
        # a deadline of 1 s, plus 0.7 s until SIGKILL, minus a margin of 0.5 s
        assert "within=1.2" in harness.log_lines("router_stopping")[0]
        assert client.read_answer().status in (502, 503)
        assert harness.process.wait(10) == 0


def change_values(number: int, settings: dict[str, Any]) -> None:
    """Set values that differ for each number."""
    settings["limits"].update(most_tries=2 + number % 3, connect_timeout=300.0 + number)
    settings["rules"].update(warm_up=1000.0 * number)
    settings["domain"].update(purge_settles=100.0 * number)


def test_fifty_reloads_under_load_lose_no_request(tmp_path: Path) -> None:
    with running(tmp_path) as harness:
        clients_stopped, server_stopped = threading.Event(), threading.Event()

        def serve() -> None:
            while not server_stopped.is_set():
                with contextlib.suppress(Exception):
                    harness.commands.get(timeout=0.05).reply(body=b"x")

        answers: list[int] = []

        def send_requests(index: int) -> None:
            client = harness.client()
            while not clients_stopped.is_set():
                answers.append(client.exchange(X_ROW=f"{index:016x}").status)

        server = threading.Thread(target=serve)
        clients = [threading.Thread(target=send_requests, args=(index,)) for index in range(4)]
        for thread in (server, *clients):
            thread.start()
        try:
            for version in range(1, 51):
                line = reload_settings(harness, partial(change_values, version), version=version)
                assert f"settings=in-force version={version}" in line
            harness.wait_until(lambda: len(answers) > 200, "answers after the last reload")
        finally:
            clients_stopped.set()
            for thread in clients:
                thread.join()
            server_stopped.set()
            server.join()
        assert set(answers) == {200}
        assert not harness.log_lines("internal_error") and not harness.log_lines("request_undecided")
        assert query_configuration(tmp_path)["configuration"]["version"] == 50


# -- the configuration files --


@pytest.mark.parametrize(("stated_version", "read"), [(12, 12), (None, 0), ("x", 0), (-1, 0), (True, 0)])
def test_version_is_optional_and_never_prevents_startup(stated_version: object, read: int) -> None:
    config = {**ProcessHarness.config_without_nodes(), "version": stated_version}
    assert config_from(config, {}).version == read


def test_operator_record_is_parsed() -> None:
    assert read_text("", "f.cue").operator.configuration is None
    assert read_text("configuration: {}", "f.cue").operator.configuration == ConfigurationRecord(False)
    assert read_text(RELOAD_SETTINGS_RECORD, "f.cue").operator.configuration == ConfigurationRecord(True)


# -- components that can reject settings, without processes --


class Component:
    """A component of the router that records the settings that it is given."""

    def __init__(self, rejection_reason: str = "") -> None:
        self._rejection_reason = rejection_reason
        self.settings: list[Settings] = []

    def rejection_reason(self, settings: Settings) -> str:
        return self._rejection_reason

    def reconfigure(self, settings: Settings) -> None:
        self.settings.append(settings)


def new_route(settings: Settings) -> Route:
    """Return a route that opens no connections; must be called inside trio."""
    clock = Clock()
    timers = Timers(clock, trio.current_time)
    return Route(settings, 7, clock, timers, MemoryBudget(), 0.0, lambda *_: None)  # type: ignore[arg-type]


def create_active_settings(
    component: Component, derived_size: FleetSizeChanged | None = None
) -> tuple[Route, ActiveSettings]:
    async def make() -> Route:
        return new_route(make_settings())

    route = trio.run(make)
    return route, ActiveSettings(make_settings(), 4, route, [component], lambda: derived_size, lambda: 5.0)


def test_settings_that_one_component_rejects_apply_to_none() -> None:
    component = Component("fleet: rejected")
    route, active_settings = create_active_settings(component)
    with pytest.raises(SettingsRefused, match="fleet: rejected"):
        active_settings.apply(make_settings(fleet_size=9), 5)
    assert (
        active_settings.current == make_settings() == route.director.state.settings and not component.settings
    )
    assert active_settings.handle_query([])["configuration"] == {
        "version": 4,
        "in_force_since_ms": 5,
        "refused": {"version": 5, "why": "fleet: rejected"},
    }


def test_derived_fleet_size_takes_precedence_over_settings() -> None:
    component = Component()
    route, active_settings = create_active_settings(component, FleetSizeChanged(30, (0, 15, 15)))
    active_settings.apply(make_settings(fleet_size=9, max_attempts=2))
    director = route.director
    assert (
        director.state.settings.fleet_size == 30
        and director.state.share.zone_share == 1 / 15
        and director.state.settings.max_attempts == 2
    )
    assert component.settings == [make_settings(fleet_size=9, max_attempts=2)] == [active_settings.current]


def test_queued_requests_are_decided_with_the_settings_of_their_admission() -> None:
    route, active_settings = create_active_settings(Component())
    decided: list[Idempotency] = []

    def decide(check_clients: bool = True) -> bool:
        decided.append(route.director.state.settings.classes[0].idempotency)
        return False

    route.decide = decide  # type: ignore[method-assign]
    active_settings.apply(make_settings(make_class(idempotency=Idempotency.NON_IDEMPOTENT)))
    assert (
        decided == [Idempotency.IDEMPOTENT]
        and route.director.state.settings.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    )


def test_changed_shares_are_reported_to_the_lessor_in_a_new_connection(tmp_path: Path) -> None:
    hellos: list[dict[str, Any]] = []

    async def lessor(client: trio.socket.SocketType) -> None:
        with client:
            stream = trio.SocketStream(client)
            async for data in stream:
                for line in data.splitlines():
                    message = json.loads(line)
                    if message["do"] == "hello":
                        hellos.append(message)
                        terms = {"is": "terms", "own": 0.3, "retries": 0.1, "rest": 0.0}
                        await stream.send_all(json.dumps(terms).encode() + b"\n")

    async def wait_for_hellos(count: int) -> None:
        while len(hellos) < count:
            await trio.sleep(0.005)

    async def run_scenario() -> None:
        path = str(tmp_path / "leases.sock")
        with trio.fail_after(WAIT_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_connections, bind_private(path), lessor)
                settings = make_settings()
                file = LeaseFile(path, 3.0, 0.3, 0.1, 0.0, None, 0.1)
                leases = LeaseClient(file, "n0", settings, new_route(settings), Clock(), nursery.start_soon)
                leases.start()
                await wait_for_hellos(1)
                leases.reconfigure(replace(settings, max_attempts=1))
                assert not leases._connection_scope.cancel_called  # its shares are unchanged
                leases.reconfigure(replace(settings, fleet_size=4, routers_by_zone=(0, 2, 2)))
                await wait_for_hellos(2)
                nursery.cancel_scope.cancel()

    trio.run(run_scenario)
    assert [hello["parts"] for hello in hellos] == [
        {"zone:1": 1.0, "fleet": 0.5},
        {"zone:1": 0.5, "fleet": 0.25},
    ]


@pytest.mark.parametrize(("shares", "fixed"), [("counted", True), ("settings", False)])
def test_gossip_rejects_a_change_of_the_number_of_routers(shares: str, fixed: bool) -> None:
    record = read_text(f'swarm: shares: "{shares}"', "f.cue").operator.swarm
    assert record is not None
    config = config_from(ProcessHarness.config_without_nodes(), {})
    settings = replace(config.settings, router_messages_allowed=True)
    config = replace(config, settings=settings, peer_listen="127.0.0.1:1", peers=("127.0.0.1:2",))

    async def run_scenario() -> list[str]:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            agent = SwarmAgent(record, config, datagrams, new_route(settings), Clock(), None)
            return [
                agent.rejection_reason(replace(settings, **changes))
                for changes in (
                    {"fleet_size": 9},
                    {"routers_by_zone": (0, 9)},
                    {"router_messages_allowed": False},
                    {"streams_per_connection": 3},
                )
            ]

    fleet_reason, by_zone_reason, messages_reason, other_reason = trio.run(run_scenario)
    assert fleet_reason.startswith("fleet:") == by_zone_reason.startswith("zone_directors:") == fixed
    assert bool(fleet_reason) == bool(by_zone_reason) == fixed
    assert messages_reason.startswith("may_message:") and not other_reason


@pytest.mark.parametrize("zookeeper", [True, False])
def test_names_may_be_appended_where_no_coordination_service_is_used(tmp_path: Path, zookeeper: bool) -> None:
    source = 'sources: zookeeper: {servers: ["127.0.0.1:1"], path: "/b"}' if zookeeper else ""
    (tmp_path / "site.cue").write_text(source)
    config = config_from(ProcessHarness.config_without_nodes(), {})
    settings = config.settings
    appended = replace(settings, zones=(*settings.zones, "edge-2"))

    async def run_scenario() -> Members:
        change_log = ChangeLogFollower("127.0.0.1", 1, Follower(0))
        return Members(
            tmp_path / "site.cue", config, new_route(settings), Clock(), change_log, lambda task: None
        )

    members = trio.run(run_scenario)
    assert members.rejection_reason(appended).startswith("zones:") == zookeeper
    assert not members.rejection_reason(replace(settings, streams_per_connection=3))
    members.reconfigure(appended)
    assert (
        members.names.zones == appended.zones
        and members.config.settings == appended
        and members.derived_fleet_size() is None
    )
