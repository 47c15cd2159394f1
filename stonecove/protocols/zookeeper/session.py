"""A ZooKeeper session over many connections, as a state machine. Knows no I/O and no clock of its own.

The owner asks `plan` what to do next (connect where, wait until when), tells what became of it (`connecting`,
`opened`, `received`, `lost`, `tick`), writes what `data_to_send` gives, and works off `events`. Times are
seconds of any steady clock. What is kept to:

- A session ends only by the server's word (or by ours): without a connection it is `Down`, not `Expired`.
- Servers are asked in an order shuffled by the seed, one after the other, with a wait that doubles, with
  jitter.
- A server that is read-only, that is behind what we have seen, or to which our session has not moved, is
  left.
- A watch that was left is set again on the next connection, told with the newest transaction that we had seen
  when the old one broke; so the server tells at once what was missed.
- A request that has no reply when its connection breaks ends with CONNECTION_LOSS: it may have been done.

Source: Apache ZooKeeper programmer's guide, "ZooKeeper Sessions" and "ZooKeeper Watches".
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.jute import Reader
from stonecove.protocols.zookeeper.messages import Err, EventType, WatchEvent, ZooKeeperError

Server = tuple[str, int]
WATCHES_IN_FRAME = 128 * 1024  # bytes of paths in one setWatches, as other clients do
READ_PART = 2.0 / 3.0  # of the time-out without a word, after which another server is tried
PING_PART = 1.0 / 3.0  # of the time-out without a word of ours, after which we ping


class State(Enum):
    """Where a session stands."""

    WAITING = "waiting"  # for the moment of the next attempt
    CONNECTING = "connecting"
    GREETING = "greeting"  # ConnectRequest sent
    CONNECTED = "connected"
    REFUSED = "refused"  # our credentials are no good: tried again after the longest wait
    CLOSED = "closed"


# What may be told in which state; all else is a slip of the owner's or of the server's.
TRANSITIONS: dict[State, frozenset[str]] = {
    State.WAITING: frozenset(("connecting", "close")),
    State.CONNECTING: frozenset(("opened", "lost", "close")),
    State.GREETING: frozenset(("received", "lost", "close")),
    State.CONNECTED: frozenset(("received", "lost", "close")),
    State.REFUSED: frozenset(("connecting", "close")),
    State.CLOSED: frozenset(),
}


class Up(NamedTuple):
    """Connected; `resumed` tells whether it is the session of before, with its nodes and watches."""

    session: int
    resumed: bool


class Down(NamedTuple):
    """No connection. The session, its nodes and its watches live on at the servers, for a while."""

    why: str


class Expired(NamedTuple):
    """The servers have ended the session: its ephemeral nodes and watches are gone."""

    session: int


class Reply(NamedTuple):
    """The end of a request."""

    token: int
    error: Err
    result: zk.Result
    zxid: int


class Watched(NamedTuple):
    """A watch has fired."""

    event: WatchEvent


SessionEvent = Up | Down | Expired | Reply | Watched


class Plan(NamedTuple):
    """What the owner is to do: connect to a server, if one is named, and call `tick` by that moment."""

    connect: Server | None
    until: float


class Figures(NamedTuple):
    """Settings of a session, in seconds."""

    timeout: float = 10.0
    connect_wait: float = 1.0
    back_off: tuple[float, float] = (0.05, 5.0)
    jitter: float = 0.5  # part by which a wait is spread
    auth: tuple[tuple[str, bytes], ...] = ()


class _Sent(NamedTuple):
    xid: int
    token: int
    what: zk.Request


class Watches:
    """What watches we left, as the server has them."""

    def __init__(self) -> None:
        self.data: set[str] = set()
        self.exist: set[str] = set()
        self.child: set[str] = set()
        self.persistent: set[str] = set()
        self.recursive: set[str] = set()

    def all_kinds(self) -> tuple[set[str], ...]:
        """The five sets, in the order of setWatches2."""
        return self.data, self.exist, self.child, self.persistent, self.recursive

    def clear(self) -> None:
        """All are gone."""
        for kind in self.all_kinds():
            kind.clear()

    def left(self, what: zk.Request, error: Err) -> None:
        """A request was answered, and may have left a watch."""
        if isinstance(what, zk.Exists) and what.watch and error in (Err.OK, Err.NO_NODE):
            (self.exist if error else self.data).add(what.path)
        elif error:
            return
        elif isinstance(what, zk.GetData) and what.watch:
            self.data.add(what.path)
        elif isinstance(what, zk.GetChildren2) and what.watch:
            self.child.add(what.path)
        elif isinstance(what, zk.AddWatch):
            recursive = what.mode is zk.AddWatchMode.PERSISTENT_RECURSIVE
            (self.recursive if recursive else self.persistent).add(what.path)

    def fired(self, event: WatchEvent) -> None:
        """Those that tell once are gone at the server."""
        path = event.path
        if event.kind in (EventType.CREATED, EventType.DATA_CHANGED):
            self.data.discard(path)
            self.exist.discard(path)
        elif event.kind is EventType.CHILDREN_CHANGED:
            self.child.discard(path)
        elif event.kind is EventType.DELETED:
            for kind in (self.data, self.exist, self.child):
                kind.discard(path)
        elif event.kind is EventType.DATA_WATCH_REMOVED:
            self.data.discard(path)
            self.exist.discard(path)
        elif event.kind is EventType.CHILD_WATCH_REMOVED:
            self.child.discard(path)
        elif event.kind is EventType.PERSISTENT_WATCH_REMOVED:
            self.persistent.discard(path)
            self.recursive.discard(path)

    def again(self, zxid: int) -> Iterator[zk.SetWatches]:
        """Requests that set them all again, each well within a frame."""
        parts: list[list[str]] = [[], [], [], [], []]
        size = 0
        for kind, paths in enumerate(self.all_kinds()):
            for path in sorted(paths):
                if size + len(path) + 4 > WATCHES_IN_FRAME and size:
                    yield zk.SetWatches(zxid, *map(tuple, parts))
                    parts, size = [[], [], [], [], []], 0
                parts[kind].append(path)
                size += len(path) + 4
        if size:
            yield zk.SetWatches(zxid, *map(tuple, parts))


class Session:
    """One session at a time; after it has expired, the next begins by itself."""

    def __init__(self, servers: tuple[Server, ...], seed: int, figures: Figures | None = None) -> None:
        """Raises ValueError without a server."""
        if not servers:
            raise ValueError("an ensemble without servers")
        self._random = random.Random(seed)
        self._figures = figures or Figures()
        self._servers = list(servers)
        self._random.shuffle(self._servers)
        self._next = 0
        self.state = State.WAITING
        self.server: Server | None = None  # the one that is or was connected to last
        self.session = 0
        self.last_zxid = 0  # the newest transaction that any reply told of
        self.watches = Watches()
        self.timeout = self._figures.timeout  # seconds, as the server agreed
        self._password = bytes(16)
        self._had_session = False
        self._wait = self._figures.back_off[0]
        self._tries = 0  # since the last connection that came up
        self._due = -math.inf  # when the next attempt may begin
        self._heard = self._wrote = 0.0
        self._xid = 0
        self._buffer = Buffer(zk.MOST_FRAME + 65_536)
        self._out = bytearray()
        self._sent: deque[_Sent] = deque()
        self._events: deque[SessionEvent] = deque()
        self._closing = False

    # -- what the owner asks --

    def plan(self, now: float) -> Plan:
        """What is to be done now, and until when nothing else is."""
        if self.state in (State.WAITING, State.REFUSED):
            if now >= self._due:
                return Plan(self._servers[self._next % len(self._servers)], math.inf)
            return Plan(None, self._due)
        if self.state is State.CONNECTED:
            return Plan(None, min(self._heard + self.timeout * READ_PART, self._ping_due()))
        if self.state in (State.CONNECTING, State.GREETING):
            return Plan(None, self._heard + self._figures.connect_wait)
        return Plan(None, math.inf)

    def data_to_send(self) -> bytes:
        """Bytes for the socket, once."""
        data = bytes(self._out)
        self._out.clear()
        return data

    def events(self) -> Iterator[SessionEvent]:
        """What has happened since, each once."""
        while self._events:
            yield self._events.popleft()

    @property
    def connected(self) -> bool:
        """Whether requests may be asked."""
        return self.state is State.CONNECTED

    def ask(self, token: int, what: zk.Request, now: float) -> None:
        """Sends a request; its `Reply` bears the token. Without a connection it ends at once as lost."""
        if self.state is not State.CONNECTED or self._closing:
            self._events.append(Reply(token, Err.CONNECTION_LOSS, None, 0))
            return
        self._xid = self._xid % 0x7FFFFFFF + 1
        self._sent.append(_Sent(self._xid, token, what))
        self._write(zk.request(self._xid, what), now)

    # -- what the owner tells --

    def connecting(self, now: float) -> None:
        """The connection that was planned is being made."""
        self._check("connecting")
        self.server = self._servers[self._next % len(self._servers)]
        self._next += 1
        self._tries += 1
        self.state = State.CONNECTING
        self._heard = now

    def opened(self, now: float) -> None:
        """The connection is up."""
        self._check("opened")
        self.state = State.GREETING
        self._buffer = Buffer(zk.MOST_FRAME + 65_536)
        self._heard = now
        self._write(
            zk.connect_request(
                self.last_zxid, round(self._figures.timeout * 1000), self.session, self._password
            ),
            now,
        )

    def received(self, data: bytes, now: float) -> None:
        """Bytes have come; what can't be read, or must not be heeded, ends the connection (see `state`)."""
        self._check("received")
        try:
            self._buffer.feed(data)
            for payload in zk.frames(self._buffer):
                self._heard = now
                if self.state is State.GREETING:
                    self._greeted(zk.read_connected(payload), now)
                elif self.state is State.CONNECTED:
                    self._frame(payload)
                if self.state not in (State.GREETING, State.CONNECTED):
                    return
        except ZooKeeperError as error:
            self._down(f"garbled: {error}", now)

    def lost(self, why: str, now: float) -> None:
        """The connection is over, or never came up."""
        if self.state in (State.CONNECTING, State.GREETING, State.CONNECTED):
            self._down(why, now)

    def tick(self, now: float) -> None:
        """Time has passed: pings, or leaves a server that says nothing."""
        if self.state is State.CONNECTED:
            if now >= self._heard + self.timeout * READ_PART:
                self._down("silent", now)
            elif now >= self._ping_due():
                self._write(zk.ping(), now)
        elif (
            self.state in (State.CONNECTING, State.GREETING)
            and now >= self._heard + self._figures.connect_wait
        ):
            self._down("not up in time", now)

    def close(self, now: float) -> None:
        """Ends the session for good, by a word to the server where there is a connection."""
        self._check("close")
        if self.state is State.CONNECTED:
            self._closing = True
            self._xid = self._xid % 0x7FFFFFFF + 1
            self._sent.append(_Sent(self._xid, -1, zk.CloseSession()))
            self._write(zk.request(self._xid, zk.CloseSession()), now)
        else:
            self.state = State.CLOSED

    def move(self, servers: tuple[Server, ...], now: float) -> None:
        """Another ensemble: our session is not known there, nor do transactions compare."""
        if self.state is State.CLOSED or not servers:
            return
        self.lost("moved to another ensemble", now)
        self._servers = list(servers)
        self._random.shuffle(self._servers)
        self._next = 0
        self._forget()
        self.last_zxid = 0
        self.state, self._due = State.WAITING, now
        self._wait, self._tries = self._figures.back_off[0], 0

    # -- within --

    def _check(self, what: str) -> None:
        if what not in TRANSITIONS[self.state]:
            raise RuntimeError(f"{what} while {self.state.value}")

    def _ping_due(self) -> float:
        return max(self._wrote, self._heard) + self.timeout * PING_PART

    def _write(self, data: bytes, now: float) -> None:
        self._out += data
        self._wrote = now

    def _forget(self) -> None:
        """The session is over."""
        if self._had_session:
            self._events.append(Expired(self.session))
        self.session, self._password, self._had_session = 0, bytes(16), False
        self.watches.clear()

    def _greeted(self, told: zk.Connected, now: float) -> None:
        if told.timeout <= 0 or told.session == 0:
            # The servers' word that our session is over; the next connection asks for a new one.
            self._forget()
            self._down("the session has expired", now, again=True)
            return
        if told.read_only:
            # Guards against a server without a leader: what it says may be old, and it takes no writes.
            self._down("read-only", now)
            return
        resumed = told.session == self.session and self._had_session
        if self._had_session and not resumed:
            self._forget()
        self.session, self._password, self._had_session = told.session, told.password, True
        self.timeout = told.timeout / 1000.0
        self.state = State.CONNECTED
        self._wait, self._tries = self._figures.back_off[0], 0
        for scheme, credentials in self._figures.auth:
            self._write(zk.auth(scheme, credentials), now)
        for again in self.watches.again(self.last_zxid):
            self._write(zk.request(zk.XID_SET_WATCHES, again), now)
        self._events.append(Up(told.session, resumed))

    def _frame(self, payload: bytes) -> None:
        header, rest = zk.read_header(payload)
        if header.xid == zk.XID_EVENT:
            event = zk.read_event(rest)
            self.watches.fired(event)
            self._events.append(Watched(event))
            return
        if header.zxid > 0:
            if header.zxid < self.last_zxid:
                # Guards against news being taken back: this server is behind what another one has told us.
                self._down(f"behind: {header.zxid:#x} after {self.last_zxid:#x}", self._heard)
                return
            self.last_zxid = header.zxid
        if header.xid == zk.XID_PING:
            return
        if header.xid == zk.XID_AUTH:
            if header.error is not Err.OK:
                self._down("our credentials are refused", self._heard)
                self.state = State.REFUSED
                self._due = self._heard + self._figures.back_off[1]
            return
        if header.xid == zk.XID_SET_WATCHES:
            if header.error is not Err.OK:
                raise ZooKeeperError(f"watches can't be set again: {header.error.name}")
            return
        self._answered(header, rest)

    def _answered(self, header: zk.ReplyHeader, rest: Reader) -> None:
        if not self._sent or self._sent[0].xid != header.xid:
            wanted = self._sent[0].xid if self._sent else "none"
            raise ZooKeeperError(f"a reply to {header.xid}, {wanted} is next")
        token, what = self._sent[0].token, self._sent[0].what
        if header.error in (Err.SESSION_MOVED, Err.SESSION_EXPIRED):
            moved = header.error is Err.SESSION_MOVED
            if not moved:
                self._forget()
            self._down(
                "the session has moved" if moved else "the session has expired", self._heard, again=not moved
            )
            return
        result = zk.read_result(what.op, rest) if header.error is Err.OK else None
        self._sent.popleft()
        if isinstance(what, zk.CloseSession):
            self._had_session = False
            self.watches.clear()
            self.state = State.CLOSED
            self._events.append(Down("closed by us"))
            return
        self.watches.left(what, header.error)
        self._events.append(Reply(token, header.error, result, header.zxid))

    def _down(self, why: str, now: float, again: bool = False) -> None:
        """Leaves the connection; `again`: the same server may be asked at once."""
        self._out.clear()
        lost, self._sent = self._sent, deque()
        for one in lost:
            if one.token >= 0:
                self._events.append(Reply(one.token, Err.CONNECTION_LOSS, None, 0))
        self._events.append(Down(why))
        if self._closing:
            self.state = State.CLOSED
            return
        self.state = State.WAITING
        spread = 1.0 + self._figures.jitter * (2.0 * self._random.random() - 1.0)
        if again:
            self._next -= 1
            self._due = now + self._figures.back_off[0] * spread
            return
        # The first look at each other server comes soon; once all have failed, waits grow.
        self._due = now + self._wait * spread
        if self._tries >= len(self._servers):
            self._wait = min(2.0 * self._wait, self._figures.back_off[1])
