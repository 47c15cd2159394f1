"""Test changes of the settings of a running router, with the real program over loopback."""

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
from stand import SETTINGS, WAIT_TIMEOUT_S, ChangeLog, Stand

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

RELOADS_SETTINGS = "configuration: settings: true\n"


@contextlib.contextmanager
def running(folder: Path, operator: str = RELOADS_SETTINGS, **settings: Any) -> Iterator[Stand]:
    """Run a router with an operator file; without one if the text is empty."""
    env = {}
    if operator:
        file = folder / "site.cue"
        file.write_text(f'{operator}members: socket: "{folder}/members.sock"\n')
        env = {"STONECOVE_OPERATOR": str(file)}
    stand = Stand(env=env, **settings)
    try:
        yield stand
    finally:
        stand.close()


def change(stand: Stand, edit: Callable[[dict[str, Any]], object], version: int | None = None) -> str:
    """Let the router reload a changed configuration; return the log line of the result."""
    config = copy.deepcopy(stand.config)
    edit(config["settings"])
    if version is not None:
        config["version"] = version
    lines = len(reload_lines(stand))
    stand.reload(json.dumps(config))
    stand.wait(lambda: len(reload_lines(stand)) > lines, "a line of the reload")
    return reload_lines(stand)[-1]


def reload_lines(stand: Stand) -> list[str]:
    return stand.lines("config_reloaded") + stand.lines("config_reload_rejected")


def status(folder: Path) -> dict[str, Any]:
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(folder / "members.sock"))
        sock.sendall(b"configuration\n")
        answer: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))
    return answer


def change_nothing(settings: dict[str, Any]) -> None:
    """Change nothing."""


def test_without_the_record_settings_wait_for_a_restart(tmp_path: Path) -> None:
    for operator in ("", "configuration: settings: false\n"):
        with running(tmp_path, operator) as stand:
            line = change(stand, lambda table: table["limits"].update(most_tries=1), version=3)
            assert line.endswith("waits_for_restart=settings") and "version" not in line
            client = stand.client()
            client.send()
            stand.command().reply("503", tell="")  # a second attempt is still allowed
            stand.command().reply(body=b"x")
            assert client.answer().body == b"x"


def test_the_record_applies_from_the_reload_after_the_one_that_reads_it(tmp_path: Path) -> None:
    with running(tmp_path, "configuration: settings: false\n") as stand:
        file = tmp_path / "site.cue"
        file.write_text(file.read_text().replace("false", "true"))
        assert "waits_for_restart=settings" in change(stand, lambda table: table.update(weights="silent"))
        assert "settings=in-force" in change(stand, lambda table: table.update(weights="silent"), version=2)
        assert status(tmp_path)["configuration"]["version"] == 2
        file.write_text(file.read_text().replace("true", "false"))
        assert "settings=in-force" in change(stand, change_nothing)
        assert change(stand, lambda table: table.update(weights="silent")).endswith(
            "waits_for_restart=settings"
        )


def test_the_module_is_not_imported_without_the_record() -> None:
    code = "import sys, stonecove.server.serve; sys.exit('stonecove.server.reconfigure' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_new_settings_apply_to_new_requests_and_open_ones_keep_their_deadline(tmp_path: Path) -> None:
    with running(tmp_path) as stand:
        early = stand.client()
        early.send(X_TTL_MS="9000")
        first = stand.command()
        assert status(tmp_path)["configuration"]["version"] == 0
        line = change(
            stand,
            lambda table: (
                table["limits"].update(most_tries=1),
                table["classes"].append({"name": "film", "deadline": 9000.0, "on_time": 4000.0}),
            ),
            version=7,
        )
        assert "settings=in-force version=7" in line and "waits_for_restart=nothing" in line
        found = status(tmp_path)["configuration"]
        assert found["version"] == 7 and found["refused"] is None and found["in_force_since_ms"] > 1e12
        late = stand.client()
        late.send(path="/svc/film")
        second = stand.command()
        second.reply("503", tell="")
        assert late.answer().status == 503  # no other attempt
        assert second.fields["cls"] == "film"
        assert int(first.fields["limit"]) > 8000
        first.reply(body=b"early")
        assert early.answer().body == b"early"


