"""Data of the stand-in ZooKeeper server: nodes, versions, access lists, transactions, watches. No I/O.

Written from the ZooKeeper programmer's guide ("ZooKeeper Data Model", "ZooKeeper Watches", "Access Control")
and `zookeeper.jute`. One `Leader` orders transactions; each server has a `Replica` that applies them, with a
delay if it lags.
"""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from stonecove.protocols.zookeeper import jute
from stonecove.protocols.zookeeper.messages import ANY_VERSION, XID_EVENT, Acl, Err, EventType, Stat

READ, WRITE, CREATE, DELETE, ADMIN = 1, 2, 4, 8, 16
EPHEMERAL, SEQUENTIAL, CONTAINER = 1, 2, 4
WatchCallback = Callable[[EventType, str], None]
Identity = tuple[str, str]
STATE_CONNECTED = 3  # session state in a watch event


class ZkError(Exception):
    """A request that fails with a ZooKeeper error code."""

    def __init__(self, code: Err) -> None:
        """Create an error whose message is the code's name."""
        super().__init__(code.name)
        self.code = code


@dataclass
class Node:
    """A node and its metadata."""

    data: bytes
    acl: tuple[Acl, ...]
    czxid: int = 0
    mzxid: int = 0
    pzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    owner: int = 0
    created: int = 0  # number of children ever created, for sequence numbers
    children: set[str] = field(default_factory=set)

    def stat(self) -> Stat:
        """Return the node's metadata as sent to clients."""
        return Stat(
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            self.aversion,
            self.owner,
            len(self.data),
            len(self.children),
            self.pzxid,
        )


class Change(NamedTuple):
    """One operation of a transaction: kind is create, delete, set or acl."""

    kind: str
    path: str
    data: bytes = b""
    acl: tuple[Acl, ...] = ()
    owner: int = 0


class Txn(NamedTuple):
    """A transaction in the total order of writes."""

    zxid: int
    time: int
    changes: tuple[Change, ...]


def watch_event(kind: EventType, path: str) -> bytes:
    """Return the frame sent when a watch fires: a reply header without a zxid, then kind, state and path."""
    header = jute.int_(XID_EVENT) + jute.long(-1) + jute.int_(0)
    return header + jute.int_(kind) + jute.int_(STATE_CONNECTED) + jute.string(path)


def parent_of(path: str) -> str:
    """Return the parent path."""
    return path.rpartition("/")[0] or "/"


def check_path(path: str) -> None:
    """Raise ZkError if the path is invalid."""
    if path == "/":
        return
    invalid = any(part in ("", ".", "..") for part in path[1:].split("/"))
    if not path.startswith("/") or invalid or "\0" in path:
        raise ZkError(Err.BAD_ARGUMENTS)


def digest(credentials: bytes) -> str:
    """Return the identity of `user:password` in the digest scheme."""
    user = credentials.partition(b":")[0].decode("utf-8", "replace")
    return f"{user}:{base64.b64encode(hashlib.sha1(credentials).digest()).decode()}"


def allowed(node: Node, perm: int, identities: Iterable[Identity]) -> bool:
    """Return whether one of the identities has the permission."""
    known_identities = set(identities)
    return not node.acl or any(
        acl.perms & perm
        and ((acl.scheme, acl.ident) == ("world", "anyone") or (acl.scheme, acl.ident) in known_identities)
        for acl in node.acl
    )


class Watchers:
    """The watches set on one server; a watcher is identified by its callback."""

    def __init__(self) -> None:
        """Create empty watch tables."""
        self.data: dict[str, set[WatchCallback]] = {}
        self.child: dict[str, set[WatchCallback]] = {}
        self.persistent: dict[str, set[WatchCallback]] = {}
        self.recursive: dict[str, set[WatchCallback]] = {}

    def add(self, table: dict[str, set[WatchCallback]], path: str, callback: WatchCallback) -> None:
        """Add a watch on a path."""
        table.setdefault(path, set()).add(callback)

    def drop(self, callback: WatchCallback) -> None:
        """Remove all watches of a closed connection."""
        for table in (self.data, self.child, self.persistent, self.recursive):
            for path in [path for path, callbacks in table.items() if callback in callbacks]:
                table[path].discard(callback)
                if not table[path]:
                    del table[path]

    def fire(self, kind: EventType, path: str, tables: tuple[dict[str, set[WatchCallback]], ...]) -> None:
        """Notify each watcher once, and remove the one-time watches."""
        callbacks: set[WatchCallback] = set()
        for table in tables:
            callbacks |= table.pop(path, set())
        callbacks |= self.persistent.get(path, set())
        if kind is not EventType.CHILDREN_CHANGED and self.recursive:
            ancestor = path
            while True:
                callbacks |= self.recursive.get(ancestor, set())
                if ancestor == "/":
                    break
                ancestor = parent_of(ancestor)
        for callback in callbacks:
            callback(kind, path)


