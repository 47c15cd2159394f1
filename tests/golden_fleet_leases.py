"""Cases of the fleet area: the lease protocol between the supervisor's lessor and a router."""

from __future__ import annotations

import json
import re
import socket
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import trio
import trio.testing
from conftest import make_settings
from golden_fleet_files import UNIX, temporary_folder
from golden_fleet_lease_file import PLAN
from golden_folder import Meaning, Replay, packed, unpacked

from stonecove.exchange import ClientRequest
from stonecove.fleet.lender import LEASE_SOCKET_NAME, LessorServer
from stonecove.operator_config.reader import read_text
from stonecove.routing.actions import RequestLease, ReturnLease
from stonecove.routing.events import LeaseGranted, LeaseTerms
from stonecove.runtime.clock import Clock
from stonecove.runtime.unix import bind_private, serve_connections
from stonecove.server.leases import LeaseClient, LeaseFile

SETTLE_S = 0.01  # time without activity after which a step counts as completed
FLEET = """
fleet: {
 folder: "/nowhere"
 groups: r: {config: "/c.json", host: "10.0.0.1", first_port: 7100, count: 2}
 leases: {window: 3s}
 limits: {
  rate: 1000, burst: 100
  floor: {class: "confirm", part: 0.1}
  zones: "edge-1": {rate: 500, burst: 50, ceil: 600, classes: confirm: {rate: 100, burst: 10}}
  client: {rate: 3, burst: 3}
 }
}
"""


class Time:
    """A monotonic clock that only advances when set, for the program and for trio."""

    def __init__(self, start_s: float) -> None:
        self.now = start_s
        self.trio = trio.testing.MockClock()

    def __call__(self) -> float:
        """Return the present time."""
        return self.now

    def set(self, now: float) -> None:
        """Advance the clock to `now`."""
        self.trio.jump(now - self.now)
        self.now = now


def _receive(sock: socket.socket) -> tuple[bytes, bool]:
    """Return the bytes received, and whether the connection was closed."""
    data = b""
    try:
        while part := sock.recv(65_536):
            data += part
    except BlockingIOError:
        return data, False
    except ConnectionResetError:
        pass
    return data, True


# -- the lessor --


def _play_lessor(steps: list[Meaning]) -> list[Any]:
    time = Time(100.0)

    async def play(folder: Path) -> list[Any]:
        fleet = read_text(FLEET, "fleet.cue").operator.fleet
        assert fleet is not None
        outputs: list[Any] = []
        connections: dict[str, socket.socket] = {}
        async with trio.open_nursery() as nursery:
            lessor = LessorServer(fleet, folder)
            await nursery.start(lessor.run)
            rights = (folder / "leases.sock").stat().st_mode & 0o777
            assert (LEASE_SOCKET_NAME, rights) == ("leases.sock", 0o600)
            for step in steps:
                time.set(step["at_s"])
                if step["do"] == "status":
                    outputs.append({"status": lessor.lending.status(time.now)})
                    continue
                if step["do"] == "lease file":
                    text = lessor.lease_file(step["cooldown_s"]).dumps()
                    outputs.append({"lease_file": text.replace(str(folder), "<folder>")})
                    continue
                sock = connections.get(step["connection"])
                if sock is None:
                    sock = connections[step["connection"]] = socket.socket(socket.AF_UNIX)
                    sock.connect(str(folder / "leases.sock"))
                    sock.setblocking(False)
                if step["do"] == "disconnect":
                    sock.close()
                    del connections[step["connection"]]
                else:
                    sock.sendall(unpacked(step["bytes"]))
                await trio.testing.wait_all_tasks_blocked(SETTLE_S)
                received_bytes, closed = _receive(sock) if step["do"] == "send" else (b"", False)
                if step.get("any_reason"):
                    received_bytes = re.sub(rb'"why": ".*"', b'"why": "<text>"', received_bytes)
                outputs.append({"received": packed(received_bytes), "closed": closed})
            for sock in connections.values():
                sock.close()
            nursery.cancel_scope.cancel()
        return outputs

    with temporary_folder() as folder, mock.patch("time.monotonic", time):
        return trio.run(play, folder, clock=time.trio)


