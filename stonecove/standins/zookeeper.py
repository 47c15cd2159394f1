"""A stand-in for a ZooKeeper ensemble on loopback, for tests, benchmarks and experiments.

It serves the client protocol of ZooKeeper 3.4 to 3.9, and takes line commands on a control port:

    expire SESSION | expire-path PATH    end the session (that owns the node) and delete its ephemeral nodes
    drop SESSION                         reset the session's connection; the session stays open
    partition [SERVER] | heal            keep connections open but silent until healed
    lag MS [SERVER]                      delay transactions at that server (default: the last one)
    garble N [SESSION]                   replace the next N outgoing frames (of that session) by random bytes
    slow MS                              delay each reply
    readonly on|off                      report a read-only server to new connections
    restart                              end all sessions and delete their ephemeral nodes; other nodes stay
    trace                                list all recorded events, one JSON object per line
    sessions | tree PATH | create PATH DATA | set PATH DATA | delete PATH

The answer to each ends with a line `ok` or `error REASON`.
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
    WriteRequest,
    ZkError,
    allowed,
    digest,
    watch_event,
)

MIN_SESSION_TIMEOUT_MS, MAX_SESSION_TIMEOUT_MS = 200, 600_000  # range granted to a session
SESSION_CHECK_INTERVAL_S = 0.02  # between checks for expired sessions
MAX_TRACE_ENTRIES = 200_000


def _now_ms() -> int:
    return int(time.time() * 1000)


class Session:
    """A session, shared by all servers."""

    def __init__(self, ident: int, timeout_ms: int) -> None:
        """Create a session with a random password; `timeout_ms` as granted."""
        self.ident = ident
        self.password = os.urandom(16)
        self.timeout_ms = timeout_ms
        self.last_received_at = time.monotonic()
        self.connection: Connection | None = None
        self.identities: list[Identity] = []


class Connection:
    """One client's connection to one server."""

    def __init__(self, server: Server, stream: trio.SocketStream) -> None:
        """Create a connection that has no session yet."""
        self.server = server
        self.stream = stream
        self.session: Session | None = None
        self.scope = trio.CancelScope()
        self._outgoing: deque[tuple[float, bytes]] = deque()
        self._wake = trio.Event()
        self.fire = self._fire  # a single bound method, which identifies this connection among the watchers

    def send(self, payload: bytes) -> None:
        """Queue a frame after those queued before."""
        ensemble = self.server.ensemble
        data = len(payload).to_bytes(4, "big") + payload
        if ensemble.frames_to_garble > 0 and ensemble.garbled_session_id in (
            0,
            self.session.ident if self.session else 0,
        ):
            ensemble.frames_to_garble -= 1
            data = ensemble.garbled_frame(len(data))
        self._outgoing.append((time.monotonic() + ensemble.reply_delay_s, data))
        self._wake.set()

    def reply(self, xid: int, error: Err, body: bytes = b"", zxid: int | None = None) -> None:
        """Send the reply to a request."""
        reply_zxid = self.server.replica.applied if zxid is None else zxid
        self.send(
            jute.int_(xid) + jute.long(reply_zxid) + jute.int_(error) + (body if error is Err.OK else b"")
        )

    def _fire(self, kind: EventType, path: str) -> None:
        self.send(watch_event(kind, path))

    def close(self) -> None:
        """Reset the connection."""
        self.scope.cancel()

    async def run(self) -> None:
        """Serve until either side closes the connection."""
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
            while self._outgoing:
                due_at, _ = self._outgoing[0]
                if due_at > time.monotonic():
                    await trio.sleep(due_at - time.monotonic())
                await self.server.wait_until_healed()
                now, parts = time.monotonic(), []
                while self._outgoing and self._outgoing[0][0] <= now:
                    parts.append(self._outgoing.popleft()[1])
                if parts:
                    await self.stream.send_all(b"".join(parts))
            self._wake = trio.Event()
            if not self._outgoing:
                await self._wake.wait()

    async def _read(self) -> None:
        buffer = Buffer(zk.MAX_FRAME_BYTES * 2)
        handshake_done = False
        while data := await self.stream.receive_some(65_536):
            await self.server.wait_until_healed()
            buffer.feed(data)
            try:
                for payload in zk.frames(buffer):
                    await self.server.wait_until_healed()
                    if not handshake_done:
                        handshake_done = True
                        if not self.server.handle_connect(self, Reader(payload)):
                            await trio.sleep(0.05)  # time to send the rejection
                            return
                    elif not await self._request(payload):
                        return
            except (ZooKeeperError, JuteError):
                return

    async def _request(self, payload: bytes) -> bool:
        session = self.session
        assert session is not None
        session.last_received_at = time.monotonic()
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
            self.server.ensemble.end_session(session, "closed")
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

    async def write(self, requests: list[WriteRequest]) -> list[str]:
        """Order writes and wait until this server has applied them; return the paths."""
        assert self.session is not None
        ensemble = self.server.ensemble
        try:
            txn, paths = ensemble.leader.write(requests, self.session.ident, self.identities(), _now_ms())
        except ZkError:
            # A failed write is ordered among the others, too: its reply follows those of earlier writes.
            await self.server.wait_until_applied(ensemble.leader.zxid)
            raise
        ensemble.replicate()
        for request, path in zip(requests, paths, strict=True):
            ensemble.record_event(request.kind, path=path, zxid=txn.zxid, session=f"{self.session.ident:#x}")
        await self.server.wait_until_applied(txn.zxid)
        return paths

    def identities(self) -> list[Identity]:
        """Return the client's identities."""
        assert self.session is not None
        return [*self.session.identities, ("ip", "127.0.0.1")]

    def read_data(self, path: str) -> bytes:
        """Return the data of a node; raise ZkError if it may not be read."""
        node = self.server.replica.node(path)
        if not allowed(node, READ, self.identities()):
            raise ZkError(Err.NO_AUTH)
        return node.data