def test_an_open_request_keeps_its_class_and_gets_one_answer(tmp_path: Path) -> None:
    with running(tmp_path) as stand:
        client = stand.client()
        client.send(path="/svc/confirm", body=b"once")
        fetch = stand.command()
        change(
            stand,
            lambda table: (
                table["classes"][1].update(effect="pure"),
                table["domain"].update(never_kept=[False, False, False]),
            ),
        )
        # In a class whose answers are cached, an answer without a tag would close its connection and fail.
        fetch.reply(body=b"done", ver="", born="")
        assert client.answer().body == b"done"
        assert stand.maybe_command(0.3) is None
        client.send(ident=2, path="/svc/confirm")
        stand.command().reply(body=b"kept now")
        assert client.answer().body == b"kept now"


def test_an_earlier_purge_stays_enforced(tmp_path: Path) -> None:
    with running(tmp_path) as stand:
        key = 0x7F3A9C21E0B4D655
        stand.log.tell(2, 3, struct.pack(">QQ", key, int(time.time() * 1000)))
        client = stand.client()

        def oldest() -> int:
            client.send()
            fetch = stand.command()
            fetch.reply(body=b"x")
            client.answer()
            return int(fetch.fields.get("oldest", 0))

        stand.wait(oldest, "the purge is enforced")
        change(stand, lambda table: table["domain"].update(heed_within=1.0, purge_settles=1.0))
        time.sleep(0.1)  # the new retention has passed
        assert 0 < oldest() < 9500


INVALID_CHANGES: list[tuple[Callable[[dict[str, Any]], Any], str]] = [
    (lambda table: table.update(zone=0), "zone: 0 in place of 1"),
    (lambda table: table["classes"].pop(), "classes: image, confirm does not begin with"),
    (lambda table: table["classes"].reverse(), "classes: page, confirm, image"),
    (lambda table: table["classes"].append(table["classes"][0]), "classes: image is there twice"),
    (lambda table: table.update(areas=["edge-1", "hub"]), "zones: edge-1, hub"),
    (lambda table: table["models"].reverse(), "kinds: origin, parent, box"),
    (lambda table: table["domain"].update(shield_kind=0), "parent_kind: 0"),
    (lambda table: table["domain"].update(store_kind=0), "origin_kind: 0"),
    (lambda table: table["domain"].update(client_kb_per_s=1.0), "client_pace: 1.0"),
    (lambda table: table["rules"].update(overload_for=1.0), "fall_window: 1.0"),
    (lambda table: table.update(discovery="ask"), "list_by_asking: True"),
    (lambda table: table["domain"].update(purge_settles=-1.0), "purge_done: -1"),
    (lambda table: table["classes"][0].update(importance=-2.0), "classes[0].worth: -2"),
    (lambda table: table["classes"][0].update(deadline="soon"), "the configuration can't be used"),
]


def test_one_invalid_field_changes_nothing_and_is_reported_in_one_line(tmp_path: Path) -> None:
    with running(tmp_path) as stand:
        for index, (make_invalid, reason) in enumerate(INVALID_CHANGES):

            def edit(
                table: dict[str, Any], make_invalid: Callable[[dict[str, Any]], Any] = make_invalid
            ) -> None:
                table["limits"].update(most_tries=1)
                make_invalid(table)

            line = change(stand, edit, version=50 + index)
            assert reason in line and "in-force" not in line
            found = status(tmp_path)["configuration"]
            assert found["version"] == 0 and reason in found["refused"]["why"]
            assert found["refused"]["version"] in (50 + index, None)
        assert len(reload_lines(stand)) == len(INVALID_CHANGES)
        client = stand.client()
        client.send()
        stand.command().reply("503", tell="")
        stand.command().reply(body=b"x")  # the old bound on attempts
        assert client.answer().body == b"x"
        change(stand, change_nothing, version=99)
        assert status(tmp_path)["configuration"]["refused"] is None


def test_a_reload_while_the_router_drains_is_ignored(tmp_path: Path) -> None:
    with running(tmp_path) as stand:
        client = stand.client()
        client.send()
        fetch = stand.command()
        stand.process.send_signal(signal.SIGTERM)
        stand.wait(lambda: stand.lines("router_stopping"), "the drain has begun")
        config = copy.deepcopy(stand.config)
        config["settings"]["limits"]["most_tries"] = 1
        stand.reload(json.dumps(config))
        fetch.reply(body=b"last")
        assert client.answer().body == b"last"
        assert stand.process.wait(10) == 0
        assert not reload_lines(stand)


