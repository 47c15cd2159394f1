"""Follows the data of one node of ZooKeeper; loses no change. Knows no I/O.

The one-time watch is set again by the very read that fetches what has changed, so nothing can slip between.
A node that does not exist is watched for by `exists`.
"""

from __future__ import annotations

from typing import Protocol

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err, Stat
from stonecove.protocols.zookeeper.session import Reply, SessionEvent, Up, Watched
from stonecove.protocols.zookeeper.tree_watch import Ask


class NodeSink(Protocol):
    """Who takes in what the node holds."""

    def put(self, data: bytes, stat: Stat) -> None:
        """The node's data was read."""

    def absent(self) -> None:
        """The node does not exist."""

    def unreadable(self, error: Err) -> None:
        """The servers refuse to tell."""


class NodeWatch:
    """Keeps one node's data in step with the servers, over reconnects and sessions."""

    def __init__(self, path: str, ask: Ask, sink: NodeSink) -> None:
        self.path = path
        self._ask = ask
        self._sink = sink
        self._out = False  # a request of ours is out
        self._again = False  # the watch has fired since it was sent

    def feed(self, event: SessionEvent) -> None:
        """One event of the session; replies come by their own calls."""
        if isinstance(event, Up):
            self._out = False
            self._read()
        elif isinstance(event, Watched) and event.event.path == self.path:
            self._read()

    def _read(self) -> None:
        if self._out:
            self._again = True
            return
        self._out, self._again = True, False
        self._ask(zk.GetData(self.path, watch=True), self._came)

    def _came(self, reply: Reply) -> None:
        if reply.error is Err.NO_NODE:
            self._ask(zk.Exists(self.path, watch=True), self._looked)
            return
        self._out = False
        if isinstance(reply.result, zk.Data):
            self._sink.put(reply.result.data, reply.result.stat)
        elif reply.error is not Err.CONNECTION_LOSS:
            self._sink.unreadable(reply.error)
        self._read_again(reply)

    def _looked(self, reply: Reply) -> None:
        self._out = False
        if reply.error is Err.NO_NODE:
            self._sink.absent()
        elif reply.error is Err.OK:
            self._again = True  # it was made in between
        elif reply.error is not Err.CONNECTION_LOSS:
            self._sink.unreadable(reply.error)
        self._read_again(reply)

    def _read_again(self, reply: Reply) -> None:
        """A lost connection is followed by `Up`, which reads in any case."""
        if self._again and reply.error is not Err.CONNECTION_LOSS:
            self._read()
