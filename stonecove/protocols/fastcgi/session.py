"""State machine of one FastCGI client connection, without I/O: requests in, interleaved answers out.

A transport subclasses `Session`, reports what happens on the socket (`received`, `writable`, `ended`) and
implements `_on_write_blocked`, `_stop_reading`, `_stop_writing` and `close`.
`transport/client_connection.py` does so with trio.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.fastcgi.codec import (
    COMPLETE,
    OVERLOADED,
    Aborted,
    Decoder,
    FastCgiError,
    RequestReceived,
    end_record,
    response_records,
)
from stonecove.protocols.upstream_channel import Socket
from stonecove.state.budget import MemoryBudget
from stonecove.state.client_activity import PlaceStatus, PlaceUse

MAX_UNREAD_BYTES = 2 * (65_536 + 256 + 8)
MAX_CONTROL_RECORDS = 1000  # control records queued for writing
MAX_DISCARDED_BYTES = 1 << 20  # bytes accepted from a client while its connection waits to be closed
RECEIVE_TIMEOUT_MS = 2000.0  # for a started record or request; a bad client is answered within 3 s
WRITE_CHUNK_BYTES = 65_536  # bytes passed to the socket at once
MAX_RECORDS_PER_TURN = 16  # handled before other connections have their turn


class Handler(Protocol):
    """Handles the requests of all connections."""

    def request(self, connection: Session, ident: int, params: dict[str, str], body: bytes, bad: str) -> bool:
        """Handle a request; `bad` is what is wrong with one that is rejected before it is complete, or empty.

        Exactly one `Session.answer` or `Session.end` must follow. Return whether the request was acceptable.
        """

    def aborted(self, connection: Session, ident: int) -> None:
        """Handle the abort of a request, alone or with its whole connection."""


class Session:
    """One client connection: requests in, answers out, interleaved record by record."""

    def __init__(
        self, sock: Socket, handler: Handler, clock: Callable[[], float], budget: MemoryBudget
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._clock = clock
        self._budget = budget
        self._decoder = Decoder(budget, clock)
        self._buffer = Buffer(MAX_UNREAD_BYTES)
        self._closing_reason = ""  # why it closes once all open requests are answered; empty: it does not
        self._output_ended_ms = 0.0  # when the last byte was written before the connection closes
        self._discarded_bytes = 0  # received since `_closing_reason` was set
        self._partial_since_ms = clock()  # when an incomplete record started; 0: there is none
        self.nothing_received = True  # since the connection was accepted
        self._control_records: deque[bytes] = deque()
        self._responses: deque[tuple[int, deque[bytes]]] = deque()
        self._queued_bytes = 0  # bytes of answers queued for writing
        self._pending_write = memoryview(b"")  # of the chunk that is partly written
        self._write_blocked = False  # the socket accepts no more bytes
        self._client_stalled = False
        self.last_used = clock()

    # -- implemented by the transport --

    def close(self) -> None:
        """End the connection."""

    def _on_write_blocked(self) -> None:
        """Arrange for `writable` to be called once the socket accepts bytes again."""

    def _stop_reading(self) -> None:
        """Stop reading from the socket."""

    def _stop_writing(self) -> None:
        """Shut down the writing side of the connection."""

    def _read_available(self) -> bool:
        """Read what the socket holds at once; return whether all of it was read."""
        return True

    def detect_disconnect(self) -> bool:
        """Read what the socket holds; call `client_disconnected` if the client has ended the connection.

        Return whether all was read, so that an end would be known.
        """
        return True

    # -- called by the transport --

    def received(self) -> None:
        """Process MAX_RECORDS_PER_TURN of the buffer at most; raise FastCgiError if they break the protocol.

        The transport calls it again while `has_more_buffered`, once other connections had their turn. Once
        the connection is closing, only aborts are processed: a request that is dispatched then could not be
        answered any more.
        """
        if self._closing_reason:
            self._receive_while_closing()
            return
        self.nothing_received = False
        now = self.last_used = self._clock()
        unread = len(self._buffer)
        for event in self._decoder.events(self._buffer, MAX_RECORDS_PER_TURN):
            if isinstance(event, RequestReceived):
                self._dispatch_request(event)
            elif isinstance(event, Aborted):
                self._handler.aborted(self, event.ident)
            else:
                self._queue_control_record(event.data)
            if self._closing_reason:
                return
        if self._decoder.record_started_ms:
            self._partial_since_ms = self._decoder.record_started_ms
        elif not len(self._buffer):
            self._partial_since_ms = 0.0
        elif len(self._buffer) < unread or not self._partial_since_ms:
            self._partial_since_ms = now
        if reason := self._decoder.activity.limit_reached():
            self._close_when_answered(reason)

    def _receive_while_closing(self) -> None:
        """Process aborts alone, and close at once when the client sends more than MAX_DISCARDED_BYTES."""
        unread = len(self._buffer)
        try:
            for event in self._decoder.events(self._buffer, MAX_RECORDS_PER_TURN):
                if isinstance(event, Aborted):
                    self._handler.aborted(self, event.ident)
        except FastCgiError:
            self._buffer.skip(len(self._buffer))
        self._discarded_bytes += unread - len(self._buffer)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.close()

    def has_more_buffered(self) -> bool:
        """Return whether `received` ended at its limit, and is to be called again before more is read."""
        return self._decoder.is_paused

    def writable(self) -> None:
        """Resume writing: the socket accepts bytes again."""
        self._write_blocked = False
        self._flush()

    def client_disconnected(self) -> None:
        """Abort all open requests: the client has ended the connection."""
        for ident in sorted(self._decoder.open):
            self._handler.aborted(self, ident)

    def ended(self) -> None:
        """Release everything that the connection holds; called once, as the last event."""
        self._decoder.close()
        self._budget.release(self._queued_bytes)
        self._queued_bytes = 0
        self.client_disconnected()

    # -- called by the users of the connection --

    def has_no_open_work(self) -> bool:
        """Return whether no complete request is open and nothing is queued for writing."""
        return not (
            self._decoder.unanswered() or self._control_records or self._responses or self._pending_write
        )

    def idle(self) -> bool:
        """Return whether it is resting and has received something before."""
        return self.resting() and not self.nothing_received

    def resting(self) -> bool:
        """Return whether it has no open work and no record or request is incomplete, used before or not."""
        return (
            self.has_no_open_work()
            and not self._decoder.incomplete()
            and (self.nothing_received or not self._partial_since_ms)
        )

    def is_closing(self) -> bool:
        """Return whether it closes once all open requests are answered, and accepts no more."""
        return bool(self._closing_reason)

    def has_sent_request(self) -> bool:
        """Return whether a request of this client was accepted before."""
        return self._decoder.activity.has_sent_request

    def place_status(self) -> PlaceStatus:
        """Return what the client does with its place, by which clients are chosen to make way for others."""
        if self._decoder.unanswered() or self._control_records or self._responses or self._pending_write:
            return PlaceStatus(PlaceUse.BUSY, 0.0)
        if self._closing_reason:
            return PlaceStatus(PlaceUse.LINGERING, self._output_ended_ms)
        if self.nothing_received:
            return PlaceStatus(PlaceUse.SILENT, self.last_used)
        activity = self._decoder.activity
        if started_ms := self._decoder.oldest_incomplete_ms():
            # Otherwise a client could hold its place by beginning one request after the other.
            since_ms = activity.progress_at_ms if activity.has_wasted() else started_ms
            return PlaceStatus(PlaceUse.RECEIVING, since_ms)
        if activity.has_wasted():
            return PlaceStatus(PlaceUse.WASTING, activity.progress_at_ms)
        if self._partial_since_ms:
            return PlaceStatus(PlaceUse.RECEIVING, self._partial_since_ms)
        return PlaceStatus(PlaceUse.IDLE, self.last_used)

    def refuse_incomplete(self) -> None:
        """Refuse the requests that have arrived in part; the client may send them again elsewhere."""
        for ident in self._decoder.refuse_incomplete():
            self.end(ident, OVERLOADED)

    def has_unread(self) -> bool:
        """Return whether the socket or the buffer holds bytes that were not processed."""
        if self._decoder.is_paused:
            return True
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def expire_overdue(self, now: float) -> None:
        """End requests and records that were started more than RECEIVE_TIMEOUT_MS before `now`, in Unix ms.

        Otherwise clients that connect and send nothing, or never finish a request, would stay forever. What
        the socket holds is read first, so that a request completed in time counts even if it was not read.
        """
        started_before = now - RECEIVE_TIMEOUT_MS
        if (
            0.0 < self._partial_since_ms < started_before
            or 0.0 < self._decoder.oldest_incomplete_ms() < started_before
        ):
            self._read_available()
        for event in self._decoder.overdue(started_before):
            self._dispatch_request(event)
        if 0.0 < self._partial_since_ms < started_before:
            self._close_when_answered(
                "sent no data" if self.nothing_received else "a record is not whole in time"
            )

    def _close_when_answered(self, why: str) -> None:
        """Accept no more requests, and close the connection once all open ones are answered.

        Reading goes on: an abort or a disconnect of the client has to be noticed for the open requests.
        """
        self._closing_reason = self._closing_reason or why
        self._decoder.stop_accepting()
        self._flush()

    def answer(self, ident: int, head: bytes, body: bytes) -> None:
        """Queue the complete answer to a request."""
        records = response_records(ident, head, body)
        size = sum(map(len, records))
        self._queued_bytes += size
        self._budget.reserve(size)
        self._responses.append((ident, records))
        self._flush()

    def end(self, ident: int, status: int) -> None:
        """End a request without an answer, by a protocol status."""
        self._decoder.open.discard(ident)
        self._queue_control_record(end_record(ident, status, 1 if status == COMPLETE else 0))

    def _queue_control_record(self, data: bytes) -> None:
        """Queue a control record, and close the connection if a client that reads nothing caused too many."""
        if len(self._control_records) >= MAX_CONTROL_RECORDS:
            self._client_stalled = True
            self.close()
        self._control_records.append(data)
        self._flush()

    def _dispatch_request(self, event: RequestReceived) -> None:
        """Pass a request to the handler, and count rejections in a row.

        A client that repeats each rejected request at once is disconnected by this count.
        """
        if self._handler.request(self, *event):
            self._decoder.activity.record_accepted(self._clock())
        else:
            self._decoder.activity.record_rejected()

    def _next_chunk(self) -> bytes:
        """Return the next bytes to write: control records first, then one record of each answer in turn."""
        chunk: list[bytes] = []
        size = 0
        while size < WRITE_CHUNK_BYTES and (self._control_records or self._responses):
            if self._control_records:
                record = self._control_records.popleft()
            else:
                ident, records = self._responses.popleft()
                record = records.popleft()
                self._decoder.activity.record_written(self._clock())
                self._queued_bytes -= len(record)
                self._budget.release(len(record))
                if records:
                    self._responses.append((ident, records))
                else:
                    self._decoder.open.discard(ident)  # before the client sees the end and reuses the id
            chunk.append(record)
            size += len(record)
        return b"".join(chunk)

    def _flush(self) -> None:
        """Write until the socket accepts no more; end a closing connection once all is written."""
        while not self._write_blocked:
            if not self._pending_write and not (data := self._next_chunk()):
                in_use = (
                    self._decoder.unanswered()
                    if self._closing_reason
                    else self._decoder.keep_conn or self._decoder.open
                )
                if not in_use:
                    self._closing_reason = self._closing_reason or "closed by us"
                    self._output_ended_ms = self._output_ended_ms or self._clock()
                    self._stop_writing()
                    self._stop_reading()
                return
            self._pending_write = self._pending_write or memoryview(data)
            try:
                sent = self._sock.send(self._pending_write)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.close()
                return
            self.last_used = self._clock()
            self._pending_write = self._pending_write[sent:]
            if self._pending_write:
                self._write_blocked = True
                self._on_write_blocked()
