"""A stand-in for a ZooKeeper ensemble, on loopback: for tests, measurements and trying things out.

It speaks the client protocol of 3.4 to 3.9 to any client, and takes line commands on a control port:

    expire SESSION | expire-path PATH    the session ends now, with its ephemeral nodes
    drop SESSION                         its connection is reset, the session lives on
    partition [SERVER] | heal            connections stay open and silent, from now until healed
    lag MS [SERVER]                      that server (the last one) applies transactions so much later
    garble N [SESSION]                   the next N frames that go out (to that session) are noise
    slow MS                              each reply waits so long
    readonly on|off                      new connections are told that the server is read-only
    restart                              all sessions are lost, with their ephemeral nodes; the rest stays
    trace                                all that happened, a JSON object a line
    sessions | tree PATH | create PATH DATA | set PATH DATA | delete PATH

Each is answered by lines, the last of which is `ok`, or `error WHY`.
"""

from __future__ import annotations

import json
import os
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.zookeeper import jute
from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.jute import JuteError, Reader
from stonecove.protocols.zookeeper.messages import Acl, Err, EventType, Op, ZooKeeperError
from stonecove.standins.zkdata import (
    READ,
    Identity,
    Leader,
    Replica,
    Wanted,
    ZkError,
    allowed,
    digest,
    watch_event,
)

LEAST_TIMEOUT, MOST_TIMEOUT = 200, 600_000  # ms that are granted to a session
CHECK_EVERY = 0.02  # seconds between two looks for sessions whose time is over
MOST_TRACE = 200_000


def _now() -> int:
    return int(time.time() * 1000)


class Session:
    """A session, known to all servers."""

    def __init__(self, ident: int, timeout: int) -> None:
        self.ident = ident
        self.password = os.urandom(16)
        self.timeout = timeout
        self.heard = time.monotonic()
        self.connection: Connection | None = None
        self.who: list[Identity] = []


