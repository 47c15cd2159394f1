"""Follows the change log over trio."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from functools import partial

import trio

from stonecove.discovery import MembershipSink
from stonecove.protocols.buffer import Buffer, BufferFullError
from stonecove.protocols.change_log import MOST_FRAME, ChangeLogError, Follower, frames
from stonecove.runtime.log import log, log_some
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.timers import nobody
from stonecove.transport.upstream_connection import NO_DESCRIPTOR

# What is in the log counts as told 7 s later at the latest: all waits in a row must fit into that. The worst
# chain that is borne: the log falls silent, the next connection comes up and says nothing, two more never
# come up, with the longest back-off after each: 2.5 + 1.5 + 2 * 0.8 + 4 * 0.15 = 6.2 s. Or two say nothing:
# 2.5 + 1.5 + 2.5 + 3 * 0.15 = 6.95 s. With one that never comes up it is 2.5 + 0.8 + 2 * 0.15 = 3.6 s after
# the log stops, 0.8 + 2 * 0.15 = 1.1 s after a break.
QUIET = 2.5  # a frame comes each second; after so many without a whole one the connection is given up
FIRST = 1.5  # the same on a new connection, which is told at once; but QUIET if the one before was mute, too
BACK_OFF = 0.05, 0.15  # seconds before the next connection, doubled up to the second; few graces are shorter
CONNECT_WAIT = 0.8
SETTLED = 0.03  # seconds after an event without another one: the log has told what it had
# Seconds that a start waits at most, whatever grace the settings give: 6 are allowed on short days, and the
# start itself took 3.4 on a crowded host. One mute connection and a second one that speaks fit in.
READY_WITHIN = 2.5
LATE = 0.02  # seconds after a turn of all tasks for which the next one is late


class ChangeLog(trio.abc.Instrument):
    """Follows the change log for good: resumes after the last number, however often it breaks."""

    def __init__(
        self,
        host: str,
        port: int,
        follower: Follower,
        new_socket: Callable[[], socket.socket] = socket.socket,
    ) -> None:
        """`new_socket` makes the one of each connection."""
        self._address = (host, port)
        self._follower = follower
        self._new_socket = new_socket
        self._scope = trio.CancelScope()
        self.heard = 0.0  # when the last whole frame came, in trio's seconds
        self._nothing_new = trio.Event()  # the log has said so once
        self._whole_at = math.inf  # when the last bytes of the present connection came, if they end a frame
        self._speaks = False  # the last connection came up, and has not ended without a word
        self._mute = False  # the last one that came up ended without a word
        self._turn = 0.0  # when the tasks had their last turn
        self._look: Callable[[], str] = str  # takes in what is there; says why it is over, if it is
        self._quiet = trio.CancelScope()  # cancelled once the log is given up
        self._why = ""  # why it was given up; or the error
        self._error: Exception | None = None
        self.short: Callable[[], None] = nobody  # told when the system has no descriptor for a connection

    def move(self, host: str, port: int) -> None:
        """Follows the log at another address from now on, after the same last number.

        The connection to the old one is given up at once: it may stay open and tell nothing more.
        """
        if (host, port) != self._address:
            self._address, self._mute = (host, port), False
            self._scope.cancel()

    async def caught_up(self, within: float) -> None:
        """Waits until the log has told what it has: `within` seconds where it can't be reached, and
        `READY_WITHIN` at most.

        Guards against the first requests after a start going to nodes that were drained since the
        configuration was written: all that is in the log counts as told, connected or not.
        """
        give_up = trio.current_time() + within
        with trio.move_on_after(READY_WITHIN):
            while self._speaks or trio.current_time() < give_up:
                with trio.move_on_after(SETTLED):
                    await self._nothing_new.wait()
                if self._nothing_new.is_set() or trio.current_time() >= self._whole_at + SETTLED:
                    break

    def after_io_wait(self, timeout: float) -> None:
        """Looks at the log ahead of all other tasks, in a turn that comes late.

        Guards against answers and timers of that turn leading to repeats by an old list, though the drain
        lies there: trio lets tasks run in any order. Fresh requests are decided a turn later anyway.
        """
        now = trio.current_time()
        late, self._turn = now > self._turn + LATE, now
        if late:
            self._take_in()

    def _take_in(self) -> None:
        if self._why or self._error:
            return  # guards against reading on behind a gap, before the task has come to its end
        try:
            self._why = self._look()
        except Exception as error:
            self._error = error
        if self._why or self._error:
            self._quiet.cancel()

    async def run(self, sink: MembershipSink) -> None:
        """Follows the log for good, wherever it is."""
        trio.lowlevel.add_instrument(self)
        while True:
            with trio.CancelScope() as self._scope:
                await self._keep(sink)
            log(
                LogEvent.CHANGE_LOG_ADDRESS_CHANGED,
                address=":".join(map(str, self._address)),
                last=self._follower.last,
            )

    async def _keep(self, sink: MembershipSink) -> None:
        """Connects again and again, with a short back-off."""
        wait = BACK_OFF[0]
        while True:
            last, heard = self._follower.last, self.heard
            try:
                why = await self._follow(sink)
            except (OSError, BufferFullError, ChangeLogError) as error:
                why = str(error) or type(error).__name__
                if isinstance(error, OSError) and error.errno in NO_DESCRIPTOR:
                    self.short()
            except Exception as error:  # guards against one event that can't be worked off ending the process
                log(LogEvent.INTERNAL_ERROR, where="change log", error=repr(error))
                why = "an event can't be worked off"
            self._whole_at, self._speaks = math.inf, self.heard != heard
            log_some(LogEvent.CHANGE_LOG_DISCONNECTED, last=self._follower.last, reason=why)
            wait = BACK_OFF[0] if self._follower.last != last else min(2 * wait, BACK_OFF[1])
            await trio.sleep(wait)

    async def _follow(self, sink: MembershipSink) -> str:
        plain = self._new_socket()
        with trio.socket.from_stdlib_socket(plain) as sock:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            with trio.move_on_after(CONNECT_WAIT) as waiting:
                await sock.connect(self._address)
                hello = self._follower.hello()
                while hello:  # guards against one written in part: the log would wait for the rest
                    hello = hello[await sock.send(hello) :]
            if waiting.cancelled_caught:
                return "not up in time"
            log_some(LogEvent.CHANGE_LOG_CONNECTED, last=self._follower.last)
            patience = QUIET if self._mute else FIRST
            self._speaks = self._mute = True
            buffer = Buffer(MOST_FRAME + 4096)
            # Guards against a log that was cut off or stops in the middle of a frame: the connection stays
            # open, and bytes may still trickle in. Only whole frames count.
            self._why, self._error = "", None
            with trio.move_on_after(patience) as self._quiet:
                self._look = partial(self._read, plain, buffer, sink)
                try:
                    while True:
                        await trio.lowlevel.wait_readable(plain)
                        self._take_in()
                finally:
                    self._look = str
            if self._error is not None:
                raise self._error
            return self._why or "silent"

    def _read(self, sock: socket.socket, buffer: Buffer, sink: MembershipSink) -> str:
        """Takes in all that is there; says why the connection has to be given up, or nothing."""
        while True:
            with buffer.room(4096) as view:
                try:
                    count = sock.recv_into(view)
                except BlockingIOError:
                    return ""
            if not count:
                return "closed by the log"
            buffer.filled(count)
            for frame in frames(buffer):
                self.heard, self._mute = trio.current_time(), False
                self._quiet.deadline = self.heard + QUIET
                if not self._follower.take(frame, sink):
                    return frame.wrong or f"a gap before {frame.number}"
                if not frame.event:
                    self._nothing_new.set()
            self._whole_at = math.inf if len(buffer) else self.heard
