"""Golden data of the protocol codecs: the change log, FastCGI, RESP and HTTP.

The text of a codec's error reaches only the log, so the data records that there is one and its HTTP status.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest
from golden_formats_cases import (
    as_json,
    check_golden_file,
    describe_update,
    input_hex,
    input_json,
    latin1_text,
    record_golden_files,
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
SPLIT_SIZES = (1 << 30, 1000, 7, 1)  # bytes fed at once, for the same input
LONG_INPUT_BYTES = 5000  # from this size on, only the larger split sizes are used

Meaning = dict[str, object]


def split_bytes(data: bytes, size: int) -> Iterator[bytes]:
    """Yield the bytes in chunks of that size."""
    for offset in range(0, len(data), size):
        yield data[offset : offset + size]


def decode_all_splits(data: bytes, decode: Callable[[Iterator[bytes]], Meaning]) -> Meaning:
    """Return the result of decoding, after a check that it does not depend on how the bytes are split."""
    sizes = [size for size in SPLIT_SIZES if size > 7 or len(data) < LONG_INPUT_BYTES]
    results = [decode(split_bytes(data, size)) for size in sizes]
    assert all(result == results[0] for result in results)
    return results[0]


# -- the change log --


def describe_frame(frame: Frame) -> Meaning:
    """Return a frame of the change log under neutral keys."""
    return {
        "number": frame.number,
        "is_event": frame.is_event,
        "update": None if frame.update is None else describe_update(frame.update),
        "unreadable": bool(frame.error),
    }


def decode_frames(data: Iterator[bytes]) -> Meaning:
    """Return the frames of a stream, and the error that ends it."""
    buffer, found_frames = Buffer(MAX_UNREAD), []
    try:
        for chunk in data:
            buffer.feed(chunk)
            for frame in frames(buffer):
                found_frames.append(describe_frame(frame))
    except ChangeLogError:
        return {"frames": found_frames, "ends_connection": True, "unread_bytes": None}
    return {"frames": found_frames, "ends_connection": False, "unread_bytes": len(buffer)}


def changelog_frames() -> bytes:
    """Return the frames of each stream, which are the same if all streams are concatenated."""
    streams = input_hex("changelog-frames.in.hex")
    concatenated = b"".join(streams.values())
    results = {name: decode_all_splits(data, decode_frames) for name, data in streams.items()}
    combined = decode_all_splits(concatenated, decode_frames)
    assert combined["frames"] == [frame for result in results.values() for frame in as_list(result["frames"])]
    return as_json(results)


def as_list(value: object) -> list[object]:
    """Return a value that is a list."""
    assert isinstance(value, list)
    return value


def changelog_broken() -> bytes:
    """Return the frames and the error of each malformed stream."""
    streams = input_hex("changelog-broken.in.hex")
    return as_json({name: decode_all_splits(data, decode_frames) for name, data in streams.items()})


def changelog_hello() -> bytes:
    """Return what a follower sends on each new connection, by the last number it has."""
    numbers = (0, 1, 255, 0x0102030405060708, (1 << 64) - 1)
    return as_json({str(number): Follower(number).hello().hex() for number in numbers})


class RecordingSink:
    """Collects updates; raises for the one with the given index."""

    def __init__(self, rejected: int = -1) -> None:
        self.updates: list[MembershipEvent] = []
        self._updates_until_error = rejected

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Record an update, or raise for the one to be rejected."""
        self._updates_until_error -= 1
        if self._updates_until_error == -1:
            raise RuntimeError("refused")
        self.updates.append(event)


def follow(last: int, data: bytes, rejected: int = -1) -> list[Meaning]:
    """Return what a follower does with each frame of a stream."""
    follower, sink, buffer = Follower(last), RecordingSink(rejected), Buffer(MAX_UNREAD)
    results: list[Meaning] = []
    buffer.feed(data)
    for frame in frames(buffer):
        updates_before = len(sink.updates)
        try:
            accepted: bool | str = follower.take(frame, sink)
        except RuntimeError:
            accepted = "the sink's error"
        results.append(
            {
                "number": frame.number,
                "goes_on": accepted,
                "updates": len(sink.updates) - updates_before,
                "resume_after": int.from_bytes(follower.hello(), "big"),
            }
        )
    return results


