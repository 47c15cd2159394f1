"""Compare whole exchanges with golden data: FastCGI or HTTP with a client, RESP with caches."""

from __future__ import annotations

import hashlib
import socket
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, cast
from unittest.mock import patch

import pytest
import trio
import trio.testing
from golden_formats_cases import (
    as_json,
    check_golden_file,
    input_hex,
    input_json,
    latin1_text,
    record_golden_files,
)
from golden_formats_depot import NOW_MS, SEED, Depot, RecordingSocket, exchange_settings, quiet_log

from stonecove.exchange import Answer, ClientRequest, Verdict
from stonecove.frontends.fastcgi import FastCgiFrontend, response_head
from stonecove.frontends.http import HttpFrontend
from stonecove.pipeline.admit import Admit
from stonecove.pipeline.book import AttemptRecorder
from stonecove.pipeline.relay import Relay, Reply
from stonecove.pipeline.send import AbortCommand, encode_fetch
from stonecove.protocols import resp
from stonecove.protocols.fastcgi.session import Session
from stonecove.routing.actions import FetchMode, SendAttempt
from stonecove.routing.events import AttemptEnded, CacheStatus, Event, Outcome
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.server.http import HttpConnection
from stonecove.server.http_place import HttpPlace
from stonecove.state.budget import MemoryBudget
from stonecove.state.requests import Attempt, OpenRequest, OpenRequests

TXN = "0123456789abcdef"
GENERATED_TXN = "fedcba9876543210"  # of a request without one
MAX_PRINTED_BYTES = 1000  # longer answers are recorded by their checksum
OUTCOMES = {
    Outcome.OK: "ok",
    Outcome.CANCELLED: "cancelled",
    Outcome.TIMEOUT: "timed-out",
    Outcome.MISS: "miss",
    Outcome.REJECTED_OVERLOADED: "rejected-overloaded",
    Outcome.EXPIRED_UNSENT: "expired-unsent",
    Outcome.RESET: "reset",
    Outcome.ERROR: "error",
    Outcome.CONNECT_FAILED: "connect-failed",
    Outcome.UNKNOWN: "unknown",
}
CACHE_STATUSES = {
    CacheStatus.NONE: "none",
    CacheStatus.HIT: "hit",
    CacheStatus.FILLED: "filled",
    CacheStatus.FILLED_BY_ORIGIN: "filled-by-origin",
    CacheStatus.JOINED: "joined-a-fill",
    CacheStatus.STALE: "stale-copy",
    CacheStatus.SOURCE_REJECTED: "source-refused",
    CacheStatus.SOURCE_DISCONNECTED: "source-broke",
    CacheStatus.SOURCE_MISSING_OBJECT: "source-lacks-it",
    CacheStatus.NO_FILL_SLOT: "no-fill-slot",
    CacheStatus.ORIGIN_FAILED: "origin-failed",
}
VERDICTS = {
    Verdict.SERVED: "served",
    Verdict.UNCHANGED: "not-modified",
    Verdict.REFUSED: "rejected",
    Verdict.FAILED: "failed",
}

Meaning = dict[str, object]


def text_or_digest(data: bytes) -> object:
    """Return bytes as text; long ones as length, checksum, start and end."""
    if len(data) < MAX_PRINTED_BYTES:
        return latin1_text(data)
    return {
        "bytes": len(data),
        "sha256": hashlib.sha256(data).hexdigest(),
        "start": latin1_text(data[:160]),
        "end": latin1_text(data[-40:]),
    }


# -- commands to a cache --


def client_request(settings: Settings, cls: str = "picture", **fields: Any) -> ClientRequest:
    """Return a request as a front end submits it, with these fields instead of the defaults."""
    class_names = [request_class.name for request_class in settings.classes]
    defaults: dict[str, Any] = {
        "txn": TXN,
        "cls": cls,
        "item": "00000000000000ff",
        "chunk": "0",
        "class_index": class_names.index(cls),
        "object_key": 255,
        "chunk_index": 0,
        "group": 0,
        "size_kb": 0.0,
        "timeout_ms": 1000.0,
        "client_tag": "",
        "body": b"",
        "reply": lambda answer: None,
    }
    return ClientRequest(**{**defaults, **fields})


