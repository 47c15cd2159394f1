"""Golden cases of the fleet area: the lease protocol between the supervisor's lessor and a router."""

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
from golden_fleet_files import UNIX_TIME_S, temporary_folder
from golden_fleet_lease_file import PLAN
from golden_folder import Meaning, Replay, bytes_from_json, bytes_to_json

from stonecove.exchange import ClientRequest
from stonecove.fleet.lender import LEASE_SOCKET_NAME, LessorServer
from stonecove.operator_config.reader import read_text
from stonecove.routing.actions import RequestLease, ReturnLease
from stonecove.routing.events import LeaseGranted, LeaseTerms
from stonecove.runtime.clock import Clock
from stonecove.runtime.unix import bind_private, serve_connections
from stonecove.server.leases import LeaseClient, LeaseFile

SETTLE_S = 0.01  # time without activity after which a step counts as completed
OPERATOR_FILE = """
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


class ManualClock:
    """A monotonic clock that only advances when set, for the program and for trio."""

    def __init__(self, start_s: float) -> None:
        self.now = start_s
        self.trio_clock = trio.testing.MockClock()

    def __call__(self) -> float:
        """Return the current time."""
        return self.now

    def set(self, now: float) -> None:
        """Advance the clock to `now`."""
        self.trio_clock.jump(now - self.now)
        self.now = now


def _receive(sock: socket.socket) -> tuple[bytes, bool]:
    """Return the bytes received, and whether the connection was closed."""
    data = b""
    try:
        while chunk := sock.recv(65_536):
            data += chunk
    except BlockingIOError:
        return data, False
    except ConnectionResetError:
        pass
    return data, True


# -- the lessor --


def _play_lessor(steps: list[Meaning]) -> list[Any]:
    monotonic = ManualClock(100.0)

    async def play(folder: Path) -> list[Any]:
        fleet = read_text(OPERATOR_FILE, "fleet.cue").operator.fleet
        assert fleet is not None
        outputs: list[Any] = []
        connections: dict[str, socket.socket] = {}
        async with trio.open_nursery() as nursery:
            lessor = LessorServer(fleet, folder)
            await nursery.start(lessor.run)
            permissions = (folder / "leases.sock").stat().st_mode & 0o777
            assert (LEASE_SOCKET_NAME, permissions) == ("leases.sock", 0o600)
            for step in steps:
                monotonic.set(step["at_s"])
                if step["do"] == "status":
                    outputs.append({"status": lessor.lending.status(monotonic.now)})
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
                    sock.sendall(bytes_from_json(step["bytes"]))
                await trio.testing.wait_all_tasks_blocked(SETTLE_S)
                received_bytes, closed = _receive(sock) if step["do"] == "send" else (b"", False)
                if step.get("any_reason"):
                    received_bytes = re.sub(rb'"why": ".*"', b'"why": "<text>"', received_bytes)
                outputs.append({"received": bytes_to_json(received_bytes), "closed": closed})
            for sock in connections.values():
                sock.close()
            nursery.cancel_scope.cancel()
        return outputs

    with temporary_folder() as folder, mock.patch("time.monotonic", monotonic):
        return trio.run(play, folder, clock=monotonic.trio_clock)


class _LessorScript:
    """Builds the steps of a script for the lessor."""

    def __init__(self) -> None:
        self.steps: list[Meaning] = []
        self.now = 100.0

    def send_messages(self, connection: str, *messages: dict[str, Any], **fields: Any) -> None:
        """Add a step that sends messages, one per line."""
        lines = b"".join(json.dumps(message).encode() + b"\n" for message in messages)
        self.send_bytes(connection, lines, **fields)

    def send_bytes(self, connection: str, data: bytes, **fields: Any) -> None:
        """Add a step that sends bytes; `any_reason` masks a rejection text that comes from Python itself."""
        self.add_step("send", connection=connection, bytes=bytes_to_json(data), **fields)

    def add_step(self, action: str, **fields: Any) -> None:
        """Add a step."""
        self.steps.append({"at_s": self.now, "do": action, **fields})


def _hello_message(name: str, start_time_s: float, **changes: Any) -> dict[str, Any]:
    parts = {"zone:1": 0.5, "fleet": 0.5}
    return {"do": "hello", "name": name, "window": 3.0, "parts": parts, "born": start_time_s, **changes}


def _lease_request_message(number: int, work: float = 20.0, **changes: Any) -> dict[str, Any]:
    pool_fields = {"pool": "zone:1", "rule": 1000.0, "rises": 10.0}
    return {"do": "ask", "number": number, "node": 161, "work": work, **pool_fields, **changes}


def _take_message(count: int, *path: str) -> dict[str, Any]:
    return {"do": "take", "path": list(path or ("edge-1", "pictures", "10.0.0.9")), "count": count}


def _lessor_script() -> list[Meaning]:
    script = _LessorScript()
    script.add_step("lease file", cooldown_s=0.0)
    script.add_step("lease file", cooldown_s=1.5)
    script.send_messages("a", _hello_message("r-0", 99.0))
    script.send_messages("a", _lease_request_message(1))  # no grant until earlier grants have expired
    script.send_messages("b", _hello_message("r-1", 99.5))
    script.add_step("status")
    script.now = 104.0
    script.send_messages("a", _lease_request_message(2))
    script.send_messages("a", _lease_request_message(2))  # a repeated request gets the same lease
    script.send_messages(
        "b",
        _lease_request_message(1, 5.0, rule=800.0),
        _lease_request_message(2, 1.0, node=-1, pool="fleet", rule=50.0, rises=0.0),
    )
    script.send_messages("a", {"do": "back", "number": 2, "left": 5.5})
    script.send_messages("a", {"do": "back", "number": 2, "left": 5.5})
    script.send_messages("b", _lease_request_message(3, 900.0))  # more than available
    script.send_messages("a", _take_message(4))
    script.send_messages("a", _take_message(400, "edge-1", "confirm", "10.0.0.8"))
    script.send_messages("b", _take_message(4), _take_message(1, "hub", "pictures", ""))
    script.add_step("status")
    encoded_request = json.dumps(_lease_request_message(3, 1.0)).encode() + b"\n"
    script.send_bytes("a", encoded_request[:20])
    script.send_bytes("a", encoded_request[20:] + encoded_request[:5])
    script.send_bytes("a", encoded_request[5:])
    script.now = 106.0
    script.add_step("disconnect", connection="a")
    # Restarted: no unleased quota during the cooldown.
    script.send_messages("a", _hello_message("r-0", 105.5))
    script.now = 110.5
    script.send_messages("a", _lease_request_message(1, 2.0))
    script.add_step("disconnect", connection="a")
    script.send_messages("a", _hello_message("r-0", 105.5))  # the same process
    script.add_step("status")
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
        script.send_bytes(f"w{number}", data, **({"any_reason": True} if number < 3 else {}))
    rejected: list[list[dict[str, Any]]] = [
        [_lease_request_message(1)],
        [_hello_message("n", 100.0), _hello_message("n", 100.0)],
        [_hello_message("n", 100.0, window=3.5)],
        [_hello_message("n", 100.0, parts={"fleet": 1.5})],
        [_hello_message("n", 100.0, parts={"fleet": 0})],
        [_hello_message("n", 100.0, parts=[])],
        [_hello_message("n", 100.0), _lease_request_message(1, pool="zone:2")],
        [_hello_message("n", 100.0), _lease_request_message(1, 0.0)],
        [_hello_message("n", 100.0), _lease_request_message(1, rule=-1.0)],
        [_hello_message("n", 100.0), _lease_request_message(1, rises=-1.0)],
        [_hello_message("n", 100.0), {"do": "ask", "number": 1}],
        [_hello_message("n", 100.0), _take_message(0)],
        [_hello_message("n", 100.0), {"do": "take", "path": ["a"], "count": 1}],
        [_hello_message("n", 100.0), {"do": "back", "number": "x", "left": 0}],
    ]
    for number, messages in enumerate(rejected):
        script.send_messages(
            f"u{number}", *messages, **({"any_reason": True} if number in (5, 12, 13) else {})
        )
    script.add_step("status")
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


def _lease_request(step: Meaning) -> RequestLease:
    limit_growth = float(step["limit_growth"])  # JSON has no infinity: it is written as "inf"
    return RequestLease(
        step["node"], step["work"], step["fleet_limit"], limit_growth, step["share"], step["of_zone"]
    )


class _StubRouter:
    """The part of a router's interface that the lease client uses."""

    def __init__(self) -> None:
        self.events: list[Meaning] = []
        self.recorder = SimpleNamespace(counts=Counter[str]())
        self.shared_limit_check: Callable[[ClientRequest], str] | None = None
        self.actions: dict[type, Callable[[Any], None]] = {}

    def set_action_handler(self, action: type, handler: Callable[[Any], None]) -> None:
        """Register the handler of an action."""
        self.actions[action] = handler

    def post(self, event: object) -> None:
        """Record an event."""
        self.events.append(describe_event(event))


