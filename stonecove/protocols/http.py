"""HTTP/1.1 towards clients without I/O: bytes in, requests out. On h11 (RFC 9112).

h11 reads more than one server should take on trust from another, so each head is looked at as bytes first.
What two readers could read in two ways is refused: bare LF or CR, folded lines, white space before a colon,
two lengths, a length beside a transfer coding, any transfer coding at all (411: a length is wanted), an
absolute or asterisk form. Requests on a connection are taken one after the other, in order; what a client
sends ahead waits in the connection's one buffer, which is bounded.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

import h11

MOST_HEAD = 16_384  # bytes of a request line with its fields
MOST_FIELDS = 64
MOST_BODY = 65_536
MOST_AHEAD = MOST_HEAD + MOST_BODY  # bytes that wait while a request is open
METHODS = ("GET", "HEAD", "POST")

_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
_LINE = re.compile(rb"[A-Z]{1,16} (/[\x21-\x7e]*) HTTP/1\.[01]")
_LENGTH = re.compile(r"[0-9]{1,10}")


class HttpError(Exception):
    """A request that can't be taken; the connection ends after the answer. `status` is HTTP's."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class State(Enum):
    """Where a connection is."""

    HEAD = "head"  # a request is awaited
    BODY = "body"  # its body is
    ANSWER = "answer"  # an answer is owed
    OVER = "over"