def make_attempt(incoming: ClientRequest, settings: Settings, **action: Any) -> Attempt:
    """Return an attempt at node 17 that has 900 ms left, with these fields of its action."""
    default_action = SendAttempt(
        request_id=1,
        node_id=17,
        deadline_ms=NOW_MS + 900.0,
        source_id=17,
        cache_rank=0,
        max_age_ms=0.0,
        fetch_mode=0,
    )
    request = OpenRequest(1, incoming, settings.classes[incoming.class_index], NOW_MS + 985.0)
    return Attempt(request, 0, default_action._replace(**action), NOW_MS)


def cache_commands() -> bytes:
    """Return the commands of a fetch with each option, and of an abort."""
    settings = exchange_settings()
    actions: dict[str, dict[str, Any]] = {
        "plain": {},
        "other-source": {"source_id": 0xA1},
        "large-source": {"source_id": 0xFFFFFFFE},
        "rank": {"cache_rank": 3},
        "oldest": {"max_age_ms": 1500.9},
        "oldest-below-1-ms": {"max_age_ms": 0.25},
        "limit-of-a-fraction": {"deadline_ms": NOW_MS + 12.9},
        "limit-passed": {"deadline_ms": NOW_MS - 5.0},
        "mode-join": {"fetch_mode": int(FetchMode.JOIN_FILL)},
        "mode-held-only": {"fetch_mode": int(FetchMode.CACHED_ONLY)},
        "mode-no-parent-copy": {"fetch_mode": int(FetchMode.NO_PARENT_COPY)},
        "mode-renew": {"fetch_mode": int(FetchMode.REVALIDATE)},
        "mode-all": {"fetch_mode": 15},
        "every-option": {"source_id": 0x21, "cache_rank": 2, "max_age_ms": 20000.0, "fetch_mode": 15},
    }
    request_fields: dict[str, dict[str, Any]] = {
        "segment": {"chunk": "65535"},
        "client-tag": {"client_tag": "v1.a_b-c"},
        "idempotency-key": {"cls": "order", "idempotency_key": "key-1"},
        "body": {"cls": "order", "idempotency_key": "key-1", "body": b"a=b\r\n\x00\xff"},
        "every-field": {
            "cls": "order",
            "chunk": "9",
            "client_tag": "v1",
            "idempotency_key": "key-1",
            "body": b"b",
        },
    }
    commands = {
        name: encode_fetch(make_attempt(client_request(settings), settings, **action), NOW_MS)
        for name, action in actions.items()
    }
    for name, fields in request_fields.items():
        action = actions["every-option"] if name == "every-field" else {}
        commands[name] = encode_fetch(
            make_attempt(client_request(settings, **fields), settings, **action), NOW_MS
        )
    commands["abort"] = AbortCommand(TXN).begin() or b""
    return as_json({name: latin1_text(data) for name, data in commands.items()})


# -- responses of a cache --


def describe_answer(answer: Answer) -> Meaning:
    """Return the final answer to a client under neutral keys."""
    return {
        "verdict": VERDICTS[answer.verdict],
        "body": latin1_text(answer.body),
        "tag": answer.tag,
        "retry_after_ms": answer.retry_after_ms,
        "copy_made_unix_ms": answer.copy_made_at_ms,
    }


def describe_end(event: Event) -> Meaning:
    """Return the end of an attempt under neutral keys."""
    assert isinstance(event, AttemptEnded)
    return {
        "outcome": OUTCOMES[event.outcome],
        "node": event.node_id,
        "took_ms": event.duration_ms,
        "request_answered": event.answered,
        "note": CACHE_STATUSES[CacheStatus(event.cache_status)],
        "queued_ms": event.fill_wait_ms,
        "load_report": list(event.load_report),
    }


