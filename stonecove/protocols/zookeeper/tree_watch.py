"""Follows the nodes below one path of ZooKeeper, with their data; loses no change. Knows no I/O.

A one-time watch is set again by the very read that fetches what has changed, so nothing can slip between.
With `recursive`, one persistent recursive watch (3.6 and later) stands for all of them; a server that does
not know it is asked in the plain way. Reads that were lost with a connection are asked again on the next one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err, EventType, Stat
from stonecove.protocols.zookeeper.session import Expired, Reply, SessionEvent, Up, Watched

MOST_READS = 256  # that are out at a time: a long list must not fill the server's queue for us

Ask = Callable[[zk.Request, Callable[[Reply], None]], None]


class TreeSink(Protocol):
    """Who takes in what is below the path."""

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """A node is there, or its data has changed. One that was deleted and made again is removed first."""

    def removed(self, names: Iterable[str]) -> None:
        """Nodes are gone, all told at once."""

    def whole(self, names: frozenset[str], confirmed: bool) -> None:
        """The list was read, and the data of all in it; `confirmed`: after a sync that was asked for."""

    def absent(self, confirmed: bool) -> None:
        """The path itself does not exist."""


class Tree:
    """Keeps one path in step with the servers, over reconnects and sessions."""

    def __init__(self, path: str, ask: Ask, sink: TreeSink, recursive: bool = False) -> None:
        self.path = path.rstrip("/")
        self._ask = ask
        self._sink = sink
        self._recursive = recursive
        self._up = False
        self._known: dict[str, int] = {}  # by name: the transaction that made the node whose data was told
        self._listed: set[str] | None = None
        self._watched_once = False  # the watch of the whole is set, in this session
        self._list_out = False
        self._list_again = False
        self._confirming = False  # a sync was asked for
        self._confirmed = False  # the next list that is asked for comes after a sync
        self._list_confirmed = False  # so does the one whose data is being read
        self._waiting: deque[str] = deque()  # names to be read
        self._wanted: set[str] = set()  # those of them that are not out yet
        self._out: set[str] = set()
        self._complete = False  # `whole` was told of the present list

    def feed(self, event: SessionEvent) -> None:
        """One event of the session; replies come by their own calls."""
        if isinstance(event, Up):
            self._up = True
            if not event.resumed or not self._watched_once:
                self._begin()
            else:
                self._go_on()
        elif isinstance(event, Expired):
            self._listed, self._complete, self._watched_once = None, False, False
        elif isinstance(event, Watched):
            self._watched(event.event)
        elif not isinstance(event, Reply):
            self._up = False

    def confirm(self) -> None:
        """Has the list read anew after a sync; `whole` or `absent` will say that it is confirmed."""
        if self._up and not self._confirming:
            self._confirming = True
            self._ask(zk.Sync(self.path), self._synced)

    # -- reads --

    def _begin(self) -> None:
        """A new session: all watches are to be set."""
        self._list_out = self._list_again = self._confirming = False
        self._confirmed = self._list_confirmed = False
        self._waiting.clear()
        self._wanted.clear()
        self._out.clear()
        self._complete = False
        for name in self._known:  # their watches are gone with the session: each is read again
            self._want(name)
        self._watched_once = not self._recursive
        if self._recursive:
            self._ask(zk.AddWatch(self.path), self._watching)
        else:
            self._list()

    def _go_on(self) -> None:
        """The same session on a new connection: what was lost is asked again.

        The list is read in any case: its reply comes after all that the watches have to tell, so with `whole`
        the news is as new as the connection. A persistent watch is set again without a word of what was
        missed: then all data is read anew.
        """
        self._complete = False
        if self._recursive:
            for name in self._known:
                self._want(name)
        self._list()
        self._read_some()

    def _watching(self, reply: Reply) -> None:
        if reply.error is Err.CONNECTION_LOSS:
            return
        if reply.error is not Err.OK:
            self._recursive = False
        self._watched_once = True
        self._list()

    def _list(self) -> None:
        if self._list_out:
            self._list_again = True
            return
        self._list_out, self._list_again = True, False
        confirmed, self._confirmed = self._confirmed, False
        self._ask(zk.GetChildren2(self.path, watch=not self._recursive), partial(self._list_came, confirmed))

    def _synced(self, reply: Reply) -> None:
        self._confirming = False
        if reply.error is Err.OK or reply.error is Err.NO_NODE:
            self._confirmed = True
            self._list()

    def _list_came(self, confirmed: bool, reply: Reply) -> None:
        """`confirmed`: it was asked for after the reply to a sync."""
        self._list_out = False
        if reply.error is Err.CONNECTION_LOSS:
            self._list_again = True
            return
        if not isinstance(reply.result, zk.Children):
            self._listed, self._complete = set(), True
            self._forget(self._known)
            self._sink.absent(confirmed)
            self._ask(zk.Exists(self.path, watch=True), self._exists)
            return
        self._listed, self._complete = set(reply.result.names), False
        self._forget(name for name in self._known if name not in self._listed)
        for name in reply.result.names:
            if name not in self._known:
                self._want(name)
        self._list_confirmed |= confirmed  # one that came before, and waits for its data, is no older
        self._read_some()
        if self._list_again:
            self._list()

    def _exists(self, reply: Reply) -> None:
        if reply.error is Err.OK:
            self._list()
        elif reply.error is Err.CONNECTION_LOSS:
            self._complete = False

    def _want(self, name: str) -> None:
        """Has a node read. If that is out already, its reply is newer than any word that came before it."""
        if name not in self._out and name not in self._wanted:
            self._wanted.add(name)
            self._waiting.append(name)

    def _read_some(self) -> None:
        while self._up and self._waiting and len(self._out) < MOST_READS:
            name = self._waiting.popleft()
            if name in self._wanted:
                self._wanted.discard(name)
                self._out.add(name)
                self._ask(
                    zk.GetData(f"{self.path}/{name}", watch=not self._recursive), partial(self._came, name)
                )
        if self._listed is not None and not self._complete and not self._out and not self._waiting:
            self._complete = True
            confirmed, self._list_confirmed = self._list_confirmed, False
            self._sink.whole(frozenset(self._listed), confirmed)

    def _came(self, name: str, reply: Reply) -> None:
        self._out.discard(name)
        if reply.error is Err.CONNECTION_LOSS:
            self._want(name)
            return
        if isinstance(reply.result, zk.Data):
            stat = reply.result.stat
            if self._known.get(name, stat.czxid) != stat.czxid:
                self._sink.removed((name,))  # it was deleted, and made again, between two reads
            self._known[name] = stat.czxid
            self._sink.put(name, reply.result.data, stat)
        elif reply.error is Err.NO_NODE:
            self._forget((name,))
            if self._listed is not None:
                self._listed.discard(name)
        self._read_some()

    def _forget(self, names: Iterable[str]) -> None:
        gone = []
        for name in list(names):
            self._wanted.discard(name)
            if self._known.pop(name, None) is not None:
                gone.append(name)
        if gone:
            self._sink.removed(gone)

    # -- watches --

    def _watched(self, event: zk.WatchEvent) -> None:
        if event.path == self.path:
            if event.kind is EventType.PERSISTENT_WATCH_REMOVED:
                self._begin()
            elif not (self._recursive and event.kind is EventType.DATA_CHANGED):
                self._list()
            return
        parent, _, name = event.path.rpartition("/")
        if parent != self.path:
            return
        if event.kind is EventType.DELETED:
            self._forget((name,))
            if self._listed is not None:
                self._listed.discard(name)
        elif event.kind in (EventType.CREATED, EventType.DATA_CHANGED):
            if self._listed is not None:
                self._listed.add(name)
            self._want(name)
            self._read_some()
        elif event.kind is EventType.DATA_WATCH_REMOVED:
            self._want(name)
            self._read_some()