class _LessorScript:
    """Builds the steps of a script."""

    def __init__(self) -> None:
        self.steps: list[Meaning] = []
        self.now = 100.0

    def say(self, connection: str, *words: dict[str, Any], **more: Any) -> None:
        """Add a message or several, a line each."""
        lines = b"".join(json.dumps(word).encode() + b"\n" for word in words)
        self.raw(connection, lines, **more)

    def raw(self, connection: str, data: bytes, **more: Any) -> None:
        """Add bytes to send; with `any_reason` they are rejected with a text of Python's own."""
        self.other("send", connection=connection, bytes=packed(data), **more)

    def other(self, what: str, **more: Any) -> None:
        """Add a step of another kind."""
        self.steps.append({"at_s": self.now, "do": what, **more})


def _hello(name: str, born: float, **changes: Any) -> dict[str, Any]:
    parts = {"zone:1": 0.5, "fleet": 0.5}
    return {"do": "hello", "name": name, "window": 3.0, "parts": parts, "born": born, **changes}


def _ask(number: int, work: float = 20.0, **changes: Any) -> dict[str, Any]:
    pool = {"pool": "zone:1", "rule": 1000.0, "rises": 10.0}
    return {"do": "ask", "number": number, "node": 161, "work": work, **pool, **changes}


def _take(count: int, *path: str) -> dict[str, Any]:
    return {"do": "take", "path": list(path or ("edge-1", "pictures", "10.0.0.9")), "count": count}


def _lessor_script() -> list[Meaning]:
    script = _LessorScript()
    script.other("lease file", cooldown_s=0.0)
    script.other("lease file", cooldown_s=1.5)
    script.say("a", _hello("r-0", 99.0))
    script.say("a", _ask(1))  # no grant until earlier grants have expired
    script.say("b", _hello("r-1", 99.5))
    script.other("status")
    script.now = 104.0
    script.say("a", _ask(2))
    script.say("a", _ask(2))  # a repeated request gets the same lease
    script.say("b", _ask(1, 5.0, rule=800.0), _ask(2, 1.0, node=-1, pool="fleet", rule=50.0, rises=0.0))
    script.say("a", {"do": "back", "number": 2, "left": 5.5})
    script.say("a", {"do": "back", "number": 2, "left": 5.5})
    script.say("b", _ask(3, 900.0))  # more than available
    script.say("a", _take(4))
    script.say("a", _take(400, "edge-1", "confirm", "10.0.0.8"))
    script.say("b", _take(4), _take(1, "hub", "pictures", ""))
    script.other("status")
    line = json.dumps(_ask(3, 1.0)).encode() + b"\n"
    script.raw("a", line[:20])
    script.raw("a", line[20:] + line[:5])
    script.raw("a", line[5:])
    script.now = 106.0
    script.other("disconnect", connection="a")
    script.say("a", _hello("r-0", 105.5))  # restarted: no unleased quota during the cooldown
    script.now = 110.5
    script.say("a", _ask(1, 2.0))
    script.other("disconnect", connection="a")
    script.say("a", _hello("r-0", 105.5))  # the same process
    script.other("status")
    malformed: list[bytes] = [
        b"nonsense\n",
        b"[]\n",
        b"5\n",
        b'{"name": "n"}\n',
        b'{"do": "hello", "name": "n"}\n',
        b'{"do": "sing"}\n',
        b"x" * 5000,
    ]
    for number, data in enumerate(malformed):
        script.raw(f"w{number}", data, **({"any_reason": True} if number < 3 else {}))
    rejected: list[list[dict[str, Any]]] = [
        [_ask(1)],
        [_hello("n", 100.0), _hello("n", 100.0)],
        [_hello("n", 100.0, window=3.5)],
        [_hello("n", 100.0, parts={"fleet": 1.5})],
        [_hello("n", 100.0, parts={"fleet": 0})],
        [_hello("n", 100.0, parts=[])],
        [_hello("n", 100.0), _ask(1, pool="zone:2")],
        [_hello("n", 100.0), _ask(1, 0.0)],
        [_hello("n", 100.0), _ask(1, rule=-1.0)],
        [_hello("n", 100.0), _ask(1, rises=-1.0)],
        [_hello("n", 100.0), {"do": "ask", "number": 1}],
        [_hello("n", 100.0), _take(0)],
        [_hello("n", 100.0), {"do": "take", "path": ["a"], "count": 1}],
        [_hello("n", 100.0), {"do": "back", "number": "x", "left": 0}],
    ]
    for number, words in enumerate(rejected):
        script.say(f"u{number}", *words, **({"any_reason": True} if number in (5, 12, 13) else {}))
    script.other("status")
    return script.steps