def cache_answer(case: Mapping[str, Any], settings: Settings) -> Meaning:
    """Return the effects of a cache's response."""
    clock, answers, ends = Clock(lambda: NOW_MS / 1000.0), [], []
    requests = OpenRequests()
    admit = Admit(settings, requests, MemoryBudget(), 0.0, SEED)
    relay = Relay(settings, AttemptRecorder(clock, admit, lambda event: ends.append(describe_end(event))))
    incoming = client_request(settings, case["class"], client_tag=case["client_tag"])
    incoming.reply = lambda answer: answers.append(describe_answer(answer))
    request = requests.add(incoming, settings.classes[incoming.class_index], NOW_MS + 985.0, 0)
    action = SendAttempt(request.request_id, 17, NOW_MS + 900.0, 17, 0, case["max_age_ms"], 0)
    attempt = Attempt(request, 0, action, NOW_MS - 30.0, written_at_ms=NOW_MS - 20.0)
    request.attempts.append(attempt)
    status, fields, body = case["answer"]
    reply = Reply(status, resp.parse_fields(fields.encode()), body.encode("latin-1"))
    if relay.corruption_reason(attempt, reply):
        return {"ends_connection": True, "answers": [], "ends": []}
    relay.handle_reply(attempt, reply)
    return {"ends_connection": False, "answers": answers, "ends": ends}


def cache_answers() -> bytes:
    settings = exchange_settings()
    cases = input_json("cache-answers.in.json")
    with quiet_log():
        return as_json({name: cache_answer(case, settings) for name, case in cases.items()})


def client_heads() -> bytes:
    """Return the CGI header of each answer."""
    answers = {
        "served": Answer(Verdict.SERVED, b"abc", "v1", copy_made_at_ms=NOW_MS),
        "served-without-tag": Answer(Verdict.SERVED, b""),
        "not-modified": Answer(Verdict.UNCHANGED, b"", "v1", copy_made_at_ms=NOW_MS),
        "rejected": Answer(Verdict.REFUSED),
        "rejected-with-pause": Answer(Verdict.REFUSED, retry_after_ms=749.6),
        "rejected-with-negative-pause": Answer(Verdict.REFUSED, retry_after_ms=-3.0),
        "failed": Answer(Verdict.FAILED),
    }
    return as_json({name: latin1_text(response_head(answer)) for name, answer in answers.items()})


# -- whole exchanges --


class FastCgiClient(Session):
    """A FastCGI client's connection, without I/O."""

    def feed(self, data: bytes) -> None:
        """Receive bytes from the client."""
        self._buffer.feed(data)
        self.received()
        while self.has_more_buffered():
            self.received()


def fastcgi_record(kind: int, content: bytes = b"") -> bytes:
    """Return a record of request 1, without padding."""
    return bytes((1, kind, 0, 1)) + len(content).to_bytes(2, "big") + bytes(2) + content


def fastcgi_request(params: Mapping[str, str], body: bytes, keep_connection: bool) -> bytes:
    """Return the records of request 1."""
    pairs = b"".join(
        bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in params.items()
    )
    begin = fastcgi_record(1, bytes((0, 1, int(keep_connection), 0, 0, 0, 0, 0)))
    content = fastcgi_record(4, pairs) + fastcgi_record(4)
    return begin + content + (fastcgi_record(5, body) if body else b"") + fastcgi_record(5)


def describe_exchange(depot: Depot, to_client: bytearray) -> Meaning:
    """Return the effects of an exchange: requests submitted, bytes to caches, bytes to the client."""
    return {
        "requests": depot.received_requests,
        "to_caches": depot.sent_commands,
        "to_client": text_or_digest(bytes(to_client)),
    }