class Replica:
    """The state that one server has applied so far."""

    def __init__(self) -> None:
        """Create a tree that holds only the root."""
        self.nodes: dict[str, Node] = {"/": Node(b"", ())}
        self.ephemerals: dict[int, set[str]] = {}
        self.applied = 0
        self.watchers = Watchers()

    def node(self, path: str) -> Node:
        """Return a node; raise ZkError if the path is invalid or missing."""
        check_path(path)
        if path not in self.nodes:
            raise ZkError(Err.NO_NODE)
        return self.nodes[path]

    def apply(self, txn: Txn) -> None:
        """Apply a transaction, and fire the watches that it affects."""
        self.applied = txn.zxid
        for change in txn.changes:
            getattr(self, f"_{change.kind}")(txn, change)

    def _create(self, txn: Txn, change: Change) -> None:
        parent = self.nodes[parent_of(change.path)]
        parent.children.add(change.path.rpartition("/")[2])
        parent.cversion += 1
        parent.created += 1
        parent.pzxid = txn.zxid
        self.nodes[change.path] = Node(
            change.data, change.acl, txn.zxid, txn.zxid, txn.zxid, txn.time, txn.time, owner=change.owner
        )
        if change.owner:
            self.ephemerals.setdefault(change.owner, set()).add(change.path)
        watchers = self.watchers
        watchers.fire(EventType.CREATED, change.path, (watchers.data,))
        watchers.fire(EventType.CHILDREN_CHANGED, parent_of(change.path), (watchers.child,))

    def _delete(self, txn: Txn, change: Change) -> None:
        node = self.nodes.pop(change.path)
        parent = self.nodes[parent_of(change.path)]
        parent.children.discard(change.path.rpartition("/")[2])
        parent.cversion += 1
        parent.pzxid = txn.zxid
        if node.owner in self.ephemerals:
            self.ephemerals[node.owner].discard(change.path)
        watchers = self.watchers
        watchers.fire(EventType.DELETED, change.path, (watchers.data, watchers.child))
        watchers.fire(EventType.CHILDREN_CHANGED, parent_of(change.path), (watchers.child,))

    def _set(self, txn: Txn, change: Change) -> None:
        node = self.nodes[change.path]
        node.data, node.mzxid, node.mtime = change.data, txn.zxid, txn.time
        node.version += 1
        self.watchers.fire(EventType.DATA_CHANGED, change.path, (self.watchers.data,))

    def _acl(self, txn: Txn, change: Change) -> None:
        node = self.nodes[change.path]
        node.acl = change.acl
        node.aversion += 1

    def restore_watches(
        self,
        zxid: int,
        callback: WatchCallback,
        data: list[str],
        exist: list[str],
        child: list[str],
        persistent: list[str],
        recursive: list[str],
    ) -> None:
        """Handle setWatches: report paths that changed after transaction `zxid`, and watch the others."""
        watchers = self.watchers
        for path in data:
            node = self.nodes.get(path)
            if node is None or node.mzxid > zxid:
                callback(EventType.DELETED if node is None else EventType.DATA_CHANGED, path)
            else:
                watchers.add(watchers.data, path, callback)
        for path in exist:
            if path in self.nodes:
                callback(EventType.CREATED, path)
            else:
                watchers.add(watchers.data, path, callback)
        for path in child:
            node = self.nodes.get(path)
            if node is None or node.pzxid > zxid:
                callback(EventType.DELETED if node is None else EventType.CHILDREN_CHANGED, path)
            else:
                watchers.add(watchers.child, path, callback)
        for table, paths in ((watchers.persistent, persistent), (watchers.recursive, recursive)):
            for path in paths:
                watchers.add(table, path, callback)


class WriteRequest(NamedTuple):
    """A requested write: kind is create, delete, set, check or acl."""

    kind: str
    path: str
    data: bytes = b""
    acl: tuple[Acl, ...] = ()
    flags: int = 0
    version: int = ANY_VERSION


