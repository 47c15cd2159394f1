"""The data of the stand-in coordination server: nodes, versions, access lists, transactions, watches. No I/O.

Written from the ZooKeeper programmer's guide ("ZooKeeper Data Model", "ZooKeeper Watches", "Access Control")
and `zookeeper.jute`. One `Leader` orders transactions; each server has a `Replica` that applies them, later
if it lags.
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
Fire = Callable[[EventType, str], None]
Identity = tuple[str, str]
STATE_CONNECTED = 3  # of a session, as an event tells it


class ZkError(Exception):
    """A request that can't be done."""

    def __init__(self, code: Err) -> None:
        super().__init__(code.name)
        self.code = code


@dataclass
class Node:
    """One node."""

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
    created: int = 0  # children ever made, for sequence numbers
    children: set[str] = field(default_factory=set)

    def stat(self) -> Stat:
        """As it is told."""
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
    """One step of a transaction: kind is create, delete, set or acl."""

    kind: str
    path: str
    data: bytes = b""
    acl: tuple[Acl, ...] = ()
    owner: int = 0


class Txn(NamedTuple):
    """A transaction, in the one order of all."""

    zxid: int
    time: int
    changes: tuple[Change, ...]


def watch_event(kind: EventType, path: str) -> bytes:
    """What a server sends when a watch fires: a reply header without a zxid, then kind, state and path."""
    header = jute.int_(XID_EVENT) + jute.long(-1) + jute.int_(0)
    return header + jute.int_(kind) + jute.int_(STATE_CONNECTED) + jute.string(path)


def parent_of(path: str) -> str:
    """The path above."""
    return path.rpartition("/")[0] or "/"


def check_path(path: str) -> None:
    """Raises ZkError for a path that is none."""
    if path == "/":
        return
    bad = any(part in ("", ".", "..") for part in path[1:].split("/"))
    if not path.startswith("/") or bad or "\0" in path:
        raise ZkError(Err.BAD_ARGUMENTS)


def digest(credentials: bytes) -> str:
    """The id of `user:password` in the scheme digest."""
    user = credentials.partition(b":")[0].decode("utf-8", "replace")
    return f"{user}:{base64.b64encode(hashlib.sha1(credentials).digest()).decode()}"


def allowed(node: Node, perm: int, who: Iterable[Identity]) -> bool:
    """Whether one of these identities has the right."""
    mine = set(who)
    return not node.acl or any(
        acl.perms & perm
        and ((acl.scheme, acl.ident) == ("world", "anyone") or (acl.scheme, acl.ident) in mine)
        for acl in node.acl
    )


class Watchers:
    """Who watches what on one server; `Fire` is the identity of a watcher."""

    def __init__(self) -> None:
        self.data: dict[str, set[Fire]] = {}
        self.child: dict[str, set[Fire]] = {}
        self.persistent: dict[str, set[Fire]] = {}
        self.recursive: dict[str, set[Fire]] = {}

    def add(self, table: dict[str, set[Fire]], path: str, fire: Fire) -> None:
        """Somebody watches."""
        table.setdefault(path, set()).add(fire)

    def drop(self, fire: Fire) -> None:
        """A connection has gone."""
        for table in (self.data, self.child, self.persistent, self.recursive):
            for path in [path for path, fires in table.items() if fire in fires]:
                table[path].discard(fire)
                if not table[path]:
                    del table[path]

    def fire(self, kind: EventType, path: str, tables: tuple[dict[str, set[Fire]], ...]) -> None:
        """Tells each watcher once; one-time watches are gone by that."""
        told: set[Fire] = set()
        for table in tables:
            told |= table.pop(path, set())
        told |= self.persistent.get(path, set())
        if kind is not EventType.CHILDREN_CHANGED and self.recursive:
            above = path
            while True:
                told |= self.recursive.get(above, set())
                if above == "/":
                    break
                above = parent_of(above)
        for one in told:
            one(kind, path)


