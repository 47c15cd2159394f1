"""FastCGI 1.0, role Responder: a codec that knows no I/O, and a connection that carries many requests."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

import trio

from stonecove.memory.budget import Budget
from stonecove.wire.buffer import Buffer, BufferFullError

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
COMPLETE, CANT_MPX, OVERLOADED, UNKNOWN_ROLE = range(4)
RESPONDER = 1
KEEP_CONN = 1

MOST_OPEN = 32  # requests at once on a connection
MOST_PARAMS = 32_768
MOST_BODY = 65_536
MOST_OWED = 1000  # protocol records that wait to be written
MOST_TURNED_AWAY = 20  # requests in a row that can't be taken, after which a connection is ended
TAKE_IN = 2000.0  # ms within which what has begun to come in is whole; a bad client is owed an end within 3 s
LINGER = 1.0, 1 << 20  # seconds and bytes for which a client that we leave may go on sending
PIECE = 16_384  # bytes of an answer in one record, so that answers take turns
GULP = 65_536  # bytes handed to the socket at once
STALL = 10.0  # seconds for which a client may take in nothing

_HEADER = struct.Struct(">BBHHBB")
_BEGIN = struct.Struct(">HB5x")
_END = struct.Struct(">IB3x")


class FastCgiError(Exception):
    """Records that break the protocol; the connection can't go on."""


class Arrived(NamedTuple):
    """A request that is whole. `bad` tells what is wrong with it, if anything."""

    ident: int
    params: dict[str, str]
    body: bytes
    bad: str


class Aborted(NamedTuple):
    """The client no longer waits for this request."""

    ident: int


class Reply(NamedTuple):
    """Bytes that the protocol itself owes the client."""

    data: bytes


@dataclass(slots=True)
class _Taking:
    """A request that is still coming in."""

    since: float
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    params_done: bool = False
    no_room: bool = False

    def size(self) -> int:
        return len(self.params) + len(self.body)


def record(kind: int, ident: int, content: bytes = b"") -> bytes:
    """One record, without padding."""
    return _HEADER.pack(1, kind, ident, len(content), 0, 0) + content


def end_record(ident: int, status: int = COMPLETE, app: int = 0) -> bytes:
    """The record that ends a request."""
    return record(END, ident, _END.pack(app, status))


def answer_records(ident: int, head: bytes, body: bytes) -> deque[bytes]:
    """A whole answer, record by record."""
    first = max(0, PIECE - len(head))
    records = deque((record(STDOUT, ident, head + body[:first]),))
    for at in range(first, len(body), PIECE):
        records.append(record(STDOUT, ident, body[at:at + PIECE]))
    records.append(record(STDOUT, ident) + end_record(ident))
    return records


def _length(data: bytes, at: int) -> tuple[int, int]:
    if data[at] < 128:
        return data[at], at + 1
    return int.from_bytes(data[at:at + 4], "big") & 0x7FFFFFFF, at + 4


def pairs(data: bytes) -> dict[str, str]:
    """Name-value pairs; raises ValueError if they are cut short."""
    found, at = {}, 0
    while at < len(data):
        try:
            name, at = _length(data, at)
            value, at = _length(data, at)
        except IndexError:
            raise ValueError("a length is cut short") from None
        end = at + name + value
        if end > len(data):
            raise ValueError("a pair is cut short")
        found[data[at:at + name].decode("latin-1")] = data[at + name:end].decode("latin-1")
        at = end
    return found


def _values_result(asked: bytes) -> bytes:
    known = {"FCGI_MAX_CONNS": "300", "FCGI_MAX_REQS": "9600", "FCGI_MPXS_CONNS": "1"}
    try:
        names = pairs(asked)
    except ValueError as error:
        raise FastCgiError(f"values asked for: {error}") from error
    out = b"".join(bytes((len(name), len(known[name]))) + name.encode() + known[name].encode()
                   for name in names if name in known)
    return record(GET_VALUES_RESULT, 0, out)


