"""A connection to a server over trio: the I/O of a `Channel`."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

from stonecove.protocols.buffer import BufferFullError
from stonecove.protocols.resp import RespError
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.runtime.timers import nobody

NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # what lacks is the system's
ASK_AGAIN = 0.02  # seconds between two attempts to get a descriptor


class Connection(Channel):
    """A channel on a plain non-blocking socket; a task writes what could not be written at once."""

    def __init__(
        self,
        owner: Owner,
        address: tuple[str, int],
        patience: float,
        clock: Callable[[], float],
        short: Callable[[], None] = nobody,
    ) -> None:
        """Patience is in seconds; `short` is called when the system has no descriptor for it."""
        super().__init__(owner, clock)
        self._address = address
        self._patience = patience
        self._short = short
        self._sock: socket.socket
        self._room_wanted = trio.Event()
        self._scope = trio.CancelScope()

    def _stop(self) -> None:
        self._scope.cancel()

    def _blocked(self) -> None:
        self._room_wanted.set()

    async def run(self) -> None:
        """Connects, then reads and writes until either side ends it. No error leaves here."""
        why = ""
        try:
            self.lacking = True
            with self._scope:
                limit = trio.current_time() + self._patience
                self._sock = await self._descriptor(limit)
                self.lacking = False
                with trio.socket.from_stdlib_socket(self._sock) as sock:
                    why = await self._live(sock, limit)
        except OSError as error:
            self.failed(error)
        finally:
            self.ended(why)

    async def _descriptor(self, limit: float) -> socket.socket:
        """A new socket; waits for room until that time, in trio's seconds. Raises OSError."""
        while True:
            try:
                return socket.socket()
            except OSError as error:
                if error.errno not in NO_DESCRIPTOR or trio.current_time() >= limit:
                    raise
            self._short()
            await trio.sleep(ASK_AGAIN)

    async def _live(self, sock: trio.socket.SocketType, limit: float) -> str:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        with trio.move_on_at(limit) as waiting:
            await sock.connect(self._address)
        if waiting.cancelled_caught:
            self.late = True
            return "not up in time"
        self.opened(self._sock)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            why = await self._read()
            nursery.cancel_scope.cancel()
        return why

    async def _read(self) -> str:
        buffer, decoder = self.buffer, self.decoder
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
                self.received()
        except (OSError, RespError, BufferFullError) as error:
            return str(error) or type(error).__name__

    async def _write(self) -> None:
        while True:
            await self._room_wanted.wait()
            await trio.lowlevel.wait_writable(self._sock)
            self._room_wanted = trio.Event()
            self.writable()