@dataclass(slots=True)
class HttpRequest:
    """A request, its body whole. Names of fields are in lower case."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes = b""
    expects: bool = False  # the client waits for 100 (Continue) before it sends the body
    length: int = 0
    cookies: tuple[tuple[str, str], ...] = field(default=())

    @property
    def path(self) -> str:
        """Without the query."""
        return self.target.partition("?")[0]


def _checked(head: bytes) -> None:
    """Raises HttpError for what two readers could read in two ways."""
    lines = head.split(b"\r\n")
    if any(b"\n" in line or b"\r" in line or b"\0" in line for line in lines):
        raise HttpError(400, "a bare line end or NUL")
    if not _LINE.fullmatch(lines[0]):
        raise HttpError(400, "a request line that can't be read")
    fields = lines[1:]
    if len(fields) > MOST_FIELDS:
        raise HttpError(431, "too many fields")
    names: list[bytes] = []
    for line in fields:
        if not _FIELD.fullmatch(line):
            raise HttpError(400, "a field that can't be read")
        names.append(line.partition(b":")[0].lower())
    for name in (b"content-length", b"host", b"transfer-encoding", b"authorization", b"expect"):
        if names.count(name) > 1:
            raise HttpError(400, f"{name.decode()} twice")
    if b"transfer-encoding" in names:
        raise HttpError(400 if b"content-length" in names else 411, "a transfer coding")
    if b"upgrade" in names and b"http2-settings" in names:
        raise HttpError(400, "an upgrade that is not taken")


def cookies_of(text: str) -> tuple[tuple[str, str], ...]:
    """The pairs of a Cookie field (RFC 6265, 5.4)."""
    found = (pair.strip().partition("=") for pair in text.split(";"))
    return tuple((name, value.strip('"')) for name, mark, value in found if mark)


class HttpSession:
    """One client connection."""

    def __init__(self) -> None:
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self._in = bytearray()
        self.state = State.HEAD
        self.request: HttpRequest | None = None
        self.began = False  # bytes of a request are there that is not whole
        self.keep = True

    def feed(self, data: bytes) -> None:
        """Bytes have come; raises HttpError when more wait than may."""
        self._in += data
        if len(self._in) > MOST_AHEAD:
            raise HttpError(413, "too much sent ahead")

    def next(self) -> HttpRequest | None:
        """The next request: its head as soon as that is whole (state BODY), then, once more, with its body
        (state ANSWER). None: more bytes are wanted. Raises HttpError.
        """
        if self.state is State.HEAD:
            return self._head()
        if self.state is State.BODY:
            return self._body()
        return None

    def _head(self) -> HttpRequest | None:
        while self._in.startswith(b"\r\n"):  # RFC 9112, 2.2: an empty line before a request is passed over
            del self._in[:2]
        self.began = bool(self._in)
        end = self._in.find(b"\r\n\r\n")
        if end < 0 or end > MOST_HEAD:
            if len(self._in) > MOST_HEAD:
                raise HttpError(431, "a head that is too long")
            if self._in.find(b"\n\n") >= 0:
                raise HttpError(400, "a bare line end or NUL")
            return None
        head = bytes(self._in[:end])
        _checked(head)
        del self._in[: end + 4]
        try:
            self._conn.receive_data(head + b"\r\n\r\n")
            event = self._conn.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint or 400, str(error)) from None
        if not isinstance(event, h11.Request):
            raise HttpError(400, "no request")
        fields: dict[str, str] = {}
        for name, value in event.headers:
            key, text = name.decode("latin-1"), value.decode("latin-1")
            fields[key] = f"{fields[key]}{'; ' if key == 'cookie' else ', '}{text}" if key in fields else text
        method = event.method.decode()
        if method not in METHODS:
            raise HttpError(405, f"no method {method}")
        length = fields.get("content-length", "0")
        if not _LENGTH.fullmatch(length):
            raise HttpError(400, "a length that can't be read")
        if int(length) > MOST_BODY:
            raise HttpError(413, "a body that is too long")
        if method != "POST" and int(length):
            raise HttpError(400, f"a body with {method}")
        expect = fields.get("expect", "").lower()
        if expect not in ("", "100-continue"):
            raise HttpError(417, "an expectation that can't be met")
        if event.http_version == b"1.1" and not fields.get("host"):
            raise HttpError(400, "no host")
        self.request = HttpRequest(
            method,
            event.target.decode("ascii"),
            fields,
            expects=bool(expect) and int(length) > 0,
            length=int(length),
            cookies=cookies_of(fields.get("cookie", "")),
        )
        self.state = State.BODY
        return self.request

    def _body(self) -> HttpRequest | None:
        request = self.request
        assert request is not None
        if len(self._in) < request.length:
            self.began = True
            return None
        try:
            if request.length:
                self._conn.receive_data(bytes(self._in[: request.length]))
                del self._in[: request.length]
            while not isinstance(event := self._conn.next_event(), h11.EndOfMessage):
                if not isinstance(event, h11.Data):
                    raise HttpError(400, "a body that can't be read")
                request.body += bytes(event.data)
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint or 400, str(error)) from None
        self.state, self.began = State.ANSWER, False
        return request

    def go_on(self) -> bytes:
        """100 (Continue), for a client that waits for it."""
        sent = self._conn.send(h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue"))
        return bytes(sent or b"")

    def answer(self, status: int, fields: list[tuple[str, str]], body: bytes, last: bool = False) -> bytes:
        """The final answer, and the next request may be read; `last`: the connection ends after it.

        To a request whose body was not read whole, every answer is the last one.
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
            self.state, self.keep = State.OVER, False
        else:
            self._conn.start_next_cycle()
            self.state = State.HEAD
        return bytes(sent)

    def refuse(self, error: HttpError) -> bytes:
        """The answer to what can't be read: always the last one. Empty if an answer has begun already."""
        self.state, self.keep = State.OVER, False
        line = f"HTTP/1.1 {error.status} {reason(error.status).decode()}\r\n"
        return f"{line}Content-Length: 0\r\nConnection: close\r\n\r\n".encode()


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
    """HTTP's words for a status."""
    return _REASONS.get(status, "Status").encode()


def byte_range(text: str, size: int) -> tuple[int, int] | None:
    """First and last byte of a `Range` of one part (RFC 9110, 14.1.2); None for what is to be passed over:
    several parts, another unit, what can't be read. Raises HttpError(416) if nothing of it is there.
    """
    found = re.fullmatch(r"bytes=([0-9]{0,12})-([0-9]{0,12})", text.strip())
    if not found or not (found[1] or found[2]):
        return None
    if not found[1]:
        length = int(found[2])
        if not length or not size:
            raise HttpError(416, "an empty range")
        return max(0, size - length), size - 1
    first = int(found[1])
    last = min(int(found[2]), size - 1) if found[2] else size - 1
    if found[2] and int(found[2]) < first:
        return None
    if first >= size:
        raise HttpError(416, "a range behind the end")
    return first, last
