"""HTTP/1.1 server session without I/O, on top of h11 (RFC 9112).

h11 is more lenient than is safe behind other HTTP servers, so the bytes of each head are checked first.
Whatever two parsers could interpret differently is rejected: bare LF or CR, folded lines, white space before
a colon, duplicate lengths, a length beside a transfer coding, any transfer coding at all (411: a length is
required), an absolute or asterisk form. Requests of a connection are processed one at a time, in order;
pipelined bytes wait in the connection's one bounded buffer.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

import h11

MAX_HEAD_BYTES = 16_384  # request line and fields
MAX_FIELDS = 64
MAX_BODY_BYTES = 65_536
MAX_PENDING_BYTES = (
    MAX_HEAD_BYTES + MAX_BODY_BYTES
)  # unprocessed bytes of a connection, with those sent ahead
METHODS = ("GET", "HEAD", "POST")

_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
_LINE = re.compile(rb"[A-Z]{1,16} (/[\x21-\x7e]*) HTTP/1\.[01]")
_LENGTH = re.compile(r"[0-9]{1,10}")


class HttpError(Exception):
    """A request that is rejected by an HTTP status; the connection ends after the response."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class State(Enum):
    """What a session is waiting for."""

    HEAD = "head"  # the head of a request
    BODY = "body"  # the body of the request
    ANSWER = "answer"  # the response of the application
    OVER = "over"


