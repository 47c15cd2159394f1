"""State machine of coordination sessions, endpoint lists and their merge.

It runs the router's own `Session`, `TreeWatch`, `Roster`, `EndpointMerger` and `Registrar`. Simulated are the
servers (a leader and a replica that may lag), the caches and the change log. Queued server frames are
received all at once or lost with the connection. Between any two of these steps a cache may vanish, return,
drain or take another cache's address, a session may expire, or the replica may fall behind.
"""

from __future__ import annotations

import marshal
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, NamedTuple

import ujson

from stonecove.discovery.merge import EndpointMerger, EndpointSource, RecordedClaim, merge_all_claims
from stonecove.discovery.records import TopologyNames, parse_member
from stonecove.discovery.roster import Claim, Roster, RosterRules
from stonecove.explore.machine import Violation
from stonecove.protocols.buffer import Buffer
from stonecove.protocols.zookeeper import jute
from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.jute import Reader
from stonecove.protocols.zookeeper.messages import Acl, Err, EventType, Op
from stonecove.protocols.zookeeper.registration import Registrar
from stonecove.protocols.zookeeper.session import (
    Expired,
    Reply,
    Session,
    SessionConfig,
    SessionEvent,
    State,
    Up,
)
from stonecove.protocols.zookeeper.tree_watch import TreeWatch
from stonecove.routing.endpoints import NodeId, NodeState
from stonecove.standins.zkdata import Leader, Replica, WriteRequest, ZkError, parent_of, watch_event

CACHES_PATH, ROUTERS_PATH, ROUTER_NAME = "/b", "/r", "me"
TOPOLOGY_NAMES = TopologyNames(("hub", "edge"), ("box", "parent", "origin"))
ROSTER_RULES = RosterRules(
    stale_after_ms=4000.0,
    linger_ms=300.0,
    mass_departure_share=0.5,
    mass_departure_min=1,
    mass_departure_window_ms=1000.0,
    max_returns=1,
    flap_window_ms=60_000.0,
    flap_hold_ms=200.0,
    max_flap_hold_ms=200.0,
)
CHANGE_LOG, ZOOKEEPER = EndpointSource("changelog", 0), EndpointSource("zookeeper", 1)
INITIAL_START_MS = 5.0  # `started` of the caches in the initial state
NODE_IDS = {"a": 1, "b": 2, "c": 3}
PORTS = {"a": 1, "b": 2, "c": 1}  # c reuses the address of a
ANYONE = (Acl(31, "world", "anyone"),)


class Bounds(NamedTuple):
    """Bounds of a scope: search depth, number of changes and faults, and kinds of steps."""

    name: str
    depth: int
    changes: int = 0
    faults: int = 0
    log: int = 0  # number of steps of the change log
    recursive: bool = False  # watch the list recursively
    register_self: bool = False  # the router also has an ephemeral node of its own
    kinds: tuple[str, ...] = ("vanish", "return", "restart", "drain", "undrain", "reuse", "spoil")
    fault_kinds: tuple[str, ...] = ("drop", "expire-ours", "refuse", "other")
    caches: tuple[str, ...] = ("a", "b")


SCOPES = (
    Bounds("zk-watch", 8, changes=2, faults=1, kinds=("vanish", "return", "drain", "undrain"), caches=("a",)),
    Bounds(
        "zk-behind",
        8,
        changes=1,
        faults=2,
        kinds=("drain", "vanish"),
        fault_kinds=("drop", "other"),
        caches=("a",),
    ),
    Bounds(
        "zk-recursive",
        8,
        changes=2,
        faults=1,
        recursive=True,
        kinds=("vanish", "return", "drain"),
        caches=("a",),
    ),
    Bounds("zk-mass", 8, changes=2, faults=1, kinds=("vanish",), fault_kinds=("drop",)),
    Bounds("zk-return", 9, changes=4, kinds=("vanish", "return", "restart", "reuse", "spoil"), caches=("a",)),
    Bounds("zk-flap", 9, changes=4, kinds=("vanish", "return"), caches=("a",)),
    Bounds(
        "zk-merge",
        7,
        changes=2,
        log=2,
        kinds=("vanish", "return", "drain", "undrain", "reuse"),
        caches=("a",),
    ),
    Bounds("zk-say", 8, faults=1, log=3, fault_kinds=("drop",), caches=("a",)),
    Bounds(
        "zk-own",
        10,
        changes=1,
        faults=2,
        register_self=True,
        kinds=("state",),
        fault_kinds=("drop", "expire-ours", "other"),
        caches=(),
    ),
)