class Server:
    """One server of the ensemble."""

    def __init__(self, ensemble: Ensemble, number: int) -> None:
        """Create a server with an empty replica."""
        self.ensemble = ensemble
        self.number = number
        self.replica = Replica()
        self.lag_s = 0.0
        self._pending: deque[tuple[float, int]] = deque()  # when to apply it, and its index in the log
        self._applied = trio.Event()
        self._arrived = trio.Event()
        self._healed = trio.Event()
        self._healed.set()

    async def wait_until_healed(self) -> None:
        """Wait while this server is partitioned."""
        while not self._healed.is_set():
            await self._healed.wait()

    def partition(self) -> None:
        """Partition this server from its clients."""
        if self._healed.is_set():
            self._healed = trio.Event()

    def heal(self) -> None:
        """End the partition."""
        self._healed.set()

    def enqueue(self, log_index: int) -> None:
        """Apply an ordered transaction, or queue it if this server lags."""
        self._pending.append((time.monotonic() + self.lag_s, log_index))
        if self.lag_s <= 0 and len(self._pending) == 1:
            self._apply_due()
        else:
            self._arrived.set()

    def _apply_due(self) -> None:
        while self._pending and self._pending[0][0] <= time.monotonic():
            self.replica.apply(self.ensemble.leader.log[self._pending.popleft()[1]])
            self._applied.set()
            self._applied = trio.Event()

    async def run(self) -> None:
        """Apply queued transactions when they are due."""
        while True:
            self._apply_due()
            if self._pending:
                await trio.sleep(max(0.0, self._pending[0][0] - time.monotonic()))
            else:
                self._arrived = trio.Event()
                await self._arrived.wait()

    async def wait_until_applied(self, zxid: int) -> None:
        """Wait until this server has applied that transaction."""
        while self.replica.applied < zxid:
            await self._applied.wait()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one client."""
        self.ensemble.accepted_connections += 1
        self.ensemble.record_event("connect", server=self.number)
        connection = Connection(self, stream)
        self.ensemble.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.ensemble.connections.discard(connection)

    def handle_connect(self, connection: Connection, reader: Reader) -> bool:
        """Handle a ConnectRequest; return False if the connection is to be closed."""
        reader.int_()
        zxid, timeout_ms, ident, password = (
            reader.long(),
            reader.int_(),
            reader.long(),
            reader.buffer() or b"",
        )
        client_knows_read_only = reader.remaining > 0
        ensemble = self.ensemble
        if zxid > self.replica.applied:
            ensemble.record_event("refused-behind", server=self.number, seen=zxid, has=self.replica.applied)
            return False
        timeout_ms = min(max(timeout_ms, MIN_SESSION_TIMEOUT_MS), MAX_SESSION_TIMEOUT_MS)
        session = ensemble.sessions.get(ident) if ident else ensemble.open_session(timeout_ms)
        if session is None or (ident and session.password != password):
            connection.send(
                jute.int_(0)
                + jute.int_(0)
                + jute.long(0)
                + jute.buffer(bytes(16))
                + (jute.boolean(False) if client_knows_read_only else b"")
            )
            return False
        if session.connection is not None and session.connection is not connection:
            session.connection.close()
        session.connection, session.last_received_at, connection.session = (
            connection,
            time.monotonic(),
            session,
        )
        ensemble.record_event(
            "session-resumed" if ident else "session-new", session=f"{session.ident:#x}", server=self.number
        )
        connection.send(
            jute.int_(0)
            + jute.int_(session.timeout_ms)
            + jute.long(session.ident)
            + jute.buffer(session.password)
            + (jute.boolean(ensemble.read_only) if client_knows_read_only else b"")
        )
        return True


class Ensemble:
    """All servers, their sessions and the faults injected into them."""

    def __init__(self, servers: int, seed: int = 1) -> None:
        """Create the servers; `seed` determines the bytes of garbled frames."""
        self.leader = Leader()
        self.servers = [Server(self, number) for number in range(servers)]
        self.sessions: dict[int, Session] = {}
        self.connections: set[Connection] = set()
        self.accepted_connections = 0
        self.frames_to_garble = 0
        self.garbled_session_id = 0  # 0: any session
        self.reply_delay_s = 0.0
        self.read_only = False
        self.trace: deque[dict[str, object]] = deque(maxlen=MAX_TRACE_ENTRIES)
        self._random = random.Random(seed)
        self._replicated = 0
        self._next_session = (_now_ms() << 16) & 0x7FFFFFFFFFFFFFFF

    def record_event(self, event: str, **fields: object) -> None:
        """Add an event to the trace."""
        self.trace.append({"at": time.time() * 1000, "what": event, **fields})

    def garbled_frame(self, count: int) -> bytes:
        """Return random bytes that are not a frame: the length at their start is negative."""
        return b"\xff" + self._random.randbytes(max(7, count - 1))

    def replicate(self) -> None:
        """Pass transactions that were not replicated yet to all servers."""
        while self._replicated < len(self.leader.log):
            for server in self.servers:
                server.enqueue(self._replicated)
            self._replicated += 1

    def open_session(self, timeout_ms: int) -> Session:
        """Create a session."""
        self._next_session += 1
        session = Session(self._next_session, timeout_ms)
        self.sessions[session.ident] = session
        return session

    def end_session(self, session: Session, why: str) -> None:
        """End a session, closed by its client, expired or lost."""
        self.sessions.pop(session.ident, None)
        paths = sorted(self.leader.replica.ephemerals.get(session.ident, set()))
        self.leader.end_session(session.ident, _now_ms())
        self.replicate()
        self.record_event("session-end", session=f"{session.ident:#x}", why=why, paths=paths)
        if why != "closed" and session.connection is not None:
            session.connection.close()

    async def run(self) -> None:
        """Run all servers, and end each session whose client was silent for its timeout."""
        async with trio.open_nursery() as nursery:
            for server in self.servers:
                nursery.start_soon(server.run)
            while True:
                await trio.sleep(SESSION_CHECK_INTERVAL_S)
                now = time.monotonic()
                for session in list(self.sessions.values()):
                    if now > session.last_received_at + session.timeout_ms / 1000:
                        self.end_session(session, "silent")

    # -- commands --

    def command(self, line: str) -> list[str]:
        """Run one line of the control port; raise ValueError if it is invalid."""
        verb, *rest = line.split(maxsplit=1)
        arguments = rest[0].split() if rest else []
        match verb:
            case "expire":
                self.end_session(self._session(arguments[0]), "expired by command")
            case "expire-path":
                owner = self.leader.replica.node(arguments[0]).owner
                if owner not in self.sessions:
                    raise ValueError(f"{arguments[0]} does not belong to a session")
                self.end_session(self.sessions[owner], "expired by command")
            case "drop":
                connection = self._session(arguments[0]).connection
                if connection is not None:
                    connection.close()
            case "partition" | "heal":
                targets = [self.servers[int(arguments[0])]] if arguments else self.servers
                for server in targets:
                    server.partition() if verb == "partition" else server.heal()
            case "lag":
                self.servers[int(arguments[1]) if len(arguments) > 1 else -1].lag_s = (
                    float(arguments[0]) / 1000
                )
            case "garble":
                self.garbled_session_id = int(arguments[1], 0) if len(arguments) > 1 else 0
                self.frames_to_garble = int(arguments[0])
            case "slow":
                self.reply_delay_s = float(arguments[0]) / 1000
            case "readonly":
                self.read_only = arguments[0] == "on"
            case "restart":
                self.record_event("restart")
                for connection in list(self.connections):
                    connection.close()
                for session in list(self.sessions.values()):
                    self.end_session(session, "restart")
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
                self.leader.write([WriteRequest(verb, path, data.encode(), acl)], 0, [], _now_ms())
                self.replicate()
                self.record_event(verb, path=path, session="control")
            case "connects":
                return [str(self.accepted_connections)]
            case _:
                raise ValueError(f"unknown command {verb!r}")
        self.record_event("command", line=line)
        return []

    def _session(self, text: str) -> Session:
        ident = int(text, 0)
        if ident not in self.sessions:
            raise ValueError(f"unknown session {text}")
        return self.sessions[ident]

    async def control(self, stream: trio.SocketStream) -> None:
        """Serve one connection to the control port."""
        buffered = b""
        try:
            while data := await stream.receive_some(65_536):
                buffered += data
                *lines, buffered = buffered.split(b"\n")
                for line in lines:
                    if not line.strip():
                        continue
                    try:
                        response = [*self.command(line.decode().strip()), "ok"]
                    except (ValueError, IndexError) as error:
                        response = [f"error {error}"]
                    except ZkError as error:
                        response = [f"error {error.code.name}"]
                    await stream.send_all(("\n".join(response) + "\n").encode())
        except (OSError, trio.BrokenResourceError):
            pass


# -- requests --


def _read_acls(reader: Reader) -> tuple[Acl, ...]:
    return tuple(reader.vector(lambda: Acl(reader.int_(), reader.string(), reader.string())))


def _read_write_request(op: Op, reader: Reader) -> WriteRequest:
    """Read a write from a request or from a multi."""
    if op in (Op.CREATE, Op.CREATE2, Op.CREATE_CONTAINER, Op.CREATE_TTL):
        path, data, acl, flags = reader.string(), reader.buffer() or b"", _read_acls(reader), reader.int_()
        if flags > 4 or op is Op.CREATE_TTL:
            raise ZkError(Err.UNIMPLEMENTED)
        return WriteRequest("create", path, data, acl, 0 if flags == 4 else flags)
    if op is Op.DELETE:
        return WriteRequest("delete", reader.string(), version=reader.int_())
    if op is Op.SET_DATA:
        return WriteRequest("set", reader.string(), reader.buffer() or b"", version=reader.int_())
    if op is Op.CHECK:
        return WriteRequest("check", reader.string(), version=reader.int_())
    raise ZkError(Err.BAD_ARGUMENTS)


def _result(op: Op, path: str, replica: Replica) -> bytes:
    """Return the body of a successful write's reply; a node deleted later in the same multi has no stat."""
    stat = replica.nodes[path].stat() if path in replica.nodes else zk.Stat()
    if op in (Op.CREATE2, Op.CREATE_CONTAINER):
        return jute.string(path) + stat.encode()
    if op is Op.CREATE:
        return jute.string(path)
    if op in (Op.SET_DATA, Op.SET_ACL):
        return stat.encode()
    return b""


