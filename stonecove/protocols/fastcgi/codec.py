"""FastCGI 1.0 codec without I/O, for the role Responder."""

from __future__ import annotations

import struct
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from stonecove.protocols.buffer import Buffer
from stonecove.state.budget import MemoryBudget
from stonecove.state.client_activity import ClientActivity

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(1, 12)
COMPLETE, CANT_MPX, OVERLOADED, UNKNOWN_ROLE = range(4)
RESPONDER = 1
KEEP_CONN = 1

MAX_OPEN_REQUESTS = 32  # at once on a connection
MAX_PARAMS_BYTES = 32_768
MAX_PARAMS = 256  # of one request; each costs as much to decode as many bytes
MAX_BODY_BYTES = 65_536
MAX_CONTROL_BYTES = 4096  # content of a record that is not part of a stream
STDOUT_RECORD_BYTES = 16_384  # content of one record of an answer, so that answers interleave

_HEADER = struct.Struct(">BBHHBB")
_BEGIN = struct.Struct(">HB5x")
_END = struct.Struct(">IB3x")


class FastCgiError(Exception):
    """Records that break the protocol; the connection cannot be used any further."""


class RequestReceived(NamedTuple):
    """A request that is complete, or rejected early; `error` is what is wrong with it, or empty."""

    ident: int
    params: dict[str, str]
    body: bytes
    error: str


class Aborted(NamedTuple):
    """The client has aborted this request."""

    ident: int


class ControlReply(NamedTuple):
    """A record to be sent to the client by the protocol's own rules."""

    data: bytes


@dataclass(slots=True)
class _IncomingRequest:
    """A request that is not received completely."""

    started_ms: float
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    params_done: bool = False
    over_budget: bool = False

    def size(self) -> int:
        return len(self.params) + len(self.body)


def record(kind: int, ident: int, content: bytes = b"") -> bytes:
    """Return one record without padding."""
    return _HEADER.pack(1, kind, ident, len(content), 0, 0) + content


def end_record(ident: int, status: int = COMPLETE, app: int = 0) -> bytes:
    """Return the record that ends a request."""
    return record(END, ident, _END.pack(app, status))


def response_records(ident: int, head: bytes, body: bytes) -> deque[bytes]:
    """Return a complete answer as a sequence of records."""
    first = max(0, STDOUT_RECORD_BYTES - len(head))
    records = deque((record(STDOUT, ident, head + body[:first]),))
    for at in range(first, len(body), STDOUT_RECORD_BYTES):
        records.append(record(STDOUT, ident, body[at : at + STDOUT_RECORD_BYTES]))
    records.append(record(STDOUT, ident) + end_record(ident))
    return records


def _long_length(data: bytes, at: int) -> int:
    """Return a length that is encoded in four bytes."""
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF


def parse_pairs(data: bytes) -> dict[str, str]:
    """Return decoded name-value pairs; raise ValueError if they are truncated or more than MAX_PARAMS."""
    found: dict[str, str] = {}
    at, size, count = 0, len(data), 0
    while at < size:
        count += 1
        if count > MAX_PARAMS:
            raise ValueError(f"more than {MAX_PARAMS} pairs")
        try:
            # Lengths below 128, of nearly all pairs, take one byte.
            name_length, at = (data[at], at + 1) if data[at] < 128 else (_long_length(data, at), at + 4)
            value_length, at = (data[at], at + 1) if data[at] < 128 else (_long_length(data, at), at + 4)
        except IndexError:
            raise ValueError("a length is truncated") from None
        value_at = at + name_length
        end = value_at + value_length
        if end > size:
            raise ValueError("a pair is truncated")
        found[data[at:value_at].decode("latin-1")] = data[value_at:end].decode("latin-1")
        at = end
    return found


def _values_result(content: bytes) -> bytes:
    known = {"FCGI_MAX_CONNS": "300", "FCGI_MAX_REQS": "9600", "FCGI_MPXS_CONNS": "1"}
    try:
        names = parse_pairs(content)
    except ValueError as error:
        raise FastCgiError(f"GET_VALUES: {error}") from error
    result = b"".join(
        bytes((len(name), len(known[name]))) + name.encode() + known[name].encode()
        for name in names
        if name in known
    )
    return record(GET_VALUES_RESULT, 0, result)


