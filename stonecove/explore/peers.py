"""The peers of the router in the explorer: sockets, clients and servers that do what they are told."""

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

_TXN = re.compile(rb"\*4\r\n\$5\r\nfetch\r\n\$16\r\n([0-9a-f]{16})\r\n\$\d+\r\n([^\r]*)\r\n")
_ABORT = re.compile(rb"\*2\r\n\$5\r\nabort\r\n\$16\r\n([0-9a-f]{16})\r\n")
_RECORD = struct.Struct(">BBHHBB")


class PeerObserver(Protocol):
    """What simulated sockets and connections need from the simulation that holds them."""

    @property
    def clock(self) -> Clock:
        """The simulated clock."""

    @property
    def monitor(self) -> PropertyMonitor:
        """Takes note of properties that are violated."""

    def first_byte(self, channel: ServerChannel, txn: str, fields: dict[str, str]) -> None:
        """Called as the first byte of a fetch is written."""


class LinkSocket:
    """The router's end of a connection to a server."""

    def __init__(self, observer: PeerObserver, channel: ServerChannel) -> None:
        self._observer = observer
        self._channel = channel
        self.room: int | None = None  # bytes that it still takes; None: any number
        self.dead = ""  # why it is over, though the router may not have noticed: closed, reset
        self._midway = b""  # of the command under way, what is still to come
        self._command = b""  # all of it

    def send(self, data: bytes | memoryview, /) -> int:
        """Takes bytes; the observer is told of each command as its first byte is written."""
        if self.dead == "reset":
            raise ConnectionResetError("reset by the server")
        count = len(data) if self.room is None else min(self.room, len(data))
        if not count:
            raise BlockingIOError
        if self.room is not None:
            self.room -= count
        first = not self._midway
        if first and self.dead:
            self._observer.monitor.broken("not-into-ended", "a command begins after the server's end")
        if not first and bytes(data) != self._midway:
            self._observer.monitor.broken("order-kept", "a command is not written to its end")
        if first:
            self._command = bytes(data)
        self._midway = bytes(data[count:])
        if first and (found := _TXN.match(bytes(data))):
            self._observer.first_byte(self._channel, found[1].decode(), resp.parse_fields(found[2]))
        if not self._midway and not self.dead:
            self._channel.whole(self._command)
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """A look at what is there: only the end is of interest."""
        if self.dead == "reset":
            raise ConnectionResetError("reset by the server")
        if self.dead:
            return b""
        raise BlockingIOError


class ServerChannel(Channel):
    """A connection to a server, its I/O done by the simulation."""

    def __init__(self, observer: PeerObserver, link: NodeConnection, process: int, until: float) -> None:
        super().__init__(link, observer.clock.now)
        self.link = link
        self.observer = observer
        self.until = until  # the second at which connecting is given up
        self.process = process  # the process that listened at the address when it was dialled
        self.silent = False  # it never comes up
        self.sock = LinkSocket(observer, self)
        self.asked: list[str] = []  # ids that the server has whole and has not answered
        self.aborted: list[str] = []  # ids among them that were given up
        self.done: list[str] = []  # ids that it has answered
        self.last: dict[str, bytes] = {}  # by id: its last answer
        self.numbers: dict[str, int] = {}  # by id: the attempt that it has
        self.halfway = b""  # the rest of an answer under way
        self.owed = ("", b"", 0.0)  # and what it says: id, bytes, birth

    def _stop(self) -> None:
        pass  # the simulation notices the end, and reports it to the owner in a separate step

    def whole(self, command: bytes) -> None:
        """A command has reached the server whole."""
        text = command if command.startswith(b"*") else b""
        if found := _TXN.match(text):
            self.asked.append(found[1].decode())
        elif (found := _ABORT.match(text)) and (txn := found[1].decode()) in self.asked:
            self.aborted.append(txn)

    def deliver(self, data: bytes) -> None:
        """Bytes from the server have come in; what can't be read ends the connection."""
        try:
            self.buffer.feed(data)
            self.received()
        except resp.RespError as error:
            self.is_closed = True
            self._close_reason = str(error)
        except Exception as error:  # the program would tell of a bug, and end the connection
            self.observer.monitor.broken("no-slip", repr(error))
            self.is_closed = True


class ClientSocket:
    """The router's end of a client connection; what is written is read as FastCGI at once."""

    def __init__(self, told: Callable[[int, int, bytes], None]) -> None:
        self._told = told
        self.room: int | None = None
        self._data = b""
        self.gone = False

    def send(self, data: bytes | memoryview, /) -> int:
        """Takes bytes, and tells of each record that is whole."""
        if self.gone:
            raise ConnectionResetError("reset by the client")
        count = len(data) if self.room is None else min(self.room, len(data))
        if not count:
            raise BlockingIOError
        if self.room is not None:
            self.room -= count
        self._data += bytes(data[:count])
        while len(self._data) >= _RECORD.size:
            _, kind, ident, length, padding, _ = _RECORD.unpack_from(self._data)
            end = _RECORD.size + length + padding
            if len(self._data) < end:
                break
            content, self._data = self._data[_RECORD.size : _RECORD.size + length], self._data[end:]
            self._told(kind, ident, content)
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        """Nothing is there: what clients send is handed in by steps."""
        raise BlockingIOError


class ClientSession(Session):
    """A client connection, its I/O done by the simulation."""

    def __init__(
        self, sock: ClientSocket, handler: Handler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        super().__init__(sock, handler, clock, budget)
        self.sock = sock
        self.closing = False  # the router wants it ended
        self.finished = False

    def close(self) -> None:
        """The router ends it; the simulation reports the end in a separate step."""
        self.closing = True

    def _stop_reading(self) -> None:
        if not self._write_blocked:
            self.closing = True

    def feed(self, data: bytes) -> None:
        """Bytes from the client have come in."""
        self._buffer.feed(data)
        try:
            self.received()
        except fastcgi.FastCgiError:
            self.closing = True


def request_bytes(ident: int, cls: str, txn: str, item: str, ttl: float, seen: str, body: bytes) -> bytes:
    """The records of a whole request."""
    pairs = {
        "SCRIPT_NAME": f"/svc/{cls}",
        "HTTP_X_TXN": txn,
        "HTTP_X_TXN_KEY": txn,
        "HTTP_X_TTL_MS": f"{ttl:.0f}",
        "HTTP_X_ROW": item,
        "HTTP_X_BUCKET": "3",
        "HTTP_X_WORKING_SET_KB": "10",
    }
    if seen:
        pairs["HTTP_X_ETAG"] = seen
    params = b"".join(
        bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in pairs.items()
    )
    return (
        fastcgi.record(fastcgi.BEGIN, ident, struct.pack(">HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN))
        + fastcgi.record(fastcgi.PARAMS, ident, params)
        + fastcgi.record(fastcgi.PARAMS, ident)
        + (fastcgi.record(fastcgi.STDIN, ident, body) if body else b"")
        + fastcgi.record(fastcgi.STDIN, ident)
    )
