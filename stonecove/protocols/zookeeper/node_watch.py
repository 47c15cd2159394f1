"""Follows the data of one ZooKeeper node without missing a change. Does no I/O.

The read that fetches a change also sets the one-time watch again, so no change falls between the two. A node
that does not exist is watched by `exists`.
"""

from __future__ import annotations

from typing import Protocol

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err, Stat
from stonecove.protocols.zookeeper.session import Reply, SessionEvent, Up, Watched
from stonecove.protocols.zookeeper.tree_watch import SendRequest


class NodeSink(Protocol):
    """Receives the data of the node."""

    def put(self, data: bytes, stat: Stat) -> None:
        """Accept the data that was read."""

    def absent(self) -> None:
        """Note that the node does not exist."""

    def unreadable(self, error: Err) -> None:
        """Note that the servers rejected the read with `error`."""


class NodeWatch:
    """Keeps a sink synchronised with the data of one node, across reconnects and sessions."""

    def __init__(self, path: str, send_request: SendRequest, sink: NodeSink) -> None:
        self.path = path
        self._send_request = send_request
        self._sink = sink
        self._in_flight = False  # a request is in flight
        self._stale = False  # the node must be read again after the request in flight

    def feed(self, event: SessionEvent) -> None:
        """Process an event of the session; replies arrive by the callbacks of their requests."""
        if isinstance(event, Up):
            self._in_flight = False
            self._read()
        elif isinstance(event, Watched) and event.event.path == self.path:
            self._read()

    def _read(self) -> None:
        if self._in_flight:
            self._stale = True
            return
        self._in_flight, self._stale = True, False
        self._send_request(zk.GetData(self.path, watch=True), self._handle_data)

    def _handle_data(self, reply: Reply) -> None:
        if reply.error is Err.NO_NODE:
            self._send_request(zk.Exists(self.path, watch=True), self._handle_exists)
            return
        self._in_flight = False
        if isinstance(reply.result, zk.Data):
            self._sink.put(reply.result.data, reply.result.stat)
        elif reply.error is not Err.CONNECTION_LOSS:
            self._sink.unreadable(reply.error)
        self._read_if_stale(reply)

    def _handle_exists(self, reply: Reply) -> None:
        self._in_flight = False
        if reply.error is Err.NO_NODE:
            self._sink.absent()
        elif reply.error is Err.OK:
            self._stale = True  # it was created after the read
        elif reply.error is not Err.CONNECTION_LOSS:
            self._sink.unreadable(reply.error)
        self._read_if_stale(reply)

    def _read_if_stale(self, reply: Reply) -> None:
        """Read again where required; after a lost connection the read is left to the next `Up`."""
        if self._stale and reply.error is not Err.CONNECTION_LOSS:
            self._read()
