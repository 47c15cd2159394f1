"""Golden cases of the fleet area: answers of a router's members socket on members, roll-outs and gossip."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import trio
import trio.testing
from golden_coordination_gossip import build_datagram
from golden_coordination_records import TOPOLOGY_NAMES, build_member
from golden_coordination_rollouts import build_target
from golden_fleet_files import FOLDER, UNIX_TIME_S, temporary_folder
from golden_folder import Meaning, Replay, Snapshot

from stonecove.discovery import MembersUpdate
from stonecove.discovery.records import encode_member
from stonecove.operator_config.reader import read_text
from stonecove.operator_config.records import ConfigurationRecord
from stonecove.pipeline.route import Route
from stonecove.protocols.change_log import Follower
from stonecove.protocols.gossip import encode
from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.session import Reply, SessionConfig
from stonecove.rollout.messages import Overlay
from stonecove.routing.endpoints import NodeState
from stonecove.routing.events import FleetSizeChanged
from stonecove.runtime.clock import Clock
from stonecove.runtime.timers import Timers
from stonecove.server.config import Config, config_from
from stonecove.server.configuration import ConfigurationAgent
from stonecove.server.members import Members
from stonecove.server.reconfigure import ActiveSettings, SettingsRefused
from stonecove.server.swarm import SwarmAgent, bind_datagram_socket
from stonecove.settings import settings_from
from stonecove.standins import zookeeper as standin
from stonecove.state.budget import MemoryBudget
from stonecove.transport.change_log_follower import ChangeLogClient
from stonecove.transport.zookeeper import ZooKeeperClient

SETTINGS: dict[str, Any] = {
    "areas": ["hub", "edge-1"],
    "models": ["box", "parent", "origin"],
    "zone": 1,
    "fleet_size": 3,
    "classes": [{"name": "image", "deadline": 9000.0, "on_time": 4000.0}],
    "domain": {
        "shield_kind": 1,
        "store_kind": 2,
        "client_kb_per_s": 1000.0,
        "zone_link_kb_per_s": [0.0, 20000.0],
        "instances_by_zone": [1, 2],
    },
    "limits": {"most_tries": 4, "peers": True},
    "rules": {"cold_from": 0.25, "warm_up": 16000.0, "tip_multiple": 4.0, "overload_for": 3000.0},
}


def router_config(**overrides: Any) -> Config:
    """Return a router's configuration."""
    table = {
        "name": "r-0",
        "listen": "10.0.0.4:6565",
        "seed": "7",
        "changelog": "127.0.0.1:1",
        "settings": SETTINGS,
        **overrides,
    }
    return config_from(table, {})


def _route(config: Config, clock: Clock) -> Route:
    timers = Timers(clock, trio.current_time)
    return Route(config.settings, 7, clock, timers, MemoryBudget(), 0.0, lambda *_: None)  # type: ignore[arg-type]


# -- members, roll-outs and settings of a router --

OPERATOR_FILE = """
sources: zookeeper: {{servers: ["{server}"], path: "/caches"}}
presence: {{path: "/routers", shares: "derived", grow: 0ms, shrink: 0ms}}
members: {{socket: "{socket}", batch: 0ms}}
configuration: {{settings: true, path: "/configuration"}}
"""
QUERIES = (
    "list", "explain s-000000a1", "explain 162", "explain s-000000a3", "explain s-000000ff", "explain x",
    "explain s-zz", "trace", "sources", "fleet", "configuration", "", "sing a song",
)  # fmt: skip


def _member_meaning(node_id: int, port: int, **changes: Any) -> Meaning:
    return {
        "node": node_id,
        "host": "10.1.0.9",
        "port": port,
        "zone_index": 1,
        "kind_index": 0,
        "cell": 3,
        "weight": 20.0,
        "started_ms": UNIX_TIME_S * 1000.0 - 60_000.0,
        "state": "ready",
        **changes,
    }