# -- a router --


def describe_event(event: object) -> Meaning:
    """Return the meaning of an event passed to the router's decisions."""
    if isinstance(event, LeaseTerms):
        return {
            "event": "lease_terms",
            "own_quota": event.unleased_fraction,
            "retry_quota": event.retry_fraction,
        }
    assert isinstance(event, LeaseGranted)
    return {
        "event": "lease",
        "number": event.lease_id,
        "node": event.node_id,
        "work": event.work_ms,
        "expires_ms": event.expires_at_ms,
    }


def _want(step: Meaning) -> RequestLease:
    growth = float(step["limit_growth"])  # "inf" is no number in JSON
    return RequestLease(
        step["node"], step["work"], step["fleet_limit"], growth, step["share"], step["of_zone"]
    )


class _Router:
    """The interface of a router's stages that the leases use."""

    def __init__(self) -> None:
        self.events: list[Meaning] = []
        self.recorder = SimpleNamespace(counts=Counter[str]())
        self.shared_limit_check: Callable[[ClientRequest], str] | None = None
        self.actions: dict[type, Callable[[Any], None]] = {}

    def set_action_handler(self, action: type, call: Callable[[Any], None]) -> None:
        """Register the function for an action."""
        self.actions[action] = call

    def post(self, event: object) -> None:
        """Record an event."""
        self.events.append(describe_event(event))


def _play_router(steps: list[Meaning]) -> list[Any]:
    time = Time(100.0)

    async def play(folder: Path) -> list[Any]:
        outputs: list[Any] = []
        connections: list[trio.SocketStream] = []
        received = bytearray()

        async def lessor(client: trio.socket.SocketType) -> None:
            stream = trio.SocketStream(client)
            connections.append(stream)
            async with stream:
                async for data in stream:
                    received.extend(data)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connections, bind_private(str(folder / "leases.sock")), lessor)
            router = _Router()
            settings = make_settings(zones=("hub", "edge-1", "edge-2"))
            file = LeaseFile(str(folder / "leases.sock"), 3.0, 0.25, 0.125, 0.5, PLAN, 0.25)
            clock = Clock(lambda: UNIX + time.now - 100.0)
            leases = LeaseClient(file, "r-0", settings, cast(Any, router), clock, nursery.start_soon)
            leases.start()
            for step in steps:
                time.set(step["at_s"])
                limits: list[str] = []
                match step["do"]:
                    case "answer":
                        assert connections[-1].socket.fileno() >= 0, f"no connection at {step}"
                        await connections[-1].send_all(unpacked(step["bytes"]))
                    case "want lease":
                        router.actions[RequestLease](_want(step))
                    case "lease expired":
                        router.actions[ReturnLease](ReturnLease(step["number"], step["unspent"]))
                    case "requests":
                        assert router.shared_limit_check is not None
                        asked = cast(Any, SimpleNamespace(cls=step["of"], client=step["client"]))
                        limits = [router.shared_limit_check(asked) for _ in range(step["count"])]
                    case "own quota":
                        leases.set_share_factor(step["scale"])
                    case "reconfigure":
                        leases.reconfigure(
                            make_settings(fleet_size=step["routers"], routers_by_zone=(0, 4, 4))
                        )
                    case "close":
                        connections[-1].socket.shutdown(trio.socket.SHUT_RDWR)
                await trio.testing.wait_all_tasks_blocked(SETTLE_S)
                lines = [line + b"\n" for line in bytes(received).split(b"\n") if line]
                received.clear()
                events, router.events = router.events, []
                outcome: Meaning = {
                    "sent": [packed(line) for line in lines],
                    "told": events,
                    "limits": limits,
                }
                outcome["counts"] = dict(router.recorder.counts)
                outputs.append({name: value for name, value in outcome.items() if value})
            nursery.cancel_scope.cancel()
        return outputs

    with temporary_folder() as folder, mock.patch("time.monotonic", time):
        return trio.run(play, folder, clock=time.trio)


