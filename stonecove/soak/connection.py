"""A web server's FastCGI connection that can fragment, multiplex and abort requests, and half-close."""

from __future__ import annotations

import select
import socket
import struct
import time
from collections.abc import Iterator
from typing import NamedTuple

from stonecove.protocols.fastcgi import codec

CONNECT_TIMEOUT_S = 2.0
_HEADER = struct.Struct(">BBHHBB")


class CompleteAnswer(NamedTuple):
    """A completely received answer. `status` is empty if the request ended without a response."""

    request_id: int
    status: str
    body: bytes


def encode_request(request_id: int, path: str, fields: dict[str, str]) -> bytes:
    """Return the FastCGI records of a request without a body."""
    parameters = {"SCRIPT_NAME": path, **{f"HTTP_X_{name}": value for name, value in fields.items()}}
    encoded_parameters = b"".join(
        bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in parameters.items()
    )
    return (
        codec.record(codec.BEGIN, request_id, struct.pack(">HB5x", codec.RESPONDER, codec.KEEP_CONN))
        + codec.record(codec.PARAMS, request_id, encoded_parameters)
        + codec.record(codec.PARAMS, request_id)
        + codec.record(codec.STDIN, request_id)
    )


class WebServerConnection:
    """A connection to a router; its methods raise OSError if the router has closed it."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect to the address; raises OSError if the connection is not accepted."""
        self.sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.settimeout(CONNECT_TIMEOUT_S)
        self.ended = False  # the router has closed its side, or the connection failed
        self.ended_at = 0.0  # Unix seconds; when the end was detected
        self._received = b""
        self._stdout: dict[int, bytes] = {}

    def send(self, data: bytes, fragment_count: int = 1, fragment_interval_s: float = 0.0) -> None:
        """Write the data in fragments with an interval between them.

        Raises OSError if the write fails or the router has closed its side.
        """
        size = max(1, -(-len(data) // fragment_count))
        for start in range(0, len(data), size):
            if start:
                time.sleep(fragment_interval_s)
            self._receive()
            if self.ended:
                raise ConnectionResetError
            self.sock.sendall(data[start : start + size])

    def abort(self, request_id: int) -> None:
        """Send an abort record for a request that the client no longer waits for."""
        self.sock.sendall(codec.record(codec.ABORT, request_id))

    def read(self, deadline_at: float) -> list[CompleteAnswer]:
        """Wait for answers until a deadline in Unix seconds; return an empty list if none arrive."""
        while not self.ended:
            if answers := list(self._decode_answers()):
                return answers
            remaining_s = deadline_at - time.time()
            if remaining_s <= 0 and not self._receive():
                return []
            if remaining_s > 0 and not self._receive(remaining_s):
                return []
        return list(self._decode_answers())

    def _receive(self, timeout_s: float = 0.0) -> bool:
        """Receive once, waiting up to the timeout; return whether the socket became readable."""
        if not select.select([self.sock], [], [], timeout_s)[0]:
            return False
        try:
            data = self.sock.recv(65_536)
        except OSError:
            data = b""
        self._received += data
        if not data:
            self.mark_ended()
        return True

    def mark_ended(self) -> None:
        """Record the time at which the connection ended; later calls change nothing."""
        if not self.ended:
            self.ended, self.ended_at = True, time.time()

    def _decode_answers(self) -> Iterator[CompleteAnswer]:
        while len(self._received) >= _HEADER.size:
            _, record_type, request_id, length, padding, _ = _HEADER.unpack_from(self._received)
            if len(self._received) < _HEADER.size + length + padding:
                return
            content = self._received[_HEADER.size : _HEADER.size + length]
            self._received = self._received[_HEADER.size + length + padding :]
            if record_type == codec.STDOUT:
                self._stdout[request_id] = self._stdout.get(request_id, b"") + content
            elif record_type == codec.END:
                headers, _, body = self._stdout.pop(request_id, b"").partition(b"\r\n\r\n")
                status_line = headers.decode("latin-1").partition("\r\n")[0]
                yield CompleteAnswer(request_id, status_line.removeprefix("Status: ")[:3], body)

    def half_close(self) -> None:
        """Shut down the sending side; the router may continue to send."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
