"""Follows the children of one ZooKeeper path and their data without missing a change. Does no I/O.

The read that fetches a change also sets the one-time watch again, so no change falls between the two. With
`recursive`, one persistent recursive watch (3.6 and later) replaces all one-time watches; if the server does
not support it, one-time watches are used. Reads lost with a connection are repeated on the next one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err, EventType, Stat
from stonecove.protocols.zookeeper.session import Expired, Reply, SessionEvent, Up, Watched

MAX_READS_IN_FLIGHT = 256  # so that a long list does not fill the server's queue for this session

SendRequest = Callable[[zk.Request, Callable[[Reply], None]], None]


class TreeSink(Protocol):
    """Receives the children of the path and their changes."""

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """Add a node or update its data; a recreated node is removed first."""

    def removed(self, names: Iterable[str]) -> None:
        """Remove nodes, all of one change in one call."""

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """Accept the complete list, all data read; `confirmed` if it was read after a requested sync."""

    def absent(self, confirmed: bool) -> None:
        """Note that the path itself does not exist; `confirmed` as in `list_complete`."""


class TreeWatch:
    """Keeps a sink synchronised with the children of one path, across reconnects and sessions."""

    def __init__(self, path: str, send_request: SendRequest, sink: TreeSink, recursive: bool = False) -> None:
        self.path = path.rstrip("/")
        self._send_request = send_request
        self._sink = sink
        self._recursive = recursive
        self._connected = False
        self._czxids: dict[str, int] = {}  # by name: czxid of the node whose data the sink has
        self._listed: set[str] | None = None
        self._path_watched = False  # the path itself is watched, in this session
        self._list_in_flight = False
        self._list_stale = False
        self._confirming = False  # a sync is in flight
        self._confirmed = False  # the next list request follows a completed sync
        self._list_confirmed = False  # the list whose data is being read followed a sync
        self._read_queue: deque[str] = deque()  # queue of names to read
        self._unsent_reads: set[str] = set()  # names in the queue whose read has not been sent
        self._reads_in_flight: set[str] = set()
        self._list_complete = False  # the sink has received the current list by `list_complete`

    def feed(self, event: SessionEvent) -> None:
        """Process an event of the session; replies arrive by the callbacks of their requests."""
        if isinstance(event, Up):
            self._connected = True
            if not event.resumed or not self._path_watched:
                self._start_session()
            else:
                self._resume_session()
        elif isinstance(event, Expired):
            self._listed, self._list_complete, self._path_watched = None, False, False
        elif isinstance(event, Watched):
            self._handle_watch_event(event.event)
        elif not isinstance(event, Reply):
            self._connected = False

    def confirm(self) -> None:
        """Read the list again after a sync; `list_complete` or `absent` then reports it as confirmed."""
        if self._connected and not self._confirming:
            self._confirming = True
            self._send_request(zk.Sync(self.path), self._handle_sync)

    # -- reads --

    def _start_session(self) -> None:
        """Set all watches in a new session."""
        self._list_in_flight = self._list_stale = self._confirming = False
        self._confirmed = self._list_confirmed = False
        self._read_queue.clear()
        self._unsent_reads.clear()
        self._reads_in_flight.clear()
        self._list_complete = False
        for name in self._czxids:  # their watches ended with the session: read each again
            self._queue_read(name)
        self._path_watched = not self._recursive
        if self._recursive:
            self._send_request(zk.AddWatch(self.path), self._handle_add_watch)
        else:
            self._request_list()

    def _resume_session(self) -> None:
        """Repeat lost reads in the same session on a new connection.

        The list is always read: its reply follows all pending watch events, so that after `list_complete` the
        sink is as recent as the connection. Setting a persistent watch again does not report missed changes,
        so in recursive mode all data is read again.
        """
        self._list_complete = False
        if self._recursive:
            for name in self._czxids:
                self._queue_read(name)
        self._request_list()
        self._send_reads()

    def _handle_add_watch(self, reply: Reply) -> None:
        if reply.error is Err.CONNECTION_LOSS:
            return
        if reply.error is not Err.OK:
            self._recursive = False
        self._path_watched = True
        self._request_list()

    def _request_list(self) -> None:
        if self._list_in_flight:
            self._list_stale = True
            return
        self._list_in_flight, self._list_stale = True, False
        confirmed, self._confirmed = self._confirmed, False
        self._send_request(
            zk.GetChildren2(self.path, watch=not self._recursive), partial(self._handle_list, confirmed)
        )

    def _handle_sync(self, reply: Reply) -> None:
        self._confirming = False
        if reply.error is Err.OK or reply.error is Err.NO_NODE:
            self._confirmed = True
            self._request_list()

    def _handle_list(self, confirmed: bool, reply: Reply) -> None:
        """Process the list; `confirmed` if it was requested after the reply to a sync."""
        self._list_in_flight = False
        if reply.error is Err.CONNECTION_LOSS:
            self._list_stale = True
            return
        if not isinstance(reply.result, zk.Children):
            self._listed, self._list_complete = set(), True
            self._remove(self._czxids)
            self._sink.absent(confirmed)
            self._send_request(zk.Exists(self.path, watch=True), self._handle_exists)
            return
        self._listed, self._list_complete = set(reply.result.names), False
        self._remove(name for name in self._czxids if name not in self._listed)
        for name in reply.result.names:
            if name not in self._czxids:
                self._queue_read(name)
        # A confirmed list that still awaits its data was read earlier: this one is no older.
        self._list_confirmed |= confirmed
        self._send_reads()
        if self._list_stale:
            self._request_list()

    def _handle_exists(self, reply: Reply) -> None:
        if reply.error is Err.OK:
            self._request_list()
        elif reply.error is Err.CONNECTION_LOSS:
            self._list_complete = False

    def _queue_read(self, name: str) -> None:
        """Queue a read of a node; a read in flight suffices, as its reply is newer than any earlier event."""
        if name not in self._reads_in_flight and name not in self._unsent_reads:
            self._unsent_reads.add(name)
            self._read_queue.append(name)

    def _send_reads(self) -> None:
        while self._connected and self._read_queue and len(self._reads_in_flight) < MAX_READS_IN_FLIGHT:
            name = self._read_queue.popleft()
            if name in self._unsent_reads:
                self._unsent_reads.discard(name)
                self._reads_in_flight.add(name)
                self._send_request(
                    zk.GetData(f"{self.path}/{name}", watch=not self._recursive),
                    partial(self._handle_data, name),
                )
        if (
            self._listed is not None
            and not self._list_complete
            and not self._reads_in_flight
            and not self._read_queue
        ):
            self._list_complete = True
            confirmed, self._list_confirmed = self._list_confirmed, False
            self._sink.list_complete(frozenset(self._listed), confirmed)

    def _handle_data(self, name: str, reply: Reply) -> None:
        self._reads_in_flight.discard(name)
        if reply.error is Err.CONNECTION_LOSS:
            self._queue_read(name)
            return
        if isinstance(reply.result, zk.Data):
            stat = reply.result.stat
            if self._czxids.get(name, stat.czxid) != stat.czxid:
                self._sink.removed((name,))  # deleted and created again between two reads
            self._czxids[name] = stat.czxid
            self._sink.put(name, reply.result.data, stat)
        elif reply.error is Err.NO_NODE:
            self._remove((name,))
            if self._listed is not None:
                self._listed.discard(name)
        self._send_reads()

    def _remove(self, names: Iterable[str]) -> None:
        removed = []
        for name in list(names):
            self._unsent_reads.discard(name)
            if self._czxids.pop(name, None) is not None:
                removed.append(name)
        if removed:
            self._sink.removed(removed)

    # -- watches --

    def _handle_watch_event(self, event: zk.WatchEvent) -> None:
        if event.path == self.path:
            if event.kind is EventType.PERSISTENT_WATCH_REMOVED:
                self._start_session()
            elif not (self._recursive and event.kind is EventType.DATA_CHANGED):
                self._request_list()
            return
        parent, _, name = event.path.rpartition("/")
        if parent != self.path:
            return
        if event.kind is EventType.DELETED:
            self._remove((name,))
            if self._listed is not None:
                self._listed.discard(name)
        elif event.kind in (EventType.CREATED, EventType.DATA_CHANGED):
            if self._listed is not None:
                self._listed.add(name)
            self._queue_read(name)
            self._send_reads()
        elif event.kind is EventType.DATA_WATCH_REMOVED:
            self._queue_read(name)
            self._send_reads()