def _router_script() -> list[Meaning]:
    steps: list[Meaning] = []
    now = 100.0

    def do(what: str, after: float = 0.0, **more: Any) -> None:
        nonlocal now
        now += after
        steps.append({"at_s": now, "do": what, **more})

    def answer(*words: dict[str, Any], **more: Any) -> None:
        do("answer", bytes=packed(b"".join(json.dumps(word).encode() + b"\n" for word in words)), **more)

    def want(node: int = 161, **changes: Any) -> None:
        figures = {"work": 20.0, "fleet_limit": 1000.0, "limit_growth": 12.5, "share": 0.5, "of_zone": True}
        do("want lease", node=node, **{**figures, **changes})

    def tokens(count: int, limit: str = "") -> dict[str, Any]:
        path = ["edge-1", "pictures", "10.0.0.9"]
        return {"is": "tokens", "path": path, "count": count, "limit": limit}

    do("connect")
    want()  # before any message of the lessor
    answer({"is": "terms", "own": 0.3, "retries": 0.1, "rest": 0.0})
    do("time passes", 0.5)  # the cooldown of the lease file is over
    want()
    want()  # while a request is pending
    want(node=-1, work=1.0, fleet_limit=40.0, limit_growth=0.0, of_zone=False)
    answer({"is": "grant", "number": 1, "node": 161, "work": 44.5}, {"is": "none", "number": 2})
    answer({"is": "grant", "number": 1, "node": 161, "work": 44.5})  # twice
    want(node=-1, work=1.0, fleet_limit=40.0, limit_growth=0.0, of_zone=False)
    do("lease expired", number=1, unspent=12.25)
    do("time passes", 0.375)
    answer({"is": "grant", "number": 3, "node": -1, "work": 2.0})  # late
    do("requests", of="pictures", client="10.0.0.9", count=4)
    do("time passes", 0.0625)
    answer(tokens(3, "edge-1/pictures"))
    do("requests", of="pictures", client="10.0.0.9", count=6)
    do("time passes", 0.0625)
    answer(tokens(0, "edge-1"))
    do("requests", of="pictures", client="10.0.0.9", count=2)
    do("own quota", scale=0.5)
    answer({"is": "terms", "own": 7.0, "retries": 0.1, "rest": 0.25})
    do("time passes", 0.25)
    do("reconfigure", routers=8)
    do("time passes", 0.0625)
    answer({"is": "terms", "own": 0.3, "retries": 0.1, "rest": 0.0})
    want(node=162)
    want(node=163, limit_growth="inf")
    answer({"is": "wrong", "why": "n is here already"})
    do("time passes", 0.0625)  # too soon to connect again: the backoff doubles
    do("time passes", 0.0625)
    answer({"is": "grant"})
    do("time passes", 0.25)
    do("close")
    want(node=164)
    do("time passes", 0.5)
    return steps


CASES = (
    Replay("lease-lessor", _lessor_script, _play_lessor),
    Replay("lease-router", _router_script, _play_router),
)