def test_a_reload_before_the_router_is_ready_is_handled_when_it_gets_ready(tmp_path: Path) -> None:
    log, released = ChangeLog(), threading.Event()
    log.missed = lambda: released.wait(WAIT_TIMEOUT_S) and struct.pack(">IQB", 9, 0, 0) or b""
    config = Stand.plain_config()
    config["changelog"] = f"127.0.0.1:{log.listener.port}"
    config["settings"] = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": 60_000.0}}
    file, operator = tmp_path / "config.json", tmp_path / "site.cue"
    file.write_text(json.dumps(config))
    operator.write_text(RELOADS_SETTINGS)
    env = {**os.environ, "RELAY_CONFIG": str(file), "STONECOVE_OPERATOR": str(operator)}
    with subprocess.Popen([sys.executable, "-m", "stonecove"], env=env, stderr=subprocess.PIPE) as process:
        try:
            Stand.wait(lambda: log.listener.accepted, "a connection to the change log")
            config["settings"] = {**config["settings"], "weights": "silent"}
            file.write_text(json.dumps({**config, "version": 2}))
            process.send_signal(signal.SIGHUP)
            released.set()
            assert process.stderr is not None
            lines = list(itertools.takewhile(lambda line: b" config_reloaded " not in line, process.stderr))
            assert any(b" router_ready " in line for line in lines)
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_TIMEOUT_S) == 0
        finally:
            released.set()
            process.kill()
            log.listener.close()


def test_the_drain_goes_by_the_deadlines_in_force(tmp_path: Path) -> None:
    with running(tmp_path) as stand:

        def shorter(table: dict[str, Any]) -> None:
            for cls in table["classes"]:
                cls.update(deadline=1000.0, on_time=500.0)

        assert "in-force" in change(stand, shorter)
        client = stand.client()
        client.send()
        stand.command()
        stand.process.send_signal(signal.SIGTERM)
        stand.wait(lambda: stand.lines("router_stopping"), "the drain has begun")
        assert "within=1.2" in stand.lines("router_stopping")[0]  # 1 s, 0.7 s until SIGKILL, 0.5 s before it
        assert client.answer().status in (502, 503)
        assert stand.process.wait(10) == 0


def change_numbers(number: int, table: dict[str, Any]) -> None:
    """Set values that differ for each number."""
    table["limits"].update(most_tries=2 + number % 3, connect_timeout=300.0 + number)
    table["rules"].update(warm_up=1000.0 * number)
    table["domain"].update(purge_settles=100.0 * number)


def test_fifty_reloads_under_load_lose_nothing(tmp_path: Path) -> None:
    with running(tmp_path) as stand:
        clients_stopped, server_stopped = threading.Event(), threading.Event()

        def serve() -> None:
            while not server_stopped.is_set():
                with contextlib.suppress(Exception):
                    stand.commands.get(timeout=0.05).reply(body=b"x")

        answers: list[int] = []

        def send_requests(index: int) -> None:
            client = stand.client()
            while not clients_stopped.is_set():
                answers.append(client.ask(X_ROW=f"{index:016x}").status)

        server = threading.Thread(target=serve)
        clients = [threading.Thread(target=send_requests, args=(index,)) for index in range(4)]
        for thread in (server, *clients):
            thread.start()
        try:
            for version in range(1, 51):
                line = change(stand, partial(change_numbers, version), version=version)
                assert f"settings=in-force version={version}" in line
            stand.wait(lambda: len(answers) > 200, "answers after the last reload")
        finally:
            clients_stopped.set()
            for thread in clients:
                thread.join()
            server_stopped.set()
            server.join()
        assert set(answers) == {200}
        assert not stand.lines("internal_error") and not stand.lines("request_undecided")
        assert status(tmp_path)["configuration"]["version"] == 50


# -- the configuration files --


@pytest.mark.parametrize(("stated_version", "read"), [(12, 12), (None, 0), ("x", 0), (-1, 0), (True, 0)])
def test_the_version_is_optional_and_never_fails_a_start(stated_version: object, read: int) -> None:
    config = {**Stand.plain_config(), "version": stated_version}
    assert config_from(config, {}).version == read


def test_the_operator_record() -> None:
    assert read_text("", "f.cue").operator.configuration is None
    assert read_text("configuration: {}", "f.cue").operator.configuration == ConfigurationRecord(False)
    assert read_text(RELOADS_SETTINGS, "f.cue").operator.configuration == ConfigurationRecord(True)


# -- components that can reject settings, without processes --


class Component:
    """A component of the router that records the settings it is given."""

    def __init__(self, rejection_reason: str = "") -> None:
        self._rejection_reason = rejection_reason
        self.settings: list[Settings] = []

    def rejection_reason(self, settings: Settings) -> str:
        return self._rejection_reason

    def reconfigure(self, settings: Settings) -> None:
        self.settings.append(settings)


