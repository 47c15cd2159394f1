"""A client connection over trio: the I/O of a `Session`."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import trio

from stonecove.memory.budget import Budget
from stonecove.wire.buffer import BufferFullError
from stonecove.wire.fastcgi import FastCgiError
from stonecove.wire.session import GULP, Handler, Session

LINGER = 1.0, 1 << 20  # seconds and bytes for which a client that we leave may go on sending
_SCRATCH = bytearray(GULP)  # for what nobody reads: hundreds may be left in one moment
STALL = 10.0  # seconds for which a client may take in nothing


class Connection(Session):
    """A session on a plain non-blocking socket."""

    def __init__(self, sock: socket.socket, handler: Handler, clock: Callable[[], float],
                 budget: Budget) -> None:
        super().__init__(sock, handler, clock, budget)
        self._sock: socket.socket = sock
        self._room_wanted = trio.Event()
        self._scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._writing = trio.CancelScope()
        self._wrote = False  # whether the task that writes was started
        self._nursery: trio.Nursery

    def close(self) -> None:
        """Ends the connection."""
        self._scope.cancel()

    def _blocked(self) -> None:
        self._room_wanted.set()
        self._start_writing()

    def _stop_reading(self) -> None:
        self._reading.cancel()

    def _stop_writing(self) -> None:
        self._writing.cancel()

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
                if self._leaving or not self._decoder.keep:
                    await self._linger()
        finally:
            self._wrote = True  # it is too late to start it
            self.ended()
        return "the client takes in nothing" if self._broken else why

    async def _linger(self) -> None:
        """Guards against an answer lost to a reset, as when a socket is closed with bytes unread."""
        left = LINGER[1]
        with trio.move_on_after(LINGER[0]), contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            while left > 0:
                await trio.lowlevel.wait_readable(self._sock)
                if not (count := self._sock.recv_into(_SCRATCH)):
                    break
                left -= count

    async def _read(self) -> str:
        buffer = self._buffer
        while True:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                with buffer.room() as view:
                    try:
                        count = self._sock.recv_into(view)
                    except BlockingIOError:
                        continue
                if not count:
                    return "closed by the client"
                buffer.filled(count)
                self.received()
                if self._leaving:
                    await trio.lowlevel.checkpoint()
            except (OSError, BufferFullError, FastCgiError) as error:
                return str(error) or type(error).__name__

    def _start_writing(self) -> None:
        """Most clients need no task that writes: they take all at once."""
        if not self._wrote:
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