class Decoder:
    """Requests out of records, however the bytes were split."""

    def __init__(self, budget: Budget, clock: Callable[[], float]) -> None:
        self._budget = budget
        self._clock = clock
        self._taking: dict[int, _Taking] = {}
        self.open: set[int] = set()  # ids in use, until their end was written
        self.turned_away = 0  # requests in a row that could not be taken
        self.keep = True  # whether the client wants the connection kept once all is answered

    def events(self, buffer: Buffer) -> Iterator[Arrived | Aborted | Reply]:
        """What the records that are whole amount to."""
        while len(buffer) >= _HEADER.size:
            version, kind, ident, length, padding, _ = buffer.unpack(_HEADER)
            if version != 1:
                raise FastCgiError(f"version {version}")
            if len(buffer) < _HEADER.size + length + padding:
                return
            buffer.skip(_HEADER.size)
            content = buffer.take(length)
            buffer.skip(padding)
            yield from self._one(kind, ident, content)

    def _one(self, kind: int, ident: int, content: bytes) -> Iterator[Arrived | Aborted | Reply]:
        if kind == GET_VALUES:
            yield Reply(_values_result(content))
        elif not ident or kind > GET_VALUES_RESULT:
            yield Reply(record(UNKNOWN, 0, bytes((kind, 0, 0, 0, 0, 0, 0, 0))))
        elif kind == BEGIN:
            yield from self._begin(ident, content)
        elif kind == ABORT:
            if ident in self.open:
                if ident not in self._taking:
                    yield Aborted(ident)
                else:
                    self._taken(ident)
                    self.open.discard(ident)
                    yield Reply(end_record(ident, COMPLETE, 1))
        elif taking := self._taking.get(ident):  # of an unknown id: passed over, as the standard asks
            if kind in (PARAMS, STDIN) and content and not self._budget.has(len(content)):
                taking.no_room = True
            elif kind == PARAMS:
                yield from self._params(ident, taking, content)
            elif kind == STDIN and content:
                if len(taking.body) + len(content) > MOST_BODY:
                    yield self._ill(ident, "the body is too long")
                else:
                    taking.body += content
                    self._budget.take(len(content))
            elif kind == STDIN:
                self._taken(ident)
                if taking.no_room:
                    yield self._turn_away(ident, OVERLOADED)
                else:
                    yield self._whole(ident, taking)

    def _taken(self, ident: int) -> None:
        """The request comes in no more."""
        self._budget.give(self._taking.pop(ident).size())

    def _ill(self, ident: int, why: str) -> Arrived:
        """A request is answered before it is whole; the rest of it is passed over.

        Guards against taking in 60 MB, or what never ends, in order to say no.
        """
        self._taken(ident)
        return Arrived(ident, {}, b"", why)

    def _turn_away(self, ident: int, status: int) -> Reply:
        self.open.discard(ident)
        self.turned_away += 1
        return Reply(end_record(ident, status))

    def overdue(self, before: float) -> Iterator[Arrived]:
        """The requests that began to come in before then and still do, ended."""
        for ident in [ident for ident, taking in self._taking.items() if taking.since < before]:
            yield self._ill(ident, "not whole in time")

    def close(self) -> None:
        """Nothing more comes in."""
        for ident in list(self._taking):
            self._taken(ident)

    def _begin(self, ident: int, content: bytes) -> Iterator[Reply]:
        if len(content) < _BEGIN.size:
            raise FastCgiError("BEGIN_REQUEST is cut short")
        if ident in self.open:
            raise FastCgiError(f"id {ident} is open already")
        role, flags = _BEGIN.unpack_from(content)
        self.keep = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            yield self._turn_away(ident, UNKNOWN_ROLE)
        elif len(self.open) >= MOST_OPEN:
            yield self._turn_away(ident, OVERLOADED)
        else:
            self.open.add(ident)
            self._taking[ident] = _Taking(self._clock())

    def taken(self) -> int:
        """How many requests have come in whole and are not answered."""
        return len(self.open) - len(self._taking)

    def coming(self) -> int:
        """How many requests have begun to come in and are not whole."""
        return len(self._taking)

    def _params(self, ident: int, taking: _Taking, content: bytes) -> Iterator[Arrived]:
        if not content:
            taking.params_done = True
        elif taking.params_done or len(taking.params) + len(content) > MOST_PARAMS:
            yield self._ill(ident, "the parameters are too long")
        else:
            taking.params += content
            self._budget.take(len(content))

    @staticmethod
    def _whole(ident: int, taking: _Taking) -> Arrived:
        try:
            return Arrived(ident, pairs(bytes(taking.params)), bytes(taking.body), "")
        except ValueError as error:
            return Arrived(ident, {}, b"", f"parameters: {error}")


class Handler(Protocol):
    """Who takes the requests of all connections."""

    def request(self, connection: Connection, ident: int, params: dict[str, str], body: bytes,
                bad: str) -> bool:
        """A request has come in, or is ended for what is bad with it; exactly one answer or an end is owed.

        Says whether it was one that can be taken.
        """

    def aborted(self, connection: Connection, ident: int) -> None:
        """The client has left this request, or with it the whole connection."""