class Connection:
    """One client on one server."""

    def __init__(self, server: Server, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.session: Session | None = None
        self.scope = trio.CancelScope()
        self._out: deque[tuple[float, bytes]] = deque()
        self._wake = trio.Event()
        self.fire = self._fire  # one object: the watchers know us by it

    def push(self, payload: bytes) -> None:
        """A frame goes out, after what went before."""
        ensemble = self.server.ensemble
        data = len(payload).to_bytes(4, "big") + payload
        if ensemble.garble > 0 and ensemble.garble_of in (0, self.session.ident if self.session else 0):
            ensemble.garble -= 1
            data = ensemble.noise(len(data))
        self._out.append((time.monotonic() + ensemble.slow, data))
        self._wake.set()

    def reply(self, xid: int, error: Err, body: bytes = b"", zxid: int | None = None) -> None:
        """The answer to a request."""
        told = self.server.replica.applied if zxid is None else zxid
        self.push(jute.int_(xid) + jute.long(told) + jute.int_(error) + (body if error is Err.OK else b""))

    def _fire(self, kind: EventType, path: str) -> None:
        self.push(watch_event(kind, path))

    def close(self) -> None:
        """Resets the connection."""
        self.scope.cancel()

    async def run(self) -> None:
        """Serves until either side ends it."""
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
                    nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.server.replica.watchers.drop(self.fire)
            if self.session is not None and self.session.connection is self:
                self.session.connection = None
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await trio.aclose_forcefully(self.stream)

    async def _write(self) -> None:
        while True:
            while self._out:
                due, _ = self._out[0]
                if due > time.monotonic():
                    await trio.sleep(due - time.monotonic())
                await self.server.open()
                now, parts = time.monotonic(), []
                while self._out and self._out[0][0] <= now:
                    parts.append(self._out.popleft()[1])
                if parts:
                    await self.stream.send_all(b"".join(parts))
            self._wake = trio.Event()
            if not self._out:
                await self._wake.wait()

    async def _read(self) -> None:
        buffer = Buffer(zk.MAX_FRAME_BYTES * 2)
        greeted = False
        while data := await self.stream.receive_some(65_536):
            await self.server.open()
            buffer.feed(data)
            try:
                for payload in zk.frames(buffer):
                    await self.server.open()
                    if not greeted:
                        greeted = True
                        if not self.server.greet(self, Reader(payload)):
                            await trio.sleep(0.05)  # the refusal is written out
                            return
                    elif not await self._request(payload):
                        return
            except (ZooKeeperError, JuteError):
                return

    async def _request(self, payload: bytes) -> bool:
        session = self.session
        assert session is not None
        session.heard = time.monotonic()
        reader = Reader(payload)
        xid, kind = reader.int_(), reader.int_()
        if session.connection is not self:
            self.reply(xid, Err.SESSION_MOVED)
            await trio.sleep(0.05)
            return False
        try:
            op = Op(kind)
        except ValueError:
            self.reply(xid, Err.UNIMPLEMENTED)
            return True
        if op is Op.CLOSE_SESSION:
            self.server.ensemble.end(session, "closed")
            self.reply(xid, Err.OK)
            await trio.sleep(0.05)
            return False
        try:
            handler = _HANDLERS.get(op)
            if handler is None:
                raise ZkError(Err.UNIMPLEMENTED)
            body = await handler(self, reader)
        except ZkError as error:
            self.reply(xid, error.code)
        except JuteError:
            self.reply(xid, Err.MARSHALLING_ERROR)
        else:
            self.reply(xid, Err.OK, body)
        return True

    async def write(self, wanted: list[Wanted]) -> list[str]:
        """Has writes done, and waits until this server has applied them; the paths."""
        assert self.session is not None
        ensemble = self.server.ensemble
        try:
            txn, paths = ensemble.leader.write(wanted, self.session.ident, self.who(), _now())
        except ZkError:
            # A write that fails is ordered among the others, too: its reply comes after what went before it.
            await self.server.wait_for(ensemble.leader.zxid)
            raise
        ensemble.spread()
        for one, path in zip(wanted, paths, strict=True):
            ensemble.note(one.kind, path=path, zxid=txn.zxid, session=f"{self.session.ident:#x}")
        await self.server.wait_for(txn.zxid)
        return paths

    def who(self) -> list[Identity]:
        """Who the client is."""
        assert self.session is not None
        return [*self.session.who, ("ip", "127.0.0.1")]

    def readable(self, path: str) -> bytes:
        """The data of a node that may be read; raises ZkError."""
        node = self.server.replica.node(path)
        if not allowed(node, READ, self.who()):
            raise ZkError(Err.NO_AUTH)
        return node.data


class Server:
    """One server of the ensemble."""

    def __init__(self, ensemble: Ensemble, number: int) -> None:
        self.ensemble = ensemble
        self.number = number
        self.replica = Replica()
        self.lag = 0.0  # seconds
        self._todo: deque[tuple[float, int]] = deque()  # when, and the place in the log
        self._applied = trio.Event()
        self._arrived = trio.Event()
        self._healed = trio.Event()
        self._healed.set()

    async def open(self) -> None:
        """Waits while this server is cut off."""
        while not self._healed.is_set():
            await self._healed.wait()

    def partition(self) -> None:
        """Cut off from now on."""
        if self._healed.is_set():
            self._healed = trio.Event()

    def heal(self) -> None:
        """Cut off no more."""
        self._healed.set()

    def arrive(self, place: int) -> None:
        """A transaction was ordered."""
        self._todo.append((time.monotonic() + self.lag, place))
        if self.lag <= 0 and len(self._todo) == 1:
            self._apply_due()
        else:
            self._arrived.set()

    def _apply_due(self) -> None:
        while self._todo and self._todo[0][0] <= time.monotonic():
            self.replica.apply(self.ensemble.leader.log[self._todo.popleft()[1]])
            self._applied.set()
            self._applied = trio.Event()

    async def run(self) -> None:
        """Applies what has been waiting for its time."""
        while True:
            self._apply_due()
            if self._todo:
                await trio.sleep(max(0.0, self._todo[0][0] - time.monotonic()))
            else:
                self._arrived = trio.Event()
                await self._arrived.wait()

    async def wait_for(self, zxid: int) -> None:
        """Until that transaction is applied here."""
        while self.replica.applied < zxid:
            await self._applied.wait()

    async def serve(self, stream: trio.SocketStream) -> None:
        """One client."""
        self.ensemble.connects += 1
        self.ensemble.note("connect", server=self.number)
        connection = Connection(self, stream)
        self.ensemble.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.ensemble.connections.discard(connection)

    def greet(self, connection: Connection, reader: Reader) -> bool:
        """ConnectRequest; False if the connection is to be closed."""
        reader.int_()
        zxid, timeout, ident, password = reader.long(), reader.int_(), reader.long(), reader.buffer() or b""
        reader_knows = reader.remaining > 0
        ensemble = self.ensemble
        if zxid > self.replica.applied:
            ensemble.note("refused-behind", server=self.number, seen=zxid, has=self.replica.applied)
            return False
        timeout = min(max(timeout, LEAST_TIMEOUT), MOST_TIMEOUT)
        session = ensemble.sessions.get(ident) if ident else ensemble.open_session(timeout)
        if session is None or (ident and session.password != password):
            connection.push(
                jute.int_(0)
                + jute.int_(0)
                + jute.long(0)
                + jute.buffer(bytes(16))
                + (jute.boolean(False) if reader_knows else b"")
            )
            return False
        if session.connection is not None and session.connection is not connection:
            session.connection.close()
        session.connection, session.heard, connection.session = connection, time.monotonic(), session
        ensemble.note(
            "session-resumed" if ident else "session-new", session=f"{session.ident:#x}", server=self.number
        )
        connection.push(
            jute.int_(0)
            + jute.int_(session.timeout)
            + jute.long(session.ident)
            + jute.buffer(session.password)
            + (jute.boolean(ensemble.read_only) if reader_knows else b"")
        )
        return True


class Ensemble:
    """All servers, their sessions, and what is done to them."""

    def __init__(self, servers: int, seed: int = 1) -> None:
        self.leader = Leader()
        self.servers = [Server(self, number) for number in range(servers)]
        self.sessions: dict[int, Session] = {}
        self.connections: set[Connection] = set()
        self.connects = 0
        self.garble = 0  # frames that are still to be spoilt
        self.garble_of = 0  # the session that gets them; 0: any
        self.slow = 0.0
        self.read_only = False
        self.trace: deque[dict[str, object]] = deque(maxlen=MOST_TRACE)
        self._random = random.Random(seed)
        self._spread = 0
        self._next_session = (_now() << 16) & 0x7FFFFFFFFFFFFFFF

    def note(self, what: str, **fields: object) -> None:
        """Into the trace."""
        self.trace.append({"at": time.time() * 1000, "what": what, **fields})

    def noise(self, count: int) -> bytes:
        """Bytes that are no frame: the length that they begin with is negative."""
        return b"\xff" + self._random.randbytes(max(7, count - 1))

    def spread(self) -> None:
        """Hands new transactions to all servers."""
        while self._spread < len(self.leader.log):
            for server in self.servers:
                server.arrive(self._spread)
            self._spread += 1

    def open_session(self, timeout: int) -> Session:
        """A new session."""
        self._next_session += 1
        session = Session(self._next_session, timeout)
        self.sessions[session.ident] = session
        return session

    def end(self, session: Session, why: str) -> None:
        """A session is over, by the client's word or by time."""
        self.sessions.pop(session.ident, None)
        paths = sorted(self.leader.replica.ephemerals.get(session.ident, set()))
        self.leader.end_session(session.ident, _now())
        self.spread()
        self.note("session-end", session=f"{session.ident:#x}", why=why, paths=paths)
        if why != "closed" and session.connection is not None:
            session.connection.close()

    async def run(self) -> None:
        """Ends sessions that have said nothing for their time-out."""
        async with trio.open_nursery() as nursery:
            for server in self.servers:
                nursery.start_soon(server.run)
            while True:
                await trio.sleep(CHECK_EVERY)
                now = time.monotonic()
                for session in list(self.sessions.values()):
                    if now > session.heard + session.timeout / 1000:
                        self.end(session, "silent")

    # -- commands --

    def command(self, line: str) -> list[str]:
        """One line of the control port; raises ValueError with what is wrong."""
        word, *rest = line.split(maxsplit=1)
        arguments = rest[0].split() if rest else []
        match word:
            case "expire":
                self.end(self._session(arguments[0]), "expired by command")
            case "expire-path":
                owner = self.leader.replica.node(arguments[0]).owner
                if owner not in self.sessions:
                    raise ValueError(f"{arguments[0]} is of no session")
                self.end(self.sessions[owner], "expired by command")
            case "drop":
                connection = self._session(arguments[0]).connection
                if connection is not None:
                    connection.close()
            case "partition" | "heal":
                chosen = [self.servers[int(arguments[0])]] if arguments else self.servers
                for server in chosen:
                    server.partition() if word == "partition" else server.heal()
            case "lag":
                self.servers[int(arguments[1]) if len(arguments) > 1 else -1].lag = float(arguments[0]) / 1000
            case "garble":
                self.garble_of = int(arguments[1], 0) if len(arguments) > 1 else 0
                self.garble = int(arguments[0])
            case "slow":
                self.slow = float(arguments[0]) / 1000
            case "readonly":
                self.read_only = arguments[0] == "on"
            case "restart":
                self.note("restart")
                for connection in list(self.connections):
                    connection.close()
                for session in list(self.sessions.values()):
                    self.end(session, "restart")
            case "trace":
                return [json.dumps(entry) for entry in self.trace]
            case "sessions":
                return [
                    f"{session.ident:#x} {'connected' if session.connection else 'away'}"
                    for session in self.sessions.values()
                ]
            case "tree":
                node = self.leader.replica.node(arguments[0] if arguments else "/")
                return [f"{name}" for name in sorted(node.children)]
            case "create" | "set" | "delete":
                path, _, data = (rest[0] if rest else "").partition(" ")
                acl = (Acl(31, "world", "anyone"),)
                self.leader.write([Wanted(word, path, data.encode(), acl)], 0, [], _now())
                self.spread()
                self.note(word, path=path, session="control")
            case "connects":
                return [str(self.connects)]
            case _:
                raise ValueError(f"no command {word!r}")
        self.note("command", line=line)
        return []

    def _session(self, text: str) -> Session:
        ident = int(text, 0)
        if ident not in self.sessions:
            raise ValueError(f"no session {text}")
        return self.sessions[ident]

    async def control(self, stream: trio.SocketStream) -> None:
        """One connection to the control port."""
        buffered = b""
        try:
            while data := await stream.receive_some(65_536):
                buffered += data
                *lines, buffered = buffered.split(b"\n")
                for line in lines:
                    if not line.strip():
                        continue
                    try:
                        out = [*self.command(line.decode().strip()), "ok"]
                    except (ValueError, IndexError) as error:
                        out = [f"error {error}"]
                    except ZkError as error:
                        out = [f"error {error.code.name}"]
                    await stream.send_all(("\n".join(out) + "\n").encode())
        except (OSError, trio.BrokenResourceError):
            pass


# -- requests --


def _acls(reader: Reader) -> tuple[Acl, ...]:
    return tuple(reader.vector(lambda: Acl(reader.int_(), reader.string(), reader.string())))


def _wanted(op: Op, reader: Reader) -> Wanted:
    """A write as it stands in a request or in a multi."""
    if op in (Op.CREATE, Op.CREATE2, Op.CREATE_CONTAINER, Op.CREATE_TTL):
        path, data, acl, flags = reader.string(), reader.buffer() or b"", _acls(reader), reader.int_()
        if flags > 4 or op is Op.CREATE_TTL:
            raise ZkError(Err.UNIMPLEMENTED)
        return Wanted("create", path, data, acl, 0 if flags == 4 else flags)
    if op is Op.DELETE:
        return Wanted("delete", reader.string(), version=reader.int_())
    if op is Op.SET_DATA:
        return Wanted("set", reader.string(), reader.buffer() or b"", version=reader.int_())
    if op is Op.CHECK:
        return Wanted("check", reader.string(), version=reader.int_())
    raise ZkError(Err.BAD_ARGUMENTS)


def _result(op: Op, path: str, replica: Replica) -> bytes:
    """The body of the reply to a write that was done; what was deleted again in the same multi has no
    stat.
    """
    stat = replica.nodes[path].stat() if path in replica.nodes else zk.Stat()
    if op in (Op.CREATE2, Op.CREATE_CONTAINER):
        return jute.string(path) + stat.encode()
    if op is Op.CREATE:
        return jute.string(path)
    if op in (Op.SET_DATA, Op.SET_ACL):
        return stat.encode()
    return b""


async def _write(op: Op, connection: Connection, reader: Reader) -> bytes:
    paths = await connection.write([_wanted(op, reader)])
    return _result(op, paths[0], connection.server.replica)


async def _set_acl(connection: Connection, reader: Reader) -> bytes:
    path, acl, version = reader.string(), _acls(reader), reader.int_()
    await connection.write([Wanted("acl", path, acl=acl, version=version)])
    return _result(Op.SET_ACL, path, connection.server.replica)


async def _multi(connection: Connection, reader: Reader) -> bytes:
    ops: list[Op] = []
    wanted: list[Wanted] = []
    while True:
        kind, done, _ = reader.int_(), reader.boolean(), reader.int_()
        if done:
            break
        ops.append(Op(kind))
        wanted.append(_wanted(ops[-1], reader))
    end = jute.int_(-1) + jute.boolean(True) + jute.int_(-1)
    try:
        paths = await connection.write(wanted)
    except ZkError as error:
        at = error.args[0]
        codes = [
            Err.OK if place < at else error.code if place == at else Err.RUNTIME_INCONSISTENCY
            for place in range(len(ops))
        ]
        return (
            b"".join(
                jute.int_(-1) + jute.boolean(False) + jute.int_(code) + jute.int_(code) for code in codes
            )
            + end
        )
    return (
        b"".join(
            jute.int_(op) + jute.boolean(False) + jute.int_(0) + _result(op, path, connection.server.replica)
            for op, path in zip(ops, paths, strict=True)
        )
        + end
    )


async def _exists(connection: Connection, reader: Reader) -> bytes:
    path, watch = reader.string(), reader.boolean()
    watchers = connection.server.replica.watchers
    if watch:
        watchers.add(watchers.data, path, connection.fire)
    return connection.server.replica.node(path).stat().encode()


async def _get_data(connection: Connection, reader: Reader) -> bytes:
    path, watch = reader.string(), reader.boolean()
    data = connection.readable(path)
    watchers = connection.server.replica.watchers
    if watch:
        watchers.add(watchers.data, path, connection.fire)
    return jute.buffer(data) + connection.server.replica.node(path).stat().encode()


async def _children(with_stat: bool, connection: Connection, reader: Reader) -> bytes:
    path, watch = reader.string(), reader.boolean()
    connection.readable(path)
    node, watchers = connection.server.replica.node(path), connection.server.replica.watchers
    if watch:
        watchers.add(watchers.child, path, connection.fire)
    return jute.strings(sorted(node.children)) + (node.stat().encode() if with_stat else b"")


async def _get_acl(connection: Connection, reader: Reader) -> bytes:
    node = connection.server.replica.node(reader.string())
    return jute.vector(acl.encode() for acl in node.acl) + node.stat().encode()


async def _sync(connection: Connection, reader: Reader) -> bytes:
    path = reader.string()
    await connection.server.wait_for(connection.server.ensemble.leader.zxid)
    return jute.string(path)


async def _set_watches(new: bool, connection: Connection, reader: Reader) -> bytes:
    zxid, data, exist, child = reader.long(), reader.strings(), reader.strings(), reader.strings()
    more = (reader.strings(), reader.strings()) if new else ([], [])
    connection.server.replica.watch_again(zxid, connection.fire, data, exist, child, *more)
    return b""


async def _add_watch(connection: Connection, reader: Reader) -> bytes:
    path, mode = reader.string(), reader.int_()
    watchers = connection.server.replica.watchers
    watchers.add(watchers.recursive if mode else watchers.persistent, path, connection.fire)
    return jute.int_(0)


async def _auth(connection: Connection, reader: Reader) -> bytes:
    reader.int_()
    scheme, credentials = reader.string(), reader.buffer() or b""
    assert connection.session is not None
    if scheme != "digest" or b":" not in credentials:
        raise ZkError(Err.AUTH_FAILED)
    connection.session.who.append(("digest", digest(credentials)))
    return b""


async def _ping(connection: Connection, reader: Reader) -> bytes:
    return b""


_HANDLERS: dict[Op, Callable[[Connection, Reader], Awaitable[bytes]]] = {
    Op.PING: _ping,
    Op.AUTH: _auth,
    Op.EXISTS: _exists,
    Op.GET_DATA: _get_data,
    Op.GET_ACL: _get_acl,
    Op.SET_ACL: _set_acl,
    Op.SYNC: _sync,
    Op.MULTI: _multi,
    Op.ADD_WATCH: _add_watch,
    Op.GET_CHILDREN: partial(_children, False),
    Op.GET_CHILDREN2: partial(_children, True),
    Op.SET_WATCHES: partial(_set_watches, False),
    Op.SET_WATCHES2: partial(_set_watches, True),
    **{
        op: partial(_write, op)
        for op in (Op.CREATE, Op.CREATE2, Op.CREATE_CONTAINER, Op.CREATE_TTL, Op.DELETE, Op.SET_DATA)
    },
}


async def serve(
    host: str, ports: list[int], control: tuple[str, int], lag: float, say: Callable[[str], None]
) -> None:
    """Runs an ensemble of as many servers as there are ports; the last one lags by so many ms. 0: any
    port.
    """
    ensemble = Ensemble(len(ports))
    ensemble.servers[-1].lag = lag / 1000.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ensemble.run)
        for server, port in zip(ensemble.servers, ports, strict=True):
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
            say(f"listening on {host}:{listeners[0].socket.getsockname()[1]}")
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        listeners = await trio.open_tcp_listeners(control[1], host=control[0])
        say(f"control on {control[0]}:{listeners[0].socket.getsockname()[1]}")
        nursery.start_soon(trio.serve_listeners, ensemble.control, listeners)
