"""Golden data of the protocols' codecs: the change log, FastCGI, RESP and HTTP.

What an error of a codec says reaches the log alone: recorded is that there is one, and its HTTP status.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest
from golden_formats_cases import (
    as_json,
    check,
    describe_update,
    input_hex,
    input_json,
    record,
    shown,
)

from stonecove.discovery import MembershipEvent
from stonecove.protocols import resp
from stonecove.protocols.buffer import Buffer
from stonecove.protocols.change_log import ChangeLogError, Follower, Frame, frames
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.protocols.fastcgi.codec import FastCgiError
from stonecove.protocols.http import HttpError, HttpRequest, HttpSession, State, byte_range
from stonecove.runtime.log import set_log_sink
from stonecove.state.budget import MemoryBudget

NOW_MS = 1764576000000.0
MAX_UNREAD = 1 << 23
PIECES = (1 << 30, 1000, 7, 1)  # bytes at once in which the same input is given
LONG = 5000  # bytes of input from which on it is given in large pieces alone

Meaning = dict[str, object]


def pieces(data: bytes, size: int) -> Iterator[bytes]:
    """Yield the bytes in pieces of that size."""
    for at in range(0, len(data), size):
        yield data[at : at + size]


def same_however_split(data: bytes, decode: Callable[[Iterator[bytes]], Meaning]) -> Meaning:
    """Return what bytes mean, after a check that it does not depend on how they are split."""
    sizes = [size for size in PIECES if size > 7 or len(data) < LONG]
    found = [decode(pieces(data, size)) for size in sizes]
    assert all(each == found[0] for each in found)
    return found[0]


# -- the change log --


def describe_frame(one: Frame) -> Meaning:
    """Return a frame of the change log under neutral keys."""
    return {
        "number": one.number,
        "is_event": one.event,
        "update": None if one.told is None else describe_update(one.told),
        "unreadable": bool(one.wrong),
    }


def decode_frames(data: Iterator[bytes]) -> Meaning:
    """Return the frames of a stream, and the error that ends it."""
    buffer, found = Buffer(MAX_UNREAD), []
    try:
        for piece in data:
            buffer.feed(piece)
            for frame in frames(buffer):
                found.append(describe_frame(frame))
    except ChangeLogError:
        return {"frames": found, "ends_connection": True, "unread_bytes": None}
    return {"frames": found, "ends_connection": False, "unread_bytes": len(buffer)}


def changelog_frames() -> bytes:
    streams = input_hex("changelog-frames.in.hex")
    everything = b"".join(streams.values())
    found = {name: same_however_split(data, decode_frames) for name, data in streams.items()}
    whole = same_however_split(everything, decode_frames)
    assert whole["frames"] == [frame for each in found.values() for frame in as_list(each["frames"])]
    return as_json(found)


def as_list(value: object) -> list[object]:
    """Return a value that is a list."""
    assert isinstance(value, list)
    return value


def changelog_broken() -> bytes:
    streams = input_hex("changelog-broken.in.hex")
    return as_json({name: same_however_split(data, decode_frames) for name, data in streams.items()})


def changelog_hello() -> bytes:
    """Return what a follower sends on each new connection, by the last number it has."""
    numbers = (0, 1, 255, 0x0102030405060708, (1 << 64) - 1)
    return as_json({str(number): Follower(number).hello().hex() for number in numbers})


class Sink:
    """Takes updates in; the one with the given number among them is refused."""

    def __init__(self, refused: int = -1) -> None:
        self.updates: list[MembershipEvent] = []
        self._refused = refused

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Note an update, or raise for the one that is refused."""
        self._refused -= 1
        if self._refused == -1:
            raise RuntimeError("refused")
        self.updates.append(event)


def follow(last: int, data: bytes, refused: int = -1) -> list[Meaning]:
    """Return what a follower does with each frame of a stream."""
    follower, sink, buffer = Follower(last), Sink(refused), Buffer(MAX_UNREAD)
    found: list[Meaning] = []
    buffer.feed(data)
    for frame in frames(buffer):
        count = len(sink.updates)
        try:
            goes_on: bool | str = follower.take(frame, sink)
        except RuntimeError:
            goes_on = "the sink's error"
        found.append(
            {
                "number": frame.number,
                "goes_on": goes_on,
                "updates": len(sink.updates) - count,
                "resume_after": int.from_bytes(follower.hello(), "big"),
            }
        )
    return found


