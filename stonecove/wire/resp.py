"""RESP: arrays of bulk strings, and a connection that carries many of them both ways."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from typing import Protocol

import trio

from stonecove.wire.buffer import Buffer, BufferFullError

MOST_ITEMS = 16
MOST_BULK = 1 << 18
MOST_LINE = 32


_FIELD = rb"[a-z0-9_]+=[!-+\--~]*"  # what can be printed, without blanks and commas
_FIELDS = re.compile(_FIELD + b"(," + _FIELD + b")*")


class RespError(Exception):
    """Bytes that are no array of bulk strings."""


def encode(*items: bytes) -> bytes:
    """One array of bulk strings."""
    parts = [b"*%d\r\n" % len(items)]
    for item in items:
        parts.append(b"$%d\r\n%b\r\n" % (len(item), item))
    return b"".join(parts)


class Decoder:
    """Arrays out of a buffer, however the bytes were split."""

    def __init__(self) -> None:
        self._items: list[bytes] = []
        self._left = 0
        self._bulk = -1

    def wanted(self, held: int) -> int:
        """How many more bytes the item under way needs, so that a long one is read in few steps."""
        return max(0, self._bulk + 2 - held) if self._bulk >= 0 else 0

    def midway(self) -> bool:
        """Whether an array has begun and is not whole."""
        return self._left > 0

    @staticmethod
    def _number(buffer: Buffer, sign: bytes, least: int, most: int) -> int | None:
        """The number of a line like `*4` or `$16`; None if the line is not whole yet."""
        end = buffer.find(b"\r\n", MOST_LINE)
        if end < 0:
            if len(buffer) >= MOST_LINE:
                raise RespError("a length line does not end")
            return None
        line = buffer.take(end + 2)[:-2]
        if line[:1] != sign or not line[1:].isdigit() or not least <= int(line[1:]) <= most:
            raise RespError(f"a length line reads {line!r}")
        return int(line[1:])

    def arrays(self, buffer: Buffer) -> Iterator[list[bytes]]:
        """All arrays that are whole."""
        while True:
            if not self._left:
                count = self._number(buffer, b"*", 1, MOST_ITEMS)
                if count is None:
                    return
                self._left, self._items = count, []
            elif self._bulk < 0:
                size = self._number(buffer, b"$", 0, MOST_BULK)
                if size is None:
                    return
                self._bulk = size
            else:
                if len(buffer) < self._bulk + 2:
                    return
                self._items.append(buffer.take(self._bulk))
                if buffer.take(2) != b"\r\n":
                    raise RespError("a bulk string is longer than its length")
                self._left, self._bulk = self._left - 1, -1
                if not self._left:
                    yield self._items


class Command(Protocol):
    """Something to be written, which decides in the last moment whether it still goes out."""

    def begin(self) -> bytes | None:
        """Called right before the first byte is written; None: it does not go."""

    def unwritten(self) -> None:
        """Not one byte of it was written after all."""


class Owner(Protocol):
    """Who is told of what a connection does."""

    def arrived(self, connection: Connection, array: list[bytes]) -> None:
        """An array came in; raises RespError if it can't be read, which ends the connection."""

    def closed(self, connection: Connection, why: str) -> None:
        """The connection has ended, or never came up. Told once."""


class Connection:
    """One connection to a server, from its opening to its end.

    What is put is written at once as far as the socket takes it; a task writes the rest as room comes.
    """

    def __init__(self, owner: Owner, address: tuple[str, int], patience: float,
                 clock: Callable[[], float]) -> None:
        self._owner = owner
        self._clock = clock
        self._address = address
        self._patience = patience
        self._sock: socket.socket
        self._queue: deque[Command] = deque()
        self._rest = b""  # of the command under way
        self._pumping = False
        self._full = trio.Event()  # set while the socket takes no more
        self._scope = trio.CancelScope()
        self._why = "closed by us"
        self.lacking = False  # there was no descriptor for it
        self.up = False  # somebody was there: it came up or was reset, whatever became of it
        self.over = False
        self.halfway_at = 0.0  # when the last byte of an answer that is not whole came in; 0: none has begun

    def put(self, command: Command) -> None:
        """Queues a command."""
        self._queue.append(command)
        if self.up and not self._full.is_set():
            self._pump()

    def close(self) -> None:
        """Ends the connection and gives up everything open on it."""
        self.over = True
        self._scope.cancel()

    async def run(self) -> None:
        """Connects, then reads and writes until either side ends it. No error leaves here."""
        try:
            self.lacking = True
            self._sock = socket.socket()
            self.lacking = False
            with self._scope, trio.socket.from_stdlib_socket(self._sock) as sock:
                self._why = await self._live(sock)
        except OSError as error:
            self._why = str(error) or type(error).__name__
            self.up = self.up or isinstance(error, ConnectionResetError)
        finally:
            self.over = True
            self._owner.closed(self, self._why)

    async def _live(self, sock: trio.socket.SocketType) -> str:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        with trio.move_on_after(self._patience) as waiting:
            await sock.connect(self._address)
        if waiting.cancelled_caught:
            return "not up in time"
        self.up = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            why = await self._read()
            nursery.cancel_scope.cancel()
        return why

    async def _read(self) -> str:
        buffer, decoder = Buffer(MOST_BULK + 4096), Decoder()
        try:
            while True:
                await trio.lowlevel.wait_readable(self._sock)
                with buffer.room(max(4096, decoder.wanted(len(buffer)))) as view:
                    try:
                        count = self._sock.recv_into(view)
                    except BlockingIOError:
                        continue
                if not count:
                    return "closed by the server"
                buffer.filled(count)
                for array in decoder.arrays(buffer):
                    self._owner.arrived(self, array)
                self.halfway_at = self._clock() if decoder.midway() or len(buffer) else 0.0
        except (OSError, RespError, BufferFullError) as error:
            return str(error) or type(error).__name__

    async def _write(self) -> None:
        self._pump()
        while True:
            await self._full.wait()
            await trio.lowlevel.wait_writable(self._sock)
            self._full = trio.Event()
            self._pump()

    def _pump(self) -> None:
        """Writes until the socket takes no more.

        Guards against a command judged now and written much later: each is judged when its turn comes, and
        once more if not a byte of it could be written.
        """
        if self._pumping:  # a command's last look may lead to the next one
            return
        self._pumping = True
        try:
            while (self._rest or self._queue) and not self.over and not self._full.is_set():
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
            self._full.set()


def words(fields: Sequence[tuple[str, str]]) -> bytes:
    """The text of a field list; `-` for none."""
    return ",".join(f"{name}={value}" for name, value in fields).encode() or b"-"


def fields_of(text: bytes) -> dict[str, str]:
    """A field list as a table; raises RespError if it is none."""
    if text == b"-":
        return {}
    if not _FIELDS.fullmatch(text):
        raise RespError(f"fields read {text[:40]!r}")
    return dict(pair.split("=", 1) for pair in text.decode("ascii").split(","))