class Leader:
    """Orders the writes. Its own replica is always up to date."""

    def __init__(self) -> None:
        """Create a leader with an empty log."""
        self.replica = Replica()
        self.log: list[Txn] = []

    @property
    def zxid(self) -> int:
        """Return the id of the newest transaction."""
        return self.replica.applied

    def write(
        self, requests: list[WriteRequest], session: int, identities: list[Identity], now_ms: int
    ) -> tuple[Txn, list[str]]:
        """Apply all writes or none; return the transaction and the paths.

        Raises ZkError with the index of the write that fails.
        """
        changes: list[Change] = []
        paths: list[str] = []
        overlay = _Overlay(self.replica)
        for index, request in enumerate(requests):
            try:
                change, path = self._prepare(overlay, request, session, identities)
            except ZkError as error:
                error.args = (index,)
                raise
            paths.append(path)
            if change is not None:
                changes.append(change)
        return self.commit(tuple(changes), now_ms), paths

    def commit(self, changes: tuple[Change, ...], now_ms: int) -> Txn:
        """Append the next transaction to the log, and apply it."""
        txn = Txn(self.zxid + 1, now_ms, changes)
        self.replica.apply(txn)
        self.log.append(txn)
        return txn

    def end_session(self, session: int, now_ms: int) -> Txn:
        """Delete all ephemeral nodes of a session, in one transaction."""
        paths = sorted(self.replica.ephemerals.pop(session, set()))
        return self.commit(tuple(Change("delete", path) for path in paths), now_ms)

    def _prepare(
        self, overlay: _Overlay, request: WriteRequest, session: int, identities: list[Identity]
    ) -> tuple[Change | None, str]:
        check_path(request.path)
        if request.kind == "create":
            return self._create(overlay, request, session, identities)
        node = overlay.get(request.path)
        if node is None:
            raise ZkError(Err.NO_NODE)
        if request.kind == "delete":
            parent = overlay.get(parent_of(request.path))
            if parent is None or not allowed(parent, DELETE, identities):
                raise ZkError(Err.NO_AUTH)
        elif not allowed(node, {"set": WRITE, "check": READ, "acl": ADMIN}[request.kind], identities):
            raise ZkError(Err.NO_AUTH)
        version = node.aversion if request.kind == "acl" else overlay.version(request.path)
        if request.version not in (ANY_VERSION, version):
            raise ZkError(Err.BAD_VERSION)
        if request.kind == "check":
            return None, request.path
        if request.kind == "delete":
            if overlay.children(request.path):
                raise ZkError(Err.NOT_EMPTY)
            overlay.delete(request.path)
            return Change("delete", request.path), request.path
        if request.kind == "set":
            overlay.increment_version(request.path)
            return Change("set", request.path, request.data), request.path
        return Change("acl", request.path, acl=_resolve_acl(request.acl, identities)), request.path

    def _create(
        self, overlay: _Overlay, request: WriteRequest, session: int, identities: list[Identity]
    ) -> tuple[Change, str]:
        parent = overlay.get(parent_of(request.path))
        if parent is None:
            raise ZkError(Err.NO_NODE)
        if not allowed(parent, CREATE, identities):
            raise ZkError(Err.NO_AUTH)
        if parent.owner:
            raise ZkError(Err.NO_CHILDREN_FOR_EPHEMERALS)
        path = request.path
        if request.flags & SEQUENTIAL:
            path += f"{overlay.sequence(parent_of(request.path)):010d}"
        if overlay.get(path) is not None:
            raise ZkError(Err.NODE_EXISTS)
        acl = _resolve_acl(request.acl, identities)
        owner = session if request.flags & EPHEMERAL else 0
        overlay.create(path, Node(request.data, acl, owner=owner))
        return Change("create", path, request.data, acl, owner), path


def _resolve_acl(acl: tuple[Acl, ...], identities: list[Identity]) -> tuple[Acl, ...]:
    """Replace entries of the scheme `auth` by the client's identities; raise ZkError if no entry remains."""
    resolved: list[Acl] = []
    for entry in acl:
        if entry.scheme == "auth":
            resolved += [Acl(entry.perms, *identity) for identity in identities if identity[0] != "ip"]
        else:
            resolved.append(entry)
    if not resolved:
        raise ZkError(Err.INVALID_ACL)
    return tuple(resolved)


class _Overlay:
    """The leader's data with the effects of the preceding operations of a multi."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._nodes: dict[str, Node | None] = {}
        self._version_increments: dict[str, int] = {}
        self._created_children: dict[str, int] = {}

    def get(self, path: str) -> Node | None:
        """Return a node, or None if it does not exist."""
        return self._nodes[path] if path in self._nodes else self._replica.nodes.get(path)

    def children(self, path: str) -> bool:
        """Return whether the node has children."""
        node = self._replica.nodes.get(path)
        names = {f"{path.rstrip('/')}/{name}" for name in node.children} if node else set()
        names |= {name for name in self._nodes if parent_of(name) == path and name != path}
        return any(self.get(name) is not None for name in names)

    def version(self, path: str) -> int:
        """Return the version of the data."""
        node = self.get(path)
        return (node.version if node else 0) + self._version_increments.get(path, 0)

    def sequence(self, path: str) -> int:
        """Return the next sequence number for children of a node."""
        node = self._replica.nodes.get(path)
        return (node.created if node else 0) + self._created_children.get(path, 0)

    def create(self, path: str, node: Node) -> None:
        """Record a created node."""
        self._nodes[path] = node
        parent = parent_of(path)
        self._created_children[parent] = self._created_children.get(parent, 0) + 1

    def delete(self, path: str) -> None:
        """Record a deleted node."""
        self._nodes[path] = None

    def increment_version(self, path: str) -> None:
        """Record a change of a node's data."""
        self._version_increments[path] = self._version_increments.get(path, 0) + 1