def fastcgi_exchange(case: Mapping[str, Any]) -> Meaning:
    """Return the bytes of one exchange with a FastCGI client."""
    depot, sock = Depot(case["answers"], case.get("endpoints", 3)), RecordingSocket()
    frontend = FastCgiFrontend(depot.settings, depot.route)
    frontend.ready = case.get("ready", False)
    client = FastCgiClient(sock, frontend, depot.clock.now, depot.budget)
    if "records" in case:
        client.feed(input_hex("fastcgi-records.in.hex")[case["records"]][: case.get("cut_at")])
    else:
        client.feed(fastcgi_request(case["params"], case["body"].encode("latin-1"), case.get("keep", True)))
    if "look_after_ms" in case:
        client.expire_overdue(NOW_MS + case["look_after_ms"])
    if case.get("abort"):
        depot.run_until_idle()
        client.feed(fastcgi_record(2))
    depot.run()
    return {**describe_exchange(depot, sock.written), "ends": client.is_closing()}


def fastcgi_exchanges() -> bytes:
    cases = input_json("fastcgi-exchanges.in.json")
    with quiet_log():
        return as_json({name: fastcgi_exchange(case) for name, case in cases.items()})


def ample_budget() -> MemoryBudget:
    """Return a budget that never runs short."""
    budget = MemoryBudget()
    budget.limit_bytes = 1e9
    return budget


class SlowSocket(RecordingSocket):
    """A socket that accepts a limited number of bytes until its capacity is set again."""

    def __init__(self, capacity: int) -> None:
        super().__init__()
        self.capacity = capacity

    def send(self, data: bytes | memoryview, /) -> int:
        """Accept as much as fits."""
        if not self.capacity:
            raise BlockingIOError
        accepted = min(self.capacity, len(data))
        self.capacity -= accepted
        return super().send(data[:accepted])


class RecordingHandler:
    """A handler that records the requests of a connection and answers none."""

    def __init__(self) -> None:
        self.events: list[Meaning] = []

    def request(self, connection: Session, ident: int, params: dict[str, str], body: bytes, bad: str) -> bool:
        """Record a request; reject it if it is invalid."""
        self.events.append({"request": ident, "body": latin1_text(body), "bad": bool(bad)})
        return not bad

    def aborted(self, connection: Session, ident: int) -> None:
        """Record that a client has aborted a request."""
        self.events.append({"aborted": ident})


def with_request_id(records: bytes, request_id: int) -> bytes:
    """Return the records of request 1 under another id."""
    renumbered, offset = bytearray(records), 0
    while offset < len(renumbered):
        renumbered[offset + 2 : offset + 4] = request_id.to_bytes(2, "big")
        offset += 8 + int.from_bytes(renumbered[offset + 4 : offset + 6], "big")
    return bytes(renumbered)


def interleaved_answers() -> Meaning:
    """Return the records of concurrent answers through a socket that accepts few bytes at once."""
    sock, handler = SlowSocket(0), RecordingHandler()
    client = FastCgiClient(sock, handler, lambda: NOW_MS, ample_budget())
    request = fastcgi_request({}, b"", False)
    for request_id in (1, 2, 3):
        client.feed(with_request_id(request, request_id))
    client.answer(2, b"head of 2", bytes(100_000))
    client.answer(1, b"head of 1", bytes(40_000))
    client.end(3, 0)
    while not client.is_closing():
        sock.capacity = 9_999
        client.writable()
    records, offset = [], 0
    while offset < len(sock.written):
        size = int.from_bytes(sock.written[offset + 4 : offset + 6], "big")
        records.append({"type": sock.written[offset + 1], "id": sock.written[offset + 3], "bytes": size})
        offset += 8 + size
    sha256 = hashlib.sha256(sock.written).hexdigest()
    return {"taken": handler.events, "records": records, "sha256": sha256}


def session_outcome(data: bytes, check_after_ms: float, disconnect: bool) -> Meaning:
    """Return the outcome of a connection that sends `data`, is checked for time-outs and may disconnect."""
    sock, handler = RecordingSocket(), RecordingHandler()
    client = FastCgiClient(sock, handler, lambda: NOW_MS, ample_budget())
    if data:
        client.feed(data)
    client.expire_overdue(NOW_MS + check_after_ms)
    if disconnect:
        client.ended()
    return {"taken": handler.events, "ends": client.is_closing(), "written": latin1_text(bytes(sock.written))}


