"""The life of one connection to a server, without its I/O: connecting, up, half written, over.

Whoever does the I/O makes a `Channel`, tells it what happens (`opened`, `received`, `writable`, `failed`,
`ended`) and carries out `_blocked` and `_stop`. `transport/upstream_connection.py` does so with trio.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.resp import MOST_BULK, Decoder


class Socket(Protocol):
    """What of a non-blocking socket is used here."""

    def send(self, data: bytes | memoryview, /) -> int:
        """Writes what there is room for; raises BlockingIOError if none, OSError if it is broken."""

    def recv(self, count: int, flags: int, /) -> bytes:
        """Reads; empty at the end."""


class Command(Protocol):
    """Something to be written, which decides in the last moment whether it still goes out."""

    def begin(self) -> bytes | None:
        """Called right before the first byte is written; None: it does not go."""

    def unwritten(self) -> None:
        """Not one byte of it was written after all."""


class Owner(Protocol):
    """Who is told of what a connection does."""

    def opened(self, connection: Channel) -> None:
        """It is up, and nothing has been written on it. What is put now is written."""

    def arrived(self, connection: Channel, array: list[bytes]) -> None:
        """An array came in; raises RespError if it can't be read, which ends the connection."""

    def closed(self, connection: Channel, why: str) -> None:
        """The connection has ended, or never came up. Told once."""


class Channel:
    """One connection to a server, from its opening to its end.

    What is put is written at once as far as the socket takes it, the rest as room comes.
    """

    def __init__(self, owner: Owner, clock: Callable[[], float]) -> None:
        self._owner = owner
        self._clock = clock
        self._sock: Socket
        self._queue: deque[Command] = deque()
        self._rest = b""  # of the command under way
        self._pumping = False
        self._full = False  # the socket takes no more
        self._why = "closed by us"
        self.buffer = Buffer(MOST_BULK + 4096)
        self.decoder = Decoder()
        self.lacking = False  # there was no descriptor for it
        self.up = False  # somebody was there: it came up or was reset, whatever became of it
        self.refused = False  # connecting failed: nobody is there, or there was no descriptor
        self.late = False  # it did not come up in time
        self.over = False
        self.halfway_at = 0.0  # when the last byte of an answer that is not whole came in; 0: none has begun

    # -- for those who use it --

    def put(self, command: Command) -> None:
        """Queues a command."""
        self._queue.append(command)
        if self.up and not self._full:
            self._pump()

    def close(self) -> None:
        """Ends the connection and gives up everything open on it; the owner is told by and by."""
        self.over = True
        self._stop()

    # -- what whoever does the I/O carries out --

    def _blocked(self) -> None:
        """The socket takes no more: `writable` is to be called once it does."""

    def _stop(self) -> None:
        """The connection is to be ended, and `ended` called."""

    # -- what whoever does the I/O tells --

    def opened(self, sock: Socket) -> None:
        """The connection is up."""
        self._sock = sock
        self.up = True
        self._owner.opened(self)
        self._pump()

    def received(self) -> None:
        """More bytes are in the buffer; raises RespError if they can't be read."""
        for array in self.decoder.arrays(self.buffer):
            self._owner.arrived(self, array)
        self.halfway_at = self._clock() if self.decoder.midway() or len(self.buffer) else 0.0

    def writable(self) -> None:
        """The socket takes more again."""
        self._full = False
        self._pump()

    def failed(self, error: OSError) -> None:
        """Connecting or setting up failed. A reset shows that somebody is there."""
        self._why = str(error) or type(error).__name__
        self.up = self.up or isinstance(error, ConnectionResetError)
        self.refused = not self.up

    def ended(self, why: str = "") -> None:
        """It is over; to be called once, as the last."""
        self.over = True
        self._owner.closed(self, why or self._why)

    # -- writing --

    def _pump(self) -> None:
        """Writes until the socket takes no more.

        Guards against a command judged now and written much later: each is judged when its turn comes, and
        once more if not a byte of it could be written.
        """
        if self._pumping:  # a command's last look may lead to the next one
            return
        self._pumping = True
        try:
            while (self._rest or self._queue) and not self.over and not self._full:
                self._pump_one()
        finally:
            self._pumping = False

    def _ended(self) -> bool:
        """Guards against writing into a connection that the server has ended, which we have not read yet."""
        try:
            ended = not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            ended = True
        if ended:
            self._why = "closed by the server"
            self.close()
        return ended

    def _pump_one(self) -> None:
        command = None
        if not self._rest:
            if self._ended():
                return
            command = self._queue.popleft()
            self._rest = command.begin() or b""
            if not self._rest:
                return
        sent = 0
        try:
            sent = self._sock.send(self._rest)
        except BlockingIOError:
            pass
        except OSError as error:
            self._why = str(error)
            self.close()
        if sent or command is None:
            self._rest = self._rest[sent:]
        else:
            command.unwritten()
            self._rest = b""
            self._queue.appendleft(command)
        if self._rest or not sent:
            self._full = True
            self._blocked()