class Connection:
    """One client connection: requests in, answers out by turns, record by record."""

    def __init__(self, sock: socket.socket, handler: Handler, clock: Callable[[], float],
                 budget: Budget) -> None:
        self._sock = sock
        self._handler = handler
        self._clock = clock
        self._budget = budget
        self._decoder = Decoder(budget, clock)
        self._leaving = ""  # why the connection ends once all that is open on it is answered
        self._partial_since = clock()  # when a record began to come in that is not whole; 0: there is none
        self.mute = True  # not a byte has come so far
        self._urgent: deque[bytes] = deque()
        self._answers: deque[tuple[int, deque[bytes]]] = deque()
        self._unsent = 0  # bytes of answers that wait to be written
        self._rest = memoryview(b"")  # of what was begun to be written
        self._full = trio.Event()  # set while the socket takes no more
        self._scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._writing = trio.CancelScope()
        self._wrote = False  # whether the task that writes was started
        self._nursery: trio.Nursery
        self._broken = False
        self.last_used = clock()

    def quiet(self) -> bool:
        """Whether no request that came in whole is open, and nothing waits to be written."""
        return not (self._decoder.taken() or self._urgent or self._answers or self._rest)

    def idle(self) -> bool:
        """Whether it is quiet and nothing is coming in either."""
        return self.quiet() and not self._decoder.coming() and not self._partial_since

    def check(self, now: float) -> None:
        """Ends what has been coming in for too long.

        Guards against clients that connect and say nothing, or begin and never end.
        """
        if self._partial_since and self._partial_since < now - TAKE_IN:
            self._leave("says nothing" if self.mute else "a record is not whole in time")
        for event in self._decoder.overdue(now - TAKE_IN):
            self._handler.request(self, *event)

    def _leave(self, why: str) -> None:
        """Takes in nothing more, and ends the connection once all that is open on it is answered."""
        self._leaving = self._leaving or why
        self._reading.cancel()
        self._pump()

    def answer(self, ident: int, head: bytes, body: bytes) -> None:
        """Queues the whole answer to a request."""
        records = answer_records(ident, head, body)
        size = sum(map(len, records))
        self._unsent += size
        self._budget.take(size)
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

    def close(self) -> None:
        """Ends the connection."""
        self._scope.cancel()

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
            self._decoder.close()
            self._budget.give(self._unsent)
            self._unsent = 0
            for ident in sorted(self._decoder.open):
                self._handler.aborted(self, ident)
        return "the client takes in nothing" if self._broken else why

    async def _linger(self) -> None:
        """Guards against an answer lost to a reset, as when a socket is closed with bytes unread."""
        scratch, left = bytearray(GULP), LINGER[1]
        with trio.move_on_after(LINGER[0]), contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            while left > 0:
                await trio.lowlevel.wait_readable(self._sock)
                if not (count := self._sock.recv_into(scratch)):
                    break
                left -= count

    def _request(self, event: Arrived) -> None:
        """Hands a request on. Guards against one that is sent again whenever it is turned away."""
        if self._handler.request(self, *event):
            self._decoder.turned_away = 0
        else:
            self._decoder.turned_away += 1

    async def _read(self) -> str:
        buffer = Buffer(2 * (65_536 + 256 + _HEADER.size))
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
                self.mute = False
                now = self.last_used = self._clock()
                before = len(buffer)
                for event in self._decoder.events(buffer):
                    if isinstance(event, Arrived):
                        self._request(event)
                    elif isinstance(event, Aborted):
                        self._handler.aborted(self, event.ident)
                    else:
                        self._owe(event.data)
                if not len(buffer):
                    self._partial_since = 0.0
                elif len(buffer) < before or not self._partial_since:
                    self._partial_since = now
                if self._decoder.turned_away > MOST_TURNED_AWAY:
                    self._leave("turned away too often")
                    await trio.lowlevel.checkpoint()
            except (OSError, BufferFullError, FastCgiError) as error:
                return str(error) or type(error).__name__

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
                self._budget.give(len(part))
                if records:
                    self._answers.append((ident, records))
                else:
                    self._decoder.open.discard(ident)  # before the client sees the end and uses the id again
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def _start_writing(self) -> None:
        """Most clients need no task that writes: they take all at once."""
        if not self._wrote:
            self._wrote = True
            self._nursery.start_soon(self._write)

    async def _write(self) -> None:
        """Writes what the socket did not take at once, until all is over."""
        with self._writing:
            while True:
                await self._full.wait()
                # Guards against a client that reads nothing and so holds answers in memory for good.
                with trio.move_on_after(STALL) as waiting:
                    await trio.lowlevel.wait_writable(self._sock)
                if waiting.cancelled_caught:
                    self._broken = True
                    break
                self._full = trio.Event()
                self._pump()
        self._reading.cancel()

    def _pump(self) -> None:
        """Writes until the socket takes no more; once all is written and no more is owed, ends the rest."""
        while not self._full.is_set():
            if not self._rest and not (data := self._gulp()):
                left = self._decoder.taken() if self._leaving else self._decoder.keep or self._decoder.open
                if not left:
                    self._writing.cancel()
                    self._reading.cancel()
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
                self._full.set()
                self._start_writing()
