"""Golden cases of the coordination area: whole sessions with ZooKeeper."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterable
from typing import Any

from golden_coordination_frames import (
    build_operation,
    children_field,
    connected_frame,
    create_request,
    data_field,
    describe_event,
    describe_result,
    event_frame,
    int_field,
    operation_request,
    reply_frame,
    stat_field,
    text_field,
)
from golden_folder import Meaning, Replay, bytes_from_json, bytes_to_json

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.node_watch import NodeWatch
from stonecove.protocols.zookeeper.registration import Registrar
from stonecove.protocols.zookeeper.session import (
    Down,
    Expired,
    Reply,
    Session,
    SessionConfig,
    SessionEvent,
    State,
    Up,
    Watched,
)
from stonecove.protocols.zookeeper.tree_watch import TreeWatch

SESSION_STATES = {
    "waiting": State.WAITING,
    "connecting": State.CONNECTING,
    "handshake": State.GREETING,
    "connected": State.CONNECTED,
    "credentials_rejected": State.REFUSED,
    "closed": State.CLOSED,
}
DISCONNECT_REASONS = {
    "silent": "server silent",
    "not up in time": "connect timeout",
    "read-only": "read-only server",
    "closed by us": "closed by the client",
    "the session has expired": "session expired",
    "the session has moved": "session moved",
    "our credentials are refused": "credentials rejected",
    "moved to another ensemble": "other ensemble",
    "garbled": "malformed",
    "behind": "server behind",
}
SERVERS = (("10.0.0.1", 2181), ("10.0.0.2", 2181), ("10.0.0.3", 2181))
CONFIG = SessionConfig(10.0, 1.0, (0.05, 5.0), 0.5, (("digest", b"router:secret"),))


def _disconnect_reason(error_text: str) -> str:
    return next(
        (reason for text, reason in DISCONNECT_REASONS.items() if error_text.startswith(text)), error_text
    )


def describe_session_event(event: SessionEvent) -> Meaning:
    """Return the meaning of an event that a session reports to its owner."""
    if isinstance(event, Up):
        return {"event": "connected", "session": event.session, "resumed": event.resumed}
    if isinstance(event, Down):
        return {"event": "disconnected", "reason": _disconnect_reason(event.reason)}
    if isinstance(event, Expired):
        return {"event": "session_expired", "session": event.session}
    if isinstance(event, Watched):
        return {"event": "watch", **describe_event(event.event)}
    return {
        "event": "reply",
        "token": event.token,
        "error": int(event.error),
        "zxid": event.zxid,
        "result": describe_result(event.result),
    }


def _split_frames(data: bytes) -> list[str]:
    frames = []
    while data:
        end = 4 + struct.unpack_from(">i", data)[0]
        frames.append(data[:end].hex())
        data = data[end:]
    return frames


class ScriptedClient:
    """A session without I/O and its event listeners, driven by the steps of a script.

    It dispatches events as the router does: a reply to the sender of its request, any other event to all
    listeners in the order in which they were added.
    """

    def __init__(self) -> None:
        self.session = Session(SERVERS, 7, CONFIG)
        self.now = 0.0
        self.pending_reports: list[Meaning] = []
        self.event_listeners: list[Callable[[SessionEvent], None]] = []
        self.commands: dict[str, Callable[[Meaning], None]] = {}
        self._callbacks: dict[int, Callable[[Reply], None]] = {}
        self._last_token = 1000

    def send_request(self, request: zk.Request, callback: Callable[[Reply], None]) -> None:
        """Send a request whose reply is passed to `callback`."""
        self._last_token += 1
        self._callbacks[self._last_token] = callback
        self.session.send_request(self._last_token, request, self.now)

    def run_step(self, step: Meaning) -> Meaning:
        """Run one step, and return its outcome."""
        self.now, session = step["at_s"], self.session
        match step["do"]:
            case "connecting":
                session.connecting(self.now)
            case "opened":
                session.opened(self.now)
            case "received":
                session.received(bytes_from_json(step["bytes"]), self.now)
            case "lost":
                session.lost(step["reason"], self.now)
            case "time_passes":
                session.tick(self.now)
            case "close":
                session.close(self.now)
            case "move":
                session.move(tuple((host, port) for host, port in step["servers"]), self.now)
            case "ask":
                session.send_request(step["token"], build_operation(step["request"]), self.now)
            case command:
                self.commands[command](step)
        return self._outcome(list(self._dispatch_events()))

    def _dispatch_events(self) -> Iterable[Meaning]:
        for event in self.session.events():
            if isinstance(event, Reply) and event.token in self._callbacks:
                self._callbacks.pop(event.token)(event)
                continue
            yield describe_session_event(event)
            for listener in self.event_listeners:
                listener(event)

    def _outcome(self, events: list[Meaning]) -> Meaning:
        plan = self.session.plan(self.now)
        reports = list(self.pending_reports)
        self.pending_reports.clear()
        state = next(name for name, candidate in SESSION_STATES.items() if candidate is self.session.state)
        outcome: Meaning = {
            "state": state,
            "connect_to": None if plan.connect is None else list(plan.connect),
            "next_due_s": None if math.isinf(plan.until) else round(plan.until, 6),
            "sent": _split_frames(self.session.data_to_send()),
            "events": events,
            "told": reports,
        }
        return {name: value for name, value in outcome.items() if value not in ([], None)}


class ScriptBuilder:
    """Builds the steps of a script; each reply has the xid of the oldest unanswered request."""

    def __init__(self) -> None:
        self.steps: list[Meaning] = []
        self._now = 0.0
        self._xid = 0
        self.zxid = 0x100

    def add_step(self, action: str, after_s: float = 0.01, **fields: Any) -> None:
        """Add a step."""
        self._now = round(self._now + after_s, 6)
        self.steps.append({"at_s": self._now, "do": action, **fields})

    def receive(self, *frames: bytes, after_s: float = 0.01) -> None:
        """Add a step that receives bytes from the server."""
        self.add_step("received", after_s, bytes=bytes_to_json(b"".join(frames)))

    def connect(self, session: int = 0xABCDEF, after_s: float = 0.01) -> None:
        """Add steps that connect and in which the server accepts the session."""
        self.add_step("connecting", after_s)
        self.add_step("opened")
        self.receive(connected_frame(9_000, session))
        self.receive(reply_frame(-4, self.zxid))

    def reply(self, error: int = 0, body: bytes = b"") -> None:
        """Add a reply to the oldest unanswered request."""
        self._xid += 1
        self.zxid += 1
        self.receive(reply_frame(self._xid, self.zxid, error, body))

    def lose_connection(self, requests: int = 0, reason: str = "reset") -> None:
        """Add the loss of the connection with that many requests unanswered."""
        self._xid += requests
        self.add_step("lost", reason=reason)

    def send_request(self, token: int, request: Meaning) -> None:
        """Add a step that sends a request."""
        self.add_step("ask", token=token, request=request)


def _play_session(steps: list[Meaning]) -> list[Any]:
    client = ScriptedClient()
    return [client.run_step(step) for step in steps]


def _session_script() -> list[Meaning]:
    script = ScriptBuilder()
    script.add_step("connecting")
    script.add_step("opened")
    connected = connected_frame(9_000, 0xABCDEF)
    script.receive(connected[:7])
    script.receive(connected[7:])
    script.receive(reply_frame(-4, 0x100))
    requests: list[tuple[Meaning, int, bytes]] = [
        (operation_request("get_data", "/a/b", watch=True), 0, data_field(b"one", mzxid=0x80)),
        (operation_request("exists", "/a/none", watch=True), -101, b""),
        (operation_request("exists", "/a/c", watch=True), 0, stat_field()),
        (operation_request("get_children2", "/a", watch=True), 0, children_field("b", "c")),
        (operation_request("add_watch", "/r", mode="persistent_recursive"), 0, b""),
        (operation_request("add_watch", "/p", mode="persistent"), 0, b""),
        (create_request("/a/e", b"{}", "ephemeral"), 0, text_field("/a/e")),
        (operation_request("set_data", "/a/e", data=bytes_to_json(b"{1}"), version=4), -103, b""),
        (operation_request("sync", "/a"), 0, text_field("/a")),
    ]
    for token, (request, _, _) in enumerate(requests):
        script.send_request(token, request)
    for _, error, body in requests:
        script.reply(error, body)
    script.receive(
        event_frame(3, "/a/b"), event_frame(1, "/a/none"), event_frame(4, "/a"), event_frame(2, "/r/x")
    )
    script.send_request(20, operation_request("get_data", "/a/b", watch=True))
    script.reply(0, data_field(b"two", mzxid=0x81))
    script.add_step("time_passes", 3.1)
    script.receive(reply_frame(-2, script.zxid))
    script.send_request(21, operation_request("get_data", "/a/d", watch=False))
    script.lose_connection(1)
    script.send_request(22, operation_request("get_data", "/a/d", watch=False))
    script.add_step("connecting", 0.1)
    script.add_step("opened")
    script.receive(connected_frame(9_000, 0xABCDEF))
    script.receive(reply_frame(-4, script.zxid), reply_frame(-8, script.zxid))
    script.send_request(23, operation_request("get_children2", "/a", watch=True))
    script.reply(0, children_field("b"))
    script.add_step("close")
    script.reply()
    return script.steps


def _failure_script() -> list[Meaning]:
    script = ScriptBuilder()
    script.add_step("connecting")
    script.add_step("time_passes", 1.5)  # the connection is never established
    script.add_step("connecting", 0.1)
    script.add_step("opened")
    script.receive(connected_frame(9_000, 0xABCDEF, True))  # no leader
    script.add_step("connecting", 0.1)
    script.add_step("opened")
    script.receive(int_field(-1))  # malformed
    script.add_step("connecting", 0.1)
    script.add_step("lost", reason="refused")  # the backoff has grown
    script.add_step("connecting", 0.5)
    script.add_step("opened")
    script.receive(connected_frame(9_000, 0xABCDEF))
    script.receive(reply_frame(-4, 0x200))
    script.receive(reply_frame(-2, 0x1FF))  # older than its previous zxid
    script.connect(after_s=0.1)
    script.steps[-1]["bytes"] = bytes_to_json(reply_frame(-4, 0x200))
    script.send_request(1, operation_request("get_data", "/a", watch=True))
    script.receive(reply_frame(1, 0x201, -118))  # the session has moved
    script.add_step("connecting", 0.1)
    script.add_step("opened")
    script.receive(connected_frame(9_000, 0xABCDEF))
    script.receive(reply_frame(-4, 0x202))
    script.add_step("time_passes", 7.0)  # the server is silent
    script.add_step("connecting", 0.1)
    script.add_step("opened")
    script.receive(connected_frame(0, 0))  # the session has expired
    script.add_step("connecting", 0.1)
    script.add_step("opened")
    script.receive(connected_frame(9_000, 0xABCDF0))
    script.receive(reply_frame(-4, 0x203, -115))  # the credentials are rejected
    script.add_step("connecting", 5.1)
    script.add_step("opened")
    script.receive(connected_frame(9_000, 0xABCDF0))
    script.receive(reply_frame(-4, 0x204))
    script.send_request(2, operation_request("get_data", "/a", watch=False))
    script.receive(reply_frame(9, 0x205))  # a reply to something else
    script.add_step("move", servers=[["10.1.0.1", 2181], ["10.1.0.2", 2181]])
    script.add_step("connecting")
    script.add_step("opened")
    script.receive(connected_frame(9_000, 0x123))
    script.send_request(3, operation_request("get_data", "/a", watch=False))
    script.receive(reply_frame(3, 0x10, -112))  # a reply reports that the session has expired
    script.add_step("close")
    return script.steps


SESSION = Replay("zookeeper-session", _session_script, _play_session)
SESSION_FAILURES = Replay("zookeeper-session-trouble", _failure_script, _play_session)

# -- a router's own node, and a single watched node --

OWN_RECORD, OTHER_RECORD = (
    b'{"name": "r1", "listen": "10.0.0.4:6565"}',
    b'{"name": "r1", "listen": "10.0.0.5:6565"}',
)


class _NodeRecorder:
    """Records the reported state of a watched node."""

    def __init__(self, report: Callable[[Meaning], None]) -> None:
        self._report = report

    def put(self, data: bytes, stat: zk.Stat) -> None:
        self._report({"node": "present", "data": bytes_to_json(data), "mzxid": stat.mzxid})

    def absent(self) -> None:
        self._report({"node": "absent"})

    def unreadable(self, error: zk.Err) -> None:
        self._report({"node": "unreadable", "error": int(error)})


def _play_presence(steps: list[Meaning]) -> list[Any]:
    client = ScriptedClient()

    def report(meaning: Meaning) -> None:
        client.pending_reports.append(meaning)

    registrar = Registrar(
        "/fleet/routers",
        "r1",
        OWN_RECORD,
        client.send_request,
        lambda: client.session.session,
        lambda data: data == OWN_RECORD,
        lambda event, **fields: report({"alarm": "name not registered"}),
    )
    client.event_listeners.append(registrar.feed)

    def change_record(step: Meaning) -> None:
        registrar.update_record(bytes_from_json(step["record"]), lambda: report({"record": "stored"}))

    client.commands = {
        "change_record": change_record,
        "retry_name": lambda step: registrar.retry_name(),
        "node_vanished": lambda step: registrar.recreate_node(),
        "retire": lambda step: registrar.retire(),
    }
    return [client.run_step(step) for step in steps]


def _presence_script() -> list[Meaning]:
    script, exists, missing = ScriptBuilder(), -110, -101
    script.connect()
    script.reply(missing)  # the path is created from the root down
    script.reply(missing)
    script.reply(0, text_field("/fleet"))
    script.reply(missing)
    script.reply(0, text_field("/fleet/routers"))
    script.reply(0, text_field("/fleet/routers/r1"))
    script.add_step("change_record", record=bytes_to_json(b'{"state": "draining"}'))
    script.add_step("change_record", record=bytes_to_json(b'{"state": "left"}'))
    script.reply(0, stat_field(version=1))
    script.reply(0, stat_field(version=2))
    script.add_step("change_record", record=bytes_to_json(b'{"state": "left"}'))
    script.add_step("change_record", record=bytes_to_json(OWN_RECORD))
    script.reply(missing)  # the node is gone: created again
    script.reply(0, text_field("/fleet/routers/r1"))
    script.add_step("node_vanished")
    script.lose_connection(1)  # the create request, which gets no reply
    script.connect(after_s=0.1)
    script.reply(exists)
    script.reply(0, data_field(OWN_RECORD, owner=0xABCDEF))  # the create had succeeded
    script.lose_connection()
    script.add_step("connecting", 0.1)
    script.add_step("opened")
    script.receive(connected_frame(0, 0))
    script.connect(0xABCDF0, after_s=0.1)
    script.reply(exists)  # left by the process before the restart: deleted
    script.reply(0, data_field(OWN_RECORD, owner=0x77, version=3))
    script.reply()
    script.reply(0, text_field("/fleet/routers/r1"))
    script.add_step("node_vanished")
    script.reply(exists)  # owned by another router
    script.reply(0, data_field(OTHER_RECORD, owner=0x78, version=1))
    script.add_step("change_record", record=bytes_to_json(OTHER_RECORD))
    script.add_step("retry_name")
    script.reply(-102)  # not allowed
    script.add_step("retry_name")
    script.reply(0, text_field("/fleet/routers/r1"))
    script.add_step("retire")
    script.add_step("change_record", record=bytes_to_json(OWN_RECORD))
    return script.steps


def _play_node_watch(steps: list[Meaning]) -> list[Any]:
    client = ScriptedClient()
    watch = NodeWatch(
        "/configuration/target", client.send_request, _NodeRecorder(client.pending_reports.append)
    )
    client.event_listeners.append(watch.feed)
    return [client.run_step(step) for step in steps]


def _node_watch_script() -> list[Meaning]:
    script, path, missing = ScriptBuilder(), "/configuration/target", -101
    script.connect()
    script.reply(missing)
    script.reply(missing)
    script.receive(event_frame(1, path))
    script.reply(0, data_field(b"v1", mzxid=0x31))
    script.receive(event_frame(3, path), event_frame(3, "/configuration/other"))
    script.receive(event_frame(3, path))  # during a read
    script.reply(0, data_field(b"v2", mzxid=0x32))
    script.reply(0, data_field(b"v3", mzxid=0x33))
    script.receive(event_frame(2, path))
    script.reply(missing)
    script.reply(0, stat_field())  # created between the two requests
    script.reply(0, data_field(b"v4", mzxid=0x34))
    script.receive(event_frame(3, path))
    script.reply(-102)
    script.receive(event_frame(3, path))
    script.lose_connection(1)
    script.connect(after_s=0.1)
    script.reply(0, data_field(b"v5", mzxid=0x35))
    return script.steps


PRESENCE = Replay("zookeeper-presence", _presence_script, _play_presence)
NODE_WATCH = Replay("zookeeper-node-watch", _node_watch_script, _play_node_watch)

# -- all nodes below a path --


class _TreeRecorder:
    """Records the reported state of the nodes below a path."""

    def __init__(self, report: Callable[[Meaning], None]) -> None:
        self._report = report

    def put(self, name: str, data: bytes, stat: zk.Stat) -> None:
        self._report({"present": name, "data": bytes_to_json(data), "czxid": stat.czxid})

    def removed(self, names: Iterable[str]) -> None:
        self._report({"removed": sorted(names)})

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        self._report({"list_read": sorted(names), "after_sync": confirmed})

    def absent(self, confirmed: bool) -> None:
        self._report({"path": "absent", "after_sync": confirmed})


def _play_tree(recursive: bool) -> Callable[[list[Meaning]], list[Any]]:
    def play(steps: list[Meaning]) -> list[Any]:
        client = ScriptedClient()
        tree = TreeWatch(
            "/caches", client.send_request, _TreeRecorder(client.pending_reports.append), recursive
        )
        client.event_listeners.append(tree.feed)
        client.commands = {"confirm": lambda step: tree.confirm()}
        return [client.run_step(step) for step in steps]

    return play


def _tree_script(recursive: bool, watch_error: int = 0) -> list[Meaning]:
    script = ScriptBuilder()
    script.connect()
    if recursive:
        script.reply(watch_error)
    script.reply(0, children_field("n1", "n2", "n3"))
    script.reply(0, data_field(b"a1", czxid=0x11))
    script.reply(0, data_field(b"a2", czxid=0x12))
    script.reply(-101)  # already deleted
    script.receive(event_frame(4, "/caches"))
    script.reply(0, children_field("n1", "n4"))
    script.reply(0, data_field(b"a4", czxid=0x14))
    script.receive(event_frame(3, "/caches/n1"))
    script.reply(0, data_field(b"b1", czxid=0x11))
    script.receive(event_frame(2, "/caches/n4"))
    script.receive(event_frame(1, "/caches/n5"))
    script.reply(0, data_field(b"a5", czxid=0x15))
    script.receive(event_frame(3, "/caches/n1"))
    script.reply(0, data_field(b"c1", czxid=0x16))  # deleted and created again
    script.add_step("confirm")
    script.reply(0, text_field("/caches"))
    script.reply(0, children_field("n1", "n5"))
    script.receive(event_frame(3, "/caches/n1"))
    script.lose_connection(1)
    script.connect(after_s=0.1)
    script.reply(0, children_field("n1", "n5"))
    script.reply(0, data_field(b"d1", czxid=0x16))
    if recursive and not watch_error:  # missed events are not reported: all nodes are read again
        script.reply(0, data_field(b"d5", czxid=0x15))
    return script.steps


TREE_WATCHES = (
    Replay("zookeeper-tree", lambda: _tree_script(False), _play_tree(False)),
    Replay("zookeeper-tree-recursive", lambda: _tree_script(True), _play_tree(True)),
    Replay("zookeeper-tree-recursive-unknown", lambda: _tree_script(True, -6), _play_tree(True)),
)
CASES = (SESSION, SESSION_FAILURES, PRESENCE, NODE_WATCH, *TREE_WATCHES)