class _RouterComponents:
    """The components of a router that answer on its members socket, with a coordination service."""

    def __init__(self, folder: Path, server: str, nursery: trio.Nursery) -> None:
        (folder / "operator.cue").write_text(
            OPERATOR_FILE.format(server=server, socket=folder / "members.sock")
        )
        self.clock = Clock(lambda: UNIX_TIME_S)
        config = router_config()
        route = _route(config, self.clock)
        changelog = ChangeLogClient("127.0.0.1", 1, Follower(0))
        self.members = Members(
            folder / "operator.cue", config, route, self.clock, changelog, nursery.start_soon
        )
        self.settings = ActiveSettings(
            config.settings, 4, route, [self.members], self.members.derived_fleet_size, self.clock.now
        )
        self.members.query_handlers["configuration"] = self.settings.handle_query
        record = self.members.operator.configuration
        assert isinstance(record, ConfigurationRecord)
        agent = ConfigurationAgent(
            record, config, config.table, self.settings, route.recorder.counts, self.clock
        )
        self.members.add_session_listener(agent.attach)
        self.members.start()
        nursery.start_soon(agent.run)


async def _wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.002)


async def _start_coordination_service(nursery: trio.Nursery) -> str:
    """Start a coordination service; return its address."""
    output: list[str] = []
    nursery.start_soon(standin.serve, "127.0.0.1", [0], ("127.0.0.1", 0), 0.0, output.append)
    await _wait_until(lambda: len(output) == 2)
    return output[0].split()[-1]


class _CoordinationClient:
    """A client of the coordination service, besides the router."""

    def __init__(self, server: str, nursery: trio.Nursery) -> None:
        host, _, port = server.rpartition(":")
        self.client = ZooKeeperClient(((host, int(port)),), 1, SessionConfig(), lambda: None)
        nursery.start_soon(self.client.run)

    async def send_request(self, request: zk.Request) -> Reply:
        """Return the reply to a request."""
        await _wait_until(lambda: self.client.session.connected)
        replies: list[Reply] = []
        self.client.request(request, replies.append)
        await _wait_until(lambda: bool(replies))
        return replies[0]


def _mask_volatile_fields(value: Any) -> Any:
    """Return an answer in which values that the coordination service assigns are replaced by their types."""
    if isinstance(value, dict):
        volatile = ("server", "session", "zxid", "watches")
        return {
            name: f"<{type(field).__name__}>" if name in volatile else _mask_volatile_fields(field)
            for name, field in value.items()
        }
    return [_mask_volatile_fields(item) for item in value] if isinstance(value, list) else value


def _encoded_target(version: int, **changes: Any) -> bytes:
    sample = next(
        entry["meaning"]
        for entry in json.loads((FOLDER.path.parent / "coordination" / "rollout-targets.json").read_text())[
            "read"
        ]
        if entry["name"] == "complete"
    )
    return build_target({**sample, "version": version, "previous_version": 0, **changes}).encode()


def _members_answers() -> Meaning:
    """Return what a router answers on its members socket, and what it stores in the coordination service."""
    results: Meaning = {}

    async def play(folder: Path) -> None:
        async with trio.open_nursery() as nursery:
            server = await _start_coordination_service(nursery)
            client = _CoordinationClient(server, nursery)
            for path in (
                "/caches",
                "/routers",
                "/configuration",
                "/configuration/versions",
                "/configuration/routers",
            ):
                await client.send_request(zk.Create(path))
            for node_id in (0xA1, 0xA2):
                record = encode_member(build_member(_member_meaning(node_id, 6500 + node_id)), TOPOLOGY_NAMES)
                await client.send_request(zk.Create(f"/caches/n{node_id:x}", record))
            await client.send_request(zk.Create("/caches/bad", b"{}"))
            await client.send_request(
                zk.Create("/routers/r-1", b'{"name": "r-1", "zone": "hub", "state": "ready"}')
            )
            valid_overlay = Overlay(5, {"limits": {"most_tries": 2}}).encode()
            await client.send_request(zk.Create("/configuration/versions/0000000005", valid_overlay))
            router = _RouterComponents(folder, server, nursery)
            members = router.members
            await _wait_until(lambda: len(members.handle_query(["list"])["nodes"]) == 2)
            await _wait_until(lambda: members.handle_query(["fleet"]).get("holds", {}).get("fleet") == 2)
            draining = build_member(_member_meaning(0xA1, 6661, state="draining"))
            parent = build_member(_member_meaning(0xA3, 6663, kind_index=1, started_ms=0.0))
            members.handle_membership_event(MembersUpdate(True, (draining, parent)))
            removed = parent._replace(node=parent.node._replace(state=NodeState.REMOVED))
            members.handle_membership_event(MembersUpdate(False, (removed,)))
            await trio.testing.wait_all_tasks_blocked(0.01)
            results["answers"] = {
                query: _mask_volatile_fields(await _query_socket(folder, query)) for query in QUERIES
            }
            results["socket_rights"] = oct((folder / "members.sock").stat().st_mode & 0o777)
            results["stored"] = await _run_rollouts(client, router)
            nursery.cancel_scope.cancel()

    with temporary_folder() as folder:
        trio.run(play, folder)
    return results


