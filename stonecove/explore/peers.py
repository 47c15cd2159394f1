"""Simulated peers of the router in the explorer: sockets, clients and server connections."""

from __future__ import annotations

import re
import struct
from collections.abc import Callable
from typing import Protocol

from stonecove.explore.properties import PropertyMonitor
from stonecove.pipeline.send import NodeConnection
from stonecove.protocols import resp
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.protocols.fastcgi.session import Handler, Session
from stonecove.protocols.upstream_channel import Channel
from stonecove.runtime.clock import Clock
from stonecove.state.budget import MemoryBudget

_FETCH_COMMAND = re.compile(rb"\*4\r\n\$5\r\nfetch\r\n\$16\r\n([0-9a-f]{16})\r\n\$\d+\r\n([^\r]*)\r\n")
_ABORT_COMMAND = re.compile(rb"\*2\r\n\$5\r\nabort\r\n\$16\r\n([0-9a-f]{16})\r\n")
_RECORD_HEADER = struct.Struct(">BBHHBB")


class PeerObserver(Protocol):
    """The simulation as its sockets and connections use it."""

    @property
    def clock(self) -> Clock:
        """The simulated clock."""

    @property
    def monitor(self) -> PropertyMonitor:
        """Records violated properties."""

    def first_byte(self, channel: ServerChannel, txn: str, fields: dict[str, str]) -> None:
        """Handle the first byte of a fetch being written."""