def changelog_followed() -> bytes:
    """Return what a follower does with duplicates, gaps, unreadable and unknown events, twice each."""
    streams = input_hex("changelog-frames.in.hex")
    set_log_sink(lambda event, fields: None)
    try:
        results = {
            "all-in-order": follow(5, b"".join(streams.values())),
            "all-known-already": follow(16, b"".join(streams.values())),
            "gap": follow(5, streams["changes"] * 2 + streams["unknown-state"]),
            "unreadable-event": follow(13, streams["list-cut-short"] * 2 + streams["object-purge-cut-short"]),
            "keep-alive-ahead": follow(4, streams["keep-alive"] * 2),
            "update-refused-by-sink": follow(5, streams["complete-list"] * 3, rejected=0),
        }
    finally:
        set_log_sink(None)
    return as_json(results)


# -- FastCGI --


def describe_event(event: object) -> Meaning:
    """Return an event of the FastCGI decoder under neutral keys."""
    if isinstance(event, fastcgi.RequestReceived):
        body = latin1_text(event.body) if len(event.body) < 100 else hashlib.sha256(event.body).hexdigest()
        return {
            "event": "request",
            "id": event.ident,
            "params": event.params,
            "body": body,
            "bad": bool(event.error),
        }
    if isinstance(event, fastcgi.Aborted):
        return {"event": "aborted", "id": event.ident}
    assert isinstance(event, fastcgi.ControlReply)
    return {"event": "reply", "bytes": event.data.hex(" ", -8)}


def fastcgi_decoder(memory_bytes: float = 1e9) -> fastcgi.Decoder:
    """Return a decoder with a fixed clock and a memory budget in bytes."""
    budget = MemoryBudget()
    budget.limit_bytes = memory_bytes
    return fastcgi.Decoder(budget, lambda: NOW_MS)


def decode_records(data: Iterator[bytes], memory_bytes: float = 1e9) -> Meaning:
    """Return the events of a stream of records, and the error that ends it."""
    buffer, decoder, events = Buffer(MAX_UNREAD), fastcgi_decoder(memory_bytes), []
    ends_connection = False
    try:
        for chunk in data:
            buffer.feed(chunk)
            for event in decoder.events(buffer):
                events.append(describe_event(event))
    except FastCgiError:
        ends_connection = True
    return {
        "events": events,
        "ends_connection": ends_connection,
        "keep_connection": decoder.keep_conn,
        "open_ids": sorted(decoder.open),
        "rejected": decoder.rejected_in_a_row,
    }


def fastcgi_records() -> bytes:
    """Return the events of each stream of records."""
    streams = input_hex("fastcgi-records.in.hex")
    return as_json({name: decode_all_splits(data, decode_records) for name, data in streams.items()})


def fastcgi_without_memory() -> bytes:
    """Return the events of requests that the memory budget has no room for."""
    streams = input_hex("fastcgi-records.in.hex")
    names = ("request", "interleaved", "request-without-anything")
    return as_json({name: decode_records(split_bytes(streams[name], 1000), 0.0) for name in names})


def fastcgi_ended_early() -> bytes:
    """Return the events of incomplete requests that are overdue, or when no more requests are accepted."""
    request_start = input_hex("fastcgi-records.in.hex")["request"][:200]
    results: Meaning = {}
    for name in ("overdue", "not-overdue", "taken-no-more"):
        buffer, decoder = Buffer(MAX_UNREAD), fastcgi_decoder()
        buffer.feed(request_start)
        events = list(decoder.events(buffer))
        if name == "taken-no-more":
            decoder.stop_accepting()
            buffer.feed(input_hex("fastcgi-records.in.hex")["request-without-anything"])
            events += list(decoder.events(buffer))
        else:
            events += list(decoder.overdue(NOW_MS + (1.0 if name == "overdue" else 0.0)))
        results[name] = {"events": [describe_event(event) for event in events], "open": sorted(decoder.open)}
    return as_json(results)


