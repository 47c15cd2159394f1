"""The client of the change log, over trio."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from functools import partial

import trio

from stonecove.discovery import MembershipSink
from stonecove.protocols.buffer import Buffer, BufferFullError
from stonecove.protocols.change_log import MAX_FRAME_BYTES, ChangeLogError, Follower, frames
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.timers import no_op
from stonecove.transport.upstream_connection import RESOURCE_ERRNOS

# An event of the log counts as known after 7 s at the latest, so consecutive time-outs must add up to less.
# The worst sequence that is tolerated: the log falls silent, the next connection opens and receives nothing,
# and two more don't open, with the longest back-off after each: 2.5 + 1.5 + 2 * 0.8 + 4 * 0.15 = 6.2 s.
# Or two receive nothing: 2.5 + 1.5 + 2.5 + 3 * 0.15 = 6.95 s. If one does not open, the time is
# 2.5 + 0.8 + 2 * 0.15 = 3.6 s after the log stops, and 0.8 + 2 * 0.15 = 1.1 s after a disconnection.
SILENCE_TIMEOUT_S = 2.5  # without a complete frame, of which the log sends one each second
# The same for a new connection, on which a frame is sent at once. If the connection before received nothing
# either, SILENCE_TIMEOUT_S applies.
FIRST_FRAME_TIMEOUT_S = 1.5
# Delay before the next connection, doubled up to the second value; few drain periods are shorter.
BACKOFF_S = 0.05, 0.15
CONNECT_TIMEOUT_S = 0.8
SETTLE_S = 0.03  # without a further event, after which the log is taken to be caught up
# Longest wait for the log at a start, whatever drain period the settings give. A start may take 6 s on short
# days, and took 3.4 s on a busy host without this wait. One silent connection and a second one that receives
# data fit in.
MAX_STARTUP_WAIT_S = 2.5
LATE_TURN_S = 0.02  # between two turns of the event loop, beyond which the second one is late


class ChangeLogClient(trio.abc.Instrument):
    """Follows the change log, and resumes after the last event received whenever it is disconnected."""

    def __init__(
        self,
        host: str,
        port: int,
        follower: Follower,
        new_socket: Callable[[], socket.socket] = socket.socket,
    ) -> None:
        """Create a client; `new_socket` creates the socket of each connection."""
        self._address = (host, port)
        self._follower = follower
        self._new_socket = new_socket
        self._connection_scope = trio.CancelScope()
        self.last_frame_at_s = 0.0  # when the last complete frame was received, in trio's seconds
        self._caught_up = trio.Event()  # the log has reported once that there is nothing new
        # when the last bytes of this connection were received, if they complete a frame
        self._complete_at_s = math.inf
        self._is_responsive = False  # the last connection opened, and did not end without a frame
        self._was_silent = False  # the last connection that opened ended without a frame
        self._last_turn_s = 0.0  # when the event loop had its last turn
        # receives what is available; returns why the connection must be closed, or an empty text
        self._receive_available: Callable[[], str] = str
        self._silence_scope = trio.CancelScope()  # cancelled once the connection is to be closed
        self._close_reason = ""
        self._error: Exception | None = None
        # called when the system has no descriptor for a connection
        self.on_descriptor_shortage: Callable[[], None] = no_op

    def change_address(self, host: str, port: int) -> None:
        """Follow the log at another address, after the same last event.

        The connection to the old address is closed at once, as it may stay open without sending anything.
        """
        if (host, port) != self._address:
            self._address, self._was_silent = (host, port), False
            self._connection_scope.cancel()

    async def wait_caught_up(self, timeout_s: float) -> None:
        """Wait until all events that are in the log have been received.

        The wait is `timeout_s` if the log can't be reached, and `MAX_STARTUP_WAIT_S` at most. All events in
        the log count as known, connected or not. Without the wait, the first requests after a start could go
        to nodes that were drained after the configuration was written.
        """
        give_up_at_s = trio.current_time() + timeout_s
        with trio.move_on_after(MAX_STARTUP_WAIT_S):
            while self._is_responsive or trio.current_time() < give_up_at_s:
                with trio.move_on_after(SETTLE_S):
                    await self._caught_up.wait()
                if self._caught_up.is_set() or trio.current_time() >= self._complete_at_s + SETTLE_S:
                    break

    def after_io_wait(self, timeout: float) -> None:
        """Receive from the log ahead of all other tasks, in a turn of the event loop that comes late.

        Trio runs tasks in any order. Responses and timers of that turn could otherwise lead to repeats by an
        old endpoint list, although the drain has arrived. New requests are decided a turn later anyway.
        """
        now_s = trio.current_time()
        late, self._last_turn_s = now_s > self._last_turn_s + LATE_TURN_S, now_s
        if late:
            self._receive_now()

    def _receive_now(self) -> None:
        """Receive what is available, and have the connection closed if it failed."""
        if self._close_reason or self._error:
            return  # nothing may be read beyond a gap before the task has ended
        try:
            self._close_reason = self._receive_available()
        except Exception as error:
            self._error = error
        if self._close_reason or self._error:
            self._silence_scope.cancel()

    async def run(self, sink: MembershipSink) -> None:
        """Follow the log until cancelled, at its current address."""
        trio.lowlevel.add_instrument(self)
        while True:
            with trio.CancelScope() as self._connection_scope:
                await self._reconnect(sink)
            log(
                LogEvent.CHANGE_LOG_ADDRESS_CHANGED,
                address=":".join(map(str, self._address)),
                last=self._follower.last,
            )

    async def _reconnect(self, sink: MembershipSink) -> None:
        """Connect again and again, with a short back-off."""
        wait_s = BACKOFF_S[0]
        while True:
            last, last_frame_at_s = self._follower.last, self.last_frame_at_s
            try:
                reason = await self._follow_connection(sink)
            except (OSError, BufferFullError, ChangeLogError) as error:
                reason = str(error) or type(error).__name__
                if isinstance(error, OSError) and error.errno in RESOURCE_ERRNOS:
                    self.on_descriptor_shortage()
            except Exception as error:  # an event that can't be processed must not end the process
                log(LogEvent.INTERNAL_ERROR, where="change log", error=repr(error))
                reason = "an event can't be processed"
            self._complete_at_s, self._is_responsive = math.inf, self.last_frame_at_s != last_frame_at_s
            log_limited(LogEvent.CHANGE_LOG_DISCONNECTED, last=self._follower.last, reason=reason)
            wait_s = BACKOFF_S[0] if self._follower.last != last else min(2 * wait_s, BACKOFF_S[1])
            await trio.sleep(wait_s)

    async def _follow_connection(self, sink: MembershipSink) -> str:
        """Follow the log over one connection; return why it ended."""
        plain_sock = self._new_socket()
        with trio.socket.from_stdlib_socket(plain_sock) as sock:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            with trio.move_on_after(CONNECT_TIMEOUT_S) as connect_scope:
                await sock.connect(self._address)
                hello = self._follower.hello()
                while hello:  # if written in part, the log would wait for the remainder
                    hello = hello[await sock.send(hello) :]
            if connect_scope.cancelled_caught:
                return "not up in time"
            log_limited(LogEvent.CHANGE_LOG_CONNECTED, last=self._follower.last)
            silence_s = SILENCE_TIMEOUT_S if self._was_silent else FIRST_FRAME_TIMEOUT_S
            self._is_responsive = self._was_silent = True
            buffer = Buffer(MAX_FRAME_BYTES + 4096)
            # Only complete frames reset the time-out: a log that is partitioned, or stops in the middle of a
            # frame, leaves the connection open, and bytes may still trickle in.
            self._close_reason, self._error = "", None
            with trio.move_on_after(silence_s) as self._silence_scope:
                self._receive_available = partial(self._receive_frames, plain_sock, buffer, sink)
                try:
                    while True:
                        await trio.lowlevel.wait_readable(plain_sock)
                        self._receive_now()
                finally:
                    self._receive_available = str
            if self._error is not None:
                raise self._error
            return self._close_reason or "silent"

    def _receive_frames(self, sock: socket.socket, buffer: Buffer, sink: MembershipSink) -> str:
        """Process all that is available; return why the connection must be closed, or an empty text."""
        while True:
            with buffer.reserve(4096) as view:
                try:
                    count = sock.recv_into(view)
                except BlockingIOError:
                    return ""
            if not count:
                return "closed by the log"
            buffer.commit(count)
            for frame in frames(buffer):
                self.last_frame_at_s, self._was_silent = trio.current_time(), False
                self._silence_scope.deadline = self.last_frame_at_s + SILENCE_TIMEOUT_S
                if not self._follower.take(frame, sink):
                    return frame.error or f"a gap before {frame.number}"
                if not frame.is_event:
                    self._caught_up.set()
            self._complete_at_s = math.inf if len(buffer) else self.last_frame_at_s
