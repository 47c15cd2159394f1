"""ZooKeeper's client protocol: frames, requests and replies of 3.4 to 3.9. Knows no I/O and no session.

Source: Apache ZooKeeper, `zookeeper.jute`, `ZooDefs.OpCode`, `KeeperException.Code` and the programmer's
guide. A frame is its length as an int and that many bytes. The first frame each way is a ConnectRequest and a
ConnectResponse without header; then every request starts with (xid, type), every reply with (xid, zxid, err).
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

MOST_FRAME = 1 << 20  # bytes: `jute.maxbuffer` of server and client, as shipped
XID_EVENT, XID_PING, XID_AUTH, XID_SET_WATCHES = -1, -2, -4, -8
ANY_VERSION = -1
_LENGTH = struct.Struct(">i")
_STAT = struct.Struct(">qqqqiiiqiiq")


class ZooKeeperError(Exception):
    """A frame that can't be what a server sends; the connection is of no use any more."""


class Op(IntEnum):
    """Types of requests."""

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
    """Error codes of a reply. Codes that are not known are read as SYSTEM_ERROR."""

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
    """What a watch tells."""

    NONE = -1
    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4
    DATA_WATCH_REMOVED = 5
    CHILD_WATCH_REMOVED = 6
    PERSISTENT_WATCH_REMOVED = 7


class CreateMode(IntEnum):
    """Flags of create."""

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
    """What a server keeps of a node: transaction ids, Unix milliseconds, versions, the owner's session."""

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
        """The record."""
        return _STAT.pack(*self)

    @classmethod
    def read(cls, reader: Reader) -> Stat:
        """From its record."""
        return cls(*reader.take(_STAT))


class Acl(NamedTuple):
    """An entry of an access list; perms are read 1, write 2, create 4, delete 8, admin 16."""

    perms: int
    scheme: str
    ident: str

    def encode(self) -> bytes:
        """The record."""
        return jute.int_(self.perms) + jute.string(self.scheme) + jute.string(self.ident)


OPEN_ACL = (Acl(31, "world", "anyone"),)
CREATOR_ACL = (Acl(31, "auth", ""),)


# -- requests --


@dataclass(frozen=True, slots=True)
class Create:
    """create: the reply is the path that was made, with create2 also its stat."""

    path: str
    data: bytes = b""
    acl: tuple[Acl, ...] = OPEN_ACL
    mode: CreateMode = CreateMode.PERSISTENT
    with_stat: bool = False

    @property
    def op(self) -> Op:
        """create or create2."""
        return Op.CREATE2 if self.with_stat else Op.CREATE

    def encode(self) -> bytes:
        """The record without header."""
        return (
            jute.string(self.path)
            + jute.buffer(self.data)
            + jute.vector(acl.encode() for acl in self.acl)
            + jute.int_(self.mode)
        )


@dataclass(frozen=True, slots=True)
class Delete:
    """delete, if the version is that of the node; the reply is empty."""

    path: str
    version: int = ANY_VERSION
    op = Op.DELETE

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path) + jute.int_(self.version)


@dataclass(frozen=True, slots=True)
class Exists:
    """exists: the reply is the stat. A watch is left also where there is no node."""

    path: str
    watch: bool = False
    op = Op.EXISTS

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path) + jute.boolean(self.watch)


@dataclass(frozen=True, slots=True)
class GetData:
    """getData: the reply is data and stat."""

    path: str
    watch: bool = False
    op = Op.GET_DATA

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path) + jute.boolean(self.watch)


@dataclass(frozen=True, slots=True)
class GetChildren2:
    """getChildren2: the reply is the names below the node, in no order, and its stat."""

    path: str
    watch: bool = False
    op = Op.GET_CHILDREN2

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path) + jute.boolean(self.watch)


@dataclass(frozen=True, slots=True)
class SetData:
    """setData, if the version is that of the node; the reply is the stat."""

    path: str
    data: bytes
    version: int = ANY_VERSION
    op = Op.SET_DATA

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path) + jute.buffer(self.data) + jute.int_(self.version)


