"""Maintains the router's ephemeral node: creates it in each session, with the latest record. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err
from stonecove.protocols.zookeeper.session import Down, Expired, Reply, SessionEvent, Up
from stonecove.protocols.zookeeper.tree_watch import SendRequest
from stonecove.runtime.log_events import LogEvent


class Registrar:
    """Registers one ephemeral node below a path, which is created if it does not exist.

    A node of the same name that another session owns belongs to this process before its restart if
    `is_own_record` accepts its record: it is deleted. Otherwise the name is taken, which is logged by `log`;
    the owner calls `retry_name` after a delay.
    """

    def __init__(
        self,
        path: str,
        name: str,
        record: bytes,
        send_request: SendRequest,
        session_id: Callable[[], int],
        is_own_record: Callable[[bytes], bool],
        log: Callable[..., None],
    ) -> None:
        self._path = path.rstrip("/")
        self._node = f"{self._path}/{name}"
        self._record = record
        self._send_request = send_request
        self._session_id = session_id
        self._is_own_record = is_own_record
        self._log = log
        self._connected = False
        self._in_flight = False  # a request is in flight
        # Record that the node is known to hold; None if this session has no node.
        self._stored: bytes | None = None
        self.name_taken = False  # another process owns the name, or a write was rejected
        self._retired = False
        self._on_stored: list[Callable[[], None]] = []

    def feed(self, event: SessionEvent) -> None:
        """Process an event of the session."""
        if isinstance(event, Up):
            self._connected = True
            if not event.resumed:
                self._stored, self._in_flight = None, False
            self._advance()
        elif isinstance(event, (Down, Expired)):
            self._connected = False

    def update_record(self, record: bytes, on_stored: Callable[[], None] | None = None) -> None:
        """Set the record; call `on_stored` once the node holds it, at once if it already does."""
        self._record = record
        if on_stored is not None:
            self._on_stored.append(on_stored)
        self._advance()

    def recreate_node(self) -> None:
        """Create the node again after somebody other than its session has deleted it."""
        if not self._in_flight:
            self._stored = None
            self._advance()

    def retire(self) -> None:
        """Stop maintaining the node, which another session now does; a node of this session ends with it."""
        self._retired = True

    def retry_name(self) -> None:
        """Try again to register a name that was taken."""
        self.name_taken = False
        self._advance()

    @property
    def is_current(self) -> bool:
        """Whether the node holds the latest record."""
        return self._stored == self._record

    def _advance(self) -> None:
        if not self._connected or self._in_flight or self.name_taken or self._retired:
            return
        if self._stored == self._record:
            callbacks, self._on_stored = self._on_stored, []
            for callback in callbacks:
                callback()
            return
        self._in_flight = True
        record = self._record
        if self._stored is None:
            self._send_request(
                zk.Create(self._node, record, mode=zk.CreateMode.EPHEMERAL),
                partial(self._handle_create, record),
            )
        else:
            self._send_request(zk.SetData(self._node, record), partial(self._handle_set_data, record))

    def _handle_create(self, record: bytes, reply: Reply) -> None:
        self._in_flight = False
        if reply.error is Err.OK:
            self._stored = record
            self._advance()
        elif reply.error is Err.NO_NODE:
            self._in_flight = True
            self._create_parents(self._path)
        elif reply.error is Err.NODE_EXISTS:
            self._in_flight = True
            self._send_request(zk.GetData(self._node), self._handle_get_data)
        elif reply.error is not Err.CONNECTION_LOSS:
            self._log(LogEvent.PRESENCE_WRITE_REJECTED, node=self._node, reason=reply.error.name)
            self.name_taken = True

    def _create_parents(self, path: str) -> None:
        """Create the parents: upwards from the deepest until one can be created, then down again."""
        self._send_request(zk.Create(path), partial(self._handle_create_parent, path))

    def _handle_create_parent(self, path: str, reply: Reply) -> None:
        parent = path.rpartition("/")[0]
        if reply.error is Err.NO_NODE and parent:
            self._create_parents(parent)
            return
        self._in_flight = False
        if reply.error in (Err.OK, Err.NODE_EXISTS):
            self._advance()
        elif reply.error is not Err.CONNECTION_LOSS:
            self._log(LogEvent.PRESENCE_WRITE_REJECTED, node=path, reason=reply.error.name)
            self.name_taken = True

    def _handle_get_data(self, reply: Reply) -> None:
        self._in_flight = False
        if not isinstance(reply.result, zk.Data):
            if reply.error is not Err.CONNECTION_LOSS:
                self._advance()
            return
        data, stat = reply.result
        if stat.ephemeral_owner == self._session_id():
            self._stored = data  # created by this session; the reply was lost
            self._advance()
        elif self._is_own_record(data):
            self._in_flight = True
            self._send_request(zk.Delete(self._node, stat.version), self._handle_delete)
        else:
            self._log(LogEvent.PRESENCE_NAME_CONFLICT, node=self._node, owner=f"{stat.ephemeral_owner:#x}")
            self.name_taken = True

    def _handle_delete(self, reply: Reply) -> None:
        self._in_flight = False
        if reply.error is not Err.CONNECTION_LOSS:
            self._advance()

    def _handle_set_data(self, record: bytes, reply: Reply) -> None:
        self._in_flight = False
        if reply.error is Err.OK:
            self._stored = record
        elif reply.error is Err.NO_NODE:
            self._stored = None
        elif reply.error is not Err.CONNECTION_LOSS:
            self._log(LogEvent.PRESENCE_WRITE_REJECTED, node=self._node, reason=reply.error.name)
            return
        self._advance()