def changelog_followed() -> bytes:
    """Return what a follower does with duplicates, gaps, unreadable and unknown events, twice each."""
    streams = input_hex("changelog-frames.in.hex")
    set_log_sink(lambda event, fields: None)
    try:
        found = {
            "all-in-order": follow(5, b"".join(streams.values())),
            "all-known-already": follow(16, b"".join(streams.values())),
            "gap": follow(5, streams["changes"] * 2 + streams["unknown-state"]),
            "unreadable-event": follow(13, streams["list-cut-short"] * 2 + streams["object-purge-cut-short"]),
            "keep-alive-ahead": follow(4, streams["keep-alive"] * 2),
            "update-refused-by-sink": follow(5, streams["complete-list"] * 3, refused=0),
        }
    finally:
        set_log_sink(None)
    return as_json(found)


# -- FastCGI --


def describe_event(one: object) -> Meaning:
    """Return an event of the FastCGI decoder under neutral keys."""
    if isinstance(one, fastcgi.Arrived):
        body = shown(one.body) if len(one.body) < 100 else hashlib.sha256(one.body).hexdigest()
        return {"event": "request", "id": one.ident, "params": one.params, "body": body, "bad": bool(one.bad)}
    if isinstance(one, fastcgi.Aborted):
        return {"event": "aborted", "id": one.ident}
    assert isinstance(one, fastcgi.Reply)
    return {"event": "reply", "bytes": one.data.hex(" ", -8)}


def fastcgi_decoder(memory: float = 1e9) -> fastcgi.Decoder:
    """Return a decoder with a fixed clock and so much memory for requests."""
    budget = MemoryBudget()
    budget.limit_bytes = memory
    return fastcgi.Decoder(budget, lambda: NOW_MS)


def decode_records(data: Iterator[bytes], memory: float = 1e9) -> Meaning:
    """Return the events of a stream of records, and the error that ends it."""
    buffer, decoder, found = Buffer(MAX_UNREAD), fastcgi_decoder(memory), []
    ends = False
    try:
        for piece in data:
            buffer.feed(piece)
            for event in decoder.events(buffer):
                found.append(describe_event(event))
    except FastCgiError:
        ends = True
    return {
        "events": found,
        "ends_connection": ends,
        "keep_connection": decoder.keep,
        "open_ids": sorted(decoder.open),
        "rejected": decoder.turned_away,
    }


def fastcgi_records() -> bytes:
    streams = input_hex("fastcgi-records.in.hex")
    return as_json({name: same_however_split(data, decode_records) for name, data in streams.items()})


def fastcgi_without_memory() -> bytes:
    streams = input_hex("fastcgi-records.in.hex")
    names = ("request", "interleaved", "request-without-anything")
    return as_json({name: decode_records(pieces(streams[name], 1000), 0.0) for name in names})


def fastcgi_ended_early() -> bytes:
    """Return what is told of requests that are coming in when their time is over, or the end comes."""
    begun = input_hex("fastcgi-records.in.hex")["request"][:200]
    found: Meaning = {}
    for name in ("overdue", "not-overdue", "taken-no-more"):
        buffer, decoder = Buffer(MAX_UNREAD), fastcgi_decoder()
        buffer.feed(begun)
        events = list(decoder.events(buffer))
        if name == "taken-no-more":
            decoder.take_no_more()
            buffer.feed(input_hex("fastcgi-records.in.hex")["request-without-anything"])
            events += list(decoder.events(buffer))
        else:
            events += list(decoder.overdue(NOW_MS + (1.0 if name == "overdue" else 0.0)))
        found[name] = {"events": [describe_event(event) for event in events], "open": sorted(decoder.open)}
    return as_json(found)