def _play_router(steps: list[Meaning]) -> list[Any]:
    monotonic = ManualClock(100.0)

    async def play(folder: Path) -> list[Any]:
        outputs: list[Any] = []
        connections: list[trio.SocketStream] = []
        received = bytearray()

        async def record_messages(client: trio.socket.SocketType) -> None:
            stream = trio.SocketStream(client)
            connections.append(stream)
            async with stream:
                async for data in stream:
                    received.extend(data)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connections, bind_private(str(folder / "leases.sock")), record_messages)
            router = _StubRouter()
            settings = make_settings(zones=("hub", "edge-1", "edge-2"))
            lease_file = LeaseFile(str(folder / "leases.sock"), 3.0, 0.25, 0.125, 0.5, PLAN, 0.25)
            clock = Clock(lambda: UNIX_TIME_S + monotonic.now - 100.0)
            leases = LeaseClient(lease_file, "r-0", settings, cast(Any, router), clock, nursery.start_soon)
            leases.start()
            for step in steps:
                monotonic.set(step["at_s"])
                limits: list[str] = []
                match step["do"]:
                    case "answer":
                        assert connections[-1].socket.fileno() >= 0, f"no connection at {step}"
                        await connections[-1].send_all(bytes_from_json(step["bytes"]))
                    case "want lease":
                        router.actions[RequestLease](_lease_request(step))
                    case "lease expired":
                        router.actions[ReturnLease](ReturnLease(step["number"], step["unspent"]))
                    case "requests":
                        assert router.shared_limit_check is not None
                        client_request = cast(Any, SimpleNamespace(cls=step["of"], client=step["client"]))
                        limits = [router.shared_limit_check(client_request) for _ in range(step["count"])]
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
                    "sent": [bytes_to_json(line) for line in lines],
                    "told": events,
                    "limits": limits,
                }
                outcome["counts"] = dict(router.recorder.counts)
                outputs.append({name: value for name, value in outcome.items() if value})
            nursery.cancel_scope.cancel()
        return outputs

    with temporary_folder() as folder, mock.patch("time.monotonic", monotonic):
        return trio.run(play, folder, clock=monotonic.trio_clock)