async def _write(op: Op, connection: Connection, reader: Reader) -> bytes:
    paths = await connection.write([_read_write_request(op, reader)])
    return _result(op, paths[0], connection.server.replica)


async def _set_acl(connection: Connection, reader: Reader) -> bytes:
    path, acl, version = reader.string(), _read_acls(reader), reader.int_()
    await connection.write([WriteRequest("acl", path, acl=acl, version=version)])
    return _result(Op.SET_ACL, path, connection.server.replica)


async def _multi(connection: Connection, reader: Reader) -> bytes:
    ops: list[Op] = []
    requests: list[WriteRequest] = []
    while True:
        op_code, done, _ = reader.int_(), reader.boolean(), reader.int_()
        if done:
            break
        ops.append(Op(op_code))
        requests.append(_read_write_request(ops[-1], reader))
    end = jute.int_(-1) + jute.boolean(True) + jute.int_(-1)
    try:
        paths = await connection.write(requests)
    except ZkError as error:
        failed_index = error.args[0]
        codes = [
            Err.OK
            if index < failed_index
            else error.code
            if index == failed_index
            else Err.RUNTIME_INCONSISTENCY
            for index in range(len(ops))
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
    data = connection.read_data(path)
    watchers = connection.server.replica.watchers
    if watch:
        watchers.add(watchers.data, path, connection.fire)
    return jute.buffer(data) + connection.server.replica.node(path).stat().encode()


async def _children(with_stat: bool, connection: Connection, reader: Reader) -> bytes:
    path, watch = reader.string(), reader.boolean()
    connection.read_data(path)
    node, watchers = connection.server.replica.node(path), connection.server.replica.watchers
    if watch:
        watchers.add(watchers.child, path, connection.fire)
    return jute.strings(sorted(node.children)) + (node.stat().encode() if with_stat else b"")


async def _get_acl(connection: Connection, reader: Reader) -> bytes:
    node = connection.server.replica.node(reader.string())
    return jute.vector(acl.encode() for acl in node.acl) + node.stat().encode()


async def _sync(connection: Connection, reader: Reader) -> bytes:
    path = reader.string()
    await connection.server.wait_until_applied(connection.server.ensemble.leader.zxid)
    return jute.string(path)


async def _set_watches(with_persistent: bool, connection: Connection, reader: Reader) -> bytes:
    zxid, data, exist, child = reader.long(), reader.strings(), reader.strings(), reader.strings()
    persistent = (reader.strings(), reader.strings()) if with_persistent else ([], [])
    connection.server.replica.restore_watches(zxid, connection.fire, data, exist, child, *persistent)
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
    connection.session.identities.append(("digest", digest(credentials)))
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
    host: str, ports: list[int], control: tuple[str, int], lag_ms: float, announce: Callable[[str], None]
) -> None:
    """Run an ensemble with one server per port; the last one lags by `lag_ms`. Port 0: any free port."""
    ensemble = Ensemble(len(ports))
    ensemble.servers[-1].lag_s = lag_ms / 1000.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ensemble.run)
        for server, port in zip(ensemble.servers, ports, strict=True):
            listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
            announce(f"listening on {host}:{listeners[0].socket.getsockname()[1]}")
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        listeners = await trio.open_tcp_listeners(control[1], host=control[0])
        announce(f"control on {control[0]}:{listeners[0].socket.getsockname()[1]}")
        nursery.start_soon(trio.serve_listeners, ensemble.control, listeners)
