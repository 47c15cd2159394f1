"""Cases of the fleet area: spans of requests and files of spans."""

from __future__ import annotations

import re
from types import SimpleNamespace
from typing import Any, cast

from conftest import make_class
from golden_fleet_files import files_in, temporary_folder
from golden_folder import Meaning, Snapshot

from stonecove.exchange import Answer, ClientRequest, Verdict
from stonecove.fleet import traces
from stonecove.pipeline.relay import Reply
from stonecove.routing.actions import SendAttempt
from stonecove.routing.events import Outcome
from stonecove.server.tracing import RequestIdGenerator, SpanFileExporter, start_tracing
from stonecove.state.requests import Attempt, OpenRequest


class _Stages:
    """The methods of a router that tracing wraps, without any behaviour."""

    def __init__(self) -> None:
        self.requests = [None, None]
        self.next: OpenRequest | None = None
        self.send = SimpleNamespace(start=lambda attempt: None, begin=lambda attempt: b"")
        self.relay = SimpleNamespace(
            handle_reply=lambda attempt, reply: None,
            answer=lambda request, answer: setattr(request, "answered", True),
            client_disconnected=lambda request: setattr(request, "answered", True),
        )
        self.recorder = SimpleNamespace(
            attempt_ended=lambda attempt, outcome: setattr(attempt, "ended", True)
        )

    def submit(self, client_request: ClientRequest) -> OpenRequest | None:
        return self.next


def _client_request(txn: str) -> ClientRequest:
    return ClientRequest(
        txn, "image", f"{7:016x}", "0", 0, 5, 2, 3, 100.0, 4000.0, "", b"", lambda answer: None
    )


def _traced(stages: _Stages, number: int, txn: str) -> OpenRequest:
    asked = _client_request(txn)
    request = stages.next = OpenRequest(number, asked, make_class(), 5000.0)
    stages.submit(asked)
    return request


def _attempt(stages: _Stages, request: OpenRequest, number: int, node: int, source: int) -> Attempt:
    attempt = Attempt(
        request, number, SendAttempt(request.request_id, node, 4000.0, source, 2, 0.0, 5), 1000.0
    )
    request.attempts.append(attempt)
    stages.send.start(attempt)
    return attempt


def _trace_file(data: bytes) -> str:
    """Return the lines with masked times, and random ids replaced by their order of appearance."""
    ids: dict[str, str] = {}

    def named(match: re.Match[str]) -> str:
        ident = match[2]
        return f"{match[1]}{ids.setdefault(ident, f'<span {len(ids) + 1}>')}" if ident else match[0]

    text = re.sub(r'("span": "|"parent": ")([0-9a-f]{16}|)', named, data.decode())
    return re.sub(r'("start": |"end": |"at": )\d{19}', r"\1<ns>", text)


def _request_spans() -> Meaning:
    """Return the span file of requests that have passed through a router's stages."""
    stages = _Stages()
    with temporary_folder() as folder:
        config = SimpleNamespace(name="r-0")
        provider = start_tracing(f"1:100000:2:{folder / 'trace'}", cast(Any, config), cast(Any, stages))
        served = _traced(stages, 1, "00000000000000aa")
        full = _attempt(stages, served, 0, 0xA1, 0xA1)
        stages.recorder.attempt_ended(full, Outcome.REJECTED_OVERLOADED)
        good = _attempt(stages, served, 1, 0xA2, 0xB1)
        good.written_at_ms = 1001.0
        stages.send.begin(good)
        stages.relay.handle_reply(good, Reply("200", {"tell": "filled"}, b"body"))
        stages.recorder.attempt_ended(good, Outcome.OK)
        stages.relay.answer(served, Answer(Verdict.SERVED, b"body"))
        refused = _traced(stages, 2, "00000000000000ab")
        stages.relay.answer(refused, Answer(Verdict.REFUSED, retry_after_ms=250.0))
        left = _traced(stages, 3, "00000000000000ac")
        given_up = _attempt(stages, left, 0, 0xA1, 0xA1)
        stages.relay.client_disconnected(left)
        stages.recorder.attempt_ended(given_up, Outcome.CANCELLED)
        stages.next = None
        stages.submit(_client_request("00000000000000ad"))
        provider.shutdown()
        return {"files": {path.name: _trace_file(path.read_bytes()) for path in sorted(folder.iterdir())}}


def _sampled() -> Meaning:
    """Return the requests sampled at each ratio, which are the same at all instances."""
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.sampling import TraceIdRatioBased

    txns = [f"{0x9E3779B97F4A7C15 * number % (1 << 64):016x}" for number in range(40)]
    found: Meaning = {"requests": txns}
    for ratio in (0.0, 0.1, 0.5, 1.0):
        ids = RequestIdGenerator()
        tracer = TracerProvider(sampler=TraceIdRatioBased(ratio), id_generator=ids).get_tracer("test")
        chosen = []
        for number, txn in enumerate(txns):
            ids.txn = txn
            span = tracer.start_span("request")
            if span.is_recording():
                chosen.append(number)
        found[f"traced at {ratio:g}"] = chosen
    return found


def _span(name: str, ident: int, parent: int, start: int, end: int, *events: Any, **attributes: Any) -> Any:
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import Event, ReadableSpan
    from opentelemetry.trace import SpanContext

    trace = int("00000000000000aa" * 2, 16)
    began = 1_764_576_000_000_000_000
    return ReadableSpan(
        name,
        SpanContext(trace, ident, False),
        SpanContext(trace, parent, False) if parent else None,
        Resource({"service.instance.id": "r-0"}),
        attributes,
        [Event(what, more, began + at) for what, at, more in events],
        start_time=began + start,
        end_time=began + end,
    )


def _span_files() -> Meaning:
    """Return rotated span files, and the formatted spans of one request."""
    request = _span(
        "request", 0x11, 0, 0, 9_500_000, ("admitted", 100_000, {"open": 3}), txn="00000000000000aa",
        verdict="served",
    )  # fmt: skip
    first = _span("attempt", 0x12, 0x11, 200_000, 700_000, number=0, node="s-000000a1", outcome="full")
    second = _span(
        "attempt", 0x13, 0x11, 800_000, 9_400_000, ("written", 900_000, {}),
        ("arrived", 9_300_000, {"word": "200", "bytes": 4}), number=1, node="s-000000a2", outcome="ok",
    )  # fmt: skip
    found: Meaning = {}
    for max_bytes, max_rotated in ((100_000, 2), (600, 2), (600, 0), (1, 1)):
        with temporary_folder() as folder:
            (folder / "r-0").mkdir()
            exporter = SpanFileExporter(folder / "r-0" / "trace", max_bytes, max_rotated)
            for spans in ([first], [second, request], [], [first, second]):
                exporter.export(spans)
            found[f"most_bytes {max_bytes}, kept {max_rotated}"] = files_in(folder / "r-0")
            if max_bytes == 100_000:
                (folder / "r-0" / "trace").open("ab").write(b'{"trace": "00000000000000aa, broken\n')
                spans_found = list(traces.read_spans(folder, "aa"))
                found["spans of the request"] = len(spans_found)
                found["told"] = list(traces.format_spans(spans_found))
                found["spans of another request"] = len(list(traces.read_spans(folder, "ab")))
    return found


CASES = (
    Snapshot("spans", _request_spans),
    Snapshot("spans-sampled", _sampled),
    Snapshot("spans-files", _span_files),
)
