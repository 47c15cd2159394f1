"""FastCGI 1.0, role Responder; a codec that knows no I/O."""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from stonecove.protocols.buffer import Buffer
from stonecove.state.budget import MemoryBudget

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
COMPLETE, CANT_MPX, OVERLOADED, UNKNOWN_ROLE = range(4)
RESPONDER = 1
KEEP_CONN = 1

MOST_OPEN = 32  # requests at once on a connection
MOST_PARAMS = 32_768
MOST_BODY = 65_536
MOST_CONTROL = 4096  # bytes of a record that is no part of a stream
PIECE = 16_384  # bytes of an answer in one record, so that answers take turns

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
        records.append(record(STDOUT, ident, body[at : at + PIECE]))
    records.append(record(STDOUT, ident) + end_record(ident))
    return records


def _length(data: bytes, at: int) -> tuple[int, int]:
    if data[at] < 128:
        return data[at], at + 1
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF, at + 4


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
        found[data[at : at + name].decode("latin-1")] = data[at + name : end].decode("latin-1")
        at = end
    return found


def _values_result(asked: bytes) -> bytes:
    known = {"FCGI_MAX_CONNS": "300", "FCGI_MAX_REQS": "9600", "FCGI_MPXS_CONNS": "1"}
    try:
        names = pairs(asked)
    except ValueError as error:
        raise FastCgiError(f"values asked for: {error}") from error
    out = b"".join(
        bytes((len(name), len(known[name]))) + name.encode() + known[name].encode()
        for name in names
        if name in known
    )
    return record(GET_VALUES_RESULT, 0, out)


class Decoder:
    """Requests out of records, however the bytes were split."""

    def __init__(self, budget: MemoryBudget, clock: Callable[[], float]) -> None:
        self._budget = budget
        self._clock = clock
        self._taking: dict[int, _Taking] = {}
        self.open: set[int] = set()  # ids in use, until their end was written
        self.turned_away = 0  # requests in a row that could not be taken
        self.keep = True  # whether the client wants the connection kept once all is answered
        self._part = PARAMS, 0  # kind and id of the record under way, if one is
        self._left = self._padding = 0  # bytes of it that are to come
        self.part_since = 0.0  # when that record began to come in; 0: there is none
        self.closing = False  # nothing that begins is taken any more

    def events(self, buffer: Buffer) -> Iterator[Arrived | Aborted | Reply]:
        """What the records amount to; those of a stream, which may be long, before they are whole.

        Guards against many records that are never whole, which would be held without a bound.
        """
        while True:
            if self._left:
                content = buffer.take(self._left)
                if not content:
                    return
                self._left -= len(content)
                yield from self._one(*self._part, content)
                continue
            if self._padding:
                self._padding -= (count := min(self._padding, len(buffer)))
                buffer.skip(count)
                if self._padding:
                    return
            self.part_since = 0.0
            if len(buffer) < _HEADER.size:
                return
            version, kind, ident, length, padding, _ = buffer.unpack(_HEADER)
            if version != 1:
                raise FastCgiError(f"version {version}")
            streamed = ident and kind in (PARAMS, STDIN)
            if not streamed and length > MOST_CONTROL:
                raise FastCgiError(f"a record of kind {kind} with {length} bytes")
            if len(buffer) < _HEADER.size + length + padding:
                if not streamed or not length:
                    return
                buffer.skip(_HEADER.size)
                self._part, self._left, self._padding = (kind, ident), length, padding
                self.part_since = self._clock()
                continue
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
            if (
                kind in (PARAMS, STDIN)
                and content
                and (taking.no_room or not self._budget.can_receive(len(content), self))
            ):
                self._forget(taking)
            elif kind == PARAMS:
                yield from self._params(ident, taking, content)
            elif kind == STDIN and content:
                if len(taking.body) + len(content) > MOST_BODY:
                    yield self._ill(ident, "the body is too long")
                else:
                    taking.body += content
                    self._budget.add_incomplete(len(content), self)
            elif kind == STDIN:
                self._taken(ident)
                if taking.no_room:
                    self.open.discard(ident)  # our own lack, for which no client is left
                    yield Reply(end_record(ident, OVERLOADED))
                else:
                    yield self._whole(ident, taking)

    def _taken(self, ident: int) -> None:
        """The request comes in no more."""
        if size := self._taking.pop(ident).size():
            self._budget.add_incomplete(-size, self)

    def discard_incomplete(self) -> None:
        """Keeps nothing of what is coming in: there is no room for it."""
        for taking in self._taking.values():
            self._forget(taking)

    def _forget(self, taking: _Taking) -> None:
        """What came in of a request is not kept until its end, with which it is refused."""
        if size := taking.size():
            self._budget.add_incomplete(-size, self)
        taking.params, taking.body, taking.no_room = bytearray(), bytearray(), True

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

    def take_no_more(self) -> None:
        """What has begun is forgotten and what begins is passed over; aborts still count."""
        self.closing = True
        self.open -= self._taking.keys()
        self.close()

    def close(self) -> None:
        """Nothing more comes in."""
        for ident in list(self._taking):
            self._taken(ident)

    def _begin(self, ident: int, content: bytes) -> Iterator[Reply]:
        if len(content) < _BEGIN.size:
            raise FastCgiError("BEGIN_REQUEST is cut short")
        if self.closing:
            return
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
            self._budget.add_incomplete(len(content), self)

    @staticmethod
    def _whole(ident: int, taking: _Taking) -> Arrived:
        try:
            return Arrived(ident, pairs(bytes(taking.params)), bytes(taking.body), "")
        except ValueError as error:
            return Arrived(ident, {}, b"", f"parameters: {error}")