async def _run_rollouts(client: _CoordinationClient, router: _RouterComponents) -> Meaning:
    """Roll out versions, and return what the router stores and answers at each step."""

    def configuration_answer() -> Any:
        return router.members.handle_query(["configuration"])["configuration"]

    async def read_report() -> str:
        reply = await client.send_request(zk.GetData("/configuration/routers/r-0"))
        assert isinstance(reply.result, zk.Data)
        return reply.result.data.decode()

    async def wait_for_report(expected: str) -> str:
        with trio.fail_after(10):
            while not (expected in (text := await read_report()) and '"settled":true' in text):
                await trio.sleep(0.01)
        return text

    async def wait_for_presence(state: str) -> str:
        with trio.fail_after(10):
            while True:
                reply = await client.send_request(zk.GetData("/routers/r-0"))
                assert isinstance(reply.result, zk.Data)
                if state in (text := reply.result.data.decode()):
                    return text
                await trio.sleep(0.002)

    results: Meaning = {}
    results["presence at the start"] = await wait_for_presence("starting")
    await router.members.ready()
    results["presence of a router that serves"] = await wait_for_presence("ready")
    results["report at the start"] = await wait_for_report('"in_force":0')
    await client.send_request(zk.Create("/configuration/target", _encoded_target(5)))
    results["report with a version in force"] = await wait_for_report('"in_force":5')
    results["answer with a version in force"] = configuration_answer()
    rejected_overlay = Overlay(6, {"domain": {"shield_kind": 2}}).encode()
    await client.send_request(zk.Create("/configuration/versions/0000000006", rejected_overlay))
    await client.send_request(zk.SetData("/configuration/target", _encoded_target(6, attempt=4)))
    results["report with a rejected version"] = await wait_for_report('"version":6')
    results["answer with a rejected version"] = configuration_answer()
    try:
        router.settings.apply(settings_from({**SETTINGS, "zone": 0}), 9)
    except SettingsRefused as error:
        results["rejected at once"] = str(error)
    results["answer after that"] = configuration_answer()
    await router.members.announce_draining()
    results["presence of a router that drains"] = await wait_for_presence("draining")
    return results


async def _query_socket(folder: Path, query: str) -> Any:
    stream = await trio.open_unix_socket(str(folder / "members.sock"))
    async with stream:
        await stream.send_all(query.encode() + b"\n")
        data = b""
        async for chunk in stream:
            data += chunk
    assert data.endswith(b"\n")
    return json.loads(data)


# -- gossip --


def _sender_meaning(number: int, **changes: Any) -> Meaning:
    return {
        "member": 0x1000 + number,
        "generation": int(UNIX_TIME_S * 1000) - 1000 * number,
        "incarnation": number,
        "state": "alive",
        "zone": number % 2,
        **changes,
    }


def _datagram_meaning(kind: str, number: int, **changes: Any) -> Meaning:
    header_defaults = {
        "in_reply_to": 0,
        "target_member": 0,
        "newest_generation": 0,
        "view": 3,
        "view_digest": 7,
    }
    content_defaults = {
        "table_digest": 9,
        "paused_s": 0.0,
        "joined": True,
        "updates": [],
        "bucket_digests": [],
    }
    return {
        "kind": kind,
        "number": 50 + number,
        "sender": _sender_meaning(number),
        **header_defaults,
        **content_defaults,
        **changes,
    }


_ROUTER_MEMBER_ID = 0x7098ED7ECE658641  # the hash of the router's name