def fastcgi_written() -> bytes:
    """Return encoded records: each type, each status, answers of several sizes."""
    head = b"Status: 200 OK\r\n\r\n"
    results: Meaning = {
        "stdout": fastcgi.record(fastcgi.STDOUT, 1, b"abc").hex(" ", -8),
        "stdout-end": fastcgi.record(fastcgi.STDOUT, 0x1234).hex(" ", -8),
        "end-complete": fastcgi.end_record(1).hex(" ", -8),
        "end-application-status": fastcgi.end_record(2, fastcgi.COMPLETE, 0x01020304).hex(" ", -8),
        "end-no-multiplexing": fastcgi.end_record(3, fastcgi.CANT_MPX).hex(" ", -8),
        "end-overloaded": fastcgi.end_record(4, fastcgi.OVERLOADED).hex(" ", -8),
        "end-unknown-role": fastcgi.end_record(5, fastcgi.UNKNOWN_ROLE).hex(" ", -8),
    }
    for size in (0, 1, 16365, 16366, 16367, 32768, 100_000, 240_000):
        body = bytes(index * 7 % 251 for index in range(size))
        records = fastcgi.response_records(9, head, body)
        results[f"answer-of-{size}"] = {
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
    return as_json(results)


# -- RESP --


def decode_arrays(data: Iterator[bytes]) -> Meaning:
    """Return the arrays of a stream, and the error that ends it."""
    buffer, decoder, arrays = Buffer(MAX_UNREAD), resp.Decoder(), []
    try:
        for chunk in data:
            buffer.feed(chunk)
            for array in decoder.arrays(buffer):
                arrays.append([latin1_text(item) for item in array])
    except resp.RespError:
        return {"arrays": arrays, "ends_connection": True, "midway": None}
    return {"arrays": arrays, "ends_connection": False, "midway": decoder.has_partial_array()}


def resp_decoded() -> bytes:
    """Return the arrays of each stream."""
    streams = input_json("resp-decode.in.json")
    return as_json(
        {
            name: decode_all_splits(text.encode("latin-1"), decode_arrays)
            if "without-end" not in name and "line-feed" not in name
            else decode_arrays(iter([text.encode("latin-1")]))
            for name, text in streams.items()
        }
    )


def resp_fields() -> bytes:
    """Return the decoded field lists; null for malformed ones."""

    def parse_or_none(text: str) -> dict[str, str] | None:
        try:
            return resp.parse_fields(text.encode("latin-1"))
        except resp.RespError:
            return None

    return as_json({name: parse_or_none(text) for name, text in input_json("resp-fields.in.json").items()})


def resp_written() -> bytes:
    """Return encoded arrays and field lists."""
    encoded = {
        "one-item": resp.encode(b"abc"),
        "empty-item": resp.encode(b"a", b""),
        "bytes": resp.encode(b"fetch", b"\x00\r\n\xff", b"x" * 12),
        "no-fields": resp.encode(resp.format_fields([])),
        "one-field": resp.encode(resp.format_fields([("cls", "picture")])),
        "fields": resp.encode(resp.format_fields([("b", "2"), ("a", ""), ("b", "3")])),
    }
    return as_json({name: latin1_text(data) for name, data in encoded.items()})


# -- HTTP --


def describe_http_request(request: HttpRequest) -> Meaning:
    """Return an HTTP request under neutral keys."""
    return {
        "method": request.method,
        "target": request.target,
        "path": request.path,
        "fields": dict(request.fields),
        "body": latin1_text(request.body),
        "body_length": request.content_length,
        "expects_continue": request.expects_continue,
        "cookies": [list(pair) for pair in request.cookies],
    }


def decode_http(data: Iterator[bytes]) -> Meaning:
    """Return the requests of a stream, each answered by 200 at once, and the error that ends it."""
    session, requests = HttpSession(), []
    responses = b""
    try:
        for chunk in data:
            session.receive_data(chunk)
            while session.keep_alive and (request := session.next_request()) is not None:
                if session.state is not State.ANSWER and request.content_length > len(request.body):
                    continue
                while session.state is State.BODY:
                    session.next_request()
                requests.append(describe_http_request(request))
                responses += session.response(200, [("X-A", "1")], b"ok")
    except HttpError as error:
        responses += session.error_response(error)
        return {
            "requests": requests,
            "error_status": error.status,
            "answers": latin1_text(responses),
            "midway": None,
        }
    return {
        "requests": requests,
        "error_status": None,
        "answers": latin1_text(responses),
        "midway": session.has_partial_request,
    }


def http_requests() -> bytes:
    """Return the requests of each stream and the responses to them."""
    streams = input_json("http-requests.in.json")
    results = {name: decode_all_splits(text.encode("latin-1"), decode_http) for name, text in streams.items()}
    return as_json(results)


class HttpResponse(NamedTuple):
    """A response to be encoded, and the request that it answers."""

    request: str
    status: int
    fields: list[tuple[str, str]]
    body: bytes
    last: bool = False


def http_answers() -> bytes:
    """Return encoded responses: each status, to GET and HEAD, with and without a body, the last or not."""
    get_request, head_request = "GET / HTTP/1.1\r\nHost: e\r\n\r\n", "HEAD / HTTP/1.1\r\nHost: e\r\n\r\n"
    version_1_0_request = "GET / HTTP/1.0\r\n\r\n"
    fields = [("Cache-Control", "public, max-age=20"), ("ETag", '"v1"')]
    cases = {
        "ok": HttpResponse(get_request, 200, fields, b"body"),
        "ok-empty": HttpResponse(get_request, 200, [], b""),
        "ok-to-head": HttpResponse(head_request, 200, fields, b"body"),
        "ok-to-version-1-0": HttpResponse(version_1_0_request, 200, fields, b"body"),
        "ok-last": HttpResponse(get_request, 200, fields, b"body", True),
        "not-modified": HttpResponse(get_request, 304, fields, b""),
        "unusual-status": HttpResponse(get_request, 299, [], b""),
    }
    statuses = (206, 400, 401, 403, 404, 405, 408, 411, 413, 416, 417, 429, 431, 502, 503)
    cases |= {f"status-{status}": HttpResponse(get_request, status, [], b"") for status in statuses}
    results: Meaning = {}
    for name, case in cases.items():
        session = HttpSession()
        session.receive_data(case.request.encode())
        while session.state is not State.ANSWER:
            assert session.next_request() is not None
        response = session.response(case.status, case.fields, case.body, case.last)
        results[name] = {"bytes": latin1_text(response), "keeps_connection": session.keep_alive}
    for status in (*statuses, 299):
        rejection = HttpSession().error_response(HttpError(status, "a reason that is not sent"))
        results[f"refused-{status}"] = {"bytes": latin1_text(rejection), "keeps_connection": False}
    return as_json(results)


def http_before_the_body() -> bytes:
    """Return the responses to a client that waits for 100 (Continue), also to one whose body is missing."""
    head = "POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    session = HttpSession()
    session.receive_data(head.encode())
    assert session.next_request() is not None
    results: Meaning = {"continue": latin1_text(session.continue_response())}
    session.receive_data(b"abc")
    request = session.next_request()
    assert request is not None
    results["request"] = describe_http_request(request)
    results["answer"] = latin1_text(session.response(200, [], b"x"))
    early_session = HttpSession()
    early_session.receive_data(head.encode())
    assert early_session.next_request() is not None
    results["answer-before-the-body"] = latin1_text(early_session.response(403, [], b""))
    results["keeps_connection_then"] = early_session.keep_alive
    return as_json(results)


def http_ranges() -> bytes:
    """Return the parsed ranges of objects of several sizes."""

    def read_range(text: str, size: int) -> object:
        try:
            return byte_range(text, size)
        except HttpError as error:
            return {"status": error.status}

    texts = ("bytes=0-0", "bytes=0-", "bytes=2-4", "bytes=9-99", "bytes=10-", "bytes=-3", "bytes=-99")
    unusual_texts = (
        "bytes=-0",
        "bytes=-",
        "bytes=4-2",
        "bytes=0-1,2-3",
        "items=0-1",
        " bytes=1-2 ",
        "bytes=a-b",
    )
    results = {
        text: {str(size): read_range(text, size) for size in (0, 1, 10)} for text in texts + unusual_texts
    }
    return as_json(results)


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
def test_codec_results_match_the_golden_files(name: str) -> None:
    """Guards against a change in what a codec decodes or encodes."""
    check_golden_file(CASES, name)


if __name__ == "__main__":
    record_golden_files(CASES)
