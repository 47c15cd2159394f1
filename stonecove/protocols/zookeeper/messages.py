"""ZooKeeper's client protocol: frames, requests and replies of versions 3.4 to 3.9, without I/O.

Source: Apache ZooKeeper, `zookeeper.jute`, `ZooDefs.OpCode`, `KeeperException.Code` and the programmer's
guide. A frame is its length as an int, then that many bytes. The first frame in each direction is a
ConnectRequest or ConnectResponse without header; every later request starts with (xid, type), every reply
with (xid, zxid, err).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.zookeeper import jute
from stonecove.protocols.zookeeper.jute import JuteError, Reader

MAX_FRAME_BYTES = 1 << 20  # the default of `jute.maxbuffer` in server and client
XID_EVENT, XID_PING, XID_AUTH, XID_SET_WATCHES = -1, -2, -4, -8
ANY_VERSION = -1
_LENGTH = struct.Struct(">i")
_STAT = struct.Struct(">qqqqiiiqiiq")


class ZooKeeperError(Exception):
    """A frame violates the protocol; the connection cannot be used any more."""


class Op(IntEnum):
    """Request types."""

    EVENT = 0
    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    GET_ACL = 6
    SET_ACL = 7
    GET_CHILDREN = 8
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    CHECK = 13
    MULTI = 14
    CREATE2 = 15
    REMOVE_WATCHES = 18
    CREATE_CONTAINER = 19
    CREATE_TTL = 21
    AUTH = 100
    SET_WATCHES = 101
    GET_EPHEMERALS = 103
    GET_ALL_CHILDREN_NUMBER = 104
    SET_WATCHES2 = 105
    ADD_WATCH = 106
    CREATE_SESSION = -10
    CLOSE_SESSION = -11
    ERROR = -1


class Err(IntEnum):
    """Error codes of a reply; an unknown code is read as SYSTEM_ERROR."""

    OK = 0
    SYSTEM_ERROR = -1
    RUNTIME_INCONSISTENCY = -2
    DATA_INCONSISTENCY = -3
    CONNECTION_LOSS = -4
    MARSHALLING_ERROR = -5
    UNIMPLEMENTED = -6
    OPERATION_TIMEOUT = -7
    BAD_ARGUMENTS = -8
    UNKNOWN_SESSION = -12
    NEW_CONFIG_NO_QUORUM = -13
    RECONFIG_IN_PROGRESS = -14
    API_ERROR = -100
    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    INVALID_CALLBACK = -113
    INVALID_ACL = -114
    AUTH_FAILED = -115
    SESSION_MOVED = -118
    NOT_READ_ONLY = -119
    EPHEMERAL_ON_LOCAL_SESSION = -120
    NO_WATCHER = -121
    REQUEST_TIMEOUT = -122
    RECONFIG_DISABLED = -123
    SESSION_CLOSED_REQUIRE_SASL_AUTH = -124
    QUOTA_EXCEEDED = -125
    THROTTLED_OP = -127

    @classmethod
    def _missing_(cls, value: object) -> Err:
        return cls.SYSTEM_ERROR


class EventType(IntEnum):
    """Types of watch events."""

    NONE = -1
    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4
    DATA_WATCH_REMOVED = 5
    CHILD_WATCH_REMOVED = 6
    PERSISTENT_WATCH_REMOVED = 7


class CreateMode(IntEnum):
    """Modes of create."""

    PERSISTENT = 0
    EPHEMERAL = 1
    PERSISTENT_SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3
    CONTAINER = 4


class AddWatchMode(IntEnum):
    """Modes of addWatch (3.6 and later)."""

    PERSISTENT = 0
    PERSISTENT_RECURSIVE = 1


class Stat(NamedTuple):
    """Metadata of a node: transaction ids, times in Unix milliseconds, versions, the owning session."""

    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    ephemeral_owner: int = 0
    data_length: int = 0
    num_children: int = 0
    pzxid: int = 0

    def encode(self) -> bytes:
        """Return the encoded record."""
        return _STAT.pack(*self)

    @classmethod
    def read(cls, reader: Reader) -> Stat:
        """Read a stat record; raise JuteError if it is truncated."""
        return cls(*reader.take(_STAT))


class Acl(NamedTuple):
    """An access control entry; perms are the bits read 1, write 2, create 4, delete 8, admin 16."""

    perms: int
    scheme: str
    ident: str

    def encode(self) -> bytes:
        """Return the encoded record."""
        return jute.int_(self.perms) + jute.string(self.scheme) + jute.string(self.ident)


OPEN_ACL = (Acl(31, "world", "anyone"),)
CREATOR_ACL = (Acl(31, "auth", ""),)


# -- requests --


@dataclass(frozen=True, slots=True)
class Create:
    """create: the reply is the path that was created, with create2 also its stat."""

    path: str
    data: bytes = b""
    acl: tuple[Acl, ...] = OPEN_ACL
    mode: CreateMode = CreateMode.PERSISTENT
    with_stat: bool = False

    @property
    def op(self) -> Op:
        """The request type, create2 if the stat is requested."""
        return Op.CREATE2 if self.with_stat else Op.CREATE

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return (
            jute.string(self.path)
            + jute.buffer(self.data)
            + jute.vector(acl.encode() for acl in self.acl)
            + jute.int_(self.mode)
        )


@dataclass(frozen=True, slots=True)
class Delete:
    """delete, if the version matches that of the node; the reply is empty."""

    path: str
    version: int = ANY_VERSION
    op = Op.DELETE

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path) + jute.int_(self.version)


@dataclass(frozen=True, slots=True)
class Exists:
    """exists: the reply is the stat. The watch is set even if the node does not exist."""

    path: str
    watch: bool = False
    op = Op.EXISTS

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path) + jute.boolean(self.watch)


@dataclass(frozen=True, slots=True)
class GetData:
    """getData: the reply is the data and the stat."""

    path: str
    watch: bool = False
    op = Op.GET_DATA

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path) + jute.boolean(self.watch)


@dataclass(frozen=True, slots=True)
class GetChildren2:
    """getChildren2: the reply is the unordered names of the children and the stat of the node."""

    path: str
    watch: bool = False
    op = Op.GET_CHILDREN2

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path) + jute.boolean(self.watch)


@dataclass(frozen=True, slots=True)
class SetData:
    """setData, if the version matches that of the node; the reply is the stat."""

    path: str
    data: bytes
    version: int = ANY_VERSION
    op = Op.SET_DATA

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path) + jute.buffer(self.data) + jute.int_(self.version)


@dataclass(frozen=True, slots=True)
class Sync:
    """sync: reads after its reply are at least as recent as the leader was when it received the sync."""

    path: str
    op = Op.SYNC

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path)


@dataclass(frozen=True, slots=True)
class Check:
    """check: verify the version of a node, as part of a multi."""

    path: str
    version: int
    op = Op.CHECK

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path) + jute.int_(self.version)


@dataclass(frozen=True, slots=True)
class AddWatch:
    """addWatch: set a watch that remains until it is removed."""

    path: str
    mode: AddWatchMode = AddWatchMode.PERSISTENT_RECURSIVE
    op = Op.ADD_WATCH

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        return jute.string(self.path) + jute.int_(self.mode)


@dataclass(frozen=True, slots=True)
class CloseSession:
    """closeSession: end the session and remove its ephemeral nodes at once."""

    op = Op.CLOSE_SESSION

    def encode(self) -> bytes:
        """Return the empty record."""
        return b""


@dataclass(frozen=True, slots=True)
class SetWatches:
    """setWatches, or setWatches2 if there are persistent watches: set watches again on another connection.

    Changes after `zxid` are reported at once. It is sent with the xid -8; the reply is empty.
    """

    zxid: int
    data: tuple[str, ...] = ()
    exist: tuple[str, ...] = ()
    child: tuple[str, ...] = ()
    persistent: tuple[str, ...] = ()
    recursive: tuple[str, ...] = ()

    @property
    def op(self) -> Op:
        """The type; setWatches2 only with persistent watches, as servers before 3.6 do not support it."""
        return Op.SET_WATCHES2 if self.persistent or self.recursive else Op.SET_WATCHES

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        parts = [self.data, self.exist, self.child]
        if self.op is Op.SET_WATCHES2:
            parts += [self.persistent, self.recursive]
        return jute.long(self.zxid) + b"".join(map(jute.strings, parts))


Single = Create | Delete | SetData | Check


@dataclass(frozen=True, slots=True)
class Multi:
    """multi: apply all operations or none; the reply has a result for each operation."""

    ops: tuple[Single, ...]
    op = Op.MULTI

    def encode(self) -> bytes:
        """Return the encoded record, without header."""
        parts = [
            jute.int_(operation.op) + jute.boolean(False) + jute.int_(-1) + operation.encode()
            for operation in self.ops
        ]
        return b"".join(parts) + jute.int_(-1) + jute.boolean(True) + jute.int_(-1)


Request = (
    Create
    | Delete
    | Exists
    | GetData
    | GetChildren2
    | SetData
    | Sync
    | Check
    | AddWatch
    | CloseSession
    | Multi
    | SetWatches
)


def frame(payload: bytes) -> bytes:
    """Return a frame with `payload`; raise ValueError if it exceeds the size that a server accepts."""
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"a request of {len(payload)} bytes, {MAX_FRAME_BYTES} at most")
    return _LENGTH.pack(len(payload)) + payload


def connect_request(
    last_zxid: int, timeout: int, session: int, password: bytes, read_only: bool = False
) -> bytes:
    """Return the first frame of a connection; `timeout` is in milliseconds, session 0 requests a new one."""
    return frame(
        jute.int_(0)
        + jute.long(last_zxid)
        + jute.int_(timeout)
        + jute.long(session)
        + jute.buffer(password)
        + jute.boolean(read_only)
    )


def request(xid: int, operation: Request) -> bytes:
    """Return the frame of a request with its header."""
    return frame(jute.int_(xid) + jute.int_(operation.op) + operation.encode())


def ping() -> bytes:
    """Return the frame of a ping, which the server answers with one."""
    return frame(jute.int_(XID_PING) + jute.int_(Op.PING))


def auth(scheme: str, credentials: bytes) -> bytes:
    """Return the frame that presents credentials; its reply has the xid -4."""
    return frame(
        jute.int_(XID_AUTH)
        + jute.int_(Op.AUTH)
        + jute.int_(0)
        + jute.string(scheme)
        + jute.buffer(credentials)
    )


# -- replies --


class Connected(NamedTuple):
    """A ConnectResponse; the timeout is in milliseconds, 0 or less means that the session has expired."""

    timeout: int
    session: int
    password: bytes
    read_only: bool


class ReplyHeader(NamedTuple):
    """Header of every reply; zxid is the newest transaction of the server, or not positive."""

    xid: int
    zxid: int
    error: Err


class WatchEvent(NamedTuple):
    """A watch event; state 3 means connected."""

    kind: EventType
    state: int
    path: str


class Data(NamedTuple):
    """Result of getData."""

    data: bytes
    stat: Stat


class Children(NamedTuple):
    """Result of getChildren2."""

    names: tuple[str, ...]
    stat: Stat


class Created(NamedTuple):
    """Result of create and create2."""

    path: str
    stat: Stat | None


class Failed(NamedTuple):
    """Result of an operation of a multi that was not applied."""

    error: Err


Result = None | Data | Children | Created | Stat | tuple["Result", ...] | Failed


def frames(buffer: Buffer) -> Iterator[bytes]:
    """Yield the payloads of all complete frames; raise ZooKeeperError for an invalid length."""
    while len(buffer) >= _LENGTH.size:
        (length,) = buffer.unpack(_LENGTH)
        if not 0 <= length <= MAX_FRAME_BYTES:
            raise ZooKeeperError(f"frame of {length} bytes, {MAX_FRAME_BYTES} at most")
        if len(buffer) < length + _LENGTH.size:
            return
        buffer.skip(_LENGTH.size)
        yield buffer.take(length)


def read_connected(payload: bytes) -> Connected:
    """Read the first frame of a server; raise ZooKeeperError if it is malformed."""
    reader = Reader(payload)
    try:
        reader.int_()
        timeout, session, password = reader.int_(), reader.long(), reader.buffer() or b""
        return Connected(timeout, session, password, reader.boolean() if reader.remaining else False)
    except JuteError as error:
        raise ZooKeeperError(f"malformed ConnectResponse: {error}") from error


def read_header(payload: bytes) -> tuple[ReplyHeader, Reader]:
    """Return the header of a reply and a reader of its body; raise ZooKeeperError if it is malformed."""
    reader = Reader(payload)
    try:
        return ReplyHeader(reader.int_(), reader.long(), Err(reader.int_())), reader
    except JuteError as error:
        raise ZooKeeperError(f"malformed reply header: {error}") from error


def read_event(reader: Reader) -> WatchEvent:
    """Read the body of a watch event; raise ZooKeeperError if it is malformed."""
    try:
        kind, state, path = reader.int_(), reader.int_(), reader.string()
        return WatchEvent(EventType(kind), state, path)
    except (JuteError, ValueError) as error:
        raise ZooKeeperError(f"malformed watch event: {error}") from error


def _read_data(reader: Reader) -> Result:
    data = reader.buffer() or b""
    return Data(data, Stat.read(reader))


def _read_children(reader: Reader) -> Result:
    names = tuple(reader.strings())
    return Children(names, Stat.read(reader))


def _read_created(reader: Reader) -> Result:
    return Created(reader.string(), None)


def _read_created2(reader: Reader) -> Result:
    return Created(reader.string(), Stat.read(reader))


def _read_multi(reader: Reader) -> Result:
    results: list[Result] = []
    while True:
        op, done, _ = reader.int_(), reader.boolean(), reader.int_()
        if done:
            return tuple(results)
        if op == Op.ERROR:
            results.append(Failed(Err(reader.int_())))
        elif op in (Op.CREATE, Op.CREATE2, Op.SET_DATA, Op.DELETE, Op.CHECK):
            results.append(_RESULT_READERS[Op(op)](reader))
        else:
            raise JuteError(f"unexpected result of type {op} in a multi")


def _read_empty(reader: Reader) -> Result:
    return None


_RESULT_READERS: dict[Op, Callable[[Reader], Result]] = {
    Op.CREATE: _read_created,
    Op.CREATE2: _read_created2,
    Op.DELETE: _read_empty,
    Op.EXISTS: Stat.read,
    Op.GET_DATA: _read_data,
    Op.SET_DATA: Stat.read,
    Op.SYNC: _read_empty,
    Op.GET_CHILDREN2: _read_children,
    Op.CHECK: _read_empty,
    Op.MULTI: _read_multi,
    Op.ADD_WATCH: _read_empty,
    Op.CLOSE_SESSION: _read_empty,
    Op.SET_WATCHES: _read_empty,
    Op.SET_WATCHES2: _read_empty,
}


def read_result(op: Op, reader: Reader) -> Result:
    """Read the body of a successful reply to an `op` request; raise ZooKeeperError if it is malformed."""
    try:
        return _RESULT_READERS[op](reader)
    except JuteError as error:
        raise ZooKeeperError(f"malformed reply to {op.name}: {error}") from error
