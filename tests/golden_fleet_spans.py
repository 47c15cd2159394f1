"""Golden cases of the fleet area: spans of requests and span files."""

from __future__ import annotations

import re
from types import SimpleNamespace
from typing import Any, cast

from conftest import make_class
from golden_fleet_files import file_texts, temporary_folder
from golden_folder import Meaning, Snapshot

from stonecove.exchange import Answer, ClientRequest, Verdict
from stonecove.fleet import traces
from stonecove.pipeline.relay import Reply
from stonecove.routing.actions import SendAttempt
from stonecove.routing.events import Outcome
from stonecove.server.tracing import RequestIdGenerator, SpanFileExporter, start_tracing
from stonecove.state.requests import Attempt, OpenRequest


class _StubStages:
    """A stub of the router methods that tracing wraps."""

    def __init__(self) -> None:
        self.requests = [None, None]
        self.next_request: OpenRequest | None = None
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
        return self.next_request


def _client_request(txn: str) -> ClientRequest:
    return ClientRequest(
        txn, "image", f"{7:016x}", "0", 0, 5, 2, 3, 100.0, 4000.0, "", b"", lambda answer: None
    )


def _submit_request(stages: _StubStages, number: int, txn: str) -> OpenRequest:
    client_request = _client_request(txn)
    request = stages.next_request = OpenRequest(number, client_request, make_class(), 5000.0)
    stages.submit(client_request)
    return request


def _start_attempt(stages: _StubStages, request: OpenRequest, number: int, node: int, source: int) -> Attempt:
    attempt = Attempt(
        request, number, SendAttempt(request.request_id, node, 4000.0, source, 2, 0.0, 5), 1000.0
    )
    request.attempts.append(attempt)
    stages.send.start(attempt)
    return attempt


def _mask_span_file(data: bytes) -> str:
    """Return a span file with masked times, and random ids replaced by their order of appearance."""
    ids: dict[str, str] = {}

    def number_id(match: re.Match[str]) -> str:
        span_id = match[2]
        return f"{match[1]}{ids.setdefault(span_id, f'<span {len(ids) + 1}>')}" if span_id else match[0]

    text = re.sub(r'("span": "|"parent": ")([0-9a-f]{16}|)', number_id, data.decode())
    return re.sub(r'("start": |"end": |"at": )\d{19}', r"\1<ns>", text)


def _request_spans() -> Meaning:
    """Return the span files of requests that have passed through a router's stages."""
    stages = _StubStages()
    with temporary_folder() as folder:
        config = SimpleNamespace(name="r-0")
        provider = start_tracing(f"1:100000:2:{folder / 'trace'}", cast(Any, config), cast(Any, stages))
        served = _submit_request(stages, 1, "00000000000000aa")
        overloaded = _start_attempt(stages, served, 0, 0xA1, 0xA1)
        stages.recorder.attempt_ended(overloaded, Outcome.REJECTED_OVERLOADED)
        successful = _start_attempt(stages, served, 1, 0xA2, 0xB1)
        successful.written_at_ms = 1001.0
        stages.send.begin(successful)
        stages.relay.handle_reply(successful, Reply("200", {"tell": "filled"}, b"body"))
        stages.recorder.attempt_ended(successful, Outcome.OK)
        stages.relay.answer(served, Answer(Verdict.SERVED, b"body"))
        rejected = _submit_request(stages, 2, "00000000000000ab")
        stages.relay.answer(rejected, Answer(Verdict.REFUSED, retry_after_ms=250.0))
        disconnected = _submit_request(stages, 3, "00000000000000ac")
        cancelled = _start_attempt(stages, disconnected, 0, 0xA1, 0xA1)
        stages.relay.client_disconnected(disconnected)
        stages.recorder.attempt_ended(cancelled, Outcome.CANCELLED)
        stages.next_request = None
        stages.submit(_client_request("00000000000000ad"))
        provider.shutdown()
        return {"files": {path.name: _mask_span_file(path.read_bytes()) for path in sorted(folder.iterdir())}}


def _sampled() -> Meaning:
    """Return the requests sampled at each ratio, which are the same at all instances."""
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.sampling import TraceIdRatioBased

    txns = [f"{0x9E3779B97F4A7C15 * number % (1 << 64):016x}" for number in range(40)]
    results: Meaning = {"requests": txns}
    for ratio in (0.0, 0.1, 0.5, 1.0):
        id_generator = RequestIdGenerator()
        tracer = TracerProvider(sampler=TraceIdRatioBased(ratio), id_generator=id_generator).get_tracer(
            "test"
        )
        sampled = []
        for number, txn in enumerate(txns):
            id_generator.txn = txn
            span = tracer.start_span("request")
            if span.is_recording():
                sampled.append(number)
        results[f"traced at {ratio:g}"] = sampled
    return results


def _span(
    name: str, span_id: int, parent_id: int, start_ns: int, end_ns: int, *events: Any, **attributes: Any
) -> Any:
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import Event, ReadableSpan
    from opentelemetry.trace import SpanContext

    trace_id = int("00000000000000aa" * 2, 16)
    base_time_ns = 1_764_576_000_000_000_000
    return ReadableSpan(
        name,
        SpanContext(trace_id, span_id, False),
        SpanContext(trace_id, parent_id, False) if parent_id else None,
        Resource({"service.instance.id": "r-0"}),
        attributes,
        [
            Event(event_name, event_attributes, base_time_ns + offset_ns)
            for event_name, offset_ns, event_attributes in events
        ],
        start_time=base_time_ns + start_ns,
        end_time=base_time_ns + end_ns,
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
    results: Meaning = {}
    for max_bytes, max_rotated in ((100_000, 2), (600, 2), (600, 0), (1, 1)):
        with temporary_folder() as folder:
            (folder / "r-0").mkdir()
            exporter = SpanFileExporter(folder / "r-0" / "trace", max_bytes, max_rotated)
            for spans in ([first], [second, request], [], [first, second]):
                exporter.export(spans)
            results[f"most_bytes {max_bytes}, kept {max_rotated}"] = file_texts(folder / "r-0")
            if max_bytes == 100_000:
                (folder / "r-0" / "trace").open("ab").write(b'{"trace": "00000000000000aa, broken\n')
                request_spans = list(traces.read_spans(folder, "aa"))
                results["spans of the request"] = len(request_spans)
                results["told"] = list(traces.format_spans(request_spans))
                results["spans of another request"] = len(list(traces.read_spans(folder, "ab")))
    return results


CASES = (
    Snapshot("spans", _request_spans),
    Snapshot("spans-sampled", _sampled),
    Snapshot("spans-files", _span_files),
)