def fastcgi_written() -> bytes:
    """Return the records that are written: each type, each status, answers of several sizes."""
    head = b"Status: 200 OK\r\n\r\n"
    found: Meaning = {
        "stdout": fastcgi.record(fastcgi.STDOUT, 1, b"abc").hex(" ", -8),
        "stdout-end": fastcgi.record(fastcgi.STDOUT, 0x1234).hex(" ", -8),
        "end-complete": fastcgi.end_record(1).hex(" ", -8),
        "end-application-status": fastcgi.end_record(2, fastcgi.COMPLETE, 0x01020304).hex(" ", -8),
        "end-no-multiplexing": fastcgi.end_record(3, fastcgi.CANT_MPX).hex(" ", -8),
        "end-overloaded": fastcgi.end_record(4, fastcgi.OVERLOADED).hex(" ", -8),
        "end-unknown-role": fastcgi.end_record(5, fastcgi.UNKNOWN_ROLE).hex(" ", -8),
    }
    for size in (0, 1, 16365, 16366, 16367, 32768, 100_000, 240_000):
        body = bytes(at * 7 % 251 for at in range(size))
        records = fastcgi.answer_records(9, head, body)
        found[f"answer-of-{size}"] = {
            "records": [
                {
                    "start": data[:16].hex(" ", -8),
                    "bytes": len(data),
                    "sha256": hashlib.sha256(data).hexdigest(),
                }
                for data in records
            ],
            "sha256": hashlib.sha256(b"".join(records)).hexdigest(),
        }
    return as_json(found)


# -- RESP --


def decode_arrays(data: Iterator[bytes]) -> Meaning:
    """Return the arrays of a stream, and the error that ends it."""
    buffer, decoder, found = Buffer(MAX_UNREAD), resp.Decoder(), []
    try:
        for piece in data:
            buffer.feed(piece)
            for array in decoder.arrays(buffer):
                found.append([shown(item) for item in array])
    except resp.RespError:
        return {"arrays": found, "ends_connection": True, "midway": None}
    return {"arrays": found, "ends_connection": False, "midway": decoder.midway()}


def resp_decoded() -> bytes:
    streams = input_json("resp-decode.in.json")
    return as_json(
        {
            name: same_however_split(text.encode("latin-1"), decode_arrays)
            if "without-end" not in name and "line-feed" not in name
            else decode_arrays(iter([text.encode("latin-1")]))
            for name, text in streams.items()
        }
    )


def resp_fields() -> bytes:
    """Return the tables that field lists make; null for what is none."""

    def table(text: str) -> dict[str, str] | None:
        try:
            return resp.fields_of(text.encode("latin-1"))
        except resp.RespError:
            return None

    return as_json({name: table(text) for name, text in input_json("resp-fields.in.json").items()})


def resp_written() -> bytes:
    found = {
        "one-item": resp.encode(b"abc"),
        "empty-item": resp.encode(b"a", b""),
        "bytes": resp.encode(b"fetch", b"\x00\r\n\xff", b"x" * 12),
        "no-fields": resp.encode(resp.words([])),
        "one-field": resp.encode(resp.words([("cls", "picture")])),
        "fields": resp.encode(resp.words([("b", "2"), ("a", ""), ("b", "3")])),
    }
    return as_json({name: shown(data) for name, data in found.items()})


# -- HTTP --


def describe_http_request(one: HttpRequest) -> Meaning:
    """Return an HTTP request under neutral keys."""
    return {
        "method": one.method,
        "target": one.target,
        "path": one.path,
        "fields": dict(one.fields),
        "body": shown(one.body),
        "body_length": one.length,
        "expects_continue": one.expects,
        "cookies": [list(pair) for pair in one.cookies],
    }


def decode_http(data: Iterator[bytes]) -> Meaning:
    """Return the requests of a stream, each answered by 200 at once, and the error that ends it."""
    session, found = HttpSession(), []
    answers = b""
    try:
        for piece in data:
            session.feed(piece)
            while session.keep and (request := session.next()) is not None:
                if session.state is not State.ANSWER and request.length > len(request.body):
                    continue
                while session.state is State.BODY:
                    session.next()
                found.append(describe_http_request(request))
                answers += session.answer(200, [("X-A", "1")], b"ok")
    except HttpError as error:
        answers += session.refuse(error)
        return {
            "requests": found,
            "error_status": error.status,
            "answers": shown(answers),
            "midway": None,
        }
    return {"requests": found, "error_status": None, "answers": shown(answers), "midway": session.began}


def http_requests() -> bytes:
    streams = input_json("http-requests.in.json")
    found = {name: same_however_split(text.encode("latin-1"), decode_http) for name, text in streams.items()}
    return as_json(found)


class HttpAnswer(NamedTuple):
    """An answer to be written, and to what."""

    request: str
    status: int
    fields: list[tuple[str, str]]
    body: bytes
    last: bool = False