def encode_record(name: str, started: float, state: str = "up") -> bytes:
    """Return the registration record of a cache as JSON."""
    return ujson.dumps(
        {
            "id": NODE_IDS[name],
            "address": f"127.0.0.1:{PORTS[name]}",
            "zone": "edge",
            "kind": "box",
            "started": started,
            "state": state,
        }
    ).encode()


class Link:
    """The current client connection, as the servers see it."""

    def __init__(self, server: int) -> None:
        """Accept a connection to server number `server`."""
        self.server = server
        self.requests: deque[bytes] = deque()
        # Each frame with a summary of its content for the checks.
        self.frames: deque[tuple[bytes, tuple[Any, ...]]] = deque()
        self.handshake_done = False

    def fire(self, kind: EventType, path: str) -> None:
        """Queue a watch event."""
        self.frames.append((watch_event(kind, path), ("event", int(kind), path)))


class Servers:
    """An ensemble of two: server 0 is always up to date, server 1 applies transactions in separate steps."""

    def __init__(self) -> None:
        """Start both servers without nodes or sessions."""
        self.leader = Leader()
        self.replicas = (Replica(), Replica())
        self.sessions: set[int] = set()
        self.ended_sessions: set[int] = set()
        self.next_session = 100
        self.link: Link | None = None
        self.session = 0  # session id of the current connection
        self._path = ""  # path of the request being processed

    def commit(self, append_transaction: Callable[[], object]) -> None:
        """Commit a transaction; server 0 applies it at once."""
        append_transaction()
        self.replicas[0].apply(self.leader.log[-1])

    def write(self, request: WriteRequest, session: int, now: float) -> None:
        """Commit one write of a session; raise ZkError if it is invalid."""
        self.commit(lambda: self.leader.write([request], session, [], int(now)))

    def end(self, session: int, now: float) -> None:
        """End a session and delete its ephemeral nodes."""
        self.sessions.discard(session)
        self.commit(lambda: self.leader.end_session(session, int(now)))

    def is_lagging(self) -> bool:
        """Return whether server 1 has transactions left to apply."""
        return self.replicas[1].applied < self.leader.zxid

    def catch_up(self) -> None:
        """Apply one more transaction on server 1."""
        self.replicas[1].apply(self.leader.log[self.replicas[1].applied])

    def drop(self) -> None:
        """Drop the connection; requests and frames in flight are lost."""
        if self.link is not None:
            for replica in self.replicas:
                replica.watchers.drop(self.link.fire)
        self.link = None

    def serve(self, payload: bytes, now: float) -> bool:
        """Process one request; return False if the server closes the connection instead."""
        link = self.link
        assert link is not None
        replica, reader = self.replicas[link.server], Reader(payload)
        if not link.handshake_done:
            return self._accept_handshake(link, reader, replica)
        xid, op = reader.int_(), Op(reader.int_())
        if op is Op.CLOSE_SESSION:
            return False
        try:
            body, content = self._execute(op, reader, link, replica, now)
            error = Err.OK
        except ZkError as zk_error:
            error, body, content = zk_error.code, b"", ("error", int(zk_error.code), op.name, self._path)
        payload = jute.int_(xid) + jute.long(replica.applied) + jute.int_(error) + body
        link.frames.append((payload, content))
        return True

    def _accept_handshake(self, link: Link, reader: Reader, replica: Replica) -> bool:
        reader.int_()
        zxid, timeout, session = reader.long(), reader.int_(), reader.long()
        if zxid > replica.applied:
            return False
        link.handshake_done = True
        if session == 0:
            self.next_session += 1
            session = self.next_session
            self.sessions.add(session)
        if session not in self.sessions:
            timeout = session = 0
        self.session = session
        payload = (
            jute.int_(0) + jute.int_(timeout) + jute.long(session) + jute.buffer(b"p") + jute.boolean(False)
        )
        link.frames.append((payload, ("greeting", session)))
        return True

    def _execute(
        self, op: Op, reader: Reader, link: Link, replica: Replica, now: float
    ) -> tuple[bytes, tuple[Any, ...]]:
        watchers = replica.watchers
        if op in (Op.SET_WATCHES, Op.SET_WATCHES2):
            zxid = reader.long()
            paths = [reader.strings() for _ in range(3 if op is Op.SET_WATCHES else 5)]
            paths += [[]] * (5 - len(paths))
            replica.restore_watches(zxid, link.fire, *paths)
            return b"", ("watches",)
        if op is Op.PING:
            return b"", ("ping",)
        path = self._path = reader.string()
        if op is Op.SYNC:
            while link.server == 1 and self.is_lagging():
                self.catch_up()
            return jute.string(path), ("sync",)
        if op is Op.GET_DATA:
            node = replica.node(path)
            if reader.boolean():
                watchers.add(watchers.data, path, link.fire)
            return jute.buffer(node.data) + node.stat().encode(), ("data", path, node.data, node.mzxid)
        if op is Op.GET_CHILDREN2:
            node = replica.node(path)
            if reader.boolean():
                watchers.add(watchers.child, path, link.fire)
            names = sorted(node.children)
            return jute.strings(names) + node.stat().encode(), ("list", path, tuple(names))
        if op is Op.ADD_WATCH:
            watchers.add(watchers.recursive, path, link.fire)
            return jute.int_(0), ("watch",)
        if op is Op.EXISTS:
            if reader.boolean():
                watchers.add(watchers.data, path, link.fire)
            return replica.node(path).stat().encode(), ("exists",)
        data = reader.buffer() or b"" if op in (Op.CREATE, Op.SET_DATA) else b""
        if op is Op.CREATE:
            reader.vector(lambda: (reader.int_(), reader.string(), reader.string()))
            request = WriteRequest("create", path, data, ANYONE, reader.int_())
        else:
            request = WriteRequest(
                "set" if op is Op.SET_DATA else "delete", path, data, version=reader.int_()
            )
        try:
            self.write(request, self.session, now)
        finally:  # a failed write is ordered among the others, too
            while link.server == 1 and self.is_lagging():
                self.catch_up()
        if op is Op.CREATE:
            return jute.string(path), ("made", path)
        return (replica.node(path).stat().encode() if op is Op.SET_DATA else b""), ("written", path)