@dataclass(slots=True)
class HttpRequest:
    """A request; the body is filled in once it is complete. Field names are in lower case."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes = b""
    expects_continue: bool = False  # the client waits for 100 (Continue) before it sends the body
    content_length: int = 0
    cookies: tuple[tuple[str, str], ...] = field(default=())

    @property
    def path(self) -> str:
        """Return the target without the query."""
        return self.target.partition("?")[0]


def _reject_ambiguous(head: bytes) -> None:
    """Raise HttpError for a head that two parsers could interpret differently."""
    lines = head.split(b"\r\n")
    if any(b"\n" in line or b"\r" in line or b"\0" in line for line in lines):
        raise HttpError(400, "bare line end or NUL")
    if not _LINE.fullmatch(lines[0]):
        raise HttpError(400, "malformed request line")
    fields = lines[1:]
    if len(fields) > MAX_FIELDS:
        raise HttpError(431, "too many fields")
    names: list[bytes] = []
    for line in fields:
        if not _FIELD.fullmatch(line):
            raise HttpError(400, "malformed field")
        names.append(line.partition(b":")[0].lower())
    for name in (b"content-length", b"host", b"transfer-encoding", b"authorization", b"expect"):
        if names.count(name) > 1:
            raise HttpError(400, f"{name.decode()} is duplicated")
    if b"transfer-encoding" in names:
        raise HttpError(400 if b"content-length" in names else 411, "transfer coding is not supported")
    if b"upgrade" in names and b"http2-settings" in names:
        raise HttpError(400, "upgrade is not supported")


def parse_cookies(text: str) -> tuple[tuple[str, str], ...]:
    """Return the name-value pairs of a Cookie field (RFC 6265, 5.4)."""
    found = (pair.strip().partition("=") for pair in text.split(";"))
    return tuple((name, value.strip('"')) for name, equals, value in found if equals)


class HttpSession:
    """One client connection: bytes in, requests out, responses as bytes."""

    def __init__(self) -> None:
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._pending = bytearray()
        self.state = State.HEAD
        self.request: HttpRequest | None = None
        self.has_partial_request = False  # a request is incomplete
        self.keep_alive = True

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes received that are not processed."""
        return len(self._pending)

    def discard_buffered(self) -> None:
        """Drop the bytes that are not processed; the connection can't go on after that."""
        self._pending.clear()

    def receive_data(self, data: bytes) -> None:
        """Append received bytes; raise HttpError if more than MAX_PENDING_BYTES wait."""
        self._pending += data
        if len(self._pending) > MAX_PENDING_BYTES:
            raise HttpError(413, "too many bytes sent ahead")

    def next_request(self) -> HttpRequest | None:
        """Return the next request, or None if more bytes are needed; raise HttpError if it is rejected.

        Each request is returned twice: when its head is complete (state BODY), and with its body (ANSWER).
        """
        if self.state is State.HEAD:
            return self._next_head()
        if self.state is State.BODY:
            return self._next_body()
        return None

    def _next_head(self) -> HttpRequest | None:
        while self._pending.startswith(b"\r\n"):  # RFC 9112, 2.2: an empty line before a request is ignored
            del self._pending[:2]
        self.has_partial_request = bool(self._pending)
        end = self._pending.find(b"\r\n\r\n")
        if end < 0 or end > MAX_HEAD_BYTES:
            if len(self._pending) > MAX_HEAD_BYTES:
                raise HttpError(431, "head is too long")
            if self._pending.find(b"\n\n") >= 0:
                raise HttpError(400, "bare line end or NUL")
            return None
        head = bytes(self._pending[:end])
        _reject_ambiguous(head)
        del self._pending[: end + 4]
        try:
            self._conn.receive_data(head + b"\r\n\r\n")
            event = self._conn.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint or 400, str(error)) from None
        if not isinstance(event, h11.Request):
            raise HttpError(400, "not a request")
        fields: dict[str, str] = {}
        for name, value in event.headers:
            key, text = name.decode("latin-1"), value.decode("latin-1")
            fields[key] = f"{fields[key]}{'; ' if key == 'cookie' else ', '}{text}" if key in fields else text
        method = event.method.decode()
        if method not in METHODS:
            raise HttpError(405, f"unsupported method {method}")
        length = fields.get("content-length", "0")
        if not _LENGTH.fullmatch(length):
            raise HttpError(400, "malformed content-length")
        if int(length) > MAX_BODY_BYTES:
            raise HttpError(413, "body is too long")
        if method != "POST" and int(length):
            raise HttpError(400, f"unexpected body with {method}")
        expect = fields.get("expect", "").lower()
        if expect not in ("", "100-continue"):
            raise HttpError(417, "unknown expectation")
        if event.http_version == b"1.1" and not fields.get("host"):
            raise HttpError(400, "missing host")
        self.request = HttpRequest(
            method,
            event.target.decode("ascii"),
            fields,
            expects_continue=bool(expect) and int(length) > 0,
            content_length=int(length),
            cookies=parse_cookies(fields.get("cookie", "")),
        )
        self.state = State.BODY
        return self.request

    def _next_body(self) -> HttpRequest | None:
        request = self.request
        assert request is not None
        if len(self._pending) < request.content_length:
            self.has_partial_request = True
            return None
        try:
            if request.content_length:
                self._conn.receive_data(bytes(self._pending[: request.content_length]))
                del self._pending[: request.content_length]
            while not isinstance(event := self._conn.next_event(), h11.EndOfMessage):
                if not isinstance(event, h11.Data):
                    raise HttpError(400, "malformed body")
                request.body += bytes(event.data)
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint or 400, str(error)) from None
        self.state, self.has_partial_request = State.ANSWER, False
        return request

    def continue_response(self) -> bytes:
        """Return the interim response 100 (Continue)."""
        sent = self._conn.send(h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue"))
        return bytes(sent or b"")

    def response(self, status: int, fields: list[tuple[str, str]], body: bytes, last: bool = False) -> bytes:
        """Return the final response; unless it is the last one, the next request may follow.

        With `last` the connection ends after the response, as it does if the request's body is incomplete.
        """
        request = self.request
        last = last or self.state is not State.ANSWER
        headers = [(name, value) for name, value in fields]
        if status != 304:
            headers.append(("Content-Length", str(len(body))))
        if last:
            headers.append(("Connection", "close"))
        sent = (
            self._conn.send(h11.Response(status_code=status, headers=headers, reason=reason(status))) or b""
        )
        bodyless = status == 304 or (request is not None and request.method == "HEAD")
        if body and not bodyless:
            sent += self._conn.send(h11.Data(data=body)) or b""
        sent += self._conn.send(h11.EndOfMessage()) or b""
        self.request = None
        if last or self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            self.state, self.keep_alive = State.OVER, False
        else:
            self._conn.start_next_cycle()
            self.state = State.HEAD
        return bytes(sent)

    def error_response(self, error: HttpError) -> bytes:
        """Return the response to a rejected request, after which the connection ends."""
        self.state, self.keep_alive = State.OVER, False
        status_line = f"HTTP/1.1 {error.status} {reason(error.status).decode()}\r\n"
        return f"{status_line}Content-Length: 0\r\nConnection: close\r\n\r\n".encode()


_REASONS = {
    200: "OK",
    206: "Partial Content",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    416: "Range Not Satisfiable",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def reason(status: int) -> bytes:
    """Return the reason phrase of a status."""
    return _REASONS.get(status, "Status").encode()


def byte_range(text: str, size: int) -> tuple[int, int] | None:
    """Return the first and last byte of a single-part Range field (RFC 9110, 14.1.2).

    Return None for a field to be ignored: several parts, another unit, malformed. Raise HttpError(416) if the
    range is not satisfiable.
    """
    found = re.fullmatch(r"bytes=([0-9]{0,12})-([0-9]{0,12})", text.strip())
    if not found or not (found[1] or found[2]):
        return None
    if not found[1]:
        length = int(found[2])
        if not length or not size:
            raise HttpError(416, "empty range")
        return max(0, size - length), size - 1
    first = int(found[1])
    last = min(int(found[2]), size - 1) if found[2] else size - 1
    if found[2] and int(found[2]) < first:
        return None
    if first >= size:
        raise HttpError(416, "range starts after the end")
    return first, last