class LinkSocket:
    """The router's end of a connection to a server."""

    def __init__(self, observer: PeerObserver, channel: ServerChannel) -> None:
        """Create a socket without a limit on written bytes."""
        self._observer = observer
        self._channel = channel
        self.capacity: int | None = None  # bytes that it still accepts; None: unlimited
        self.close_kind = ""  # "closed" or "reset" by the server, which the router may not have noticed yet
        self._unwritten = b""  # unwritten rest of the current command
        self._command = b""  # the complete current command

    def send(self, data: bytes | memoryview, /) -> int:
        """Accept bytes; notify the observer when the first byte of a fetch is written."""
        if self.close_kind == "reset":
            raise ConnectionResetError("reset by the server")
        count = len(data) if self.capacity is None else min(self.capacity, len(data))
        if not count:
            raise BlockingIOError
        if self.capacity is not None:
            self.capacity -= count
        first = not self._unwritten
        if first and self.close_kind:
            self._observer.monitor.report_violation(
                "not-into-ended", "a command was begun after the server had closed"
            )
        if not first and bytes(data) != self._unwritten:
            self._observer.monitor.report_violation(
                "order-kept", "a command was begun before the previous one was written completely"
            )
        if first:
            self._command = bytes(data)
        self._unwritten = bytes(data[count:])
        if first and (found := _FETCH_COMMAND.match(bytes(data))):
            self._observer.first_byte(self._channel, found[1].decode(), resp.parse_fields(found[2]))
        if not self._unwritten and not self.close_kind:
            self._channel.command_received(self._command)
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Return end of file if the server has closed; raise BlockingIOError otherwise."""
        if self.close_kind == "reset":
            raise ConnectionResetError("reset by the server")
        if self.close_kind:
            return b""
        raise BlockingIOError


class ServerChannel(Channel):
    """A connection to a server, its I/O done by the simulation."""

    def __init__(
        self, observer: PeerObserver, link: NodeConnection, process: int, connect_deadline_s: float
    ) -> None:
        """Start connecting; `connect_deadline_s` is a simulated time."""
        super().__init__(link, observer.clock.now)
        self.link = link
        self.observer = observer
        self.connect_deadline_s = connect_deadline_s  # time in seconds at which connecting is given up
        self.process = process  # node whose process listened at the address when the connection was made
        self.never_opens = False
        self.sock = LinkSocket(observer, self)
        self.unanswered_ids: list[str] = []  # requests received completely, not answered
        self.aborted_ids: list[str] = []  # unanswered ids for which an abort was received
        self.answered_ids: list[str] = []
        self.last_answers: dict[str, bytes] = {}  # by id
        self.attempt_numbers: dict[str, int] = {}  # by id
        self.unsent_rest = b""  # of a partial answer
        self.partial_answer = ("", b"", 0.0)  # id, complete body, creation time in Unix ms

    def _stop(self) -> None:
        pass  # the simulation reports the end to the owner in a separate step

    def command_received(self, command: bytes) -> None:
        """Record a command that the server has received completely."""
        text = command if command.startswith(b"*") else b""
        if found := _FETCH_COMMAND.match(text):
            self.unanswered_ids.append(found[1].decode())
        elif (found := _ABORT_COMMAND.match(text)) and (txn := found[1].decode()) in self.unanswered_ids:
            self.aborted_ids.append(txn)

    def deliver(self, data: bytes) -> None:
        """Feed bytes from the server; undecodable data closes the connection."""
        try:
            self.buffer.feed(data)
            self.received()
        except resp.RespError as error:
            self.is_closed = True
            self._close_reason = str(error)
        except Exception as error:  # the router would log a bug and close the connection
            self.observer.monitor.report_violation("no-slip", repr(error))
            self.is_closed = True


class ClientSocket:
    """The router's end of a client connection; written bytes are parsed as FastCGI at once."""

    def __init__(self, on_record: Callable[[int, int, bytes], None]) -> None:
        """Create a socket; `on_record` receives the type, id and content of each record."""
        self._on_record = on_record
        self.capacity: int | None = None
        self._data = b""
        self.client_has_left = False

    def send(self, data: bytes | memoryview, /) -> int:
        """Accept bytes and pass on each complete record."""
        if self.client_has_left:
            raise ConnectionResetError("reset by the client")
        count = len(data) if self.capacity is None else min(self.capacity, len(data))
        if not count:
            raise BlockingIOError
        if self.capacity is not None:
            self.capacity -= count
        self._data += bytes(data[:count])
        while len(self._data) >= _RECORD_HEADER.size:
            _, kind, request_id, length, padding, _ = _RECORD_HEADER.unpack_from(self._data)
            end = _RECORD_HEADER.size + length + padding
            if len(self._data) < end:
                break
            content, self._data = (
                self._data[_RECORD_HEADER.size : _RECORD_HEADER.size + length],
                self._data[end:],
            )
            self._on_record(kind, request_id, content)
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Raise BlockingIOError: client data is fed by separate steps."""
        raise BlockingIOError


class ClientSession(Session):
    """A client connection, its I/O done by the simulation."""

    def __init__(
        self, sock: ClientSocket, handler: Handler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        """Start a session on a simulated socket."""
        super().__init__(sock, handler, clock, budget)
        self.sock = sock
        self.closing = False  # the router has started to close it
        self.finished = False

    def close(self) -> None:
        """Mark the connection as closing; the simulation reports the end in a separate step."""
        self.closing = True

    def _stop_reading(self) -> None:
        if not self._write_blocked:
            self.closing = True

    def feed(self, data: bytes) -> None:
        """Feed bytes from the client; a protocol error closes the connection."""
        self._buffer.feed(data)
        try:
            self.received()
            while self.has_more_buffered():
                self.received()
        except fastcgi.FastCgiError:
            self.closing = True


def request_bytes(
    request_id: int, cls: str, txn: str, object_key: str, ttl_ms: float, etag: str, body: bytes
) -> bytes:
    """Return the FastCGI records of a complete request."""
    pairs = {
        "SCRIPT_NAME": f"/svc/{cls}",
        "HTTP_X_TXN": txn,
        "HTTP_X_TXN_KEY": txn,
        "HTTP_X_TTL_MS": f"{ttl_ms:.0f}",
        "HTTP_X_ROW": object_key,
        "HTTP_X_BUCKET": "3",
        "HTTP_X_WORKING_SET_KB": "10",
    }
    if etag:
        pairs["HTTP_X_ETAG"] = etag
    params = b"".join(
        bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in pairs.items()
    )
    return (
        fastcgi.record(fastcgi.BEGIN, request_id, struct.pack(">HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN))
        + fastcgi.record(fastcgi.PARAMS, request_id, params)
        + fastcgi.record(fastcgi.PARAMS, request_id)
        + (fastcgi.record(fastcgi.STDIN, request_id, body) if body else b"")
        + fastcgi.record(fastcgi.STDIN, request_id)
    )