def _router_script() -> list[Meaning]:
    steps: list[Meaning] = []
    now = 100.0

    def add_step(action: str, after_s: float = 0.0, **fields: Any) -> None:
        nonlocal now
        now += after_s
        steps.append({"at_s": now, "do": action, **fields})

    def send_messages(*messages: dict[str, Any], **fields: Any) -> None:
        add_step(
            "answer",
            bytes=bytes_to_json(b"".join(json.dumps(message).encode() + b"\n" for message in messages)),
            **fields,
        )

    def want_lease(node: int = 161, **changes: Any) -> None:
        defaults = {"work": 20.0, "fleet_limit": 1000.0, "limit_growth": 12.5, "share": 0.5, "of_zone": True}
        add_step("want lease", node=node, **{**defaults, **changes})

    def tokens_message(count: int, limit: str = "") -> dict[str, Any]:
        path = ["edge-1", "pictures", "10.0.0.9"]
        return {"is": "tokens", "path": path, "count": count, "limit": limit}

    add_step("connect")
    want_lease()  # before any message of the lessor
    send_messages({"is": "terms", "own": 0.3, "retries": 0.1, "rest": 0.0})
    add_step("time passes", 0.5)  # the cooldown of the lease file is over
    want_lease()
    want_lease()  # while a request is pending
    want_lease(node=-1, work=1.0, fleet_limit=40.0, limit_growth=0.0, of_zone=False)
    send_messages({"is": "grant", "number": 1, "node": 161, "work": 44.5}, {"is": "none", "number": 2})
    send_messages({"is": "grant", "number": 1, "node": 161, "work": 44.5})  # a duplicate
    want_lease(node=-1, work=1.0, fleet_limit=40.0, limit_growth=0.0, of_zone=False)
    add_step("lease expired", number=1, unspent=12.25)
    add_step("time passes", 0.375)
    send_messages({"is": "grant", "number": 3, "node": -1, "work": 2.0})  # too late
    add_step("requests", of="pictures", client="10.0.0.9", count=4)
    add_step("time passes", 0.0625)
    send_messages(tokens_message(3, "edge-1/pictures"))
    add_step("requests", of="pictures", client="10.0.0.9", count=6)
    add_step("time passes", 0.0625)
    send_messages(tokens_message(0, "edge-1"))
    add_step("requests", of="pictures", client="10.0.0.9", count=2)
    add_step("own quota", scale=0.5)
    send_messages({"is": "terms", "own": 7.0, "retries": 0.1, "rest": 0.25})
    add_step("time passes", 0.25)
    add_step("reconfigure", routers=8)
    add_step("time passes", 0.0625)
    send_messages({"is": "terms", "own": 0.3, "retries": 0.1, "rest": 0.0})
    want_lease(node=162)
    want_lease(node=163, limit_growth="inf")
    send_messages({"is": "wrong", "why": "n is here already"})
    add_step("time passes", 0.0625)  # too soon to connect again: the backoff doubles
    add_step("time passes", 0.0625)
    send_messages({"is": "grant"})
    add_step("time passes", 0.25)
    add_step("close")
    want_lease(node=164)
    add_step("time passes", 0.5)
    return steps


CASES = (
    Replay("lease-lessor", _lessor_script, _play_lessor),
    Replay("lease-router", _router_script, _play_router),
)