@dataclass(frozen=True, slots=True)
class Sync:
    """sync: what is read after its reply is at least as new as the leader was when it came there."""

    path: str
    op = Op.SYNC

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path)


@dataclass(frozen=True, slots=True)
class Check:
    """check of a version, within multi."""

    path: str
    version: int
    op = Op.CHECK

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path) + jute.int_(self.version)


@dataclass(frozen=True, slots=True)
class AddWatch:
    """addWatch: a watch that stays until it is removed."""

    path: str
    mode: AddWatchMode = AddWatchMode.PERSISTENT_RECURSIVE
    op = Op.ADD_WATCH

    def encode(self) -> bytes:
        """The record without header."""
        return jute.string(self.path) + jute.int_(self.mode)


@dataclass(frozen=True, slots=True)
class CloseSession:
    """closeSession: the session and its ephemeral nodes end at once."""

    op = Op.CLOSE_SESSION

    def encode(self) -> bytes:
        """The record without header: nothing."""
        return b""


@dataclass(frozen=True, slots=True)
class SetWatches:
    """setWatches, or setWatches2 where there are persistent ones: sets watches again on another server.

    What changed after `zxid` is told at once. Sent under the xid -8; the reply is empty.
    """

    zxid: int
    data: tuple[str, ...] = ()
    exist: tuple[str, ...] = ()
    child: tuple[str, ...] = ()
    persistent: tuple[str, ...] = ()
    recursive: tuple[str, ...] = ()

    @property
    def op(self) -> Op:
        """The newer form is used only where it says more: servers before 3.6 do not know it."""
        return Op.SET_WATCHES2 if self.persistent or self.recursive else Op.SET_WATCHES

    def encode(self) -> bytes:
        """The record without header."""
        parts = [self.data, self.exist, self.child]
        if self.op is Op.SET_WATCHES2:
            parts += [self.persistent, self.recursive]
        return jute.long(self.zxid) + b"".join(map(jute.strings, parts))


Single = Create | Delete | SetData | Check


@dataclass(frozen=True, slots=True)
class Multi:
    """multi: all of it is done or nothing; the reply is a result for each operation."""

    ops: tuple[Single, ...]
    op = Op.MULTI

    def encode(self) -> bytes:
        """The record without header."""
        parts = [jute.int_(one.op) + jute.boolean(False) + jute.int_(-1) + one.encode() for one in self.ops]
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
    """A frame; raises ValueError if a server would refuse it for its size."""
    if len(payload) > MOST_FRAME:
        raise ValueError(f"a request of {len(payload)} bytes, {MOST_FRAME} at most")
    return _LENGTH.pack(len(payload)) + payload


def connect_request(
    last_zxid: int, timeout: int, session: int, password: bytes, read_only: bool = False
) -> bytes:
    """The first frame of a connection; the time-out is in milliseconds, session 0 asks for a new one."""
    return frame(
        jute.int_(0)
        + jute.long(last_zxid)
        + jute.int_(timeout)
        + jute.long(session)
        + jute.buffer(password)
        + jute.boolean(read_only)
    )


def request(xid: int, what: Request) -> bytes:
    """A request with its header."""
    return frame(jute.int_(xid) + jute.int_(what.op) + what.encode())


def ping() -> bytes:
    """A sign of life; the server answers with one."""
    return frame(jute.int_(XID_PING) + jute.int_(Op.PING))


def auth(scheme: str, credentials: bytes) -> bytes:
    """Tells who we are; the reply comes under the xid -4."""
    return frame(
        jute.int_(XID_AUTH)
        + jute.int_(Op.AUTH)
        + jute.int_(0)
        + jute.string(scheme)
        + jute.buffer(credentials)
    )


# -- replies --


class Connected(NamedTuple):
    """A ConnectResponse; a time-out of 0 or less says that the session has expired."""

    timeout: int
    session: int
    password: bytes
    read_only: bool


