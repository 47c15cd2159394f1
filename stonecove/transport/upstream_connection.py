"""The I/O of a `Channel` to a server, over trio."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

from stonecove.protocols.buffer import BufferFullError
from stonecove.protocols.resp import RespError
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.runtime.timers import no_op

RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # the system lacks a resource
SOCKET_RETRY_S = 0.02


class UpstreamConnection(Channel):
    """A channel on a plain non-blocking socket; a task writes what could not be written at once."""

    def __init__(
        self,
        owner: Owner,
        address: tuple[str, int],
        timeout_s: float,
        clock: Callable[[], float],
        on_shortage: Callable[[], None] = no_op,
    ) -> None:
        """Create a channel that connects within `timeout_s`.

        `on_shortage` is called when the system has no descriptor for it.
        """
        super().__init__(owner, clock)
        self._address = address
        self._timeout_s = timeout_s
        self._on_shortage = on_shortage
        self._sock: socket.socket
        self._write_blocked_event = trio.Event()
        self._scope = trio.CancelScope()

    def _stop(self) -> None:
        self._scope.cancel()

    def _on_write_blocked(self) -> None:
        self._write_blocked_event.set()

    async def run(self) -> None:
        """Connect, then read and write until either side closes the connection. No error is raised."""
        reason = ""
        try:
            self.awaits_descriptor = True
            with self._scope:
                deadline_s = trio.current_time() + self._timeout_s
                self._sock = await self._new_socket(deadline_s)
                self.awaits_descriptor = False
                with trio.socket.from_stdlib_socket(self._sock) as sock:
                    reason = await self._serve(sock, deadline_s)
        except OSError as error:
            self.failed(error)
        finally:
            self.ended(reason)

    async def _new_socket(self, deadline_s: float) -> socket.socket:
        """Return a new socket, retrying until the deadline in trio's seconds; raise OSError at the end."""
        while True:
            try:
                return socket.socket()
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS or trio.current_time() >= deadline_s:
                    raise
            self._on_shortage()
            await trio.sleep(SOCKET_RETRY_S)

    async def _serve(self, sock: trio.socket.SocketType, deadline_s: float) -> str:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        with trio.move_on_at(deadline_s) as connect_scope:
            await sock.connect(self._address)
        if connect_scope.cancelled_caught:
            self.connect_timed_out = True
            return "not up in time"
        self.opened(self._sock)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            reason = await self._read()
            nursery.cancel_scope.cancel()
        return reason

    async def _read(self) -> str:
        buffer, decoder = self.buffer, self.decoder
        try:
            while True:
                await trio.lowlevel.wait_readable(self._sock)
                with buffer.reserve(max(4096, decoder.bytes_missing(len(buffer)))) as view:
                    try:
                        count = self._sock.recv_into(view)
                    except BlockingIOError:
                        continue
                if not count:
                    return "closed by the server"
                buffer.commit(count)
                self.received()
        except (OSError, RespError, BufferFullError) as error:
            return str(error) or type(error).__name__

    async def _write(self) -> None:
        while True:
            await self._write_blocked_event.wait()
            await trio.lowlevel.wait_writable(self._sock)
            self._write_blocked_event = trio.Event()
            self.writable()