class Decoder:
    """Incremental decoder of requests; it does not depend on how the bytes were split."""

    def __init__(self, budget: MemoryBudget, clock: Callable[[], float]) -> None:
        self._budget = budget
        self._clock = clock
        self.activity = ClientActivity(clock())
        self._incoming: dict[int, _IncomingRequest] = {}
        self.open: set[int] = set()  # request ids in use, until their end is written
        self.keep_conn = True  # the client wants the connection kept open after the last answer
        self._current_record = PARAMS, 0  # type and request id
        self._remaining = self._padding = 0  # bytes of it not yet received
        self.record_started_ms = 0.0  # 0: no record is partly received
        self.closing = False  # new requests are ignored
        self.records_handled = 0
        self.is_paused = False  # the last call of `events` ended at its limit, and the buffer may hold more

    @property
    def rejected_in_a_row(self) -> int:
        """The number of requests rejected since the last acceptable one."""
        return self.activity.rejected_in_a_row

    def events(
        self, buffer: Buffer, max_records: int = sys.maxsize
    ) -> Iterator[RequestReceived | Aborted | ControlReply]:
        """Consume up to `max_records` and yield their events; raise FastCgiError if they break the protocol.

        Records of a stream are processed before they are complete. Buffered until then, many long records
        that never end would use memory outside the budget.
        """
        last_record = self.records_handled + max_records
        self.is_paused = False
        while True:
            if self.records_handled >= last_record and len(buffer):
                self.is_paused = True
                return
            if self._remaining:
                content = buffer.take(self._remaining)
                if not content:
                    return
                self._remaining -= len(content)
                yield from self._handle_record(*self._current_record, content, not self._remaining)
                continue
            if self._padding:
                self._padding -= (count := min(self._padding, len(buffer)))
                buffer.skip(count)
                if self._padding:
                    return
            self.record_started_ms = 0.0
            if len(buffer) < _HEADER.size:
                return
            version, kind, ident, length, padding, _ = buffer.unpack(_HEADER)
            if version != 1:
                raise FastCgiError(f"unknown version {version}")
            streamed = ident and kind in (PARAMS, STDIN)
            if not streamed and length > MAX_CONTROL_BYTES:
                raise FastCgiError(f"record of type {kind} with {length} bytes of content")
            if len(buffer) < _HEADER.size + length + padding:
                if not streamed or not length:
                    return
                buffer.skip(_HEADER.size)
                self._current_record, self._remaining, self._padding = (kind, ident), length, padding
                self.record_started_ms = self._clock()
                continue
            buffer.skip(_HEADER.size)
            content = buffer.take(length)
            buffer.skip(padding)
            yield from self._handle_record(kind, ident, content)

    def _handle_record(
        self, kind: int, ident: int, content: bytes, is_complete: bool = True
    ) -> Iterator[RequestReceived | Aborted | ControlReply]:
        """Handle a record, or the next part of its content; `is_complete`: it is the last part."""
        self.records_handled += 1
        if self._is_wasted(kind, ident, content):
            self.activity.record_wasted(len(content), int(is_complete))
        if kind == GET_VALUES:
            yield ControlReply(_values_result(content))
        elif not ident or kind > GET_VALUES_RESULT:
            yield ControlReply(record(UNKNOWN, 0, bytes((kind, 0, 0, 0, 0, 0, 0, 0))))
        elif kind == BEGIN:
            yield from self._begin(ident, content)
        elif kind == ABORT:
            if ident in self.open:
                if ident not in self._incoming:
                    yield Aborted(ident)
                else:
                    self._stop_receiving(ident)
                    self.open.discard(ident)
                    yield ControlReply(end_record(ident, COMPLETE, 1))
        elif request := self._incoming.get(ident):  # records of unknown ids are ignored, as specified
            if (
                kind in (PARAMS, STDIN)
                and content
                and (request.over_budget or not self._budget.can_receive(len(content), self))
            ):
                self._discard_content(request)
            elif kind == PARAMS:
                yield from self._params(ident, request, content)
            elif kind == STDIN and content:
                if len(request.body) + len(content) > MAX_BODY_BYTES:
                    yield self._reject_incomplete(ident, "the body is too long")
                else:
                    request.body += content
                    self._budget.add_incomplete(len(content), self)
            elif kind == STDIN:
                self._stop_receiving(ident)
                if request.over_budget:
                    self.open.discard(ident)  # not the client's fault: not counted as a rejection
                    yield ControlReply(end_record(ident, OVERLOADED))
                else:
                    yield self._complete(ident, request)

    def _is_wasted(self, kind: int, ident: int, content: bytes) -> bool:
        """Return whether a record does not bring any request closer to its answer."""
        if kind == BEGIN and ident:
            return False
        if kind == ABORT and ident:
            return ident not in self.open or ident in self._incoming
        request = self._incoming.get(ident)
        if request is None or kind not in (PARAMS, STDIN):
            return True
        return kind == PARAMS and not content and request.params_done

    def _stop_receiving(self, ident: int) -> None:
        """Forget an incomplete request and release its memory."""
        if size := self._incoming.pop(ident).size():
            self._budget.add_incomplete(-size, self)

    def discard_incomplete(self) -> None:
        """Drop the content of all incomplete requests: the memory budget is exhausted."""
        for request in self._incoming.values():
            self._discard_content(request)

    def _discard_content(self, request: _IncomingRequest) -> None:
        """Drop the content of a request, which is rejected as overloaded once it is complete."""
        if size := request.size():
            self._budget.add_incomplete(-size, self)
        request.params, request.body, request.over_budget = bytearray(), bytearray(), True

    def _reject_incomplete(self, ident: int, why: str) -> RequestReceived:
        """Reject a request before it is complete; its remaining records are ignored.

        Receiving the rest first would mean reading 60 MB, or an endless body, only to reject it.
        """
        self._stop_receiving(ident)
        return RequestReceived(ident, {}, b"", why)

    def _reject_begin(self, ident: int, status: int) -> ControlReply:
        self.open.discard(ident)
        self.activity.record_rejected()
        return ControlReply(end_record(ident, status))

    def overdue(self, before: float) -> Iterator[RequestReceived]:
        """Reject and yield the incomplete requests that started before that time, in Unix ms."""
        for ident in [ident for ident, request in self._incoming.items() if request.started_ms < before]:
            yield self._reject_incomplete(ident, "not complete in time")

    def stop_accepting(self) -> None:
        """Forget incomplete requests and ignore new ones; aborts are still reported."""
        self.closing = True
        self.open -= self._incoming.keys()
        self.close()

    def close(self) -> None:
        """Release the memory of all incomplete requests."""
        for ident in list(self._incoming):
            self._stop_receiving(ident)

    def _begin(self, ident: int, content: bytes) -> Iterator[ControlReply]:
        if len(content) < _BEGIN.size:
            raise FastCgiError("BEGIN_REQUEST is truncated")
        if self.closing:
            return
        if ident in self.open:
            raise FastCgiError(f"id {ident} is open already")
        role, flags = _BEGIN.unpack_from(content)
        self.keep_conn = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            yield self._reject_begin(ident, UNKNOWN_ROLE)
        elif len(self.open) >= MAX_OPEN_REQUESTS:
            yield self._reject_begin(ident, OVERLOADED)
        else:
            self.open.add(ident)
            self._incoming[ident] = _IncomingRequest(self._clock())

    def unanswered(self) -> int:
        """Return the number of complete requests without an answer."""
        return len(self.open) - len(self._incoming)

    def incomplete(self) -> int:
        """Return the number of incomplete requests."""
        return len(self._incoming)

    def oldest_incomplete_ms(self) -> float:
        """Return when the oldest incomplete request started, in Unix ms; 0 if there is none."""
        return min((request.started_ms for request in self._incoming.values()), default=0.0)

    def refuse_incomplete(self) -> list[int]:
        """Forget the incomplete requests and return their ids, which the caller must end."""
        idents = list(self._incoming)
        for ident in idents:
            self._stop_receiving(ident)
        return idents

    def _params(self, ident: int, request: _IncomingRequest, content: bytes) -> Iterator[RequestReceived]:
        if not content:
            request.params_done = True
        elif request.params_done or len(request.params) + len(content) > MAX_PARAMS_BYTES:
            yield self._reject_incomplete(ident, "the parameters are too long")
        else:
            request.params += content
            self._budget.add_incomplete(len(content), self)

    @staticmethod
    def _complete(ident: int, request: _IncomingRequest) -> RequestReceived:
        try:
            return RequestReceived(ident, parse_pairs(bytes(request.params)), bytes(request.body), "")
        except ValueError as error:
            return RequestReceived(ident, {}, b"", f"parameters: {error}")
