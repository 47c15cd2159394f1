"""A client connection over trio: the I/O of a `Session`."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import trio

from stonecove.protocols.buffer import BufferFullError
from stonecove.protocols.fastcgi.codec import FastCgiError
from stonecove.protocols.fastcgi.session import GULP, Handler, Session
from stonecove.state.budget import Budget

LINGER = 1.0, 1 << 20  # seconds and bytes for which a client that we leave may go on sending
LOOKS = 32  # reads at most in one look; a client that sends faster than that is none at rest
_SCRATCH = bytearray(GULP)  # for what nobody reads: hundreds may be left in one moment
STALL = 10.0  # seconds for which a client may take in nothing


class Connection(Session):
    """A session on a plain non-blocking socket."""

    def __init__(
        self, sock: socket.socket, handler: Handler, clock: Callable[[], float], budget: Budget
    ) -> None:
        super().__init__(sock, handler, clock, budget)
        self._sock: socket.socket = sock
        self._room_wanted = trio.Event()
        self._scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._writing = trio.CancelScope()
        self._patience = LINGER[0]
        self._wrote = False  # whether the task that writes was started
        self._nursery: trio.Nursery | None = None  # set once it is served

    def close(self) -> None:
        """Ends the connection at once, whatever is open on it or on its way."""
        self._scope.cancel()

    def finish(self, linger: float = LINGER[0]) -> None:
        """Ends the connection if it rests; the client gets so many seconds to end its side.

        Guards against a request that has just come in and is not read yet: it is taken, and the connection
        goes on.
        """
        if not self._leaving and self._look() and self.resting():
            self._patience = linger
            self._leave("closed by us")

    def _blocked(self) -> None:
        self._room_wanted.set()
        self._start_writing()

    def _stop_reading(self) -> None:
        self._reading.cancel()

    def _stop_writing(self) -> None:
        self._writing.cancel()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _look(self) -> bool:
        """Says whether all was read. Guards against answers to write before there is a task for that."""
        if self._nursery is None:
            return False
        for _ in range(LOOKS):
            try:
                if self._leaving or not self._take():
                    return True
            except BlockingIOError:
                return True
            except OSError:  # the task that reads finds it, too
                return True
        return False

    def check(self, now: float) -> None:
        """End what has been coming in for too long; not before its task has run, which can read it at all."""
        if self._nursery is not None:
            super().check(now)

    def look_for_end(self) -> None:
        """Guards against an attempt that begins for a client whose end has come, but is not read yet.

        As after a standstill of ours, when what the client and what the cache did are found in one turn.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK)  # there is nothing most times, and this costs least
            for _ in range(LOOKS):
                if not self._take():
                    self.left()
                    break
        except BlockingIOError:
            pass
        except OSError:
            self.left()

    async def run(self) -> str:
        """Serves until either side ends it; returns why. No error of the peer's leaves here."""
        why = "closed by us"
        try:
            with self._scope:
                async with trio.open_nursery() as self._nursery:
                    with self._reading:
                        why = await self._read()
                        self._writing.cancel()
                    if self._leaving:
                        why = self._leaving
                        self._start_writing()
                if self._leaving:
                    await self._linger()
        finally:
            self._wrote = True  # it is too late to start it
            self.ended()
        return "the client takes in nothing" if self._broken else why

    async def _linger(self) -> None:
        """Guards against an answer lost to a reset, as when a socket is closed with bytes unread."""
        left = LINGER[1]
        with trio.move_on_after(self._patience), contextlib.suppress(OSError):
            while left > 0:
                await trio.lowlevel.wait_readable(self._sock)
                if not (count := self._sock.recv_into(_SCRATCH)):
                    break
                left -= count

    def _take(self) -> int:
        """Reads once; how many bytes came in, 0 at the end. Raises OSError.

        What can't be read ends the connection, once what was whole before it is answered.
        """
        try:
            with self._buffer.room() as view:
                count = self._sock.recv_into(view)
            if count:
                self._buffer.filled(count)
                self.received()
        except (BufferFullError, FastCgiError) as error:
            self._leave(str(error))
            return 1
        return count

    async def _read(self) -> str:
        while True:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                if not self._take():
                    return "closed by the client"
            except BlockingIOError:
                continue
            except OSError as error:
                return str(error) or type(error).__name__
            if self._leaving:
                await trio.lowlevel.checkpoint()

    def _start_writing(self) -> None:
        """Most clients need no task that writes: they take all at once."""
        if not self._wrote and self._nursery is not None:
            self._wrote = True
            self._nursery.start_soon(self._write)

    async def _write(self) -> None:
        """Writes what the socket did not take at once, until all is over."""
        with self._writing:
            while True:
                await self._room_wanted.wait()
                # Guards against a client that reads nothing and so holds answers in memory for good.
                with trio.move_on_after(STALL) as waiting:
                    await trio.lowlevel.wait_writable(self._sock)
                if waiting.cancelled_caught:
                    self._broken = True
                    break
                self._room_wanted = trio.Event()
                self.writable()
        self._reading.cancel()
