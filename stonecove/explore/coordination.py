"""The machine of sessions, lists and the merge: the program's own `Session`, `TreeWatch`, `Roster`,
`EndpointMerger`, `Registrar`.

Made up are the servers (one that orders and answers, one that may lag), the caches and the change log. What a
server has queued is heard at once or lost with the connection; between any two of these steps a cache may
vanish, return, drain or take another's address, a session may end, a server may fall behind.
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

CACHES, ROUTERS, ME = "/b", "/r", "me"
NAMES = TopologyNames(("hub", "edge"), ("box", "parent", "origin"))
RULES = RosterRules(
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
LOG, ZK = EndpointSource("changelog", 0), EndpointSource("zookeeper", 1)
BEGUN = 5.0  # `started` of the caches of the beginning
IDS = {"a": 1, "b": 2, "c": 3}
PORTS = {"a": 1, "b": 2, "c": 1}  # c takes a's address
ANYONE = (Acl(31, "world", "anyone"),)


class Bounds(NamedTuple):
    """How much of what may happen; `own`: our own node is kept as well."""

    name: str
    depth: int
    changes: int = 0
    faults: int = 0
    log: int = 0
    recursive: bool = False
    own: bool = False
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
        own=True,
        kinds=("state",),
        fault_kinds=("drop", "expire-ours", "other"),
        caches=(),
    ),
)


def record(name: str, started: float, state: str = "up") -> bytes:
    """The record of a cache."""
    return ujson.dumps(
        {
            "id": IDS[name],
            "address": f"127.0.0.1:{PORTS[name]}",
            "zone": "edge",
            "kind": "box",
            "started": started,
            "state": state,
        }
    ).encode()


class Link:
    """The connection of the moment, as the servers see it."""

    def __init__(self, server: int) -> None:
        self.server = server
        self.requests: deque[bytes] = deque()
        self.frames: deque[tuple[bytes, tuple[Any, ...]]] = deque()  # with what each says, for the checks
        self.greeted = False

    def fire(self, kind: EventType, path: str) -> None:
        """A watch fires."""
        self.frames.append((watch_event(kind, path), ("event", int(kind), path)))


class Servers:
    """An ensemble of two: server 0 is always up to date, server 1 applies by its own steps."""

    def __init__(self) -> None:
        self.leader = Leader()
        self.replicas = (Replica(), Replica())
        self.sessions: set[int] = set()
        self.ended: set[int] = set()
        self.next_session = 100
        self.link: Link | None = None
        self.session = 0  # of the connection of the moment
        self._path = ""  # of the request that is worked off

    def commit(self, txn_of: Callable[[], object]) -> None:
        """A write: server 0 has it at once."""
        txn_of()
        self.replicas[0].apply(self.leader.log[-1])

    def write(self, wanted: WriteRequest, session: int, now: float) -> None:
        """One write of somebody's; raises ZkError."""
        self.commit(lambda: self.leader.write([wanted], session, [], int(now)))

    def end(self, session: int, now: float) -> None:
        """A session is over."""
        self.sessions.discard(session)
        self.commit(lambda: self.leader.end_session(session, int(now)))

    def behind(self) -> bool:
        """Whether server 1 has something left to apply."""
        return self.replicas[1].applied < self.leader.zxid

    def catch_up(self) -> None:
        """Server 1 applies one transaction more."""
        self.replicas[1].apply(self.leader.log[self.replicas[1].applied])

    def drop(self) -> None:
        """The connection is gone; what was queued either way is lost."""
        if self.link is not None:
            for replica in self.replicas:
                replica.watchers.drop(self.link.fire)
        self.link = None

    def serve(self, payload: bytes, now: float) -> bool:
        """One request; False if the server closes the connection instead."""
        link = self.link
        assert link is not None
        replica, reader = self.replicas[link.server], Reader(payload)
        if not link.greeted:
            return self._greet(link, reader, replica)
        xid, op = reader.int_(), Op(reader.int_())
        if op is Op.CLOSE_SESSION:
            return False
        try:
            body, says = self._do(op, reader, link, replica, now)
            error = Err.OK
        except ZkError as wrong:
            error, body, says = wrong.code, b"", ("error", int(wrong.code), op.name, self._path)
        payload = jute.int_(xid) + jute.long(replica.applied) + jute.int_(error) + body
        link.frames.append((payload, says))
        return True

    def _greet(self, link: Link, reader: Reader, replica: Replica) -> bool:
        reader.int_()
        zxid, timeout, session = reader.long(), reader.int_(), reader.long()
        if zxid > replica.applied:
            return False
        link.greeted = True
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

    def _do(
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
            while link.server == 1 and self.behind():
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
            wanted = WriteRequest("create", path, data, ANYONE, reader.int_())
        else:
            wanted = WriteRequest("set" if op is Op.SET_DATA else "delete", path, data, version=reader.int_())
        try:
            self.write(wanted, self.session, now)
        finally:  # also a write that fails is ordered among the others
            while link.server == 1 and self.behind():
                self.catch_up()
        if op is Op.CREATE:
            return jute.string(path), ("made", path)
        return (replica.node(path).stat().encode() if op is Op.SET_DATA else b""), ("written", path)


class CoordinationMachine:
    """Everything between a coordination service and the list that the decisions get."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.violations: list[Violation] = []
        self.now = 1_000_000.0  # ms
        self.left = {"changes": bounds.changes, "faults": bounds.faults, "log": bounds.log}
        self.servers = Servers()
        self.owners: dict[str, int] = {}  # by cache: its session
        self.next_owner = 1
        self.session = Session((("s", 0), ("s", 1)), 1, SessionConfig(session_timeout_s=10.0, jitter=0.0))
        self.session._servers = [
            ("s", 0),
            ("s", 1),
        ]  # shuffled or not is the same here; fixed, so that names are
        self.calls: dict[int, Callable[[Reply], None]] = {}
        self.token = 0
        self.merge = EndpointMerger((LOG, ZK))
        self.claims: dict[NodeId, dict[EndpointSource, RecordedClaim]] = {}
        self.number = 0
        self.log_says = True
        self.roster = Roster(NAMES, RULES, self._emit, self._confirm, self._say)
        self.tree = TreeWatch(CACHES, self._ask, self, bounds.recursive)
        self.registrar = Registrar(ROUTERS, ME, b"starting", self._ask, self._session, self._ours, self._say)
        self.own_record = b"starting"
        # For the checks: what the frames that were heard have said.
        self.told: dict[str, tuple[str, int]] = {}  # by name: up, draining, bad or gone; and the transaction
        self.newest = 0  # transaction of any reply that was taken
        self.departed: list[float] = []
        self.unconfirmed = False  # all have departed within the window, and no list after a sync was heard
        self.synced = False
        self.begun: dict[str, float] = {}  # by cache: `started` that its claim must have
        self._begin()

    # -- wiring --

    def _ask(self, what: zk.Request, call: Callable[[Reply], None]) -> None:
        self.token += 1
        self.calls[self.token] = call
        self.session.send_request(self.token, what, self.now / 1000)

    def _session(self) -> int:
        return self.session.session

    @staticmethod
    def _ours(data: bytes) -> bool:
        return True

    def _confirm(self) -> None:
        self.tree.confirm()

    def _say(self, event: str, **fields: object) -> None:
        """Alarms are not looked at here."""

    def _emit(self, ident: NodeId, claim: Claim) -> None:
        if self.roster.snapshot_received:
            self._claim(ZK, ident, claim)

    def _claim(self, source: EndpointSource, ident: NodeId, claim: Claim) -> None:
        self.number += 1
        by = self.claims.setdefault(ident, {})
        if claim.member is None and source in by:
            claim = claim._replace(member=by[source].claim.member)
        by[source] = RecordedClaim(claim, self.number, self.now)
        self.merge.apply_claim(source, ident, claim, self.now)

    def put(self, name: str, data: bytes, stat: zk.Stat) -> None:
        """As `TreeSink`."""
        self.roster.put(name, data, stat.czxid, float(stat.ctime), stat.ephemeral_owner, self.now)

    def removed(self, names: Iterable[str]) -> None:
        """As `TreeSink`."""
        self.roster.remove(names, self.now)

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """As `TreeSink`; the first list tells all claims."""
        first = not self.roster.snapshot_received
        self.roster.apply_snapshot(names, confirmed, self.now)
        if first:
            for ident, claim in self.roster.claims.items():
                self._claim(ZK, ident, claim)

    def absent(self, confirmed: bool) -> None:
        """As `TreeSink`."""
        self.list_complete(frozenset(), confirmed)

    def broken(self, prop: str, why: str) -> None:
        """Notes a violation."""
        self.violations.append(Violation(prop, why))

    # -- the beginning: connected, all read --

    def _begin(self) -> None:
        for path in (CACHES, ROUTERS):
            self.servers.write(WriteRequest("create", path, b"", ANYONE), 0, self.now)
        for name in self.bounds.caches or ("a",):
            self._create_node(name, BEGUN)
        while self.servers.behind():
            self.servers.catch_up()
        self._quiet()

    def _quiet(self) -> None:
        for _ in range(60):
            step = self.default()
            if step is None:
                return
            self._step(step)

    def _create_node(self, name: str, started: float, state: str = "up") -> None:
        self.next_owner += 1
        self.owners[name] = self.next_owner
        self.servers.write(
            WriteRequest("create", f"{CACHES}/{name}", record(name, started, state), ANYONE, 1),
            self.next_owner,
            self.now,
        )
        self.begun[name] = started or float(int(self.now))

    # -- steps --

    def enabled(self) -> list[str]:
        """What may happen now."""
        link, steps = self.servers.link, []
        if self.session.state in (State.WAITING, State.REFUSED):
            steps.append("up")
            if self.left["faults"]:
                steps += [kind for kind in ("refuse", "other") if kind in self.bounds.fault_kinds]
        if link is not None:
            if link.requests:
                steps.append("serve")
            if len(link.requests) > 1:
                steps.append("serve-one")
            if link.frames:
                steps.append("hear")
            if self.left["faults"]:
                steps += [
                    kind
                    for kind in ("drop", "expire-ours")
                    if kind in self.bounds.fault_kinds
                    and (kind == "drop" or self.servers.session in self.servers.sessions)
                ]
        elif self.left["faults"] and "expire-ours" in self.bounds.fault_kinds and self.servers.sessions:
            steps.append("expire-ours")
        if self.servers.behind():
            steps.append("catch-up")
        if self.left["changes"]:
            steps += self._changes()
        if self.left["log"]:
            steps += ["log-drain", "log-up", "log-gone", "log-silent" if self.log_says else "log-heard"]
        if self.roster.next_tick_ms() < float("inf"):
            steps.append("wait")
        return steps

    def _changes(self) -> list[str]:
        found = ["state"] if "state" in self.bounds.kinds else []
        for name in (*self.bounds.caches, "c"):
            node = self.servers.leader.replica.nodes.get(f"{CACHES}/{name}")
            if name == "c":
                options = [] if node else ["reuse"]
            elif node is None:
                options = ["return", "restart"]
            else:
                options = ["vanish", "undrain" if b"draining" in node.data else "drain", "spoil"]
            found += [f"{kind} {name}" for kind in options if kind in self.bounds.kinds]
        return found

    def do(self, step: str) -> None:
        """Takes a step, and looks at what must hold."""
        word = step.partition(" ")[0]
        if word in ("refuse", "other", "drop", "expire-ours"):
            self.left["faults"] -= 1
        elif word.startswith("log-"):
            self.left["log"] -= 1
        elif word in self.bounds.kinds:
            self.left["changes"] -= 1
        self._step(step)
        self._look()

    def _step(self, step: str) -> None:
        word, _, name = step.partition(" ")
        getattr(self, "_on_" + word.replace("-", "_"))(*([name] if name else []))
        self._flow()

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
        """The next attempt goes to the other server."""
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
            payload, says = link.frames.popleft()
            before = self.session.state
            self.session.received(len(payload).to_bytes(4, "big") + payload, self.now / 1000)
            if self.session.state in (State.GREETING, State.CONNECTED):
                self._heard(says)
                self._newer(payload, says)
            elif before is State.CONNECTED or before is State.GREETING:
                self.servers.drop()
            self._flow()

    def _on_drop(self) -> None:
        self.servers.drop()
        self.session.lost("dropped", self.now / 1000)

    def _on_expire_ours(self) -> None:
        mine = max(self.servers.sessions)
        self.servers.ended.add(mine)
        self.servers.end(mine, self.now)
        if self.servers.link is not None:
            self._on_drop()

    def _on_catch_up(self) -> None:
        self.servers.catch_up()

    def _on_vanish(self, name: str) -> None:
        self.servers.end(self.owners[name], self.now)

    def _on_return(self, name: str) -> None:
        self._create_node(name, BEGUN)

    def _on_restart(self, name: str) -> None:
        self._create_node(name, 0.0)

    def _on_reuse(self, name: str) -> None:
        self._create_node(name, self.now)

    def _on_drain(self, name: str) -> None:
        self._write(name, "draining")

    def _on_undrain(self, name: str) -> None:
        self._write(name, "up")

    def _write(self, name: str, state: str) -> None:
        self.servers.write(
            WriteRequest(
                "set",
                f"{CACHES}/{name}",
                record(name, self.begun[name] if self.begun[name] == BEGUN else 0.0, state),
            ),
            0,
            self.now,
        )

    def _on_spoil(self, name: str) -> None:
        self.servers.write(WriteRequest("set", f"{CACHES}/{name}", b"{"), 0, self.now)

    def _log(self, state: NodeState) -> None:
        member = parse_member(record("a", BEGUN), NAMES)
        self._claim(
            LOG, IDS["a"], Claim(state, member._replace(node=member.node._replace(state=state)), "log")
        )

    def _on_log_drain(self) -> None:
        self._log(NodeState.DRAINING)

    def _on_log_up(self) -> None:
        self._log(NodeState.READY)

    def _on_log_gone(self) -> None:
        self._log(NodeState.REMOVED)

    def _on_log_silent(self) -> None:
        self.log_says = False

    def _on_log_heard(self) -> None:
        self.log_says = True

    def _on_state(self) -> None:
        self.own_record = b"ready"
        self.registrar.update_record(b"ready")

    def _on_wait(self) -> None:
        self.now = max(self.now, self.roster.next_tick_ms())
        self.roster.tick(self.now)

    def _flow(self) -> None:
        """What the program does by itself: hands over events, writes requests."""
        for event in self.session.events():
            if isinstance(event, Reply):
                call = self.calls.pop(event.token, None)
                if call is None:
                    self.broken("reply-once", f"a second reply to request {event.token}")
                else:
                    call(event)
            else:
                self._event(event)
        data = self.session.data_to_send()
        if data and self.servers.link is not None:
            buffer = Buffer(1 << 21)
            buffer.feed(data)
            self.servers.link.requests.extend(zk.frames(buffer))
        self.merge.set_current(ZK, self.roster.is_current(self.now), self.now)
        self.merge.set_current(LOG, self.log_says and bool(self.claims), self.now)

    def _event(self, event: SessionEvent) -> None:
        if isinstance(event, Expired):
            if event.session not in self.servers.ended:
                self.broken(
                    "expired-by-word", f"session {event.session} is told as expired, no server ended it"
                )
        elif not isinstance(event, Up) and type(event).__name__ == "Down":
            self.roster.connection_lost(self.now)
        self.tree.feed(event)
        if self.bounds.own:
            self.registrar.feed(event)

    # -- the checks --

    def _heard(self, says: tuple[Any, ...]) -> None:
        kind = says[0]
        if kind == "data" and parent_of(says[1]) == CACHES:
            name = says[1].rpartition("/")[2]
            before = self.told.get(name, ("", 0))[1]
            if says[3] < before:
                self.broken("not-back", f"{name} of transaction {says[3]} was taken after that of {before}")
            state = "draining" if b"draining" in says[2] else "up" if b"state" in says[2] else "bad"
            self.told[name] = (state, says[3])
        elif kind == "error" and says[2] == "GET_DATA" and says[1] == Err.NO_NODE:
            self._gone([says[3].rpartition("/")[2]])
        elif kind == "list" and says[1] == CACHES:
            if self.synced:
                self.unconfirmed = self.synced = False
            self._gone([name for name in self.told if name not in says[2]])
        elif kind == "event" and says[1] == EventType.DELETED:
            self._gone([says[2].rpartition("/")[2]])
        elif kind == "sync":
            self.synced = True

    def _newer(self, payload: bytes, says: tuple[Any, ...]) -> None:
        """A reply that was taken must come from a server that is not behind what was taken before."""
        if says[0] not in ("greeting", "event"):
            reader = Reader(payload)
            reader.int_()
            zxid = reader.long()
            if zxid < self.newest:
                self.broken("not-back", f"a reply of transaction {zxid} was taken after one of {self.newest}")
            self.newest = max(self.newest, zxid)

    def _gone(self, names: list[str]) -> None:
        fresh = [name for name in names if name in self.told and self.told[name][0] != "gone"]
        for name in fresh:
            if self.told[name][0] != "bad":
                self.departed.append(self.now)
            self.told[name] = ("gone", self.told[name][1])
        within = [at for at in self.departed if at > self.now - RULES.mass_departure_window_ms]
        if fresh and len(within) > 1 and all(state == "gone" for state, _ in self.told.values()):
            self.unconfirmed = True

    def _look(self) -> None:
        """What must hold after every step."""
        if self.violations:
            return
        for name, (state, _) in self.told.items():
            ready = self.merge.status(IDS[name]).state is NodeState.READY
            kept = state == "gone" and self.roster.unconfirmed > 0
            by = self.claims.get(IDS[name], {})
            if LOG in by and ZK in by and by[LOG].sequence > by[ZK].sequence:
                continue  # the most trusted source has spoken since
            if ready and state != "up" and not kept and self.roster.snapshot_received:
                self.broken("told-strict", f"{name} is told as {state}, and gets fresh work")
        claims = self.roster.claims.values()
        if (
            self.unconfirmed
            and not self.roster.unconfirmed
            and self.roster.disconnected_since_ms is None
            and not any(claim.state is NodeState.READY for claim in claims)
        ):
            self.broken("mass-confirmed", "all departed at once, and none was kept until a sync")
        self._look_at_roster()
        self._look_at_merge()

    def _look_at_roster(self) -> None:
        ready = [claim.member for claim in self.roster.claims.values() if claim.state is NodeState.READY]
        if len({(member.host, member.port) for member in ready if member}) < len(ready):
            self.broken("one-address", "two ids at one address are ready")
        for ident, until in self.roster._suppressed_until_ms.items():
            claim = self.roster.claims.get(ident)
            if self.now < until and claim is not None and claim.state is NodeState.READY:
                self.broken("damped", f"{ident} came back too often, and gets fresh work at once")

    def _look_at_merge(self) -> None:
        say = {LOG: self.merge.is_current(LOG), ZK: self.merge.is_current(ZK)}
        expected = merge_all_claims(self.claims, say)
        for ident, by in self.claims.items():
            mine, wanted = self.merge.status(ident), expected[ident]
            if mine.state is not wanted.state:
                self.broken("merge-same", f"{ident} is {mine.state.name}, by all claims {wanted.state.name}")
            if mine.state is not NodeState.READY:
                continue
            having = [source for source in sorted(by) if say[source]]
            if not having:
                self.broken("say-lost", f"{ident} gets fresh work, and no source that knows it has a say")
                continue
            top = by[min(having, key=lambda source: source.rank)]
            strict = [told for told in by.values() if told.claim.state is not NodeState.READY]
            if top in strict or any(told.sequence > top.sequence for told in strict):
                self.broken(
                    "coming-back", f"{ident} is back, and the most trusted source has not said so since"
                )
            name = next(name for name, number in IDS.items() if number == ident)
            started = mine.member.node.started_ms if mine.member else 0.0
            if (
                name in self.told
                and self.told[name][0] == "up"
                and ZK in by
                and started < self._least_start(name)
            ):
                self.broken(
                    "cold-told", f"{name} began at {self.begun[name]}, and is taken to have at {started}"
                )

    def _least_start(self, name: str) -> float:
        """`started` of the node whose data was heard last, if it is still the present one."""
        node = self.servers.leader.replica.nodes.get(f"{CACHES}/{name}")
        if node is None or node.mzxid != self.told[name][1]:
            return 0.0
        return self.begun[name]

    # -- the end --

    def touches(self, step: str) -> frozenset[str] | None:
        """Everything touches everything here."""
        return None

    def default(self) -> str | None:
        """Good days: everything is served and heard, and the connection comes up again."""
        names = self.enabled()
        for step in ("hear", "serve", "catch-up", "up"):
            if step in names:
                return step
        return None

    def settle(self) -> None:
        """Lets everything go on, and checks what must be true then."""
        self.log_says = True
        for _ in range(3):
            for _ in range(80):
                step = self.default()
                if step is None or self.violations:
                    break
                self._step(step)
                self._look()
            self.now += max(RULES.linger_ms, RULES.flap_hold_ms) + 1.0
            self.roster.tick(self.now)
            self._flow()
        if self.violations:
            return
        if self.calls:
            self.broken("reply-once", f"{len(self.calls)} requests have had no reply")
            return
        self._check_watches()
        self._check_truth()
        if self.bounds.own:
            self._check_own()

    def _check_watches(self) -> None:
        link = self.servers.link
        if link is None:
            self.broken("converges", "no connection in the end")
            return
        watchers = self.servers.replicas[link.server].watchers
        nodes = self.servers.leader.replica.nodes
        if self.bounds.recursive:
            if link.fire not in watchers.recursive.get(CACHES, set()):
                self.broken("watch-kept", "the recursive watch is lost")
            return
        if link.fire not in watchers.child.get(CACHES, set()):
            self.broken("watch-kept", "the watch on the list is lost")
        for path in nodes:
            if parent_of(path) == CACHES and link.fire not in watchers.data.get(path, set()):
                self.broken("watch-kept", f"the watch on {path} is lost")

    def _check_truth(self) -> None:
        """A cache not in the change log is ready if its node says so and nobody else has its address."""
        up: dict[str, tuple[float, int]] = {}
        for name in IDS:
            node = self.servers.leader.replica.nodes.get(f"{CACHES}/{name}")
            if node is not None and node.data != b"{":
                up[name] = (self.begun[name], node.czxid)
        for name, ident in IDS.items():
            if LOG in self.claims.get(ident, {}):
                continue
            node = self.servers.leader.replica.nodes.get(f"{CACHES}/{name}")
            rivals = [other for other in up if other != name and PORTS[other] == PORTS[name]]
            alone = all(up[name] > up[other] for other in rivals) if name in up else False
            wanted = name in up and node is not None and b'"up"' in node.data and alone
            if (self.merge.status(ident).state is NodeState.READY) != wanted:
                self.broken(
                    "converges",
                    f"{name} should {'' if wanted else 'not '}be ready in the end, and is "
                    f"{self.merge.status(ident).state.name}: {self.merge.status(ident).reason}",
                )

    def _check_own(self) -> None:
        node = self.servers.leader.replica.nodes.get(f"{ROUTERS}/{ME}")
        if node is None or node.owner != self.session.session or node.data != self.own_record:
            held = "nobody's" if node is None else f"of session {node.owner}, {node.data!r}"
            self.broken("own-node", f"our node is {held}; we are {self.session.session}, {self.own_record!r}")

    # -- states --

    def encode(self) -> bytes:
        """The state, times told from now on; what is only wiring is left out."""
        servers, link = self.servers, self.servers.link
        seen: list[Any] = [
            tuple(sorted(self.left.items())),
            self.session.state.value,
            self.session.session,
            self.session.last_zxid,
            self.session._next_server % 2,
            self.session._had_session,
            [sorted(kind) for kind in self.session.watches.all_kinds()],
            [_canon(one.request) for one in self.session._pending],
            [
                _canon(getattr(call, "args", ()) or getattr(call, "__name__", ""))
                for call in self.calls.values()
            ],
            self._state_of(self.tree, ("_send_request", "_sink", "path")),
            self._state_of(
                self.registrar, ("_send_request", "_session_id", "_is_own_record", "_log", "_on_stored")
            ),
            self._state_of(
                self.roster,
                ("_names", "rules", "_emit_claim", "_request_confirmation", "_log_alarm", "_claims"),
            ),
            _canon(self.roster.claims),
            _canon(
                {
                    ident: {source.name: (told.claim, told.sequence) for source, told in by.items()}
                    for ident, by in self.claims.items()
                }
            ),
            self.log_says,
            _canon(self.told),
            self.unconfirmed,
            self.synced,
            sorted(at - self.now for at in self.departed if at > self.now - RULES.mass_departure_window_ms),
            _canon(self.begun),
            servers.leader.zxid,
            servers.replicas[1].applied,
            sorted(servers.sessions),
            [(path, _canon(vars(node))) for path, node in sorted(servers.leader.replica.nodes.items())],
            self.own_record,
        ]
        if link is not None:
            watchers = servers.replicas[link.server].watchers
            seen.append(
                (
                    link.server,
                    link.greeted,
                    list(link.requests),
                    [frame for frame, _ in link.frames],
                    [
                        sorted(path for path, fires in table.items() if link.fire in fires)
                        for table in (watchers.data, watchers.child, watchers.recursive)
                    ],
                )
            )
        return marshal.dumps(seen, 2)

    def _state_of(self, thing: object, left_out: tuple[str, ...]) -> Any:
        return [(name, _canon(value)) for name, value in sorted(vars(thing).items()) if name not in left_out]


def _canon(value: Any) -> Any:
    """Plain lists of a value, in one order."""
    if isinstance(value, (str, bytes, bool, type(None))):
        return value
    if isinstance(value, (int, float)):
        return float(value)
    if isinstance(value, (frozenset, set)):
        return sorted((_canon(item) for item in value), key=repr)
    if isinstance(value, dict):
        return sorted(((_canon(key), _canon(item)) for key, item in value.items()), key=repr)
    if isinstance(value, (list, tuple, deque)):
        return [_canon(item) for item in value]
    if hasattr(type(value), "__slots__"):
        return [type(value).__name__, *(_canon(getattr(value, name)) for name in type(value).__slots__)]
    return repr(value)


def machine(bounds: Bounds) -> CoordinationMachine:
    """A machine at its beginning."""
    return CoordinationMachine(bounds)


def starter(bounds: Bounds) -> Callable[[], CoordinationMachine]:
    """What starts one."""
    return partial(machine, bounds)


def by_name(name: str) -> Bounds:
    """The scope of that name; raises KeyError."""
    for bounds in SCOPES:
        if bounds.name == name:
            return bounds
    raise KeyError(name)
