"""State machine of one connection to an upstream server, without I/O: connecting, up, partly written, over.

A transport subclasses `Channel`, reports what happens on the socket (`opened`, `received`, `writable`,
`failed`, `ended`) and implements `_on_write_blocked` and `_stop`. `transport/upstream_connection.py` does so
with trio.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.resp import MAX_BULK_BYTES, Decoder


class Socket(Protocol):
    """The part of a non-blocking socket that sessions and channels use."""

    def send(self, data: bytes | memoryview, /) -> int:
        """Write as many bytes as fit; raise BlockingIOError if none do, OSError if the socket is broken."""

    def recv(self, count: int, flags: int, /) -> bytes:
        """Read up to `count` bytes; an empty result is the end of the stream."""


class Command(Protocol):
    """A queued command, which decides right before it is written whether it is still sent."""

    def begin(self) -> bytes | None:
        """Return the bytes to write, right before the first one is written; None cancels the command."""

    def unwritten(self) -> None:
        """Undo `begin`: the socket took no byte, and the command is queued again."""


class Owner(Protocol):
    """Receives the events of a connection."""

    def opened(self, connection: Channel) -> None:
        """Handle an established connection; commands enqueued from now on are written."""

    def arrived(self, connection: Channel, array: list[bytes]) -> None:
        """Handle a received array; raise RespError if it is malformed, which ends the connection."""

    def closed(self, connection: Channel, why: str) -> None:
        """Handle the end of the connection, established or not; called exactly once."""


class Channel:
    """One connection to an upstream server, from connecting to its end.

    Commands are written at once as far as the socket accepts them, and the remainder when it is writable.
    """

    def __init__(self, owner: Owner, clock: Callable[[], float]) -> None:
        self._owner = owner
        self._clock = clock
        self._sock: Socket
        self._queue: deque[Command] = deque()
        self._pending_write = b""  # of the command that is partly written
        self._flushing = False
        self._write_blocked = False  # the socket accepts no more bytes
        self._close_reason = "closed by us"
        self.buffer = Buffer(MAX_BULK_BYTES + 4096)
        self.decoder = Decoder()
        self.awaits_descriptor = False  # waits for a file descriptor
        self.reached = False  # the server was reached: the connection was established or reset
        self.connect_failed = False  # connecting failed: nothing listens there, or no descriptor was free
        self.connect_timed_out = False  # not established within the connect timeout
        self.is_closed = False
        self.partial_reply_at_ms = 0.0  # when an incomplete answer last received bytes; 0: there is none

    # -- called by the users of the connection --

    def enqueue(self, command: Command) -> None:
        """Queue a command, and write it at once if the socket accepts it."""
        self._queue.append(command)
        if self.reached and not self._write_blocked:
            self._flush()

    def close(self) -> None:
        """End the connection and abandon what is open on it; `Owner.closed` follows later."""
        self.is_closed = True
        self._stop()

    # -- implemented by the transport --

    def _on_write_blocked(self) -> None:
        """Arrange for `writable` to be called once the socket accepts bytes again."""

    def _stop(self) -> None:
        """End the connection, and have `ended` called."""

    # -- called by the transport --

    def opened(self, sock: Socket) -> None:
        """Start using the established connection: notify the owner and write what is queued."""
        self._sock = sock
        self.reached = True
        self._owner.opened(self)
        self._flush()

    def received(self) -> None:
        """Pass on the arrays that the buffer completes; raise RespError if it is malformed."""
        for array in self.decoder.arrays(self.buffer):
            self._owner.arrived(self, array)
        self.partial_reply_at_ms = (
            self._clock() if self.decoder.has_partial_array() or len(self.buffer) else 0.0
        )

    def writable(self) -> None:
        """Resume writing: the socket accepts bytes again."""
        self._write_blocked = False
        self._flush()

    def failed(self, error: OSError) -> None:
        """Record that connecting failed; a reset still shows that the server is there."""
        self._close_reason = str(error) or type(error).__name__
        self.reached = self.reached or isinstance(error, ConnectionResetError)
        self.connect_failed = not self.reached

    def ended(self, why: str = "") -> None:
        """Report the end to the owner; called once, as the last event."""
        self.is_closed = True
        self._owner.closed(self, why or self._close_reason)

    # -- writing --

    def _flush(self) -> None:
        """Write queued commands until the socket accepts no more.

        Each command decides whether it is sent when its turn comes, and again if none of its bytes could be
        written. Decided at queueing time, it could be written long after it had become pointless.
        """
        if self._flushing:  # `Command.begin` may enqueue the next command
            return
        self._flushing = True
        try:
            while (self._pending_write or self._queue) and not self.is_closed and not self._write_blocked:
                self._write_command()
        finally:
            self._flushing = False

    def _peer_has_closed(self) -> bool:
        """Return whether the server has ended the connection, and close it if so.

        Without this check a command could be written after an end of stream that has not been read yet.
        """
        try:
            peer_closed = not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            peer_closed = True
        if peer_closed:
            self._close_reason = "closed by the server"
            self.close()
        return peer_closed

    def _write_command(self) -> None:
        command = None
        if not self._pending_write:
            if self._peer_has_closed():
                return
            command = self._queue.popleft()
            self._pending_write = command.begin() or b""
            if not self._pending_write:
                return
        sent = 0
        try:
            sent = self._sock.send(self._pending_write)
        except BlockingIOError:
            pass
        except OSError as error:
            self._close_reason = str(error)
            self.close()
        if sent or command is None:
            self._pending_write = self._pending_write[sent:]
        else:
            command.unwritten()
            self._pending_write = b""
            self._queue.appendleft(command)
        if self._pending_write or not sent:
            self._write_blocked = True
            self._on_write_blocked()
