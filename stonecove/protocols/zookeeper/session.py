"""A ZooKeeper session that spans many connections, as a state machine without I/O or a clock.

The owner calls `plan` to learn what to do next (which server to connect to, how long to wait), reports the
outcome (`connecting`, `opened`, `received`, `lost`, `tick`), writes the bytes of `data_to_send` and processes
`events`. Times are seconds of any monotonic clock. The session follows these rules:

- Only the server ends a session, unless the client closes it: without a connection it is `Down`, not
  `Expired`.
- Servers are tried in turn, in an order shuffled by the seed, with exponential backoff and jitter.
- A server that is read-only, that is behind the newest zxid seen, or to which the session has not moved, is
  disconnected from.
- Watches are set again on the next connection, together with the newest zxid seen on the old one, so that the
  server reports at once the changes that were missed.
- A request without a reply when its connection breaks ends with CONNECTION_LOSS: the server may have carried
  it out.

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
SET_WATCHES_MAX_BYTES = 128 * 1024  # of paths in one setWatches request, as in other clients
# Part of the session timeout without a frame, after which another server is tried.
READ_TIMEOUT_FRACTION = 2.0 / 3.0
# Part of the session timeout without traffic, after which a ping is sent.
PING_INTERVAL_FRACTION = 1.0 / 3.0


class State(Enum):
    """State of a session and its connection."""

    WAITING = "waiting"  # for the time of the next connection attempt
    CONNECTING = "connecting"
    GREETING = "greeting"  # ConnectRequest sent
    CONNECTED = "connected"
    REFUSED = "refused"  # credentials rejected: tried again after the maximum backoff
    CLOSED = "closed"


# Calls that are valid in each state; any other call is an error of the owner.
TRANSITIONS: dict[State, frozenset[str]] = {
    State.WAITING: frozenset(("connecting", "close")),
    State.CONNECTING: frozenset(("opened", "lost", "close")),
    State.GREETING: frozenset(("received", "lost", "close")),
    State.CONNECTED: frozenset(("received", "lost", "close")),
    State.REFUSED: frozenset(("connecting", "close")),
    State.CLOSED: frozenset(),
}


class Up(NamedTuple):
    """The session is connected; `resumed` if it is the previous session, with its nodes and watches."""

    session: int
    resumed: bool


class Down(NamedTuple):
    """The connection is down; the servers retain the session, its nodes and watches until its timeout."""

    reason: str


class Expired(NamedTuple):
    """The servers have ended the session and removed its ephemeral nodes and watches."""

    session: int


class Reply(NamedTuple):
    """The outcome of a request."""

    token: int
    error: Err
    result: zk.Result
    zxid: int


class Watched(NamedTuple):
    """A watch has fired."""

    event: WatchEvent


SessionEvent = Up | Down | Expired | Reply | Watched


class Plan(NamedTuple):
    """The next action of the owner: connect to `connect`, unless None, and call `tick` at `until`."""

    connect: Server | None
    until: float


class SessionConfig(NamedTuple):
    """Configuration of a session; times in seconds, the backoff as minimum and maximum."""

    session_timeout_s: float = 10.0
    connect_timeout_s: float = 1.0
    backoff_range_s: tuple[float, float] = (0.05, 5.0)
    jitter: float = 0.5  # maximum deviation of a backoff, as a fraction of it
    auth: tuple[tuple[str, bytes], ...] = ()


class _PendingRequest(NamedTuple):
    xid: int
    token: int
    request: zk.Request


class Watches:
    """Paths of the watches of a session, as registered at the server."""

    def __init__(self) -> None:
        self.data: set[str] = set()
        self.exist: set[str] = set()
        self.child: set[str] = set()
        self.persistent: set[str] = set()
        self.recursive: set[str] = set()

    def all_kinds(self) -> tuple[set[str], ...]:
        """Return the five sets in the order of the fields of setWatches2."""
        return self.data, self.exist, self.child, self.persistent, self.recursive

    def clear(self) -> None:
        """Remove all watches."""
        for kind in self.all_kinds():
            kind.clear()

    def register(self, request: zk.Request, error: Err) -> None:
        """Register the watch that an answered request has set, if any."""
        if isinstance(request, zk.Exists) and request.watch and error in (Err.OK, Err.NO_NODE):
            (self.exist if error else self.data).add(request.path)
        elif error:
            return
        elif isinstance(request, zk.GetData) and request.watch:
            self.data.add(request.path)
        elif isinstance(request, zk.GetChildren2) and request.watch:
            self.child.add(request.path)
        elif isinstance(request, zk.AddWatch):
            recursive = request.mode is zk.AddWatchMode.PERSISTENT_RECURSIVE
            (self.recursive if recursive else self.persistent).add(request.path)

    def remove_triggered(self, event: WatchEvent) -> None:
        """Remove the watches that an event has triggered or that the server has removed."""
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

    def set_again(self, zxid: int) -> Iterator[zk.SetWatches]:
        """Yield requests that set all watches again, each within `SET_WATCHES_MAX_BYTES`."""
        batch: list[list[str]] = [[], [], [], [], []]
        size = 0
        for kind, paths in enumerate(self.all_kinds()):
            for path in sorted(paths):
                if size + len(path) + 4 > SET_WATCHES_MAX_BYTES and size:
                    yield zk.SetWatches(zxid, *map(tuple, batch))
                    batch, size = [[], [], [], [], []], 0
                batch[kind].append(path)
                size += len(path) + 4
        if size:
            yield zk.SetWatches(zxid, *map(tuple, batch))


class Session:
    """One session at a time; after it has expired, the next connection starts a new one."""

    def __init__(self, servers: tuple[Server, ...], seed: int, config: SessionConfig | None = None) -> None:
        """Create a session without a connection; raise ValueError if `servers` is empty."""
        if not servers:
            raise ValueError("the ensemble has no servers")
        self._random = random.Random(seed)
        self._config = config or SessionConfig()
        self._servers = list(servers)
        self._random.shuffle(self._servers)
        self._next_server = 0
        self.state = State.WAITING
        self.server: Server | None = None  # of the current or the last connection
        self.session = 0
        self.last_zxid = 0  # newest transaction id in any reply
        self.watches = Watches()
        self.timeout_s = self._config.session_timeout_s  # as negotiated with the server
        self._password = bytes(16)
        self._had_session = False
        self._backoff = self._config.backoff_range_s[0]
        self._attempts = 0  # since the last successful connection
        self._next_attempt_at = -math.inf  # time of the next connection attempt
        self._last_received_at = self._last_sent_at = 0.0
        self._xid = 0
        self._buffer = Buffer(zk.MAX_FRAME_BYTES + 65_536)
        self._output = bytearray()
        self._pending: deque[_PendingRequest] = deque()
        self._events: deque[SessionEvent] = deque()
        self._closing = False

    # -- queries and requests --

    def plan(self, now: float) -> Plan:
        """Return the action that is due at `now` and the time of the next one."""
        if self.state in (State.WAITING, State.REFUSED):
            if now >= self._next_attempt_at:
                return Plan(self._servers[self._next_server % len(self._servers)], math.inf)
            return Plan(None, self._next_attempt_at)
        if self.state is State.CONNECTED:
            return Plan(
                None,
                min(self._last_received_at + self.timeout_s * READ_TIMEOUT_FRACTION, self._next_ping_at()),
            )
        if self.state in (State.CONNECTING, State.GREETING):
            return Plan(None, self._last_received_at + self._config.connect_timeout_s)
        return Plan(None, math.inf)

    def data_to_send(self) -> bytes:
        """Return the bytes to be written to the socket and clear them."""
        data = bytes(self._output)
        self._output.clear()
        return data

    def events(self) -> Iterator[SessionEvent]:
        """Yield the events since the last call, each once."""
        while self._events:
            yield self._events.popleft()

    @property
    def connected(self) -> bool:
        """Whether requests can be sent."""
        return self.state is State.CONNECTED

    def send_request(self, token: int, request: zk.Request, now: float) -> None:
        """Send a request, whose `Reply` carries `token`.

        Without a connection it ends at once with CONNECTION_LOSS.
        """
        if self.state is not State.CONNECTED or self._closing:
            self._events.append(Reply(token, Err.CONNECTION_LOSS, None, 0))
            return
        self._xid = self._xid % 0x7FFFFFFF + 1
        self._pending.append(_PendingRequest(self._xid, token, request))
        self._write(zk.request(self._xid, request), now)

    # -- notifications from the owner --

    def connecting(self, now: float) -> None:
        """Note that the owner is connecting to the planned server."""
        self._check("connecting")
        self.server = self._servers[self._next_server % len(self._servers)]
        self._next_server += 1
        self._attempts += 1
        self.state = State.CONNECTING
        self._last_received_at = now

    def opened(self, now: float) -> None:
        """Start the handshake on the connection that was opened."""
        self._check("opened")
        self.state = State.GREETING
        self._buffer = Buffer(zk.MAX_FRAME_BYTES + 65_536)
        self._last_received_at = now
        self._write(
            zk.connect_request(
                self.last_zxid, round(self._config.session_timeout_s * 1000), self.session, self._password
            ),
            now,
        )

    def received(self, data: bytes, now: float) -> None:
        """Process bytes from the server; a malformed frame or an unsuitable server ends the connection."""
        self._check("received")
        try:
            self._buffer.feed(data)
            for payload in zk.frames(self._buffer):
                self._last_received_at = now
                if self.state is State.GREETING:
                    self._handle_connect_response(zk.read_connected(payload), now)
                elif self.state is State.CONNECTED:
                    self._handle_frame(payload)
                if self.state not in (State.GREETING, State.CONNECTED):
                    return
        except ZooKeeperError as error:
            self._disconnect(f"garbled: {error}", now)

    def lost(self, reason: str, now: float) -> None:
        """Note that the connection was lost or could not be opened."""
        if self.state in (State.CONNECTING, State.GREETING, State.CONNECTED):
            self._disconnect(reason, now)

    def tick(self, now: float) -> None:
        """Send a ping if one is due; end the connection to a server that has timed out."""
        if self.state is State.CONNECTED:
            if now >= self._last_received_at + self.timeout_s * READ_TIMEOUT_FRACTION:
                self._disconnect("silent", now)
            elif now >= self._next_ping_at():
                self._write(zk.ping(), now)
        elif (
            self.state in (State.CONNECTING, State.GREETING)
            and now >= self._last_received_at + self._config.connect_timeout_s
        ):
            self._disconnect("not up in time", now)

    def close(self, now: float) -> None:
        """End the session for good; where connected, send closeSession and await its reply."""
        self._check("close")
        if self.state is State.CONNECTED:
            self._closing = True
            self._xid = self._xid % 0x7FFFFFFF + 1
            self._pending.append(_PendingRequest(self._xid, -1, zk.CloseSession()))
            self._write(zk.request(self._xid, zk.CloseSession()), now)
        else:
            self.state = State.CLOSED

    def move(self, servers: tuple[Server, ...], now: float) -> None:
        """Change to another ensemble, which does not know the session and has its own transaction ids."""
        if self.state is State.CLOSED or not servers:
            return
        self.lost("moved to another ensemble", now)
        self._servers = list(servers)
        self._random.shuffle(self._servers)
        self._next_server = 0
        self._discard_session()
        self.last_zxid = 0
        self.state, self._next_attempt_at = State.WAITING, now
        self._backoff, self._attempts = self._config.backoff_range_s[0], 0

    # -- internals --

    def _check(self, call: str) -> None:
        if call not in TRANSITIONS[self.state]:
            raise RuntimeError(f"{call} while {self.state.value}")

    def _next_ping_at(self) -> float:
        return max(self._last_sent_at, self._last_received_at) + self.timeout_s * PING_INTERVAL_FRACTION

    def _write(self, data: bytes, now: float) -> None:
        self._output += data
        self._last_sent_at = now

    def _discard_session(self) -> None:
        """Discard the session, its password and its watches."""
        if self._had_session:
            self._events.append(Expired(self.session))
        self.session, self._password, self._had_session = 0, bytes(16), False
        self.watches.clear()

    def _handle_connect_response(self, response: zk.Connected, now: float) -> None:
        if response.timeout <= 0 or response.session == 0:
            # The servers report the session as expired; the next connection requests a new one.
            self._discard_session()
            self._disconnect("the session has expired", now, retry_same_server=True)
            return
        if response.read_only:
            # A server without a quorum may return stale data and accepts no writes.
            self._disconnect("read-only", now)
            return
        resumed = response.session == self.session and self._had_session
        if self._had_session and not resumed:
            self._discard_session()
        self.session, self._password, self._had_session = response.session, response.password, True
        self.timeout_s = response.timeout / 1000.0
        self.state = State.CONNECTED
        self._backoff, self._attempts = self._config.backoff_range_s[0], 0
        for scheme, credentials in self._config.auth:
            self._write(zk.auth(scheme, credentials), now)
        for set_watches in self.watches.set_again(self.last_zxid):
            self._write(zk.request(zk.XID_SET_WATCHES, set_watches), now)
        self._events.append(Up(response.session, resumed))

    def _handle_frame(self, payload: bytes) -> None:
        header, body = zk.read_header(payload)
        if header.xid == zk.XID_EVENT:
            event = zk.read_event(body)
            self.watches.remove_triggered(event)
            self._events.append(Watched(event))
            return
        if header.zxid > 0:
            if header.zxid < self.last_zxid:
                # This server lags behind an earlier one: its older data would undo changes already reported.
                self._disconnect(
                    f"behind: {header.zxid:#x} after {self.last_zxid:#x}", self._last_received_at
                )
                return
            self.last_zxid = header.zxid
        if header.xid == zk.XID_PING:
            return
        if header.xid == zk.XID_AUTH:
            if header.error is not Err.OK:
                self._disconnect("our credentials are refused", self._last_received_at)
                self.state = State.REFUSED
                self._next_attempt_at = self._last_received_at + self._config.backoff_range_s[1]
            return
        if header.xid == zk.XID_SET_WATCHES:
            if header.error is not Err.OK:
                raise ZooKeeperError(f"setWatches failed: {header.error.name}")
            return
        self._handle_reply(header, body)

    def _handle_reply(self, header: zk.ReplyHeader, body: Reader) -> None:
        if not self._pending or self._pending[0].xid != header.xid:
            expected = self._pending[0].xid if self._pending else "none"
            raise ZooKeeperError(f"reply to xid {header.xid}, expected {expected}")
        token, request = self._pending[0].token, self._pending[0].request
        if header.error in (Err.SESSION_MOVED, Err.SESSION_EXPIRED):
            moved = header.error is Err.SESSION_MOVED
            if not moved:
                self._discard_session()
            self._disconnect(
                "the session has moved" if moved else "the session has expired",
                self._last_received_at,
                retry_same_server=not moved,
            )
            return
        result = zk.read_result(request.op, body) if header.error is Err.OK else None
        self._pending.popleft()
        if isinstance(request, zk.CloseSession):
            self._had_session = False
            self.watches.clear()
            self.state = State.CLOSED
            self._events.append(Down("closed by us"))
            return
        self.watches.register(request, header.error)
        self._events.append(Reply(token, header.error, result, header.zxid))

    def _disconnect(self, reason: str, now: float, retry_same_server: bool = False) -> None:
        """End the connection; fail the requests in flight with CONNECTION_LOSS.

        With `retry_same_server`, the same server is tried next, after the minimum backoff.
        """
        self._output.clear()
        unanswered, self._pending = self._pending, deque()
        for pending in unanswered:
            if pending.token >= 0:
                self._events.append(Reply(pending.token, Err.CONNECTION_LOSS, None, 0))
        self._events.append(Down(reason))
        if self._closing:
            self.state = State.CLOSED
            return
        self.state = State.WAITING
        jitter_factor = 1.0 + self._config.jitter * (2.0 * self._random.random() - 1.0)
        if retry_same_server:
            self._next_server -= 1
            self._next_attempt_at = now + self._config.backoff_range_s[0] * jitter_factor
            return
        # Each server is tried once with the minimum backoff; it grows after all of them have failed.
        self._next_attempt_at = now + self._backoff * jitter_factor
        if self._attempts >= len(self._servers):
            self._backoff = min(2.0 * self._backoff, self._config.backoff_range_s[1])