class Replica:
    """What one server has applied so far."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {"/": Node(b"", ())}
        self.ephemerals: dict[int, set[str]] = {}
        self.applied = 0
        self.watchers = Watchers()

    def node(self, path: str) -> Node:
        """A node; raises ZkError."""
        check_path(path)
        if path not in self.nodes:
            raise ZkError(Err.NO_NODE)
        return self.nodes[path]

    def apply(self, txn: Txn) -> None:
        """Applies a transaction, and fires the watches that it touches."""
        self.applied = txn.zxid
        for change in txn.changes:
            getattr(self, f"_{change.kind}")(txn, change)

    def _create(self, txn: Txn, change: Change) -> None:
        above = self.nodes[parent_of(change.path)]
        above.children.add(change.path.rpartition("/")[2])
        above.cversion += 1
        above.created += 1
        above.pzxid = txn.zxid
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
        above = self.nodes[parent_of(change.path)]
        above.children.discard(change.path.rpartition("/")[2])
        above.cversion += 1
        above.pzxid = txn.zxid
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

    def watch_again(
        self,
        zxid: int,
        fire: Fire,
        data: list[str],
        exist: list[str],
        child: list[str],
        persistent: list[str],
        recursive: list[str],
    ) -> None:
        """setWatches: tells at once what has changed after that transaction, and watches the rest."""
        tables = self.watchers
        for path in data:
            node = self.nodes.get(path)
            if node is None or node.mzxid > zxid:
                fire(EventType.DELETED if node is None else EventType.DATA_CHANGED, path)
            else:
                tables.add(tables.data, path, fire)
        for path in exist:
            if path in self.nodes:
                fire(EventType.CREATED, path)
            else:
                tables.add(tables.data, path, fire)
        for path in child:
            node = self.nodes.get(path)
            if node is None or node.pzxid > zxid:
                fire(EventType.DELETED if node is None else EventType.CHILDREN_CHANGED, path)
            else:
                tables.add(tables.child, path, fire)
        for table, paths in ((tables.persistent, persistent), (tables.recursive, recursive)):
            for path in paths:
                tables.add(table, path, fire)


class Wanted(NamedTuple):
    """A write as it is asked for: kind is create, delete, set, check or acl."""

    kind: str
    path: str
    data: bytes = b""
    acl: tuple[Acl, ...] = ()
    flags: int = 0
    version: int = ANY_VERSION


class Leader:
    """Orders the writes. Its own replica is always up to date."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.log: list[Txn] = []

    @property
    def zxid(self) -> int:
        """The newest transaction."""
        return self.replica.applied

    def write(
        self, wanted: list[Wanted], session: int, who: list[Identity], now: int
    ) -> tuple[Txn, list[str]]:
        """Does all or nothing; raises ZkError with the `place` of what can't be done. Returns also the
        paths.
        """
        changes: list[Change] = []
        paths: list[str] = []
        overlay = _Overlay(self.replica)
        for place, one in enumerate(wanted):
            try:
                change, path = self._one(overlay, one, session, who)
            except ZkError as error:
                error.args = (place,)
                raise
            paths.append(path)
            if change is not None:
                changes.append(change)
        return self.commit(tuple(changes), now), paths

    def commit(self, changes: tuple[Change, ...], now: int) -> Txn:
        """The next transaction."""
        txn = Txn(self.zxid + 1, now, changes)
        self.replica.apply(txn)
        self.log.append(txn)
        return txn

    def end_session(self, session: int, now: int) -> Txn:
        """Takes away all ephemeral nodes of a session, in one transaction."""
        mine = sorted(self.replica.ephemerals.pop(session, set()))
        return self.commit(tuple(Change("delete", path) for path in mine), now)

    def _one(
        self, now: _Overlay, one: Wanted, session: int, who: list[Identity]
    ) -> tuple[Change | None, str]:
        check_path(one.path)
        if one.kind == "create":
            return self._create(now, one, session, who)
        node = now.get(one.path)
        if node is None:
            raise ZkError(Err.NO_NODE)
        if one.kind == "delete":
            above = now.get(parent_of(one.path))
            if above is None or not allowed(above, DELETE, who):
                raise ZkError(Err.NO_AUTH)
        elif not allowed(node, {"set": WRITE, "check": READ, "acl": ADMIN}[one.kind], who):
            raise ZkError(Err.NO_AUTH)
        version = node.aversion if one.kind == "acl" else now.version(one.path)
        if one.version not in (ANY_VERSION, version):
            raise ZkError(Err.BAD_VERSION)
        if one.kind == "check":
            return None, one.path
        if one.kind == "delete":
            if now.children(one.path):
                raise ZkError(Err.NOT_EMPTY)
            now.delete(one.path)
            return Change("delete", one.path), one.path
        if one.kind == "set":
            now.bump(one.path)
            return Change("set", one.path, one.data), one.path
        return Change("acl", one.path, acl=_resolved(one.acl, who)), one.path

    def _create(self, now: _Overlay, one: Wanted, session: int, who: list[Identity]) -> tuple[Change, str]:
        above = now.get(parent_of(one.path))
        if above is None:
            raise ZkError(Err.NO_NODE)
        if not allowed(above, CREATE, who):
            raise ZkError(Err.NO_AUTH)
        if above.owner:
            raise ZkError(Err.NO_CHILDREN_FOR_EPHEMERALS)
        path = one.path
        if one.flags & SEQUENTIAL:
            path += f"{now.sequence(parent_of(one.path)):010d}"
        if now.get(path) is not None:
            raise ZkError(Err.NODE_EXISTS)
        acl = _resolved(one.acl, who)
        owner = session if one.flags & EPHEMERAL else 0
        now.create(path, Node(one.data, acl, owner=owner))
        return Change("create", path, one.data, acl, owner), path