def _gossip_script() -> list[Meaning]:
    suspect, failed = _sender_meaning(3, state="suspect"), _sender_meaning(4, state="failed")
    paused = _datagram_meaning("ping", 1, updates=[suspect, failed], paused_s=5.5)
    leaving = _datagram_meaning("update", 2, sender=_sender_meaning(2, state="leaving", incarnation=9))
    steps: list[Meaning] = [{"do": "ask", "question": "status"}, {"do": "ask", "question": "history"}]
    claim_about_receiver = {
        "member": _ROUTER_MEMBER_ID,
        "generation": int(UNIX_TIME_S * 1000),
        "incarnation": 4,
        "state": "suspect",
        "zone": 1,
    }
    claim_about_router_5 = _sender_meaning(5, state="suspect")
    steps += [
        {"do": "hear", "from": 0, "after_s": 0.5, "datagram": paused},
        {"do": "hear", "from": 1, "after_s": 0.25, "datagram": leaving},
        {"do": "hear", "from": 2, "after_s": 0.25, "datagram": _datagram_meaning("ack", 5)},
        {"do": "ask", "question": "status"},
        {
            "do": "hear",
            "from": 0,
            "datagram": _datagram_meaning("indirect_ping_request", 1, target_member=0x1002),
        },
        {"do": "hear", "from": 0, "datagram": _datagram_meaning("sync", 1, bucket_digests=[0] * 16)},
        {
            "do": "hear",
            "from": 2,
            "datagram": _datagram_meaning("ping", 5, sender=_sender_meaning(5, generation=17)),
        },
        {
            "do": "hear",
            "from": 0,
            "datagram": _datagram_meaning("update", 1, updates=[claim_about_receiver, claim_about_router_5]),
        },
        {"do": "hear", "from": 2, "datagram": _datagram_meaning("ping", 5, joined=False)},
        *({"do": "time passes", "after_s": 0.25} for _ in range(8)),
        {"do": "ask", "question": "explain r-0000000000001003"},
        {"do": "ask", "question": "explain r-0000000000001001"},
        {"do": "ask", "question": "explain nobody"},
        {"do": "ask", "question": "gone 127.0.0.1:3"},
        {"do": "ask", "question": "gone 127.0.0.1:9"},
        {"do": "counted by others", "fleet": 9, "by_zone": [2, 7]},
        *({"do": "time passes", "after_s": 1.25} for _ in range(6)),
        {"do": "ask", "question": "status"},
        {"do": "ask", "question": "history"},
        {"do": "ask", "question": "explain r-0000000000001002"},
        {"do": "ask", "question": ""},
        {"do": "ask", "question": "sing a song"},
    ]
    return steps


def _play_gossip(steps: list[Meaning]) -> list[Any]:
    now = 1000.0

    async def play() -> list[Any]:
        nonlocal now
        record = read_text("swarm: {}", "operator.cue").operator.swarm
        assert record is not None
        peers = tuple(f"127.0.0.1:{number}" for number in (1, 2, 3))
        config = router_config(peer_listen="127.0.0.1:0", peers=list(peers))
        clock = Clock(lambda: UNIX_TIME_S + now - 1000.0)
        route = _route(config, clock)
        sock = bind_datagram_socket(config)
        agent = SwarmAgent(record, config, sock, route, clock, None)
        agent.swarm.begin(now)
        outputs: list[Any] = []
        for step in steps:
            now += step.get("after_s", 0.0)
            match step["do"]:
                case "ask":
                    outputs.append(agent.handle_query(step["question"].split()))
                    continue
                case "hear":
                    datagram = build_datagram(step["datagram"])
                    agent.swarm.receive(step["from"], datagram, now, clock.now())
                case "counted by others":
                    agent.set_presence_count(FleetSizeChanged(step["fleet"], tuple(step["by_zone"])))
                case "time passes":
                    agent.swarm.tick(now, clock.now())
            derived_size = agent.derived_fleet_size()
            assert derived_size is not None
            outgoing, agent.swarm.gossip.outgoing = agent.swarm.gossip.outgoing, []
            sent = [{"to": peer, "bytes": encode(datagram).hex()} for peer, datagram in outgoing]
            by_zone = list(derived_size.routers_by_zone)
            outputs.append({"routers": derived_size.fleet_size, "routers_by_zone": by_zone, "sent": sent})
        sock.close()
        return outputs

    with mock.patch("time.monotonic", lambda: now):
        return trio.run(play)


CASES = (
    Snapshot("control-members", _members_answers),
    Replay("control-swarm", _gossip_script, _play_gossip),
)