def new_route(settings: Settings) -> Route:
    """Return a route that opens no connection; must be called inside trio."""
    clock = Clock()
    timers = Timers(clock, trio.current_time)
    return Route(settings, 7, clock, timers, MemoryBudget(), 0.0, lambda *_: None)  # type: ignore[arg-type]


def create(
    component: Component, derived_size: FleetSizeChanged | None = None
) -> tuple[Route, ActiveSettings]:
    async def make() -> Route:
        return new_route(make_settings())

    route = trio.run(make)
    return route, ActiveSettings(make_settings(), 4, route, [component], lambda: derived_size, lambda: 5.0)


def test_a_component_that_rejects_settings_rejects_them_for_all() -> None:
    component = Component("fleet: no")
    route, active_settings = create(component)
    with pytest.raises(SettingsRefused, match="fleet: no"):
        active_settings.apply(make_settings(fleet_size=9), 5)
    assert (
        active_settings.current == make_settings() == route.director.state.settings and not component.settings
    )
    assert active_settings.handle_query([])["configuration"] == {
        "version": 4,
        "in_force_since_ms": 5,
        "refused": {"version": 5, "why": "fleet: no"},
    }


def test_a_derived_fleet_size_takes_precedence_over_the_settings() -> None:
    component = Component()
    route, active_settings = create(component, FleetSizeChanged(30, (0, 15, 15)))
    active_settings.apply(make_settings(fleet_size=9, max_attempts=2))
    director = route.director
    assert (
        director.state.settings.fleet_size == 30
        and director.state.share.zone_share == 1 / 15
        and director.state.settings.max_attempts == 2
    )
    assert component.settings == [make_settings(fleet_size=9, max_attempts=2)] == [active_settings.current]


def test_queued_requests_are_decided_by_the_settings_they_were_checked_with() -> None:
    route, active_settings = create(Component())
    decided: list[Idempotency] = []
    route.decide = lambda: bool(decided.append(route.director.state.settings.classes[0].idempotency))  # type: ignore[method-assign,func-returns-value]
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

    async def play() -> None:
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
                assert not leases._connection_scope.cancel_called  # its shares are the same
                leases.reconfigure(replace(settings, fleet_size=4, routers_by_zone=(0, 2, 2)))
                await wait_for_hellos(2)
                nursery.cancel_scope.cancel()

    trio.run(play)
    assert [hello["parts"] for hello in hellos] == [
        {"zone:1": 1.0, "fleet": 0.5},
        {"zone:1": 0.5, "fleet": 0.25},
    ]


@pytest.mark.parametrize(("shares", "fixed"), [("counted", True), ("settings", False)])
def test_gossip_rejects_a_change_of_the_number_of_routers(shares: str, fixed: bool) -> None:
    record = read_text(f'swarm: shares: "{shares}"', "f.cue").operator.swarm
    assert record is not None
    config = config_from(Stand.plain_config(), {})
    settings = replace(config.settings, router_messages_allowed=True)
    config = replace(config, settings=settings, peer_listen="127.0.0.1:1", peers=("127.0.0.1:2",))

    async def play() -> list[str]:
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

    fleet, by_zone, messages, harmless = trio.run(play)
    assert fleet.startswith("fleet:") == by_zone.startswith("zone_directors:") == fixed
    assert bool(fleet) == bool(by_zone) == fixed
    assert messages.startswith("may_message:") and not harmless


@pytest.mark.parametrize("zookeeper", [True, False])
def test_names_may_be_appended_where_no_coordination_service_is_used(tmp_path: Path, zookeeper: bool) -> None:
    source = 'sources: zookeeper: {servers: ["127.0.0.1:1"], path: "/b"}' if zookeeper else ""
    (tmp_path / "site.cue").write_text(source)
    config = config_from(Stand.plain_config(), {})
    settings = config.settings
    appended = replace(settings, zones=(*settings.zones, "edge-2"))

    async def play() -> Members:
        log = ChangeLogFollower("127.0.0.1", 1, Follower(0))
        return Members(tmp_path / "site.cue", config, new_route(settings), Clock(), log, lambda task: None)

    members = trio.run(play)
    assert members.rejection_reason(appended).startswith("zones:") == zookeeper
    assert not members.rejection_reason(replace(settings, streams_per_connection=3))
    members.reconfigure(appended)
    assert (
        members.names.zones == appended.zones
        and members.config.settings == appended
        and members.derived_fleet_size() is None
    )
