"""The life of one client connection, without its I/O: requests in, answers out by turns.

Whoever does the I/O makes a `Session`, tells it what happens (`received`, `writable`, `ended`) and does
what `_blocked`, `_stop_reading`, `_stop_writing` and `close` ask for. `transport/client_connection.py` does
so with trio.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.fastcgi.codec import (
    COMPLETE,
    Aborted,
    Arrived,
    Decoder,
    FastCgiError,
    answer_records,
    end_record,
)
from stonecove.protocols.upstream_channel import Socket
from stonecove.state.budget import MemoryBudget

MOST_UNREAD = 2 * (65_536 + 256 + 8)
MOST_OWED = 1000  # protocol records that wait to be written
MOST_TURNED_AWAY = 20  # requests in a row that can't be taken, after which a connection is ended
MOST_UNWANTED = 1 << 20  # bytes that a client which we leave may go on sending while it is owed answers
TAKE_IN = 2000.0  # ms within which what has begun to come in is whole; a bad client is owed an end within 3 s
GULP = 65_536  # bytes handed to the socket at once


class Handler(Protocol):
    """Who takes the requests of all connections."""

    def request(self, connection: Session, ident: int, params: dict[str, str], body: bytes, bad: str) -> bool:
        """A request has come in, or is ended for what is bad with it; exactly one answer or an end is owed.

        Says whether it was one that can be taken.
        """

    def aborted(self, connection: Session, ident: int) -> None:
        """The client has left this request, or with it the whole connection."""


class Session:
    """One client connection: requests in, answers out by turns, record by record."""

    def __init__(
        self, sock: Socket, handler: Handler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._clock = clock
        self._budget = budget
        self._decoder = Decoder(budget, clock)
        self._buffer = Buffer(MOST_UNREAD)
        self._leaving = ""  # why the connection ends once all that is open on it is answered
        self._unwanted = 0  # bytes that came in since
        self._partial_since = clock()  # when a record began to come in that is not whole; 0: there is none
        self.mute = True  # not a byte has come so far
        self._urgent: deque[bytes] = deque()
        self._answers: deque[tuple[int, deque[bytes]]] = deque()
        self._unsent = 0  # bytes of answers that wait to be written
        self._rest = memoryview(b"")  # of what was begun to be written
        self._full = False  # the socket takes no more
        self._broken = False
        self.last_used = clock()

    # -- what whoever does the I/O carries out --

    def close(self) -> None:
        """The connection is to be ended."""

    def _blocked(self) -> None:
        """The socket takes no more: `writable` is to be called once it does."""

    def _stop_reading(self) -> None:
        """Nothing more is to be taken in."""

    def _stop_writing(self) -> None:
        """Nothing more is to be written, and the client is to be told so."""

    def _look(self) -> bool:
        """What has come in so far is to be taken in at once; says whether that is done."""
        return True

    def look_for_end(self) -> None:
        """Takes in what has come so far; if the client has ended the connection, `left` is to be called."""

    # -- what whoever does the I/O tells --

    def received(self) -> None:
        """More bytes are in the buffer; raises FastCgiError if they can't be read.

        Guards against a request that is sent on though it can't be answered any more: once we leave, aborts
        alone count.
        """
        if self._leaving:
            self._overhear()
            return
        self.mute = False
        now = self.last_used = self._clock()
        held = len(self._buffer)
        for event in self._decoder.events(self._buffer):
            if isinstance(event, Arrived):
                self._request(event)
            elif isinstance(event, Aborted):
                self._handler.aborted(self, event.ident)
            else:
                self._owe(event.data)
            if self._leaving:
                return
        if self._decoder.part_since:
            self._partial_since = self._decoder.part_since
        elif not len(self._buffer):
            self._partial_since = 0.0
        elif len(self._buffer) < held or not self._partial_since:
            self._partial_since = now
        if self._decoder.turned_away > MOST_TURNED_AWAY:
            self._leave("turned away too often")

    def _overhear(self) -> None:
        """Bytes of a client that is being left: aborts alone count, and the rest has a bound."""
        held = len(self._buffer)
        try:
            for event in self._decoder.events(self._buffer):
                if isinstance(event, Aborted):
                    self._handler.aborted(self, event.ident)
        except FastCgiError:
            self._buffer.skip(len(self._buffer))
        self._unwanted += held - len(self._buffer)
        if self._unwanted > MOST_UNWANTED:
            self.close()

    def writable(self) -> None:
        """The socket takes more again."""
        self._full = False
        self._pump()

    def left(self) -> None:
        """The client has ended the connection: nobody waits for what is open on it."""
        for ident in sorted(self._decoder.open):
            self._handler.aborted(self, ident)

    def ended(self) -> None:
        """The connection is over; to be called once, as the last."""
        self._decoder.close()
        self._budget.release(self._unsent)
        self._unsent = 0
        self.left()

    # -- for those who use it --

    def quiet(self) -> bool:
        """Whether no request that came in whole is open, and nothing waits to be written."""
        return not (self._decoder.taken() or self._urgent or self._answers or self._rest)

    def idle(self) -> bool:
        """Whether it is quiet and nothing is coming in either."""
        return self.resting() and not self.mute

    def resting(self) -> bool:
        """Whether it is quiet and nothing is coming in, be it that nothing ever came."""
        return self.quiet() and not self._decoder.coming() and (self.mute or not self._partial_since)

    def leaving(self) -> bool:
        """Whether it is ended once what is open on it is answered; nothing more is taken in."""
        return bool(self._leaving)

    def unread(self) -> bool:
        """Whether bytes have come that were not read so far."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def check(self, now: float) -> None:
        """Ends what has been coming in for too long.

        Guards against clients that connect and say nothing, or begin and never end. What has come by now
        counts, read or not.
        """
        late = now - TAKE_IN
        if 0.0 < self._partial_since < late or self._decoder.coming():
            self._look()
        for event in self._decoder.overdue(late):
            self._handler.request(self, *event)
        if 0.0 < self._partial_since < late:
            self._leave("says nothing" if self.mute else "a record is not whole in time")

    def _leave(self, why: str) -> None:
        """Takes no request more, and ends the connection once all that is open on it is answered.

        It is read on: guards against not noticing that the client has left what waits here, too.
        """
        self._leaving = self._leaving or why
        self._decoder.take_no_more()
        self._pump()

    def answer(self, ident: int, head: bytes, body: bytes) -> None:
        """Queues the whole answer to a request."""
        records = answer_records(ident, head, body)
        size = sum(map(len, records))
        self._unsent += size
        self._budget.reserve(size)
        self._answers.append((ident, records))
        self._pump()

    def end(self, ident: int, status: int) -> None:
        """Ends a request without an answer."""
        self._decoder.open.discard(ident)
        self._owe(end_record(ident, status, 1 if status == COMPLETE else 0))

    def _owe(self, data: bytes) -> None:
        """Guards against a client that asks on and on and reads nothing."""
        if len(self._urgent) >= MOST_OWED:
            self._broken = True
            self.close()
        self._urgent.append(data)
        self._pump()

    def _request(self, event: Arrived) -> None:
        """Hands a request on. Guards against one that is sent again whenever it is turned away."""
        if self._handler.request(self, *event):
            self._decoder.turned_away = 0
        else:
            self._decoder.turned_away += 1

    def _gulp(self) -> bytes:
        """The next bytes to write: what the protocol owes first, then one record of each answer by turns."""
        parts: list[bytes] = []
        size = 0
        while size < GULP and (self._urgent or self._answers):
            if self._urgent:
                part = self._urgent.popleft()
            else:
                ident, records = self._answers.popleft()
                part = records.popleft()
                self._unsent -= len(part)
                self._budget.release(len(part))
                if records:
                    self._answers.append((ident, records))
                else:
                    self._decoder.open.discard(ident)  # before the client sees the end and uses the id again
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def _pump(self) -> None:
        """Writes until the socket takes no more; once all is written and no more is owed, ends the rest."""
        while not self._full:
            if not self._rest and not (data := self._gulp()):
                left = self._decoder.taken() if self._leaving else self._decoder.keep or self._decoder.open
                if not left:
                    self._leaving = self._leaving or "closed by us"
                    self._stop_writing()
                    self._stop_reading()
                return
            self._rest = self._rest or memoryview(data)
            try:
                sent = self._sock.send(self._rest)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.close()
                return
            self.last_used = self._clock()
            self._rest = self._rest[sent:]
            if self._rest:
                self._full = True
                self._blocked()