def fastcgi_sessions() -> bytes:
    request = fastcgi_request({"A": "1"}, b"", True)
    rejected = bytes((1, 1, 0, 1, 0, 8, 0, 0, 0, 2, 1, 0, 0, 0, 0, 0))
    cases: dict[str, tuple[bytes, float, bool]] = {
        "nothing-sent": (b"", 2000.0, False),
        "nothing-sent-for-long": (b"", 2001.0, False),
        "request-cut-short": (request[:-8], 2000.0, False),
        "request-cut-short-for-long": (request[:-8], 2001.0, False),
        "record-cut-short-for-long": (request[:30], 2001.0, False),
        "client-leaves": (request + with_request_id(request, 2), 0.0, True),
        "rejected-20-times": (rejected * 20, 0.0, False),
        "rejected-21-times": (rejected * 21, 0.0, False),
    }
    outcomes = {name: session_outcome(*case) for name, case in cases.items()}
    return as_json({"turns": interleaved_answers(), **outcomes})


class ListenerState:
    """The part of a listener that an HTTP connection uses."""

    def __init__(self, draining: bool) -> None:
        self.requests_in_flight, self.draining = 0, draining


async def http_exchange(case: Mapping[str, Any]) -> Meaning:
    """Return the bytes of one exchange with an HTTP client, and whether the router ended the connection."""
    depot = Depot(case["answers"])
    frontend = HttpFrontend(depot.settings, depot.route, depot.clock, None, "http")
    frontend.ready = case.get("ready", False)
    client, server = trio.testing.memory_stream_pair()
    listener = ListenerState(case.get("draining", False))
    sock, other_end = socket.socketpair()  # without input, and not ended
    place = HttpPlace(sock, depot.budget, depot.clock.now)
    connection = HttpConnection(cast(Any, server), "10.9.8.7", frontend, cast(Any, listener), place)
    received = bytearray()
    closed = trio.Event()

    async def serve() -> None:
        await connection.run()
        closed.set()
        await server.aclose()

    async def read() -> None:
        async for data in client.receive_stream:
            received.extend(data)

    with sock, other_end:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            nursery.start_soon(read)
            return await play_http_exchange(case, depot, client, received, closed)


async def play_http_exchange(
    case: Mapping[str, Any],
    depot: Depot,
    client: trio.StapledStream[Any, Any],
    received: bytearray,
    closed: trio.Event,
) -> Meaning:
    """Send the requests of a case, end the connection and return what was received."""
    for text in case["requests"]:
        await client.send_all(text.encode("latin-1"))
        await trio.testing.wait_all_tasks_blocked()
        if case.get("leaves"):
            depot.run_until_idle()
        else:
            depot.run()
        await trio.testing.wait_all_tasks_blocked()
    if case.get("stalls"):
        await trio.sleep(30.0)
    ended = closed.is_set()
    await client.send_eof()
    await closed.wait()
    depot.run_until_idle()
    return {**describe_exchange(depot, received), "ends": ended}


def http_exchanges() -> bytes:
    exchanges = {}
    with quiet_log(), patch("secrets.token_hex", return_value=GENERATED_TXN):
        for name, case in input_json("http-exchanges.in.json").items():
            clock = trio.testing.MockClock(autojump_threshold=0)
            exchanges[name] = trio.run(partial(http_exchange, case), clock=clock)
    return as_json(exchanges)


CASES: dict[str, Callable[[], bytes]] = {
    "cache-commands.out.json": cache_commands,
    "cache-answers.out.json": cache_answers,
    "client-heads.out.json": client_heads,
    "fastcgi-exchanges.out.json": fastcgi_exchanges,
    "fastcgi-sessions.out.json": fastcgi_sessions,
    "http-exchanges.out.json": http_exchanges,
}


@pytest.mark.parametrize("name", CASES)
def test_exchange_output_matches_golden_files(name: str) -> None:
    check_golden_file(CASES, name)


if __name__ == "__main__":
    record_golden_files(CASES)