class CoordinationMachine:
    """Everything between a coordination service and the merged endpoint list."""

    def __init__(self, bounds: Bounds) -> None:
        """Connect to the servers and read all nodes."""
        self.bounds = bounds
        self.violations: list[Violation] = []
        self.now = 1_000_000.0  # ms
        self.remaining = {"changes": bounds.changes, "faults": bounds.faults, "log": bounds.log}
        self.servers = Servers()
        self.owners: dict[str, int] = {}  # session by cache
        self.next_owner = 1
        self.session = Session((("s", 0), ("s", 1)), 1, SessionConfig(session_timeout_s=10.0, jitter=0.0))
        self.session._servers = [
            ("s", 0),
            ("s", 1),
        ]  # fixed order, so that server names are deterministic
        self.callbacks: dict[int, Callable[[Reply], None]] = {}
        self.token = 0
        self.merger = EndpointMerger((CHANGE_LOG, ZOOKEEPER))
        self.claims: dict[NodeId, dict[EndpointSource, RecordedClaim]] = {}
        self.claim_sequence = 0
        self.log_is_current = True
        self.roster = Roster(
            TOPOLOGY_NAMES, ROSTER_RULES, self._emit_claim, self._request_confirmation, self._log_alarm
        )
        self.tree = TreeWatch(CACHES_PATH, self._send_request, self, bounds.recursive)
        self.registrar = Registrar(
            ROUTERS_PATH,
            ROUTER_NAME,
            b"starting",
            self._send_request,
            self._session,
            self._is_own_record,
            self._log_alarm,
        )
        self.own_record = b"starting"
        # State of the checks, from the content of the received frames.
        self.reported: dict[str, tuple[str, int]] = {}  # by cache: up, draining, bad or gone, and the zxid
        self.max_zxid = 0  # highest zxid of the accepted replies
        self.departed: list[float] = []
        self.unconfirmed = False  # all departed within the window, and no list after a sync was received
        self.synced = False
        self.expected_start_ms: dict[str, float] = {}  # by cache: `started` that its claim must have
        self._initialize()

    # -- wiring --

    def _send_request(self, request: zk.Request, callback: Callable[[Reply], None]) -> None:
        self.token += 1
        self.callbacks[self.token] = callback
        self.session.send_request(self.token, request, self.now / 1000)

    def _session(self) -> int:
        return self.session.session

    @staticmethod
    def _is_own_record(data: bytes) -> bool:
        return True

    def _request_confirmation(self) -> None:
        self.tree.confirm()

    def _log_alarm(self, event: str, **fields: object) -> None:
        """Ignore alarms."""

    def _emit_claim(self, node_id: NodeId, claim: Claim) -> None:
        if self.roster.snapshot_received:
            self._record_claim(ZOOKEEPER, node_id, claim)

    def _record_claim(self, source: EndpointSource, node_id: NodeId, claim: Claim) -> None:
        self.claim_sequence += 1
        claims_by_source = self.claims.setdefault(node_id, {})
        if claim.member is None and source in claims_by_source:
            claim = claim._replace(member=claims_by_source[source].claim.member)
        claims_by_source[source] = RecordedClaim(claim, self.claim_sequence, self.now)
        self.merger.apply_claim(source, node_id, claim, self.now)

    def put(self, name: str, data: bytes, stat: zk.Stat) -> None:
        """Implement `TreeSink`."""
        self.roster.put(name, data, stat.czxid, float(stat.ctime), stat.ephemeral_owner, self.now)

    def removed(self, names: Iterable[str]) -> None:
        """Implement `TreeSink`."""
        self.roster.remove(names, self.now)

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """Implement `TreeSink`; the first list publishes all claims."""
        first = not self.roster.snapshot_received
        self.roster.apply_snapshot(names, confirmed, self.now)
        if first:
            for node_id, claim in self.roster.claims.items():
                self._record_claim(ZOOKEEPER, node_id, claim)

    def absent(self, confirmed: bool) -> None:
        """Implement `TreeSink`."""
        self.list_complete(frozenset(), confirmed)

    def report_violation(self, prop: str, why: str) -> None:
        """Record a violation of property `prop`."""
        self.violations.append(Violation(prop, why))

    # -- initial state: connected, all nodes read --

    def _initialize(self) -> None:
        for path in (CACHES_PATH, ROUTERS_PATH):
            self.servers.write(WriteRequest("create", path, b"", ANYONE), 0, self.now)
        for name in self.bounds.caches or ("a",):
            self._create_node(name, INITIAL_START_MS)
        while self.servers.is_lagging():
            self.servers.catch_up()
        self._run_until_idle()

    def _run_until_idle(self) -> None:
        for _ in range(60):
            step = self.default()
            if step is None:
                return
            self._step(step)

    def _create_node(self, name: str, started: float, state: str = "up") -> None:
        self.next_owner += 1
        self.owners[name] = self.next_owner
        self.servers.write(
            WriteRequest("create", f"{CACHES_PATH}/{name}", encode_record(name, started, state), ANYONE, 1),
            self.next_owner,
            self.now,
        )
        self.expected_start_ms[name] = started or float(int(self.now))

    # -- steps --

    def enabled(self) -> list[str]:
        """Return the steps that are possible in the current state."""
        link, steps = self.servers.link, []
        if self.session.state in (State.WAITING, State.REFUSED):
            steps.append("up")
            if self.remaining["faults"]:
                steps += [kind for kind in ("refuse", "other") if kind in self.bounds.fault_kinds]
        if link is not None:
            if link.requests:
                steps.append("serve")
            if len(link.requests) > 1:
                steps.append("serve-one")
            if link.frames:
                steps.append("hear")
            if self.remaining["faults"]:
                steps += [
                    kind
                    for kind in ("drop", "expire-ours")
                    if kind in self.bounds.fault_kinds
                    and (kind == "drop" or self.servers.session in self.servers.sessions)
                ]
        elif self.remaining["faults"] and "expire-ours" in self.bounds.fault_kinds and self.servers.sessions:
            steps.append("expire-ours")
        if self.servers.is_lagging():
            steps.append("catch-up")
        if self.remaining["changes"]:
            steps += self._changes()
        if self.remaining["log"]:
            steps += ["log-drain", "log-up", "log-gone", "log-silent" if self.log_is_current else "log-heard"]
        if self.roster.next_tick_ms() < float("inf"):
            steps.append("wait")
        return steps

    def _changes(self) -> list[str]:
        steps = ["state"] if "state" in self.bounds.kinds else []
        for name in (*self.bounds.caches, "c"):
            node = self.servers.leader.replica.nodes.get(f"{CACHES_PATH}/{name}")
            if name == "c":
                options = [] if node else ["reuse"]
            elif node is None:
                options = ["return", "restart"]
            else:
                options = ["vanish", "undrain" if b"draining" in node.data else "drain", "spoil"]
            steps += [f"{kind} {name}" for kind in options if kind in self.bounds.kinds]
        return steps

    def do(self, step: str) -> None:
        """Execute `step` and check the invariants."""
        action = step.partition(" ")[0]
        if action in ("refuse", "other", "drop", "expire-ours"):
            self.remaining["faults"] -= 1
        elif action.startswith("log-"):
            self.remaining["log"] -= 1
        elif action in self.bounds.kinds:
            self.remaining["changes"] -= 1
        self._step(step)
        self._check_invariants()

    def _step(self, step: str) -> None:
        action, _, name = step.partition(" ")
        getattr(self, "_on_" + action.replace("-", "_"))(*([name] if name else []))
        self._process_io()

    def _on_up(self) -> None:
        self.now = max(
            self.now,
            self.session.plan(self.now / 1000).until * 1000
            if not self.session.plan(self.now / 1000).connect
            else self.now,
        )
        self.session.connecting(self.now / 1000)
        assert self.session.server is not None
        self.servers.drop()
        self.servers.link = Link(self.session.server[1])
        self.session.opened(self.now / 1000)

    def _on_refuse(self) -> None:
        plan = self.session.plan(self.now / 1000)
        self.now = self.now if plan.connect else plan.until * 1000
        self.session.connecting(self.now / 1000)
        self.session.lost("refused", self.now / 1000)

    def _on_other(self) -> None:
        """Direct the next connection attempt to the other server."""
        self.session._next_server += 1

    def _on_serve(self) -> None:
        while self.servers.link is not None and self.servers.link.requests:
            self._on_serve_one()

    def _on_serve_one(self) -> None:
        link = self.servers.link
        assert link is not None
        if not self.servers.serve(link.requests.popleft(), self.now):
            self._on_drop()

    def _on_hear(self) -> None:
        link = self.servers.link
        assert link is not None
        while link.frames and self.servers.link is link:
            payload, content = link.frames.popleft()
            before = self.session.state
            self.session.received(len(payload).to_bytes(4, "big") + payload, self.now / 1000)
            if self.session.state in (State.GREETING, State.CONNECTED):
                self._record_received(content)
                self._check_zxid_order(payload, content)
            elif before is State.CONNECTED or before is State.GREETING:
                self.servers.drop()
            self._process_io()

    def _on_drop(self) -> None:
        self.servers.drop()
        self.session.lost("dropped", self.now / 1000)

    def _on_expire_ours(self) -> None:
        session_id = max(self.servers.sessions)
        self.servers.ended_sessions.add(session_id)
        self.servers.end(session_id, self.now)
        if self.servers.link is not None:
            self._on_drop()

    def _on_catch_up(self) -> None:
        self.servers.catch_up()

    def _on_vanish(self, name: str) -> None:
        self.servers.end(self.owners[name], self.now)

    def _on_return(self, name: str) -> None:
        self._create_node(name, INITIAL_START_MS)

    def _on_restart(self, name: str) -> None:
        self._create_node(name, 0.0)

    def _on_reuse(self, name: str) -> None:
        self._create_node(name, self.now)

    def _on_drain(self, name: str) -> None:
        self._write_state(name, "draining")

    def _on_undrain(self, name: str) -> None:
        self._write_state(name, "up")

    def _write_state(self, name: str, state: str) -> None:
        self.servers.write(
            WriteRequest(
                "set",
                f"{CACHES_PATH}/{name}",
                encode_record(
                    name,
                    self.expected_start_ms[name] if self.expected_start_ms[name] == INITIAL_START_MS else 0.0,
                    state,
                ),
            ),
            0,
            self.now,
        )

    def _on_spoil(self, name: str) -> None:
        self.servers.write(WriteRequest("set", f"{CACHES_PATH}/{name}", b"{"), 0, self.now)

    def _record_log_claim(self, state: NodeState) -> None:
        member = parse_member(encode_record("a", INITIAL_START_MS), TOPOLOGY_NAMES)
        self._record_claim(
            CHANGE_LOG,
            NODE_IDS["a"],
            Claim(state, member._replace(node=member.node._replace(state=state)), "log"),
        )

    def _on_log_drain(self) -> None:
        self._record_log_claim(NodeState.DRAINING)

    def _on_log_up(self) -> None:
        self._record_log_claim(NodeState.READY)

    def _on_log_gone(self) -> None:
        self._record_log_claim(NodeState.REMOVED)

    def _on_log_silent(self) -> None:
        self.log_is_current = False

    def _on_log_heard(self) -> None:
        self.log_is_current = True

    def _on_state(self) -> None:
        self.own_record = b"ready"
        self.registrar.update_record(b"ready")

    def _on_wait(self) -> None:
        self.now = max(self.now, self.roster.next_tick_ms())
        self.roster.tick(self.now)

    def _process_io(self) -> None:
        """Deliver session events and send pending requests, as the router does by itself."""
        for event in self.session.events():
            if isinstance(event, Reply):
                callback = self.callbacks.pop(event.token, None)
                if callback is None:
                    self.report_violation("reply-once", f"a second reply to request {event.token}")
                else:
                    callback(event)
            else:
                self._handle_event(event)
        data = self.session.data_to_send()
        if data and self.servers.link is not None:
            buffer = Buffer(1 << 21)
            buffer.feed(data)
            self.servers.link.requests.extend(zk.frames(buffer))
        self.merger.set_current(ZOOKEEPER, self.roster.is_current(self.now), self.now)
        self.merger.set_current(CHANGE_LOG, self.log_is_current and bool(self.claims), self.now)

    def _handle_event(self, event: SessionEvent) -> None:
        if isinstance(event, Expired):
            if event.session not in self.servers.ended_sessions:
                self.report_violation(
                    "expired-by-word",
                    f"session {event.session} is reported as expired, but no server ended it",
                )
        elif not isinstance(event, Up) and type(event).__name__ == "Down":
            self.roster.connection_lost(self.now)
        self.tree.feed(event)
        if self.bounds.register_self:
            self.registrar.feed(event)

    # -- the checks --

    def _record_received(self, content: tuple[Any, ...]) -> None:
        kind = content[0]
        if kind == "data" and parent_of(content[1]) == CACHES_PATH:
            name = content[1].rpartition("/")[2]
            before = self.reported.get(name, ("", 0))[1]
            if content[3] < before:
                self.report_violation(
                    "not-back", f"{name} of transaction {content[3]} was accepted after {before}"
                )
            state = "draining" if b"draining" in content[2] else "up" if b"state" in content[2] else "bad"
            self.reported[name] = (state, content[3])
        elif kind == "error" and content[2] == "GET_DATA" and content[1] == Err.NO_NODE:
            self._record_departed([content[3].rpartition("/")[2]])
        elif kind == "list" and content[1] == CACHES_PATH:
            if self.synced:
                self.unconfirmed = self.synced = False
            self._record_departed([name for name in self.reported if name not in content[2]])
        elif kind == "event" and content[1] == EventType.DELETED:
            self._record_departed([content[2].rpartition("/")[2]])
        elif kind == "sync":
            self.synced = True

    def _check_zxid_order(self, payload: bytes, content: tuple[Any, ...]) -> None:
        """Check that an accepted reply is no older than those accepted before."""
        if content[0] not in ("greeting", "event"):
            reader = Reader(payload)
            reader.int_()
            zxid = reader.long()
            if zxid < self.max_zxid:
                self.report_violation(
                    "not-back", f"a reply of transaction {zxid} was accepted after {self.max_zxid}"
                )
            self.max_zxid = max(self.max_zxid, zxid)

    def _record_departed(self, names: list[str]) -> None:
        newly_departed = [
            name for name in names if name in self.reported and self.reported[name][0] != "gone"
        ]
        for name in newly_departed:
            if self.reported[name][0] != "bad":
                self.departed.append(self.now)
            self.reported[name] = ("gone", self.reported[name][1])
        recent = [
            departed_at_ms
            for departed_at_ms in self.departed
            if departed_at_ms > self.now - ROSTER_RULES.mass_departure_window_ms
        ]
        if newly_departed and len(recent) > 1 and all(state == "gone" for state, _ in self.reported.values()):
            self.unconfirmed = True

    def _check_invariants(self) -> None:
        """Check the invariants that hold after every step."""
        if self.violations:
            return
        for name, (state, _) in self.reported.items():
            ready = self.merger.status(NODE_IDS[name]).state is NodeState.READY
            is_retained = state == "gone" and self.roster.unconfirmed > 0
            claims_by_source = self.claims.get(NODE_IDS[name], {})
            if (
                CHANGE_LOG in claims_by_source
                and ZOOKEEPER in claims_by_source
                and claims_by_source[CHANGE_LOG].sequence > claims_by_source[ZOOKEEPER].sequence
            ):
                continue  # the most trusted source has made a later claim
            if ready and state != "up" and not is_retained and self.roster.snapshot_received:
                self.report_violation("told-strict", f"{name} is reported as {state}, but is ready")
        claims = self.roster.claims.values()
        if (
            self.unconfirmed
            and not self.roster.unconfirmed
            and self.roster.disconnected_since_ms is None
            and not any(claim.state is NodeState.READY for claim in claims)
        ):
            self.report_violation(
                "mass-confirmed", "all departed at once, and none was retained until a sync"
            )
        self._check_roster()
        self._check_merge()

    def _check_roster(self) -> None:
        ready = [claim.member for claim in self.roster.claims.values() if claim.state is NodeState.READY]
        if len({(member.host, member.port) for member in ready if member}) < len(ready):
            self.report_violation("one-address", "two ids at the same address are ready")
        for node_id, until in self.roster._suppressed_until_ms.items():
            claim = self.roster.claims.get(node_id)
            if self.now < until and claim is not None and claim.state is NodeState.READY:
                self.report_violation("damped", f"{node_id} returned too often, but is ready at once")

    def _check_merge(self) -> None:
        current = {
            CHANGE_LOG: self.merger.is_current(CHANGE_LOG),
            ZOOKEEPER: self.merger.is_current(ZOOKEEPER),
        }
        expected_by_id = merge_all_claims(self.claims, current)
        for node_id, claims_by_source in self.claims.items():
            actual, expected_status = self.merger.status(node_id), expected_by_id[node_id]
            if actual.state is not expected_status.state:
                self.report_violation(
                    "merge-same",
                    f"{node_id} is {actual.state.name}, all claims give {expected_status.state.name}",
                )
            if actual.state is not NodeState.READY:
                continue
            current_sources = [source for source in sorted(claims_by_source) if current[source]]
            if not current_sources:
                self.report_violation(
                    "say-lost", f"{node_id} is ready, but no source that knows it is current"
                )
                continue
            top_claim = claims_by_source[min(current_sources, key=lambda source: source.rank)]
            strict = [
                recorded
                for recorded in claims_by_source.values()
                if recorded.claim.state is not NodeState.READY
            ]
            if top_claim in strict or any(recorded.sequence > top_claim.sequence for recorded in strict):
                self.report_violation(
                    "coming-back", f"{node_id} is ready again without a claim of the most trusted source"
                )
            name = next(name for name, other_id in NODE_IDS.items() if other_id == node_id)
            started_ms = actual.member.node.started_ms if actual.member else 0.0
            if (
                name in self.reported
                and self.reported[name][0] == "up"
                and ZOOKEEPER in claims_by_source
                and started_ms < self._min_started_ms(name)
            ):
                self.report_violation(
                    "cold-told",
                    f"{name} started at {self.expected_start_ms[name]}, but is recorded with {started_ms}",
                )

    def _min_started_ms(self, name: str) -> float:
        """Return `started` of the node that was read last if it is still current, else 0."""
        node = self.servers.leader.replica.nodes.get(f"{CACHES_PATH}/{name}")
        if node is None or node.mzxid != self.reported[name][1]:
            return 0.0
        return self.expected_start_ms[name]

    # -- settling --

    def touches(self, step: str) -> frozenset[str] | None:
        """Return None: any step may touch the whole state."""
        return None

    def default(self) -> str | None:
        """Return the next step without faults: receive, serve, catch up or reconnect; None if all is done."""
        names = self.enabled()
        for step in ("hear", "serve", "catch-up", "up"):
            if step in names:
                return step
        return None

    def settle(self) -> None:
        """Run the steps without faults until the list is stable, then check the final properties."""
        self.log_is_current = True
        for _ in range(3):
            for _ in range(80):
                step = self.default()
                if step is None or self.violations:
                    break
                self._step(step)
                self._check_invariants()
            self.now += max(ROSTER_RULES.linger_ms, ROSTER_RULES.flap_hold_ms) + 1.0
            self.roster.tick(self.now)
            self._process_io()
        if self.violations:
            return
        if self.callbacks:
            self.report_violation("reply-once", f"{len(self.callbacks)} requests got no reply")
            return
        self._check_watches()
        self._check_ready_caches()
        if self.bounds.register_self:
            self._check_own_node()

    def _check_watches(self) -> None:
        link = self.servers.link
        if link is None:
            self.report_violation("converges", "no connection after settling")
            return
        watchers = self.servers.replicas[link.server].watchers
        nodes = self.servers.leader.replica.nodes
        if self.bounds.recursive:
            if link.fire not in watchers.recursive.get(CACHES_PATH, set()):
                self.report_violation("watch-kept", "the recursive watch is lost")
            return
        if link.fire not in watchers.child.get(CACHES_PATH, set()):
            self.report_violation("watch-kept", "the watch on the list is lost")
        for path in nodes:
            if parent_of(path) == CACHES_PATH and link.fire not in watchers.data.get(path, set()):
                self.report_violation("watch-kept", f"the watch on {path} is lost")

    def _check_ready_caches(self) -> None:
        """Check that a cache outside the change log is ready if its node is up and owns its address."""
        running: dict[str, tuple[float, int]] = {}
        for name in NODE_IDS:
            node = self.servers.leader.replica.nodes.get(f"{CACHES_PATH}/{name}")
            if node is not None and node.data != b"{":
                running[name] = (self.expected_start_ms[name], node.czxid)
        for name, node_id in NODE_IDS.items():
            if CHANGE_LOG in self.claims.get(node_id, {}):
                continue
            node = self.servers.leader.replica.nodes.get(f"{CACHES_PATH}/{name}")
            rivals = [other for other in running if other != name and PORTS[other] == PORTS[name]]
            owns_address = (
                all(running[name] > running[other] for other in rivals) if name in running else False
            )
            should_be_ready = name in running and node is not None and b'"up"' in node.data and owns_address
            if (self.merger.status(node_id).state is NodeState.READY) != should_be_ready:
                self.report_violation(
                    "converges",
                    f"{name} should {'' if should_be_ready else 'not '}be ready after settling, but is "
                    f"{self.merger.status(node_id).state.name}: {self.merger.status(node_id).reason}",
                )

    def _check_own_node(self) -> None:
        node = self.servers.leader.replica.nodes.get(f"{ROUTERS_PATH}/{ROUTER_NAME}")
        if node is None or node.owner != self.session.session or node.data != self.own_record:
            description = "missing" if node is None else f"of session {node.owner}, {node.data!r}"
            self.report_violation(
                "own-node", f"own node is {description}; expected {self.session.session}, {self.own_record!r}"
            )

    # -- states --

    def encode(self) -> bytes:
        """Return the state in canonical form: times are relative to now, and callbacks are left out."""
        servers, link = self.servers, self.servers.link
        parts: list[Any] = [
            tuple(sorted(self.remaining.items())),
            self.session.state.value,
            self.session.session,
            self.session.last_zxid,
            self.session._next_server % 2,
            self.session._had_session,
            [sorted(kind) for kind in self.session.watches.all_kinds()],
            [canonical_value(pending.request) for pending in self.session._pending],
            [
                canonical_value(getattr(callback, "args", ()) or getattr(callback, "__name__", ""))
                for callback in self.callbacks.values()
            ],
            self._state_of(self.tree, ("_send_request", "_sink", "path")),
            self._state_of(
                self.registrar, ("_send_request", "_session_id", "_is_own_record", "_log", "_on_stored")
            ),
            self._state_of(
                self.roster,
                ("_names", "rules", "_emit_claim", "_request_confirmation", "_log_alarm", "_claims"),
            ),
            canonical_value(self.roster.claims),
            canonical_value(
                {
                    node_id: {
                        source.name: (recorded.claim, recorded.sequence)
                        for source, recorded in claims_by_source.items()
                    }
                    for node_id, claims_by_source in self.claims.items()
                }
            ),
            self.log_is_current,
            canonical_value(self.reported),
            self.unconfirmed,
            self.synced,
            sorted(
                departed_at_ms - self.now
                for departed_at_ms in self.departed
                if departed_at_ms > self.now - ROSTER_RULES.mass_departure_window_ms
            ),
            canonical_value(self.expected_start_ms),
            servers.leader.zxid,
            servers.replicas[1].applied,
            sorted(servers.sessions),
            [
                (path, canonical_value(vars(node)))
                for path, node in sorted(servers.leader.replica.nodes.items())
            ],
            self.own_record,
        ]
        if link is not None:
            watchers = servers.replicas[link.server].watchers
            parts.append(
                (
                    link.server,
                    link.handshake_done,
                    list(link.requests),
                    [frame for frame, _ in link.frames],
                    [
                        sorted(path for path, fires in table.items() if link.fire in fires)
                        for table in (watchers.data, watchers.child, watchers.recursive)
                    ],
                )
            )
        return marshal.dumps(parts, 2)

    def _state_of(self, instance: object, excluded: tuple[str, ...]) -> Any:
        return [
            (name, canonical_value(value))
            for name, value in sorted(vars(instance).items())
            if name not in excluded
        ]


def canonical_value(value: Any) -> Any:
    """Convert a value to plain lists in a canonical order."""
    if isinstance(value, (str, bytes, bool, type(None))):
        return value
    if isinstance(value, (int, float)):
        return float(value)
    if isinstance(value, (frozenset, set)):
        return sorted((canonical_value(item) for item in value), key=repr)
    if isinstance(value, dict):
        return sorted(
            ((canonical_value(key), canonical_value(item)) for key, item in value.items()), key=repr
        )
    if isinstance(value, (list, tuple, deque)):
        return [canonical_value(item) for item in value]
    if hasattr(type(value), "__slots__"):
        return [
            type(value).__name__,
            *(canonical_value(getattr(value, name)) for name in type(value).__slots__),
        ]
    return repr(value)


def machine(bounds: Bounds) -> CoordinationMachine:
    """Return a machine in its initial state."""
    return CoordinationMachine(bounds)


def starter(bounds: Bounds) -> Callable[[], CoordinationMachine]:
    """Return a factory of machines in their initial state."""
    return partial(machine, bounds)


def by_name(name: str) -> Bounds:
    """Return the scope called `name`; raise KeyError if there is none."""
    for bounds in SCOPES:
        if bounds.name == name:
            return bounds
    raise KeyError(name)