def _resolved(acl: tuple[Acl, ...], who: list[Identity]) -> tuple[Acl, ...]:
    """The scheme auth stands for who asks; raises ZkError for a list that says nothing."""
    found: list[Acl] = []
    for one in acl:
        if one.scheme == "auth":
            found += [Acl(one.perms, *identity) for identity in who if identity[0] != "ip"]
        else:
            found.append(one)
    if not found:
        raise ZkError(Err.INVALID_ACL)
    return tuple(found)


class _Overlay:
    """The leader's data as it will be after the first operations of a multi."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._nodes: dict[str, Node | None] = {}
        self._bumps: dict[str, int] = {}
        self._made: dict[str, int] = {}

    def get(self, path: str) -> Node | None:
        """A node, or None."""
        return self._nodes[path] if path in self._nodes else self._replica.nodes.get(path)

    def children(self, path: str) -> bool:
        """Whether there are nodes below."""
        node = self._replica.nodes.get(path)
        names = {f"{path.rstrip('/')}/{name}" for name in node.children} if node else set()
        names |= {name for name in self._nodes if parent_of(name) == path and name != path}
        return any(self.get(name) is not None for name in names)

    def version(self, path: str) -> int:
        """The version of the data."""
        node = self.get(path)
        return (node.version if node else 0) + self._bumps.get(path, 0)

    def sequence(self, path: str) -> int:
        """The next sequence number below a node."""
        node = self._replica.nodes.get(path)
        return (node.created if node else 0) + self._made.get(path, 0)

    def create(self, path: str, node: Node) -> None:
        """Will be there."""
        self._nodes[path] = node
        above = parent_of(path)
        self._made[above] = self._made.get(above, 0) + 1

    def delete(self, path: str) -> None:
        """Will be gone."""
        self._nodes[path] = None

    def bump(self, path: str) -> None:
        """Will have another version."""
        self._bumps[path] = self._bumps.get(path, 0) + 1
