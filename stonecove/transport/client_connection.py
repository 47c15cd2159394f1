"""The I/O of a `Session` with a client, over trio."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterator

import trio

from stonecove.protocols.buffer import BufferFullError
from stonecove.protocols.fastcgi.codec import FastCgiError
from stonecove.protocols.fastcgi.session import WRITE_CHUNK_BYTES, Handler, Session
from stonecove.state.budget import MemoryBudget
from stonecove.state.client_activity import PlaceUse
from stonecove.transport.peer_state import peer_has_ended

# Seconds and bytes for which a client may go on sending while it is being disconnected.
LINGER_LIMITS = 1.0, 1 << 20
MAX_READS_PER_CHECK = 32  # a client that sends faster than that is not idle
MAX_RECORDS_PER_CHECK = 256  # handled at once, while other connections wait
_DISCARDED = bytearray(WRITE_CHUNK_BYTES)  # shared by all connections, as hundreds may linger at once
STALL_TIMEOUT_S = 10.0  # for a client that receives nothing


class ClientConnection(Session):
    """A session on a plain non-blocking socket."""

    def __init__(
        self, sock: socket.socket, handler: Handler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        super().__init__(sock, handler, clock, budget)
        self._sock: socket.socket = sock
        self._write_blocked_event = trio.Event()
        self._scope = trio.CancelScope()
        self._read_scope = trio.CancelScope()
        self._write_scope = trio.CancelScope()
        self._linger_s = LINGER_LIMITS[0]
        self._writer_started = False
        self._nursery: trio.Nursery | None = None  # set by `run`

    def close(self) -> None:
        """Close the connection at once, whatever is open on it or still to be written."""
        self._scope.cancel()

    def close_if_idle(self, linger_s: float = LINGER_LIMITS[0]) -> None:
        """Close the connection if it is idle; the client gets `linger_s` to close its side.

        Pending data is read first. A request that has just arrived is accepted, and the connection stays
        open.
        """
        if not self._closing_reason and self._read_available() and self.resting():
            self._linger_s = linger_s
            self._close_when_answered("closed by us")

    def evict(self, use: PlaceUse, linger_s: float) -> None:
        """Make way for another client, unless what has arrived by now changes the use of this place.

        What a client has sent in part is refused. It gets `linger_s` to close its side.
        """
        if use is PlaceUse.LINGERING:
            self.close()
        elif use is PlaceUse.SILENT:
            self.close_if_idle(0.0)
        elif use is PlaceUse.IDLE:
            self.close_if_idle(linger_s)
        elif not self._closing_reason:
            before = self.place_status()
            self._read_available()  # not up to the end where a client sends without one
            if self.place_status() == before:
                self.refuse_incomplete()
                self._linger_s = linger_s
                self._close_when_answered("evicted")

    def close_in_order(self) -> None:
        """Close the connection if it is idle, or if nothing but wasted input keeps it from being idle."""
        if self.place_status().use is PlaceUse.WASTING:
            self.evict(PlaceUse.WASTING, LINGER_LIMITS[0])
        else:
            self.close_if_idle()

    def _on_write_blocked(self) -> None:
        self._write_blocked_event.set()
        self._start_writer()

    def _stop_reading(self) -> None:
        self._read_scope.cancel()

    def _stop_writing(self) -> None:
        self._write_scope.cancel()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _read_available(self) -> bool:
        """Read what is pending; return whether all of it was read.

        Nothing is read before `run` has started, as responses could not be written yet.
        """
        if self._nursery is None:
            return False
        try:
            for _ in self._reads_of_check():
                if self._closing_reason or not self._receive():
                    return True
        except OSError:  # nothing is left, or the reading task will get the error, too
            return True
        return False

    def _reads_of_check(self) -> Iterator[None]:
        """Yield before each read that a check may do beside the reading task."""
        last_record = self._decoder.records_handled + MAX_RECORDS_PER_CHECK
        for _ in range(MAX_READS_PER_CHECK):
            if self._decoder.records_handled >= last_record:
                return
            yield

    def expire_overdue(self, now: float) -> None:
        """End what has been incomplete for too long; not before `run` has started, which alone can read."""
        if self._nursery is not None:
            super().expire_overdue(now)

    def detect_disconnect(self) -> bool:
        """Read pending data; return whether that was all, so that an end of the connection would be known.

        The open requests are cancelled if the client has closed the connection. Otherwise an attempt could
        be started for a client whose close has arrived but is unread: behind more data than is read at once,
        or after the process was suspended, when events of clients and caches are found in one turn.
        """
        try:
            has_unread = self.has_more_buffered() or bool(self._sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True  # the usual case, and the cheapest check
        except OSError:
            has_unread = False
        try:
            if has_unread and not peer_has_ended(self._sock):
                for _ in self._reads_of_check():
                    if not self._receive():
                        break
                else:
                    return False
        except BlockingIOError:
            return True
        except OSError:
            pass
        self._abandon()
        return True

    def _abandon(self) -> None:
        """Close the connection of a client that has left; what it sent is not processed any further."""
        self.client_disconnected()
        self.close()

    async def run(self) -> str:
        """Serve until either side closes the connection; return why it ended.

        Errors of the peer are not raised.
        """
        reason = "closed by us"
        try:
            with self._scope:
                async with trio.open_nursery() as self._nursery:
                    with self._read_scope:
                        reason = await self._read()
                        self._write_scope.cancel()
                    if self._closing_reason:
                        reason = self._closing_reason
                        self._start_writer()
                if self._closing_reason:
                    await self._linger()
        finally:
            self._writer_started = True  # no writing task may be started any more
            self.ended()
        return "the client takes in nothing" if self._client_stalled else reason

    async def _linger(self) -> None:
        """Read until the client closes its side, within limits.

        Closing a socket with unread data would reset the connection, and the last response could be lost.
        """
        remaining_bytes = LINGER_LIMITS[1]
        with trio.move_on_after(self._linger_s), contextlib.suppress(OSError):
            while remaining_bytes > 0:
                await trio.lowlevel.wait_readable(self._sock)
                if not (count := self._sock.recv_into(_DISCARDED)):
                    break
                remaining_bytes -= count

    def _receive(self) -> int:
        """Read once, or go on with what was read before; return 0 at the end, else not; raise OSError.

        Malformed data ends the connection once the complete requests before it are answered.
        """
        try:
            if self.has_more_buffered():
                self.received()
                return 1
            with self._buffer.reserve() as view:
                count = self._sock.recv_into(view)
            if count:
                self._buffer.commit(count)
                self.received()
        except (BufferFullError, FastCgiError) as error:
            self._close_when_answered(str(error))
            return 1
        return count

    async def _read(self) -> str:
        while True:
            try:
                if self.has_more_buffered():
                    await trio.lowlevel.checkpoint()
                else:
                    await trio.lowlevel.wait_readable(self._sock)
                if not self._receive():
                    return "closed by the client"
            except BlockingIOError:
                continue
            except OSError as error:
                return str(error) or type(error).__name__
            if self._closing_reason:
                await trio.lowlevel.checkpoint()

    def _start_writer(self) -> None:
        """Start the writing task; most clients receive everything at once and need none."""
        if not self._writer_started and self._nursery is not None:
            self._writer_started = True
            self._nursery.start_soon(self._write)

    async def _write(self) -> None:
        """Write what the socket did not accept at once, until the connection ends."""
        with self._write_scope:
            while True:
                await self._write_blocked_event.wait()
                # A client that reads nothing would hold responses in memory for good.
                with trio.move_on_after(STALL_TIMEOUT_S) as stall_scope:
                    await trio.lowlevel.wait_writable(self._sock)
                if stall_scope.cancelled_caught:
                    self._client_stalled = True
                    break
                self._write_blocked_event = trio.Event()
                self.writable()
        self._read_scope.cancel()