def http_answers() -> bytes:
    """Return answers as bytes: each status, to GET and HEAD, with and without a body, the last or not."""
    get, head = "GET / HTTP/1.1\r\nHost: e\r\n\r\n", "HEAD / HTTP/1.1\r\nHost: e\r\n\r\n"
    old = "GET / HTTP/1.0\r\n\r\n"
    fields = [("Cache-Control", "public, max-age=20"), ("ETag", '"v1"')]
    cases = {
        "ok": HttpAnswer(get, 200, fields, b"body"),
        "ok-empty": HttpAnswer(get, 200, [], b""),
        "ok-to-head": HttpAnswer(head, 200, fields, b"body"),
        "ok-to-version-1-0": HttpAnswer(old, 200, fields, b"body"),
        "ok-last": HttpAnswer(get, 200, fields, b"body", True),
        "not-modified": HttpAnswer(get, 304, fields, b""),
        "unusual-status": HttpAnswer(get, 299, [], b""),
    }
    statuses = (206, 400, 401, 403, 404, 405, 408, 411, 413, 416, 417, 429, 431, 502, 503)
    cases |= {f"status-{status}": HttpAnswer(get, status, [], b"") for status in statuses}
    found: Meaning = {}
    for name, case in cases.items():
        session = HttpSession()
        session.feed(case.request.encode())
        while session.state is not State.ANSWER:
            assert session.next() is not None
        sent = session.answer(case.status, case.fields, case.body, case.last)
        found[name] = {"bytes": shown(sent), "keeps_connection": session.keep}
    for status in (*statuses, 299):
        refused = HttpSession().refuse(HttpError(status, "a reason that is not sent"))
        found[f"refused-{status}"] = {"bytes": shown(refused), "keeps_connection": False}
    return as_json(found)


def http_before_the_body() -> bytes:
    """Return what is sent to a client that waits for 100 (Continue), and an answer before its body came."""
    text = "POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    session = HttpSession()
    session.feed(text.encode())
    assert session.next() is not None
    found: Meaning = {"continue": shown(session.go_on())}
    session.feed(b"abc")
    request = session.next()
    assert request is not None
    found["request"] = describe_http_request(request)
    found["answer"] = shown(session.answer(200, [], b"x"))
    early = HttpSession()
    early.feed(text.encode())
    assert early.next() is not None
    found["answer-before-the-body"] = shown(early.answer(403, [], b""))
    found["keeps_connection_then"] = early.keep
    return as_json(found)


def http_ranges() -> bytes:
    """Return the ranges that are read of objects of several sizes."""

    def read_range(text: str, size: int) -> object:
        try:
            return byte_range(text, size)
        except HttpError as error:
            return {"status": error.status}

    texts = ("bytes=0-0", "bytes=0-", "bytes=2-4", "bytes=9-99", "bytes=10-", "bytes=-3", "bytes=-99")
    others = ("bytes=-0", "bytes=-", "bytes=4-2", "bytes=0-1,2-3", "items=0-1", " bytes=1-2 ", "bytes=a-b")
    found = {text: {str(size): read_range(text, size) for size in (0, 1, 10)} for text in texts + others}
    return as_json(found)


CASES: dict[str, Callable[[], bytes]] = {
    "changelog-frames.out.json": changelog_frames,
    "changelog-broken.out.json": changelog_broken,
    "changelog-hello.out.json": changelog_hello,
    "changelog-followed.out.json": changelog_followed,
    "fastcgi-records.out.json": fastcgi_records,
    "fastcgi-without-memory.out.json": fastcgi_without_memory,
    "fastcgi-ended-early.out.json": fastcgi_ended_early,
    "fastcgi-written.out.json": fastcgi_written,
    "resp-decode.out.json": resp_decoded,
    "resp-fields.out.json": resp_fields,
    "resp-written.out.json": resp_written,
    "http-requests.out.json": http_requests,
    "http-answers.out.json": http_answers,
    "http-before-the-body.out.json": http_before_the_body,
    "http-ranges.out.json": http_ranges,
}


@pytest.mark.parametrize("name", CASES)
def test_protocols_read_and_write_as_recorded(name: str) -> None:
    check(CASES, name)


if __name__ == "__main__":
    record(CASES)