class ReplyHeader(NamedTuple):
    """What every reply begins with; zxid is the server's newest transaction, or not positive."""

    xid: int
    zxid: int
    error: Err


class WatchEvent(NamedTuple):
    """A change that was watched for; state 3 means connected."""

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
    """An operation of a multi that was not done."""

    error: Err


Result = None | Data | Children | Created | Stat | tuple["Result", ...] | Failed


def frames(buffer: Buffer) -> Iterator[bytes]:
    """All frames that are whole."""
    while len(buffer) >= _LENGTH.size:
        (length,) = buffer.unpack(_LENGTH)
        if not 0 <= length <= MOST_FRAME:
            raise ZooKeeperError(f"a frame of {length} bytes, {MOST_FRAME} at most")
        if len(buffer) < length + _LENGTH.size:
            return
        buffer.skip(_LENGTH.size)
        yield buffer.take(length)


def read_connected(payload: bytes) -> Connected:
    """The first frame from a server; raises ZooKeeperError."""
    reader = Reader(payload)
    try:
        reader.int_()
        timeout, session, password = reader.int_(), reader.long(), reader.buffer() or b""
        return Connected(timeout, session, password, reader.boolean() if reader.left else False)
    except JuteError as error:
        raise ZooKeeperError(f"no ConnectResponse: {error}") from error


def read_header(payload: bytes) -> tuple[ReplyHeader, Reader]:
    """The header of a reply, and what follows it; raises ZooKeeperError."""
    reader = Reader(payload)
    try:
        return ReplyHeader(reader.int_(), reader.long(), Err(reader.int_())), reader
    except JuteError as error:
        raise ZooKeeperError(f"no reply header: {error}") from error


def read_event(reader: Reader) -> WatchEvent:
    """What follows the header of a watch's event; raises ZooKeeperError."""
    try:
        kind, state, path = reader.int_(), reader.int_(), reader.string()
        return WatchEvent(EventType(kind), state, path)
    except (JuteError, ValueError) as error:
        raise ZooKeeperError(f"no watch event: {error}") from error


def _data(reader: Reader) -> Result:
    data = reader.buffer() or b""
    return Data(data, Stat.read(reader))


def _children(reader: Reader) -> Result:
    names = tuple(reader.strings())
    return Children(names, Stat.read(reader))


def _created(reader: Reader) -> Result:
    return Created(reader.string(), None)


def _created2(reader: Reader) -> Result:
    return Created(reader.string(), Stat.read(reader))


def _multi(reader: Reader) -> Result:
    found: list[Result] = []
    while True:
        op, done, _ = reader.int_(), reader.boolean(), reader.int_()
        if done:
            return tuple(found)
        if op == Op.ERROR:
            found.append(Failed(Err(reader.int_())))
        elif op in (Op.CREATE, Op.CREATE2, Op.SET_DATA, Op.DELETE, Op.CHECK):
            found.append(_RESULTS[Op(op)](reader))
        else:
            raise JuteError(f"a result of type {op} in a multi")


def _nothing(reader: Reader) -> Result:
    return None


_RESULTS: dict[Op, Callable[[Reader], Result]] = {
    Op.CREATE: _created,
    Op.CREATE2: _created2,
    Op.DELETE: _nothing,
    Op.EXISTS: Stat.read,
    Op.GET_DATA: _data,
    Op.SET_DATA: Stat.read,
    Op.SYNC: _nothing,
    Op.GET_CHILDREN2: _children,
    Op.CHECK: _nothing,
    Op.MULTI: _multi,
    Op.ADD_WATCH: _nothing,
    Op.CLOSE_SESSION: _nothing,
    Op.SET_WATCHES: _nothing,
    Op.SET_WATCHES2: _nothing,
}


def read_result(op: Op, reader: Reader) -> Result:
    """What follows the header of a good reply to a request of that type; raises ZooKeeperError."""
    try:
        return _RESULTS[op](reader)
    except JuteError as error:
        raise ZooKeeperError(f"no reply to {op.name}: {error}") from error
