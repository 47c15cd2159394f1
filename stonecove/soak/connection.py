"""One FastCGI connection of a web server that may send in pieces, several at once, abort and leave."""

from __future__ import annotations

import select
import socket
import struct
import time
from collections.abc import Iterator
from typing import NamedTuple

from stonecove.protocols.fastcgi import codec

CONNECT_PATIENCE_S = 2.0
_HEAD = struct.Struct(">BBHHBB")


class WholeAnswer(NamedTuple):
    """An answer that came in to its end. `status` is empty where there was no response before the end."""

    ident: int
    status: str
    body: bytes


def encode_request(ident: int, path: str, fields: dict[str, str]) -> bytes:
    """Return the records of a request without a body."""
    table = {"SCRIPT_NAME": path, **{f"HTTP_X_{name}": value for name, value in fields.items()}}
    params = b"".join(
        bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in table.items()
    )
    return (
        codec.record(codec.BEGIN, ident, struct.pack(">HB5x", codec.RESPONDER, codec.KEEP_CONN))
        + codec.record(codec.PARAMS, ident, params)
        + codec.record(codec.PARAMS, ident)
        + codec.record(codec.STDIN, ident)
    )


class WebServerConnection:
    """A connection to a router; raises OSError where the router has ended it."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect; raises OSError if nobody takes connections there."""
        self.sock = socket.create_connection(address, CONNECT_PATIENCE_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(CONNECT_PATIENCE_S)
        self.ended = False  # the router has ended its side, or the connection broke
        self.ended_at = 0.0  # the Unix second at which that was seen
        self._data = b""
        self._out: dict[int, bytes] = {}

    def send(self, data: bytes, pieces: int = 1, gap_s: float = 0.0) -> None:
        """Write bytes in so many pieces, waiting between them; not to one that has ended its side."""
        size = max(1, -(-len(data) // pieces))
        for start in range(0, len(data), size):
            if start:
                time.sleep(gap_s)
            self._receive()
            if self.ended:
                raise ConnectionResetError
            self.sock.sendall(data[start : start + size])

    def abort(self, ident: int) -> None:
        """Tell the router that nobody waits for a request."""
        self.sock.sendall(codec.record(codec.ABORT, ident))

    def read(self, until: float) -> list[WholeAnswer]:
        """Return answers once there is one, the connection has ended, or that Unix second has come."""
        while not self.ended:
            if found := list(self._answers()):
                return found
            left = until - time.time()
            if left <= 0 and not self._receive():
                return []
            if left > 0 and not self._receive(left):
                return []
        return list(self._answers())

    def _receive(self, patience_s: float = 0.0) -> bool:
        """Take in what has come, or comes within some seconds; return whether there was anything."""
        if not select.select([self.sock], [], [], patience_s)[0]:
            return False
        try:
            data = self.sock.recv(65_536)
        except OSError:
            data = b""
        self._data += data
        if not data:
            self.end()
        return True

    def end(self) -> None:
        """Note that nothing more comes."""
        if not self.ended:
            self.ended, self.ended_at = True, time.time()

    def _answers(self) -> Iterator[WholeAnswer]:
        while len(self._data) >= _HEAD.size:
            _, kind, ident, length, padding, _ = _HEAD.unpack_from(self._data)
            if len(self._data) < _HEAD.size + length + padding:
                return
            content = self._data[_HEAD.size : _HEAD.size + length]
            self._data = self._data[_HEAD.size + length + padding :]
            if kind == codec.STDOUT:
                self._out[ident] = self._out.get(ident, b"") + content
            elif kind == codec.END:
                head, _, body = self._out.pop(ident, b"").partition(b"\r\n\r\n")
                line = head.decode("latin-1").partition("\r\n")[0]
                yield WholeAnswer(ident, line.removeprefix("Status: ")[:3], body)

    def half_close(self) -> None:
        """End our side; the router may go on sending."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """End the connection."""
        self.sock.close()
